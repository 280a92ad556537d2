"""Histories of jobs that are submitted, shown and cancelled while their queue moves.

Plays the real request handlers of several daemons on simulated time: a queue moves
among pools, daemons follow late and restart with the newest configuration or the one
before, calls are lost, slow or carried out seconds late, and final jobs are tidied
away.
"""

import contextlib
import random
from collections.abc import Iterator
from typing import Any, NamedTuple
from unittest import mock

import orjson

from wigeonhitch.jobs import model, progress
from wigeonhitch.leadership.tests import simulation
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import compaction
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import acceptance, configuration, handler, jobrows, message
from wigeonhitch.telemetry import log, metric

DAEMONS = 4

JOBS = 12

KEPT = 20.0
"""Seconds for which final rows are kept: far longer than a call may be late."""

LATE = (0.5, 6.0)
"""Seconds after which a call without an answer may be carried out."""

STEPS = (model.Step(1, model.Room(1000, 10)),)

FINAL = (model.JobState.COMPLETED, model.JobState.FAILED, model.JobState.CANCELLED)

REFUSALS = {message.Verdict.NOT_RUN, message.Verdict.NO_QUEUE}


class Plan(NamedTuple):
    """What a history holds."""

    pools: int = 4
    moves: float = 1.5
    """Mean seconds between two configurations."""


class Job:
    """One job as its caller sees it."""

    def __init__(self, id: str) -> None:
        self.id = id
        self.verdicts: list[message.Verdict] = []
        self.tries = 0
        self.is_accepted = False
        self.is_cancelled = False
        """Whether its cancelling was asked for."""
        self.shown: model.JobState | None = None
        self.pools: set[str] = set()
        """Pools in which a row of it has been written."""


class Life(simulation.Process):
    """One life of a daemon, as far as it answers callers."""

    def __init__(self, world: "World", newest: list[bytes]) -> None:
        self.clock_offset = world.rng.uniform(0.0, 1000.0)
        self.follower = configuration.ConfigurationFollower(
            simulation.StoreClient(), lambda: None
        )
        for one in newest:
            self.follower._apply_catalogue(one)
        self.handler = handler.RequestHandler(
            simulation.StoreClient(),
            lambda: self.follower.catalogue,
            metric.Instruments(),
        )


