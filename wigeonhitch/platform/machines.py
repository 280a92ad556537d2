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
        State of the VM as of ``VmList.as_of``.
    boot : int
        Number of boots of the VM; a restart increments it.
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
    """The VM list as of ``as_of``, which lies some seconds in the past.

    ``as_of`` is on the table's clock, in seconds since the Unix epoch.
    """

    outcome: table.Outcome
    machines: tuple[Machine, ...] = ()
    as_of: float = 0.0
    reason: str = ""


class Machines(Protocol):
    """VM list and VM control."""

    async def list_vms(self, *, purpose: str) -> VmList:
        """Return the VMs that are live or leaving; the list lags by some seconds."""
        ...

    async def reboot(self, vm: str, boot: int, *, purpose: str) -> table.Outcome:
        """Reboot a VM if its boot number is still ``boot`` (idempotent)."""
        ...
