"""Select the expired records to delete. No I/O.

A record is kept for `RETENTION_SECONDS` and then deleted in small batches, so that
the table does not grow without bound and no single scan blocks it. It is sized for
fifty keyed requests a second, which is 4.3 million records a day. Rows are read in
`BUCKET_COUNT` buckets by the first digits of their hash, about a thousand rows a
read at that load, with one read per service every `SWEEP_PERIOD_SECONDS /
BUCKET_COUNT` seconds. A table write deletes up to `MAX_DELETES_PER_COMMIT` rows,
which makes half a write a second.
"""

from collections.abc import Sequence

from wigeonhitch.idempotency import record
from wigeonhitch.platform import table

__all__ = [
    "BUCKET_COUNT",
    "MAX_DELETES_PER_COMMIT",
    "RETENTION_SECONDS",
    "SWEEP_PERIOD_SECONDS",
    "build_prefix",
    "plan_deletions",
]

RETENTION_SECONDS = 24 * 3600.0
"""Minimum seconds that a record is kept. Since a key may be claimed again after the
deletion, this must far exceed the time in which an attempt may still send
(`core.SEND_WINDOW_SECONDS`) and the delay of any message in flight."""
SWEEP_PERIOD_SECONDS = 12 * 3600.0
"""Seconds in which every record is read once. A record is kept for at most
`RETENTION_SECONDS` + `SWEEP_PERIOD_SECONDS`."""
BUCKET_COUNT = 4096
"""Number of buckets per service: three hexadecimal digits of the hash."""
MAX_DELETES_PER_COMMIT = 100
"""Maximum rows deleted by one table write. A conflict postpones the whole batch to
the next sweep, so batches must stay small."""


def build_prefix(service: str, bucket: int) -> str:
    """Return the row prefix of one bucket.

    Examples
    --------
    >>> build_prefix("pairing", 10)
    'claim/pairing/00a'
    """
    return f"{record.KEY_PREFIX}/{service}/{bucket % BUCKET_COUNT:03x}"


def plan_deletions(
    rows: Sequence[table.Row], now: float, retention: float = RETENTION_SECONDS
) -> list[tuple[list[table.Condition], list[table.Write]]]:
    """Return the deletions of expired records, one pair per table write.

    Parameters
    ----------
    rows : sequence of table.Row
        Rows of one bucket.
    now : float
        Time of the table's clock, seconds since the Unix epoch.
    retention : float
        Seconds that a record is kept.
    """
    expired = [
        row
        for row in rows
        if row.value is not None
        and now - record.decode(row.value).at > retention
        and record.decode(row.value).attempt
    ]
    commits = []
    for start in range(0, len(expired), MAX_DELETES_PER_COMMIT):
        chunk = expired[start : start + MAX_DELETES_PER_COMMIT]
        conditions = [table.Condition(row.key, row.version) for row in chunk]
        writes = [table.Write(row.key, None) for row in chunk]
        commits.append((conditions, writes))
    return commits
