"""Client of the platform's row store: conditional transactions, reads and feeds.

A table consists of parts, and a transaction normally stays within one part. A
row's version comes from one counter of the whole store, so versions of any two
rows can be compared, and a version serves as a fencing token.
"""

import base64
import enum
import math
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import anyio

from wigeonhitch.platform import http, table

__all__ = [
    "Change",
    "Condition",
    "Feed",
    "METHODS",
    "Parts",
    "REFUSED_HEADER",
    "Range",
    "Row",
    "RowStore",
    "Rows",
    "Service",
    "TIMEOUT_HEADER",
    "Transaction",
    "Write",
    "classify",
    "list_missing",
]

COMMIT_PATH = "/v1/rows-tx"
READ_PATH = "/v1/rows-get"
FOLLOW_PATH = "/v1/rows-feed"
PARTS_PATH = "/v1/rows-parts"

METHODS = {
    COMMIT_PATH: "POST",
    READ_PATH: "GET",
    FOLLOW_PATH: "GET",
    PARTS_PATH: "GET",
}
"""HTTP method of each call of the row store, by path."""

TIMEOUT_HEADER = "Relay-Timeout-Ms"
"""Header of a call to a peer: milliseconds until the answer has to begin."""

REFUSED_HEADER = "Relay-Refused"
"""Header of a peer's answer: why the peer has sent nothing to the store."""

FOREIGN_STATUSES = (401, 403, 404, 405)
"""Statuses by which a server that isn't the listener of a peer rejects a call: it knows
neither the path nor the sender. No row of the store is read or written then."""

MAX_IDLE_SECONDS = 1.0
"""Time without further bytes after which an answer that has begun counts as lost: a
slow store's pauses are a quarter of that."""


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
    """Conditions and writes that are applied atomically or not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class Change(NamedTuple):
    """Effect of a transaction.

    When a condition failed, ``reason`` is ``"conflict"`` and ``conflicts`` holds
    the current rows of the conditions. ``store_time`` is the store's monotonic
    clock in seconds, 0 without an answer.
    """

    outcome: table.Outcome
    version: int = 0
    conflicts: tuple[Row, ...] = ()
    reason: str = ""
    store_time: float = 0.0
    sent: float = 0.0
    received: float = 0.0


class Range(NamedTuple):
    """Rows of one table and part.

    ``version``, ``store_time`` and ``sent`` are those of the first page: all changes up
    to then are listed, and later ones may be.
    """

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

    A conflict lists the current rows, so a store may omit a missing row. An
    omitted row is known to be missing only if no listed row explains the
    conflict; otherwise nothing is returned, and a later try shows the rest.
    """
    listed = {(row.table, row.part, row.key): row.version for row in conflicts}
    if any(listed.get(c[:3], c.version) != c.version for c in conditions):
        return ()
    return tuple(c for c in conditions if c.version and c[:3] not in listed)


class Feed(NamedTuple):
    """Changes of a table after a version.

    ``expired`` means that the store no longer has the history since then.
    """

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


class Service(enum.Enum):
    """How a call to the store, or through a peer, ended."""

    SERVED = "served"
    REFUSED = "refused"
    """The call certainly had no effect, as nothing has processed it."""
    UNANSWERED = "unanswered"
    """The call may have had an effect and may still have one."""


