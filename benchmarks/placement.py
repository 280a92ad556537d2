"""Placement against first fit on declared sizes, and the cost of a decision.

Run as ``python -m benchmarks.placement [mix|cost|duty|site|all]``. A seeded loop
drives the real core (`wigeonhitch.placement.core`) with the task scheduler of the
platform stand-in; commits always succeed. It is no model of a cluster: each
step of 0.25 s hands the core what it would have read, and takes its commits
and calls. ``cost``, ``duty`` and ``site`` are in `placement_cost`.
"""

import collections
import sys
import time
from typing import NamedTuple

from benchmarks import placement_cost, placement_mix, placement_ways
from standins import platformtasks
from wigeonhitch.placement import core, view
from wigeonhitch.platform import table, tasks

# Seconds: of a step, between task lists and renewals, by which the task list
# lags, and after which a run ends whatever waits.
STEP = 0.25
LIST_PERIOD = 5.0
RENEW_PERIOD = 15.0
LAG = 3.0
LIMIT = 5400.0

# The worker that fails whatever is started on it.
BAD = "w7"


class Bench:
    """One run of a mix under one way of placing."""

    def __init__(self, way: placement_ways.Way, mix: placement_mix.Mix):
        self.way = way
        self.mix = mix
        self.scheduler = platformtasks.Scheduler(lag=LAG)
        self.vms = placement_mix.make_vms(
            placement_mix.make_document(1, 10, placement_mix.WORKERS),
            placement_mix.WORKERS,
        )
        self.live = {vm.vm for vm in self.vms}
        self.ended: list[platformtasks.Execution] = []

    def see_vms(self, now: float) -> list[view.Vm]:
        """Return the view: one worker drains for 90 s, then reboots for 30 s."""
        turn, phase = int(now // 120.0), now % 120.0
        wave = f"w{turn % placement_mix.WORKERS}"
        self.live = {vm.vm for vm in self.vms if phase < 90.0 or vm.vm != wave}
        return [vm._replace(usable=vm.vm != wave) for vm in self.vms]

    def call(self, call: core.calls.Call, now: float) -> table.Outcome:
        """Carry out a task call."""
        if call.spec is not None:
            refused = self.scheduler.start(call.spec, self.live, now)
        else:
            refused = self.scheduler.control(call.task, call.action, 1, now)
        return table.Outcome.NOT_DONE if refused else table.Outcome.DONE

    def run(self) -> None:
        """Run until all is done or LIMIT."""
        coming = collections.deque(self.mix.jobs)
        steps = 0
        now = 0.0
        while now < LIMIT and (
            coming or self.way.waiting or now < placement_mix.CANCEL_AT
        ):
            now = steps * STEP
            steps += 1
            self.see_vms(now)
            if now % 1.0 == 0:
                self.scheduler.advance(now, self.live, {BAD})
            while coming and coming[0][0] <= now:
                at, asked = coming.popleft()
                self.way.submit(asked, at)
            if now == placement_mix.CANCEL_AT:
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
        busy += spent if item.started < placement_mix.WINDOW else 0.0
        if item.state is tasks.TaskState.FINISHED:
            finished[name] = item
            if item.ended <= placement_mix.WINDOW:
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
    capacity = placement_mix.WORKERS * placement_mix.CORES * placement_mix.WINDOW
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
        "first fit, declared sizes": placement_ways.FirstFit,
        "core, no learning, no quarantine": lambda: placement_ways.Ours(
            learn=False, wary=False
        ),
        "core without learning": lambda: placement_ways.Ours(learn=False),
        "core without quarantine": lambda: placement_ways.Ours(wary=False),
        "core": placement_ways.Ours,
    }
    workers, wave = placement_mix.WORKERS, placement_mix.WAVE
    seed = placement_mix.SEED
    print(f"{workers} workers, seed {seed}, lag {LAG:g} s, {wave} jobs cancelled")
    names = " ".join(f"{name:>12}" for name in Result._fields)
    print(f"{'way':34}{names}")
    for name, make in ways.items():
        bench = Bench(make(), placement_mix.make_mix(placement_mix.SEED))
        begin = time.process_time()
        bench.run()
        result = judge(bench, time.process_time() - begin)
        cells = " ".join(f"{value:12.3f}" for value in result)
        print(f"{name:34}{cells}", flush=True)


def main() -> None:
    """Run what the command line names."""
    what = sys.argv[1] if len(sys.argv) > 1 else "all"
    if what in ("mix", "all"):
        compare()
    if what in ("cost", "all"):
        placement_cost.measure_cost()
    if what in ("duty", "all"):
        placement_cost.measure_duty()
    if what in ("site", "all"):
        placement_cost.measure_site()


if __name__ == "__main__":
    main()