class World(simulation.Schedule):
    """Callers, daemons, the store, and what tidies each pool's final jobs."""

    def __init__(self, seed: int, plan: Plan | None = None, off: str = "") -> None:
        super().__init__(seed)
        self.plan = plan or Plan()
        self.off = off
        self.faults: list[str] = []
        self.jobs = {f"j{number}": Job(f"j{number}") for number in range(JOBS)}
        self._has_trouble = True
        self._versions = [self._write_configuration(1)]
        self._lives = [Life(self, self._versions) for _ in range(DAEMONS)]
        self._leaders: list[simulation.Process] = []

    def play(self, seconds: float) -> list[str]:
        """Play a history to its end; return what went wrong."""
        with self._replace():
            self._succeed_leaders()
            for job in self.jobs.values():
                self.call_later(self.rng.uniform(0.0, seconds / 2), self._bring(job))
            self.call_later(1.0, self._move)
            self.call_later(1.0, self._restart)
            self.run_until(self.now + seconds)
            self._has_trouble = False
            self.call_later(LATE[1], self._succeed_leaders)
            # What was late is done, and every daemon has the newest configuration.
            self.run_until(self.now + LATE[1] + 3.0)
            self._check_all_found()
            self.run_until(self.now + 4 * KEPT)
            self._check_nothing_left()
        return self.faults

    @contextlib.contextmanager
    def _replace(self) -> Iterator[None]:
        with contextlib.ExitStack() as stack:

            def put(where: Any, name: str, value: Any) -> None:
                stack.enter_context(mock.patch.object(where, name, value))

            put(acceptance, "anyio", self)
            put(handler, "anyio", self)
            put(http, "read_clock", lambda: self.read_clock(self._current))
            put(log, "log_change", lambda *given, **named: None)
            if self.off:
                switch_off(self.off, put)
            yield

    # -- callers

    def _bring(self, job: Job) -> Any:
        def bring() -> None:
            self._call(self._submit, job)
            for _ in range(4):
                self.call_later(self.rng.uniform(0.1, 12.0), lambda: self._ask(job))
            if self.rng.random() < 0.3:
                self.call_later(
                    self.rng.uniform(0.5, 6.0), lambda: self._cancel_soon(job)
                )

        return bring

    def _call(self, function: Any, job: Job) -> None:
        """Make a call of a caller at any daemon."""
        life = self.rng.choice(self._lives)
        self.call_later(0.0, lambda: self.start_soon(function, life, job), life)

    def _ask(self, job: Job) -> None:
        self._call(self._show, job)

    def _cancel_soon(self, job: Job) -> None:
        if job.is_accepted:
            self._call(self._cancel, job)

    async def _submit(self, life: Life, job: Job) -> None:
        job.tries += 1
        answered = []
        self.call_later(3.0, lambda: None if answered else self._retry(job))
        queue = life.handler.find_queue("h", f"/q/{job.id}")
        if isinstance(queue, message.Answer):
            verdict = queue.verdict
        else:
            given = model.Job(job.id, queue.name, "", STEPS)
            verdict = (await life.handler.submit(queue, given)).verdict
        answered.append(verdict)
        job.verdicts.append(verdict)
        if verdict is message.Verdict.ACCEPTED:
            job.is_accepted = True
            if self.rng.random() < 0.5:
                self.call_later(self.rng.uniform(0.0, 4.0), lambda: self._again(job))
        else:
            self._retry(job)

    def _again(self, job: Job) -> None:
        """Let a repetition arrive after the answer."""
        if self._has_trouble:
            self._call(self._submit, job)

    def _retry(self, job: Job) -> None:
        if len(job.verdicts) < 5 and self.rng.random() < 0.8 and self._has_trouble:
            delay = self.rng.uniform(0.05, 1.0)
            self.call_later(delay, lambda: self._call(self._submit, job))

    async def _show(self, life: Life, job: Job) -> None:
        accepted, before = job.is_accepted, job.shown
        queue = life.handler.find_queue("h", f"/q/{job.id}")
        if isinstance(queue, message.Answer):
            return
        answer = await life.handler.show(queue, job.id)
        if answer.verdict is message.Verdict.MISSING and accepted:
            self._tell(f"{job.id} was accepted and is missing")
        if answer.state is None:
            return
        if before in FINAL and answer.state is not before:
            self._tell(f"{job.id} was shown as {before}, then as {answer.state}")
        if answer.state is model.JobState.CANCELLED and not job.is_cancelled:
            self._tell(f"{job.id} is shown as cancelled, and nobody has asked for it")
        job.shown = answer.state

    async def _cancel(self, life: Life, job: Job) -> None:
        queue = life.handler.find_queue("h", f"/q/{job.id}")
        if isinstance(queue, message.Answer):
            return
        job.is_cancelled = True
        answer = await life.handler.cancel(queue, job.id)
        if answer.verdict is message.Verdict.MISSING:
            self._tell(f"{job.id} was accepted and can't be cancelled")

    # -- the operator, and trouble

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

    def _move(self) -> None:
        if not self._has_trouble:
            return
        made = self._write_configuration(len(self._versions) + 1)
        self._versions.append(made)
        for life in self._lives:
            delay = self.rng.uniform(0.0, 2.0)
            take = life.follower._apply_catalogue
            self.call_later(delay, lambda take=take: take(made), life)
        self.call_later(self.rng.expovariate(1 / self.plan.moves), self._move)

    def _restart(self) -> None:
        if not self._has_trouble:
            return
        number = self.rng.randrange(DAEMONS)
        self._lives[number].is_terminated = True
        newest = self._versions[-2:]
        known = newest[:1] if self.rng.random() < 0.5 else newest[-1:]
        self._lives[number] = life = Life(self, known)
        take = life.follower._apply_catalogue
        last = self._versions[-1]
        self.call_later(self.rng.uniform(0.2, 2.0), lambda: take(last), life)
        self.call_later(self.rng.expovariate(0.5), self._restart)

    def draw_delivery(self, process: Any, call: simulation.Call) -> simulation.Delivery:
        """Return what becomes of a call."""
        odds = 0.06 if self._has_trouble else 0.0
        odds_late = 3 * odds if call.kind == "commit" else 0.0
        fates = ("", "refused", "lost", "unanswered", "late")
        weights = (1 - 3 * odds - odds_late, odds, odds, odds, odds_late)
        fate = self.rng.choices(fates, weights)[0]
        slow = 0.3 if self.rng.random() < 0.2 else 0.01
        out, back = self.rng.uniform(0.001, slow), self.rng.uniform(0.001, slow)
        if fate == "late":
            out = self.rng.uniform(*LATE)
        return simulation.Delivery(fate, out, back)

    def is_disconnected(self, process: Any) -> bool:
        """Whether a process can't reach the store."""
        return False

    # -- what tidies a pool

    def _succeed_leaders(self) -> None:
        """Have each pool tidied by a new leader."""
        for one in self._leaders:
            one.is_terminated = True
        self._leaders = [simulation.Process() for _ in range(self.plan.pools)]
        for number, one in enumerate(self._leaders):
            self.call_later(0.0, self._make_leader(f"p{number}"), one)

    def _make_leader(self, pool: str) -> Any:
        return lambda: self.start_soon(self._lead, pool, random.Random(self._count))

    async def _lead(self, pool: str, rng: random.Random) -> None:
        """Complete the pool's jobs after a while, and tidy their rows."""
        port, tidier = simulation.StoreClient(), compaction.Compactor(pool)
        began: dict[str, float] = {}
        read = [orjson.loads(row.value or b"") for row in self._list_rows(pool)]
        listed = zip(self._list_rows(pool), read, strict=True)
        known = {row.key for row, fields in listed if "final" not in fields}
        noted = self.store.read(pool_record.PROGRESS_TABLE, pool).rows
        spent = {row.key for row in noted if row.key not in known}
        while True:
            await self.sleep(0.25)
            for row in self._list_rows(pool):
                fields = orjson.loads(row.value or b"")
                place = compaction.RowLocation(row.table, row.part)
                if "final" in fields:
                    tidier.on_final_row(row.key, place, row.version, fields["finished"])
                    continue
                due = began.setdefault(row.key, self.now + rng.uniform(0.5, 8.0))
                if self.now >= due and not tidier.is_waiting(row.key):
                    ended = await self._finish(port, pool, row.key, fields)
                    if ended is not None:
                        cancelled_at = row.version if fields.get("cancelled") else 0
                        state = progress.resolve_final_state(*ended, cancelled_at)
                        tidier.add(row.key, place, state, row.version, ended[1])
            work = tidier.collect(self.now, KEPT)
            if work is not None:
                change = await port.commit(work.transaction, timeout=1.0)
                spent.update(tidier.on_result(work, change))
            for id in list(spent):
                gone = rows.Write(pool_record.PROGRESS_TABLE, pool, id, None)
                change = await port.commit(rows.Transaction((), (gone,)), timeout=1.0)
                if change.outcome is table.Outcome.DONE:
                    spent.discard(id)

    async def _finish(
        self, port: simulation.StoreClient, pool: str, id: str, fields: dict[str, Any]
    ) -> tuple[model.JobState, int] | None:
        """Make a final state durable, as a leader does before it tidies."""
        place = (pool_record.PROGRESS_TABLE, pool, id)
        known = self.store.rows.get(place)
        if known is not None:
            state = model.JobState(orjson.loads(known.value or b"")["final"])
            return state, known.version
        is_cancelled = fields.get("cancelled", False)
        state = FINAL[2] if is_cancelled else FINAL[0]
        write = rows.Write(*place, orjson.dumps({"final": state.value}))
        absent = rows.Condition(*place, 0)
        change = await port.commit(rows.Transaction((absent,), (write,)), timeout=1.0)
        is_done = change.outcome is table.Outcome.DONE
        return (state, change.version) if is_done else None

    def _list_rows(self, pool: str) -> list[rows.Row]:
        return [one for one in self.store.rows.values() if find_pool(one) == pool]

    # -- what is checked

    def on_commit(self, process: Any, call: simulation.Call) -> None:
        """Note in which pools there are rows of each job."""
        for row in reversed(self.store.changes):
            if row.version != self.store.version:
                break
            pool = find_pool(row) if row.value is not None else ""
            if not pool or row.key not in self.jobs:
                continue
            pools = self.jobs[row.key].pools
            pools.add(pool)
            if len(pools) > 1:
                self._tell(f"{row.key} is accepted in {sorted(pools)}")

    def _check_all_found(self) -> None:
        for job in self.jobs.values():
            is_answered = job.tries == len(job.verdicts)
            if job.pools and is_answered and set(job.verdicts) <= REFUSALS:
                self._tell(f"{job.id} was refused at every try and accepted")
            if job.is_accepted and not job.pools:
                self._tell(f"{job.id} was accepted and lies in no pool")

    def _check_nothing_left(self) -> None:
        left = sorted({key[0] for key in self.store.rows if key[2] in self.jobs})
        if left:
            self._tell(f"rows of jobs are left in {left}")

    def _tell(self, text: str) -> None:
        self.faults.append(f"{self.now:.3f} {text}")


