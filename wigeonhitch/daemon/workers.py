"""The workers as this daemon's request side sees them.

Two sources are joined: the fleet's rows, read when the fleet signal moves, and
what peers say of VMs that must get no new request. The second reaches a daemon
that is cut off from the table, so that a planned stop needn't wait for it.
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

__all__ = ["Workers", "find_list_period"]

# Seconds between readings of the VM list in a small fleet, and while rows show
# news. The runner of the fleet's duty reads the list every 5 s and marks leaving
# VMs in their rows, which every daemon follows; this reading is the second way.
LIST_PERIOD = 4.0
NEWS_PERIOD = 2.0

# Seconds between readings per VM on the list, entry VMs included: one takes some
# 160 bytes, so the list costs at most 1.6 KB/s of the 5 KB/s that control may
# spend, and 3.2 KB/s while there is news.
LIST_PERIOD_PER_VM = 0.1
NEWS_PERIOD_PER_VM = 0.05

# In a large fleet heartbeats and rows need that room: from 286 VMs on the period
# grows with their square, so that the cost falls, to 0.45 KB/s at 1020.
LIST_PERIOD_PER_PAIR = 0.00035

# Seconds between readings of the fleet's signal here. The task that follows the
# documents polls it with its own each second and says when it moves; this only
# mends news that was lost, and is rare since it counts towards the 5 KB/s too.
ROWS_PERIOD = 10.0

# Seconds after which a failed reading is tried again.
ROWS_RETRY = 1.0

PURPOSE = "workers"


def find_list_period(vms: int, has_news: bool = False) -> float:
    """Return the seconds between readings of the VM list.

    Parameters
    ----------
    vms : int
        Length of the last list.
    has_news : bool
        Whether the rows name VMs of which that list may be wrong: new ones, or
        ones that are up again and may have been replaced.

    Examples
    --------
    >>> find_list_period(39), find_list_period(1020, has_news=True)
    (4.0, 51.0)
    >>> round(find_list_period(1020))
    364
    """
    if has_news:
        return max(NEWS_PERIOD, NEWS_PERIOD_PER_VM * vms)
    return max(LIST_PERIOD, LIST_PERIOD_PER_VM * vms, LIST_PERIOD_PER_PAIR * vms**2)


class Workers:
    """Keeps the workers of every pool and tells the routing decisions.

    Parameters
    ----------
    follower : view.Follower
        Reads the fleet's rows.
    listing : machines.Machines
        The platform's VM list.
    find_document : callable
        Returns the document in force, or None.
    apply : callable
        Takes an `event.ViewChanged`.
    count_held : callable
        Returns how many requests this daemon holds on a VM.
    """

    def __init__(
        self,
        follower: view.Follower,
        listing: machines.Machines,
        find_document: Callable[[], document.Document | None],
        apply: Callable[[event.ViewChanged], None],
        count_held: Callable[[str], int],
    ) -> None:
        self._follower = follower
        self._listing = listing
        self._find_document = find_document
        self._apply = apply
        self._count_held = count_held
        self._machines: dict[str, machines.Machine] = {}
        self._listed_at = float("-inf")
        self._list_length = 0
        self._listed_up: frozenset[str] = frozenset()
        self._unusable: frozenset[str] = frozenset()
        self._told_revision = 0
        self._applied = -1
        self._rows_due = -math.inf
        self._pools: Mapping[str, tuple[event.Worker, ...]] = {}

    @property
    def has_view(self) -> bool:
        """Whether any worker is known; until the fleet's first rows none is."""
        return any(self._pools.values())

    def find_address(self, vm: str) -> str | None:
        """Return ``host:port`` of a VM, or None."""
        machine = self._machines.get(vm)
        return machine.address if machine else None

    @property
    def addresses(self) -> frozenset[str]:
        """The addresses of all listed VMs."""
        return frozenset(machine.address for machine in self._machines.values())

    def list_placeable(self) -> list[placement_view.Vm]:
        """Return the workers as placement sees them."""
        accepted = self._find_document()
        if accepted is None:
            return []
        kinds = {kind.name: kind for kind in accepted.kinds}
        sizes = {pool.name: kinds[pool.kind] for pool in accepted.pools}
        unusable = self._find_unusable()
        found = []
        for row in self._follower.view.vms.values():
            machine = self._machines.get(row.vm)
            if machine is None or row.pool not in sizes:
                continue
            kind = sizes[row.pool]
            live = machine.state is machines.MachineState.LIVE
            found.append(
                placement_view.Vm(
                    row.vm,
                    row.pool,
                    kind.cores,
                    kind.memory,
                    machine.rack,
                    machine.data_centre,
                    live and row.vm not in unusable,
                )
            )
        return found

    def describe(self) -> core.Drains:
        """Return the part of a heartbeat that concerns the workers."""
        unusable = tuple(sorted(self._find_unusable()))
        return core.Drains(
            fleet_revision=max(self._applied, 0),
            unusable=unusable,
            drain=max(self._applied, 0),
            busy=tuple(vm for vm in unusable if self._count_held(vm)),
        )

    def hear(self, beat: message.Heartbeat) -> None:
        """Take the unusable VMs of a peer that knows a newer revision."""
        if beat.fleet_revision > max(self._applied, self._told_revision):
            self._told_revision = beat.fleet_revision
            self._unusable = frozenset(beat.unusable)
            self.refresh()

    def note_moved(self) -> None:
        """Note that the fleet's signal has moved: the next reading takes rows."""
        self._rows_due = -math.inf

    async def read(self, now: float) -> None:
        """Read what changed, and the VM list when it is due."""
        if now >= self._rows_due:
            # Set before the reading: a move noted meanwhile must stay noted.
            self._rows_due = now + ROWS_PERIOD
            if not await self._follower.refresh():
                self._rows_due = min(self._rows_due, now + ROWS_RETRY)
        period = find_list_period(self._list_length, self._has_news())
        if now >= self._listed_at + period:
            await self._read_list(now)
        self.refresh()

    def refresh(self) -> None:
        """Tell the routing decisions what is different, if anything is."""
        accepted = self._find_document()
        revision = self._follower.view.revisions["vm/"]
        if accepted is None or (not revision and not self._told_revision):
            return
        pools = self._make_pools(accepted)
        applied = max(revision, self._told_revision)
        if pools != self._pools or applied > self._applied:
            self._pools = pools
            self._applied = max(applied, self._applied)
            self._apply(event.ViewChanged(self._applied, pools))

    def _has_news(self) -> bool:
        """Whether rows name VMs of which the last list may say nothing or wrong."""
        up = self._find_up()
        self._listed_up &= up
        return up != self._listed_up

    def _find_up(self) -> frozenset[str]:
        return frozenset(
            row.vm
            for row in self._follower.view.vms.values()
            if row.state is state.VmState.UP
        )

    async def _read_list(self, now: float) -> None:
        up = self._find_up()
        answer = await self._listing.list_vms(purpose=PURPOSE)
        if answer.outcome is not table.Outcome.DONE:
            return
        listed = {one.vm: one for one in answer.machines if one.role == "worker"}
        if listed.keys() != self._machines.keys():
            log.log_change("listed workers", count=len(listed))
        self._machines = listed
        self._listed_at = now
        self._list_length = len(answer.machines)
        self._listed_up = up & listed.keys()

    def _find_unusable(self) -> frozenset[str]:
        rows = self._follower.view
        known = frozenset(
            row.vm for row in rows.vms.values() if row.state is not state.VmState.UP
        )
        if self._told_revision > rows.revisions["vm/"]:
            return known | self._unusable
        return known

    def _make_pools(
        self, accepted: document.Document
    ) -> dict[str, tuple[event.Worker, ...]]:
        """Return all workers of all pools, the unusable ones marked.

        During an outage of the VM list the last one is used: its VMs are most
        likely still there, and one that is not is taken out by its errors.
        """
        kinds = {kind.name: kind for kind in accepted.kinds}
        sizes = {pool.name: kinds[pool.kind] for pool in accepted.pools}
        unusable = self._find_unusable()
        pools: dict[str, list[event.Worker]] = {name: [] for name in sizes}
        for row in sorted(self._follower.view.vms.values(), key=lambda one: one.vm):
            machine = self._machines.get(row.vm)
            if machine is None or row.pool not in pools:
                continue
            live = machine.state is machines.MachineState.LIVE
            kind = sizes[row.pool]
            pools[row.pool].append(
                event.Worker(
                    row.vm,
                    kind.slots,
                    kind.connections,
                    live and row.vm not in unusable,
                )
            )
        return {name: tuple(workers) for name, workers in pools.items()}
