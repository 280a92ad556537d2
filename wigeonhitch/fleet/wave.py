"""Maintenance waves: which VM takes which step next.

Each VM of a wave goes through take (its part of the budget is taken and the
drain begins), reboot, check and return. The state stands in the VM's row
alone, so whichever daemon holds the duty goes on from there:

========== ============================================ =====================
state      left when                                    to
========== ============================================ =====================
up         budget, window and status of the wave allow  draining
up         the platform lists the VM as leaving         down (reported)
draining   every daemon confirmed, budget still holds   rebooting
draining   wave paused, window closed, VMs lost         up (given back)
draining   the VM is leaving or gone from the list      down (reported)
rebooting  the platform lists a higher boot number      checking
rebooting  not back in time                             down (reported)
checking   the health check passes                      up
checking   not passed in time                           down (reported)
down       a higher boot number and a passed check      up
========== ============================================ =====================

Once ``rebooting`` is committed there is no way back to ``up`` but through a
higher boot number: a paused daemon may still send the reboot, and until the
boot number has moved it would cut off requests in progress.
"""

import types
from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import budget, change, state
from wigeonhitch.membership import confirmation
from wigeonhitch.platform import machines

__all__ = ["DEFAULT_LIMITS", "Limits", "Snapshot", "advance", "find_pending_reboots"]
__all__ += ["find_unconfirmed", "set_state", "tell_closed"]

VmState = state.VmState
Step = change.Step


class Limits(NamedTuple):
    """Limits of planned stops, in seconds.

    Parameters
    ----------
    stop_estimate : float
        Drain, reboot and check of one VM as expected; no stop is begun closer
        to the end of the window than this.
    return_within : float
        A VM that is not back this long after its reboot was committed is
        reported as down and counts as an unplanned loss.
    reboot_retry : float
        A reboot that shows no effect is asked for again after this long.
    """

    stop_estimate: float = 300.0
    return_within: float = 900.0
    reboot_retry: float = 30.0


DEFAULT_LIMITS = Limits()
DEFAULT_CONFIRMATION_LIMITS = confirmation.Limits()


class Snapshot(NamedTuple):
    """All that a decision of the fleet is made from.

    Parameters
    ----------
    view : FleetView
        Rows of VMs, pools and waves.
    document : Document
        The accepted document.
    observation : Observation
        VM list and health checks.
    daemons : tuple of DaemonRow
        The daemons' rows as of table revision ``daemons_revision``.
    drain_seen_at : mapping of str to float
        When the drain of each VM was first seen, seconds on the table's clock.
        Not the row's ``since``: a commit whose answer was lost may take effect
        long after the time that is written in it.
    limits : Limits
        Limits of planned stops.
    confirmation_limits : confirmation.Limits
        When a silent daemon can no longer hold a request.
    """

    view: state.FleetView
    document: document.Document
    observation: state.Observation
    daemons: tuple[confirmation.DaemonRow, ...] = ()
    daemons_revision: int = 0
    drain_seen_at: Mapping[str, float] = types.MappingProxyType({})
    limits: Limits = DEFAULT_LIMITS
    confirmation_limits: confirmation.Limits = DEFAULT_CONFIRMATION_LIMITS

    def group_rows(self) -> dict[str, list[state.VmRow]]:
        """Return the VM rows by pool, in one pass over the fleet."""
        rows: dict[str, list[state.VmRow]] = {}
        for row in self.view.vms.values():
            rows.setdefault(row.pool, []).append(row)
        return rows

    def measure_budgets(self) -> dict[str, budget.Budget]:
        """Return the budget of every pool of the document."""
        rows = self.group_rows()
        return {
            pool.name: budget.measure_budget(
                pool, rows.get(pool.name, ()), self.observation
            )
            for pool in self.document.pools
        }


def tell_closed(
    snapshot: Snapshot, wave: document.Wave | None, margin: float = 0.0
) -> str:
    """Return why a wave may not stop VMs now; empty when it may."""
    if wave is None:
        return "wave is not in the accepted document"
    row = snapshot.view.waves.get(wave.name)
    if row is None:
        return f"wave {wave.name} is not started"
    if row.status is not state.WaveStatus.RUNNING:
        return f"wave {wave.name} is {row.status.value}"
    now = snapshot.observation.now
    if now < wave.window.start:
        return f"window of wave {wave.name} is not open yet"
    if now + margin > wave.window.end:
        return f"window of wave {wave.name} is closed"
    return ""


