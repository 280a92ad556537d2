"""Rows of the fleet in the platform's table, and an incremental view of them.

One row per VM holds the pool of the VM and the progress of a planned stop, so a
VM cannot be in two pools. One row per pool lists the VMs that planned stops have
charged to the pool's budget. Every change that takes a VM out of service writes
that row, so its version serialises such changes for the whole pool.
"""

import enum
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from wigeonhitch.platform import machines, table

__all__ = [
    "NO_BOOT",
    "PREFIXES",
    "SIGNAL",
    "FleetView",
    "Observation",
    "PoolRow",
    "VmRow",
    "VmState",
    "WaveRow",
    "WaveStatus",
    "parse_vm",
]

SIGNAL = "signal/fleet"

# Pools are read before VMs. A stop that is committed between the two reads then
# leaves an old pool version, whose condition fails. In the reverse order it would
# leave an old VM row with a new pool version, and the same budget would be used
# twice. Waves are read before VMs too, as a wave ends right after the return of its
# last VM: in the reverse order it would be shown as done with a VM that isn't.
PREFIXES = ("pool/", "wave/", "vm/")


# Boot number of a VM that no planned stop has told to reboot.
NO_BOOT = -1


class VmState(enum.Enum):
    """Progress of a planned stop of a VM."""

    UP = "up"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    CHECKING = "checking"
    DOWN = "down"


class WaveStatus(enum.Enum):
    """Status of a wave that an operator requested, or that it has finished."""

    RUNNING = "running"
    PAUSED = "paused"
    ABORTED = "aborted"
    DONE = "done"


class VmRow(NamedTuple):
    """Row ``vm/{vm}``.

    Parameters
    ----------
    vm, pool : str
        The VM and the one pool it belongs to.
    state : VmState
        Progress of a planned stop.
    wave : str
        The wave that stops the VM; empty for a move.
    since : float
        When the state was entered, seconds on the table's clock.
    boot : int
        Boot number of the VM when its reboot was committed, or `NO_BOOT`. A
        repeated request with the same number cannot reboot the VM twice.
    target : str
        Pool to which the VM moves; empty for a reboot.
    done : tuple of str
        Waves that have finished with this VM.
    version : int
        Version of the row; while draining, also the number of the drain.
    """

    vm: str
    pool: str
    state: VmState = VmState.UP
    wave: str = ""
    since: float = 0.0
    boot: int = NO_BOOT
    target: str = ""
    done: tuple[str, ...] = ()
    version: int = 0

    def encode(self) -> dict[str, Any]:
        """Return the JSON value of the row."""
        value = self._asdict()
        del value["vm"], value["version"]
        value["state"] = self.state.value
        value["done"] = list(self.done)
        return value


class PoolRow(NamedTuple):
    """Row ``pool/{pool}``: VMs that planned stops have charged to the budget."""

    pool: str
    taken: tuple[str, ...] = ()
    version: int = 0


class WaveRow(NamedTuple):
    """Row ``wave/{wave}``.

    Parameters
    ----------
    wave : str
        Name of the wave in the fleet document.
    status : WaveStatus
        Status of the wave.
    operator : str
        Operator who made the last request.
    since : float
        When the status was set, seconds on the table's clock.
    """

    wave: str
    status: WaveStatus
    operator: str = ""
    since: float = 0.0
    version: int = 0

    def encode(self) -> dict[str, Any]:
        """Return the JSON value of the row."""
        return {
            "status": self.status.value,
            "operator": self.operator,
            "since": self.since,
        }


class Observation(NamedTuple):
    """Observed state of the fleet, apart from its rows in the table.

    Parameters
    ----------
    now : float
        Time of the observation, seconds on the table's clock.
    machines : mapping of str to Machine
        The platform's VM list by VM.
    as_of : float
        Time at which the list was valid, seconds on the table's clock.
    healthy : frozenset of str
        VMs whose latest health check passed.
    """

    now: float
    machines: Mapping[str, machines.Machine]
    as_of: float
    healthy: frozenset[str]

    def is_live(self, vm: str) -> bool:
        """Return whether the platform lists the VM as live."""
        machine = self.machines.get(vm)
        return machine is not None and machine.state is machines.MachineState.LIVE

    def is_serving(self, vm: str) -> bool:
        """Return whether the VM is live and passed its health check."""
        return vm in self.healthy and self.is_live(vm)


def parse_vm(row: table.Row) -> VmRow:
    """Return the `VmRow` of an existing row under ``vm/``."""
    value = dict(row.value or {})
    value["state"] = VmState(value["state"])
    value["done"] = tuple(value.get("done", ()))
    known = {name: value[name] for name in VmRow._fields if name in value}
    return VmRow(vm=row.key.removeprefix("vm/"), version=row.version, **known)


def parse_pool(row: table.Row) -> PoolRow:
    """Return the `PoolRow` of a row under ``pool/``."""
    taken = tuple((row.value or {}).get("taken", ()))
    return PoolRow(row.key.removeprefix("pool/"), taken, row.version)


def parse_wave(row: table.Row) -> WaveRow:
    """Return the `WaveRow` of an existing row under ``wave/``."""
    value = row.value or {}
    return WaveRow(
        row.key.removeprefix("wave/"),
        WaveStatus(value["status"]),
        value.get("operator", ""),
        value.get("since", 0.0),
        row.version,
    )


class FleetView:
    """The fleet's rows, kept up to date from incremental scans.

    Attributes
    ----------
    vms, pools, waves : dict
        Parsed rows by name.
    revisions : dict of str to int
        Table revision up to which rows are included, by prefix.
    """

    def __init__(self) -> None:
        self.vms: dict[str, VmRow] = {}
        self.pools: dict[str, PoolRow] = {}
        self.waves: dict[str, WaveRow] = {}
        self.revisions = dict.fromkeys(PREFIXES, 0)

    @property
    def revision(self) -> int:
        """Return the revision up to which the rows of all prefixes are included."""
        return min(self.revisions.values())

    def copy(self) -> "FleetView":
        """Return a view with the same rows, which changes independently."""
        view = FleetView()
        view.vms, view.pools = dict(self.vms), dict(self.pools)
        view.waves, view.revisions = dict(self.waves), dict(self.revisions)
        return view

    def apply_scan(self, prefix: str, result: table.ReadResult) -> None:
        """Apply the rows of one successful scan of ``prefix``."""
        self.apply_rows(result.rows)
        self.revisions[prefix] = max(self.revisions[prefix], result.revision)

    def apply_rows(self, rows: Iterable[table.Row]) -> None:
        """Apply rows that are newer than the current ones."""
        targets = {
            "vm": (self.vms, parse_vm),
            "pool": (self.pools, parse_pool),
            "wave": (self.waves, parse_wave),
        }
        for row in rows:
            kind, _, name = row.key.partition("/")
            if kind not in targets:
                continue
            current, parse = targets[kind]
            if row.value is None:
                current.pop(name, None)
            elif name not in current or current[name].version < row.version:
                current[name] = parse(row)

    def pool(self, name: str) -> PoolRow:
        """Return the row of a pool, with version 0 if it does not exist."""
        return self.pools.get(name, PoolRow(name))

    def members(self, pool: str) -> list[VmRow]:
        """Return the VM rows of a pool, sorted by name."""
        rows = [row for row in self.vms.values() if row.pool == pool]
        return sorted(rows, key=lambda row: row.vm)
