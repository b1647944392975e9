"""Case 3: a start that is committed without the team's lock takes a team over its limit.

The team manche may use 32 GPUs; 15 tasks use 30. werf-1 commits the team's starts. The state service refuses
werf-1 alone for about half a second, answers two of its requests after 0.4 s, and refuses it once more for an
instant. Meanwhile users submit jobs of the team, each of 2 GPUs, at all nodes. With TROUBLE=0 they only submit.
"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))
import quiz  # noqa: E402
from standins import CannotRun, Site, now, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMMITTER, FRONT = "werf-1", "werf-0"
LIMIT = 32.0
FILLERS, SPARE = 15, 3
SLOW_S, WATCH_SLOW_S = 0.4, 0.06  # answers take "now and then a few hundred" ms
SECOND_REFUSAL_S = 0.015
ROUNDS = 6


class Case:
    def __init__(self, site):
        self.site, self.state = site, site.state
        self.first = None  # the job whose first commit is refused
        self.phase = "calm"
        self.refused_watches = 0
        self.list_executed = asyncio.Event()
        self.second_refusal, self.over = asyncio.Event(), asyncio.Event()
        self.was_held = False
        self.broken = None
        self.state.before, self.state.after = self.before, self.after
        site.on_start = self.on_start

    def gpus(self):
        return sum(t.job["gpus"] for t in self.site.tasks_on_machines() if t.job["crew"] == "manche")

    def on_start(self, worker, task):
        used = self.gpus()
        self.site.record(f"team manche uses {used} GPUs of at most {LIMIT}")
        if used > LIMIT + 1e-6 and self.broken is None:
            self.broken = used

    async def before(self, node, method, path, body):
        if node != COMMITTER:
            return None
        if self.phase == "refusing":
            if path.startswith("/watch"):
                self.refused_watches += 1
                if self.refused_watches == 3:
                    self.end_refusal("reading")
            return 503, {"error": "trouble"}
        if self.phase == "listed" and path.startswith("/watch"):
            self.phase = "watching"
            asyncio.create_task(self.refuse_again())
        uid = self.first
        if (self.phase in ("reading", "listed") and path == "/commit" and not self.was_held and uid and
                any(f"/{uid}/" in (w.get("set") or "") for w in body["writes"])):
            self.was_held = True
            self.site.record(f"TROUBLE: {COMMITTER}'s commit of the start of {uid}/0 is slow")
            try:
                await asyncio.wait_for(self.second_refusal.wait(), 0.6)
            except asyncio.TimeoutError:
                pass
        return None

    async def refuse_again(self):
        """Refuses the controller for an instant; its open watch waits meanwhile."""
        await asyncio.sleep(0.001)
        self.site.record(f"TROUBLE: the state service refuses {COMMITTER} alone again")
        self.state.refused.add(COMMITTER)
        self.second_refusal.set()
        await asyncio.sleep(SECOND_REFUSAL_S)
        self.state.refused.discard(COMMITTER)
        self.site.record(f"trouble over: the state service serves {COMMITTER}")
        self.over.set()

    async def after(self, node, method, path, body, answer):
        if node != COMMITTER:
            return answer
        if self.phase == "armed" and path.startswith("/watch"):
            self.site.record(f"TROUBLE: the state service refuses {COMMITTER} alone")
            self.phase, self.refused_watches = "refusing", 0
            self.state.refused.add(COMMITTER)
            asyncio.get_running_loop().call_later(1.5, self.end_refusal, "calm")
        elif self.phase == "reading" and path.startswith("/store?"):
            self.phase = "listed"
            self.site.record(f"TROUBLE: {COMMITTER} reads all records; the answer takes {SLOW_S} s")
            self.list_executed.set()
            await asyncio.sleep(SLOW_S)
            self.site.record(f"{COMMITTER} gets the records")
        elif self.phase == "watching" and path.startswith("/watch"):
            self.phase = "watched"
            await asyncio.sleep(WATCH_SLOW_S)
        return answer

    def end_refusal(self, phase):
        if self.phase != "refusing":
            return
        self.site.record(f"trouble over: the state service serves {COMMITTER}")
        self.phase = phase
        self.state.refused.discard(COMMITTER)

    async def submit_everywhere(self, job):
        """Submits a job at one node and, once it is accepted, at the other nodes as well."""
        await self.site.submit(FRONT, job, run_s=600.0)
        await asyncio.gather(*(self.site.ask(n, "POST", "/api/jobs", job)
                               for n in self.site.names if n != FRONT))

    async def one_round(self, number):
        jobs = [quiz.rounds(f"job-{100 * number + i:06d}") for i in range(3)]
        self.first, self.was_held = jobs[0]["uid"], False
        for event in (self.list_executed, self.second_refusal, self.over):
            event.clear()
        if TROUBLE:
            self.phase = "armed"
            await asyncio.wait_for(self.list_executed.wait(), 5)
            await self.submit_everywhere(jobs[0])
            await asyncio.wait_for(self.over.wait(), 2)
        else:
            await self.submit_everywhere(jobs[0])
        second = asyncio.create_task(self.submit_everywhere(jobs[1]))
        await asyncio.sleep(0.04)
        await asyncio.gather(second, self.submit_everywhere(jobs[2]))
        end = now() + 20  # the machines fetch the image
        while now() < end and self.broken is None:
            await asyncio.sleep(0.05)
        self.phase = "calm"
        for job in jobs:
            await self.site.ask(FRONT, "GET", f"/api/jobs/{job['uid']}")
        if self.broken is None:
            for job in jobs:
                await self.site.ask(FRONT, "POST", f"/api/jobs/{job['uid']}/cancel")
            await asyncio.sleep(3)


async def main(holder):
    site = holder["site"] = Site(HERE, quiz.NAMES, quiz.ZONES, quiz.PARAMS, quiz.BREEDS)
    await site.start()
    await site.wait_healthy()
    case = Case(site)
    for number in range(FILLERS + SPARE):
        await site.add_machine(f"host-{number + 1:06d}", "boite-gpu-douze", "laurentides")
    await asyncio.sleep(4.5)
    for number in range(FILLERS):
        await site.submit(FRONT, quiz.rounds(f"job-{900 + number:06d}"), run_s=600.0)
    end = now() + 15
    while sum(len(w.tasks) for w in site.workers.values()) < FILLERS:
        if now() > end:
            raise CannotRun("the first jobs are not placed")
        await asyncio.sleep(0.05)
    machines = FILLERS + SPARE
    for number in range(1, ROUNDS + 1):
        if now() > 75:
            break
        if number > 1:  # idle machines have been returned
            while sum(not w.gone and not w.tasks for w in site.workers.values()) < SPARE:
                machines += 1
                await site.add_machine(f"host-{machines:06d}", "boite-gpu-douze", "laurentides")
            await asyncio.sleep(4.5)
        try:
            await case.one_round(number)
        except asyncio.TimeoutError:
            case.end_refusal("calm")
            case.phase = "calm"
            site.record(f"round {number}: {COMMITTER} did not read the state again")
            await asyncio.sleep(1)
        if case.broken is not None:
            site.record(f"BROKEN quota: team manche used {case.broken} GPUs; its limit is {LIMIT}")
            return True
        if not TROUBLE and number == 2:
            break
    return False


run_case(main)
