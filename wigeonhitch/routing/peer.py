"""Messages between daemons about the slots of one pool.

The pool's owner counts its slots and grants them; the other daemons request
them. Ages and remaining times are sent as durations in seconds, since clocks
differ. The number ``ask`` of a slot request is unique in the requesting daemon; a
granted slot is held under this number until it is returned.
"""

import enum
from typing import NamedTuple

from wigeonhitch import verdict

__all__ = [
    "Ask",
    "Cancel",
    "Deny",
    "Grant",
    "Head",
    "Held",
    "Leave",
    "Message",
    "Outcome",
    "Pulse",
    "Report",
    "Return",
    "Welcome",
]


class Outcome(enum.IntEnum):
    """How the use of a slot ended."""

    UNUSED = 0
    OK = 1
    REFUSED = 2
    FAILED = 3


class Ask(NamedTuple):
    """Request a slot of the owner.

    Parameters
    ----------
    pool : str
    ask : int
        Number of this slot request.
    rank : int
        Rank of the urgency class; 0 goes first.
    team : str
    age : float
        Seconds since the request arrived.
    left : float
        Seconds in which it must have started.
    lasts : float
        Seconds until the request's deadline.
    again : bool
        Whether the request was sent before; it then goes before others of its
        team.
    """

    pool: str
    ask: int
    rank: int
    team: str
    age: float
    left: float
    lasts: float
    again: bool = False


class Grant(NamedTuple):
    """Owner to daemon: use a slot of ``vm`` for the slot request ``ask``, now."""

    pool: str
    ask: int
    vm: str


class Deny(NamedTuple):
    """Owner to daemon: the slot request is refused; retry after ``retry_after`` s."""

    pool: str
    ask: int
    reason: verdict.Reason
    retry_after: float


class Return(NamedTuple):
    """The slot held under ``ask`` is free again.

    ``seconds`` is how long it was used. With ``reused`` above 0 it is not free: it
    serves the waiting slot request of that number, and stays held under ``ask``.
    """

    pool: str
    ask: int
    outcome: Outcome
    seconds: float
    reused: int = 0


class Cancel(NamedTuple):
    """The slot request is withdrawn."""

    pool: str
    ask: int


class Held(NamedTuple):
    """A slot in use, for at most ``lasts`` further seconds."""

    ask: int
    vm: str
    lasts: float


class Report(NamedTuple):
    """All slots of the pool that the sender holds; replaces its earlier reports.

    The sender's slot requests are discarded too. With ``join`` the sender expects a
    `Welcome`.
    """

    pool: str
    held: tuple[Held, ...]
    join: bool


class Welcome(NamedTuple):
    """Owner to daemon: the report is counted, and slot requests are served."""

    pool: str


class Head(NamedTuple):
    """The slot request that is next of its class; ``age`` in seconds."""

    rank: int
    team: str
    age: float


class Pulse(NamedTuple):
    """Owner to daemons with waiting slot requests: heartbeat and the next per class."""

    pool: str
    heads: tuple[Head, ...]


class Leave(NamedTuple):
    """Owner to daemons: it stops counting the slots of this pool."""

    pool: str


Message = Ask | Grant | Deny | Return | Cancel | Report | Welcome | Pulse | Leave
