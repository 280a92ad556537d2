"""Progress of one job: which tasks are done, have failed or are due.

Only state that must survive the loss of a leader is kept here: completed tasks,
failed runs and the newest checkpoints. Which runs are alive is part of the leader's
view of its pool, not of the job's progress.
"""

from collections.abc import Iterable, Iterator

from wigeonhitch.jobs import model

__all__ = ["Progress", "resolve_final_state"]


class Progress:
    """Progress of one job.

    Parameters
    ----------
    job : model.Job
        The submitted job.
    version : int
        Version of the job's row; it changes when the job is cancelled.
    accepted : float
        Unix time of its acceptance.
    path : model.RoutePath
        Path by which it was submitted, empty if unknown.
    """

    def __init__(
        self,
        job: model.Job,
        version: int,
        accepted: float,
        path: model.RoutePath = model.UNKNOWN_PATH,
    ) -> None:
        self.job = job
        self.path = path
        self.version = version
        self.accepted = accepted
        self.cancelled = False
        self.started = False
        self.final: model.JobState | None = None
        self.is_final_durable = False
        """Whether the final state is durable."""
        self.done: dict[tuple[int, int], set[int]] = {}
        self.failed_runs: dict[model.Task, set[int]] = {}
        self.checkpoints: dict[model.Task, str] = {}
        self.crashed_vms: dict[model.Task, set[str]] = {}
        """Incarnations of VMs that crashed while they ran each task."""
        self.test_crashes: dict[model.Task, set[str]] = {}
        """Those of them that crashed as the task was started there alone."""
        self.maybe_uncounted: set[model.Task] = set()
        """Tasks under which one more VM may have crashed: a crash that no leader has
        seen, or one that was left out as the task had worked there."""
        self.assigned_vms: dict[model.Task, str] = {}
        """The VM on which each task with crashes may be started next, or runs."""
        self.given_up: set[model.Task] = set()
        """Tasks that are never started again although the job has others at work."""
        self.unknown_fields: dict[str, object] = {}
        """Fields of the progress row that a newer version has written."""
        self.crash_revision = 0
        """Number of changes of the crashes and of the assigned VMs."""
        self.recorded_crash_revision = 0
        """The same as of the last write that is known to be durable."""

    def is_done(self, task: model.Task) -> bool:
        """Return whether a run of the task has completed."""
        return task.index in self.done.get((task.occurrence, task.step), ())

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all tasks of the step are done."""
        done = self.done.get((occurrence, step), ())
        return len(done) >= self.job.steps[step].count

    def is_step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that it depends on are done."""
        after = self.job.steps[step].after
        return all(self.is_step_done(occurrence, earlier) for earlier in after)

    def compute_due(self, occurrence: int) -> float:
        """Return the Unix time at which an occurrence may start."""
        if not self.job.times:
            return 0.0
        return self.job.first_due + occurrence * self.job.interval

    def has_task(self, task: model.Task) -> bool:
        """Return whether the job has this task."""
        return (
            0 <= task.occurrence < self.job.occurrences
            and 0 <= task.step < len(self.job.steps)
            and 0 <= task.index < self.job.steps[task.step].count
        )

    def list_open_tasks(self, wall_time: float) -> Iterator[model.Task]:
        """Yield the tasks that may run at a Unix time, neither done nor given up."""
        for occurrence in self._list_due_occurrences(wall_time):
            for number in range(len(self.job.steps)):
                if self.is_step_ready(occurrence, number):
                    yield from self._list_undone_of(occurrence, number)

    def list_undone_tasks(self, wall_time: float) -> Iterator[model.Task]:
        """Yield the due tasks of all steps, neither done nor given up."""
        for occurrence in self._list_due_occurrences(wall_time):
            for number in range(len(self.job.steps)):
                yield from self._list_undone_of(occurrence, number)

    def compute_next_due(self, wall_time: float) -> float | None:
        """Return the Unix time of the next occurrence, or None after the last one."""
        for occurrence in range(self.job.occurrences):
            due = self.compute_due(occurrence)
            if due > wall_time:
                return due
        return None

    def record_done(self, task: model.Task) -> None:
        """Record that a run of the task completed.

        The completion of one member completes the whole gang.
        """
        step = self.job.steps[task.step]
        done = self.done.setdefault((task.occurrence, task.step), set())
        if step.gang:
            done.update(range(step.count))
        else:
            done.add(task.index)

    def record_failed(self, task: model.Task, run: int) -> None:
        """Record a failed run; the same run counts once.

        All members of a gang share one count, kept under its first task.
        """
        self.failed_runs.setdefault(self._get_attempt_key(task), set()).add(run)

    def count_failed_runs(self, task: model.Task) -> int:
        """Return the number of failed runs of the task or its gang."""
        return len(self.failed_runs.get(self._get_attempt_key(task), ()))

    def record_crash(self, task: model.Task, vm: str, *, is_test: bool = False) -> bool:
        """Record that a VM crashed under a task; return whether that is new."""
        vms = self.crashed_vms.setdefault(task, set())
        if vm in vms:
            return False
        vms.add(vm)
        if is_test:
            self.test_crashes.setdefault(task, set()).add(vm)
        self.crash_revision += 1
        return True

    def withdraw_crash(self, task: model.Task, vm: str) -> bool:
        """Remove a recorded crash; return whether there was one."""
        if vm not in self.crashed_vms.get(task, ()):
            return False
        for crashes in (self.crashed_vms, self.test_crashes):
            if task in crashes:
                crashes[task].discard(vm)
                if not crashes[task]:
                    del crashes[task]
        self.crash_revision += 1
        return True

    def give_up(self, task: model.Task) -> None:
        """Record that a task, and with it its whole gang, is never started again."""
        step = self.job.steps[task.step]
        indices = range(step.count) if step.gang else [task.index]
        self.given_up.update(task._replace(index=index) for index in indices)

    @property
    def can_serve(self) -> bool:
        """Whether a lasting task may be at work, now or later."""
        return any(
            step.lasting
            and self.is_step_ready(0, number)
            and any(self._list_undone_of(0, number))
            for number, step in enumerate(self.job.steps)
        )

    def clear_crashes(self, task: model.Task) -> bool:
        """Remove all crashes of a task; return whether there were any."""
        if task not in self.crashed_vms and task not in self.maybe_uncounted:
            return False
        self.crashed_vms.pop(task, None)
        self.test_crashes.pop(task, None)
        self.maybe_uncounted.discard(task)
        self.crash_revision += 1
        return True

    def count_crashes(self, task: model.Task) -> int:
        """Return the number of VMs that crashed under a task."""
        return len(self.crashed_vms.get(task, ()))

    def record_uncounted(self, tasks: Iterable[model.Task]) -> bool:
        """Record tasks under which a VM may have crashed unseen; return if any is new.

        Tasks that are suspects already are left out: each of their starts is recorded.
        """
        new = [task for task in tasks if not self.is_suspect(task)]
        self.maybe_uncounted.update(new)
        self.crash_revision += bool(new)
        return bool(new)

    def use_excuse(self, task: model.Task) -> bool:
        """Leave one crash out of a task's count; return False if one was before."""
        if task in self.maybe_uncounted:
            return False
        self.maybe_uncounted.add(task)
        self.crash_revision += 1
        return True

    def withdraw_excuse(self, task: model.Task) -> bool:
        """Undo `use_excuse`, as no VM has crashed; return whether it was used."""
        if task not in self.maybe_uncounted:
            return False
        self.maybe_uncounted.discard(task)
        self.crash_revision += 1
        return True

    def assign_vm(self, task: model.Task, vm: str) -> None:
        """Set the VM on which a task may be started next."""
        self.assigned_vms[task] = vm
        self.crash_revision += 1

    def release_vm(self, task: model.Task) -> bool:
        """Remove the VM of a task; return whether there was one."""
        if self.assigned_vms.pop(task, None) is None:
            return False
        self.crash_revision += 1
        return True

    @property
    def has_suspects(self) -> bool:
        """Whether a VM has crashed under one of the tasks, or may have."""
        return bool(self.crashed_vms or self.assigned_vms or self.maybe_uncounted)

    def is_suspect(self, task: model.Task) -> bool:
        """Return whether a VM has crashed under a task, or may have."""
        recorded = (self.crashed_vms, self.assigned_vms, self.maybe_uncounted)
        return any(task in tasks for tasks in recorded)

    @property
    def are_crashes_recorded(self) -> bool:
        """Whether all crashes and assigned VMs are durable."""
        return self.recorded_crash_revision >= self.crash_revision

    def record_checkpoint(self, task: model.Task, checkpoint: str) -> None:
        """Keep the newest checkpoint of a task; a gang has one for all members."""
        if checkpoint:
            self.checkpoints[self._get_attempt_key(task)] = checkpoint

    def get_checkpoint(self, task: model.Task) -> str:
        """Return the newest checkpoint; empty when there is none."""
        return self.checkpoints.get(self._get_attempt_key(task), "")

    def is_complete(self) -> bool:
        """Return whether all tasks of all occurrences are done."""
        return all(
            self.is_step_done(occurrence, step)
            for occurrence in range(self.job.occurrences)
            for step in range(len(self.job.steps))
        )

    def is_exhausted(self, task: model.Task, max_attempts: int) -> bool:
        """Return whether the task has used up its attempts."""
        if self.job.steps[task.step].lasting:
            return False
        return self.count_failed_runs(task) >= max_attempts

    @property
    def state(self) -> model.JobState:
        """State as reported to callers."""
        if self.final is not None:
            return self.final
        if self.cancelled:
            return model.JobState.CANCELLED
        if self.given_up:
            return model.JobState.FAILED
        return model.JobState.RUNNING if self.started else model.JobState.QUEUED

    def _list_due_occurrences(self, wall_time: float) -> Iterator[int]:
        for occurrence in range(self.job.occurrences):
            if self.compute_due(occurrence) > wall_time:
                return
            yield occurrence

    def _list_undone_of(self, occurrence: int, step: int) -> Iterator[model.Task]:
        if self.is_step_done(occurrence, step):
            return
        done = self.done.get((occurrence, step), ())
        for index in range(self.job.steps[step].count):
            if index in done:
                continue
            task = model.Task(self.job.id, occurrence, step, index)
            if task not in self.given_up:
                yield task

    def _get_attempt_key(self, task: model.Task) -> model.Task:
        if self.job.steps[task.step].gang:
            return task._replace(index=0)
        return task


def resolve_final_state(
    recorded: model.JobState, recorded_at: int, cancelled_at: int
) -> model.JobState:
    """Return the final state of a job that may have been cancelled as well.

    The earlier event wins, so that no caller sees two different final states.

    Parameters
    ----------
    recorded : model.JobState
        The final state that the leader has recorded.
    recorded_at : int
        The store's version at which that state became durable.
    cancelled_at : int
        The version at which the row was marked as cancelled, 0 if it wasn't.
    """
    if 0 < cancelled_at < recorded_at:
        return model.JobState.CANCELLED
    return recorded
