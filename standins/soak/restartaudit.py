"""Checks of runs in which workers are restarted under their ids.

Incarnations are told apart by the stand-ins' own count, not by what they report.
"""

from typing import NamedTuple

from standins import siteworker
from standins.soak import caller, environment, incarnation, vmfleet
from wigeonhitch.platform import entries, http

__all__ = ["Probe", "check_completed", "check_forgotten", "check_idle", "submit_probe"]

MIN_LISTED_SECONDS = 2.0
"""Time after its start from which a worker is expected to get tasks."""

MAX_IDLE_SECONDS = 2.0
"""Time for which a listed worker may be idle while tasks wait that it could run."""

MAX_LATE_START_SECONDS = 1.0
"""Time after a caller was told that a job is completed in which a start that was on its
way may still arrive."""


class Probe(NamedTuple):
    """A job whose tasks need each worker of a pool, and those that could run them."""

    time: float
    job: caller.SubmittedJob
    workers: tuple[str, ...]


async def submit_probe(
    site: environment.Environment,
    callers: caller.Callers,
    queue: environment.Queue,
) -> Probe:
    """Submit a job that needs each worker of a queue's pool.

    A VM that awaits its maintenance may be closed, so it isn't expected to get tasks.
    """
    pool = site.current_pools[queue.name]
    vms = [vm for vm in site.vm_fleet.vms.values() if vm.pool == pool]
    now = http.read_clock()
    listed = tuple(
        vm.worker.id
        for vm in vms
        if vm.worker
        and _is_listed(site.vm_fleet, vm, now)
        and not site.awaits_maintenance(vm.name)
    )
    job = await callers.submit_probe(queue, max(1, len(vms)))
    return Probe(job.accepted or now, job, listed)


def _is_listed(vm_fleet: vmfleet.VmFleet, vm: vmfleet.Vm, now: float) -> bool:
    """Return whether a worker that has room is known to all daemons."""
    began = [
        change.time for change in vm_fleet.capacities if change.worker == vm.worker.id
    ]
    return (
        min(began) < now - MIN_LISTED_SECONDS
        and vm.leaves_at is None
        and vm.millicores == vmfleet.VM_MILLICORES
        and vm_fleet.rows.get(entries.WORKER_TABLE, "", vm.worker.registered_id)
        is not None
    )


def check_forgotten(workers: list[incarnation.Worker]) -> list[str]:
    """Check that no worker has forgotten an end that it hadn't listed yet."""
    return [
        f"end acknowledged that was never listed: {forgotten}"
        for worker in workers
        for forgotten in worker.forgotten
    ]


def check_completed(
    calls: list[caller.Call], events: list[siteworker.Event]
) -> list[str]:
    """Check that nothing of a job starts after a caller saw it completed."""
    completed: dict[str, float] = {}
    for call in calls:
        if call.status == 200 and call.body and call.body.get("state") == "completed":
            completed.setdefault(call.job, call.ended)
    return [
        f"started {event.time - completed[event.task.job]:.1f} s after its job was "
        f"completed: {event}"
        for event in events
        if event.kind == "start"
        and event.task.job in completed
        and event.time > completed[event.task.job] + MAX_LATE_START_SECONDS
    ]


def check_idle(probes: list[Probe], vm_fleet: vmfleet.VmFleet) -> list[str]:
    """Check that each listed worker gets a task while tasks of a probe wait."""
    alive = {vm.worker.id for vm in vm_fleet.vms.values() if vm.worker is not None}
    ordered = {event.worker for event in vm_fleet.events if event.kind == "ordered"}
    violations = []
    for probe in probes:
        starts = [
            event
            for event in vm_fleet.events
            if event.kind == "start" and event.time >= probe.time
        ]
        last_start = max(
            (event.time for event in starts if event.task.job == probe.job.id),
            default=probe.time,
        )
        if last_start < probe.time + MAX_IDLE_SECONDS:
            continue
        used = {event.worker for event in starts if event.time <= last_start}
        violations.extend(
            f"idle for {last_start - probe.time:.1f} s while tasks of "
            f"{probe.job.id} waited: {worker}"
            for worker in probe.workers
            if worker in alive
            and worker not in used
            and worker not in ordered
            and worker not in vm_fleet.drained
        )
    return violations
