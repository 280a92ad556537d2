"""Use of a pool's processors by urgency: what runs, what is idle and what waits.

No I/O and no clock. It is computed for gauges and a log line each few seconds and not
in each scheduling round.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model, progress
from wigeonhitch.pool import placement, priority, view, vm

__all__ = ["USES", "PoolLoad", "compute_load"]

USES = (
    *("lasting", "on time", "late", "expired", "closed", "idle"),
    *("waiting on time", "waiting late"),
)
"""Uses of a pool's processors, as in the label ``use`` of the metric."""

_USES_BY_GROUP = {
    priority.LASTING: "lasting",
    priority.ON_TIME: "on time",
    priority.LATE: "late",
    priority.EXPIRED: "expired",
}


class PoolLoad(NamedTuple):
    """Load of a pool, in millicores by use and in numbers of VMs and jobs.

    Runs count on VMs that take tasks and on closed or leaving ones, also while they
    are being started or stopped. Runs of cancelled and final jobs count as
    ``expired``, since they have no value. Waiting are the tasks whose turn has come
    and that have no run that the leader knows; lasting ones count as on time.
    """

    lasting: int = 0
    on_time: int = 0
    late: int = 0
    expired: int = 0
    closed: int = 0
    """Idle room of closed and leaving VMs."""
    idle: int = 0
    """Free room of open VMs; it may lack memory, or the VM may be quarantined."""
    waiting_on_time: int = 0
    waiting_late: int = 0
    open_vms: int = 0
    closed_vms: int = 0
    on_time_jobs: int = 0
    late_jobs: int = 0
    expired_jobs: int = 0
    lacks_room: bool = False
    """Whether some of the waiting tasks fit on no VM that takes tasks."""

    def list_uses(self) -> dict[str, int]:
        """Return the millicores by use."""
        return {use: getattr(self, use.replace(" ", "_")) for use in USES}

    def describe(self) -> dict[str, int]:
        """Return the fields of the log line."""
        fields = self._asdict()
        del fields["lacks_room"]
        return fields


def compute_load(
    pool: view.PoolView, groups: Mapping[str, int], now: float, wall_time: float
) -> PoolLoad:
    """Return the load of a pool.

    Parameters
    ----------
    pool : view.PoolView
        The leader's view of the pool.
    groups : mapping of str to int
        Group in `priority` of each open job, by id.
    now : float
        This daemon's monotonic time.
    wall_time : float
        Unix time.
    """
    uses = dict.fromkeys(USES, 0)
    open_vms = closed_vms = 0
    for machine in pool.vms.values():
        is_open = machine.is_open(now)
        if not (is_open or _is_closed(machine)):
            continue
        open_vms += is_open
        closed_vms += not is_open
        free = max(0, machine.compute_free_room().cpu)
        uses["idle" if is_open else "closed"] += free
        for run in machine.runs.values():
            group = groups.get(run.task.job, priority.EXPIRED)
            uses[_USES_BY_GROUP[group]] += run.room.cpu
    placer = placement.Placer(pool.vms.values(), now)
    # With the most free room first, most searches end at the first VM.
    placer.vms.sort(key=lambda machine: -placer.free[machine.id].cpu)
    lacks_room = False
    jobs = dict.fromkeys(_USES_BY_GROUP, 0)
    for id, group in groups.items():
        jobs[group] += 1
        state = pool.jobs[id]
        waiting = _list_waiting(pool, state, wall_time)
        use = "waiting on time" if group <= priority.ON_TIME else "waiting late"
        for first, count in waiting.values():
            step = state.job.steps[first.step]
            uses[use] += count * step.reserved.cpu
            lacks_room = lacks_room or not _has_room(placer, first, step)
    return PoolLoad(
        **{use.replace(" ", "_"): millicores for use, millicores in uses.items()},
        open_vms=open_vms,
        closed_vms=closed_vms,
        on_time_jobs=jobs[priority.ON_TIME],
        late_jobs=jobs[priority.LATE],
        expired_jobs=jobs[priority.EXPIRED],
        lacks_room=lacks_room,
    )


def _is_closed(machine: vm.Vm) -> bool:
    return machine.listed and (machine.closed or machine.entry.leaving)


def _list_waiting(
    pool: view.PoolView, state: progress.Progress, wall_time: float
) -> dict[tuple[int, int], tuple[model.Task, int]]:
    """Return the first waiting task of each step, and their number."""
    waiting: dict[tuple[int, int], tuple[model.Task, int]] = {}
    for task in state.list_open_tasks(wall_time):
        if task not in pool.live:
            key = (task.occurrence, task.step)
            first, count = waiting.get(key, (task, 0))
            waiting[key] = (first, count + 1)
    return waiting


def _has_room(placer: placement.Placer, task: model.Task, step: model.Step) -> bool:
    """Return whether a task, or its whole gang, fits on the VMs that take tasks.

    The room of tasks that are placed before it isn't subtracted: after a round, those
    that fit have been started unless a ceiling, a ticket or a test holds them back.
    """
    missing = step.count if step.gang else 1
    for machine in placer.vms:
        if placer.is_eligible(machine, task, step):
            missing -= placement.count_fitting(step, placer.free[machine.id])
        if missing <= 0:
            return True
    return False
