"""Release keys whose claim may have been written by an attempt that gave up.

No I/O. When the answer to a claim write is lost, the claim is in doubt: the caller
is told "not run", which stays true because the attempt never sends the request.
Without a release the key would stay claimed, and repeats would get "may have run"
until the record expires. The row is read: a claim found there is released, and
otherwise a released record is written, so that the condition of a claim write
still in flight fails.
"""

import dataclasses
from collections.abc import Mapping

from wigeonhitch.idempotency import batch, record
from wigeonhitch.platform import table

__all__ = ["InDoubtClaims"]

FIRST_READ_DELAY_SECONDS = 0.5
"""Seconds before the row is first read; most delayed writes have arrived by then."""
MAX_READ_INTERVAL_SECONDS = 10.0
"""Maximum seconds between reads in a long outage; 64 keys share each read."""
RESOLUTION_TIMEOUT_SECONDS = 600.0
"""Seconds after which a key is left as it is: it may stay claimed, which is safe."""
MAX_IN_DOUBT_CLAIMS = 1000
"""Maximum number of keys in doubt. They stem from the few batches in flight when
an outage begins, so a larger number would indicate another fault."""


@dataclasses.dataclass
class InDoubtClaim:
    """A claim of unknown outcome; ``version`` is the row version it required."""

    ticket: int
    row: str
    version: int
    released: record.Record
    next_read_at: float
    give_up_at: float
    read_interval: float = FIRST_READ_DELAY_SECONDS
    is_writing: bool = False


class InDoubtClaims:
    """Claims of attempts that gave up without knowing whether they were written."""

    def __init__(self) -> None:
        self._claims: dict[int, InDoubtClaim] = {}
        self.given_up_count = 0

    def __contains__(self, ticket: int) -> bool:
        """Return whether the claim of this ticket is in doubt."""
        return ticket in self._claims

    def __bool__(self) -> bool:
        """Return whether any claim is in doubt."""
        return bool(self._claims)

    def add(self, write: batch.Write, now: float) -> None:
        """Add the claim ``write``, whose attempt will never send its request."""
        if len(self._claims) >= MAX_IN_DOUBT_CLAIMS:
            self.given_up_count += 1
            return
        released = write.record._replace(state=record.State.RELEASED, at=0.0)
        self._claims[write.ticket] = InDoubtClaim(
            write.ticket,
            write.row,
            write.version,
            released,
            now + FIRST_READ_DELAY_SECONDS,
            now + RESOLUTION_TIMEOUT_SECONDS,
        )

    def has_attempt(self, attempt: str) -> bool:
        """Return whether the claim of ``attempt`` is in doubt here."""
        return any(item.released.attempt == attempt for item in self._claims.values())

    def take_due_rows(self, now: float, limit: int) -> list[str]:
        """Return the rows to read now; drop claims past their time limit."""
        rows: list[str] = []
        for item in list(self._claims.values()):
            if item.is_writing or len(rows) >= limit:
                continue
            if now >= item.give_up_at:
                del self._claims[item.ticket]
                self.given_up_count += 1
            elif now >= item.next_read_at:
                self._schedule_read(item, now)
                rows.append(item.row)
        return rows

    def next_wake(self) -> float | None:
        """Return when `take_due_rows` next has rows to read."""
        times = [
            item.next_read_at for item in self._claims.values() if not item.is_writing
        ]
        return min(times, default=None)

    def on_read(self, rows: Mapping[str, table.Row], now: float) -> list[batch.Write]:
        """Process rows that were read; return the releases to write."""
        writes = []
        for item in list(self._claims.values()):
            if item.is_writing or item.row not in rows:
                continue
            version = _find_release_version(item, rows[item.row])
            if version is None:
                del self._claims[item.ticket]
                continue
            item.is_writing = True
            writes.append(
                batch.Write(item.ticket, item.row, version, item.released, False, now)
            )
        return writes

    def on_release_written(self, ticket: int) -> None:
        """Drop the claim, whose release has been written."""
        del self._claims[ticket]

    def on_release_failed(self, ticket: int, now: float) -> None:
        """Schedule another read: the release may not have been written."""
        item = self._claims[ticket]
        item.is_writing = False
        self._schedule_read(item, now)

    def _schedule_read(self, item: InDoubtClaim, now: float) -> None:
        item.next_read_at = now + item.read_interval
        item.read_interval = min(MAX_READ_INTERVAL_SECONDS, item.read_interval * 2)


def _find_release_version(item: InDoubtClaim, row: table.Row) -> int | None:
    """Return the row version that the release requires; None if none is needed.

    If the row is unchanged, a claim write in flight may still apply, so a release is
    written to change its version. A row claimed by this attempt is released. Any
    other row has a newer version, so the claim can no longer apply.
    """
    if row.version == item.version:
        return row.version
    if row.value is None:
        return None
    row_record = record.decode(row.value)
    is_own = row_record.attempt == item.released.attempt
    if is_own and row_record.state is record.State.CLAIMED:
        return row.version
    return None
