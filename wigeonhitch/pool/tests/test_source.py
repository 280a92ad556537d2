"""Reading of a pool's rows at a takeover."""

import anyio
import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import core, record, source, view

pytestmark = pytest.mark.anyio

READ_SECONDS = 0.002


class BusyStore:
    """An empty store that answers only so many reads at a time before their timeout."""

    def __init__(self, capacity):
        self.capacity = capacity
        self.parts = []
        self.waiting = 0
        self.most_waiting = 0

    async def read(self, table_name, part, *, timeout):
        self.waiting += 1
        self.most_waiting = max(self.most_waiting, self.waiting)
        await anyio.sleep(READ_SECONDS / 2)
        is_late = self.waiting > self.capacity
        await anyio.sleep(READ_SECONDS / 2)
        self.waiting -= 1
        if is_late:
            return rows.Range(table.Outcome.UNKNOWN)
        self.parts.append(part)
        return rows.Range(table.Outcome.DONE, (), 1)


@pytest.mark.parametrize("capacity", [6, 1000])
async def test_takeover_ends_although_the_store_is_busy(capacity):
    """Guards against reads of all parts that time out together again and again, and
    that leave no connection for renewals of the lease."""
    store = BusyStore(capacity)
    times = view.TimeBounds(6.5, 0.2)
    pool = core.Pool("p", 1, 1, times, 100.0, lambda event, **fields: None)

    with anyio.fail_after(10.0):
        await source.Source(pool, store, lambda: None).load()

    assert set(record.list_job_parts()) <= set(store.parts)
    assert store.most_waiting < http.MAX_CONNECTIONS_PER_ADDRESS


class StatusStore(BusyStore):
    """A store that has only a status row."""

    def __init__(self, value):
        super().__init__(1000)
        self.value = value

    async def read(self, table_name, part, *, timeout):
        read_range = await super().read(table_name, part, timeout=timeout)
        if table_name != record.STATUS_TABLE:
            return read_range
        row = rows.Row(table_name, part, record.STATUS_TABLE, self.value, 1)
        return read_range._replace(rows=(row,))


@pytest.mark.parametrize(
    ("value", "faults", "lag"),
    [
        (record.write_status(record.PoolStatus({}, lag=(("a", 3.0),)), 1e12), 0, 3.0),
        (b'{"waiting": {}, "lag": {"a": 3, "b": -1}}', 1, 3.0),
        (b'{"waiting": {}, "lag": 7}', 1, 0.0),
        (b"{", 1, 0.0),
    ],
)
async def test_takeover_restores_the_lag_of_teams(value, faults, lag):
    """Guards against a burst that each leader serves anew, and against a pool without a
    leader as each one fails on the same row."""
    logged = []
    times = view.TimeBounds(6.5, 0.2)
    pool = core.Pool("p", 1, 1, times, 100.0, lambda event, **_: logged.append(event))
    await source.Source(pool, StatusStore(value), lambda: None).load()
    pool.fair_queue.on_teams([model.Team("a", frozenset({b"digest"}))])
    pool.fair_queue.on_job(model.Job("j", "q", "", (), team="a"), model.Room())

    assert logged.count("lag of teams not readable") == faults
    assert dict(pool.fair_queue.export_lag()).get("a", 0.0) == lag
