"""Placement compared with first fit on declared sizes, and decision costs.

Run as ``python -m benchmarks.placement [mix|cost|duty|site|all]``. A seeded loop
drives the real core (`wigeonhitch.placement.core`) with the task scheduler of the
platform stand-in; commits always succeed. It does not model a cluster: each
step of 0.25 s passes the core its input and executes its commits and calls.
``cost``, ``duty`` and ``site`` are in `placement_cost`.
"""

import collections
import sys
import time
from typing import NamedTuple

from benchmarks import placement_cost, placement_strategies, placement_workload
from standins import platformtasks
from wigeonhitch.placement import core, view
from wigeonhitch.platform import table, tasks

# A run ends after the maximum even if jobs are still queued.
STEP_SECONDS = 0.25
LIST_PERIOD_SECONDS = 5.0
RENEW_PERIOD_SECONDS = 15.0
TASK_LIST_LAG_SECONDS = 3.0
MAX_SIMULATED_SECONDS = 5400.0

# Every task on this worker fails.
FAULTY_VM = "w7"


class Simulation:
    """One run of a workload under one placement strategy."""

    def __init__(
        self,
        strategy: placement_strategies.Strategy,
        workload: placement_workload.Workload,
    ):
        self.strategy = strategy
        self.workload = workload
        self.scheduler = platformtasks.Scheduler(lag=TASK_LIST_LAG_SECONDS)
        self.vms = placement_workload.make_vms(
            placement_workload.make_document(1, 10, placement_workload.WORKER_COUNT),
            placement_workload.WORKER_COUNT,
        )
        self.live = {vm.vm for vm in self.vms}
        self.ended: list[platformtasks.Execution] = []

    def observe_vms(self, now: float) -> list[view.Vm]:
        """Return the workers: one at a time drains for 90 s, then reboots for 30 s."""
        cycle, phase = int(now // 120.0), now % 120.0
        maintained_vm = f"w{cycle % placement_workload.WORKER_COUNT}"
        self.live = {vm.vm for vm in self.vms if phase < 90.0 or vm.vm != maintained_vm}
        return [vm._replace(usable=vm.vm != maintained_vm) for vm in self.vms]

    def call(self, call: core.calls.Call, now: float) -> table.Outcome:
        """Execute a task call."""
        if call.spec is not None:
            refused = self.scheduler.start(call.spec, self.live, now)
        else:
            refused = self.scheduler.control(call.task, call.action, 1, now)
        return table.Outcome.NOT_DONE if refused else table.Outcome.DONE

    def run(self) -> None:
        """Run until all jobs are done or the maximum time is reached."""
        pending = collections.deque(self.workload.jobs)
        step_count = 0
        now = 0.0
        while now < MAX_SIMULATED_SECONDS and (
            pending
            or self.strategy.live_jobs
            or now < placement_workload.CANCEL_AT_SECONDS
        ):
            now = step_count * STEP_SECONDS
            step_count += 1
            self.observe_vms(now)
            if now % 1.0 == 0:
                self.scheduler.advance(now, self.live, {FAULTY_VM})
            while pending and pending[0][0] <= now:
                at, submission = pending.popleft()
                self.strategy.submit(submission, at)
            if now == placement_workload.CANCEL_AT_SECONDS:
                self.strategy.cancel(self.workload.burst, now)
            if now % LIST_PERIOD_SECONDS == 0:
                names = [vm.vm for vm in self.vms]
                self.strategy.update_tasks(
                    self.scheduler.list_tasks((), now), names, now
                )
                self._prune()
            if now % RENEW_PERIOD_SECONDS == 0:
                self.strategy.renew(self, now)
            self.strategy.step(self, now)
        self.end_time = now
        self.ended.extend(self.scheduler.executions.values())

    def _prune(self) -> None:
        for name, execution in list(self.scheduler.executions.items()):
            if execution.ended is not None:
                self.ended.append(self.scheduler.executions.pop(name))


class Result(NamedTuple):
    """Measures of one run; times in seconds, shares between 0 and 1."""

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


def evaluate(simulation: Simulation, seconds: float) -> Result:
    """Return the measures of a run."""
    first_start: dict[str, float] = {}
    finished: dict[str, platformtasks.Execution] = {}
    useful_core_seconds = busy_core_seconds = 0.0
    for execution in simulation.ended:
        name = execution.spec.task.rpartition("/")[0]
        first_start[name] = min(
            first_start.get(name, execution.started), execution.started
        )
        core_seconds = execution.spec.cores * (
            (execution.ended or simulation.end_time) - execution.started
        )
        busy_core_seconds += (
            core_seconds
            if execution.started < placement_workload.BULK_WINDOW_SECONDS
            else 0.0
        )
        if execution.state is tasks.TaskState.FINISHED:
            finished[name] = execution
            if execution.ended <= placement_workload.BULK_WINDOW_SECONDS:
                useful_core_seconds += execution.work("cores", 0.0) * execution.work(
                    "duration", 0.0
                )
    urgent_waits, bulk_in_time, last_bulk_end, urgent_never = [], [], 0.0, 0
    for at, submission in simulation.workload.jobs:
        name = f"{submission.team}/{submission.id}"
        if submission.urgency == "urgent":
            urgent_never += name not in first_start
            urgent_waits.append(first_start.get(name, simulation.end_time) - at)
        elif name not in simulation.workload.burst and not submission.id.startswith(
            "x"
        ):
            ended_at = (
                finished[name].ended if name in finished else MAX_SIMULATED_SECONDS
            )
            bulk_in_time.append(ended_at <= at + submission.deadline)
            last_bulk_end = max(last_bulk_end, ended_at)
    urgent_waits.sort()
    capacity = (
        placement_workload.WORKER_COUNT
        * placement_workload.CORES_PER_WORKER
        * placement_workload.BULK_WINDOW_SECONDS
    )
    return Result(
        urgent_waits[len(urgent_waits) // 2],
        urgent_waits[int(0.99 * len(urgent_waits))],
        urgent_never,
        sum(bulk_in_time) / len(bulk_in_time),
        last_bulk_end,
        useful_core_seconds / capacity,
        busy_core_seconds / capacity - useful_core_seconds / capacity,
        sum(execution.reason == "out of memory" for execution in simulation.ended),
        sum(execution.spec.vm == FAULTY_VM for execution in simulation.ended),
        seconds,
    )


def compare() -> None:
    """Print the measures of the workload under each placement strategy."""
    strategies = {
        "first fit, declared sizes": placement_strategies.FirstFit,
        "core, no learning, no quarantine": lambda: placement_strategies.CorePlacement(
            estimate_sizes=False, use_quarantine=False
        ),
        "core without learning": lambda: placement_strategies.CorePlacement(
            estimate_sizes=False
        ),
        "core without quarantine": lambda: placement_strategies.CorePlacement(
            use_quarantine=False
        ),
        "core": placement_strategies.CorePlacement,
    }
    worker_count, burst_jobs = (
        placement_workload.WORKER_COUNT,
        placement_workload.BURST_JOB_COUNT,
    )
    seed = placement_workload.SEED
    print(
        f"{worker_count} workers, seed {seed}, "
        f"lag {TASK_LIST_LAG_SECONDS:g} s, {burst_jobs} jobs cancelled"
    )
    names = " ".join(f"{name:>12}" for name in Result._fields)
    print(f"{'strategy':34}{names}")
    for name, make_strategy in strategies.items():
        simulation = Simulation(
            make_strategy(), placement_workload.build_workload(placement_workload.SEED)
        )
        started_at = time.process_time()
        simulation.run()
        result = evaluate(simulation, time.process_time() - started_at)
        cells = " ".join(f"{value:12.3f}" for value in result)
        print(f"{name:34}{cells}", flush=True)


def main() -> None:
    """Run the benchmarks that the command line selects."""
    selection = sys.argv[1] if len(sys.argv) > 1 else "all"
    if selection in ("mix", "all"):
        compare()
    if selection in ("cost", "all"):
        placement_cost.measure_cost()
    if selection in ("duty", "all"):
        placement_cost.measure_duty()
    if selection in ("site", "all"):
        placement_cost.measure_site()


if __name__ == "__main__":
    main()
