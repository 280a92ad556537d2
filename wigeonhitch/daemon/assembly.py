"""One daemon, put together from its slices.

Nothing is decided here: slices are given what they need of each other as
callables, and an exit stack owns whatever must be closed.
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
from wigeonhitch.daemon import exchange, following, heard, server, status, workers
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
    """All parts of one daemon; `build` makes it."""

    def __init__(self, settings: schema.Settings, platform: client.Client) -> None:
        self.settings = settings
        self.clock = client.read_clock
        self.instruments = metric.Instruments()
        self.tracing = trace.Tracing(settings.traces, settings.daemon.name)
        self.platform = platform
        self.table = heard.HeardTable(platform, self.clock, self._hear_store)
        self.document: document.Document | None = None
        self.version = 0
        self.catalogue: application.Catalogue | None = None
        self.stopping = False
        self.was_registered = False

    def build_membership(self) -> None:
        """Make the peers, the leases and the task that beats."""
        settings = self.settings
        address = settings.peers.advertise or settings.peers.bind
        self.me = core.Peer(
            settings.daemon.name,
            address,
            settings.daemon.vm,
            settings.daemon.data_centre,
        )
        members = core.Members(
            self.me, settings.peers.limits, random.getrandbits(32), self.clock()
        )
        seeds = [
            core.Peer(one.name, one.address, "", "") for one in settings.peers.seeds
        ]
        members.add_seeds(seeds, self.clock())
        self.holder = holder.Holder(
            self.table, settings.daemon.name, fields=self._describe, clock=self.clock
        )
        self.membership = task.Membership(
            members,
            self.holder,
            self.clock,
            lambda: self.workers.describe(),
            self._change_members,
            self._change_send_right,
            lambda beat: self.workers.hear(beat),
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
        """Make the documents' store and the task that follows them."""
        self.documents = store.Store(
            self.table,
            self.platform,
            on_accepted=lambda *news: self.watcher.handle_accepted(*news),
        )
        self.watcher = watcher.Watcher(
            distribution.Distribution(distribution.Limits(), random.Random()),
            self.table,
            self.platform,
            exchange.PeerDocuments(self.membership),
            self.clock,
            install=self._install,
            on_fleet_change=lambda version: self.following.note_moved(),
        )

    def build_requests(self, outlet: sender.Sender) -> None:
        """Make the callers' side."""
        settings = self.settings
        self.outlet = outlet
        self.routing = routing_core.Core(
            settings.daemon.name, seed=random.getrandbits(32)
        )
        self.dispatch = dispatcher.Dispatcher(
            self.routing,
            outlet,
            self.clock,
            lambda told, traces: self.exchange.tell(told, traces),
            lambda vm: self.workers.find_address(vm),
            self.membership.check_send_right,
        )
        self.workers = workers.Workers(
            view.Follower(self.table),
            self.platform,
            lambda: self.document,
            self.dispatch.apply,
            self.routing.in_flight,
        )
        self.exchange = exchange.Exchange(
            self.membership, self.dispatch, self.watcher, self.tracing
        )
        self.following = following.Following(
            self.workers, self.holder, outlet, self.clock
        )
        self.claims = claims.Claims(
            self.table,
            self.platform,
            settings.daemon.name,
            rng=random.Random(),
            clock=self.clock,
        )
        self.front = application.Application(
            self.dispatch,
            guard.IdempotencyGuard(
                self.claims, self.dispatch, self.clock, self.tracing
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
        """Make what this daemon does while it holds a duty."""
        settings = self.settings
        platform = observer.Platform(
            self.table, self.platform, self.outlet.probe, self.clock
        )
        silence = settings.drains
        self.fleet = runner.Runner(
            observer.Observer(platform, confirmation_limits=silence),
            self.holder,
            lambda: self.document,
        )
        self.fleet_routes = fleet_routes.build_routes(
            observer.Observer(platform, confirmation_limits=silence),
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
            self.table, self._list_services, self._find_sweep_condition
        )

    def build_routes(self) -> list[Any]:
        """Return all routes of the operators' interface."""
        return [
            *routes.make_routes(self.documents),
            *self.fleet_routes,
            *placement_routes.JobRoutes(self.table).build_routes(),
            *status.build_routes(self),
        ]

    def list_counters(self) -> dict[str, collections.Counter]:
        """Return the counters that the slices keep, by slice."""
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
        """Whether the balancer may send requests here.

        A daemon without its row in the table is waited for by no planned stop,
        so it serves nothing until it was registered once.
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
        """Start all tasks in ``group``; returns when peers can connect."""
        await group.start(self.transport.run, self.settings.peers.bind)
        await group.start(self.holder.run)
        await group.start(self.claims.run)
        for run in (
            self.membership.run,
            self.watcher.run,
            self.dispatch.run_timer,
            self.following.run,
            self.placement.run,
            self._sweep,
        ):
            group.start_soon(run)
        await group.start(runner.run, self.fleet)

    async def stop(self) -> None:
        """Finish what is held, then release duties and leave.

        The order matters: the row goes last, since a planned stop waits only
        for daemons that have one.
        """
        self.stopping = True
        log.log_change("stopping", held=self.dispatch.held_requests)
        self.dispatch.apply(event.Stopping())
        limit = self.settings.daemon.stop_within
        with anyio.move_on_after(limit):
            while self.dispatch.held_requests or not self.routing.is_idle:
                await anyio.sleep(0.02)
            await self.claims.flush(limit / 4)
            await self.holder.leave(limit / 4)
        log.log_change("stopped", held=self.dispatch.held_requests)

    def _hear_store(self, asked: float) -> None:
        self.membership.record_store_answer(asked)

    def _describe(self) -> dict[str, Any]:
        drains = self.workers.describe()
        return {
            "address": self.me.address,
            "http": self.settings.callers.bind,
            "vm": self.me.vm,
            "data_centre": self.me.data_centre,
            "drain": drains.drain,
            "busy": list(drains.busy),
            "version": self.version,
            **self.membership.describe(),
        }

    def _install(self, version: int, accepted: document.Document) -> None:
        self.document, self.version = accepted, version
        self.catalogue = application.make_catalogue(accepted)
        self.dispatch.apply(
            event.UrgenciesChanged(
                tuple(
                    event.Urgency(one.name, one.start_within)
                    for one in accepted.urgencies
                )
            )
        )
        weights = {team.name: team.weight for team in accepted.teams}
        self.dispatch.apply(event.TeamsChanged(weights))
        self.workers.refresh()
        self.instruments.set("document_version", "Version in force.", version)

    def _change_members(self, alive: frozenset[str]) -> None:
        self.dispatch.apply(event.MembersChanged(alive))
        self.claims.set_daemon_count(len(alive))
        self.watcher.set_peers(tuple(sorted(alive - {self.me.daemon})))

    def _change_send_right(self, held: bool) -> None:
        self.dispatch.apply(
            event.SendRightRestored() if held else event.SendRightLapsed()
        )

    async def _sweep(self) -> None:
        self.holder.want(sweeper.DUTY)
        await self.sweeper.run()

    def _list_services(self) -> list[str]:
        return list(self.catalogue.services) if self.catalogue else []

    def _find_sweep_condition(self) -> Any:
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
    made = Daemon(settings, platform)
    stack.callback(made.tracing.close)
    made.build_membership()
    made.build_configuration()
    made.build_requests(
        sender.Sender(
            stack,
            settings.workers.limits,
            server.make_client_context(settings.workers.authority),
            made.tracing,
        )
    )
    made.build_duties()
    return made
