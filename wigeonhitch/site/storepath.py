"""Decides whether calls to the store go directly or through a peer, without I/O.

The load that it answers: the store refuses or doesn't answer the calls of some daemons
while it serves others. A daemon that has lost the store alone would lose its pools and
refuse its callers, though other daemons could send its calls.
"""

import collections
import math
from typing import NamedTuple

from wigeonhitch.leadership import candidacy
from wigeonhitch.platform import rows

__all__ = [
    "INDIRECT_PROBE_TIMEOUT_SECONDS",
    "MAX_RELAYED_CALLS",
    "MIN_PEER_TIMEOUT_SECONDS",
    "PROBE_TIMEOUT_SECONDS",
    "Peer",
    "StorePath",
]

PROBE_INTERVAL_SECONDS = 0.3
"""Interval between the starts of two direct calls while calls are relayed: with their
timeout, the return of the store is detected within 0.8 s."""

PROBE_TIMEOUT_SECONDS = 0.5
"""Timeout of a probe: a slow store takes 0.2 to 0.4 s for a call."""

SILENCE_SECONDS = 0.3
"""Time without an answer after which a direct call is unanswered: a call usually takes
4 ms, and times out only after 0.9 to 1.0 s."""

INDIRECT_PROBE_INTERVAL_SECONDS = 0.3
"""Minimum interval between the starts of two reads through peers while calls are
direct. It bounds the additional calls to a store that is slow for all."""

INDIRECT_PROBE_TIMEOUT_SECONDS = 0.15
"""Timeout of a read through a peer while calls are direct: a store that is slow for all
takes 0.22 to 0.35 s for a call, so its answer comes too late."""

PEER_BACKOFF_SECONDS = 1.0
"""Time for which a peer that has refused or not answered isn't asked."""

MIN_PEER_TIMEOUT_SECONDS = 0.15
"""Timeout of a call below which a missing answer isn't a failure of the peer: a feed
call that is moved at the end of its time has as little as 0.02 s left."""

MAX_REPEATS = 2
"""Maximum number of peers that are asked again within the backoff after a failure. It
bounds the calls to peers while the store is down for all."""

MAX_RELAYED_CALLS = 32
"""Maximum number of peers' calls in progress at this daemon. A requester has five feed
calls in progress, and a third of 45 daemons spreads over eight peers."""


class Peer(NamedTuple):
    """A daemon that may relay calls; ``is_live``: its lease may be valid."""

    name: str
    address: str
    data_centre: str
    is_live: bool = True


class _Failure(NamedTuple):
    """First failed direct call since one was served; times in seconds."""

    sent: float
    ended: float


