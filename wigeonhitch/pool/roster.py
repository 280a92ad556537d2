"""Which VMs a pool has, which of them are closed, and which have ended unseen.

A VM is known from its entry or, at a takeover, from its roster row. The fleet's leader
tells which VMs are closed and which have ended. No I/O and no clock.
"""

from collections.abc import Callable, Iterable, Mapping

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, workers
from wigeonhitch.pool import ledger, vm

__all__ = ["Roster"]

MAX_ENDED_INCARNATIONS = 1024
"""Ended incarnations that are remembered, so that late entries of them are ignored."""


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
        self._vms_by_worker: dict[str, list[vm.Vm]] = {}
        """Known incarnations of each worker, by the worker's id.

        The order of their starts isn't known until one of them answers a call.
        """
        self._elsewhere: set[str] = set()
        """Workers whose entry names another pool."""
        self._ended_incarnations: dict[tuple[str, int], float] = {}
        """Worker and start of incarnations of which a later one has answered, and this
        daemon's time of that answer."""
        self._closed_workers: frozenset[str] = frozenset()
        self._ended_workers: Mapping[str, vm.VmEnd] = {}

    def find_by_worker(self, worker: str) -> vm.Vm | None:
        """Return the incarnation of a worker that was learned last."""
        known = self._vms_by_worker.get(worker)
        return known[-1] if known else None

    def find_incarnation(self, worker: str, start_ms: int) -> vm.Vm | None:
        """Return the incarnation of a worker that reports a start, if it is known."""
        for machine in reversed(self._vms_by_worker.get(worker, ())):
            if machine.entry.start_ms == start_ms and not machine.is_placeholder:
                return machine
        return None

    def list_by_worker(self, worker: str) -> tuple[vm.Vm, ...]:
        """Return the known incarnations of a worker."""
        return tuple(self._vms_by_worker.get(worker, ()))

    def select_for_renewal(self, worker: str) -> vm.Vm | None:
        """Return the VM to send a worker's next renewal to, None if there is none.

        The known incarnations take turns, as their addresses may differ.
        """
        known = reversed(self.list_by_worker(worker))
        callable_vms = (machine for machine in known if not machine.is_suspended)
        return min(callable_vms, key=lambda machine: machine.called_at, default=None)

    def has_ended(self, worker: str, start_ms: int, sent: float = 0.0) -> bool:
        """Return whether an incarnation has ended, as a later one has answered.

        With ``sent``, the time of a call that it seems to have answered: an ended one
        can't answer a later call, so that is another one with the same start.
        """
        if self.find_incarnation(worker, start_ms) is not None:
            return False
        ended_at = self._ended_incarnations.get((worker, start_ms))
        return (ended_at is not None and sent <= ended_at) or any(
            machine.is_placeholder and machine.follows_ms == start_ms
            for machine in self.list_by_worker(worker)
        )

    def on_replaced(self, machine: vm.Vm, now: float) -> None:
        """Record that an incarnation has ended, as a later one has answered."""
        start_ms = machine.follows_ms or machine.entry.start_ms
        key = (machine.entry.id, start_ms)
        self._ended_incarnations.pop(key, None)
        self._ended_incarnations[key] = now
        if len(self._ended_incarnations) > MAX_ENDED_INCARNATIONS:
            del self._ended_incarnations[next(iter(self._ended_incarnations))]

    def on_worker(self, entry: entries.WorkerEntry, now: float) -> bool:
        """Apply a worker's entry, and return whether its VM has begun to leave.

        Workers of other pools are ignored, but that a worker may have left this one.
        """
        if entry.pool != self._name:
            self._on_entry_of_other_pool(entry)
            return False
        self._elsewhere.discard(entry.id)
        for known in self.list_by_worker(entry.id):
            known.is_suspended = False
        machine = self.find_incarnation(entry.id, entry.start_ms)
        if machine is not None:
            entry = entry._replace(restarts=machine.entry.restarts)
        id = entry.incarnation
        if id in self._ended_workers:
            return False  # its entry in the store expires by itself
        if machine is None:
            self._join(entry, now)
            self._unlist(self.list_by_worker(entry.id)[:-1])
            return False
        begins_to_leave = entry.leaving and not machine.entry.leaving
        if begins_to_leave:
            self._log_event("VM leaving", vm=id, remaining=entry.remaining)
        machine.entry = entry
        machine.listed = True
        machine.is_assumed = False
        # An entry may have been written by an earlier incarnation with the same start.
        if entry.clock is not None and not (entry.start_ms and machine.answered):
            machine.update_clock(entry.clock, now)
        if machine.is_contested:
            others = self.list_by_worker(entry.id)
            self._unlist(other for other in others if other is not machine)
        return begins_to_leave

    def _on_entry_of_other_pool(self, entry: entries.WorkerEntry) -> None:
        """Apply the entry of a worker in another pool, some of whose VMs may be known.

        Calls to an incarnation that has joined another pool would carry the fencing
        token of this pool. Until the entry names this pool again, or the leases have
        lapsed, the worker isn't called.
        """
        self._elsewhere.add(entry.id)
        known = self.list_by_worker(entry.id)
        self._unlist(known)
        for machine in known:
            if not (machine.entry.start_ms or machine.is_placeholder):
                continue  # without starts, a worker that is restarted has another id
            if not machine.is_suspended:
                self._log_event("VM suspended", vm=machine.id, pool_of_entry=entry.pool)
            machine.is_suspended = True

    def _unlist(self, machines: Iterable[vm.Vm]) -> None:
        for machine in machines:
            if machine.listed:
                machine.listed = False
                self._log_event(
                    "VM entry removed", vm=machine.id, runs=len(machine.runs)
                )

    def on_worker_removed(self, worker: str) -> None:
        """Record that a worker's entry was removed; its runs may go on."""
        self._elsewhere.discard(worker)
        self._unlist(self.list_by_worker(worker))

    def on_row(
        self, id: str, address: str, version: int, now: float, start_ms: int = 0
    ) -> None:
        """Apply a roster row at the takeover: the VM may run tasks."""
        self.unresolved.add(id)
        self._ledger.on_roster_row(id, version)
        if id in self._vms:
            self._vms[id].recorded = True
            return
        worker, _, name = id.rpartition("@") if start_ms else (id, "", "")
        restarts = int(name.partition(".")[2] or 0)
        entry = entries.WorkerEntry(
            *(worker, self._name, address, "", False, model.Room(), ()),
            start_ms=start_ms,
            restarts=restarts,
        )
        machine = vm.Vm(entry, now)
        machine.listed = False
        machine.recorded = True
        self._vms[id] = machine
        # An entry is more likely than a row to be that of the current incarnation.
        self._vms_by_worker.setdefault(worker, []).insert(0, machine)
        machine.is_suspended = start_ms > 0 and worker in self._elsewhere
        self._update_contested(worker)

    def add_placeholder(self, former: vm.Vm, now: float) -> vm.Vm:
        """Add a VM that stands for the next incarnation of an ended VM's worker.

        It is recorded, so that a later leader asks the worker too.
        """
        for known in self.list_by_worker(former.entry.id):
            if known.is_placeholder:
                return known
        entry = former.entry._replace(
            start_ms=0, clock=None, leaving=False, remaining=None
        )
        machine = self._add(vm.Vm(entry, now))
        machine.listed = False
        machine.follows_ms = former.entry.start_ms
        machine.is_suspended = former.entry.id in self._elsewhere
        self._ledger.add_vm(machine.id, entry.address)
        return machine

    def add_assumed(self, known: vm.Vm, reply: workers.HoldReply, now: float) -> vm.Vm:
        """Add the incarnation that has answered a call, before its entry is read.

        Its resources and its pool aren't known until then: no task is started on it,
        and it isn't called.
        """
        latest = self.find_incarnation(known.entry.id, reply.start_ms)
        entry = known.entry._replace(
            start_ms=reply.start_ms,
            restarts=latest.entry.restarts + 1 if latest else 0,
            clock=reply.clock,
            leaving=False,
            remaining=None,
        )
        machine = self._join(entry, now)
        machine.listed = False
        machine.is_assumed = machine.is_suspended = True
        return machine

    def _join(self, entry: entries.WorkerEntry, now: float) -> vm.Vm:
        """Add an incarnation of a worker, and record it for later leaders."""
        machine = self._add(vm.Vm(entry, now))
        machine.closed = entry.reported_incarnation in self._closed_workers
        self._ledger.add_vm(machine.id, entry.address, entry.start_ms)
        self._log_event(
            "VM joined",
            vm=machine.id,
            rack=machine.rack,
            start_ms=entry.start_ms,
            clock=entry.clock,
        )
        return machine

    def _add(self, machine: vm.Vm) -> vm.Vm:
        worker = machine.entry.id
        self._vms[machine.id] = machine
        self._vms_by_worker.setdefault(worker, []).append(machine)
        self._update_contested(worker)
        return machine

    def _update_contested(self, worker: str) -> None:
        known = self._vms_by_worker[worker]
        for machine in known:
            machine.is_contested = len(known) > 1

    def set_closed(
        self, ids: frozenset[str], ended: Mapping[str, vm.VmEnd], version: int
    ) -> list[vm.Vm]:
        """Set the closed and the ended workers, and return the VMs to drop, in order.

        `update_closed` has to follow once these are dropped.
        """
        self.closings_version = version
        self._closed_workers, self._ended_workers = ids, ended
        # A mark doesn't tell which of the incarnations that report one start has ended.
        dropped = [self._vms[id] for id in sorted(ended.keys() & self._vms.keys())]
        # An ordered end is no sign that a rack is lost; the others together may be.
        dropped.sort(key=lambda machine: ended[machine.id] is not vm.VmEnd.ORDERED)
        for machine in dropped:
            machine.is_silent = ended[machine.id] is not vm.VmEnd.ORDERED
        return dropped

    def update_closed(self) -> None:
        """Close and open the VMs as last set."""
        for machine in self._vms.values():
            name = machine.entry.reported_incarnation
            if machine.closed != (name in self._closed_workers):
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
        if machine is None:
            return
        worker = machine.entry.id
        self._vms_by_worker[worker].remove(machine)
        self._update_contested(worker)
        if not self._vms_by_worker[worker]:
            del self._vms_by_worker[worker]

    def clear_unseen_ends(self) -> None:
        """Remove the rows of VMs that ended unseen, once their tasks are recorded."""
        for id in self.unseen_ends - self._vms.keys():
            self._ledger.remove_vm(id)
        self.unseen_ends.clear()
