"""The keeper's part in giving leadership up, and in forgetting members."""

import anyio
import pytest

from standins import rowstore
from wigeonhitch.leadership import core, record, task
from wigeonhitch.leadership.tests import conftest

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("fault", ["is_down", "holds_back", "loses"])
async def test_a_pool_is_given_up_whatever_becomes_of_the_first_write(
    store, keeper, fault
):
    """Its row would name a daemon that lives and leads nothing, for ever."""
    setattr(store, fault, 1)

    async with anyio.create_task_group() as group:
        group.start_soon(keeper.give_up, "p")
        await anyio.sleep(0.05)
        store.is_down = False
        await anyio.sleep(0.3)
        group.cancel_scope.cancel()

    row = store.get(record.OWNER_TABLE, "p", record.OWNER_KEY)
    assert record.read_owner("p", row, 1).name == ""


@pytest.fixture
def leader_of_two(store):
    """A keeper whose daemon leads the pools "p" and "q"."""
    leadership = core.Leadership("a", "life", 100.0)
    for pool in ("p", "q"):
        owner = record.Owner(pool, "a", "life", 1, 0)
        conftest.put_owner(store, owner)
        leadership.on_owner(owner._replace(version=store.version))
    return task.LeaderElector(
        leadership, store, lambda: [], lambda _: None, lambda _: None, lambda _: 1.0
    )


async def leave(store, keeper, during):
    """Leave, with something that comes while the first pool is given up."""
    whole = store.commit

    async def commit(change, *, timeout):
        if change.writes[0].part == "p":
            during()
        return await whole(change, timeout=timeout)

    store.commit = commit
    await keeper.leave()


async def test_a_daemon_that_leaves_gives_up_each_pool(store, leader_of_two):
    await leave(store, leader_of_two, lambda: None)

    assert [conftest.read_leader(store, pool) for pool in ("p", "q")] == ["", ""]


async def test_a_daemon_that_leaves_gives_up_a_pool_whose_lease_ran_out(
    store, leader_of_two
):
    """Its row names a daemon that lives, so it would wait for the next lease's end."""
    keeper = leader_of_two

    await leave(store, keeper, lambda: keeper.leadership.on_lapsed(store.version))

    assert [conftest.read_leader(store, pool) for pool in ("p", "q")] == ["", ""]


async def test_a_daemon_that_leaves_gives_up_nothing_that_another_claimed(
    store, leader_of_two
):
    """It took the other's row for its own, and a third claimed beside the other."""
    keeper = leader_of_two

    def lose():
        owner = record.Owner("q", "b", "life-b", 2, 0)
        conftest.put_owner(store, owner)
        keeper.leadership.on_owner(owner._replace(version=store.version))

    await leave(store, keeper, lose)

    assert [conftest.read_leader(store, pool) for pool in ("p", "q")] == ["", "b"]


async def test_a_member_that_is_back_while_another_is_forgotten_keeps_its_row(
    store, keeper, monkeypatch
):
    """What could be seen: one task run twice at the same time.

    How: two daemons were long gone. While the leader of the fleet removed the row of
    the first, the second came back and led; then its row was removed as well, under
    its new version, and another claimed its pools for there being no such member.

    Cause: the removal stood under the newest row known, and not under the one by which
    the member was long gone.
    """
    monkeypatch.setattr(task, "CLEANUP_INTERVAL_SECONDS", 0.01)
    keeper.leadership.on_owner(record.Owner(core.FLEET, "a", "life", 1, 9))
    for name in ("b", "c"):
        value = record.write_member(record.Member(name, f"life-{name}", 1.0))
        store.put(record.MEMBER_TABLE, name, name, value)
    await keeper._read_own_row()
    await keeper._renew()
    keeper.leadership.on_owner(record.Owner(core.FLEET, "a", "life", 1, 99))
    await keeper._read_members()
    whole = store.commit

    async def commit(change, *, timeout):
        done = await whole(change, timeout=timeout)
        if change.writes[0].part == "b":
            store.commit = whole
            until = rowstore.read_times()[0] + core.LEASE_SECONDS
            back = record.Member("c", "life-c", until)
            store.put(record.MEMBER_TABLE, "c", "c", record.write_member(back))
            await keeper._read_member("c")
        return done

    store.commit = commit
    with anyio.move_on_after(0.2):
        await keeper._run_cleanup()

    assert store.get(record.MEMBER_TABLE, "b", "b") is None
    assert store.get(record.MEMBER_TABLE, "c", "c") is not None
