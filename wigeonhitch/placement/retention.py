"""Deletion of the rows of jobs that ended long ago, under the shard's duty."""

from wigeonhitch.membership import lease
from wigeonhitch.placement import job, ledger
from wigeonhitch.platform import table

__all__ = ["MAX_JOBS_PER_COMMIT", "DAY_SECONDS", "RETENTION_SECONDS", "Retention"]

PURPOSE = "retention"
DAY_SECONDS = ledger.DAY_SECONDS
# Long enough for submitters to read a result after a week of holidays; until then
# a repeated submission finds its job.
RETENTION_SECONDS = 7 * DAY_SECONDS
# Each scan reads the markers of one day only, and never those of days within the
# retention. One scan an hour covers the 14 days before that in 14 h.
SCAN_PERIOD_SECONDS = 3600.0
SCANNED_DAYS = 14
# A new holder of the duty handles its live jobs first.
FIRST_SCAN_DELAY_SECONDS = 60.0
# Jobs deleted in one commit; there is one commit in each step, so that placement
# continues in between.
MAX_JOBS_PER_COMMIT = 100


class Retention:
    """Finds ended jobs beyond the retention and deletes them in batches.

    Parameters
    ----------
    store : table.Table
        The platform's table.
    shard : int
        Number of the shard.
    """

    def __init__(self, store: table.Table, shard: int):
        self._table = store
        self._shard = shard
        self._next_scan: float | None = None
        self._markers: list[str] = []

    def is_due(self, now: float) -> bool:
        """Return whether a scan or a deletion is due."""
        if self._next_scan is None:
            self._next_scan = now + FIRST_SCAN_DELAY_SECONDS
        return bool(self._markers) or now >= self._next_scan

    async def sweep(self, held: lease.Lease, now: float) -> int:
        """Scan for ended jobs, or delete a batch; return how many were deleted.

        After a failed commit a later scan finds the jobs again, as deletion is
        never urgent.
        """
        if not self.is_due(now):
            return 0
        if not self._markers:
            await self._scan_day(now)
            return 0
        batch, self._markers = (
            self._markers[:MAX_JOBS_PER_COMMIT],
            self._markers[MAX_JOBS_PER_COMMIT:],
        )
        deleted = await self._delete(held, batch)
        if deleted is None:
            self._markers = []
        return deleted or 0

    async def _scan_day(self, now: float) -> None:
        self._next_scan = now + SCAN_PERIOD_SECONDS
        newest_day = int((now - RETENTION_SECONDS) // DAY_SECONDS) - 1
        day = newest_day - int(now // SCAN_PERIOD_SECONDS) % SCANNED_DAYS
        prefix = f"{ledger.ENDED_PREFIX}{self._shard}/{day}/"
        scanned = await self._table.scan(prefix, purpose=PURPOSE)
        self._markers = [row.key for row in scanned.rows]

    async def _delete(self, held: lease.Lease, markers: list[str]) -> int | None:
        keys = [job.PREFIX + marker.split("/", 3)[3] for marker in markers]
        read = await self._table.read(keys, purpose=PURPOSE)
        if read.outcome is not table.Outcome.DONE:
            return None
        conditions = [held.condition]
        writes = [table.Write(marker, None) for marker in markers]
        for row in read.rows:
            if row.value is None or job.decode(row.value).state not in job.ENDED:
                continue
            conditions.append(table.Condition(row.key, row.version))
            writes.append(table.Write(row.key, None))
        result = await self._table.commit(conditions, writes, purpose=PURPOSE)
        if result.outcome is not table.Outcome.DONE:
            return None
        return len(conditions) - 1
