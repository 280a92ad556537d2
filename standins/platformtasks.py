"""Worker tasks of the platform stand-in, without I/O.

A task's ``work`` describes its simulated behaviour: ``duration`` (seconds at full
speed), ``cores``, ``memory`` (GB, reached at half its progress), ``fails``
(at half its progress) and ``progress`` (initial value, 0 to 1).
"""

import dataclasses
from collections.abc import Collection, Sequence
from typing import Any

from wigeonhitch.platform import tasks

__all__ = ["Execution", "Scheduler"]

THROTTLED_SPEED = 0.25
"""Share of full speed at which a throttled task runs."""
FAILING_VM_SECONDS = 0.1
"""Run time after which a VM that fails all its tasks fails a task."""
HALF_PROGRESS = 0.5
ACTIVE = (tasks.TaskState.RUNNING, tasks.TaskState.THROTTLED)


@dataclasses.dataclass
class Execution:
    """Execution of one task; times in seconds since the Unix epoch."""

    spec: tasks.TaskSpec
    fence: int
    lease_end: float
    started: float
    state: tasks.TaskState = tasks.TaskState.RUNNING
    progress: float = 0.0
    updated: float = 0.0
    ended: float | None = None
    reason: str = ""
    samples: list[tuple[float, float, float, float]] = dataclasses.field(
        default_factory=list
    )

    def work(self, name: str, default: float) -> float:
        """Return a numeric field of the task's ``work``."""
        return float(self.spec.work.get(name, default))

    @property
    def speed(self) -> float:
        """Progress per second."""
        if self.state not in ACTIVE:
            return 0.0
        cores = self.work("cores", self.spec.cores)
        rate = min(1.0, self.spec.cores / cores) if cores > 0 else 1.0
        if self.state is tasks.TaskState.THROTTLED:
            rate *= THROTTLED_SPEED
        return rate / max(self.work("duration", 1.0), 1e-9)

    @property
    def memory(self) -> float:
        """Memory in use, GB."""
        actual_memory = self.work("memory", self.spec.memory)
        return actual_memory * min(1.0, self.progress / HALF_PROGRESS)


