"""Events that go into `wigeonhitch.routing.core.Core.handle`.

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
        What was asked for, and the pool that serves it.
    urgency, team : str
        Class of work and team; unknown names are served after known classes,
        with weight 1.
    deadline : float
        Absolute time by which the final answer must have been given.
    idempotent : bool
        Whether running it twice does no harm.
    """

    request: int
    service: str
    pool: str
    urgency: str
    team: str
    deadline: float
    idempotent: bool


class Cancelled(NamedTuple):
    """The caller left; unknown and answered requests are ignored."""

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
        worker refused or no byte reached it, else ``may have run``.
    seconds : float
        Time that the attempt took.
    failed : bool
        The whole answer says that the worker failed (status 500 or above,
        other than a refusal). Counts as evidence only; it is still an answer.
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
        Requests it runs at once; connections it accepts from all daemons.
    usable : bool
        False for VMs that drain or are down: they get no new sends.
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
    """A class of work; ``start_within`` in seconds bounds its queueing."""

    name: str
    start_within: float


class UrgenciesChanged(NamedTuple):
    """All classes; ``"urgent"`` goes first, then by ``start_within``."""

    urgencies: tuple[Urgency, ...]


class TeamsChanged(NamedTuple):
    """Weights of teams; a team that is not named has weight 1."""

    weights: Mapping[str, float]


class Stopping(NamedTuple):
    """A planned stop: refuse what is new, finish what was accepted."""


class SendRightLapsed(NamedTuple):
    """The daemon may send nothing to workers: it heard no one for too long."""


class SendRightRestored(NamedTuple):
    """The daemon may send again."""


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
