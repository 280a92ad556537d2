"""Batches: which VMs running waves stop next, and when a wave has finished."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import budget, change, state, wave

__all__ = ["Picks", "list_finished", "list_pending", "pick_stops"]

VmState = state.VmState
Step = change.Step

# VM rows by pool, made once a round: with 128 waves under way, a pass over the
# fleet for each of them would be most of the round.
Groups = Mapping[str, Iterable[state.VmRow]]


class Picks(NamedTuple):
    """Stops to begin, and why the others of each wave or pool wait."""

    changes: tuple[change.Change, ...]
    waiting: Mapping[str, str]


def list_pending(
    snapshot: wave.Snapshot, item: document.Wave, groups: Groups
) -> list[state.VmRow]:
    """Return the VMs that a wave has still to stop, in order of failure domain.

    One data centre and rack after the other, so that a change that harms what
    it restarts has harmed one domain only when the operator pauses the wave.
    VMs that do not serve go first: they cost no budget.
    """
    seen = snapshot.observation
    rows = [
        row
        for pool in item.pools
        for row in groups.get(pool, ())
        if row.state is VmState.UP
        and item.name not in row.done
        and seen.is_live(row.vm)
    ]

    def order(row: state.VmRow) -> tuple:
        machine = seen.machines[row.vm]
        place = (machine.data_centre, machine.rack, row.vm)
        return (row.vm in seen.healthy, *place)

    return sorted(rows, key=order)


def pick_stops(
    snapshot: wave.Snapshot, waves: Iterable[document.Wave] | None = None
) -> Picks:
    """Return the stops that running waves may begin now.

    The largest step that the budgets allow, VM by VM: each pick lowers the
    budget that the next one sees. Waves of one pool share its budget in the
    order of the document.
    """
    budgets = snapshot.measure_budgets()
    groups = snapshot.group_rows()
    pools = {pool.name: pool for pool in snapshot.document.pools}
    changes: dict[str, change.Change] = {}
    waiting: dict[str, str] = {}
    for item in snapshot.document.waves if waves is None else waves:
        closed = wave.tell_closed(snapshot, item, snapshot.limits.stop_estimate)
        if closed:
            waiting[item.name] = closed
            continue
        for row in list_pending(snapshot, item, groups):
            if row.vm in changes or row.pool not in pools:
                continue
            domain = budget.make_domain_lookup(pools[row.pool], snapshot.observation)(
                row.vm
            )
            refusal = budgets[row.pool].check_stop(row.vm, domain)
            if refusal.reason:
                waiting.setdefault(f"{item.name}/{row.pool}", refusal.reason)
                continue
            budgets[row.pool] = budgets[row.pool].take(row.vm, domain)
            new = wave.set_state(row, VmState.DRAINING, snapshot, wave=item.name)
            why = f"wave {item.name}: {item.reason}"
            changes[row.vm] = change.Change(Step.TAKE, new, why)
    return Picks(tuple(changes.values()), waiting)


def list_finished(snapshot: wave.Snapshot) -> list[document.Wave]:
    """Return the running waves with nothing left to stop or to wait for."""
    active = (VmState.DRAINING, VmState.REBOOTING, VmState.CHECKING)
    waited = {row.wave for row in snapshot.view.vms.values() if row.state in active}
    groups = snapshot.group_rows()
    finished = []
    for item in snapshot.document.waves:
        row = snapshot.view.waves.get(item.name)
        if row is None or row.status is not state.WaveStatus.RUNNING:
            continue
        if item.name not in waited and not list_pending(snapshot, item, groups):
            finished.append(item)
    return finished
