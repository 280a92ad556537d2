"""Maintenance waves: state machine of the planned stop of each VM.

Each VM of a wave goes through the steps take (the stop is charged to the budget
and the drain begins), reboot, check and return. The state is stored only in the
VM's row, so a daemon that takes over the duty continues from there:

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

Once ``rebooting`` is committed, a VM returns to ``up`` only with a higher boot
number: a paused daemon may still send the reboot request, which would cut off
requests in progress as long as the boot number has not increased.
"""

import types
from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import budget, change, state
from wigeonhitch.membership import confirmation
from wigeonhitch.platform import machines

__all__ = ["DEFAULT_LIMITS", "Limits", "Snapshot", "advance", "find_pending_reboots"]
__all__ += ["find_stop_obstacle", "find_unconfirmed", "with_state"]

VmState = state.VmState
Step = change.Step


class Limits(NamedTuple):
    """Limits of planned stops, in seconds.

    Parameters
    ----------
    stop_estimate : float
        Expected time for drain, reboot and check of one VM; no stop begins
        closer to the end of the window than this.
    return_within : float
        A VM that has not returned this long after its reboot was committed is
        reported as down and counts as an unplanned loss.
    reboot_retry : float
        Time after which a reboot without effect is requested again.
    """

    stop_estimate: float = 300.0
    return_within: float = 900.0
    reboot_retry: float = 30.0


DEFAULT_LIMITS = Limits()
DEFAULT_CONFIRMATION_LIMITS = confirmation.Limits()


class Snapshot(NamedTuple):
    """State of the fleet on which its decisions are based.

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
        When the drain of each VM was first observed, seconds on the table's
        clock. The row's ``since`` is unsuitable: a commit whose answer was lost
        may take effect long after the time that it contains.
    limits : Limits
        Limits of planned stops.
    confirmation_limits : confirmation.Limits
        Times after which a silent daemon can no longer hold a request.
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


def find_stop_obstacle(
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


def with_state(
    row: state.VmRow, to: VmState, snapshot: Snapshot, **fields: object
) -> state.VmRow:
    """Return ``row`` with a new state, entered now."""
    return row._replace(state=to, since=snapshot.observation.now, **fields)


def list_done_waves(row: state.VmRow, snapshot: Snapshot) -> tuple[str, ...]:
    """Return the waves that are done with a VM and still in the document."""
    current = {wave.name for wave in snapshot.document.waves}
    done = {name for name in row.done if name in current}
    if row.boot != state.NO_BOOT:
        done.add(row.wave)
    return tuple(sorted(done))


def advance(snapshot: Snapshot) -> tuple[list[change.Change], dict[str, str]]:
    """Return the next step of each VM under a planned stop, and why others wait.

    When VMs fail during many stops, draining VMs are given back until their
    pool is within its budget again, before any further reboot in that pool.
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
    """Return whether a VM must be marked down because the platform removes it.

    All daemons follow the VM rows, so they stop sending to a VM within seconds
    after its row says ``down``, whereas they rarely read the VM list.
    """
    machine = snapshot.observation.machines.get(row.vm)
    leaving = machines.MachineState.LEAVING
    is_used = row.state in (VmState.UP, VmState.DRAINING)
    return is_used and machine is not None and machine.state is leaving


def give_back(row: state.VmRow, snapshot: Snapshot, why: str) -> change.Change:
    """Return the change that cancels a drain and frees its share of the budget."""
    new_row = with_state(row, VmState.UP, snapshot, wave="", target="")
    return change.Change(Step.GIVE_BACK, new_row, why)


def advance_drain(
    snapshot: Snapshot,
    row: state.VmRow,
    waves: Mapping[str, document.Wave],
    budgets: dict[str, budget.Budget],
) -> tuple[change.Change | None, str]:
    """Decide whether a draining VM is given back, waits or is stopped."""
    observation = snapshot.observation
    if row.vm not in observation.machines and observation.as_of > row.since:
        return mark_down(snapshot, row, "left the platform's list while draining"), ""
    closed_reason = (
        find_stop_obstacle(snapshot, waves.get(row.wave)) if row.wave else ""
    )
    if row.target and row.target not in budgets:
        closed_reason = f"pool {row.target} is not in the accepted document"
    if closed_reason:
        return give_back(row, snapshot, closed_reason), ""
    pool = budgets.get(row.pool)
    if pool and pool.spare < 0:
        return advance_under_budget(snapshot, row, pool, budgets)
    unconfirmed = find_unconfirmed(snapshot, row)
    if snapshot.daemons_revision < row.version:
        return None, "drain: daemons' rows not read since it began"
    if unconfirmed:
        reasons = (
            f"daemon {waiting.daemon} {waiting.reason.value}" for waiting in unconfirmed
        )
        return None, f"drain: {', '.join(reasons)}"
    if observation.as_of < row.since:
        return None, "platform's VM list is older than the drain"
    return stop_drained(snapshot, row), ""


