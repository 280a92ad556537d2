import pytest

from wigeonhitch.configuration import document
from wigeonhitch.fleet import (
    batch,
    budget,
    change,
    move,
    observer,
    planner,
    state,
    wave,
)
from wigeonhitch.fleet.tests import conftest
from wigeonhitch.membership import confirmation
from wigeonhitch.platform import machines


def build_snapshot(pools, rows, *, waves=(), sick=(), count=40, **fields):
    """Return a snapshot of VMs v000, v001, ... with the given rows."""
    accepted = document.Document("f", (), (), tuple(pools), (), (), waves=waves)
    listed = {
        item["vm"]: machines.Machine(state=machines.MachineState.LIVE, **item)
        for item in conftest.build_vms(count, entries=0)
    }
    view = state.FleetView()
    view.vms = {row.vm: row for row in rows}
    view.waves = {
        w.name: state.WaveRow(w.name, state.WaveStatus.RUNNING) for w in waves
    }
    observation = state.Observation(100.0, listed, 100.0, frozenset(listed) - set(sick))
    return wave.Snapshot(view, accepted, observation, **fields)


def build_pool(name, size, required, spread="rack"):
    return document.Pool(name, "k", size, document.Budget(number=required), spread)


def build_rows(sizes):
    numbers = iter(range(1000))
    return [
        state.VmRow(f"v{next(numbers):03d}", pool)
        for pool, size in sizes.items()
        for _ in range(size)
    ]


def build_wave(*pools, end=1e6):
    return document.Wave("w", pools, document.Window(0.0, end), "kernel")


def simulate_moves(snapshot, rounds=20):
    """Drain and complete moves until none is left; return how many were made."""
    moves = 0
    for _ in range(rounds):
        budgets = snapshot.measure_budgets()
        for pool in snapshot.document.pools:
            assert budgets[pool.name].spare >= 0
        for item in move.pick_moves(snapshot).changes:
            snapshot.view.vms[item.row.vm] = item.row
            moves += 1
        for item in wave.advance(snapshot)[0]:
            assert item.step is change.Step.ARRIVE
            snapshot.view.vms[item.row.vm] = item.row
    return moves


def test_share_is_rounded_up_to_whole_vms():
    pool = document.Pool("a", "k", 30, document.Budget(share=0.1))
    assert budget.required(pool) == 3
    pool = document.Pool("a", "k", 6, document.Budget(share=0.75))
    assert budget.required(pool) == 5


def test_stops_in_one_failure_domain_do_not_exceed_the_remaining_spare():
    pool = build_pool("a", 12, 8, "data_centre")
    snapshot = build_snapshot([pool], build_rows({"a": 12}), waves=(build_wave("a"),))
    picks = batch.pick_stops(snapshot).changes
    domains = [snapshot.observation.machines[item.row.vm].data_centre for item in picks]
    # Four spare VMs: two stops in d0 leave two spare, a third would leave only one.
    assert sorted(domains) == ["d0", "d0", "d1", "d2"]


def test_partitioned_runner_stops_no_vm():
    rows = build_rows({"a": 6})
    all_vms = [row.vm for row in rows]
    snapshot = build_snapshot(
        [build_pool("a", 6, 4)], rows, waves=(build_wave("a"),), sick=all_vms
    )
    assert not batch.pick_stops(snapshot).changes


@pytest.mark.parametrize("end", [50.0, 150.0])
def test_no_stop_begins_too_close_to_the_end_of_the_window(end):
    item = build_wave("a", end=end)
    snapshot = build_snapshot(
        [build_pool("a", 6, 4)], build_rows({"a": 6}), waves=(item,)
    )
    assert "closed" in batch.pick_stops(snapshot).waiting["w"]


def test_daemon_counts_as_gone_only_by_a_list_newer_than_its_expiry():
    row = state.VmRow("v000", "a", state.VmState.DRAINING, version=7)

    def find_daemons(*daemons):
        unconfirmed = wave.find_unconfirmed(
            build_snapshot([], [], daemons=daemons), row
        )
        return [item.daemon for item in unconfirmed]

    daemon = confirmation.DaemonRow("d", "e1", 30.0, 6, frozenset(), 1, {})
    assert find_daemons(daemon) == []
    # Its last requests may run for 60 s after its row has expired.
    assert find_daemons(daemon._replace(expires=95.0)) == ["d"]
    assert find_daemons(daemon._replace(expires=100.0)) == ["d"]
    assert find_daemons(daemon._replace(vm="v001")) == ["d"]
    # A new daemon on a VM that the list does not show yet, beside an old row.
    assert find_daemons(daemon, daemon._replace(daemon="n", expires=105.0)) == [
        "d",
        "n",
    ]


