"""State of the fleet leader, which orders moves and maintenance.

It gives orders about a VM only when the pool's leader reports that no task runs there
and none will start. The pool's leader keeps a closed worker closed, also across a
change of leaders, until the row that closes it is removed.
"""

from collections.abc import Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.maintenance import record
from wigeonhitch.platform import entries, fleet
from wigeonhitch.pool import record as pool_record

__all__ = ["Close", "FleetState", "Maintain", "Move", "Moving", "Open", "Show"]


CLOSING_RETENTION_SECONDS = 5.0
"""Minimum retention of the row of an ended worker, so that the successor of a pool
leader that was just replaced still reads it."""


ARRIVAL_GRACE_SECONDS = 0.7
"""Time from the arrival of a VM in a pool until tasks start on it and the pool's status
shows the remaining unmet demand."""


GONE_AFTER_SECONDS = 1.5
"""Minimum time for which a VM must be missing from the lists of VMs to count as gone:
a list that changes between its pages may leave one out."""

GONE_AFTER_LISTS = 3
"""Minimum number of successive lists without it, since lists may fail for longer."""

MAX_INCARNATIONS_PER_WORKER = 4
"""Number of the last listed incarnations of a worker that are marked as ended once its
VM is down. Which one is up isn't certain while entries arrive late; without a limit, a
VM that is never listed as down would cause a row for each restart of its worker."""


class Close(NamedTuple):
    """Close a worker: start no task there and drain it."""

    closing: record.Closing


class Open(NamedTuple):
    """Reopen a worker for tasks, or remove the row of one that has ended."""

    worker: str


class Maintain(NamedTuple):
    """Order the maintenance of a VM."""

    vm: str
    wave: int
    worker: str


class Move(NamedTuple):
    """Order the move of a VM to a pool."""

    vm: str
    pool: str
    worker: str


class Moving(NamedTuple):
    """Target pool of a VM that is moving, and the time of the order or arrival."""

    pool: str
    since: float


class Show(NamedTuple):
    """Publish a wave's state to operators."""

    wave: int
    completed: bool


