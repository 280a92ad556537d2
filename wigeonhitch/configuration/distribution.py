"""Decisions on which version is in force on a daemon and whether it may serve.

A state machine without I/O: `Distribution.handle` takes events and the time
and returns actions.

Sized for one change every three minutes (520 a day) and some 220 daemons, with
a store that is slow or down for long and peers that are paused, cut off or
replaced. A daemon never returns to an older version, does not serve under a
version that all others have replaced, and its load does not grow with the
number of daemons:

- Each daemon reads one small row every `Limits.poll_interval` seconds, and
  notifies `Limits.fan_out` peers of a change, once.
- The version never decreases. Content is verified against its hash, so it may
  come from any sender.
- While the store answers, peers are not asked. Otherwise a few peers are asked
  in turn. An answer counts as of the time of its question, since it may have
  been buffered while this process was paused.
- No version can be accepted while the store is down, so daemons that reach one
  another go on serving through an outage. A daemon that reaches neither the
  store nor a majority of the peers that it asks may be partitioned from others
  that accept a version: it stops serving after `Limits.max_staleness`.
"""

import collections
import enum
import random
from typing import NamedTuple

from wigeonhitch.configuration import (
    canonical,
    check,
    document,
    message,
    quorum,
)

__all__ = ["Distribution", "Limits", "Readiness"]

# Whether a fetch goes to a peer, indexed by the number of the fetch.
PEER_TURNS_NORMAL = (True, False)
PEER_TURNS_STORE_SILENT = (False, True, True, True)


class Limits(NamedTuple):
    """Intervals, timeouts and counts of distribution.

    Parameters
    ----------
    poll_interval : float
        Seconds between two reads of the signal row. At one second, 220 daemons
        take 220 of the store's 2000 reads a second.
    jitter : float
        Fraction of ``poll_interval`` by which it varies, so that daemons
        started together do not poll at the same time.
    max_staleness : float
        Seconds without confirmation by the store or peers that the version is
        the newest, after which the daemon is not ready. About five lost polls;
        below the nine seconds in which a change must be in force.
    fan_out : int
        Number of peers notified of a change, and of peers asked at once while
        the store does not answer.
    answer_timeout : float
        Seconds after which a question counts as unanswered.
    fetch_retry_interval : float
        Seconds after which a fetch is retried from another source.
    read_timeout : float
        Seconds that a read of the signal row may take. Long enough for a slow
        store; below ``max_staleness``, so that its answer is still recent.
    """

    poll_interval: float = 1.0
    jitter: float = 0.2
    max_staleness: float = 6.0
    fan_out: int = 3
    answer_timeout: float = 1.0
    fetch_retry_interval: float = 0.5
    read_timeout: float = 4.0


class Readiness(enum.Enum):
    """Whether a daemon may serve, and the reason if it may not."""

    READY = "ready"
    STARTING = "nobody has told which version is in force"
    NO_DOCUMENT = "no document has been accepted yet"
    CUT_OFF = "heard neither the store nor enough peers"
    BEHIND = "a newer version exists but could not be fetched"
    DISAGREES = "the store holds other content under this version"


