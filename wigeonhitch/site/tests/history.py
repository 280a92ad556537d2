"""Histories of jobs that are submitted, shown and cancelled while their queue moves.

Runs the real request handlers of several daemons in simulated time: a queue moves
among pools, daemons apply configurations late and restart with the newest one or the
one before, calls are lost, slow or carried out seconds late, and final jobs are
compacted and removed.
"""

import contextlib
import math
import random
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest import mock

import orjson

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.leadership.tests import simulation
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import compaction
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import (
    acceptance,
    cancellation,
    configuration,
    handler,
    jobrows,
    message,
    withdrawal,
)
from wigeonhitch.telemetry import log, metric

DAEMON_COUNT = 4

JOB_COUNT = 12

RETENTION_SECONDS = 20.0
"""Seconds for which final rows are kept, far longer than a call may be late."""

LATE_SECONDS = (0.5, 6.0)
"""Range of the seconds after which a call without an answer may be carried out."""

STEPS = (model.Step(1, model.Room(1000, 10)),)

FINAL = (model.JobState.COMPLETED, model.JobState.FAILED, model.JobState.CANCELLED)

REFUSALS = {message.Verdict.NOT_RUN, message.Verdict.NO_QUEUE}


class Plan(NamedTuple):
    """Parameters of a history."""

    pools: int = 4
    move_interval: float = 1.5
    """Mean seconds between two configurations."""


class Job:
    """One job as its caller sees it."""

    def __init__(self, id: str) -> None:
        self.id = id
        self.verdicts: list[message.Verdict] = []
        self.attempts = 0
        self.is_accepted = False
        self.is_cancelled = False
        """Whether its cancellation was requested."""
        self.shown: model.JobState | None = None
        self.pools: set[str] = set()
        """Pools in which a row of the job has been written."""


class DaemonIncarnation(simulation.Process):
    """One incarnation of a daemon, limited to answering callers."""

    def __init__(self, world: "World", configurations: list[bytes]) -> None:
        self.clock_offset = world.rng.uniform(0.0, 1000.0)
        self.follower = configuration.ConfigurationFollower(
            simulation.StoreClient(), lambda: None
        )
        for value in configurations:
            self.follower._apply_catalogue(value)
        clock = mock.patch.object(http, "read_clock", lambda: world.read_clock(self))
        with clock:
            self.handler = handler.RequestHandler(
                simulation.StoreClient(),
                lambda: self.follower.catalogue,
                metric.Instruments(),
                final_retention=RETENTION_SECONDS,
            )


