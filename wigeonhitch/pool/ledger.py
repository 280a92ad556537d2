"""Pending writes of a pool's leader, as conditional transactions.

Every transaction is conditional on the owner row, so that a replaced leader changes
nothing. It is also conditional on the version of each row that it replaces: a write
whose answer was lost may be applied seconds later, and must not overwrite newer
state with older.

An end counts only once it is committed: `Batch.processed_ends` holds the numbers
of ends that may be acknowledged to the workers after the commit.
"""

import itertools
import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.jobs import progress, record
from wigeonhitch.leadership import record as leader
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.pool import vm

__all__ = ["Batch", "Ledger", "Result"]

MAX_TRANSACTION_ENTRIES = 100
"""Largest number of conditions and writes that the store accepts in a transaction."""

MAX_JOBS_PER_BATCH = 20
"""Largest number of jobs in a transaction; each row takes 2 entries."""

MAX_VALUE_BYTES = 600_000
"""Size in bytes of the values in a transaction from which no further job is added. The
store accepts 1 MB, encoded, which takes a third more."""

MAX_ROWS_PER_KIND = 16
"""Largest number of added roster rows, of removed ones and of removed progress rows in
a transaction, as far as entries are left."""


class Batch(NamedTuple):
    """One transaction, and the changes that take effect once it is committed."""

    transaction: rows.Transaction
    jobs: tuple[str, ...]
    final_jobs: tuple[str, ...]
    vms: tuple[str, ...]
    removed_vms: tuple[str, ...]
    dropped: tuple[str, ...]
    processed_ends: dict[str, int]
    crash_revisions: dict[str, int] = {}
    """Revision of the crashes and assigned VMs that each job's row holds."""
    large_rows: dict[str, int] = {}
    """Jobs whose row exceeds half of the largest size for the first time, and its size
    in bytes."""


class Result(NamedTuple):
    """Outcome of a batch."""

    done: bool
    deposed: bool = False
    durable_finals: tuple[str, ...] = ()
    """Final jobs that an earlier, unanswered attempt has made durable."""


