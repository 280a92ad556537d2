"""A change of the leader of moves: whom it must leave alone, and for how long."""

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
    """Two spare VMs that are off; keeps the moves ordered and what was noted."""

    def __init__(self, store):
        self.store = store
        self.moves = []
        self.noted = []
        self.takes = 0.0
        up = fleet.VmState.UP
        self.vms = [
            fleet.Vm(one, "off", up, "dc", (), ROOM, "") for one in ("spare0", "spare1")
        ]

    async def list_vms(self, *, timeout):
        listed = [one._replace(state=self._find_state(one.id)) for one in self.vms]
        return fleet.Listing(tuple(listed))

    def _find_state(self, vm):
        return fleet.VmState.MOVING if vm in self.moves else fleet.VmState.UP

    async def move(self, vm, pool, holder, fence, *, timeout):
        self.moves.append(vm)
        self.noted.append(self.store.get(record.ORDER_TABLE, FLEET, vm))
        await anyio.sleep(self.takes)
        return fleet.OrderOutcome.DONE


def show(store, pool, **fields):
    """Show a board of a leader that knows all closings of this moment."""
    fields = {"closings": store.version, **fields}
    value = pool_record.write_status(pool_record.PoolStatus({}, **fields))
    store.put(pool_record.STATUS_TABLE, pool, pool_record.STATUS_TABLE, value)


def list_closed(store):
    rows = [key for key in store._rows if key[0] == record.CLOSING_TABLE]
    return [key[2] for key in rows]


@pytest.fixture
def store():
    made = rowstore.RowStore()
    show(made, "a", unmet=128000, peak_demand=128000, min_demand=128000)
    owner = leader_record.Owner(FLEET, "d", "life", 1, 0, 0.0)
    value = leader_record.write_owner(owner)
    made.put(leader_record.OWNER_TABLE, FLEET, leader_record.OWNER_KEY, value)
    return made


@pytest.fixture
def machines(store):
    return Machines(store)


def read_store_clock():
    return rowstore.read_times()[0]


