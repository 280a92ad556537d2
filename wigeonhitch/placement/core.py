"""Decisions of one placement duty: takes events, returns commits and calls.

Does no I/O and reads no clock: times are arguments, in seconds of the table's
clock as the runner estimates it, which also counts while the process is suspended.
"""

from collections.abc import Collection, Iterable, Sequence

from wigeonhitch.placement import (
    calls,
    job,
    ledger,
    quarantine,
    reconciliation,
    scheduling,
    size,
    state,
    view,
)
from wigeonhitch.platform import table, tasks

__all__ = ["Core"]

# Changes in one commit: large enough that several hundred starts a second take
# few commits, small enough that one commit takes about 10 ms. Ended jobs get at
# most half, so that placement continues during a mass cancellation.
MAX_CHANGES_PER_COMMIT = 100
MAX_ENDINGS_PER_COMMIT = 50
# Calls made in one step: many stops must not delay urgent starts, which come first
# in each step.
MAX_CALLS_PER_STEP = 64
# Jobs are reconciled again at this period, for changes that only time brings
# (lapsed leases, ended grace periods).
SWEEP_PERIOD_SECONDS = 1.0


class Core:
    """State of one shard under one lease.

    Parameters
    ----------
    shard : int
        Number of the shard.
    fence : int
        Fencing token of the duty's lease.
    estimator, worker_quarantine : optional
        Size estimator and quarantine; pass them to keep or disable them.
    """

    def __init__(
        self,
        shard: int,
        fence: int,
        estimator: size.SizeEstimator | None = None,
        worker_quarantine: quarantine.Quarantine | None = None,
    ):
        self.state = state.ShardState(shard, fence, estimator, worker_quarantine)
        self._last_sweep = 0.0

    def load(self, rows: Iterable[table.Row]) -> None:
        """Load rows as read: jobs, reservations and quotas."""
        for row in rows:
            if row.key.startswith(job.PREFIX):
                self._load_job(row)
            elif row.key.startswith((ledger.RESERVATION_PREFIX, ledger.QUOTA_PREFIX)):
                self.state.ledger.load(row)
                self.state.dirty_pools.update(self.state.pools)

    def _load_job(self, row: table.Row) -> None:
        if row.value is None:
            self.state.drop_job(row.key.removeprefix(job.PREFIX))
            return
        item = job.decode(row.value)
        if item.state in job.ENDED:
            self.state.drop_job(item.name)
        else:
            self.state.load_job(item, row.version)

    def update_fleet(self, vms: Iterable[view.Vm], now: float) -> None:
        """Apply the current view of the workers of the shard's pools."""
        self.state.update_fleet(vms, now)

    def update_policy(self, policy: view.Policy) -> None:
        """Apply the quotas, kinds and pools of the document in force."""
        if policy != self.state.policy:
            self.state.policy = policy
            self.state.unreconciled.update(self.state.jobs)
            self.state.dirty_pools.update(self.state.pools)

    def update_tasks(
        self, listed: Sequence[tasks.Task], vms: Collection[str], at: float
    ) -> None:
        """Apply the list of the tasks of ``vms`` requested at time ``at``."""
        calls.record_tasks(self.state, listed, vms, at)
        self.state.dirty_pools.update(self.state.pools)

    def decide(self, now: float) -> ledger.Batch | None:
        """Return the next commit, or None when nothing is to be changed.

        The batch is already applied in memory: call `confirm` or `undo` next.
        """
        if now >= self._last_sweep + SWEEP_PERIOD_SECONDS:
            self._last_sweep = now
            self._sweep()
        changed = reconciliation.reconcile_all(self.state, now, MAX_ENDINGS_PER_COMMIT)
        scheduling.place_all(self.state, now, MAX_CHANGES_PER_COMMIT - changed)
        return self.state.take_batch()

    def _sweep(self) -> None:
        for name, entry in self.state.jobs.items():
            item = entry.job
            is_unseen = item.state is job.JobState.RUNNING and entry.listed is None
            is_queued = item.state is job.JobState.QUEUED
            leaving = item.vm in self.state.unusable_since
            starting = item.state is job.JobState.STARTING
            if is_unseen or leaving or starting or item.paused:
                self.state.unreconciled.add(name)
            elif is_queued and self.state.policy is not None:
                has_kind = item.asked.pool in self.state.policy.kinds
                if not has_kind or item.asked.team not in self.state.policy.teams:
                    self.state.unreconciled.add(name)

    def confirm(self, batch: ledger.Batch, revision: int) -> None:
        """Record that a commit took effect."""
        self.state.confirm(batch, revision)

    def undo(self, batch: ledger.Batch) -> None:
        """Revert a commit that did not take effect, or may not have.

        Load the current rows of the batch before the next `decide`.
        """
        self.state.undo(batch)

    def next_calls(self, now: float) -> list[calls.Call]:
        """Return the task calls to make now; all follow from committed rows."""
        return calls.next_calls(self.state, now, MAX_CALLS_PER_STEP)

    def record_answer(
        self, call: calls.Call, outcome: table.Outcome | None, now: float
    ) -> None:
        """Apply the outcome of a call; None when the call was not sent."""
        calls.record_answer(self.state, call, outcome, now)

    def find_renewals(self) -> list[str]:
        """Return the names of the tasks whose platform leases to renew."""
        return calls.find_renewals(self.state)

    def record_renewal(
        self, names: Sequence[str], outcome: table.Outcome, now: float
    ) -> None:
        """Apply the outcome of a renewal."""
        calls.record_renewal(self.state, names, outcome, now)
