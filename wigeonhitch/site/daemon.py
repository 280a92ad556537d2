"""Assembles one daemon of a site from its components; contains no decision logic."""

from collections.abc import Callable

import anyio
import anyio.abc

from wigeonhitch.jobs import model
from wigeonhitch.leadership import core as leadership
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.leadership import task as election
from wigeonhitch.maintenance import record as maintenance
from wigeonhitch.maintenance import task as fleet_task
from wigeonhitch.platform import advice, fleet, http, node, rows, workers
from wigeonhitch.pool import dependencies, dispatcher, view
from wigeonhitch.pool import runner as pool_runner
from wigeonhitch.site import (
    closings,
    configuration,
    connectivity,
    handler,
    layout,
    registry,
    relayedstore,
    storepath,
)
from wigeonhitch.telemetry import log, metric

__all__ = ["Daemon"]


class Daemon:
    """All components of one daemon.

    Parameters
    ----------
    settings : node.NodeSettings
        Settings that the platform gives this process.
    life : str
        Identifier of this incarnation of the daemon.
    open_peer : callable, optional
        Returns the client of a peer's address. Store calls go through peers only with
        it, and only where the settings have an address for peers; ``store`` is then a
        `relayedstore.DirectStore`.

    Attributes
    ----------
    relayed_store : relayedstore.RelayedStore or None
        The store over direct calls and peers, None where calls aren't relayed.
    """

    def __init__(
        self,
        settings: node.NodeSettings,
        life: str,
        store: rows.RowStore,
        calls: workers.WorkerCalls,
        advice_calls: advice.AdviceCalls,
        fleet_calls: fleet.FleetCalls,
        instruments: metric.Instruments,
        open_peer: Callable[[str], rows.RowStore] | None = None,
    ) -> None:
        self.settings = settings
        self.instruments = instruments
        self.stopped = anyio.Event()
        self.relayed_store: relayedstore.RelayedStore | None = None
        if settings.relay_address and open_peer is not None:
            store = self.relayed_store = relayedstore.RelayedStore(
                settings.name,
                storepath.StorePath(settings.name, settings.data_centre),
                store,
                open_peer,
                self._list_peers,
                instruments,
            )
        self._monitored_store = self._store = store = connectivity.MonitoredStore(store)
        self._calls = calls
        self._advice_calls = advice_calls
        self._fleet_calls = fleet_calls
        self._fleet_runner: fleet_task.Runner | None = None
        self._group: anyio.abc.TaskGroup | None = None
        self._runners: dict[str, pool_runner.Runner] = {}
        self._configuration = configuration.ConfigurationFollower(
            store,
            self._on_catalogue,
            settings.bounds.configuration_deadline,
            settings.bounds.configuration_outage,
            instruments,
            settings.bounds.revocation_deadline,
        )
        self._registry = registry.WorkerRegistry(
            store,
            self._must_follow_workers,
            self._on_worker,
            self._on_removed,
            instruments,
        )
        self._closings = closings.ClosingFollower(
            store, lambda: bool(self._runners), self._on_closings
        )
        is_relaying = self.relayed_store is not None
        self._leadership = leadership.Leadership(
            settings.name,
            life,
            http.read_clock(),
            settings.cores,
            settings.rates.has_cross_part_transactions,
            *((settings.relay_address, settings.data_centre) if is_relaying else ()),
        )
        self._elector = election.LeaderElector(
            self._leadership,
            store,
            self._list_pools,
            self._on_leadership_gained,
            self._on_leadership_lost,
            self._get_max_granted_lease,
        )
        self.handler = handler.RequestHandler(
            store,
            lambda: self._configuration.catalogue,
            instruments,
            self._monitored_store.is_unreachable,
            self._configuration.get_currency,
            settings.bounds.final_retention,
        )

    @property
    def is_ready(self) -> bool:
        """Whether this daemon accepts new connections."""
        if self.stopped.is_set() or self._configuration.catalogue is None:
            return False
        if self._configuration.get_currency() is not configuration.Currency.CONFIRMED:
            return False
        return not self._monitored_store.is_unreachable()

    @property
    def is_stopping(self) -> bool:
        """Whether SIGTERM has been received."""
        return self.stopped.is_set()

    async def run(self) -> None:
        """Run all components until cancelled, once the store has this layout."""
        await layout.await_layout(self._store)
        async with anyio.create_task_group() as group:
            self._group = group
            if self.relayed_store is not None:
                group.start_soon(self.relayed_store.run)
            group.start_soon(self._configuration.run)
            group.start_soon(self._registry.run)
            group.start_soon(self._closings.run)
            group.start_soon(self._elector.run)

    async def leave(self) -> None:
        """Give up all leaderships that this daemon holds."""
        with anyio.move_on_after(1.5):
            await self._elector.leave()

    # -- events

    def _list_peers(self) -> list[storepath.Peer]:
        now = http.read_clock()
        return [
            storepath.Peer(
                member.name,
                member.address,
                member.data_centre,
                self._leadership.is_member_alive(member.name, member.life, now),
            )
            for member in self._leadership.list_peers()
        ]

    def _list_pools(self) -> list[str]:
        catalogue = self._configuration.catalogue
        if catalogue is None:
            return []
        pools = [pool.name for pool in catalogue.pools if not pool.standby]
        return [*pools, leadership.FLEET]

    def _get_queues(self) -> tuple[model.Queue, ...]:
        catalogue = self._configuration.catalogue
        return catalogue.queues if catalogue else ()

    def _apply_catalogue(self, runner: pool_runner.Runner) -> None:
        runner.on_queues(self._get_queues())
        catalogue = self._configuration.catalogue
        if catalogue is not None:
            runner.on_teams(catalogue.version, catalogue.teams)

    def _on_catalogue(self) -> None:
        self.handler.on_catalogue()
        for runner in self._runners.values():
            self._apply_catalogue(runner)

    def _must_follow_workers(self) -> bool:
        """Return whether this daemon needs the workers' entries.

        Leaders of pools do. That of the fleet needs them where workers may be restarted
        under their ids, as the list of VMs names no more than these.
        """
        if self._runners:
            return True
        return self._fleet_runner is not None and self._registry.may_report_starts

    def _on_worker(self, worker: registry.RegisteredWorker) -> None:
        if self._fleet_runner is not None:
            self._fleet_runner.state.on_worker(worker.entry)
        for runner in self._runners.values():
            runner.on_worker(worker.entry, worker.read_at)

    def _on_removed(self, id: str) -> None:
        if self._fleet_runner is not None:
            self._fleet_runner.state.on_worker_removed(id)
        for runner in self._runners.values():
            runner.on_worker_removed(id)

    def _on_closings(self, closed: list[maintenance.Closing], version: int) -> None:
        for runner in self._runners.values():
            runner.set_closings(closed, version)

    def _on_leadership_gained(self, owner: leader_record.Owner) -> None:
        if self._group is None:
            return
        self._on_leadership_lost(owner.pool)
        if owner.pool == leadership.FLEET:
            self._fleet_runner = self._make_fleet_runner(owner)
            for worker in self._registry.workers.values():
                self._fleet_runner.state.on_worker(worker.entry)
            self._group.start_soon(self._run_fleet_leader, self._fleet_runner)
            return
        pool_dependencies = self._build_pool_dependencies(owner.granted)
        runner = pool_runner.Runner(owner, pool_dependencies, http.read_clock())
        self._apply_catalogue(runner)
        self._runners[owner.pool] = runner
        for worker in self._registry.workers.values():
            runner.on_worker(worker.entry, worker.read_at)
        self._group.start_soon(self._run_pool_leader, runner)

    def _get_max_granted_lease(self, pool: str) -> float:
        runner = self._runners.get(pool)
        return runner.compute_max_granted_lease() if runner is not None else 0.0

    def _on_leadership_lost(self, pool: str) -> None:
        if pool == leadership.FLEET and self._fleet_runner is not None:
            self._fleet_runner.stop()
            self._fleet_runner = None
        runner = self._runners.pop(pool, None)
        if runner is not None:
            runner.stop()

    async def _run_pool_leader(self, runner: pool_runner.Runner) -> None:
        pool = runner.owner.pool
        try:
            await runner.run()
        except Exception:
            log.log_exception("pool leader task failed", pool=pool)
        if self._runners.get(pool) is not runner:
            return
        log.log_change("pool leader task ended", pool=pool, deposed=runner.pool.deposed)
        if self._leadership.is_leader(pool):
            await self._elector.give_up(pool)
        else:
            self._on_leadership_lost(pool)

    async def _run_fleet_leader(self, runner: fleet_task.Runner) -> None:
        try:
            await runner.run()
        except Exception:
            log.log_exception("fleet leader task failed")
        if self._fleet_runner is not runner:
            return
        self._fleet_runner = None
        log.log_change("fleet leader task ended", deposed=runner.deposed)
        if self._leadership.is_leader(leadership.FLEET):
            await self._elector.give_up(leadership.FLEET)

    def _make_fleet_runner(self, owner: leader_record.Owner) -> fleet_task.Runner:
        bounds = self.settings.bounds
        fleet_dependencies = fleet_task.Dependencies(
            self._store,
            self._fleet_calls,
            self._elector.may_order,
            lambda: self._configuration.catalogue,
            lambda: self._configuration.wave_orders,
            lambda: self._leadership.clock.compute_latest(http.read_clock()),
            self.settings.name,
            bounds.order_gap,
            bounds.maintenance_seconds,
            self.settings.orders_per_second,
        )
        return fleet_task.Runner(owner, fleet_dependencies, http.read_clock())

    def _build_pool_dependencies(
        self, granted_lease: float
    ) -> dependencies.Dependencies:
        bounds = self.settings.bounds
        max_lease = min(dispatcher.OUTAGE_LEASE_SECONDS, bounds.longest_lease)
        return dependencies.Dependencies(
            self._store,
            self._calls,
            self._advice_calls,
            self.instruments,
            self._elector.may_order,
            lambda: self._elector.last_renewed_at,
            lambda: self._leadership.clock.compute_earliest(http.read_clock()),
            bounds.final_retention,
            view.TimeBounds(
                granted_lease or max_lease,
                bounds.stop_grace,
                not self.settings.rates.has_cross_part_transactions,
                bounds.move_seconds,
                bounds.longest_lease,
            ),
            self.settings.rates.row_bytes,
        )