def test_silence_counts_from_the_first_observation_of_the_drain():
    row = state.VmRow("v000", "a", state.VmState.DRAINING, version=7, since=10.0)
    rows = [
        confirmation.DaemonRow(name, "v001", expires, drain, frozenset(), 3, {})
        for name, expires, drain in (("d", 20.0, 6), ("e", 110, 7), ("f", 110, 7))
    ]
    for seen_at, expected in ((20.0, 0), (40.0, 1)):
        snapshot = build_snapshot([], [], daemons=rows, drain_seen_at={"v000": seen_at})
        assert len(wave.find_unconfirmed(snapshot, row)) == expected


def test_reboot_waits_for_a_list_newer_than_the_drain():
    row = state.VmRow("v000", "a", state.VmState.DRAINING, "w", since=101.0, version=7)
    rows = [row, *build_rows({"a": 6})[1:]]
    snapshot = build_snapshot(
        [build_pool("a", 6, 4)], rows, waves=(build_wave("a"),), daemons_revision=7
    )
    steps, waiting = wave.advance(snapshot)
    assert not steps and "older than the drain" in waiting["v000"]


def test_pools_reach_their_sizes_with_the_fewest_moves():
    # Two pools have too few VMs, two have too many, and one has its size.
    current = {"gas": 4, "moisture": 9, "voltage": 4, "trend": 7, "billing": 6}
    intended = {"gas": 8, "moisture": 5, "voltage": 6, "trend": 5, "billing": 6}
    pools = [
        build_pool(name, size, min(size, current[name]) - 1)
        for name, size in intended.items()
    ]
    snapshot = build_snapshot(pools, build_rows(current))
    assert simulate_moves(snapshot) == 6
    sizes = {name: len(snapshot.view.members(name)) for name in intended}
    assert sizes == intended


def test_pools_without_a_spare_borrow_one_vm_after_the_other():
    pools = [build_pool(name, 3, 3) for name in "abc"] + [build_pool("spare", 1, 0)]
    item = build_wave("a", "b", "c", "spare")
    snapshot = build_snapshot(
        pools, build_rows({"a": 3, "b": 3, "c": 3, "spare": 1}), waves=(item,)
    )
    sizes = move.compute_intended_sizes(snapshot)
    assert sizes == {"a": 4, "b": 3, "c": 3, "spare": 0}
    for row in snapshot.view.members("a"):
        snapshot.view.vms[row.vm] = row._replace(done=("w",))
    assert move.compute_intended_sizes(snapshot)["b"] == 4


def test_buffer_replaces_a_lost_vm():
    pools = [build_pool("a", 3, 3), build_pool("spare", 1, 0)]
    rows = build_rows({"a": 2}) + [state.VmRow("v009", "spare")]
    (item,) = move.pick_moves(build_snapshot(pools, rows)).changes
    assert (item.row.vm, item.row.target) == ("v009", "a")


def test_unassigned_vms_are_spread_over_failure_domains():
    snapshot = build_snapshot(
        [build_pool("a", 3, 2), build_pool("b", 3, 2)], [], count=12
    )
    assignments = move.assign_vms(snapshot)
    for name in "ab":
        racks = [
            snapshot.observation.machines[item.row.vm].rack
            for item in assignments
            if item.row.pool == name
        ]
        assert len(racks) == len(set(racks)) == 3


