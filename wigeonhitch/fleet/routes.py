"""Routes for operators: pools, waves, and why and since when stops wait.

Any daemon can answer: it reads the table and makes the same decisions as the
runner without executing them, so it shows what the runner that holds the duty
does with the same rows.
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

# For each request, the resulting status of the wave and the statuses from which
# it is allowed; None means never started. A request whose resulting status is
# already set succeeds, so that it can be repeated after a lost answer.
TRANSITIONS: dict[str, tuple[Status, tuple[Status | None, ...]]] = {
    "start": (Status.RUNNING, (None, Status.ABORTED)),
    "pause": (Status.PAUSED, (Status.RUNNING,)),
    "resume": (Status.RUNNING, (Status.PAUSED,)),
    "abort": (Status.ABORTED, (Status.RUNNING, Status.PAUSED)),
}


def build_routes(
    fleet_observer: observer.Observer,
    find_document: Callable[[], document.Document | None],
) -> list[route.Route]:
    """Return the routes of the fleet.

    Parameters
    ----------
    fleet_observer : Observer
        A separate observer, not the runner's, since an observer has state.
    find_document : callable
        Returns the accepted document, or None if it is not known.
    """
    handlers = FleetHandlers(fleet_observer, find_document)
    routes = [
        route.Route("GET", "/pools", False, handlers.list_pools),
        route.Route("GET", "/pools/{pool}", False, handlers.show_pool),
        route.Route("GET", "/waves", False, handlers.list_waves),
        route.Route("GET", "/waves/{wave}", False, handlers.show_wave),
        route.Route("GET", "/waves/{wave}/plan", False, handlers.show_plan),
    ]
    for action in TRANSITIONS:
        handler = handlers.make_status_handler(action)
        routes.append(route.Route("POST", f"/waves/{{wave}}/{action}", True, handler))
    return routes


def refuse(status: int, reason: str) -> route.Answer:
    """Return an answer with the reason why a request was refused."""
    return route.Answer(status, {"reason": reason})


class FleetHandlers:
    """Handlers of the routes; see `build_routes`."""

    def __init__(
        self,
        fleet_observer: observer.Observer,
        find_document: Callable[[], document.Document | None],
    ) -> None:
        self._observer = fleet_observer
        self._find_document = find_document
        self._lock = anyio.Lock()

    async def _read_snapshot(self) -> wave.Snapshot | route.Answer:
        """Return a snapshot of the table and the VM list, without health checks."""
        accepted = self._find_document()
        if accepted is None:
            return refuse(503, "no accepted document is known")
        async with self._lock:
            if not await self._observer.refresh():
                return refuse(503, self._observer.problem)
            return self._observer.build_snapshot(accepted, frozenset())

    async def _check_health(
        self, snapshot: wave.Snapshot, pools: Iterable[str]
    ) -> wave.Snapshot:
        """Return the snapshot with the health of all VMs in the answer.

        These are the VMs of ``pools`` and those that the runner checks itself.
        """
        vms = {row.vm for name in pools for row in snapshot.view.members(name)}
        vms.update(observer.list_vms_to_check(snapshot))
        healthy = await self._observer.check_health(vms, snapshot)
        return snapshot._replace(
            observation=snapshot.observation._replace(healthy=healthy)
        )

    async def list_pools(self, request: route.Request) -> route.Answer:
        """Return all pools, without health checks of workers."""
        del request
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        listed = frozenset(snapshot.observation.machines)
        snapshot = snapshot._replace(
            observation=snapshot.observation._replace(healthy=listed)
        )
        budgets = snapshot.measure_budgets()
        pools = [
            describe_pool(snapshot, pool, budgets) for pool in snapshot.document.pools
        ]
        return route.Answer(200, {"pools": pools, "checked": False})

    async def show_pool(self, request: route.Request) -> route.Answer:
        """Return one pool: VMs that are up or taken, and why stops wait."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        name = request.path["pool"]
        pools = {pool.name: pool for pool in snapshot.document.pools}
        if name not in pools:
            return refuse(404, f"no pool {name!r} in the accepted document")
        snapshot = await self._check_health(snapshot, (name,))
        body = describe_pool(snapshot, pools[name], snapshot.measure_budgets())
        body["vms"] = [
            describe_vm(snapshot, row) for row in snapshot.view.members(name)
        ]
        body["waiting"] = list_waiting(snapshot, pool=name)
        return route.Answer(200, body | {"checked": True})

    async def list_waves(self, request: route.Request) -> route.Answer:
        """Return all waves of the document with their progress."""
        del request
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        waves = [
            describe_wave(snapshot, wave_spec) for wave_spec in snapshot.document.waves
        ]
        return route.Answer(200, {"waves": waves})

    async def show_wave(self, request: route.Request) -> route.Answer:
        """Return one wave: progress of each VM, and why stops wait."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        wave_spec = find_wave(snapshot.document, request.path["wave"])
        if wave_spec is None:
            return refuse(404, f"no wave {request.path['wave']!r} in the document")
        snapshot = await self._check_health(snapshot, wave_spec.pools)
        body = describe_wave(snapshot, wave_spec)
        rows = [
            row for row in snapshot.view.vms.values() if row.pool in wave_spec.pools
        ]
        body["vms"] = [
            describe_vm(snapshot, row) | {"done": wave_spec.name in row.done}
            for row in sorted(rows, key=lambda row: row.vm)
        ]
        body["waiting"] = list_waiting(snapshot, wave_spec=wave_spec)
        return route.Answer(200, body)

    async def show_plan(self, request: route.Request) -> route.Answer:
        """Return the dry run of a wave, with measures and lower bounds."""
        snapshot = await self._read_snapshot()
        if isinstance(snapshot, route.Answer):
            return snapshot
        wave_spec = find_wave(snapshot.document, request.path["wave"])
        if wave_spec is None:
            return refuse(404, f"no wave {request.path['wave']!r} in the document")
        return route.Answer(200, describe_plan(planner.plan_wave(snapshot, wave_spec)))

    def make_status_handler(self, action: str) -> Callable:
        """Return the handler of a request that changes a wave's status."""

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
        status, allowed_statuses = TRANSITIONS[action]
        row = snapshot.view.waves.get(name)
        current = row.status if row else None
        if current is status:
            return route.Answer(200, {"wave": name, "status": status.value})
        if current not in allowed_statuses:
            text = current.value if current else "not started"
            return refuse(409, f"wave {name} is {text}: cannot {action}")
        new_row = state.WaveRow(
            name, status, request.operator, snapshot.observation.now, row_version(row)
        )
        return await self._commit(new_row, action)

    async def _commit(self, row: state.WaveRow, action: str) -> route.Answer:
        transaction = change.build_wave(row, f"{action} by {row.operator}")
        result = await self._observer.platform.table.commit(
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
    """Return the version of a row, or 0 if it is absent."""
    return row.version if row else 0


def find_wave(accepted: document.Document, name: str) -> document.Wave | None:
    """Return the wave of the document with that name, if any."""
    return next(
        (wave_spec for wave_spec in accepted.waves if wave_spec.name == name), None
    )


def describe_vm(snapshot: wave.Snapshot, row: state.VmRow) -> dict[str, Any]:
    """Return the JSON description of a VM."""
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
    """Return the JSON description of a pool: size, budget and taken VMs."""
    pool_budget = budgets[pool.name]
    return {
        "pool": pool.name,
        "kind": pool.kind,
        "size": pool.size,
        "members": len(snapshot.view.members(pool.name)),
        "required": pool_budget.required,
        "up": sorted(pool_budget.up),
        "spare": pool_budget.spare,
        "taken": list(snapshot.view.pool(pool.name).taken),
    }


def describe_wave(snapshot: wave.Snapshot, wave_spec: document.Wave) -> dict[str, Any]:
    """Return the JSON description of a wave: status and progress."""
    rows = [row for row in snapshot.view.vms.values() if row.pool in wave_spec.pools]
    row = snapshot.view.waves.get(wave_spec.name)
    active = [vm for vm in rows if vm.wave == wave_spec.name]
    down = state.VmState.DOWN
    return {
        "wave": wave_spec.name,
        "status": row.status.value if row else "not started",
        "operator": row.operator if row else "",
        "since": row.since if row else 0.0,
        "window": list(wave_spec.window),
        "vms": len(rows),
        "done": sum(wave_spec.name in vm.done for vm in rows),
        "active": sorted(vm.vm for vm in active if vm.state is not down),
        "down": sorted(vm.vm for vm in active if vm.state is down),
    }


def describe_plan(plan: planner.Plan) -> dict[str, Any]:
    """Return the dry run of a wave as JSON."""
    body = plan._asdict()
    body["pools"] = [pool._asdict() for pool in plan.pools]
    body["measures"] = plan.measures._asdict()
    body["bounds"] = plan.bounds._asdict()
    return body


def list_waiting(
    snapshot: wave.Snapshot, *, pool: str = "", wave_spec: document.Wave | None = None
) -> list[dict[str, Any]]:
    """Return why stops of a pool or wave wait, and since when.

    The time is that of the last change of the rows involved, before which the
    reason cannot have applied.
    """
    entries = []
    _, vm_reasons = wave.advance(snapshot)
    for vm, why in sorted(vm_reasons.items()):
        row = snapshot.view.vms[vm]
        if row.pool == pool or (wave_spec and row.wave == wave_spec.name):
            entries.append({"what": f"vm {vm}", "why": why, "since": row.since})
    reasons = dict(move.pick_moves(snapshot).waiting) if pool else {}
    reasons.update(
        batch.pick_stops(snapshot, (wave_spec,) if wave_spec else None).waiting
    )
    for key, why in sorted(reasons.items()):
        name = key.rpartition("/")[2]
        if wave_spec is None and pool not in (name, *list_active_pools(snapshot, name)):
            continue
        entries.append(
            {"what": key, "why": why, "since": find_last_change(snapshot, key)}
        )
    return entries


def list_active_pools(snapshot: wave.Snapshot, name: str) -> tuple[str, ...]:
    """Return the pools of a running or paused wave, otherwise none."""
    wave_spec = find_wave(snapshot.document, name)
    row = snapshot.view.waves.get(name)
    is_begun = row is not None and row.status in (Status.RUNNING, Status.PAUSED)
    return wave_spec.pools if wave_spec and is_begun else ()


def find_last_change(snapshot: wave.Snapshot, key: str) -> float:
    """Return the time of the last change of the wave and pool in ``key``."""
    wave_name, _, pool_name = key.partition("/")
    times = [row.since for row in snapshot.view.members(pool_name)]
    row = snapshot.view.waves.get(wave_name)
    return max([*times, row.since if row else 0.0])
