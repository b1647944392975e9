"""The deployment quiz-soir-qc, as its site file says: controllers, state service, cloud, workers, teams and
machine types."""

NAMES = ["werf-0", "werf-1", "werf-2"]
ZONES = {name: "laurentides" for name in NAMES}
PARAMS = {
    "teams": [{"name": "manche", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 32.0},
              {"name": "ardoise", "cpus": 0.0, "cpus_max": 0.0, "gpus": 40.0, "gpus_max": 88.0}],
    "objectives": [
        {"kind": "wait", "class": "batterie-manches", "within_s": 15.0, "share": 0.75},
        {"kind": "wait", "class": "batterie-manches", "within_s": 25.0, "share": 0.85},
        {"kind": "finished", "class": "batterie-manches", "within_s": 150.0, "share": 0.85},
        {"kind": "finished", "class": "lot-photos", "within_s": 250.0, "share": 0.82},
        {"kind": "finished", "class": "lot-photos", "within_s": 400.0, "share": 0.9},
    ],
    "workers": {"report_s": 1.5, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 35.0},
    "state": {"rps": 200.0, "write_rps": 20.0, "value_kb": 4.0, "txn_ops": 8},
    "cloud": {"rps": 8.0, "list_lag_s": 3.0},
    "machine_limits": {"core_share": 0.08, "memory_mb": 56.0, "max_sockets": 900},
}
BREEDS = {
    "boite-gpu-douze": {"sku": "boite-gpu-douze", "vcpus": 12.0, "gpus": 2.0, "ram_gb": 96.0,
                        "local_gb": 150.0, "fetch_gb_per_s": 0.3, "hourly": 5.55, "low_price": 1.99,
                        "boot_s": 25.0, "fields": ["laurentides"]},
}


def rounds(uid):
    """A gang of the class batterie-manches; one task that takes a whole machine."""
    return {"uid": uid, "ilk": "batterie-manches", "crew": "manche", "shape": "group", "rank": "high",
            "shards": 1, "vcpus": 10.0, "gpus": 2.0, "ram_gb": 77.0, "cask": "img-1", "image_gb": 4.0,
            "breeds": None, "field": None, "one_zone": True, "apart": False, "loaners": True,
            "guess_s": 70.0, "mark_every_s": 20.0, "stow_s": 5.0, "due_s": None}


def photos(uid, gpus=1.0, vcpus=5.0):
    """A one-task array of the class lot-photos."""
    return {"uid": uid, "ilk": "lot-photos", "crew": "ardoise", "shape": "batch", "rank": "standard",
            "shards": 1, "vcpus": vcpus, "gpus": gpus, "ram_gb": 36.0, "cask": "img-2", "image_gb": 2.0,
            "breeds": ["boite-gpu-douze"], "field": None, "one_zone": False, "apart": False, "loaners": True,
            "guess_s": 80.0, "mark_every_s": 0.0, "stow_s": 0.0, "due_s": None}
