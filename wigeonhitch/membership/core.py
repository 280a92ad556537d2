"""Who the other daemons are and which of them live, without I/O.

Members are learned from the daemon rows of the platform's table and from
heartbeats. In a small system every daemon beats to every other; in a large one
each beats to a few peers drawn at random and passes on the newest beats it
knows, so that the cost per daemon doesn't grow with their number.
"""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.membership import message

__all__ = [
    "BEAT_PERIOD",
    "Limits",
    "Members",
    "MembersChanged",
    "Peer",
    "SendHeartbeat",
    "Drains",
]

# One beat a second: a lost daemon is noticed within a few seconds, and at the
# largest fan-out a heartbeat of 350 bytes stays below 3 KB/s of the 5 KB/s
# that control may spend.
BEAT_PERIOD = 1.0  # seconds

# Own beats whose sending times are kept to date echoes: far more than the send
# right lasts, so that a dropped one can no longer prove anything.
BEATS_KEPT = 100


class Limits(NamedTuple):
    """Limits of the membership traffic.

    Parameters
    ----------
    fan_out : int
        Peers that get each heartbeat. Eight covers every peer of a
        nine-daemon system, where no beat has to be passed on.
    large_fan_out : int
        Peers that get each heartbeat when there are more members than
        ``fan_out``; three random peers reach 220 daemons in about five rounds.
    digest : int
        Most members passed on in one heartbeat: 40 are about 800 bytes, so
        that three heartbeats a second stay below half of 5 KB/s.
    missed : int
        Beats that may be missed before a member counts as lost.
    send_right : float
        Seconds without the store and without a majority of the members after
        which this daemon sends nothing more to workers.
    forget : float
        Seconds after which a lost member is dropped.
    """

    fan_out: int = 8
    large_fan_out: int = 3
    digest: int = 40
    missed: int = 3
    send_right: float = 10.0
    forget: float = 120.0


class Peer(NamedTuple):
    """One other daemon."""

    daemon: str
    address: str
    vm: str
    data_centre: str


class Drains(NamedTuple):
    """The drains that this daemon has applied, carried by its heartbeats."""

    fleet_revision: int = 0
    unusable: tuple[str, ...] = ()
    drain: int = 0
    busy: tuple[str, ...] = ()


class SendHeartbeat(NamedTuple):
    """Action: send ``heartbeat`` to ``peer``."""

    peer: Peer
    heartbeat: message.Heartbeat


class MembersChanged(NamedTuple):
    """Action: the set of live members, this daemon included, has changed."""

    alive: frozenset[str]


class _Entry:
    """State kept about one peer."""

    __slots__ = (
        "beat",
        "confirmed",
        "heard",
        "passed",
        "peer",
        "proved",
        "registered",
    )

    def __init__(self, peer: Peer, now: float) -> None:
        self.peer = peer
        self.beat = -1
        self.heard = now  # liveness: when the newest beat arrived
        self.proved = -math.inf  # send right: a time the beat is surely later than
        self.passed = 0
        self.registered = False
        self.confirmed: tuple[int, tuple[str, ...], float] | None = None


