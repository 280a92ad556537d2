"""Decisions on maintenance waves, on moves with demand, and on ended workers."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.maintenance import core, demand, record, wave
from wigeonhitch.platform import entries, fleet
from wigeonhitch.pool import record as pool_record

NOW = 100.0
MAINTENANCE_S = 2.0
ROOM = model.Room(32000, 65536)


def make_vm(id, pool="a", *, state=fleet.VmState.UP, worker=None):
    worker = f"w-{id}" if worker is None else worker
    return fleet.Vm(id, pool, state, "dc", (), ROOM, worker)


@pytest.fixture
def state():
    state = core.FleetState(NOW - 10)
    state.pools = {
        "a": model.Pool("a"),
        "b": model.Pool("b"),
        "off": model.Pool("off", standby=True),
    }
    state.initial_sizes = {"a": 6, "b": 6, "off": 2}
    listed = [make_vm(f"{pool}{n}", pool) for pool in "ab" for n in range(6)]
    listed += [make_vm(f"off{n}", "off", worker="") for n in range(2)]
    state.on_vms(tuple(listed), NOW)
    for pool in "ab":
        state.pool_statuses[pool] = pool_record.PoolStatus({}, 0, 20000)
    return state


def start_wave(state, vms, ceiling=2, within=26.0):
    state.on_wave(entries.WaveOrder(1, tuple(vms), within, ceiling), NOW)
    state.shown[1] = False


def select(actions, kind):
    return [action for action in actions if isinstance(action, kind)]


def mark_empty(state, *workers):
    for pool in "ab":
        status = state.pool_statuses[pool]
        state.pool_statuses[pool] = status._replace(empty=workers)


def close_workers(state, *vms):
    for vm in vms:
        state.on_closing(record.Closing(f"w-{vm}", vm, 1), NOW)


def test_only_empty_vms_are_maintained_within_ceiling(state):
    start_wave(state, ["a0", "a1", "b0", "b1"])
    close_workers(state, "a0", "a1", "b0")
    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Maintain) == []

    mark_empty(state, "w-a0", "w-a1", "w-b0")
    orders = select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Maintain)
    assert len(orders) == 2


def test_ordered_vm_counts_towards_ceiling_until_it_is_back(state):
    start_wave(state, ["a0", "a1", "b0"])
    state.progress[1] = state.progress[1].order("a0", "w-a0").order("a1", "w-a1")
    close_workers(state, "b0")
    mark_empty(state, "w-b0")

    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Maintain) == []


def test_unanswered_order_counts_and_is_repeated(state):
    start_wave(state, ["a0"], ceiling=1)
    close_workers(state, "a0")
    mark_empty(state, "w-a0")
    state.progress[1] = state.progress[1].order("a0", "w-a0")
    state.last_ordered_at["a0"] = NOW

    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Maintain) == []
    later = select(wave.plan_waves(state, NOW + 1.5, MAINTENANCE_S), core.Maintain)
    assert [order.vm for order in later] == ["a0"]


def test_vm_whose_order_is_to_be_repeated_is_drained_beside_others(state):
    """Guards against a wave that waits for good.

    The answer to an order was lost and its VM is back. It counts towards the ceiling,
    so nothing else can be maintained, and the others being drained left no room to
    drain it: neither under the wave's limit nor under that of its pool.
    """
    start_wave(state, ["a0", "a1", "a2", "b0"], ceiling=1)
    state.progress[1] = state.progress[1].order("a0", "an earlier worker")
    close_workers(state, "a1", "a2", "b0")
    mark_empty(state, "w-a1", "w-a2", "w-b0")

    actions = wave.plan_waves(state, NOW, MAINTENANCE_S)

    assert [action.closing.worker for action in select(actions, core.Close)] == ["w-a0"]


@pytest.mark.parametrize(
    ("ceiling", "count", "others"),
    [(6, 1, ()), (6, 3, ()), (6, 6, ()), (6, 4, ("a4", "a5")), (4, 4, ("a4", "a5"))],
)
def test_vms_whose_orders_are_to_be_repeated_leave_the_pool_most_vms(
    state, ceiling, count, others
):
    """Guards against a pool that is closed as a whole and can't be drained.

    The answers to several orders were lost. The limit of a pool of six is two.
    """
    vms = [f"a{number}" for number in range(6)]
    start_wave(state, vms, ceiling=ceiling)
    close_workers(state, *others)
    for id in vms[:count]:
        state.progress[1] = state.progress[1].order(id, "an earlier worker")

    for _ in range(3):
        execute(state, wave.plan_waves(state, NOW, MAINTENANCE_S))

    closed = set(state.closings)
    assert len(closed) == 2
    # The others are maintained once they are empty, if the ceiling leaves room.
    assert len(closed & {f"w-{id}" for id in others}) == (
        len(others) if ceiling > 4 else 0
    )


def execute(state, actions):
    """Apply closings and reopenings to the state."""
    for action in select(actions, core.Close):
        state.on_closing(action.closing, NOW)
    for action in select(actions, core.Open):
        state.on_reopened(action.worker)


def test_vm_of_a_small_pool_is_drained_in_place_of_another(state):
    """Guards against a wave that waits for good in a pool of two VMs.

    The other VM of the pool is drained and waits for room under the ceiling, which
    the order to be repeated takes up.
    """
    state.on_vms((make_vm("a0"), make_vm("a1")), NOW)
    start_wave(state, ["a0", "a1"], ceiling=1)
    state.progress[1] = state.progress[1].order("a0", "an earlier worker")
    close_workers(state, "a1")

    execute(state, wave.plan_waves(state, NOW, MAINTENANCE_S))

    assert set(state.closings) == {"w-a0"}


def test_order_is_repeated_while_other_vms_are_down(state):
    """Guards against a ceiling that stays used as long as VMs of the pool are down."""
    down = (make_vm(f"a{n}", state=fleet.VmState.DOWN) for n in (4, 5))
    state.on_vms((*(make_vm(f"a{n}") for n in range(4)), *down), NOW)
    start_wave(state, ["a0"], ceiling=1)
    state.progress[1] = state.progress[1].order("a0", "an earlier worker")

    actions = wave.plan_waves(state, NOW, MAINTENANCE_S)

    assert [action.closing.worker for action in select(actions, core.Close)] == ["w-a0"]


def test_last_open_vm_of_a_pool_is_left_open(state):
    """Guards against a pool that has no VM for the tasks that are drained."""
    down = (make_vm(f"a{n}", state=fleet.VmState.DOWN) for n in (1, 2))
    state.on_vms((make_vm("a0"), *down), NOW)
    start_wave(state, ["a0"], ceiling=1)
    state.progress[1] = state.progress[1].order("a0", "an earlier worker")

    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Close) == []


def test_repeated_order_waits_for_demand_like_others(state):
    """Guards against capacity that a wave takes away while work waits for it."""
    start_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "an earlier worker")
    state.pool_statuses["a"] = state.pool_statuses["a"]._replace(unmet=1000)

    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Close) == []


def test_new_worker_alone_does_not_complete_maintenance(state):
    """A worker that crashes between the order and its answer is replaced too."""
    start_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "an earlier life")
    state.on_vms((make_vm("a0"),), NOW + 5)

    wave.plan_waves(state, NOW + 5, MAINTENANCE_S)

    assert state.progress[1].done == frozenset()


def test_worker_at_repeated_order_does_not_complete_maintenance(state):
    """More VMs of a wave were down than its ceiling allows.

    An order was repeated for a VM's second worker and carried out on it, while the list
    of VMs still showed that worker. It differs from the one at the first order, so the
    VM counted as done. The worker must also differ from the one at the last order, or
    the maintenance time must have passed.
    """
    start_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "first").confirm("a0")
    state.last_ordered_at["a0"] = NOW
    state.last_ordered_worker["a0"] = "w-a0"
    state.on_vms((make_vm("a0"),), NOW + 1)

    assert select(wave.plan_waves(state, NOW + 1, MAINTENANCE_S), core.Show) == []

    state.on_vms((make_vm("a0"),), NOW + 3)
    assert select(wave.plan_waves(state, NOW + 3, MAINTENANCE_S), core.Show)


def test_wave_is_completed_once_all_vms_are_back(state):
    start_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "w-a0").confirm("a0")
    state.last_ordered_at["a0"] = NOW
    state.on_vms((make_vm("a0", state=fleet.VmState.UPKEEP),), NOW + 1)
    assert select(wave.plan_waves(state, NOW + 1, MAINTENANCE_S), core.Show) == []

    state.on_vms((make_vm("a0", worker="a new life"),), NOW + 3)
    (shown,) = select(wave.plan_waves(state, NOW + 3, MAINTENANCE_S), core.Show)
    assert shown.completed


def test_standby_vm_without_worker_is_done_after_maintenance_time(state):
    start_wave(state, ["off0"])
    (ordered,) = select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Maintain)
    assert ordered.vm == "off0"
    state.progress[1] = state.progress[1].order("off0", "").confirm("off0")
    state.last_ordered_at["off0"] = NOW

    vms = tuple(state.vms.values())
    state.on_vms(vms, NOW + 1)
    assert select(wave.plan_waves(state, NOW + 1, MAINTENANCE_S), core.Show) == []
    state.on_vms(vms, NOW + 3)
    assert select(wave.plan_waves(state, NOW + 3, MAINTENANCE_S), core.Show)[
        0
    ].completed


def test_vm_whose_maintenance_was_refused_is_reopened(state):
    start_wave(state, ["a0", "a1"])
    close_workers(state, "a0", "a1")
    state.progress[1] = state.progress[1].finish({"a0"})

    (opened,) = select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Open)

    assert opened.worker == "w-a0"


def test_worker_still_closed_for_a_completed_wave_is_reopened(state):
    """Guards against a VM that stays closed for good after a change of leaders.

    The last VMs of a wave are known as done by the leader that completes it, and are
    not stored as such. It was replaced before it reopened them.
    """
    start_wave(state, ["a0"])
    close_workers(state, "a0")
    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Open) == []

    state.shown[1] = True
    (reopening,) = select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Open)
    assert reopening.worker == "w-a0"


def test_no_wave_is_completed_before_vms_are_listed(state):
    start_wave(state, ["a0"])
    state.vms = {}

    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Show) == []


def test_wave_is_not_completed_while_a_list_leaves_out_its_last_vm(state):
    """Guards against a wave shown as completed with a VM that hasn't begun.

    A list of VMs that changes between its pages may leave one out. A wave that was
    shown as completed is never looked at again, so the VM kept its old state, and its
    worker, if it was closed, stayed closed.
    """
    start_wave(state, ["a0"])
    close_workers(state, "a0")
    mark_empty(state, "w-a0")
    listed = tuple(state.vms.values())
    for age in (0.3, 0.6):
        state.on_vms(tuple(vm for vm in listed if vm.id != "a0"), NOW + age)
        assert wave.plan_waves(state, NOW + age, MAINTENANCE_S) == []
    state.on_vms(listed, NOW + 0.9)

    (order,) = select(wave.plan_waves(state, NOW + 0.9, MAINTENANCE_S), core.Maintain)

    assert order.vm == "a0"


def test_wave_is_completed_without_a_vm_that_is_gone_from_all_lists(state):
    start_wave(state, ["a0", "never listed"])
    listed = tuple(vm for vm in state.vms.values() if vm.id != "a0")
    shown = []
    for age in (0.5, 1.0, 1.5, 2.0, 2.5):
        state.on_vms(listed, NOW + age)
        shown.extend(
            select(wave.plan_waves(state, NOW + age, MAINTENANCE_S), core.Show)
        )

    assert core.Show(1, completed=True) in shown


def test_one_list_after_a_long_silence_does_not_show_that_a_vm_is_gone(state):
    start_wave(state, ["a0"])
    listed = tuple(vm for vm in state.vms.values() if vm.id != "a0")
    state.on_vms(listed, NOW + 10)

    assert select(wave.plan_waves(state, NOW + 10, MAINTENANCE_S), core.Show) == []


def test_few_vms_of_a_pool_are_drained_at_once(state):
    start_wave(state, [f"a{n}" for n in range(6)], ceiling=6)

    assert len(select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Close)) == 2


def test_pool_in_burst_is_not_drained_until_wave_is_urgent(state):
    start_wave(state, ["a0"])
    state.pool_statuses["a"] = state.pool_statuses["a"]._replace(unmet=64000)

    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Close) == []
    assert select(wave.plan_waves(state, NOW + 20, MAINTENANCE_S), core.Close)


def test_burst_takes_standby_vms_at_once(state):
    state.pool_statuses["a"] = state.pool_statuses["a"]._replace(unmet=64000, idle=0)

    moves = select(demand.plan_moves(state, NOW), core.Move)

    assert [(move.vm, move.pool) for move in moves] == [("off0", "a"), ("off1", "a")]
    assert demand.plan_moves(state, NOW) == []


def test_burst_detected_from_submitted_jobs_takes_vms_before_pool_is_full(state):
    status = state.pool_statuses["a"]
    state.pool_statuses["a"] = status._replace(
        peak_demand=256000, min_demand=100000, batch_capacity=192000
    )

    moves = select(demand.plan_moves(state, NOW), core.Move)

    assert [move.pool for move in moves] == ["a", "a"]


def test_pool_whose_burst_is_over_gives_vms_while_it_still_works(state):
    """Its running work would be in time with half of its VMs."""
    extra = [make_vm(f"x{n}", "b") for n in range(6)]
    state.on_vms((*state.vms.values(), *extra), NOW)
    light = tuple(f"w-x{n}" for n in range(6))
    state.pool_statuses["a"] = pool_record.PoolStatus(
        {}, peak_demand=350000, min_demand=350000, batch_capacity=192000
    )
    state.pool_statuses["b"] = pool_record.PoolStatus(
        {},
        0,
        0,
        light=light,
        peak_demand=380000,
        min_demand=192000,
        batch_capacity=384000,
    )

    closed = select(demand.plan_moves(state, NOW), core.Close)

    assert {action.closing.vm for action in closed} <= {vm.id for vm in extra}
    assert len(closed) == 3


def test_burst_on_large_site_takes_all_standby_vms_at_once(state):
    listed = list(state.vms.values())
    listed += [make_vm(f"off{n}", "off", worker="") for n in range(2, 28)]
    state.on_vms(tuple(listed), NOW)
    state.pool_statuses["a"] = pool_record.PoolStatus({}, 40 * 32000, 0)

    moves = select(demand.plan_moves(state, NOW), core.Move)

    assert len(moves) == 28


@pytest.mark.parametrize(("orders_per_second", "sent"), [(310.0, 105), (64.0, 32)])
def test_concurrent_moves_follow_order_rate_of_platform(state, orders_per_second, sent):
    """With 32 concurrent moves, the last of 100 VMs (of 276) arrived 4.5 s later."""
    state.max_concurrent_moves = demand.compute_max_concurrent_moves(orders_per_second)
    spare = [make_vm(f"off{n}", "off", worker="") for n in range(105)]
    state.on_vms(tuple(spare), NOW)
    state.pool_statuses["a"] = pool_record.PoolStatus({}, 200 * ROOM.cpu)

    assert len(select(demand.plan_moves(state, NOW), core.Move)) == sent


def test_burst_requests_capacity_for_its_backlog(state):
    """The pool lacks the capacity of one VM, so three VMs are moved to it."""
    more = [make_vm(f"off{n}", "off", worker="") for n in range(2, 6)]
    state.on_vms((*state.vms.values(), *more), NOW)
    state.pool_statuses["a"] = pool_record.PoolStatus(
        {},
        peak_demand=100000,
        min_demand=100000,
        batch_capacity=192000,
        arriving_demand=224000,
    )

    assert len(select(demand.plan_moves(state, NOW), core.Move)) == 3


def test_burst_within_pool_capacity_requests_no_vms(state):
    state.pool_statuses["a"] = pool_record.PoolStatus(
        {},
        peak_demand=180000,
        min_demand=100000,
        batch_capacity=192000,
        arriving_demand=180000,
    )

    assert demand.plan_moves(state, NOW) == []


def test_idle_vms_are_taken_before_busy_ones(state):
    extra = [make_vm(f"x{n}", "b") for n in range(2)]
    state.on_vms((*state.vms.values(), *extra), NOW)
    set_burst_in_a(state, batch_capacity=256000, bare=0)
    light, bare = ("w-x0", "w-x1"), ("w-x1",)
    state.pool_statuses["b"] = state.pool_statuses["b"]._replace(light=light, bare=bare)

    closed = select(demand.plan_moves(state, NOW), core.Close)

    assert [action.closing.vm for action in closed] == ["x1", "x0"]


def set_burst_in_a(state, *, batch_capacity=192000, min_demand=0, bare=6, unmet=0):
    """Set the status of pool a to a burst beyond its capacity, and of b to idle."""
    state.pool_statuses["a"] = pool_record.PoolStatus(
        {}, 320000, peak_demand=640000, min_demand=640000
    )
    light = tuple(f"w-b{n}" for n in range(bare))
    state.pool_statuses["b"] = pool_record.PoolStatus(
        {},
        unmet,
        batch_capacity,
        light=light,
        bare=light,
        min_demand=min_demand,
        batch_capacity=batch_capacity,
    )


def test_idle_pool_keeps_four_of_its_initial_vms(state):
    """Guards against a small pool that has no VM at its own next burst."""
    set_burst_in_a(state)

    closed = select(demand.plan_moves(state, NOW), core.Close)

    assert [action.closing.vm for action in closed] == ["b0", "b1"]
    for action in closed:
        state.on_closing(action.closing, NOW)
    assert select(demand.plan_moves(state, NOW), core.Close) == []


def test_large_idle_pool_lends_a_half(state):
    """A pool of 33 VMs lends 16 when a burst exceeds all standby VMs.

    With a third, a quarter of a fleet stood idle while tasks on time waited elsewhere.
    """
    more = [make_vm(f"b{n}", "b") for n in range(6, 33)]
    state.on_vms((*state.vms.values(), *more), NOW)
    state.initial_sizes["b"] = 33
    set_burst_in_a(state, batch_capacity=33 * 32000, bare=33)
    status = state.pool_statuses["a"]
    state.pool_statuses["a"] = status._replace(
        unmet=40 * 32000, peak_demand=60 * 32000, min_demand=60 * 32000
    )

    assert len(select(demand.plan_moves(state, NOW), core.Close)) == 16


@pytest.mark.parametrize(
    "fields",
    [{"min_demand": 100000}, {"unmet": 4000}, {"bare": 0}],
    ids=["needs its room", "misses room itself", "runs something everywhere"],
)
def test_pool_keeps_vms_that_it_needs_in_burst_of_another(state, fields):
    set_burst_in_a(state, **fields)

    assert select(demand.plan_moves(state, NOW), core.Close) == []


def test_lender_gets_vms_back_before_any_returns_to_standby(state):
    listed = [vm for vm in state.vms.values() if vm.id != "b0"]
    state.on_vms((*listed, make_vm("b0", "a"), make_vm("spare", "a")), NOW)
    bare = ("w-b0", "w-spare")
    state.pool_statuses["a"] = pool_record.PoolStatus(
        {}, 0, 96000, bare=bare, batch_capacity=256000
    )
    demand.plan_moves(state, NOW)

    closed = select(
        demand.plan_moves(state, NOW + demand.IDLE_BEFORE_STANDBY_SECONDS), core.Close
    )

    assert [action.closing.pool for action in closed] == ["b", "off"]


def test_vm_whose_move_was_refused_is_reopened_and_not_retried(state):
    set_burst_in_a(state)
    (first, _) = select(demand.plan_moves(state, NOW), core.Close)
    state.on_closing(first.closing, NOW)
    state.on_move_refused(first.closing.vm, first.closing.pool)

    actions = demand.plan_moves(state, NOW)
    state.on_reopened(first.closing.worker)
    later = select(demand.plan_moves(state, NOW), core.Close)

    assert core.Open(first.closing.worker) in actions
    assert first.closing.vm not in [action.closing.vm for action in later]


def test_vm_that_is_lost_on_its_way_is_replaced_by_another(state):
    """Guards against a pool that lacks a VM for good.

    A VM that went down while it moved counted as on its way until it was up again.
    """
    set_burst_in_a(state)
    status = state.pool_statuses["a"]
    state.pool_statuses["a"] = status._replace(
        unmet=ROOM.cpu // 2, peak_demand=0, min_demand=0
    )
    (first,) = select(demand.plan_moves(state, NOW), core.Move)
    assert demand.plan_moves(state, NOW) == []
    lost = state.vms[first.vm]._replace(state=fleet.VmState.DOWN, worker="")
    vms = {**state.vms, first.vm: lost}
    state.on_vms(tuple(vms.values()), NOW + 1)

    (second,) = select(demand.plan_moves(state, NOW + 1), core.Move)

    assert second.vm != first.vm


@pytest.mark.parametrize("listed", [fleet.VmState.MOVING, fleet.VmState.UPKEEP])
def test_vm_on_its_way_is_not_replaced(state, listed):
    set_burst_in_a(state)
    status = state.pool_statuses["a"]
    state.pool_statuses["a"] = status._replace(
        unmet=ROOM.cpu // 2, peak_demand=0, min_demand=0
    )
    (first,) = select(demand.plan_moves(state, NOW), core.Move)
    moving = state.vms[first.vm]._replace(state=listed, worker="")
    state.on_vms(tuple({**state.vms, first.vm: moving}.values()), NOW + 1)

    assert demand.plan_moves(state, NOW + 1) == []


def test_refused_move_is_tried_again_with_a_vm_of_another_kind(state):
    """Guards against a pool that is never given VMs that it may have.

    A VM may come back from a crash as one of another kind.
    """
    set_burst_in_a(state)
    for vm in ("off0", "off1"):
        state.on_move_refused(vm, "a")
    assert select(demand.plan_moves(state, NOW), core.Move) == []
    other = state.vms["off0"]._replace(labels=("other kind",))
    state.on_vms(tuple({**state.vms, "off0": other}.values()), NOW + 1)

    (move,) = select(demand.plan_moves(state, NOW + 1), core.Move)

    assert (move.vm, move.pool) == ("off0", "a")


def test_surplus_vms_move_from_idle_pool_to_busy_one(state):
    spare = make_vm("spare", "b")
    state.on_vms((*state.vms.values(), spare), NOW)
    status = state.pool_statuses["a"]
    state.pool_statuses["a"] = status._replace(unmet=160000, idle=0, min_demand=160000)
    status = state.pool_statuses["b"]
    state.pool_statuses["b"] = status._replace(
        idle=64000, batch_capacity=64000, light=("w-spare",)
    )

    (closing,) = select(demand.plan_moves(state, NOW), core.Close)

    assert (closing.closing.vm, closing.closing.pool) == ("spare", "a")


def test_idle_surplus_vms_return_to_standby_after_delay(state):
    spare = make_vm("spare", "b")
    state.on_vms((*state.vms.values(), spare), NOW)
    status = state.pool_statuses["b"]
    state.pool_statuses["b"] = status._replace(idle=64000, bare=("w-spare",))

    assert demand.plan_moves(state, NOW) == []
    (closing,) = demand.plan_moves(state, NOW + demand.IDLE_BEFORE_STANDBY_SECONDS)
    assert closing.closing.pool == "off"


def test_vms_that_have_just_joined_are_not_returned_in_the_rise_of_a_burst(state):
    """A pool gave back 40 VMs 1.2 s after they had joined and lacked them 1 s later."""
    state.moving["spare"] = core.Moving("b", NOW - 1)
    state.on_vms((*state.vms.values(), make_vm("spare", "b")), NOW)
    status = state.pool_statuses["b"]
    state.pool_statuses["b"] = status._replace(idle=64000, bare=("w-spare",))
    demand.plan_moves(state, NOW)

    rise = NOW + demand.MIN_STAY_SECONDS - 0.1
    assert demand.plan_moves(state, rise) == []
    (closing,) = demand.plan_moves(state, NOW + demand.MIN_STAY_SECONDS)
    assert closing.closing.vm == "spare"


def test_vms_that_are_gone_have_no_time_of_joining(state):
    """Each replaced VM left one in the leader's memory."""
    state.moving["spare"] = core.Moving("b", NOW - 1)
    state.on_vms(tuple(state.vms.values()), NOW)

    assert not state.joined_at


