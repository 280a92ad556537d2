"""State of one job's current attempt in memory, and when the attempt is over.

A task is named by job and attempt, and the platform runs each name at most once.
Any holder may therefore repeat the start of an attempt on any worker under the
same number. The number is raised only when the attempt is certainly over: the
platform listed it as ended, or its lease lapsed and nobody can have renewed it.
"""

import enum

from wigeonhitch.placement import job
from wigeonhitch.platform import tasks

__all__ = [
    "ALIVE",
    "TASK_LEASE_SECONDS",
    "LEASE_MARGIN_SECONDS",
    "Attempt",
    "AttemptResult",
    "classify",
]

# A store outage or a takeover that is shorter than this stops no task. A job whose
# worker was lost and isn't listed waits for this long plus LEASE_MARGIN_SECONDS.
TASK_LEASE_SECONDS = 60.0
# Covers a renewal that is still in flight after its answer timed out.
LEASE_MARGIN_SECONDS = 5.0
# Delay before a call is repeated, such as one whose answer was lost.
RETRY_DELAY_SECONDS = 0.5

ALIVE = frozenset(
    {
        tasks.TaskState.RUNNING,
        tasks.TaskState.THROTTLED,
        tasks.TaskState.CHECKPOINTED,
    }
)


class AttemptResult(enum.Enum):
    """How an attempt ended; decides whether the job runs again."""

    FINISHED = "finished"
    FAILED = "failed"
    MEMORY = "killed for memory"
    LOST = "lost with its worker or lease"


def classify(task: tasks.Task) -> AttemptResult | None:
    """Return how a listed task ended, or None while it is alive."""
    if task.state in ALIVE:
        return None
    if task.state is tasks.TaskState.FINISHED:
        return AttemptResult.FINISHED
    if task.state is tasks.TaskState.STOPPED or "lost" in task.reason:
        return AttemptResult.LOST
    return AttemptResult.MEMORY if "memory" in task.reason else AttemptResult.FAILED


class Attempt:
    """One live job and its current attempt, as this holder of the duty sees it.

    Attributes
    ----------
    job, version
        The record and the version of its row, as last read or committed.
    calls : int
        Start calls that this holder has made for the current attempt.
    start_unconfirmed : bool
        A start call may still be in flight: its answer was lost, or an earlier
        holder committed the start.
    known_to_platform : bool
        The platform knows the task: a start succeeded, or the task was listed.
    refused : bool
        The last start call was certainly not carried out.
    call_in_flight : bool
        A call is in flight.
    retry_at : float
        Earliest time of the next call.
    last_answer_at : float
        Time of the last answer to a call or renewal; no lease that this holder
        requested lasts beyond it by more than TASK_LEASE_SECONDS.
    is_fenced : bool
        The platform has this holder's fencing token for the task, so no
        earlier holder can start or renew it.
    listed, listed_at
        The task as last listed, and when that list was requested.
    sampled_cores, sampled_memory : bool
        The size estimator already has this attempt's cores or memory.
    unlisted : bool
        The last list did not contain the task.
    controlled_at : float
        When a control call last succeeded; lists requested earlier are stale.
    evict, pausing, throttle : bool
        The task is to be stopped, checkpointed or throttled.
    paused_at : float
        When the platform confirmed the checkpoint; 0 before that.
    peak : tuple of float
        Highest cores and memory (GB) listed for this attempt.
    wait_reason, wait_since, reason_written_at
        Why the job waits, since when, and when the reason was last written to
        its row.
    """

    __slots__ = (
        "call_in_flight",
        "calls",
        "controlled_at",
        "evict",
        "is_fenced",
        "job",
        "known_to_platform",
        "last_answer_at",
        "listed",
        "listed_at",
        "paused_at",
        "pausing",
        "peak",
        "reason_written_at",
        "refused",
        "retry_at",
        "sampled_cores",
        "sampled_memory",
        "start_unconfirmed",
        "throttle",
        "unlisted",
        "version",
        "wait_reason",
        "wait_since",
    )

    def __init__(self, item: job.Job, version: int, fence: int):
        self.job = item
        self.version = version
        self.wait_reason = ""
        self.wait_since = item.since
        self.reason_written_at = 0.0
        self.reset(start_unconfirmed=item.state in job.HOLDING and item.fence != fence)

    def reset(self, *, start_unconfirmed: bool) -> None:
        """Clear what is known of the previous attempt."""
        self.calls = 0
        self.start_unconfirmed = start_unconfirmed
        self.known_to_platform = self.job.state is job.JobState.RUNNING
        self.refused = False
        self.call_in_flight = False
        self.retry_at = 0.0
        self.last_answer_at = 0.0
        self.controlled_at = 0.0
        self.is_fenced = False
        self.listed: tasks.Task | None = None
        self.listed_at = 0.0
        self.unlisted = False
        self.sampled_cores = False
        self.sampled_memory = False
        self.evict = False
        self.pausing = False
        self.paused_at = 0.0
        self.throttle = False
        self.peak = (0.0, 0.0)

    @property
    def result(self) -> AttemptResult | None:
        """Result of the attempt as listed by the platform, or None."""
        return classify(self.listed) if self.listed is not None else None

    @property
    def is_alive(self) -> bool:
        """Whether the last list showed the task alive."""
        return self.listed is not None and self.listed.state in ALIVE

    def has_lapsed(self, now: float) -> bool:
        """Whether an unlisted task is over because its lease has lapsed.

        Applies only to a task that the platform knew: a start that may still
        be in flight is resolved by starting the same name again, never by time.
        """
        if not (self.unlisted and self.known_to_platform and self.is_fenced):
            return False
        return (
            not self.call_in_flight
            and now >= self.last_answer_at + TASK_LEASE_SECONDS + LEASE_MARGIN_SECONDS
        )

    def was_never_sent(self, fence: int) -> bool:
        """Whether no start call of this attempt was made or can still arrive."""
        own = self.job.fence == fence and not self.start_unconfirmed
        return own and not self.known_to_platform and (self.calls == 0 or self.refused)
