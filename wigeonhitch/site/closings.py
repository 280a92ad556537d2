"""The workers that are to be vacated, followed while a pool is led."""

from collections.abc import Callable

from wigeonhitch import feed
from wigeonhitch.leadership import core as leadership
from wigeonhitch.maintenance import record
from wigeonhitch.platform import rows, table

__all__ = ["Follower"]

WAIT = 1.0
"""Seconds that the feed waits; a silent connection is found after it."""

SLACK = 0.5
"""Seconds beyond the wait after which the call counts as lost."""

PAUSE = 0.06
"""Seconds between two calls: a round of moves changes rows many times over."""

RETRY = 0.1
"""Seconds between tries of a call that failed."""


class Follower:
    """Follows the rows of workers to be vacated.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    is_wanted : callable
        Whether this daemon leads a pool; nothing is read otherwise.
    on_change : callable
        Takes all workers that are to be vacated or have ended by an order, and the
        store's version at which that is known.
    """

    def __init__(
        self,
        store: rows.RowStore,
        is_wanted: Callable[[], bool],
        on_change: Callable[[list[record.Closing], int], None],
    ) -> None:
        self._store = store
        self._is_wanted = is_wanted
        self._on_change = on_change
        self._workers: dict[str, record.Closing] = {}
        self._version = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        times = feed.FollowTiming(WAIT, WAIT + SLACK, RETRY, PAUSE)
        await feed.follow(
            self._store,
            record.CLOSING_TABLE,
            self._read_all,
            self._take_all,
            times,
            self._is_wanted,
            self._note,
        )

    async def _read_all(self) -> int:
        read = await self._store.read(
            record.CLOSING_TABLE, leadership.FLEET, timeout=WAIT
        )
        if read.outcome is not table.Outcome.DONE:
            return 0
        self._workers.clear()
        for row in read.rows:
            self._take(row)
        self._version = read.version
        self._on_change(list(self._workers.values()), self._version)
        return read.version

    def _take_all(self, found: tuple[rows.Row, ...]) -> None:
        for row in found:
            self._take(row)
        if found:
            self._version = max(self._version, *(row.version for row in found))
            self._on_change(list(self._workers.values()), self._version)

    def _note(self, version: int) -> None:
        """Take the store's version up to which all rows are known.

        An answer to who wrote a row may name a later version than the row's own.
        """
        self._version = max(self._version, version)
        if self._workers:
            self._on_change(list(self._workers.values()), self._version)

    def _take(self, row: rows.Row) -> None:
        if row.value is None:
            self._workers.pop(row.key, None)
        else:
            self._workers[row.key] = record.read_closing(row.key, row.value)
