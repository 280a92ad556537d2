"""In-memory state of one holder of a placement duty, and its changes.

Decisions change jobs only through `ShardState.apply_change`, which keeps the
queues, reservations and quotas consistent and records what to commit.
"""

import collections
import math
from collections.abc import Iterable, Mapping

from wigeonhitch.placement import (
    attempt,
    backlog,
    job,
    ledger,
    quarantine,
    size,
    view,
)

__all__ = ["ShardState"]

# Minimum cores and memory (GB) of a reservation: smaller ones hardly improve
# packing, and a job declared ten times too small would run for hours.
MIN_SIZE = (0.5, 0.5)
QUEUED = job.JobState.QUEUED


class ShardState:
    """Live jobs, workers, ledger rows and estimates of one shard.

    Parameters
    ----------
    shard : int
        Number of the shard.
    fence : int
        Fencing token of the duty lease.
    estimator, worker_quarantine : optional
        Size estimator and quarantine.

    Attributes
    ----------
    unusable_since : dict of str to float
        When a worker with tasks was first seen as unusable.
    cooldown_until : dict of str to float
        Until when a worker that refused a start gets no new job.
    overrun : dict of str to tuple
        Cores and memory used on a worker beyond its reservations.
    unreconciled, pending_calls : set of str
        Jobs to reconcile, and jobs that may need a call.
    dirty_pools : set of str
        Pools in which a job may have become placeable.
    held_workers : dict of str to tuple
        For each pool the job that waits for a whole worker, and that worker.
    preemptions : dict of str to tuple
        For each urgent job, until when it waits for the bulk jobs that are
        being checkpointed for it, and their names.
    """

    def __init__(
        self,
        shard: int,
        fence: int,
        estimator: size.SizeEstimator | None = None,
        worker_quarantine: quarantine.Quarantine | None = None,
    ):
        self.shard = shard
        self.fence = fence
        self.estimator = estimator or size.SizeEstimator()
        self.quarantine = worker_quarantine or quarantine.Quarantine()
        self.jobs: dict[str, attempt.Attempt] = {}
        self.ledger = ledger.Ledger()
        self.backlog = backlog.Backlog()
        self.policy: view.Policy | None = None
        self.vms: dict[str, view.Vm] = {}
        self.pools: dict[str, list[str]] = {}
        self.unusable_since: dict[str, float] = {}
        self.cooldown_until: dict[str, float] = {}
        self.overrun: dict[str, tuple[float, float]] = {}
        self.on_vm: dict[str, set[str]] = collections.defaultdict(set)
        self.groups: dict[tuple[str, str], set[str]] = collections.defaultdict(set)
        self.unreconciled: set[str] = set()
        self.pending_calls: set[str] = set()
        self.dirty_pools: set[str] = set()
        self.pool_retry_at: dict[str, float] = {}
        self.start_counts: collections.Counter[str] = collections.Counter()
        self.held_workers: dict[str, tuple[str, str]] = {}
        self.preemptions: dict[str, tuple[float, list[str]]] = {}
        self.counters: collections.Counter[str] = collections.Counter()
        self._changed: dict[str, job.Job] = {}

    def load_job(self, item: job.Job, version: int) -> None:
        """Load a job as read; the rows of the ledger are loaded separately."""
        entry = self.jobs.get(item.name)
        if entry is not None and version <= entry.version:
            return
        if entry is None:
            if item.state not in job.ENDED:
                self.jobs[item.name] = attempt.Attempt(item, version, self.fence)
                self._index(item)
            return
        entry.version = version
        self._replace(entry, item)

    def drop_job(self, name: str) -> None:
        """Remove a job that has ended or whose row was deleted."""
        entry = self.jobs.pop(name, None)
        if entry is not None:
            self._unindex(entry.job)
            self.dirty_pools.add(entry.job.asked.pool)

    def apply_change(self, entry: attempt.Attempt, new: job.Job) -> None:
        """Apply a change of a job in memory and record it for the next commit."""
        old = entry.job
        self._changed.setdefault(old.name, old)
        self.ledger.apply_change(old, new)
        self._replace(entry, new)

    def take_batch(self) -> ledger.Batch | None:
        """Return the commit of all changes since the last one, or None."""
        if not self._changed:
            return None
        changed, self._changed = self._changed, {}
        entries = [self.jobs[name] for name in changed]
        changes = [
            (changed[entry.job.name], entry.job, entry.version) for entry in entries
        ]
        return self.ledger.build(changes, self.shard)

    def confirm(self, batch: ledger.Batch, revision: int) -> None:
        """Record that a commit took effect; ended jobs are removed."""
        self.ledger.confirm(batch, revision)
        for name in batch.before:
            entry = self.jobs[name]
            entry.version = revision
            if entry.job.state in job.ENDED:
                self.counters[entry.job.state.value] += 1
                self.drop_job(name)
            else:
                self.pending_calls.add(name)

    def undo(self, batch: ledger.Batch) -> None:
        """Revert a commit that did not take effect, or may not have."""
        for name, old in batch.before.items():
            entry = self.jobs[name]
            self.ledger.apply_change(entry.job, old)
            self._replace(entry, old)

    def _replace(self, entry: attempt.Attempt, new: job.Job) -> None:
        old = entry.job
        self._unindex(old)
        if old.holds and not new.holds:
            self.dirty_pools.add(old.asked.pool)
        entry.job = new
        if (new.attempt, new.vm) != (old.attempt, old.vm) and (
            new.attempt != old.attempt or old.state is QUEUED
        ):
            entry.reset(
                start_unconfirmed=new.state in job.HOLDING and new.fence != self.fence
            )
        self._index(new)

    def _index(self, item: job.Job) -> None:
        self.unreconciled.add(item.name)
        if item.state is QUEUED:
            self.backlog.add(item)
            self.dirty_pools.add(item.asked.pool)
        elif item.state in job.HOLDING:
            self.on_vm[item.vm].add(item.name)
            self.pending_calls.add(item.name)
            if item.asked.spread:
                self.groups[(item.asked.pool, item.asked.spread)].add(item.name)

    def _unindex(self, item: job.Job) -> None:
        if item.state is QUEUED:
            self.backlog.remove(item)
        elif item.state in job.HOLDING:
            self.on_vm[item.vm].discard(item.name)
            group = (item.asked.pool, item.asked.spread)
            if group in self.groups:
                self.groups[group].discard(item.name)
                if not self.groups[group]:
                    del self.groups[group]

    def update_fleet(self, vms: Iterable[view.Vm], now: float) -> None:
        """Apply the current view of the workers."""
        current = {vm.vm: vm for vm in vms}
        if current != self.vms:
            self.dirty_pools.update(vm.pool for vm in current.values())
        self.vms = current
        self.pools = {}
        for vm in self.vms.values():
            self.pools.setdefault(vm.pool, []).append(vm.vm)
        usable = {vm.vm for vm in self.vms.values() if vm.usable}
        unusable = {
            vm for vm, names in self.on_vm.items() if names and vm not in usable
        }
        # Calls about jobs on an unusable worker are dropped from the pending ones.
        for vm in self.unusable_since.keys() & usable:
            self.pending_calls |= self.on_vm.get(vm, set())
        self.unusable_since = {vm: self.unusable_since.get(vm, now) for vm in unusable}
        for vm in unusable:
            self.unreconciled |= self.on_vm[vm]
        self.quarantine.prune(self.vms)
        for vm in [vm for vm, names in self.on_vm.items() if not names]:
            del self.on_vm[vm]
            self.overrun.pop(vm, None)

    def update_overrun(self, vms: Iterable[str]) -> None:
        """Update by how much the tasks of workers exceed their reservations."""
        for vm in vms:
            cores = memory = 0.0
            for name in self.on_vm.get(vm, ()):
                entry = self.jobs[name]
                if entry.job.holds and entry.is_alive:
                    cores += max(0.0, entry.listed.used_cores - entry.job.cores)
                    memory += max(0.0, entry.listed.used_memory - entry.job.memory)
            self.overrun[vm] = (cores, memory)

    def free_capacity(self, vm: str) -> tuple[float, float]:
        """Return the cores and memory that are neither reserved nor overrun."""
        capacity = self.vms[vm]
        reserved = self.ledger.reservation(vm).total
        overrun = self.overrun.get(vm, (0.0, 0.0))
        return (
            capacity.cores - reserved[0] - overrun[0],
            capacity.memory - reserved[1] - overrun[1],
        )

    def required_size(self, item: job.Job) -> tuple[float, float]:
        """Return the size to reserve for a job: the estimate within its limits.

        An estimate above the pool's VM size or the team's quota would block the
        job for ever, so it is capped; a kill for lack of memory raises
        ``floor``.
        """
        asked = item.asked
        sizing_key = asked.sizing_key
        cores, memory = self.estimator.estimate(sizing_key, asked.cores, asked.memory)
        cores = max(cores, MIN_SIZE[0])
        memory = max(memory, item.floor, MIN_SIZE[1])
        limits = self.max_size(item)
        return min(cores, limits[0]), min(memory, limits[1])

    def max_size(self, item: job.Job) -> tuple[float, float]:
        """Return the largest size that a job can ever get."""
        sizes = [
            self.policy.kinds.get(item.asked.pool),
            self.policy.teams.get(item.asked.team),
        ]
        limits = [size for size in sizes if size is not None]
        cores = min((size.cores for size in limits), default=math.inf)
        return cores, min((size.memory for size in limits), default=math.inf)

    def failure_domain(self, vm: str) -> str:
        """Return the failure domain of a worker, as defined by its pool."""
        item = self.vms.get(vm)
        if item is None:
            return ""
        spread = self.policy.spread.get(item.pool, "rack")
        return item.rack if spread == "rack" else item.data_centre

    def count_by_domain(self, item: job.Job) -> Mapping[str, int]:
        """Return the number of jobs of the same spread group in each domain."""
        names = self.groups.get((item.asked.pool, item.asked.spread), ())
        return collections.Counter(
            self.failure_domain(self.jobs[name].job.vm) for name in names
        )
