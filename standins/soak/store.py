"""The store's calls over HTTP, answered from `standins.rowstore`."""

import base64
from typing import Any, NamedTuple

import anyio

from standins import rowstore
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import rows, table

__all__ = ["Answer", "Store"]

TRANSACTION = 0.004
"""Seconds that a transaction takes; one over several parts takes twice as long."""

TIMEOUT = 1.0
"""Unused by the store in process, which never waits on a network."""


class Answer(NamedTuple):
    """Status and body; status 0: the caller gets no answer."""

    status: int
    body: Any = None


class Store:
    """Decodes calls and encodes answers.

    Attributes
    ----------
    rows : rowstore.RowStore
        What is stored, and the faults of the whole store.
    delay : float
        Seconds that each call takes longer.
    led : str
        Pool whose leader last wrote as such; empty before.
    """

    def __init__(self) -> None:
        self.rows = rowstore.RowStore()
        self.delay = 0.0
        self.led = ""

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
            found = await self.rows.list_parts(query["table"], timeout=TIMEOUT)
            if found.names is None:
                return Answer(503)
            after = query.get("after", "")
            return Answer(200, {"parts": [one for one in found.names if one > after]})
        return Answer(404)

    async def _commit(self, body: Any) -> Answer:
        conditions = tuple(
            rows.Condition(*_read_key(one), one["ver"]) for one in body["if_rev"]
        )
        writes = [
            rows.Write(*_read_key(one), base64.b64decode(one["value"]))
            for one in body["writes"]
        ]
        writes.extend(rows.Write(*_read_key(one), None) for one in body["remove"])
        change = rows.Transaction(conditions, tuple(writes))
        is_across = body.get("across", False)
        if not is_across and len({one.part for one in (*conditions, *writes)}) > 1:
            return Answer(400)
        await anyio.sleep(TRANSACTION * (2 if is_across else 1))
        done = await self.rows.commit(change, timeout=TIMEOUT)
        if done.outcome is table.Outcome.UNKNOWN:
            return Answer(0)
        if done.reason == "conflict":
            return self._list(412, done.conflicts)
        if done.outcome is not table.Outcome.DONE:
            return Answer(503)
        for one in conditions:
            if one.table == record.OWNER_TABLE and one.part != core.FLEET:
                self.led = one.part
        return Answer(200, {"ver": done.version, "now_ms": _read_now()})

    async def _read(self, query: dict[str, str]) -> Answer:
        found = await self.rows.read(
            query["table"],
            query.get("part", ""),
            first=query.get("from", ""),
            last=query.get("to", ""),
            limit=int(query.get("limit", 0)),
            timeout=TIMEOUT,
        )
        if found.outcome is not table.Outcome.DONE:
            return Answer(503)
        return self._list(200, found.rows)

    async def _follow(self, query: dict[str, str]) -> Answer:
        found = await self.rows.follow(
            query["table"],
            int(query["after"]),
            wait=int(query.get("wait_ms", 0)) / 1000,
            timeout=TIMEOUT,
        )
        if found.expired:
            return Answer(410)
        if found.outcome is not table.Outcome.DONE:
            return Answer(503)
        return self._list(200, found.rows)

    def _list(self, status: int, found: tuple[rows.Row, ...]) -> Answer:
        listed = [_write_row(one) for one in found]
        body = {"rows": listed, "ver": self.rows.version, "now_ms": _read_now()}
        return Answer(status, body)


def _read_now() -> int:
    return int(rowstore.read_times()[0] * 1000)


def _read_key(fields: dict[str, Any]) -> tuple[str, str, str]:
    return fields["table"], fields["part"], fields["key"]


def _write_row(row: rows.Row) -> dict[str, Any]:
    fields = {"table": row.table, "part": row.part, "key": row.key, "ver": row.version}
    if row.value is None:
        return {**fields, "deleted": True}
    return {**fields, "value": base64.b64encode(row.value).decode()}
