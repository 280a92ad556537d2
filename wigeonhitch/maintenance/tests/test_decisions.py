"""Waves under their ceilings, and VMs that follow demand."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.maintenance import core, demand, record, wave
from wigeonhitch.platform import entries, fleet
from wigeonhitch.pool import record as pool_record

NOW = 100.0
UPKEEP = 2.0
ROOM = model.Room(32000, 65536)


def make_vm(id, pool="a", *, state=fleet.VmState.UP, worker=None):
    worker = f"w-{id}" if worker is None else worker
    return fleet.Vm(id, pool, state, "dc", (), ROOM, worker)


@pytest.fixture
def state():
    made = core.Fleet(NOW - 10)
    made.pools = {
        "a": model.Pool("a"),
        "b": model.Pool("b"),
        "off": model.Pool("off", standby=True),
    }
    made.home = {"a": 6, "b": 6, "off": 2}
    listed = [make_vm(f"{pool}{n}", pool) for pool in "ab" for n in range(6)]
    listed += [make_vm(f"off{n}", "off", worker="") for n in range(2)]
    made.on_vms(tuple(listed), NOW)
    for pool in "ab":
        made.boards[pool] = pool_record.PoolStatus({}, 0, 20000)
    return made


def order_wave(state, vms, ceiling=2, within=26.0):
    state.on_wave(entries.WaveOrder(1, tuple(vms), within, ceiling), NOW)
    state.shown[1] = False


def pick(actions, kind):
    return [one for one in actions if isinstance(one, kind)]


def empty(state, *workers):
    for pool in "ab":
        board = state.boards[pool]
        state.boards[pool] = board._replace(empty=workers)


def close(state, *vms):
    for vm in vms:
        state.on_closing(record.Closing(f"w-{vm}", vm, 1), NOW)


def test_only_vms_shown_empty_go_down_and_never_more_than_the_ceiling(state):
    order_wave(state, ["a0", "a1", "b0", "b1"])
    close(state, "a0", "a1", "b0")
    assert pick(wave.plan_waves(state, NOW, UPKEEP), core.Maintain) == []

    empty(state, "w-a0", "w-a1", "w-b0")
    orders = pick(wave.plan_waves(state, NOW, UPKEEP), core.Maintain)
    assert len(orders) == 2


def test_a_vm_that_was_ordered_counts_under_the_ceiling_until_it_is_back(state):
    order_wave(state, ["a0", "a1", "b0"])
    state.progress[1] = state.progress[1].order("a0", "w-a0").order("a1", "w-a1")
    close(state, "b0")
    empty(state, "w-b0")

    assert pick(wave.plan_waves(state, NOW, UPKEEP), core.Maintain) == []


def test_an_order_without_an_answer_counts_and_is_given_again(state):
    order_wave(state, ["a0"], ceiling=1)
    close(state, "a0")
    empty(state, "w-a0")
    state.progress[1] = state.progress[1].order("a0", "w-a0")
    state.ordered_at["a0"] = NOW

    assert pick(wave.plan_waves(state, NOW, UPKEEP), core.Maintain) == []
    later = pick(wave.plan_waves(state, NOW + 1.5, UPKEEP), core.Maintain)
    assert [one.vm for one in later] == ["a0"]


def test_a_new_life_alone_does_not_make_a_vm_through(state):
    """A worker that crashed between the order and its answer has a new life."""
    order_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "an earlier life")
    state.on_vms((make_vm("a0"),), NOW + 5)

    wave.plan_waves(state, NOW + 5, UPKEEP)

    assert state.progress[1].done == frozenset()


def test_a_life_at_a_later_order_does_not_show_its_vm_as_through(state):
    """What could be seen: more VMs down for a wave than its ceiling allows.

    How: an order was given again to a VM's second life and carried out on that; the
    VM's list still showed this life, and it isn't the one at the first order.

    Cause: another life than the first stood for one after the upkeep. It must be
    another than at the last order too, or the upkeep's time must have passed.
    """
    order_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "first").confirm("a0")
    state.ordered_at["a0"] = NOW
    state.ordered_life["a0"] = "w-a0"
    state.on_vms((make_vm("a0"),), NOW + 1)

    assert pick(wave.plan_waves(state, NOW + 1, UPKEEP), core.Show) == []

    state.on_vms((make_vm("a0"),), NOW + 3)
    assert pick(wave.plan_waves(state, NOW + 3, UPKEEP), core.Show)


def test_a_wave_is_completed_once_all_are_back(state):
    order_wave(state, ["a0"])
    state.progress[1] = state.progress[1].order("a0", "w-a0").confirm("a0")
    state.ordered_at["a0"] = NOW
    state.on_vms((make_vm("a0", state=fleet.VmState.UPKEEP),), NOW + 1)
    assert pick(wave.plan_waves(state, NOW + 1, UPKEEP), core.Show) == []

    state.on_vms((make_vm("a0", worker="a new life"),), NOW + 3)
    (shown,) = pick(wave.plan_waves(state, NOW + 3, UPKEEP), core.Show)
    assert shown.completed


def test_a_standby_vm_without_a_worker_is_through_after_its_upkeep(state):
    order_wave(state, ["off0"])
    (ordered,) = pick(wave.plan_waves(state, NOW, UPKEEP), core.Maintain)
    assert ordered.vm == "off0"
    state.progress[1] = state.progress[1].order("off0", "").confirm("off0")
    state.ordered_at["off0"] = NOW

    vms = tuple(state.vms.values())
    state.on_vms(vms, NOW + 1)
    assert pick(wave.plan_waves(state, NOW + 1, UPKEEP), core.Show) == []
    state.on_vms(vms, NOW + 3)
    assert pick(wave.plan_waves(state, NOW + 3, UPKEEP), core.Show)[0].completed


def test_a_vm_whose_upkeep_was_refused_has_tasks_again(state):
    order_wave(state, ["a0", "a1"])
    close(state, "a0", "a1")
    state.progress[1] = state.progress[1].finish({"a0"})

    (opened,) = pick(wave.plan_waves(state, NOW, UPKEEP), core.Open)

    assert opened.worker == "w-a0"


def test_no_wave_is_completed_before_the_vms_are_listed(state):
    order_wave(state, ["a0"])
    state.vms = {}

    assert pick(wave.plan_waves(state, NOW, UPKEEP), core.Show) == []


def test_few_vms_of_a_pool_are_vacated_at_once(state):
    order_wave(state, [f"a{n}" for n in range(6)], ceiling=6)

    assert len(pick(wave.plan_waves(state, NOW, UPKEEP), core.Close)) == 2


def test_a_pool_in_its_burst_is_left_alone_until_time_gets_short(state):
    order_wave(state, ["a0"])
    state.boards["a"] = state.boards["a"]._replace(unmet=64000)

    assert pick(wave.plan_waves(state, NOW, UPKEEP), core.Close) == []
    assert pick(wave.plan_waves(state, NOW + 20, UPKEEP), core.Close)


def test_a_burst_takes_the_standby_vms_at_once(state):
    state.boards["a"] = state.boards["a"]._replace(unmet=64000, idle=0)

    moves = pick(demand.plan_moves(state, NOW), core.Move)

    assert [(one.vm, one.pool) for one in moves] == [("off0", "a"), ("off1", "a")]
    assert demand.plan_moves(state, NOW) == []


def test_a_burst_seen_from_what_is_handed_in_takes_vms_before_the_pool_is_full(state):
    board = state.boards["a"]
    state.boards["a"] = board._replace(
        peak_demand=256000, min_demand=100000, batch_capacity=192000
    )

    moves = pick(demand.plan_moves(state, NOW), core.Move)

    assert [one.pool for one in moves] == ["a", "a"]


def test_a_pool_whose_burst_is_over_gives_vms_while_it_still_works(state):
    """Its work under way would be in time with half of the VMs that it has."""
    extra = [make_vm(f"x{n}", "b") for n in range(6)]
    state.on_vms((*state.vms.values(), *extra), NOW)
    light = tuple(f"w-x{n}" for n in range(6))
    state.boards["a"] = pool_record.PoolStatus(
        {}, peak_demand=350000, min_demand=350000, batch_capacity=192000
    )
    state.boards["b"] = pool_record.PoolStatus(
        {},
        0,
        0,
        light=light,
        peak_demand=380000,
        min_demand=192000,
        batch_capacity=384000,
    )

    closed = pick(demand.plan_moves(state, NOW), core.Close)

    assert {one.closing.vm for one in closed} <= {one.id for one in extra}
    assert len(closed) == 3


def test_a_burst_on_a_large_site_takes_all_its_standby_vms_at_once(state):
    listed = list(state.vms.values())
    listed += [make_vm(f"off{n}", "off", worker="") for n in range(2, 28)]
    state.on_vms(tuple(listed), NOW)
    state.boards["a"] = pool_record.PoolStatus({}, 40 * 32000, 0)

    moves = pick(demand.plan_moves(state, NOW), core.Move)

    assert len(moves) == 28


@pytest.mark.parametrize(("orders_per_second", "sent"), [(310.0, 105), (64.0, 32)])
def test_hundreds_of_vms_are_sent_to_a_burst_as_fast_as_the_platform_takes_orders(
    state, orders_per_second, sent
):
    """A burst that asks for 100 VMs of 276: at 32 at once the last came 4.5 s later."""
    state.moves_at_once = demand.compute_moves_at_once(orders_per_second)
    spare = [make_vm(f"off{n}", "off", worker="") for n in range(105)]
    state.on_vms(tuple(spare), NOW)
    state.boards["a"] = pool_record.PoolStatus({}, 200 * ROOM.cpu)

    assert len(pick(demand.plan_moves(state, NOW), core.Move)) == sent


def test_a_burst_asks_for_what_piles_up_until_vms_come(state):
    """It lacks one VM's room, so three are sent, as many as can be had."""
    more = [make_vm(f"off{n}", "off", worker="") for n in range(2, 6)]
    state.on_vms((*state.vms.values(), *more), NOW)
    state.boards["a"] = pool_record.PoolStatus(
        {},
        peak_demand=100000,
        min_demand=100000,
        batch_capacity=192000,
        arriving_demand=224000,
    )

    assert len(pick(demand.plan_moves(state, NOW), core.Move)) == 3


