"""Whether this daemon reaches the platform's store, by all calls that it makes."""

from wigeonhitch.platform import http, rows, table

__all__ = ["LOST", "Contact"]

LOST = 1.5
"""Seconds without an answer, while calls fail, after which the store counts as lost."""


class Contact:
    """Implements `rows.RowStore` over another one, and notes what answers.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self._store = store
        self._served = 0.0
        """When the newest call was sent that the store has served."""
        self._failed = 0.0
        """When the newest call was sent that failed."""

    def is_lost(self) -> bool:
        """Whether calls fail, and none was served for some time."""
        is_old = http.read_clock() - self._served > LOST
        return is_old and self._failed >= self._served

    async def commit(self, change: rows.Transaction, *, timeout: float) -> rows.Change:
        """Make one attempt; ``UNKNOWN`` may still be applied seconds later."""
        sent = http.read_clock()
        result = await self._store.commit(change, timeout=timeout)
        done = result.outcome is table.Outcome.DONE
        self._note(sent, done or result.reason == "conflict")
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
        """Read keys from ``first`` up to, without, ``last``; all pages."""
        sent = http.read_clock()
        result = await self._store.read(
            table, part, first=first, last=last, limit=limit, timeout=timeout
        )
        self._note(sent, _is_done(result))
        return result

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> rows.Feed:
        """Wait up to ``wait`` seconds for changes after a version."""
        sent = http.read_clock()
        result = await self._store.follow(table, after, wait=wait, timeout=timeout)
        self._note(sent, _is_done(result))
        return result

    async def list_parts(self, table: str, *, timeout: float) -> rows.Parts:
        """Return the parts of a table; all pages."""
        sent = http.read_clock()
        result = await self._store.list_parts(table, timeout=timeout)
        self._note(sent, result.names is not None)
        return result

    def _note(self, sent: float, is_served: bool) -> None:
        if is_served:
            self._served = max(self._served, sent)
        else:
            self._failed = max(self._failed, sent)


def _is_done(result: rows.Range | rows.Feed) -> bool:
    return result.outcome is table.Outcome.DONE
