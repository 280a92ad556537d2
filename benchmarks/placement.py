"""Placement against first fit on declared sizes, and the cost of a decision.

Run as ``python -m benchmarks.placement [mix|cost|duty|all]``. A seeded loop drives
the real core (`wigeonhitch.placement.core`) with the task scheduler of the
platform stand-in; commits always succeed. It is no model of a cluster: each
step of 0.25 s hands the core what it would have read, and takes its commits
and calls.
"""

import collections
import json
import random
import sys
import time
import tracemalloc
from typing import NamedTuple

from standins import fake, platformtable, platformtasks
from wigeonhitch.configuration import document
from wigeonhitch.membership import lease
from wigeonhitch.placement import (
    core,
    job,
    keeper,
    ledger,
    message,
    quarantine,
    size,
    view,
)
from wigeonhitch.platform import table, tasks

SEED = 20
STEP = 0.25
# Commit and start call, each some round trips of 1 ms and the table's work.
CALL_DELAY = 0.04
LIST_PERIOD = 5.0
RENEW_PERIOD = 15.0
LAG = 3.0
WORKERS = 30
CORES, MEMORY = 32.0, 64.0
WINDOW = 3600.0
LIMIT = 5400.0
BAD = "w7"
POOL = "batch"
WAVE_AT, CANCEL_AT, WAVE = 600.0, 900.0, 3000
DONE = table.Outcome.DONE


class Mix(NamedTuple):
    """Submissions by time, and what is cancelled at `CANCEL_AT`."""

    jobs: list[tuple[float, job.Submission]]
    wave: set[str]


def make_mix(seed: int) -> Mix:
    """Return the seeded mix of jobs."""
    rng = random.Random(seed)
    kinds = []
    for _ in range(20):
        truth = (rng.choice([1.0, 2.0, 4.0, 8.0]), rng.choice([2.0, 4.0, 8.0]))
        off = (10 ** rng.uniform(-1, 1), 10 ** rng.uniform(-1, 1))
        kinds.append((truth, off))
    jobs = []
    at = 0.0
    while at < 1800.0:
        at += rng.expovariate(1.0)
        jobs.append((at, _make_urgent(rng, len(jobs))))
    for _ in range(1900):
        jobs.append((rng.uniform(0.0, 1800.0), _make_bulk(rng, kinds, len(jobs))))
    for index in range(60):
        at = rng.uniform(0.0, 1800.0)
        jobs.append((at, _make_impossible(rng, kinds, len(jobs), index)))
    wave = set()
    for _ in range(WAVE):
        asked = _make_bulk(rng, kinds, len(jobs))
        jobs.append((WAVE_AT, asked))
        wave.add(f"{asked.team}/{asked.id}")
    jobs.sort(key=lambda item: item[0])
    return Mix(jobs, wave)


def _make_urgent(rng: random.Random, number: int) -> job.Submission:
    work = {"cores": 2.0, "memory": 4.0 * rng.uniform(0.8, 1.2), "duration": 6.0}
    team = f"team{rng.randrange(10)}"
    fields = {"urgency": "urgent", "kind": f"lookup-{team}", "work": work}
    sizes = {"cores": 2.0, "memory": 5.0, "duration": 6.0, "deadline": 30.0}
    return job.Submission(team, f"u{number}", POOL, **sizes, **fields)


def _make_bulk(rng: random.Random, kinds: list, number: int) -> job.Submission:
    index = rng.randrange(len(kinds))
    truth, off = kinds[index]
    vary = rng.uniform(0.8, 1.2)
    duration = rng.uniform(60.0, 600.0)
    work = {"cores": truth[0], "memory": truth[1] * vary, "duration": duration}
    declared = (
        min(CORES, max(0.1, truth[0] * off[0])),
        min(MEMORY, max(0.2, truth[1] * off[1])),
    )
    fields = {"kind": f"kind{index}", "work": work}
    sizes = {"duration": duration * 10 ** rng.uniform(-0.5, 0.5), "deadline": WINDOW}
    team = f"team{rng.randrange(10)}"
    return job.Submission(team, f"b{number}", POOL, *declared, **sizes, **fields)


def _make_impossible(
    rng: random.Random, kinds: list, number: int, index: int
) -> job.Submission:
    asked = _make_bulk(rng, kinds, number)
    if index % 3 == 0:
        work = {**asked.work, "fails": True, "duration": 20.0}
        return asked._replace(id=f"x{number}", kind="failing", work=work)
    fields = {"cores": 100.0} if index % 3 == 1 else {"memory": 500.0}
    return asked._replace(id=f"x{number}", kind="huge", **fields)