def test_a_burst_that_the_pool_holds_itself_asks_for_nothing(state):
    state.boards["a"] = pool_record.PoolStatus(
        {},
        peak_demand=180000,
        min_demand=100000,
        batch_capacity=192000,
        arriving_demand=180000,
    )

    assert demand.plan_moves(state, NOW) == []


def test_vms_that_can_go_at_once_are_taken_before_those_that_run_something(state):
    extra = [make_vm(f"x{n}", "b") for n in range(2)]
    state.on_vms((*state.vms.values(), *extra), NOW)
    set_burst(state, room=256000, bare=0)
    light, bare = ("w-x0", "w-x1"), ("w-x1",)
    state.boards["b"] = state.boards["b"]._replace(light=light, bare=bare)

    closed = pick(demand.plan_moves(state, NOW), core.Close)

    assert [one.closing.vm for one in closed] == ["x1", "x0"]


def set_burst(state, *, room=192000, least=0, bare=6, unmet=0):
    """Pool a is asked for much more than it holds; b is between two bursts."""
    state.boards["a"] = pool_record.PoolStatus(
        {}, 320000, peak_demand=640000, min_demand=640000
    )
    light = tuple(f"w-b{n}" for n in range(bare))
    state.boards["b"] = pool_record.PoolStatus(
        {}, unmet, room, light=light, bare=light, min_demand=least, batch_capacity=room
    )


