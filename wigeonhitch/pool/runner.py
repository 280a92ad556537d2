"""Runner of one pool's leader: sends its orders and feeds back the answers."""

import time

import anyio
import anyio.abc

from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.leadership import term
from wigeonhitch.maintenance import record as maintenance
from wigeonhitch.platform import entries, http, table
from wigeonhitch.pool import (
    core,
    dependencies,
    dispatcher,
    load,
    message,
    planner,
    publication,
    quota,
    reporter,
    source,
    vm,
)
from wigeonhitch.telemetry import log

__all__ = ["Runner"]

COMMIT_TIMEOUT_SECONDS = 1.0
"""Time limit in seconds for a transaction: most take 4 ms, and 0.25 s if the store is
slow."""

COMPACTION_PERIOD_SECONDS = 0.25
"""Seconds between transactions that compact rows of final jobs: each holds 20 rows,
and a pool completes some three jobs a second."""

QUICK_COMMIT_SECONDS = 0.05
"""Seconds below which a transaction counts as quick; rows are compacted only then."""

RETRY_DELAY_SECONDS = 0.1
"""Seconds before a failed call is retried."""

MIN_ROUND_INTERVAL_SECONDS = 0.008
"""Minimum seconds between two scheduling rounds, so that ends and jobs that arrive
together are handled together; far below the tenth of a second per step that would
matter to a job."""

MAX_ROUND_INTERVAL_SECONDS = 0.25
"""Maximum seconds between two rounds: lapsed leases and due times are only detected
in a round."""

COMMIT_WAIT_SECONDS = 0.2
"""Seconds to wait for the commit of a VM's ends before its leases are renewed again.
The renewal answers at once while ends aren't committed. With a slow store a commit
takes 0.7 s, in which further tasks of the VM end and dependent steps could start."""

TICKET_POLL_SECONDS = 0.02
"""Seconds between checks for requested tickets."""

TICKET_TIMEOUT_SECONDS = 2.0
"""Time limit in seconds for a ticket request, which queues behind others of this
daemon."""

STATUS_PERIOD_SECONDS = 0.5
"""Seconds between two writes of a changed status; readers accept counts up to 2 s
old."""

MIN_STATUS_INTERVAL_SECONDS = 0.1
"""The same in seconds when VMs have become empty or a burst has begun: each tenth of a
second of a burst of 4.5 s matters to the VMs that are moved for it."""

QUOTA_PERIOD_SECONDS = 0.1
"""Longest time in seconds between two looks at shares of ceilings that could be
returned, or that other pools may have returned."""

MIN_QUOTA_INTERVAL_SECONDS = 0.02
"""Minimum seconds between two transactions for shares, so that jobs which arrive
together are served by one."""

MAX_QUOTA_ATTEMPTS = 4
"""Attempts to write shares without a delay while other pools change the same rows; each
has the versions that the one before has found."""

QUOTA_REPORT_SECONDS = 2.0
"""Seconds between two updates of the metrics of teams."""

LOAD_REPORT_SECONDS = 2.0
"""Seconds between two reports of a pool's load: several in a burst of some seconds."""


