"""HTTP interface of the store, answered from `standins.rowstore`."""

import base64
import random
from typing import Any, NamedTuple

import anyio

from standins import rowstore
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import http, rows, table

__all__ = ["Answer", "Store"]

TRANSACTION_SECONDS = 0.004
"""Duration of a transaction; one over several parts takes twice as long."""

LATE_SHARE = 0.35
"""Share of the writes that are applied late while answers are lost."""

LATE_SECONDS = (1.0, 6.0)
"""Range of the time after which they are applied."""

POLL_SECONDS = 0.02
"""Interval of checks whether a late write is due."""

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
        self._late_rngs: list[random.Random] = []
        """One for each call of `delay_writes` that delays writes."""
        self._late_writes: list[tuple[float, rows.Transaction]] = []

    async def delay_writes(self, rng: random.Random, seconds: float) -> None:
        """Apply a share of the writes late and without an answer, for a time.

        Return once all of them are applied, if their conditions still hold.
        """
        end = http.read_clock() + seconds
        self._late_rngs.append(rng)
        while http.read_clock() < end:
            await anyio.sleep(POLL_SECONDS)
            await self._apply_due_writes()
        self._late_rngs.remove(rng)
        while self._late_writes:
            await anyio.sleep(POLL_SECONDS)
            await self._apply_due_writes()

    async def _apply_due_writes(self) -> None:
        now = http.read_clock()
        due = [item for item in self._late_writes if item[0] <= now]
        self._late_writes = [item for item in self._late_writes if item[0] > now]
        for _, change in sorted(due, key=lambda item: item[0]):
            await self.rows.commit(change, timeout=TIMEOUT_SECONDS)

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
        if self._late_rngs and self._late_rngs[0].random() < LATE_SHARE:
            delay = self._late_rngs[0].uniform(*LATE_SECONDS)
            self._late_writes.append((http.read_clock() + delay, change))
            return Answer(0)
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