def test_an_idle_pool_lends_at_most_a_third_of_its_own_vms(state):
    set_burst(state)

    closed = pick(demand.plan_moves(state, NOW), core.Close)

    assert [one.closing.vm for one in closed] == ["b0", "b1"]
    for one in closed:
        state.on_closing(one.closing, NOW)
    assert pick(demand.plan_moves(state, NOW), core.Close) == []


def test_a_large_idle_pool_lends_more(state):
    """Eleven of 33 VMs, where a burst asks for more than all spare ones hold."""
    more = [make_vm(f"b{n}", "b") for n in range(6, 33)]
    state.on_vms((*state.vms.values(), *more), NOW)
    state.home["b"] = 33
    set_burst(state, room=33 * 32000, bare=33)

    assert len(pick(demand.plan_moves(state, NOW), core.Close)) == 11


@pytest.mark.parametrize(
    "fields",
    [{"least": 100000}, {"unmet": 4000}, {"bare": 0}],
    ids=["needs its room", "misses room itself", "runs something everywhere"],
)
def test_a_pool_that_needs_its_own_vms_keeps_them_in_anothers_burst(state, fields):
    set_burst(state, **fields)

    assert pick(demand.plan_moves(state, NOW), core.Close) == []


def test_a_lender_gets_its_vms_back_before_any_is_switched_off(state):
    listed = [one for one in state.vms.values() if one.id != "b0"]
    state.on_vms((*listed, make_vm("b0", "a"), make_vm("spare", "a")), NOW)
    bare = ("w-b0", "w-spare")
    state.boards["a"] = pool_record.PoolStatus(
        {}, 0, 96000, bare=bare, batch_capacity=256000
    )
    demand.plan_moves(state, NOW)

    closed = pick(demand.plan_moves(state, NOW + demand.IDLE_FOR), core.Close)

    assert [one.closing.pool for one in closed] == ["b", "off"]


