"""HTTP servers in this process, through the asyncio entry point of hypercorn.

The ``hypercorn`` command would fork a worker process.
"""

from __future__ import annotations

import logging
import ssl
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import anyio
import hypercorn.asyncio
import hypercorn.config

if TYPE_CHECKING:  # the schema's imports are heavy and not always needed
    from wigeonhitch.settings import schema

__all__ = [
    "make_client_context",
    "make_peer_context",
    "serve",
    "serve_addresses",
    "wait_until_listening",
]

# Time for which an idle connection of a caller or the load balancer is kept.
KEEP_ALIVE_SECONDS = 75.0

# Length of the accept queue. When another daemon is lost, its callers reconnect
# in a burst that arrives within one round trip.
BACKLOG = 1024

# Time that open connections get to close once no request is held any more.
GRACEFUL_TIMEOUT_SECONDS = 1.0


async def serve(
    application: Any,
    bind: str,
    tls: schema.Tls | None,
    wait_for_stop: Callable[[], Any],
) -> None:
    """Serve an ASGI application until ``wait_for_stop`` returns."""
    await serve_addresses(application, [bind], tls, wait_for_stop)


async def serve_addresses(
    application: Any,
    addresses: list[str],
    tls: schema.Tls | None,
    wait_for_stop: Callable[[], Any],
) -> None:
    """Serve an ASGI application on several addresses."""
    config = hypercorn.config.Config()
    config.bind = addresses
    config.backlog = BACKLOG
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.graceful_timeout = GRACEFUL_TIMEOUT_SECONDS
    config.include_server_header = False
    config.accesslog = None
    config.errorlog = logging.getLogger("hypercorn.error")
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.key
    await hypercorn.asyncio.serve(application, config, shutdown_trigger=wait_for_stop)


async def wait_until_listening(bind: str) -> None:
    """Return once connections to ``bind`` are accepted."""
    host, _, port = bind.rpartition(":")
    while True:
        try:
            stream = await anyio.connect_tcp(host.strip("[]"), int(port))
        except OSError:
            await anyio.sleep(0.02)
            continue
        await stream.aclose()
        return


def make_peer_context(tls: schema.Tls | None, purpose: ssl.Purpose) -> Any:
    """Return the context of one side of mutual TLS between daemons, or None.

    Peers authenticate by a certificate of the common authority and not by host
    name: they are replaced at any time and connect by address.
    """
    if tls is None:
        return None
    context = ssl.create_default_context(purpose, cafile=tls.authority)
    context.load_cert_chain(tls.certificate, tls.key)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def make_client_context(authority: str | None) -> ssl.SSLContext | None:
    """Return the context that trusts one authority, or None for plain TCP."""
    if authority is None:
        return None
    return ssl.create_default_context(cafile=authority)
