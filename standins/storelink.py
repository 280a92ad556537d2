"""Link of one daemon to an in-process row store, with faults."""

from collections.abc import Awaitable
from typing import Any

import anyio

from wigeonhitch.platform import http, rows, table

__all__ = ["StoreLink"]


class StoreLink:
    """Implements `wigeonhitch.platform.rows.RowStore` over another one.

    Parameters
    ----------
    store : rows.RowStore
        Store that calls are forwarded to.

    Attributes
    ----------
    is_cut : bool
        Calls fail without effect.
    slow : dict of str to float
        Seconds by which the answers of reads are delayed, by table.
    """

    def __init__(self, store: rows.RowStore) -> None:
        self.is_cut = False
        self.read_delays: dict[str, float] = {}
        self._store = store

    async def commit(self, change: rows.Transaction, *, timeout: float) -> rows.Change:
        """Make one attempt to commit a transaction."""
        if self.is_cut:
            return await self._fail(rows.Change)
        return await self._store.commit(change, timeout=timeout)

    async def read(
        self, table: str, part: str, *, timeout: float, **bounds: Any
    ) -> rows.Range:
        """Read a range of keys."""
        if self.is_cut:
            return await self._fail(rows.Range)
        read = self._store.read(table, part, timeout=timeout, **bounds)
        return await self._deliver(table, read)

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> rows.Feed:
        """Wait for changes of a table."""
        if self.is_cut:
            return await self._fail(rows.Feed)
        feed = self._store.follow(table, after, wait=wait, timeout=timeout)
        return await self._deliver(table, feed)

    async def list_parts(self, table: str, *, timeout: float) -> rows.Parts:
        """Return the parts of a table."""
        if self.is_cut:
            await anyio.sleep(0.01)
            return rows.Parts(None, "down")
        return await self._store.list_parts(table, timeout=timeout)

    async def _deliver(self, name: str, call: Awaitable[Any]) -> Any:
        sent = http.read_clock()
        answer = await call
        await anyio.sleep(self.read_delays.get(name, 0.0))
        if self.is_cut:
            return type(answer)(table.Outcome.UNKNOWN, reason="timeout")
        return answer._replace(sent=sent, received=http.read_clock())

    async def _fail(self, kind: Any) -> Any:
        await anyio.sleep(0.01)
        return kind(table.Outcome.NOT_DONE, reason="down")
