"""Choice of the VM on which a suspect is started.

A suspect is a task that may crash its VM. The VM is recorded in the job's progress
before the start. One that is assigned for a test gets no other task until the test is
over.
"""

import math

from wigeonhitch.jobs import model
from wigeonhitch.pool import core, placement, suspect, vm

__all__ = ["find_gang_vms", "find_vm"]

TEST_VM_DIVISOR = 2
"""Divisor of the VMs that gives, rounded up, the most VMs that tests may use: each test
may cost its VM for some seconds, and the pool's other tasks need the rest."""

DOUBT_SECONDS = 4.0
"""Seconds after the leases of a silent VM have lapsed during which its suspects aren't
started elsewhere: by then its next incarnation or the removal of its entry usually
tells whether it has crashed."""


def find_vm(
    pool: core.Pool,
    placer: placement.Placer,
    task: model.Task,
    allowed: frozenset[str] | None,
    now: float,
    *,
    are_others_placed: bool = False,
) -> vm.Vm | None:
    """Return the VM on which a suspect may be started now.

    Without one a VM is assigned; the task can be started there once that is durable
    and, for a test, the VM's other tasks have ended.

    Parameters
    ----------
    allowed : frozenset of str, optional
        VMs that the queue's policy allows.
    are_others_placed : bool
        Whether the round has placed all other tasks, so that a VM that none of them
        needs may be assigned for a test even if tests have just crashed others.
    """
    state = pool.jobs[task.job]
    is_test = pool.suspects.must_be_tested(task)
    id = state.assigned_vms.get(task)
    if id is not None and id not in pool.vms:
        if pool.suspects.on_missing_vm(task, pool.get_end(id)):
            pool.give_up(task)
        return None
    if id is not None:
        machine = pool.vms[id]
        is_allowed = allowed is None or machine.id in allowed
        is_usable = _is_healthy(machine, now) if is_test else placer.has_room(machine)
        if is_allowed and is_usable:
            if not state.are_crashes_recorded:
                return None
            if is_test:
                return _begin_test(pool, machine, task, now)
            return machine
        if _is_in_doubt(machine, now):
            return None
        pool.suspects.release(task)
    if not is_test:
        chosen = _choose_apart(pool, placer, task, allowed)
    elif are_others_placed:
        chosen = _choose_for_test(pool, placer, task, allowed, must_be_idle=True)
    else:
        lost = _count_lost_to_tests(pool, placer, now)
        chosen = _choose_for_test(pool, placer, task, allowed, lost=lost)
    if chosen is not None:
        pool.suspects.assign(task, chosen.id)
    return None


def find_gang_vms(
    pool: core.Pool,
    placer: placement.Placer,
    tasks: list[model.Task],
    allowed: frozenset[str] | None,
    now: float,
) -> list[vm.Vm]:
    """Return the recorded VMs of a gang of suspects, if it can be started there now.

    They are withdrawn if one of them can't be used, so that others can be recorded.
    """
    state = pool.jobs[tasks[0].job]
    for task in tasks:
        id = state.assigned_vms.get(task)
        if id is None or id in pool.vms:
            continue
        if pool.suspects.on_missing_vm(task, pool.get_end(id)):
            pool.give_up(task)
            return []
    machines = [
        pool.vms[state.assigned_vms[task]]
        for task in tasks
        if task in state.assigned_vms
    ]
    is_usable = len(machines) == len(tasks) and all(
        placer.has_room(machine) and (allowed is None or machine.id in allowed)
        for machine in machines
    )
    if is_usable:
        return machines if state.are_crashes_recorded else []
    if not any(_is_in_doubt(machine, now) for machine in machines):
        for task in tasks:
            pool.suspects.release(task)
    return []


def _choose_apart(
    pool: core.Pool,
    placer: placement.Placer,
    task: model.Task,
    allowed: frozenset[str] | None,
) -> vm.Vm | None:
    step = pool.jobs[task.job].job.steps[task.step]
    avoid = pool.failed_on.get(task, "")
    is_suspect = pool.suspects.count(task) > 0
    return placer.choose(
        task, step, avoid=avoid, allowed=allowed, is_suspect=is_suspect
    )


def _count_lost_to_tests(pool: core.Pool, placer: placement.Placer, now: float) -> int:
    """Return how many VMs tests have crashed, including those not yet known as gone."""
    silent = (pool.suspects.list_test_vms() & pool.vms.keys()) - placer.kept
    return pool.suspects.count_test_losses(now) + len(silent)


def _choose_for_test(
    pool: core.Pool,
    placer: placement.Placer,
    task: model.Task,
    allowed: frozenset[str] | None,
    *,
    lost: int = 0,
    must_be_idle: bool = False,
) -> vm.Vm | None:
    """Choose the VM with the fewest tasks that would have to end first.

    Parameters
    ----------
    lost : int
        VMs that tests have crashed and that count as used by tests.
    must_be_idle : bool
        Whether the VM must have no other task that may crash it, neither running nor
        placed in this round.
    """
    if len(placer.kept) + lost >= math.ceil(
        (placer.open_count + lost) / TEST_VM_DIVISOR
    ):
        return None
    step = pool.jobs[task.job].job.steps[task.step]
    candidates = [
        machine
        for machine in placer.vms
        if machine.id not in placer.suspects
        and placer.is_eligible(machine, task, step)
        and (allowed is None or machine.id in allowed)
        and _fits_beside_proven(machine, step)
        and (not must_be_idle or _is_idle(placer, machine))
    ]
    if not candidates:
        return None
    chosen = min(
        candidates,
        key=lambda machine: (len(_list_unproven(machine)), len(machine.runs)),
    )
    placer.keep(chosen)
    return chosen


def _begin_test(
    pool: core.Pool, machine: vm.Vm, task: model.Task, now: float
) -> vm.Vm | None:
    """Return the VM if a test can begin there now."""
    if not _is_alone(machine, pool.jobs[task.job].job.steps[task.step]):
        return None
    if now - machine.last_contact > suspect.MAX_CONTACT_AGE_SECONDS:
        return None
    pool.suspects.on_test_started(task, machine.id)
    return machine


def _is_healthy(machine: vm.Vm, now: float) -> bool:
    return machine.is_open(now) and not machine.is_quarantined(now)


def _is_alone(machine: vm.Vm, step: model.Step) -> bool:
    """Return whether only tasks that are no cause of a crash run on a VM."""
    is_free = step.reserved.fits_in(machine.compute_free_room())
    return is_free and not _list_unproven(machine)


def _is_in_doubt(machine: vm.Vm, now: float) -> bool:
    """Return whether a VM may have crashed without being known as gone."""
    return machine.is_silent and not machine.is_lapsed(now, DOUBT_SECONDS)


def _list_unproven(machine: vm.Vm) -> list[vm.Run]:
    return [run for run in machine.runs.values() if not suspect.is_proven(run)]


def _fits_beside_proven(machine: vm.Vm, step: model.Step) -> bool:
    return step.reserved.fits_in(_compute_room_beside_proven(machine))


def _is_idle(placer: placement.Placer, machine: vm.Vm) -> bool:
    """Return whether no room is taken but by tasks that are no cause of a crash."""
    return placer.free[machine.id] == _compute_room_beside_proven(machine)


def _compute_room_beside_proven(machine: vm.Vm) -> model.Room:
    proven = [run for run in machine.runs.values() if suspect.is_proven(run)]
    return machine.compute_room_beside(proven)