def test_vm_that_cannot_be_drained_is_reopened(state):
    state.on_closing(record.Closing("w-a0", "a0", 0, "b"), NOW)

    late = NOW + demand.DRAIN_TIMEOUT_SECONDS + 0.1

    assert demand.plan_moves(state, late) == [core.Open("w-a0")]


def test_draining_vm_moves_once_it_is_empty(state):
    state.on_closing(record.Closing("w-a0", "a0", 0, "b"), NOW)
    mark_empty(state, "w-a0")

    assert demand.plan_moves(state, NOW) == [core.Move("a0", "b", "w-a0")]


def test_vm_that_is_not_closed_never_counts_as_empty(state):
    mark_empty(state, "w-a0")

    assert not state.is_empty(state.vms["a0"])


def test_rows_of_ended_workers_are_retained_for_new_pool_leader(state):
    state.on_closing(record.Closing("old", "a0", 1, "", True), NOW)

    assert state.list_expired_closings(NOW + 1) == []
    assert state.list_expired_closings(NOW + core.CLOSING_RETENTION_SECONDS + 1) == [
        "old"
    ]
    assert not state.is_closing("a0")


def test_worker_stays_closed_while_a_list_leaves_out_its_vm(state):
    """Guards against tasks that start on a VM that is about to go down.

    The row of a worker that had been drained for over 5 s was taken for that of an
    ended one as soon as one list was without its VM.
    """
    close_workers(state, "a0")
    later = NOW + core.CLOSING_RETENTION_SECONDS + 1
    listed = tuple(state.vms.values())
    others = tuple(vm for vm in listed if vm.id != "a0")
    state.on_vms(listed, later)
    state.on_vms(others, later + 0.3)
    assert state.list_expired_closings(later + 0.3) == []

    for age in (1.0, 2.0, 3.0):
        state.on_vms(others, later + age)
    assert state.list_expired_closings(later + 3) == ["w-a0"]


