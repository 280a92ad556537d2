"""The workers as registered in the store, followed while a pool is led."""

from collections.abc import Callable
from typing import NamedTuple

import anyio

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
        self.is_known = False

    async def run(self) -> None:
        """Follow until cancelled."""
        after = 0
        while True:
            if not self._is_wanted():
                self.is_known = False
                await anyio.sleep(RETRY)
            elif not self.is_known:
                after = await self._read_all(after)
            else:
                after = await self._follow(after)

    async def _read_all(self, after: int) -> int:
        read = await self._store.read(entries.WORKER_TABLE, "", timeout=WAIT + SLACK)
        if read.outcome is not table.Outcome.DONE:
            await anyio.sleep(RETRY)
            return after
        listed = {row.key for row in read.rows}
        for id in [one for one in self.workers if one not in listed]:
            self._remove(id)
        for row in read.rows:
            self._take(row)
        self.is_known = True
        return read.version

    async def _follow(self, after: int) -> int:
        feed = await self._store.follow(
            entries.WORKER_TABLE, after, wait=WAIT, timeout=WAIT + SLACK
        )
        if feed.expired:
            self.is_known = False
            return after
        if feed.outcome is not table.Outcome.DONE:
            await anyio.sleep(RETRY)
            return after
        for row in feed.rows:
            self._take(row)
        await anyio.sleep(PAUSE)
        return max(after, feed.version)

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
