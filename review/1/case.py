"""Case 1: a leader whose records are older than they were starts an attempt that has been released.

A machine of werf-1 hangs before it is told to start a task; after the machine's lease the task is released and
placed on another machine. Meanwhile the state service refuses werf-1 alone for about half a second, answers it
slowly, and refuses it alone again for 2.5 s. Then the first machine goes on. With TROUBLE=0 none of this
happens.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import quiz  # noqa: E402
from standins import CannotRun, Site, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LEADER, FRONT = "werf-1", "werf-2"
# Machines whose shards are led by werf-1, and as many whose shards are led by werf-2; a pair for each attempt.
HANGING = ["host-000004", "host-000013", "host-000019"]
OTHERS = ["host-000001", "host-000007", "host-000014"]
REPORT_S, LEASE_S = quiz.PARAMS["workers"]["report_s"], quiz.PARAMS["workers"]["lease_s"]
SLOW_S = 0.45  # "now and then a few hundred" ms
REFUSAL_S = 2.5


class Case:
    def __init__(self, site):
        self.site, self.state = site, site.state
        self.job, self.hung = None, None
        self.renewals = []  # when the leader renewed its lease in the state service
        self.broken = None
        self.reset()
        self.state.before, self.state.after = self.before, self.after
        site.on_start = self.on_start

    def reset(self):
        self.phase = "calm"
        self.refused_watches = 0
        self.placed, self.released, self.list_executed = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self.resumed = asyncio.Event()

    def on_start(self, worker, task):
        others = [w.uid for w in self.site.workers.values() if w is not worker and
                  any(t.ref == task.ref and t.on_machine for t in w.tasks.values())]
        if others and self.broken is None:
            self.broken = f"{task.ref} starts on {worker.uid} while it is on {others[0]}"
            self.site.record(f"BROKEN ran_twice: {self.broken}")

    def page_write(self, method, path, body):
        """What a commit writes about the job's task: "placed", "released" or None."""
        if path != "/commit" or self.job is None:
            return None
        for write in body["writes"]:
            if f"/{self.job['uid']}/" in (write.get("set") or ""):
                return "placed" if write["value"].get("p") else "released"
        return None

    def since_renewal(self, at):
        """How long before the time `at` the leader will have renewed its lease, from its renewals so far."""
        interval = (self.renewals[-1] - self.renewals[0]) / (len(self.renewals) - 1)
        return (at - self.renewals[-1]) % interval

    async def before(self, node, method, path, body):
        if node == LEADER and path.endswith("/touch"):
            self.renewals.append(now())
        if node == LEADER and self.phase == "refusing":
            if path.startswith("/watch"):
                self.refused_watches += 1
                if self.refused_watches == 3:
                    self.state.refused.discard(LEADER)
                    self.phase = "reading"
                    self.site.record(f"trouble over: the state service serves {LEADER}")
            return 503, {"error": "trouble"}
        if node == LEADER and self.phase == "listed" and path.startswith("/watch"):
            self.phase = "refused again"
            asyncio.create_task(self.refuse_again())
            await asyncio.sleep(0.05)  # this watch is open, and waits until the refusal is over
        if self.page_write(method, path, body) == "released" and self.phase in ("refusing", "reading"):
            self.site.record(f"TROUBLE: {node}'s commit that releases the task is slow")
            try:
                await asyncio.wait_for(self.list_executed.wait(), SLOW_S)
            except asyncio.TimeoutError:
                pass
        return None

    async def after(self, node, method, path, body, answer):
        change = self.page_write(method, path, body)
        if change and answer[0] == 200:
            self.site.record(f"state: {node} commits: the task is {change}")
            (self.placed if change == "placed" else self.released).set()
            if change == "placed" and TROUBLE and self.phase == "calm":
                self.phase = "hung"
                self.site.workers[self.hung].hang()
                self.site.record(f"TROUBLE: {self.hung} hangs")
        if node != LEADER:
            return answer
        if self.phase == "armed" and path.startswith("/watch"):
            self.site.record(f"TROUBLE: the state service refuses {LEADER} alone")
            self.phase = "refusing"
            self.state.refused.add(LEADER)
        elif self.phase == "reading" and path.startswith("/store?"):
            self.phase = "listed"
            self.site.record(f"TROUBLE: {LEADER} reads all records; the answer is slow")
            self.list_executed.set()
            executed_at = now()
            try:
                await asyncio.wait_for(self.released.wait(), SLOW_S)
                await asyncio.sleep(0.03)
            except asyncio.TimeoutError:
                pass
            self.site.record(f"{LEADER} gets the records after {now() - executed_at:.3f} s")
        return answer

    async def refuse_again(self):
        await asyncio.sleep(0.005)
        self.site.record(f"TROUBLE: the state service refuses {LEADER} alone again")
        self.state.refused.add(LEADER)
        await asyncio.sleep(0.005)
        self.site.record(f"trouble over: {self.hung} goes on")
        self.site.workers[self.hung].resume()
        self.resumed.set()
        await asyncio.sleep(REFUSAL_S)
        self.state.refused.discard(LEADER)
        self.site.record(f"trouble over: the state service serves {LEADER}")


