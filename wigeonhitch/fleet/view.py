"""View of the fleet for request routing: usable workers and draining VMs.

A daemon that has stopped sending to every VM in `UsableWorkers.drains` writes
`UsableWorkers.revision` as ``drain`` into its own row, and lists under ``busy``
those of them on which it still has requests. It must have its row in the table
before it sends its first request, because a planned stop does not wait for a
daemon without a row.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.fleet import state
from wigeonhitch.platform import machines, table

__all__ = ["Follower", "UsableWorkers", "Worker", "list_usable"]


class Worker(NamedTuple):
    """A worker that may be sent new requests."""

    vm: str
    address: str
    kind: str
    rack: str
    data_centre: str


class UsableWorkers(NamedTuple):
    """Usable workers by pool, and drains, as of a revision of the fleet's rows.

    Parameters
    ----------
    pools : mapping of str to tuple of Worker
        Workers that may be sent new requests.
    drains : mapping of str to int
        Number of the drain of each VM that must get no new request.
    revision : int
        Table revision up to which rows are included.
    """

    pools: Mapping[str, tuple[Worker, ...]]
    drains: Mapping[str, int]
    revision: int


def list_usable(
    view: state.FleetView, listed: Mapping[str, machines.Machine]
) -> UsableWorkers:
    """Return the usable workers of each pool.

    A VM is usable if its row says ``up`` and the platform lists it as live. Its
    health is not checked here; the request side detects failures.

    Parameters
    ----------
    view : FleetView
        Rows of the fleet.
    listed : mapping of str to Machine
        The platform's VM list, by VM.
    """
    pools: dict[str, list[Worker]] = {}
    drains = {}
    for row in sorted(view.vms.values(), key=lambda row: row.vm):
        if row.state is not state.VmState.UP:
            drains[row.vm] = row.version
            continue
        machine = listed.get(row.vm)
        if machine and machine.state is machines.MachineState.LIVE:
            worker = Worker(
                row.vm,
                machine.address,
                machine.kind,
                machine.rack,
                machine.data_centre,
            )
            pools.setdefault(row.pool, []).append(worker)
    by_pool = {pool: tuple(workers) for pool, workers in pools.items()}
    return UsableWorkers(by_pool, drains, view.revisions["vm/"])


class Follower:
    """Polls the VM rows: one read per refresh, and a scan after a change.

    Parameters
    ----------
    store : Table
        The platform's table.
    """

    def __init__(self, store: table.Table) -> None:
        self._store = store
        self._signal_version = -1
        self.view = state.FleetView()

    async def refresh(self) -> bool:
        """Read all changes; return whether the view is now up to date."""
        answer = await self._store.read([state.SIGNAL], purpose="fleet")
        if answer.outcome is not table.Outcome.DONE:
            return False
        signal_version = answer.rows[0].version
        if signal_version == self._signal_version:
            return True
        since = self.view.revisions["vm/"]
        result = await self._store.scan("vm/", purpose="fleet", since=since)
        if result.outcome is not table.Outcome.DONE:
            return False
        self.view.apply_scan("vm/", result)
        self._signal_version = signal_version
        return True
