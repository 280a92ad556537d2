import pytest

from standins import platformfleet
from wigeonhitch.configuration import document
from wigeonhitch.fleet import move, state, view
from wigeonhitch.fleet.tests import conftest

pytestmark = pytest.mark.anyio


async def run_rounds(world, fleet_runner, rounds=60, confirms=True):
    for _ in range(rounds):
        await fleet_runner.step()
        if confirms:
            world.confirm("d1")
        world.fake.advance(2.0)


def count_boots(world):
    live = world.fake.engine.fleet.live.values()
    return {item.vm: item.boot for item in live if item.role == "worker"}


async def test_wave_reboots_each_vm_once_and_finishes(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("w")
    await run_rounds(world, fleet_runner)
    assert set(count_boots(world).values()) == {1}
    assert world.store.read(["wave/w"])[0].value["status"] == "done"
    assert {row.state for row in world.vms().values()} == {state.VmState.UP}
    assert world.store.read(["pool/a"])[0].value == {"taken": []}


async def test_no_reboot_before_every_daemon_confirmed(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("w")
    world.confirm("d2")
    await run_rounds(world, fleet_runner, 10)
    assert set(count_boots(world).values()) == {0}
    draining = [vm for vm, row in world.vms().items() if row.state.value == "draining"]
    assert len(draining) == 2
    world.confirm("d2", busy=draining)
    await run_rounds(world, fleet_runner, 10)
    assert set(count_boots(world).values()) == {0}
    world.confirm("d2")
    await run_rounds(world, fleet_runner, 5)
    assert max(count_boots(world).values()) == 1


async def test_lost_vm_delays_the_wave_and_gives_the_draining_vm_back(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("x")
    await fleet_runner.step()
    taken = [row for row in world.vms().values() if row.state.value == "draining"]
    assert len(taken) == 1
    lost = next(
        vm for vm, row in world.vms().items() if row.pool == "a" and vm != taken[0].vm
    )
    world.sick.add(lost)
    await run_rounds(world, fleet_runner, 10)
    boots = count_boots(world)
    # The unhealthy VM may be rebooted, since its stop uses no budget.
    assert {vm for vm, boot in boots.items() if boot} <= {lost}
    assert world.vms()[taken[0].vm].state is state.VmState.UP
    world.sick.clear()
    await run_rounds(world, fleet_runner)
    assert world.store.read(["wave/x"])[0].value["status"] == "done"


async def test_vm_that_does_not_return_is_marked_down_and_the_wave_continues(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.fake.change_fleet(never_back=["v000"])
    world.accepted = conftest.build_document(
        ("a", "b"), {"w": ("a", "b")}, required=2, size=4
    )
    world.start("w")
    await run_rounds(world, fleet_runner, 120)
    rows = world.vms()
    assert rows.pop("v000").state is state.VmState.DOWN
    assert {row.state for row in rows.values()} == {state.VmState.UP}
    assert world.store.read(["wave/w"])[0].value["status"] == "done"
    assert world.store.read(["pool/a"])[0].value == {"taken": []}


async def test_planned_stops_wait_while_the_store_is_down(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("w")
    await fleet_runner.step()
    world.confirm("d1")
    world.fake.switch(down=True)
    assert "table" in await fleet_runner.step()
    assert set(count_boots(world).values()) == {0}
    world.fake.switch(down=False)
    await run_rounds(world, fleet_runner)
    assert set(count_boots(world).values()) == {1}


async def test_paused_wave_begins_no_stop(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("w")
    await fleet_runner.step()
    world.start("w", "paused")
    await run_rounds(world, fleet_runner, 10)
    assert set(count_boots(world).values()) == {0}
    assert world.store.read(["pool/a"])[0].value == {"taken": []}


@pytest.mark.parametrize("loses", [False, True], ids=["killed", "answer lost"])
async def test_wave_finishes_although_its_runner_dies_at_every_step(world, loses):
    for _ in range(400):
        fleet_runner = world.build()
        client = fleet_runner.seen.platform.table
        client.kill_after = 1
        if loses:
            world.fake.switch(lose={"prefix": "/table/commit", "every": 2})
        if not world.store.read(["wave/w"])[0].version and len(world.vms()) == 8:
            world.start("w")
        try:
            for _ in range(3):
                await fleet_runner.step()
                world.confirm("d1")
                world.fake.advance(2.0)
        except conftest.Killed:
            continue
        row = world.store.read(["wave/w"])[0]
        if row.value and row.value["status"] == "done":
            break
    assert world.store.read(["wave/w"])[0].value["status"] == "done"
    assert set(count_boots(world).values()) == {1}


@pytest.mark.parametrize("moment", ["between scans", "after the round"])
async def test_late_commit_of_the_same_holder_does_not_exceed_the_budget(world, moment):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("x")
    world.fake.switch(late={"prefix": "/table/commit", "next": 100, "seconds": 30.0})
    await fleet_runner.step()
    world.fake.switch(late=None)
    pool = [vm for vm, row in world.vms().items() if row.pool == "a"]
    # The late commit stops the first VM. The last VM now fails and may be stopped
    # as well, which uses no budget, but both stops together would exceed it.
    world.sick.add(pool[-1])

    async def land(_):
        assert world.fake.land()

    if moment == "between scans":
        world.write(state.SIGNAL, {})
        client = fleet_runner.seen.platform.table
        client.interrupt, client.trip = land, 1
    await fleet_runner.step()
    assert moment == "between scans" or world.fake.land()
    up = [vm for vm in pool if world.vms()[vm].state is state.VmState.UP]
    assert len(up) == 3


async def test_fleet_is_reshaped_when_the_document_changes(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    pools = world.accepted.pools
    sized = (pools[0]._replace(size=3), pools[1]._replace(size=5))
    world.accepted = world.accepted._replace(pools=sized)
    world.confirm("d1", drain=0)
    await run_rounds(world, fleet_runner, 3, confirms=False)
    (moving,) = (row for row in world.vms().values() if row.target)
    assert (moving.pool, moving.state) == ("a", state.VmState.DRAINING)
    await run_rounds(world, fleet_runner, 3)
    assert sum(row.pool == "b" for row in world.vms().values()) == 5
    assert set(count_boots(world).values()) == {0}


async def test_leaving_vm_gets_no_new_work_within_seconds(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 5)
    world.fake.change_fleet(leaving="v001")
    await run_rounds(world, fleet_runner, 4)
    follower = view.Follower(world.fake.client)
    assert await follower.refresh()
    usable = view.list_usable(follower.view, world.fake.engine.fleet.live)
    workers = [worker.vm for pool in usable.pools.values() for worker in pool]
    assert len(workers) == 7 and "v001" in usable.drains


async def test_vm_missing_for_long_is_replaced_in_its_pool(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    gone = world.vms()["v001"]
    world.fake.change_fleet(remove="v001")
    new = conftest.build_vms(9)[-1]
    world.fake.change_fleet(add=new)
    await run_rounds(world, fleet_runner, 5)
    assert "v008" not in world.vms()
    world.fake.advance(move.RELEASE_AFTER_SECONDS)
    await run_rounds(world, fleet_runner, 3)
    assert "v001" not in world.vms()
    assert world.vms()["v008"].pool == gone.pool


async def test_outdated_observation_begins_no_stop(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("w")
    check_health = fleet_runner.seen.platform.check_health

    async def check_and_pause(address):
        is_healthy = await check_health(address)
        world.fake.advance(3.0)
        return is_healthy

    fleet_runner.seen.platform = fleet_runner.seen.platform._replace(
        check_health=check_and_pause
    )
    await fleet_runner.step()
    assert {row.state for row in world.vms().values()} == {state.VmState.UP}


async def test_vm_returns_and_the_next_stop_begins_in_the_round_that_lists_it(world):
    """A pool with one spare VM waited two rounds for each of its VMs.

    A VM that was listed with its new boot was checked only in the next round, and the
    rest of its pool, without which no stop may begin, in the one after that.
    """
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("x")
    await run_rounds(world, fleet_runner, 2)
    (first,) = (vm for vm, row in world.vms().items() if row.state.value == "rebooting")
    world.fake.advance(platformfleet.DEFAULT_REBOOT_SECONDS)
    await fleet_runner.step()
    rows = world.vms()
    assert (rows[first].state, rows[first].done) == (state.VmState.UP, ("x",))
    (second,) = (row for row in rows.values() if row.state is state.VmState.DRAINING)
    assert (second.pool, second.wave) == ("a", "x")
    # The history keeps both steps of the return.
    steps = [
        row.value["what"]
        for row in world.store.scan("history/fleet/", 0)
        if row.value.get("vm") == first
    ]
    assert steps[-4:] == ["take", "reboot", "check", "return"]


async def test_vm_that_is_back_but_not_healthy_stays_under_its_stop(world):
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("x")
    await run_rounds(world, fleet_runner, 2)
    (first,) = (vm for vm, row in world.vms().items() if row.state.value == "rebooting")
    world.sick.add(first)
    world.fake.advance(platformfleet.DEFAULT_REBOOT_SECONDS)
    await run_rounds(world, fleet_runner, 5)
    rows = world.vms()
    assert rows.pop(first).state is state.VmState.CHECKING
    assert {row.state for row in rows.values()} == {state.VmState.UP}


async def test_stop_begins_in_the_round_in_which_a_borrowed_vm_arrives(world):
    """A pool without a spare VM was checked only in the round after the arrival."""
    without_spare, buffer = world.accepted.pools
    world.accepted = world.accepted._replace(
        pools=(
            without_spare._replace(must_be_up=document.Budget(number=4)),
            buffer._replace(must_be_up=document.Budget(number=0)),
        ),
        weights=document.Weights(moves=2.0),  # one VM is lent, not two
    )
    fleet_runner = world.build()
    await run_rounds(world, fleet_runner, 2)
    world.start("x")
    await run_rounds(world, fleet_runner, 1)
    (borrowed,) = (row for row in world.vms().values() if row.target)
    assert (borrowed.pool, borrowed.target) == ("b", "a")
    await fleet_runner.step()
    rows = world.vms()
    assert rows[borrowed.vm].pool == "a"
    assert [row.pool for row in rows.values() if row.wave] == ["a"]
