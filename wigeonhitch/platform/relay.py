"""ASGI application that relays peers' store calls to the store, unchanged.

A call that came from a peer is sent to the store only, never to another peer.
"""

from collections.abc import Mapping
from typing import Any, Protocol

import anyio

from wigeonhitch import asgi
from wigeonhitch.platform import http, rows, table

__all__ = ["Forwarder", "Gate", "Relay"]

MAX_BODY_BYTES = 4 * 1024 * 1024
"""Maximum size of a relayed transaction: 64 rows of the platform's size. The bodies of
all calls in progress then take at most 128 MB."""

DEFAULT_TIMEOUT_SECONDS = 1.0
"""Timeout of a call that doesn't name one."""

MAX_TIMEOUT_SECONDS = 10.0
"""Maximum timeout: no caller waits longer, and each call counts against the limit."""

REQUEST_TIMEOUT_SECONDS = 5.0
"""Time within which the body of a call has to be received."""


class Gate(Protocol):
    """Decides whether calls are relayed, and counts them."""

    def begin_relay(self) -> str:
        """Return why a call isn't relayed, or count it and return an empty text."""
        ...

    def end_relay(self, service: rows.Service, sent: float) -> None:
        """Record the end of a counted call that was sent to the store."""
        ...

    def cancel_relay(self) -> None:
        """Record the end of a counted call whose requester has gone."""
        ...


class Forwarder(Protocol):
    """Forwards calls to the store; implemented by `rows.Rows`."""

    async def forward(
        self, path: str, query: str, body: bytes, sink: http.Sink, *, timeout: float
    ) -> http.Reply:
        """Forward one call unchanged, and its answer to a sink."""
        ...


class Relay:
    """ASGI application for the listen address of peers.

    Parameters
    ----------
    store : Forwarder
        Client of the store with connections of its own, so that relayed calls never
        keep this daemon's own calls waiting for a connection.
    gate : Gate
        Decides whether calls are relayed.
    """

    def __init__(self, store: Forwarder, gate: Gate) -> None:
        self._store = store
        self._gate = gate

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] == "lifespan":
            await asgi.serve_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        if rows.METHODS.get(scope["path"]) != scope["method"]:
            await _answer(send, 404)
            return
        if reason := self._gate.begin_relay():
            await _answer(send, 503, reason)
            return
        is_ended = False
        try:
            body = await _read_body(receive)
            if body is None:
                await _answer(send, 503, "no body")
                return
            reply = await self._forward(scope, body, receive, send)
            if reply is not None:
                is_ended = True
                self._gate.end_relay(_classify(reply), reply.sent)
        finally:
            if not is_ended:
                self._gate.cancel_relay()

    async def _forward(
        self, scope: Any, body: bytes, receive: Any, send: Any
    ) -> http.Reply | None:
        """Forward a call; return None if its requester has gone meanwhile."""
        sink = _Sink(send)
        reply = None
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_at_disconnect, receive, group.cancel_scope)
            reply = await self._store.forward(
                scope["path"],
                scope["query_string"].decode("latin-1"),
                body,
                sink,
                timeout=_read_timeout(scope["headers"]),
            )
            group.cancel_scope.cancel()
        if reply is None:
            return None
        if reply.outcome is table.Outcome.DONE:
            await sink.end()
        elif reply.outcome is table.Outcome.NOT_DONE:
            await _answer(send, 503, "store lost")
        elif not sink.has_begun:
            await _answer(send, 504)
        # Otherwise the server closes the connection, as the answer isn't complete.
        return reply


class _Sink:
    """Passes an answer on as ASGI messages."""

    def __init__(self, send: Any) -> None:
        self._send = send
        self.has_begun = False

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        self.has_begun = True
        kept = ("content-type", "content-length", "retry-after")
        listed = [
            (name.encode(), headers[name].encode()) for name in kept if name in headers
        ]
        await self._send(
            {"type": "http.response.start", "status": status, "headers": listed}
        )

    async def add(self, part: bytes) -> None:
        await self._send(
            {"type": "http.response.body", "body": part, "more_body": True}
        )

    async def end(self) -> None:
        await self._send({"type": "http.response.body", "body": b""})


async def _read_body(receive: Any) -> bytes | None:
    with anyio.move_on_after(REQUEST_TIMEOUT_SECONDS):
        return await asgi.read_body(receive, MAX_BODY_BYTES)
    return None


async def _cancel_at_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    if (await receive())["type"] == "http.disconnect":
        scope.cancel()


async def _answer(send: Any, status: int, reason: str = "") -> None:
    headers = [(b"content-length", b"0")]
    if reason:
        headers.append((rows.REFUSED_HEADER.lower().encode(), reason.encode()))
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


def _read_timeout(headers: list[tuple[bytes, bytes]]) -> float:
    """Return the timeout of a call in seconds."""
    name = rows.TIMEOUT_HEADER.lower().encode()
    text = next((value for key, value in headers if key.lower() == name), b"")
    if not text.isdigit() or len(text) > 9:
        return DEFAULT_TIMEOUT_SECONDS
    return min(int(text) / 1000, MAX_TIMEOUT_SECONDS)


def _classify(reply: http.Reply) -> rows.Service:
    if reply.outcome is table.Outcome.NOT_DONE or reply.status in (429, 503):
        return rows.Service.REFUSED
    is_served = reply.outcome is table.Outcome.DONE and reply.status < 500
    return rows.Service.SERVED if is_served else rows.Service.UNANSWERED
