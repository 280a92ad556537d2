"""Actions returned by `wigeonhitch.routing.core.Core.handle`, in order."""

from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import peer

__all__ = ["Abort", "Action", "Answer", "Send", "SendMessages"]


class Send(NamedTuple):
    """Send a request to a worker now.

    Whoever executes it reports the end with exactly one `event.AttemptEnded`.

    Parameters
    ----------
    request, attempt : int
        The request, and a number that is unique in this daemon.
    vm : str
        The worker.
    timeout : float
        Seconds after which the attempt is given up as ``may have run``.
    """

    request: int
    attempt: int
    vm: str
    timeout: float


class Answer(NamedTuple):
    """Give the caller the final answer; once for each request.

    With ``attempt`` above 0 the answer is the worker's response to that attempt;
    otherwise it is built from the verdict alone. The answer to a caller that has
    disconnected is not delivered, but its verdict states the request's outcome.
    """

    request: int
    verdict: verdict.Verdict
    attempt: int = 0


class Abort(NamedTuple):
    """Abort an attempt in flight; its response is no longer needed."""

    request: int
    attempt: int


class SendMessages(NamedTuple):
    """Send messages to another daemon, in order, in one frame.

    They may be lost, but must not be reordered or repeated on one connection.
    """

    daemon: str
    messages: tuple[peer.Message, ...]


Action = Send | Answer | Abort | SendMessages