class Members:
    """The membership decisions of one daemon.

    Parameters
    ----------
    me : Peer
        This daemon.
    limits : Limits
    seed : int
        Seed of the choice of peers.
    now : float
        Seconds on the clock that counts suspension.
    """

    def __init__(self, me: Peer, limits: Limits, seed: int, now: float) -> None:
        self.me = me
        self.limits = limits
        self.drains = Drains()
        self._random = random.Random(seed)
        self._entries: dict[str, _Entry] = {}
        self._beat = 0
        self._periods = self._random.randrange(1000)  # beats spread over time
        self._sent: dict[int, float] = {}
        self._store_heard = now
        self._registered_count = 1
        self._alive = frozenset({me.daemon})

    @property
    def registered_count(self) -> int:
        """Number of daemons in the table's last known list, this one included."""
        return self._registered_count

    @property
    def peers(self) -> tuple[Peer, ...]:
        """All peers that are known, lost ones included."""
        return tuple(entry.peer for entry in self._entries.values())

    def find_peer(self, daemon: str) -> Peer | None:
        """Return the peer of that name, or None."""
        entry = self._entries.get(daemon)
        return entry.peer if entry else None

    def record_store_answer(self, now: float) -> None:
        """Note an answer of the platform's table."""
        self._store_heard = max(self._store_heard, now)

    def get_store_age(self, now: float) -> float:
        """Return the seconds since the table last answered."""
        return now - self._store_heard

    def update_members(self, peers: Iterable[Peer], now: float) -> list[MembersChanged]:
        """Take the unexpired daemon rows of the table as the members' list.

        A member that is not in the list stays known while its beats arrive: the
        table lags, and a daemon cut off from it alone still counts slots.
        """
        self.record_store_answer(now)
        listed = {peer.daemon: peer for peer in peers if peer.daemon != self.me.daemon}
        for daemon, entry in self._entries.items():
            entry.registered = daemon in listed
        for daemon, peer in listed.items():
            entry = self._entries.setdefault(daemon, _Entry(peer, now))
            entry.peer = peer
            entry.registered = True
        self._registered_count = 1 + len(listed)
        return self._refresh(now)

    def add_seeds(self, peers: Iterable[Peer], now: float) -> list[MembersChanged]:
        """Take the peers named in the settings, until the table names others."""
        for peer in peers:
            if peer.daemon != self.me.daemon:
                self._entries.setdefault(peer.daemon, _Entry(peer, now))
        return self._refresh(now)

    def receive_heartbeat(
        self, beat: message.Heartbeat, now: float
    ) -> list[MembersChanged]:
        """Take a heartbeat that arrived directly from a peer.

        A daemon that was paused finds old heartbeats in its sockets. What they
        say may be out of date, so for the send right a heartbeat counts as of
        the moment this daemon sent the beat that it echoes, not of its arrival.
        """
        proved = self._sent.get(beat.echo, -math.inf)
        if beat.daemon != self.me.daemon:
            peer = Peer(beat.daemon, beat.address, beat.vm, beat.data_centre)
            entry = self._entries.setdefault(beat.daemon, _Entry(peer, now))
            self._note(entry, beat.beat, now, proved)
            entry.confirmed = (beat.drain, beat.busy, now)
        for member in beat.members:
            self._hear_member(member, now, proved)
        return self._refresh(now)

    def tick(self, now: float) -> list[SendHeartbeat | MembersChanged]:
        """Return the heartbeats of this period; call every `BEAT_PERIOD`."""
        self._advance(now)
        actions: list[SendHeartbeat | MembersChanged] = list(self._refresh(now))
        targets = self._choose_targets()
        digest = self._choose_digest(now)
        beat = message.Heartbeat(
            daemon=self.me.daemon,
            beat=self._beat,
            store_age_ms=int(min(self.get_store_age(now), 1e6) * 1000),
            members=digest,
            address=self.me.address,
            vm=self.me.vm,
            data_centre=self.me.data_centre,
            **self.drains._asdict(),
        )
        for peer in targets:
            echo = self._entries[peer.daemon].beat
            actions.append(SendHeartbeat(peer, beat._replace(echo=echo)))
        return actions

    def has_send_right(self, now: float) -> bool:
        """Whether this daemon may still send requests to workers.

        Made for daemons that are paused or cut off while a wave drains workers:
        a planned stop must know a time after which such a daemon surely sends
        nothing. It keeps the right while it hears the table, or a majority of
        the members last listed there: any majority contains a daemon that the
        runner of the stop has heard, which passes the drain on. While the table
        is down for all, majorities go on hearing each other and work goes on.
        """
        if self.get_store_age(now) <= self.limits.send_right:
            return True
        heard = 1 + sum(
            1
            for entry in self._entries.values()
            if entry.registered and now - entry.proved <= self.limits.send_right
        )
        return heard * 2 > self._registered_count

    def find_relayed_confirmations(
        self, now: float
    ) -> dict[str, tuple[int, tuple[str, ...]]]:
        """Return the drains that peers confirmed to this daemon just now.

        A peer that is cut off from the table alone cannot write its own
        confirmation; whoever hears it writes it in its place.
        """
        return {
            daemon: entry.confirmed[:2]
            for daemon, entry in self._entries.items()
            if entry.confirmed and now - entry.confirmed[2] <= self._suspect_after()
        }

    def find_alive(self, now: float) -> frozenset[str]:
        """Return the members heard within the suspicion time, and this one."""
        limit = self._suspect_after()
        alive = {
            daemon
            for daemon, entry in self._entries.items()
            if now - entry.heard <= limit
        }
        return frozenset(alive | {self.me.daemon})

    def _beat_every(self) -> int:
        # Each daemon hears fan-out times digest entries a period, about a third of
        # them news to it. Beating more often than that carries would let news wait
        # behind older news, and live members would be called lost.
        count = len(self._entries) + 1
        if count <= self.limits.fan_out + 1:
            return 1
        carried = self.limits.large_fan_out * self.limits.digest / 3
        return math.ceil(count / carried)

    def _advance(self, now: float) -> None:
        self._periods += 1
        if self._periods % self._beat_every():
            return
        self._beat += 1
        self._sent[self._beat] = now
        self._sent.pop(self._beat - BEATS_KEPT, None)

    def _suspect_after(self) -> float:
        # Passing on takes one period a hop; without the hops a large system
        # would call members lost whose beats are only under way.
        count = len(self._entries) + 1
        hops = 0
        if count > self.limits.fan_out + 1:
            hops = math.ceil(math.log(count, self.limits.large_fan_out + 1)) * 2
        return (self.limits.missed * self._beat_every() + hops) * BEAT_PERIOD

    def _hear_member(self, member: message.Member, now: float, proved: float) -> None:
        if member.daemon == self.me.daemon:
            return
        entry = self._entries.get(member.daemon)
        age = member.age_ms / 1000
        learned = now - age
        if entry is None:
            return  # its row in the table will name its address
        if member.beat > entry.beat:
            self._note(entry, member.beat, learned, proved - age)

    def _note(self, entry: _Entry, beat: int, heard: float, proved: float) -> None:
        entry.heard = max(entry.heard, heard)
        entry.proved = max(entry.proved, proved)
        if beat > entry.beat:
            entry.beat = beat
            entry.passed = 0

    def _choose_targets(self) -> list[Peer]:
        peers = [entry.peer for entry in self._entries.values()]
        if len(peers) <= self.limits.fan_out:
            return peers
        return self._random.sample(peers, self.limits.large_fan_out)

    def _choose_digest(self, now: float) -> tuple[message.Member, ...]:
        # The least passed on go first, as in epidemic protocols: each beat is
        # repeated a few times by everybody and then makes room for newer ones.
        limit = self._suspect_after()
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.beat >= 0 and now - entry.heard <= limit
        ]
        fresh.sort(key=lambda entry: (entry.passed, -entry.heard))
        chosen = fresh[: self.limits.digest]
        for entry in chosen:
            entry.passed += 1
        return tuple(
            message.Member(
                entry.peer.daemon, entry.beat, int((now - entry.heard) * 1000)
            )
            for entry in chosen
        )

    def _refresh(self, now: float) -> list[MembersChanged]:
        for daemon, entry in list(self._entries.items()):
            if now - entry.heard > self.limits.forget and not entry.registered:
                del self._entries[daemon]
        alive = self.find_alive(now)
        if alive == self._alive:
            return []
        self._alive = alive
        return [MembersChanged(alive)]
