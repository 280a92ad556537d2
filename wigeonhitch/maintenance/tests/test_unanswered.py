"""Commits of the fleet leader that get no answer, applied at once, late or never."""

import random

import anyio
import pytest

from standins import rowstore
from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.maintenance import demand, record, task
from wigeonhitch.platform import entries, fleet, http, rows, table
from wigeonhitch.pool import record as pool_record

FLEET = "~fleet"
ROOM = model.Room(64000, 131072)
POOLS = (model.Pool("a"), model.Pool("b"))
WAVE = entries.WaveOrder(1, ("vm0", "vm1", "vm2"), 26.0, 1)
MAINTENANCE_SECONDS = 0.3
UNANSWERED = rows.Change(table.Outcome.UNKNOWN, reason="timeout")


class Store(rowstore.RowStore):
    """A store in which the answers of chosen commits are lost.

    Attributes
    ----------
    lose : callable
        Receives a transaction; returns "applied" or "late" if its answer is lost, else
        an empty text. Late ones are applied by `apply_deferred`.
    commits : list of rows.Transaction
        All commits so far.
    tables_read : list of str
        Tables of all reads so far.
    """

    def __init__(self):
        super().__init__()
        self.lose = lambda change: ""
        self.commits = []
        self.tables_read = []
        self.requested = 0

    async def commit(self, change, *, timeout):
        self.commits.append(change)
        loss = self.lose(change)
        if loss == "late":
            self.deferred.append(change)
        result = await super().commit(change, timeout=timeout) if loss != "late" else ""
        await anyio.sleep(0.002)
        return UNANSWERED if loss else result

    async def read(self, table, part, **options):
        self.tables_read.append(table)
        return await super().read(table, part, **options)


class Site:
    """VMs of two pools; records the orders that are given about open workers."""

    def __init__(self, store):
        self.store = store
        up = fleet.VmState.UP
        self.vms = {
            f"vm{n}": fleet.Vm(f"vm{n}", "b", up, "dc", (), ROOM, f"w{n}")
            for n in range(6)
        }
        self.ready_at = {}
        self.outcome = fleet.OrderOutcome.DONE
        self.orders = []
        self.orders_to_open = []
        self.most_down = 0

    async def list_vms(self, *, timeout):
        now = http.read_clock()
        for id, ready_at in list(self.ready_at.items()):
            if now >= ready_at:
                del self.ready_at[id]
                worker = f"{self.vms[id].worker}+"
                self.vms[id] = self.vms[id]._replace(
                    state=fleet.VmState.UP, worker=worker
                )
        return fleet.Listing(tuple(self.vms.values()))

    async def move(self, vm, pool, holder, fence, *, timeout):
        return self._order(vm, fleet.VmState.MOVING, pool)

    async def maintain(self, vm, wave, holder, fence, *, timeout):
        return self._order(vm, fleet.VmState.UPKEEP, self.vms[vm].pool)

    def _order(self, vm, state, pool):
        self.orders.append(vm)
        if self.store.get(record.CLOSING_TABLE, FLEET, self.vms[vm].worker) is None:
            self.orders_to_open.append(vm)
        if self.outcome is fleet.OrderOutcome.DONE:
            self.vms[vm] = self.vms[vm]._replace(state=state, pool=pool)
            self.ready_at[vm] = http.read_clock() + MAINTENANCE_SECONDS
            down = [vm for vm in self.vms.values() if vm.state is fleet.VmState.UPKEEP]
            self.most_down = max(self.most_down, len(down))
        return self.outcome


def read_closings(store):
    """Return the closed workers as stored."""
    return {
        row.key: record.read_closing(row.key, row.value)
        for (name, _, _), row in store._rows.items()
        if name == record.CLOSING_TABLE
    }


def read_wave(store):
    value = store.get(record.WAVE_TABLE, FLEET, "1")
    return record.read_wave(value) if value else record.WaveRecord()


def read_shown(store):
    value = store.get(entries.STATUS_TABLE, "", entries.get_wave_key(1))
    return None if value is None else entries.read_wave_status(value)


def write_status(store, pool, **fields):
    """Write the status of a pool whose leader knows all current closings."""
    fields = {"closings": store.version, **fields}
    value = pool_record.write_status(pool_record.PoolStatus({}, **fields))
    store.put(pool_record.STATUS_TABLE, pool, pool_record.STATUS_TABLE, value)


def request_vms(store, count):
    """Let pool a ask for VMs, which pool b can spare."""
    store.requested = count
    write_statuses(store)


def write_statuses(store, empty=()):
    cpu = store.requested * 64000
    write_status(store, "a", min_demand=cpu, peak_demand=cpu, empty=empty)
    light = tuple(f"w{n}" for n in range(6))
    write_status(store, "b", light=light, batch_capacity=6 * 64000, empty=empty)


@pytest.fixture
def store():
    store = Store()
    owner = leader_record.Owner(FLEET, "d", "life", 1, 0, 0.0)
    value = leader_record.write_owner(owner)
    store.put(leader_record.OWNER_TABLE, FLEET, leader_record.OWNER_KEY, value)
    store.put(record.HOME_TABLE, FLEET, "a", b"0")
    store.put(record.HOME_TABLE, FLEET, "b", b"0")
    request_vms(store, 0)
    return store


