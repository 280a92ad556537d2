"""Sending one attempt to a worker, and judging what its end means."""

import contextlib
import ssl
from collections.abc import Mapping
from typing import NamedTuple

import anyio
import httpx

from wigeonhitch import verdict
from wigeonhitch.front import reply
from wigeonhitch.telemetry import trace

__all__ = ["Attempt", "Limits", "Result", "Sender", "judge_error"]

# Headers that belong to one connection and are never passed on (RFC 9110, 7.6).
HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

FAILED_STATUS = 500

# Seconds that a worker has to say that it is healthy.
PROBE_TIMEOUT = 1.0


class Limits(NamedTuple):
    """Limits of the connections to one worker.

    Parameters
    ----------
    connections : int
        Connections of this daemon to one worker in use at once: its slots.
    idle : float
        Seconds after which an idle connection is closed: below the workers'
        own limit, so that a request doesn't meet a connection just closed.
    connect_timeout : float
        Seconds to connect; a worker in the building answers within a few ms.
    body : int
        Most bytes of a whole answer held in memory, or of a request.
    """

    connections: int = 8
    idle: float = 30.0
    connect_timeout: float = 0.5
    body: int = 8 * 1024 * 1024


class Attempt(NamedTuple):
    """One request as it goes to a worker.

    ``kept`` is how many idle connections to the worker may be kept open.
    """

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    kept: int = 1


class _Outlet:
    """The client of one worker, how many idle connections it keeps, and its use."""

    def __init__(self, client: httpx.AsyncClient, kept: int) -> None:
        self.client = client
        self.kept = kept
        self.in_use = 0


class Result(NamedTuple):
    """What came of an attempt; ``answer`` is None without a whole answer."""

    verdict: verdict.Verdict
    answer: reply.Reply | None = None
    failed: bool = False


class Sender:
    """Owns the HTTP connections to the workers, one client per worker.

    One client for all workers would search all of its connections under one
    lock for every request; per worker there are at most a few.
    """

    def __init__(
        self,
        stack: contextlib.AsyncExitStack,
        limits: Limits = Limits(),  # noqa: B008 - an immutable tuple
        context: ssl.SSLContext | None = None,
        tracing: trace.Tracing | None = None,
    ) -> None:
        stack.push_async_callback(self.close)
        self._tracing = tracing or trace.Tracing(trace.Settings(), "")
        self._limits = limits
        self._context = context
        self._outlets: dict[str, _Outlet] = {}

    async def send(self, attempt: Attempt) -> Result:
        """Send one attempt; the whole answer is read before it counts."""
        headers = dict(attempt.headers)
        with self._tracing.open_hop("send", headers, worker=attempt.address) as hop:
            headers.update(hop.headers)
            result = await self._exchange(attempt, headers)
            hop.span.set_attribute("verdict", result.verdict.ran.value)
        return result

    async def _exchange(self, attempt: Attempt, headers: dict[str, str]) -> Result:
        outlet = await self._find_outlet(attempt)
        request = outlet.client.build_request(
            attempt.method,
            attempt.path,
            headers=headers,
            content=attempt.body,
        )
        outlet.in_use += 1
        try:
            with anyio.fail_after(attempt.timeout):
                return await self._receive(outlet.client, request)
        except TimeoutError:
            return Result(verdict.may_have_run(verdict.Reason.TIMEOUT))
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return Result(judge_error(error))
        finally:
            outlet.in_use -= 1

    async def _receive(
        self, client: httpx.AsyncClient, request: httpx.Request
    ) -> Result:
        """Read the whole answer, up to the limit; a longer one is given up."""
        response = await client.send(request, stream=True)
        try:
            parts = []
            size = 0
            async for part in response.aiter_raw():
                size += len(part)
                if size > self._limits.body:
                    return Result(verdict.may_have_run(verdict.Reason.ANSWER_TOO_LARGE))
                parts.append(part)
        finally:
            await response.aclose()
        return _judge_response(response, b"".join(parts))

    async def _find_outlet(self, attempt: Attempt) -> _Outlet:
        """Return the worker's client; an unused one follows a changed limit.

        The worker's connections are shared out over the daemons, so the limit
        changes with their number.
        """
        outlet = self._outlets.get(attempt.address)
        if outlet is not None and outlet.kept != attempt.kept and not outlet.in_use:
            del self._outlets[attempt.address]
            await outlet.client.aclose()
            outlet = self._outlets.get(attempt.address)
        if outlet is None:
            client = self._make_client(attempt.address, attempt.kept)
            outlet = self._outlets[attempt.address] = _Outlet(client, attempt.kept)
        return outlet

    async def close_unlisted(self, addresses: frozenset[str]) -> None:
        """Close the unused clients of workers that are no longer listed."""
        for address, outlet in list(self._outlets.items()):
            if address not in addresses and not outlet.in_use:
                del self._outlets[address]
                await outlet.client.aclose()

    async def close(self) -> None:
        """Close all connections."""
        for outlet in self._outlets.values():
            await outlet.client.aclose()

    async def probe(self, address: str) -> bool:
        """Whether the worker says that it is healthy."""
        outlet = self._outlets.get(address)
        kept = outlet.kept if outlet is not None else 1
        attempt = Attempt(address, "GET", "/health", (), b"", PROBE_TIMEOUT, kept)
        result = await self.send(attempt)
        return result.answer is not None and result.answer.status == 200

    def _make_client(self, address: str, kept: int) -> httpx.AsyncClient:
        scheme = "http" if self._context is None else "https"
        client = httpx.AsyncClient(
            base_url=f"{scheme}://{address}",
            verify=self._context if self._context is not None else False,
            trust_env=False,
            timeout=httpx.Timeout(None, connect=self._limits.connect_timeout),
            limits=httpx.Limits(
                max_connections=self._limits.connections,
                max_keepalive_connections=kept,
                keepalive_expiry=self._limits.idle,
            ),
        )
        # The library's own headers would speak for the caller: a worker could
        # compress an answer for a caller who can't read that.
        for name in list(client.headers):
            del client.headers[name]
        return client


def judge_error(error: Exception) -> verdict.Verdict:
    """Return what a failed exchange says about whether the request ran.

    Only an error that comes before any byte was written means "not run".
    """
    if isinstance(
        error,
        httpx.ConnectError
        | httpx.ConnectTimeout
        | httpx.PoolTimeout
        | httpx.InvalidURL
        | httpx.UnsupportedProtocol,
    ):
        return verdict.not_run(verdict.Reason.NOT_CONNECTED)
    if isinstance(error, httpx.TimeoutException):
        return verdict.may_have_run(verdict.Reason.TIMEOUT)
    return verdict.may_have_run(verdict.Reason.BROKEN_ANSWER)


def select_headers(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    """Return the end-to-end headers."""
    return tuple(item for item in headers.items() if item[0] not in HOP_HEADERS)


def _judge_response(response: httpx.Response, body: bytes) -> Result:
    refused = (
        response.status_code == reply.STATUS_NOT_RUN
        and response.headers.get(reply.VERDICT_HEADER) == verdict.Ran.NO.value
    )
    if refused:
        return Result(verdict.not_run(verdict.Reason.WORKER_REFUSED))
    headers = select_headers(response.headers)
    made = reply.Reply(response.status_code, headers, body)
    return Result(verdict.ran(), made, response.status_code >= FAILED_STATUS)
