"""Placement strategies: the real core, and first fit on declared sizes."""

import collections
from typing import Protocol

from benchmarks import placement_workload
from standins import platformtasks
from wigeonhitch.placement import core, job, quarantine, size, view
from wigeonhitch.platform import table, tasks

__all__ = ["CorePlacement", "FirstFit", "SimulationRun", "Strategy"]

# Commit plus start call: each takes several round trips of 1 ms and the
# processing in the table.
CALL_DELAY_SECONDS = 0.04


class SimulationRun(Protocol):
    """Interface of a simulation run to its placement strategy."""

    scheduler: platformtasks.Scheduler
    live: set[str]

    def observe_vms(self, now: float) -> list[view.Vm]:
        """Return the workers as observed at a time in seconds."""
        ...

    def call(self, call: core.calls.Call, now: float) -> table.Outcome:
        """Execute a task call."""
        ...


class Strategy(Protocol):
    """A placement strategy; times in seconds."""

    def submit(self, submission: job.Submission, now: float) -> None:
        """Accept a new job."""
        ...

    def cancel(self, names: set[str], now: float) -> None:
        """Cancel queued and running jobs."""
        ...

    def step(self, run: SimulationRun, now: float) -> None:
        """Place the jobs that fit."""
        ...

    def update_tasks(
        self, listed: list[tasks.Task], vms: list[str], now: float
    ) -> None:
        """Process a task list."""
        ...

    def renew(self, run: SimulationRun, now: float) -> None:
        """Renew running tasks."""
        ...

    @property
    def live_jobs(self) -> int:
        """Number of unfinished jobs that can run."""
        ...


class CorePlacement:
    """The real core, driven as its shard controller drives it."""

    def __init__(self, estimate_sizes: bool = True, use_quarantine: bool = True):
        estimator = size.SizeEstimator(enabled=estimate_sizes)
        self.core = core.Core(
            0, 1, estimator, quarantine.Quarantine(enabled=use_quarantine)
        )
        self.revision = 1
        self.answers: list = []
        self.document = placement_workload.make_document(
            1, 10, placement_workload.WORKER_COUNT
        )
        self.core.update_policy(view.make_policy(self.document))

    def submit(self, submission: job.Submission, now: float) -> None:
        """Load the row of a new job."""
        self.revision += 1
        new = job.make_job(submission, now)
        self.core.load([table.Row(new.key, job.encode(new), self.revision)])

    def cancel(self, names: set[str], now: float) -> None:
        """Delete queued jobs and mark the others as cancelled, as the routes do."""
        self.revision += 1
        rows = []
        for name in names & set(self.core.state.jobs):
            item = self.core.state.jobs[name].job
            if item.state is job.JobState.QUEUED:
                rows.append(table.Row(item.key, None, 0))
            else:
                value = job.encode(item._replace(cancel=True))
                rows.append(table.Row(item.key, value, self.revision))
        self.core.load(rows)

    def step(self, run: SimulationRun, now: float) -> None:
        """Decide, commit and call; answers arrive with the next step."""
        for call, outcome in self.answers:
            self.core.record_answer(call, outcome, now)
        self.answers = []
        self.core.update_fleet(run.observe_vms(now), now)
        for _ in range(4):
            batch = self.core.decide(now)
            if batch is None:
                break
            self.revision += 1
            self.core.confirm(batch, self.revision)
        for call in self.core.next_calls(now):
            self.answers.append((call, run.call(call, now + CALL_DELAY_SECONDS)))

    def update_tasks(
        self, listed: list[tasks.Task], vms: list[str], now: float
    ) -> None:
        """Process a task list."""
        self.core.update_tasks(listed, vms, now)

    def renew(self, run: SimulationRun, now: float) -> None:
        """Renew the tasks that the core lists."""
        names = self.core.find_renewals()
        run.scheduler.renew(names, 1, 60.0, now)
        self.core.record_renewal(names, table.Outcome.DONE, now)

    @property
    def live_jobs(self) -> int:
        """Number of unfinished jobs."""
        return len(self.core.state.jobs)