async def until(condition, timeout, what):
    end = now() + timeout
    while not condition():
        if now() > end:
            raise CannotRun(what)
        await asyncio.sleep(0.02)


async def attempt(site, case, number):
    """Plays the events once; returns whether they were played whole."""
    base = 100 * (number + 1)
    case.hung, other = HANGING[number], OTHERS[number]
    case.job = None
    case.reset()
    # The other machine is full until one of its tasks ends. All tasks have one image, which both machines have
    # by then: on the first machine from a short task before.
    await site.add_machine(other, "boite-gpu-douze", "laurentides")
    await asyncio.sleep(3.5)
    await site.submit(FRONT, quiz.photos(f"job-{base + 1:06d}"), run_s=600.0)
    await site.submit(FRONT, quiz.photos(f"job-{base + 2:06d}"), run_s=600.0)
    await until(lambda: len(site.workers[other].tasks) == 2, 10, "the first tasks are not placed")
    hung = await site.add_machine(case.hung, "boite-gpu-douze", "laurentides")
    await until(lambda: hung.node == LEADER and hung.baton, 8, f"{case.hung} does not report to {LEADER}")
    await site.submit(FRONT, quiz.photos(f"job-{base + 5:06d}"), run_s=1.0)
    await until(lambda: hung.tasks, 10, f"{case.hung} gets no task")
    await until(lambda: not hung.tasks, 20, "the short task is not over")
    await until(lambda: all(t.on_machine for t in site.workers[other].tasks.values()), 20, "no image")
    # A moment after a report at which the leader's renewals will not fall into the first refusal.
    refusal_after_s = LEASE_S + 0.35 - 0.48
    for _ in range(3):
        report = hung.answered_sent_at
        await until(lambda: hung.answered_sent_at > report, 4, f"{case.hung} does not report")
        if 0.05 < case.since_renewal(hung.answered_sent_at + refusal_after_s) < 0.45:
            break
    case.job = quiz.photos(f"job-{base + 3:06d}")
    await site.submit(FRONT, case.job, run_s=600.0)
    await asyncio.wait_for(case.placed.wait(), 5)
    if not TROUBLE:
        await asyncio.sleep(12)
        return True
    last = hung.answered_sent_at
    if hung.tasks:
        site.record("the task was started before the machine hung")
        hung.resume()
        return False
    await asyncio.sleep(3)
    ending = [t for t in site.workers[other].tasks.values() if t.ref == f"job-{base + 2:06d}/0"]
    site.workers[other].end(ending[0], "done")
    # The controllers take the task as lost a little after the lease.
    await asyncio.sleep(last + refusal_after_s - now())
    case.phase = "armed"
    await site.submit(FRONT, quiz.photos(f"job-{base + 4:06d}", gpus=2.0, vcpus=10.0), run_s=600.0)
    try:
        await asyncio.wait_for(case.resumed.wait(), 3)
    except asyncio.TimeoutError:
        site.record(f"{LEADER} did not read the state again")
        site.state.refused.discard(LEADER)
        hung.resume()
    end = now() + 6
    while now() < end and case.broken is None:
        await asyncio.sleep(0.05)
    return case.resumed.is_set()


async def main(holder):
    site = holder["site"] = Site(HERE, quiz.NAMES, quiz.ZONES, quiz.PARAMS, quiz.BREEDS)
    await site.start()
    await site.wait_healthy()
    case = Case(site)
    was_played = False
    for number in range(len(HANGING) if TROUBLE else 1):
        if now() > 70:
            break
        was_played = await attempt(site, case, number) or was_played
        if case.broken is not None:
            break
    if not was_played:
        raise CannotRun("the events could not be played")
    for name in site.names:
        await site.ask(name, "GET", f"/api/jobs/{case.job['uid']}")
    return case.broken is not None


run_case(main)
