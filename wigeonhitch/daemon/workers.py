"""The view of the workers that this daemon routes requests by.

It combines two sources: the fleet rows, read when the fleet signal changes, and
the heartbeats of peers, which name the VMs that must get no new request.
Heartbeats reach a daemon that is cut off from the table too, so that a planned
stop needn't wait for it.
"""

import math
from collections.abc import Callable, Mapping

from wigeonhitch.configuration import document
from wigeonhitch.fleet import state, view
from wigeonhitch.membership import core, message
from wigeonhitch.placement import view as placement_view
from wigeonhitch.platform import machines, table
from wigeonhitch.routing import event
from wigeonhitch.telemetry import log

__all__ = ["Workers", "compute_list_period"]

# Minimum intervals between reads of the VM list: normally, and while the rows show
# changes that the list may lack. The holder of the fleet duty reads the list every
# 5 s and marks leaving VMs in their rows, which every daemon reads; reading the
# list here is the fallback.
MIN_LIST_PERIOD_SECONDS = 4.0
MIN_CHANGED_PERIOD_SECONDS = 2.0

# Interval per VM on the list, entry VMs included: an entry takes about
# 160 bytes, so the list uses at most 1.6 KB/s of the 5 KB/s that control traffic
# may use, and 3.2 KB/s while the rows show changes.
LIST_PERIOD_PER_VM_SECONDS = 0.1
CHANGED_PERIOD_PER_VM_SECONDS = 0.05

# In a large fleet heartbeats and rows need that bandwidth: from 286 VMs on the
# interval grows with the square of their number, so that the cost falls, to
# 0.45 KB/s at 1020 VMs.
LIST_PERIOD_PER_PAIR_SECONDS = 0.00035

# Interval between reads of the fleet signal here. The configuration watcher polls
# it each second together with its own signal and reports changes; this read only
# recovers lost notifications, and is rare since it counts towards the 5 KB/s too.
ROWS_PERIOD_SECONDS = 10.0

# Delay before a failed read is retried.
ROWS_RETRY_SECONDS = 1.0

PURPOSE = "workers"


def compute_list_period(vms: int, has_changes: bool = False) -> float:
    """Return the interval between reads of the VM list, in seconds.

    Parameters
    ----------
    vms : int
        Length of the last list.
    has_changes : bool
        Whether the rows name VMs for which that list may be out of date: new VMs,
        or VMs that are up again and may have been replaced.

    Examples
    --------
    >>> compute_list_period(39), compute_list_period(1020, has_changes=True)
    (4.0, 51.0)
    >>> round(compute_list_period(1020))
    364
    """
    if has_changes:
        return max(MIN_CHANGED_PERIOD_SECONDS, CHANGED_PERIOD_PER_VM_SECONDS * vms)
    return max(
        MIN_LIST_PERIOD_SECONDS,
        LIST_PERIOD_PER_VM_SECONDS * vms,
        LIST_PERIOD_PER_PAIR_SECONDS * vms**2,
    )


