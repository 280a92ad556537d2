"""Types of jobs, queues and pools, in the product's own words.

Times are in seconds, processors in thousandths of a core, memory in MB.
"""

import enum
from typing import NamedTuple

__all__ = [
    "MAX_VALUE",
    "MAX_OPEN_TASKS",
    "Advice",
    "Catalogue",
    "End",
    "Job",
    "JobState",
    "Pool",
    "Queue",
    "Room",
    "Step",
    "Task",
    "Terms",
]


MAX_VALUE = 10**9
"""Highest count, size or number of milliseconds in a job: far above any that
can be served, and small enough for sums and rows."""

MAX_OPEN_TASKS = 5000
"""Most tasks of a job over all steps and occurrences that are open at once; a
leader keeps some bytes for each."""


class JobState(enum.Enum):
    """What a caller is told about a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the job can't change any more."""
        return self not in (JobState.QUEUED, JobState.RUNNING)


class End(enum.Enum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    """Another member of its gang ended."""
    ALONE = "alone"
    """The other members of its gang didn't come in time."""


class Room(NamedTuple):
    """What a task takes, or what a VM has."""

    cpu: int = 0
    memory: int = 0
    gpus: int = 0

    def fits_in(self, other: "Room") -> bool:
        """Whether ``other`` has at least this much of each."""
        return (
            self.cpu <= other.cpu
            and self.memory <= other.memory
            and self.gpus <= other.gpus
        )


class Task(NamedTuple):
    """Name of one task: the ``index``-th of a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


class Step(NamedTuple):
    """Tasks of one shape that may run side by side.

    Parameters
    ----------
    count : int
        Number of tasks.
    room : Room
        What each task takes; a filling step's ``cpu`` isn't counted.
    estimate : float
        Seconds that a task is thought to take, often far off.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    label, data_rack : str
        Label that the VM must have; rack near the data. Empty: any.
    spread : int
        Most tasks of the step (of one occurrence) on one VM; 0: any number.
    lasting : bool
        The tasks run until the job is cancelled.
    fills : bool
        The tasks take the processors that other tasks leave.
    max_unavailable : int
        Tasks of a lasting step that may be away through the system's doing.
    target : float
        Bound of the tail of response times of a serving task; 0: none.
    """

    count: int
    room: Room = Room()
    estimate: float = 0.0
    after: tuple[int, ...] = ()
    checkpoint: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    spread: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    @property
    def reserved(self) -> Room:
        """What placement subtracts from a VM's free room."""
        return self.room._replace(cpu=0) if self.fills else self.room


class Terms(NamedTuple):
    """What a queue promises for a job, as at its acceptance; see `Queue`."""

    priority: int = 0
    stretch: float = 1.0
    objective: float = 0.0


class Job(NamedTuple):
    """One submitted job.

    Parameters
    ----------
    times : int
        Occurrences of a scheduled job; 0 for a job without occurrences.
    first_due, interval : float
        Seconds since 1970 of occurrence 0, and seconds from one to the next.
    """

    id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    times: int = 0
    first_due: float = 0.0
    interval: float = 0.0
    attempts: int = 1
    """Failed runs that a task may have, as the queue said at the submission:
    holds once the queue is no longer in the configuration."""
    is_advised: bool = False
    """Whether its tasks start with a ticket of the queue's policy; holds as above."""
    terms: Terms = Terms()
    """What its queue promised at the submission; holds as above."""

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.times)

    @property
    def is_lasting(self) -> bool:
        """Whether the job only ends by being cancelled."""
        return any(step.lasting for step in self.steps)

    def compute_critical_path(self) -> float:
        """Return the seconds of the longest chain of steps, by estimates."""
        ends: list[float] = []
        for step in self.steps:
            before = max((ends[one] for one in step.after), default=0.0)
            ends.append(before + step.estimate)
        return max(ends, default=0.0)

    def compute_work(self) -> float:
        """Return the core-seconds of one occurrence, by estimates."""
        return sum(
            step.count * step.estimate * step.room.cpu / 1000 for step in self.steps
        )


class Advice(NamedTuple):
    """How long the advice service takes, and how long a ticket of it holds."""

    base: float
    per_vm: float
    validity: float


class Queue(NamedTuple):
    """One queue of the configuration in force.

    ``objective`` is what is added to ``stretch`` times the longest chain.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    objective: float = 0.0
    timeout: float = 0.0
    advice: Advice | None = None


class Pool(NamedTuple):
    """One pool of VMs; the VMs of a standby pool are off."""

    name: str
    standby: bool = False
    has_admission_control: bool = False
    """Whether its workers refuse what doesn't fit."""


class Catalogue(NamedTuple):
    """The configuration in force; a higher version replaces a lower one."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    body_limit: int = 262144
    """Bytes of a request's body."""