class FleetState:
    """Known state of VMs, pools, waves and orders.

    Parameters
    ----------
    now : float
        This daemon's time at the takeover.
    max_concurrent_moves : int
        Maximum number of VMs that move to another pool at once.
    """

    def __init__(self, now: float, max_concurrent_moves: int = 32) -> None:
        self.took_over_at = now
        self.max_concurrent_moves = max_concurrent_moves
        self.vms: dict[str, fleet.Vm] = {}
        self.listed_at = 0.0
        self._lists = 0
        """Number of lists of VMs so far."""
        self._last_listings: dict[str, tuple[float, int]] = {}
        """Time and number of the last list with each VM."""
        self._first_listed_at: float | None = None
        self.pools: dict[str, model.Pool] = {}
        self.pool_statuses: dict[str, pool_record.PoolStatus] = {}
        self.closings: dict[str, record.Closing] = {}
        self.closed_since: dict[str, float] = {}
        self.closed_at_version: dict[str, int] = {}
        """Version of the store from which on each worker is closed."""
        self.waves: dict[int, entries.WaveOrder] = {}
        self.wave_started_at: dict[int, float] = {}
        self.progress: dict[int, record.WaveRecord] = {}
        self.shown: dict[int, bool] = {}
        self.moving: dict[str, Moving] = {}
        """VMs whose move was ordered and that have not arrived yet."""
        self.arrived: dict[str, Moving] = {}
        """VMs that have just arrived in a pool; its status doesn't include them yet."""
        self.joined_at: dict[str, float] = {}
        """Time at which each VM that was moved under this leader joined its pool."""
        self.initial_sizes: dict[str, int] = {}
        """Number of VMs that each pool had when it was first seen, as operators set
        it."""
        self.idle_since: dict[str, float] = {}
        """Time since which a pool has had free capacity for more than one VM's work."""
        self.last_ordered_at: dict[str, float] = {}
        """Time of the last order about each VM."""
        self.last_ordered_worker: dict[str, str] = {}
        """Worker of each VM at its last order."""
        self._vm_by_worker: dict[str, str] = {}
        """VM of each worker that was listed as up, until the worker is marked ended."""
        self._incarnations: dict[str, tuple[str, ...]] = {}
        """Last listed incarnations of each worker that reports its start, by its id."""
        self._named_since: dict[str, float] = {}
        """Time since which each VM's worker has been listed by its present name."""
        self.worker_starts: dict[str, int] = {}
        """Start in the last entry of each worker that reports it."""
        self._unregistered: set[str] = set()
        """Those of them whose entry was removed."""
        self._blocked_until: dict[str, float] = {}
        self._refused_moves: dict[tuple[str, str], tuple[str, ...]] = {}
        """Labels of each VM, which name its kind, at a refused move to a pool."""

    def on_order_by_earlier_leader(self, vm: str, until: float) -> None:
        """Record that an earlier leader gave an order about a VM.

        Orders of two leaders about one VM must be at least a lease apart, so no order
        is given about it up to ``until``. Orders about all other VMs can be given at
        once: waiting that long for all VMs would stop moves for 3 s at each change of
        leader, most of a burst of 4 to 8 s.
        """
        self._blocked_until[vm] = until

    def on_move_refused(self, vm: str, pool: str) -> None:
        """Record that a VM can't move to a pool, which has VMs of other kinds."""
        self._refused_moves[vm, pool] = self._get_labels(vm)

    def is_move_refused(self, vm: str, pool: str) -> bool:
        """Return whether a VM can't move to a pool.

        It may come back from a crash as one of another kind.
        """
        return self._refused_moves.get((vm, pool)) == self._get_labels(vm)

    def _get_labels(self, vm: str) -> tuple[str, ...]:
        listed = self.vms.get(vm)
        return listed.labels if listed else ()

    def on_order_abandoned(self, vm: str) -> None:
        """Record that a planned order was not given or not carried out."""
        self.moving.pop(vm, None)

    def may_order_vm(self, vm: str, now: float) -> bool:
        """Return whether no earlier leader's order about a VM is too recent."""
        return now >= self._blocked_until.get(vm, 0.0)

    def on_worker(self, entry: entries.WorkerEntry) -> None:
        """Record the start of a worker that reports it.

        The entry read last counts, whatever its start: starts are times of day, which
        may go back. One that was written late or by a foreign writer counts until the
        next entry of the worker that is up.
        """
        if entry.start_ms:
            self.worker_starts[entry.id] = entry.start_ms
        self._unregistered.discard(entry.id)

    def on_worker_removed(self, worker: str) -> None:
        """Record that a worker's entry was removed; the worker may be up."""
        if worker in self.worker_starts:
            self._unregistered.add(worker)

    def on_vms(
        self,
        vms: tuple[fleet.Vm, ...],
        now: float,
        known_starts: Mapping[str, int] | None = None,
    ) -> None:
        """Update the VMs from a list that was requested at ``now``.

        The platform lists a worker by its id, which may stay the same over a restart.
        ``known_starts`` are the `worker_starts` as of the request: the incarnation of
        that start has ended on a VM that the list doesn't show as up. A VM that is up
        with a worker marked as ended gets the bare id as its name: no order is given
        about it, and the mark expires.
        """
        starts = known_starts or {}
        for worker in self._unregistered - {vm.worker for vm in vms}:
            self.worker_starts.pop(worker, None)
            self._incarnations.pop(worker, None)
        self._unregistered &= self.worker_starts.keys()
        former_names = {vm.id: vm.worker for vm in self.vms.values()}
        self.vms = {}
        for vm in vms:
            name = entries.name_incarnation(vm.worker, starts.get(vm.worker, 0))
            is_up = vm.state is fleet.VmState.UP and vm.worker != ""
            if is_up and self._is_marked(name):
                # Of a later incarnation, maybe with the same start.
                name = vm.worker
            self.vms[vm.id] = vm._replace(worker=name)
            if former_names.get(vm.id) != name:
                self._named_since[vm.id] = now
            if is_up:
                self._record_up(vm, name)
        self.listed_at = now
        self._lists += 1
        self._last_listings.update(dict.fromkeys(self.vms, (now, self._lists)))
        if self._first_listed_at is None:
            self._first_listed_at = now
        for id, moving in list(self.moving.items()):
            vm = self.vms.get(id)
            if vm is not None and vm.state is fleet.VmState.DOWN and now > moving.since:
                # It may never arrive, and others may be moved in its place.
                del self.moving[id]
                continue
            arrived = vm is not None and vm.state is fleet.VmState.UP
            if vm is None or (arrived and now > moving.since):
                del self.moving[id]
                self.arrived[id] = moving._replace(since=now)
                self.joined_at[id] = now
        self.joined_at = {id: at for id, at in self.joined_at.items() if id in self.vms}
        for id, moving in list(self.arrived.items()):
            if now - moving.since > ARRIVAL_GRACE_SECONDS:
                del self.arrived[id]

    def _is_marked(self, worker: str) -> bool:
        """Return whether a worker is marked as ended."""
        return worker in self.closings and self.closings[worker].ended

    def _record_up(self, vm: fleet.Vm, name: str) -> None:
        """Record under which name a VM that is listed with its worker's id is up."""
        if name != vm.worker:
            self._vm_by_worker.pop(vm.worker, None)
            self._add_incarnation(vm.worker, name)
        if self.is_identified(name) and not self._is_marked(name):
            self._vm_by_worker[name] = vm.id

    def _add_incarnation(self, worker: str, name: str) -> None:
        """Add an incarnation as the last listed one of a worker; forget old ones."""
        former = (
            other for other in self._incarnations.get(worker, ()) if other != name
        )
        names = (*former, name)
        for forgotten in names[:-MAX_INCARNATIONS_PER_WORKER]:
            self._vm_by_worker.pop(forgotten, None)
        self._incarnations[worker] = names[-MAX_INCARNATIONS_PER_WORKER:]

    def is_identified(self, worker: str) -> bool:
        """Return whether a name tells the incarnation, where workers report starts.

        A worker's bare id is the name of a VM from the list until the start is known.
        The pool's leader has no worker of that name.
        """
        return worker not in self.worker_starts

    def is_gone(self, vm: str) -> bool:
        """Return whether a VM is missing from enough lists to be gone for good."""
        if self._first_listed_at is None:
            return False
        listed_at, number = self._last_listings.get(vm, (self._first_listed_at, 0))
        return (
            self.listed_at - listed_at >= GONE_AFTER_SECONDS
            and self._lists - number >= GONE_AFTER_LISTS
        )

    def on_wave(self, wave: entries.WaveOrder, now: float) -> None:
        """Record an operator's order of a wave."""
        if wave.number not in self.waves:
            self.wave_started_at[wave.number] = now
        self.waves[wave.number] = wave
        self.progress.setdefault(wave.number, record.WaveRecord())

    def on_wave_record(self, number: int, stored: record.WaveRecord) -> None:
        """Record the stored progress of a wave, which may lack what is known here."""
        known = self.progress.get(number, record.WaveRecord())
        self.progress[number] = stored.add_results(known)

    def on_closing(self, closing: record.Closing, now: float, version: int = 0) -> None:
        """Record that a worker is closed by a row of this version."""
        self.closings[closing.worker] = closing
        self.closed_at_version[closing.worker] = version
        if closing.ended or closing.worker not in self.closed_since:
            self.closed_since[closing.worker] = now
        if closing.ended:
            self._vm_by_worker.pop(closing.worker, None)

    def on_reopened(self, worker: str) -> None:
        """Record that a worker is no longer closed."""
        self.closings.pop(worker, None)
        self.closed_since.pop(worker, None)
        self.closed_at_version.pop(worker, None)

    def is_standby(self, pool: str) -> bool:
        """Return whether a pool is a standby pool, whose VMs are off."""
        known = self.pools.get(pool)
        return known is not None and known.standby

    def is_empty(self, vm: fleet.Vm) -> bool:
        """Return whether no task runs on a VM and none will start."""
        if self.is_standby(vm.pool) or not vm.worker:
            return True
        status = self.pool_statuses.get(vm.pool)
        if status is None or vm.worker not in self.closings:
            return False
        # A status older than the closing may miss tasks that have started since.
        is_current = status.closings >= self.closed_at_version[vm.worker]
        return is_current and vm.worker in status.empty

    def list_ended_workers(self) -> list[record.Closing]:
        """Return the workers that have ended and are not marked so yet.

        A worker is one incarnation of its VM, named by its id and, where workers report
        it, by its start. Once the VM is listed as down, moving, under maintenance or
        with a worker of another id, the former worker never comes back: it was known
        when the list was requested. A VM missing from the list proves nothing: a list
        that changes between its pages may leave one out. Nor does another start under
        the same id: its entry may have been written before that of the worker that is
        up, and a mark on that one would have its tasks started elsewhere.

        Until the pool's leader learns of the end, it waits for the leases of all tasks
        that ran there; a leader that has just taken over waits for the longest lease
        that any leader grants.
        """
        closings = {closing.worker: closing for closing in self.closings.values()}
        for worker, vm in self._vm_by_worker.items():
            closings.setdefault(worker, record.Closing(worker, vm))
        return [
            closing._replace(ended=True)
            for closing in closings.values()
            if not closing.ended and self._has_ended(closing)
        ]

    def _has_ended(self, closing: record.Closing) -> bool:
        """Return whether the list of VMs shows that a worker has ended."""
        vm = self.vms.get(closing.vm)
        if vm is None:
            return False
        if vm.state is not fleet.VmState.UP:
            return True
        return vm.worker != "" and entries.has_replaced(vm.worker, closing.worker)

    def is_closing(self, vm: str) -> bool:
        """Return whether the worker of a VM is closed and has not ended."""
        return any(
            closing.vm == vm and not closing.ended for closing in self.closings.values()
        )

    def count_unavailable(self, pool: str) -> int:
        """Return how many VMs of a pool are being drained or aren't up."""
        closing_vms = {
            closing.vm for closing in self.closings.values() if not closing.ended
        }
        return sum(
            1
            for vm in self.vms.values()
            if vm.pool == pool
            and (vm.id in closing_vms or vm.state is not fleet.VmState.UP)
        )

    def list_expired_closings(self, now: float) -> list[str]:
        """Return ended workers whose rows have outlived the retention period.

        Without its VM's entry in the list, a worker has ended only if the VM is gone.
        A closing by the bare id is of no use once the start of the worker is known. One
        of a worker which may be up stays until another name under its id has lasted: an
        entry that is read late gives the VM another name for a while.
        """
        live_workers = {vm.worker for vm in self.vms.values()}
        return [
            worker
            for worker, since in self.closed_since.items()
            if worker not in live_workers
            and (
                now - since > CLOSING_RETENTION_SECONDS
                or not self.is_identified(worker)
            )
            and self._is_listed_or_gone(self.closings[worker].vm)
            and not self._may_be_up(self.closings[worker], now)
        ]

    def _may_be_up(self, closing: record.Closing, now: float) -> bool:
        """Return whether a closed worker may be up, though its VM has another name."""
        vm = self.vms.get(closing.vm)
        if closing.ended or vm is None or self._has_ended(closing):
            return False
        named_since = self._named_since.get(vm.id, 0.0)
        is_recent = now - named_since <= CLOSING_RETENTION_SECONDS
        return is_recent and self.is_identified(closing.worker)

    def _is_listed_or_gone(self, vm: str) -> bool:
        return vm in self.vms or self.is_gone(vm)
