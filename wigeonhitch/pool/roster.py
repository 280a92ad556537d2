"""Which VMs a pool has, which of them are closed, and which have ended unseen.

A VM is known from its entry or, at a takeover, from its roster row. The fleet's leader
tells which VMs are closed and which have ended. No I/O and no clock.
"""

from collections.abc import Callable, Mapping

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries
from wigeonhitch.pool import ledger, vm

__all__ = ["Roster"]


class Roster:
    """The VMs of one pool, as entries, roster rows and closings tell them.

    Parameters
    ----------
    name : str
        The pool.
    vms : dict
        The VMs by id; the roster adds them and removes them.
    pool_ledger : ledger.Ledger
        Where the VMs are recorded for later leaders.
    log_event : callable
        Writes a log line; takes the text and the fields.
    """

    def __init__(
        self,
        name: str,
        vms: dict[str, vm.Vm],
        pool_ledger: ledger.Ledger,
        log_event: Callable[..., None],
    ) -> None:
        self._name = name
        self._vms = vms
        self._ledger = pool_ledger
        self._log_event = log_event
        self.unresolved: set[str] = set()
        """VMs that an earlier leader may have used and that aren't reconciled yet."""
        self.unseen_ends: set[str] = set()
        """Such VMs that have ended, or can't be reached, with unknown runs."""
        self.closings_version = 0
        """The store's version up to which the closed VMs are known."""
        self._vm_by_worker: dict[str, vm.Vm] = {}
        """Last known incarnation of each worker, by the worker's id."""
        self._closed_workers: frozenset[str] = frozenset()
        self._ended_workers: Mapping[str, vm.VmEnd] = {}

    def find_by_worker(self, worker: str) -> vm.Vm | None:
        """Return the last known incarnation of a worker."""
        return self._vm_by_worker.get(worker)

    def on_worker(self, entry: entries.WorkerEntry, now: float) -> bool:
        """Apply a worker's entry, and return whether its VM has begun to leave.

        Workers of other pools are ignored.
        """
        id = entry.incarnation
        machine = self._vms.get(id)
        if id in self._ended_workers:
            return False  # its entry in the store expires by itself
        if entry.pool != self._name:
            if machine is not None:
                machine.listed = False
            return False
        if machine is None:
            machine = self._add(vm.Vm(entry, now))
            machine.closed = id in self._closed_workers
            self._ledger.add_vm(id, entry.address, entry.start_ms)
            self._log_event(
                "VM joined",
                vm=id,
                rack=machine.rack,
                start_ms=entry.start_ms,
                clock=entry.clock,
            )
            return False
        begins_to_leave = entry.leaving and not machine.entry.leaving
        if begins_to_leave:
            self._log_event("VM leaving", vm=id, remaining=entry.remaining)
        machine.entry = entry
        machine.listed = True
        machine.is_assumed = False
        if entry.clock is not None:
            machine.update_clock(entry.clock, now)
        return begins_to_leave

    def on_worker_removed(self, worker: str) -> None:
        """Record that a worker's entry was removed; its runs may go on."""
        machine = self._vm_by_worker.get(worker)
        if machine is not None and machine.listed:
            machine.listed = False
            self._log_event("VM entry removed", vm=machine.id, runs=len(machine.runs))

    def on_row(
        self, id: str, address: str, version: int, now: float, start_ms: int = 0
    ) -> vm.Vm | None:
        """Apply a roster row at the takeover: the VM may run tasks.

        Return a VM that has ended, as a later incarnation of its worker is known.
        """
        self.unresolved.add(id)
        self._ledger.on_roster_row(id, version)
        if id in self._vms:
            self._vms[id].recorded = True
            return None
        worker = id.removesuffix(f"@{start_ms}") if start_ms else id
        entry = entries.WorkerEntry(
            worker, self._name, address, "", False, model.Room(), (), start_ms=start_ms
        )
        machine = vm.Vm(entry, now)
        machine.listed = False
        machine.recorded = True
        known = self._vm_by_worker.get(worker)
        self._vms[id] = machine
        if known is not None and known.entry.start_ms > start_ms:
            return machine
        self._vm_by_worker[worker] = machine
        return known

    def add_placeholder(self, former: vm.Vm, now: float) -> vm.Vm:
        """Add a VM that stands for the next incarnation of an ended VM's worker.

        It is recorded, so that a later leader asks the worker too.
        """
        entry = former.entry._replace(
            start_ms=0, clock=None, leaving=False, remaining=None
        )
        machine = self._add(vm.Vm(entry, now))
        machine.listed = False
        machine.follows_ms = former.entry.start_ms
        self._ledger.add_vm(machine.id, entry.address)
        return machine

    def _add(self, machine: vm.Vm) -> vm.Vm:
        self._vms[machine.id] = self._vm_by_worker[machine.entry.id] = machine
        return machine

    def set_closed(
        self, ids: frozenset[str], ended: Mapping[str, vm.VmEnd], version: int
    ) -> list[vm.Vm]:
        """Set the closed and the ended workers, and return the VMs to drop, in order.

        `update_closed` has to follow once these are dropped.
        """
        self.closings_version = version
        self._closed_workers, self._ended_workers = ids, ended
        dropped = [self._vms[id] for id in sorted(ended.keys() & self._vms.keys())]
        # An ordered end is no sign that a rack is lost; the others together may be.
        dropped.sort(key=lambda machine: ended[machine.id] is not vm.VmEnd.ORDERED)
        for machine in dropped:
            machine.is_silent = ended[machine.id] is not vm.VmEnd.ORDERED
        return dropped

    def update_closed(self) -> None:
        """Close and open the VMs as last set."""
        for machine in self._vms.values():
            if machine.closed != (machine.id in self._closed_workers):
                machine.closed = not machine.closed
                self._log_event(
                    "VM closed" if machine.closed else "VM open", vm=machine.id
                )

    def get_end(self, id: str) -> vm.VmEnd | None:
        """Return how a worker has ended, as far as the fleet's leader has told."""
        return self._ended_workers.get(id)

    def on_ended(self, id: str, end: vm.VmEnd) -> None:
        """Record that a VM has ended; its runs may be unknown.

        It stays among the VMs until it is removed.
        """
        if id in self.unresolved and end is not vm.VmEnd.ORDERED:
            self.unseen_ends.add(id)
        self.unresolved.discard(id)

    def remove(self, id: str) -> None:
        """Remove a VM; its row is kept while its runs are unknown."""
        if id not in self.unseen_ends:
            self._ledger.remove_vm(id)
        machine = self._vms.pop(id, None)
        if machine is not None and self._vm_by_worker.get(machine.entry.id) is machine:
            del self._vm_by_worker[machine.entry.id]

    def clear_unseen_ends(self) -> None:
        """Remove the rows of VMs that ended unseen, once their tasks are recorded."""
        for id in self.unseen_ends - self._vms.keys():
            self._ledger.remove_vm(id)
        self.unseen_ends.clear()