def test_schedule_gives_every_pool_a_window_in_four_weeks():
    rollouts = {f"p{number}": 7 * 300.0 for number in range(128)}
    windows = planner.schedule(
        rollouts,
        start=0.0,
        period=28 * planner.DAY_SECONDS,
        window_offset=7200.0,
        window_length=14400.0,
    )
    assert len(windows) == 128
    days = [int(window.start // planner.DAY_SECONDS) for window in windows.values()]
    assert max(days.count(day) for day in range(28)) == 5
    with pytest.raises(ValueError, match="longer window"):
        planner.schedule(
            {"a": 2.0},
            start=0,
            period=planner.DAY_SECONDS,
            window_offset=0,
            window_length=1.0,
        )


def test_weights_decide_between_a_shared_and_an_own_buffer():
    demands = [planner.Demand(f"p{number}", 5) for number in range(5)]
    best = {
        weights: planner.compare(demands, stop=300.0, drain=60.0, weights=weights)[0]
        for weights in (document.Weights(5, 1, 1), document.Weights(1, 5, 5))
    }
    shared, own = best.values()
    assert shared.name.startswith("shared") and own.name == "per pool"


def test_only_workers_that_a_decision_depends_on_are_checked():
    rows = build_rows({"a": 3, "b": 3, "c": 3})
    snapshot = build_snapshot(
        [build_pool(name, 3, 2) for name in "abc"], rows, waves=(build_wave("a", "b"),)
    )
    names = [row.vm for row in rows]
    assert observer.list_vms_to_check(snapshot) == names[:6]
    rebooting = rows[0]._replace(state=state.VmState.REBOOTING, boot=0, wave="w")
    snapshot.view.vms[names[0]] = rebooting
    assert observer.list_vms_to_check(snapshot) == names[3:6]
    draining = rows[0]._replace(state=state.VmState.DRAINING, wave="w")
    snapshot.view.vms[names[0]] = draining
    assert observer.list_vms_to_check(snapshot) == names[:6]
    snapshot.view.vms[names[8]] = rows[8]._replace(state=state.VmState.CHECKING)
    assert names[8] in observer.list_vms_to_check(snapshot)


@pytest.mark.parametrize("name", ["REBOOTING", "CHECKING"])
def test_pool_is_checked_when_a_vm_that_is_back_makes_a_stop_possible(name):
    rows = build_rows({"a": 3, "b": 3})
    rows[0] = rows[0]._replace(state=state.VmState[name], boot=0, wave="w")
    snapshot = build_snapshot(
        [build_pool(name, 3, 2) for name in "ab"], rows, waves=(build_wave("a"),)
    )
    assert observer.list_vms_to_check(snapshot) == []
    listed = snapshot.observation.machines
    listed["v000"] = listed["v000"]._replace(boot=1)
    assert observer.list_vms_to_check(snapshot) == ["v000", "v001", "v002"]
    assert snapshot.view.vms["v000"] == rows[0]


@pytest.mark.parametrize("name", ["REBOOTING", "CHECKING", "DOWN"])
def test_stopped_vm_returns_only_with_a_higher_boot_number(name):
    # A late reboot request for this boot number could still cut requests off.
    row = state.VmRow("v000", "a", state.VmState[name], "w", since=99.0, boot=0)
    for boot, count in ((0, 0), (1, 1)):
        snapshot = build_snapshot([build_pool("a", 1, 0)], [row])
        listed = snapshot.observation.machines
        listed["v000"] = listed["v000"]._replace(boot=boot)
        assert len(wave.advance(snapshot)[0]) == count


STOPS = [
    {"state": state.VmState.DRAINING, "wave": "x"},
    {"state": state.VmState.REBOOTING, "wave": "x"},
    {"state": state.VmState.CHECKING, "wave": "x"},
    {"state": state.VmState.DRAINING, "target": "b"},
    {"state": state.VmState.DRAINING, "pool": "b", "target": "a"},
]


@pytest.mark.parametrize(
    "stop", STOPS, ids=["drains", "reboots", "is checked", "leaves", "joins"]
)
def test_wave_is_not_finished_while_its_last_vm_is_under_another_stop(stop):
    """Guards against a wave that is done without one of its VMs.

    Only VMs that are up counted as pending. One that another wave or a move had
    stopped came back later, and a wave that is done isn't looked at again.
    """
    rows = [
        state.VmRow("v000", "a", done=("w",)),
        state.VmRow("v001", "a")._replace(**stop),
    ]
    pools = [build_pool("a", 2, 0), build_pool("b", 1, 0)]
    waves = (build_wave("a"), build_wave("a")._replace(name="x"))
    snapshot = build_snapshot(pools, rows, waves=waves)
    finished = {item.name for item in batch.list_finished(snapshot)}
    assert "w" not in finished

    snapshot.view.vms["v001"] = rows[1]._replace(done=("w",))
    assert "w" in {item.name for item in batch.list_finished(snapshot)}


def test_wave_is_finished_without_a_vm_that_is_down():
    rows = [state.VmRow("v000", "a", state.VmState.DOWN, "x")]
    snapshot = build_snapshot([build_pool("a", 1, 0)], rows, waves=(build_wave("a"),))

    assert [item.name for item in batch.list_finished(snapshot)] == ["w"]
