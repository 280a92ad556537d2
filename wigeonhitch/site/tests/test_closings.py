"""Which workers are to be vacated, as a pool's leader hears of it in two ways."""

import pytest

from standins import rowstore
from wigeonhitch.jobs import model
from wigeonhitch.leadership import core as leadership
from wigeonhitch.maintenance import record
from wigeonhitch.platform import entries, rows
from wigeonhitch.pool import core, demand, source, status, view
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import closings

pytestmark = pytest.mark.anyio

NOW = 100.0


@pytest.fixture
def store():
    return rowstore.RowStore()


@pytest.fixture
def pool():
    times = view.TimeBounds(6.5, 0.2)
    made = core.Pool("p", 1, 1, times, NOW, lambda what, **fields: None)
    room = model.Room(8000, 9000)
    entry = entries.WorkerEntry("w1", "p", "w1:1", "dc", False, room, ())
    made.on_worker(entry, NOW)
    return made


@pytest.fixture
def leader(pool, store):
    return source.Source(pool, store, lambda: None)


@pytest.fixture
def follower(leader, store):
    """Follow the rows for all pools of a daemon, as it does before the takeover."""
    return closings.ClosingFollower(
        store, lambda: True, lambda *given: leader.take_closings(*given)
    )


def close(store, worker):
    """Have a worker vacated; return the row as a feed tells it."""
    place = (record.CLOSING_TABLE, leadership.FLEET, worker)
    store.put(*place, record.write_closing(record.Closing(worker, worker, 1)))
    return rows.Row(*place, store.get(*place), store.version)


async def test_older_news_does_not_open_what_was_read_as_closed(
    pool, leader, follower, store
):
    """What could be seen: tasks begun on a VM that goes down for its upkeep.

    How: a daemon follows which VMs are to be vacated, and that news was late when it
    took over a pool. The leader read the rows itself; then the older news came, and
    all VMs that it didn't name were open, one that is shown as empty among them.

    Cause: the news that came last was taken for the newest. The store's version at
    which it is known decides now.
    """
    await follower._read_snapshot()
    older = close(store, "other")
    close(store, "w1")
    await leader.load()
    assert pool.vms["w1"].closed

    follower._apply_rows((older,))

    assert pool.vms["w1"].closed


async def test_newer_news_opens_what_is_closed_no_more(pool, leader, follower, store):
    await follower._read_snapshot()
    closed = close(store, "w1")
    await leader.load()
    follower._apply_rows((closed,))
    store.put(record.CLOSING_TABLE, leadership.FLEET, "w1", None)

    follower._apply_rows((closed._replace(value=None, version=store.version),))

    assert not pool.vms["w1"].closed


async def test_closings_are_known_up_to_the_version_of_the_last_answer(
    pool, follower, store
):
    """Whoever waits for a closing to be known may know it by a later version."""
    close(store, "w1")
    await follower._read_snapshot()
    store.put("other", "", "row", b"")

    follower._on_version(store.version)

    assert pool.closings_version == store.version


async def test_a_board_tells_at_which_version_a_vm_was_empty(pool, follower, store):
    one = pool.vms["w1"]
    close(store, "w1")
    await follower._read_snapshot()
    one.reconciled = True

    made = status.build_status(pool, 0, demand.compute_demand([], 0, 0.0))
    read = pool_record.read_status(pool_record.write_status(made))

    assert (read.empty, read.closings) == (("w1",), store.version)
