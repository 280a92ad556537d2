"""Ways of placing jobs: the real core, and first fit on declared sizes."""

import collections
from typing import Protocol

from benchmarks import placement_mix
from standins import platformtasks
from wigeonhitch.placement import core, job, quarantine, size, view
from wigeonhitch.platform import table, tasks

__all__ = ["FirstFit", "Ours", "Run", "Way"]

# Seconds of commit and start call, each some round trips of 1 ms and the
# table's work.
CALL_DELAY = 0.04


class Run(Protocol):
    """What a way of placing needs of the run that it is measured in."""

    scheduler: platformtasks.Scheduler
    live: set[str]

    def see_vms(self, now: float) -> list[view.Vm]:
        """Return the workers as they are seen at a time (s)."""
        ...

    def call(self, call: core.calls.Call, now: float) -> table.Outcome:
        """Carry out a task call."""
        ...


class Way(Protocol):
    """A way of placing; times in seconds."""

    def submit(self, asked: job.Submission, now: float) -> None:
        """Take a new job."""
        ...

    def cancel(self, names: set[str], now: float) -> None:
        """End jobs, queued or running."""
        ...

    def step(self, run: Run, now: float) -> None:
        """Place what can be placed."""
        ...

    def see(self, listed: list[tasks.Task], vms: list[str], now: float) -> None:
        """Take a task list."""
        ...

    def renew(self, run: Run, now: float) -> None:
        """Renew what runs."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of live jobs that can run."""
        ...


class Ours:
    """The real core, as the keeper drives it."""

    def __init__(self, learn: bool = True, wary: bool = True):
        learner = size.SizeEstimator(enabled=learn)
        self.core = core.Core(0, 1, learner, quarantine.Quarantine(enabled=wary))
        self.revision = 1
        self.answers: list = []
        self.plan = placement_mix.make_document(1, 10, placement_mix.WORKERS)
        self.core.update_policy(view.make_policy(self.plan))

    def submit(self, asked: job.Submission, now: float) -> None:
        """Hand over a new row."""
        self.revision += 1
        new = job.make_job(asked, now)
        self.core.load([table.Row(new.key, job.encode(new), self.revision)])

    def cancel(self, names: set[str], now: float) -> None:
        """Do what the routes do: end queued jobs, mark the others."""
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

    def step(self, run: Run, now: float) -> None:
        """Decide, commit and call; answers come with the next step."""
        for call, outcome in self.answers:
            self.core.record_answer(call, outcome, now)
        self.answers = []
        self.core.update_fleet(run.see_vms(now), now)
        for _ in range(4):
            batch = self.core.decide(now)
            if batch is None:
                break
            self.revision += 1
            self.core.confirm(batch, self.revision)
        for call in self.core.next_calls(now):
            self.answers.append((call, run.call(call, now + CALL_DELAY)))

    def see(self, listed: list[tasks.Task], vms: list[str], now: float) -> None:
        """Take a task list."""
        self.core.update_tasks(listed, vms, now)

    def renew(self, run: Run, now: float) -> None:
        """Renew what the core wants renewed."""
        names = self.core.find_renewals()
        run.scheduler.renew(names, 1, 60.0, now)
        self.core.record_renewal(names, table.Outcome.DONE, now)

    @property
    def waiting(self) -> int:
        """Return the number of live jobs."""
        return len(self.core.state.jobs)


class FirstFit:
    """Baseline: first worker with room for the declared size, urgent first."""

    def __init__(self):
        self.queue: dict[str, job.Submission] = {}
        self.running: dict[str, tuple[str, job.Submission]] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.free: dict[str, list[float]] = {}
        self.stopping: list[str] = []
        self.changed = True

    def submit(self, asked: job.Submission, now: float) -> None:
        """Queue a job."""
        self.queue[f"{asked.team}/{asked.id}"] = asked
        self.changed = self.changed or asked.urgency == "urgent"

    def cancel(self, names: set[str], now: float) -> None:
        """Drop queued jobs; running ones are stopped with the next step."""
        for name in names:
            self.queue.pop(name, None)
        self.stopping = [name for name in names if name in self.running]

    def step(self, run: Run, now: float) -> None:
        """Place in order of arrival, urgent first, skipping what does not fit."""
        for name in self.stopping:
            run.scheduler.control(self._task(name), "stop", 1, now)
        self.stopping = []
        if not self.changed and now % 1.0:
            return
        self.changed = False
        vms = run.see_vms(now)
        for vm in vms:
            self.free.setdefault(vm.vm, [vm.cores, vm.memory])
        usable = [vm.vm for vm in vms if vm.usable]
        missed: list[tuple[float, float]] = []
        room = [max(self.free[vm][unit] for vm in usable) for unit in (0, 1)]
        order = sorted(self.queue, key=lambda n: self.queue[n].urgency != "urgent")
        for name in order:
            asked = self.queue[name]
            if asked.cores > room[0] or asked.memory > room[1]:
                continue
            if any(asked.cores >= c and asked.memory >= m for c, m in missed):
                continue
            if not self._start(run, name, asked, usable, now):
                missed.append((asked.cores, asked.memory))
                missed = missed[-50:]

    def _task(self, name: str) -> str:
        return f"{name}/{self.attempts[name]}"

    def _start(self, run, name, asked, usable, now) -> bool:
        for vm in usable:
            free = self.free[vm]
            if free[0] < asked.cores or free[1] < asked.memory:
                continue
            self.attempts[name] += 1
            sizes = (asked.cores, asked.memory, asked.work)
            spec = tasks.TaskSpec(self._task(name), vm, *sizes, 1, 60.0)
            del self.queue[name]
            if run.scheduler.start(spec, run.live, now + CALL_DELAY):
                self.queue[name] = asked
                continue
            free[0] -= asked.cores
            free[1] -= asked.memory
            self.running[name] = (vm, asked)
            return True
        return False

    def see(self, listed: list[tasks.Task], vms: list[str], now: float) -> None:
        """Requeue what failed, up to twenty attempts."""
        for task in listed:
            name, _ = job.split_task(task.task)
            if name not in self.running or task.state in core.calls.attempt.ALIVE:
                continue
            vm, asked = self.running.pop(name)
            self.free[vm][0] += asked.cores
            self.free[vm][1] += asked.memory
            failed = task.state is not tasks.TaskState.FINISHED
            if failed and task.reason != "stopped" and self.attempts[name] < 20:
                self.queue[name] = asked

    def renew(self, run: Run, now: float) -> None:
        """Renew all running tasks."""
        names = [self._task(name) for name in self.running]
        run.scheduler.renew(names, 1, 60.0, now)

    @property
    def waiting(self) -> int:
        """Return the number of live jobs that can run."""
        huge = [n for n in self.queue if self.queue[n].kind == "huge"]
        return len(self.queue) + len(self.running) - len(huge)