def test_a_vm_that_may_never_go_to_a_pool_is_opened_and_not_tried_again(state):
    set_burst(state)
    (first, _) = pick(demand.plan_moves(state, NOW), core.Close)
    state.on_closing(first.closing, NOW)
    state.on_refused(first.closing.vm, first.closing.pool)

    actions = demand.plan_moves(state, NOW)
    state.on_opened(first.closing.worker)
    later = pick(demand.plan_moves(state, NOW), core.Close)

    assert core.Open(first.closing.worker) in actions
    assert first.closing.vm not in [one.closing.vm for one in later]


def test_spare_vms_go_from_an_idle_pool_to_a_pressed_one(state):
    spare = make_vm("spare", "b")
    state.on_vms((*state.vms.values(), spare), NOW)
    board = state.boards["a"]
    state.boards["a"] = board._replace(unmet=160000, idle=0, min_demand=160000)
    board = state.boards["b"]
    state.boards["b"] = board._replace(
        idle=64000, batch_capacity=64000, light=("w-spare",)
    )

    (closing,) = pick(demand.plan_moves(state, NOW), core.Close)

    assert (closing.closing.vm, closing.closing.pool) == ("spare", "a")


def test_idle_spare_vms_are_switched_off_after_a_while(state):
    spare = make_vm("spare", "b")
    state.on_vms((*state.vms.values(), spare), NOW)
    board = state.boards["b"]
    state.boards["b"] = board._replace(idle=64000, bare=("w-spare",))

    assert demand.plan_moves(state, NOW) == []
    (closing,) = demand.plan_moves(state, NOW + demand.IDLE_FOR)
    assert closing.closing.pool == "off"


def test_a_vm_that_can_not_be_emptied_is_opened_again(state):
    state.on_closing(record.Closing("w-a0", "a0", 0, "b"), NOW)

    late = NOW + demand.GIVE_UP_AFTER + 0.1

    assert demand.plan_moves(state, late) == [core.Open("w-a0")]


def test_a_vm_being_vacated_moves_once_it_is_empty(state):
    state.on_closing(record.Closing("w-a0", "a0", 0, "b"), NOW)
    empty(state, "w-a0")

    assert demand.plan_moves(state, NOW) == [core.Move("a0", "b", "w-a0")]


def test_an_unclosed_vm_is_never_taken_for_empty(state):
    empty(state, "w-a0")

    assert not state.is_empty(state.vms["a0"])


def test_rows_of_ended_lives_are_kept_for_a_new_leader_of_the_pool(state):
    state.on_closing(record.Closing("old", "a0", 1, "", True), NOW)

    assert state.list_stale_closings(NOW + 1) == []
    assert state.list_stale_closings(NOW + core.CLOSINGS_KEPT + 1) == ["old"]
    assert not state.is_closing("a0")


