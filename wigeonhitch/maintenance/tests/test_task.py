"""Orders of the fleet leader, in particular after a change of leaders."""

import anyio
import pytest

from standins import rowstore
from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.maintenance import record, task
from wigeonhitch.platform import entries, fleet, http
from wigeonhitch.pool import record as pool_record

FLEET = "~fleet"
ORDER_GAP = 3.0
ROOM = model.Room(64000, 131072)
POOLS = (model.Pool("a"), model.Pool("b"), model.Pool("off", standby=True))


class Machines:
    """Two standby VMs; records the ordered moves and the order rows at that time."""

    def __init__(self, store):
        self.store = store
        self.moves = []
        self.recorded = []
        self.move_seconds = 0.0
        up = fleet.VmState.UP
        self.vms = [
            fleet.Vm(name, "off", up, "dc", (), ROOM, "")
            for name in ("spare0", "spare1")
        ]

    async def list_vms(self, *, timeout):
        listed = [vm._replace(state=self._find_state(vm.id)) for vm in self.vms]
        return fleet.Listing(tuple(listed))

    def _find_state(self, vm):
        return fleet.VmState.MOVING if vm in self.moves else fleet.VmState.UP

    async def move(self, vm, pool, holder, fence, *, timeout):
        self.moves.append(vm)
        self.recorded.append(self.store.get(record.ORDER_TABLE, FLEET, vm))
        await anyio.sleep(self.move_seconds)
        return fleet.OrderOutcome.DONE


def write_status(store, pool, **fields):
    """Write the status of a pool whose leader knows all current closings."""
    fields = {"closings": store.version, **fields}
    value = pool_record.write_status(pool_record.PoolStatus({}, **fields))
    store.put(pool_record.STATUS_TABLE, pool, pool_record.STATUS_TABLE, value)


def list_closed(store):
    rows = [key for key in store._rows if key[0] == record.CLOSING_TABLE]
    return [key[2] for key in rows]


@pytest.fixture
def store():
    store = rowstore.RowStore()
    write_status(store, "a", unmet=128000, peak_demand=128000, min_demand=128000)
    owner = leader_record.Owner(FLEET, "d", "life", 1, 0, 0.0)
    value = leader_record.write_owner(owner)
    store.put(leader_record.OWNER_TABLE, FLEET, leader_record.OWNER_KEY, value)
    return store


@pytest.fixture
def machines(store):
    return Machines(store)


def read_store_clock():
    return rowstore.read_times()[0]


async def make_runner(store, machines, waves=None):
    """Return a runner of a fleet leader that has just claimed."""
    read = await store.read(leader_record.OWNER_TABLE, FLEET, timeout=1.0)
    row = read.rows[0]
    owner = leader_record.read_owner(FLEET, row.value, row.version)
    deps = task.Dependencies(
        store,
        machines,
        lambda: True,
        lambda: model.Catalogue(1, (), POOLS),
        lambda: waves or {},
        read_store_clock,
        "d",
        ORDER_GAP,
        2.0,
    )
    return task.Runner(owner, deps, http.read_clock())


async def run_leader(store, machines, seconds, waves=None):
    """Lead the fleet for some seconds."""
    runner = await make_runner(store, machines, waves)
    with anyio.move_on_after(seconds):
        await runner.run()


@pytest.mark.anyio
async def test_new_leader_moves_vms_at_once(store, machines):
    """A burst doesn't wait for a lease if no orders were given recently."""
    await run_leader(store, machines, 0.5)

    assert sorted(machines.moves) == ["spare0", "spare1"]


@pytest.mark.anyio
async def test_order_is_recorded_before_it_is_given(store, machines):
    await run_leader(store, machines, 0.5)

    assert all(machines.recorded)


