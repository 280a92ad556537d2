"""Upkeep of a wave's VMs: which next, never more at once than its ceiling.

The load: a dozen VMs of thirty are due within some 26 s, five at once, while
each pool in its turn is asked for more than it holds. The harm: lasting tasks
that are away at the same time, and room that is missing in a burst. So VMs
without tasks go first, then those of pools with nothing waiting, few of a pool
at once; when time gets short the waiting work no longer counts.
"""

from wigeonhitch.maintenance import core, record
from wigeonhitch.platform import entries, fleet

__all__ = ["plan_waves"]

AHEAD = 2
"""VMs vacated beyond the ceiling: emptying takes some seconds, in which the
place under the ceiling would stand idle."""

PART_OF_POOL = 3
"""At most one in so many VMs of a pool is away or being vacated at once."""

HURRY = 0.45
"""Share of a wave's time after which waiting work no longer holds it up."""

ORDER_AGAIN = 1.0
"""Seconds after which an order is given again if the VM hasn't gone down."""

SETTLE = 0.5
"""Seconds beyond the upkeep after which a VM that is up counts as through."""


_Action = core.Close | core.Maintain | core.Open | core.Show


def plan_waves(state: core.Fleet, now: float, upkeep: float) -> list[_Action]:
    """Return what to do for all waves; ``upkeep`` is its length in seconds."""
    actions: list[_Action] = []
    for number in sorted(state.waves):
        if state.shown.get(number):
            continue
        actions.extend(_plan_wave(state, state.waves[number], now, upkeep))
    actions.extend(_plan_openings(state))
    return actions


def _plan_openings(state: core.Fleet) -> list[core.Open]:
    """Let lives have tasks again that were vacated though their VM is through."""
    openings = []
    for worker, closing in state.closings.items():
        one = state.vms.get(closing.vm)
        progress = state.progress.get(closing.wave, record.WaveRecord())
        is_there = one is not None and one.worker == worker
        if is_there and not closing.ended and closing.vm in progress.done:
            openings.append(core.Open(worker))
    return openings


def _plan_wave(
    state: core.Fleet, wave: entries.WaveOrder, now: float, upkeep: float
) -> list[_Action]:
    progress = _note_through(state, wave, now, upkeep)
    left = [vm for vm in wave.vms if vm in state.vms and vm not in progress.done]
    if not left and state.vms:
        return [core.Show(wave.number, completed=True)]
    actions: list[_Action] = []
    if wave.number not in state.shown:
        actions.append(core.Show(wave.number, completed=False))
    down = [vm for vm in left if vm in progress.ordered]
    actions.extend(_order_again(state, wave, down, now))
    free = wave.ceiling - len(down)
    waiting = [state.vms[vm] for vm in left if vm not in progress.ordered]
    for one in sorted(waiting, key=lambda one: _rank(state, wave, one, now)):
        if free > 0 and _is_ready(state, one, now):
            actions.append(core.Maintain(one.id, wave.number, one.worker))
            free -= 1
    # One whose order got no answer may have a new life that isn't vacated yet.
    unsure = [state.vms[vm] for vm in down if vm not in progress.confirmed]
    actions.extend(_plan_closings(state, wave, waiting + unsure, down, now))
    return actions


def _is_ready(state: core.Fleet, one: fleet.Vm, now: float) -> bool:
    if one.state is not fleet.VmState.UP or one.id in state.moving:
        return False
    return state.is_empty(one) and state.may_order(one.id, now)


def _note_through(
    state: core.Fleet, wave: entries.WaveOrder, now: float, upkeep: float
) -> record.WaveRecord:
    """Move VMs that are back from their upkeep to those that are through.

    Only an order that was answered as carried out counts: a new life of a
    worker alone may come from a crash.
    """
    progress = state.progress[wave.number]
    back = set()
    for vm in progress.confirmed:
        one = state.vms.get(vm)
        since = state.ordered_at.get(vm, state.taken_over)
        if one is None or one.state is not fleet.VmState.UP:
            continue
        if state.listed_at < since + SETTLE:
            continue
        # An order that is given again may end a later life than the first.
        first = progress.ordered.get(vm, "")
        changed = one.worker not in (first, state.ordered_life.get(vm, first))
        if changed or state.listed_at > since + upkeep + SETTLE:
            back.add(vm)
    if back:
        progress = state.progress[wave.number] = progress.finish(back)
    return progress


def _order_again(
    state: core.Fleet, wave: entries.WaveOrder, down: list[str], now: float
) -> list[core.Maintain]:
    """Give an order again whose answer was lost; a second one does no harm."""
    again = []
    for vm in down:
        if vm in state.progress[wave.number].confirmed:
            continue
        one = state.vms[vm]
        late = now > state.ordered_at.get(vm, state.taken_over) + ORDER_AGAIN
        if late and _is_ready(state, one, now):
            again.append(core.Maintain(vm, wave.number, one.worker))
    return again


def _plan_closings(
    state: core.Fleet,
    wave: entries.WaveOrder,
    waiting: list[fleet.Vm],
    down: list[str],
    now: float,
) -> list[core.Close]:
    closing = [one for one in waiting if state.is_closing(one.id)]
    room = wave.ceiling + AHEAD - len(down) - len(closing)
    counts: dict[str, int] = {}
    actions = []
    for one in sorted(waiting, key=lambda one: _rank(state, wave, one, now)):
        if room <= 0:
            break
        if one.state is not fleet.VmState.UP or state.is_closing(one.id):
            continue
        if state.is_standby(one.pool) or not one.worker:
            continue
        size = sum(1 for vm in state.vms.values() if vm.pool == one.pool)
        taken = counts.get(one.pool, state.count_closing(one.pool))
        if taken >= max(1, size // PART_OF_POOL):
            continue
        if _is_pressed(state, one.pool) and not _is_hurried(state, wave, now):
            continue
        counts[one.pool] = taken + 1
        room -= 1
        actions.append(core.Close(record.Closing(one.worker, one.id, wave.number)))
    return actions


def _rank(
    state: core.Fleet, wave: entries.WaveOrder, one: fleet.Vm, now: float
) -> tuple[bool, int, str]:
    board = state.boards.get(one.pool)
    unmet = board.unmet if board else 0
    idle = board.idle if board else 0
    return (not state.is_standby(one.pool), unmet - idle, one.id)


def _is_pressed(state: core.Fleet, pool: str) -> bool:
    board = state.boards.get(pool)
    return board is not None and board.unmet > 0


def _is_hurried(state: core.Fleet, wave: entries.WaveOrder, now: float) -> bool:
    passed = now - state.wave_began.get(wave.number, now)
    return passed > HURRY * wave.within
