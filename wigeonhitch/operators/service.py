"""ASGI application that serves the operators' routes below ``/operator/v1``.

Every request needs a credential. Bodies are JSON; an error is a JSON object
with ``status`` and ``reason``.
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

__all__ = ["MAX_BODY_BYTES", "PREFIX", "OperatorService", "make_app"]

PREFIX = "/operator/v1"

# Maximum size of a request body. A document of the target size takes some 80 kB;
# the limit bounds the memory that one request can take.
MAX_BODY_BYTES = 1_000_000

# Secrets hashed concurrently: one, so that guessing takes at most one core and
# 16 MB of a daemon.
MAX_CONCURRENT_HASHES = 1


def make_app(
    routes: Sequence[route.Route],
    credentials: credential.Credentials,
    clock: Callable[[], float] = time.monotonic,
) -> "OperatorService":
    """Return the ASGI application of the operators' interface.

    Parameters
    ----------
    routes : sequence of route.Route
        Routes of all packages.
    credentials : credential.Credentials
        Credentials of the operators.
    clock : callable
        Returns seconds by a monotonic clock.
    """
    return OperatorService(routes, credentials, clock)


class OperatorService:
    """The ASGI application; ``counts`` has the number of answers by status code."""

    def __init__(
        self,
        routes: Sequence[route.Route],
        credentials: credential.Credentials,
        clock: Callable[[], float],
    ) -> None:
        self.routes = [
            (compile_path(candidate.path), candidate) for candidate in routes
        ]
        self.credentials = credentials
        self.clock = clock
        self.counts: collections.Counter[int] = collections.Counter()

    @functools.cached_property
    def hash_limiter(self) -> anyio.CapacityLimiter:
        """Limiter of threads that hash secrets, created inside the event loop."""
        return anyio.CapacityLimiter(MAX_CONCURRENT_HASHES)

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

        The credential is verified first, so that a client without one can neither
        learn which paths exist nor make the daemon read a body.
        """
        operator = await self.authenticate(scope)
        if isinstance(operator, credential.Refusal):
            rate_limited = operator is credential.Refusal.RATE_LIMITED
            return build_error(429 if rate_limited else 401, operator.value)
        matched = self.find_route(scope)
        if isinstance(matched, route.Answer):
            return matched
        matched_route, path = matched
        if matched_route.is_mutating and not operator.may_change:
            return build_error(403, f"{operator.name} may look but not change anything")
        body = await asgi.read_body(receive, MAX_BODY_BYTES)
        if body is None:
            return build_error(413, f"body is over {MAX_BODY_BYTES} bytes")
        try:
            decoded = json.loads(body) if body else None
        except (ValueError, RecursionError) as error:
            return build_error(400, f"body: expected JSON: {error}")
        query = dict(urllib.parse.parse_qsl(scope["query_string"].decode("latin-1")))
        roles = frozenset(operator.roles)
        request = route.Request(operator.name, roles, path, query, decoded)
        return await call_handler(matched_route, request)

    async def authenticate(
        self, scope: Any
    ) -> credential.Operator | credential.Refusal:
        """Return the operator, or the reason for which the credential is refused."""
        header = find_header(scope, b"authorization")
        cached = self.credentials.check_cached(header, self.clock())
        if cached is not None:
            return cached
        async with self.hash_limiter:
            verify = functools.partial(self.credentials.verify, header, self.clock())
            return await anyio.to_thread.run_sync(verify)

    def find_route(
        self, scope: Any
    ) -> tuple[route.Route, dict[str, str]] | route.Answer:
        """Return the route and its path parameters, or the answer 404 or 405."""
        path = scope["path"].removeprefix(PREFIX)
        allowed = set()
        for pattern, candidate in self.routes:
            match = pattern.fullmatch(path)
            if match and candidate.method == scope["method"]:
                return candidate, match.groupdict()
            if match:
                allowed.add(candidate.method)
        if allowed:
            return build_error(
                405, f"{scope['method']}: expected {' or '.join(allowed)}"
            )
        return build_error(404, f"no such path: {scope['path']}")


async def call_handler(
    matched_route: route.Route, request: route.Request
) -> route.Answer:
    """Call a handler, and answer 500 or, for a change, 504 if it raises.

    After an exception it is unknown whether a change was done.
    """
    try:
        return await matched_route.handler(request)
    except Exception:
        log.log_exception(
            "request handler failed",
            method=matched_route.method,
            path=matched_route.path,
        )
        if matched_route.is_mutating:
            return build_error(
                504, "the daemon failed; unknown whether anything was done"
            )
        return build_error(500, "the daemon failed")


def find_header(scope: Any, name: bytes) -> str:
    """Return a header's value, or an empty string."""
    for key, value in scope["headers"]:
        if key.lower() == name:
            return value.decode("utf-8", errors="replace")
    return ""


def compile_path(path: str) -> re.Pattern[str]:
    """Return the pattern that matches a path with ``{name}`` parameters."""
    parts = re.split(r"\{(\w+)\}", path)
    pattern = ""
    for index, part in enumerate(parts):
        pattern += f"(?P<{part}>[^/]+)" if index % 2 else re.escape(part)
    return re.compile(pattern)


def build_error(status: int, reason: str) -> route.Answer:
    """Return an error answer."""
    return route.Answer(status, {"status": status, "reason": reason})
