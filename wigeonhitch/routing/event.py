"""Events that are input of `wigeonhitch.routing.core.Core.handle`.

All times are seconds. Absolute times are on the clock whose value is passed
to ``handle`` as ``now``.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import peer

__all__ = [
    "AttemptEnded",
    "Arrived",
    "Cancelled",
    "Event",
    "MembersChanged",
    "Received",
    "SendRightLapsed",
    "SendRightRestored",
    "Stopping",
    "TeamsChanged",
    "Tick",
    "UrgenciesChanged",
    "Urgency",
    "ViewChanged",
    "Worker",
]


class Arrived(NamedTuple):
    """A request of a caller.

    Parameters
    ----------
    request : int
        Unique in this daemon and never used again.
    service, pool : str
        The requested service, and the pool that serves it.
    urgency, team : str
        Urgency class and team. Unknown classes are served after the known ones;
        unknown teams have weight 1.
    deadline : float
        Absolute time by which the final answer is due.
    idempotent : bool
        Whether the request may safely run twice.
    """

    request: int
    service: str
    pool: str
    urgency: str
    team: str
    deadline: float
    idempotent: bool


class Cancelled(NamedTuple):
    """The caller disconnected; unknown and answered requests are ignored."""

    request: int


class AttemptEnded(NamedTuple):
    """An attempt has ended.

    Exactly one follows every `action.Send`, also after an `action.Abort`, and
    not before the worker's connection is done with the request.

    Parameters
    ----------
    request, attempt : int
        As in the `action.Send`.
    verdict : verdict.Verdict
        ``ran`` for a whole answer of any status, ``not run`` only if the
        worker refused or no byte reached it, otherwise ``may have run``.
    seconds : float
        Duration of the attempt.
    failed : bool
        The answer is whole but reports a failure of the worker (status 500 or
        above, other than a refusal). It counts for outlier detection only and is
        still passed on as the answer.
    """

    request: int
    attempt: int
    verdict: verdict.Verdict
    seconds: float
    failed: bool = False


class Received(NamedTuple):
    """Messages of another daemon, in the order in which it sent them."""

    daemon: str
    messages: tuple[peer.Message, ...]


class Tick(NamedTuple):
    """Time has passed; due at `core.Core.next_timer`."""


class Worker(NamedTuple):
    """One worker of a pool.

    Parameters
    ----------
    vm : str
        Name of the VM.
    slots, connections : int
        Requests that it runs concurrently; connections that it accepts from all
        daemons.
    usable : bool
        False for VMs that are draining or down: they get no new sends.
    """

    vm: str
    slots: int = 8
    connections: int = 60
    usable: bool = True


class ViewChanged(NamedTuple):
    """The whole view of all pools at a fleet revision.

    A revision below the highest one applied is ignored.
    """

    revision: int
    pools: Mapping[str, tuple[Worker, ...]]


class MembersChanged(NamedTuple):
    """The daemons that are alive, this one included."""

    members: frozenset[str]


class Urgency(NamedTuple):
    """An urgency class; ``start_within`` (seconds) limits the time in the queue."""

    name: str
    start_within: float


class UrgenciesChanged(NamedTuple):
    """All urgency classes; ``"urgent"`` goes first, then by ``start_within``."""

    urgencies: tuple[Urgency, ...]


class TeamsChanged(NamedTuple):
    """Weights of teams; unlisted teams have weight 1."""

    weights: Mapping[str, float]


class Stopping(NamedTuple):
    """A planned stop: refuse new requests, finish the accepted ones."""


class SendRightLapsed(NamedTuple):
    """The daemon lost the right to send to workers: it was out of contact too long."""


class SendRightRestored(NamedTuple):
    """The daemon may send to workers again."""


Event = (
    Arrived
    | Cancelled
    | AttemptEnded
    | Received
    | Tick
    | ViewChanged
    | MembersChanged
    | UrgenciesChanged
    | TeamsChanged
    | Stopping
    | SendRightLapsed
    | SendRightRestored
)
