"""HTTP serving of a stand-in process until SIGTERM."""

import signal
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

from wigeonhitch import asgi
from wigeonhitch.daemon import server

__all__ = ["read_body", "serve", "serve_lifespan"]

KEEP_ALIVE_SECONDS = 300.0
"""Time that idle connections stay open: longer than any client keeps one, since a
connection closed during a request would look like a fault of the daemon."""
SHUTDOWN_GRACE_SECONDS = 0.2
"""Time that open connections get to finish at shutdown."""

serve_lifespan = asgi.serve_lifespan


async def serve(
    application: Any,
    ports: Sequence[int],
    start: Callable[[anyio.abc.TaskGroup], None] = lambda group: None,
) -> None:
    """Serve on loopback until SIGTERM; print ``ready`` when listening.

    Parameters
    ----------
    application : ASGI application
    ports : sequence of int
    start : callable
        Starts further tasks in the task group that is passed to it.
    """
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_wait_for_signal, stopped)
        group.start_soon(_print_ready, ports[0])
        start(group)
        group.start_soon(_serve_http, application, ports, stopped, group)


async def read_body(receive: Any) -> bytes:
    """Return a request's body, or its received part if the client disconnected."""
    parts = []
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        if not event.get("more_body", False):
            return b"".join(parts)


async def _serve_http(
    application: Any,
    ports: Sequence[int],
    stopped: anyio.Event,
    group: anyio.abc.TaskGroup,
) -> None:
    """Serve until ``stopped`` is set, then cancel all tasks.

    This runs in a separate task: hypercorn cancels the task that it serves in when
    it shuts down, which must not cancel the task group.
    """
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}" for port in ports]
    config.graceful_timeout = SHUTDOWN_GRACE_SECONDS
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.errorlog = None
    config.accesslog = None
    await hypercorn.asyncio.serve(application, config, shutdown_trigger=stopped.wait)
    group.cancel_scope.cancel()


async def _print_ready(port: int) -> None:
    """Print ``ready`` once the port accepts connections."""
    await server.wait_until_listening(f"127.0.0.1:{port}")
    print("ready", flush=True)


async def _wait_for_signal(stopped: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()
            return
