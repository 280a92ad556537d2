"""Records of requests and attempts, and what an attempt's end says."""

from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import event, peer

__all__ = ["Attempt", "Request", "classify", "find_latest", "find_timeout"]

# Seconds that a request may wait for a slot however short its deadline is. A
# pool whose mean time has grown above the deadlines would else refuse all, and
# never learn that it has recovered.
GRACE = 0.05

# Share of the time left that the first try of an idempotent request gets; the
# rest is for a second worker, if the first is frozen.
FIRST_TRY = 0.5

# An attempt that was given up sooner than this many mean times says nothing
# about its worker: the caller's time was short.
TIMEOUT_FACTOR = 4.0


class Request:
    """One request that has no final answer yet."""

    __slots__ = (
        "arrived",
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
        self.arrived = now
        self.deadline = arrival.deadline
        self.rank = rank
        self.start_within = start_within
        self.attempt = 0
        self.tries = 0
        self.may_have_run = False


class Attempt(NamedTuple):
    """One send to a worker that has not ended.

    ``hold`` is the number under which its slot is held; ``probe`` is false
    for one whose caller left.
    """

    request: int
    pool: str
    vm: str
    hold: int
    probe: bool = True


def classify(end: event.AttemptEnded, attempt: Attempt, mean: float) -> peer.Outcome:
    """Return what the end of an attempt says about its worker.

    Parameters
    ----------
    end, attempt : event.AttemptEnded, Attempt
    mean : float
        Mean seconds of an answered request in the pool; 0 if unknown.
    """
    result = end.verdict
    if result.ran is verdict.Ran.YES:
        return peer.Outcome.FAILED if end.failed else peer.Outcome.OK
    if result.reason is verdict.Reason.WORKER_REFUSED:
        return peer.Outcome.REFUSED
    if result.ran is verdict.Ran.NO or result.reason is verdict.Reason.BROKEN_ANSWER:
        return peer.Outcome.FAILED if attempt.probe else peer.Outcome.UNUSED
    if attempt.probe and end.seconds >= TIMEOUT_FACTOR * mean:
        return peer.Outcome.FAILED
    return peer.Outcome.UNUSED


def find_latest(request: Request, mean: float, now: float) -> float:
    """Return when the request must have started to be met, in seconds."""
    latest = min(request.deadline - mean, request.arrived + request.start_within)
    return min(request.deadline, max(latest, now + GRACE))


def find_timeout(request: Request, mean: float, now: float) -> float:
    """Return the seconds that the next try gets."""
    left = max(0.0, request.deadline - now)
    if not request.event.idempotent or request.tries > 1:
        return left
    return min(left, max(FIRST_TRY * left, 2.0 * TIMEOUT_FACTOR * mean))
