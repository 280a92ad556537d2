"""Controller of the duty `placement/{shard}`: runs one core against the platform.

One task owns the state of a shard. Calls to the task service run concurrently
and report through a memory object stream, so that a slow platform call never
delays the next commit. A shard without live jobs reads nothing: the daemon's
`signal.SignalReader` tells when its markers must be read.
"""

import collections
import math
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from wigeonhitch.configuration import document
from wigeonhitch.membership import lease
from wigeonhitch.placement import (
    attempt,
    calls,
    core,
    ledger,
    message,
    retention,
    rows,
    signal,
    view,
)
from wigeonhitch.platform import table
from wigeonhitch.telemetry import log

__all__ = ["ShardController"]

PURPOSE = "placement"
# Period of task lists. Usage lags by seconds anyway; a list of 25 workers with four
# tasks each has 15 KB, so 5 s keeps a shard near 3 KB a second.
USAGE_PERIOD_SECONDS = 5.0
# Period of task lists while urgent work waits for capacity or quota, as ended
# tasks hold both until a list shows their end.
URGENT_USAGE_PERIOD_SECONDS = 1.0
LEDGER_PERIOD_SECONDS = 5.0
# Four renewals within one task lease.
RENEW_PERIOD_SECONDS = 15.0
MAX_TASKS_PER_RENEWAL = 200
# Commits in one step before new jobs and answers are handled.
MAX_COMMITS_PER_STEP = 4

Spawn = Callable[..., None]


