"""Reads the store's rows of single jobs."""

from typing import NamedTuple

from wigeonhitch.jobs import record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record

__all__ = [
    "CALL_TIMEOUT_SECONDS",
    "Absence",
    "JobReader",
    "StoredJob",
    "is_possible_id",
]

CALL_TIMEOUT_SECONDS = 0.9
"""Timeout of one store call; it usually takes 4 ms, 0.25 s if the store is slow."""


MAX_KEY_BYTES = 200
"""Maximum size of a row's key, as the platform documents."""


def is_possible_id(id: str) -> bool:
    """Return whether a job can have an id, which is the key of its rows."""
    return 0 < len(id.encode()) <= MAX_KEY_BYTES


class StoredJob(NamedTuple):
    """A job's row and its decoded content, at a time of the store's clock in seconds.

    Until the row of a final job is removed, its id isn't accepted again.
    """

    row: rows.Row
    parsed: record.JobRecord
    store_time: float


class Absence(NamedTuple):
    """There is no job of an id, at a time of the store's clock in seconds.

    ``withdrawn`` is the row that prevents its acceptance. Without one, a submission
    that is under way may still be accepted.
    """

    store_time: float
    withdrawn: StoredJob | None = None


class JobReader:
    """Reads one job at a time.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self._store = store

    async def read(self, pool: str, id: str) -> rows.Range:
        """Read the row of a job in a pool's table."""
        table_name = pool_record.get_job_table(pool)
        return await self._read_row(table_name, pool_record.get_job_part(id), id)

    async def read_holder(self, id: str) -> rows.Range:
        """Read the row that names the pool of a job; its value is the pool."""
        part = pool_record.get_job_part(id)
        return await self._read_row(pool_record.HOLDER_TABLE, part, id)

    async def read_progress(self, pool: str, id: str) -> rows.Range:
        """Read the progress that a pool's leader has recorded for a job."""
        return await self._read_row(pool_record.PROGRESS_TABLE, pool, id)

    async def find(self, pool: str, id: str) -> StoredJob | rows.Range:
        """Find a job in a pool's table, or return the read that found none."""
        result = await self.read(pool, id)
        if result.outcome is not table.Outcome.DONE or not result.rows:
            return result
        row = result.rows[0]
        parsed = record.read_job(id, row.value or b"")
        return StoredJob(row, parsed, result.store_time)

    async def locate(self, pool: str, id: str) -> StoredJob | Absence | rows.Range:
        """Find a job in its queue's pool, or else in the pool that holds it.

        A range is a read that has failed.
        """
        lookup = await self.find(pool, id)
        if _is_empty(lookup):
            # The queue may have had another pool when the job was accepted.
            holder_range = await self.read_holder(id)
            if holder_range.outcome is not table.Outcome.DONE:
                return holder_range
            if not holder_range.rows:
                return Absence(holder_range.store_time)
            holder = pool_record.read_holder(holder_range.rows[0].value or b"")
            lookup = await self.find(holder.pool, id)
        if _is_empty(lookup):
            # Both rows have been removed since, so that none prevents an acceptance.
            return Absence(lookup.store_time)
        if isinstance(lookup, StoredJob) and lookup.parsed.is_withdrawn:
            return Absence(lookup.store_time, lookup)
        return lookup

    async def _read_row(self, table_name: str, part: str, id: str) -> rows.Range:
        return await self._store.read(
            table_name,
            part,
            first=id,
            last=id + "\0",
            limit=1,
            timeout=CALL_TIMEOUT_SECONDS,
        )


def _is_empty(lookup: StoredJob | rows.Range) -> bool:
    """Return whether a read has shown that there is no row."""
    return isinstance(lookup, rows.Range) and lookup.outcome is table.Outcome.DONE
