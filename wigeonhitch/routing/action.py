"""Actions that come out of `wigeonhitch.routing.core.Core.handle`, in order."""

from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import peer

__all__ = ["Abort", "Action", "Answer", "Send", "SendMessages"]


class Send(NamedTuple):
    """Send a request to a worker now.

    The doer ends every one with exactly one `event.AttemptEnded`.

    Parameters
    ----------
    request, attempt : int
        The request, and a number that is unique in this daemon.
    vm : str
        The worker.
    timeout : float
        Seconds after which to give up, ``may have run``.
    """

    request: int
    attempt: int
    vm: str
    timeout: float


class Answer(NamedTuple):
    """Give the caller the final answer; once for each request.

    With ``attempt`` above 0 the answer is the worker's answer to that attempt;
    else it is made from the verdict alone. For a caller who left there is
    nobody to tell, but the verdict is what is known about the request.
    """

    request: int
    verdict: verdict.Verdict
    attempt: int = 0


class Abort(NamedTuple):
    """Give up an attempt that is on its way; nobody waits for its answer."""

    request: int
    attempt: int


class SendMessages(NamedTuple):
    """Send messages to another daemon, in order, in one frame.

    They may be lost, but must not be reordered or repeated on one connection.
    """

    daemon: str
    messages: tuple[peer.Message, ...]


Action = Send | Answer | Abort | SendMessages
