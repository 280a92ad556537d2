"""What a leader must make durable, and in which conditional writes.

Every transaction is conditional on the owner row, so a leader that was
replaced changes nothing any more. It is also conditional on the version of
each row that it replaces: a write whose answer was lost may be applied seconds
later, and must not put an older state over a newer one.

An end counts only once it is committed: `Batch.seen` holds the numbers of ends
that may be told to the workers after the commit.
"""

import collections
from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.leadership import record as leader
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.pool import vm

__all__ = ["Batch", "Ledger", "Result"]

JOBS_A_BATCH = 20
"""Jobs in one transaction: 4 entries each at most, of 100 that a call holds."""

VMS_A_BATCH = 16
"""Roster rows in one transaction."""


class Batch(NamedTuple):
    """One transaction, and what is known once it is done."""

    transaction: rows.Transaction
    jobs: tuple[str, ...]
    finals: tuple[str, ...]
    vms: tuple[str, ...]
    removed_vms: tuple[str, ...]
    expired: tuple[str, ...]
    seen: dict[str, int]


class Result(NamedTuple):
    """What came of a batch.

    ``changed`` are job rows that changed meanwhile, to be read again.
    """

    done: bool
    deposed: bool = False
    changed: tuple[rows.Row, ...] = ()


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
        self._new_vms: dict[str, str] = {}
        self._old_vms: set[str] = set()
        self._roster: dict[str, int] = {}
        self._finals: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    @property
    def has_work(self) -> bool:
        """Whether anything waits to be written."""
        return bool(self._dirty or self._new_vms or self._old_vms)

    def mark(self, id: str) -> None:
        """Note that a job's progress must be written."""
        self._dirty[id] = None

    def add_vm(self, id: str, address: str) -> None:
        """Note that a VM is to be used."""
        if id not in self._roster:
            self._new_vms[id] = address

    def remove_vm(self, id: str) -> None:
        """Note that nothing can run on a VM any more."""
        self._new_vms.pop(id, None)
        if id in self._roster:
            self._old_vms.add(id)

    def on_roster_row(self, id: str, version: int) -> None:
        """Take a roster row as read."""
        self._roster[id] = version
        self._new_vms.pop(id, None)

    def on_final_row(self, id: str, version: int, finished: float) -> None:
        """Take the row that is left of a final job."""
        self._finals[id] = (version, finished)

    def collect(
        self,
        jobs: Mapping[str, progress.Progress],
        vms: Mapping[str, vm.Vm],
        store_time: float,
        kept: float,
        job_table: str,
    ) -> Batch:
        """Return what is to be written now.

        Parameters
        ----------
        store_time : float
            The store's clock in seconds, written beside final states.
        kept : float
            Seconds for which a final job can still be asked for.
        job_table : str
            Table in which the pool's jobs lie.
        """
        builder = _Builder(self.pool, self.fence, job_table)
        self._dirty = {id: None for id in self._dirty if id in jobs}
        chosen = list(self._dirty)[:JOBS_A_BATCH]
        finals = []
        for id in chosen:
            state = jobs[id]
            if state.final is None:
                builder.put_progress(state, self.versions.get(id, 0))
            else:
                builder.put_final(state, self.versions.get(id, 0), store_time)
                finals.append(id)
        added = tuple(self._new_vms)[:VMS_A_BATCH]
        for id in added:
            builder.put_vm(id, self._new_vms[id])
        removed = tuple(self._old_vms)[:VMS_A_BATCH]
        for id in removed:
            builder.remove(pool_record.ROSTER_TABLE, id)
        expired = self._list_expired(store_time - kept) if store_time else ()
        if builder.writes:
            for id in expired:
                builder.remove(job_table, id)
        whole = len(chosen) == len(self._dirty)
        seen = {one.id: one.seen for one in vms.values()} if whole else {}
        for id in chosen:
            del self._dirty[id]
        return Batch(
            builder.build(), tuple(chosen), tuple(finals), added, removed, expired, seen
        )

    def on_result(self, batch: Batch, change: rows.Change) -> Result:
        """Take the answer to a batch; what wasn't done is marked again."""
        if change.outcome is table.Outcome.DONE:
            self._settle(batch, change.version)
            return Result(True)
        for id in batch.jobs:
            self.mark(id)
        if change.reason != "conflict":
            return Result(False)
        changed = []
        for row in change.conflicts:
            if row.table == leader.OWNER_TABLE and row.version != self.fence:
                return Result(False, deposed=True)
            if row.table == pool_record.PROGRESS_TABLE:
                self.versions[row.key] = row.version if row.value is not None else 0
            if row.table.startswith(pool_record.JOB_TABLE):
                changed.append(row)
        return Result(False, changed=tuple(changed))

    def _settle(self, batch: Batch, version: int) -> None:
        for id in batch.jobs:
            if id in batch.finals:
                self.versions.pop(id, None)
            else:
                self.versions[id] = version
        for id in batch.vms:
            self._new_vms.pop(id, None)
            self._roster[id] = version
        for id in batch.removed_vms:
            self._old_vms.discard(id)
            self._roster.pop(id, None)
        for id in batch.expired:
            self._finals.pop(id, None)

    def _list_expired(self, before: float) -> tuple[str, ...]:
        found = []
        for id, (_, finished) in self._finals.items():
            if finished >= before or len(found) >= VMS_A_BATCH:
                break
            found.append(id)
        return tuple(found)


class _Builder:
    """Collects the conditions and writes of one transaction."""

    def __init__(self, pool: str, fence: int, job_table: str) -> None:
        self._pool = pool
        self.job_table = job_table
        owner = rows.Condition(leader.OWNER_TABLE, pool, leader.OWNER_KEY, fence)
        self._conditions = [owner]
        self.writes: list[rows.Write] = []

    def put_progress(self, state: progress.Progress, version: int) -> None:
        id = state.job.id
        self._expect(pool_record.PROGRESS_TABLE, id, version)
        self._put(pool_record.PROGRESS_TABLE, id, record.write_progress(state))

    def put_final(
        self, state: progress.Progress, version: int, store_time: float
    ) -> None:
        id = state.job.id
        final = state.final or model.JobState.CANCELLED
        self._expect(self.job_table, id, state.version)
        self._put(self.job_table, id, record.write_final(final, store_time))
        if version:
            self._expect(pool_record.PROGRESS_TABLE, id, version)
            self.remove(pool_record.PROGRESS_TABLE, id)

    def put_vm(self, id: str, address: str) -> None:
        self._put(pool_record.ROSTER_TABLE, id, pool_record.write_roster(address))

    def remove(self, table: str, key: str) -> None:
        self.writes.append(rows.Write(table, self._pool, key, None))

    def build(self) -> rows.Transaction:
        return rows.Transaction(tuple(self._conditions), tuple(self.writes))

    def _expect(self, table: str, key: str, version: int) -> None:
        self._conditions.append(rows.Condition(table, self._pool, key, version))

    def _put(self, table: str, key: str, value: bytes) -> None:
        self.writes.append(rows.Write(table, self._pool, key, value))