class Scheduler:
    """Tasks under leases, and the log of all executions.

    Parameters
    ----------
    lag : float
        Seconds by which reported usage and progress lag behind.
    """

    def __init__(self, *, lag: float = 0.0) -> None:
        self.lag = lag
        self.executions: dict[str, Execution] = {}
        self._unfinished: dict[str, Execution] = {}
        self._fences: dict[str, int] = {}

    def start(self, spec: tasks.TaskSpec, live: Collection[str], now: float) -> str:
        """Start a task once; return the reason of a refusal, or an empty string."""
        if spec.fence < self._fences.get(spec.task, 0):
            return "fence"
        existing = self.executions.get(spec.task)
        if existing is None and spec.vm not in live:
            return "vm"
        self._fences[spec.task] = spec.fence
        if existing is not None:
            existing.fence = spec.fence
            return ""
        execution = Execution(
            spec,
            spec.fence,
            now + spec.lease,
            now,
            progress=float(spec.work.get("progress", 0.0)),
            updated=now,
        )
        self.executions[spec.task] = self._unfinished[spec.task] = execution
        return ""

    def renew(self, names: Sequence[str], fence: int, lease: float, now: float) -> str:
        """Extend the leases of all named tasks, or of none if one is fenced."""
        if any(fence < self._fences.get(name, 0) for name in names):
            return "fence"
        for name in names:
            execution = self.executions.get(name)
            if execution is not None and execution.ended is None:
                self._fences[name] = execution.fence = fence
                execution.lease_end = now + lease
        return ""

    def control(self, name: str, action: str, fence: int, now: float) -> str:
        """Apply an action; return the reason of a refusal, or an empty string."""
        execution = self.executions.get(name)
        if execution is None:
            return "task"
        if fence < self._fences.get(name, 0):
            return "fence"
        self._fences[name] = execution.fence = fence
        if action == "stop":
            self._end(execution, tasks.TaskState.STOPPED, "stopped", now)
            return ""
        target = {
            "checkpoint": tasks.TaskState.CHECKPOINTED,
            "throttle": tasks.TaskState.THROTTLED,
            "resume": tasks.TaskState.RUNNING,
        }.get(action)
        if target is None:
            return "action"
        if execution.ended is not None:
            return "ended"
        execution.state = target
        return ""

    def advance(self, now: float, live: Collection[str], failing: Collection[str]):
        """Advance all running tasks to ``now``."""
        for execution in list(self._unfinished.values()):
            self._advance(execution, now, live, failing)

    def list_tasks(self, vms: Collection[str], now: float) -> list[tasks.Task]:
        """Return tasks with their usage as it was ``lag`` seconds ago."""
        return [
            self._report(execution, now)
            for execution in self.executions.values()
            if not vms or execution.spec.vm in vms
        ]

    def log(self) -> list[dict[str, Any]]:
        """Return all executions with start and end: the ground truth of checks."""
        return [
            {
                "task": execution.spec.task,
                "vm": execution.spec.vm,
                "started": execution.started,
                "ended": execution.ended,
                "state": execution.state.value,
                "reason": execution.reason,
                "fence": execution.fence,
            }
            for execution in self.executions.values()
        ]

    def _advance(
        self,
        execution: Execution,
        now: float,
        live: Collection[str],
        failing: Collection[str],
    ) -> None:
        if execution.spec.vm not in live:
            self._end(execution, tasks.TaskState.FAILED, "vm lost", now)
            return
        ended_at, state, reason = min(
            self._list_possible_ends(execution, failing), key=lambda end: end[0]
        )
        until = min(ended_at, now)
        elapsed = max(0.0, until - execution.updated)
        execution.progress = min(1.0, execution.progress + execution.speed * elapsed)
        execution.updated = max(until, execution.updated)
        self._sample(execution, execution.updated)
        if ended_at <= now:
            self._end(execution, state, reason, ended_at)

    def _list_possible_ends(
        self, execution: Execution, failing: Collection[str]
    ) -> list[tuple[float, tasks.TaskState, str]]:
        failed = tasks.TaskState.FAILED
        ends = [(execution.lease_end, tasks.TaskState.STOPPED, "lease lapsed")]
        if execution.spec.vm in failing:
            ends.append((execution.started + FAILING_VM_SECONDS, failed, "vm fails"))
        if execution.speed <= 0:
            return ends

        def reach(progress: float) -> float:
            left = max(0.0, progress - execution.progress)
            return execution.updated + left / execution.speed

        if execution.spec.work.get("fails"):
            ends.append((reach(HALF_PROGRESS), failed, "task failed"))
        actual_memory = execution.work("memory", execution.spec.memory)
        if actual_memory > execution.spec.memory:
            limit = HALF_PROGRESS * execution.spec.memory / actual_memory
            ends.append((reach(limit), failed, "out of memory"))
        ends.append((reach(1.0), tasks.TaskState.FINISHED, ""))
        return ends

    def _sample(self, execution: Execution, now: float) -> None:
        active = execution.state in ACTIVE and execution.ended is None
        cores = execution.work("cores", execution.spec.cores) if active else 0.0
        used = min(cores, execution.spec.cores)
        memory = execution.memory if active else 0.0
        execution.samples.append((now, used, memory, execution.progress))
        oldest = now - self.lag
        while len(execution.samples) > 1 and execution.samples[1][0] <= oldest:
            execution.samples.pop(0)

    def _end(
        self, execution: Execution, state: tasks.TaskState, reason: str, now: float
    ) -> None:
        if execution.ended is not None:
            return
        execution.state = state
        execution.reason = reason
        execution.ended = now
        del self._unfinished[execution.spec.task]
        self._sample(execution, now)

    def _report(self, execution: Execution, now: float) -> tasks.Task:
        reported = (0.0, 0.0, 0.0, 0.0)
        for sample in execution.samples:
            if sample[0] <= now - self.lag:
                reported = sample
        return tasks.Task(
            execution.spec.task,
            execution.spec.vm,
            execution.state,
            reported[1],
            reported[2],
            reported[3],
            execution.reason,
            execution.fence,
        )
