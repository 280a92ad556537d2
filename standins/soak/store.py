"""HTTP interface of the store, answered from `standins.rowstore`."""

import base64
from typing import Any, NamedTuple

import anyio

from standins import rowstore
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import rows, table

__all__ = ["Answer", "Store"]

TRANSACTION_SECONDS = 0.004
"""Duration of a transaction; one over several parts takes twice as long."""

TIMEOUT_SECONDS = 1.0
"""Not used by the in-process store, which never waits for a network."""


class Answer(NamedTuple):
    """Status and body; status 0 means that the caller gets no answer."""

    status: int
    body: Any = None


class Store:
    """Decodes calls, applies them to the rows and encodes the answers.

    Attributes
    ----------
    rows : rowstore.RowStore
        Stored rows, and the fault switches of the store.
    delay : float
        Additional duration of each call, in seconds.
    last_leader_pool : str
        Pool whose leader made the last write under its leadership; empty before any.
    """

    def __init__(self) -> None:
        self.rows = rowstore.RowStore()
        self.delay = 0.0
        self.last_leader_pool = ""

    async def answer(self, path: str, query: dict[str, str], body: Any) -> Answer:
        """Answer one call."""
        await anyio.sleep(self.delay)
        if path == "/v1/rows-tx":
            return await self._commit(body)
        if path == "/v1/rows-get":
            return await self._read(query)
        if path == "/v1/rows-feed":
            return await self._follow(query)
        if path == "/v1/rows-parts":
            result = await self.rows.list_parts(query["table"], timeout=TIMEOUT_SECONDS)
            if result.names is None:
                return Answer(503)
            after = query.get("after", "")
            return Answer(
                200, {"parts": [name for name in result.names if name > after]}
            )
        return Answer(404)

    async def _commit(self, body: Any) -> Answer:
        conditions = tuple(
            rows.Condition(*_decode_key(item), item["ver"]) for item in body["if_rev"]
        )
        writes = [
            rows.Write(*_decode_key(item), base64.b64decode(item["value"]))
            for item in body["writes"]
        ]
        writes.extend(rows.Write(*_decode_key(item), None) for item in body["remove"])
        change = rows.Transaction(conditions, tuple(writes))
        spans_parts = body.get("across", False)
        if not spans_parts and len({item.part for item in (*conditions, *writes)}) > 1:
            return Answer(400)
        await anyio.sleep(TRANSACTION_SECONDS * (2 if spans_parts else 1))
        result = await self.rows.commit(change, timeout=TIMEOUT_SECONDS)
        if result.outcome is table.Outcome.UNKNOWN:
            return Answer(0)
        if result.reason == "conflict":
            return self._answer_rows(412, result.conflicts)
        if result.outcome is not table.Outcome.DONE:
            return Answer(503)
        for item in conditions:
            if item.table == record.OWNER_TABLE and item.part != core.FLEET:
                self.last_leader_pool = item.part
        return Answer(200, {"ver": result.version, "now_ms": _get_now_ms()})

    async def _read(self, query: dict[str, str]) -> Answer:
        result = await self.rows.read(
            query["table"],
            query.get("part", ""),
            first=query.get("from", ""),
            last=query.get("to", ""),
            limit=int(query.get("limit", 0)),
            timeout=TIMEOUT_SECONDS,
        )
        if result.outcome is not table.Outcome.DONE:
            return Answer(503)
        return self._answer_rows(200, result.rows)

    async def _follow(self, query: dict[str, str]) -> Answer:
        result = await self.rows.follow(
            query["table"],
            int(query["after"]),
            wait=int(query.get("wait_ms", 0)) / 1000,
            timeout=TIMEOUT_SECONDS,
        )
        if result.expired:
            return Answer(410)
        if result.outcome is not table.Outcome.DONE:
            return Answer(503)
        return self._answer_rows(200, result.rows)

    def _answer_rows(self, status: int, selected: tuple[rows.Row, ...]) -> Answer:
        encoded = [_encode_row(row) for row in selected]
        body = {"rows": encoded, "ver": self.rows.version, "now_ms": _get_now_ms()}
        return Answer(status, body)


def _get_now_ms() -> int:
    return int(rowstore.read_times()[0] * 1000)


def _decode_key(fields: dict[str, Any]) -> tuple[str, str, str]:
    return fields["table"], fields["part"], fields["key"]


def _encode_row(row: rows.Row) -> dict[str, Any]:
    fields = {"table": row.table, "part": row.part, "key": row.key, "ver": row.version}
    if row.value is None:
        return {**fields, "deleted": True}
    return {**fields, "value": base64.b64encode(row.value).decode()}
