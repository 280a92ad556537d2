"""The task that leads one pool: carries out orders and feeds back answers."""

import time

import anyio
import anyio.abc

from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.leadership import term
from wigeonhitch.maintenance import record as maintenance
from wigeonhitch.platform import entries, http, rows, table
from wigeonhitch.pool import (
    core,
    dependencies,
    dispatcher,
    message,
    planner,
    source,
    ticket,
    vm,
)
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import log

__all__ = ["Runner"]

COMMIT_TIMEOUT_SECONDS = 1.0
"""Seconds for one transaction: 4 ms as a rule, 0.25 s where the store is slow."""

COMPACTION_PERIOD_SECONDS = 0.25
"""Seconds between transactions on rows of final jobs; 20 rows go in each, and a
pool completes some three jobs a second."""

QUICK_COMMIT_SECONDS = 0.05
"""Seconds up to which a transaction's answer counts as quick."""

RETRY_SECONDS = 0.1
"""Seconds between tries of a call that failed."""

MIN_ROUND_INTERVAL = 0.008
"""Seconds between two rounds of decisions at least: ends and jobs that come
together are decided together, and a tenth of a second a step isn't felt."""

MAX_ROUND_INTERVAL = 0.25
"""Seconds between two rounds at most: lapses and due times are found by time."""

COMMIT_WAIT_SECONDS = 0.6
"""Seconds to wait for the commit of a VM's ends before it is held anew."""

TICKET_POLL_SECONDS = 0.02
"""Seconds between looks at which tickets are wanted."""

TICKET_TIMEOUT_SECONDS = 2.0
"""Seconds for one call for tickets, which waits for others of this daemon."""

STATUS_PERIOD_SECONDS = 0.5
"""Seconds between two writings of the board, if it changed; readers may see
counts up to 2 s old."""

MIN_STATUS_INTERVAL_SECONDS = 0.1
"""The same where VMs have become empty or a burst has begun: each tenth of a
second of a burst of 4.5 s counts for the VMs that are sent."""


