"""Protocol and records of worker tasks, which run under leases."""

import enum
from typing import NamedTuple, Protocol

from wigeonhitch.platform import table

__all__ = ["Task", "TaskList", "TaskSpec", "TaskState", "Tasks"]


class TaskState(enum.Enum):
    """State of a task on its VM."""

    RUNNING = "running"
    THROTTLED = "throttled"
    CHECKPOINTED = "checkpointed"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"


class TaskSpec(NamedTuple):
    """A task to start.

    Parameters
    ----------
    task : str
        Unique name; starting the same name twice runs it once.
    vm : str
        Name of the VM to run it on.
    cores : float
        Cores reserved.
    memory : float
        Reserved memory, GB.
    work : dict
        Description of the work, opaque to this system.
    fence : int
        Fencing token of the holder that starts it; the platform refuses a
        token lower than the highest one received for ``task``.
    lease : float
        Seconds after which the task is stopped unless renewed.
    """

    task: str
    vm: str
    cores: float
    memory: float
    work: dict
    fence: int
    lease: float


class Task(NamedTuple):
    """A task as the platform reports it; usage lags by some seconds."""

    task: str
    vm: str
    state: TaskState
    used_cores: float
    used_memory: float
    progress: float
    reason: str = ""
    fence: int = 0


class TaskList(NamedTuple):
    """Tasks of a set of VMs, or the reason of the failure."""

    outcome: table.Outcome
    tasks: tuple[Task, ...] = ()
    reason: str = ""


class Tasks(Protocol):
    """Start, renewal, control and listing of tasks on workers."""

    async def start(self, spec: TaskSpec, *, purpose: str) -> table.Outcome:
        """Start a task; ``UNKNOWN`` when the answer was lost."""
        ...

    async def renew(
        self, tasks: tuple[str, ...], fence: int, lease: float, *, purpose: str
    ) -> table.Outcome:
        """Extend the leases of running tasks by ``lease`` seconds from now."""
        ...

    async def control(
        self, task: str, action: str, fence: int, *, purpose: str
    ) -> table.Outcome:
        """Apply ``"checkpoint"``, ``"throttle"``, ``"resume"`` or ``"stop"``."""
        ...

    async def list_tasks(self, vms: tuple[str, ...], *, purpose: str) -> TaskList:
        """Return the tasks of the given VMs (all VMs when empty)."""
        ...
