"""Requests of the command line to the daemons' operator interface.

A request goes to the first daemon in the list. The next one is tried only if
the first certainly did nothing, or if the request is idempotent (it only reads,
or it carries a submission id).
"""

import contextlib
import enum
import ssl
from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

import anyio
import httpx

__all__ = ["Client", "Connection", "RequestFailure", "Reply", "open_client"]

PREFIX = "/operator/v1"

# A daemon answers within the timeouts of its store, about 10 s with retries;
# after that the response counts as lost.
CONNECT_TIMEOUT_SECONDS = 3.0
RESPONSE_TIMEOUT_SECONDS = 15.0

# Time after which no further daemon is tried. A platform that hangs blocks every
# daemon: trying nine of them in turn would take more than two minutes, and the
# outcome would still be unknown.
FAILOVER_LIMIT_SECONDS = 20.0

# Errors raised before any part of the request was sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

# Marks an untrusted certificate in the error text of the TLS library.
UNTRUSTED_CERTIFICATE = "CERTIFICATE_VERIFY_FAILED"

STORE_UNAVAILABLE = 503
OUTCOME_UNKNOWN = 504


class RequestFailure(enum.Enum):
    """Why there is no response."""

    NOT_SENT = "no daemon could be reached; nothing was done"
    UNTRUSTED = (
        "no daemon could be reached whose certificate --cafile signed; nothing was done"
    )
    NOT_READ = "no daemon answered; nothing was changed, since this only reads"
    NO_ANSWER = "the answer was lost; unknown whether it was done"


class Reply(NamedTuple):
    """Response of a daemon: status code, decoded body and the daemon's URL."""

    status: int
    body: Any
    daemon: str


class Connection(NamedTuple):
    """Addresses of the daemons and the operator's credentials.

    Parameters
    ----------
    daemons : tuple of str
        URLs without path, tried in order.
    operator, secret : str
        The credential.
    cafile, certfile, keyfile : str
        PEM files for TLS; empty when unused.
    """

    daemons: tuple[str, ...]
    operator: str
    secret: str
    cafile: str = ""
    certfile: str = ""
    keyfile: str = ""


class Client:
    """Sends the requests of one operator."""

    def __init__(self, daemons: tuple[str, ...], http: httpx.AsyncClient) -> None:
        self.daemons = daemons
        self.http = http

    async def get(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> Reply | RequestFailure:
        """Send a read request, which has no effect even if its response is lost."""
        reply = await self.request("GET", path, query=query, repeatable=True)
        return RequestFailure.NOT_READ if reply is RequestFailure.NO_ANSWER else reply

    async def post(
        self, path: str, body: Any = None, *, repeatable: bool = False
    ) -> Reply | RequestFailure:
        """Send a modifying request; ``repeatable`` if it is idempotent."""
        return await self.request("POST", path, body, repeatable=repeatable)

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        query: Mapping[str, str] | None = None,
        repeatable: bool = False,
    ) -> Reply | RequestFailure:
        """Send a request to the daemons in turn until its outcome is known.

        "Not done" from a later daemon doesn't make the outcome known if the
        response of an earlier one was lost: that daemon may have done it.
        """
        last_reply: Reply | RequestFailure = RequestFailure.NOT_SENT
        outcome_unknown = False
        started_at = anyio.current_time()
        for daemon in self.daemons:
            if (
                outcome_unknown
                and anyio.current_time() - started_at > FAILOVER_LIMIT_SECONDS
            ):
                break
            reply = await self.request_once(daemon, method, path, body, query)
            if reply in (RequestFailure.NOT_SENT, RequestFailure.UNTRUSTED):
                last_reply = (
                    reply if last_reply is RequestFailure.NOT_SENT else last_reply
                )
                continue
            is_unknown = (
                reply is RequestFailure.NO_ANSWER or reply.status == OUTCOME_UNKNOWN
            )
            if not is_unknown and reply.status != STORE_UNAVAILABLE:
                return reply
            outcome_unknown = outcome_unknown or is_unknown
            if not outcome_unknown or is_unknown:
                last_reply = reply
            if is_unknown and not repeatable:
                return reply
        return last_reply

    async def request_once(
        self,
        daemon: str,
        method: str,
        path: str,
        body: Any,
        query: Mapping[str, str] | None,
    ) -> Reply | RequestFailure:
        """Send a request to one daemon, without retry."""
        url = f"{daemon.rstrip('/')}{PREFIX}{path}"
        try:
            response = await self.http.request(method, url, json=body, params=query)
        except NOT_SENT_ERRORS as error:
            return (
                RequestFailure.UNTRUSTED
                if UNTRUSTED_CERTIFICATE in str(error)
                else RequestFailure.NOT_SENT
            )
        except httpx.HTTPError:
            return RequestFailure.NO_ANSWER
        try:
            decoded = response.json()
        except ValueError:
            decoded = {"reason": response.text[:200]}
        return Reply(response.status_code, decoded, daemon)


@contextlib.asynccontextmanager
async def open_client(connection: Connection) -> AsyncIterator[Client]:
    """Open a client whose connections are closed on exit from the context."""
    credential = f"Bearer {connection.operator}:{connection.secret}"
    headers = {"Authorization": credential.encode("utf-8")}
    timeout = httpx.Timeout(RESPONSE_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
    verify: ssl.SSLContext | bool = True
    if connection.cafile or connection.certfile:
        verify = ssl.create_default_context(cafile=connection.cafile or None)
    if connection.certfile:
        verify.load_cert_chain(connection.certfile, connection.keyfile or None)
    async with httpx.AsyncClient(
        headers=headers, timeout=timeout, verify=verify, trust_env=False
    ) as http:
        yield Client(connection.daemons, http)
