"""HTTP client for the platform and the workers.

It uses `aiohttp`, since a leader makes some hundreds of calls per second: a
call takes 0.11 ms of CPU time, with httpx 1.03 ms.
"""

import asyncio
import contextlib
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import aiohttp
import anyio
import orjson

from wigeonhitch.platform import table

__all__ = [
    "MAX_CONNECTIONS_PER_ADDRESS",
    "TIMEOUT_IN_TRANSFER",
    "Client",
    "Reply",
    "open_client",
    "read_clock",
]

MAX_CONNECTIONS_PER_ADDRESS = 24
"""A worker accepts 64 connections in all, and two leaders may overlap at a
takeover."""

MAX_CONNECTIONS = 800
"""Limit for all addresses together; a process has some thousands of file
descriptors."""

KEEP_ALIVE_SECONDS = 12.0
"""Time that an idle connection is kept; the platform closes it after 15 s."""


TIMEOUT_IN_TRANSFER = "timeout in transfer"
"""Reason of a failed call whose answer had begun."""


def read_clock() -> float:
    """Return the seconds of a clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Reply(NamedTuple):
    """Answer to one call, or the reason for its absence.

    ``outcome`` is ``DONE`` for an answer of any status; ``sent`` and ``received``
    are times of `read_clock`.
    """

    outcome: table.Outcome
    status: int = 0
    body: Any = None
    reason: str = ""
    sent: float = 0.0
    received: float = 0.0


class Client:
    """Makes single calls with a timeout and without retries."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self.calls = 0

    async def call(
        self,
        method: str,
        address: str,
        path: str,
        *,
        timeout: float,
        body: Any = None,
        query: Mapping[str, str] | None = None,
        headers: Mapping[str, str] | None = None,
        max_idle: float | None = None,
    ) -> Reply:
        """Make one call.

        Parameters
        ----------
        timeout : float
            Seconds for the whole call, or, with ``max_idle``, until its answer begins.
        max_idle : float, optional
            Seconds without further bytes after which an answer that has begun counts
            as lost. An answer takes as long as it is being received: repeating the
            call would transfer the same bytes again.
        """
        self.calls += 1
        data = None if body is None else orjson.dumps(body)
        total = timeout if max_idle is None else None
        sent = read_clock()
        has_begun = False
        try:
            with anyio.fail_after(None if max_idle is None else timeout) as scope:
                async with self._session.request(
                    method,
                    f"http://{address}{path}",
                    params=query,
                    data=data,
                    headers=headers,
                    timeout=aiohttp.ClientTimeout(total=total),
                    allow_redirects=False,
                ) as response:
                    has_begun = True
                    raw = await _receive(response, scope, max_idle)
                    parsed = _parse(raw)
                    status = response.status
        except aiohttp.ClientConnectorError as error:
            return _fail(table.Outcome.NOT_DONE, f"connect: {error.strerror}", sent)
        except TimeoutError:
            reason = TIMEOUT_IN_TRANSFER if has_begun else "timeout"
            return _fail(table.Outcome.UNKNOWN, reason, sent)
        except (aiohttp.ClientError, OSError) as error:
            return _fail(table.Outcome.UNKNOWN, type(error).__name__, sent)
        return Reply(table.Outcome.DONE, status, parsed, "", sent, read_clock())


async def open_client(stack: contextlib.AsyncExitStack) -> Client:
    """Open a client whose connections ``stack`` closes."""
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS,
        limit_per_host=MAX_CONNECTIONS_PER_ADDRESS,
        keepalive_timeout=KEEP_ALIVE_SECONDS,
        use_dns_cache=False,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        loop=asyncio.get_running_loop(),
        headers={"Content-Type": "application/json"},
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    await stack.enter_async_context(session)
    return Client(session)


async def _receive(
    response: aiohttp.ClientResponse, scope: anyio.CancelScope, max_idle: float | None
) -> bytes:
    """Return a body, each part of which has to follow within ``max_idle`` seconds."""
    if max_idle is None:
        return await response.read()
    parts = []
    scope.deadline = anyio.current_time() + max_idle
    async for part in response.content.iter_any():
        parts.append(part)
        scope.deadline = anyio.current_time() + max_idle
    return b"".join(parts)


def _parse(raw: bytes) -> Any:
    if not raw:
        return None
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None


def _fail(outcome: table.Outcome, reason: str, sent: float) -> Reply:
    return Reply(outcome, 0, None, reason, sent, read_clock())
