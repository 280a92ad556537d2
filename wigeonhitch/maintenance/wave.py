"""Scheduling of a maintenance wave: which VM is next, within the wave's ceiling.

A wave is planned for a dozen of thirty VMs that are due within some 26 s, five at once,
while bursts exceed the capacity of one pool after the other. Maintenance then
interrupts several long-running tasks at the same time, and takes capacity away in a
burst. So VMs without tasks go first, then those of pools without waiting work, few of a
pool at once; when the wave's time gets short, waiting work is ignored.
"""

from wigeonhitch.maintenance import core, record
from wigeonhitch.platform import entries, fleet

__all__ = ["plan_waves"]

EXTRA_DRAINS = 2
"""Number of VMs drained beyond the ceiling: draining takes some seconds, in which a
slot under the ceiling would be unused."""

POOL_SHARE_DIVISOR = 3
"""At most one in this many VMs of a pool is down or being drained at once."""

URGENT_SHARE = 0.45
"""Share of a wave's time after which waiting work no longer delays it."""

ORDER_RETRY_SECONDS = 1.0
"""Time after which an order is repeated if the VM hasn't gone down."""

RETURN_MARGIN_SECONDS = 0.5
"""Time beyond the maintenance after which a VM that is up counts as done."""


_Action = core.Close | core.Maintain | core.Open | core.Show


def plan_waves(
    state: core.FleetState, now: float, maintenance_seconds: float
) -> list[_Action]:
    """Return the actions for all waves, for maintenance of this length."""
    actions: list[_Action] = []
    for number in sorted(state.waves):
        if state.shown.get(number):
            continue
        actions.extend(_plan_wave(state, state.waves[number], now, maintenance_seconds))
    actions.extend(_plan_reopenings(state))
    return actions


def _plan_reopenings(state: core.FleetState) -> list[core.Open]:
    """Reopen workers that are closed although their VM's maintenance is done.

    The rows of a completed wave don't list the VMs that were done last.
    """
    reopenings = []
    for worker, closing in state.closings.items():
        vm = state.vms.get(closing.vm)
        progress = state.progress.get(closing.wave, record.WaveRecord())
        is_running = vm is not None and vm.worker == worker
        is_done = closing.vm in progress.done or state.shown.get(closing.wave, False)
        if is_running and not closing.ended and is_done:
            reopenings.append(core.Open(worker))
    return reopenings


def _plan_wave(
    state: core.FleetState,
    wave: entries.WaveOrder,
    now: float,
    maintenance_seconds: float,
) -> list[_Action]:
    progress = _record_returned_vms(state, wave, now, maintenance_seconds)
    left = [id for id in wave.vms if id not in progress.done and not state.is_gone(id)]
    if not left and state.vms:
        return [core.Show(wave.number, completed=True)]
    actions: list[_Action] = []
    if wave.number not in state.shown:
        actions.append(core.Show(wave.number, completed=False))
    down = [id for id in left if id in progress.ordered]
    actions.extend(_plan_order_retries(state, wave, down, now))
    free = wave.ceiling - len(down)
    listed = [state.vms[id] for id in left if id in state.vms]
    waiting = [vm for vm in listed if vm.id not in progress.ordered]
    for vm in sorted(waiting, key=lambda vm: _sort_key(state, wave, vm, now)):
        if free > 0 and _is_ready(state, vm, now):
            actions.append(core.Maintain(vm.id, wave.number, vm.worker))
            free -= 1
    # A VM whose order got no answer may have a new worker that isn't drained yet.
    unconfirmed = [
        vm for vm in listed if vm.id in down and vm.id not in progress.confirmed
    ]
    unavailable: dict[str, int] = {}
    actions.extend(_plan_reclosings(state, wave, waiting + unconfirmed))
    actions.extend(_plan_repeated_closings(state, wave, unconfirmed, unavailable, now))
    actions.extend(_plan_closings(state, wave, waiting, down, unavailable, now))
    return actions


