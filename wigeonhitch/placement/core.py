"""The decisions of one placement duty: events in, commits and calls out.

No I/O, no clock: times are arguments, in seconds of the table's clock as the
runner estimates it, which also counts while the process is suspended.
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
# few commits, small enough that one takes some ten milliseconds. Endings get at
# most half, so that placing goes on during a wave of cancellations.
MAX_CHANGES_PER_COMMIT = 100
MAX_ENDINGS_PER_COMMIT = 50
# Calls made at once: a wave of stops must not crowd out urgent starts, which
# come first in each step.
MAX_CALLS_PER_STEP = 64
# Settled again now and then, for what only time changes (leases, grace).
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
        Learned sizes and quarantine, to be handed on or switched off.
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
        """Take rows as read: jobs, reservations and quotas."""
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
        """Take the present view of the workers of the shard's pools."""
        self.state.update_fleet(vms, now)

    def update_policy(self, policy: view.Policy) -> None:
        """Take the quotas, kinds and pools of the document in force."""
        if policy != self.state.policy:
            self.state.policy = policy
            self.state.unreconciled.update(self.state.jobs)
            self.state.dirty_pools.update(self.state.pools)

    def update_tasks(
        self, listed: Sequence[tasks.Task], vms: Collection[str], at: float
    ) -> None:
        """Take the tasks of ``vms``, asked for at time ``at``."""
        calls.record_tasks(self.state, listed, vms, at)
        self.state.dirty_pools.update(self.state.pools)

    def decide(self, now: float) -> ledger.Batch | None:
        """Return the next commit, or None when nothing is to be changed.

        The batch is applied here already: follow it by `confirm` or `undo`.
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
            lost = item.state is job.JobState.RUNNING and entry.seen is None
            young = item.state is job.JobState.QUEUED and item.attempt == 1
            leaving = item.vm in self.state.unusable_since
            starting = item.state is job.JobState.STARTING
            if lost or leaving or starting or item.paused:
                self.state.unreconciled.add(name)
            elif young and self.state.policy is not None:
                known = item.asked.pool in self.state.policy.kinds
                if not known or item.asked.team not in self.state.policy.teams:
                    self.state.unreconciled.add(name)

    def confirm(self, batch: ledger.Batch, revision: int) -> None:
        """Note that a commit took effect."""
        self.state.confirm(batch, revision)

    def undo(self, batch: ledger.Batch) -> None:
        """Note that a commit did not, or may not have, taken effect.

        Load the rows of the batch as they are now before the next `decide`.
        """
        self.state.undo(batch)

    def next_calls(self, now: float) -> list[calls.Call]:
        """Return the task calls to make now, all of committed rows."""
        return calls.next_calls(self.state, now, MAX_CALLS_PER_STEP)

    def record_answer(
        self, call: calls.Call, outcome: table.Outcome | None, now: float
    ) -> None:
        """Take the outcome of a call; None when it was not sent after all."""
        calls.record_answer(self.state, call, outcome, now)

    def find_renewals(self) -> list[str]:
        """Return the names of the tasks whose platform leases to renew."""
        return calls.find_renewals(self.state)

    def record_renewal(
        self, names: Sequence[str], outcome: table.Outcome, now: float
    ) -> None:
        """Take the outcome of a renewal."""
        calls.record_renewal(self.state, names, outcome, now)
