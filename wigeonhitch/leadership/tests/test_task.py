"""Giving up leadership, and removal of expired member rows, by the elector."""

import anyio
import pytest

from standins import rowstore
from wigeonhitch.leadership import core, record, task
from wigeonhitch.leadership.tests import conftest
from wigeonhitch.platform import http

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("fault", ["is_down", "deferred_commits", "lost_answers"])
async def test_pool_is_given_up_whatever_becomes_of_first_write(store, elector, fault):
    """Otherwise its row names a live daemon that doesn't lead it, for ever."""
    setattr(store, fault, 1)

    async with anyio.create_task_group() as group:
        group.start_soon(elector.give_up, "p")
        await anyio.sleep(0.05)
        store.is_down = False
        await anyio.sleep(0.3)
        group.cancel_scope.cancel()

    row = store.get(record.OWNER_TABLE, "p", record.OWNER_KEY)
    assert record.read_owner("p", row, 1).name == ""


@pytest.fixture
def leader_of_two(store):
    """An elector whose daemon leads the pools "p" and "q"."""
    leadership = core.Leadership("a", "life", 100.0)
    for pool in ("p", "q"):
        owner = record.Owner(pool, "a", "life", 1, 0)
        conftest.put_owner(store, owner)
        leadership.on_owner(owner._replace(version=store.version))
    return task.LeaderElector(
        leadership, store, lambda: [], lambda _: None, lambda _: None, lambda _: 1.0
    )


async def leave(store, elector, action):
    """Leave, with an action that happens while the first pool is given up."""
    original_commit = store.commit

    async def commit(change, *, timeout):
        if change.writes[0].part == "p":
            action()
        return await original_commit(change, timeout=timeout)

    store.commit = commit
    await elector.leave()


async def test_leaving_daemon_gives_up_each_pool(store, leader_of_two):
    await leave(store, leader_of_two, lambda: None)

    assert [conftest.read_leader(store, pool) for pool in ("p", "q")] == ["", ""]


async def test_leaving_daemon_gives_up_pool_after_lapse(store, leader_of_two):
    """Its row names a live daemon, so nobody else can claim it meanwhile."""
    elector = leader_of_two

    await leave(store, elector, lambda: elector.leadership.on_lapsed(store.version))

    assert [conftest.read_leader(store, pool) for pool in ("p", "q")] == ["", ""]


async def test_leaving_daemon_does_not_give_up_pool_claimed_by_another(
    store, leader_of_two
):
    """A leaving daemon gave up another's row, and a third one claimed beside it."""
    elector = leader_of_two

    def lose():
        owner = record.Owner("q", "b", "life-b", 2, 0)
        conftest.put_owner(store, owner)
        elector.leadership.on_owner(owner._replace(version=store.version))

    await leave(store, elector, lose)

    assert [conftest.read_leader(store, pool) for pool in ("p", "q")] == ["", "b"]


async def test_member_back_during_removal_of_another_keeps_its_row(
    store, elector, monkeypatch
):
    """The row of a member that was back was removed, and a task ran twice at once.

    Two members had expired. While the fleet leader removed the row of the first, the
    second came back and led pools; its row was then removed under its new version, and
    another daemon claimed its pools. The removal must be conditional on the row version
    by which the member had expired, and not on the newest one known.
    """
    monkeypatch.setattr(task, "CLEANUP_INTERVAL_SECONDS", 0.01)
    elector.leadership.on_owner(record.Owner(core.FLEET, "a", "life", 1, 9))
    for name in ("b", "c"):
        value = record.write_member(record.Member(name, f"life-{name}", 1.0))
        store.put(record.MEMBER_TABLE, name, name, value)
    await elector._read_own_row()
    await elector._renew()
    elector.leadership.on_owner(record.Owner(core.FLEET, "a", "life", 1, 99))
    await elector._read_members()
    original_commit = store.commit

    async def commit(change, *, timeout):
        done = await original_commit(change, timeout=timeout)
        if change.writes[0].part == "b":
            store.commit = original_commit
            until = rowstore.read_times()[0] + core.LEASE_SECONDS
            back = record.Member("c", "life-c", until)
            store.put(record.MEMBER_TABLE, "c", "c", record.write_member(back))
            await elector._read_member("c")
        return done

    store.commit = commit
    with anyio.move_on_after(0.2):
        await elector._run_cleanup()

    assert store.get(record.MEMBER_TABLE, "b", "b") is None
    assert store.get(record.MEMBER_TABLE, "c", "c") is not None


@pytest.mark.parametrize("members", [0, 1])
async def test_daemon_becomes_a_candidate_after_the_store_has_dropped_its_history(
    store, members
):
    """Guards against pools that nobody leads, as the table of members was empty.

    Without a row there was no version to follow from, and the history from the start
    was gone, so that no daemon ever joined.
    """
    for number in range(members):
        gone = record.Member(f"gone{number}", "life", 0.0)
        value = record.write_member(gone)
        store.put(record.MEMBER_TABLE, gone.name, gone.name, value)
    store.put("other", "", "key", b"1")
    store.expire_history()
    leadership = core.Leadership("a", "life", http.read_clock())
    elector = task.LeaderElector(
        leadership, store, lambda: ["p"], lambda _: None, lambda _: None, lambda _: 1.0
    )

    with anyio.move_on_after(5.0):
        async with anyio.create_task_group() as group:
            group.start_soon(elector.run)
            while not leadership.is_leader("p"):
                await anyio.sleep(0.02)
            group.cancel_scope.cancel()

    assert leadership.is_leader("p")
