"""Follows the workers' entries in the store, while this daemon leads a pool."""

from collections.abc import Callable
from typing import NamedTuple

from wigeonhitch import feed
from wigeonhitch.platform import entries, http, rows, table
from wigeonhitch.telemetry import log, metric

__all__ = ["RegisteredWorker", "WorkerRegistry"]

FEED_WAIT_SECONDS = 0.8
"""Time that a feed call waits for changes: a leaving worker must get no task later
than 2 s after it says so, also when a connection goes silent."""

FEED_MARGIN_SECONDS = 0.5
"""Time beyond the wait after which a feed call counts as failed."""

FEED_PAUSE_SECONDS = 0.12
"""Delay between two calls. Every worker writes each 1.5 s, and a call for each of
these writes would be charged; a VM that comes in a burst is found 0.06 s later."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before a failed call is retried."""


class RegisteredWorker(NamedTuple):
    """A worker's entry, and the time on this daemon's clock at which it was read.

    ``version`` is that of its row.
    """

    entry: entries.WorkerEntry
    read_at: float
    version: int


class WorkerRegistry:
    """Keeps the entries of all workers.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    is_leading : callable
        Whether this daemon leads a pool; otherwise nothing is read.
    on_worker : callable
        Receives an entry that is new or changed.
    on_removed : callable
        Receives the id of an entry that was removed.
    instruments : metric.Instruments
        Counts the entries that name no worker.
    """

    def __init__(
        self,
        store: rows.RowStore,
        is_leading: Callable[[], bool],
        on_worker: Callable[[RegisteredWorker], None],
        on_removed: Callable[[str], None],
        instruments: metric.Instruments,
    ) -> None:
        self._store = store
        self._is_leading = is_leading
        self._on_worker = on_worker
        self._on_removed = on_removed
        self.workers: dict[str, RegisteredWorker] = {}
        """Last version of each worker's entry, by the worker's id.

        It may have been written late by an incarnation that has ended.
        """
        self._instruments = instruments
        self._invalid_versions: dict[str, int] = {}
        """Version of each row that names no worker."""

    @property
    def may_report_starts(self) -> bool:
        """Whether workers report their starts, as far as is known."""
        return not self.workers or any(
            worker.entry.start_ms for worker in self.workers.values()
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        await feed.follow(
            self._store,
            entries.WORKER_TABLE,
            self._read_snapshot,
            self._apply_rows,
            feed.FollowTiming(
                FEED_WAIT_SECONDS,
                FEED_MARGIN_SECONDS,
                RETRY_DELAY_SECONDS,
                FEED_PAUSE_SECONDS,
            ),
            self._is_leading,
        )

    async def _read_snapshot(self) -> int:
        snapshot = await self._store.read(
            entries.WORKER_TABLE, "", timeout=FEED_WAIT_SECONDS + FEED_MARGIN_SECONDS
        )
        if snapshot.outcome is not table.Outcome.DONE:
            return 0
        listed_ids = {row.key for row in snapshot.rows}
        for id in [id for id in self.workers if id not in listed_ids]:
            self._remove(id)
        for id in self._invalid_versions.keys() - listed_ids:
            del self._invalid_versions[id]
        self._apply_rows(snapshot.rows)
        return snapshot.version

    def _apply_rows(self, changed_rows: tuple[rows.Row, ...]) -> None:
        for row in changed_rows:
            self._apply_row(row)

    def _apply_row(self, row: rows.Row) -> None:
        if row.value is None:
            self._invalid_versions.pop(row.key, None)
            self._remove(row.key)
            return
        entry = entries.read_worker(row.key, row.value)
        if isinstance(entry, entries.InvalidEntry):
            self._report_invalid(row, entry.reason)
            self._remove(row.key)
            return
        self._invalid_versions.pop(row.key, None)
        known = self.workers.get(entry.id)
        if known is not None and known.version > row.version:
            return
        worker = RegisteredWorker(entry, http.read_clock(), row.version)
        self.workers[entry.id] = worker
        self._on_worker(worker)

    def _report_invalid(self, row: rows.Row, reason: str) -> None:
        """Report an entry that names no worker, once for each version of its row."""
        if self._invalid_versions.get(row.key) == row.version:
            return
        self._invalid_versions[row.key] = row.version
        log.log_warning("invalid worker entry ignored", vm=row.key, reason=reason)
        self._instruments.count(
            "invalid_worker_entries_total", "Worker entries that name no worker."
        )

    def _remove(self, id: str) -> None:
        if self.workers.pop(id, None) is not None:
            self._on_removed(id)
