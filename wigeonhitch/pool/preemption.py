"""Choice of the batch runs that are stopped so that more urgent tasks can start.

It answers two loads. In a burst of more than the pool holds, jobs that can't be on time
any more hold up to half of it, while tasks of jobs that can still be on time wait. At
the end of a burst, VMs that are closed for a move stay nearly idle until the last of
their tasks has ended.

Only runs that have a checkpoint are stopped: a stop writes one, and the next run
resumes from it, so that a stop costs its own time and that of the restart but no work.
"""

import collections
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.pool import priority, vm

__all__ = ["Candidate", "Preemptor", "WaitingTasks"]

RESTART_DELAY_SECONDS = 1.0
"""Time for which a preempted task isn't started again. Room that is too small for the
tasks that wait would otherwise be given to it at once, and be taken again."""

MAX_PREEMPTIONS = 3
"""Number of times that a task may be preempted, so that a large late job isn't held up
by each burst."""

RESTART_SECONDS = 0.7
"""Time that a stop and the restart from a checkpoint take together, with the answers in
between: half a second for the stop and a quarter for the restart."""


class Candidate(NamedTuple):
    """A run that may be stopped, with the sort key of its job."""

    key: priority.SortKey
    run: vm.Run


class WaitingTasks(NamedTuple):
    """Tasks of one step that find no room, with the sort key of their job."""

    key: priority.SortKey
    room: model.Room
    """Resources of each task."""
    count: int
    allowed: frozenset[str] | None = None
    """VMs on which they may start; None for any."""


class Preemptor:
    """Decides which runs to stop, and remembers which tasks were stopped.

    Parameters
    ----------
    not_before : dict of model.Task to float
        Earliest time of the next start of each task; preempted ones are added.
    """

    def __init__(self, not_before: dict[model.Task, float]) -> None:
        self._not_before = not_before
        self._counts: dict[model.Task, int] = {}

    def forget_job(self, id: str) -> None:
        """Drop what is known of a job's tasks."""
        for task in [task for task in self._counts if task.job == id]:
            del self._counts[task]

    def is_preemptible(self, run: vm.Run, remaining: float) -> bool:
        """Return whether a run may be stopped without losing work.

        Its room would be free as early without a stop if it ends by itself within
        ``remaining`` seconds that are fewer than a stop and a restart take.
        """
        step = run.step
        return (
            step.checkpoint
            and not (step.lasting or step.gang or step.fills)
            and run.state is vm.RunState.RUNNING
            and remaining > RESTART_SECONDS
            and self._counts.get(run.task, 0) < MAX_PREEMPTIONS
        )

    def choose_victims(
        self,
        candidates: Iterable[Candidate],
        waiting: Iterable[WaitingTasks],
        free: Mapping[str, model.Room],
        stopping: Iterable[vm.Run] = (),
    ) -> list[vm.Run]:
        """Return the runs to stop for tasks that wait, least urgent first.

        Parameters
        ----------
        candidates : iterable of Candidate
            Preemptible runs.
        waiting : iterable of WaitingTasks
            Tasks that find no room.
        free : mapping of str to model.Room
            Free resources of each VM on which tasks may be started.
        stopping : iterable of vm.Run
            Runs that are being stopped already. Their room counts for the tasks that
            wait, so that they don't have more runs stopped meanwhile.
        """
        missing = _MissingRoom(waiting, free)
        for run in stopping:
            missing.free_room(run)
        missing.serve_all()
        victims: list[vm.Run] = []
        kept: dict[str, list[Candidate]] = {}
        for candidate in sorted(candidates, key=_get_key, reverse=True):
            if missing.is_served:
                break
            # Several small runs of a VM may have to make room for one large task.
            together = [candidate]
            if not missing.has_use_for(together):
                together = [*kept.get(candidate.run.vm.id, ()), candidate]
                if not missing.has_use_for(together):
                    kept[candidate.run.vm.id] = together
                    continue
                del kept[candidate.run.vm.id]
            for other in together:
                missing.free_room(other.run)
            missing.serve(candidate.run.vm.id, candidate.key)
            victims.extend(other.run for other in together)
        return victims

    def may_vacate(
        self,
        inputs: priority.SortInputs,
        wall_time: float,
        reserve_room: Callable[[], bool],
    ) -> bool:
        """Return whether a run should be stopped because its VM is to be emptied.

        The run of a job that can't be on time is stopped in any case. Another one is
        continued elsewhere if there is room for it and the job stays on time. Only
        then is ``reserve_room`` called, which returns whether it has found room.
        """
        end = wall_time + inputs.critical_path_left
        if end > inputs.due:
            return True
        return end + RESTART_SECONDS <= inputs.due and reserve_room()

    def record(self, run: vm.Run, now: float, *, is_delayed: bool) -> None:
        """Record that a run is being stopped at this daemon's time ``now``."""
        self._counts[run.task] = self._counts.get(run.task, 0) + 1
        if is_delayed:
            self._not_before[run.task] = now + RESTART_DELAY_SECONDS