def test_only_vms_ordered_about_by_earlier_leader_are_blocked(state):
    start_wave(state, ["a0", "a1"])
    close_workers(state, "a0", "a1")
    mark_empty(state, "w-a0", "w-a1")
    state.on_order_by_earlier_leader("a0", NOW + 2.0)

    early = select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Maintain)
    later = select(wave.plan_waves(state, NOW + 2.0, MAINTENANCE_S), core.Maintain)

    assert [order.vm for order in early] == ["a1"]
    assert [order.vm for order in later] == ["a0", "a1"]


def test_closing_and_wave_rows_round_trip():
    closing = record.Closing("w", "v", 3, "p", True)
    progress = record.WaveRecord(frozenset({"x"}), {"v": "w"}, frozenset({"v"}))

    assert record.read_closing("w", record.write_closing(closing)) == closing
    assert record.read_wave(record.write_wave(progress)) == progress


@pytest.fixture
def empty_state():
    """Return the state of a fleet leader that knows no VM."""
    return core.FleetState(NOW - 10)


def test_workers_of_lost_rack_end_with_next_list_of_vms(empty_state):
    """Tasks of a lost rack were restarted only after their leases expired.

    When 20 of 50 VMs were lost, 182 jobs of one burst were 3.9 s late each, 3.8 s after
    the loss. The platform lists such VMs as down.
    """
    rack = [make_vm(f"a{n}", worker=f"w-a{n}") for n in range(20)]
    others = [make_vm(f"b{n}", "b") for n in range(5)]
    empty_state.on_vms((*rack, *others), NOW)
    down = [vm._replace(state=fleet.VmState.DOWN, worker="") for vm in rack]
    empty_state.on_vms((*down, *others), NOW + 0.3)

    lost = empty_state.list_ended_workers()

    assert {closing.worker for closing in lost} == {f"w-a{n}" for n in range(20)}
    assert all(closing.ended for closing in lost)
    for closing in lost:
        empty_state.on_closing(closing, NOW + 0.3)
    assert empty_state.list_ended_workers() == []


