"""What a leader must make durable, and in which conditional writes.

Every transaction is conditional on the owner row, so a leader that was
replaced changes nothing any more. It is also conditional on the version of
each row that it replaces: a write whose answer was lost may be applied seconds
later, and must not put an older state over a newer one.

An end counts only once it is committed: `Batch.processed_ends` holds the numbers
of ends that may be acknowledged to the workers after the commit.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.jobs import progress, record
from wigeonhitch.leadership import record as leader
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.pool import vm

__all__ = ["Batch", "Ledger", "Result"]

MAX_TRANSACTION_ENTRIES = 100
"""Conditions and writes that the store takes in one transaction."""

MAX_JOBS_PER_BATCH = 20
"""Jobs in one transaction: 2 entries each, as for all other rows."""

MAX_ROWS_PER_KIND = 16
"""Roster rows, and spent progress rows, in one transaction, if there is room."""


class Batch(NamedTuple):
    """One transaction, and what is known once it is done."""

    transaction: rows.Transaction
    jobs: tuple[str, ...]
    finals: tuple[str, ...]
    vms: tuple[str, ...]
    removed_vms: tuple[str, ...]
    dropped: tuple[str, ...]
    processed_ends: dict[str, int]


class Result(NamedTuple):
    """What came of a batch."""

    done: bool
    deposed: bool = False
    durable_finals: tuple[str, ...] = ()
    """Final jobs whose end an earlier try has made durable without an answer."""


class Ledger:
    """Rows of one pool that its leader has to write.

    Parameters
    ----------
    pool : str
        The pool; the part in which its rows lie.
    fence : int
        Version of the owner row under which all is written.
    """

    def __init__(self, pool: str, fence: int) -> None:
        self.pool = pool
        self.fence = fence
        self.versions: dict[str, int] = {}
        """Versions of progress rows; a job without one has none."""
        self._dirty: dict[str, None] = {}
        self._added_vms: dict[str, str] = {}
        self._gone_vms: set[str] = set()
        self._roster: dict[str, int] = {}
        """Versions of roster rows; a VM without one has none."""
        self._dropped: dict[str, None] = {}

    @property
    def has_work(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self._dirty or self._added_vms or self._gone_vms or self._dropped)

    def mark_dirty(self, id: str) -> None:
        """Note that a job's progress must be written."""
        self._dirty[id] = None

    def add_vm(self, id: str, address: str) -> None:
        """Note that a VM is to be used.

        Its row is written also where one is known: that may be about to go.
        """
        self._gone_vms.discard(id)
        self._added_vms[id] = address

    def remove_vm(self, id: str) -> None:
        """Note that nothing can run on a VM any more."""
        self._added_vms.pop(id, None)
        if id in self._roster:
            self._gone_vms.add(id)

    def on_roster_row(self, id: str, version: int) -> None:
        """Take a roster row as read."""
        self._roster[id] = version
        self._added_vms.pop(id, None)

    def drop_progress(self, ids: Iterable[str]) -> None:
        """Note that progress rows are no longer needed."""
        self._dropped.update(dict.fromkeys(id for id in ids if id in self.versions))

    def collect(
        self,
        jobs: Mapping[str, progress.Progress],
        vms: Mapping[str, vm.Vm],
    ) -> Batch:
        """Return what is to be written now."""
        builder = _Builder(self.pool, self.fence)
        self._dirty = {id: None for id in self._dirty if id in jobs}
        chosen = list(self._dirty)[:MAX_JOBS_PER_BATCH]
        for id in chosen:
            builder.put_progress(jobs[id], self.versions.get(id, 0))
        finals = [id for id in chosen if jobs[id].final is not None]
        added = tuple(self._added_vms)[: builder.count_free()]
        for id in added:
            builder.put_vm(id, self._added_vms[id], self._roster.get(id, 0))
        removed = tuple(self._gone_vms)[: builder.count_free()]
        for id in removed:
            builder.remove(pool_record.ROSTER_TABLE, id, self._roster.get(id, 0))
        spent = tuple(self._dropped)[: builder.count_free()]
        for id in spent:
            builder.remove(pool_record.PROGRESS_TABLE, id, self.versions.get(id, 0))
        whole = len(chosen) == len(self._dirty)
        processed_ends = (
            {one.id: one.processed_end for one in vms.values()} if whole else {}
        )
        for id in chosen:
            del self._dirty[id]
        return Batch(
            builder.build(),
            tuple(chosen),
            tuple(finals),
            added,
            removed,
            spent,
            processed_ends,
        )

    def on_result(self, batch: Batch, change: rows.Change) -> Result:
        """Take the answer to a batch; what wasn't done is marked again."""
        if change.outcome is table.Outcome.DONE:
            self._on_committed(batch, change.version)
            return Result(True)
        for id in batch.jobs:
            self.mark_dirty(id)
        if change.reason != "conflict":
            return Result(False)
        for row in change.conflicts:
            if row.table == leader.OWNER_TABLE and row.version != self.fence:
                return Result(False, deposed=True)
            self._update_version(
                row.table, row.key, row.version if row.value is not None else 0
            )
        for one in rows.list_gone(batch.transaction.conditions, change.conflicts):
            self._update_version(one.table, one.key, 0)
        self._forget_gone(batch.dropped)
        settled = tuple(
            row.key
            for row in change.conflicts
            if row.key in batch.finals and _is_final(row)
        )
        for id in settled:
            self._dirty.pop(id, None)
        return Result(False, durable_finals=settled)

    def _update_version(self, table: str, key: str, version: int) -> None:
        """Take a row's version as the store has it, 0 if there is no row."""
        if table == pool_record.PROGRESS_TABLE:
            self.versions[key] = version
        elif table == pool_record.ROSTER_TABLE and version:
            self._roster[key] = version
        elif table == pool_record.ROSTER_TABLE:
            self._roster.pop(key, None)

    def _forget_gone(self, spent: Iterable[str]) -> None:
        """Drop removals that were done without an answer.

        Their rows don't exist any more. One that stayed would let every later
        transaction of the pool fail, so that no end is ever noted again.
        """
        for id in spent:
            if not self.versions.get(id):
                self._dropped.pop(id, None)
                self.versions.pop(id, None)
        self._gone_vms &= self._roster.keys()

    def _on_committed(self, batch: Batch, version: int) -> None:
        for id in batch.jobs:
            self.versions[id] = version
        for id in batch.vms:
            self._roster[id] = version
            if self._added_vms.pop(id, None) is None:
                self._gone_vms.add(id)  # the VM has gone while it was written
        for id in batch.removed_vms:
            self._gone_vms.discard(id)
            self._roster.pop(id, None)
        for id in batch.dropped:
            self._dropped.pop(id, None)
            self.versions.pop(id, None)


