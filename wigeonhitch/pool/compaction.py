"""Rows of final jobs: shrunk to their state, and removed once kept long enough.

A job's final state is durable with its progress row, in the leader's part. The
job's own row lies in another part, so that accepting jobs doesn't wait for the
leader's writes; it is replaced by the bare state later, when there is time, and
the progress row then goes.
"""

import collections
from typing import NamedTuple

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record

__all__ = ["Compactor", "RowLocation"]

MAX_ROWS_PER_TRANSACTION = 20
"""Rows in one transaction."""


class RowLocation(NamedTuple):
    """Table and part in which a job's row lies."""

    table: str
    part: str


class _FinalJob(NamedTuple):
    place: RowLocation
    state: model.JobState
    version: int
    noted_at: int


class _CompactedRow(NamedTuple):
    place: RowLocation
    version: int
    finished: float


class Work(NamedTuple):
    """One transaction, and the jobs whose rows it replaces or removes."""

    transaction: rows.Transaction
    ids: tuple[str, ...]
    removes: bool


class Compactor:
    """Final jobs of one pool whose rows are still to be tidied.

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
        """Versions of rows that were shrunk and haven't been read since."""

    def add(
        self,
        id: str,
        place: RowLocation,
        state: model.JobState,
        version: int,
        noted_at: int = 0,
    ) -> None:
        """Note a final job, its row's version and that at which its end was noted."""
        self._finals[id] = _FinalJob(place, state, version, noted_at)

    def on_final_row(
        self, id: str, place: RowLocation, version: int, finished: float
    ) -> None:
        """Take a row that has been shrunk."""
        self._compacted[id] = _CompactedRow(place, version, finished)
        self._compacted_versions.pop(id, None)

    def is_waiting(self, id: str) -> bool:
        """Whether a job's row is still to be shrunk."""
        return id in self._finals

    def is_final(self, id: str, version: int) -> bool:
        """Whether a job is final by what is known later than a version of its row."""
        kept = self._compacted.get(id)
        final = max(self._compacted_versions.get(id, 0), kept.version if kept else 0)
        return self.is_waiting(id) or version < final

    def collect(self, store_time: float, kept: float) -> Work | None:
        """Return what to write next: rows of one part, or None."""
        if self._finals:
            return self._compact(store_time)
        return self._remove(store_time - kept)

    def on_result(self, work: Work, change: rows.Change) -> tuple[str, ...]:
        """Take the answer; return the jobs whose progress rows may go."""
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
            self._learn_version(row)
        gone = rows.list_gone(work.transaction.conditions, change.conflicts)
        for one in gone:
            self._finals.pop(one.key, None)
            self._compacted.pop(one.key, None)
        return () if work.removes else tuple(one.key for one in gone)

    def _compact(self, store_time: float) -> Work:
        place = next(iter(self._finals.values())).place
        chosen = [one for one in self._finals.items() if one[1].place == place]
        chosen = chosen[:MAX_ROWS_PER_TRANSACTION]
        conditions = []
        writes = []
        for id, final in chosen:
            value = record.write_final(final.state, self._pool, store_time)
            conditions.append(rows.Condition(*place, id, final.version))
            writes.append(rows.Write(*place, id, value))
        transaction = rows.Transaction(tuple(conditions), tuple(writes))
        return Work(transaction, tuple(id for id, _ in chosen), False)

    def _remove(self, before: float) -> Work | None:
        for id, one in self._compacted.items():
            if one.finished >= before:
                return None
            condition = rows.Condition(*one.place, id, one.version)
            removed = (
                rows.Write(*one.place, id, None),
                rows.Write(pool_record.HOLDER_TABLE, one.place.part, id, None),
            )
            return Work(rows.Transaction((condition,), removed), (id,), True)
        return None

    def _learn_version(self, row: rows.Row) -> None:
        """Take the version of a row that was cancelled or shrunk meanwhile."""
        final = self._finals.get(row.key)
        if final is not None:
            is_cancelled = row.value is not None and record.is_cancelled(row.value)
            state = progress.resolve_final_state(
                final.state, final.noted_at, row.version if is_cancelled else 0
            )
            self._finals[row.key] = final._replace(state=state, version=row.version)
        kept = self._compacted.get(row.key)
        if kept is not None:
            self._compacted[row.key] = kept._replace(version=row.version)