@pytest.mark.parametrize("listed", [fleet.VmState.MOVING, fleet.VmState.UPKEEP])
def test_worker_ends_by_order_whose_answer_was_lost(empty_state, listed):
    """After all daemons were lost during a move, its VM was waited for 7.3 s."""
    empty_state.on_closing(record.Closing("w-a0", "a0", 0, "b"), NOW)
    empty_state.on_vms((make_vm("a0", state=listed, worker=""),), NOW + 0.3)

    assert [closing.worker for closing in empty_state.list_ended_workers()] == ["w-a0"]


def test_worker_of_vm_missing_from_list_has_not_ended(empty_state):
    """Otherwise its running tasks would be started a second time."""
    empty_state.on_vms((make_vm("a0"), make_vm("a1")), NOW)
    empty_state.on_vms((make_vm("a1"),), NOW + 0.3)

    assert empty_state.list_ended_workers() == []


def test_worker_of_vm_listed_as_up_has_not_ended(empty_state):
    close_workers(empty_state, "a0")
    empty_state.on_vms((make_vm("a0"), make_vm("a1", worker="")), NOW)

    assert empty_state.list_ended_workers() == []


def test_only_lost_worker_has_ended(empty_state):
    """The VM is back with another worker, whose tasks go on."""
    empty_state.on_vms((make_vm("a0"),), NOW)
    empty_state.on_vms((make_vm("a0", state=fleet.VmState.DOWN, worker=""),), NOW + 0.3)
    (lost,) = empty_state.list_ended_workers()
    empty_state.on_closing(lost, NOW + 0.3)
    empty_state.on_vms((make_vm("a0", worker="w-next"),), NOW + 0.6)

    assert lost.worker == "w-a0"
    assert empty_state.list_ended_workers() == []
    empty_state.on_vms((make_vm("a0", worker="w-third"),), NOW + 0.9)
    assert [closing.worker for closing in empty_state.list_ended_workers()] == [
        "w-next"
    ]
    assert not empty_state.is_closing("a0")


