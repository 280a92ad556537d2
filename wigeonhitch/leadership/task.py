"""The task that renews this daemon's lease and claims vacant pools.

A daemon without a lease only looks at the members from time to time.
"""

from collections.abc import Callable

import anyio

from wigeonhitch import feed
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.telemetry import log

__all__ = ["Keeper"]

TIMEOUT = 0.9
"""Seconds for one call: 4 ms as a rule, 0.2 to 0.4 s where the store is slow;
two renewals fit into a lease of 2.2 s."""

MEMBERS_RETRY = 0.45
"""Seconds between two looks at the members where the first one failed."""

MEMBERS_WAIT = 0.01
"""Seconds that the feed of members waits; there is mostly something new."""

FORGET_PERIOD = 10.0
"""Seconds between looks for members that are long gone."""

FEED_WAIT = 1.5
"""Seconds that the feed of owners waits."""

RETRY = 0.1
"""Seconds between tries of a call that failed."""

CLAIM_PERIOD = 0.05
"""Seconds between a candidate's looks at what is vacant."""


class Keeper:
    """Keeps this daemon's part in leading pools.

    Parameters
    ----------
    leadership : core.Leadership
        The decisions.
    store : rows.RowStore
        The platform's store.
    list_pools : callable
        Returns the pools of the configuration in force; none before there is one.
    on_led : callable
        Takes the owner row of a pool that this daemon leads from now on.
    on_lost : callable
        Takes the name of a pool that this daemon leads no more.
    get_granted : callable
        Returns the longest lease in seconds that workers may have of a pool's
        leader; 0 when it isn't known.
    """

    def __init__(
        self,
        leadership: core.Leadership,
        store: rows.RowStore,
        list_pools: Callable[[], list[str]],
        on_led: Callable[[record.Owner], None],
        on_lost: Callable[[str], None],
        get_granted: Callable[[str], float],
    ) -> None:
        self.leadership = leadership
        self.renewed = 0.0
        """When the lease was last renewed."""
        self._store = store
        self._list_pools = list_pools
        self._on_led = on_led
        self._on_lost = on_lost
        self._get_granted = get_granted
        self._version = 0
        self._is_claiming = False
        self._renewals = log.Dependency("renewal of the lease")
        self._read: set[str] = set()
        self._not_before: dict[str, float] = {}
        """When a pool whose claim the store refused may be claimed again."""
        self._led: dict[str, int] = {}
        """Newest version of each pool's owner row under which this daemon led."""

    def may_order(self) -> bool:
        """Whether this daemon's lease lasts at this moment."""
        return self.leadership.is_valid(http.read_clock())

    async def run(self) -> None:
        """Renew, read and claim until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._renew_forever)
            group.start_soon(self._follow_members)
            group.start_soon(self._follow_owners)
            group.start_soon(self._forget_forever)
            await self._claim_forever()

    async def leave(self) -> None:
        """Say that this daemon leaves, and give up what it leads."""
        self.leadership.leaving = True
        owners = self.leadership.owners
        # Another may claim one while those before it are given up.
        for owner in [owners[one] for one in owners if self._leads(one)]:
            await self._give_up(owner)
        if self.leadership.is_candidate:
            await self._renew()

    async def give_up(self, pool: str) -> None:
        """Stop leading a pool and leave it to whoever claims it first."""
        await self._give_up(self.leadership.owners[pool])

    async def _give_up(self, owner: record.Owner) -> None:
        """Give up the leadership under a row, unless the row has changed since."""
        pool = owner.pool
        granted = self._get_granted(pool)
        self._on_lost(pool)
        given = owner._replace(name="", life="", granted=granted)
        expected = (record.expect_owner(pool, owner.version),)
        change = await self._write_owner(given, expected)
        # Nobody claims a pool whose row names a daemon that lives.
        while change.outcome is not table.Outcome.DONE and change.reason != "conflict":
            await anyio.sleep(RETRY)
            change = await self._write_owner(given, expected)
        if change.outcome is table.Outcome.DONE:
            self.leadership.on_owner(given._replace(version=change.version))
        log.log_change("leadership given up", pool=pool, reason=change.reason)

    def _leads(self, pool: str) -> bool:
        return self.leadership.is_mine(pool)

    # -- the lease

    async def _renew_forever(self) -> None:
        """Renew the lease while this daemon is a candidate."""
        while not await self._read_own():
            await anyio.sleep(RETRY)
        while True:
            began = http.read_clock()
            if self._should_stand_down(began):
                log.log_change("candidate no more", candidates=self._count_live())
            done = self.leadership.is_candidate and await self._renew()
            passed = http.read_clock() - began
            await anyio.sleep(max(RETRY, core.RENEWAL - passed) if done else RETRY)

    def _should_stand_down(self, now: float) -> bool:
        if not self.leadership.is_candidate or self._is_claiming:
            return False
        return self.leadership.consider_standing_down(len(self._list_pools()), now)

    def _count_live(self) -> int:
        return len(self.leadership.list_live(http.read_clock()))

    async def _renew(self) -> bool:
        if not self.leadership.clock.is_known:
            return False
        member = self.leadership.plan_renewal(http.read_clock())
        name = self.leadership.name
        condition = record.expect_member(name, self._version)
        value = record.write_member(member)
        write = rows.Write(record.MEMBER_TABLE, name, name, value)
        change = await self._store.commit(
            rows.Transaction((condition,), (write,)), timeout=TIMEOUT
        )
        if change.reason == "conflict":
            self._version = _find_version(change.conflicts, name)
            return False
        done = change.outcome is table.Outcome.DONE
        self._renewals.note(done, change.reason)
        if not done:
            return False
        self._version = change.version
        self.leadership.clock.learn(change.store_time, change.sent, change.received)
        if not self.may_order():
            self._lose_all(change.version)
        self.leadership.on_renewed(member._replace(version=change.version))
        self.renewed = change.sent
        return True

    def _lose_all(self, version: int) -> None:
        """After a lapse, lead nothing that isn't claimed anew.

        What was claimed after the renewal that ends it stays, though the claim's
        answer came first: lost here and still led by its row, a pool would stand
        still.
        """
        led = [one for one in self.leadership.owners if self._leads(one)]
        self.leadership.on_lapsed(version)
        for pool in [one for one in led if not self._leads(one)]:
            log.log_change("leadership lapsed", pool=pool, version=version)
            self._on_lost(pool)

    # -- members and owners

    async def _read_own(self) -> bool:
        """Read this daemon's own row: its version, and the store's clock.

        A daemon that has a row was a candidate in its former life, and is one again at
        once: what it led then, it can claim before anybody else.
        """
        name = self.leadership.name
        read = await self._store.read(record.MEMBER_TABLE, name, timeout=TIMEOUT)
        if read.outcome is not table.Outcome.DONE:
            return False
        self.leadership.clock.learn(read.store_time, read.sent, read.received)
        for row in read.rows:
            self._version = row.version
            self.leadership.is_candidate = True
        return True

    async def _follow_members(self) -> None:
        """Follow all members; each has a part of its own.

        In one part their renewals would wait for each other: with a store that
        takes 0.2 s a transaction nine daemons' renewals took up to 0.7 s.
        """
        after = 0
        while True:
            if not after:
                after = await self._read_members()
            news = await self._store.follow(
                record.MEMBER_TABLE, after, wait=MEMBERS_WAIT, timeout=TIMEOUT
            )
            pause = MEMBERS_RETRY
            if news.expired:
                after = 0
            elif news.outcome is table.Outcome.DONE:
                after = max(after, news.version)
                if self._take_news(news):
                    # Others that are about to join hear of it the sooner.
                    await self._renew()
                pause = self.leadership.plan_look(http.read_clock())
            await anyio.sleep(pause)

    def _take_news(self, news: rows.Feed) -> bool:
        """Take the members that have changed; return whether this daemon joins them."""
        now = http.read_clock()
        if not self.leadership.is_candidate:
            # A candidate's own renewals tell the time more closely.
            self.leadership.clock.learn(news.store_time, news.sent, news.received)
        self._take_members(news.rows, news.version, news.store_time)
        if not self.leadership.consider_joining(len(self._list_pools()), now):
            return False
        self._read.clear()
        log.log_change("candidate now", candidates=self._count_live())
        return True

    async def _read_members(self) -> int:
        """Read each member; return a version to follow from, or 0."""
        parts = await self._store.list_parts(record.MEMBER_TABLE, timeout=TIMEOUT)
        return await feed.read_parts(self._read_member, parts.names or ())

    async def _read_member(self, part: str) -> rows.Range:
        read = await self._store.read(record.MEMBER_TABLE, part, timeout=TIMEOUT)
        if read.outcome is table.Outcome.DONE:
            self._take_members(read.rows, 0)
        return read

    async def _forget_forever(self) -> None:
        """Remove rows of members that are long gone, where this daemon leads."""
        while True:
            await anyio.sleep(FORGET_PERIOD)
            if not self._leads(core.FLEET) or not self.may_order():
                continue
            names = self.leadership.list_long_gone(http.read_clock())
            # One may be back while those before it are forgotten.
            for member in [self.leadership.members[name] for name in names]:
                await self._forget(member)

    async def _forget(self, member: record.Member) -> None:
        """Remove a member's row, unless it has renewed its lease since."""
        condition = record.expect_member(member.name, member.version)
        write = rows.Write(*condition[:3], None)
        change = await self._store.commit(
            rows.Transaction((condition,), (write,)), timeout=TIMEOUT
        )
        log.log_change("member forgotten", member=member.name, reason=change.reason)

    def _take_members(
        self, found: tuple[rows.Row, ...], version: int, store_time: float = 0.0
    ) -> None:
        for row in found:
            if row.value is None:
                self.leadership.forget(row.key)
        members = [
            record.read_member(row.key, row.value, row.version)
            for row in found
            if row.value is not None
        ]
        now = http.read_clock()
        self.leadership.on_members(members, version, now, store_time)

    async def _follow_owners(self) -> None:
        times = feed.FollowTiming(FEED_WAIT, FEED_WAIT + TIMEOUT, RETRY)
        await feed.follow(
            self._store,
            record.OWNER_TABLE,
            self._read_owners,
            self._take_owners,
            times,
            lambda: self.leadership.is_candidate,
        )

    async def _read_owners(self) -> int:
        """Read the owner of each pool; return a version to follow from, or 0."""
        led = await self._store.list_parts(record.OWNER_TABLE, timeout=TIMEOUT)
        if led.names is None:
            return 0
        pools = dict.fromkeys((*self._list_pools(), *led.names))
        return await feed.read_parts(self._read_owner, pools)

    async def _read_owner(self, pool: str) -> rows.Range:
        read = await self._store.read(record.OWNER_TABLE, pool, timeout=TIMEOUT)
        if read.outcome is table.Outcome.DONE:
            self._read.add(pool)
            self._take_owners(read.rows)
        return read

    def _take_owners(self, found: tuple[rows.Row, ...]) -> None:
        for row in found:
            self._take_owner(row)

    def _take_owner(self, row: rows.Row) -> None:
        if row.value is None:
            return
        was_mine = self._leads(row.part)
        owner = record.read_owner(row.part, row.value, row.version)
        self.leadership.on_owner(owner)
        if was_mine and not self._leads(row.part):
            log.log_change("leadership lost", pool=row.part, to=owner.name)
            self._on_lost(row.part)
        elif self._leads(row.part) and not self.leadership.leaving:
            self._lead(owner)

    # -- claims

    def _list_led(self) -> list[str]:
        """Return the pools that need a leader, and those that have had one.

        The configuration may drop a pool that still holds open jobs.
        """
        wanted = self._list_pools()
        if not wanted:
            return []
        return list(dict.fromkeys((*wanted, *self.leadership.owners)))

    async def _claim_forever(self) -> None:
        while True:
            pools = self._list_led() if self.leadership.is_candidate else []
            for pool in [one for one in pools if one not in self._read]:
                await self._read_owner(pool)
            now = http.read_clock()
            known = [
                one
                for one in pools
                if one in self._read and now >= self._not_before.get(one, 0.0)
            ]
            claims = self.leadership.list_claims(known, now)
            if claims:  # one at a time: news may come while it is written
                await self._claim(claims[0])
                continue
            if pool := self.leadership.find_yield(http.read_clock()):
                log.log_change("leadership handed over", pool=pool)
                await self.give_up(pool)
            is_candidate = self.leadership.is_candidate
            await anyio.sleep(CLAIM_PERIOD if is_candidate else RETRY)

    async def _claim(self, pool: str) -> None:
        """Claim a pool; this daemon stays a candidate meanwhile."""
        self._is_claiming = True
        try:
            await self._try_claim(pool)
        finally:
            self._is_claiming = False

    async def _try_claim(self, pool: str) -> None:
        claim = self.leadership.make_claim(pool)
        basis = self.leadership.explain_claim(pool, http.read_clock())
        expected = self.leadership.expect_vacant(pool)
        change = await self._write_owner(claim, expected)
        log.log_change(
            "claim answered",
            pool=pool,
            outcome=change.outcome.value,
            **basis._replace(reason=basis.reason.value)._asdict(),
        )
        if change.outcome is not table.Outcome.DONE:
            if change.reason == "conflict":
                self._take_conflicts(expected, change.conflicts)
            else:  # others' calls and other pools' claims go first
                self._not_before[pool] = http.read_clock() + core.RANK_PAUSE
            # The answer may be lost, or somebody was first: the row tells.
            await self._read_owner(pool)
            return
        self.leadership.on_owner(claim._replace(version=change.version))
        # A lapse, or another's claim, may have followed before the answer came.
        if not self._leads(pool):
            return
        if self.leadership.leaving:
            await self._give_up(self.leadership.owners[pool])
        else:
            self._lead(self.leadership.owners[pool])

    def _take_conflicts(
        self, expected: tuple[rows.Condition, ...], found: tuple[rows.Row, ...]
    ) -> None:
        """Take the renewals and removals of members that a claim failed for."""
        for gone in rows.list_gone(expected, found):
            if gone.table == record.MEMBER_TABLE:
                self.leadership.forget(gone.key)
        for row in found:
            if row.table != record.MEMBER_TABLE:
                continue
            if row.value is None:
                self.leadership.forget(row.key)
                continue
            member = record.read_member(row.key, row.value, row.version)
            self.leadership.on_member(member, http.read_clock())

    def _lead(self, owner: record.Owner) -> None:
        """Lead under an owner row, once.

        The row may be news from the feed too: a claim without an answer can be
        done seconds later. It then names a daemon that lives, so nobody else
        claims the pool.
        """
        if owner.version <= self._led.get(owner.pool, 0):
            return
        self._led[owner.pool] = owner.version
        log.log_change(
            "leadership claimed",
            pool=owner.pool,
            fence=owner.version,
            epoch=owner.epoch,
        )
        self._on_led(owner)

    async def _write_owner(
        self, owner: record.Owner, expected: tuple[rows.Condition, ...]
    ) -> rows.Change:
        place = (record.OWNER_TABLE, owner.pool, record.OWNER_KEY)
        write = rows.Write(*place, record.write_owner(owner))
        return await self._store.commit(
            rows.Transaction(expected, (write,)), timeout=TIMEOUT
        )


def _find_version(conflicts: tuple[rows.Row, ...], key: str) -> int:
    for row in conflicts:
        if row.key == key and row.value is not None:
            return row.version
    return 0
