"""State of requests and attempts, and classification of how an attempt ended."""

from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import event, peer

__all__ = ["Attempt", "Request", "classify", "compute_latest_start", "compute_timeout"]

# Seconds that a request may wait for a slot however short its deadline is.
# Otherwise a pool whose mean time has grown above the deadlines would refuse all
# requests, and its recovery would never be noticed.
MIN_QUEUE_SECONDS = 0.05

# Share of the remaining time given to the first try of an idempotent request; the
# rest is left for a second worker, if the first is frozen.
FIRST_TRY_SHARE = 0.5

# An attempt given up after fewer than this many mean times does not count against
# its worker: the caller's deadline was short.
TIMEOUT_FACTOR = 4.0


class Request:
    """One request that has no final answer yet."""

    __slots__ = (
        "arrived_at",
        "attempt",
        "deadline",
        "event",
        "may_have_run",
        "rank",
        "start_within",
        "tries",
    )

    def __init__(
        self, arrival: event.Arrived, rank: int, start_within: float, now: float
    ) -> None:
        self.event = arrival
        self.arrived_at = now
        self.deadline = arrival.deadline
        self.rank = rank
        self.start_within = start_within
        self.attempt = 0
        self.tries = 0
        self.may_have_run = False


class Attempt(NamedTuple):
    """One send to a worker that has not ended.

    ``slot_id`` is the number under which its slot is held; ``caller_waits`` is false
    once the caller has disconnected.
    """

    request: int
    pool: str
    vm: str
    slot_id: int
    caller_waits: bool = True


def classify(
    end: event.AttemptEnded, attempt: Attempt, mean_seconds: float
) -> peer.Outcome:
    """Return how the end of an attempt counts for its worker.

    Parameters
    ----------
    end, attempt : event.AttemptEnded, Attempt
    mean_seconds : float
        Mean seconds of an answered request in the pool; 0 if unknown.
    """
    result = end.verdict
    if result.ran is verdict.Ran.YES:
        return peer.Outcome.FAILED if end.failed else peer.Outcome.OK
    if result.reason is verdict.Reason.WORKER_REFUSED:
        return peer.Outcome.REFUSED
    if result.ran is verdict.Ran.NO or result.reason is verdict.Reason.BROKEN_ANSWER:
        return peer.Outcome.FAILED if attempt.caller_waits else peer.Outcome.UNUSED
    if attempt.caller_waits and end.seconds >= TIMEOUT_FACTOR * mean_seconds:
        return peer.Outcome.FAILED
    return peer.Outcome.UNUSED


def compute_latest_start(request: Request, mean_seconds: float, now: float) -> float:
    """Return when the request must have started to meet its deadline, in seconds."""
    latest_start = min(
        request.deadline - mean_seconds, request.arrived_at + request.start_within
    )
    return min(request.deadline, max(latest_start, now + MIN_QUEUE_SECONDS))


def compute_timeout(request: Request, mean_seconds: float, now: float) -> float:
    """Return the timeout of the next try, in seconds."""
    remaining = max(0.0, request.deadline - now)
    if not request.event.idempotent or request.tries > 1:
        return remaining
    return min(
        remaining, max(FIRST_TRY_SHARE * remaining, 2.0 * TIMEOUT_FACTOR * mean_seconds)
    )