class ShardController:
    """Competes for and carries out the duty of one shard.

    Parameters
    ----------
    platform : message.Platform
        Table, tasks, leases and views.
    reader : signal.SignalReader
        Signals and workers, read once for all shards of the daemon.
    shard : int
        Number of this shard.
    spawn : callable
        Runs an async function concurrently, as a task group does.
    counters : collections.Counter
        Counts of actions, for telemetry.
    """

    def __init__(
        self,
        platform: message.Platform,
        reader: signal.SignalReader,
        shard: int,
        spawn: Spawn,
        counters: collections.Counter[str],
    ):
        self._platform = platform
        self._reader = reader
        self.shard = shard
        self._spawn = spawn
        self._counters = counters
        self.duty = view.duty_name(shard)
        self.core: core.Core | None = None
        self.fence = 0
        self._marker_revision = 0
        self._ledger_revision = 0
        self._clock_offset = 0.0
        self._last_run: dict[str, float] = {}
        self._unconfirmed: set[str] = set()
        self._document: document.Document | None = None
        self._policy: view.Policy | None = None
        self._retention = retention.Retention(platform.table, shard)
        self._send, self._receive = anyio.create_memory_object_stream[Any](math.inf)

    def close(self) -> None:
        """Close the stream of answers."""
        self._send.close()
        self._receive.close()

    async def run(self) -> None:
        """Take a step whenever a message arrives."""
        try:
            while True:
                self._handle_answer(await self._receive.receive())
                await self.step()
        finally:
            self.close()

    def wake(self) -> None:
        """Trigger a step if there is work.

        Work is a duty to take over, a live job, a signal, unconfirmed rows or a
        due deletion.
        """
        if self._has_work() and not self._receive.statistics().current_buffer_used:
            self._send.send_nowait(message.Wake())

    def _has_work(self) -> bool:
        held = self._platform.leases.current(self.duty)
        if held is not None and (self.core is None or held.fence != self.fence):
            return True
        if self.core is None:
            return False
        if self.core.state.jobs or self._unconfirmed or self._is_signalled():
            return True
        return held is not None and self._retention.is_due(self.now)

    def _is_signalled(self) -> bool:
        return self._reader.revisions.get(self.shard, 0) > self._marker_revision

    @property
    def now(self) -> float:
        """Return the table's time in seconds, estimated from the takeover.

        Based on the clock that includes time in suspension.
        """
        return self._platform.clock() + self._clock_offset

    async def step(self) -> None:
        """Handle answers, read changes, decide, commit, and make calls."""
        self._receive_answers()
        held = self._platform.leases.current(self.duty)
        if self.core is None or (held is not None and held.fence != self.fence):
            self.core = None
            if held is None or not await self._take_over(held):
                return
        self._renew()
        if held is None or not await self._refresh():
            return
        self._list_tasks()
        for _ in range(MAX_COMMITS_PER_STEP):
            if not await self._commit(held):
                break
        if self.core is not None and not self._unconfirmed:
            for call in self.core.next_calls(self.now):
                self._counters[f"call_{call.action}"] += 1
                self._spawn(self._make_call, self.fence, call)
        self._counters["deleted"] += await self._retention.sweep(held, self.now)

    def _receive_answers(self) -> None:
        while True:
            try:
                self._handle_answer(self._receive.receive_nowait())
            except (anyio.WouldBlock, anyio.EndOfStream):
                return

    def _handle_answer(
        self,
        answer: message.Answered | message.Renewed | message.Listed | message.Wake,
    ) -> None:
        if isinstance(answer, message.Wake):
            return
        if self.core is None or answer.fence != self.fence:
            return
        if isinstance(answer, message.Answered):
            self.core.record_answer(answer.call, answer.outcome, self.now)
        elif isinstance(answer, message.Renewed):
            self._handle_renewal(answer)
        elif answer.result.outcome is table.Outcome.DONE:
            self.core.update_tasks(answer.result.tasks, answer.vms, answer.at)

    def _handle_renewal(self, answer: message.Renewed) -> None:
        self.core.record_renewal(answer.names, answer.outcome, self.now)
        lapsed = self._platform.leases.current(self.duty) is None
        if lapsed and answer.outcome is table.Outcome.NOT_DONE:
            log.log_change("task renewal refused after lease lapse", duty=self.duty)
            self.core = None

    async def _take_over(self, held: lease.Lease) -> bool:
        platform = self._platform
        prefix = f"{ledger.MARKER_PREFIX}{self.shard}/"
        scanned = await platform.table.scan(prefix, purpose=PURPOSE)
        if scanned.outcome is not table.Outcome.DONE:
            return False
        new_core = core.Core(self.shard, held.fence)
        if await rows.read_ledger(platform.table, new_core, 0) is None:
            return False
        keys = [rows.find_job_key(row.key) for row in scanned.rows]
        if not await rows.read_jobs(platform.table, new_core, keys):
            return False
        self._clock_offset = scanned.time - platform.clock()
        self._marker_revision = self._ledger_revision = scanned.revision
        self._last_run = {"ledger": self.now}
        self._unconfirmed = set()
        self.core, self.fence = new_core, held.fence
        self._counters["takeovers"] += 1
        log.log_change("placement taken over", duty=self.duty, jobs=len(keys))
        return True

    async def _refresh(self) -> bool:
        """Read what others changed; return False when the table can't be read."""
        if not await self._read_unconfirmed():
            return False
        if self._is_signalled() and not await self._read_markers():
            return False
        if (
            self._is_due("ledger", LEDGER_PERIOD_SECONDS)
            and not await self._read_ledger()
        ):
            return False
        source = self._platform.source()
        if source is not None and source is not self._document:
            self._document = source
            self._policy = view.make_policy(source)
        if self._policy is not None:
            self.core.update_policy(self._policy)
        self.core.update_fleet(self._reader.list_vms(self.shard), self.now)
        return True

    def _is_due(self, action: str, period: float) -> bool:
        if self.now < self._last_run.get(action, -math.inf) + period:
            return False
        self._last_run[action] = self.now
        return True

    async def _read_unconfirmed(self) -> bool:
        """Read back the rows of a commit with unknown outcome."""
        if self._unconfirmed and not await self._read_jobs(sorted(self._unconfirmed)):
            return False
        self._unconfirmed = set()
        return True

    async def _read_jobs(self, keys: Sequence[str]) -> bool:
        return await rows.read_jobs(self._platform.table, self.core, keys)

    async def _read_markers(self) -> bool:
        prefix = f"{ledger.MARKER_PREFIX}{self.shard}/"
        scanned = await self._platform.table.scan(
            prefix, purpose=PURPOSE, since=self._marker_revision
        )
        if scanned.outcome is not table.Outcome.DONE:
            return False
        removed = [row for row in scanned.rows if row.value is None]
        self.core.load(
            table.Row(rows.find_job_key(row.key), None, 0) for row in removed
        )
        keys = [
            rows.find_job_key(row.key) for row in scanned.rows if row.value is not None
        ]
        if not await self._read_jobs(keys):
            return False
        self._marker_revision = max(self._marker_revision, scanned.revision)
        return True

    async def _read_ledger(self) -> bool:
        client = self._platform.table
        revision = await rows.read_ledger(client, self.core, self._ledger_revision)
        if revision is None:
            return False
        self._ledger_revision = revision
        return True

    async def _commit(self, held: lease.Lease) -> bool:
        """Commit one batch; return False when there was none or it failed."""
        if self.core is None or self._platform.leases.current(self.duty) is None:
            return False
        batch = self.core.decide(self.now)
        if batch is None:
            return False
        conditions = [held.condition, *batch.conditions]
        result = await self._platform.table.commit(
            conditions, batch.writes, purpose=PURPOSE
        )
        self._counters[f"commits_{result.outcome.name.lower()}"] += 1
        if result.outcome is table.Outcome.DONE:
            self._counters["changes"] += len(batch.before)
            self.core.confirm(batch, result.revision)
            return True
        self.core.undo(batch)
        if any(row.key == held.condition.key for row in result.conflicts):
            log.log_change("placement duty lost to another holder", duty=self.duty)
            self.core = None
        elif result.outcome is table.Outcome.UNKNOWN:
            self._unconfirmed = {condition.key for condition in batch.conditions}
        else:
            self.core.load(result.conflicts)
        return False

    def _renew(self) -> None:
        """Renew task leases, even while the duty lease can't be renewed.

        During an outage of the table nobody else can take over the duty, and a
        renewal starts nothing; the platform refuses it once it has the fencing
        token of a later holder.
        """
        if not self._is_due("renew", RENEW_PERIOD_SECONDS):
            return
        names = self.core.find_renewals()
        for start in range(0, len(names), MAX_TASKS_PER_RENEWAL):
            chunk = tuple(names[start : start + MAX_TASKS_PER_RENEWAL])
            self._spawn(self._renew_tasks, self.fence, chunk)

    def _list_tasks(self) -> None:
        state = self.core.state
        if not any(state.on_vm.values()):
            return
        urgent_waiting = state.backlog.has_urgent()
        if not self._is_due(
            "usage",
            URGENT_USAGE_PERIOD_SECONDS if urgent_waiting else USAGE_PERIOD_SECONDS,
        ):
            return
        vms = tuple(sorted(set(state.vms) | set(state.on_vm)))
        if vms:
            self._spawn(self._fetch_tasks, self.fence, vms, self.now)

    async def _make_call(self, fence: int, call: calls.Call) -> None:
        """Make one call if the duty lease is still held."""
        held = self._platform.leases.current(self.duty)
        if held is None or held.fence != fence:
            self._send.send_nowait(message.Answered(fence, call, None))
            return
        service = self._platform.tasks
        answer: Awaitable[table.Outcome]
        if call.spec is not None:
            answer = service.start(call.spec, purpose=PURPOSE)
        else:
            answer = service.control(call.task, call.action, fence, purpose=PURPOSE)
        self._send.send_nowait(message.Answered(fence, call, await answer))

    async def _renew_tasks(self, fence: int, names: tuple[str, ...]) -> None:
        outcome = await self._platform.tasks.renew(
            names, fence, attempt.TASK_LEASE_SECONDS, purpose=PURPOSE
        )
        self._send.send_nowait(message.Renewed(fence, names, outcome))

    async def _fetch_tasks(self, fence: int, vms: tuple[str, ...], at: float) -> None:
        result = await self._platform.tasks.list_tasks(vms, purpose=PURPOSE)
        self._send.send_nowait(message.Listed(fence, vms, at, result))