class World(simulation.Schedule):
    """Callers, daemons, the store, and the leaders that compact final jobs."""

    def __init__(self, seed: int, plan: Plan | None = None, disabled: str = "") -> None:
        super().__init__(seed)
        self.plan = plan or Plan()
        self.disabled = disabled
        self.violations: list[str] = []
        self.jobs = {f"j{number}": Job(f"j{number}") for number in range(JOB_COUNT)}
        self._has_faults = True
        self._versions = [self._write_configuration(1)]
        self._daemons = [
            DaemonIncarnation(self, self._versions) for _ in range(DAEMON_COUNT)
        ]
        self._leaders: list[simulation.Process] = []

    def run(self, seconds: float) -> list[str]:
        """Run a history to its end; return the violations."""
        with self._patch_modules():
            self._replace_leaders()
            for job in self.jobs.values():
                self.call_later(
                    self.rng.uniform(0.0, seconds / 2), self._start_caller(job)
                )
            self.call_later(1.0, self._move_queue)
            self.call_later(1.0, self._restart_daemon)
            self.run_until(self.now + seconds)
            self._has_faults = False
            self.call_later(LATE_SECONDS[1], self._replace_leaders)
            # By then late calls are done and all daemons have the newest configuration.
            self.run_until(self.now + LATE_SECONDS[1] + 3.0)
            self._check_all_found()
            self.run_until(self.now + 4 * RETENTION_SECONDS)
            self._check_nothing_left()
        return self.violations

    @contextlib.contextmanager
    def _patch_modules(self) -> Iterator[None]:
        with contextlib.ExitStack() as stack:

            def patch(target: Any, name: str, value: Any) -> None:
                stack.enter_context(mock.patch.object(target, name, value))

            patch(acceptance, "anyio", self)
            patch(cancellation, "anyio", self)
            patch(http, "read_clock", lambda: self.read_clock(self._current))
            patch(log, "log_change", lambda *args, **kwargs: None)
            if self.disabled:
                disable_mechanism(self.disabled, patch)
            yield

    # -- callers

    def _start_caller(self, job: Job) -> Any:
        def start_caller() -> None:
            self._call(self._submit, job)
            for _ in range(4):
                self.call_later(
                    self.rng.uniform(0.1, 12.0), lambda: self._show_later(job)
                )
            if self.rng.random() < 0.3:
                self.call_later(
                    self.rng.uniform(0.5, 6.0), lambda: self._cancel_if_accepted(job)
                )

        return start_caller

    def _call(self, function: Any, job: Job) -> None:
        """Send a caller's request to a random daemon."""
        daemon = self.rng.choice(self._daemons)
        self.call_later(0.0, lambda: self.start_soon(function, daemon, job), daemon)

    def _show_later(self, job: Job) -> None:
        self._call(self._show, job)

    def _cancel_if_accepted(self, job: Job) -> None:
        if job.is_accepted:
            self._call(self._cancel, job)

    async def _submit(self, daemon: DaemonIncarnation, job: Job) -> None:
        job.attempts += 1
        verdicts = []
        self.call_later(3.0, lambda: None if verdicts else self._retry(job))
        queue = daemon.handler.find_queue("h", f"/q/{job.id}")
        if isinstance(queue, message.Answer):
            verdict = queue.verdict
        else:
            submitted = model.Job(job.id, queue.name, "", STEPS)
            verdict = (await daemon.handler.submit(queue, submitted)).verdict
        verdicts.append(verdict)
        job.verdicts.append(verdict)
        if verdict is message.Verdict.ACCEPTED:
            job.is_accepted = True
            if self.rng.random() < 0.5:
                self.call_later(self.rng.uniform(0.0, 4.0), lambda: self._repeat(job))
        else:
            self._retry(job)

    def _repeat(self, job: Job) -> None:
        """Repeat a submission after its answer."""
        if self._has_faults:
            self._call(self._submit, job)

    def _retry(self, job: Job) -> None:
        if len(job.verdicts) < 5 and self.rng.random() < 0.8 and self._has_faults:
            delay = self.rng.uniform(0.05, 1.0)
            self.call_later(delay, lambda: self._call(self._submit, job))

    async def _show(self, daemon: DaemonIncarnation, job: Job) -> None:
        was_accepted, previous_state = job.is_accepted, job.shown
        queue = daemon.handler.find_queue("h", f"/q/{job.id}")
        if isinstance(queue, message.Answer):
            return
        answer = await daemon.handler.show(queue, job.id)
        if answer.verdict is message.Verdict.MISSING and was_accepted:
            self._report(f"{job.id} was accepted and is missing")
        if answer.state is None:
            return
        if previous_state in FINAL and answer.state is not previous_state:
            self._report(
                f"{job.id} was shown as {previous_state}, then as {answer.state}"
            )
        if answer.state is model.JobState.CANCELLED and not job.is_cancelled:
            self._report(f"{job.id} is shown as cancelled, and nobody has asked for it")
        job.shown = answer.state

    async def _cancel(self, daemon: DaemonIncarnation, job: Job) -> None:
        queue = daemon.handler.find_queue("h", f"/q/{job.id}")
        if isinstance(queue, message.Answer):
            return
        job.is_cancelled = True
        answer = await daemon.handler.cancel(queue, job.id)
        if answer.verdict is message.Verdict.MISSING:
            self._report(f"{job.id} was accepted and can't be cancelled")

    # -- the operator and faults

    def _write_configuration(self, version: int) -> bytes:
        route = {
            "name": self.rng.choice(("q", "renamed")),
            "host": "h",
            "path_prefix": "/q/",
            "service": f"p{self.rng.randrange(self.plan.pools)}",
        }
        routes = [route] if version == 1 or self.rng.random() < 0.9 else []
        fields = {"version": version, "routes": routes, "services": []}
        return orjson.dumps(fields)

    def _move_queue(self) -> None:
        if not self._has_faults:
            return
        value = self._write_configuration(len(self._versions) + 1)
        self._versions.append(value)
        for daemon in self._daemons:
            delay = self.rng.uniform(0.0, 2.0)
            apply = daemon.follower._apply_catalogue
            self.call_later(delay, lambda apply=apply: apply(value), daemon)
        self.call_later(
            self.rng.expovariate(1 / self.plan.move_interval), self._move_queue
        )

    def _restart_daemon(self) -> None:
        if not self._has_faults:
            return
        number = self.rng.randrange(DAEMON_COUNT)
        self._daemons[number].is_terminated = True
        recent_versions = self._versions[-2:]
        applied_versions = (
            recent_versions[:1] if self.rng.random() < 0.5 else recent_versions[-1:]
        )
        self._daemons[number] = daemon = DaemonIncarnation(self, applied_versions)
        apply = daemon.follower._apply_catalogue
        newest = self._versions[-1]
        self.call_later(self.rng.uniform(0.2, 2.0), lambda: apply(newest), daemon)
        self.call_later(self.rng.expovariate(0.5), self._restart_daemon)

    def draw_delivery(self, process: Any, call: simulation.Call) -> simulation.Delivery:
        """Draw the fault and the delays of a call."""
        fault_probability = 0.06 if self._has_faults else 0.0
        late_probability = 3 * fault_probability if call.kind == "commit" else 0.0
        faults = ("", "refused", "lost", "unanswered", "late")
        weights = (
            1 - 3 * fault_probability - late_probability,
            fault_probability,
            fault_probability,
            fault_probability,
            late_probability,
        )
        fault = self.rng.choices(faults, weights)[0]
        max_delay = 0.3 if self.rng.random() < 0.2 else 0.01
        request_delay, answer_delay = (
            self.rng.uniform(0.001, max_delay),
            self.rng.uniform(0.001, max_delay),
        )
        if fault == "late":
            request_delay = self.rng.uniform(*LATE_SECONDS)
        return simulation.Delivery(fault, request_delay, answer_delay)

    def is_disconnected(self, process: Any) -> bool:
        """Return whether a process can't reach the store."""
        return False

    # -- leaders

    def _replace_leaders(self) -> None:
        """Replace the leader of each pool."""
        for leader in self._leaders:
            leader.is_terminated = True
        self._leaders = [simulation.Process() for _ in range(self.plan.pools)]
        for number, leader in enumerate(self._leaders):
            self.call_later(0.0, self._make_leader(f"p{number}"), leader)

    def _make_leader(self, pool: str) -> Any:
        return lambda: self.start_soon(self._lead, pool, random.Random(self._count))

    async def _lead(self, pool: str, rng: random.Random) -> None:
        """Complete the pool's jobs after a while, and compact their rows."""
        client, compactor = simulation.StoreClient(), compaction.Compactor(pool)
        completion_times: dict[str, float] = {}
        parsed_rows = [orjson.loads(row.value or b"") for row in self._list_rows(pool)]
        row_pairs = zip(self._list_rows(pool), parsed_rows, strict=True)
        unfinished_ids = {row.key for row, fields in row_pairs if "final" not in fields}
        progress_rows = self.store.read(pool_record.PROGRESS_TABLE, pool).rows
        removable_ids = {
            row.key for row in progress_rows if row.key not in unfinished_ids
        }
        while True:
            await self.sleep(0.25)
            for row in self._list_rows(pool):
                fields = orjson.loads(row.value or b"")
                location = compaction.RowLocation(row.table, row.part)
                if "final" in fields:
                    compactor.on_final_row(
                        row.key, location, row.version, fields["finished"]
                    )
                    if row.key in unfinished_ids - completion_times.keys():
                        # A compaction by the leader before has just been applied.
                        unfinished_ids.discard(row.key)
                        removable_ids.add(row.key)
                    continue
                completes_at = completion_times.setdefault(
                    row.key, self.now + rng.uniform(0.5, 8.0)
                )
                if self.now >= completes_at and not compactor.is_waiting(row.key):
                    final = await self._finish(client, pool, row.key, fields)
                    if final is not None:
                        cancelled_at = row.version if fields.get("cancelled") else 0
                        state = progress.resolve_final_state(*final, cancelled_at)
                        compactor.add(row.key, location, state, row.version, final[1])
            store_time = self.now + simulation.STORE_CLOCK_OFFSET_SECONDS
            batch = compactor.collect(store_time, RETENTION_SECONDS)
            if batch is not None:
                change = await client.commit(batch.transaction, timeout=1.0)
                removable_ids.update(compactor.on_result(batch, change))
            for id in list(removable_ids):
                deletion = rows.Write(pool_record.PROGRESS_TABLE, pool, id, None)
                change = await client.commit(
                    rows.Transaction((), (deletion,)), timeout=1.0
                )
                if change.outcome is table.Outcome.DONE:
                    removable_ids.discard(id)

    async def _finish(
        self, client: simulation.StoreClient, pool: str, id: str, fields: dict[str, Any]
    ) -> tuple[model.JobState, int] | None:
        """Make a final state durable, as a leader does before compaction."""
        location = (pool_record.PROGRESS_TABLE, pool, id)
        existing = self.store.rows.get(location)
        if existing is not None:
            state = model.JobState(orjson.loads(existing.value or b"")["final"])
            return state, existing.version
        is_cancelled = fields.get("cancelled", False)
        state = FINAL[2] if is_cancelled else FINAL[0]
        write = rows.Write(*location, orjson.dumps({"final": state.value}))
        is_absent = rows.Condition(*location, 0)
        change = await client.commit(
            rows.Transaction((is_absent,), (write,)), timeout=1.0
        )
        is_done = change.outcome is table.Outcome.DONE
        return (state, change.version) if is_done else None

    def _list_rows(self, pool: str) -> list[rows.Row]:
        return [row for row in self.store.rows.values() if find_pool(row) == pool]

    # -- checks

    def on_commit(self, process: Any, call: simulation.Call) -> None:
        """Record in which pools there are rows of each job."""
        for row in reversed(self.store.changes):
            if row.version != self.store.version:
                break
            pool = find_pool(row) if row.value is not None else ""
            if not pool or row.key not in self.jobs:
                continue
            pools = self.jobs[row.key].pools
            pools.add(pool)
            if len(pools) > 1:
                self._report(f"{row.key} is accepted in {sorted(pools)}")

    def _check_all_found(self) -> None:
        for job in self.jobs.values():
            are_all_answered = job.attempts == len(job.verdicts)
            if job.pools and are_all_answered and set(job.verdicts) <= REFUSALS:
                self._report(f"{job.id} was refused at every try and accepted")
            if job.is_accepted and not job.pools:
                self._report(f"{job.id} was accepted and lies in no pool")

    def _check_nothing_left(self) -> None:
        remaining_tables = sorted(
            {key[0] for key in self.store.rows if key[2] in self.jobs}
        )
        if remaining_tables:
            self._report(f"rows of jobs are left in {remaining_tables}")

    def _report(self, text: str) -> None:
        self.violations.append(f"{self.now:.3f} {text}")