class FirstFit:
    """Baseline: first worker that fits the declared size, urgent jobs first."""

    def __init__(self):
        self.queue: dict[str, job.Submission] = {}
        self.running: dict[str, tuple[str, job.Submission]] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.free: dict[str, list[float]] = {}
        self.stopping: list[str] = []
        self.needs_pass = True

    def submit(self, submission: job.Submission, now: float) -> None:
        """Queue a job."""
        self.queue[f"{submission.team}/{submission.id}"] = submission
        self.needs_pass = self.needs_pass or submission.urgency == "urgent"

    def cancel(self, names: set[str], now: float) -> None:
        """Remove queued jobs; running ones are stopped at the next step."""
        for name in names:
            self.queue.pop(name, None)
        self.stopping = [name for name in names if name in self.running]

    def step(self, run: SimulationRun, now: float) -> None:
        """Place in order of arrival, urgent first, skipping jobs that do not fit."""
        for name in self.stopping:
            run.scheduler.control(self._task(name), "stop", 1, now)
        self.stopping = []
        if not self.needs_pass and now % 1.0:
            return
        self.needs_pass = False
        vms = run.observe_vms(now)
        for vm in vms:
            self.free.setdefault(vm.vm, [vm.cores, vm.memory])
        usable = [vm.vm for vm in vms if vm.usable]
        rejected_sizes: list[tuple[float, float]] = []
        max_free = [max(self.free[vm][unit] for vm in usable) for unit in (0, 1)]
        order = sorted(self.queue, key=lambda n: self.queue[n].urgency != "urgent")
        for name in order:
            submission = self.queue[name]
            if submission.cores > max_free[0] or submission.memory > max_free[1]:
                continue
            if any(
                submission.cores >= c and submission.memory >= m
                for c, m in rejected_sizes
            ):
                continue
            if not self._start(run, name, submission, usable, now):
                rejected_sizes.append((submission.cores, submission.memory))
                rejected_sizes = rejected_sizes[-50:]

    def _task(self, name: str) -> str:
        return f"{name}/{self.attempts[name]}"

    def _start(self, run, name, submission, usable, now) -> bool:
        for vm in usable:
            free = self.free[vm]
            if free[0] < submission.cores or free[1] < submission.memory:
                continue
            self.attempts[name] += 1
            sizes = (submission.cores, submission.memory, submission.work)
            spec = tasks.TaskSpec(self._task(name), vm, *sizes, 1, 60.0)
            del self.queue[name]
            if run.scheduler.start(spec, run.live, now + CALL_DELAY_SECONDS):
                self.queue[name] = submission
                continue
            free[0] -= submission.cores
            free[1] -= submission.memory
            self.running[name] = (vm, submission)
            return True
        return False

    def update_tasks(
        self, listed: list[tasks.Task], vms: list[str], now: float
    ) -> None:
        """Requeue failed jobs, up to twenty attempts each."""
        for task in listed:
            name, _ = job.split_task(task.task)
            if name not in self.running or task.state in core.calls.attempt.ALIVE:
                continue
            vm, submission = self.running.pop(name)
            self.free[vm][0] += submission.cores
            self.free[vm][1] += submission.memory
            failed = task.state is not tasks.TaskState.FINISHED
            if failed and task.reason != "stopped" and self.attempts[name] < 20:
                self.queue[name] = submission

    def renew(self, run: SimulationRun, now: float) -> None:
        """Renew all running tasks."""
        names = [self._task(name) for name in self.running]
        run.scheduler.renew(names, 1, 60.0, now)

    @property
    def live_jobs(self) -> int:
        """Number of unfinished jobs that can run."""
        huge = [n for n in self.queue if self.queue[n].kind == "huge"]
        return len(self.queue) + len(self.running) - len(huge)
