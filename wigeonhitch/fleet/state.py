"""Rows of the fleet in the platform's table, and an incremental view of them.

One row per VM says which pool the VM belongs to and how far a planned stop of
it has come, so a VM cannot be in two pools. One row per pool lists the VMs
that planned stops have taken from the pool's budget; every change that takes a
VM out of service writes that row, so its version guards the whole pool.
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

# Pools are read before VMs: a stop committed between the two reads then shows
# as an old pool version, whose condition fails, and never as an old VM row
# beside a new pool version, which would spend the same budget twice.
PREFIXES = ("pool/", "vm/", "wave/")


# Boot number of a VM that no planned stop has told to reboot.
NO_BOOT = -1


class VmState(enum.Enum):
    """How far a planned stop of a VM has come."""

    UP = "up"
    DRAINING = "draining"
    REBOOTING = "rebooting"
    CHECKING = "checking"
    DOWN = "down"


class WaveStatus(enum.Enum):
    """What operators asked of a wave, or that it has finished."""

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
        Boot number that the committed reboot is for, or `NO_BOOT`; asking
        again for the same number cannot reboot twice.
    target : str
        Pool that a move takes the VM to; empty for a reboot.
    done : tuple of str
        Waves that have finished with this VM.
    version : int
        Version of the row; while draining, the number of the drain.
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
    """Row ``pool/{pool}``: VMs that planned stops have taken from the budget."""

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
        What was asked last.
    operator : str
        Who asked.
    since : float
        When, seconds on the table's clock.
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
    """What was seen of the fleet besides the table's fleet rows.

    Parameters
    ----------
    now : float
        Time of the observation, seconds on the table's clock.
    machines : mapping of str to Machine
        The platform's VM list by VM.
    as_of : float
        Moment that the list describes, seconds on the table's clock.
    healthy : frozenset of str
        VMs whose health check passed just now.
    """

    now: float
    machines: Mapping[str, machines.Machine]
    as_of: float
    healthy: frozenset[str]

    def is_live(self, vm: str) -> bool:
        """Tell whether the platform lists the VM as live."""
        machine = self.machines.get(vm)
        return machine is not None and machine.state is machines.MachineState.LIVE

    def is_serving(self, vm: str) -> bool:
        """Tell whether the VM is live and passed its health check."""
        return vm in self.healthy and self.is_live(vm)


def parse_vm(row: table.Row) -> VmRow:
    """Return the `VmRow` of a present row under ``vm/``."""
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
    """Return the `WaveRow` of a present row under ``wave/``."""
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
        For each prefix, the table revision up to which rows are included.
    """

    def __init__(self) -> None:
        self.vms: dict[str, VmRow] = {}
        self.pools: dict[str, PoolRow] = {}
        self.waves: dict[str, WaveRow] = {}
        self.revisions = dict.fromkeys(PREFIXES, 0)

    @property
    def revision(self) -> int:
        """Return the revision up to which every row is included."""
        return min(self.revisions.values())

    def apply_scan(self, prefix: str, result: table.ReadResult) -> None:
        """Take over the rows of one successful scan of ``prefix``."""
        self.apply_rows(result.rows)
        self.revisions[prefix] = max(self.revisions[prefix], result.revision)

    def apply_rows(self, rows: Iterable[table.Row]) -> None:
        """Take over rows that are newer than those held."""
        places = {
            "vm": (self.vms, parse_vm),
            "pool": (self.pools, parse_pool),
            "wave": (self.waves, parse_wave),
        }
        for row in rows:
            kind, _, name = row.key.partition("/")
            if kind not in places:
                continue
            held, parse = places[kind]
            if row.value is None:
                held.pop(name, None)
            elif name not in held or held[name].version < row.version:
                held[name] = parse(row)

    def pool(self, name: str) -> PoolRow:
        """Return the row of a pool, with version 0 when it was never written."""
        return self.pools.get(name, PoolRow(name))

    def members(self, pool: str) -> list[VmRow]:
        """Return the VM rows of a pool in order of name."""
        rows = [row for row in self.vms.values() if row.pool == pool]
        return sorted(rows, key=lambda row: row.vm)
