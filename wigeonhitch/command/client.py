"""Requests of the command line to the daemons' operator interface.

A request goes to the first daemon named. Another one is tried only if the
first certainly did nothing, or if the request may safely be made twice (it
only reads, or it carries a submission id).
"""

import contextlib
import enum
import ssl
from collections.abc import AsyncIterator, Mapping
from typing import Any, NamedTuple

import anyio
import httpx

__all__ = ["Client", "Connection", "Lost", "Reply", "open_client"]

PREFIX = "/operator/v1"

# Seconds. A daemon answers within its store's time limits, some ten seconds
# with repeats; past that the answer is taken as lost.
CONNECT_TIMEOUT = 3.0
ANSWER_TIMEOUT = 15.0

# Seconds after which no further daemon is asked. A platform that hangs holds up
# every daemon alike: asking nine of them in turn would keep an operator waiting
# for over two minutes, only to hear "unknown" again.
ASKING_LIMIT = 20.0

# Failures before anything was sent.
NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

# How the TLS library names a certificate that is not trusted.
REFUSED_TRUST = "CERTIFICATE_VERIFY_FAILED"

STORE_DOWN = 503
OUTCOME_UNKNOWN = 504


class Lost(enum.Enum):
    """Why there is no answer."""

    NOT_SENT = "no daemon could be reached; nothing was done"
    UNTRUSTED = (
        "no daemon could be reached whose certificate --cafile signed; nothing was done"
    )
    NOT_READ = "no daemon answered; nothing was changed, since this only reads"
    NO_ANSWER = "the answer was lost; unknown whether it was done"


class Reply(NamedTuple):
    """Answer of a daemon: status code, decoded body and which daemon."""

    status: int
    body: Any
    daemon: str


class Connection(NamedTuple):
    """How to reach the daemons and as whom.

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
    """Makes requests of one operator."""

    def __init__(self, daemons: tuple[str, ...], http: httpx.AsyncClient) -> None:
        self.daemons = daemons
        self.http = http

    async def get(
        self, path: str, query: Mapping[str, str] | None = None
    ) -> Reply | Lost:
        """Read; any daemon will do, and a lost answer has changed nothing."""
        reply = await self.ask("GET", path, query=query, repeatable=True)
        return Lost.NOT_READ if reply is Lost.NO_ANSWER else reply

    async def post(
        self, path: str, body: Any = None, *, repeatable: bool = False
    ) -> Reply | Lost:
        """Change something; ``repeatable`` when twice does the same as once."""
        return await self.ask("POST", path, body, repeatable=repeatable)

    async def ask(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        query: Mapping[str, str] | None = None,
        repeatable: bool = False,
    ) -> Reply | Lost:
        """Ask the daemons in turn until one settles the request.

        A later daemon that says "not done" does not settle a request whose
        answer an earlier one lost: that one may have done it.
        """
        last: Reply | Lost = Lost.NOT_SENT
        lost = False
        began = anyio.current_time()
        for daemon in self.daemons:
            if lost and anyio.current_time() - began > ASKING_LIMIT:
                break
            reply = await self.ask_one(daemon, method, path, body, query)
            if reply in (Lost.NOT_SENT, Lost.UNTRUSTED):
                last = reply if last is Lost.NOT_SENT else last
                continue
            unsettled = reply is Lost.NO_ANSWER or reply.status == OUTCOME_UNKNOWN
            if not unsettled and reply.status != STORE_DOWN:
                return reply
            lost = lost or unsettled
            if not lost or unsettled:
                last = reply
            if unsettled and not repeatable:
                return reply
        return last

    async def ask_one(
        self,
        daemon: str,
        method: str,
        path: str,
        body: Any,
        query: Mapping[str, str] | None,
    ) -> Reply | Lost:
        """Ask one daemon once."""
        url = f"{daemon.rstrip('/')}{PREFIX}{path}"
        try:
            answer = await self.http.request(method, url, json=body, params=query)
        except NOT_SENT as error:
            return Lost.UNTRUSTED if REFUSED_TRUST in str(error) else Lost.NOT_SENT
        except httpx.HTTPError:
            return Lost.NO_ANSWER
        try:
            decoded = answer.json()
        except ValueError:
            decoded = {"reason": answer.text[:200]}
        return Reply(answer.status_code, decoded, daemon)


@contextlib.asynccontextmanager
async def open_client(connection: Connection) -> AsyncIterator[Client]:
    """Open a client; leaving the context closes its connections."""
    credential = f"Bearer {connection.operator}:{connection.secret}"
    headers = {"Authorization": credential.encode("utf-8")}
    timeout = httpx.Timeout(ANSWER_TIMEOUT, connect=CONNECT_TIMEOUT)
    verify: ssl.SSLContext | bool = True
    if connection.cafile or connection.certfile:
        verify = ssl.create_default_context(cafile=connection.cafile or None)
    if connection.certfile:
        verify.load_cert_chain(connection.certfile, connection.keyfile or None)
    async with httpx.AsyncClient(
        headers=headers, timeout=timeout, verify=verify, trust_env=False
    ) as http:
        yield Client(connection.daemons, http)
