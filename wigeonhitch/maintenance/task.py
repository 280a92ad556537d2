"""The task that leads moves and upkeep: asks, decides, orders."""

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

__all__ = ["Runner", "Dependencies"]

PERIOD = 0.3
"""Seconds between two rounds: a fifth of the time that a move takes."""

GAP = 0.05
"""The same where a pool's board has changed."""

BOARD_WAIT = 1.0
"""Seconds that the feed of boards waits; a silent connection is found then."""

TIMEOUT = 1.0
"""Seconds for one call."""

ORDER_WITHIN = 1.0
"""Seconds after noting an order up to which it may be given: a round of 30
orders takes 0.3 s. A successor counts from the end of it."""

ROWS_A_TIME = 50
"""VMs of one transaction; the store takes 100 entries in one, so that a round of
more orders on a large site would never be noted."""

IDLE_LISTING = 2.0
"""Seconds between two listings of the VMs while nothing is under way."""


class Dependencies(NamedTuple):
    """What the leader works with; see `wigeonhitch.pool.dependencies`.

    ``get_store_time`` returns a time that the store's clock hasn't passed;
    ``order_gap`` is for how long two leaders may not follow each other about a VM.
    """

    store: rows.RowStore
    calls: fleet.FleetCalls
    may_order: Callable[[], bool]
    get_catalogue: Callable[[], model.Catalogue | None]
    get_waves: Callable[[], dict[int, entries.WaveOrder]]
    get_store_time: Callable[[], float]
    holder: str
    order_gap: float
    upkeep: float
    orders_per_second: float = 64.0


