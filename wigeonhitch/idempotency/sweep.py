"""Pick the records to delete. No I/O.

A record is kept for `RETENTION` and then deleted in small batches. Made for
some fifty keyed requests a second, so 4.3 million records a day: the rows are
read in `BUCKETS` pieces by the first digits of their hash, about a thousand
rows a read at that load, one read every `ROUND / BUCKETS` seconds and service,
and deleted `MAX_DELETES` to a table write, so half a write a second. The harm
this prevents: a table that grows for ever, or one scan that holds it up.
"""

from collections.abc import Sequence

from wigeonhitch.idempotency import record
from wigeonhitch.platform import table

__all__ = ["BUCKETS", "MAX_DELETES", "RETENTION", "ROUND", "build_prefix", "pick"]

RETENTION = 24 * 3600.0
"""Seconds that a record is kept at least. It must exceed by far the time in
which an attempt may still send (`core.SEND_WINDOW`) and any delay of a message
in flight: after deletion the key may be claimed anew."""
ROUND = 12 * 3600.0
"""Seconds in which all records are looked at once; a record stays for at most
`RETENTION` + `ROUND`."""
BUCKETS = 4096
"""Pieces of a service's records: three hexadecimal digits of the hash."""
MAX_DELETES = 100
"""Rows deleted by one table write; a conflict makes a batch come back with the
next round, so it must stay small."""


def build_prefix(service: str, bucket: int) -> str:
    """Return the row prefix of one piece.

    Examples
    --------
    >>> build_prefix("pairing", 10)
    'claim/pairing/00a'
    """
    return f"{record.PREFIX}/{service}/{bucket % BUCKETS:03x}"


def pick(
    rows: Sequence[table.Row], now: float, retention: float = RETENTION
) -> list[tuple[list[table.Condition], list[table.Write]]]:
    """Return the deletions of expired records, one pair per table write.

    Parameters
    ----------
    rows : sequence of table.Row
        Rows of one piece.
    now : float
        The table's clock, seconds since the Unix epoch.
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
    for start in range(0, len(expired), MAX_DELETES):
        piece = expired[start : start + MAX_DELETES]
        conditions = [table.Condition(row.key, row.version) for row in piece]
        writes = [table.Write(row.key, None) for row in piece]
        commits.append((conditions, writes))
    return commits
