"""Membership and liveness of daemons, without I/O.

Members are learned from the daemon rows of the platform's table and from
heartbeats. In a small system every daemon sends heartbeats to every other. In a
large one each sends them to a few random peers and forwards the newest beats that it
knows (gossip), so that the cost per daemon does not grow with their number.
"""

import math
import random
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.membership import message

__all__ = [
    "HEARTBEAT_INTERVAL_SECONDS",
    "Limits",
    "Members",
    "MembersChanged",
    "Peer",
    "SendHeartbeat",
    "Drains",
]

# At one heartbeat a second a lost daemon is detected within a few seconds, and with
# the largest fan-out heartbeats of 350 bytes stay below 3 KB/s of the 5 KB/s that
# control traffic may use.
HEARTBEAT_INTERVAL_SECONDS = 1.0

# Number of own beats whose sending times are kept, to date the echoes of peers. They
# span far more time than the send right lasts, so a dropped one proves nothing more.
MAX_TRACKED_BEATS = 100


class Limits(NamedTuple):
    """Limits of the membership traffic.

    Parameters
    ----------
    fan_out : int
        Number of peers that get each heartbeat. Eight are all peers of a system of
        nine daemons, where no beat has to be forwarded.
    large_fan_out : int
        Number of peers that get each heartbeat if there are more than ``fan_out``
        peers. Three random peers reach 220 daemons in about five rounds.
    digest : int
        Maximum members forwarded in one heartbeat. 40 members take about 800 bytes,
        so that three heartbeats a second stay below half of 5 KB/s.
    missed : int
        Number of missed beats after which a member is considered lost.
    send_right : float
        Seconds without contact to the store and to a majority of the members after
        which this daemon stops sending to workers.
    forget : float
        Seconds after which a lost member is removed.
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
    """The drains that this daemon has applied, as announced in its heartbeats."""

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


class _PeerState:
    """State of one peer."""

    __slots__ = (
        "beat",
        "drain_confirmation",
        "heard_at",
        "forward_count",
        "peer",
        "proven_at",
        "registered",
    )

    def __init__(self, peer: Peer, now: float) -> None:
        self.peer = peer
        self.beat = -1
        # When the newest beat arrived; decides liveness.
        self.heard_at = now
        # Lower bound of the time at which it was sent; decides the send right.
        self.proven_at = -math.inf
        self.forward_count = 0
        self.registered = False
        self.drain_confirmation: tuple[int, tuple[str, ...], float] | None = None


class Members:
    """Membership state of one daemon.

    Parameters
    ----------
    me : Peer
        This daemon.
    limits : Limits
    seed : int
        Seed of the random choice of peers.
    now : float
        Seconds on the clock that includes time in suspension.
    """

    def __init__(self, me: Peer, limits: Limits, seed: int, now: float) -> None:
        self.me = me
        self.limits = limits
        self.drains = Drains()
        self._random = random.Random(seed)
        self._entries: dict[str, _PeerState] = {}
        self._beat = 0
        # A random start spreads the beats of different daemons over time.
        self._period = self._random.randrange(1000)
        self._beat_sent_at: dict[int, float] = {}
        self._store_answered_at = now
        self._registered_count = 1
        self._alive = frozenset({me.daemon})

    @property
    def registered_count(self) -> int:
        """Number of daemons last listed in the table, this one included."""
        return self._registered_count

    @property
    def peers(self) -> tuple[Peer, ...]:
        """All known peers, including lost ones."""
        return tuple(entry.peer for entry in self._entries.values())

    def find_peer(self, daemon: str) -> Peer | None:
        """Return the peer of that name, or None."""
        entry = self._entries.get(daemon)
        return entry.peer if entry else None

    def record_store_answer(self, now: float) -> None:
        """Record that the platform's table answered."""
        self._store_answered_at = max(self._store_answered_at, now)

    def get_store_age(self, now: float) -> float:
        """Return the seconds since the table last answered."""
        return now - self._store_answered_at

    def update_members(self, peers: Iterable[Peer], now: float) -> list[MembersChanged]:
        """Update the members from the unexpired daemon rows of the table.

        A member without a row stays known while its beats arrive, since the table may
        lag, and a daemon that is cut off only from the table still counts slots.
        """
        self.record_store_answer(now)
        listed = {peer.daemon: peer for peer in peers if peer.daemon != self.me.daemon}
        for daemon, entry in self._entries.items():
            entry.registered = daemon in listed
        for daemon, peer in listed.items():
            entry = self._entries.setdefault(daemon, _PeerState(peer, now))
            entry.peer = peer
            entry.registered = True
        self._registered_count = 1 + len(listed)
        return self._update_alive(now)

    def add_seeds(self, peers: Iterable[Peer], now: float) -> list[MembersChanged]:
        """Add the peers named in the settings, used until the table lists members."""
        for peer in peers:
            if peer.daemon != self.me.daemon:
                self._entries.setdefault(peer.daemon, _PeerState(peer, now))
        return self._update_alive(now)

    def receive_heartbeat(
        self, beat: message.Heartbeat, now: float
    ) -> list[MembersChanged]:
        """Process a heartbeat that arrived directly from a peer.

        A daemon that was paused finds outdated heartbeats in its socket buffers. For
        the send right a heartbeat therefore counts from the time at which this daemon
        sent the beat that it echoes, not from its arrival.
        """
        proven_at = self._beat_sent_at.get(beat.echo, -math.inf)
        if beat.daemon != self.me.daemon:
            peer = Peer(beat.daemon, beat.address, beat.vm, beat.data_centre)
            entry = self._entries.setdefault(beat.daemon, _PeerState(peer, now))
            self._update_entry(entry, beat.beat, now, proven_at)
            entry.drain_confirmation = (beat.drain, beat.busy, now)
        for member in beat.members:
            self._receive_member(member, now, proven_at)
        return self._update_alive(now)

    def tick(self, now: float) -> list[SendHeartbeat | MembersChanged]:
        """Return the heartbeats of this period.

        Call it every `HEARTBEAT_INTERVAL_SECONDS`.
        """
        self._advance_beat(now)
        actions: list[SendHeartbeat | MembersChanged] = list(self._update_alive(now))
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
        """Return whether this daemon may still send requests to workers.

        A daemon may be paused or cut off while a wave drains workers, and a planned
        stop must know a time after which such a daemon sends nothing. A daemon keeps
        the right while it hears from the table, or from a majority of the members last
        listed there: any majority contains a daemon that the runner of the stop has
        heard from, and which forwards the drain. While the table is down for all
        daemons, majorities still hear from each other and requests are still sent.
        """
        if self.get_store_age(now) <= self.limits.send_right:
            return True
        heard_count = 1 + sum(
            1
            for entry in self._entries.values()
            if entry.registered and now - entry.proven_at <= self.limits.send_right
        )
        return heard_count * 2 > self._registered_count

    def find_relayed_confirmations(
        self, now: float
    ) -> dict[str, tuple[int, tuple[str, ...]]]:
        """Return the drain confirmations recently received from peers, by daemon.

        A peer that is cut off only from the table cannot write its confirmation, so
        daemons that hear from it write it in their rows.
        """
        return {
            daemon: entry.drain_confirmation[:2]
            for daemon, entry in self._entries.items()
            if entry.drain_confirmation
            and now - entry.drain_confirmation[2] <= self._compute_suspicion_timeout()
        }

    def find_alive(self, now: float) -> frozenset[str]:
        """Return the members heard within the suspicion timeout, and this one."""
        limit = self._compute_suspicion_timeout()
        alive = {
            daemon
            for daemon, entry in self._entries.items()
            if now - entry.heard_at <= limit
        }
        return frozenset(alive | {self.me.daemon})

    def _periods_per_beat(self) -> int:
        # Each daemon receives fan-out times digest entries a period, of which about a
        # third are new to it. With more beats than that, new beats would queue behind
        # older ones, and live members would be considered lost.
        count = len(self._entries) + 1
        if count <= self.limits.fan_out + 1:
            return 1
        carried = self.limits.large_fan_out * self.limits.digest / 3
        return math.ceil(count / carried)

    def _advance_beat(self, now: float) -> None:
        self._period += 1
        if self._period % self._periods_per_beat():
            return
        self._beat += 1
        self._beat_sent_at[self._beat] = now
        self._beat_sent_at.pop(self._beat - MAX_TRACKED_BEATS, None)

    def _compute_suspicion_timeout(self) -> float:
        # Forwarding takes one period per hop. Without an allowance for the hops, a
        # large system would consider members lost whose beats are still in transit.
        count = len(self._entries) + 1
        hops = 0
        if count > self.limits.fan_out + 1:
            hops = math.ceil(math.log(count, self.limits.large_fan_out + 1)) * 2
        return (
            self.limits.missed * self._periods_per_beat() + hops
        ) * HEARTBEAT_INTERVAL_SECONDS

    def _receive_member(
        self, member: message.Member, now: float, proven_at: float
    ) -> None:
        if member.daemon == self.me.daemon:
            return
        entry = self._entries.get(member.daemon)
        age = member.age_ms / 1000
        heard_at = now - age
        if entry is None:
            return  # its address is unknown until its row is read from the table
        if member.beat > entry.beat:
            self._update_entry(entry, member.beat, heard_at, proven_at - age)

    def _update_entry(
        self, entry: _PeerState, beat: int, heard_at: float, proven_at: float
    ) -> None:
        entry.heard_at = max(entry.heard_at, heard_at)
        entry.proven_at = max(entry.proven_at, proven_at)
        if beat > entry.beat:
            entry.beat = beat
            entry.forward_count = 0

    def _choose_targets(self) -> list[Peer]:
        peers = [entry.peer for entry in self._entries.values()]
        if len(peers) <= self.limits.fan_out:
            return peers
        return self._random.sample(peers, self.limits.large_fan_out)

    def _choose_digest(self, now: float) -> tuple[message.Member, ...]:
        # Beats forwarded least often come first, as in epidemic protocols: every daemon
        # repeats a beat a few times, then newer ones take its place.
        limit = self._compute_suspicion_timeout()
        fresh = [
            entry
            for entry in self._entries.values()
            if entry.beat >= 0 and now - entry.heard_at <= limit
        ]
        fresh.sort(key=lambda entry: (entry.forward_count, -entry.heard_at))
        chosen = fresh[: self.limits.digest]
        for entry in chosen:
            entry.forward_count += 1
        return tuple(
            message.Member(
                entry.peer.daemon, entry.beat, int((now - entry.heard_at) * 1000)
            )
            for entry in chosen
        )

    def _update_alive(self, now: float) -> list[MembersChanged]:
        for daemon, entry in list(self._entries.items()):
            if now - entry.heard_at > self.limits.forget and not entry.registered:
                del self._entries[daemon]
        alive = self.find_alive(now)
        if alive == self._alive:
            return []
        self._alive = alive
        return [MembersChanged(alive)]
