"""Time of one round of a pool's leader under a burst, without I/O.

Builds a pool with lasting tasks and a burst of queued jobs, up to five times the
capacity of the pool, and runs rounds while task runs end and start.

    python -m benchmarks.pool --vms 40 --jobs 150
"""

import sys
import time

import defopt

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import entries, workers
from wigeonhitch.pool import compaction, core, planner, view

__all__ = ["build_burst", "main"]

NOW = 100.0
VM_CAPACITY = model.Room(32000, 65536)


def build_burst(vms: int, jobs: int) -> tuple[core.Pool, planner.Planner]:
    """Return a pool with running tasks and queued jobs."""
    time_bounds = view.TimeBounds(6.5, 0.2)
    pool = core.Pool("p", 10, 1, time_bounds, NOW, lambda *_, **__: None)
    pool.on_queues([model.Queue("q", "h", "/q/", "p", objective=0.6, stretch=1.6)])
    for number in range(vms):
        id = f"w{number}"
        entry = entries.WorkerEntry(
            id, "p", id, "dc", False, VM_CAPACITY, ("a", "r1"), 5000.0
        )
        pool.on_worker(entry, NOW)
        pool.vms[id].recorded = pool.vms[id].answered = True
        pool.vms[id].last_answer = NOW
    lasting_step = model.Step(5, model.Room(3000, 4800), 1.0, lasting=True, spread=1)
    short_step = model.Step(8, model.Room(1800, 3300), 0.64)
    for number in range(vms):
        _add(pool, f"l{number}", lasting_step)
    for number in range(jobs):
        _add(pool, f"j{number}", short_step, short_step._replace(after=(0,)))
    return pool, planner.Planner(pool)


def measure(vms: int, jobs: int, rounds: int) -> float:
    """Return the mean processor time (ms) of a round in which runs end."""
    pool, pool_planner = build_burst(vms, jobs)
    _confirm(pool, pool_planner.plan(NOW, NOW))
    started_at = time.process_time()
    for number in range(rounds):
        _end_runs(pool, number, 6)
        _confirm(pool, pool_planner.plan(NOW, NOW))
        pool_planner.build_status(NOW, NOW)
    return (time.process_time() - started_at) / rounds * 1000


def main(*, vms: int = 40, jobs: int = 150, rounds: int = 100) -> None:
    """Print the mean processor time of a round.

    Parameters
    ----------
    vms : int
        VMs of the pool.
    jobs : int
        Jobs queued at the start.
    rounds : int
        Rounds to run.
    """
    print(f"{vms} VMs, {jobs} jobs: {measure(vms, jobs, rounds):.2f} ms a round")


def _add(pool: core.Pool, id: str, *steps: model.Step) -> None:
    job = model.Job(id, "q", "", steps)
    location = compaction.RowLocation("job00", "p.0")
    pool.on_job(id, record.JobRecord(job, NOW, False), 20, location)


def _confirm(pool: core.Pool, orders: list) -> None:
    reply = workers.OrderReply(workers.Verdict.DONE, 5000.0, NOW, NOW)
    for order in orders:
        if hasattr(order, "run"):
            pool.on_start(order.run, reply, NOW)


def _end_runs(pool: core.Pool, number: int, count: int) -> None:
    runs = [run for run in pool.live.values() if not run.step.lasting][:count]
    for run in runs:
        vm = run.vm
        end = workers.Ended(
            vm.processed_end + 1, run.task, run.number, model.End.DONE, ""
        )
        listed = tuple(
            workers.Running(running.task, running.number, "", 100, 0)
            for running in vm.runs.values()
        )
        done = workers.Verdict.DONE
        reply = workers.HoldReply(done, 5000.0, NOW, NOW, listed, (end,))
        pool.on_hold(vm, reply, NOW)


if __name__ == "__main__":
    sys.exit(defopt.run(main, short={}))