class RowStore(Protocol):
    """Operations on the row store.

    The timeout of a read or of a feed call, in seconds, ends when the answer begins:
    rows that are being received are not given up. That of other calls covers the whole
    call.
    """

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
        """Read all pages of the keys from ``first`` to ``last``, which is excluded."""
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
    """Implements `RowStore` over HTTP.

    Parameters
    ----------
    client : http.Client
        Client that makes the calls.
    address : str
        Address of the store or of a peer.
    is_peer : bool
        Whether the address is that of a peer, which is told the timeout of each call.

    Attributes
    ----------
    on_answer : list of callable
        Called with the send time of a call when its answer begins.
    """

    def __init__(
        self, client: http.Client, address: str, is_peer: bool = False
    ) -> None:
        self._client = client
        self._address = address
        self._is_peer = is_peer
        self._waiting_reads: set[anyio.CancelScope] = set()
        self.on_answer: list[Callable[[float], None]] = []

    def abandon_reads(self) -> None:
        """End the reads and feed calls whose answers have not begun, as timed out."""
        for scope in tuple(self._waiting_reads):
            scope.deadline = -math.inf

    async def forward(
        self, path: str, query: str, body: bytes, sink: http.Sink, *, timeout: float
    ) -> http.Reply:
        """Forward one of the calls of `METHODS` unchanged, and its answer to a sink.

        ``timeout`` is in seconds and ends when the answer begins.
        """
        method = METHODS[path]
        return await self._client.forward(
            method,
            self._address,
            f"{path}?{query}" if query else path,
            sink,
            timeout=timeout,
            max_idle=MAX_IDLE_SECONDS,
            body=body,
            waiting=self._waiting_reads if method == "GET" else None,
        )

    async def commit(self, change: Transaction, *, timeout: float) -> Change:
        """Make one attempt; ``UNKNOWN`` may still be applied seconds later."""
        body = {
            "if_rev": [_write_condition(c) for c in change.conditions],
            "writes": [_write_row(w) for w in change.writes if w.value is not None],
            "remove": [_write_key(w) for w in change.writes if w.value is None],
        }
        if len({item.part for item in (*change.conditions, *change.writes)}) > 1:
            body["across"] = True
        reply = await self._call(COMMIT_PATH, timeout, body=body)
        clock = _read_time(reply)
        if reply.status == 200 and isinstance(reply.body, dict):
            version = reply.body["ver"]
            done = table.Outcome.DONE
            return Change(done, version, (), "", clock, reply.sent, reply.received)
        if reply.status == 412 and not isinstance(reply.body, dict):
            # An unreadable body lists no rows, which would mean that all are missing.
            return Change(table.Outcome.UNKNOWN, 0, (), _get_failure_reason(reply))
        if reply.status == 412:
            listed = _read_rows(reply)
            return Change(table.Outcome.NOT_DONE, 0, listed, "conflict", clock)
        return Change(_classify_reply(reply), 0, (), _get_failure_reason(reply))

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
        """Read all pages of the keys from ``first`` to ``last``, which is excluded."""
        listed: list[Row] = []
        first_page: http.Reply | None = None
        while True:
            query = {"table": table, "part": part}
            if first:
                query["from"] = first
            if last:
                query["to"] = last
            if limit:
                query["limit"] = str(limit)
            reply = await self._call(READ_PATH, timeout, query=query)
            if reply.status != 200 or not isinstance(reply.body, dict):
                return Range(_classify_reply(reply), reason=_get_failure_reason(reply))
            listed.extend(_read_rows(reply))
            # Changes made after the first page may be on no page. The feed returns
            # them if it starts at the version of the first page.
            first_page = first_page or reply
            if limit or not reply.body.get("truncated") or not listed:
                break
            first = listed[-1].key + "\0"
        version, clock = first_page.body["ver"], _read_time(first_page)
        rows = tuple(listed)
        return Range(_DONE, rows, version, "", clock, first_page.sent, reply.received)

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> Feed:
        """Wait up to ``wait`` seconds for changes after a version."""
        query = {"table": table, "after": str(after), "wait_ms": str(int(wait * 1000))}
        reply = await self._call(FOLLOW_PATH, timeout, query=query)
        if reply.status == 410:
            return Feed(_DONE, expired=True)
        if reply.status != 200 or not isinstance(reply.body, dict):
            return Feed(_classify_reply(reply), reason=_get_failure_reason(reply))
        clock = _read_time(reply)
        rows = _read_rows(reply)
        version = reply.body.get("ver", after)
        return Feed(_DONE, rows, version, False, "", clock, reply.sent, reply.received)

    async def list_parts(self, table: str, *, timeout: float) -> Parts:
        """Return the parts of a table; all pages."""
        names: list[str] = []
        while True:
            query = {"table": table}
            if names:
                query["after"] = names[-1]
            reply = await self._call(PARTS_PATH, timeout, query=query)
            if reply.status != 200 or not isinstance(reply.body, dict):
                return Parts(None, _get_failure_reason(reply))
            page = reply.body.get("parts", ())
            names.extend(page)
            if len(page) < MAX_PARTS_PER_PAGE:
                return Parts(tuple(names))

    async def _call(
        self,
        path: str,
        timeout: float,
        *,
        body: Any = None,
        query: dict[str, str] | None = None,
    ) -> http.Reply:
        method = METHODS[path]
        is_read = method == "GET"
        headers = {TIMEOUT_HEADER: str(int(timeout * 1000))} if self._is_peer else None
        sent = http.read_clock()

        def notify() -> None:
            for listener in self.on_answer:
                listener(sent)

        reply = await self._client.call(
            method,
            self._address,
            path,
            timeout=timeout,
            body=body,
            query=query,
            headers=headers,
            max_idle=MAX_IDLE_SECONDS if is_read else None,
            waiting=self._waiting_reads if is_read else None,
            on_answer=notify if self.on_answer else None,
        )
        if self._is_peer and reply.status in FOREIGN_STATUSES:
            return reply._replace(headers={REFUSED_HEADER: "unknown path"})
        if self._is_peer and not _is_readable(path, reply):
            return reply._replace(body=None)
        return reply


