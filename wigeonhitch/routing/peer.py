"""Messages between daemons about the slots of one pool.

The counting daemon of a pool ("owner") hands out slots; the others ask. Ages
and remaining times are sent as durations in seconds, since clocks differ. An
``ask`` number is unique in the asking daemon; a slot is held under the number
of the ask that it was granted for until that number is returned.
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
    """Ask the owner for a slot.

    Parameters
    ----------
    pool : str
    ask : int
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
        It had a slot before, in vain; it goes before others of its team.
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
    """Owner to daemon: use a slot of ``vm`` for ``ask``, now."""

    pool: str
    ask: int
    vm: str


class Deny(NamedTuple):
    """Owner to daemon: the ask is refused; come back in ``retry_after`` s."""

    pool: str
    ask: int
    reason: verdict.Reason
    retry_after: float


class Return(NamedTuple):
    """The slot held under ``ask`` is free again.

    ``seconds`` is how long it was used. With ``reused`` above 0 it is not
    free: the waiting ask of that number is served by it, and it stays held
    under ``ask``.
    """

    pool: str
    ask: int
    outcome: Outcome
    seconds: float
    reused: int = 0


class Cancel(NamedTuple):
    """The ask is no longer wanted."""

    pool: str
    ask: int


class Held(NamedTuple):
    """A slot in use, for at most ``lasts`` further seconds."""

    ask: int
    vm: str
    lasts: float


class Report(NamedTuple):
    """All slots of the pool that the sender holds; replaces what was known.

    The sender's asks are forgotten too. A `Welcome` is wanted if ``join``.
    """

    pool: str
    held: tuple[Held, ...]
    join: bool


class Welcome(NamedTuple):
    """Owner to daemon: the report is counted, asks are served from now on."""

    pool: str


class Head(NamedTuple):
    """The ask that is next of its class; ``age`` in seconds."""

    rank: int
    team: str
    age: float


class Pulse(NamedTuple):
    """Owner to daemons with waiting asks: alive, and who is next per class."""

    pool: str
    heads: tuple[Head, ...]


class Leave(NamedTuple):
    """Owner to daemons: it stops counting this pool."""

    pool: str


Message = Ask | Grant | Deny | Return | Cancel | Report | Welcome | Pulse | Leave