@pytest.mark.anyio
async def test_vm_ordered_about_by_earlier_leader_is_blocked(store, machines):
    recent = record.write_order(read_store_clock() - 1.0)
    store.put(record.ORDER_TABLE, FLEET, "spare0", recent)

    await run_leader(store, machines, 0.5)

    assert machines.moves == ["spare1"]


@pytest.mark.anyio
async def test_old_order_blocks_no_vm(store, machines):
    old = record.write_order(
        read_store_clock() - ORDER_GAP - task.ORDER_VALIDITY_SECONDS - 0.1
    )
    store.put(record.ORDER_TABLE, FLEET, "spare0", old)

    await run_leader(store, machines, 0.5)

    assert "spare0" in machines.moves


@pytest.mark.anyio
async def test_nothing_is_ordered_that_could_not_be_recorded(store, machines):
    """Another daemon has claimed meanwhile, so the condition of the write fails."""

    async def refuse(change, *, timeout):
        writes = [write for write in change.writes if write.table == record.ORDER_TABLE]
        if not writes:
            return await commit(change, timeout=timeout)
        return await commit(
            change._replace(
                conditions=(leader_record.expect_owner(FLEET, 999),),
            ),
            timeout=timeout,
        )

    commit, store.commit = store.commit, refuse
    await run_leader(store, machines, 0.5)

    assert machines.moves == []


@pytest.mark.anyio
async def test_burst_on_large_site_gets_its_vms_at_once(store, machines):
    """20 VMs are moved and 40 drained; sequentially, 40 of each took 0.4 s."""
    calls = store.calls
    up = fleet.VmState.UP
    spare = [fleet.Vm(f"s{n}", "off", up, "dc", (), ROOM, "") for n in range(20)]
    busy = [fleet.Vm(f"b{n}", "b", up, "dc", (), ROOM, f"w{n}") for n in range(80)]
    machines.vms = [*spare, *busy]
    machines.move_seconds = 0.1
    store.put(record.HOME_TABLE, FLEET, "b", b"40")
    light = tuple(f"w{n}" for n in range(80))
    write_status(store, "a", peak_demand=9000000, min_demand=9000000)
    write_status(store, "b", light=light, batch_capacity=80 * 64000)

    await run_leader(store, machines, 0.3)

    assert len(machines.moves) == 20
    assert len(list_closed(store)) == 40
    assert store.calls - calls < 40


@pytest.mark.anyio
async def test_round_of_more_orders_than_one_transaction_holds_is_given(
    store, machines
):
    """All 120 VMs of a pool are empty and to be moved at once."""
    sizes = []

    async def commit(change, *, timeout):
        sizes.append(len(change.conditions) + len(change.writes))
        return await original_commit(change, timeout=timeout)

    original_commit, store.commit = store.commit, commit
    up = fleet.VmState.UP
    names = [f"b{n}" for n in range(120)]
    machines.vms = [
        fleet.Vm(name, "b", up, "dc", (), ROOM, f"w-{name}") for name in names
    ]
    for name in names:
        closing = record.Closing(f"w-{name}", name, 0, "a")
        value = record.write_closing(closing)
        store.put(record.CLOSING_TABLE, FLEET, closing.worker, value)
    write_status(store, "b", empty=tuple(f"w-{name}" for name in names))

    await run_leader(store, machines, 1.0)

    assert sorted(machines.moves) == sorted(names)
    assert max(sizes) <= 100


@pytest.mark.anyio
async def test_ended_leadership_orders_nothing_more(store, machines):
    """The answer that orders wait for and the loss of the leadership come together.

    A task whose wait has just ended is not cancelled before its next step. That step
    gave the orders, since only the daemon's lease was checked and it was still valid.
    The successor may give other orders for the same VMs.
    """
    recorded = anyio.Event()
    released = anyio.Event()

    async def commit(change, *, timeout):
        done = await original_commit(change, timeout=timeout)
        if change.writes[0].table == record.ORDER_TABLE:
            recorded.set()
            await released.wait()
        return done

    original_commit, store.commit = store.commit, commit
    runner = await make_runner(store, machines)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        await recorded.wait()
        await anyio.sleep(0.01)
        released.set()
        runner.stop()

    assert machines.moves == []


