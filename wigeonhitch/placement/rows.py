"""Reading the rows of a shard into its core."""

from collections.abc import Sequence

from wigeonhitch.placement import core, job, ledger
from wigeonhitch.platform import table

__all__ = ["find_job_key", "read_jobs", "read_ledger"]

PURPOSE = "placement"
MAX_ROWS_PER_READ = 500


def find_job_key(marker: str) -> str:
    """Return the key of the job that a marker row names.

    Examples
    --------
    >>> find_job_key("placing/3/coffee/one")
    'job/coffee/one'
    """
    return job.PREFIX + marker.split("/", 2)[2]


async def read_jobs(store: table.Table, target: core.Core, keys: Sequence[str]) -> bool:
    """Load rows by key; return False when the table can't be read."""
    for start in range(0, len(keys), MAX_ROWS_PER_READ):
        chunk = keys[start : start + MAX_ROWS_PER_READ]
        read = await store.read(chunk, purpose=PURPOSE)
        if read.outcome is not table.Outcome.DONE:
            return False
        target.load(read.rows)
    return True


async def read_ledger(store: table.Table, target: core.Core, since: int) -> int | None:
    """Load reservations and quotas; return the revision, or None on failure."""
    revisions = []
    for prefix in (ledger.RESERVATION_PREFIX, ledger.QUOTA_PREFIX):
        read = await store.scan(prefix, purpose=PURPOSE, since=since)
        if read.outcome is not table.Outcome.DONE:
            return None
        target.load(read.rows)
        revisions.append(read.revision)
    return max(since, min(revisions))
