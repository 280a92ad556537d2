"""The task that leads one pool: carries out orders and feeds back answers."""

import time
from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc

from wigeonhitch.jobs import model, record
from wigeonhitch.leadership import core as leadership
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.maintenance import record as maintenance
from wigeonhitch.platform import advice, entries, http, rows, table, workers
from wigeonhitch.pool import core, message, planner, ticket, tidy, vm
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import log, metric

__all__ = ["Runner", "Surroundings"]

WORKER_LEASE = 3.8
"""Seconds for which a worker keeps its tasks without a renewal. Longer than a
takeover (a lease of 2.2 s, a poll of 0.5 s, a hold of 0.6 s and the first
calls), so that work goes on when a leader dies; what ran on a silent VM starts
elsewhere after it."""

LONG_LEASE = 6.5
"""The same while the store doesn't answer this daemon: outages last 3 to 9 s,
and a leader that can't renew its own lease may soon not renew the workers'.
With the 2 s that its own lease still lasts, work survives 8.5 s. A successor
waits this long for VMs that it can't reach, so longer isn't better."""

STORE_SILENCE = 1.3
"""Seconds without a renewal of the leader's lease after which the longer lease
is given: two renewals have failed."""

HOLD_WAIT = 0.6
"""Seconds that a hold waits for an end on a VM with tasks: six renewals in a
lease, and the load figures for pacing twice a second."""

IDLE_WAIT = 1.2
"""The same on a VM without tasks; each look at a worker is paid for."""

CALL_SLACK = 0.5
"""Seconds beyond its wait after which a call counts as lost: a call takes some
milliseconds, and up to 0.25 s where a daemon or link is slow."""

START_TIMEOUT = 0.7
"""Seconds to wait for the answer to a start."""

START_DEADLINE = 1.2
"""Seconds after which a worker refuses a start that was on the way: an order
without an answer is settled by the first answer after it."""

COMMIT_TIMEOUT = 1.0
"""Seconds for one transaction: 4 ms as a rule, 0.25 s where the store is slow."""

TIDY_PERIOD = 0.25
"""Seconds between transactions on rows of final jobs; 20 rows go in each, and a
pool completes some three jobs a second."""

QUICK = 0.05
"""Seconds up to which a transaction's answer counts as quick."""

RETRY = 0.1
"""Seconds between tries of a call that failed."""

ROUND_GAP = 0.008
"""Seconds between two rounds of decisions at least: ends and jobs that come
together are decided together, and a tenth of a second a step isn't felt."""

ROUND_MOST = 0.25
"""Seconds between two rounds at most: lapses and due times are found by time."""

ASK_PERIOD = 0.02
"""Seconds between looks at which tickets are wanted."""

ASK_TIMEOUT = 2.0
"""Seconds for one call for tickets, which waits for others of this daemon."""

FEED_WAIT = 1.0
"""Seconds that a feed waits; a silent connection is found after it."""

READ_TIMEOUT = 1.5
"""Seconds for a range of rows."""

BOARD_PERIOD = 0.5
"""Seconds between two writings of the board, if it changed; readers may see
counts up to 2 s old."""

BOARD_GAP = 0.1
"""The same where VMs have become empty or a burst has begun: each tenth of a
second of a burst of 4.5 s counts for the VMs that are sent."""


class Surroundings(NamedTuple):
    """What a leader works with.

    ``may_order`` says whether this daemon's lease lasts at this moment;
    ``get_renewed`` returns when it was last renewed; ``get_store_time`` the
    store's clock, in seconds.
    """

    store: rows.RowStore
    workers: workers.WorkerCalls
    advice: advice.AdviceCalls
    instruments: metric.Instruments
    may_order: Callable[[], bool]
    get_renewed: Callable[[], float]
    get_store_time: Callable[[], float]
    finals_kept: float
    times: core.Times