def make_document(pools: int, teams: int, workers: int) -> document.Document:
    """Return a document with equal pools."""
    names = [POOL] if pools == 1 else [f"pool{number}" for number in range(pools)]
    share = 0.4 if pools == 1 else 1.0
    return document.Document(
        fleet="bench",
        data_centres=(),
        kinds=(document.Kind("large", CORES, MEMORY),),
        pools=tuple(
            document.Pool(name, "large", workers // pools, document.Budget(number=1))
            for name in names
        ),
        services=(),
        urgencies=(),
        teams=tuple(
            document.Team(f"team{n}", share * workers * CORES, share * workers * MEMORY)
            for n in range(teams)
        ),
    )


def make_vms(plan: document.Document, workers: int) -> list[view.Vm]:
    """Return the workers, dealt out over the pools."""
    pools = [pool.name for pool in plan.pools]
    return [
        view.Vm(f"w{n}", pools[n % len(pools)], CORES, MEMORY, f"r{n // 4}", "a", True)
        for n in range(workers)
    ]


class Ours:
    """The real core, as the keeper drives it."""

    def __init__(self, learn: bool = True, wary: bool = True):
        learner = size.Learner(enabled=learn)
        self.core = core.Core(0, 1, learner, quarantine.Quarantine(enabled=wary))
        self.revision = 1
        self.answers: list = []
        self.plan = make_document(1, 10, WORKERS)
        self.core.see_policy(view.make_policy(self.plan))

    def submit(self, asked: job.Submission, now: float) -> None:
        """Hand over a new row."""
        self.revision += 1
        new = job.make_job(asked, now)
        self.core.load([table.Row(new.key, job.encode(new), self.revision)])

    def cancel(self, names: set[str], now: float) -> None:
        """Do what the routes do: end queued jobs, mark the others."""
        self.revision += 1
        rows = []
        for name in names & set(self.core.state.jobs):
            item = self.core.state.jobs[name].job
            if item.state is job.JobState.QUEUED:
                rows.append(table.Row(item.key, None, 0))
            else:
                value = job.encode(item._replace(cancel=True))
                rows.append(table.Row(item.key, value, self.revision))
        self.core.load(rows)

    def step(self, bench: "Bench", now: float) -> None:
        """Decide, commit and call; answers come with the next step."""
        for call, outcome in self.answers:
            self.core.answer(call, outcome, now)
        self.answers = []
        self.core.see_fleet(bench.see_vms(now), now)
        for _ in range(4):
            batch = self.core.decide(now)
            if batch is None:
                break
            self.revision += 1
            self.core.confirm(batch, self.revision)
        for call in self.core.next_calls(now):
            self.answers.append((call, bench.call(call, now + CALL_DELAY)))

    def see(self, listed: list[tasks.Task], vms: list[str], now: float) -> None:
        """Take a task list."""
        self.core.see_tasks(listed, vms, now)

    def renew(self, bench: "Bench", now: float) -> None:
        """Renew what the core wants renewed."""
        names = self.core.find_renewals()
        bench.scheduler.renew(names, 1, 60.0, now)
        self.core.answer_renewal(names, DONE, now)

    @property
    def waiting(self) -> int:
        """Return the number of live jobs."""
        return len(self.core.state.jobs)


class FirstFit:
    """Baseline: first worker with room for the declared size, urgent first."""

    def __init__(self):
        self.queue: dict[str, job.Submission] = {}
        self.running: dict[str, tuple[str, job.Submission]] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.free: dict[str, list[float]] = {}
        self.stopping: list[str] = []
        self.changed = True

    def submit(self, asked: job.Submission, now: float) -> None:
        """Queue a job."""
        self.queue[f"{asked.team}/{asked.id}"] = asked
        self.changed = self.changed or asked.urgency == "urgent"

    def cancel(self, names: set[str], now: float) -> None:
        """Drop queued jobs; running ones are stopped with the next step."""
        for name in names:
            self.queue.pop(name, None)
        self.stopping = [name for name in names if name in self.running]

    def step(self, bench: "Bench", now: float) -> None:
        """Place in order of arrival, urgent first, skipping what does not fit."""
        for name in self.stopping:
            bench.scheduler.control(self._task(name), "stop", 1, now)
        self.stopping = []
        if not self.changed and now % 1.0:
            return
        self.changed = False
        vms = bench.see_vms(now)
        for vm in vms:
            self.free.setdefault(vm.vm, [vm.cores, vm.memory])
        usable = [vm.vm for vm in vms if vm.usable]
        missed: list[tuple[float, float]] = []
        room = [max(self.free[vm][unit] for vm in usable) for unit in (0, 1)]
        order = sorted(self.queue, key=lambda n: self.queue[n].urgency != "urgent")
        for name in order:
            asked = self.queue[name]
            if asked.cores > room[0] or asked.memory > room[1]:
                continue
            if any(asked.cores >= c and asked.memory >= m for c, m in missed):
                continue
            if not self._start(bench, name, asked, usable, now):
                missed.append((asked.cores, asked.memory))
                missed = missed[-50:]

    def _task(self, name: str) -> str:
        return f"{name}/{self.attempts[name]}"

    def _start(self, bench, name, asked, usable, now) -> bool:
        for vm in usable:
            free = self.free[vm]
            if free[0] < asked.cores or free[1] < asked.memory:
                continue
            self.attempts[name] += 1
            sizes = (asked.cores, asked.memory, asked.work)
            spec = tasks.TaskSpec(self._task(name), vm, *sizes, 1, 60.0)
            del self.queue[name]
            if bench.scheduler.start(spec, bench.live, now + CALL_DELAY):
                self.queue[name] = asked
                continue
            free[0] -= asked.cores
            free[1] -= asked.memory
            self.running[name] = (vm, asked)
            return True
        return False

    def see(self, listed: list[tasks.Task], vms: list[str], now: float) -> None:
        """Requeue what failed, up to twenty attempts."""
        for task in listed:
            name, _ = job.split_task(task.task)
            if name not in self.running or task.state in core.calls.attempt.ALIVE:
                continue
            vm, asked = self.running.pop(name)
            self.free[vm][0] += asked.cores
            self.free[vm][1] += asked.memory
            failed = task.state is not tasks.TaskState.FINISHED
            if failed and task.reason != "stopped" and self.attempts[name] < 20:
                self.queue[name] = asked

    def renew(self, bench: "Bench", now: float) -> None:
        """Renew all running tasks."""
        names = [self._task(name) for name in self.running]
        bench.scheduler.renew(names, 1, 60.0, now)

    @property
    def waiting(self) -> int:
        """Return the number of live jobs that can run."""
        huge = [n for n in self.queue if self.queue[n].kind == "huge"]
        return len(self.queue) + len(self.running) - len(huge)


class Bench:
    """One run of a mix under one way of placing."""

    def __init__(self, way: Ours | FirstFit, mix: Mix):
        self.way = way
        self.mix = mix
        self.scheduler = platformtasks.Scheduler(lag=LAG)
        self.vms = make_vms(make_document(1, 10, WORKERS), WORKERS)
        self.live = {vm.vm for vm in self.vms}
        self.ended: list[platformtasks.Execution] = []

    def see_vms(self, now: float) -> list[view.Vm]:
        """Return the view: one worker drains for 90 s, then reboots for 30 s."""
        turn, phase = int(now // 120.0), now % 120.0
        wave = f"w{turn % WORKERS}"
        self.live = {vm.vm for vm in self.vms if phase < 90.0 or vm.vm != wave}
        return [vm._replace(usable=vm.vm != wave) for vm in self.vms]

    def call(self, call: core.calls.Call, now: float) -> table.Outcome:
        """Carry out a task call."""
        if call.spec is not None:
            refused = self.scheduler.start(call.spec, self.live, now)
        else:
            refused = self.scheduler.control(call.task, call.action, 1, now)
        return table.Outcome.NOT_DONE if refused else DONE

    def run(self) -> None:
        """Run until all is done or LIMIT."""
        coming = collections.deque(self.mix.jobs)
        steps = 0
        now = 0.0
        while now < LIMIT and (coming or self.way.waiting or now < CANCEL_AT):
            now = steps * STEP
            steps += 1
            self.see_vms(now)
            if now % 1.0 == 0:
                self.scheduler.advance(now, self.live, {BAD})
            while coming and coming[0][0] <= now:
                at, asked = coming.popleft()
                self.way.submit(asked, at)
            if now == CANCEL_AT:
                self.way.cancel(self.mix.wave, now)
            if now % LIST_PERIOD == 0:
                names = [vm.vm for vm in self.vms]
                self.way.see(self.scheduler.list_tasks((), now), names, now)
                self._prune()
            if now % RENEW_PERIOD == 0:
                self.way.renew(self, now)
            self.way.step(self, now)
        self.end = now
        self.ended.extend(self.scheduler.executions.values())

    def _prune(self) -> None:
        for name, item in list(self.scheduler.executions.items()):
            if item.ended is not None:
                self.ended.append(self.scheduler.executions.pop(name))


class Result(NamedTuple):
    """What one run gave; times in seconds, shares between 0 and 1."""

    urgent_p50: float
    urgent_p99: float
    urgent_never: int
    bulk_in_time: float
    last_bulk: float
    useful: float
    wasted: float
    memory_kills: int
    bad_worker: int
    seconds: float


def judge(bench: Bench, seconds: float) -> Result:
    """Return the outcome of a run."""
    first: dict[str, float] = {}
    finished: dict[str, platformtasks.Execution] = {}
    useful = busy = 0.0
    for item in bench.ended:
        name = item.spec.task.rpartition("/")[0]
        first[name] = min(first.get(name, item.started), item.started)
        spent = item.spec.cores * ((item.ended or bench.end) - item.started)
        busy += spent if item.started < WINDOW else 0.0
        if item.state is tasks.TaskState.FINISHED:
            finished[name] = item
            if item.ended <= WINDOW:
                useful += item.work("cores", 0.0) * item.work("duration", 0.0)
    waits, bulk, last, never = [], [], 0.0, 0
    for at, asked in bench.mix.jobs:
        name = f"{asked.team}/{asked.id}"
        if asked.urgency == "urgent":
            never += name not in first
            waits.append(first.get(name, bench.end) - at)
        elif name not in bench.mix.wave and not asked.id.startswith("x"):
            done = finished[name].ended if name in finished else LIMIT
            bulk.append(done <= at + asked.deadline)
            last = max(last, done)
    waits.sort()
    capacity = WORKERS * CORES * WINDOW
    return Result(
        waits[len(waits) // 2],
        waits[int(0.99 * len(waits))],
        never,
        sum(bulk) / len(bulk),
        last,
        useful / capacity,
        busy / capacity - useful / capacity,
        sum(item.reason == "out of memory" for item in bench.ended),
        sum(item.spec.vm == BAD for item in bench.ended),
        seconds,
    )


def compare() -> None:
    """Print the table of the mix under each way of placing."""
    ways = {
        "first fit, declared sizes": FirstFit,
        "core, no learning, no quarantine": lambda: Ours(learn=False, wary=False),
        "core without learning": lambda: Ours(learn=False),
        "core without quarantine": lambda: Ours(wary=False),
        "core": Ours,
    }
    print(f"{WORKERS} workers, seed {SEED}, lag {LAG:g} s, {WAVE} jobs cancelled")
    names = " ".join(f"{name:>12}" for name in Result._fields)
    print(f"{'way':34}{names}")
    for name, make in ways.items():
        bench = Bench(make(), make_mix(SEED))
        begin = time.process_time()
        bench.run()
        result = judge(bench, time.process_time() - begin)
        cells = " ".join(f"{value:12.3f}" for value in result)
        print(f"{name:34}{cells}", flush=True)


def measure_cost() -> None:
    """Print decisions a second and memory by size of the fleet."""
    print(f"{'workers':>8}{'pools':>6}{'teams':>6}{'jobs':>7}", end="")
    print(f"{'placed/s':>10}{'idle ms':>9}{'MB':>7}{'KB/job':>8}")
    for workers, pools in ((30, 5), (200, 32), (800, 128), (800, 5), (25, 4)):
        _measure_one(workers, pools, 130)


def _measure_one(workers: int, pools: int, teams: int) -> None:
    plan = make_document(pools, teams, workers)
    rng = random.Random(SEED)
    count = workers * 12
    jobs = []
    for number in range(count):
        pool = plan.pools[rng.randrange(pools)].name
        team = f"team{rng.randrange(teams)}"
        sizes = {"duration": 600.0, "deadline": 3600.0}
        urgency = "urgent" if number % 4 == 0 else "bulk"
        asked = job.Submission(
            team, f"j{number}", pool, 4.0, 8.0, urgency=urgency, **sizes
        )
        jobs.append(job.make_job(asked, 0.0))
    rows = [table.Row(item.key, job.encode(item), 1) for item in jobs]
    tracemalloc.start()
    subject = core.Core(0, 1)
    subject.see_policy(view.make_policy(plan))
    vms = make_vms(plan, workers)
    subject.see_fleet(vms, 0.0)
    subject.load(rows)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begin = time.process_time()
    placed, now = 0, 1.0
    while (batch := subject.decide(now)) is not None:
        subject.confirm(batch, 2)
        for call in subject.next_calls(now):
            placed += call.action == "start"
            subject.answer(call, DONE, now)
    spent = time.process_time() - begin
    held = sum(len(names) for names in subject.state.on_vm.values())
    begin = time.process_time()
    for _ in range(20):
        now += 0.5
        subject.see_fleet(vms, now)
        subject.decide(now)
        subject.next_calls(now)
    idle = (time.process_time() - begin) / 20 * 1000
    print(f"{workers:8}{pools:6}{teams:6}{count:7}{held / spent:10.0f}", end="")
    print(f"{idle:9.2f}{used / 1e6:7.1f}{used / 1e3 / count:8.2f}", flush=True)


class OneLease:
    """The lease of the one shard of `measure_duty`."""

    def current(self, duty: str) -> lease.Lease:
        """Return a lease that is always held."""
        return lease.Lease(duty, 1, float("inf"))


def measure_duty() -> None:
    """Print what one shard's keeper costs while its jobs run."""
    print(f"{'workers':>8}{'running':>8}{'reads/s':>9}{'writes/s':>9}", end="")
    print(f"{'KB/s':>7}{'core %':>8}{'KB/s table':>11}")
    for workers, count in ((25, 0), (25, 25), (25, 100), (25, 200), (50, 200)):
        _measure_duty(workers, count)


def _submit_all(store: platformtable.Store, count: int, now: float) -> None:
    for number in range(count):
        asked = job.Submission(
            f"team{number % 10}", f"j{number}", POOL, 2.0, 4.0, 9e3, 9e4
        )
        new = job.make_job(asked._replace(work={"duration": 9e3}), now)
        marker = table.Write(ledger.marker_key(0, new.name), {})
        writes = [table.Write(new.key, job.encode(new)), marker]
        store.commit([table.Condition(new.key, 0)], writes, "", now)


def _measure_duty(workers: int, count: int, seconds: float = 60.0) -> None:
    plan = make_document(1, 10, workers)
    vms = make_vms(plan, workers)
    machines = [
        {"vm": vm.vm, "kind": "large", "address": "a:1", "rack": "r", "data_centre": ""}
        for vm in vms
    ]
    platform = fake.Fake(machines, usage_lag=LAG)
    store = platform.engine.store
    duty = view.duty_of(0)
    store.commit(
        [table.Condition("d", 0)], [table.Write(f"duty/{duty}", {})], "", platform.now
    )
    _submit_all(store, count, platform.now)
    waiting: list = []
    sizes: collections.Counter[str] = collections.Counter()
    handle = platform.engine.handle

    def count_bytes(call, now):
        answer = handle(call, now)
        text = json.dumps(call.body) + json.dumps(answer.body)
        sizes[call.path.split("/")[1]] += len(text)
        return answer

    platform.engine.handle = count_bytes
    client = platform.client
    context = message.Platform(
        client, client, OneLease(), lambda: vms, lambda: plan, lambda: platform.now
    )
    holder = keeper.Keeper(
        context, 0, lambda *call: waiting.append(call), collections.Counter(), 1
    )

    def play(length: float) -> float:
        spent = 0.0
        for _ in range(int(length / keeper.POLL)):
            begin = time.process_time()
            fake.run(holder.step())
            spent += time.process_time() - begin
            for function, *args in waiting:
                fake.run(function(*args))
            waiting.clear()
            platform.advance(keeper.POLL)
        return spent

    play(20.0)
    sizes.clear()
    before = client.reads.total(), client.writes.total()
    spent = play(seconds)
    reads = (client.reads.total() - before[0]) / seconds
    writes = (client.writes.total() - before[1]) / seconds
    running = len(holder.core.state.jobs)
    holder.close()
    print(f"{workers:8}{running:8}{reads:9.2f}{writes:9.2f}", end="")
    print(f"{sizes.total() / seconds / 1e3:7.2f}{100 * spent / seconds:8.2f}", end="")
    print(f"{sizes['table'] / seconds / 1e3:11.2f}")


def main() -> None:
    """Run what the command line names."""
    what = sys.argv[1] if len(sys.argv) > 1 else "all"
    if what in ("mix", "all"):
        compare()
    if what in ("cost", "all"):
        measure_cost()
    if what in ("duty", "all"):
        measure_duty()


if __name__ == "__main__":
    main()
