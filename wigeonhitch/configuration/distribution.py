"""Decide which version is in force on this daemon, and whether it may serve.

Events go in, actions come out; nothing here reads, sends or looks at a clock.

Load: one change every three minutes (520 a day), some 220 daemons, a store
that is slow or down for long, peers that are paused, cut off or replaced.
Harm prevented: a daemon that goes back to an older version; one that serves
under a version that everybody else has left; a load that grows with the
number of daemons.

- Each daemon reads one small row each `Limits.poll` seconds, whatever the
  number of daemons. A change is told to `Limits.fan_out` peers, once.
- A version only ever rises. Content is taken by its hash, so it does not
  matter who sends it.
- While the store answers, peers are not asked. When it does not, a few peers
  are asked in turn; what they answer counts as of the time of the question,
  since an answer may have lain in a buffer while this process was paused.
- Nobody can accept a version while the store is down, so daemons that hear
  one another go on through an outage. A daemon that hears neither the store
  nor most of the peers it asks may be the one that is cut off while others
  accept a version: it stops serving after `Limits.cut_off`.
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

# Whether a fetch goes to a peer, by the number of the fetch.
PEER_TURNS_NORMAL = (True, False)
PEER_TURNS_STORE_SILENT = (False, True, True, True)


class Limits(NamedTuple):
    """Limits of distribution.

    Parameters
    ----------
    poll : float
        Seconds between two reads of the signal row. One second is 220 of the
        store's two thousand reads a second at the target.
    jitter : float
        Share of ``poll`` by which it varies, so that daemons started together
        do not read together.
    cut_off : float
        Seconds without proof from the store or peers that the version is the
        newest, after which the daemon is not ready. Some five lost polls; below
        the nine seconds in which a change must be in force.
    fan_out : int
        Peers told of a change, and peers asked at once when the store is
        silent.
    answer : float
        Seconds after which an unanswered question counts as unanswered.
    retry : float
        Seconds after which a fetch is tried again elsewhere.
    read_timeout : float
        Seconds that a read of the signal may take. Long enough for a slow
        store, below ``cut_off`` so that what it answers is still news.
    """

    poll_interval: float = 1.0
    jitter: float = 0.2
    max_staleness: float = 6.0
    fan_out: int = 3
    answer_timeout: float = 1.0
    fetch_retry_interval: float = 0.5
    read_timeout: float = 4.0


class Readiness(enum.Enum):
    """Whether this daemon may serve, and if not, why."""

    READY = "ready"
    STARTING = "nobody has told which version is in force"
    NO_DOCUMENT = "no document has been accepted yet"
    CUT_OFF = "heard neither the store nor enough peers"
    BEHIND = "a newer version exists but could not be fetched"
    DISAGREES = "the store holds other content under this version"


class Distribution:
    """State of one daemon.

    Parameters
    ----------
    limits : Limits
        Periods and counts.
    rng : random.Random
        Seeded source for jitter and the choice of peers.

    Notes
    -----
    ``version`` and ``intended`` are what is in force here; ``counts`` has
    what was ignored and why. ``_target`` is the newest version known to
    exist; ``_confirmed`` the last time as of which the store showed that the
    version in force here is the newest, whatever peers say.
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
        self._target = 0
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
        """Take one event and return what is to be done.

        Parameters
        ----------
        event : message.Event
            What happened.
        now : float
            Seconds on a clock that counts suspension.
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
        """Return whether this daemon may serve at this moment."""
        if self.version == 0:
            store_answers_recent = (
                now - self._store_answered_as_of <= self.limits.max_staleness
            )
            return Readiness.NO_DOCUMENT if store_answers_recent else Readiness.STARTING
        if self._hash_disagrees:
            return Readiness.DISAGREES
        if now - self._confirmed_as_of <= self.limits.max_staleness:
            return Readiness.READY
        if self._target > self.version:
            return Readiness.BEHIND
        if self._quorum.has_quorum(now):
            return Readiness.READY
        return Readiness.CUT_OFF

    def next_wake(self, now: float) -> float:
        """Return when a tick is due next."""
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
        if self._target > self.version and retry_due:
            actions += self._fetch(now)
        return actions

    def _is_store_silent(self, now: float) -> bool:
        """Return whether the store is slow or down: two periods without news."""
        return now - self._store_answered_as_of > 2 * self.limits.poll_interval

    def _handle_polled(self, event: message.Polled, now: float) -> list[message.Action]:
        if event.signal is None:
            self._polling = False
            return []
        if event.signal != self._signal_version:
            # Still polling: the row itself is read as the second half.
            return [message.ReadCurrent()]
        self._polling = False
        self._store_answered_as_of = max(self._store_answered_as_of, event.started)
        if self._target <= self.version:
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
        if event.version < max(self.version, self._target):
            # A read begun before a change, or a store set back: never follow.
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
        """Make a version the one to fetch; it only ever rises."""
        if version <= max(self.version, self._target):
            if version == self._target and peer and not self._target_peer:
                self._target_peer = peer
            return []
        self._target = version
        self._target_as_of = float("-inf")
        self._target_hash = content_hash
        self._target_peer = peer
        self._fetch_count = 0
        return self._fetch(now)

    def _fetch(self, now: float) -> list[message.Action]:
        """Ask for the target's content: the store and peers by turns.

        The store comes first while it answers, so that a change does not cost
        the daemons that tell it a document for each peer they tell. While it
        is silent peers come first, and the store every fourth time.
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
        # The next turn asks another peer, in case this one is gone.
        self._target_peer = ""
        return [message.SendPeer(peer, message.Want(self._target_hash))]

    def _handle_fetched(
        self, event: message.Fetched, now: float
    ) -> list[message.Action]:
        if event.hash != self._target_hash or self._target <= self.version:
            return []
        if event.data is None:
            return self._fetch(now) if self._fetching_from_store else []
        if canonical.hash_bytes(event.data) != event.hash:
            self.counts["content does not match its hash"] += 1
            return []
        intended = check.load_canonical(event.data)
        if intended is None:
            # Accepted by a daemon that knows more than this one: not ready
            # once it is behind for too long, rather than half understood.
            self.counts["content is not understood"] += 1
            return []
        self.version = self._target
        self.hash = event.hash
        self.intended = intended
        self.data = event.data
        self._hash_disagrees = False
        self._confirmed_as_of = max(self._confirmed_as_of, self._target_as_of)
        install = message.Install(self.version, self.hash, intended)
        return [install, *self._notify_peers()]

    def _notify_peers(self) -> list[message.Action]:
        """Tell a fixed few peers, once, so that cost does not grow."""
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
        # One that is itself cut off may be behind: its version is a lower
        # bound for a daemon that has one, and tells a starting one nothing.
        if received.version and (received.ready or self.version):
            return self._set_target(received.version, received.hash, peer, now)
        return []
