"""The platform's row store: conditional transactions, ranges and feeds.

Rows lie in tables; a transaction normally stays within one part. A row's
version comes from one counter of the whole store, so versions of any two rows
can be compared, and a version serves as a fencing token.
"""

import base64
from typing import Any, NamedTuple, Protocol

from wigeonhitch.platform import http, table

__all__ = [
    "Change",
    "Condition",
    "Feed",
    "Parts",
    "Range",
    "Row",
    "RowStore",
    "Rows",
    "Transaction",
    "Write",
    "list_missing",
]


class Row(NamedTuple):
    """One row; ``value`` is None when it was removed."""

    table: str
    part: str
    key: str
    value: bytes | None
    version: int


class Condition(NamedTuple):
    """The row must have this version; 0: it must not exist."""

    table: str
    part: str
    key: str
    version: int


class Write(NamedTuple):
    """Set a row, or remove it when ``value`` is None."""

    table: str
    part: str
    key: str
    value: bytes | None


class Transaction(NamedTuple):
    """Conditions and writes that hold or fail together, mostly within one part."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Change(NamedTuple):
    """Effect of a transaction.

    ``conflicts`` holds the rows of the conditions as they are when a
    condition failed (``reason`` is then ``"conflict"``); ``store_time`` is the
    store's steady clock in seconds, 0 without an answer.
    """

    outcome: table.Outcome
    version: int = 0
    conflicts: tuple[Row, ...] = ()
    reason: str = ""
    store_time: float = 0.0
    sent: float = 0.0
    received: float = 0.0


class Range(NamedTuple):
    """Rows of one table and part as of one moment."""

    outcome: table.Outcome
    rows: tuple[Row, ...] = ()
    version: int = 0
    reason: str = ""
    store_time: float = 0.0
    sent: float = 0.0
    received: float = 0.0


def list_missing(
    conditions: tuple[Condition, ...], conflicts: tuple[Row, ...]
) -> tuple[Condition, ...]:
    """Return the conditions that failed because their row doesn't exist.

    A store lists rows as they are, so it may leave out one that is gone. That
    is certain only where no row that is listed explains why the transaction
    failed; a later try shows the others.
    """
    listed = {(row.table, row.part, row.key): row.version for row in conflicts}
    if any(listed.get(one[:3], one.version) != one.version for one in conditions):
        return ()
    return tuple(one for one in conditions if one.version and one[:3] not in listed)


class Feed(NamedTuple):
    """Changes of a table after a version; ``expired``: history is dropped."""

    outcome: table.Outcome
    rows: tuple[Row, ...] = ()
    version: int = 0
    expired: bool = False
    reason: str = ""
    store_time: float = 0.0
    sent: float = 0.0
    received: float = 0.0


class Parts(NamedTuple):
    """Names of a table's parts, or None with the reason."""

    names: tuple[str, ...] | None
    reason: str = ""


class RowStore(Protocol):
    """What the product needs of the store."""

    async def commit(self, change: Transaction, *, timeout: float) -> Change:
        """Make one attempt; ``UNKNOWN`` may still be applied seconds later."""
        ...

    async def read(
        self,
        table: str,
        part: str,
        *,
        first: str = "",
        last: str = "",
        limit: int = 0,
        timeout: float,
    ) -> Range:
        """Read keys from ``first`` up to, without, ``last``; all pages."""
        ...

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> Feed:
        """Wait up to ``wait`` seconds for changes after a version."""
        ...

    async def list_parts(self, table: str, *, timeout: float) -> Parts:
        """Return the parts of a table; all pages."""
        ...


