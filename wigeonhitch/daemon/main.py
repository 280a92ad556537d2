"""The program ``wigeonhitchd``."""

import contextlib
import signal
import sys
from typing import Any

import anyio
import defopt

from wigeonhitch.configuration import problem
from wigeonhitch.daemon import assembly, operator, server
from wigeonhitch.settings import load, schema
from wigeonhitch.telemetry import log

__all__ = ["run", "serve"]

EXIT_INVALID_SETTINGS = 2


def run() -> None:
    """Start the daemon named by the command line."""
    sys.exit(defopt.run(main, cli_options="all", short={}))


def main(*, settings: str) -> int:
    """Serve callers, operators and peers until SIGTERM.

    Parameters
    ----------
    settings : str
        The settings file, YAML.
    """
    loaded = load.load(settings)
    if loaded.settings is None:
        for invalid in loaded.problems:
            print(f"{settings}: {problem.format_problem(invalid)}", file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    log.configure(loaded.settings.log.level)
    for name in ("callers", "operators", "peers"):
        if getattr(loaded.settings, name).tls is None:
            log.log_change("TLS is off", listener=name)
    anyio.run(serve, loaded.settings)
    return 0


async def serve(settings: schema.Settings) -> None:
    """Run one daemon until SIGTERM or SIGINT."""
    async with contextlib.AsyncExitStack() as stack:
        daemon = await assembly.build(stack, settings)
        stopped = anyio.Event()
        closed = anyio.Event()
        async with anyio.create_task_group() as group:
            group.start_soon(_await_signal, stopped)
            await daemon.run(group)
            async with anyio.create_task_group() as servers:
                servers.start_soon(_serve_operators, daemon, closed)
                servers.start_soon(_serve_callers, daemon, closed)
                await server.wait_until_listening(settings.callers.bind)
                log.log_change("serving", daemon=settings.daemon.name)
                await stopped.wait()
                await daemon.stop()
                closed.set()
            group.cancel_scope.cancel()


async def _serve_callers(daemon: assembly.Daemon, closed: anyio.Event) -> None:
    callers = daemon.settings.callers
    await server.serve(daemon.front, callers.bind, callers.tls, closed.wait)


async def _serve_operators(daemon: assembly.Daemon, closed: anyio.Event) -> None:
    operators = daemon.settings.operators
    application: Any = operator.build_application(daemon)
    await server.serve(application, operators.bind, operators.tls, closed.wait)


async def _await_signal(stopped: anyio.Event) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()
            return


if __name__ == "__main__":
    run()
