"""Decisions on leases and leadership, without I/O.

Each candidate renews one lease, its member row. A pool is led by the daemon that
its owner row names, as long as that daemon's lease is valid. The version that the
store assigns to the owner row is the fencing token: it rises with each leader of
any pool, since one counter numbers all transactions.

A claim is conditional on the owner row, and on the member row that shows the former
leader's lease as expired, so that no claim succeeds while that lease is valid. An
order may still be in flight when the lease expires. That is safe, since every durable
write of a leader is conditional on its owner row, each worker refuses lower tokens,
and a new leader waits for workers that it can't reach.
"""

import enum
from typing import NamedTuple

from wigeonhitch.leadership import candidacy, clock, record
from wigeonhitch.platform import rows

__all__ = [
    "FLEET",
    "LEASE_SECONDS",
    "RENEWAL_INTERVAL_SECONDS",
    "Basis",
    "Leadership",
    "VacancyReason",
]

LEASE_SECONDS = 2.2
"""Duration of a lease. A dead leader is replaced after this time plus one poll,
before the leases of its workers' tasks expire; three renewals fit into it."""

RENEWAL_INTERVAL_SECONDS = 0.6
"""Interval between renewals: two may be lost before the lease expires."""

LEASE_MARGIN_SECONDS = 0.1
"""Time before the end of its lease at which the holder treats it as expired: covers
timers that fire late and the rounding of times in rows."""

CLAIM_STAGGER_SECONDS = 0.35
"""Delay between the claims of consecutive candidates. It is longer than a claim and
its propagation take, so that usually only one candidate claims."""

CLAIM_STARTUP_DELAY_SECONDS = 1.0
"""Delay after its start before a daemon claims. When all daemons start together, the
others have joined by then, and no single daemon claims all pools."""

MEMBER_RETENTION_SECONDS = 60.0
"""Time after the end of its lease at which a member's row is removed: a daemon that
restarts or loses its connection is back earlier."""

MAX_POLL_INTERVAL_SECONDS = 1.0
"""Maximum interval between two polls of the members: a daemon without a lease detects
by them that it has lost the store."""

MIN_POLL_INTERVAL_SECONDS = 0.1
"""Minimum interval between two polls of the members."""

POLL_DELAY_SECONDS = 0.02
"""Delay after the expiry of a lease, as seen by others, before they poll for its
renewal."""

MAX_MEMBERS_AGE_SECONDS = 1.8
"""Age at which the known members are too old to act on: one failed poll and another
one. After an outage the leases of all other members look expired."""

RECONNECT_DELAY_SECONDS = 0.3
"""Additional delay before a daemon whose view of the members was stale joins, in which
the previous candidates can renew their leases."""

HANDOVER_RATIO = 3.0
"""A leader hands a pool over to a member that would have this many times more cores
per pool. A hand-over delays task starts for some 0.3 s, while a leader with half a
core delayed every start of a burst by 0.1 to 0.4 s."""

HANDOVER_INTERVAL_SECONDS = 3.0
"""Minimum interval between two hand-overs by one daemon, and minimum time for which
the other member has held its lease without a gap, so that an unstable member is never
chosen."""

FLEET = "~fleet"
"""Pseudo-pool under which moves and maintenance are led; no real pool has this name."""


class VacancyReason(enum.Enum):
    """Why a pool has no leader that could still give orders."""

    NEW = "new"
    """The pool never had a leader."""
    GIVEN_UP = "given up"
    LAPSED = "lapsed"
    """The lease of its leader has expired."""
    RESTARTED = "restarted"
    """The daemon of its leader has restarted since."""
    MEMBER_REMOVED = "forgotten"
    """The member row of its leader was removed."""
    OWN_LAPSE = "own lapse"
    """This daemon led it until its own lease expired."""


class Basis(NamedTuple):
    """Grounds on which a daemon claims a pool.

    ``over`` is the time in seconds since the known lease of the ``former`` leader
    expired, 0 without one; ``news_age`` the age in seconds of the known members.
    """

    reason: VacancyReason
    former: str
    over: float
    news_age: float


