"""In-process row store of the platform: transactions, ranges and feeds.

Implements `wigeonhitch.platform.rows.RowStore` with one version counter, and
faults that tests switch on: unavailability, lost answers, deferred transactions
and an expired history.
"""

import math
import time

import anyio

from wigeonhitch.platform import rows, table

__all__ = ["RowStore", "read_times"]

UNKNOWN = table.Outcome.UNKNOWN
DONE = table.Outcome.DONE
NOT_DONE = table.Outcome.NOT_DONE


class RowStore:
    """Rows in memory.

    Attributes
    ----------
    is_down : bool
        Calls are refused without effect.
    lost_answers : int
        Number of the next transactions that are applied without an answer.
    deferred : list of rows.Transaction
        Transactions that were deferred; `apply_deferred` applies them.
    deferred_commits : int
        Number of the next transactions that are deferred, without an answer.
    deferred_tables : set of str
        Tables for which all transactions that write to them are deferred.
    allows_cross_part : bool
        Whether a transaction may span several parts; otherwise it is refused.
    max_row_bytes : float
        Largest size of a value, in bytes; a transaction with a larger one is refused.
    max_call_bytes : float
        Largest size of all values of a transaction.
    clock_offset : float
        Seconds by which the store's clock has been set ahead.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lost_answers = 0
        self.deferred_commits = 0
        self.deferred_tables: set[str] = set()
        self.allows_cross_part = True
        self.max_row_bytes = math.inf
        self.max_call_bytes = math.inf
        self.clock_offset = 0.0
        self.deferred: list[rows.Transaction] = []
        self.calls = 0
        self.version = 0
        self.oldest = 0
        self._rows: dict[tuple[str, str, str], rows.Row] = {}
        self._changes: list[rows.Row] = []
        self._changed = anyio.Event()

    def put(self, name: str, part: str, key: str, value: bytes | None) -> None:
        """Write a row unconditionally, as operators and workers do."""
        self._apply(rows.Transaction((), (rows.Write(name, part, key, value),)))

    def get(self, name: str, part: str, key: str) -> bytes | None:
        """Return a row's value."""
        row = self._rows.get((name, part, key))
        return row.value if row else None

    def expire_history(self) -> None:
        """Drop all changes, so that feeds from earlier versions expire."""
        self.oldest = self.version
        self._changes.clear()

    def apply_deferred(self) -> list[rows.Change]:
        """Apply the deferred transactions."""
        deferred, self.deferred = self.deferred, []
        return [self._apply(change) for change in deferred]

    async def commit(self, change: rows.Transaction, *, timeout: float) -> rows.Change:
        """Make one attempt to commit a transaction."""
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        if self.is_down:
            return rows.Change(NOT_DONE, reason="down")
        parts = {item.part for item in (*change.conditions, *change.writes)}
        if len(parts) > 1 and not self.allows_cross_part:
            return rows.Change(NOT_DONE, reason="status 400")
        sizes = [len(write.value or b"") for write in change.writes]
        if max(sizes, default=0) > self.max_row_bytes:
            return rows.Change(NOT_DONE, reason="status 400")
        if sum(sizes) > self.max_call_bytes:
            return rows.Change(NOT_DONE, reason="status 400")
        is_deferred = any(w.table in self.deferred_tables for w in change.writes)
        if self.deferred_commits or is_deferred:
            self.deferred_commits = max(0, self.deferred_commits - 1)
            self.deferred.append(change)
            return rows.Change(UNKNOWN, reason="timeout")
        result = self._apply(change)
        if self.lost_answers:
            self.lost_answers -= 1
            return rows.Change(UNKNOWN, reason="timeout")
        return result

    async def read(
        self,
        table: str,
        part: str,
        *,
        first: str = "",
        last: str = "",
        limit: int = 0,
        timeout: float,
    ) -> rows.Range:
        """Read a range of keys."""
        await anyio.lowlevel.checkpoint()
        self.calls += 1
        if self.is_down:
            return rows.Range(NOT_DONE, reason="down")
        rows_in_range = sorted(
            row
            for (name, of, key), row in self._rows.items()
            if (name, of) == (table, part) and key >= first and (not last or key < last)
        )
        selected = tuple(rows_in_range[:limit] if limit else rows_in_range)
        return rows.Range(DONE, selected, self.version, "", *self._read_times())

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> rows.Feed:
        """Wait for changes of a table."""
        self.calls += 1
        if self.is_down:
            await anyio.sleep(0)
            return rows.Feed(NOT_DONE, reason="down")
        if after < self.oldest:
            return rows.Feed(DONE, expired=True)
        with anyio.move_on_after(wait):
            while not self._list_changes(table, after):
                await self._changed.wait()
        changes = tuple(self._list_changes(table, after))
        times = self._read_times()
        return rows.Feed(DONE, changes, self.version, False, "", *times)

    async def list_parts(self, table: str, *, timeout: float) -> rows.Parts:
        """Return the parts of a table."""
        self.calls += 1
        if self.is_down:
            await anyio.sleep(0)
            return rows.Parts(None, "down")
        return rows.Parts(
            tuple(sorted({key[1] for key in self._rows if key[0] == table}))
        )

    def _list_changes(self, name: str, after: int) -> list[rows.Row]:
        return [
            row for row in self._changes if row.table == name and row.version > after
        ]

    def _apply(self, change: rows.Transaction) -> rows.Change:
        for condition in change.conditions:
            row = self._rows.get((condition.table, condition.part, condition.key))
            if (row.version if row else 0) != condition.version:
                return rows.Change(
                    NOT_DONE, 0, self._list_conflicts(change), "conflict"
                )
        self.version += 1
        for write in change.writes:
            row = rows.Row(*write[:3], write.value, self.version)
            if write.value is None:
                self._rows.pop(write[:3], None)
            else:
                self._rows[write[:3]] = row
            self._changes.append(row)
        self._changed.set()
        self._changed = anyio.Event()
        return rows.Change(DONE, self.version, (), "", *self._read_times())

    def _read_times(self) -> tuple[float, float, float]:
        store_time, sent, answered = read_times()
        return store_time + self.clock_offset, sent, answered

    def _list_conflicts(self, change: rows.Transaction) -> tuple[rows.Row, ...]:
        keys = [condition[:3] for condition in change.conditions]
        return tuple(self._rows[key] for key in keys if key in self._rows)


def read_times() -> tuple[float, float, float]:
    """Return the store's monotonic clock, and the times of sending and answer."""
    now = time.clock_gettime(time.CLOCK_BOOTTIME)
    return now + 1000.0, now, now