def is_outranked(key: priority.SortKey, group: int, first: int) -> bool:
    """Return whether a job's tasks may be preempted for those of another job.

    Jobs that can be on time are only preempted for those of a queue that comes first:
    among themselves each stop would delay one to speed up another.

    Parameters
    ----------
    key : priority.SortKey
        Sort key of the job that runs.
    group, first : int
        Group and priority of the job that waits.
    """
    if key.group >= priority.LATE:
        return (group, first) < (key.group, key.priority)
    return group <= key.group and first < key.priority


class _Kind(NamedTuple):
    """What the waiting tasks that count together have in common."""

    group: int
    priority: int
    room: model.Room
    allowed: frozenset[str] | None

    def fits(self, id: str, room: model.Room) -> bool:
        """Return whether one of the tasks may start in a VM's free room."""
        if self.allowed is not None and id not in self.allowed:
            return False
        return self.room.fits_in(room)


class _MissingRoom:
    """Waiting tasks for which no room is found yet, and room that is becoming free.

    Tasks count by group, priority and resources: thousands of jobs may wait, and all
    runs of a pool are compared with them.
    """

    def __init__(
        self, waiting: Iterable[WaitingTasks], free: Mapping[str, model.Room]
    ) -> None:
        counts: collections.Counter[_Kind] = collections.Counter()
        for tasks in waiting:
            group, first = tasks.key.group, tasks.key.priority
            counts[_Kind(group, first, tasks.room, tasks.allowed)] += tasks.count
        ordered = sorted(counts, key=lambda kind: kind[:3])
        self._counts = {kind: counts[kind] for kind in ordered}
        """Number of tasks of each kind, most urgent first."""
        self._free = dict(free)
        self._freed: set[str] = set()
        """VMs of which room is becoming free."""

    @property
    def is_served(self) -> bool:
        """Whether there will be room for all tasks."""
        return not self._counts

    def free_room(self, run: vm.Run) -> None:
        """Count a run's room as free, if tasks may be started on its VM."""
        id = run.vm.id
        if id in self._free:
            self._free[id] = self._free[id].plus(run.room)
            self._freed.add(id)

    def serve_all(self) -> None:
        """Give the room that is becoming free to tasks, most urgent first."""
        for id in sorted(self._freed):
            self._serve_others(id)

    def has_use_for(self, candidates: Sequence[Candidate]) -> bool:
        """Return whether a more urgent task fits on a VM without these runs of it.

        The last run is that of the most urgent job.
        """
        last = candidates[-1]
        id = last.run.vm.id
        if id not in self._free:
            return False
        room = self._free[id]
        for candidate in candidates:
            room = room.plus(candidate.run.room)
        return self._find(id, last.key, room) is not None

    def serve(self, id: str, key: priority.SortKey) -> None:
        """Give a VM's room to a task that outranks a key, and the rest to others."""
        kind = self._find(id, key, self._free[id])
        if kind is not None:
            self._give(id, kind)
        self._serve_others(id)

    def _find(self, id: str, key: priority.SortKey, room: model.Room) -> "_Kind | None":
        """Return the most urgent kind that outranks a key and fits in a VM's room."""
        for kind in self._counts:
            if is_outranked(key, kind.group, kind.priority) and kind.fits(id, room):
                return kind
        return None

    def _serve_others(self, id: str) -> None:
        for kind in list(self._counts):
            while kind in self._counts and kind.fits(id, self._free[id]):
                self._give(id, kind)

    def _give(self, id: str, kind: "_Kind") -> None:
        self._free[id] = self._free[id].minus(kind.room)
        self._counts[kind] -= 1
        if self._counts[kind] <= 0:
            del self._counts[kind]


def _get_key(candidate: Candidate) -> priority.SortKey:
    return candidate.key
