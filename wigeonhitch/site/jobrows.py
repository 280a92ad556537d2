"""Reads the rows of single jobs."""

from typing import NamedTuple

from wigeonhitch.jobs import record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record

__all__ = ["TIMEOUT", "Found", "JobRows"]

TIMEOUT = 0.9
"""Seconds for one call of a request: 4 ms as a rule, 0.25 s where the store is slow."""


class Found(NamedTuple):
    """A job's row, and what it says."""

    row: rows.Row
    read: record.JobRecord


class JobRows:
    """Reads one job at a time.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self._store = store

    async def read(self, pool: str, id: str) -> rows.Range:
        """Read a pool's row of a job."""
        name = pool_record.get_job_table(pool)
        return await self._read_one(name, pool_record.get_job_part(id), id)

    async def read_holder(self, id: str) -> rows.Range:
        """Read the row that names the pool of a job; its value is the pool."""
        part = pool_record.get_job_part(id)
        return await self._read_one(pool_record.HOLDER_TABLE, part, id)

    async def read_progress(self, pool: str, id: str) -> rows.Range:
        """Read what a pool's leader has noted of a job."""
        return await self._read_one(pool_record.PROGRESS_TABLE, pool, id)

    async def find(self, pool: str, id: str) -> Found | rows.Range:
        """Find a job in a pool's table, or return the read that shows none."""
        read = await self.read(pool, id)
        if read.outcome is not table.Outcome.DONE or not read.rows:
            return read
        row = read.rows[0]
        return Found(row, record.read_job(id, row.value or b""))

    async def _read_one(self, name: str, part: str, id: str) -> rows.Range:
        return await self._store.read(
            name, part, first=id, last=id + "\0", limit=1, timeout=TIMEOUT
        )
