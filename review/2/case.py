"""Case 2: a late message between controllers brings back a cancelled job, whose task is then started.

werf-0 commits the starts of the team refrain, werf-1 leads the machines here, users talk to werf-2. The zones
estrie (werf-0) and mauricie (werf-1) can't reach each other for less than 40 s; meanwhile a job is cancelled,
and the state service refuses werf-1 alone for about half a second. With TROUBLE=0 neither happens.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import karaoke  # noqa: E402
from standins import CannotRun, Site, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = ["host-000004"]  # its shard is led by werf-1
COMMITTER, LEADER, FRONT = "werf-0", "werf-1", "werf-2"
CANCEL_S = karaoke.PARAMS["workers"]["cancel_s"]


class Case:
    def __init__(self, site):
        self.site, self.state = site, site.state
        self.job = None
        self.started = asyncio.Event()  # the start of the job's task was committed
        self.zone_was_written = False
        self.refusing, self.refused_watches, self.listed = False, 0, asyncio.Event()
        self.state.before, self.state.after = self.before, self.after

    async def before(self, node, method, path, body):
        if self.refusing and node == LEADER:
            if path.startswith("/watch"):
                self.refused_watches += 1
                if self.refused_watches == 3:
                    self.end_refusal()  # after this answer
            return 503, {"error": "trouble"}
        if node == LEADER and path.startswith("/store?"):
            self.listed.set()
        return None

    async def after(self, node, method, path, body, answer):
        uid = self.job and self.job["uid"]
        if uid and path == "/commit" and answer[0] == 200:
            keys = [w.get("set") or w.get("delete") for w in body.get("writes", [])]
            if any(f"/{uid}/" in key for key in keys) and not self.started.is_set():
                self.zone_was_written = any(key.endswith(f"/{uid}") for key in keys)
                self.site.record(f"state: {node} commits the start of {uid}/0: writes {keys}")
                if TROUBLE and node == COMMITTER and self.zone_was_written:
                    self.site.record("TROUBLE: zones estrie and mauricie can't reach each other; packets are held")
                    self.site.network.cut(COMMITTER, LEADER)
                    self.cut_at = now()
                self.started.set()
        if node == LEADER and path.startswith("/watch") and TROUBLE and self.refusing == "next watch":
            self.begin_refusal()
        return answer

    def begin_refusal(self):
        self.site.record(f"TROUBLE: the state service refuses {LEADER} alone")
        self.refusing, self.refused_watches = True, 0
        self.state.refused.add(LEADER)
        asyncio.get_running_loop().call_later(1.5, self.end_refusal)

    def end_refusal(self):
        if self.refusing is True:
            self.site.record(f"trouble over: the state service serves {LEADER}")
        self.refusing = False
        self.state.refused.discard(LEADER)

    def job_record(self):
        return any(key.endswith(f"/{self.job['uid']}") and not key.startswith("f/") for key in self.state.keys)


async def until(condition, timeout, what):
    end = now() + timeout
    while not condition():
        if now() > end:
            raise CannotRun(what)
        await asyncio.sleep(0.02)


async def main(holder):
    site = holder["site"] = Site(HERE, karaoke.NAMES, karaoke.ZONES, karaoke.PARAMS, karaoke.BREEDS)
    await site.start()
    await site.wait_healthy()
    case = Case(site)
    for uid in MACHINES:
        await site.add_machine(uid, "boite-gpu-costaude", "beauce")
    await until(lambda: all(site.workers[m].node == LEADER and site.workers[m].baton for m in MACHINES), 10,
                "the machines do not report to " + LEADER)
    # Long tasks, so that the machines stay in use.
    for number in range(len(MACHINES)):
        await site.submit(FRONT, karaoke.lyrics(f"job-{900 + number:06d}", number), run_s=600.0)
    await until(lambda: len({m for _, m, _, _ in site.started}) == len(MACHINES), 25, "fillers do not run")

    # A job whose zone is chosen by its first start, as for most jobs of this class; cancelled as soon as its
    # user sees it running.
    for number in range(1, 8):
        case.job = karaoke.tracks(f"job-{number:06d}")
        case.started.clear()
        uid = case.job["uid"]
        await site.submit(FRONT, case.job, run_s=600.0)
        await asyncio.wait_for(case.started.wait(), 10)
        phase = None
        while phase != "running":
            status, answer = await site.ask(FRONT, "GET", f"/api/jobs/{uid}")
            phase = answer["phase"] if status == 200 else None
            await asyncio.sleep(0.02)
        status, answer = await site.ask(FRONT, "POST", f"/api/jobs/{uid}/cancel")
        if status != 200 or answer.get("phase") != "withdrawn":
            raise CannotRun("the job was not cancelled")
        told_at = now()
        was_started = any(ref == f"{uid}/0" for _, _, ref, _ in site.started)
        if case.zone_was_written and not (TROUBLE and was_started):
            break
        site.network.restore()
        await until(lambda: not case.job_record(), 20, "the job is not closed")
    else:
        raise CannotRun("no start chose another zone")
    if told_at > 35:
        raise CannotRun("too late to wait for cancel_s")
    await until(lambda: not case.job_record(), 20, "the job is not closed")
    site.record(f"the job's records are closed; its user was told at {told_at:.3f}")

    await asyncio.sleep(3.0)  # every controller has read that by its watch
    if TROUBLE:
        while now() < case.cut_at + 32:  # the cut lasts less than 40 s
            case.listed.clear()
            case.refusing = "next watch"
            try:
                await asyncio.wait_for(case.listed.wait(), 6)
                break
            except asyncio.TimeoutError:
                case.end_refusal()
        else:
            raise CannotRun(f"{LEADER} did not read the state again")
        await asyncio.sleep(1.0)
        site.record("trouble over: the zones reach each other")
        site.network.restore()
    restored_at = now()

    # Users ask at all nodes. The rule is judged by what is on the machines.
    while now() < told_at + CANCEL_S + 4:
        for name in site.names:
            await site.ask(name, "GET", f"/api/jobs/{uid}", timeout=2.0)
        is_on_machine = any(t.ref == f"{uid}/0" for t in site.tasks_on_machines())
        if not is_on_machine and now() > restored_at + 32:  # the machine has reported, and could have fetched the image
            site.record(f"no task of {uid} is on a machine")
            return False
        if is_on_machine and now() > told_at + CANCEL_S:
            site.record(f"BROKEN ran_cancelled: {uid}/0 is on a machine {now() - told_at:.1f} s after its user "
                        f"was told that the job is cancelled (cancel_s {CANCEL_S})")
            return True
        await asyncio.sleep(1.0)
    return False


run_case(main)
