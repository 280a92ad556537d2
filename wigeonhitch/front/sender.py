"""Sends one attempt to a worker and classifies the outcome."""

import contextlib
import ssl
from collections.abc import Mapping
from typing import NamedTuple

import anyio
import httpx

from wigeonhitch import verdict
from wigeonhitch.front import reply
from wigeonhitch.telemetry import trace

__all__ = ["Attempt", "Limits", "Result", "Sender", "classify_error"]

# Headers that apply to one connection and are never forwarded (RFC 9110, 7.6).
HOP_BY_HOP_HEADERS = frozenset(
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

MIN_FAILURE_STATUS = 500

PROBE_TIMEOUT_SECONDS = 1.0


class Limits(NamedTuple):
    """Limits of the connections to one worker.

    Parameters
    ----------
    connections : int
        Connections of this daemon to one worker in use at once: its slots.
    idle : float
        Seconds after which an idle connection is closed. Lower than the workers'
        own limit, so that a request isn't sent on a connection just closed.
    connect_timeout : float
        Seconds to connect; a worker in the same building answers within a few ms.
    body : int
        Maximum bytes of an answer, which is held in memory, or of a request.
    """

    connections: int = 8
    idle: float = 30.0
    connect_timeout: float = 0.5
    body: int = 8 * 1024 * 1024


class Attempt(NamedTuple):
    """One request as it is sent to a worker.

    ``max_idle`` is how many idle connections to the worker may be kept open.
    """

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float
    max_idle: int = 1


class _WorkerClient:
    """The HTTP client of one worker, its idle connections and requests in flight."""

    def __init__(self, client: httpx.AsyncClient, max_idle: int) -> None:
        self.client = client
        self.max_idle = max_idle
        self.in_use = 0


class Result(NamedTuple):
    """Outcome of an attempt; ``answer`` is None without a whole answer."""

    verdict: verdict.Verdict
    answer: reply.Reply | None = None
    failed: bool = False


class Sender:
    """Owns the HTTP connections to the workers, one client per worker.

    A single client would search the connections to all workers under one lock for
    every request; per worker there are only a few.
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
        self._clients: dict[str, _WorkerClient] = {}

    async def send(self, attempt: Attempt) -> Result:
        """Send one attempt and read the whole answer."""
        headers = dict(attempt.headers)
        with self._tracing.open_hop("send", headers, worker=attempt.address) as hop:
            headers.update(hop.headers)
            result = await self._exchange(attempt, headers)
            hop.span.set_attribute("verdict", result.verdict.ran.value)
        return result

    async def _exchange(self, attempt: Attempt, headers: dict[str, str]) -> Result:
        worker_client = await self._open_client(attempt)
        request = worker_client.client.build_request(
            attempt.method,
            attempt.path,
            headers=headers,
            content=attempt.body,
        )
        worker_client.in_use += 1
        try:
            with anyio.fail_after(attempt.timeout):
                return await self._receive(worker_client.client, request)
        except TimeoutError:
            return Result(verdict.may_have_run(verdict.Reason.TIMEOUT))
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return Result(classify_error(error))
        finally:
            worker_client.in_use -= 1

    async def _receive(
        self, client: httpx.AsyncClient, request: httpx.Request
    ) -> Result:
        """Read the whole answer; one that exceeds the size limit is abandoned."""
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
        return _classify_response(response, b"".join(parts))

    async def _open_client(self, attempt: Attempt) -> _WorkerClient:
        """Return the worker's client, replaced if unused and its idle limit changed.

        The worker's connections are divided among the daemons, so the limit changes
        with their number.
        """
        worker_client = self._clients.get(attempt.address)
        if (
            worker_client is not None
            and worker_client.max_idle != attempt.max_idle
            and not worker_client.in_use
        ):
            del self._clients[attempt.address]
            await worker_client.client.aclose()
            worker_client = self._clients.get(attempt.address)
        if worker_client is None:
            client = self._make_client(attempt.address, attempt.max_idle)
            worker_client = self._clients[attempt.address] = _WorkerClient(
                client, attempt.max_idle
            )
        return worker_client

    async def close_unlisted(self, addresses: frozenset[str]) -> None:
        """Close the unused clients of workers that are no longer listed."""
        for address, worker_client in list(self._clients.items()):
            if address not in addresses and not worker_client.in_use:
                del self._clients[address]
                await worker_client.client.aclose()

    async def close(self) -> None:
        """Close all connections."""
        for worker_client in self._clients.values():
            await worker_client.client.aclose()

    async def probe(self, address: str) -> bool:
        """Return whether the worker reports that it is healthy."""
        worker_client = self._clients.get(address)
        max_idle = worker_client.max_idle if worker_client is not None else 1
        attempt = Attempt(
            address, "GET", "/health", (), b"", PROBE_TIMEOUT_SECONDS, max_idle
        )
        result = await self.send(attempt)
        return result.answer is not None and result.answer.status == 200

    def _make_client(self, address: str, max_idle: int) -> httpx.AsyncClient:
        scheme = "http" if self._context is None else "https"
        client = httpx.AsyncClient(
            base_url=f"{scheme}://{address}",
            verify=self._context if self._context is not None else False,
            trust_env=False,
            timeout=httpx.Timeout(None, connect=self._limits.connect_timeout),
            limits=httpx.Limits(
                max_connections=self._limits.connections,
                max_keepalive_connections=max_idle,
                keepalive_expiry=self._limits.idle,
            ),
        )
        # Without this, the library's own headers would be sent as the caller's: a
        # worker could compress an answer for a caller that can't decompress it.
        for name in list(client.headers):
            del client.headers[name]
        return client


def classify_error(error: Exception) -> verdict.Verdict:
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
    return tuple(item for item in headers.items() if item[0] not in HOP_BY_HOP_HEADERS)


def _classify_response(response: httpx.Response, body: bytes) -> Result:
    refused = (
        response.status_code == reply.STATUS_NOT_RUN
        and response.headers.get(reply.VERDICT_HEADER) == verdict.Ran.NO.value
    )
    if refused:
        return Result(verdict.not_run(verdict.Reason.WORKER_REFUSED))
    headers = select_headers(response.headers)
    answer = reply.Reply(response.status_code, headers, body)
    return Result(verdict.ran(), answer, response.status_code >= MIN_FAILURE_STATUS)