class Runner:
    """Leads one pool from its claim until it is given up or lost."""

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
        self.pool = core.Pool(
            owner.pool, owner.version, owner.epoch, deps.times, now, self._log_event
        )
        self.planner = planner.Planner(self.pool)
        self._scope = anyio.CancelScope()
        self._wake_round = anyio.Event()
        self._wake_commit = anyio.Event()
        self._committed = anyio.Event()
        self._wake_status = anyio.Event()
        self._status_triggers: tuple[bool, bool, int] = (False, False, 0)
        self._commits = log.Dependency("commit of ends")
        self._is_store_quick = True
        self._source = source.Source(self.pool, deps.store, self._wake)
        self._dispatcher = dispatcher.Dispatcher(
            self.pool,
            deps,
            self.planner.plan_paces,
            self._wake,
            self._wait_until_committed,
        )

    # -- events from the daemon

    def on_queues(self, queues: tuple[model.Queue, ...]) -> None:
        """Take the queues of the configuration in force."""
        self.pool.on_queues(queues)
        self._wake()

    def on_worker(self, entry: entries.WorkerEntry, read_at: float) -> None:
        """Take a worker's entry, read at this daemon's time ``read_at``."""
        self.pool.on_worker(entry, read_at)
        self._wake()

    def on_worker_removed(self, id: str) -> None:
        """Take note that a worker's entry has gone."""
        self.pool.on_worker_removed(id)
        self._wake()

    def set_closings(self, closed: list[maintenance.Closing], version: int) -> None:
        """Take the workers to be vacated or ended, as known at a store's version."""
        self._source.take_closings(closed, version)

    def compute_max_granted_lease(self) -> float:
        """Return the longest lease that a worker may still have of this leader."""
        return self._dispatcher.compute_max_granted_lease()

    def stop(self) -> None:
        """Give up leading; nothing is ordered afterwards."""
        self._term.end()
        self._scope.cancel()

    # -- the task

    async def run(self) -> None:
        """Lead until stopped or deposed."""
        with self._scope:
            after = await self._source.load()
            async with anyio.create_task_group() as group:
                group.start_soon(self._source.follow, after)
                group.start_soon(self._run_commits)
                group.start_soon(self._publish_status)
                group.start_soon(self._request_tickets)
                group.start_soon(self._compact_rows)
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
            await anyio.sleep(MIN_ROUND_INTERVAL)
            with anyio.move_on_after(MAX_ROUND_INTERVAL):
                await self._wake_round.wait()

    def _run_round(self, group: anyio.abc.TaskGroup) -> None:
        for one in list(self.pool.vms.values()):
            if one.id not in self._dispatcher.renewing:
                self._dispatcher.renewing.add(one.id)
                group.start_soon(self._dispatcher.renew_until_gone, one)
        orders = self.planner.plan(http.read_clock(), time.time())
        urgent = (
            self.planner.unmet > 0,
            self.planner.exceeds_published_capacity(http.read_clock()),
            self.planner.count_empty_vms(),
        )
        if urgent != self._status_triggers:
            self._status_triggers = urgent
            self._wake_status.set()
        for order in orders:
            if isinstance(order, message.Start):
                group.start_soon(self._dispatcher.send_start, order)
            else:
                group.start_soon(self._dispatcher.send_stop, order)

    async def _request_tickets(self) -> None:
        """Ask for tickets, one call at a time, as the service takes them."""
        while True:
            step = self.pool.tickets.pop_requested()
            if step is None:
                await anyio.sleep(TICKET_POLL_SECONDS)
                continue
            now = http.read_clock()
            named = ticket.select_vms(self.pool.vms.values(), now)
            opinion = await self.deps.advice.ask(
                step, named, timeout=TICKET_TIMEOUT_SECONDS
            )
            self.pool.tickets.on_opinion(step, opinion, now)
            self._log_event(
                "tickets asked for",
                job=step.job,
                step=step[1:],
                named=len(named),
                got=None if opinion.tickets is None else len(opinion.tickets),
                reason=opinion.reason,
            )
            self._wake()

    async def _wait_until_committed(self, one: vm.Vm) -> None:
        """Wait for the commit of seen ends, but not beyond the next renewal."""
        with anyio.move_on_after(COMMIT_WAIT_SECONDS):
            while one.committed_end < one.processed_end:
                self._wake_commit.set()
                await self._committed.wait()

    # -- commits

    async def _run_commits(self) -> None:
        while True:
            await self._wake_commit.wait()
            self._wake_commit = anyio.Event()
            if not await self._commit_once():
                await anyio.sleep(RETRY_SECONDS)
                self._wake_commit.set()
            elif self.pool.ledger.has_work:
                self._wake_commit.set()

    async def _commit_once(self) -> bool:
        batch = self.pool.ledger.collect(self.pool.jobs, self.pool.vms)
        if not batch.transaction.writes:
            self._record_commit(batch.processed_ends)
            return True
        change = await self.deps.store.commit(
            batch.transaction, timeout=COMMIT_TIMEOUT_SECONDS
        )
        answered = change.outcome is table.Outcome.DONE
        self._is_store_quick = (
            answered and change.received - change.sent < QUICK_COMMIT_SECONDS
        )
        result = self.pool.ledger.on_result(batch, change)
        if result.deposed:
            self._log_event("another leader's claim was found", fence=self.pool.fence)
            self.pool.deposed = True
            self._wake()
        conflict = change.reason == "conflict"
        self._commits.note(result.done or conflict, change.reason, pool=self.owner.pool)
        if conflict:
            listed = {row.key: row.version for row in change.conflicts}
            self._log_event(
                "commit of ends conflicts", fence=self.pool.fence, found=listed
            )
        if not result.done:
            self.pool.on_finals_durable(result.durable_finals)
            return conflict
        for id in batch.vms:
            if id in self.pool.vms:
                self.pool.vms[id].recorded = True
        self.pool.on_finals_durable(batch.finals)
        self._record_commit(batch.processed_ends)
        if batch.vms or batch.finals:
            self._wake()
        return True

    def _record_commit(self, seen: dict[str, int]) -> None:
        for id, number in seen.items():
            one = self.pool.vms.get(id)
            if one is not None:
                one.committed_end = max(one.committed_end, number)
        self._committed.set()
        self._committed = anyio.Event()

    async def _compact_rows(self) -> None:
        """Shrink and remove rows of final jobs while the store is quick."""
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

    async def _publish_status(self) -> None:
        shown = None
        while True:
            board = self.planner.build_status(http.read_clock(), time.time())
            if board != shown and self.deps.may_order():
                owner = leader_record.expect_owner(self.owner.pool, self.owner.version)
                write = rows.Write(
                    pool_record.STATUS_TABLE,
                    self.owner.pool,
                    pool_record.STATUS_TABLE,
                    pool_record.write_status(board),
                )
                change = await self.deps.store.commit(
                    rows.Transaction((owner,), (write,)), timeout=COMMIT_TIMEOUT_SECONDS
                )
                if change.outcome is table.Outcome.DONE:
                    shown = board
            self._wake_status = anyio.Event()
            await anyio.sleep(MIN_STATUS_INTERVAL_SECONDS)
            with anyio.move_on_after(STATUS_PERIOD_SECONDS):
                await self._wake_status.wait()

    # -- small

    def _wake(self) -> None:
        self._wake_round.set()
        if self.pool.ledger.has_work:
            self._wake_commit.set()

    def _log_event(self, what: str, **fields: object) -> None:
        log.log_change(what, pool=self.owner.pool, **fields)
