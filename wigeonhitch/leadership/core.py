"""Decisions on leases and leadership, without I/O.

Each candidate renews one lease, its member row. A pool is led by the daemon that
its owner row names, while that daemon's lease lasts. The version that the
store gives the owner row is the fencing token: it rises with each leader of
any pool, since one counter numbers all transactions.

A claim is conditional on the owner row, and on the member row by which the former
leader's lease has run out, so that no claim is done beside a lease that lasts. An
order may still be on its way when the lease ends. That is safe, since every durable
write of a leader is conditional on its owner row, each worker refuses lower tokens,
and a new leader waits for workers that it can't reach.
"""

import enum
from typing import NamedTuple

from wigeonhitch.leadership import candidacy, clock, record
from wigeonhitch.platform import rows

__all__ = [
    "FLEET",
    "LEASE",
    "RENEWAL",
    "Basis",
    "Leadership",
    "Vacancy",
]

LEASE = 2.2
"""Seconds that a lease lasts. A dead leader's work goes on after this and a
poll, before the leases of its workers' tasks run out; three renewals fit in."""

RENEWAL = 0.6
"""Seconds between renewals: two may be lost before the lease ends."""

MARGIN = 0.1
"""Seconds before its end at which a holder takes its lease as over: covers
timers that fire late and the rounding of times in rows."""

RANK_PAUSE = 0.35
"""Seconds between the first candidate's claim and each further one's, longer
than a claim and its news take, so that mostly one claims."""

CLAIM_STARTUP_DELAY_SECONDS = 1.0
"""Seconds after its start before a daemon claims: where all start together,
the others have then joined, and no single one takes all pools."""

LONG_GONE = 60.0
"""Seconds after the end of its lease at which a member's row is removed: a
daemon that is restarted or cut off is back before."""

LOOK_MOST = 1.0
"""Seconds between two looks at the members at most: a daemon without a lease finds
by them that it has lost the store."""

LOOK_LEAST = 0.1
"""Seconds between two looks at the members at least."""

LOOK_LATE = 0.02
"""Seconds after the end of a lease for others at which they look for its renewal."""

MEMBERS_STALE = 1.8
"""Seconds after which what is known of members is too old to act by: a look that
failed, and another. Others' leases seem to have run out after an outage."""

RETURN_PAUSE = 0.3
"""Seconds for which a daemon that had no news of the members leaves it to the
candidates from before to renew their leases."""

YIELD_RATIO = 3.0
"""A leader hands a pool over to a member that would have so many times more
processors a pool: a hand-over stops starts for some 0.3 s, while a leader with
half a core kept every start of a burst waiting 0.1 to 0.4 s."""

YIELD_PAUSE = 3.0
"""Seconds between two hand-overs by one daemon, and for which the other member
has renewed its lease without a gap: one that comes and goes gets nothing."""

FLEET = "~fleet"
"""Name under which the duty of moves and upkeep is led; no pool has it."""


class Vacancy(enum.Enum):
    """Why a pool has no leader that could still order."""

    NEW = "new"
    """Nobody led it before."""
    GIVEN_UP = "given up"
    LAPSED = "lapsed"
    """The lease of its leader has run out."""
    RESTARTED = "restarted"
    """Another life of its leader's daemon is a member."""
    FORGOTTEN = "forgotten"
    """Its leader is no member any more."""
    OWN = "own lapse"
    """This daemon led it until its own lease ran out."""


class Basis(NamedTuple):
    """By what a daemon claims a pool.

    ``over`` are the seconds since the known lease of the ``former`` leader ended, 0
    without one; ``news_age`` those since members were last heard of.
    """

    reason: Vacancy
    former: str
    over: float
    news_age: float


class _VacantSince(NamedTuple):
    since: float
    version: int