FIRST_START, SECOND_START = 1_000, 61_000
FAR_START = 10**15
"""Start by a foreign writer, or by a clock far ahead."""


def register(state, worker, start_ms):
    """Read the entry of a worker that reports its start."""
    entry = entries.WorkerEntry(
        worker, "a", "", "dc", False, ROOM, (), start_ms=start_ms
    )
    state.on_worker(entry)
    return entry.incarnation


def list_vm(known, now, **fields):
    """List one VM whose worker keeps its id over a restart."""
    vm = make_vm("c0", worker="w", **fields)
    known.on_vms((vm,), now, dict(known.worker_starts))


@pytest.mark.parametrize("starts", [(FIRST_START, SECOND_START), (SECOND_START, 1)])
def test_worker_that_is_back_under_its_id_is_not_taken_for_ended(state, starts):
    """Guards against workers that are never used again after they were listed as down.

    The end was marked under the worker's id, and the mark stayed while a worker with
    that id was up. With a clock that had gone back, the mark was on its name.
    """
    first = register(state, "w", starts[0])
    list_vm(state, NOW)
    list_vm(state, NOW + 1, state=fleet.VmState.DOWN)
    (ended,) = state.list_ended_workers()
    state.on_closing(ended, NOW + 1)
    second = register(state, "w", starts[1])
    list_vm(state, NOW + 5)

    assert ended.worker == first
    assert state.vms["c0"].worker == second
    assert state.list_ended_workers() == []
    assert state.list_expired_closings(NOW + 10) == [first]


