"""The program of a site's daemon, which serves callers and leads pools."""

import contextlib
import os
import signal
import sys
import uuid

import anyio
import anyio.abc

from wigeonhitch.daemon import server
from wigeonhitch.platform import (
    advice,
    fleet,
    http,
    ingress,
    node,
    relay,
    rows,
    workers,
)
from wigeonhitch.site import daemon, exposition, relayedstore, storepath
from wigeonhitch.telemetry import log, metric

__all__ = ["run", "serve"]

EXIT_INVALID_SETTINGS = 2

READINESS_PROPAGATION_SECONDS = 2.2
"""Time after SIGTERM within which the load balancer sees that this daemon isn't
ready any more: it probes once a second and goes by two answers."""

METRICS_PORT = 7070
"""Port of the metrics on this process's own address, as set in the deploy file."""


def run() -> None:
    """Start the daemon with the settings file that the environment names."""
    path = os.environ.get(node.NODE_FILE_VARIABLE, "")
    stream = log.PipeStream(sys.stdout.fileno())
    log.configure("info", stream)
    try:
        settings = node.load(path)
    except (OSError, ValueError) as error:
        log.log_warning("settings can't be used", path=path, reason=str(error))
        sys.exit(EXIT_INVALID_SETTINGS)
    log.configure("info", stream, daemon=settings.name)
    anyio.run(serve, settings)


async def serve(settings: node.NodeSettings) -> None:
    """Run one daemon until SIGTERM."""
    life = uuid.uuid4().hex[:12]
    log.log_change("start", life=life, data_centre=settings.data_centre)
    async with contextlib.AsyncExitStack() as stack:
        client = await http.open_client(stack)
        instruments = metric.Instruments()
        store = rows.Rows(client, settings.store)
        site_daemon = daemon.Daemon(
            settings,
            life,
            store,
            workers.Workers(client),
            advice.Advice(client, settings.advice),
            fleet.Fleet(client, settings.fleet),
            instruments,
            lambda address: rows.Rows(client, address, is_peer=True),
        )
        if site_daemon.relayed_store is not None:
            store.on_answer.append(site_daemon.relayed_store.on_answer)
        await _serve(settings, site_daemon)
    log.log_change("stop", life=life)


async def _serve(settings: node.NodeSettings, site_daemon: daemon.Daemon) -> None:
    servers_closed = anyio.Event()
    callers = ingress.Ingress(
        site_daemon.handler,
        lambda: site_daemon.is_ready,
        lambda: not site_daemon.is_ready,
    )
    application = exposition.Exposition(callers, site_daemon.instruments, METRICS_PORT)
    metrics = f"{settings.ip}:{METRICS_PORT}"
    addresses = [settings.callers, settings.ready, metrics]
    async with anyio.create_task_group() as group:
        group.start_soon(_handle_signals, site_daemon)
        group.start_soon(site_daemon.run)
        async with anyio.create_task_group() as servers:
            servers.start_soon(
                server.serve_addresses,
                application,
                addresses,
                None,
                servers_closed.wait,
            )
            if site_daemon.relayed_store is not None:
                servers.start_soon(
                    _serve_peers, settings, site_daemon.relayed_store, servers_closed
                )
            await site_daemon.stopped.wait()
            await site_daemon.leave()
            await anyio.sleep(READINESS_PROPAGATION_SECONDS)
            servers_closed.set()
        group.cancel_scope.cancel()


async def _serve_peers(
    settings: node.NodeSettings,
    gate: relayedstore.RelayedStore,
    closed: anyio.Event,
) -> None:
    """Serve peers; a daemon that can't still serves its callers."""
    async with contextlib.AsyncExitStack() as stack:
        # Relayed calls have connections of their own to the store.
        client = await http.open_client(stack, storepath.MAX_RELAYED_CALLS)
        store = rows.Rows(client, settings.store)
        gate.on_relayed.append(store.abandon_reads)
        application = relay.Relay(store, gate)
        try:
            await server.serve(application, settings.relay_address, None, closed.wait)
        except OSError as error:
            log.log_warning("store calls of peers not served", reason=str(error))


async def _handle_signals(site_daemon: daemon.Daemon) -> None:
    handled_signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*handled_signals) as signals:
        async for received in signals:
            if received is signal.SIGHUP:
                log.log_change("reload", path=os.environ.get(node.NODE_FILE_VARIABLE))
            else:
                log.log_change("stopping", signal=received.name)
                site_daemon.stopped.set()


if __name__ == "__main__":
    run()
