"""The link of one daemon to a pool's owner: whom it asks, and for what.

Made for the seconds between the loss of an owner and the members' agreeing on
it: nobody waits for a daemon that is silent for longer than `SILENCE`.
"""

import enum
from collections.abc import Iterable

from wigeonhitch.routing import hint, peer, port, queue

__all__ = ["SILENCE", "Link", "Policy", "State"]

# Seconds without a sign of life, while asks wait or a report is unanswered,
# after which an owner counts as lost: three pulses (`slot.PULSE`) and a
# message's way. Requests of that moment wait this long once.
SILENCE = 0.1

# Seconds between tries to come back to the first owner.
PROBE = 1.0

# The daemons that are tried as owner, in rendezvous order, before a daemon
# sends by its own counts alone. With two, the pause of one owner costs the
# one-queue order for `SILENCE` plus `slot.REBUILD`, not until members agree.
OWNERS = 2


class State(enum.Enum):
    """State of the link."""

    NONE = "none"
    JOINING = "joining"
    JOINED = "joined"
    ALONE = "alone"


class Policy(enum.Enum):
    """Who counts the slots."""

    OWNER = "owner"
    LOCAL_COUNTS = "own counts"


class Link:
    """The owner of one pool, and this daemon's asks there.

    Parameters
    ----------
    pool : str
    driver : port.Port
    policy : Policy

    Attributes
    ----------
    hint : hint.Hint
        What the owner said about the asks that are next.
    """

    def __init__(self, pool: str, driver: port.Port, policy: Policy) -> None:
        self.hint = hint.Hint()
        self._pool = pool
        self._port = driver
        self._policy = policy
        self._state = State.NONE
        self._owners: tuple[str, ...] = ()
        self._rank = 0
        self._heard = 0.0
        self._probe_at = 0.0
        self._asks: dict[int, int] = {}
        self._requests: dict[int, int] = {}

    @property
    def is_begun(self) -> bool:
        """Whether an owner was ever needed."""
        return self._state is not State.NONE

    @property
    def is_joined(self) -> bool:
        """Whether requests wait at the owner."""
        return self._state is State.JOINED

    def find_owner(self) -> str | None:
        """Return the daemon that is asked, or to be asked once it answers."""
        unlinked = self._state in (State.NONE, State.ALONE)
        if unlinked or self._rank >= len(self._owners):
            return None
        return self._owners[self._rank]

    def tell(self, message: peer.Message) -> None:
        """Send a message to the owner, if there is one."""
        owner = self.find_owner()
        if owner is not None:
            self._port.tell(owner, message)

    # Whom this daemon asks.

    def set_owners(self, ranked: Iterable[str], now: float) -> None:
        """Set the possible owners, best first; begin anew if they changed."""
        owners = tuple(ranked)[:OWNERS]
        if owners == self._owners:
            return
        before = self.find_owner()
        self._owners = owners
        if not self.is_begun:
            return
        if self.is_joined and before == self.find_owner() and not self._rank:
            return
        if before is not None and before in owners:
            self._port.tell(before, peer.Report(self._pool, (), False))
        self.join(0, now)

    def join(self, rank: int, now: float) -> None:
        """Begin with the owner of a rank; send by own counts until welcomed."""
        self._forget_asks()
        self._rank = rank
        self._probe_at = now + PROBE
        if self._policy is Policy.LOCAL_COUNTS or rank >= len(self._owners):
            self._state = State.ALONE
        else:
            self._state = State.JOINING
            self._heard = now
            self.tell(peer.Report(self._pool, (), True))

    def accept(self, daemon: str, now: float) -> bool:
        """Take an owner's welcome; False if it is none of a new owner."""
        first = bool(self._owners) and daemon == self._owners[0]
        if daemon != self.find_owner():
            if not first or not self.is_begun:
                return False
            self._take_leave()
            self._rank = 0
        elif self.is_joined:
            return False
        self._forget_asks()
        self._state = State.JOINED
        self._heard = now
        return True

    def lose(self, now: float) -> None:
        """Go on to the next owner: this one is silent or leaves."""
        self._take_leave()
        self.join(self._rank + 1, now)

    def hear(self, now: float) -> None:
        """Note a sign of the owner's life."""
        self._heard = now

    def is_silent(self, now: float) -> bool:
        """Tell whether the owner counts as lost."""
        return self._is_waiting() and now >= self._heard + SILENCE

    def probe(self, now: float) -> None:
        """Try to come back to the first owner, when that is due."""
        if self._rank and now >= self._probe_at and self._owners:
            self._probe_at = now + PROBE
            self._port.tell(self._owners[0], peer.Report(self._pool, (), True))

    def list_times(self, in_use: bool) -> list[float]:
        """Return when the owner may be lost, or is to be probed, in seconds."""
        times = []
        if self._is_waiting():
            times.append(self._heard + SILENCE)
        if self._rank and in_use:
            times.append(self._probe_at)
        return times

    def _take_leave(self) -> None:
        if self.is_joined:
            self.tell(peer.Report(self._pool, (), False))

    def _is_waiting(self) -> bool:
        """Tell whether the owner must give a sign of life."""
        return self._state is State.JOINING or (self.is_joined and bool(self._asks))

    # What it asks for.

    def ask(self, entry: queue.Entry, deadline: float, now: float, again: bool) -> None:
        """Ask the owner for a slot; ``again`` is for one that keeps its place."""
        if not self._asks:
            self._heard = now
        ask = self._port.number()
        self._asks[entry.key] = ask
        self._requests[ask] = entry.key
        lasts = deadline - now
        age = now - entry.since
        left = entry.latest - now
        self.tell(
            peer.Ask(self._pool, ask, entry.rank, entry.team, age, left, lasts, again)
        )

    def find_request(self, ask: int) -> int | None:
        """Return the request that an ask is for, while it is wanted."""
        return self._requests.get(ask)

    def take_request(self, ask: int) -> int | None:
        """Return the request that an ask was for, and forget the ask."""
        request = self._requests.pop(ask, None)
        if request is not None:
            del self._asks[request]
        return request

    def take_ask(self, request: int) -> int:
        """Return the ask for a request that waits, and forget it."""
        ask = self._asks.pop(request)
        del self._requests[ask]
        return ask

    def cancel(self, request: int) -> None:
        """Take the ask for a request back, if there is one."""
        if request in self._asks:
            self.tell(peer.Cancel(self._pool, self.take_ask(request)))

    def _forget_asks(self) -> None:
        self._asks.clear()
        self._requests.clear()
        self.hint.clear()
