"""Detects from this daemon's own calls whether it reaches the platform's store."""

from wigeonhitch.platform import http, rows, table

__all__ = ["UNREACHABLE_AFTER_SECONDS", "MonitoredStore"]

UNREACHABLE_AFTER_SECONDS = 1.5
"""Time without a served call, while calls fail, after which the store counts as
unreachable."""


class MonitoredStore:
    """Implements `rows.RowStore` over another one and tracks which calls are served.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self._store = store
        self._last_served_at = 0.0
        """Send time of the newest call that the store has served."""
        self._last_failed_at = 0.0
        """Send time of the newest call that failed."""

    def is_unreachable(self) -> bool:
        """Return whether calls fail and none has been served for some time."""
        is_stale = http.read_clock() - self._last_served_at > UNREACHABLE_AFTER_SECONDS
        return is_stale and self._last_failed_at >= self._last_served_at

    async def commit(self, change: rows.Transaction, *, timeout: float) -> rows.Change:
        """Make one attempt; an ``UNKNOWN`` one may still be applied seconds later."""
        sent_at = http.read_clock()
        result = await self._store.commit(change, timeout=timeout)
        is_done = result.outcome is table.Outcome.DONE
        self._record_call(sent_at, is_done or result.reason == "conflict")
        return result

    async def read(
        self,
        table: str,
        part: str,
        *,
        first: str = "",
        last: str = "",
        limit: int = 0,
        timeout: float,
    ) -> rows.Range:
        """Read keys from ``first`` up to but excluding ``last``; all pages."""
        sent_at = http.read_clock()
        result = await self._store.read(
            table, part, first=first, last=last, limit=limit, timeout=timeout
        )
        self._record_call(sent_at, _is_done(result))
        return result

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> rows.Feed:
        """Wait up to ``wait`` seconds for changes after a version."""
        sent_at = http.read_clock()
        result = await self._store.follow(table, after, wait=wait, timeout=timeout)
        self._record_call(sent_at, _is_done(result))
        return result

    async def list_parts(self, table: str, *, timeout: float) -> rows.Parts:
        """Return the parts of a table; all pages."""
        sent_at = http.read_clock()
        result = await self._store.list_parts(table, timeout=timeout)
        self._record_call(sent_at, result.names is not None)
        return result

    def _record_call(self, sent_at: float, is_served: bool) -> None:
        if is_served:
            self._last_served_at = max(self._last_served_at, sent_at)
        else:
            self._last_failed_at = max(self._last_failed_at, sent_at)


def _is_done(result: rows.Range | rows.Feed) -> bool:
    return result.outcome is table.Outcome.DONE
