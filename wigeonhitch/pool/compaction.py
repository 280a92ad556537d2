"""Compaction of the rows of final jobs, and their removal after the retention time.

A job's final state becomes durable in its progress row, in the leader's part. The
job's own row is in another part, so that accepting jobs doesn't wait for the leader's
writes. It is replaced by the bare state later, while the store is quick, and the
progress row is removed then.
"""

import collections
import itertools
from typing import NamedTuple

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record

__all__ = ["Compactor", "RowLocation"]

MAX_ROWS_PER_TRANSACTION = 20
"""Largest number of rows compacted or removed in one transaction. A removal takes three
of the 100 entries that the store allows."""

MAX_SCANNED_ROWS = 1000
"""Number of expired rows among which those of one part are looked for."""


class RowLocation(NamedTuple):
    """Table and part that hold a job's row."""

    table: str
    part: str


class _FinalJob(NamedTuple):
    location: RowLocation
    state: model.JobState
    version: int
    recorded_at: int


class _CompactedRow(NamedTuple):
    location: RowLocation
    version: int
    finished: float


class Work(NamedTuple):
    """One transaction, and the jobs whose rows it replaces or removes."""

    transaction: rows.Transaction
    ids: tuple[str, ...]
    removes: bool


class Compactor:
    """Rows of one pool's final jobs that are to be compacted or removed.

    Parameters
    ----------
    pool : str
        The pool.
    """

    def __init__(self, pool: str) -> None:
        self._pool = pool
        self._finals: dict[str, _FinalJob] = {}
        self._compacted: collections.OrderedDict[str, _CompactedRow] = (
            collections.OrderedDict()
        )
        self._compacted_versions: dict[str, int] = {}
        """Versions of rows that were compacted and haven't been read since."""
        self._has_removed_last = False
        """Whether the last work was a removal."""

    def add(
        self,
        id: str,
        location: RowLocation,
        state: model.JobState,
        version: int,
        recorded_at: int = 0,
    ) -> None:
        """Schedule the compaction of a final job's row.

        ``version`` is that of the row, ``recorded_at`` the store's version at which
        the final state became durable.
        """
        self._finals[id] = _FinalJob(location, state, version, recorded_at)

    def on_final_row(
        self, id: str, location: RowLocation, version: int, finished: float
    ) -> None:
        """Record a compacted row that was read."""
        known = self._compacted.get(id)
        self._compacted[id] = _CompactedRow(location, version, finished)
        if known is not None and known.finished != finished:
            # Others expire before a row that was renewed.
            self._compacted.move_to_end(id)
        self._compacted_versions.pop(id, None)

    def is_waiting(self, id: str) -> bool:
        """Return whether a job's row is still to be compacted."""
        return id in self._finals

    def is_final(self, id: str, version: int) -> bool:
        """Return whether a job is known to be final at a later version of its row."""
        compacted = self._compacted.get(id)
        final = max(
            self._compacted_versions.get(id, 0), compacted.version if compacted else 0
        )
        return self.is_waiting(id) or version < final

    def knows(self, id: str) -> bool:
        """Return whether a job is known to be final."""
        return self.is_final(id, 0)

    def collect(self, store_time: float, retention: float) -> Work | None:
        """Return the next rows to write, all of one part, or None.

        Compaction and removal take turns, since a busy pool always has rows to compact.
        """
        removal = self._remove(store_time - retention)
        self._has_removed_last = removal is not None and not (
            self._finals and self._has_removed_last
        )
        if self._has_removed_last:
            return removal
        return self._compact(store_time) if self._finals else None

    def on_result(self, work: Work, change: rows.Change) -> tuple[str, ...]:
        """Apply an answer; return the jobs whose progress rows may be removed."""
        if change.outcome is table.Outcome.DONE:
            for id in work.ids:
                self._finals.pop(id, None)
                if work.removes:
                    self._compacted.pop(id, None)
                elif id not in self._compacted:
                    self._compacted_versions[id] = change.version
            return () if work.removes else work.ids
        if change.reason != "conflict":
            return ()
        for row in change.conflicts:
            self._update_version(row)
        gone = rows.list_missing(work.transaction.conditions, change.conflicts)
        for condition in gone:
            self._finals.pop(condition.key, None)
            self._compacted.pop(condition.key, None)
        return () if work.removes else tuple(condition.key for condition in gone)

    def _compact(self, store_time: float) -> Work:
        location = next(iter(self._finals.values())).location
        chosen = [item for item in self._finals.items() if item[1].location == location]
        chosen = chosen[:MAX_ROWS_PER_TRANSACTION]
        conditions = []
        writes = []
        for id, final in chosen:
            value = record.write_final(final.state, self._pool, store_time)
            conditions.append(rows.Condition(*location, id, final.version))
            writes.append(rows.Write(*location, id, value))
        transaction = rows.Transaction(tuple(conditions), tuple(writes))
        return Work(transaction, tuple(id for id, _ in chosen), False)

    def _remove(self, before: float) -> Work | None:
        conditions: list[rows.Condition] = []
        removed: list[rows.Write] = []
        location: RowLocation | None = None
        for id, row in itertools.islice(self._compacted.items(), MAX_SCANNED_ROWS):
            if row.finished >= before or len(conditions) == MAX_ROWS_PER_TRANSACTION:
                break
            location = location or row.location
            if row.location != location:
                continue
            conditions.append(rows.Condition(*location, id, row.version))
            removed.append(rows.Write(*location, id, None))
            removed.append(
                rows.Write(pool_record.HOLDER_TABLE, location.part, id, None)
            )
        if not conditions:
            return None
        ids = tuple(condition.key for condition in conditions)
        return Work(rows.Transaction(tuple(conditions), tuple(removed)), ids, True)

    def _update_version(self, row: rows.Row) -> None:
        """Apply a row that was written meanwhile."""
        final = self._finals.get(row.key)
        if final is not None:
            is_cancelled = row.value is not None and record.is_cancelled(row.value)
            state = progress.resolve_final_state(
                final.state, final.recorded_at, row.version if is_cancelled else 0
            )
            self._finals[row.key] = final._replace(state=state, version=row.version)
        compacted = self._compacted.get(row.key)
        if compacted is None or row.version == compacted.version:
            return
        finished = record.read_finished(row.value or b"{}")
        if finished is not None:
            self.on_final_row(row.key, compacted.location, row.version, finished)
        else:
            # Its removal was applied without an answer, and its id was accepted anew.
            del self._compacted[row.key]