async def make_runner(store, machines, waves=None):
    """Return the leader of moves, as claimed a moment ago."""
    read = await store.read(leader_record.OWNER_TABLE, FLEET, timeout=1.0)
    row = read.rows[0]
    owner = leader_record.read_owner(FLEET, row.value, row.version)
    around = task.Dependencies(
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
    return task.Runner(owner, around, http.read_clock())


async def lead(store, machines, seconds, waves=None):
    """Lead for some seconds."""
    runner = await make_runner(store, machines, waves)
    with anyio.move_on_after(seconds):
        await runner.run()


@pytest.mark.anyio
async def test_a_new_leader_moves_vms_at_once(store, machines):
    """A burst doesn't wait for a lease where nobody ordered anything lately."""
    await lead(store, machines, 0.5)

    assert sorted(machines.moves) == ["spare0", "spare1"]


@pytest.mark.anyio
async def test_an_order_is_noted_before_it_is_given(store, machines):
    await lead(store, machines, 0.5)

    assert all(machines.noted)


@pytest.mark.anyio
async def test_a_vm_that_an_earlier_leader_ordered_about_is_left_alone(store, machines):
    recent = record.write_order(read_store_clock() - 1.0)
    store.put(record.ORDER_TABLE, FLEET, "spare0", recent)

    await lead(store, machines, 0.5)

    assert machines.moves == ["spare1"]


@pytest.mark.anyio
async def test_an_old_order_holds_nobody_up(store, machines):
    old = record.write_order(read_store_clock() - ORDER_GAP - task.ORDER_WITHIN - 0.1)
    store.put(record.ORDER_TABLE, FLEET, "spare0", old)

    await lead(store, machines, 0.5)

    assert "spare0" in machines.moves


@pytest.mark.anyio
async def test_nothing_is_ordered_that_could_not_be_noted(store, machines):
    """Another daemon has claimed meanwhile: the note's condition fails."""

    async def refuse(change, *, timeout):
        writes = [one for one in change.writes if one.table == record.ORDER_TABLE]
        if not writes:
            return await commit(change, timeout=timeout)
        return await commit(
            change._replace(
                conditions=(leader_record.expect_owner(FLEET, 999),),
            ),
            timeout=timeout,
        )

    commit, store.commit = store.commit, refuse
    await lead(store, machines, 0.5)

    assert machines.moves == []


@pytest.mark.anyio
async def test_a_burst_on_a_large_site_has_its_vms_at_once(store, machines):
    """40 VMs are sent and 40 vacated; one after the other took 0.4 s each."""
    calls = store.calls
    up = fleet.VmState.UP
    spare = [fleet.Vm(f"s{n}", "off", up, "dc", (), ROOM, "") for n in range(20)]
    busy = [fleet.Vm(f"b{n}", "b", up, "dc", (), ROOM, f"w{n}") for n in range(80)]
    machines.vms = [*spare, *busy]
    machines.takes = 0.1
    store.put(record.HOME_TABLE, FLEET, "b", b"40")
    light = tuple(f"w{n}" for n in range(80))
    show(store, "a", peak_demand=9000000, min_demand=9000000)
    show(store, "b", light=light, batch_capacity=80 * 64000)

    await lead(store, machines, 0.3)

    assert len(machines.moves) == 20
    assert len(list_closed(store)) == 40
    assert store.calls - calls < 40


@pytest.mark.anyio
async def test_a_round_of_more_orders_than_one_transaction_holds_is_given(
    store, machines
):
    """All 120 VMs of a pool are empty and to be moved at once."""
    sizes = []

    async def commit(change, *, timeout):
        sizes.append(len(change.conditions) + len(change.writes))
        return await whole(change, timeout=timeout)

    whole, store.commit = store.commit, commit
    up = fleet.VmState.UP
    names = [f"b{n}" for n in range(120)]
    machines.vms = [fleet.Vm(one, "b", up, "dc", (), ROOM, f"w-{one}") for one in names]
    for one in names:
        closing = record.Closing(f"w-{one}", one, 0, "a")
        value = record.write_closing(closing)
        store.put(record.CLOSING_TABLE, FLEET, closing.worker, value)
    show(store, "b", empty=tuple(f"w-{one}" for one in names))

    await lead(store, machines, 1.0)

    assert sorted(machines.moves) == sorted(names)
    assert max(sizes) <= 100


@pytest.mark.anyio
async def test_a_leadership_that_is_over_orders_nothing_more(store, machines):
    """The answer that orders waited for and the loss of the duty come at once.

    A task whose wait has just ended isn't cancelled before its next step, which gave
    the orders: the daemon's lease, the only thing asked before an order, still lasted.
    The successor may give others for the same VMs.
    """
    noted = anyio.Event()
    released = anyio.Event()

    async def commit(change, *, timeout):
        done = await whole(change, timeout=timeout)
        if change.writes[0].table == record.ORDER_TABLE:
            noted.set()
            await released.wait()
        return done

    whole, store.commit = store.commit, commit
    runner = await make_runner(store, machines)
    async with anyio.create_task_group() as group:
        group.start_soon(runner.run)
        await noted.wait()
        await anyio.sleep(0.01)
        released.set()
        runner.stop()

    assert machines.moves == []


class Upkept:
    """One VM that is back from its upkeep; a further order is done already."""

    def __init__(self):
        self.orders = 0

    async def list_vms(self, *, timeout):
        up = fleet.VmState.UP
        return fleet.Listing((fleet.Vm("vm", "a", up, "dc", (), ROOM, "second"),))

    async def maintain(self, vm, wave, holder, fence, *, timeout):
        self.orders += 1
        return fleet.OrderOutcome.DONE


@pytest.fixture
def upkept(store):
    """Its first life was ordered without an answer; the second is vacated again."""
    wave = record.WaveRecord().order("vm", "first")
    store.put(record.WAVE_TABLE, FLEET, "1", record.write_wave(wave))
    closing = record.write_closing(record.Closing("second", "vm", 1))
    store.put(record.CLOSING_TABLE, FLEET, "second", closing)
    show(store, "a", empty=("second",))
    return Upkept()


WAVES = {1: entries.WaveOrder(1, ("vm",), 26.0, 1)}


@pytest.mark.anyio
async def test_an_upkeep_that_was_done_already_ends_no_later_life(store, upkept):
    """What could be seen: a VM that is up and never has tasks again.

    How: the answer to an upkeep's order was lost, though it was carried out; the order
    was given again when the VM was back with another life. "Done already" was then
    told as the end of that life, which the pool's leader takes for empty and gone.

    Cause: the end was told of the life that is there now, by an answer that may be
    about an earlier one. It is told of the life at the first order only.
    """
    told = []

    async def commit(change, *, timeout):
        rows = [one for one in change.writes if one.table == record.CLOSING_TABLE]
        told.extend(record.read_closing(o.key, o.value) for o in rows if o.value)
        return await whole(change, timeout=timeout)

    whole, store.commit = store.commit, commit
    await lead(store, upkept, 1.6, WAVES)

    assert upkept.orders == 1
    assert [one.worker for one in told if one.ended] == []


@pytest.mark.anyio
async def test_a_life_after_the_upkeep_has_tasks_again(store, upkept):
    await lead(store, upkept, 4.2, WAVES)

    assert list_closed(store) == []


@pytest.mark.anyio
async def test_the_life_at_the_first_order_is_told_as_ended(store, upkept):
    first = record.write_closing(record.Closing("first", "vm", 1))
    store.put(record.CLOSING_TABLE, FLEET, "first", first)

    await lead(store, upkept, 1.6, WAVES)

    value = store.get(record.CLOSING_TABLE, FLEET, "first")
    assert record.read_closing("first", value).ended


@pytest.mark.anyio
async def test_a_board_from_before_a_vm_was_closed_shows_nothing_of_it(store, machines):
    """What could be seen: a VM goes down for a move with tasks that run on it.

    How: it had been vacated, shown as empty and opened again, and took tasks; then it
    was closed anew, and the board from before still showed it as empty.

    Cause: the board was taken for news of this closing. It tells at which version of
    the store its leader knew the closings, and counts for those up to it.
    """
    up = fleet.VmState.UP
    machines.vms = [fleet.Vm("vm", "b", up, "dc", (), ROOM, "w")]
    show(store, "b", empty=("w",))
    closing = record.write_closing(record.Closing("w", "vm", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w", closing)

    await lead(store, machines, 0.5)

    assert machines.moves == []


@pytest.mark.anyio
async def test_a_board_that_knows_of_the_closing_has_its_vm_moved(store, machines):
    up = fleet.VmState.UP
    machines.vms = [fleet.Vm("vm", "b", up, "dc", (), ROOM, "w")]
    closing = record.write_closing(record.Closing("w", "vm", 0, "a"))
    store.put(record.CLOSING_TABLE, FLEET, "w", closing)
    show(store, "b", empty=("w",))

    await lead(store, machines, 0.5)

    assert machines.moves == ["vm"]