class Rows:
    """Implements `RowStore` over HTTP."""

    def __init__(self, client: http.Client, address: str) -> None:
        self._client = client
        self._address = address

    async def commit(self, change: Transaction, *, timeout: float) -> Change:
        """Make one attempt; ``UNKNOWN`` may still be applied seconds later."""
        body = {
            "if_rev": [_write_condition(one) for one in change.conditions],
            "writes": [_write_row(o) for o in change.writes if o.value is not None],
            "remove": [_write_key(o) for o in change.writes if o.value is None],
        }
        if len({one.part for one in (*change.conditions, *change.writes)}) > 1:
            body["across"] = True
        reply = await self._call("POST", "/v1/rows-tx", timeout, body=body)
        clock = _read_time(reply)
        if reply.status == 200 and isinstance(reply.body, dict):
            version = reply.body["ver"]
            done = table.Outcome.DONE
            return Change(done, version, (), "", clock, reply.sent, reply.received)
        if reply.status == 412 and not isinstance(reply.body, dict):
            # Which rows are there isn't told; none listed would mean all are gone.
            return Change(table.Outcome.UNKNOWN, 0, (), _explain(reply))
        if reply.status == 412:
            listed = _read_rows(reply)
            return Change(table.Outcome.NOT_DONE, 0, listed, "conflict", clock)
        return Change(_judge(reply), 0, (), _explain(reply))

    async def read(
        self,
        table: str,
        part: str,
        *,
        first: str = "",
        last: str = "",
        limit: int = 0,
        timeout: float,
    ) -> Range:
        """Read keys from ``first`` up to, without, ``last``; all pages."""
        found: list[Row] = []
        version = 0
        while True:
            query = {"table": table, "part": part}
            if first:
                query["from"] = first
            if last:
                query["to"] = last
            if limit:
                query["limit"] = str(limit)
            reply = await self._call("GET", "/v1/rows-get", timeout, query=query)
            if reply.status != 200 or not isinstance(reply.body, dict):
                return Range(_judge(reply), reason=_explain(reply))
            found.extend(_read_rows(reply))
            # Changes after the first page may be on no page, and are to be followed.
            version = version or reply.body["ver"]
            if limit or not reply.body.get("truncated") or not found:
                break
            first = found[-1].key + "\0"
        clock = _read_time(reply)
        rows = tuple(found)
        return Range(_DONE, rows, version, "", clock, reply.sent, reply.received)

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> Feed:
        """Wait up to ``wait`` seconds for changes after a version."""
        query = {"table": table, "after": str(after), "wait_ms": str(int(wait * 1000))}
        reply = await self._call("GET", "/v1/rows-feed", timeout, query=query)
        if reply.status == 410:
            return Feed(_DONE, expired=True)
        if reply.status != 200 or not isinstance(reply.body, dict):
            return Feed(_judge(reply), reason=_explain(reply))
        clock = _read_time(reply)
        rows = _read_rows(reply)
        version = reply.body.get("ver", after)
        return Feed(_DONE, rows, version, False, "", clock, reply.sent, reply.received)

    async def list_parts(self, table: str, *, timeout: float) -> Parts:
        """Return the parts of a table; all pages."""
        found: list[str] = []
        while True:
            query = {"table": table}
            if found:
                query["after"] = found[-1]
            reply = await self._call("GET", "/v1/rows-parts", timeout, query=query)
            if reply.status != 200 or not isinstance(reply.body, dict):
                return Parts(None, _explain(reply))
            page = reply.body.get("parts", ())
            found.extend(page)
            if len(page) < PARTS_A_PAGE:
                return Parts(tuple(found))

    async def _call(
        self,
        method: str,
        path: str,
        timeout: float,
        *,
        body: Any = None,
        query: dict[str, str] | None = None,
    ) -> http.Reply:
        return await self._client.call(
            method, self._address, path, timeout=timeout, body=body, query=query
        )


_DONE = table.Outcome.DONE

PARTS_A_PAGE = 1000
"""Parts in one answer, as the platform's page says."""


def _judge(reply: http.Reply) -> table.Outcome:
    """Return what a failed call may have done: statuses say that it did not."""
    if reply.status in (429, 503) or 400 <= reply.status < 500:
        return table.Outcome.NOT_DONE
    if reply.outcome is table.Outcome.NOT_DONE:
        return table.Outcome.NOT_DONE
    return table.Outcome.UNKNOWN


def _explain(reply: http.Reply) -> str:
    if reply.status == 429:
        return "busy"
    if reply.status == 503:
        return "down"
    return f"status {reply.status}" if reply.status else reply.reason


def _read_time(reply: http.Reply) -> float:
    if not isinstance(reply.body, dict):
        return 0.0
    return reply.body.get("now_ms", 0) / 1000


def _read_rows(reply: http.Reply) -> tuple[Row, ...]:
    if not isinstance(reply.body, dict):
        return ()
    return tuple(_read_row(one) for one in reply.body.get("rows", ()))


def _read_row(fields: dict[str, Any]) -> Row:
    value = fields.get("value")
    gone = bool(fields.get("deleted")) or value is None
    raw = None if gone else base64.b64decode(value)
    place = (fields.get("table", ""), fields.get("part", ""), fields.get("key", ""))
    return Row(*place, raw, fields.get("ver", 0))


def _write_key(one: Write | Condition) -> dict[str, Any]:
    return {"table": one.table, "part": one.part, "key": one.key}


def _write_row(one: Write) -> dict[str, Any]:
    text = base64.b64encode(one.value or b"").decode()
    return {**_write_key(one), "value": text}


def _write_condition(one: Condition) -> dict[str, Any]:
    return {**_write_key(one), "ver": one.version}
