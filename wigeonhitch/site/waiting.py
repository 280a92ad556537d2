"""Counts the jobs of a queue that have not started, in all pools that hold some."""

import anyio

from wigeonhitch.jobs import model
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows

__all__ = ["WaitingJobCounter"]

SCAN_PERIOD_SECONDS = 10.0
"""Interval of scans for jobs that wait in former pools of their queue."""


class WaitingJobCounter:
    """Reads the status of a queue's pool and of the other pools that hold its jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self._store = store
        self._queues_by_pool: dict[str, frozenset[str]] = {}
        """Names of the queues with waiting jobs in each pool, as last read."""
        self._scanned_at: float | None = None

    async def count(self, queue: model.Queue) -> int | rows.Range:
        """Return how many jobs wait, or the failed read of a pool's status."""
        await self._scan_statuses()
        holding_pools = (
            pool for pool, names in self._queues_by_pool.items() if queue.name in names
        )
        total = 0
        for pool in dict.fromkeys((queue.pool, *holding_pools)):
            result = await self._read_status(pool)
            if result.outcome is not table.Outcome.DONE:
                return result
            for row in result.rows:
                status = pool_record.read_status(row.value or b"")
                total += status.waiting.get(queue.name, 0)
        return total

    async def _scan_statuses(self) -> None:
        """Read the status of each pool, unless the last scan is recent."""
        now = http.read_clock()
        if (
            self._scanned_at is not None
            and now - self._scanned_at < SCAN_PERIOD_SECONDS
        ):
            return
        pools = await self._store.list_parts(
            pool_record.STATUS_TABLE, timeout=jobrows.CALL_TIMEOUT_SECONDS
        )
        if pools.names is None:
            return
        self._scanned_at = now
        async with anyio.create_task_group() as group:
            for pool in pools.names:
                group.start_soon(self._read_status, pool)

    async def _read_status(self, pool: str) -> rows.Range:
        result = await self._store.read(
            pool_record.STATUS_TABLE, pool, timeout=jobrows.CALL_TIMEOUT_SECONDS
        )
        for row in result.rows:
            status = pool_record.read_status(row.value or b"")
            self._queues_by_pool[pool] = frozenset(status.waiting)
        return result