@pytest.fixture
def site(store):
    return Site(store)


async def make_runner(store, site, waves=None):
    """Return a runner of a fleet leader that has just claimed."""
    read = await store.read(leader_record.OWNER_TABLE, FLEET, timeout=1.0)
    store.tables_read.clear()
    row = read.rows[0]
    owner = leader_record.read_owner(FLEET, row.value, row.version)
    deps = task.Dependencies(
        store,
        site,
        lambda: True,
        lambda: model.Catalogue(1, (), POOLS),
        lambda: waves or {},
        lambda: rowstore.read_times()[0],
        "d",
        0.0,
        MAINTENANCE_SECONDS,
    )
    return task.Runner(owner, deps, http.read_clock())


async def wait_until(condition, timeout=8.0):
    """Wait until a condition holds."""
    with anyio.fail_after(timeout):
        while not condition():
            await anyio.sleep(0.005)


async def empty_closed_workers(store, pause=0.03):
    """Show each closed worker as empty from time to time, as the pools' leaders do."""
    while True:
        closed = read_closings(store)
        empty = tuple(worker for worker in closed if not closed[worker].ended)
        write_statuses(store, empty)
        await anyio.sleep(pause)


def lose_first(is_chosen, loss):
    """Return which commits lose their answer: the first of the chosen ones."""
    lost = []

    def lose(change):
        if lost or not any(is_chosen(write) for write in change.writes):
            return ""
        lost.append(change)
        return loss

    return lose


def is_closing(write):
    return write.table == record.CLOSING_TABLE and write.value is not None


def is_opening(write):
    return write.table == record.CLOSING_TABLE and write.value is None


def is_wave(write):
    return write.table == record.WAVE_TABLE


def is_shown(write):
    return write.table == entries.STATUS_TABLE


def is_fence(write):
    return write.table == record.HOME_TABLE and write.key == record.FENCE_KEY


@pytest.mark.anyio
async def test_worker_whose_closing_got_no_answer_is_reopened(store, site, monkeypatch):
    """Guards against a VM that stays closed until the next leader of the fleet.

    The closing took effect and its answer was lost; the need was gone by then.
    """
    monkeypatch.setattr(demand, "DRAIN_TIMEOUT_SECONDS", 0.2)
    store.lose = lose_first(is_closing, "applied")
    request_vms(store, 2)
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        await wait_until(lambda: read_closings(store))
        request_vms(store, 0)
        await wait_until(lambda: not read_closings(store))
        # The store applies a commit 2 ms before the runner gets the answer.
        await wait_until(lambda: not runner.state.closings)
        runner.stop()

    assert read_closings(store) == runner.state.closings == {}


@pytest.mark.anyio
async def test_closing_applied_late_closes_no_reopened_worker(store, site):
    """Guards against a VM that is closed for good by a closing from long before.

    The closing was repeated, and the worker reopened as its move was refused. The row
    was absent again then, as it had been when the first closing was sent.
    """
    store.lose = lose_first(is_closing, "late")
    site.outcome = fleet.OrderOutcome.REFUSED
    request_vms(store, 1)
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: site.orders)
        request_vms(store, 0)
        await wait_until(lambda: not read_closings(store))
        assert store.deferred
        store.apply_deferred()
        await anyio.sleep(0.5)
        runner.stop()
        group.cancel_scope.cancel()

    assert read_closings(store) == {}


