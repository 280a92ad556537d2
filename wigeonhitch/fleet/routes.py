"""Routes for operators: pools and waves, what waits for what and since when.

Any daemon answers: it reads the table and makes the same decisions as the
runner, without carrying them out, so what it shows is what the runner of the
duty will do with the same rows.
"""

from collections.abc import Callable, Iterable
from typing import Any

import anyio

from wigeonhitch.configuration import document
from wigeonhitch.fleet import (
    batch,
    budget,
    change,
    move,
    observer,
    planner,
    state,
    wave,
)
from wigeonhitch.operators import route
from wigeonhitch.platform import table

__all__ = ["build_routes"]

Status = state.WaveStatus

# Which states of a wave each request may be made in; None: never started.
# A request whose result already holds is answered as done, so that it can be
# repeated after a lost answer.
ALLOWED: dict[str, tuple[Status, tuple[Status | None, ...]]] = {
    "start": (Status.RUNNING, (None, Status.ABORTED)),
    "pause": (Status.PAUSED, (Status.RUNNING,)),
    "resume": (Status.RUNNING, (Status.PAUSED,)),
    "abort": (Status.ABORTED, (Status.RUNNING, Status.PAUSED)),
}


def build_routes(
    seen: observer.Observer, source: Callable[[], document.Document | None]
) -> list[route.Route]:
    """Return the routes of the fleet.

    Parameters
    ----------
    seen : Observer
        An observer of its own, not the runner's: both keep state.
    source : callable
        Returns the accepted document, or None when it is not known.
    """
    desk = FleetHandlers(seen, source)
    routes = [
        route.Route("GET", "/pools", False, desk.list_pools),
        route.Route("GET", "/pools/{pool}", False, desk.show_pool),
        route.Route("GET", "/waves", False, desk.list_waves),
        route.Route("GET", "/waves/{wave}", False, desk.show_wave),
        route.Route("GET", "/waves/{wave}/plan", False, desk.show_plan),
    ]
    for action in ALLOWED:
        handler = desk.make_change(action)
        routes.append(route.Route("POST", f"/waves/{{wave}}/{action}", True, handler))
    return routes


def refuse(status: int, reason: str) -> route.Answer:
    """Return an answer that says why something was not done."""
    return route.Answer(status, {"reason": reason})