@pytest.mark.parametrize("starts", [(FIRST_START, SECOND_START), (SECOND_START, 1)])
def test_second_crash_under_the_same_id_is_marked_too(state, starts):
    """Guards against tasks that wait for the leases of a worker that is down."""
    for crash, start_ms in enumerate(starts):
        name = register(state, "w", start_ms)
        list_vm(state, NOW + 2 * crash)
        list_vm(state, NOW + 2 * crash + 1, state=fleet.VmState.DOWN)

        (ended,) = state.list_ended_workers()
        assert ended.worker == name
        state.on_closing(ended, NOW + 2 * crash + 1)


@pytest.mark.parametrize("read", [SECOND_START, FAR_START, 1])
@pytest.mark.parametrize("is_closed", [False, True])
def test_entry_read_after_that_of_the_live_incarnation_does_not_end_it(
    state, read, is_closed
):
    """Guards against a live worker that is marked as ended, whose tasks start again.

    The time of day went back before its start, and a late entry of the incarnation
    before or one of a foreign writer is read.
    """
    live = register(state, "w", FIRST_START)
    list_vm(state, NOW)
    if is_closed:
        state.on_closing(record.Closing(live, "c0", 1), NOW)
    register(state, "w", read)
    list_vm(state, NOW + 1)

    assert state.list_ended_workers() == []


