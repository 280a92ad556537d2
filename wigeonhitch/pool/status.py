"""What a pool's leader shows of it to other daemons."""

from wigeonhitch.jobs import model
from wigeonhitch.pool import demand, record, view, vm

__all__ = ["build_status", "list_empty_vms"]

STATUS_STEP_MILLICORES = 4000
"""Thousandths of a core by which the board's figures go: an eighth of a VM."""


def build_status(
    pool: view.PoolView, unmet: int, needed: demand.Demand
) -> record.PoolStatus:
    """Return the board; ``unmet`` in thousandths of a core."""
    idle = sum(
        one.compute_free_room().cpu
        for one in pool.vms.values()
        if one.listed and not one.closed and not one.entry.leaving
    )
    empty = tuple(sorted(one.id for one in list_empty_vms(pool)))
    light = [one for one in pool.vms.values() if _is_light(one)]
    # In whole steps, so that the row isn't written for each small change.
    return record.PoolStatus(
        _count_waiting(pool),
        _round_down(unmet),
        _round_down(idle),
        empty,
        tuple(one.id for one in sorted(light, key=_rank_by_runs)),
        tuple(sorted(one.id for one in light if not one.runs)),
        _round_down(needed.peak),
        _round_down(needed.minimum),
        _round_down(compute_batch_capacity(pool)),
        _round_down(needed.arriving),
        pool.closings_version if empty else 0,
    )


def compute_batch_capacity(pool: view.PoolView) -> int:
    """Return what the open VMs have for batch work, thousandths of a core."""
    room = 0
    for one in pool.vms.values():
        if one.listed and not one.closed and not one.entry.leaving:
            lasting = (run for run in one.runs.values() if run.step.lasting)
            room += one.entry.room.cpu - sum(run.room.cpu for run in lasting)
    return room


def _rank_by_runs(one: vm.Vm) -> tuple[int, str]:
    return (len(one.runs), one.id)


def _round_down(figure: int) -> int:
    return figure - figure % STATUS_STEP_MILLICORES


def list_empty_vms(pool: view.PoolView) -> list[vm.Vm]:
    """Return the VMs that are to be vacated and hold nothing any more."""
    return [
        one
        for one in pool.vms.values()
        if one.closed and one.reconciled and not (one.runs or one.orphans)
    ]


def _count_waiting(pool: view.PoolView) -> dict[str, int]:
    """Return by queue the jobs of which no task has started."""
    waiting: dict[str, int] = {}
    for state in pool.jobs.values():
        if state.state is model.JobState.QUEUED and not state.job.times:
            queue = state.job.queue
            waiting[queue] = waiting.get(queue, 0) + 1
    return waiting


def _is_light(one: vm.Vm) -> bool:
    """Whether an open VM holds no lasting tasks."""
    if not one.listed or not one.answered or one.closed or one.entry.leaving:
        return False
    return not any(run.step.lasting for run in one.runs.values())
