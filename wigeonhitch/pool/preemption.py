"""Choice of the batch runs that are stopped so that more urgent tasks can start.

It answers two loads. In a burst of more than the pool holds, jobs that can't be on time
any more hold up to half of it, while tasks of jobs that can still be on time wait. At
the end of a burst, VMs that are closed for a move stay nearly idle until the last of
their tasks has ended.

Only runs that have a checkpoint are stopped: a stop writes one, and the next run
resumes from it, so that a stop costs its own time and that of the restart but no work.
"""

from collections.abc import Iterable, Mapping
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
    ) -> list[vm.Run]:
        """Return the runs to stop for tasks that wait, least urgent first.

        Parameters
        ----------
        candidates : iterable of Candidate
            Preemptible runs, and those that are being stopped already.
        waiting : iterable of WaitingTasks
            Tasks that find no room.
        free : mapping of str to model.Room
            Free resources of each VM on which tasks may be started.

        Notes
        -----
        A run that is being stopped counts for the tasks that wait until its end is
        listed, so that they don't have more runs stopped meanwhile.
        """
        ordered = sorted(candidates, key=lambda candidate: candidate.key, reverse=True)
        missing = sorted(waiting, key=lambda tasks: tasks.key)
        lacking = sum(tasks.room.cpu * tasks.count for tasks in missing) - sum(
            candidate.run.room.cpu
            for candidate in ordered
            if candidate.run.state is vm.RunState.STOPPING
        )
        freed: dict[str, model.Room] = {}
        victims = []
        for candidate in ordered:
            run = candidate.run
            if lacking <= 0:
                break
            if run.state is vm.RunState.STOPPING or run.vm.id not in free:
                continue
            room = free[run.vm.id].plus(freed.get(run.vm.id, model.Room()))
            room = room.plus(run.room)
            if not any(
                is_outranked(candidate.key, tasks.key) and tasks.room.fits_in(room)
                for tasks in missing
            ):
                continue
            victims.append(run)
            freed[run.vm.id] = freed.get(run.vm.id, model.Room()).plus(run.room)
            lacking -= run.room.cpu
        return victims

    def may_vacate(
        self, inputs: priority.SortInputs, wall_time: float, *, has_room: bool
    ) -> bool:
        """Return whether a run should be stopped because its VM is to be emptied.

        The run of a job that can't be on time is stopped in any case. Another one is
        continued elsewhere if there is room for it and the job stays on time.
        """
        end = wall_time + inputs.critical_path_left
        if end > inputs.due:
            return True
        return has_room and end + RESTART_SECONDS <= inputs.due

    def record(self, run: vm.Run, now: float, *, is_delayed: bool) -> None:
        """Record that a run is being stopped at this daemon's time ``now``."""
        self._counts[run.task] = self._counts.get(run.task, 0) + 1
        if is_delayed:
            self._not_before[run.task] = now + RESTART_DELAY_SECONDS


def is_outranked(key: priority.SortKey, other: priority.SortKey) -> bool:
    """Return whether a job's tasks may be preempted for another job's tasks.

    Jobs that can be on time are only preempted for those of a queue that comes first:
    among themselves each stop would delay one to speed up another.
    """
    if key.group >= priority.LATE:
        return (other.group, other.priority) < (key.group, key.priority)
    return other.group <= key.group and other.priority < key.priority
