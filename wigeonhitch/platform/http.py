"""HTTP client for the platform and the workers.

It uses `aiohttp`, since a leader makes some hundreds of calls per second: a
call takes 0.11 ms of CPU time, with httpx 1.03 ms.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple, Protocol

import aiohttp
import anyio
import orjson
import yarl

from wigeonhitch.platform import table

__all__ = [
    "MAX_CONNECTIONS_PER_ADDRESS",
    "TIMEOUT_IN_TRANSFER",
    "Client",
    "Reply",
    "Sink",
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
    headers: Mapping[str, str] | None = None


class Sink(Protocol):
    """Receives an answer while it arrives."""

    async def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Receive the status and the headers, before any part of the body."""
        ...

    async def add(self, part: bytes) -> None:
        """Receive the next part of the body."""
        ...


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
        waiting: set[anyio.CancelScope] | None = None,
        on_answer: Callable[[], None] | None = None,
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
        waiting : set of anyio.CancelScope, optional
            Holds the scope of the call until its answer begins. With ``max_idle``, a
            scope whose deadline is set to the past ends the call as a timeout does.
        on_answer : callable, optional
            Called when the answer begins.
        """
        self.calls += 1
        data = None if body is None else orjson.dumps(body)
        total = timeout if max_idle is None else None
        sent = read_clock()
        has_begun = False
        try:
            with (
                anyio.fail_after(None if max_idle is None else timeout) as scope,
                _register(scope, waiting) as end_wait,
            ):
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
                    end_wait()
                    if on_answer is not None:
                        on_answer()
                    raw = await _receive(response, scope, max_idle)
                    parsed = _parse(raw)
                    status, answered = response.status, response.headers
        except aiohttp.ClientConnectorError as error:
            return _fail(table.Outcome.NOT_DONE, f"connect: {error.strerror}", sent)
        except TimeoutError:
            reason = TIMEOUT_IN_TRANSFER if has_begun else "timeout"
            return _fail(table.Outcome.UNKNOWN, reason, sent)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            # A ValueError is due to an address or a header that can't be sent.
            return _fail(table.Outcome.UNKNOWN, type(error).__name__, sent)
        received = read_clock()
        return Reply(table.Outcome.DONE, status, parsed, "", sent, received, answered)

    async def forward(
        self,
        method: str,
        address: str,
        target: str,
        sink: Sink,
        *,
        timeout: float,
        max_idle: float,
        body: bytes = b"",
        waiting: set[anyio.CancelScope] | None = None,
    ) -> Reply:
        """Make one call with a given target and body, and pass on the answer's bytes.

        Parameters
        ----------
        target : str
            Path and query as received, which are sent unchanged.
        timeout : float
            Seconds until the answer begins.
        max_idle, waiting
            As for `call`.

        Returns
        -------
        Reply
            Without a body. A failure after the answer has begun has the reason
            `TIMEOUT_IN_TRANSFER`, or the status of the answer.
        """
        self.calls += 1
        sent = read_clock()
        status = 0
        try:
            with (
                anyio.fail_after(timeout) as scope,
                _register(scope, waiting) as end_wait,
            ):
                async with self._session.request(
                    method,
                    yarl.URL(f"http://{address}{target}", encoded=True),
                    data=body or None,
                    timeout=aiohttp.ClientTimeout(total=None),
                    allow_redirects=False,
                ) as response:
                    end_wait()
                    status = response.status
                    _extend(scope, max_idle)
                    await sink.begin(status, response.headers)
                    async for part in response.content.iter_any():
                        await sink.add(part)
                        _extend(scope, max_idle)
        except aiohttp.ClientConnectorError as error:
            return _fail(table.Outcome.NOT_DONE, f"connect: {error.strerror}", sent)
        except TimeoutError:
            reason = TIMEOUT_IN_TRANSFER if status else "timeout"
            return Reply(
                table.Outcome.UNKNOWN, status, None, reason, sent, read_clock()
            )
        except (aiohttp.ClientError, OSError, ValueError) as error:
            reason = type(error).__name__
            return Reply(
                table.Outcome.UNKNOWN, status, None, reason, sent, read_clock()
            )
        return Reply(table.Outcome.DONE, status, None, "", sent, read_clock())


async def open_client(
    stack: contextlib.AsyncExitStack,
    max_connections_per_address: int = MAX_CONNECTIONS_PER_ADDRESS,
) -> Client:
    """Open a client whose connections ``stack`` closes."""
    connector = aiohttp.TCPConnector(
        limit=MAX_CONNECTIONS,
        limit_per_host=max_connections_per_address,
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


@contextlib.contextmanager
def _register(
    scope: anyio.CancelScope, waiting: set[anyio.CancelScope] | None
) -> Iterator[Callable[[], None]]:
    """Keep a scope in a set until the returned function is called or the block ends."""
    if waiting is None:
        yield lambda: None
        return
    waiting.add(scope)
    try:
        yield lambda: waiting.discard(scope)
    finally:
        waiting.discard(scope)


async def _receive(
    response: aiohttp.ClientResponse, scope: anyio.CancelScope, max_idle: float | None
) -> bytes:
    """Return a body, each part of which has to follow within ``max_idle`` seconds."""
    if max_idle is None:
        return await response.read()
    parts = []
    _extend(scope, max_idle)
    async for part in response.content.iter_any():
        parts.append(part)
        _extend(scope, max_idle)
    return b"".join(parts)


def _extend(scope: anyio.CancelScope, seconds: float) -> None:
    """Move the deadline of a scope, unless it has been cancelled.

    A scope that is cancelled just as bytes arrive ends at its next await, and counts as
    timed out only if its deadline is in the past.
    """
    if not scope.cancel_called:
        scope.deadline = anyio.current_time() + seconds


def _parse(raw: bytes) -> Any:
    if not raw:
        return None
    try:
        return orjson.loads(raw)
    except orjson.JSONDecodeError:
        return None


def _fail(outcome: table.Outcome, reason: str, sent: float) -> Reply:
    return Reply(outcome, 0, None, reason, sent, read_clock())
