"""ASGI application that serves the operators' routes below ``/operator/v1``.

Every request carries a credential. JSON in, JSON out; an error is a JSON
object with ``status`` and ``reason`` too.
"""

import collections
import functools
import json
import re
import time
import urllib.parse
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import anyio.to_thread

from wigeonhitch import asgi
from wigeonhitch.operators import credential, route
from wigeonhitch.telemetry import log

__all__ = ["LARGEST_BODY", "PREFIX", "OperatorService", "make_app"]

PREFIX = "/operator/v1"

# Largest request body, bytes: a document at the target takes some 80 kB; the
# limit bounds what one request can make a daemon hold.
LARGEST_BODY = 1_000_000

# Secrets hashed at once: one, so that guessing costs a daemon at most one
# core and 16 MB.
HASHED_AT_ONCE = 1


def make_app(
    routes: Sequence[route.Route],
    credentials: credential.Credentials,
    clock: Callable[[], float] = time.monotonic,
) -> "OperatorService":
    """Return the ASGI application of the operators' interface.

    Parameters
    ----------
    routes : sequence of route.Route
        Routes of all slices.
    credentials : credential.Credentials
        Who may ask.
    clock : callable
        Seconds on a steady clock.
    """
    return OperatorService(routes, credentials, clock)


class OperatorService:
    """The application; ``counts`` has the answers by status code."""

    def __init__(
        self,
        routes: Sequence[route.Route],
        credentials: credential.Credentials,
        clock: Callable[[], float],
    ) -> None:
        self.routes = [(compile_path(one.path), one) for one in routes]
        self.credentials = credentials
        self.clock = clock
        self.counts: collections.Counter[int] = collections.Counter()

    @functools.cached_property
    def hashing(self) -> anyio.CapacityLimiter:
        """Limit of threads that hash secrets, made inside the event loop."""
        return anyio.CapacityLimiter(HASHED_AT_ONCE)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one HTTP request; other ASGI scopes are ignored."""
        if scope["type"] != "http":
            return
        answer = await self.handle(scope, receive)
        self.counts[answer.status] += 1
        data = json.dumps(answer.body).encode("utf-8")
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(data)).encode("ascii")),
        ]
        if answer.status == 401:
            headers.append((b"www-authenticate", b"Bearer"))
        start = {"type": "http.response.start", "status": answer.status}
        await send(start | {"headers": headers})
        await send({"type": "http.response.body", "body": data})

    async def handle(self, scope: Any, receive: Any) -> route.Answer:
        """Authenticate, find the route, read the body and call the handler.

        The credential is checked first, so that nobody without one learns
        which paths exist or makes the daemon read a body.
        """
        operator = await self.authenticate(scope)
        if isinstance(operator, credential.Refusal):
            too_many = operator is credential.Refusal.TOO_MANY
            return fail(429 if too_many else 401, operator.value)
        found = self.find_route(scope)
        if isinstance(found, route.Answer):
            return found
        wanted, path = found
        if wanted.changes and not operator.may_change:
            return fail(403, f"{operator.name} may look but not change anything")
        body = await asgi.read_body(receive, LARGEST_BODY)
        if body is None:
            return fail(413, f"body is over {LARGEST_BODY} bytes")
        try:
            decoded = json.loads(body) if body else None
        except (ValueError, RecursionError) as error:
            return fail(400, f"body: expected JSON: {error}")
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        roles = frozenset(operator.roles)
        request = route.Request(operator.name, roles, path, query, decoded)
        return await call_handler(wanted, request)

    async def authenticate(
        self, scope: Any
    ) -> credential.Operator | credential.Refusal:
        """Return who asks, or why the credential is refused."""
        header = find_header(scope, b"authorization")
        known = self.credentials.recall(header, self.clock())
        if known is not None:
            return known
        async with self.hashing:
            verify = functools.partial(self.credentials.verify, header, self.clock())
            return await anyio.to_thread.run_sync(verify)

    def find_route(
        self, scope: Any
    ) -> tuple[route.Route, dict[str, str]] | route.Answer:
        """Return the route and the values in its path, or 404 or 405."""
        path = scope["path"].removeprefix(PREFIX)
        allowed = set()
        for pattern, one in self.routes:
            match = pattern.fullmatch(path)
            if match and one.method == scope["method"]:
                return one, match.groupdict()
            if match:
                allowed.add(one.method)
        if allowed:
            return fail(405, f"{scope['method']}: expected {' or '.join(allowed)}")
        return fail(404, f"no such path: {scope['path']}")


async def call_handler(wanted: route.Route, request: route.Request) -> route.Answer:
    """Call a handler; a fault in it never shows as success or as "not done"."""
    try:
        return await wanted.handler(request)
    except Exception:
        log.log_fault("a route failed", method=wanted.method, path=wanted.path)
        if wanted.changes:
            return fail(504, "the daemon failed; unknown whether anything was done")
        return fail(500, "the daemon failed")


def find_header(scope: Any, name: bytes) -> str:
    """Return a header's value, or nothing."""
    for key, value in scope["headers"]:
        if key.lower() == name:
            return value.decode("utf-8", errors="replace")
    return ""


def compile_path(path: str) -> re.Pattern[str]:
    """Return the pattern of a path with ``{names}``."""
    parts = re.split(r"\{(\w+)\}", path)
    pattern = ""
    for index, part in enumerate(parts):
        pattern += f"(?P<{part}>[^/]+)" if index % 2 else re.escape(part)
    return re.compile(pattern)


def fail(status: int, reason: str) -> route.Answer:
    """Return an error answer."""
    return route.Answer(status, {"status": status, "reason": reason})