class Distribution:
    """Distribution state of one daemon.

    Parameters
    ----------
    limits : Limits
        Intervals, timeouts and counts.
    rng : random.Random
        Random source for the jitter and the choice of peers.

    Notes
    -----
    ``version`` and ``intended`` are in force on this daemon; ``counts`` has the
    ignored messages by reason. ``_target_version`` is the newest version known
    to exist. ``_confirmed_as_of`` is the last time as of which the store
    confirmed that the version in force here is the newest, whatever peers answer.
    """

    def __init__(self, limits: Limits, rng: random.Random) -> None:
        self.limits = limits
        self.rng = rng
        self.version = 0
        self.hash = ""
        self.intended: document.Document | None = None
        self.data = b""
        self.counts: collections.Counter[str] = collections.Counter()
        self.peers: tuple[str, ...] = ()
        self._target_version = 0
        self._target_hash = ""
        self._target_peer = ""
        self._target_as_of = float("-inf")
        self._confirmed_as_of = float("-inf")
        self._hash_disagrees = False
        self._signal_version: int | None = None
        self._store_answered_as_of = float("-inf")
        self._next_poll_at = float("-inf")
        self._polling = False
        self._last_fetch_at = float("-inf")
        self._fetch_count = 0
        self._fetching_from_store = False
        self._quorum = quorum.PeerQuorum(limits.max_staleness, limits.answer_timeout)
        self._next_ask_at = float("-inf")

    def handle(self, event: message.Event, now: float) -> list[message.Action]:
        """Handle one event and return the actions to perform.

        Parameters
        ----------
        event : message.Event
            The event.
        now : float
            Seconds on the clock that includes time in suspension.
        """
        match event:
            case message.Polled():
                return self._handle_polled(event, now)
            case message.CurrentRead():
                return self._handle_current_read(event, now)
            case message.Fetched():
                return self._handle_fetched(event, now)
            case message.Received():
                return self._handle_received(event.peer, event.message, now)
            case message.PeersChanged():
                self.peers = event.peers
                return []
        return self._tick(now)

    def readiness(self, now: float) -> Readiness:
        """Return whether this daemon may serve at a time."""
        if self.version == 0:
            store_answered_recently = (
                now - self._store_answered_as_of <= self.limits.max_staleness
            )
            return (
                Readiness.NO_DOCUMENT if store_answered_recently else Readiness.STARTING
            )
        if self._hash_disagrees:
            return Readiness.DISAGREES
        if now - self._confirmed_as_of <= self.limits.max_staleness:
            return Readiness.READY
        if self._target_version > self.version:
            return Readiness.BEHIND
        if self._quorum.has_quorum(now):
            return Readiness.READY
        return Readiness.CUT_OFF

    def next_wake(self, now: float) -> float:
        """Return the time of the next tick."""
        if self._polling:
            return now + self.limits.answer_timeout / 2
        return max(self._next_poll_at, now)

    def _tick(self, now: float) -> list[message.Action]:
        actions: list[message.Action] = []
        if not self._polling and now >= self._next_poll_at:
            self._polling = True
            max_jitter = self.limits.poll_interval * self.limits.jitter
            self._next_poll_at = (
                now
                + self.limits.poll_interval
                + self.rng.uniform(-max_jitter, max_jitter)
            )
            actions.append(message.Poll())
        if self._is_store_silent(now) and now >= self._next_ask_at:
            self._next_ask_at = now + self.limits.poll_interval
            actions += self._ask_peers(now)
        retry_due = now - self._last_fetch_at >= self.limits.fetch_retry_interval
        if self._target_version > self.version and retry_due:
            actions += self._fetch(now)
        return actions

    def _is_store_silent(self, now: float) -> bool:
        """Return whether the store is slow or down: no answer for two intervals."""
        return now - self._store_answered_as_of > 2 * self.limits.poll_interval

    def _handle_polled(self, event: message.Polled, now: float) -> list[message.Action]:
        if event.signal is None:
            self._polling = False
            return []
        if event.signal != self._signal_version:
            # The poll continues with a read of the row of the current version.
            return [message.ReadCurrent()]
        self._polling = False
        self._store_answered_as_of = max(self._store_answered_as_of, event.started)
        if self._target_version <= self.version:
            self._confirmed_as_of = max(self._confirmed_as_of, event.started)
        return []

    def _handle_current_read(
        self, event: message.CurrentRead, now: float
    ) -> list[message.Action]:
        self._polling = False
        if event.version is None:
            return []
        self._signal_version = event.signal
        self._store_answered_as_of = max(self._store_answered_as_of, event.started)
        if event.version < max(self.version, self._target_version):
            # The read began before a change, or the store was restored to an
            # earlier state; the version must not decrease.
            self.counts["older version ignored"] += 1
            return []
        if event.version and event.version == self.version:
            self._hash_disagrees = event.hash != self.hash
            self._confirmed_as_of = max(self._confirmed_as_of, event.started)
            return []
        actions = self._set_target(event.version, event.hash, "", now)
        self._target_as_of = event.started
        return actions

    def _set_target(
        self, version: int, content_hash: str, peer: str, now: float
    ) -> list[message.Action]:
        """Set the version to fetch, unless it is not newer than the present one."""
        if version <= max(self.version, self._target_version):
            if version == self._target_version and peer and not self._target_peer:
                self._target_peer = peer
            return []
        self._target_version = version
        self._target_as_of = float("-inf")
        self._target_hash = content_hash
        self._target_peer = peer
        self._fetch_count = 0
        return self._fetch(now)

    def _fetch(self, now: float) -> list[message.Action]:
        """Request the target's content, from the store and peers in turn.

        The store comes first while it answers, so that a daemon does not have
        to send the document to every peer that it notifies. Otherwise peers
        come first, and every fourth fetch goes to the store.
        """
        self._last_fetch_at = now
        self._fetch_count += 1
        peer_turns = (
            PEER_TURNS_STORE_SILENT if self._is_store_silent(now) else PEER_TURNS_NORMAL
        )
        peer = self._target_peer
        if not peer and self.peers:
            peer = self.rng.choice(self.peers)
        self._fetching_from_store = (
            not peer or not peer_turns[self._fetch_count % len(peer_turns)]
        )
        if self._fetching_from_store:
            return [message.FetchObject(self._target_hash)]
        # The next fetch asks another peer, in case this one is gone.
        self._target_peer = ""
        return [message.SendPeer(peer, message.Want(self._target_hash))]

    def _handle_fetched(
        self, event: message.Fetched, now: float
    ) -> list[message.Action]:
        if event.hash != self._target_hash or self._target_version <= self.version:
            return []
        if event.data is None:
            return self._fetch(now) if self._fetching_from_store else []
        if canonical.hash_bytes(event.data) != event.hash:
            self.counts["content does not match its hash"] += 1
            return []
        intended = check.load_canonical(event.data)
        if intended is None:
            # Accepted by a daemon of a newer release. This daemon becomes not
            # ready after `Limits.max_staleness` rather than apply it in part.
            self.counts["content is not understood"] += 1
            return []
        self.version = self._target_version
        self.hash = event.hash
        self.intended = intended
        self.data = event.data
        self._hash_disagrees = False
        self._confirmed_as_of = max(self._confirmed_as_of, self._target_as_of)
        install = message.Install(self.version, self.hash, intended)
        return [install, *self._notify_peers()]

    def _notify_peers(self) -> list[message.Action]:
        """Notify a fixed number of peers, so that cost does not grow with them."""
        tell = message.Tell(self.version, self.hash)
        return [message.SendPeer(peer, tell) for peer in self._choose_peers()]

    def _choose_peers(self) -> list[str]:
        count = min(self.limits.fan_out, len(self.peers))
        return self.rng.sample(self.peers, count)

    def _ask_peers(self, now: float) -> list[message.Action]:
        return [
            message.SendPeer(peer, message.Ask(self._quorum.add_question(peer, now)))
            for peer in self._choose_peers()
        ]

    def _handle_received(
        self, peer: str, received: message.Message, now: float
    ) -> list[message.Action]:
        match received:
            case message.Tell():
                return self._set_target(received.version, received.hash, peer, now)
            case message.Ask():
                ready = self.readiness(now) is Readiness.READY
                answer = message.Answer(received.number, self.version, self.hash, ready)
                return [message.SendPeer(peer, answer)]
            case message.Answer():
                return self._handle_answer(peer, received, now)
            case message.Want():
                if received.hash != self.hash:
                    return []
                content = message.Content(self.hash, self.data.decode("utf-8"))
                return [message.SendPeer(peer, content)]
        data = received.text.encode("utf-8")
        return self._handle_fetched(message.Fetched(received.hash, data), now)

    def _handle_answer(
        self, peer: str, received: message.Answer, now: float
    ) -> list[message.Action]:
        if not self._quorum.record_answer(received.number, peer, received.ready):
            self.counts["late answer ignored"] += 1
            return []
        # A peer that is not ready may be behind: its version is a lower bound
        # for a daemon that has one, and of no use to one that is starting.
        if received.version and (received.ready or self.version):
            return self._set_target(received.version, received.hash, peer, now)
        return []
