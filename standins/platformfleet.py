"""VM list of the platform stand-in, without I/O: lagging, with reboots."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from wigeonhitch.platform import machines

__all__ = ["Fleet", "Notice"]

DEFAULT_REBOOT = 5.0
"""Seconds that a VM is gone from the list while it reboots."""


class Notice(NamedTuple):
    """Told to the worker process at ``address``: behave as rebooting."""

    address: str
    seconds: float


class Fleet:
    """The VMs, and the list as it was seen at each change.

    Parameters
    ----------
    vms : iterable of mapping
        Fields of `machines.Machine` but ``state``.
    lag : float
        Seconds by which the list lags behind.
    reboot_seconds : float
        Seconds that a reboot takes.
    now : float
        Seconds since the Unix epoch.
    """

    def __init__(
        self,
        vms: Iterable[Mapping[str, Any]] = (),
        *,
        lag: float = 0.0,
        reboot_seconds: float = DEFAULT_REBOOT,
        now: float = 0.0,
    ) -> None:
        self.lag = lag
        self.reboot_seconds = reboot_seconds
        self.notices: list[Notice] = []
        self.never_back: set[str] = set()
        self.failing: set[str] = set()
        self.live: dict[str, machines.Machine] = {}
        self._rebooting: dict[str, tuple[float, machines.Machine]] = {}
        for fields in vms:
            machine = machines.Machine(state=machines.MachineState.LIVE, **fields)
            self.live[machine.vm] = machine
        self._snapshots = [(now, tuple(self.live.values()))]

    def list_vms(self, now: float) -> tuple[float, tuple[machines.Machine, ...]]:
        """Return the moment that the list shows, and its VMs."""
        as_of = now - self.lag
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= as_of:
            self._snapshots.pop(0)
        return max(as_of, self._snapshots[0][0]), self._snapshots[0][1]

    def reboot(self, vm: str, boot: int, now: float) -> bool:
        """Begin a reboot; true when it began, goes on or is already done."""
        if vm in self._rebooting:
            return boot <= self._rebooting[vm][1].boot - 1
        machine = self.live.get(vm)
        if machine is None or boot > machine.boot:
            return False
        if boot < machine.boot:
            return True
        del self.live[vm]
        back = now + self.reboot_seconds
        renewed = machine._replace(boot=boot + 1, state=machines.MachineState.LIVE)
        self._rebooting[vm] = (back, renewed)
        self.notices.append(Notice(machine.address, self.reboot_seconds))
        self._record(now)
        return True

    def change(self, body: Mapping[str, Any], now: float) -> None:
        """Apply a test's change: add, remove, leaving, never_back, failing.

        Raises
        ------
        ValueError
            For an unknown change.
        """
        for name, value in body.items():
            if name == "add":
                machine = machines.Machine(state=machines.MachineState.LIVE, **value)
                self.live[machine.vm] = machine
            elif name == "remove":
                self.live.pop(value, None)
                self._rebooting.pop(value, None)
            elif name == "leaving":
                leaving = machines.MachineState.LEAVING
                self.live[value] = self.live[value]._replace(state=leaving)
            elif name == "never_back":
                self.never_back = set(value)
            elif name == "failing":
                self.failing = set(value)
            elif name == "reboot_seconds":
                self.reboot_seconds = float(value)
            elif name == "lag":
                self.lag = float(value)
            else:
                raise ValueError(f"fleet change {name!r} is unknown")
        self._record(now)

    def advance(self, now: float) -> None:
        """Bring back the VMs whose reboot has ended by ``now``."""
        due = sorted(
            (back, vm)
            for vm, (back, _) in self._rebooting.items()
            if back <= now and vm not in self.never_back
        )
        for back, vm in due:
            _, machine = self._rebooting.pop(vm)
            self.live[vm] = machine
            self._record(back)

    def _record(self, now: float) -> None:
        self._snapshots.append((now, tuple(self.live.values())))