def set_state(
    row: state.VmRow, to: VmState, snapshot: Snapshot, **fields: object
) -> state.VmRow:
    """Return ``row`` in another state from now on."""
    return row._replace(state=to, since=snapshot.observation.now, **fields)


def list_done_waves(row: state.VmRow, snapshot: Snapshot) -> tuple[str, ...]:
    """Return the waves done with a VM, without those the document dropped."""
    kept = {wave.name for wave in snapshot.document.waves}
    done = {name for name in row.done if name in kept}
    if row.boot != state.NO_BOOT:
        done.add(row.wave)
    return tuple(sorted(done))


def advance(snapshot: Snapshot) -> tuple[list[change.Change], dict[str, str]]:
    """Return the next step of every VM under a planned stop, and what waits.

    Made for many stops at once while VMs fail: stops that have not begun are
    given back until the pool is within its budget again, before any reboot of
    that pool is allowed.
    """
    budgets = snapshot.measure_budgets()
    waves = {wave.name: wave for wave in snapshot.document.waves}
    changes = []
    waiting = {}
    rows = sorted(snapshot.view.vms.values(), key=lambda row: row.vm)
    for row in rows:
        if is_leaving(snapshot, row):
            step, why = mark_down(snapshot, row, "the platform lists it as leaving"), ""
        elif row.state is VmState.UP:
            continue
        elif row.state is VmState.DRAINING:
            step, why = advance_drain(snapshot, row, waves, budgets)
        else:
            step, why = advance_stopped(snapshot, row)
        if step:
            changes.append(step)
        if why:
            waiting[row.vm] = why
    return changes, waiting


def is_leaving(snapshot: Snapshot, row: state.VmRow) -> bool:
    """Tell whether a VM must be taken out because the platform removes it.

    Its row then says ``down``, so every daemon stops sending to it within
    seconds of the change, although most of them read the VM list seldom.
    """
    machine = snapshot.observation.machines.get(row.vm)
    leaving = machines.MachineState.LEAVING
    is_used = row.state in (VmState.UP, VmState.DRAINING)
    return is_used and machine is not None and machine.state is leaving


def give_back(row: state.VmRow, snapshot: Snapshot, why: str) -> change.Change:
    """Return the change that ends a drain and returns the budget."""
    new = set_state(row, VmState.UP, snapshot, wave="", target="")
    return change.Change(Step.GIVE_BACK, new, why)


def advance_drain(
    snapshot: Snapshot,
    row: state.VmRow,
    waves: Mapping[str, document.Wave],
    budgets: dict[str, budget.Budget],
) -> tuple[change.Change | None, str]:
    """Decide about a VM whose drain has begun: give back, wait or stop it."""
    seen = snapshot.observation
    if row.vm not in seen.machines and seen.as_of > row.since:
        return mark_down(snapshot, row, "left the platform's list while draining"), ""
    closed = tell_closed(snapshot, waves.get(row.wave)) if row.wave else ""
    if row.target and row.target not in budgets:
        closed = f"pool {row.target} is not in the accepted document"
    if closed:
        return give_back(row, snapshot, closed), ""
    pool = budgets.get(row.pool)
    if pool and pool.spare < 0:
        return advance_under_budget(snapshot, row, pool, budgets)
    unconfirmed = find_unconfirmed(snapshot, row)
    if snapshot.daemons_revision < row.version:
        return None, "drain: daemons' rows not read since it began"
    if unconfirmed:
        names = (f"daemon {item.daemon} {item.why.value}" for item in unconfirmed)
        return None, f"drain: {', '.join(names)}"
    if seen.as_of < row.since:
        return None, "platform's VM list is older than the drain"
    return stop_drained(snapshot, row), ""