def find_pool(row: rows.Row) -> str:
    """Return the pool whose job a row is, empty if it is another row."""
    name = row.table.removeprefix(pool_record.JOB_TABLE)
    return orjson.loads(row.value or b"{}")["pool"] if name.isdigit() else ""


def switch_off(mechanism: str, put: Any) -> None:
    """Take one mechanism out."""
    plan, find = acceptance._build_transaction, handler.RequestHandler._find
    remove = compaction.Compactor._remove

    def plan_unconditionally(*given: Any) -> rows.Transaction:
        return plan(*given)._replace(conditions=())

    async def find_in_pool(self: Any, queue: model.Queue, id: str) -> Any:
        found = await self._jobs.find(queue.pool, id)
        if (
            isinstance(found, jobrows.StoredJob)
            or found.outcome is not table.Outcome.DONE
        ):
            return await find(self, queue, id)
        return message.Answer(message.Verdict.MISSING)

    def remove_own_row(self: Any, before: float) -> Any:
        work = remove(self, before)
        if work is None:
            return None
        kept = work.transaction._replace(writes=work.transaction.writes[:1])
        return work._replace(transaction=kept)

    if mechanism == "condition":
        put(acceptance, "_build_transaction", plan_unconditionally)
    elif mechanism == "holder":
        put(handler.RequestHandler, "_find", find_in_pool)
    elif mechanism == "removal":
        put(compaction.Compactor, "_remove", remove_own_row)
