"""Links of one daemon to an in-process row store, with faults."""

import math
from collections.abc import Awaitable, Coroutine
from typing import Any

import anyio

from wigeonhitch.platform import http, rows, table

__all__ = ["LossyLink", "StoreLink"]


BASE64_RATIO = 4 / 3
"""Size of a row's value in an answer to its size in the store."""

STORE_CLOCK_OFFSET_SECONDS = 5000.0
"""Seconds between the link's clock and the store's."""


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


class LossyLink:
    """Implements `wigeonhitch.platform.rows.RowStore` over a lossy and narrow link.

    A call that is made, in flight or being answered while its table is silent gets no
    answer and ends with its timeout, as on a connection that delivers nothing more.

    Parameters
    ----------
    store : rows.RowStore
        Store that calls are forwarded to.
    latency : float
        Seconds that a call and its answer take together, without their rows.
    bytes_per_second : float
        Rate at which the rows of an answer are transferred.

    Attributes
    ----------
    silent_tables : set of str
        Tables for which nothing is delivered.
    calls : list of tuple
        Time, method and table of each call.
    """

    def __init__(
        self,
        store: rows.RowStore,
        latency: float = 0.01,
        bytes_per_second: float = 1e9,
    ) -> None:
        self.silent_tables: set[str] = set()
        self.calls: list[tuple[float, str, str]] = []
        self._store = store
        self._latency = latency
        self._bytes_per_second = bytes_per_second
        self._lost_calls: dict[int, str] = {}

    def silence(self, *tables: str) -> None:
        """Deliver nothing for some tables, also for calls that wait already."""
        self.silent_tables.update(tables)
        for number, name in self._lost_calls.items():
            if name in self.silent_tables:
                self._lost_calls[number] = ""

    def restore(self) -> None:
        """Deliver the calls that are made from now on."""
        self.silent_tables.clear()

    async def commit(self, change: rows.Transaction, *, timeout: float) -> rows.Change:
        """Make one attempt to commit a transaction."""
        name = change.writes[0].table
        call = self._store.commit(change, timeout=timeout)
        return await self._deliver("commit", name, call, timeout, rows.Change)

    async def read(
        self, table: str, part: str, *, timeout: float, **bounds: Any
    ) -> rows.Range:
        """Read a range of keys."""
        call = self._store.read(table, part, timeout=timeout, **bounds)
        return await self._deliver("read", table, call, timeout, rows.Range)

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> rows.Feed:
        """Wait for changes of a table."""
        call = self._store.follow(table, after, wait=wait, timeout=timeout)
        return await self._deliver("follow", table, call, timeout, rows.Feed)

    async def list_parts(self, table: str, *, timeout: float) -> rows.Parts:
        """Return the parts of a table."""
        return await self._store.list_parts(table, timeout=timeout)

    async def _deliver(
        self,
        method: str,
        name: str,
        call: Coroutine[Any, Any, Any],
        timeout: float,
        kind: Any,
    ) -> Any:
        sent = http.read_clock()
        number = len(self.calls)
        self.calls.append((sent, method, name))
        is_lost = name in self.silent_tables
        self._lost_calls[number] = "" if is_lost else name
        try:
            with anyio.move_on_after(timeout) as scope:
                await anyio.sleep(self._latency / 2)
                answer = await call
                formed = http.read_clock()
                await anyio.sleep(self._latency / 2)
                if not self._lost_calls[number]:
                    await anyio.sleep_forever()
                scope.deadline = math.inf  # the answer has begun
                size = sum(len(row.value or b"") for row in getattr(answer, "rows", ()))
                await anyio.sleep(size * BASE64_RATIO / self._bytes_per_second)
                if not self._lost_calls[number]:
                    await anyio.sleep(rows.MAX_IDLE_SECONDS)
                    reason = http.TIMEOUT_IN_TRANSFER
                    return kind(table.Outcome.UNKNOWN, reason=reason)
                return answer._replace(
                    store_time=formed + STORE_CLOCK_OFFSET_SECONDS,
                    sent=sent,
                    received=http.read_clock(),
                )
        finally:
            call.close()
            del self._lost_calls[number]
        return kind(table.Outcome.UNKNOWN, reason="timeout")