class Workers:
    """Tracks the workers of every pool and publishes changes to routing.

    Parameters
    ----------
    follower : view.Follower
        Reads the fleet rows.
    vm_source : machines.Machines
        Provides the VM list of the platform.
    get_document : callable
        Returns the document in force, or None.
    apply : callable
        Handles an `event.ViewChanged`.
    count_held : callable
        Returns the number of requests that this daemon holds on a VM.
    """

    def __init__(
        self,
        follower: view.Follower,
        vm_source: machines.Machines,
        get_document: Callable[[], document.Document | None],
        apply: Callable[[event.ViewChanged], None],
        count_held: Callable[[str], int],
    ) -> None:
        self._follower = follower
        self._vm_source = vm_source
        self._get_document = get_document
        self._apply = apply
        self._count_held = count_held
        self._machines: dict[str, machines.Machine] = {}
        self._listed_at = float("-inf")
        self._list_length = 0
        self._listed_up_vms: frozenset[str] = frozenset()
        self._peer_unusable: frozenset[str] = frozenset()
        self._peer_revision = 0
        self._applied_revision = -1
        self._rows_due = -math.inf
        self._pools: Mapping[str, tuple[event.Worker, ...]] = {}

    @property
    def has_view(self) -> bool:
        """Whether any worker is known; none is before the first read of fleet rows."""
        return any(self._pools.values())

    def find_address(self, vm: str) -> str | None:
        """Return ``host:port`` of a VM, or None."""
        machine = self._machines.get(vm)
        return machine.address if machine else None

    @property
    def addresses(self) -> frozenset[str]:
        """Addresses of all listed VMs."""
        return frozenset(machine.address for machine in self._machines.values())

    def list_placeable(self) -> list[placement_view.Vm]:
        """Return the workers in the form that placement uses."""
        fleet_document = self._get_document()
        if fleet_document is None:
            return []
        kinds = {kind.name: kind for kind in fleet_document.kinds}
        kinds_by_pool = {pool.name: kinds[pool.kind] for pool in fleet_document.pools}
        unusable = self._find_unusable()
        vms = []
        for row in self._follower.view.vms.values():
            machine = self._machines.get(row.vm)
            if machine is None or row.pool not in kinds_by_pool:
                continue
            kind = kinds_by_pool[row.pool]
            is_live = machine.state is machines.MachineState.LIVE
            vms.append(
                placement_view.Vm(
                    row.vm,
                    row.pool,
                    kind.cores,
                    kind.memory,
                    machine.rack,
                    machine.data_centre,
                    is_live and row.vm not in unusable,
                )
            )
        return vms

    def describe(self) -> core.Drains:
        """Return the part of a heartbeat that concerns the workers."""
        unusable = tuple(sorted(self._find_unusable()))
        return core.Drains(
            fleet_revision=max(self._applied_revision, 0),
            unusable=unusable,
            drain=max(self._applied_revision, 0),
            busy=tuple(vm for vm in unusable if self._count_held(vm)),
        )

    def handle_heartbeat(self, heartbeat: message.Heartbeat) -> None:
        """Adopt the unusable VMs of a peer that has a newer fleet revision."""
        if heartbeat.fleet_revision > max(self._applied_revision, self._peer_revision):
            self._peer_revision = heartbeat.fleet_revision
            self._peer_unusable = frozenset(heartbeat.unusable)
            self.refresh()

    def mark_rows_stale(self) -> None:
        """Make the next read include the fleet rows, whose signal has changed."""
        self._rows_due = -math.inf

    async def read(self, now: float) -> None:
        """Read the fleet rows and the VM list if they are due."""
        if now >= self._rows_due:
            # Set before the read, so as not to overwrite a change reported during it.
            self._rows_due = now + ROWS_PERIOD_SECONDS
            if not await self._follower.refresh():
                self._rows_due = min(self._rows_due, now + ROWS_RETRY_SECONDS)
        period = compute_list_period(self._list_length, self._has_unlisted_changes())
        if now >= self._listed_at + period:
            await self._read_list(now)
        self.refresh()

    def refresh(self) -> None:
        """Publish the view to routing if it has changed."""
        fleet_document = self._get_document()
        revision = self._follower.view.revisions["vm/"]
        if fleet_document is None or (not revision and not self._peer_revision):
            return
        pools = self._build_pools(fleet_document)
        applied = max(revision, self._peer_revision)
        if pools != self._pools or applied > self._applied_revision:
            self._pools = pools
            self._applied_revision = max(applied, self._applied_revision)
            self._apply(event.ViewChanged(self._applied_revision, pools))

    def _has_unlisted_changes(self) -> bool:
        """Return whether rows name VMs that the last list may lack or have wrong."""
        up_vms = self._list_up_vms()
        self._listed_up_vms &= up_vms
        return up_vms != self._listed_up_vms

    def _list_up_vms(self) -> frozenset[str]:
        return frozenset(
            row.vm
            for row in self._follower.view.vms.values()
            if row.state is state.VmState.UP
        )

    async def _read_list(self, now: float) -> None:
        up_vms = self._list_up_vms()
        vm_list = await self._vm_source.list_vms(purpose=PURPOSE)
        if vm_list.outcome is not table.Outcome.DONE:
            return
        listed = {
            machine.vm: machine
            for machine in vm_list.machines
            if machine.role == "worker"
        }
        if listed.keys() != self._machines.keys():
            log.log_change("listed workers", count=len(listed))
        self._machines = listed
        self._listed_at = now
        self._list_length = len(vm_list.machines)
        self._listed_up_vms = up_vms & listed.keys()

    def _find_unusable(self) -> frozenset[str]:
        rows = self._follower.view
        unusable = frozenset(
            row.vm for row in rows.vms.values() if row.state is not state.VmState.UP
        )
        if self._peer_revision > rows.revisions["vm/"]:
            return unusable | self._peer_unusable
        return unusable

    def _build_pools(
        self, fleet_document: document.Document
    ) -> dict[str, tuple[event.Worker, ...]]:
        """Return all workers of all pools, with the unusable ones marked.

        While the VM list is unavailable, the last one is used: most of its VMs
        still exist, and outlier detection ejects a VM that doesn't.
        """
        kinds = {kind.name: kind for kind in fleet_document.kinds}
        kinds_by_pool = {pool.name: kinds[pool.kind] for pool in fleet_document.pools}
        unusable = self._find_unusable()
        pools: dict[str, list[event.Worker]] = {name: [] for name in kinds_by_pool}
        for row in sorted(self._follower.view.vms.values(), key=lambda row: row.vm):
            machine = self._machines.get(row.vm)
            if machine is None or row.pool not in pools:
                continue
            is_live = machine.state is machines.MachineState.LIVE
            kind = kinds_by_pool[row.pool]
            pools[row.pool].append(
                event.Worker(
                    row.vm,
                    kind.slots,
                    kind.connections,
                    is_live and row.vm not in unusable,
                )
            )
        return {name: tuple(workers) for name, workers in pools.items()}
