"""When a daemon takes the store for lost, by the calls that it makes."""

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


async def read(one):
    return await one.read("t", "p", timeout=1.0)


async def test_a_daemon_that_makes_no_call_keeps_its_contact(store, clock):
    one = connectivity.MonitoredStore(store)
    await read(one)
    clock[0] += 60.0

    assert not one.is_unreachable()


async def test_the_store_is_lost_once_calls_have_failed_for_long(store, clock):
    one = connectivity.MonitoredStore(store)
    await read(one)
    store.is_down = True
    clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS / 2
    await read(one)
    assert not one.is_unreachable()

    clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS
    await read(one)
    assert one.is_unreachable()

    store.is_down = False
    await read(one)
    assert not one.is_unreachable()


async def test_a_refused_condition_is_an_answer(store, clock):
    one = connectivity.MonitoredStore(store)
    store.put("t", "p", "k", b"")
    clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS
    condition = rows.Condition("t", "p", "k", 99)

    await one.commit(rows.Transaction((condition,), ()), timeout=1.0)

    assert not one.is_unreachable()


async def test_a_call_from_before_an_outage_says_nothing_of_it(store, clock):
    """A feed was answered 1.5 s after it was sent, and the store was gone by then."""
    one = connectivity.MonitoredStore(store)
    whole = store.follow

    async def follow(*given, **named):
        clock[0] += connectivity.UNREACHABLE_AFTER_SECONDS
        store.is_down = True
        await read(one)
        clock[0] += 0.1
        store.is_down = False
        return await whole(*given, **named)

    store.follow = follow
    answer = await one.follow("t", 0, wait=0.0, timeout=1.0)

    assert answer.outcome is table.Outcome.DONE
    assert one.is_unreachable()
