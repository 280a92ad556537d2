"""Single tries of platform calls over HTTP, with results as `resolve.Reply`."""

import contextlib
import json
from typing import Any, NamedTuple, Protocol

import anyio
import httpx

from wigeonhitch.platform import resolve

__all__ = ["HttpTransport", "Request", "Transport", "open_transport"]

SERVICE_UNAVAILABLE = 503
MAX_CONNECTIONS = 16
"""Maximum number of connections of one daemon to the platform. Its calls are
short, and 200 daemons together stay within a few thousand connections."""


class Request(NamedTuple):
    """One call; ``body`` is JSON data, or bytes for an object."""

    method: str
    path: str
    body: Any
    purpose: str


class Transport(Protocol):
    """Sends single tries to the platform."""

    async def send(self, request: Request, timeout: float) -> resolve.Reply:
        """Send once and wait at most ``timeout`` seconds; never raises."""
        ...


class HttpTransport:
    """Transport over an `httpx.AsyncClient`, which the caller closes.

    Parameters
    ----------
    client : httpx.AsyncClient
        Client with the platform's base address.
    daemon, data_centre : str
        Sent with each call, so that the platform can identify its callers.
    """

    def __init__(
        self, client: httpx.AsyncClient, daemon: str = "", data_centre: str = ""
    ) -> None:
        self._client = client
        self._headers = {
            "Wigeonhitch-Daemon": daemon,
            "Wigeonhitch-Data-Centre": data_centre,
        }

    async def send(self, request: Request, timeout: float) -> resolve.Reply:
        """Send once and wait at most ``timeout`` seconds; never raises."""
        lost = resolve.Reply(resolve.ReplyKind.LOST)
        with anyio.move_on_after(timeout):
            try:
                return self._read(await self._post(request, timeout))
            except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout):
                return resolve.Reply(resolve.ReplyKind.REFUSED)
            except (httpx.HTTPError, ValueError):
                return lost
        return lost

    async def _post(self, request: Request, timeout: float) -> httpx.Response:
        content = request.body
        if content is not None and not isinstance(content, bytes):
            content = json.dumps(content).encode()
        return await self._client.request(
            request.method,
            request.path,
            content=content,
            headers=self._headers | {"Wigeonhitch-Purpose": request.purpose},
            timeout=timeout,
        )

    def _read(self, response: httpx.Response) -> resolve.Reply:
        if response.headers.get("content-type") == "application/octet-stream":
            body: Any = response.content
        else:
            body = response.json()
        if response.status_code == SERVICE_UNAVAILABLE and body == {"error": "down"}:
            return resolve.Reply(resolve.ReplyKind.REFUSED, SERVICE_UNAVAILABLE)
        if response.status_code >= 500:
            return resolve.Reply(resolve.ReplyKind.LOST, response.status_code)
        return resolve.Reply(resolve.ReplyKind.ANSWERED, response.status_code, body)


async def open_transport(
    stack: contextlib.AsyncExitStack,
    address: str,
    *,
    daemon: str = "",
    data_centre: str = "",
    verify: Any = True,
) -> HttpTransport:
    """Open a transport that ``stack`` closes.

    Parameters
    ----------
    stack : contextlib.AsyncExitStack
        Closes the connections.
    address : str
        Base address such as ``"http://127.0.0.1:8500"``.
    daemon, data_centre : str
        Sent with each call.
    verify : bool or ssl.SSLContext
        As for `httpx.AsyncClient`.
    """
    limits = httpx.Limits(
        max_connections=MAX_CONNECTIONS, max_keepalive_connections=MAX_CONNECTIONS
    )
    client = httpx.AsyncClient(
        base_url=address, limits=limits, trust_env=False, verify=verify
    )
    await stack.enter_async_context(client)
    return HttpTransport(client, daemon, data_centre)