def _is_ready(state: core.FleetState, vm: fleet.Vm, now: float) -> bool:
    if vm.state is not fleet.VmState.UP or vm.id in state.moving:
        return False
    return state.is_empty(vm) and state.may_order_vm(vm.id, now)


def _record_returned_vms(
    state: core.FleetState,
    wave: entries.WaveOrder,
    now: float,
    maintenance_seconds: float,
) -> record.WaveRecord:
    """Mark VMs that are back from their maintenance as done.

    Only an order that was answered as carried out counts: a new worker alone may
    result from a crash.
    """
    progress = state.progress[wave.number]
    returned = set()
    for id in progress.confirmed:
        vm = state.vms.get(id)
        since = state.last_ordered_at.get(id, state.took_over_at)
        if vm is None or vm.state is not fleet.VmState.UP:
            continue
        if state.listed_at < since + RETURN_MARGIN_SECONDS:
            continue
        # A repeated order may end a later worker than the one at the first order. A VM
        # whose worker keeps its id is back once the time of the maintenance has passed.
        first = progress.ordered.get(id, "")
        last = state.last_ordered_worker.get(id, first)
        changed = all(
            entries.has_replaced(vm.worker, former) for former in (first, last)
        )
        if (
            changed
            or state.listed_at > since + maintenance_seconds + RETURN_MARGIN_SECONDS
        ):
            returned.add(id)
    if returned:
        progress = state.progress[wave.number] = progress.finish(returned)
    return progress


def _plan_order_retries(
    state: core.FleetState, wave: entries.WaveOrder, down: list[str], now: float
) -> list[core.Maintain]:
    """Repeat orders whose answers were lost; a repeated order is harmless."""
    orders = []
    for id in down:
        vm = state.vms.get(id)
        if vm is None or id in state.progress[wave.number].confirmed:
            continue
        is_due = (
            now
            > state.last_ordered_at.get(id, state.took_over_at) + ORDER_RETRY_SECONDS
        )
        if is_due and _is_ready(state, vm, now):
            orders.append(core.Maintain(id, wave.number, vm.worker))
    return orders


def _plan_repeated_closings(
    state: core.FleetState,
    wave: entries.WaveOrder,
    unconfirmed: list[fleet.Vm],
    unavailable: dict[str, int],
    now: float,
) -> list[core.Close | core.Open]:
    """Close the present workers of VMs whose order is to be repeated.

    Such a VM counts towards the ceiling, so no other one can be maintained in its
    place: waiting for the others to be drained could last for good. If those use up
    the limit of its pool, one of them is opened again. VMs that are down don't count
    in that limit, as they may stay down, but one VM of the pool is left open.

    ``unavailable`` is the number of unavailable VMs by pool, which is brought up to
    date.
    """
    drained = _list_drained(state, wave)
    actions: list[core.Close | core.Open] = []
    for vm in sorted(unconfirmed, key=lambda vm: _sort_key(state, wave, vm, now)):
        if state.is_closing(vm.id) or not _can_be_closed(state, vm):
            continue
        if _must_wait_for_demand(state, wave, vm.pool, now):
            continue
        size, count = _measure_pool(state, vm.pool, unavailable)
        down = _count_down(state, vm.pool)
        limit = _compute_pool_limit(size)
        if count - down >= limit and drained.get(vm.pool):
            actions.append(core.Open(drained[vm.pool].pop().worker))
            count -= 1
        if count - down < limit and (count + 1 < size or size == 1):
            count += 1
            actions.append(core.Close(record.Closing(vm.worker, vm.id, wave.number)))
        unavailable[vm.pool] = count
    return actions


def _count_down(state: core.FleetState, pool: str) -> int:
    """Return how many VMs of a pool aren't up."""
    return sum(
        1
        for vm in state.vms.values()
        if vm.pool == pool and vm.state is not fleet.VmState.UP
    )


