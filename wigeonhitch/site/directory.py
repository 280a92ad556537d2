"""The workers as registered in the store, followed while a pool is led."""

from collections.abc import Callable
from typing import NamedTuple

from wigeonhitch import feed
from wigeonhitch.platform import entries, http, rows, table
from wigeonhitch.telemetry import log

__all__ = ["Directory", "Listed"]

WAIT = 0.8
"""Seconds that the feed waits: a leaving worker gets no task beyond 2 s after
it says so, also when a connection goes silent."""

SLACK = 0.5
"""Seconds beyond the wait after which the call counts as lost."""

PAUSE = 0.12
"""Seconds between two calls: every worker writes each 1.5 s, and a call for
each of these is paid for; a VM that comes in a burst is found 0.06 s later."""

RETRY = 0.1
"""Seconds between tries of a call that failed."""


class Listed(NamedTuple):
    """An entry, and this daemon's time at which it was read."""

    entry: entries.WorkerEntry
    read_at: float


class Directory:
    """Entries of all workers.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    is_wanted : callable
        Whether this daemon leads anything; nothing is read otherwise.
    on_worker : callable
        Takes an entry that changed.
    on_removed : callable
        Takes the id of an entry that has gone.
    """

    def __init__(
        self,
        store: rows.RowStore,
        is_wanted: Callable[[], bool],
        on_worker: Callable[[Listed], None],
        on_removed: Callable[[str], None],
    ) -> None:
        self._store = store
        self._is_wanted = is_wanted
        self._on_worker = on_worker
        self._on_removed = on_removed
        self.workers: dict[str, Listed] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        await feed.follow(
            self._store,
            entries.WORKER_TABLE,
            self._read_all,
            self._take_all,
            feed.FollowTiming(WAIT, WAIT + SLACK, RETRY, PAUSE),
            self._is_wanted,
        )

    async def _read_all(self) -> int:
        read = await self._store.read(entries.WORKER_TABLE, "", timeout=WAIT + SLACK)
        if read.outcome is not table.Outcome.DONE:
            return 0
        listed = {row.key for row in read.rows}
        for id in [one for one in self.workers if one not in listed]:
            self._remove(id)
        self._take_all(read.rows)
        return read.version

    def _take_all(self, found: tuple[rows.Row, ...]) -> None:
        for row in found:
            self._take(row)

    def _take(self, row: rows.Row) -> None:
        if row.value is None:
            self._remove(row.key)
            return
        entry = entries.read_worker(row.key, row.value)
        if isinstance(entry, entries.Bad):
            if row.key in self.workers:
                log.log_problem("entry left out", vm=row.key, reason=entry.reason)
            self._remove(row.key)
            return
        listed = self.workers[entry.id] = Listed(entry, http.read_clock())
        self._on_worker(listed)

    def _remove(self, id: str) -> None:
        if self.workers.pop(id, None) is not None:
            self._on_removed(id)
