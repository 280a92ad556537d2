"""Reading the fleet: table rows, VM list and health checks, made into a snapshot.

An idle round costs one table read (the signal row), whatever the size of the
fleet, and one VM list every `MAX_LIST_INTERVAL_SECONDS` seconds. A round after a
change adds one scan per prefix, which returns only rows that changed; a round
during a drain adds one scan of the daemons' rows. Health checks go to the
workers of pools that something is about to happen to, and to no others.
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

# Health checks in flight at once; bounds sockets and the burst on the network.
MAX_PARALLEL_CHECKS = 64
# Seconds that a worker has to answer a health check.
CHECK_TIMEOUT_SECONDS = 2.0
# Seconds by which the VM list may lag before no planned stop is begun on it.
MAX_LIST_LAG_SECONDS = 60.0

# Seconds between VM lists. The list is the largest thing that a round reads,
# some 130 bytes a VM, but it alone shows that a VM is leaving, which must get no
# new work within seconds; other daemons read it more seldom and rely on the
# rows. Of a lost VM the health check tells earlier.
MAX_LIST_INTERVAL_SECONDS = 5.0
# The same in a small fleet, where the list is small: seconds at least, and
# seconds per VM, some 5 KB/s. A stop ends when the list shows the VM's new boot
# number, so the wait for the list is part of every roll-out.
MIN_LIST_INTERVAL_SECONDS = 1.0
LIST_INTERVAL_SECONDS_PER_VM = 0.025

DEFAULT_CONFIRMATION_LIMITS = confirmation.Limits()

HealthCheck = Callable[[str], Awaitable[bool]]


class Platform(NamedTuple):
    """What the fleet's tasks use of the platform and the workers.

    Parameters
    ----------
    table : Table
        The transactional table.
    machines : Machines
        VM list and reboot.
    check_health : callable
        ``async (address) -> bool`` asks one worker.
    clock : callable
        Seconds on the clock that counts suspension.
    """

    table: table.Table
    machines: machines.Machines
    check_health: HealthCheck
    clock: Callable[[], float]


class Observer:
    """Keeps a view of the fleet and makes scenes for decisions from it.

    Parameters
    ----------
    platform : Platform
        Where to read.
    limits : Limits
        Limits of planned stops.
    confirmation_limits : confirmation.Limits
        When a silent daemon can no longer hold a request.

    Attributes
    ----------
    problem : str
        Why the last refresh failed; empty when it did not.
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
        self._signal = -1
        self._daemons: tuple[confirmation.DaemonRow, ...] = ()
        self._drained: dict[str, tuple[int, float]] = {}
        self._daemons_revision = 0
        self._list = machines.VmList(table.Outcome.NOT_DONE)
        self._time = 0.0

    async def refresh(self) -> bool:
        """Read what changed; return whether all of it could be read."""
        self.refreshed_at = self.platform.clock()
        self.problem = await self._read_rows() or await self._read_list()
        return not self.problem

    async def _read_rows(self) -> str:
        answer = await self.platform.table.read([state.SIGNAL], purpose="fleet")
        if answer.outcome is not table.Outcome.DONE:
            return f"table: {answer.reason or answer.outcome.value}"
        self._time = answer.time
        signal = answer.rows[0].version
        if signal != self._signal:
            for prefix in state.PREFIXES:
                since = self.view.revisions[prefix]
                result = await self._scan(prefix, since)
                if result.outcome is not table.Outcome.DONE:
                    return f"table: {result.reason or result.outcome.value}"
                self.view.apply_scan(prefix, result)
            self._signal = signal
        return await self._read_daemons()

    async def _scan(self, prefix: str, since: int = 0) -> table.ReadResult:
        return await self.platform.table.scan(prefix, purpose="fleet", since=since)

    async def _read_daemons(self) -> str:
        drained = {}
        for row in self.view.vms.values():
            if row.state is state.VmState.DRAINING:
                number, at = self._drained.get(row.vm, (0, 0.0))
                at = at if number == row.version else self._time
                drained[row.vm] = (row.version, at)
        self._drained = drained
        if not drained:
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
        if now - self._listed_at >= find_list_interval(len(self._list.machines)):
            answer = await self.platform.machines.list_vms(purpose="fleet")
            if answer.outcome is not table.Outcome.DONE:
                return f"VM list: {answer.reason or answer.outcome.value}"
            self._listed_at = now
            # A list older than one seen before would bring VMs back.
            if answer.as_of >= self._list.as_of:
                self._list = answer
        if self._time - self._list.as_of > MAX_LIST_LAG_SECONDS:
            return f"VM list is {self._time - self._list.as_of:.0f} s old"
        listed = {machine.vm for machine in self._list.machines}
        gone = [vm for vm in self.view.vms if vm not in listed]
        as_of = self._list.as_of
        self.missing = {vm: self.missing.get(vm, as_of) for vm in gone}
        return ""

    async def take_snapshot(self, accepted: document.Document) -> wave.Snapshot:
        """Check the health of the workers that matter and return the snapshot."""
        snapshot = self.build_snapshot(accepted, frozenset())
        healthy = await self.check_health(list_vms_to_check(snapshot), snapshot)
        return self.build_snapshot(accepted, healthy)

    def build_snapshot(
        self, accepted: document.Document, healthy: frozenset[str]
    ) -> wave.Snapshot:
        """Return the snapshot with the given VMs as the healthy ones."""
        observation = state.Observation(
            self._time,
            {machine.vm: machine for machine in self._list.machines},
            self._list.as_of,
            healthy,
        )
        return wave.Snapshot(
            self.view,
            accepted,
            observation,
            self._daemons,
            self._daemons_revision,
            {vm: at for vm, (_, at) in self._drained.items()},
            self.limits,
            self.confirmation_limits,
        )

    async def check_health(
        self, vms: Iterable[str], snapshot: wave.Snapshot
    ) -> frozenset[str]:
        """Return which of the VMs pass their health check now."""
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
    """Return the seconds between VM lists in a fleet of that size.

    Examples
    --------
    >>> find_list_interval(30), find_list_interval(100), find_list_interval(800)
    (1.0, 2.5, 5.0)
    """
    scaled = max(MIN_LIST_INTERVAL_SECONDS, LIST_INTERVAL_SECONDS_PER_VM * vms)
    return min(MAX_LIST_INTERVAL_SECONDS, scaled)


def list_vms_to_check(snapshot: wave.Snapshot) -> list[str]:
    """Return the VMs whose health the next decisions depend on.

    All VMs of pools in which a drain is under way, or in which a stop could
    begin if every listed VM were healthy; elsewhere only VMs that have come
    back. Made for a wave over the whole fleet: while a VM reboots, which is
    most of the time, the others of a pool without more spare are not asked.
    """
    view = snapshot.view
    listed = frozenset(snapshot.observation.machines)
    hopeful = snapshot._replace(
        observation=snapshot.observation._replace(healthy=listed)
    )
    begins = (*move.pick_moves(hopeful).changes, *batch.pick_stops(hopeful).changes)
    pools = {item.row.pool for item in begins}
    draining = state.VmState.DRAINING
    pools.update(row.pool for row in view.vms.values() if row.state is draining)
    return sorted(
        row.vm
        for row in view.vms.values()
        if row.pool in pools or has_returned(row, snapshot.observation)
    )


def has_returned(row: state.VmRow, observation: state.Observation) -> bool:
    """Tell whether a stopped VM is back, but for its health check."""
    stopped = (state.VmState.CHECKING, state.VmState.DOWN)
    if row.state not in stopped or not observation.is_live(row.vm):
        return False
    return observation.machines[row.vm].boot > row.boot
