"""Moves of VMs with demand: from the standby pool and idle pools to busy pools.

The queues take turns in requesting five times their mean load for some seconds, more
than a pool holds, and a twentieth of the mean in between. Without moves nearly all jobs
of a burst are late while standby VMs are off, so these are moved to the pools with the
most unmet work. A VM in a pool costs 0.095 per second and a move 0.11, far less than
the 1.3 per second that its 32 cores earn.

Idle VMs return to the standby pool once their pool has not needed them for a second:
from there they can be moved faster than out of a pool, where tasks must end first.
"""

import math

from wigeonhitch.maintenance import core, record
from wigeonhitch.platform import fleet
from wigeonhitch.pool import record as pool_record

__all__ = ["compute_max_concurrent_moves", "plan_moves"]

MIN_MISSING_VM_SHARE = 0.3
"""Minimum share of a VM's cores that must be missing for a VM to be moved: a move
takes 1.5 s, in which the pool itself frees that much."""

DRAIN_TIMEOUT_SECONDS = 6.0
"""Time after which a VM that can't be drained for a move is reopened."""

IDLE_BEFORE_STANDBY_SECONDS = 1.0
"""Time for which a pool must have had free capacity for more than one VM's work
before a VM returns to standby: a lull within a burst is shorter."""

MIN_STAY_SECONDS = 4.0
"""Time for which a VM that was moved to a pool isn't returned while idle. A burst rises
over some seconds: VMs that were requested at its beginning are idle for a second or two
before its peak, and a return and a second move would take 3 s."""

IDLE_RESERVE_MILLICORES = 8000
"""Free capacity that stays in a pool when a VM returns to standby: a job between
bursts takes that much."""

BACKLOG_FACTOR = 3.0
"""Multiple of the capacity missing in a burst that is requested. It is missing for
some 2 s until VMs arrive, and the backlog of that time must be worked off within
another second, since a small job is late after 1.4 s of waiting."""

LENDING_SHARE = 1 / 2
"""Share of its initial VMs that a pool between two bursts lends at most. With a third,
two pools of 36 and 40 VMs kept 1,600 cores idle while tasks on time lacked 2,000 in
another pool; with two thirds, jobs at the beginning of the next burst were late."""

MIN_KEPT_VMS = 4
"""Initial VMs that a pool keeps in any case. With fewer, its own burst has no room
until VMs come back, 2 s after it has begun."""

LENDING_RESERVE_VMS = 3
"""Free capacity in VMs that a lending pool must keep beyond what its work needs: it
serves a burst of its own for the 2 s until VMs come back."""

MOVE_ORDERS_SECONDS = 0.5
"""Seconds of the platform's order rate that moves in flight may use: the rest is for
maintenance and for orders that are repeated."""

_Action = core.Close | core.Open | core.Move


def compute_max_concurrent_moves(orders_per_second: float) -> int:
    """Return the maximum number of VMs that move at once.

    A burst lasts some 8 s, and a site of 276 VMs moves a hundred of them. With 32 at
    once the last would leave three moves of 1.5 s later.
    """
    return max(1, round(orders_per_second * MOVE_ORDERS_SECONDS))


def plan_moves(state: core.FleetState, now: float) -> list[_Action]:
    """Return the moves to order, and the workers to drain for the next ones."""
    actions: list[_Action] = []
    needs = _list_needs(state)
    donors = _list_donors(state) if needs else []
    for pool, count in needs:
        moves = _move_standby_vms(state, pool, count, now)
        actions.extend(moves)
        missing = min(count - len(moves), _count_urgent(state, pool))
        if missing > 0:
            chosen = _choose_donors(state, donors, pool, missing)
            donors = [vm for vm in donors if vm not in chosen]
            actions.extend(
                core.Close(record.Closing(vm.worker, vm.id, 0, pool)) for vm in chosen
            )
    if not needs:
        actions.extend(_plan_returns(state, now))
    actions.extend(_move_drained_vms(state, now))
    return actions


def _move_standby_vms(
    state: core.FleetState, pool: str, count: int, now: float
) -> list[core.Move]:
    """Plan moves of standby VMs to a pool, and record them as moving."""
    moves = []
    for vm in _list_standby(state, pool, now)[: max(0, count)]:
        if len(state.moving) >= state.max_concurrent_moves:
            break
        state.moving[vm.id] = core.Moving(pool, now)
        moves.append(core.Move(vm.id, pool, vm.worker))
    return moves


