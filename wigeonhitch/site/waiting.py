"""Counts the jobs of a queue that have not begun, in whichever pools they lie."""

import anyio

from wigeonhitch.jobs import model
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows

__all__ = ["WaitingCounts"]

LOOK_PERIOD = 10.0
"""Seconds between looks for jobs that wait in former pools of their queue."""


class WaitingCounts:
    """Reads boards: that of a queue's pool, and those of others that hold its jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self._store = store
        self._queues: dict[str, frozenset[str]] = {}
        """Queues of which jobs wait in each pool, as last read."""
        self._looked: float | None = None

    async def count(self, queue: model.Queue) -> int | rows.Range:
        """Return how many jobs wait, or the read of a board that failed."""
        await self._look()
        holding = (one for one, held in self._queues.items() if queue.name in held)
        total = 0
        for pool in dict.fromkeys((queue.pool, *holding)):
            read = await self._read(pool)
            if read.outcome is not table.Outcome.DONE:
                return read
            for row in read.rows:
                board = pool_record.read_status(row.value or b"")
                total += board.waiting.get(queue.name, 0)
        return total

    async def _look(self) -> None:
        """Read all boards, unless that was done not long ago."""
        now = http.read_clock()
        if self._looked is not None and now - self._looked < LOOK_PERIOD:
            return
        listed = await self._store.list_parts(
            pool_record.STATUS_TABLE, timeout=jobrows.TIMEOUT
        )
        if listed.names is None:
            return
        self._looked = now
        async with anyio.create_task_group() as group:
            for pool in listed.names:
                group.start_soon(self._read, pool)

    async def _read(self, pool: str) -> rows.Range:
        read = await self._store.read(
            pool_record.STATUS_TABLE, pool, timeout=jobrows.TIMEOUT
        )
        for row in read.rows:
            board = pool_record.read_status(row.value or b"")
            self._queues[pool] = frozenset(board.waiting)
        return read