class Runner:
    """Leads one pool from its claim until leadership is given up or lost."""

    def __init__(
        self,
        owner: leader_record.Owner,
        deps: dependencies.Dependencies,
        now: float,
    ) -> None:
        self.owner = owner
        self._term = term.Term(deps.may_order)
        deps = deps._replace(may_order=self._term.may_order)
        self.deps = deps
        self._reporter = reporter.Reporter(owner.pool, deps.instruments)
        self._log_event = self._reporter.log_event
        self.pool = core.Pool(
            owner.pool, owner.version, owner.epoch, deps.times, now, self._log_event
        )
        self.pool.ledger.max_row_bytes = deps.max_row_bytes
        self.planner = planner.Planner(self.pool)
        self._scope = anyio.CancelScope()
        self._wake_round = anyio.Event()
        self._wake_commit = anyio.Event()
        self._committed = anyio.Event()
        self._wake_status = anyio.Event()
        self._wake_quotas = anyio.Event()
        self._status_triggers: tuple[bool, bool, int] = (False, False, 0)
        self._commits = log.OutageLogger("commit of ends")
        self._is_store_quick = True
        self._source = source.Source(self.pool, deps.store, self._wake)
        self._publication = publication.Publication(owner, self._log_event)
        self._dispatcher = dispatcher.Dispatcher(
            self.pool,
            deps,
            self.planner.plan_paces,
            self._wake,
            self._wait_until_committed,
        )

    # -- events from the daemon

    def on_queues(self, queues: tuple[model.Queue, ...]) -> None:
        """Apply the queues of the configuration in force."""
        self.pool.on_queues(queues)
        self._wake()

    def on_teams(self, configuration: int, teams: tuple[model.Team, ...]) -> None:
        """Apply the teams of the configuration in force."""
        self.pool.quotas.on_teams(configuration, teams)
        self.pool.fair_queue.on_teams(teams)
        self._wake()

    def on_worker(self, entry: entries.WorkerEntry, read_at: float) -> None:
        """Apply a worker's entry, read at this daemon's time ``read_at``."""
        self.pool.on_worker(entry, read_at)
        self._wake()

    def on_worker_removed(self, id: str) -> None:
        """Record that a worker's entry was removed."""
        self.pool.on_worker_removed(id)
        self._wake()

    def set_closings(self, closed: list[maintenance.Closing], version: int) -> None:
        """Set the closed and the ended workers, as known at a store's version."""
        self._source.take_closings(closed, version)

    def compute_max_granted_lease(self) -> float:
        """Return the longest lease that a worker may still have."""
        return self._dispatcher.compute_max_granted_lease()

    def stop(self) -> None:
        """Stop leading; no order is sent afterwards."""
        self._term.end()
        self._scope.cancel()

    # -- background tasks

    async def run(self) -> None:
        """Lead until stopped or deposed."""
        with self._scope:
            after = await self._source.load()
            self._publication.on_row(self._source.status_version)
            async with anyio.create_task_group() as group:
                group.start_soon(self._source.follow, after)
                group.start_soon(self._run_commits)
                group.start_soon(self._publish_status)
                group.start_soon(self._request_tickets)
                group.start_soon(self._compact_rows)
                group.start_soon(self._adjust_quotas)
                group.start_soon(self._report_loads)
                await self._run_rounds(group)
                group.cancel_scope.cancel()

    # -- decisions

    async def _run_rounds(self, group: anyio.abc.TaskGroup) -> None:
        while not self.pool.deposed:
            self._wake_round = anyio.Event()
            if self.deps.may_order():
                self._run_round(group)
            if self.pool.ledger.has_work:
                self._wake_commit.set()
            await anyio.sleep(MIN_ROUND_INTERVAL_SECONDS)
            with anyio.move_on_after(MAX_ROUND_INTERVAL_SECONDS):
                await self._wake_round.wait()

    def _run_round(self, group: anyio.abc.TaskGroup) -> None:
        for machine in list(self.pool.vms.values()):
            worker = machine.entry.id
            if worker not in self._dispatcher.renewing and not machine.is_suspended:
                self._dispatcher.renewing.add(worker)
                group.start_soon(self._dispatcher.renew_until_gone, worker)
        orders = self.planner.plan(http.read_clock(), time.time())
        triggers = (
            self.planner.unmet > 0,
            self.planner.exceeds_published_capacity(http.read_clock()),
            self.planner.count_empty_vms(),
        )
        if triggers != self._status_triggers:
            self._status_triggers = triggers
            self._wake_status.set()
        if self.pool.quotas.has_urgent_work():
            self._wake_quotas.set()
        for order in orders:
            if isinstance(order, message.Start):
                group.start_soon(self._dispatcher.send_start, order)
            else:
                group.start_soon(self._dispatcher.send_stop, order)

    async def _request_tickets(self) -> None:
        """Request tickets, one call at a time, as the service requires."""
        while True:
            step = self.pool.tickets.pop_requested()
            if step is None:
                await anyio.sleep(TICKET_POLL_SECONDS)
                continue
            now = http.read_clock()
            vms = self.pool.vms
            candidates = self.pool.tickets.select_vms(step, vms.values(), now)
            if not candidates:
                continue
            workers_by_id = {vms[id].entry.id: id for id in candidates}
            advice_reply = await self.deps.advice.ask(
                step, list(workers_by_id), timeout=TICKET_TIMEOUT_SECONDS
            )
            if advice_reply.tickets is not None:
                # A ticket is valid for the start of the worker that was asked about.
                tickets = {
                    workers_by_id[worker]: text
                    for worker, text in advice_reply.tickets.items()
                    if worker in workers_by_id
                }
                advice_reply = advice_reply._replace(tickets=tickets)
            if step.job in self.pool.jobs:
                self.pool.tickets.on_advice(
                    step, advice_reply, now, named=candidates, vms=vms
                )
            self._log_event(
                "tickets requested",
                job=step.job,
                step=step[1:],
                named=len(candidates),
                vms=len(vms),
                got=None if advice_reply.tickets is None else len(advice_reply.tickets),
                reason=advice_reply.reason,
            )
            self._wake()

    async def _wait_until_committed(self, machine: vm.Vm) -> None:
        """Wait for the commit of processed ends, but not beyond the next renewal."""
        with anyio.move_on_after(COMMIT_WAIT_SECONDS):
            while machine.committed_end < machine.processed_end:
                self._wake_commit.set()
                await self._committed.wait()

    # -- commits

    async def _run_commits(self) -> None:
        while True:
            await self._wake_commit.wait()
            self._wake_commit = anyio.Event()
            if not await self._commit_once():
                await anyio.sleep(RETRY_DELAY_SECONDS)
                self._wake_commit.set()
            elif self.pool.ledger.has_work:
                self._wake_commit.set()

    async def _commit_once(self) -> bool:
        batch = self.pool.ledger.collect(self.pool.jobs, self.pool.vms)
        if not batch.transaction.writes:
            self.pool.on_ends_durable(batch.processed_ends)
            self._announce_commit()
            return True
        for id, size in batch.large_rows.items():
            self._log_event("large progress", job=id, bytes=size)
        change = await self.deps.store.commit(
            batch.transaction, timeout=COMMIT_TIMEOUT_SECONDS
        )
        answered = change.outcome is table.Outcome.DONE
        self._is_store_quick = (
            answered and change.received - change.sent < QUICK_COMMIT_SECONDS
        )
        result = self.pool.on_commit(batch, change)
        if result.deposed:
            self._log_event(
                "deposed: owner row has a newer claim", fence=self.pool.fence
            )
            self._wake()
        conflict = change.reason == "conflict"
        self._commits.record(
            result.done or conflict, change.reason, pool=self.owner.pool
        )
        if conflict:
            found_versions = {row.key: row.version for row in change.conflicts}
            self._log_event(
                "commit of ends conflicts", fence=self.pool.fence, found=found_versions
            )
        if not result.done:
            return conflict
        self._announce_commit()
        if batch.vms or batch.final_jobs or batch.crash_revisions:
            self._wake()
        return True

    def _announce_commit(self) -> None:
        self._committed.set()
        self._committed = anyio.Event()

    async def _compact_rows(self) -> None:
        """Compact and remove rows of final jobs while the store is quick."""
        while True:
            await anyio.sleep(COMPACTION_PERIOD_SECONDS)
            if not self.deps.may_order() or not self._is_store_quick:
                continue
            store_time = self.deps.get_store_time()
            work = self.pool.compactor.collect(store_time, self.deps.final_retention)
            if work is None:
                continue
            change = await self.deps.store.commit(
                work.transaction, timeout=COMMIT_TIMEOUT_SECONDS
            )
            self.pool.ledger.drop_progress(self.pool.compactor.on_result(work, change))

    async def _adjust_quotas(self) -> None:
        """Keep this pool's shares of the teams' ceilings in the store."""
        next_report = 0.0
        while True:
            with anyio.move_on_after(QUOTA_PERIOD_SECONDS):
                await self._wake_quotas.wait()
            if http.read_clock() >= next_report:
                next_report = http.read_clock() + QUOTA_REPORT_SECONDS
                self._reporter.set_usage(self.pool.quotas.list_usage())
            self._wake_quotas = anyio.Event()
            if self.deps.may_order():
                await self._write_shares()
                await self._read_shares()
            await anyio.sleep(MIN_QUOTA_INTERVAL_SECONDS)

    async def _write_shares(self) -> None:
        """Write the shares that have to be changed."""
        for _ in range(MAX_QUOTA_ATTEMPTS):
            transaction = self.pool.quotas.collect(http.read_clock())
            if transaction is None or not self.deps.may_order():
                return
            change = await self.deps.store.commit(
                transaction, timeout=COMMIT_TIMEOUT_SECONDS
            )
            self.pool.quotas.on_result(change)
            self._wake()
            if change.reason != "conflict":
                return

    async def _read_shares(self) -> None:
        """Read what other pools have returned, if a team waits for that.

        A write tells about the rows that it replaces only, so this is needed however
        often the shares of other teams are written.
        """
        now = http.read_clock()
        if not self.pool.quotas.must_read(now):
            return
        self.pool.quotas.on_read(now)
        read = await self.deps.store.read(
            quota.QUOTA_TABLE, quota.QUOTA_PART, timeout=COMMIT_TIMEOUT_SECONDS
        )
        self.pool.quotas.on_rows(read.rows)
        self._wake()

    async def _report_loads(self) -> None:
        """Report the pool's load until leadership ends."""
        try:
            while True:
                await anyio.sleep(LOAD_REPORT_SECONDS)
                self._report_load()
        finally:
            # The successor reports this pool; its figures must not be added to these.
            self._reporter.set_load(load.PoolLoad())

    def _report_load(self) -> None:
        """Set the gauges of the pool's load; log it while tasks wait for room."""
        wall_time = time.time()
        groups = self.planner.list_groups(wall_time)
        figures = load.compute_load(self.pool, groups, http.read_clock(), wall_time)
        self._reporter.set_load(figures)
        if figures.lacks_room or self.planner.unmet > 0:
            self._log_event("pool load", **figures.describe())

    async def _publish_status(self) -> None:
        while True:
            status = self.planner.build_status(http.read_clock(), time.time())
            transaction = self._publication.build_transaction(status, time.time())
            must_repeat = False
            if transaction is not None and self.deps.may_order():
                change = await self.deps.store.commit(
                    transaction, timeout=COMMIT_TIMEOUT_SECONDS
                )
                must_repeat = self._publication.on_result(status, change)
                self._reporter.record_status_write(status, change)
            self._wake_status = anyio.Event()
            await anyio.sleep(MIN_STATUS_INTERVAL_SECONDS)
            if must_repeat:
                continue
            with anyio.move_on_after(STATUS_PERIOD_SECONDS):
                await self._wake_status.wait()

    # -- helpers

    def _wake(self) -> None:
        self._wake_round.set()
        if self.pool.ledger.has_work:
            self._wake_commit.set()
