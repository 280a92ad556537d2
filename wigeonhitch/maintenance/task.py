"""The task of the fleet leader: lists VMs, plans and orders moves and maintenance."""

import collections
from collections.abc import Callable
from typing import NamedTuple

import anyio

from wigeonhitch import feed
from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.leadership import term
from wigeonhitch.maintenance import core, demand, record, wave
from wigeonhitch.platform import entries, fleet, http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import log

__all__ = ["Dependencies", "Runner"]

ROUND_INTERVAL_SECONDS = 0.3
"""Interval between two rounds: a fifth of the time that a move takes."""

MIN_ROUND_INTERVAL_SECONDS = 0.05
"""Interval between two rounds after a pool's status has changed."""

STATUS_FEED_WAIT_SECONDS = 1.0
"""Time that the feed of pool statuses waits for changes; a silent connection is
detected after it."""

CALL_TIMEOUT_SECONDS = 1.0
"""Timeout of one call."""

ORDER_VALIDITY_SECONDS = 1.0
"""Time for which an order may be given after it was recorded: a round of 30 orders
takes 0.3 s. A successor counts the gap between orders from the end of this time."""

MAX_ROWS_PER_TRANSACTION = 50
"""Maximum number of VMs in one transaction. The store takes at most 100 entries in
one, so a larger round of orders written at once would never be recorded."""

IDLE_LIST_INTERVAL_SECONDS = 2.0
"""Interval at which VMs are listed while no order or wave is in progress."""


class Dependencies(NamedTuple):
    """Dependencies of the fleet leader.

    ``get_store_time`` returns an upper bound of the store's clock;
    ``order_gap_seconds`` is the minimum time between the orders of two leaders about
    one VM.
    """

    store: rows.RowStore
    calls: fleet.FleetCalls
    may_order: Callable[[], bool]
    get_catalogue: Callable[[], model.Catalogue | None]
    get_waves: Callable[[], dict[int, entries.WaveOrder]]
    get_store_time: Callable[[], float]
    holder: str
    order_gap_seconds: float
    maintenance_seconds: float
    orders_per_second: float = 64.0