_DONE = table.Outcome.DONE

MAX_PARTS_PER_PAGE = 1000
"""Maximum number of part names in one answer, as the platform documents."""


def classify(result: Change | Range | Feed | Parts) -> Service:
    """Return how a call ended, by its result.

    An answer that rejects the call itself (a status of 400 to 499 other than 429)
    counts as served: another way to the store doesn't change it.
    """
    if isinstance(result, Parts):
        is_done = result.names is not None
        is_refused = result.reason.startswith(_REFUSAL_REASONS)
    else:
        is_done = result.outcome is table.Outcome.DONE
        is_refused = result.outcome is table.Outcome.NOT_DONE
    if is_done or result.reason == "conflict" or result.reason.startswith("status 4"):
        return Service.SERVED
    return Service.REFUSED if is_refused else Service.UNANSWERED


_REFUSAL_REASONS = ("busy", "down", "connect", "peer")


def _classify_reply(reply: http.Reply) -> table.Outcome:
    """Return the outcome of a failed call; a 4xx or 503 status means no effect."""
    if reply.status in (429, 503) or 400 <= reply.status < 500:
        return table.Outcome.NOT_DONE
    if reply.outcome is table.Outcome.NOT_DONE:
        return table.Outcome.NOT_DONE
    return table.Outcome.UNKNOWN


def _get_failure_reason(reply: http.Reply) -> str:
    if reply.headers is not None and REFUSED_HEADER in reply.headers:
        return f"peer: {reply.headers[REFUSED_HEADER]}"
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
    return tuple(_read_row(fields) for fields in reply.body.get("rows", ()))


def _is_readable(path: str, reply: http.Reply) -> bool:
    """Return whether an answer has the form that is read from it.

    Another program may have taken over the address of a peer.
    """
    body = reply.body
    if not isinstance(body, dict):
        return False
    if path == PARTS_PATH:
        names = body.get("parts", [])
        return isinstance(names, list) and all(isinstance(name, str) for name in names)
    try:
        _read_time(reply)
        versions = [row.version for row in _read_rows(reply)]
    except (AttributeError, TypeError, ValueError):
        return False
    if reply.status == 200:
        versions.append(body.get("ver", 0 if path == FOLLOW_PATH else None))
    return all(isinstance(version, int) for version in versions)


def _read_row(fields: dict[str, Any]) -> Row:
    value = fields.get("value")
    is_deleted = bool(fields.get("deleted")) or value is None
    raw = None if is_deleted else base64.b64decode(value)
    path = (fields.get("table", ""), fields.get("part", ""), fields.get("key", ""))
    return Row(*path, raw, fields.get("ver", 0))


def _write_key(item: Write | Condition) -> dict[str, Any]:
    return {"table": item.table, "part": item.part, "key": item.key}


def _write_row(write: Write) -> dict[str, Any]:
    text = base64.b64encode(write.value or b"").decode()
    return {**_write_key(write), "value": text}


def _write_condition(condition: Condition) -> dict[str, Any]:
    return {**_write_key(condition), "ver": condition.version}
