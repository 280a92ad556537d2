"""Builds a daemon from its components.

This module makes no decisions: components receive their dependencies on each
other as callables, and an exit stack closes all resources.
"""

import collections
import contextlib
import random
import ssl
from typing import Any

import anyio

from wigeonhitch.configuration import (
    distribution,
    document,
    routes,
    store,
    watcher,
)
from wigeonhitch.daemon import exchange, monitored, refresher, server, status, workers
from wigeonhitch.fleet import observer, runner, view
from wigeonhitch.fleet import routes as fleet_routes
from wigeonhitch.front import application, dispatcher, guard, sender
from wigeonhitch.idempotency import store as claims
from wigeonhitch.idempotency import sweeper
from wigeonhitch.membership import core, holder, task, transport
from wigeonhitch.placement import message as placement_message
from wigeonhitch.placement import routes as placement_routes
from wigeonhitch.placement import runner as placement_runner
from wigeonhitch.platform import client
from wigeonhitch.routing import core as routing_core
from wigeonhitch.routing import event
from wigeonhitch.settings import schema
from wigeonhitch.telemetry import log, metric, trace

__all__ = ["Daemon", "build"]


class Daemon:
    """All components of one daemon; created by `build`."""

    def __init__(self, settings: schema.Settings, platform: client.Client) -> None:
        self.settings = settings
        self.clock = client.read_clock
        self.instruments = metric.Instruments()
        self.tracing = trace.Tracing(settings.traces, settings.daemon.name)
        self.platform = platform
        self.table = monitored.MonitoredTable(
            platform, self.clock, self._record_store_answer
        )
        self.document: document.Document | None = None
        self.version = 0
        self.catalogue: application.Catalogue | None = None
        self.stopping = False
        self.was_registered = False

    def build_membership(self) -> None:
        """Create the members, the leases and the heartbeat task."""
        settings = self.settings
        address = settings.peers.advertise or settings.peers.bind
        self.local_peer = core.Peer(
            settings.daemon.name,
            address,
            settings.daemon.vm,
            settings.daemon.data_centre,
        )
        members = core.Members(
            self.local_peer, settings.peers.limits, random.getrandbits(32), self.clock()
        )
        seeds = [
            core.Peer(seed.name, seed.address, "", "") for seed in settings.peers.seeds
        ]
        members.add_seeds(seeds, self.clock())
        self.holder = holder.Holder(
            self.table,
            settings.daemon.name,
            fields=self._build_row_fields,
            clock=self.clock,
        )
        self.membership = task.Membership(
            members,
            self.holder,
            self.clock,
            lambda: self.workers.describe(),
            self._handle_members_change,
            self._handle_send_right_change,
            lambda heartbeat: self.workers.handle_heartbeat(heartbeat),
            self.instruments,
        )
        self.transport = transport.Transport(
            settings.daemon.name,
            exchange.REGISTRY,
            lambda received: self.exchange.receive(received),
            self.instruments,
            server_context=server.make_peer_context(
                settings.peers.tls, ssl.Purpose.CLIENT_AUTH
            ),
            client_context=server.make_peer_context(
                settings.peers.tls, ssl.Purpose.SERVER_AUTH
            ),
        )
        self.membership.attach(self.transport)

    def build_configuration(self) -> None:
        """Create the document store and the task that distributes documents."""
        self.documents = store.Store(
            self.table,
            self.platform,
            on_accepted=lambda *accepted_version: self.watcher.handle_accepted(
                *accepted_version
            ),
        )
        self.watcher = watcher.Watcher(
            distribution.Distribution(distribution.Limits(), random.Random()),
            self.table,
            self.platform,
            exchange.PeerDocuments(self.membership),
            self.clock,
            install=self._install,
            on_fleet_change=lambda version: self.refresher.handle_fleet_change(),
        )

    def build_requests(self, worker_sender: sender.Sender) -> None:
        """Create the components that serve callers."""
        settings = self.settings
        self.worker_sender = worker_sender
        self.routing = routing_core.Core(
            settings.daemon.name, seed=random.getrandbits(32)
        )
        self.dispatcher = dispatcher.Dispatcher(
            self.routing,
            worker_sender,
            self.clock,
            lambda outgoing, traces: self.exchange.send(outgoing, traces),
            lambda vm: self.workers.find_address(vm),
            self.membership.check_send_right,
        )
        self.workers = workers.Workers(
            view.Follower(self.table),
            self.platform,
            lambda: self.document,
            self.dispatcher.apply,
            self.routing.in_flight,
        )
        self.exchange = exchange.Exchange(
            self.membership, self.dispatcher, self.watcher, self.tracing
        )
        self.refresher = refresher.WorkerRefresher(
            self.workers, self.holder, worker_sender, self.clock
        )
        self.claims = claims.Claims(
            self.table,
            self.platform,
            settings.daemon.name,
            rng=random.Random(),
            clock=self.clock,
        )
        self.front = application.Application(
            self.dispatcher,
            guard.IdempotencyGuard(
                self.claims, self.dispatcher, self.clock, self.tracing
            ),
            lambda: self.catalogue if self.is_ready() else None,
            self.is_ready,
            lambda: not self.stopping,
            self.clock,
            self.tracing,
            self.instruments,
            settings.callers.limits,
        )

    def build_duties(self) -> None:
        """Create the components that run while this daemon holds their duty."""
        settings = self.settings
        platform = observer.Platform(
            self.table, self.platform, self.worker_sender.probe, self.clock
        )
        confirmation_limits = settings.drains
        self.fleet = runner.Runner(
            observer.Observer(platform, confirmation_limits=confirmation_limits),
            self.holder,
            lambda: self.document,
        )
        self.fleet_routes = fleet_routes.build_routes(
            observer.Observer(platform, confirmation_limits=confirmation_limits),
            lambda: self.document,
        )
        self.placement = placement_runner.Runner(
            placement_message.Platform(
                self.table,
                self.platform,
                self.holder,
                lambda: self.workers.list_placeable(),
                lambda: self.document,
                self.clock,
            )
        )
        self.sweeper = sweeper.Sweeper(
            self.table, self._list_services, self._get_sweep_condition
        )

    def build_routes(self) -> list[Any]:
        """Return all routes of the operator interface."""
        return [
            *routes.make_routes(self.documents),
            *self.fleet_routes,
            *placement_routes.JobRoutes(self.table).build_routes(),
            *status.build_routes(self),
        ]

    def get_counters(self) -> dict[str, collections.Counter]:
        """Return the event counters by component."""
        return {
            "claims": self.claims.counts,
            "fleet": self.fleet.counters,
            "placement": self.placement.counters,
            "configuration": self.watcher.core.counts,
            "platform_reads": self.platform.reads,
            "platform_writes": self.platform.writes,
            "platform_unknown": self.platform.unknown,
        }

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests to this daemon.

        A planned stop of a VM doesn't wait for a daemon without a row in the
        table, so a daemon serves nothing until it has been registered once.
        """
        self.was_registered = self.was_registered or self.holder.is_live
        return (
            not self.stopping
            and self.was_registered
            and self.catalogue is not None
            and self.workers.has_view
            and self.watcher.readiness is distribution.Readiness.READY
        )

    async def run(self, group: Any) -> None:
        """Start all tasks in ``group`` and return once peers can connect."""
        await group.start(self.transport.run, self.settings.peers.bind)
        await group.start(self.holder.run)
        await group.start(self.claims.run)
        for run in (
            self.membership.run,
            self.watcher.run,
            self.dispatcher.run_timer,
            self.refresher.run,
            self.placement.run,
            self._sweep,
        ):
            group.start_soon(run)
        await group.start(runner.run, self.fleet)

    async def stop(self) -> None:
        """Finish the held requests, then release the duties and delete the row.

        The row must be deleted last, since a planned stop of a VM waits only
        for daemons that have a row.
        """
        self.stopping = True
        log.log_change("stopping", held=self.dispatcher.held_requests)
        self.dispatcher.apply(event.Stopping())
        limit = self.settings.daemon.stop_within
        with anyio.move_on_after(limit):
            while self.dispatcher.held_requests or not self.routing.is_idle:
                await anyio.sleep(0.02)
            await self.claims.flush(limit / 4)
            await self.holder.leave(limit / 4)
        log.log_change("stopped", held=self.dispatcher.held_requests)

    def _record_store_answer(self, called_at: float) -> None:
        self.membership.record_store_answer(called_at)

    def _build_row_fields(self) -> dict[str, Any]:
        drains = self.workers.describe()
        return {
            "address": self.local_peer.address,
            "http": self.settings.callers.bind,
            "vm": self.local_peer.vm,
            "data_centre": self.local_peer.data_centre,
            "drain": drains.drain,
            "busy": list(drains.busy),
            "version": self.version,
            **self.membership.describe(),
        }

    def _install(self, version: int, accepted: document.Document) -> None:
        self.document, self.version = accepted, version
        self.catalogue = application.make_catalogue(accepted)
        self.dispatcher.apply(
            event.UrgenciesChanged(
                tuple(
                    event.Urgency(urgency.name, urgency.start_within)
                    for urgency in accepted.urgencies
                )
            )
        )
        weights = {team.name: team.weight for team in accepted.teams}
        self.dispatcher.apply(event.TeamsChanged(weights))
        self.workers.refresh()
        self.instruments.set("document_version", "Version in force.", version)

    def _handle_members_change(self, alive: frozenset[str]) -> None:
        self.dispatcher.apply(event.MembersChanged(alive))
        self.claims.set_daemon_count(len(alive))
        self.watcher.set_peers(tuple(sorted(alive - {self.local_peer.daemon})))

    def _handle_send_right_change(self, held: bool) -> None:
        self.dispatcher.apply(
            event.SendRightRestored() if held else event.SendRightLapsed()
        )

    async def _sweep(self) -> None:
        self.holder.want(sweeper.DUTY)
        await self.sweeper.run()

    def _list_services(self) -> list[str]:
        return list(self.catalogue.services) if self.catalogue else []

    def _get_sweep_condition(self) -> Any:
        held = self.holder.current(sweeper.DUTY)
        return held.condition if held else None


async def build(stack: contextlib.AsyncExitStack, settings: schema.Settings) -> Daemon:
    """Return a daemon whose resources ``stack`` closes."""
    verify = server.make_client_context(settings.platform.authority) or True
    platform = await client.open_client(
        stack,
        settings.platform.url,
        rng=random.Random(),
        daemon=settings.daemon.name,
        data_centre=settings.daemon.data_centre,
        verify=verify,
    )
    daemon = Daemon(settings, platform)
    stack.callback(daemon.tracing.close)
    daemon.build_membership()
    daemon.build_configuration()
    daemon.build_requests(
        sender.Sender(
            stack,
            settings.workers.limits,
            server.make_client_context(settings.workers.authority),
            daemon.tracing,
        )
    )
    daemon.build_duties()
    return daemon