class Leadership:
    """What one daemon knows of members and owners, and what it should claim.

    Parameters
    ----------
    name, life : str
        This daemon, and this life of its process.
    now : float
        This daemon's time at its start.
    cores : float
        Processors that this daemon may use.
    is_across : bool
        Whether the store takes transactions across parts.
    """

    def __init__(
        self,
        name: str,
        life: str,
        now: float,
        cores: float = 1.0,
        is_across: bool = True,
    ) -> None:
        self.name = name
        self._is_across = is_across
        self.cores = cores
        self._began = now
        self.life = life
        self.clock = clock.StoreClock()
        self.members: dict[str, record.Member] = {}
        self.owners: dict[str, record.Owner] = {}
        self.until = 0.0
        self.leaving = False
        self._vacancies: dict[str, _VacantSince] = {}
        self._members_version = 0
        self._members_at = 0.0
        self._heard = 0.0
        """The store's time up to which the members are known."""
        self._had_no_news = True
        self._steady_since: dict[str, float] = {}
        self._yielded_at = now
        self._lapsed_at = 0
        self.is_candidate = False
        self._join_at = 0.0
        """When this daemon joins if candidates are still missing, 0 while none are."""
        self._surplus_since = 0.0
        self._gave_up: dict[str, str] = {}
        """Daemon that last gave each pool up, while nobody has claimed it."""

    # -- this daemon's lease

    def plan_renewal(self, now: float) -> record.Member:
        """Return the member row to write."""
        began = self.clock.compute_earliest(now)
        known = self.members.get(self.name)
        lasts = known is not None and known.life == self.life and self.is_valid(now)
        since = known.since if lasts else began
        until = began + LEASE
        return record.Member(
            self.name, self.life, until, self.leaving, self.cores, 0, since
        )

    def on_renewed(self, member: record.Member) -> None:
        """Take note that the lease was renewed."""
        self.until = max(self.until, member.until)
        self.members[self.name] = member

    def on_members(
        self,
        members: list[record.Member],
        version: int,
        now: float,
        store_time: float = 0.0,
    ) -> None:
        """Take changed members as they were in the store.

        Parameters
        ----------
        members : list of record.Member
            Those that have changed.
        version : int
            The store's when they were read.
        now : float
            This daemon's time.
        store_time : float
            The store's steady time in seconds when they were read, 0 if not told.
        """
        self._had_no_news = now - self._members_at > MEMBERS_STALE
        self._members_version = version
        self._members_at = now
        self._heard = store_time or self.clock.compute_earliest(now)
        for one in members:
            self.on_member(one, now)

    def on_member(self, member: record.Member, now: float) -> None:
        """Take one member's row, unless a newer one is known."""
        known = self.members.get(member.name)
        if known is not None and member.version < known.version:
            return
        if not self._has_lasted(known, member, now):
            self._steady_since[member.name] = now
        self.members[member.name] = member

    def _has_lasted(
        self, known: record.Member | None, member: record.Member, now: float
    ) -> bool:
        """Whether a member's lease had no gap since its row that was known before."""
        if known is None or known.life != member.life:
            return False
        if member.since:
            return member.since == known.since
        return self.is_alive(member.name, member.life, now)

    def on_lapsed(self, version: int) -> None:
        """Take note that the lease had run out when the store was at ``version``.

        Others may have claimed since what this daemon led, and may have started
        the newest jobs, though their claim isn't known here yet. So nothing is
        led again but by a claim after it.
        """
        self._lapsed_at = version

    def forget(self, name: str) -> None:
        """Forget a member whose row was removed."""
        self.members.pop(name, None)
        self._steady_since.pop(name, None)

    def list_long_gone(self, now: float) -> list[str]:
        """Return the members whose leases ran out long ago."""
        before = self.clock.compute_earliest(now) - LONG_GONE
        return [
            one.name
            for one in self.members.values()
            if one.until < before and one.name != self.name
        ]

    def on_owner(self, owner: record.Owner) -> None:
        """Take an owner row, unless a newer one is known."""
        known = self.owners.get(owner.pool)
        if known is not None and owner.version < known.version:
            return
        self.owners[owner.pool] = owner
        if owner.name:
            self._gave_up.pop(owner.pool, None)
        elif known is not None and known.name:
            self._gave_up[owner.pool] = known.name

    def is_valid(self, now: float) -> bool:
        """Whether this daemon's own lease lasts at this moment."""
        return self.clock.compute_latest(now) < self.until - MARGIN

    def is_leader(self, pool: str) -> bool:
        """Whether this life of this daemon leads, by a claim since its last lapse."""
        return self._is_named(pool) and self.owners[pool].version > self._lapsed_at

    def is_alive(self, name: str, life: str, now: float) -> bool:
        """Whether a member's lease may still last."""
        member = self.members.get(name)
        if member is None or member.life != life:
            return False
        return self.clock.compute_earliest(now) <= member.until + MARGIN

    def list_live(self, now: float) -> list[str]:
        """Return the members that could lead."""
        return [
            one.name
            for one in self.members.values()
            if not one.leaving and self.is_alive(one.name, one.life, now)
        ]

    # -- candidates

    def consider_joining(self, pools: int, now: float) -> bool:
        """Become a candidate if there have been too few of them for long enough.

        Parameters
        ----------
        pools : int
            How many pools need a leader.
        now : float
            This daemon's time, at which the members have just been heard of.

        Returns
        -------
        bool
            Whether this daemon has become a candidate.
        """
        if (
            self.is_candidate
            or self.leaving
            or now - self._began < CLAIM_STARTUP_DELAY_SECONDS
        ):
            return False
        if len(self.list_live(now)) >= candidacy.compute_wanted(pools):
            self._join_at = 0.0
            return False
        if not self._join_at or self._had_no_news:
            self._join_at = now + candidacy.compute_backoff(
                self.name, self._members_version, self.cores
            )
            if self._had_no_news:
                self._join_at += RETURN_PAUSE
        if now < self._join_at:
            return False
        self.is_candidate = True
        self._join_at = 0.0
        return True

    def consider_standing_down(self, pools: int, now: float) -> bool:
        """Give the lease up if there have long been enough candidates without it.

        The lease is over at once for this daemon, and for others once it runs out.
        """
        leading = self._count_led(now)
        live = [
            candidacy.Candidate(one, self.members[one].cores, one in leading)
            for one in self.list_live(now)
        ]
        wanted = candidacy.compute_wanted(pools)
        is_leading = any(self._is_own(one) for one in self.owners)
        if is_leading or not candidacy.is_surplus(self.name, live, wanted):
            self._surplus_since = 0.0
            return False
        self._surplus_since = self._surplus_since or now
        if now - self._surplus_since < YIELD_PAUSE:
            return False
        self._surplus_since = 0.0
        self.is_candidate = False
        self.until = 0.0
        return True

    def plan_look(self, now: float) -> float:
        """Return the seconds until the members should be looked at again.

        The next look is when the first of the known leases has run out, so that the
        loss of a candidate is seen at that moment whenever it came.
        """
        if self._join_at:
            return min(LOOK_MOST, max(0.0, self._join_at - now))
        reached = self.clock.compute_earliest(now)
        ends = [
            self.members[one].until + MARGIN + LOOK_LATE - reached
            for one in self.list_live(now)
            if one != self.name
        ]
        return min(LOOK_MOST, max(LOOK_LEAST, min(ends, default=LOOK_MOST)))

    # -- claims

    def list_claims(self, pools: list[str], now: float) -> list[str]:
        """Return the pools that this daemon should claim now.

        The candidates of a vacant pool are ordered by how many pools they
        would lead a core, then by a hash, so that the pools of a dead leader
        spread; each waits for those before it. The leader of a pool of 39 VMs
        that is asked for five times its mean makes some 1,100 starts a second,
        which half a core can't do in time: first starts then waited 0.2 to 0.5 s
        beside free VMs.
        """
        if self.leaving or not self.is_valid(now):
            return []
        own = [one for one in pools if self._is_own(one) and not self.is_leader(one)]
        if own:
            return own  # nobody else claims them while this daemon lives
        if (
            now - self._began < CLAIM_STARTUP_DELAY_SECONDS
            or now - self._members_at > MEMBERS_STALE
        ):
            return []
        live = self.list_live(now)
        if self.name not in live:
            return []
        counts = self._count_led(now)
        claims = []
        for pool in pools:
            if not self._is_vacant(pool, now):
                self._vacancies.pop(pool, None)
                continue
            wait = self._rank(pool, live, counts) * RANK_PAUSE
            if now - self._note_vacancy(pool, now) >= wait:
                claims.append(pool)
                counts[self.name] = counts.get(self.name, 0) + 1
        return claims

    def _rank(self, pool: str, live: list[str], counts: dict[str, int]) -> int:
        """Return how many candidates go before this daemon."""

        def weigh(name: str) -> tuple[bool, float, bytes]:
            would_lead = counts.get(name, 0) + 1
            load = would_lead / self.members[name].cores
            return (
                name == self._gave_up.get(pool),
                load,
                candidacy.mix(f"{pool}/{name}"),
            )

        return sorted(live, key=weigh).index(self.name)

    def find_yield(self, now: float) -> str:
        """Return a pool that a far stronger member should lead, or nothing.

        The strong daemons may have been cut off or restarted when the pool was
        last vacant. The duty of moves stays: it takes little, and its next
        holder orders nothing for seconds.
        """
        known = self.is_valid(now) and now - self._members_at <= MEMBERS_STALE
        if self.leaving or not known or now - self._yielded_at < YIELD_PAUSE:
            return ""
        mine = [one for one in self.owners if one != FLEET and self.is_leader(one)]
        counts = self._count_led(now)
        loads = [
            (counts.get(one, 0) + 1) / self.members[one].cores
            for one in self.list_live(now)
            if now - self._steady_since.get(one, now) >= YIELD_PAUSE
        ]
        own = counts.get(self.name, 0) / self.cores
        if not mine or min(loads, default=own) * YIELD_RATIO > own:
            return ""
        self._yielded_at = now
        return min(mine)

    def make_claim(self, pool: str) -> record.Owner:
        """Return the owner row to write under `build_claim_conditions`."""
        known = self.owners.get(pool)
        epoch = known.epoch + 1 if known else 1
        version = known.version if known else 0
        # What the one before granted is passed on, for this leader's own waits.
        granted = known.granted if known and not known.name else 0.0
        return record.Owner(pool, self.name, self.life, epoch, version, granted)

    def build_claim_conditions(self, pool: str) -> tuple[rows.Condition, ...]:
        """Return the conditions under which a claim of a pool stands.

        What is known of members may be old, and the leader may have renewed its
        lease since. With its member row among the conditions no claim stands beside
        a lease that lasts: the leader orders up to its end and then finds that it
        has lapsed. A job accepted after a claim can so have no run of a leader before.
        Without transactions across parts, leases of two leaders may overlap.
        """
        owner = self.owners.get(pool)
        expected = (record.expect_owner(pool, owner.version if owner else 0),)
        if owner is None or owner.name in ("", self.name) or not self._is_across:
            return expected
        member = self.members.get(owner.name)
        if member is None:
            return (*expected, record.expect_member(owner.name, 0))
        if member.life != owner.life:
            return expected  # a life ends before the next one of a daemon begins
        return (*expected, record.expect_member(owner.name, member.version))

    def explain_claim(self, pool: str, now: float) -> Basis:
        """Return by what this daemon claims a pool, for the log."""
        owner = self.owners.get(pool)
        former = owner.name if owner else ""
        member = self.members.get(former)
        over = self.clock.compute_earliest(now) - member.until if member else 0.0
        age = now - self._members_at
        return Basis(self._explain_vacancy(pool), former, round(over, 3), round(age, 3))

    def _explain_vacancy(self, pool: str) -> Vacancy:
        owner = self.owners.get(pool)
        if owner is None:
            return Vacancy.NEW
        if not owner.name:
            return Vacancy.GIVEN_UP
        if self._is_named(pool):
            return Vacancy.OWN
        if owner.name == self.name:
            return Vacancy.RESTARTED
        member = self.members.get(owner.name)
        if member is None:
            return Vacancy.FORGOTTEN
        return Vacancy.LAPSED if member.life == owner.life else Vacancy.RESTARTED

    def _is_vacant(self, pool: str, now: float) -> bool:
        owner = self.owners.get(pool)
        if owner is None or not owner.name:
            return True
        if owner.version > self._members_version:
            return False  # its leader may have joined since the members were read
        if self.is_alive(owner.name, owner.life, now):
            return False
        member = self.members.get(owner.name)
        if member is None or member.life != owner.life:
            return True
        return self._has_heard_end(member)

    def _has_heard_end(self, member: record.Member) -> bool:
        """Whether the news is later than the end of a lease, and told of no renewal.

        By older news the leases of members that renew have run out too.
        """
        return self._heard > member.until + MARGIN

    def _is_named(self, pool: str) -> bool:
        """Whether the newest owner row known names this life of this daemon."""
        return self._is_own(pool) and self.owners[pool].life == self.life

    def _is_own(self, pool: str) -> bool:
        """Whether the newest owner row known names this daemon, in whichever life.

        Its former life has ended before this one began, and gives no orders.
        """
        owner = self.owners.get(pool)
        return owner is not None and owner.name == self.name

    def _note_vacancy(self, pool: str, now: float) -> float:
        owner = self.owners.get(pool)
        version = owner.version if owner else 0
        known = self._vacancies.get(pool)
        if known is None or known.version != version:
            known = self._vacancies[pool] = _VacantSince(now, version)
        return known.since

    def _count_led(self, now: float) -> dict[str, int]:
        counts: dict[str, int] = {}
        for owner in self.owners.values():
            if owner.name and self.is_alive(owner.name, owner.life, now):
                counts[owner.name] = counts.get(owner.name, 0) + 1
        return counts
