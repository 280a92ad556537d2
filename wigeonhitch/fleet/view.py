"""What the request side needs to know of the fleet: usable workers and drains.

A daemon that has stopped sending to every VM under `Usable.drains` writes
`Usable.revision` as ``drain`` into its own row, and names under ``busy`` those
of them on which it still has requests. It must have its row in the table
before it sends its first request; a daemon without a row is waited for by
nobody.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.fleet import state
from wigeonhitch.platform import machines, table

__all__ = ["Follower", "Usable", "Worker", "list_usable"]


class Worker(NamedTuple):
    """A worker that may be sent new requests."""

    vm: str
    address: str
    kind: str
    rack: str
    data_centre: str


class Usable(NamedTuple):
    """Workers by pool, and drains, as of a revision of the fleet's rows.

    Parameters
    ----------
    pools : mapping of str to tuple of Worker
        Workers that may be sent new requests.
    drains : mapping of str to int
        Number of the drain of each VM that must get no new request.
    revision : int
        Revision that this state includes.
    """

    pools: Mapping[str, tuple[Worker, ...]]
    drains: Mapping[str, int]
    revision: int


def list_usable(
    view: state.FleetView, listed: Mapping[str, machines.Machine]
) -> Usable:
    """Return the usable workers of each pool.

    A VM is usable when its row says ``up`` and the platform lists it as live.
    Whether it answers is for the request side to find out.

    Parameters
    ----------
    view : FleetView
        Rows of the fleet.
    listed : mapping of str to Machine
        The platform's list by VM.
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
    return Usable(by_pool, drains, view.revisions["vm/"])


class Follower:
    """Follows the VM rows with one read a round, and a scan after a change.

    Parameters
    ----------
    store : Table
        The platform's table.
    """

    def __init__(self, store: table.Table) -> None:
        self._store = store
        self._signal = -1
        self.view = state.FleetView()

    async def refresh(self) -> bool:
        """Read what changed; return whether the view is now up to date."""
        answer = await self._store.read([state.SIGNAL], purpose="fleet")
        if answer.outcome is not table.Outcome.DONE:
            return False
        signal = answer.rows[0].version
        if signal == self._signal:
            return True
        since = self.view.revisions["vm/"]
        result = await self._store.scan("vm/", purpose="fleet", since=since)
        if result.outcome is not table.Outcome.DONE:
            return False
        self.view.apply_scan("vm/", result)
        self._signal = signal
        return True