class FleetHandlers:
    """The handlers of the routes; see `build_routes`."""

    def __init__(
        self,
        seen: observer.Observer,
        source: Callable[[], document.Document | None],
    ) -> None:
        self._seen = seen
        self._source = source
        self._lock = anyio.Lock()

    async def _read_snapshot(self) -> wave.Snapshot | route.Answer:
        """Return the fleet as the table and the VM list show it now."""
        accepted = self._source()
        if accepted is None:
            return refuse(503, "no accepted document is known")
        async with self._lock:
            if not await self._seen.refresh():
                return refuse(503, self._seen.problem)
            return self._seen.build_snapshot(accepted, frozenset())

    async def _check(
        self, snapshot: wave.Snapshot, pools: Iterable[str]
    ) -> wave.Snapshot:
        """Return the snapshot with the health of all VMs that its answer names.

        Those are the VMs of some pools, and whatever the runner asks itself.
        """
        vms = {row.vm for name in pools for row in snapshot.view.members(name)}
        vms.update(observer.list_vms_to_check(snapshot))
        healthy = await self._seen.check_health(vms, snapshot)
        return snapshot._replace(
            observation=snapshot.observation._replace(healthy=healthy)
        )

    async def list_pools(self, request: route.Request) -> route.Answer:
        """Answer all pools, without asking the workers."""
        del request
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        listed = frozenset(snapshot.observation.machines)
        snapshot = snapshot._replace(
            observation=snapshot.observation._replace(healthy=listed)
        )
        budgets = snapshot.measure_budgets()
        shown = [
            describe_pool(snapshot, pool, budgets) for pool in snapshot.document.pools
        ]
        return route.Answer(200, {"pools": shown, "checked": False})

    async def show_pool(self, request: route.Request) -> route.Answer:
        """Answer one pool: who is up, what is taken, what waits and why."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        name = request.path["pool"]
        pools = {pool.name: pool for pool in snapshot.document.pools}
        if name not in pools:
            return refuse(404, f"no pool {name!r} in the accepted document")
        snapshot = await self._check(snapshot, (name,))
        shown = describe_pool(snapshot, pools[name], snapshot.measure_budgets())
        shown["vms"] = [
            describe_vm(snapshot, row) for row in snapshot.view.members(name)
        ]
        shown["waiting"] = list_waiting(snapshot, pool=name)
        return route.Answer(200, shown | {"checked": True})

    async def list_waves(self, request: route.Request) -> route.Answer:
        """Answer all waves of the document with their progress."""
        del request
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        shown = [describe_wave(snapshot, item) for item in snapshot.document.waves]
        return route.Answer(200, {"waves": shown})

    async def show_wave(self, request: route.Request) -> route.Answer:
        """Answer one wave: progress of each VM, what waits and why."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        item = find_wave(snapshot.document, request.path["wave"])
        if item is None:
            return refuse(404, f"no wave {request.path['wave']!r} in the document")
        snapshot = await self._check(snapshot, item.pools)
        shown = describe_wave(snapshot, item)
        rows = [row for row in snapshot.view.vms.values() if row.pool in item.pools]
        shown["vms"] = [
            describe_vm(snapshot, row) | {"done": item.name in row.done}
            for row in sorted(rows, key=lambda row: row.vm)
        ]
        shown["waiting"] = list_waiting(snapshot, item=item)
        return route.Answer(200, shown)

    async def show_plan(self, request: route.Request) -> route.Answer:
        """Answer what a wave would do: measures beside their lower bounds."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        item = find_wave(snapshot.document, request.path["wave"])
        if item is None:
            return refuse(404, f"no wave {request.path['wave']!r} in the document")
        return route.Answer(200, describe_plan(planner.plan_wave(snapshot, item)))

    def make_change(self, action: str) -> Callable:
        """Return the handler of one changing request on a wave."""

        async def handle(request: route.Request) -> route.Answer:
            return await self._change(action, request)

        return handle

    async def _change(self, action: str, request: route.Request) -> route.Answer:
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        name = request.path["wave"]
        if find_wave(snapshot.document, name) is None:
            return refuse(404, f"no wave {name!r} in the accepted document")
        status, sources = ALLOWED[action]
        row = snapshot.view.waves.get(name)
        held = row.status if row else None
        if held is status:
            return route.Answer(200, {"wave": name, "status": status.value})
        if held not in sources:
            text = held.value if held else "not started"
            return refuse(409, f"wave {name} is {text}: cannot {action}")
        new = state.WaveRow(
            name, status, request.operator, snapshot.observation.now, row_version(row)
        )
        return await self._commit(new, action)

    async def _commit(self, row: state.WaveRow, action: str) -> route.Answer:
        transaction = change.build_wave(row, f"{action} by {row.operator}")
        result = await self._seen.platform.table.commit(
            transaction.conditions, transaction.writes, purpose="fleet"
        )
        if result.outcome is table.Outcome.DONE:
            return route.Answer(200, {"wave": row.wave, "status": row.status.value})
        if result.outcome is table.Outcome.UNKNOWN:
            return refuse(504, "unknown whether done: ask again")
        if result.reason == "conflict":
            return refuse(409, f"wave {row.wave} was changed meanwhile: look again")
        return refuse(503, f"table: {result.reason}")


def row_version(row: state.WaveRow | None) -> int:
    """Return the version of a row, 0 when it is absent."""
    return row.version if row else 0


def find_wave(accepted: document.Document, name: str) -> document.Wave | None:
    """Return a wave of the document by name."""
    return next((item for item in accepted.waves if item.name == name), None)


def describe_vm(snapshot: wave.Snapshot, row: state.VmRow) -> dict[str, Any]:
    """Return what operators see of a VM."""
    return {
        "vm": row.vm,
        "pool": row.pool,
        "state": row.state.value,
        "since": row.since,
        "wave": row.wave,
        "target": row.target,
        "listed": row.vm in snapshot.observation.machines,
        "serving": snapshot.observation.is_serving(row.vm),
    }


def describe_pool(
    snapshot: wave.Snapshot, pool: document.Pool, budgets: dict[str, budget.Budget]
) -> dict[str, Any]:
    """Return size, budget and what is taken of a pool."""
    measured = budgets[pool.name]
    return {
        "pool": pool.name,
        "kind": pool.kind,
        "size": pool.size,
        "members": len(snapshot.view.members(pool.name)),
        "required": measured.required,
        "up": sorted(measured.up),
        "spare": measured.spare,
        "taken": list(snapshot.view.pool(pool.name).taken),
    }


def describe_wave(snapshot: wave.Snapshot, item: document.Wave) -> dict[str, Any]:
    """Return status and progress of a wave."""
    rows = [row for row in snapshot.view.vms.values() if row.pool in item.pools]
    row = snapshot.view.waves.get(item.name)
    active = [vm for vm in rows if vm.wave == item.name]
    down = state.VmState.DOWN
    return {
        "wave": item.name,
        "status": row.status.value if row else "not started",
        "operator": row.operator if row else "",
        "since": row.since if row else 0.0,
        "window": list(item.window),
        "vms": len(rows),
        "done": sum(item.name in vm.done for vm in rows),
        "active": sorted(vm.vm for vm in active if vm.state is not down),
        "down": sorted(vm.vm for vm in active if vm.state is down),
    }


def describe_plan(plan: planner.Plan) -> dict[str, Any]:
    """Return the dry run of a wave as JSON."""
    shown = plan._asdict()
    shown["pools"] = [pool._asdict() for pool in plan.pools]
    shown["measures"] = plan.measures._asdict()
    shown["bounds"] = plan.bounds._asdict()
    return shown


def list_waiting(
    snapshot: wave.Snapshot, *, pool: str = "", item: document.Wave | None = None
) -> list[dict[str, Any]]:
    """Return why stops of a pool or wave wait, and since when.

    The time is that of the last change of the rows concerned: the reason
    cannot be older.
    """
    found = []
    _, steps = wave.advance(snapshot)
    for vm, why in sorted(steps.items()):
        row = snapshot.view.vms[vm]
        if row.pool == pool or (item and row.wave == item.name):
            found.append({"what": f"vm {vm}", "why": why, "since": row.since})
    picks = dict(move.pick_moves(snapshot).waiting) if pool else {}
    picks.update(batch.pick_stops(snapshot, (item,) if item else None).waiting)
    for what, why in sorted(picks.items()):
        name = what.rpartition("/")[2]
        if item is None and pool not in (name, *running_pools(snapshot, name)):
            continue
        found.append({"what": what, "why": why, "since": find_since(snapshot, what)})
    return found


def running_pools(snapshot: wave.Snapshot, name: str) -> tuple[str, ...]:
    """Return the pools of a wave that is running or paused, else none."""
    item = find_wave(snapshot.document, name)
    row = snapshot.view.waves.get(name)
    is_begun = row is not None and row.status in (Status.RUNNING, Status.PAUSED)
    return item.pools if item and is_begun else ()


def find_since(snapshot: wave.Snapshot, what: str) -> float:
    """Return the last change of the wave and the pool named in ``what``."""
    first, _, last = what.partition("/")
    times = [row.since for row in snapshot.view.members(last)]
    row = snapshot.view.waves.get(first)
    return max([*times, row.since if row else 0.0])