class Ledger:
    """Rows of one pool that its leader has to write.

    Parameters
    ----------
    pool : str
        The pool; also the part that holds its rows.
    fence : int
        Version of the owner row on which all writes are conditional.

    Attributes
    ----------
    max_row_bytes : float
        Largest size of a row that the store accepts, in bytes.
    """

    def __init__(self, pool: str, fence: int) -> None:
        self.pool = pool
        self.fence = fence
        self.max_row_bytes = math.inf
        self.versions: dict[str, int] = {}
        """Versions of progress rows, for jobs that have one."""
        self._dirty: dict[str, None] = {}
        self._added_vms: dict[str, pool_record.RosterRow] = {}
        self._gone_vms: set[str] = set()
        self._unanswered_vms: dict[str, pool_record.RosterRow] = {}
        """Roster rows that were sent and may be written or not."""
        self._abandoned_vms: set[str] = set()
        """Those of them whose VM is gone; the write is repeated to learn the row."""
        self._roster: dict[str, int] = {}
        """Versions of roster rows, for VMs that have one."""
        self._dropped: dict[str, None] = {}
        self._large: set[str] = set()
        """Jobs whose row has exceeded half of the largest size."""

    @property
    def has_work(self) -> bool:
        """Whether there are pending writes."""
        return bool(self._dirty or self._added_vms or self._gone_vms or self._dropped)

    def mark_dirty(self, id: str) -> None:
        """Schedule a write of a job's progress."""
        self._dirty[id] = None

    def add_vm(self, id: str, address: str, start_ms: int = 0) -> None:
        """Schedule a roster row for a VM that is to be used.

        It is also written if a row exists, as that row may be about to be removed.
        """
        self._gone_vms.discard(id)
        self._abandoned_vms.discard(id)
        self._added_vms[id] = pool_record.RosterRow(address, start_ms)

    def remove_vm(self, id: str) -> None:
        """Schedule the removal of a VM's roster row: nothing can run there any more."""
        self._added_vms.pop(id, None)
        if id in self._roster:
            self._gone_vms.add(id)
        elif id in self._unanswered_vms:
            self._added_vms[id] = self._unanswered_vms[id]
            self._abandoned_vms.add(id)

    def on_roster_row(self, id: str, version: int) -> None:
        """Record a roster row that was read."""
        self._roster[id] = version
        self._added_vms.pop(id, None)

    def drop_progress(self, ids: Iterable[str]) -> None:
        """Schedule the removal of progress rows that are no longer needed."""
        self._dropped.update(dict.fromkeys(id for id in ids if id in self.versions))

    def collect(
        self,
        jobs: Mapping[str, progress.Progress],
        vms: Mapping[str, vm.Vm],
    ) -> Batch:
        """Return the next batch of pending writes."""
        builder = _Builder(self.pool, self.fence)
        self._dirty = {id: None for id in self._dirty if id in jobs}
        chosen = []
        large_rows: dict[str, int] = {}
        for id in itertools.islice(self._dirty, MAX_JOBS_PER_BATCH):
            if builder.value_bytes >= MAX_VALUE_BYTES:
                break
            value = record.write_progress(jobs[id], self.max_row_bytes)
            builder.put_progress(id, value, self.versions.get(id, 0))
            chosen.append(id)
            if len(value) > self.max_row_bytes / 2 and id not in self._large:
                large_rows[id] = len(value)
        self._large = {id for id in self._large if id in jobs} | large_rows.keys()
        final_jobs = [id for id in chosen if jobs[id].final is not None]
        added = tuple(self._added_vms)[: builder.count_free()]
        for id in added:
            builder.put_vm(id, self._added_vms[id], self._roster.get(id, 0))
            self._unanswered_vms[id] = self._added_vms[id]
        is_complete = len(chosen) == len(self._dirty)
        # A successor asks the VMs that are listed: the crashes under tasks of a VM must
        # be durable before it is removed, and so must the VM that has its runs now.
        may_remove = is_complete and len(added) == len(self._added_vms)
        removed = tuple(self._gone_vms)[: builder.count_free() if may_remove else 0]
        for id in removed:
            builder.remove(pool_record.ROSTER_TABLE, id, self._roster.get(id, 0))
        dropped = tuple(self._dropped)[: builder.count_free()]
        for id in dropped:
            builder.remove(pool_record.PROGRESS_TABLE, id, self.versions.get(id, 0))
        processed_ends = (
            {machine.id: machine.processed_end for machine in vms.values()}
            if is_complete
            else {}
        )
        for id in chosen:
            del self._dirty[id]
        return Batch(
            builder.build(),
            tuple(chosen),
            tuple(final_jobs),
            added,
            removed,
            dropped,
            processed_ends,
            {id: jobs[id].crash_revision for id in chosen if jobs[id].crash_revision},
            large_rows,
        )

    def on_result(self, batch: Batch, change: rows.Change) -> Result:
        """Apply the answer to a batch; writes that weren't made are scheduled again."""
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
        for condition in rows.list_missing(
            batch.transaction.conditions, change.conflicts
        ):
            self._update_version(condition.table, condition.key, 0)
        self._drop_removed_rows(batch.dropped)
        self._resolve_additions(batch.vms)
        durable = tuple(
            row.key
            for row in change.conflicts
            if row.key in batch.final_jobs and _is_final(row)
        )
        for id in durable:
            self._dirty.pop(id, None)
        return Result(False, durable_finals=durable)

    def _update_version(self, table: str, key: str, version: int) -> None:
        """Record a row's version in the store, 0 if there is no row."""
        if table == pool_record.PROGRESS_TABLE:
            self.versions[key] = version
        elif table == pool_record.ROSTER_TABLE and version:
            self._roster[key] = version
        elif table == pool_record.ROSTER_TABLE:
            self._roster.pop(key, None)

    def _drop_removed_rows(self, dropped: Iterable[str]) -> None:
        """Drop pending removals of rows that no longer exist.

        An unanswered attempt has removed them. A removal that stayed pending would
        make every later transaction of the pool fail, so that no end could be
        recorded any more.
        """
        for id in dropped:
            if not self.versions.get(id):
                self._dropped.pop(id, None)
                self.versions.pop(id, None)
        self._gone_vms &= self._roster.keys()

    def _resolve_additions(self, vms: Iterable[str]) -> None:
        """Record that it is known which of these VMs have a roster row."""
        for id in vms:
            self._unanswered_vms.pop(id, None)
            if id in self._abandoned_vms:
                self._abandoned_vms.discard(id)
                self.remove_vm(id)

    def _on_committed(self, batch: Batch, version: int) -> None:
        for id in batch.jobs:
            self.versions[id] = version
        for id in batch.vms:
            self._roster[id] = version
            self._added_vms.pop(id, None)
        self._resolve_additions(batch.vms)
        for id in batch.removed_vms:
            self._gone_vms.discard(id)
            self._roster.pop(id, None)
        for id in batch.dropped:
            self._dropped.pop(id, None)
            self.versions.pop(id, None)


def _is_final(row: rows.Row) -> bool:
    """Return whether a row is a progress row with a final state."""
    is_progress = row.table == pool_record.PROGRESS_TABLE and row.value is not None
    return is_progress and record.read_final(row.value or b"") is not None


class _Builder:
    """Collects the conditions and writes of one transaction."""

    def __init__(self, pool: str, fence: int) -> None:
        self._pool = pool
        self._conditions = [leader.expect_owner(pool, fence)]
        self.writes: list[rows.Write] = []
        self.value_bytes = 0

    def put_progress(self, id: str, value: bytes, version: int) -> None:
        self._expect(pool_record.PROGRESS_TABLE, id, version)
        self._put(pool_record.PROGRESS_TABLE, id, value)

    def put_vm(self, id: str, row: pool_record.RosterRow, version: int) -> None:
        # Conditional on its own version: an attempt that is applied late must not undo
        # a later one.
        self._expect(pool_record.ROSTER_TABLE, id, version)
        self._put(pool_record.ROSTER_TABLE, id, pool_record.write_roster(row))

    def remove(self, table: str, key: str, version: int) -> None:
        self._expect(table, key, version)
        self.writes.append(rows.Write(table, self._pool, key, None))

    def count_free(self) -> int:
        """Return how many more rows of a kind fit into the transaction."""
        used = len(self._conditions) + len(self.writes)
        return min(MAX_ROWS_PER_KIND, (MAX_TRANSACTION_ENTRIES - used) // 2)

    def build(self) -> rows.Transaction:
        return rows.Transaction(tuple(self._conditions), tuple(self.writes))

    def _expect(self, table: str, key: str, version: int) -> None:
        self._conditions.append(rows.Condition(table, self._pool, key, version))

    def _put(self, table: str, key: str, value: bytes) -> None:
        self.value_bytes += len(value)
        self.writes.append(rows.Write(table, self._pool, key, value))
