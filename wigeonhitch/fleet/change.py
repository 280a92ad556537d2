"""Changes of VM and wave rows, and the transactions that commit them.

Every runner transaction is conditional on the fencing token of the duty's lease
and on the versions of the rows that the decision was based on. A runner that was
paused, or that read older rows, therefore changes nothing.
"""

import enum
from typing import NamedTuple

from wigeonhitch.fleet import state
from wigeonhitch.platform import table

__all__ = ["Change", "Step", "Transaction", "build", "build_wave"]


class Step(enum.Enum):
    """Kind of a change; its value is stored in the history."""

    TAKE = "take"
    GIVE_BACK = "give back"
    REBOOT = "reboot"
    CHECK = "check"
    RETURN = "return"
    LOSE = "lose"
    ARRIVE = "arrive"
    ASSIGN = "assign"
    RELEASE = "release"


class Change(NamedTuple):
    """One change of one VM's row.

    Parameters
    ----------
    step : Step
        Kind of the change.
    row : VmRow
        The new row; its ``version`` is that of the row it replaces.
    why : str
        Reason that is stored in the history.
    """

    step: Step
    row: state.VmRow
    why: str


class Transaction(NamedTuple):
    """Conditions and writes of one commit."""

    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]


def build_history_key(version: int, name: str) -> str:
    """Return a history key that is unique per replaced row and sorts by time."""
    return f"history/fleet/{version:012d}-{name}"


def list_taken(change: Change, pool: state.PoolRow) -> tuple[str, ...]:
    """Return the VMs charged to the pool's budget after ``change``."""
    others = [vm for vm in pool.taken if vm != change.row.vm]
    if change.step is Step.TAKE:
        return tuple(sorted([*others, change.row.vm]))
    if change.step in (Step.REBOOT, Step.CHECK):
        return pool.taken
    return tuple(others)


def build(change: Change, view: state.FleetView, fence: table.Condition) -> Transaction:
    """Return the transaction that commits ``change``.

    Besides the VM's row it always writes the row of the pool whose budget the
    VM counts in, so that of two changes of one pool which were decided on the
    same state only one can be committed.
    """
    old = view.vms.get(change.row.vm)
    pool = view.pool(old.pool if old else change.row.pool)
    vm_key = f"vm/{change.row.vm}"
    is_release = change.step is Step.RELEASE
    history = {
        "what": change.step.value,
        "vm": change.row.vm,
        "pool": pool.pool,
        "target": change.row.target or change.row.pool,
        "wave": change.row.wave or (old.wave if old else ""),
        "from": old.state.value if old else "",
        "to": "" if is_release else change.row.state.value,
        "why": change.why,
        "at": change.row.since,
        "duty": fence.key.removeprefix("duty/"),
        "fence": fence.version,
    }
    taken = {"taken": list(list_taken(change, pool))}
    conditions = [
        fence,
        table.Condition(vm_key, change.row.version),
        table.Condition(f"pool/{pool.pool}", pool.version),
    ]
    if change.row.wave and change.step in (Step.TAKE, Step.REBOOT):
        # No stop may begin after an operator's pause or abort was acknowledged.
        wave = view.waves.get(change.row.wave)
        version = wave.version if wave else 0
        conditions.append(table.Condition(f"wave/{change.row.wave}", version))
    history_version = max(change.row.version, pool.version, fence.version)
    return Transaction(
        tuple(conditions),
        (
            table.Write(vm_key, None if is_release else change.row.encode()),
            table.Write(f"pool/{pool.pool}", taken),
            table.Write(state.SIGNAL, {}),
            table.Write(build_history_key(history_version, change.row.vm), history),
        ),
    )


def build_wave(
    row: state.WaveRow, why: str, fence: table.Condition | None = None
) -> Transaction:
    """Return the transaction that sets a wave's status.

    An operator's request has no fencing condition: concurrent requests are
    resolved by the version of the wave's row alone.
    """
    key = f"wave/{row.wave}"
    history = {
        "what": f"wave {row.status.value}",
        "wave": row.wave,
        "operator": row.operator,
        "why": why,
        "at": row.since,
    }
    conditions = (table.Condition(key, row.version),)
    if fence:
        conditions = (fence, *conditions)
    return Transaction(
        conditions,
        (
            table.Write(key, row.encode()),
            table.Write(state.SIGNAL, {}),
            table.Write(build_history_key(row.version, f"wave-{row.wave}"), history),
        ),
    )
