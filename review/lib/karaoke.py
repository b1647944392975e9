"""The deployment tavernier-karaoke at its small size (three controllers, one in each zone), as its site file
says: state service, cloud, workers, team and machine types. Only aims that the settings page names are given."""

NAMES = ["werf-0", "werf-1", "werf-2"]
ZONES = {"werf-0": "estrie", "werf-1": "mauricie", "werf-2": "beauce"}
PARAMS = {
    "teams": [{"name": "refrain", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 24.0}],
    "objectives": [
        {"kind": "wait", "class": "nettoyeurs-pistes", "within_s": 70.0, "share": 0.82},
        {"kind": "finished", "class": "nettoyeurs-pistes", "within_s": 350.0, "share": 0.95},
    ],
    "workers": {"report_s": 10.0, "lease_s": 45.0, "gang_wait_s": 40.0, "gang_peer_s": 6.0, "cancel_s": 70.0},
    "state": {"rps": 150.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16},
    "cloud": {"rps": 6.0, "list_lag_s": 4.0},
    "machine_limits": {"core_share": 0.16, "memory_mb": 264.0, "max_sockets": 6000},
}
FIELDS = ["estrie", "mauricie", "beauce"]
BREEDS = {
    "boite-gpu-modeste": {"sku": "boite-gpu-modeste", "vcpus": 24.0, "gpus": 4.0, "ram_gb": 96.0,
                          "local_gb": 120.0, "fetch_gb_per_s": 0.4, "hourly": 12.13, "low_price": 4.42,
                          "boot_s": 35.0, "fields": FIELDS},
    "boite-gpu-costaude": {"sku": "boite-gpu-costaude", "vcpus": 64.0, "gpus": 8.0, "ram_gb": 512.0,
                           "local_gb": 150.0, "fetch_gb_per_s": 0.6, "hourly": 26.66, "low_price": 9.55,
                           "boot_s": 40.0, "fields": FIELDS},
}


def lyrics(uid, number):
    """A one-task array of the class lot-paroles with a long run time."""
    return {"uid": uid, "ilk": "lot-paroles", "crew": "refrain", "shape": "batch", "rank": "standard",
            "shards": 1, "vcpus": 6.0, "gpus": 1.0, "ram_gb": 48.0, "cask": f"img-{number}", "image_gb": 5.0,
            "breeds": ["boite-gpu-modeste", "boite-gpu-costaude"], "field": None, "one_zone": False,
            "apart": False, "loaners": True, "guess_s": 400.0, "mark_every_s": 30.0, "stow_s": 2.0,
            "due_s": None}


def tracks(uid):
    """A one-task gang of the class nettoyeurs-pistes: all tasks in one zone, which the job doesn't name."""
    return {"uid": uid, "ilk": "nettoyeurs-pistes", "crew": "refrain", "shape": "group", "rank": "standard",
            "shards": 1, "vcpus": 21.0, "gpus": 4.0, "ram_gb": 77.0, "cask": "img-99", "image_gb": 7.0,
            "breeds": ["boite-gpu-modeste", "boite-gpu-costaude"], "field": None, "one_zone": True,
            "apart": False, "loaners": False, "guess_s": 300.0, "mark_every_s": 15.0, "stow_s": 2.0,
            "due_s": None}