def _is_final(row: rows.Row) -> bool:
    """Whether a row is one of progress that holds a final state."""
    is_progress = row.table == pool_record.PROGRESS_TABLE and row.value is not None
    return is_progress and record.read_final(row.value or b"") is not None


class _Builder:
    """Collects the conditions and writes of one transaction."""

    def __init__(self, pool: str, fence: int) -> None:
        self._pool = pool
        self._conditions = [leader.expect_owner(pool, fence)]
        self.writes: list[rows.Write] = []

    def put_progress(self, state: progress.Progress, version: int) -> None:
        id = state.job.id
        self._expect(pool_record.PROGRESS_TABLE, id, version)
        self._put(pool_record.PROGRESS_TABLE, id, record.write_progress(state))

    def put_vm(self, id: str, address: str, version: int) -> None:
        # Under its own version: a try that is done late must not undo a later one.
        self._expect(pool_record.ROSTER_TABLE, id, version)
        self._put(pool_record.ROSTER_TABLE, id, pool_record.write_roster(address))

    def remove(self, table: str, key: str, version: int) -> None:
        self._expect(table, key, version)
        self.writes.append(rows.Write(table, self._pool, key, None))

    def count_free(self) -> int:
        """Return how many more rows of a kind may be put or removed."""
        used = len(self._conditions) + len(self.writes)
        return min(MAX_ROWS_PER_KIND, (MAX_TRANSACTION_ENTRIES - used) // 2)

    def build(self) -> rows.Transaction:
        return rows.Transaction(tuple(self._conditions), tuple(self.writes))

    def _expect(self, table: str, key: str, version: int) -> None:
        self._conditions.append(rows.Condition(table, self._pool, key, version))

    def _put(self, table: str, key: str, value: bytes) -> None:
        self.writes.append(rows.Write(table, self._pool, key, value))
