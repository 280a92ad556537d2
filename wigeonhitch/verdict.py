"""Verdicts on whether a request was executed.

Every answer that the daemon sends, and every answer that it receives from a
worker or a peer, is reduced to one `Verdict`. Retries, idempotency records and
the HTTP response to the caller are derived from it.
"""

import enum
from typing import NamedTuple

__all__ = ["Ran", "Reason", "Verdict", "may_have_run", "not_run", "ran"]


class Ran(enum.Enum):
    """Whether a worker executed the request."""

    YES = "ran"
    NO = "not run"
    MAYBE = "may have run"


class Reason(enum.Enum):
    """Reason for a verdict; returned instead of raising an exception."""

    ANSWERED = "answered"
    QUEUE_FULL = "queue full"
    DEADLINE = "deadline cannot be met"
    NO_WORKER = "no worker available"
    WORKER_REFUSED = "worker refused"
    NOT_CONNECTED = "connection not made"
    BROKEN_ANSWER = "connection lost before the whole answer"
    TIMEOUT = "no answer in time"
    ANSWER_TOO_LARGE = "answer is larger than the limit"
    STORE_UNAVAILABLE = "idempotency record cannot be written"
    CLAIMED = "key is held by an earlier request"
    KEY_REUSED = "key was used for a different request"
    REPLAYED = "kept answer of an earlier request"
    NOT_READY = "daemon is not ready"
    STOPPING = "daemon is stopping"
    SEND_RIGHT_LAPSED = "daemon is cut off"
    RETRY_BUDGET = "retry budget is spent"
    CANCELLED = "caller left"
    UNKNOWN_SERVICE = "unknown service"
    BAD_REQUEST = "bad request"
    FAULT = "fault in the daemon"


class Verdict(NamedTuple):
    """Whether a request ran, and why.

    Parameters
    ----------
    ran : Ran
        ``Ran.NO`` guarantees that no worker has executed the request or ever
        will.
    reason : Reason
        Why this verdict was reached.
    retry_after : float
        Seconds after which the caller should retry; 0 when no delay is
        advised.
    """

    ran: Ran
    reason: Reason
    retry_after: float = 0.0

    @property
    def is_retriable(self) -> bool:
        """Whether the request can be sent again without running twice."""
        return self.ran is Ran.NO


def ran(reason: Reason = Reason.ANSWERED) -> Verdict:
    """Return the verdict of a request that ran once."""
    return Verdict(Ran.YES, reason)


def not_run(reason: Reason, retry_after: float = 0.0) -> Verdict:
    """Return the verdict of a request that certainly did not run."""
    return Verdict(Ran.NO, reason, retry_after)


def may_have_run(reason: Reason, retry_after: float = 0.0) -> Verdict:
    """Return the verdict of a request whose outcome is unknown."""
    return Verdict(Ran.MAYBE, reason, retry_after)