class Runner:
    """Leads moves and maintenance from the claim until it is given up or lost.

    A commit without an answer may have been applied, or may be applied seconds later.
    After it nothing is written or ordered until the fence row has been rewritten, whose
    version is a condition of each commit, and all rows have been read again. The
    versions of the written rows themselves wouldn't do: a closing that is applied late
    finds its row absent again once the worker was closed and reopened.
    """

    def __init__(
        self, owner: leader_record.Owner, deps: Dependencies, now: float
    ) -> None:
        self.owner = owner
        self._term = term.Term(deps.may_order)
        self.deps = deps._replace(may_order=self._term.may_order)
        max_moves = demand.compute_max_concurrent_moves(deps.orders_per_second)
        self.state = core.FleetState(now, max_moves)
        self.deposed = False
        self._is_uncertain = False
        """Whether the rows may differ from the state, or may still change."""
        self._fence_version = 0
        self._shown_versions: dict[int, int] = {}
        """Version of each wave's row for operators."""
        self._scope = anyio.CancelScope()
        self._wake = anyio.Event()

    def stop(self) -> None:
        """Stop leading; no order is given afterwards."""
        self._term.end()
        self._scope.cancel()

    async def run(self) -> None:
        """Lead until stopped or deposed."""
        with self._scope:
            await self._load()
            async with anyio.create_task_group() as group:
                group.start_soon(self._follow_pool_statuses)
                while not self.deposed:
                    self._wake = anyio.Event()
                    if self.deps.may_order():
                        await self._run_round()
                    await anyio.sleep(MIN_ROUND_INTERVAL_SECONDS)
                    with anyio.move_on_after(ROUND_INTERVAL_SECONDS):
                        await self._wake.wait()
                group.cancel_scope.cancel()

    # -- rows

    async def _load(self) -> None:
        await self._read_rows()
        orders = await self._read_all(record.ORDER_TABLE, self.owner.pool)
        self._apply_earlier_orders(orders)
        log.log_change("fleet loaded", closings=len(self.state.closings))

    async def _read_rows(self) -> None:
        """Read all rows that the state depends on."""
        parts = dict.fromkeys(
            (record.CLOSING_TABLE, record.WAVE_TABLE, record.HOME_TABLE),
            self.owner.pool,
        )
        parts[entries.STATUS_TABLE] = ""
        read: dict[str, tuple[rows.Row, ...]] = {}

        async def read_table(name: str, part: str) -> None:
            read[name] = (await self._read_all(name, part)).rows

        async with anyio.create_task_group() as group:
            for name, part in parts.items():
                group.start_soon(read_table, name, part)
        self._apply_closings(read[record.CLOSING_TABLE])
        for row in read[record.WAVE_TABLE]:
            self.state.on_wave_record(int(row.key), record.read_wave(row.value or b""))
        for row in read[record.HOME_TABLE]:
            if row.key == record.FENCE_KEY:
                self._fence_version = row.version
            else:
                self.state.initial_sizes[row.key] = int(row.value or b"0")
        self.state.shown.clear()
        self._shown_versions.clear()
        for row in read[entries.STATUS_TABLE]:
            self._apply_shown_status(row)

    def _apply_closings(self, closed: tuple[rows.Row, ...]) -> None:
        """Set the closed workers as read; others are open."""
        now = http.read_clock()
        for worker in self.state.closings.keys() - {row.key for row in closed}:
            self.state.on_reopened(worker)
        for row in closed:
            if row.version != self.state.closed_at_version.get(row.key):
                closing = record.read_closing(row.key, row.value or b"")
                self.state.on_closing(closing, now, row.version)

    def _apply_earlier_orders(self, read: rows.Range) -> None:
        """Block orders about VMs that an earlier leader may just have ordered about."""
        for row in read.rows:
            last = record.read_order(row.value or b"") + ORDER_VALIDITY_SECONDS
            remaining = last + self.deps.order_gap_seconds - read.store_time
            self.state.on_order_by_earlier_leader(row.key, read.received + remaining)

    def _apply_shown_status(self, row: rows.Row) -> None:
        number = entries.read_wave_number(row.key)
        if number is not None and row.value is not None:
            self.state.shown[number] = entries.read_wave_status(row.value)
            self._shown_versions[number] = row.version

    async def _read_all(self, name: str, part: str) -> rows.Range:
        while True:
            read = await self.deps.store.read(name, part, timeout=CALL_TIMEOUT_SECONDS)
            if read.outcome is table.Outcome.DONE:
                return read
            await anyio.sleep(ROUND_INTERVAL_SECONDS)

    async def _follow_pool_statuses(self) -> None:
        await feed.follow(
            self.deps.store,
            pool_record.STATUS_TABLE,
            self._read_pool_statuses,
            self._apply_pool_statuses,
            feed.FollowTiming(
                STATUS_FEED_WAIT_SECONDS,
                CALL_TIMEOUT_SECONDS / 2,
                ROUND_INTERVAL_SECONDS,
            ),
        )

    async def _read_pool_statuses(self) -> int:
        """Read each pool's status; return the version to follow from, or 0."""
        pools = [pool.name for pool in self.state.pools.values()]
        return await feed.read_parts(self._read_pool_status, pools)

    async def _read_pool_status(self, pool: str) -> rows.Range:
        read = await self.deps.store.read(
            pool_record.STATUS_TABLE, pool, timeout=CALL_TIMEOUT_SECONDS
        )
        if read.outcome is table.Outcome.DONE:
            self._apply_pool_statuses(read.rows)
        return read

    def _apply_pool_statuses(self, changed: tuple[rows.Row, ...]) -> None:
        for row in changed:
            if row.value is not None:
                self.state.pool_statuses[row.part] = pool_record.read_status(row.value)
                self._wake.set()

    async def _commit(self, writes: list[rows.Write]) -> int:
        """Write rows as the fleet leader; return the store's version, 0 on failure."""
        if self._is_uncertain:
            return 0
        conditions = (
            leader_record.expect_owner(self.owner.pool, self.owner.version),
            record.expect_fence(self.owner.pool, self._fence_version),
        )
        change = await self._attempt(rows.Transaction(conditions, tuple(writes)))
        return change.version if change.outcome is table.Outcome.DONE else 0

    async def _attempt(self, transaction: rows.Transaction) -> rows.Change:
        """Commit once; record whether the rows are still known afterwards."""
        change = await self.deps.store.commit(transaction, timeout=CALL_TIMEOUT_SECONDS)
        if change.reason == "conflict":
            self._on_conflict(transaction, change)
        if change.outcome is table.Outcome.UNKNOWN or change.reason == "conflict":
            if not self._is_uncertain:
                log.log_change("fleet rows uncertain", reason=change.reason)
            self._is_uncertain = True
        return change

    def _on_conflict(self, transaction: rows.Transaction, change: rows.Change) -> None:
        """Record a change of owners, and the version of the fence."""
        versions = {row[:3]: row.version for row in change.conflicts}
        for condition in transaction.conditions:
            version = versions.get(condition[:3], 0)
            if condition.table == leader_record.OWNER_TABLE:
                if version != self.owner.version:
                    log.log_change("fleet is led by another daemon")
                    self.deposed = True
            elif condition.table == record.HOME_TABLE:
                self._fence_version = version

    async def _restore(self) -> bool:
        """Void all unanswered commits, and read all rows; return whether done."""
        condition = record.expect_fence(self.owner.pool, self._fence_version)
        fence = rows.Write(*condition[:3], record.FENCE_VALUE)
        owner = leader_record.expect_owner(self.owner.pool, self.owner.version)
        change = await self._attempt(rows.Transaction((owner, condition), (fence,)))
        if change.outcome is not table.Outcome.DONE:
            return False
        self._fence_version = change.version
        await self._read_rows()
        self._is_uncertain = False
        log.log_change("fleet rows read again", closings=len(self.state.closings))
        return True

    # -- rounds

    async def _run_round(self) -> None:
        if self._is_uncertain and not await self._restore():
            return
        self._apply_configuration()
        await self._list_vms()
        if not self.state.vms or not self.state.pools:
            return
        now = http.read_clock()
        await self._close_workers(self.state.list_ended_workers())
        await self._record_initial_sizes()
        await self._remove_expired_closings()
        actions: list[object] = []
        actions.extend(wave.plan_waves(self.state, now, self.deps.maintenance_seconds))
        actions.extend(demand.plan_moves(self.state, now))
        await self._execute_round(actions)

    async def _execute_round(self, actions: list[object]) -> None:
        """Execute a round: closings together, moves concurrently, then the rest."""
        until = await self._record_orders(actions)
        closings: dict[str, record.Closing] = {}
        for action in actions:
            if isinstance(action, core.Close):
                closings.setdefault(action.closing.worker, action.closing)
        await self._close_workers(list(closings.values()))
        async with anyio.create_task_group() as group:
            for action in actions:
                if isinstance(action, core.Move):
                    group.start_soon(self._execute, action, until)
        for action in actions:
            if not isinstance(action, core.Close | core.Move):
                await self._execute(action, until)

    async def _record_orders(self, actions: list[object]) -> dict[str, float]:
        """Record orders durably; return until when each VM's order may be given."""
        vms = [
            action.vm
            for action in actions
            if isinstance(action, core.Maintain | core.Move)
        ]
        value = record.write_order(self.deps.get_store_time())
        until = http.read_clock() + ORDER_VALIDITY_SECONDS
        recorded: dict[str, float] = {}
        for first in range(0, len(vms), MAX_ROWS_PER_TRANSACTION):
            batch = vms[first : first + MAX_ROWS_PER_TRANSACTION]
            writes = [
                rows.Write(record.ORDER_TABLE, self.owner.pool, vm, value)
                for vm in batch
            ]
            if not await self._commit(writes):
                break
            recorded.update(dict.fromkeys(batch, until))
        return recorded

    def _apply_configuration(self) -> None:
        catalogue = self.deps.get_catalogue()
        if catalogue is not None:
            self.state.pools = {pool.name: pool for pool in catalogue.pools}
        now = http.read_clock()
        for order in list(self.deps.get_waves().values()):
            self.state.on_wave(order, now)

    async def _list_vms(self) -> None:
        requested_at = http.read_clock()
        is_active = self.state.closings or self.state.moving or self._has_open_wave()
        has_unmet_demand = any(
            status.unmet for status in self.state.pool_statuses.values()
        )
        if (
            not (is_active or has_unmet_demand)
            and requested_at - self.state.listed_at < IDLE_LIST_INTERVAL_SECONDS
        ):
            return
        known_starts = dict(self.state.worker_starts)
        listing = await self.deps.calls.list_vms(timeout=CALL_TIMEOUT_SECONDS)
        if listing.vms is None:
            log.log_change("VMs not listed", reason=listing.reason)
            return
        self.state.on_vms(listing.vms, requested_at, known_starts)

    async def _record_initial_sizes(self) -> None:
        """Store how many VMs each pool has when it is first seen."""
        new = [
            pool for pool in self.state.pools if pool not in self.state.initial_sizes
        ]
        sizes = collections.Counter(vm.pool for vm in self.state.vms.values())
        writes = [
            rows.Write(
                record.HOME_TABLE, self.owner.pool, pool, str(sizes[pool]).encode()
            )
            for pool in new
        ]
        if writes and await self._commit(writes):
            self.state.initial_sizes.update({pool: sizes[pool] for pool in new})

    def _has_open_wave(self) -> bool:
        return any(not self.state.shown.get(number) for number in self.state.waves)

    async def _remove_expired_closings(self) -> None:
        for worker in self.state.list_expired_closings(http.read_clock()):
            await self._reopen(worker)

    async def _execute(self, action: object, until: dict[str, float]) -> None:
        """Execute an action; orders about a VM only ``until`` the VM's time limit."""
        if self.deposed or not self.deps.may_order():
            return
        is_order = isinstance(action, core.Maintain | core.Move)
        is_late = is_order and http.read_clock() > until.get(action.vm, 0.0)
        if is_order and (is_late or self._is_uncertain):
            self.state.on_order_abandoned(action.vm)
            return
        if isinstance(action, core.Open):
            await self._reopen(action.worker)
        elif isinstance(action, core.Maintain):
            await self._order_maintenance(action)
        elif isinstance(action, core.Move):
            await self._order_move(action)
        elif isinstance(action, core.Show):
            await self._show_wave(action)

    async def _close_workers(self, closings: list[record.Closing]) -> None:
        """Close workers, in few transactions.

        A burst on a site of 180 VMs drains 40 of them in one round. With one
        transaction of 10 ms each, the last worker was closed 0.4 s after the first.
        """
        table = record.CLOSING_TABLE
        for first in range(0, len(closings), MAX_ROWS_PER_TRANSACTION):
            batch = closings[first : first + MAX_ROWS_PER_TRANSACTION]
            writes = [
                rows.Write(
                    table,
                    self.owner.pool,
                    closing.worker,
                    record.write_closing(closing),
                )
                for closing in batch
            ]
            version = self.deps.may_order() and await self._commit(writes)
            if not version:
                return
            for closing in batch:
                self.state.on_closing(closing, http.read_clock(), version)
                log.log_change("worker closed", **closing._asdict())

    async def _mark_worker_ended(self, worker: str) -> None:
        """Inform the pool's leader that a worker has ended by an order."""
        closing = self.state.closings.get(worker)
        if closing is not None:
            await self._close_workers([closing._replace(ended=True)])

    async def _reopen(self, worker: str) -> None:
        write = rows.Write(record.CLOSING_TABLE, self.owner.pool, worker, None)
        if await self._commit([write]):
            self.state.on_reopened(worker)

    async def _order_maintenance(self, order: core.Maintain) -> None:
        """Order maintenance, after recording durably that it may be in progress."""
        before = self.state.progress[order.wave]
        if not await self._save_wave(order.wave, before.order(order.vm, order.worker)):
            return
        self.state.last_ordered_at[order.vm] = http.read_clock()
        self.state.last_ordered_worker[order.vm] = order.worker
        if not self.deps.may_order():
            return
        outcome = await self.deps.calls.maintain(
            order.vm,
            order.wave,
            self.deps.holder,
            self.owner.version,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        log.log_change("maintenance ordered", **order._asdict(), outcome=outcome.value)
        await self._handle_outcome(order, before, outcome)

    async def _handle_outcome(
        self,
        order: core.Maintain,
        before: record.WaveRecord,
        outcome: fleet.OrderOutcome,
    ) -> None:
        progress = self.state.progress[order.wave]
        if outcome is fleet.OrderOutcome.FENCED:
            self.deposed = True
        elif outcome is fleet.OrderOutcome.DONE:
            await self._save_wave(order.wave, progress.confirm(order.vm))
            # The worker that runs now may have started after the maintenance.
            await self._mark_worker_ended(progress.ordered[order.vm])
        elif outcome in (fleet.OrderOutcome.WRONG_WAVE, fleet.OrderOutcome.REFUSED):
            await self._save_wave(order.wave, progress.finish({order.vm}))
        elif order.vm in before.ordered:
            return  # an earlier order may still be carried out by the platform
        elif outcome in (fleet.OrderOutcome.BUSY, fleet.OrderOutcome.NOT_DONE):
            await self._save_wave(order.wave, before)

    async def _save_wave(self, number: int, progress: record.WaveRecord) -> bool:
        value = record.write_wave(progress)
        write = rows.Write(record.WAVE_TABLE, self.owner.pool, str(number), value)
        if not await self._commit([write]):
            return False
        self.state.progress[number] = progress
        return True

    async def _order_move(self, order: core.Move) -> None:
        self.state.last_ordered_at[order.vm] = http.read_clock()
        outcome = await self.deps.calls.move(
            order.vm,
            order.pool,
            self.deps.holder,
            self.owner.version,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        log.log_change("move ordered", **order._asdict(), outcome=outcome.value)
        if outcome is fleet.OrderOutcome.FENCED:
            self.deposed = True
        elif outcome is fleet.OrderOutcome.DONE:
            await self._mark_worker_ended(order.worker)
        elif outcome is not fleet.OrderOutcome.UNKNOWN:
            self.state.on_order_abandoned(order.vm)
        if outcome is fleet.OrderOutcome.REFUSED:
            self.state.on_move_refused(order.vm, order.pool)

    async def _show_wave(self, order: core.Show) -> None:
        """Publish a wave's state, unless its row has changed.

        The row is in another part than the owner, and is never removed, so its own
        version prevents that an earlier state is applied late.
        """
        if self._is_uncertain:
            return
        key = entries.get_wave_key(order.wave)
        version = self._shown_versions.get(order.wave, 0)
        condition = rows.Condition(entries.STATUS_TABLE, "", key, version)
        write = rows.Write(*condition[:3], entries.write_wave_status(order.completed))
        change = await self._attempt(rows.Transaction((condition,), (write,)))
        if change.outcome is table.Outcome.DONE:
            self.state.shown[order.wave] = order.completed
            self._shown_versions[order.wave] = change.version
            log.log_change("wave shown", wave=order.wave, completed=order.completed)