@pytest.mark.parametrize("starts", [(FIRST_START, SECOND_START), (SECOND_START, 1)])
def test_vm_that_is_not_up_has_lost_each_incarnation_listed_before(state, starts):
    """Guards against tasks that wait for leases of a worker that is down."""
    names = []
    for number, start_ms in enumerate(starts):
        names.append(register(state, "w", start_ms))
        list_vm(state, NOW + number)
    list_vm(state, NOW + 2, state=fleet.VmState.DOWN)

    assert sorted(ended.worker for ended in state.list_ended_workers()) == sorted(names)


def test_incarnations_replaced_long_ago_are_forgotten(state):
    """Guards against a row for each restart of a worker whose VM was always up."""
    names = []
    for number in range(10):
        names.append(register(state, "w", FIRST_START + number))
        list_vm(state, NOW + number)
    list_vm(state, NOW + 10, state=fleet.VmState.DOWN)

    ended = {ended.worker for ended in state.list_ended_workers()}
    assert ended == set(names[-core.MAX_INCARNATIONS_PER_WORKER :])


def test_mark_expires_while_the_worker_is_up_with_the_same_start(state):
    """Guards against a live worker whose entries are ignored for as long as it lives.

    The time of day went back by just the time for which the worker was down, so both
    incarnations have one name, and the mark of the first was on the second.
    """
    name = register(state, "w", FIRST_START)
    for crashed_at in (NOW, NOW + 20):
        list_vm(state, crashed_at)
        list_vm(state, crashed_at + 1, state=fleet.VmState.DOWN)
        (ended,) = state.list_ended_workers()
        assert ended.worker == name
        state.on_closing(ended, crashed_at + 1)

        register(state, "w", FIRST_START)
        list_vm(state, crashed_at + 3)
        assert state.list_ended_workers() == []
        expired_at = crashed_at + 1 + core.CLOSING_RETENTION_SECONDS + 0.1
        assert state.list_expired_closings(expired_at - 0.2) == []
        assert state.list_expired_closings(expired_at) == [name]
        state.on_reopened(name)


def test_vm_that_is_up_is_not_taken_for_its_ended_worker(state):
    """Guards against an order about a live worker that was never drained.

    An entry of the former incarnation, which was drained and has ended, is read late.
    """
    first = register(state, "w", FIRST_START)
    state.on_closing(record.Closing(first, "c0", 1, ended=True), NOW)
    mark_empty(state, first)
    list_vm(state, NOW + 1)

    assert not state.is_empty(state.vms["c0"])


def test_incarnation_that_becomes_known_after_the_request_is_not_marked(state):
    """Guards against a running worker that is taken for ended.

    The list shows the VM as down, as it was before the worker was restarted.
    """
    first = register(state, "w", FIRST_START)
    list_vm(state, NOW)
    known_starts = dict(state.worker_starts)
    register(state, "w", SECOND_START)
    down = make_vm("c0", worker="w", state=fleet.VmState.DOWN)
    state.on_vms((down,), NOW + 1, known_starts)

    assert [ended.worker for ended in state.list_ended_workers()] == [first]


def test_worker_is_named_by_the_entry_read_last(state):
    """Guards against a VM that is never drained, as its worker's entries are ignored.

    A foreign writer gave a start far ahead; the worker writes its own again and again.
    """
    live = register(state, "w", FIRST_START)
    register(state, "w", FAR_START)
    register(state, "w", FIRST_START)
    list_vm(state, NOW)
    assert state.vms["c0"].worker == live

    register(state, "w", 0)
    list_vm(state, NOW + 1)
    assert state.vms["c0"].worker == live


def test_worker_whose_start_is_not_known_yet_is_not_taken_for_another(state):
    """Guards against a live worker that a new leader of the fleet marks as ended."""
    name = entries.name_incarnation("w", FIRST_START)
    state.on_closing(record.Closing(name, "c0", 1), NOW)
    list_vm(state, NOW)

    assert state.list_ended_workers() == []


def test_worker_whose_entry_was_removed_keeps_its_start_while_it_is_listed(state):
    """Guards against a worker without the store that is taken for another."""
    name = register(state, "w", FIRST_START)
    state.on_worker_removed("w")
    list_vm(state, NOW)
    assert state.vms["c0"].worker == name

    state.on_vms((), NOW + 1, dict(state.worker_starts))
    assert state.worker_starts == {}


