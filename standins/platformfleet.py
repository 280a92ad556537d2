"""VM list of the platform stand-in, without I/O: with lag and reboots."""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from wigeonhitch.platform import machines

__all__ = ["Fleet", "Notice"]

DEFAULT_REBOOT_SECONDS = 5.0
"""Time for which a VM is missing in the list while it reboots."""


class Notice(NamedTuple):
    """Notice to the worker process at ``address`` to simulate a reboot."""

    address: str
    seconds: float


class Fleet:
    """The VMs, and a snapshot of their list at each change.

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
        reboot_seconds: float = DEFAULT_REBOOT_SECONDS,
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
        """Return the time of the listed snapshot, and its VMs."""
        as_of = now - self.lag
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= as_of:
            self._snapshots.pop(0)
        return max(as_of, self._snapshots[0][0]), self._snapshots[0][1]

    def reboot(self, vm: str, boot: int, now: float) -> bool:
        """Start a reboot; return whether it started, is in progress or is done."""
        if vm in self._rebooting:
            return boot <= self._rebooting[vm][1].boot - 1
        machine = self.live.get(vm)
        if machine is None or boot > machine.boot:
            return False
        if boot < machine.boot:
            return True
        del self.live[vm]
        returns_at = now + self.reboot_seconds
        rebooted = machine._replace(boot=boot + 1, state=machines.MachineState.LIVE)
        self._rebooting[vm] = (returns_at, rebooted)
        self.notices.append(Notice(machine.address, self.reboot_seconds))
        self._take_snapshot(now)
        return True

    def change(self, body: Mapping[str, Any], now: float) -> None:
        """Apply changes of a test, named by the keys of ``body``.

        Raises
        ------
        ValueError
            If a change is unknown.
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
        self._take_snapshot(now)

    def advance(self, now: float) -> None:
        """Add the VMs whose reboot has ended by ``now`` to the list again."""
        due = sorted(
            (returns_at, vm)
            for vm, (returns_at, _) in self._rebooting.items()
            if returns_at <= now and vm not in self.never_back
        )
        for returns_at, vm in due:
            _, machine = self._rebooting.pop(vm)
            self.live[vm] = machine
            self._take_snapshot(returns_at)

    def _take_snapshot(self, now: float) -> None:
        self._snapshots.append((now, tuple(self.live.values())))
