"""Counts the jobs of a queue that have not started, in all pools that hold some.

Callers ask by a path. A job belongs to the route of the path by which it was
submitted, whatever the name and the pool of that route are by now. Where no route has
that path any more, it belongs to the route that has its queue's name.
"""

from collections.abc import Callable

import anyio

from wigeonhitch.jobs import model
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows, routes

__all__ = ["WaitingJobCounter"]

SCAN_PERIOD_SECONDS = 10.0
"""Interval of scans for jobs that wait in former pools of their queue."""

FIRST_SCANS_PERIOD_SECONDS = 2.0
"""The same for a daemon that has started within the last `FORMER_POOL_SECONDS`, as it
doesn't know which queues have just moved. A count may be 2 s old."""

FORMER_POOL_SECONDS = 2 * SCAN_PERIOD_SECONDS
"""Seconds for which the former pool of a queue is read with each count, whether the
last scan found jobs of the queue there or not. Daemons that learn of the move later
accept jobs there for some seconds more, which a scan within that time finds."""


class WaitingJobCounter:
    """Reads the status of a queue's pool and of the other pools that hold its jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    get_routes : callable
        Returns the index of the configuration in force.
    """

    def __init__(
        self,
        store: rows.RowStore,
        get_routes: Callable[[], routes.RouteIndex],
    ) -> None:
        self._store = store
        self._get_routes = get_routes
        self._noted: routes.RouteIndex | None = None
        """Index of the configuration whose names have been noted last."""
        self._statuses: dict[str, pool_record.PoolStatus] = {}
        """Status of each pool as last read."""
        self._names_by_path: dict[model.RoutePath, set[str]] = {}
        """Names that the route of each path had in the configurations seen so far.
        Only jobs of rows without a path are counted by them."""
        self._pools_by_path: dict[model.RoutePath, str] = {}
        """Pool of each path in the last configuration that had the path."""
        self._former_pools: dict[model.RoutePath, dict[str, float]] = {}
        """Pools that a path had before, with the time at which that was replaced."""
        self._started_at = http.read_clock()
        self._scanned_at: float | None = None

    def on_catalogue(self) -> None:
        """Take note of the names and pools in the configuration in force."""
        index = self._get_routes()
        if index is self._noted:
            return
        self._noted = index
        for path, name in index.names_by_path.items():
            self._names_by_path.setdefault(path, set()).add(name)
            pool = index.get_pool(path)
            former = self._pools_by_path.setdefault(path, pool)
            if former != pool:
                self._pools_by_path[path] = pool
                self._former_pools.setdefault(path, {})[former] = http.read_clock()

    async def count(self, queue: model.Queue) -> int | rows.Range:
        """Return how many jobs wait, or the failed read of a pool's status."""
        self.on_catalogue()
        await self._scan_statuses()
        holding_pools = (
            pool
            for pool, status in self._statuses.items()
            if self._count_in_status(status, queue)
        )
        total = 0
        former_pools = self._list_former_pools(queue)
        for pool in dict.fromkeys((queue.pool, *former_pools, *holding_pools)):
            result = await self._read_status(pool)
            if result.outcome is not table.Outcome.DONE:
                return result
            for row in result.rows:
                status = pool_record.read_status(row.value or b"")
                total += self._count_in_status(status, queue)
        return total

    def _list_former_pools(self, queue: model.Queue) -> list[str]:
        """Return the pools from which a queue has moved of late."""
        pools = self._former_pools.get(queue.path, {})
        since = http.read_clock() - FORMER_POOL_SECONDS
        for pool in [pool for pool, left_at in pools.items() if left_at < since]:
            del pools[pool]
        return list(pools)

    def _count_in_status(
        self, status: pool_record.PoolStatus, queue: model.Queue
    ) -> int:
        """Return how many of a pool's waiting jobs belong to a queue."""
        total = 0
        without_path = dict(status.waiting)
        paths_in_force = self._get_routes().names_by_path
        for entry in status.waiting_by_path:
            without_path[entry.queue] = without_path.get(entry.queue, 0) - entry.jobs
            has_no_route = entry.path not in paths_in_force
            if entry.path == queue.path or (has_no_route and entry.queue == queue.name):
                total += entry.jobs
        for name in self._list_names(queue):
            total += max(0, without_path.get(name, 0))
        return total

    def _list_names(self, queue: model.Queue) -> set[str]:
        """Return the names that a queue has or had, unless another queue has them."""
        index = self._get_routes()
        former = self._names_by_path.get(queue.path, set())
        kept = {n for n in former if not index.is_name_of_another(n, queue.path)}
        return {queue.name, *kept}

    async def _scan_statuses(self) -> None:
        """Read the status of each pool, unless the last scan is recent."""
        now = http.read_clock()
        is_new = now - self._started_at < FORMER_POOL_SECONDS
        period = FIRST_SCANS_PERIOD_SECONDS if is_new else SCAN_PERIOD_SECONDS
        if self._scanned_at is not None and now - self._scanned_at < period:
            return
        pools = await self._store.list_parts(
            pool_record.STATUS_TABLE, timeout=jobrows.CALL_TIMEOUT_SECONDS
        )
        if pools.names is None:
            return
        self._scanned_at = now
        async with anyio.create_task_group() as group:
            for pool in pools.names:
                group.start_soon(self._read_status, pool)

    async def _read_status(self, pool: str) -> rows.Range:
        result = await self._store.read(
            pool_record.STATUS_TABLE, pool, timeout=jobrows.CALL_TIMEOUT_SECONDS
        )
        for row in result.rows:
            self._statuses[pool] = pool_record.read_status(row.value or b"")
        return result