def find_pool(row: rows.Row) -> str:
    """Return the pool of a job's row, or an empty string for another row."""
    name = row.table.removeprefix(pool_record.JOB_TABLE)
    return orjson.loads(row.value or b"{}")["pool"] if name.isdigit() else ""


def disable_mechanism(mechanism: str, patch: Any) -> None:
    """Disable one mechanism."""
    original_build = acceptance._build_transaction
    original_locate = jobrows.JobReader.locate
    original_remove = compaction.Compactor._remove
    original_read_holder = pool_record.read_holder

    def build_unconditionally(*args: Any) -> rows.Transaction:
        return original_build(*args)._replace(conditions=())

    async def locate_in_pool(self: Any, pool: str, id: str) -> Any:
        lookup = await self.find(pool, id)
        if (
            isinstance(lookup, jobrows.StoredJob)
            or lookup.outcome is not table.Outcome.DONE
        ):
            return await original_locate(self, pool, id)
        final = record.JobRecord(None, 0.0, False, finished=math.inf)
        row = rows.Row("", "", id, None, 0)
        return jobrows.Absence(0.0, jobrows.StoredJob(row, final, 0.0))

    def remove_own_row_only(self: Any, before: float) -> Any:
        batch = original_remove(self, before)
        if batch is None:
            return None
        transaction = batch.transaction._replace(writes=batch.transaction.writes[:1])
        return batch._replace(transaction=transaction)

    async def withdraw_nothing(*args: Any) -> rows.Change:
        return rows.Change(table.Outcome.DONE)

    def read_pool_only(value: bytes) -> pool_record.Holder:
        return original_read_holder(value)._replace(is_withdrawn=False)

    if mechanism == "condition":
        patch(acceptance, "_build_transaction", build_unconditionally)
    elif mechanism == "holder":
        patch(jobrows.JobReader, "locate", locate_in_pool)
    elif mechanism == "removal":
        patch(compaction.Compactor, "_remove", remove_own_row_only)
    elif mechanism == "withdrawal":
        patch(withdrawal.Withdrawals, "withdraw", withdraw_nothing)
    elif mechanism == "renewal":
        patch(withdrawal.Withdrawals, "is_removed_soon", lambda self, final: False)
    elif mechanism == "refusal":
        patch(pool_record, "read_holder", read_pool_only)
