"""Batches: which VMs the running waves stop next, and which waves are finished."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import budget, change, state, wave

__all__ = ["Picks", "list_finished", "list_pending", "pick_stops"]

VmState = state.VmState
Step = change.Step

# VM rows by pool, grouped once per round: with 128 running waves, one pass over
# the fleet for each wave would dominate the cost of a round.
RowsByPool = Mapping[str, Iterable[state.VmRow]]


class Picks(NamedTuple):
    """Stops to begin, and why further stops of a wave or pool must wait."""

    changes: tuple[change.Change, ...]
    waiting: Mapping[str, str]


def list_pending(
    snapshot: wave.Snapshot, wave_spec: document.Wave, rows_by_pool: RowsByPool
) -> list[state.VmRow]:
    """Return the VMs that a wave has yet to stop, in order of failure domain.

    VMs are ordered by data centre and rack, so that a faulty change is still
    confined to one failure domain when the operator pauses the wave. Unhealthy
    VMs come first, because stopping them uses no budget.
    """
    observation = snapshot.observation
    rows = [
        row
        for pool in wave_spec.pools
        for row in rows_by_pool.get(pool, ())
        if row.state is VmState.UP
        and wave_spec.name not in row.done
        and observation.is_live(row.vm)
    ]

    def sort_key(row: state.VmRow) -> tuple:
        machine = observation.machines[row.vm]
        location = (machine.data_centre, machine.rack, row.vm)
        return (row.vm in observation.healthy, *location)

    return sorted(rows, key=sort_key)


def pick_stops(
    snapshot: wave.Snapshot, waves: Iterable[document.Wave] | None = None
) -> Picks:
    """Return the stops that running waves may begin now.

    Picks as many VMs as the budgets allow; each pick is charged to the budget
    before the next VM is considered. Waves that stop VMs of the same pool use
    its budget in the order of the document.
    """
    budgets = snapshot.measure_budgets()
    rows_by_pool = snapshot.group_rows()
    pools = {pool.name: pool for pool in snapshot.document.pools}
    changes: dict[str, change.Change] = {}
    waiting: dict[str, str] = {}
    for wave_spec in snapshot.document.waves if waves is None else waves:
        closed_reason = wave.find_stop_obstacle(
            snapshot, wave_spec, snapshot.limits.stop_estimate
        )
        if closed_reason:
            waiting[wave_spec.name] = closed_reason
            continue
        for row in list_pending(snapshot, wave_spec, rows_by_pool):
            if row.vm in changes or row.pool not in pools:
                continue
            domain = budget.make_domain_lookup(pools[row.pool], snapshot.observation)(
                row.vm
            )
            refusal = budgets[row.pool].check_stop(row.vm, domain)
            if refusal.reason:
                waiting.setdefault(f"{wave_spec.name}/{row.pool}", refusal.reason)
                continue
            budgets[row.pool] = budgets[row.pool].take(row.vm, domain)
            new_row = wave.with_state(
                row, VmState.DRAINING, snapshot, wave=wave_spec.name
            )
            why = f"wave {wave_spec.name}: {wave_spec.reason}"
            changes[row.vm] = change.Change(Step.TAKE, new_row, why)
    return Picks(tuple(changes.values()), waiting)


def list_finished(snapshot: wave.Snapshot) -> list[document.Wave]:
    """Return the running waves with no VM pending or under a planned stop.

    A VM that another wave or a move has stopped is pending again when it is back.
    """
    active = (VmState.DRAINING, VmState.REBOOTING, VmState.CHECKING)
    stopped = [row for row in snapshot.view.vms.values() if row.state in active]
    rows_by_pool = snapshot.group_rows()
    finished = []
    for wave_spec in snapshot.document.waves:
        row = snapshot.view.waves.get(wave_spec.name)
        if row is None or row.status is not state.WaveStatus.RUNNING:
            continue
        if any(_may_return_to(wave_spec, stopped_row) for stopped_row in stopped):
            continue
        if not list_pending(snapshot, wave_spec, rows_by_pool):
            finished.append(wave_spec)
    return finished


def _may_return_to(wave_spec: document.Wave, row: state.VmRow) -> bool:
    """Return whether a stopped VM is the wave's, or may be pending in it later."""
    if row.wave == wave_spec.name:
        return True
    is_in_pools = row.pool in wave_spec.pools or row.target in wave_spec.pools
    return is_in_pools and wave_spec.name not in row.done