@pytest.mark.parametrize("is_marked", [False, True])
def test_worker_is_closed_only_by_the_name_of_its_incarnation(state, is_marked):
    """Guards against a VM that counts as drained for 5 s while nobody drains it.

    The pool's leader knows no worker of the bare id. The list was requested before the
    entry was read, or the entry is one of an incarnation that has ended.
    """
    start_wave(state, ["c0"])
    first = register(state, "w", FIRST_START)
    if is_marked:
        state.on_closing(record.Closing(first, "c0", 1, ended=True), NOW)
    state.on_vms(
        (make_vm("c0", worker="w"),), NOW, state.worker_starts if is_marked else {}
    )
    assert select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Close) == []

    second = register(state, "w", SECOND_START)
    list_vm(state, NOW + 1)
    (close,) = select(wave.plan_waves(state, NOW + 1, MAINTENANCE_S), core.Close)
    assert close.closing.worker == second


def test_closing_by_a_bare_id_ends_once_the_start_is_known(state):
    """Guards against a wave that waits 5 s for each VM at a change of leaders.

    The new leader has listed VMs before it has read their workers' entries.
    """
    start_wave(state, ["c0"])
    list_vm(state, NOW)
    (close,) = select(wave.plan_waves(state, NOW, MAINTENANCE_S), core.Close)
    state.on_closing(close.closing, NOW)
    assert state.list_expired_closings(NOW) == []

    register(state, "w", FIRST_START)
    assert state.list_expired_closings(NOW) == []
    list_vm(state, NOW + 0.3)
    assert state.list_expired_closings(NOW + 0.3) == ["w"]


def test_bare_id_of_a_worker_that_reports_its_start_is_not_marked(state):
    """Guards against rows under a name that no pool's leader knows."""
    register(state, "w", FIRST_START)
    state.on_vms((make_vm("c0", worker="w"),), NOW, {})
    list_vm(state, NOW + 1, state=fleet.VmState.DOWN)

    assert state.list_ended_workers() == []


@pytest.mark.parametrize("start_ms", [SECOND_START, 1])
def test_maintained_vm_is_back_under_the_id_of_its_worker(state, start_ms):
    """Guards against a wave that never ends, or that ends before the maintenance.

    A late entry of an incarnation before the maintenance doesn't show that it is over.
    """
    first = register(state, "w", FIRST_START)
    start_wave(state, ["c0"])
    state.progress[1] = state.progress[1].order("c0", first).confirm("c0")
    state.last_ordered_at["c0"] = NOW
    list_vm(state, NOW + 1)
    wave.plan_waves(state, NOW + 1, MAINTENANCE_S)
    assert not state.progress[1].done

    register(state, "w", start_ms)
    list_vm(state, NOW + MAINTENANCE_S)
    wave.plan_waves(state, NOW + MAINTENANCE_S, MAINTENANCE_S)
    assert not state.progress[1].done

    returned = NOW + MAINTENANCE_S + wave.RETURN_MARGIN_SECONDS + 0.1
    list_vm(state, returned)
    wave.plan_waves(state, returned, MAINTENANCE_S)
    assert state.progress[1].done == {"c0"}


@pytest.mark.parametrize(
    ("name", "former", "replaced"),
    [
        ("w2", "w1", True),
        ("w1", "w1", False),
        ("w1@2", "w1@1", False),
        ("w1@1", "w1@2", False),
        ("w1", "w1@1", False),
        ("w1@1", "w1", False),
        ("w2@1", "w1@2", True),
    ],
)
def test_worker_that_proves_the_end_of_another(name, former, replaced):
    """Guards against a live worker that is marked as ended, and one that never is."""
    assert entries.has_replaced(name, former) is replaced


@pytest.mark.parametrize("read", [500, SECOND_START])
def test_closing_of_a_worker_outlasts_an_entry_that_is_read_late(state, read):
    """Guards against a worker that is reopened while it is being drained."""
    live = register(state, "w", FIRST_START)
    list_vm(state, NOW)
    state.on_closing(record.Closing(live, "c0", 1), NOW)

    register(state, "w", read)
    list_vm(state, NOW + core.CLOSING_RETENTION_SECONDS + 1)
    now = NOW + core.CLOSING_RETENTION_SECONDS + 2
    assert state.list_expired_closings(now) == []

    list_vm(state, now + core.CLOSING_RETENTION_SECONDS)
    assert state.list_expired_closings(now + core.CLOSING_RETENTION_SECONDS) == [live]


@pytest.mark.parametrize("others", [(), ("a1", "a2", "b0")])
def test_worker_that_is_restarted_while_it_is_drained_is_closed_again_at_once(
    state, others
):
    """Guards against a wave that waits 5 s for a VM that nobody drains.

    The worker was back under its id before its VM was listed as down, and its former
    incarnation's closing stays for that long. Others may be drained meanwhile.
    """
    start_wave(state, ["c0", *others], ceiling=1)
    first = register(state, "w", FIRST_START)
    list_vm(state, NOW)
    state.on_closing(record.Closing(first, "c0", 1), NOW)
    close_workers(state, *others)

    second = register(state, "w", SECOND_START)
    list_vm(state, NOW + 0.3)
    (close,) = select(wave.plan_waves(state, NOW + 0.3, MAINTENANCE_S), core.Close)
    assert close.closing.worker == second

    state.on_closing(close.closing, NOW + 0.3)
    assert select(wave.plan_waves(state, NOW + 0.4, MAINTENANCE_S), core.Close) == []