class MaintainedVm:
    """One VM that is back from maintenance; a further order is answered as done."""

    def __init__(self):
        self.orders = 0

    async def list_vms(self, *, timeout):
        up = fleet.VmState.UP
        return fleet.Listing((fleet.Vm("vm", "a", up, "dc", (), ROOM, "second"),))

    async def maintain(self, vm, wave, holder, fence, *, timeout):
        self.orders += 1
        return fleet.OrderOutcome.DONE


@pytest.fixture
def maintained_vm(store):
    """Return a VM ordered at its first worker, unanswered; the second is drained."""
    wave = record.WaveRecord().order("vm", "first")
    store.put(record.WAVE_TABLE, FLEET, "1", record.write_wave(wave))
    closing = record.write_closing(record.Closing("second", "vm", 1))
    store.put(record.CLOSING_TABLE, FLEET, "second", closing)
    write_status(store, "a", empty=("second",))
    return MaintainedVm()


WAVES = {1: entries.WaveOrder(1, ("vm",), 26.0, 1)}


@pytest.mark.anyio
async def test_maintenance_already_done_ends_no_later_worker(store, maintained_vm):
    """A VM was up and never got tasks again.

    The answer to a maintenance order was lost, though the order was carried out, and
    the order was repeated when the VM was back with another worker. The answer "done"
    then marked that worker as ended, so the pool's leader took it for empty and gone.
    Only the worker at the first order may be marked ended.
    """
    closings = []

    async def commit(change, *, timeout):
        rows = [write for write in change.writes if write.table == record.CLOSING_TABLE]
        closings.extend(
            record.read_closing(row.key, row.value) for row in rows if row.value
        )
        return await original_commit(change, timeout=timeout)

    original_commit, store.commit = store.commit, commit
    await run_leader(store, maintained_vm, 1.6, WAVES)

    assert maintained_vm.orders == 1
    assert [closing.worker for closing in closings if closing.ended] == []


@pytest.mark.anyio
async def test_worker_after_maintenance_is_reopened(store, maintained_vm):
    await run_leader(store, maintained_vm, 4.2, WAVES)

    assert list_closed(store) == []


@pytest.mark.anyio
async def test_worker_at_first_order_is_marked_ended(store, maintained_vm):
    first = record.write_closing(record.Closing("first", "vm", 1))
    store.put(record.CLOSING_TABLE, FLEET, "first", first)

    await run_leader(store, maintained_vm, 1.6, WAVES)

    value = store.get(record.CLOSING_TABLE, FLEET, "first")
    assert record.read_closing("first", value).ended


@pytest.mark.anyio
async def test_status_older_than_closing_does_not_show_vm_as_empty(store, machines):
    """A VM was moved while tasks ran on it.

    It had been drained, shown as empty and reopened, and took tasks; then it was closed
    again, and the status from before still showed it as empty. A status tells up to
    which version of the store its leader knew the closings, and counts only for those.
    """
    up = fleet.VmState.UP
    machines.vms = [fleet.Vm("vm", "b", up, "dc", (), ROOM, "w")]
    write_status(store, "b", empty=("w",))
    closing = record.write_closing(record.Closing("w", "vm", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w", closing)

    await run_leader(store, machines, 0.5)

    assert machines.moves == []


@pytest.mark.anyio
async def test_vm_is_moved_once_status_includes_its_closing(store, machines):
    up = fleet.VmState.UP
    machines.vms = [fleet.Vm("vm", "b", up, "dc", (), ROOM, "w")]
    closing = record.write_closing(record.Closing("w", "vm", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w", closing)
    write_status(store, "b", empty=("w",))

    await run_leader(store, machines, 0.5)

    assert machines.moves == ["vm"]
