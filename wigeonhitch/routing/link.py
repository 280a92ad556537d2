"""The link of one daemon to a pool's owner: the owner it asks, and its slot requests.

Covers the seconds between the loss of an owner and the members' agreement on it:
no request waits for a daemon that is silent for longer than
`OWNER_TIMEOUT_SECONDS`.
"""

import enum
from collections.abc import Iterable

from wigeonhitch.routing import driver, hint, peer, queue

__all__ = ["OWNER_TIMEOUT_SECONDS", "Link", "Policy", "State"]

# Silence after which an owner counts as lost while slot requests wait or a report
# is unanswered: three pulses (`pool_owner.PULSE_INTERVAL_SECONDS`) and a message
# delay. Requests waiting at that moment are delayed by this once.
OWNER_TIMEOUT_SECONDS = 0.1

# Interval between attempts to return to the first owner.
PROBE_INTERVAL_SECONDS = 1.0

# Daemons tried as owner, in rendezvous order, before a daemon sends by its local
# counts alone. With two, the pause of one owner suspends the common queue for
# `OWNER_TIMEOUT_SECONDS` plus `pool_owner.REBUILD_SECONDS`, rather than until the
# members agree.
MAX_OWNER_CANDIDATES = 2


class State(enum.Enum):
    """State of the link."""

    NONE = "none"
    JOINING = "joining"
    JOINED = "joined"
    LOCAL = "alone"


class Policy(enum.Enum):
    """How slots are counted: by the pool's owner or by each daemon alone."""

    OWNER = "owner"
    LOCAL_COUNTS = "own counts"


class Link:
    """The link to the owner of one pool, with this daemon's slot requests there.

    Parameters
    ----------
    pool : str
    driver : driver.Driver
    policy : Policy

    Attributes
    ----------
    hint : hint.ReuseHint
        The owner's latest report of the slot requests that are next.
    """

    def __init__(self, pool: str, driver: driver.Driver, policy: Policy) -> None:
        self.hint = hint.ReuseHint()
        self._pool = pool
        self._driver = driver
        self._policy = policy
        self._state = State.NONE
        self._owners: tuple[str, ...] = ()
        self._rank = 0
        self._last_contact = 0.0
        self._probe_at = 0.0
        self._asks: dict[int, int] = {}
        self._requests: dict[int, int] = {}

    @property
    def is_started(self) -> bool:
        """Whether an owner was ever needed."""
        return self._state is not State.NONE

    @property
    def is_joined(self) -> bool:
        """Whether requests wait at the owner."""
        return self._state is State.JOINED

    def find_owner(self) -> str | None:
        """Return the joined owner, or the one asked to accept this daemon."""
        has_no_owner = self._state in (State.NONE, State.LOCAL)
        if has_no_owner or self._rank >= len(self._owners):
            return None
        return self._owners[self._rank]

    def send_to_owner(self, message: peer.Message) -> None:
        """Send a message to the owner, if there is one."""
        owner = self.find_owner()
        if owner is not None:
            self._driver.send_message(owner, message)

    # Choice of the owner.

    def set_owners(self, ranked: Iterable[str], now: float) -> None:
        """Set the candidate owners, best first; join again if they changed."""
        owners = tuple(ranked)[:MAX_OWNER_CANDIDATES]
        if owners == self._owners:
            return
        previous = self.find_owner()
        self._owners = owners
        if not self.is_started:
            return
        if self.is_joined and previous == self.find_owner() and not self._rank:
            return
        if previous is not None and previous in owners:
            self._driver.send_message(previous, peer.Report(self._pool, (), False))
        self.join(0, now)

    def join(self, rank: int, now: float) -> None:
        """Join the owner of a rank; send by local counts until its welcome."""
        self._clear_asks()
        self._rank = rank
        self._probe_at = now + PROBE_INTERVAL_SECONDS
        if self._policy is Policy.LOCAL_COUNTS or rank >= len(self._owners):
            self._state = State.LOCAL
        else:
            self._state = State.JOINING
            self._last_contact = now
            self.send_to_owner(peer.Report(self._pool, (), True))

    def accept_welcome(self, daemon: str, now: float) -> bool:
        """Accept an owner's welcome; return False unless it is from a new owner."""
        is_first = bool(self._owners) and daemon == self._owners[0]
        if daemon != self.find_owner():
            if not is_first or not self.is_started:
                return False
            self._leave_owner()
            self._rank = 0
        elif self.is_joined:
            return False
        self._clear_asks()
        self._state = State.JOINED
        self._last_contact = now
        return True

    def fail_over(self, now: float) -> None:
        """Join the next owner, because this one timed out or left."""
        self._leave_owner()
        self.join(self._rank + 1, now)

    def record_contact(self, now: float) -> None:
        """Record that the owner is alive."""
        self._last_contact = now

    def has_owner_timed_out(self, now: float) -> bool:
        """Return whether the owner counts as lost."""
        return (
            self._expects_contact()
            and now >= self._last_contact + OWNER_TIMEOUT_SECONDS
        )

    def probe(self, now: float) -> None:
        """Try to return to the first owner, when that is due."""
        if self._rank and now >= self._probe_at and self._owners:
            self._probe_at = now + PROBE_INTERVAL_SECONDS
            self._driver.send_message(
                self._owners[0], peer.Report(self._pool, (), True)
            )

    def list_timers(self, in_use: bool) -> list[float]:
        """Return when the owner times out and when to probe the first, in seconds."""
        times = []
        if self._expects_contact():
            times.append(self._last_contact + OWNER_TIMEOUT_SECONDS)
        if self._rank and in_use:
            times.append(self._probe_at)
        return times

    def _leave_owner(self) -> None:
        if self.is_joined:
            self.send_to_owner(peer.Report(self._pool, (), False))

    def _expects_contact(self) -> bool:
        """Return whether the owner is due to send a message."""
        return self._state is State.JOINING or (self.is_joined and bool(self._asks))

    # Slot requests.

    def request_slot(
        self, entry: queue.Entry, deadline: float, now: float, is_retry: bool
    ) -> None:
        """Request a slot of the owner; ``is_retry`` keeps the request's place."""
        if not self._asks:
            self._last_contact = now
        ask = self._driver.allocate_number()
        self._asks[entry.key] = ask
        self._requests[ask] = entry.key
        lasts = deadline - now
        age = now - entry.arrived_at
        left = entry.latest_start - now
        self.send_to_owner(
            peer.Ask(
                self._pool, ask, entry.rank, entry.team, age, left, lasts, is_retry
            )
        )

    def find_request(self, ask: int) -> int | None:
        """Return the request that a slot request is for, unless it was withdrawn."""
        return self._requests.get(ask)

    def take_request(self, ask: int) -> int | None:
        """Remove a slot request and return the request that it was for."""
        request = self._requests.pop(ask, None)
        if request is not None:
            del self._asks[request]
        return request

    def take_ask(self, request: int) -> int:
        """Remove and return the slot request of a waiting request."""
        ask = self._asks.pop(request)
        del self._requests[ask]
        return ask

    def cancel(self, request: int) -> None:
        """Withdraw the slot request of a request, if there is one."""
        if request in self._asks:
            self.send_to_owner(peer.Cancel(self._pool, self.take_ask(request)))

    def _clear_asks(self) -> None:
        self._asks.clear()
        self._requests.clear()
        self.hint.clear()
