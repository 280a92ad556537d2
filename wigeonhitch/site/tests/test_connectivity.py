"""When a daemon considers the store unreachable, judged by its own calls."""

import pytest

from standins import rowstore
from wigeonhitch.platform import http, rows, table
from wigeonhitch.site import connectivity

pytestmark = pytest.mark.anyio


@pytest.fixture
def clock(monkeypatch):
    now = [100.0]
    monkeypatch.setattr(http, "read_clock", lambda: now[0])
    return now


@pytest.fixture
def store():
    return rowstore.RowStore()


async def read(monitored_store):
    return await monitored_store.read("t", "p", timeout=1.0)


async def test_a_store_that_is_not_called_does_not_become_unreachable(store, clock):
    monitored_store = connectivity.MonitoredStore(store)
    await read(monitored_store)
    clock[0] += 60.0

    assert not monitored_store.is_unreachable()


async def test_the_store_is_unreachable_once_calls_have_failed_for_long(store, clock):
    monitored_store = connectivity.MonitoredStore(store)
    await read(monitored_store)
    store.is_down = True
    clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS / 2
    await read(monitored_store)
    assert not monitored_store.is_unreachable()

    clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS
    await read(monitored_store)
    assert monitored_store.is_unreachable()

    store.is_down = False
    await read(monitored_store)
    assert not monitored_store.is_unreachable()


async def test_a_failed_condition_counts_as_a_served_call(store, clock):
    monitored_store = connectivity.MonitoredStore(store)
    store.put("t", "p", "k", b"")
    clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS
    condition = rows.Condition("t", "p", "k", 99)

    await monitored_store.commit(rows.Transaction((condition,), ()), timeout=1.0)

    assert not monitored_store.is_unreachable()


async def test_a_call_sent_before_an_outage_does_not_end_it(store, clock):
    """A feed call may be answered 1.5 s after it was sent, when the store is down."""
    monitored_store = connectivity.MonitoredStore(store)
    original_follow = store.follow

    async def follow(*args, **kwargs):
        clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS
        store.is_down = True
        await read(monitored_store)
        clock[0] += 0.1
        store.is_down = False
        return await original_follow(*args, **kwargs)

    store.follow = follow
    answer = await monitored_store.follow("t", 0, wait=0.0, timeout=1.0)

    assert answer.outcome is table.Outcome.DONE
    assert monitored_store.is_unreachable()
