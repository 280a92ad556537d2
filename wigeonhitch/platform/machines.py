"""The platform's VM list and the control of single VMs."""

import enum
from typing import NamedTuple, Protocol

from wigeonhitch.platform import table

__all__ = ["Machine", "MachineState", "Machines", "VmList"]


class MachineState(enum.Enum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class Machine(NamedTuple):
    """One VM of the platform's list.

    Parameters
    ----------
    vm : str
        Name of the VM.
    kind : str
        Name of the VM kind in the fleet document.
    address : str
        ``host:port`` where the VM's worker answers HTTP.
    rack, data_centre : str
        Failure domains.
    state : MachineState
        As the list saw it at ``VmList.as_of``.
    boot : int
        Number of times the VM was booted; a restart raises it.
    role : str
        ``"worker"`` or ``"entry"`` (a VM that runs this system).
    """

    vm: str
    kind: str
    address: str
    rack: str
    data_centre: str
    state: MachineState
    boot: int = 0
    role: str = "worker"


class VmList(NamedTuple):
    """The list as of a moment that lies some seconds in the past.

    ``as_of`` is in the table's clock, seconds since the Unix epoch.
    """

    outcome: table.Outcome
    machines: tuple[Machine, ...] = ()
    as_of: float = 0.0
    reason: str = ""


class Machines(Protocol):
    """VM list and VM control."""

    async def list_vms(self, *, purpose: str) -> VmList:
        """Return the lagging list of VMs that are live or leaving."""
        ...

    async def reboot(self, vm: str, boot: int, *, purpose: str) -> table.Outcome:
        """Reboot a VM if its boot number is still ``boot`` (idempotent)."""
        ...
