"""Free keys whose claim may have been written by an attempt that gave up.

No I/O. Made for claim writes whose answer was lost beyond resolving: the
caller was told "not run", which stays true because the attempt never sends.
The harm prevented: the key being stuck as claimed, so that every repeat hears
"may have run" until the record expires. The row is read; if the claim is
there it is released, and if it is not, a released record is put in its place,
so that a copy still in flight fails its condition.
"""

import dataclasses
from collections.abc import Mapping

from wigeonhitch.idempotency import batch, record
from wigeonhitch.platform import table

__all__ = ["Doubts"]

FIRST_PAUSE = 0.5
"""Seconds before the first look; by then most late copies have landed."""
MAX_PAUSE = 10.0
"""Seconds between looks in a long outage: 64 keys share each look."""
LIMIT = 600.0
"""Seconds after which a key is left as it is: claimed, which is safe."""
MAX_DOUBTS = 1000
"""Keys in doubt at once; they arise from the few batches in flight when an
outage begins, so more would mean that something else is wrong."""


@dataclasses.dataclass
class Doubt:
    """One attempt that gave up; ``version`` is the one its claim wanted."""

    ticket: int
    row: str
    version: int
    released: record.Record
    next_at: float
    give_up_at: float
    pause: float = FIRST_PAUSE
    is_writing: bool = False


class Doubts:
    """All attempts that gave up without knowing whether their claim exists."""

    def __init__(self) -> None:
        self._doubts: dict[int, Doubt] = {}
        self.given_up = 0

    def __contains__(self, ticket: int) -> bool:
        """Whether the attempt of this ticket is in doubt."""
        return ticket in self._doubts

    def __bool__(self) -> bool:
        """Whether any attempt is in doubt."""
        return bool(self._doubts)

    def add(self, write: batch.Write, now: float) -> None:
        """Take over the claim ``write``, whose attempt will never send."""
        if len(self._doubts) >= MAX_DOUBTS:
            self.given_up += 1
            return
        released = write.record._replace(state=record.State.RELEASED, at=0.0)
        self._doubts[write.ticket] = Doubt(
            write.ticket,
            write.row,
            write.version,
            released,
            now + FIRST_PAUSE,
            now + LIMIT,
        )

    def holds(self, attempt: str) -> bool:
        """Whether ``attempt`` is one that gave up here."""
        return any(item.released.attempt == attempt for item in self._doubts.values())

    def pick(self, now: float, limit: int) -> list[str]:
        """Return rows to look at now; forget what is past its time."""
        rows: list[str] = []
        for item in list(self._doubts.values()):
            if item.is_writing or len(rows) >= limit:
                continue
            if now >= item.give_up_at:
                del self._doubts[item.ticket]
                self.given_up += 1
            elif now >= item.next_at:
                self._postpone(item, now)
                rows.append(item.row)
        return rows

    def next_wake(self) -> float | None:
        """Return when `pick` next has something."""
        times = [item.next_at for item in self._doubts.values() if not item.is_writing]
        return min(times, default=None)

    def on_read(self, rows: Mapping[str, table.Row], now: float) -> list[batch.Write]:
        """Take rows as read; return the releases to write."""
        writes = []
        for item in list(self._doubts.values()):
            if item.is_writing or item.row not in rows:
                continue
            version = _find_version(item, rows[item.row])
            if version is None:
                del self._doubts[item.ticket]
                continue
            item.is_writing = True
            writes.append(
                batch.Write(item.ticket, item.row, version, item.released, False, now)
            )
        return writes

    def on_written(self, ticket: int) -> None:
        """Forget a doubt: its release is written."""
        del self._doubts[ticket]

    def on_unwritten(self, ticket: int, now: float) -> None:
        """Look again later: the release was not written, or perhaps not."""
        item = self._doubts[ticket]
        item.is_writing = False
        self._postpone(item, now)

    def _postpone(self, item: Doubt, now: float) -> None:
        item.next_at = now + item.pause
        item.pause = min(MAX_PAUSE, item.pause * 2)


def _find_version(item: Doubt, row: table.Row) -> int | None:
    """Return the version to release on, or None when nothing is left to do.

    An unmoved row may still be hit by the claim in flight, so it is moved; a
    row claimed by this attempt is released; any other row has moved on, and
    the claim can never apply to it.
    """
    if row.version == item.version:
        return row.version
    if row.value is None:
        return None
    found = record.decode(row.value)
    is_own = found.attempt == item.released.attempt
    if is_own and found.state is record.State.CLAIMED:
        return row.version
    return None
