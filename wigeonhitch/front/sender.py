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


class Limits(NamedTuple):
    """Limits of the connections to one worker.

    Parameters
    ----------
    connections : int
        Connections of this daemon to one worker. Slots bound the requests at
        once; the rest of the worker's 60 is left to the other daemons.
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
    """One request as it goes to a worker."""

    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout: float


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
        self._tracing = tracing or trace.Tracing(trace.Settings(), "")
        self._stack = stack
        self._limits = limits
        self._context = context
        self._clients: dict[str, httpx.AsyncClient] = {}

    async def send(self, attempt: Attempt) -> Result:
        """Send one attempt; the whole answer is read before it counts."""
        headers = dict(attempt.headers)
        with self._tracing.open_hop("send", headers, worker=attempt.address) as hop:
            headers.update(hop.headers)
            result = await self._exchange(attempt, headers)
            hop.span.set_attribute("verdict", result.verdict.ran.value)
        return result

    async def _exchange(self, attempt: Attempt, headers: dict[str, str]) -> Result:
        client = self._clients.get(attempt.address)
        if client is None:
            client = await self._open(attempt.address)
        request = client.build_request(
            attempt.method,
            attempt.path,
            headers=headers,
            content=attempt.body,
        )
        try:
            with anyio.fail_after(attempt.timeout):
                response = await client.send(request)
        except TimeoutError:
            return Result(verdict.may_have_run(verdict.Reason.TIMEOUT))
        except (httpx.HTTPError, httpx.InvalidURL) as error:
            return Result(judge_error(error))
        return _judge_response(response)

    async def forget(self, addresses: frozenset[str]) -> None:
        """Close the idle clients of workers that are no longer listed."""
        for address in list(self._clients):
            if address not in addresses:
                await self._clients.pop(address).aclose()

    async def probe(self, address: str) -> bool:
        """Whether the worker says that it is healthy."""
        result = await self.send(Attempt(address, "GET", "/health", (), b"", 1.0))
        return result.answer is not None and result.answer.status == 200

    async def _open(self, address: str) -> httpx.AsyncClient:
        scheme = "http" if self._context is None else "https"
        client = httpx.AsyncClient(
            base_url=f"{scheme}://{address}",
            verify=self._context if self._context is not None else False,
            trust_env=False,
            timeout=httpx.Timeout(None, connect=self._limits.connect_timeout),
            limits=httpx.Limits(
                max_connections=self._limits.connections,
                max_keepalive_connections=self._limits.connections,
                keepalive_expiry=self._limits.idle,
            ),
        )
        self._clients[address] = client
        return await self._stack.enter_async_context(client)


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


def _judge_response(response: httpx.Response) -> Result:
    refused = (
        response.status_code == reply.STATUS_NOT_RUN
        and response.headers.get(reply.VERDICT_HEADER) == verdict.Ran.NO.value
    )
    if refused:
        return Result(verdict.not_run(verdict.Reason.WORKER_REFUSED))
    headers = select_headers(response.headers)
    made = reply.Reply(response.status_code, headers, response.content)
    return Result(verdict.ran(), made, response.status_code >= FAILED_STATUS)