def find_unconfirmed(
    snapshot: Snapshot, row: state.VmRow
) -> tuple[confirmation.BlockingDaemon, ...]:
    """Return the daemons that may still hold a request on a draining VM.

    An entry VM counts as gone if it is missing from a list that is newer than
    the expiry of every daemon row on it. The list lags, so an older one may
    predate the VM.
    """
    observation = snapshot.observation
    expires: dict[str, float] = {}
    for daemon in snapshot.daemons:
        last = expires.get(daemon.vm, daemon.expires)
        expires[daemon.vm] = max(last, daemon.expires)
    gone = {
        vm
        for vm, last in expires.items()
        if vm not in observation.machines and observation.as_of > last
    }
    return confirmation.find_waiting(
        row.vm,
        row.version,
        snapshot.daemons,
        now=observation.now,
        drained_at=snapshot.drain_seen_at.get(row.vm, observation.now),
        gone_vms=gone,
        limits=snapshot.confirmation_limits,
    )


def advance_under_budget(
    snapshot: Snapshot,
    row: state.VmRow,
    pool: budget.Budget,
    budgets: dict[str, budget.Budget],
) -> tuple[change.Change | None, str]:
    """Give a draining VM back to a pool that has fallen below its budget.

    A VM that is not serving would not help the pool, so its stop waits instead.
    """
    text = f"budget of pool {row.pool}: {len(pool.up)} up, {pool.required} must be up"
    if not snapshot.observation.is_serving(row.vm):
        return None, text
    budgets[row.pool] = pool._replace(up=pool.up | {row.vm})
    return give_back(row, snapshot, text), ""


def stop_drained(snapshot: Snapshot, row: state.VmRow) -> change.Change:
    """Return the change that reboots or moves a fully drained VM."""
    if row.target:
        new_row = with_state(row, VmState.UP, snapshot, pool=row.target, target="")
        return change.Change(Step.ARRIVE, new_row, f"moved from pool {row.pool}")
    boot = snapshot.observation.machines[row.vm].boot
    new_row = with_state(row, VmState.REBOOTING, snapshot, boot=boot)
    return change.Change(Step.REBOOT, new_row, f"drained at {row.version}, boot {boot}")


def mark_down(snapshot: Snapshot, row: state.VmRow, why: str) -> change.Change:
    """Return the change that marks a VM down; its wave continues without it."""
    new_row = with_state(
        row, VmState.DOWN, snapshot, target="", done=list_done_waves(row, snapshot)
    )
    return change.Change(Step.LOSE, new_row, why)


def advance_stopped(
    snapshot: Snapshot, row: state.VmRow
) -> tuple[change.Change | None, str]:
    """Decide the next step of a VM that is rebooting, being checked or down."""
    observation = snapshot.observation
    machine = observation.machines.get(row.vm)
    has_booted = machine is not None and machine.boot > row.boot
    if row.state is VmState.REBOOTING and has_booted and observation.is_live(row.vm):
        new_row = with_state(row, VmState.CHECKING, snapshot)
        return change.Change(Step.CHECK, new_row, f"boot {machine.boot}"), ""
    is_rebooting = row.state is VmState.REBOOTING
    if not is_rebooting and has_booted and observation.is_serving(row.vm):
        done = list_done_waves(row, snapshot)
        new_row = with_state(
            row, VmState.UP, snapshot, wave="", boot=state.NO_BOOT, done=done
        )
        return change.Change(Step.RETURN, new_row, "health check passed"), ""
    text = f"{row.state.value}: boot {row.boot} or health check not passed yet"
    is_late = observation.now - row.since > snapshot.limits.return_within
    if row.state is not VmState.DOWN and is_late:
        return mark_down(
            snapshot, row, f"not back within {snapshot.limits.return_within} s"
        ), ""
    return None, text


def find_pending_reboots(snapshot: Snapshot) -> list[state.VmRow]:
    """Return the VMs whose committed reboot has not taken effect yet.

    The request can be repeated safely: the platform reboots a VM only if its
    boot number is the one in the request.
    """
    stopped = (VmState.REBOOTING, VmState.DOWN)
    pending = []
    for row in snapshot.view.vms.values():
        machine = snapshot.observation.machines.get(row.vm)
        if row.state in stopped and machine and machine.boot == row.boot:
            pending.append(row)
    return pending