@pytest.mark.anyio
async def test_no_order_about_worker_whose_reopening_got_no_answer(
    store, site, monkeypatch
):
    """Guards against a move of a VM that takes tasks.

    Its worker was reopened without an answer, and a status from before showed it as
    empty when the next round began.
    """
    monkeypatch.setattr(demand, "DRAIN_TIMEOUT_SECONDS", 0.2)
    store.lose = lose_first(is_opening, "applied")
    closing = record.write_closing(record.Closing("w0", "vm0", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w0", closing)
    closed_at = store.version
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        await wait_until(lambda: not read_closings(store))
        write_status(store, "b", empty=("w0",), closings=closed_at)
        await anyio.sleep(0.8)
        runner.stop()

    assert site.orders_to_open == []


@pytest.mark.anyio
async def test_no_order_is_given_until_rows_are_known_again(store, site):
    """Guards against an order that rests on rows which may have changed.

    A closing got no answer in the round in which another, empty worker is moved.
    """
    orders_at_fence = []

    def lose(change):
        if any(is_fence(write) for write in change.writes):
            orders_at_fence.append(list(site.orders))
        return lose_closing(change)

    lose_closing = lose_first(is_closing, "applied")
    store.lose = lose
    closing = record.write_closing(record.Closing("w0", "vm0", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w0", closing)
    request_vms(store, 3)
    write_statuses(store, empty=("w0",))
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: site.orders)
        runner.stop()
        group.cancel_scope.cancel()

    assert orders_at_fence == [[]]


@pytest.mark.anyio
@pytest.mark.parametrize("loss", ["applied", "late"])
async def test_progress_of_wave_is_stored_as_known(store, site, loss):
    """Guards against a successor that maintains VMs beside others, or once more.

    The record of the first order got no answer. Applied late, it replaced the records
    of all later orders.
    """
    store.lose = lose_first(is_wave, loss)
    runner = await make_runner(store, site, {1: WAVE})
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: read_wave(store).done)
        store.apply_deferred()
        stored = read_wave(store)
        await wait_until(lambda: read_shown(store))
        runner.stop()
        group.cancel_scope.cancel()

    assert stored.done
    assert site.most_down == 1
    assert sorted(site.orders) == sorted(WAVE.vms)


@pytest.mark.anyio
async def test_wave_that_is_completed_stays_shown_as_completed(store, site):
    """Guards against a completed wave that operators see as running for good.

    The commit that showed it as running was applied after the one that completed it.
    """
    store.lose = lose_first(is_shown, "late")
    runner = await make_runner(store, site, {1: WAVE})
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: read_shown(store))
        assert store.deferred
        store.apply_deferred()
        await anyio.sleep(0.5)
        runner.stop()
        group.cancel_scope.cancel()

    assert read_shown(store) is True


@pytest.mark.anyio
async def test_time_of_order_is_not_set_back_by_a_late_commit(store, site):
    """Guards against orders of two leaders about one VM that are too close.

    The time of an order got no answer and was recorded again with a later order.
    """
    store.lose = lose_first(lambda write: write.table == record.ORDER_TABLE, "late")
    closing = record.write_closing(record.Closing("w0", "vm0", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w0", closing)
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: site.orders)
        recorded = store.get(record.ORDER_TABLE, FLEET, "vm0")
        assert store.deferred
        store.apply_deferred()
        runner.stop()
        group.cancel_scope.cancel()

    assert store.get(record.ORDER_TABLE, FLEET, "vm0") == recorded


@pytest.mark.anyio
@pytest.mark.parametrize("loss", ["applied", "late"])
async def test_leader_goes_on_after_a_fence_without_answer(store, site, loss):
    """Guards against a leader that waits for good, or takes itself for deposed."""
    lose_closing = lose_first(is_closing, "late")
    lose_fence = lose_first(is_fence, loss)
    store.lose = lambda change: lose_closing(change) or lose_fence(change)
    request_vms(store, 1)
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: len([c for c in store.commits if c.writes]) > 2)
        store.apply_deferred()
        await wait_until(lambda: site.orders)
        runner.stop()
        group.cancel_scope.cancel()

    assert not runner.deposed


@pytest.mark.anyio
async def test_successor_commits_after_a_fence(store, site):
    """Guards against a leader whose commits fail since an earlier one set a fence."""
    store.put(record.HOME_TABLE, FLEET, record.FENCE_KEY, record.FENCE_VALUE)
    request_vms(store, 1)
    runner = await make_runner(store, site)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        await wait_until(lambda: read_closings(store))
        runner.stop()

    assert not any(is_fence(write) for c in store.commits for write in c.writes)


@pytest.mark.anyio
async def test_nothing_is_read_again_while_answers_arrive(store, site):
    """Guards against reads whose price each deployment would pay all day."""
    request_vms(store, 2)
    runner = await make_runner(store, site, {1: WAVE})
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store)
        await wait_until(lambda: read_shown(store))
        runner.stop()
        group.cancel_scope.cancel()

    tables = [
        record.CLOSING_TABLE,
        record.WAVE_TABLE,
        record.HOME_TABLE,
        entries.STATUS_TABLE,
        record.ORDER_TABLE,
    ]
    read = [name for name in store.tables_read if name != pool_record.STATUS_TABLE]
    assert sorted(read) == sorted(tables)
    assert not any(is_fence(write) for c in store.commits for write in c.writes)


@pytest.mark.anyio
@pytest.mark.parametrize("seed", range(8))
async def test_state_and_rows_agree_after_lost_answers(store, site, seed, monkeypatch):
    """Guards against any commit after which the leader and its rows differ for good.

    A sixth of the commits are applied without an answer, and a sixth late. Workers are
    closed for moves and waves, and reopened if they aren't empty soon.
    """
    monkeypatch.setattr(demand, "DRAIN_TIMEOUT_SECONDS", 0.2)
    chance = random.Random(seed)
    store.lose = lambda change: chance.choice(["applied", "late", *[""] * 4])
    runner = await make_runner(store, site, {1: WAVE})
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        group.start_soon(empty_closed_workers, store, 0.3)
        for _ in range(30):
            request_vms(store, chance.choice((0, 1, 3)))
            await anyio.sleep(0.1)
            if chance.random() < 0.2:
                store.apply_deferred()
        store.lose = lambda change: ""
        await anyio.sleep(1.0)
        store.apply_deferred()
        await anyio.sleep(0.1)
        # No closing expires within this time, so that it hides a difference.
        await wait_until(lambda: runner.state.closings == read_closings(store), 1.0)
        await wait_until(lambda: runner.state.shown == {1: True})
        runner.stop()
        group.cancel_scope.cancel()

    assert site.most_down == 1
    assert site.orders_to_open == []
    assert read_shown(store) is True