class StorePath:
    """Path of one daemon's calls to the store, and the limit of calls for others.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of this daemon.

    Attributes
    ----------
    is_relayed : bool
        Whether calls go through a peer.
    relayed_calls : int
        Number of peers' calls in progress at this daemon.
    """

    def __init__(self, name: str, data_centre: str) -> None:
        self.is_relayed = False
        self.relayed_calls = 0
        self._name = name
        self._data_centre = data_centre
        self._last_served_at = 0.0
        """Send time of the newest direct call that was served."""
        self._last_answered_at = 0.0
        """Send time of the newest direct call whose answer has begun, of any status."""
        self._failure: _Failure | None = None
        self._relayed_at = 0.0
        self._probed_at = 0.0
        self._calls: dict[int, float] = {}
        """Send times of the direct calls in progress, in this order, by number."""
        self._last_number = 0
        self._indirectly_probed_at = -math.inf
        self._silent_since = 0.0
        """Send time of the unanswered call that led to the last indirect probe."""
        self._slow_peers: dict[str, float] = {}
        """Time of the last indirect probe that each peer didn't answer in time."""
        self._failed_peers: dict[str, float] = {}
        """Time of the last failure of each peer that hasn't served a call since."""
        self._repeated: set[str] = set()
        """Peers that are asked again after a failure and haven't answered yet."""
        self._repeated_at: collections.deque[float] = collections.deque(
            maxlen=MAX_REPEATS
        )

    # -- direct calls

    def on_direct_call(
        self, service: rows.Service, sent: float, now: float, peers: list[Peer]
    ) -> bool:
        """Record the end of a direct call; return whether the path has changed.

        The path becomes relayed with the second failure in a row, if there is a peer
        to ask. A refusal counts as the second one only if its call was sent after the
        first failure had ended: a store that refuses some of its calls may refuse
        several of a burst, and serves the next.
        """
        if service is rows.Service.SERVED:
            return self._on_served(sent)
        if self.is_relayed or sent <= self._last_served_at:
            return False
        if self._failure is None:
            self._failure = _Failure(sent, now)
            return False
        is_in_burst = service is rows.Service.REFUSED and sent < self._failure.ended
        if is_in_burst or self.find_peer(peers, now) is None:
            return False
        self._leave_direct(now)
        return True

    def _leave_direct(self, now: float) -> None:
        self.is_relayed = True
        self._relayed_at = self._probed_at = now
        self._failed_peers = _list_recent(self._failed_peers, now)
        self._slow_peers = _list_recent(self._slow_peers, now)

    def _on_served(self, sent: float) -> bool:
        self._last_served_at = max(self._last_served_at, sent)
        if self._failure is not None and sent > self._failure.sent:
            self._failure = None
        # An older call tells nothing of the path now: feed calls wait for seconds.
        if not self.is_relayed or sent <= self._relayed_at:
            return False
        self.is_relayed = False
        return True

    def begin_direct_call(self, sent: float) -> int:
        """Record that a call other than a feed call is sent; return its number."""
        self._last_number += 1
        self._calls[self._last_number] = sent
        return self._last_number

    def end_direct_call(self, number: int) -> None:
        """Record that a numbered call has ended, or was cancelled."""
        del self._calls[number]

    def on_answer(self, sent: float) -> None:
        """Record that the answer of a direct call begins; a long one takes seconds."""
        self._last_answered_at = max(self._last_answered_at, sent)

    def begin_probe(self, now: float) -> None:
        """Record that a probe is sent."""
        self._probed_at = now

    def compute_probe_delay(self, now: float) -> float:
        """Return the seconds until the next probe is due."""
        return max(0.0, self._probed_at + PROBE_INTERVAL_SECONDS - now)

    # -- reads through peers while calls are direct

    def compute_indirect_probe_delay(self, now: float) -> float:
        """Return the seconds until a read through a peer may be due, 0 if it is.

        A call that is sent later can't make one due sooner.
        """
        sent = self._find_unanswered()
        due_at = (now if sent is None else sent) + SILENCE_SECONDS
        next_at = self._indirectly_probed_at + INDIRECT_PROBE_INTERVAL_SECONDS
        return max(0.0, due_at - now, next_at - now)

    def begin_indirect_probe(self, peers: list[Peer], now: float) -> Peer | None:
        """Return the peer to read through, None if there is none or no need."""
        if self.is_relayed or self.compute_indirect_probe_delay(now) > 0:
            return None
        self._indirectly_probed_at = now
        self._silent_since = self._find_unanswered() or now
        return self._take_peer(peers, now)

    def on_indirect_probe(self, name: str, service: rows.Service, now: float) -> bool:
        """Record the end of a read through a peer; return whether the path has changed.

        A prompt answer means that the peer has a quick store. The path becomes relayed
        unless a direct call has been served meanwhile. A late answer isn't a failure
        of the peer, since the store may be slow for all, but others go before it.
        """
        is_late = now - self._indirectly_probed_at > INDIRECT_PROBE_TIMEOUT_SECONDS
        if service is rows.Service.UNANSWERED or is_late:
            self._repeated.discard(name)
            self._slow_peers = _list_recent(self._slow_peers, now) | {name: now}
            return False
        self.on_peer_call(name, service, now)
        if service is not rows.Service.SERVED or self.is_relayed:
            return False
        if max(self._last_served_at, self._last_answered_at) >= self._silent_since:
            return False
        self._leave_direct(now)
        return True

    def _find_unanswered(self) -> float | None:
        """Return when the oldest call was sent that no answered call has followed."""
        answered_at = max(self._last_served_at, self._last_answered_at)
        return next((at for at in self._calls.values() if at > answered_at), None)

    # -- calls through peers

    def choose_peer(self, peers: list[Peer], now: float) -> Peer | None:
        """Return the peer to ask next; None if the call goes directly.

        Peers that have failed least recently, or never, go first, then those that are
        live and those of this data centre.
        """
        return self._take_peer(peers, now) if self.is_relayed else None

    def _take_peer(self, peers: list[Peer], now: float) -> Peer | None:
        peer = self.find_peer(peers, now)
        if peer is None:
            return None
        if peer.name in self._failed_peers and peer.name not in self._repeated:
            self._repeated.add(peer.name)
            self._repeated_at.append(now)
        return peer

    def find_peer(self, peers: list[Peer], now: float) -> Peer | None:
        """Return the peer that would be asked next, None if there is none."""
        usable = [peer for peer in peers if self._is_usable(peer.name, now)]
        return min(usable, key=self._rank, default=None)

    def on_peer_call(self, name: str, service: rows.Service, now: float) -> None:
        """Record the end of a call through a peer."""
        self._repeated.discard(name)
        if service is rows.Service.SERVED:
            self._failed_peers.pop(name, None)
            self._slow_peers.pop(name, None)
        else:
            self._failed_peers[name] = now

    def on_short_call(self, name: str) -> None:
        """Record that a call with little time left had no answer from a peer."""
        self._repeated.discard(name)

    def _is_usable(self, name: str, now: float) -> bool:
        failed_at = self._failed_peers.get(name)
        if failed_at is None or name in self._repeated:
            return True
        repeats = sum(now - at < PEER_BACKOFF_SECONDS for at in self._repeated_at)
        return repeats < MAX_REPEATS and now - failed_at >= PEER_BACKOFF_SECONDS

    def _rank(self, peer: Peer) -> tuple[float, float, bool, bool, bytes]:
        return (
            self._failed_peers.get(peer.name, 0.0),
            self._slow_peers.get(peer.name, 0.0),
            not peer.is_live,
            peer.data_centre != self._data_centre,
            candidacy.hash_text(f"{self._name}/{peer.name}"),
        )

    # -- calls of peers

    def begin_relay(self) -> str:
        """Return why a peer's call is refused, or count it and return an empty text."""
        if self.is_relayed:
            return "store lost"
        if self.relayed_calls >= MAX_RELAYED_CALLS:
            return "busy"
        self.relayed_calls += 1
        return ""

    def end_relay(self) -> None:
        """Record that a peer's call has ended."""
        self.relayed_calls -= 1


def _list_recent(times: dict[str, float], now: float) -> dict[str, float]:
    """Return the times that are within the backoff of peers."""
    return {name: at for name, at in times.items() if now - at < PEER_BACKOFF_SECONDS}