def _list_drained(
    state: core.FleetState, wave: entries.WaveOrder
) -> dict[str, list[record.Closing]]:
    """Return the closings by pool that wait for room under a wave's ceiling."""
    progress = state.progress[wave.number]
    ordered = [id for id in wave.vms if id in progress.ordered]
    if len(ordered) < wave.ceiling:
        return {}
    drained: dict[str, list[record.Closing]] = {}
    for closing in state.closings.values():
        vm = state.vms.get(closing.vm)
        has_order = closing.vm in progress.ordered or closing.vm in progress.done
        if closing.wave != wave.number or closing.ended or vm is None or has_order:
            continue
        if vm.worker == closing.worker:
            drained.setdefault(vm.pool, []).append(closing)
    return drained


def _plan_reclosings(
    state: core.FleetState, wave: entries.WaveOrder, listed: list[fleet.Vm]
) -> list[core.Close]:
    """Close the present workers of VMs that are drained under a former name.

    The worker was restarted while it was closed. The VM counts as drained already.
    """
    return [
        core.Close(record.Closing(vm.worker, vm.id, wave.number))
        for vm in listed
        if _is_drained_for(state, vm, wave) and _can_be_closed(state, vm)
    ]


def _is_drained_for(
    state: core.FleetState, vm: fleet.Vm, wave: entries.WaveOrder
) -> bool:
    """Return whether a worker of a VM is closed for a wave and has not ended."""
    return any(
        closing.vm == vm.id and closing.wave == wave.number and not closing.ended
        for closing in state.closings.values()
    )


def _can_be_closed(state: core.FleetState, vm: fleet.Vm) -> bool:
    """Return whether a VM's present worker can be closed and isn't yet."""
    closing = state.closings.get(vm.worker)
    is_closed = closing is not None and not closing.ended
    if vm.state is not fleet.VmState.UP or is_closed:
        return False
    if state.is_standby(vm.pool) or not vm.worker:
        return False
    return state.is_identified(vm.worker)


def _plan_closings(
    state: core.FleetState,
    wave: entries.WaveOrder,
    waiting: list[fleet.Vm],
    down: list[str],
    unavailable: dict[str, int],
    now: float,
) -> list[core.Close]:
    closing = [vm for vm in waiting if state.is_closing(vm.id)]
    free = wave.ceiling + EXTRA_DRAINS - len(down) - len(closing)
    actions = []
    for vm in sorted(waiting, key=lambda vm: _sort_key(state, wave, vm, now)):
        if free <= 0:
            break
        if state.is_closing(vm.id) or not _can_be_closed(state, vm):
            continue
        size, count = _measure_pool(state, vm.pool, unavailable)
        if count >= _compute_pool_limit(size):
            continue
        if _must_wait_for_demand(state, wave, vm.pool, now):
            continue
        unavailable[vm.pool] = count + 1
        free -= 1
        actions.append(core.Close(record.Closing(vm.worker, vm.id, wave.number)))
    return actions


def _measure_pool(
    state: core.FleetState, pool: str, unavailable: dict[str, int]
) -> tuple[int, int]:
    """Return a pool's size, and how many of its VMs are or will be unavailable."""
    size = sum(1 for vm in state.vms.values() if vm.pool == pool)
    return size, unavailable.get(pool, state.count_unavailable(pool))


def _compute_pool_limit(size: int) -> int:
    return max(1, size // POOL_SHARE_DIVISOR)


def _must_wait_for_demand(
    state: core.FleetState, wave: entries.WaveOrder, pool: str, now: float
) -> bool:
    return _has_unmet_demand(state, pool) and not _is_urgent(state, wave, now)


def _sort_key(
    state: core.FleetState, wave: entries.WaveOrder, vm: fleet.Vm, now: float
) -> tuple[bool, int, str]:
    status = state.pool_statuses.get(vm.pool)
    unmet = status.unmet if status else 0
    idle = status.idle if status else 0
    return (not state.is_standby(vm.pool), unmet - idle, vm.id)


def _has_unmet_demand(state: core.FleetState, pool: str) -> bool:
    status = state.pool_statuses.get(pool)
    return status is not None and status.unmet > 0


def _is_urgent(state: core.FleetState, wave: entries.WaveOrder, now: float) -> bool:
    elapsed = now - state.wave_started_at.get(wave.number, now)
    return elapsed > URGENT_SHARE * wave.duration
