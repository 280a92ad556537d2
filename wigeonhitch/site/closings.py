"""Follows the closed workers, while this daemon leads a pool."""

from collections.abc import Callable

from wigeonhitch import feed
from wigeonhitch.leadership import core as leadership
from wigeonhitch.maintenance import record
from wigeonhitch.platform import rows, table

__all__ = ["ClosingFollower"]

FEED_WAIT_SECONDS = 1.0
"""Time that a feed call waits for changes; a dead connection is detected after it."""

FEED_MARGIN_SECONDS = 0.5
"""Time beyond the wait after which a feed call counts as failed."""

FEED_PAUSE_SECONDS = 0.06
"""Delay between two calls, since one round of moves changes rows many times."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before a failed call is retried."""


class ClosingFollower:
    """Follows the rows of closed workers.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    is_leading : callable
        Whether this daemon leads a pool; otherwise nothing is read.
    on_change : callable
        Receives all workers that are closed or were ended by an order, and the
        store's version at which that is known.
    """

    def __init__(
        self,
        store: rows.RowStore,
        is_leading: Callable[[], bool],
        on_change: Callable[[list[record.Closing], int], None],
    ) -> None:
        self._store = store
        self._is_leading = is_leading
        self._on_change = on_change
        self._closings: dict[str, record.Closing] = {}
        self._version = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        timing = feed.FollowTiming(
            FEED_WAIT_SECONDS,
            FEED_MARGIN_SECONDS,
            RETRY_DELAY_SECONDS,
            FEED_PAUSE_SECONDS,
        )
        await feed.follow(
            self._store,
            record.CLOSING_TABLE,
            self._read_snapshot,
            self._apply_rows,
            timing,
            self._is_leading,
            self._on_version,
        )

    async def _read_snapshot(self) -> int:
        snapshot = await self._store.read(
            record.CLOSING_TABLE, leadership.FLEET, timeout=FEED_WAIT_SECONDS
        )
        if snapshot.outcome is not table.Outcome.DONE:
            return 0
        self._closings.clear()
        for row in snapshot.rows:
            self._apply_row(row)
        self._version = snapshot.version
        self._on_change(list(self._closings.values()), self._version)
        return snapshot.version

    def _apply_rows(self, changed_rows: tuple[rows.Row, ...]) -> None:
        for row in changed_rows:
            self._apply_row(row)
        if changed_rows:
            self._version = max(self._version, *(row.version for row in changed_rows))
            self._on_change(list(self._closings.values()), self._version)

    def _on_version(self, version: int) -> None:
        """Record the store's version up to which all rows are known.

        The writer of a row may be answered with a later version than the row's own.
        """
        self._version = max(self._version, version)
        if self._closings:
            self._on_change(list(self._closings.values()), self._version)

    def _apply_row(self, row: rows.Row) -> None:
        if row.value is None:
            self._closings.pop(row.key, None)
        else:
            self._closings[row.key] = record.read_closing(row.key, row.value)
