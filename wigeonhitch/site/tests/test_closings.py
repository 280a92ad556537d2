"""Which workers are closed, as a pool's leader learns from two sources."""

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
    pool = core.Pool("p", 1, 1, times, NOW, lambda event, **fields: None)
    room = model.Room(8000, 9000)
    entry = entries.WorkerEntry("w1", "p", "w1:1", "dc", False, room, ())
    pool.on_worker(entry, NOW)
    return pool


@pytest.fixture
def leader(pool, store):
    return source.Source(pool, store, lambda: None)


@pytest.fixture
def follower(leader, store):
    """Follow the rows for all pools of a daemon, which starts before the takeover."""
    return closings.ClosingFollower(
        store, lambda: True, lambda *args: leader.take_closings(*args)
    )


def close(store, worker):
    """Close a worker; return the row as a feed delivers it."""
    location = (record.CLOSING_TABLE, leadership.FLEET, worker)
    store.put(*location, record.write_closing(record.Closing(worker, worker, 1)))
    return rows.Row(*location, store.get(*location), store.version)


async def test_an_older_update_does_not_reopen_a_vm_read_as_closed(
    pool, leader, follower, store
):
    """Guards against tasks started on a VM that goes down for maintenance.

    A daemon follows the closings, and its feed was late when it took over a pool. The
    leader read the rows itself; then the older feed answer arrived and reopened all VMs
    that it didn't name, including one reported as empty. The last update to arrive was
    taken for the newest; the store's version of the update decides now.
    """
    await follower._read_snapshot()
    older_row = close(store, "other")
    close(store, "w1")
    await leader.load()
    assert pool.vms["w1"].closed

    follower._apply_rows((older_row,))

    assert pool.vms["w1"].closed


async def test_a_newer_update_reopens_a_vm_that_is_no_longer_closed(
    pool, leader, follower, store
):
    await follower._read_snapshot()
    closed_row = close(store, "w1")
    await leader.load()
    follower._apply_rows((closed_row,))
    store.put(record.CLOSING_TABLE, leadership.FLEET, "w1", None)

    follower._apply_rows((closed_row._replace(value=None, version=store.version),))

    assert not pool.vms["w1"].closed


async def test_closings_are_known_up_to_the_version_of_the_last_answer(
    pool, follower, store
):
    """A writer that waits for a closing may only know a later version."""
    close(store, "w1")
    await follower._read_snapshot()
    store.put("other", "", "row", b"")

    follower._on_version(store.version)

    assert pool.roster.closings_version == store.version


async def test_a_status_names_the_version_at_which_a_vm_was_empty(
    pool, follower, store
):
    vm = pool.vms["w1"]
    close(store, "w1")
    await follower._read_snapshot()
    vm.reconciled = True

    pool_status = status.build_status(pool, 0, demand.compute_demand([], 0, 0.0))
    decoded = pool_record.read_status(pool_record.write_status(pool_status))

    assert (decoded.empty, decoded.closings) == (("w1",), store.version)
