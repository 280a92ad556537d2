"""Transactional table and object store of the platform stand-in, without I/O.

Every commit increments one global revision. A row keeps the token of its last
writer, also after its deletion, so that a writer whose answer was lost can
find out whether its commit was applied.
"""

import bisect
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from wigeonhitch.platform import table

__all__ = ["Entry", "Store"]


class Entry(NamedTuple):
    """One commit of the history."""

    revision: int
    time: float
    token: str
    daemon: str
    purpose: str
    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]


class Store:
    """Rows, objects and the history of all commits.

    Examples
    --------
    >>> store = Store()
    >>> store.commit([table.Condition("a", 0)], [table.Write("a", {})], "t1", 5.0)
    ()
    >>> store.read(["a"])[0].version
    1
    """

    def __init__(self) -> None:
        self.revision = 0
        self.history: list[Entry] = []
        self.objects: dict[str, bytes] = {}
        self._rows: dict[str, table.Row] = {}
        self._keys: list[str] = []

    def read(self, keys: Sequence[str]) -> list[table.Row]:
        """Return one row per key; absent rows have version 0."""
        return [self._get_row(key) for key in keys]

    def scan(self, prefix: str, since: int) -> list[table.Row]:
        """Return the rows under a prefix that changed after ``since``, by key."""
        rows = []
        for key in self._keys[bisect.bisect_left(self._keys, prefix) :]:
            if not key.startswith(prefix):
                break
            row = self._rows[key]
            if row.version <= since:
                continue
            if row.value is None and since == 0:
                continue
            rows.append(row)
        return rows

    def commit(
        self,
        conditions: Sequence[table.Condition],
        writes: Sequence[table.Write],
        token: str,
        now: float,
        *,
        daemon: str = "",
        purpose: str = "",
    ) -> tuple[table.Row, ...]:
        """Commit if all conditions hold; return the rows that violate theirs."""
        conflicts = tuple(
            row
            for row, condition in (
                (self._get_row(condition.key), condition) for condition in conditions
            )
            if row.version != condition.version
        )
        if conflicts:
            return conflicts
        self.revision += 1
        for key, value in writes:
            self._set(key, value, token)
        self.history.append(
            Entry(
                self.revision,
                now,
                token,
                daemon,
                purpose,
                tuple(conditions),
                tuple(writes),
            )
        )
        return ()

    def _get_row(self, key: str) -> table.Row:
        row = self._rows.get(key)
        if row is None:
            return table.Row(key, None, 0)
        if row.value is None:
            return row._replace(version=0)
        return row

    def _set(self, key: str, value: Mapping[str, Any] | None, token: str) -> None:
        if key not in self._rows:
            bisect.insort(self._keys, key)
        self._rows[key] = table.Row(key, value, self.revision, token)
