"""The task that renews this daemon's lease and claims vacant pools.

A daemon without a lease only polls the members from time to time.
"""

from collections.abc import Callable

import anyio

from wigeonhitch import feed
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.telemetry import log

__all__ = ["LeaderElector"]

CALL_TIMEOUT_SECONDS = 0.9
"""Timeout of one call to the store. A call usually takes 4 ms, and 0.2 to 0.4 s with a
slow store; two timed-out renewals fit into a lease of 2.2 s."""

MEMBERS_RETRY_SECONDS = 0.45
"""Delay before the members are polled again after a failed poll."""

MEMBERS_FEED_WAIT_SECONDS = 0.01
"""Time that the feed of members waits for changes; there usually are some already."""

CLEANUP_INTERVAL_SECONDS = 10.0
"""Interval between removals of expired member rows."""

OWNERS_FEED_WAIT_SECONDS = 1.5
"""Time that the feed of owners waits for changes."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before a failed call is retried."""

CLAIM_INTERVAL_SECONDS = 0.05
"""Interval at which a candidate checks for vacant pools."""


class LeaderElector:
    """Takes part in the leader election of all pools for this daemon.

    Parameters
    ----------
    leadership : core.Leadership
        Decisions on leases and claims.
    store : rows.RowStore
        Store of the platform.
    list_pools : callable
        Returns the pools of the configuration in force; none before there is one.
    on_elected : callable
        Called with the owner row of a pool that this daemon leads from now on.
    on_lost : callable
        Called with the name of a pool that this daemon no longer leads.
    get_granted : callable
        Returns the longest lease in seconds that workers may hold from a pool's
        leader; 0 if unknown.
    """

    def __init__(
        self,
        leadership: core.Leadership,
        store: rows.RowStore,
        list_pools: Callable[[], list[str]],
        on_elected: Callable[[record.Owner], None],
        on_lost: Callable[[str], None],
        get_granted: Callable[[str], float],
    ) -> None:
        self.leadership = leadership
        self.last_renewed_at = 0.0
        """Time of the last successful renewal, as sent."""
        self._store = store
        self._list_pools = list_pools
        self._on_elected = on_elected
        self._on_lost = on_lost
        self._get_granted = get_granted
        self._member_version = 0
        self._is_claiming = False
        self._renewals = log.OutageLogger("renewal of the lease")
        self._pools_read: set[str] = set()
        self._retry_not_before: dict[str, float] = {}
        """Earliest time of the next claim of a pool whose claim the store refused."""
        self._led_versions: dict[str, int] = {}
        """Newest version of each pool's owner row under which this daemon has led."""

    def may_order(self) -> bool:
        """Return whether this daemon's lease is valid at this moment."""
        return self.leadership.is_lease_valid(http.read_clock())

    async def run(self) -> None:
        """Renew the lease, follow members and owners, and claim until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_renewal)
            group.start_soon(self._follow_members)
            group.start_soon(self._follow_owners)
            group.start_soon(self._run_cleanup)
            await self._run_claims()

    async def leave(self) -> None:
        """Announce that this daemon leaves, and give up the pools that it leads."""
        self.leadership.leaving = True
        owners = self.leadership.owners
        # Another daemon may claim a pool while earlier ones are given up.
        for owner in [owners[pool] for pool in owners if self._is_leader(pool)]:
            await self._give_up(owner)
        if self.leadership.is_candidate:
            await self._renew()

    async def give_up(self, pool: str) -> None:
        """Stop leading a pool, so that any candidate may claim it."""
        await self._give_up(self.leadership.owners[pool])

    async def _give_up(self, owner: record.Owner) -> None:
        """Give up the leadership under an owner row, unless the row has changed."""
        pool = owner.pool
        granted = self._get_granted(pool)
        self._on_lost(pool)
        vacated = owner._replace(name="", life="", granted=granted)
        conditions = (record.expect_owner(pool, owner.version),)
        change = await self._write_owner(vacated, conditions)
        # Nobody claims a pool whose owner row names a live daemon.
        while change.outcome is not table.Outcome.DONE and change.reason != "conflict":
            await anyio.sleep(RETRY_DELAY_SECONDS)
            change = await self._write_owner(vacated, conditions)
        if change.outcome is table.Outcome.DONE:
            self.leadership.on_owner(vacated._replace(version=change.version))
        log.log_change("leadership given up", pool=pool, reason=change.reason)

    def _is_leader(self, pool: str) -> bool:
        return self.leadership.is_leader(pool)

    # -- the lease

    async def _run_renewal(self) -> None:
        """Renew the lease while this daemon is a candidate."""
        while not await self._read_own_row():
            await anyio.sleep(RETRY_DELAY_SECONDS)
        while True:
            started_at = http.read_clock()
            if self._should_step_down(started_at):
                log.log_change(
                    "candidate no more", candidates=self._count_live_members()
                )
            done = self.leadership.is_candidate and await self._renew()
            elapsed = http.read_clock() - started_at
            await anyio.sleep(
                max(RETRY_DELAY_SECONDS, core.RENEWAL_INTERVAL_SECONDS - elapsed)
                if done
                else RETRY_DELAY_SECONDS
            )

    def _should_step_down(self, now: float) -> bool:
        if not self.leadership.is_candidate or self._is_claiming:
            return False
        return self.leadership.consider_stepping_down(len(self._list_pools()), now)

    def _count_live_members(self) -> int:
        return len(self.leadership.list_live_members(http.read_clock()))

    async def _renew(self) -> bool:
        if not self.leadership.clock.is_known:
            return False
        member = self.leadership.plan_renewal(http.read_clock())
        name = self.leadership.name
        condition = record.expect_member(name, self._member_version)
        value = record.write_member(member)
        write = rows.Write(record.MEMBER_TABLE, name, name, value)
        change = await self._store.commit(
            rows.Transaction((condition,), (write,)), timeout=CALL_TIMEOUT_SECONDS
        )
        if change.reason == "conflict":
            self._member_version = _find_version(change.conflicts, name)
            return False
        done = change.outcome is table.Outcome.DONE
        self._renewals.record(done, change.reason)
        if not done:
            return False
        self._member_version = change.version
        self.leadership.clock.update(change.store_time, change.sent, change.received)
        if not self.may_order():
            self._end_lapsed_leaderships(change.version)
        self.leadership.on_renewed(member._replace(version=change.version))
        self.last_renewed_at = change.sent
        return True

    def _end_lapsed_leaderships(self, version: int) -> None:
        """After a lapse, stop leading all pools that were claimed before it ended.

        A claim that the store applied after the renewal stays in force, even if its
        answer arrived first: dropped here and still led by its row, the pool would
        have no active leader.
        """
        led_pools = [pool for pool in self.leadership.owners if self._is_leader(pool)]
        self.leadership.on_lapsed(version)
        for pool in [pool for pool in led_pools if not self._is_leader(pool)]:
            log.log_change("leadership lapsed", pool=pool, version=version)
            self._on_lost(pool)

    # -- members and owners

    async def _read_own_row(self) -> bool:
        """Read this daemon's own member row: its version, and the store's clock.

        A daemon that has a row was a candidate before its restart, and becomes one
        again at once: it can claim the pools that it led before any other daemon can.
        """
        name = self.leadership.name
        read = await self._store.read(
            record.MEMBER_TABLE, name, timeout=CALL_TIMEOUT_SECONDS
        )
        if read.outcome is not table.Outcome.DONE:
            return False
        self.leadership.clock.update(read.store_time, read.sent, read.received)
        for row in read.rows:
            self._member_version = row.version
            self.leadership.is_candidate = True
        return True

    async def _follow_members(self) -> None:
        """Follow all members; each has its own part of the table.

        In a single part their renewals would be serialised: with a store that takes
        0.2 s per transaction, the renewals of nine daemons took up to 0.7 s.
        """
        after = 0
        while True:
            if not after:
                after = await self._read_members()
            feed_answer = await self._store.follow(
                record.MEMBER_TABLE,
                after,
                wait=MEMBERS_FEED_WAIT_SECONDS,
                timeout=CALL_TIMEOUT_SECONDS,
            )
            delay = MEMBERS_RETRY_SECONDS
            if feed_answer.expired:
                after = 0
            elif feed_answer.outcome is table.Outcome.DONE:
                after = max(after, feed_answer.version)
                if self._apply_member_feed(feed_answer):
                    # Other daemons that are about to join learn of it sooner.
                    await self._renew()
                delay = self.leadership.compute_poll_delay(http.read_clock())
            await anyio.sleep(delay)

    def _apply_member_feed(self, answer: rows.Feed) -> bool:
        """Apply changed members; return whether this daemon becomes a candidate."""
        now = http.read_clock()
        if not self.leadership.is_candidate:
            # A candidate's own renewals bound the store's clock more closely.
            self.leadership.clock.update(
                answer.store_time, answer.sent, answer.received
            )
        self._apply_member_rows(answer.rows, answer.version, answer.store_time)
        if not self.leadership.consider_joining(len(self._list_pools()), now):
            return False
        self._pools_read.clear()
        log.log_change("candidate now", candidates=self._count_live_members())
        return True

    async def _read_members(self) -> int:
        """Read all members; return a version to follow from, or 0.

        The own part is read first, also without a row: its version is one from which
        no member that joins is missed, and there may be no other part.
        """
        own = await self._read_member(self.leadership.name)
        parts = await self._store.list_parts(
            record.MEMBER_TABLE, timeout=CALL_TIMEOUT_SECONDS
        )
        if own.outcome is not table.Outcome.DONE or parts.names is None:
            return 0
        if not parts.names:
            return own.version
        version = await feed.read_parts(self._read_member, parts.names)
        return min(own.version, version)

    async def _read_member(self, part: str) -> rows.Range:
        read = await self._store.read(
            record.MEMBER_TABLE, part, timeout=CALL_TIMEOUT_SECONDS
        )
        if read.outcome is table.Outcome.DONE:
            self._apply_member_rows(read.rows, 0)
        return read

    async def _run_cleanup(self) -> None:
        """Remove expired member rows while this daemon leads the fleet."""
        while True:
            await anyio.sleep(CLEANUP_INTERVAL_SECONDS)
            if not self._is_leader(core.FLEET) or not self.may_order():
                continue
            names = self.leadership.list_expired_members(http.read_clock())
            # A member may be back while the rows before its own are removed.
            for member in [self.leadership.members[name] for name in names]:
                await self._remove_member_row(member)

    async def _remove_member_row(self, member: record.Member) -> None:
        """Remove a member's row, unless it has renewed its lease since."""
        condition = record.expect_member(member.name, member.version)
        write = rows.Write(*condition[:3], None)
        change = await self._store.commit(
            rows.Transaction((condition,), (write,)), timeout=CALL_TIMEOUT_SECONDS
        )
        log.log_change("member row removed", member=member.name, reason=change.reason)

    def _apply_member_rows(
        self, changed: tuple[rows.Row, ...], version: int, store_time: float = 0.0
    ) -> None:
        for row in changed:
            if row.value is None:
                self.leadership.remove_member(row.key)
        members = [
            record.read_member(row.key, row.value, row.version)
            for row in changed
            if row.value is not None
        ]
        now = http.read_clock()
        self.leadership.on_members(members, version, now, store_time)

    async def _follow_owners(self) -> None:
        times = feed.FollowTiming(
            OWNERS_FEED_WAIT_SECONDS,
            CALL_TIMEOUT_SECONDS,
            RETRY_DELAY_SECONDS,
        )
        await feed.follow(
            self._store,
            record.OWNER_TABLE,
            self._read_owners,
            self._apply_owner_rows,
            times,
            lambda: self.leadership.is_candidate,
        )

    async def _read_owners(self) -> int:
        """Read the owner of each pool; return a version to follow from, or 0."""
        parts = await self._store.list_parts(
            record.OWNER_TABLE, timeout=CALL_TIMEOUT_SECONDS
        )
        if parts.names is None:
            return 0
        pools = dict.fromkeys((*self._list_pools(), *parts.names))
        return await feed.read_parts(self._read_owner, pools)

    async def _read_owner(self, pool: str) -> rows.Range:
        read = await self._store.read(
            record.OWNER_TABLE, pool, timeout=CALL_TIMEOUT_SECONDS
        )
        if read.outcome is table.Outcome.DONE:
            self._pools_read.add(pool)
            self._apply_owner_rows(read.rows)
        return read

    def _apply_owner_rows(self, changed: tuple[rows.Row, ...]) -> None:
        for row in changed:
            self._apply_owner_row(row)

    def _apply_owner_row(self, row: rows.Row) -> None:
        if row.value is None:
            return
        was_leader = self._is_leader(row.part)
        owner = record.read_owner(row.part, row.value, row.version)
        self.leadership.on_owner(owner)
        if was_leader and not self._is_leader(row.part):
            log.log_change("leadership lost", pool=row.part, to=owner.name)
            self._on_lost(row.part)
        elif self._is_leader(row.part) and not self.leadership.leaving:
            self._start_leading(owner)

    # -- claims

    def _list_claimable_pools(self) -> list[str]:
        """Return the configured pools, and those that have had a leader.

        The configuration may drop a pool that still holds open jobs.
        """
        configured = self._list_pools()
        if not configured:
            return []
        return list(dict.fromkeys((*configured, *self.leadership.owners)))

    async def _run_claims(self) -> None:
        while True:
            pools = self._list_claimable_pools() if self.leadership.is_candidate else []
            for pool in [name for name in pools if name not in self._pools_read]:
                await self._read_owner(pool)
            now = http.read_clock()
            claimable = [
                pool
                for pool in pools
                if pool in self._pools_read
                and now >= self._retry_not_before.get(pool, 0.0)
            ]
            claims = self.leadership.list_pools_to_claim(claimable, now)
            if claims:  # one at a time: rows may change while it is written
                await self._claim(claims[0])
                continue
            if pool := self.leadership.find_pool_to_hand_over(http.read_clock()):
                log.log_change("leadership handed over", pool=pool)
                await self.give_up(pool)
            is_candidate = self.leadership.is_candidate
            await anyio.sleep(
                CLAIM_INTERVAL_SECONDS if is_candidate else RETRY_DELAY_SECONDS
            )

    async def _claim(self, pool: str) -> None:
        """Claim a pool; this daemon doesn't step down meanwhile."""
        self._is_claiming = True
        try:
            await self._try_claim(pool)
        finally:
            self._is_claiming = False

    async def _try_claim(self, pool: str) -> None:
        claim = self.leadership.build_claim(pool)
        basis = self.leadership.explain_claim(pool, http.read_clock())
        conditions = self.leadership.build_claim_conditions(pool)
        change = await self._write_owner(claim, conditions)
        log.log_change(
            "claim answered",
            pool=pool,
            outcome=change.outcome.value,
            **basis._replace(reason=basis.reason.value)._asdict(),
        )
        if change.outcome is not table.Outcome.DONE:
            if change.reason == "conflict":
                self._apply_conflicts(conditions, change.conflicts)
            else:  # let other daemons' calls and claims of other pools go first
                self._retry_not_before[pool] = (
                    http.read_clock() + core.CLAIM_STAGGER_SECONDS
                )
            # The answer was lost or another daemon claimed first: the row shows which.
            await self._read_owner(pool)
            return
        self.leadership.on_owner(claim._replace(version=change.version))
        # A lapse or another daemon's claim may have followed before the answer came.
        if not self._is_leader(pool):
            return
        if self.leadership.leaving:
            await self._give_up(self.leadership.owners[pool])
        else:
            self._start_leading(self.leadership.owners[pool])

    def _apply_conflicts(
        self, conditions: tuple[rows.Condition, ...], conflicts: tuple[rows.Row, ...]
    ) -> None:
        """Apply the renewals and removals of members that made a claim fail."""
        for removed in rows.list_missing(conditions, conflicts):
            if removed.table == record.MEMBER_TABLE:
                self.leadership.remove_member(removed.key)
        for row in conflicts:
            if row.table != record.MEMBER_TABLE:
                continue
            if row.value is None:
                self.leadership.remove_member(row.key)
                continue
            member = record.read_member(row.key, row.value, row.version)
            self.leadership.on_member(member, http.read_clock())

    def _start_leading(self, owner: record.Owner) -> None:
        """Start leading under an owner row, at most once per row version.

        The row may also come from the feed: a claim without an answer can be applied
        seconds later. It then names a live daemon, so nobody else claims the pool.
        """
        if owner.version <= self._led_versions.get(owner.pool, 0):
            return
        self._led_versions[owner.pool] = owner.version
        log.log_change(
            "leadership claimed",
            pool=owner.pool,
            fence=owner.version,
            epoch=owner.epoch,
        )
        self._on_elected(owner)

    async def _write_owner(
        self, owner: record.Owner, conditions: tuple[rows.Condition, ...]
    ) -> rows.Change:
        place = (record.OWNER_TABLE, owner.pool, record.OWNER_KEY)
        write = rows.Write(*place, record.write_owner(owner))
        return await self._store.commit(
            rows.Transaction(conditions, (write,)), timeout=CALL_TIMEOUT_SECONDS
        )


def _find_version(conflicts: tuple[rows.Row, ...], key: str) -> int:
    for row in conflicts:
        if row.key == key and row.value is not None:
            return row.version
    return 0
