"""Serving of a stand-in process: listeners, ``ready``, the end by SIGTERM."""

import signal
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import anyio.abc
import hypercorn.asyncio
import hypercorn.config

__all__ = ["serve", "serve_lifespan"]

KEEP_ALIVE = 300.0
"""Seconds that idle connections stay open, longer than any client keeps one:
a connection closed under a request would look like a fault of the daemon."""
GRACE = 0.2
"""Seconds that open connections get at the end."""


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
        Starts further tasks in the group that is given to it.
    """
    stopped = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(_await_signal, stopped)
        group.start_soon(_announce, ports[0])
        start(group)
        group.start_soon(_serve_http, application, ports, stopped, group)


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Answer the ASGI lifespan messages."""
    while True:
        event = await receive()
        await send({"type": event["type"] + ".complete"})
        if event["type"] == "lifespan.shutdown":
            return


async def _serve_http(
    application: Any,
    ports: Sequence[int],
    stopped: anyio.Event,
    group: anyio.abc.TaskGroup,
) -> None:
    """Serve until ``stopped``, then end all tasks.

    This is a task of its own: hypercorn cancels the task it serves in when it
    shuts down, which must not reach the task group.
    """
    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}" for port in ports]
    config.graceful_timeout = GRACE
    config.keep_alive_timeout = KEEP_ALIVE
    config.errorlog = None
    config.accesslog = None
    await hypercorn.asyncio.serve(application, config, shutdown_trigger=stopped.wait)
    group.cancel_scope.cancel()


async def _announce(port: int) -> None:
    """Print ``ready`` once the port accepts connections."""
    while True:
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            await anyio.sleep(0.02)
            continue
        await stream.aclose()
        print("ready", flush=True)
        return


async def _await_signal(stopped: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()
            return