class _ObservedVacancy(NamedTuple):
    observed_at: float
    version: int


class Leadership:
    """Known members and owners of one daemon, and what it should claim.

    Parameters
    ----------
    name, life : str
        Name of this daemon, and identifier of this incarnation of it.
    now : float
        This daemon's time at its start.
    cores : float
        Processor cores that this daemon may use.
    has_cross_part_transactions : bool
        Whether the store supports transactions across parts.
    address, data_centre : str
        Where this daemon relays store calls of others, and its data centre; empty if
        it doesn't relay any.
    """

    def __init__(
        self,
        name: str,
        life: str,
        now: float,
        cores: float = 1.0,
        has_cross_part_transactions: bool = True,
        address: str = "",
        data_centre: str = "",
    ) -> None:
        self.name = name
        self._address = address
        self._data_centre = data_centre
        self._has_cross_part_transactions = has_cross_part_transactions
        self.cores = cores
        self._started_at = now
        self.life = life
        self.clock = clock.StoreClock()
        self.members: dict[str, record.Member] = {}
        self.owners: dict[str, record.Owner] = {}
        self.lease_until = 0.0
        self.leaving = False
        self._vacancies: dict[str, _ObservedVacancy] = {}
        self._members_version = 0
        self._members_read_at = 0.0
        self._members_store_time = 0.0
        """Store's time up to which the members are known."""
        self._members_were_stale = True
        self._unbroken_since: dict[str, float] = {}
        self._handed_over_at = now
        self._lapse_version = 0
        self.is_candidate = False
        self._join_at = 0.0
        """Time at which this daemon joins if candidates are still missing, 0 while
        none are."""
        self._surplus_since = 0.0
        self._given_up_by: dict[str, str] = {}
        """Daemon that last gave up each pool that nobody has claimed since."""

    # -- this daemon's lease

    def plan_renewal(self, now: float) -> record.Member:
        """Return the member row to write."""
        store_time = self.clock.compute_earliest(now)
        known = self.members.get(self.name)
        is_unbroken = (
            known is not None and known.life == self.life and self.is_lease_valid(now)
        )
        since = known.since if is_unbroken else store_time
        until = store_time + LEASE_SECONDS
        return record.Member(
            self.name,
            self.life,
            until,
            self.leaving,
            self.cores,
            0,
            since,
            self._address,
            self._data_centre,
        )

    def on_renewed(self, member: record.Member) -> None:
        """Record that the lease was renewed."""
        self.lease_until = max(self.lease_until, member.until)
        self.members[self.name] = member

    def on_members(
        self,
        members: list[record.Member],
        version: int,
        now: float,
        store_time: float = 0.0,
    ) -> None:
        """Update the known members with changed ones.

        Parameters
        ----------
        members : list of record.Member
            Members that have changed.
        version : int
            Version of the store when they were read.
        now : float
            This daemon's time.
        store_time : float
            Store's monotonic time in seconds when they were read, 0 if unknown.
        """
        self._members_were_stale = now - self._members_read_at > MAX_MEMBERS_AGE_SECONDS
        self._members_version = version
        self._members_read_at = now
        self._members_store_time = store_time or self.clock.compute_earliest(now)
        for member in members:
            self.on_member(member, now)

    def on_member(self, member: record.Member, now: float) -> None:
        """Update one member, unless a newer row is known."""
        known = self.members.get(member.name)
        if known is not None and member.version < known.version:
            return
        if not self._is_unbroken(known, member, now):
            self._unbroken_since[member.name] = now
        self.members[member.name] = member

    def _is_unbroken(
        self, known: record.Member | None, member: record.Member, now: float
    ) -> bool:
        """Return whether a member's lease had no gap since the row known before."""
        if known is None or known.life != member.life:
            return False
        if member.since:
            return member.since == known.since
        return self.is_member_alive(member.name, member.life, now)

    def on_lapsed(self, version: int) -> None:
        """Record that the lease had expired when the store was at ``version``.

        Other daemons may have claimed this daemon's pools since and may have started
        the newest jobs, though their claims aren't known here yet. So a pool is led
        again only by a claim after this version.
        """
        self._lapse_version = version

    def remove_member(self, name: str) -> None:
        """Drop a member whose row was removed."""
        self.members.pop(name, None)
        self._unbroken_since.pop(name, None)

    def list_expired_members(self, now: float) -> list[str]:
        """Return the members whose rows have outlived the retention period."""
        cutoff = self.clock.compute_earliest(now) - MEMBER_RETENTION_SECONDS
        return [
            member.name
            for member in self.members.values()
            if member.until < cutoff and member.name != self.name
        ]

    def on_owner(self, owner: record.Owner) -> None:
        """Update the owner of a pool, unless a newer row is known."""
        known = self.owners.get(owner.pool)
        if known is not None and owner.version < known.version:
            return
        self.owners[owner.pool] = owner
        if owner.name:
            self._given_up_by.pop(owner.pool, None)
        elif known is not None and known.name:
            self._given_up_by[owner.pool] = known.name

    def is_lease_valid(self, now: float) -> bool:
        """Return whether this daemon's own lease is valid at this moment."""
        return self.clock.compute_latest(now) < self.lease_until - LEASE_MARGIN_SECONDS

    def is_leader(self, pool: str) -> bool:
        """Return whether this daemon leads a pool by a claim since its last lapse."""
        return (
            self._is_owned_by_this_incarnation(pool)
            and self.owners[pool].version > self._lapse_version
        )

    def is_member_alive(self, name: str, life: str, now: float) -> bool:
        """Return whether a member's lease may still be valid."""
        member = self.members.get(name)
        if member is None or member.life != life:
            return False
        return self.clock.compute_earliest(now) <= member.until + LEASE_MARGIN_SECONDS

    def list_live_members(self, now: float) -> list[str]:
        """Return the members that could lead."""
        return [
            member.name
            for member in self.members.values()
            if not member.leaving
            and self.is_member_alive(member.name, member.life, now)
        ]

    def list_peers(self) -> list[record.Member]:
        """Return the other members that relay store calls.

        Members whose lease has expired are included: a daemon that has lost the store
        sees no renewals.
        """
        return [
            member
            for member in self.members.values()
            if member.address and member.name != self.name and not member.leaving
        ]

    # -- candidates

    def consider_joining(self, pools: int, now: float) -> bool:
        """Become a candidate if too few have been live for longer than the backoff.

        Parameters
        ----------
        pools : int
            Number of pools that need a leader.
        now : float
            This daemon's time, at which the members have just been updated.

        Returns
        -------
        bool
            Whether this daemon has become a candidate.
        """
        if (
            self.is_candidate
            or self.leaving
            or now - self._started_at < CLAIM_STARTUP_DELAY_SECONDS
        ):
            return False
        if len(self.list_live_members(now)) >= candidacy.compute_target_count(pools):
            self._join_at = 0.0
            return False
        if not self._join_at or self._members_were_stale:
            self._join_at = now + candidacy.compute_join_backoff(
                self.name, self._members_version, self.cores
            )
            if self._members_were_stale:
                self._join_at += RECONNECT_DELAY_SECONDS
        if now < self._join_at:
            return False
        self.is_candidate = True
        self._join_at = 0.0
        return True

    def consider_stepping_down(self, pools: int, now: float) -> bool:
        """Give up the lease if enough other candidates have been live for a while.

        The lease ends at once for this daemon, and for others once it expires.
        """
        leaders = self._count_led_pools(now)
        live = [
            candidacy.Candidate(name, self.members[name].cores, name in leaders)
            for name in self.list_live_members(now)
        ]
        target_count = candidacy.compute_target_count(pools)
        is_leading = any(self._is_owned_by_this_daemon(pool) for pool in self.owners)
        if is_leading or not candidacy.is_surplus(self.name, live, target_count):
            self._surplus_since = 0.0
            return False
        self._surplus_since = self._surplus_since or now
        if now - self._surplus_since < HANDOVER_INTERVAL_SECONDS:
            return False
        self._surplus_since = 0.0
        self.is_candidate = False
        self.lease_until = 0.0
        return True

    def compute_poll_delay(self, now: float) -> float:
        """Return the seconds until the members should be polled again.

        The next poll is due when the earliest known lease expires, so that the loss of
        a candidate is detected at that moment.
        """
        if self._join_at:
            return min(MAX_POLL_INTERVAL_SECONDS, max(0.0, self._join_at - now))
        store_time = self.clock.compute_earliest(now)
        delays = [
            self.members[name].until
            + LEASE_MARGIN_SECONDS
            + POLL_DELAY_SECONDS
            - store_time
            for name in self.list_live_members(now)
            if name != self.name
        ]
        return min(
            MAX_POLL_INTERVAL_SECONDS,
            max(
                MIN_POLL_INTERVAL_SECONDS,
                min(delays, default=MAX_POLL_INTERVAL_SECONDS),
            ),
        )

    # -- claims

    def list_pools_to_claim(self, pools: list[str], now: float) -> list[str]:
        """Return the pools that this daemon should claim now.

        The candidates for a vacant pool are ranked by the number of pools that they
        would lead per core, then by a hash, so that the pools of a dead leader are
        spread; each candidate waits for those ranked before it. The leader of a pool
        of 39 VMs at five times its mean load starts some 1,100 tasks per second.
        Half a core can't keep up with that: first starts then wait 0.2 to 0.5 s
        although VMs are free.
        """
        if self.leaving or not self.is_lease_valid(now):
            return []
        own = [
            pool
            for pool in pools
            if self._is_owned_by_this_daemon(pool) and not self.is_leader(pool)
        ]
        if own:
            return own  # nobody else claims them while this daemon is alive
        if (
            now - self._started_at < CLAIM_STARTUP_DELAY_SECONDS
            or now - self._members_read_at > MAX_MEMBERS_AGE_SECONDS
        ):
            return []
        live = self.list_live_members(now)
        if self.name not in live:
            return []
        counts = self._count_led_pools(now)
        claims = []
        for pool in pools:
            if not self._is_vacant(pool, now):
                self._vacancies.pop(pool, None)
                continue
            wait = self._compute_rank(pool, live, counts) * CLAIM_STAGGER_SECONDS
            if now - self._record_vacancy(pool, now) >= wait:
                claims.append(pool)
                counts[self.name] = counts.get(self.name, 0) + 1
        return claims

    def _compute_rank(self, pool: str, live: list[str], counts: dict[str, int]) -> int:
        """Return how many candidates are ranked before this daemon."""

        def sort_key(name: str) -> tuple[bool, float, bytes]:
            new_count = counts.get(name, 0) + 1
            load = new_count / self.members[name].cores
            return (
                name == self._given_up_by.get(pool),
                load,
                candidacy.hash_text(f"{pool}/{name}"),
            )

        return sorted(live, key=sort_key).index(self.name)

    def find_pool_to_hand_over(self, now: float) -> str:
        """Return a pool that a member with far more cores should lead, or "".

        Members with more cores may have been disconnected or restarting when the pool
        was last vacant. The fleet leadership stays: it needs little processor time,
        and its next leader orders nothing for seconds.
        """
        may_decide = (
            self.is_lease_valid(now)
            and now - self._members_read_at <= MAX_MEMBERS_AGE_SECONDS
        )
        if (
            self.leaving
            or not may_decide
            or now - self._handed_over_at < HANDOVER_INTERVAL_SECONDS
        ):
            return ""
        led_pools = [
            pool for pool in self.owners if pool != FLEET and self.is_leader(pool)
        ]
        counts = self._count_led_pools(now)
        loads = [
            (counts.get(name, 0) + 1) / self.members[name].cores
            for name in self.list_live_members(now)
            if now - self._unbroken_since.get(name, now) >= HANDOVER_INTERVAL_SECONDS
        ]
        own_load = counts.get(self.name, 0) / self.cores
        if not led_pools or min(loads, default=own_load) * HANDOVER_RATIO > own_load:
            return ""
        self._handed_over_at = now
        return min(led_pools)

    def build_claim(self, pool: str) -> record.Owner:
        """Return the owner row to write under `build_claim_conditions`."""
        known = self.owners.get(pool)
        epoch = known.epoch + 1 if known else 1
        version = known.version if known else 0
        # The longest lease granted by the former leader bounds this leader's waits.
        granted = known.granted if known and not known.name else 0.0
        return record.Owner(pool, self.name, self.life, epoch, version, granted)

    def build_claim_conditions(self, pool: str) -> tuple[rows.Condition, ...]:
        """Return the conditions of the transaction that claims a pool.

        The known members may be outdated, and the leader may have renewed its lease
        since. With its member row among the conditions, no claim succeeds while that
        lease is valid: the leader gives orders until it expires and then detects the
        lapse. So a job accepted after a claim is never run by a former leader.
        Without transactions across parts, the leases of two leaders may overlap.
        """
        owner = self.owners.get(pool)
        conditions = (record.expect_owner(pool, owner.version if owner else 0),)
        if (
            owner is None
            or owner.name in ("", self.name)
            or not self._has_cross_part_transactions
        ):
            return conditions
        member = self.members.get(owner.name)
        if member is None:
            return (*conditions, record.expect_member(owner.name, 0))
        if member.life != owner.life:
            return conditions  # a daemon's process ends before its next one starts
        return (*conditions, record.expect_member(owner.name, member.version))

    def explain_claim(self, pool: str, now: float) -> Basis:
        """Return the grounds on which this daemon claims a pool, for the log."""
        owner = self.owners.get(pool)
        former = owner.name if owner else ""
        member = self.members.get(former)
        over = self.clock.compute_earliest(now) - member.until if member else 0.0
        age = now - self._members_read_at
        return Basis(self._explain_vacancy(pool), former, round(over, 3), round(age, 3))

    def _explain_vacancy(self, pool: str) -> VacancyReason:
        owner = self.owners.get(pool)
        if owner is None:
            return VacancyReason.NEW
        if not owner.name:
            return VacancyReason.GIVEN_UP
        if self._is_owned_by_this_incarnation(pool):
            return VacancyReason.OWN_LAPSE
        if owner.name == self.name:
            return VacancyReason.RESTARTED
        member = self.members.get(owner.name)
        if member is None:
            return VacancyReason.MEMBER_REMOVED
        return (
            VacancyReason.LAPSED
            if member.life == owner.life
            else VacancyReason.RESTARTED
        )

    def _is_vacant(self, pool: str, now: float) -> bool:
        owner = self.owners.get(pool)
        if owner is None or not owner.name:
            return True
        if owner.version > self._members_version:
            return False  # its leader may have joined since the members were read
        if self.is_member_alive(owner.name, owner.life, now):
            return False
        member = self.members.get(owner.name)
        if member is None or member.life != owner.life:
            return True
        return self._is_lapse_confirmed(member)

    def _is_lapse_confirmed(self, member: record.Member) -> bool:
        """Return whether the members were read after a lease expired, unrenewed.

        In older data the leases of members that do renew look expired too.
        """
        return self._members_store_time > member.until + LEASE_MARGIN_SECONDS

    def _is_owned_by_this_incarnation(self, pool: str) -> bool:
        """Return whether the newest known owner row names this incarnation."""
        return (
            self._is_owned_by_this_daemon(pool) and self.owners[pool].life == self.life
        )

    def _is_owned_by_this_daemon(self, pool: str) -> bool:
        """Return whether the newest known owner row names this daemon.

        It may name an earlier incarnation, which ended before this one started and
        gives no orders.
        """
        owner = self.owners.get(pool)
        return owner is not None and owner.name == self.name

    def _record_vacancy(self, pool: str, now: float) -> float:
        owner = self.owners.get(pool)
        version = owner.version if owner else 0
        known = self._vacancies.get(pool)
        if known is None or known.version != version:
            known = self._vacancies[pool] = _ObservedVacancy(now, version)
        return known.observed_at

    def _count_led_pools(self, now: float) -> dict[str, int]:
        counts: dict[str, int] = {}
        for owner in self.owners.values():
            if owner.name and self.is_member_alive(owner.name, owner.life, now):
                counts[owner.name] = counts.get(owner.name, 0) + 1
        return counts
