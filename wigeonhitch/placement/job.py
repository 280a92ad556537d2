"""The record of one job, stored in row ``job/{team}/{id}``.

The row is authoritative: a new holder of the duty rebuilds its state from it.
Times are in seconds of the table's clock; memory is in GB.
"""

import enum
from collections.abc import Mapping
from typing import Annotated, Any, NamedTuple

import pydantic
from pydantic import Field

__all__ = [
    "ENDED",
    "HOLDING",
    "PREFIX",
    "Job",
    "JobState",
    "Submission",
    "decode",
    "encode",
    "make_job",
    "parse_submission",
    "split_task",
]

PREFIX = "job/"
URGENT = "urgent"
DEFAULT_KIND = "default"
Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
JobId = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,126}$")]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]


class JobState(enum.Enum):
    """State of a job as committed to its row."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    REFUSED = "refused"
    CANCELLED = "cancelled"


ENDED = frozenset(
    {JobState.FINISHED, JobState.FAILED, JobState.REFUSED, JobState.CANCELLED}
)
HOLDING = frozenset({JobState.STARTING, JobState.RUNNING})


class Submission(NamedTuple):
    """A job as submitted; the same id with the same body is the same job.

    Parameters
    ----------
    team, id, pool : str
        Owner, name chosen by the submitter, and pool whose workers run it.
    cores, memory : float
        Declared size; replaced by the estimate once sizes of ``kind`` are learned.
    duration : float
        Expected run time in seconds.
    deadline : float
        Seconds after submission in which the job should be finished.
    urgency : str
        ``"urgent"`` starts before every other class.
    kind : str
        Jobs of one kind are expected to have similar sizes.
    spread : str
        Jobs of one group are spread over failure domains; empty for none.
    rerun : bool
        Whether the job may be attempted again when an earlier attempt may have
        begun and its end was not reported. False for work that must not be
        done twice.
    work : dict
        Passed to the worker unchanged.
    """

    team: Name
    id: JobId
    pool: Name
    cores: Positive
    memory: Positive
    duration: Positive
    deadline: Positive
    urgency: Name = "bulk"
    kind: Name = DEFAULT_KIND
    spread: str = ""
    rerun: bool = True
    work: dict[str, Any] = {}

    @property
    def sizing_key(self) -> str:
        """Return the name under which sizes are learned.

        Without a kind, only jobs of the same team, urgency and declared size
        share an estimate. Otherwise small urgent jobs would get the size of
        another team's bulk jobs and exhaust their quota.
        """
        if self.kind != DEFAULT_KIND:
            return self.kind
        return f"{self.team}/{self.urgency}/{self.cores:g}/{self.memory:g}"


class Job(NamedTuple):
    """One job: its submission and its state.

    Parameters
    ----------
    asked : Submission
        As submitted.
    submitted, since : float
        Time of submission, and of the last change of state or reason.
    attempt : int
        Number of the current attempt, or of the next one while queued. It is
        raised only once the attempt is certainly over; the attempt of a queued
        job was never sent to the platform.
    vm, cores, memory, fence
        Of the current attempt: worker, reservation, and fencing token of the
        holder that committed it.
    paused : bool
        Checkpointed; holds no reservation.
    cancel : bool
        Cancellation was requested while an attempt may be running.
    failed_on : tuple of str
        Workers that reported a failed attempt.
    floor : float
        Least memory (GB) to reserve, raised after a kill for lack of memory.
    peak_cores, peak_memory : float
        Highest usage seen, from which sizes are learned after a takeover.
    """

    asked: Submission
    submitted: float
    since: float
    state: JobState = JobState.QUEUED
    reason: str = ""
    attempt: int = 1
    vm: str = ""
    cores: float = 0.0
    memory: float = 0.0
    fence: int = 0
    paused: bool = False
    cancel: bool = False
    failed_on: tuple[str, ...] = ()
    floor: float = 0.0
    peak_cores: float = 0.0
    peak_memory: float = 0.0

    @property
    def name(self) -> str:
        """Return ``team/id``."""
        return f"{self.asked.team}/{self.asked.id}"

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return PREFIX + self.name

    @property
    def task(self) -> str:
        """Return the task name of the current attempt: job and attempt."""
        return f"{self.name}/{self.attempt}"

    @property
    def is_urgent(self) -> bool:
        """Return whether the job is served before every other class."""
        return self.asked.urgency == URGENT

    @property
    def due(self) -> float:
        """Return when the job should be finished, in the table's clock."""
        return self.submitted + self.asked.deadline

    @property
    def latest_start(self) -> float:
        """Return the latest start time that still meets the deadline."""
        return self.due - self.asked.duration

    @property
    def holds(self) -> bool:
        """Return whether the job holds a reservation on its worker."""
        return self.state in HOLDING and not self.paused


_SUBMISSION = pydantic.TypeAdapter(Submission)


def parse_submission(body: Any) -> Submission | str:
    """Return the checked submission, or what is wrong with it.

    Examples
    --------
    >>> parse_submission({"team": "a"}).splitlines()[0]
    'id: Field required'
    """
    if not isinstance(body, dict):
        return f"expected a JSON object, got {type(body).__name__}"
    unknown = sorted(set(body) - set(Submission._fields))
    if unknown:
        return f"unknown fields {unknown}, expected {list(Submission._fields)}"
    try:
        return _SUBMISSION.validate_python(body)
    except pydantic.ValidationError as error:
        return "\n".join(_describe(item) for item in error.errors())


def _describe(item: Mapping[str, Any]) -> str:
    place = ".".join(str(part) for part in item["loc"])
    return f"{place}: {item['msg']}"


def make_job(asked: Submission, now: float) -> Job:
    """Return a newly queued job."""
    return Job(asked, submitted=now, since=now)


def encode(job: Job) -> dict[str, Any]:
    """Return the row's value; fields with their default value are omitted."""
    defaults = Job._field_defaults
    value = {
        field: item
        for field, item in job._asdict().items()
        if field not in defaults or item != defaults[field]
    }
    value["asked"] = job.asked._asdict()
    value["state"] = job.state.value
    if job.failed_on:
        value["failed_on"] = list(job.failed_on)
    return value


def decode(value: Mapping[str, Any]) -> Job:
    """Return the job stored in a row's value; unknown fields are ignored.

    Examples
    --------
    >>> asked = Submission("a", "1", "p", 1.0, 2.0, 60.0, 600.0)
    >>> decode(encode(make_job(asked, 5.0))) == make_job(asked, 5.0)
    True
    """
    row_fields = {field: value[field] for field in Job._fields if field in value}
    asked = row_fields["asked"]
    fields = {name: asked[name] for name in Submission._fields if name in asked}
    row_fields["asked"] = Submission(**fields)
    row_fields["state"] = JobState(row_fields["state"])
    row_fields["failed_on"] = tuple(row_fields.get("failed_on", ()))
    return Job(**row_fields)


def split_task(task: str) -> tuple[str, int]:
    """Return job name and attempt of a task name; attempt -1 if not ours."""
    name, _, attempt = task.rpartition("/")
    return (name, int(attempt)) if attempt.isdigit() else (task, -1)