def find_unconfirmed(
    snapshot: Snapshot, row: state.VmRow
) -> tuple[confirmation.Waiting, ...]:
    """Return the daemons that may still hold a request on a draining VM.

    An entry VM counts as gone when a list that is newer than the validity of
    every daemon row on it no longer names it: the list lags, so an older one
    may be from before the VM was there.
    """
    seen = snapshot.observation
    expires: dict[str, float] = {}
    for daemon in snapshot.daemons:
        last = expires.get(daemon.vm, daemon.expires)
        expires[daemon.vm] = max(last, daemon.expires)
    gone = {
        vm
        for vm, last in expires.items()
        if vm not in seen.machines and seen.as_of > last
    }
    return confirmation.find_waiting(
        row.vm,
        row.version,
        snapshot.daemons,
        now=seen.now,
        drained_at=snapshot.drain_seen_at.get(row.vm, seen.now),
        gone_vms=gone,
        limits=snapshot.confirmation_limits,
    )


def advance_under_budget(
    snapshot: Snapshot,
    row: state.VmRow,
    pool: budget.Budget,
    budgets: dict[str, budget.Budget],
) -> tuple[change.Change | None, str]:
    """Give a drained VM back to a pool that has fallen under its budget.

    A VM that does not serve would not help the pool; its stop waits.
    """
    text = f"budget of pool {row.pool}: {len(pool.up)} up, {pool.required} must be up"
    if not snapshot.observation.is_serving(row.vm):
        return None, text
    budgets[row.pool] = pool._replace(up=pool.up | {row.vm})
    return give_back(row, snapshot, text), ""


def stop_drained(snapshot: Snapshot, row: state.VmRow) -> change.Change:
    """Return the change of a VM that no daemon uses any more."""
    if row.target:
        new = set_state(row, VmState.UP, snapshot, pool=row.target, target="")
        return change.Change(Step.ARRIVE, new, f"moved from pool {row.pool}")
    boot = snapshot.observation.machines[row.vm].boot
    new = set_state(row, VmState.REBOOTING, snapshot, boot=boot)
    return change.Change(Step.REBOOT, new, f"drained at {row.version}, boot {boot}")


def mark_down(snapshot: Snapshot, row: state.VmRow, why: str) -> change.Change:
    """Return the change that reports a VM as lost; the wave goes on without it."""
    new = set_state(
        row, VmState.DOWN, snapshot, target="", done=list_done_waves(row, snapshot)
    )
    return change.Change(Step.LOSE, new, why)


def advance_stopped(
    snapshot: Snapshot, row: state.VmRow
) -> tuple[change.Change | None, str]:
    """Decide about a VM that was told to reboot, or is down."""
    seen = snapshot.observation
    machine = seen.machines.get(row.vm)
    has_booted = machine is not None and machine.boot > row.boot
    if row.state is VmState.REBOOTING and has_booted and seen.is_live(row.vm):
        new = set_state(row, VmState.CHECKING, snapshot)
        return change.Change(Step.CHECK, new, f"boot {machine.boot}"), ""
    is_asked = row.state is VmState.REBOOTING
    if not is_asked and has_booted and seen.is_serving(row.vm):
        done = list_done_waves(row, snapshot)
        new = set_state(
            row, VmState.UP, snapshot, wave="", boot=state.NO_BOOT, done=done
        )
        return change.Change(Step.RETURN, new, "health check passed"), ""
    text = f"{row.state.value}: boot {row.boot} or health check not passed yet"
    is_late = seen.now - row.since > snapshot.limits.return_within
    if row.state is not VmState.DOWN and is_late:
        return mark_down(
            snapshot, row, f"not back within {snapshot.limits.return_within} s"
        ), ""
    return None, text


def find_pending_reboots(snapshot: Snapshot) -> list[state.VmRow]:
    """Return the VMs whose committed reboot shows no effect yet.

    Asking again is harmless: the platform reboots only at this boot number.
    """
    stopped = (VmState.REBOOTING, VmState.DOWN)
    found = []
    for row in snapshot.view.vms.values():
        machine = snapshot.observation.machines.get(row.vm)
        if row.state in stopped and machine and machine.boot == row.boot:
            found.append(row)
    return found
