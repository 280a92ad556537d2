"""ASGI application that decodes callers' job requests for the request handler."""

import math
from collections.abc import Callable
from typing import Any

import orjson

from wigeonhitch.jobs import credential, model
from wigeonhitch.site import message

__all__ = ["Ingress", "read_job", "read_key"]

READINESS_PATH = "/v1/readiness"

KEY_SCHEME = "Token"
"""Scheme of the header that holds a caller's key."""

STATUS_BY_VERDICT = {
    message.Verdict.ACCEPTED: 200,
    message.Verdict.FOUND: 200,
    message.Verdict.MISSING: 410,
    message.Verdict.NO_QUEUE: 404,
    message.Verdict.NOT_RUN: 503,
    message.Verdict.UNKNOWN: 504,
    message.Verdict.INVALID: 400,
    message.Verdict.UNAUTHORIZED: 401,
}


class Ingress:
    """ASGI application for the callers' and the readiness addresses.

    Parameters
    ----------
    handler : message.RequestHandler
        Handles the decoded requests.
    is_ready : callable
        Whether the load balancer may send new connections.
    is_closing : callable
        Whether connections should be closed after their next answer.
    """

    def __init__(
        self,
        handler: message.RequestHandler,
        is_ready: Callable[[], bool],
        is_closing: Callable[[], bool],
    ) -> None:
        self._handler = handler
        self._is_ready = is_ready
        self._is_closing = is_closing

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if scope["path"] == READINESS_PATH:
            await _send(send, 200 if self._is_ready() else 503, None, {})
            return
        host = _find_host(scope["headers"])
        queue = self._handler.find_queue(host, scope["path"])
        body = await _read_body(receive, self._handler.max_body_bytes)
        key = read_key(scope["headers"])
        answer = await self._answer(scope["method"], queue, scope["path"], key, body)
        headers = {}
        if answer.verdict is message.Verdict.UNAUTHORIZED:
            headers["WWW-Authenticate"] = KEY_SCHEME
        if answer.retry_after:
            headers["Retry-After"] = str(max(1, math.ceil(answer.retry_after)))
        if self._is_closing():
            headers["Connection"] = "close"
        await _send(
            send, STATUS_BY_VERDICT[answer.verdict], _make_body(answer), headers
        )

    async def _answer(
        self,
        method: str,
        queue: model.Queue | message.Answer,
        path: str,
        key: bytes | credential.InvalidKey,
        body: bytes | None,
    ) -> message.Answer:
        if isinstance(queue, message.Answer):
            return queue
        team = self._handler.authorize(queue, key)
        if isinstance(team, message.Answer):
            return team
        id = path[len(queue.prefix) :]
        if method == "GET" and not id:
            return await self._handler.count(queue)
        if method == "GET":
            return await self._handler.show(queue, id)
        if method == "DELETE":
            return await self._handler.cancel(queue, id, team.name)
        if method != "POST" or not id or body is None:
            return message.Answer(message.Verdict.INVALID, reason="method, id or body")
        try:
            job = read_job(id, queue.name, body)
        except (
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
            OverflowError,
        ) as error:
            return message.Answer(message.Verdict.INVALID, reason=str(error))
        return await self._handler.submit(queue, job._replace(team=team.name))


def read_job(id: str, queue: str, body: bytes) -> model.Job:
    """Decode a submitted job.

    Raises
    ------
    ValueError, KeyError, TypeError, AttributeError
        If the body is not a valid job.
    """
    fields = orjson.loads(body)
    steps = tuple(_read_step(step) for step in fields["steps"])
    if not steps or sum(step.count for step in steps) > model.MAX_OPEN_TASKS:
        raise ValueError(f"steps of up to {model.MAX_OPEN_TASKS} tasks are expected")
    for number, step in enumerate(steps):
        if any(not 0 <= earlier < number for earlier in step.after):
            raise ValueError(f"step {number} after {step.after}; expected earlier ones")
    return model.Job(
        id,
        queue,
        str(fields.get("spec", "")),
        steps,
        _read_count(fields, "times"),
        float(fields.get("start_at_ms", 0)) / 1000,
        _read_count(fields, "interval_ms") / 1000,
    )


def read_key(headers: list[tuple[bytes, bytes]]) -> bytes | credential.InvalidKey:
    """Return the digest of the key in a request's headers, or why there is none."""
    values = [value for name, value in headers if name == b"authorization"]
    if not values:
        return credential.NO_KEY
    if len(values) > 1:
        return credential.InvalidKey("several credentials")
    scheme, _, key = values[0].decode("latin-1").strip().partition(" ")
    key = key.strip()
    if scheme.lower() != KEY_SCHEME.lower() or not key:
        return credential.InvalidKey("malformed credential")
    if len(key) > credential.MAX_KEY_CHARACTERS:
        return credential.InvalidKey("credential too long")
    return credential.compute_digest(key)


def _read_step(fields: dict[str, Any]) -> model.Step:
    return model.Step(
        count=max(1, _read_count(fields, "count")),
        room=model.Room(
            _read_count(fields, "cpu"),
            _read_count(fields, "mem_mb"),
            _read_count(fields, "gpus"),
        ),
        estimate=_read_count(fields, "estimate_ms") / 1000,
        after=tuple(fields.get("after") or ()),
        checkpoint=bool(fields.get("checkpoint", False)),
        gang=bool(fields.get("gang", False)),
        same_rack=bool(fields.get("same_rack", False)),
        label=fields.get("requires") or "",
        data_rack=fields.get("affinity") or "",
        spread=_read_count(fields, "anti_affinity"),
        speculative=bool(fields.get("speculative", False)),
        lasting=bool(fields.get("perpetual", False)),
        image=fields.get("image") or "",
        target=_read_count(fields, "target_ms") / 1000,
        fills=bool(fields.get("fills", False)),
        max_unavailable=_read_count(fields, "may_miss"),
    )


def _read_count(fields: dict[str, Any], name: str) -> int:
    value = int(fields.get(name) or 0)
    if not 0 <= value <= model.MAX_VALUE:
        raise ValueError(f"{name} is {value}; expected 0 to {model.MAX_VALUE}")
    return value


def _find_host(headers: list[tuple[bytes, bytes]]) -> str:
    for name, value in headers:
        if name == b"host":
            return value.decode("latin-1").partition(":")[0].lower()
    return ""


async def _read_body(receive: Any, limit: int) -> bytes | None:
    """Return the body, or None if it exceeds the limit or the caller disconnected."""
    parts = []
    size = 0
    while True:
        event = await receive()
        if event["type"] != "http.request":
            return None
        size += len(event.get("body", b""))
        if size <= limit:
            parts.append(event.get("body", b""))
        if not event.get("more_body"):
            return b"".join(parts) if size <= limit else None


def _make_body(answer: message.Answer) -> dict[str, Any] | None:
    if answer.state is not None:
        return {"state": answer.state.value}
    if answer.pending is not None:
        return {"pending": answer.pending}
    return None


async def _send(send: Any, status: int, body: Any, headers: dict[str, str]) -> None:
    data = b"" if body is None else orjson.dumps(body)
    encoded_headers = [
        (name.encode(), value.encode()) for name, value in headers.items()
    ]
    encoded_headers.append((b"content-length", str(len(data)).encode()))
    if data:
        encoded_headers.append((b"content-type", b"application/json"))
    start = {
        "type": "http.response.start",
        "status": status,
        "headers": encoded_headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": data})
