"""Reads the fleet's table rows, VM list and health checks into a snapshot.

An idle round costs one table read (the signal row), whatever the size of the
fleet, and one VM list every `MAX_LIST_INTERVAL_SECONDS`, or more often in a small
fleet. A round after a change adds one scan per prefix, which returns only the
changed rows; a round during a drain adds one scan of the daemons' rows. Health
checks are limited to workers that the next decisions depend on.
"""

import math
from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio

from wigeonhitch.configuration import document
from wigeonhitch.fleet import batch, move, state, wave
from wigeonhitch.membership import confirmation
from wigeonhitch.platform import machines, table

__all__ = ["HealthCheck", "Observer", "Platform", "list_vms_to_check"]

# Concurrent health checks; bounds the number of sockets and the network burst.
MAX_PARALLEL_CHECKS = 64
# Time within which a worker must answer a health check.
CHECK_TIMEOUT_SECONDS = 2.0
# Maximum lag of the VM list; with an older list no planned stop begins.
MAX_LIST_LAG_SECONDS = 60.0

# Time between readings of the VM list in a large fleet. The list is the largest
# read of a round, some 130 bytes per VM, but only it shows that a VM is leaving,
# and such a VM must get no new work within seconds. Other daemons read the list
# less often and rely on the rows. A lost VM is detected earlier by its health check.
MAX_LIST_INTERVAL_SECONDS = 5.0
# In a small fleet the list is small and is read more often: the minimum time
# between readings, and the time per VM, which limits the list to some 5 KB/s. A
# stop ends when the list shows the VM's new boot number, so the wait for the list
# is part of every roll-out.
MIN_LIST_INTERVAL_SECONDS = 1.0
LIST_INTERVAL_SECONDS_PER_VM = 0.025

DEFAULT_CONFIRMATION_LIMITS = confirmation.Limits()

HealthCheck = Callable[[str], Awaitable[bool]]


class Platform(NamedTuple):
    """Interfaces of the platform and the workers that the fleet's tasks use.

    Parameters
    ----------
    table : Table
        The transactional table.
    machines : Machines
        VM list and reboot.
    check_health : callable
        ``async (address) -> bool`` checks one worker.
    clock : callable
        Seconds on a clock that includes the time of suspension.
    """

    table: table.Table
    machines: machines.Machines
    check_health: HealthCheck
    clock: Callable[[], float]


class Observer:
    """Maintains a view of the fleet and builds snapshots for decisions.

    Parameters
    ----------
    platform : Platform
        Interfaces from which to read.
    limits : Limits
        Limits of planned stops.
    confirmation_limits : confirmation.Limits
        Times after which a silent daemon can no longer hold a request.

    Attributes
    ----------
    problem : str
        Why the last refresh failed; empty if it succeeded.
    """

    def __init__(
        self,
        platform: Platform,
        limits: wave.Limits = wave.DEFAULT_LIMITS,
        confirmation_limits: confirmation.Limits = DEFAULT_CONFIRMATION_LIMITS,
    ) -> None:
        self.platform = platform
        self.limits = limits
        self.confirmation_limits = confirmation_limits
        self.view = state.FleetView()
        self.missing: dict[str, float] = {}
        self.problem = "not read yet"
        self.refreshed_at = 0.0
        self._listed_at = -math.inf
        self._signal_version = -1
        self._daemons: tuple[confirmation.DaemonRow, ...] = ()
        self._drains: dict[str, tuple[int, float]] = {}
        self._daemons_revision = 0
        self._vm_list = machines.VmList(table.Outcome.NOT_DONE)
        self._table_time = 0.0

    async def refresh(self) -> bool:
        """Read all changes; return whether every read succeeded."""
        self.refreshed_at = self.platform.clock()
        self.problem = await self._read_rows() or await self._read_list()
        return not self.problem

    async def _read_rows(self) -> str:
        answer = await self.platform.table.read([state.SIGNAL], purpose="fleet")
        if answer.outcome is not table.Outcome.DONE:
            return f"table: {answer.reason or answer.outcome.value}"
        self._table_time = answer.time
        signal_version = answer.rows[0].version
        if signal_version != self._signal_version:
            for prefix in state.PREFIXES:
                since = self.view.revisions[prefix]
                result = await self._scan(prefix, since)
                if result.outcome is not table.Outcome.DONE:
                    return f"table: {result.reason or result.outcome.value}"
                self.view.apply_scan(prefix, result)
            self._signal_version = signal_version
        return await self._read_daemons()

    async def _scan(self, prefix: str, since: int = 0) -> table.ReadResult:
        return await self.platform.table.scan(prefix, purpose="fleet", since=since)

    async def _read_daemons(self) -> str:
        drains = {}
        for row in self.view.vms.values():
            if row.state is state.VmState.DRAINING:
                version, seen_at = self._drains.get(row.vm, (0, 0.0))
                seen_at = seen_at if version == row.version else self._table_time
                drains[row.vm] = (row.version, seen_at)
        self._drains = drains
        if not drains:
            return ""
        result = await self._scan("daemon/")
        if result.outcome is not table.Outcome.DONE:
            return f"table: {result.reason or result.outcome.value}"
        self._daemons = tuple(
            confirmation.read_row(row.key, row.value)
            for row in result.rows
            if row.value is not None
        )
        self._daemons_revision = result.revision
        return ""

    async def _read_list(self) -> str:
        now = self.platform.clock()
        if now - self._listed_at >= find_list_interval(len(self._vm_list.machines)):
            answer = await self.platform.machines.list_vms(purpose="fleet")
            if answer.outcome is not table.Outcome.DONE:
                return f"VM list: {answer.reason or answer.outcome.value}"
            self._listed_at = now
            # An older list could make removed VMs reappear.
            if answer.as_of >= self._vm_list.as_of:
                self._vm_list = answer
        if self._table_time - self._vm_list.as_of > MAX_LIST_LAG_SECONDS:
            return f"VM list is {self._table_time - self._vm_list.as_of:.0f} s old"
        listed = {machine.vm for machine in self._vm_list.machines}
        unlisted = [vm for vm in self.view.vms if vm not in listed]
        as_of = self._vm_list.as_of
        self.missing = {vm: self.missing.get(vm, as_of) for vm in unlisted}
        return ""

    async def take_snapshot(self, accepted: document.Document) -> wave.Snapshot:
        """Check the relevant workers' health and return the snapshot."""
        snapshot = self.build_snapshot(accepted, frozenset())
        healthy = await self.check_health(list_vms_to_check(snapshot), snapshot)
        return self.build_snapshot(accepted, healthy)

    def build_snapshot(
        self, accepted: document.Document, healthy: frozenset[str]
    ) -> wave.Snapshot:
        """Return the snapshot in which exactly ``healthy`` are the healthy VMs."""
        observation = state.Observation(
            self._table_time,
            {machine.vm: machine for machine in self._vm_list.machines},
            self._vm_list.as_of,
            healthy,
        )
        return wave.Snapshot(
            self.view,
            accepted,
            observation,
            self._daemons,
            self._daemons_revision,
            {vm: seen_at for vm, (_, seen_at) in self._drains.items()},
            self.limits,
            self.confirmation_limits,
        )

    async def check_health(
        self, vms: Iterable[str], snapshot: wave.Snapshot
    ) -> frozenset[str]:
        """Return the VMs that pass a health check now."""
        healthy: set[str] = set()
        limiter = anyio.CapacityLimiter(MAX_PARALLEL_CHECKS)

        async def check(vm: str, address: str) -> None:
            async with limiter:
                with anyio.move_on_after(CHECK_TIMEOUT_SECONDS):
                    if await self.platform.check_health(address):
                        healthy.add(vm)

        async with anyio.create_task_group() as group:
            for vm in vms:
                if snapshot.observation.is_live(vm):
                    machine = snapshot.observation.machines[vm]
                    group.start_soon(check, vm, machine.address)
        return frozenset(healthy)