class Runner:
    """Leads moves and upkeep from the claim until it is given up or lost."""

    def __init__(
        self, owner: leader_record.Owner, around: Dependencies, now: float
    ) -> None:
        self.owner = owner
        self._term = term.Term(around.may_order)
        self.around = around._replace(may_order=self._term.may_order)
        at_once = demand.compute_moves_at_once(around.orders_per_second)
        self.state = core.Fleet(now, at_once)
        self.deposed = False
        self._scope = anyio.CancelScope()
        self._wake = anyio.Event()

    def stop(self) -> None:
        """Give up leading; nothing is ordered afterwards."""
        self._term.end()
        self._scope.cancel()

    async def run(self) -> None:
        """Lead until stopped or deposed."""
        with self._scope:
            await self._load()
            async with anyio.create_task_group() as group:
                group.start_soon(self._follow_boards)
                while not self.deposed:
                    self._wake = anyio.Event()
                    if self.around.may_order():
                        await self._act()
                    await anyio.sleep(GAP)
                    with anyio.move_on_after(PERIOD):
                        await self._wake.wait()
                group.cancel_scope.cancel()

    # -- rows

    async def _load(self) -> None:
        part = self.owner.pool
        now = http.read_clock()
        closings = await self._read_all(record.CLOSING_TABLE, part)
        for row in closings.rows:
            closing = record.read_closing(row.key, row.value or b"")
            self.state.on_closing(closing, now, row.version)
        waves = await self._read_all(record.WAVE_TABLE, part)
        for row in waves.rows:
            number = int(row.key)
            self.state.progress[number] = record.read_wave(row.value or b"")
        homes = await self._read_all(record.HOME_TABLE, part)
        for row in homes.rows:
            self.state.home[row.key] = int(row.value or b"0")
        self._take_orders(await self._read_all(record.ORDER_TABLE, part))
        shown = await self._read_all(entries.STATUS_TABLE, "")
        for row in shown.rows:
            self._take_shown(row)
        log.log_change("fleet loaded", closings=len(closings.rows))

    def _take_orders(self, found: rows.Range) -> None:
        """Leave VMs alone that an earlier leader may just have ordered about."""
        for row in found.rows:
            last = record.read_order(row.value or b"") + ORDER_WITHIN
            left = last + self.around.order_gap - found.store_time
            self.state.on_earlier_order(row.key, found.received + left)

    def _take_shown(self, row: rows.Row) -> None:
        number = entries.read_wave_number(row.key)
        if number is not None and row.value is not None:
            self.state.shown[number] = entries.read_wave_status(row.value)

    async def _read_all(self, name: str, part: str) -> rows.Range:
        while True:
            found = await self.around.store.read(name, part, timeout=TIMEOUT)
            if found.outcome is table.Outcome.DONE:
                return found
            await anyio.sleep(PERIOD)

    async def _follow_boards(self) -> None:
        await feed.follow(
            self.around.store,
            pool_record.STATUS_TABLE,
            self._read_boards,
            self._take_boards,
            feed.FollowTiming(BOARD_WAIT, BOARD_WAIT + TIMEOUT / 2, PERIOD),
        )

    async def _read_boards(self) -> int:
        """Read each pool's board; return the version to follow from, or 0."""
        pools = [one.name for one in self.state.pools.values()]
        return await feed.read_parts(self._read_board, pools)

    async def _read_board(self, pool: str) -> rows.Range:
        read = await self.around.store.read(
            pool_record.STATUS_TABLE, pool, timeout=TIMEOUT
        )
        if read.outcome is table.Outcome.DONE:
            self._take_boards(read.rows)
        return read

    def _take_boards(self, found: tuple[rows.Row, ...]) -> None:
        for row in found:
            if row.value is not None:
                self.state.boards[row.part] = pool_record.read_status(row.value)
                self._wake.set()

    async def _commit(self, writes: list[rows.Write]) -> int:
        """Write rows as the fleet's leader; return the store's version, 0 if not."""
        condition = leader_record.expect_owner(self.owner.pool, self.owner.version)
        change = await self.around.store.commit(
            rows.Transaction((condition,), tuple(writes)), timeout=TIMEOUT
        )
        if change.reason == "conflict":
            log.log_change("another leader of the fleet was found")
            self.deposed = True
        return change.version if change.outcome is table.Outcome.DONE else 0

    # -- rounds

    async def _act(self) -> None:
        self._take_catalogue()
        await self._list_vms()
        if not self.state.vms or not self.state.pools:
            return
        now = http.read_clock()
        await self._close_all(self.state.list_lost())
        await self._note_homes()
        await self._forget_ended()
        actions: list[object] = []
        actions.extend(wave.plan_waves(self.state, now, self.around.upkeep))
        actions.extend(demand.plan_moves(self.state, now))
        await self._carry_out_all(actions)

    async def _carry_out_all(self, actions: list[object]) -> None:
        """Carry out a round: closings together, moves side by side, then the rest."""
        until = await self._note_orders(actions)
        closings: dict[str, record.Closing] = {}
        for action in actions:
            if isinstance(action, core.Close):
                closings.setdefault(action.closing.worker, action.closing)
        await self._close_all(list(closings.values()))
        async with anyio.create_task_group() as group:
            for action in actions:
                if isinstance(action, core.Move):
                    group.start_soon(self._carry_out, action, until)
        for action in actions:
            if not isinstance(action, core.Close | core.Move):
                await self._carry_out(action, until)

    async def _note_orders(self, actions: list[object]) -> dict[str, float]:
        """Note durably which VMs are ordered about; return until when each may be."""
        vms = [one.vm for one in actions if isinstance(one, core.Maintain | core.Move)]
        value = record.write_order(self.around.get_store_time())
        until = http.read_clock() + ORDER_WITHIN
        noted: dict[str, float] = {}
        for first in range(0, len(vms), ROWS_A_TIME):
            some = vms[first : first + ROWS_A_TIME]
            writes = [
                rows.Write(record.ORDER_TABLE, self.owner.pool, vm, value)
                for vm in some
            ]
            if not await self._commit(writes):
                break
            noted.update(dict.fromkeys(some, until))
        return noted

    def _take_catalogue(self) -> None:
        catalogue = self.around.get_catalogue()
        if catalogue is not None:
            self.state.pools = {one.name: one for one in catalogue.pools}
        now = http.read_clock()
        for order in list(self.around.get_waves().values()):
            self.state.on_wave(order, now)

    async def _list_vms(self) -> None:
        asked = http.read_clock()
        busy = self.state.closings or self.state.moving or self._has_open_wave()
        pressed = any(board.unmet for board in self.state.boards.values())
        if not (busy or pressed) and asked - self.state.listed_at < IDLE_LISTING:
            return
        listing = await self.around.calls.list_vms(timeout=TIMEOUT)
        if listing.vms is None:
            log.log_change("VMs not listed", reason=listing.reason)
            return
        self.state.on_vms(listing.vms, asked)

    async def _note_homes(self) -> None:
        """Keep how many VMs each pool has when it is first seen."""
        new = [one for one in self.state.pools if one not in self.state.home]
        sizes = collections.Counter(one.pool for one in self.state.vms.values())
        writes = [
            rows.Write(
                record.HOME_TABLE, self.owner.pool, pool, str(sizes[pool]).encode()
            )
            for pool in new
        ]
        if writes and await self._commit(writes):
            self.state.home.update({pool: sizes[pool] for pool in new})

    def _has_open_wave(self) -> bool:
        return any(not self.state.shown.get(one) for one in self.state.waves)

    async def _forget_ended(self) -> None:
        for worker in self.state.list_stale_closings(http.read_clock()):
            await self._open(worker)

    async def _carry_out(self, action: object, until: dict[str, float]) -> None:
        """Carry out what was planned; orders about a VM only ``until`` its time."""
        if self.deposed or not self.around.may_order():
            return
        is_order = isinstance(action, core.Maintain | core.Move)
        if is_order and http.read_clock() > until.get(action.vm, 0.0):
            self.state.on_not_ordered(action.vm)
            return
        if isinstance(action, core.Open):
            await self._open(action.worker)
        elif isinstance(action, core.Maintain):
            await self._maintain(action)
        elif isinstance(action, core.Move):
            await self._move(action)
        elif isinstance(action, core.Show):
            await self._show(action)

    async def _close_all(self, closings: list[record.Closing]) -> None:
        """Have workers vacated, in few transactions.

        The load: a burst on a site of 180 VMs has 40 of them vacated in one round.
        One transaction each, 10 ms, the last was vacated 0.4 s after the first.
        """
        table = record.CLOSING_TABLE
        for first in range(0, len(closings), ROWS_A_TIME):
            some = closings[first : first + ROWS_A_TIME]
            writes = [
                rows.Write(
                    table, self.owner.pool, one.worker, record.write_closing(one)
                )
                for one in some
            ]
            version = self.around.may_order() and await self._commit(writes)
            if not version:
                return
            for one in some:
                self.state.on_closing(one, http.read_clock(), version)
                log.log_change("VM closed", **one._asdict())

    async def _end_worker(self, worker: str) -> None:
        """Tell the pool's leader that a worker's life has ended by an order."""
        closing = self.state.closings.get(worker)
        if closing is not None:
            await self._close_all([closing._replace(ended=True)])

    async def _open(self, worker: str) -> None:
        write = rows.Write(record.CLOSING_TABLE, self.owner.pool, worker, None)
        if await self._commit([write]):
            self.state.on_opened(worker)

    async def _maintain(self, order: core.Maintain) -> None:
        """Order an upkeep, after noting durably that it may be under way."""
        before = self.state.progress[order.wave]
        if not await self._save_wave(order.wave, before.order(order.vm, order.worker)):
            return
        self.state.ordered_at[order.vm] = http.read_clock()
        self.state.ordered_life[order.vm] = order.worker
        if not self.around.may_order():
            return
        outcome = await self.around.calls.maintain(
            order.vm,
            order.wave,
            self.around.holder,
            self.owner.version,
            timeout=TIMEOUT,
        )
        log.log_change("upkeep ordered", **order._asdict(), outcome=outcome.value)
        await self._note_outcome(order, before, outcome)

    async def _note_outcome(
        self,
        order: core.Maintain,
        before: record.WaveRecord,
        outcome: fleet.OrderOutcome,
    ) -> None:
        now = self.state.progress[order.wave]
        if outcome is fleet.OrderOutcome.FENCED:
            self.deposed = True
        elif outcome is fleet.OrderOutcome.DONE:
            await self._save_wave(order.wave, now.confirm(order.vm))
            # The life that is there now may be one after the upkeep.
            await self._end_worker(now.ordered[order.vm])
        elif outcome in (fleet.OrderOutcome.WRONG_WAVE, fleet.OrderOutcome.REFUSED):
            await self._save_wave(order.wave, now.finish({order.vm}))
        elif order.vm in before.ordered:
            return  # an earlier order may still be carried out
        elif outcome in (fleet.OrderOutcome.BUSY, fleet.OrderOutcome.NOT_DONE):
            await self._save_wave(order.wave, before)

    async def _save_wave(self, number: int, progress: record.WaveRecord) -> bool:
        value = record.write_wave(progress)
        write = rows.Write(record.WAVE_TABLE, self.owner.pool, str(number), value)
        if not await self._commit([write]):
            return False
        self.state.progress[number] = progress
        return True

    async def _move(self, order: core.Move) -> None:
        self.state.ordered_at[order.vm] = http.read_clock()
        outcome = await self.around.calls.move(
            order.vm,
            order.pool,
            self.around.holder,
            self.owner.version,
            timeout=TIMEOUT,
        )
        log.log_change("move ordered", **order._asdict(), outcome=outcome.value)
        if outcome is fleet.OrderOutcome.FENCED:
            self.deposed = True
        elif outcome is fleet.OrderOutcome.DONE:
            await self._end_worker(order.worker)
        elif outcome is not fleet.OrderOutcome.UNKNOWN:
            self.state.on_not_ordered(order.vm)
        if outcome is fleet.OrderOutcome.REFUSED:
            self.state.on_refused(order.vm, order.pool)

    async def _show(self, order: core.Show) -> None:
        key = entries.name_wave(order.wave)
        value = entries.write_wave_status(order.completed)
        write = rows.Write(entries.STATUS_TABLE, "", key, value)
        change = await self.around.store.commit(
            rows.Transaction((), (write,)), timeout=TIMEOUT
        )
        if change.outcome is table.Outcome.DONE:
            self.state.shown[order.wave] = order.completed
            log.log_change("wave shown", wave=order.wave, completed=order.completed)
