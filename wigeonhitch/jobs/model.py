"""Types of jobs, queues and pools.

Times are in seconds, processors in millicores, memory in MB.
"""

import enum
from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "MAX_VALUE",
    "MAX_OPEN_TASKS",
    "UNKNOWN_PATH",
    "Advice",
    "Catalogue",
    "End",
    "Job",
    "JobState",
    "Pool",
    "Queue",
    "Room",
    "RoutePath",
    "Step",
    "Task",
    "Terms",
]


MAX_VALUE = 10**9
"""Largest count, size or number of milliseconds accepted in a job: far above what
any pool can serve, and small enough for sums and stored rows."""

MAX_OPEN_TASKS = 5000
"""Largest number of tasks of a job that may be open at once, over all steps and
occurrences: it bounds the memory of a leader, which keeps some bytes for each."""


class JobState(enum.Enum):
    """State of a job as reported to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state can't change any more."""
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
    """The other members of its gang didn't start in time."""


class Room(NamedTuple):
    """Resources that a task reserves or that a VM has."""

    cpu: int = 0
    memory: int = 0
    gpus: int = 0

    def fits_in(self, other: "Room") -> bool:
        """Return whether ``other`` has at least this much of each resource."""
        return (
            self.cpu <= other.cpu
            and self.memory <= other.memory
            and self.gpus <= other.gpus
        )

    def plus(self, other: "Room") -> "Room":
        """Return the sum of both."""
        return Room(
            self.cpu + other.cpu, self.memory + other.memory, self.gpus + other.gpus
        )

    def times(self, count: int) -> "Room":
        """Return a multiple."""
        return Room(self.cpu * count, self.memory * count, self.gpus * count)

    def minus(self, other: "Room") -> "Room":
        """Return the difference, which may be negative."""
        return Room(
            self.cpu - other.cpu, self.memory - other.memory, self.gpus - other.gpus
        )

    def limit_to(self, other: "Room") -> "Room":
        """Return the smaller amount of each resource."""
        return Room(*map(min, self, other))

    def raise_to(self, other: "Room") -> "Room":
        """Return the larger amount of each resource."""
        return Room(*map(max, self, other))


class Task(NamedTuple):
    """Identity of a task: the ``index``-th of a step of one occurrence of a job."""

    job: str
    occurrence: int
    step: int
    index: int


class Step(NamedTuple):
    """Tasks with the same requirements that may run in parallel.

    Parameters
    ----------
    count : int
        Number of tasks.
    room : Room
        Resources of each task; the ``cpu`` of a filling step isn't reserved.
    estimate : float
        Expected run time of a task in seconds, often far off.
    after : tuple of int
        Earlier steps that must be complete first.
    label, data_rack : str
        Label that the VM must have; rack that holds the data. Empty: any.
    spread : int
        Maximum number of tasks of the step (of one occurrence) on one VM; 0: no
        limit.
    lasting : bool
        The tasks run until the job is cancelled.
    fills : bool
        The tasks use the processor time that other tasks leave idle.
    max_unavailable : int
        Tasks of a lasting step that the scheduler may make unavailable at once.
    target : float
        Target in seconds for the tail latency of a serving task; 0: none.
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
        """Resources that placement subtracts from a VM's free room."""
        return self.room._replace(cpu=0) if self.fills else self.room


class Terms(NamedTuple):
    """Terms of a queue for a job, as of its acceptance; see `Queue`."""

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
        Unix time of occurrence 0, and seconds from one occurrence to the next.
    """

    id: str
    queue: str
    spec: str
    steps: tuple[Step, ...]
    times: int = 0
    first_due: float = 0.0
    interval: float = 0.0
    attempts: int = 1
    """Failed runs after which a task is not retried, as configured for the queue at
    the submission; used once the queue is no longer in the configuration."""
    is_advised: bool = False
    """Whether its tasks need a ticket of the advice service; used as above."""
    terms: Terms = Terms()
    """Terms of its queue at the submission; used as above."""
    team: str = ""
    """Team whose key it was submitted with; empty for none."""

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(1, self.times)

    @property
    def is_lasting(self) -> bool:
        """Whether the job ends only by cancellation."""
        return any(step.lasting for step in self.steps)

    @property
    def estimates(self) -> tuple[float, ...]:
        """Submitted run time of a task of each step, in seconds."""
        return tuple(step.estimate for step in self.steps)

    def compute_critical_path(self, estimates: Sequence[float] | None = None) -> float:
        """Return the estimated seconds of the longest chain of dependent steps.

        ``estimates`` replaces the submitted run times of the steps.
        """
        ends: list[float] = []
        for step, seconds in zip(self.steps, estimates or self.estimates, strict=True):
            start = max((ends[number] for number in step.after), default=0.0)
            ends.append(start + seconds)
        return max(ends, default=0.0)

    def compute_work(self, estimates: Sequence[float] | None = None) -> float:
        """Return the estimated core-seconds of one occurrence.

        ``estimates`` replaces the submitted run times of the steps.
        """
        return sum(
            step.count * seconds * step.room.cpu / 1000
            for step, seconds in zip(
                self.steps, estimates or self.estimates, strict=True
            )
        )


class Advice(NamedTuple):
    """Response time of the advice service and validity of its tickets.

    A call takes ``base`` seconds and ``per_vm`` seconds for each VM asked about; a
    ticket is valid for ``validity`` seconds.
    """

    base: float
    per_vm: float
    validity: float


class RoutePath(NamedTuple):
    """Host and path prefix by which callers reach a queue.

    Callers know nothing else of a queue: a configuration may give its name, its pool
    and its terms to another one.
    """

    host: str = ""
    prefix: str = ""


UNKNOWN_PATH = RoutePath()
"""Path of jobs that an earlier version accepted without recording it."""


class Team(NamedTuple):
    """One team of callers of the configuration in force.

    ``ceiling`` is the most that the team may have running in all pools together; a
    resource of 0 is unlimited. ``weight`` is its part, relative to the other teams, of
    capacity that is contended for.
    """

    name: str
    key_digests: frozenset[bytes] = frozenset()
    """Digests by `credential.compute_digest` of the keys that its callers may use."""
    weight: float = 1.0
    ceiling: Room = Room()


ANONYMOUS = Team("")
"""Callers without a key."""


class Queue(NamedTuple):
    """One queue of the configuration in force.

    A job is due ``stretch`` times its critical path plus ``objective`` seconds after
    its acceptance.
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
    is_anonymous: bool = True
    """Whether callers need no key."""

    @property
    def path(self) -> RoutePath:
        """The path by which callers reach it."""
        return RoutePath(self.host, self.prefix)


class Pool(NamedTuple):
    """One pool of VMs; the VMs of a standby pool are powered off."""

    name: str
    standby: bool = False
    has_admission_control: bool = False
    """Whether its workers refuse tasks that don't fit."""


class Catalogue(NamedTuple):
    """The configuration in force; a higher version replaces a lower one."""

    version: int
    queues: tuple[Queue, ...]
    pools: tuple[Pool, ...]
    body_limit: int = 262144
    """Largest request body in bytes."""
    teams: tuple[Team, ...] = ()
