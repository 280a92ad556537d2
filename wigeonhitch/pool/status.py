"""Status of a pool that its leader publishes to other daemons."""

import collections
import math
from collections.abc import Iterable

from wigeonhitch.jobs import model
from wigeonhitch.pool import demand, record, view, vm

__all__ = ["build_status", "list_empty_vms"]

STATUS_STEP_MILLICORES = 4000
"""Millicores to which published figures are rounded down: an eighth of a VM."""

TIME_STEP_SECONDS = 0.5
"""Step to which the time until a VM is empty is rounded up: a third of a move."""


def build_status(
    pool: view.PoolView, unmet: int, demanded: demand.Demand
) -> record.PoolStatus:
    """Return the status to publish; ``unmet`` is in millicores."""
    idle = sum(
        max(0, machine.compute_free_room().cpu)
        for machine in pool.vms.values()
        if machine.listed and not machine.closed and not machine.entry.leaving
    )
    empty = tuple(sorted(_get_name(machine) for machine in list_empty_vms(pool)))
    light = [machine for machine in pool.vms.values() if _is_light(machine)]
    waiting: collections.Counter[str] = collections.Counter()
    counts = _count_waiting(pool)
    for entry in counts:
        waiting[entry.queue] += entry.jobs
    # Figures are rounded, so that the row isn't rewritten for each small change.
    return record.PoolStatus(
        dict(waiting),
        _round_down(unmet),
        _round_down(idle),
        empty,
        tuple(_get_name(machine) for machine in _sort_by_time_to_empty(pool, light)),
        tuple(sorted(_get_name(machine) for machine in light if not machine.runs)),
        _round_down(demanded.peak),
        _round_down(demanded.minimum),
        _round_down(compute_batch_capacity(pool)),
        _round_down(demanded.arriving),
        pool.roster.closings_version if empty else 0,
        tuple(entry for entry in counts if entry.path != model.UNKNOWN_PATH),
        pool.fair_queue.export_lag(),
    )


def compute_batch_capacity(pool: view.PoolView) -> int:
    """Return the millicores that the open VMs have for batch work."""
    room = 0
    for machine in pool.vms.values():
        if machine.listed and not machine.closed and not machine.entry.leaving:
            lasting = (run for run in machine.runs.values() if run.step.lasting)
            room += max(0, machine.compute_room_beside(lasting).cpu)
    return room


def _sort_by_time_to_empty(
    pool: view.PoolView, machines: Iterable[vm.Vm]
) -> list[vm.Vm]:
    """Sort VMs by how long their last task will run if they are closed.

    Runs with a checkpoint are continued elsewhere, except members of gangs. Times are
    rounded, so that the row isn't rewritten for each small change.
    """

    def rank(machine: vm.Vm) -> tuple[int, int, str]:
        longest = max(
            (
                pool.compute_remaining(run)
                for run in machine.runs.values()
                if run.step.gang or not run.step.checkpoint
            ),
            default=0.0,
        )
        steps = math.ceil(longest / TIME_STEP_SECONDS)
        return steps, len(machine.runs), machine.id

    return sorted(machines, key=rank)


def _round_down(millicores: int) -> int:
    return millicores - millicores % STATUS_STEP_MILLICORES


def list_empty_vms(pool: view.PoolView) -> list[vm.Vm]:
    """Return the closed VMs that are known to run nothing any more."""
    return [
        machine
        for machine in pool.vms.values()
        if machine.closed
        and machine.reconciled
        and not (machine.is_contested or machine.runs or machine.orphans)
    ]


def _get_name(machine: vm.Vm) -> str:
    """Return the name by which the fleet's leader knows a worker."""
    return machine.entry.reported_incarnation


def _count_waiting(pool: view.PoolView) -> list[record.PathCount]:
    """Return the number of jobs without a started task, by queue and path."""
    counts = collections.Counter(
        (state.job.queue, state.path)
        for state in pool.jobs.values()
        if state.state is model.JobState.QUEUED and not state.job.times
    )
    # Sorted, so that an equal status isn't written again.
    return [record.PathCount(*key, counts[key]) for key in sorted(counts)]


def _is_light(machine: vm.Vm) -> bool:
    """Return whether a VM is open and runs no lasting tasks."""
    if (
        not machine.listed
        or not machine.answered
        or machine.closed
        or machine.entry.leaving
    ):
        return False
    return not any(run.step.lasting for run in machine.runs.values())