class Runner:
    """Leads one pool from its claim until it is given up or lost."""

    def __init__(
        self, owner: leader_record.Owner, around: Surroundings, now: float
    ) -> None:
        self.owner = owner
        self.around = around
        self.pool = core.Pool(
            owner.pool, owner.version, owner.epoch, around.times, now, self._tell
        )
        self.planner = planner.Planner(self.pool)
        self.is_loaded = False
        self._queues: tuple[model.Queue, ...] = ()
        self._scope = anyio.CancelScope()
        self._wake_round = anyio.Event()
        self._wake_commit = anyio.Event()
        self._noted = anyio.Event()
        self._wake_board = anyio.Event()
        self._urgent: tuple[bool, int] = (False, 0)
        self._held: set[str] = set()
        self._granted_long = 0.0
        self._commits = log.Dependency("commit of ends")
        self._job_table = pool_record.name_job_table(owner.pool)
        self._job_parts = frozenset(pool_record.list_job_parts(owner.pool))
        self._is_store_quick = True

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

    def set_closings(self, closed: list[maintenance.Closing]) -> None:
        """Take the workers that are to be vacated, or have ended by an order."""
        self.pool.set_closed(
            frozenset(one.worker for one in closed),
            frozenset(one.worker for one in closed if one.ended),
        )
        self._wake()

    def get_granted(self) -> float:
        """Return the longest lease that a worker may still have of this leader."""
        recent = http.read_clock() - self._granted_long < LONG_LEASE
        return LONG_LEASE if recent else WORKER_LEASE

    def stop(self) -> None:
        """Give up leading; nothing is ordered afterwards."""
        self._scope.cancel()

    # -- the task

    async def run(self) -> None:
        """Lead until stopped or deposed."""
        with self._scope:
            after = await self._load()
            self.is_loaded = True
            async with anyio.create_task_group() as group:
                group.start_soon(self._follow_jobs, after)
                group.start_soon(self._commit_forever)
                group.start_soon(self._show_board)
                group.start_soon(self._ask_forever)
                group.start_soon(self._tidy_forever)
                await self._decide_forever(group)
                group.cancel_scope.cancel()

    async def _load(self) -> int:
        """Read the pool's rows; return the version to follow jobs from."""
        part = self.owner.pool
        version = await self._load_jobs()
        progress = await self._read_all(pool_record.PROGRESS_TABLE, part)
        for row in progress.rows:
            self.pool.on_progress(row.key, row.value or b"{}", row.version)
        roster = await self._read_all(pool_record.ROSTER_TABLE, part)
        now = http.read_clock()
        for row in roster.rows:
            address = pool_record.read_roster(row.value or b"")
            self.pool.on_roster(row.key, address, row.version, now)
        closings = await self._read_all(maintenance.CLOSING_TABLE, leadership.FLEET)
        self.set_closings(
            [maintenance.read_closing(r.key, r.value or b"") for r in closings.rows]
        )
        self._tell("pool loaded", jobs=len(self.pool.jobs), vms=len(roster.rows))
        return version

    async def _load_jobs(self) -> int:
        """Read all parts of the jobs side by side; return the oldest version."""
        versions: list[int] = []

        async def load(part: str) -> None:
            read = await self._read_all(self._job_table, part)
            versions.append(read.version)
            for row in read.rows:
                self._take_job(row)

        async with anyio.create_task_group() as group:
            for part in self._job_parts:
                group.start_soon(load, part)
        return min(versions)

    async def _read_all(self, name: str, part: str) -> rows.Range:
        while True:
            found = await self.around.store.read(name, part, timeout=READ_TIMEOUT)
            if found.outcome is table.Outcome.DONE:
                return found
            self._tell("rows not read", table=name, reason=found.reason)
            await anyio.sleep(RETRY)

    def _take_job(self, row: rows.Row) -> None:
        if row.value is None or row.part not in self._job_parts:
            return
        try:
            read = record.read_job(row.key, row.value)
        except (ValueError, KeyError, TypeError) as error:
            log.log_problem("job row left out", job=row.key, reason=str(error))
            return
        if row.key not in self.pool.jobs and read.job is not None:
            self._tell("job taken over", job=row.key, version=row.version)
        place = tidy.JobPlace(row.table, row.part)
        self.pool.on_job(row.key, read, row.version, place)

    async def _follow_jobs(self, after: int) -> None:
        while True:
            feed = await self.around.store.follow(
                self._job_table, after, wait=FEED_WAIT, timeout=FEED_WAIT + CALL_SLACK
            )
            if feed.expired:
                self._tell("feed of jobs read anew", after=after)
                after = await self._load_jobs()
                self._wake()
                continue
            if feed.outcome is not table.Outcome.DONE:
                await anyio.sleep(RETRY)
                continue
            after = max(after, feed.version)
            for row in feed.rows:
                self._take_job(row)
            if feed.rows:
                self._wake()

    # -- decisions

    async def _decide_forever(self, group: anyio.abc.TaskGroup) -> None:
        while not self.pool.deposed:
            self._wake_round = anyio.Event()
            if self.around.may_order():
                self._decide(group)
            if self.pool.ledger.has_work:
                self._wake_commit.set()
            await anyio.sleep(ROUND_GAP)
            with anyio.move_on_after(ROUND_MOST):
                await self._wake_round.wait()

    def _decide(self, group: anyio.abc.TaskGroup) -> None:
        for one in list(self.pool.vms.values()):
            if one.id not in self._held:
                self._held.add(one.id)
                group.start_soon(self._hold_forever, one)
        orders = self.planner.plan(http.read_clock(), time.time())
        urgent = (self.planner.unmet > 0, self.planner.count_empty())
        if urgent != self._urgent:
            self._urgent = urgent
            self._wake_board.set()
        for order in orders:
            if isinstance(order, message.Start):
                group.start_soon(self._send_start, order)
            else:
                group.start_soon(self._send_stop, order)

    async def _send_start(self, start: message.Start) -> None:
        run = start.run
        now = http.read_clock()
        if run.vm.runs.get(run.task) is not run:
            return
        if not self.around.may_order():
            reply = workers.OrderReply(workers.Verdict.NOT_DONE)
        else:
            run.deadline = run.vm.compute_deadline(now, START_DEADLINE)
            run.vm.note_grant(run.deadline)
            order = start.order._replace(deadline=run.deadline)
            entry = run.vm.entry
            reply = await self.around.workers.start(
                entry.address, entry.id, order, timeout=START_TIMEOUT
            )
        if reply.verdict is workers.Verdict.UNKNOWN:
            run.vm.is_silent = True
        self._count("starts_total", "Starts by verdict.", verdict=reply.verdict.value)
        self.pool.on_start(run, reply, http.read_clock())
        if reply.verdict is not workers.Verdict.DONE:
            self._wake()

    async def _send_stop(self, order: message.Stop) -> None:
        if not self.around.may_order():
            return
        entry = order.vm.entry
        reply = await self.around.workers.stop(
            entry.address,
            entry.id,
            order.task,
            order.number,
            self.pool.fence,
            timeout=START_TIMEOUT,
        )
        self._tell(
            "stop ordered",
            job=order.task.job,
            task=order.task[1:],
            run=order.number,
            vm=entry.id,
            verdict=reply.verdict.value,
        )
        if reply.verdict is workers.Verdict.FENCED:
            self.pool.deposed = True

    async def _send_pace(self, order: message.Pace) -> None:
        run = order.run
        if not self.around.may_order():
            return
        entry = run.vm.entry
        reply = await self.around.workers.pace(
            entry.address,
            entry.id,
            run.task,
            run.number,
            order.percent,
            self.pool.fence,
            timeout=START_TIMEOUT,
        )
        if reply.verdict is workers.Verdict.DONE:
            run.pace = order.percent

    async def _ask_forever(self) -> None:
        """Ask for tickets, one call at a time, as the service takes them."""
        while True:
            step = self.pool.tickets.take_wanted()
            if step is None:
                await anyio.sleep(ASK_PERIOD)
                continue
            now = http.read_clock()
            named = ticket.choose_named(self.pool.vms.values(), now)
            opinion = await self.around.advice.ask(step, named, timeout=ASK_TIMEOUT)
            self.pool.tickets.on_opinion(step, opinion, now)
            self._tell(
                "tickets asked for",
                job=step.job,
                step=step[1:],
                named=len(named),
                got=None if opinion.tickets is None else len(opinion.tickets),
                reason=opinion.reason,
            )
            self._wake()

    # -- holds

    async def _hold_forever(self, one: vm.Vm) -> None:
        try:
            while not one.gone and not self.pool.deposed:
                if self.around.may_order():
                    await self._hold_once(one)
                else:
                    await anyio.sleep(RETRY / 2)
        finally:
            self._held.discard(one.id)

    async def _hold_once(self, one: vm.Vm) -> None:
        now = http.read_clock()
        silence = now - self.around.get_renewed()
        lease = WORKER_LEASE
        if silence > STORE_SILENCE:
            lease = LONG_LEASE
            self._granted_long = now
        # A silent VM isn't given more time: it may hear what isn't answered, and
        # its tasks could never be taken for ended.
        deadline = None
        if one.knows_clock and not one.is_silent:
            deadline = one.compute_deadline(now, lease)
            one.note_grant(deadline)
        wait = HOLD_WAIT if one.runs else IDLE_WAIT
        if one.is_silent or not one.answered:
            wait = 0.0
        entry = one.entry
        reply = await self.around.workers.hold(
            entry.address,
            entry.id,
            self.pool.fence,
            deadline,
            one.noted,
            wait=wait,
            timeout=wait + CALL_SLACK,
        )
        one.is_silent = reply.verdict is not workers.Verdict.DONE
        self.pool.on_hold(one, reply, http.read_clock())
        self._wake()
        if one.is_silent:
            await anyio.sleep(RETRY)
            return
        for order in self.planner.plan_paces(one):
            await self._send_pace(order)
        await self._wait_until_noted(one)

    async def _wait_until_noted(self, one: vm.Vm) -> None:
        """Wait for the commit of seen ends, but not beyond the next renewal."""
        with anyio.move_on_after(HOLD_WAIT):
            while one.noted < one.seen:
                self._wake_commit.set()
                await self._noted.wait()

    # -- commits

    async def _commit_forever(self) -> None:
        while True:
            await self._wake_commit.wait()
            self._wake_commit = anyio.Event()
            if not await self._commit_once():
                await anyio.sleep(RETRY)
                self._wake_commit.set()
            elif self.pool.ledger.has_work:
                self._wake_commit.set()

    async def _commit_once(self) -> bool:
        batch = self.pool.ledger.collect(self.pool.jobs, self.pool.vms)
        if not batch.transaction.writes:
            self._note(batch.seen)
            return True
        change = await self.around.store.commit(
            batch.transaction, timeout=COMMIT_TIMEOUT
        )
        self._is_store_quick = change.received - change.sent < QUICK
        result = self.pool.ledger.on_result(batch, change)
        if result.deposed:
            self._tell("another leader's claim was found", fence=self.pool.fence)
            self.pool.deposed = True
            self._wake()
        conflict = change.reason == "conflict"
        self._commits.note(result.done or conflict, change.reason, pool=self.owner.pool)
        if not result.done:
            return conflict
        for id in batch.vms:
            if id in self.pool.vms:
                self.pool.vms[id].recorded = True
        self.pool.on_settled(batch.finals)
        self._note(batch.seen)
        if batch.vms or batch.finals:
            self._wake()
        return True

    def _note(self, seen: dict[str, int]) -> None:
        for id, number in seen.items():
            one = self.pool.vms.get(id)
            if one is not None:
                one.noted = max(one.noted, number)
        self._noted.set()
        self._noted = anyio.Event()

    async def _tidy_forever(self) -> None:
        """Shrink and remove rows of final jobs while the store is quick."""
        while True:
            await anyio.sleep(TIDY_PERIOD)
            if not self.around.may_order() or not self._is_store_quick:
                continue
            store_time = self.around.get_store_time()
            work = self.pool.tidier.collect(store_time, self.around.finals_kept)
            if work is None:
                continue
            change = await self.around.store.commit(
                work.transaction, timeout=COMMIT_TIMEOUT
            )
            self.pool.ledger.spend(self.pool.tidier.on_result(work, change))

    async def _show_board(self) -> None:
        shown = None
        while True:
            board = self.planner.make_board()
            if board != shown and self.around.may_order():
                owner = rows.Condition(
                    leader_record.OWNER_TABLE,
                    self.owner.pool,
                    leader_record.OWNER_KEY,
                    self.owner.version,
                )
                write = rows.Write(
                    pool_record.BOARD_TABLE,
                    self.owner.pool,
                    pool_record.BOARD_TABLE,
                    pool_record.write_board(board),
                )
                change = await self.around.store.commit(
                    rows.Transaction((owner,), (write,)), timeout=COMMIT_TIMEOUT
                )
                if change.outcome is table.Outcome.DONE:
                    shown = board
            self._wake_board = anyio.Event()
            await anyio.sleep(BOARD_GAP)
            with anyio.move_on_after(BOARD_PERIOD):
                await self._wake_board.wait()

    # -- small

    def _wake(self) -> None:
        self._wake_round.set()
        if self.pool.ledger.has_work:
            self._wake_commit.set()

    def _tell(self, what: str, **fields: object) -> None:
        log.log_change(what, pool=self.owner.pool, **fields)

    def _count(self, name: str, text: str, **labels: str) -> None:
        self.around.instruments.count(name, text, **labels)