def find_list_interval(vms: int) -> float:
    """Return the seconds between readings of the VM list in a fleet of ``vms`` VMs.

    Examples
    --------
    >>> find_list_interval(30), find_list_interval(100), find_list_interval(800)
    (1.0, 2.5, 5.0)
    """
    interval = max(MIN_LIST_INTERVAL_SECONDS, LIST_INTERVAL_SECONDS_PER_VM * vms)
    return min(MAX_LIST_INTERVAL_SECONDS, interval)


def list_vms_to_check(snapshot: wave.Snapshot) -> list[str]:
    """Return the VMs whose health the next decisions depend on.

    These are all VMs of pools in which a drain is under way, or in which a stop
    could begin in this round if every listed VM were healthy; in other pools only
    VMs that have returned from a stop. A VM that returns or arrives in this round
    can make a stop possible, so the round's steps are assumed to be done. During a
    wave over the whole fleet, this avoids checks in pools that wait for a rebooting
    VM and have no further spare VM.
    """
    view = snapshot.view
    listed = frozenset(snapshot.observation.machines)
    optimistic = assume_steps(
        snapshot._replace(observation=snapshot.observation._replace(healthy=listed))
    )
    possible_stops = (
        *move.pick_moves(optimistic).changes,
        *batch.pick_stops(optimistic).changes,
    )
    pools = {item.row.pool for item in possible_stops}
    draining = state.VmState.DRAINING
    pools.update(row.pool for row in view.vms.values() if row.state is draining)
    return sorted(
        row.vm
        for row in view.vms.values()
        if row.pool in pools or has_returned(row, snapshot.observation)
    )


def assume_steps(snapshot: wave.Snapshot) -> wave.Snapshot:
    """Return the snapshot after all steps of stops that it allows."""
    if all(row.state is state.VmState.UP for row in snapshot.view.vms.values()):
        return snapshot
    assumed = snapshot._replace(view=snapshot.view.copy())
    while steps := wave.advance(assumed)[0]:
        assumed.view.vms.update((step.row.vm, step.row) for step in steps)
    return assumed


def has_returned(row: state.VmRow, observation: state.Observation) -> bool:
    """Return whether a stopped VM is live with a higher boot number."""
    in_use = (state.VmState.UP, state.VmState.DRAINING)
    if row.state in in_use or not observation.is_live(row.vm):
        return False
    return observation.machines[row.vm].boot > row.boot