def _move_drained_vms(
    state: core.FleetState, now: float
) -> list[core.Open | core.Move]:
    """Move drained VMs; reopen those that can't be drained or may not be moved."""
    actions: list[core.Open | core.Move] = []
    for worker, closing in list(state.closings.items()):
        vm = state.vms.get(closing.vm)
        if closing.wave or closing.ended or vm is None or vm.worker != worker:
            continue
        if state.is_move_refused(vm.id, closing.pool):
            actions.append(core.Open(worker))
        elif vm.state is fleet.VmState.UP and state.is_empty(vm):
            if vm.id not in state.moving and state.may_order_vm(vm.id, now):
                state.moving[vm.id] = core.Moving(closing.pool, now)
                actions.append(core.Move(vm.id, closing.pool, worker))
        elif now - state.closed_since.get(worker, now) > DRAIN_TIMEOUT_SECONDS:
            actions.append(core.Open(worker))
    return actions


def _plan_returns(state: core.FleetState, now: float) -> list[core.Close]:
    """Drain idle VMs, to return them to pools that lent some or to standby."""
    standby = next((pool.name for pool in state.pools.values() if pool.standby), "")
    actions = []
    size = _find_max_vm_millicores(state)
    lenders = _list_pools_below_initial_size(state)
    for pool, status in state.pool_statuses.items():
        spare = status.idle - size - IDLE_RESERVE_MILLICORES
        if not standby or status.unmet or spare < 0 or not status.bare:
            state.idle_since.pop(pool, None)
            continue
        since = state.idle_since.setdefault(pool, now)
        if now - since < IDLE_BEFORE_STANDBY_SECONDS:
            continue
        count = min(1 + spare // max(1, size), _count_surplus(state, pool))
        settled = [
            vm
            for vm in _list_available(state, pool, status.bare)
            if now - state.joined_at.get(vm.id, -math.inf) >= MIN_STAY_SECONDS
        ]
        for vm in settled[: max(0, count)]:
            target = lenders.pop(0) if lenders else standby
            actions.append(core.Close(record.Closing(vm.worker, vm.id, 0, target)))
    return actions


def _list_pools_below_initial_size(state: core.FleetState) -> list[str]:
    """Return the pools below their initial size, once for each missing VM."""
    pools = []
    for pool in state.pool_statuses:
        if pool in state.pools and not state.is_standby(pool):
            deficit = -_count_surplus(state, pool) - len(_list_incoming(state, pool))
            pools.extend([pool] * max(0, deficit))
    return pools


def _count_surplus(state: core.FleetState, pool: str) -> int:
    """Return how many VMs a pool has beyond its initial size."""
    size = sum(1 for vm in state.vms.values() if vm.pool == pool)
    leaving = sum(
        1
        for closing in state.closings.values()
        if not (closing.wave or closing.ended)
        and state.vms.get(closing.vm) is not None
        and state.vms[closing.vm].pool == pool
    )
    return size - leaving - state.initial_sizes.get(pool, size)


def _list_available(
    state: core.FleetState, pool: str, workers: tuple[str, ...]
) -> list[fleet.Vm]:
    """Return the VMs of these workers that are up in a pool and not being drained."""
    available = {
        vm.worker: vm
        for vm in state.vms.values()
        if vm.pool == pool
        and vm.state is fleet.VmState.UP
        and not state.is_closing(vm.id)
    }
    return [available[worker] for worker in workers if worker in available]


def _list_needs(state: core.FleetState) -> list[tuple[str, int]]:
    """Return the pools that could use more VMs with their numbers, largest first."""
    needs = []
    for pool, status in state.pool_statuses.items():
        if pool not in state.pools or state.is_standby(pool):
            continue
        missing = max(
            status.unmet,
            status.peak_demand - status.batch_capacity,
            _compute_backlog(status),
        )
        count = _count_missing(state, pool, missing)
        if count > 0:
            needs.append((pool, count))
    return sorted(needs, key=lambda need: -need[1])


def _count_missing(state: core.FleetState, pool: str, missing: int) -> int:
    """Return the VMs that cover missing millicores beyond those already incoming."""
    size = _find_max_vm_millicores(state)
    if not size:
        return 0
    incoming = len(_list_incoming(state, pool))
    return round(missing / size - MIN_MISSING_VM_SHARE + 0.5) - incoming


def _count_urgent(state: core.FleetState, pool: str) -> int:
    """Return the number of VMs without which a pool's work can't be in time."""
    status = state.pool_statuses[pool]
    missing = max(status.min_demand - status.batch_capacity, _compute_backlog(status))
    return _count_missing(state, pool, missing)


def _compute_backlog(status: pool_record.PoolStatus) -> int:
    """Return the millicores needed for the backlog of a burst."""
    return round(
        BACKLOG_FACTOR * max(0, status.arriving_demand - status.batch_capacity)
    )


def _find_max_vm_millicores(state: core.FleetState) -> int:
    """Return the millicores of the largest VM."""
    sizes = [vm.room.cpu for vm in state.vms.values() if vm.room.cpu]
    return max(sizes, default=0)


def _list_incoming(state: core.FleetState, pool: str) -> list[str]:
    incoming = [id for id, moving in state.moving.items() if moving.pool == pool]
    incoming.extend(id for id, move in state.arrived.items() if move.pool == pool)
    for closing in state.closings.values():
        if not (closing.wave or closing.ended) and closing.pool == pool:
            incoming.append(closing.vm)
    return incoming


def _list_standby(state: core.FleetState, pool: str, now: float) -> list[fleet.Vm]:
    """Return the standby VMs that can move to a pool."""
    in_maintenance = {vm for wave in state.progress.values() for vm in wave.ordered}
    return [
        vm
        for vm in state.vms.values()
        if state.is_standby(vm.pool)
        and vm.state is fleet.VmState.UP
        and vm.id not in state.moving
        and vm.id not in in_maintenance
        and state.may_order_vm(vm.id, now)
        and not state.is_move_refused(vm.id, pool)
    ]


def _list_donors(state: core.FleetState) -> list[fleet.Vm]:
    """Return the VMs that pools can spare while their work stays in time.

    VMs without tasks come first, including lendable ones: the others must end their
    tasks, which takes up to 4 s. Listed once per round for all requesting pools.
    """
    pools = [pool for pool in state.pool_statuses if not state.is_standby(pool)]
    bare = {worker for pool in pools for worker in state.pool_statuses[pool].bare}
    surplus = [vm for pool in pools for vm in _list_surplus(state, pool)]
    lendable = [vm for pool in pools for vm in _list_lendable(state, pool)]
    idle = [vm for vm in surplus if vm.worker in bare]
    busy = [vm for vm in surplus if vm.worker not in bare]
    return idle + lendable + busy


def _choose_donors(
    state: core.FleetState, donors: list[fleet.Vm], pool: str, count: int
) -> list[fleet.Vm]:
    """Return the first ``count`` VMs of other pools that may move to a pool."""
    usable = [
        vm
        for vm in donors
        if vm.pool != pool and not state.is_move_refused(vm.id, pool)
    ]
    return usable[:count]


def _list_lendable(state: core.FleetState, pool: str) -> list[fleet.Vm]:
    """Return the VMs of its initial ones that a pool between two bursts can lend.

    They run no tasks, so they can move at once, while those of a pool whose burst is
    ending must finish their tasks first, for up to 4 s. Lending helps where a burst
    asks for more than a pool and the standby VMs hold. It relies on bursts being
    detected from submitted jobs: without that, a lender detects its own burst too late.
    """
    status = state.pool_statuses[pool]
    size = _find_max_vm_millicores(state)
    surplus = _count_surplus(state, pool)
    if (
        surplus > 0
        or status.unmet
        or status.batch_capacity - status.min_demand < LENDING_RESERVE_VMS * size
    ):
        return []
    initial = state.initial_sizes.get(pool, 0)
    lendable = min(round(LENDING_SHARE * initial), initial - MIN_KEPT_VMS)
    count = lendable + surplus
    return _list_available(state, pool, status.bare)[: max(0, count)]


def _list_surplus(state: core.FleetState, pool: str) -> list[fleet.Vm]:
    """Return the VMs beyond its initial size without which a pool is still in time."""
    status = state.pool_statuses[pool]
    available = _list_available(state, pool, status.light)
    size = max(1, _find_max_vm_millicores(state))
    count = min(
        (status.batch_capacity - status.min_demand) // size, _count_surplus(state, pool)
    )
    return available[: max(0, count)]