def test_only_the_vms_an_earlier_leader_ordered_about_are_left_alone(state):
    order_wave(state, ["a0", "a1"])
    close(state, "a0", "a1")
    empty(state, "w-a0", "w-a1")
    state.on_earlier_order("a0", NOW + 2.0)

    early = pick(wave.plan_waves(state, NOW, UPKEEP), core.Maintain)
    later = pick(wave.plan_waves(state, NOW + 2.0, UPKEEP), core.Maintain)

    assert [one.vm for one in early] == ["a1"]
    assert [one.vm for one in later] == ["a0", "a1"]


def test_rows_keep_closings_and_waves():
    closing = record.Closing("w", "v", 3, "p", True)
    progress = record.WaveRecord(frozenset({"x"}), {"v": "w"}, frozenset({"v"}))

    assert record.read_closing("w", record.write_closing(closing)) == closing
    assert record.read_wave(record.write_wave(progress)) == progress


@pytest.fixture
def fresh():
    """A leader of moves that hasn't heard of any VM."""
    return core.Fleet(NOW - 10)


def test_a_lost_rack_of_twenty_is_told_by_the_next_list_of_vms(fresh):
    """Tasks of a rack that went dark began again only when leases had run out.

    What was seen: 182 jobs of one burst 3.9 s late each, 3.8 s after the loss of 20 of
    50 VMs. The platform lists such VMs as down.
    """
    rack = [make_vm(f"a{n}", worker=f"w-a{n}") for n in range(20)]
    others = [make_vm(f"b{n}", "b") for n in range(5)]
    fresh.on_vms((*rack, *others), NOW)
    down = [one._replace(state=fleet.VmState.DOWN, worker="") for one in rack]
    fresh.on_vms((*down, *others), NOW + 0.3)

    lost = fresh.list_lost()

    assert {one.worker for one in lost} == {f"w-a{n}" for n in range(20)}
    assert all(one.ended for one in lost)
    for one in lost:
        fresh.on_closing(one, NOW + 0.3)
    assert fresh.list_lost() == []


@pytest.mark.parametrize("listed", [fleet.VmState.MOVING, fleet.VmState.UPKEEP])
def test_an_order_whose_answer_was_lost_is_told_as_the_end_of_its_life(fresh, listed):
    """All daemons were lost as a move was ordered; its VM was waited out for 7.3 s."""
    fresh.on_closing(record.Closing("w-a0", "a0", 0, "b"), NOW)
    fresh.on_vms((make_vm("a0", state=listed, worker=""),), NOW + 0.3)

    assert [one.worker for one in fresh.list_lost()] == ["w-a0"]


def test_a_vm_that_a_list_leaves_out_is_not_told_as_lost(fresh):
    """Its runs would start again beside themselves."""
    fresh.on_vms((make_vm("a0"), make_vm("a1")), NOW)
    fresh.on_vms((make_vm("a1"),), NOW + 0.3)

    assert fresh.list_lost() == []


def test_a_life_that_is_listed_with_its_vm_up_goes_on(fresh):
    close(fresh, "a0")
    fresh.on_vms((make_vm("a0"), make_vm("a1", worker="")), NOW)

    assert fresh.list_lost() == []


def test_only_the_life_that_was_lost_is_told_as_ended(fresh):
    """The VM is back with another life, whose tasks go on."""
    fresh.on_vms((make_vm("a0"),), NOW)
    fresh.on_vms((make_vm("a0", state=fleet.VmState.DOWN, worker=""),), NOW + 0.3)
    (lost,) = fresh.list_lost()
    fresh.on_closing(lost, NOW + 0.3)
    fresh.on_vms((make_vm("a0", worker="w-next"),), NOW + 0.6)

    assert lost.worker == "w-a0"
    assert fresh.list_lost() == []
    fresh.on_vms((make_vm("a0", worker="w-third"),), NOW + 0.9)
    assert [one.worker for one in fresh.list_lost()] == ["w-next"]
    assert not fresh.is_closing("a0")
