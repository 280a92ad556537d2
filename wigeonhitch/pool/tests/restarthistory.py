"""Simulated histories of two pools whose workers return and move under their ids.

Each pool is a `history.World` with its own leaders and rows; fencing tokens come from
one counter. Workers are restarted, some of them twice in a row or with their time of
day set back, and move between the pools. Their entries are written late, are removed
and come back, or are replaced by another writer's until the next heartbeat. Leaders
stall and read what has arrived meanwhile only afterwards.

An order that is delayed by more than 2 s doesn't reach the next incarnation of a
worker, and neither does one of a leader that has a successor (see `transfer`).
"""

import collections
import itertools
import random
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

from standins import siteworker
from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import entries, rows, workers
from wigeonhitch.pool import core, transfer, view, vm
from wigeonhitch.pool import record as pool_record
from wigeonhitch.pool.tests import history

HEARTBEAT_SECONDS = 1.5
EXPIRY_SECONDS = 3 * HEARTBEAT_SECONDS
MOVE_SECONDS = 1.5
MIN_DOWN_SECONDS = 0.02
MAX_CLOCK_STEP_MS = 10_000
FIRST_START_MS = 1_000_000_000
NO_FAULT_RATE = 1e-9
MAX_READ_AGE_SECONDS = 2.0
"""Age of the entries that a daemon knows when it takes over."""

SETTLE_SECONDS = 15.0
"""Seconds after the last fault by which workers are back and silences are over."""


class Faults(NamedTuple):
    """Mean numbers of faults per second, and the kinds of those with several.

    ``restarts`` and ``moves`` are per worker. ``starts`` are the starts that restarted
    workers report compared with the former one: "ahead", "back" or "equal".
    ``foreign`` are the fields that another writer's entries have wrong.
    """

    restarts: float = 0.0
    moves: float = 0.0
    foreign_entries: float = 0.0
    removed_entries: float = 0.0
    stalls: float = 0.0
    late_entry_share: float = 0.0
    old_read_share: float = 0.0
    restart_at_stall_share: float = 0.0
    second_takeover_share: float = 0.0
    starts: tuple[str, ...] = ("ahead", "back")
    foreign: tuple[str, ...] = ("ahead", "none", "address", "pool")


EQUAL_STARTS = Faults(restarts=0.08, starts=("ahead", "equal"))
"""Starts that tell nothing apart, as a clock was set back by just the time between."""

KINDS = {
    "restarts": Faults(restarts=0.08, starts=("ahead",)),
    "clocks": Faults(restarts=0.08, late_entry_share=0.5, stalls=0.1),
    "stalls": Faults(
        restarts=0.04,
        stalls=0.5,
        restart_at_stall_share=0.5,
        second_takeover_share=0.3,
        old_read_share=0.5,
    ),
    "entries": Faults(
        restarts=0.04,
        late_entry_share=0.5,
        foreign_entries=0.2,
        removed_entries=0.1,
    ),
    "moves": Faults(restarts=0.02, moves=0.05, stalls=0.1, late_entry_share=0.3),
    "all": Faults(
        restarts=0.05,
        moves=0.03,
        foreign_entries=0.1,
        removed_entries=0.05,
        stalls=0.2,
        late_entry_share=0.5,
        second_takeover_share=0.2,
        old_read_share=0.3,
    ),
}


class Incarnation(siteworker.Worker):
    """One incarnation of a worker, in a pool and at an address.

    Parameters
    ----------
    worker_id : str
        Id that all incarnations of the worker share.
    number : int
        Number of the incarnation, from 0.
    start_ms : int
        Time of the start by the worker's own time of day.
    """

    def __init__(
        self,
        events: list[siteworker.Event],
        rng: random.Random,
        *,
        worker_id: str,
        number: int,
        start_ms: int,
        pool: str,
        now: float,
    ) -> None:
        super().__init__(
            f"{worker_id}#{number}",
            events,
            rng,
            drift=rng.choice((0.0, 0.02)),
            failure_rate=rng.choice((0.0, 0.02)),
            max_work_seconds=rng.choice((0.15, 0.5, 1.0)),
        )
        self.worker_id = worker_id
        self.number = number
        self.start_ms = start_ms
        self.pool = pool
        self.address = worker_id
        self.started_at = now
        if number:
            self._offset = 0.001 - now * (1 - self._drift)


class PoolWorld(history.World):
    """One of the pools of a site."""

    def __init__(
        self,
        site: "Site",
        seed: int,
        name: str,
        mechanisms: history.Mechanisms,
        versions: Iterator[int],
    ) -> None:
        super().__init__(seed, mechanisms, vms=0, name=name, restart_rate=1.0)
        self.site = site
        self.events = site.events
        self.store = history.Store(versions)
        self.job_prefix = f"{name}-"
        self.depositions = 0
        self._read_at = 0.0
        """Time of the entries that the last leader has read."""
        self._ends: dict[str, vm.VmEnd] = {}
        self._closed: set[str] = set()
        self._closings_version = 0
        self._feeds: dict[history.Leader, collections.deque[Any]] = {}

    # -- workers

    def _restart_some(self) -> None:
        """Leave restarts to the site."""

    def _get_id(self, worker: Any) -> str:
        return worker.worker_id

    def _report_start(self, worker: Any) -> int:
        return worker.start_ms if self.mechanisms.report_starts else 0

    def _find_worker(self, id: str) -> siteworker.Worker:
        return self.site.workers[id]

    def list_entries(self) -> list[entries.WorkerEntry]:
        """Return the workers' registrations, as a new leader reads them."""
        return list(self.site.read_entries(self._read_at).values())

    def make_entry(self, worker: Any, clock: float | None) -> entries.WorkerEntry:
        """Return the registration of a worker."""
        entry = super().make_entry(worker, clock)
        return entry._replace(pool=worker.pool, address=worker.address)

    # -- leaders

    def _disturb(self) -> None:
        super()._disturb()
        if self.leaders[-1].pool.deposed and self.rng.random() < history.STEP * 2:
            self.depositions += 1
            self._change_leader()

    def _change_leader(self) -> None:
        self._take_over()
        if self.rng.random() < self.site.faults.second_takeover_share:
            self.call_later(self.rng.uniform(0.1, 1.5), self._take_over)

    def _take_over(self) -> None:
        self._read_at = self.now
        if self.rng.random() < self.site.faults.old_read_share:
            self._read_at -= self.rng.uniform(0.0, MAX_READ_AGE_SECONDS)
        super()._change_leader()
        if not self.mechanisms.opaque_starts:
            ignore_lower_starts(self.leaders[-1].pool)
        if not self.mechanisms.entries_prove_nothing:
            trust_entries(self.leaders[-1].pool)
        self._close_workers(self.leaders[-1])
        self._feeds = {
            leader: self._feeds.get(leader, collections.deque())
            for leader in self.leaders
        }
        for change in self.site.list_changes(self._read_at):
            self._tell_leader(self.leaders[-1], change)

    def stall(self) -> None:
        """Let the leader stand still; it leads on, or finds that it has a successor."""
        leader = self.leaders[-1]
        stalled_until = self.now + self.rng.uniform(0.1, 3.0)
        leader.paused_until = max(leader.paused_until, stalled_until)

    def tell(self, action: Callable[[history.Leader], None]) -> None:
        """Tell all leaders in turn, each in the order of the store's changes."""
        for leader in self.leaders:
            self._tell_leader(leader, action)

    def _tell_leader(
        self, leader: history.Leader, action: Callable[[history.Leader], None]
    ) -> None:
        self._feeds.setdefault(leader, collections.deque()).append(action)
        late = self.rng.random() < 0.1
        delay = self.rng.uniform(0.3, 2.0) if late else self.rng.uniform(0.01, 0.1)
        self.call_later(delay, lambda: self._read_feed(leader))

    def _read_feed(self, leader: history.Leader) -> None:
        if leader.paused_until > self.now:
            delay = leader.paused_until - self.now + self.rng.uniform(0.0, 0.1)
            self.call_later(delay, lambda: self._read_feed(leader))
        elif leader in self._feeds and leader.alive:
            self._feeds[leader].popleft()(leader)

    def close(self, name: str, end: vm.VmEnd | None) -> None:
        """Close an incarnation of a worker, or record that it has ended."""
        self._closed.add(name)
        if end is not None:
            self._ends[name] = end
        self._closings_version += 1
        self.tell(self._close_workers)

    def _close_workers(self, leader: history.Leader) -> None:
        leader.pool.set_closed(
            frozenset(self._closed), dict(self._ends), self._closings_version
        )

    def log_event(self, epoch: int, event: str, **fields: Any) -> None:
        """Keep a log line of a leader if the history is traced."""
        if self.site.trace is not None:
            line = (self.now, f"{self.name} leader {epoch}", event, fields)
            self.site.trace.append(line)

    # -- jobs

    def submit_burst(self) -> None:
        """Submit a job with tasks for all workers of the pool, several times over."""
        self._jobs += 1
        room = model.Room(history.STEP_CPU[0], 1000)
        step = model.Step(20 * len(self.workers), room, 0.6)
        self.add_job(model.Job(f"{self.job_prefix}{self._jobs}", "q", "", (step,)))

    def is_recorded(self, task: model.Task) -> bool:
        """Return whether a task is stored as done, or its job as final."""
        stored = self.store.rows.get((pool_record.PROGRESS_TABLE, task.job))
        if stored is None:
            return False
        value, version = stored
        row, _ = self.store.rows["job", task.job]
        state = progress.Progress(record.read_job(task.job, row).job, version, 0.0)
        record.read_progress(state, value)
        return state.final is not None or state.is_done(task)

    # -- calls

    def _send(
        self,
        leader: history.Leader,
        entry: entries.WorkerEntry,
        call: Any,
        answer: Any,
        gone: Any = None,
    ) -> None:
        addressed = self.site.workers.get(entry.id)
        rng, rate = self.rng, self.fault_rate
        late = rng.random() < 0.04 * rate
        lost = rng.random() < 0.04 * rate
        delay = rng.uniform(2, 12) if late else rng.uniform(0.001, 0.05)
        if not late and rng.random() < 0.08 * rate:
            delay = rng.uniform(0.05, transfer.ORDER_FLIGHT_SECONDS - 0.1)
        back = rng.uniform(0.001, 0.05)
        if rng.random() < 0.05 * rate:
            back = rng.uniform(0.05, 0.6)
        sent = self.now
        state = {"answered": False}

        def deliver() -> None:
            worker = self.site.workers.get(entry.id)
            if worker is None or worker.address != entry.address:
                return
            if worker is not addressed and (late or leader is not self.leaders[-1]):
                return
            is_silent = self.silent.get(entry.id, 0.0) > self.now and not late
            if is_silent or not worker.alive:
                return
            result = self._call(worker, call, leader, sent)
            if not worker.alive or late or lost:
                return
            clock, start_ms = worker.read_clock(self.now), self._report_start(worker)
            self.call_later(back, lambda: give(result, clock, start_ms))

        def give(result: Any, clock: float, start_ms: int = 0) -> None:
            if leader.paused_until > self.now:
                delay = leader.paused_until - self.now
                self.call_later(delay, lambda: give(result, clock, start_ms))
            elif not state["answered"]:
                state["answered"] = True
                answer(result, clock, sent, start_ms)

        self.call_later(delay, deliver)
        self.call_later(0.7, lambda: give(None, 0.0))

    def _call(
        self, worker: siteworker.Worker, call: Any, leader: history.Leader, sent: float
    ) -> Any:
        """Call a worker, and record ends that it forgets before they are stored."""
        count = len(self.events)
        result = call(worker)
        for event in self.events[count:]:
            is_noted = event.kind == "noted" and event.outcome == model.End.DONE.value
            if is_noted and not self.site.is_recorded(event.task):
                self.events.append(event._replace(kind="unrecorded"))
                epoch = leader.pool.run_number_base // view.RUN_NUMBERS_PER_LEADER + 1
                self.log_event(
                    epoch, "end forgotten", worker=worker.id, task=event.task, sent=sent
                )
        return result

    def answer_commit(
        self, leader: history.Leader, batch: Any, change: rows.Change
    ) -> None:
        """Give a leader the answer to a commit; one that stalls reads it afterwards."""
        if leader.paused_until > self.now:
            delay = leader.paused_until - self.now
            self.call_later(delay, lambda: self.answer_commit(leader, batch, change))
        else:
            super().answer_commit(leader, batch, change)


class _Change(NamedTuple):
    """A change of a worker's entry, None if it was removed, and how it is told."""

    time: float
    id: str
    entry: entries.WorkerEntry | None
    action: Callable[[history.Leader], None]


def ignore_lower_starts(pool: core.Pool) -> None:
    """Let a leader take the highest start for that of a worker's last incarnation."""
    on_worker, on_hold = pool.on_worker, pool.on_hold
    highest: dict[str, int] = {}

    def is_lower(id: str, start_ms: int) -> bool:
        highest[id] = max(highest.get(id, 0), start_ms)
        return start_ms < highest[id]

    def filter_entry(entry: entries.WorkerEntry, now: float) -> None:
        if not is_lower(entry.id, entry.start_ms):
            on_worker(entry, now)

    def filter_reply(machine: vm.Vm, reply: workers.HoldReply, now: float) -> None:
        is_answered = reply.verdict is workers.Verdict.DONE
        if not (is_answered and is_lower(machine.entry.id, reply.start_ms)):
            on_hold(machine, reply, now)

    pool.on_worker, pool.on_hold = filter_entry, filter_reply


def trust_entries(pool: core.Pool) -> None:
    """Let a leader take an entry for a proof that other incarnations have ended."""
    on_worker = pool.on_worker

    def drop_others(entry: entries.WorkerEntry, now: float) -> None:
        on_worker(entry, now)
        for machine in list(pool.vms.values()):
            if machine.entry.id == entry.id and machine.id != entry.incarnation:
                pool.drop_vm(machine, vm.VmEnd.LOST)

    pool.on_worker = drop_others


class Site:
    """The workers of two pools, their entries, and the pools.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    faults : Faults
        What happens to workers, entries and leaders.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults,
        mechanisms: history.Mechanisms | None = None,
        *,
        sizes: tuple[int, ...] = (3, 2),
        is_traced: bool = False,
    ) -> None:
        self.rng = random.Random(seed)
        self.faults = faults
        self.events: list[siteworker.Event] = []
        self.trace: list[tuple[float, str, str, Any]] | None = [] if is_traced else None
        self._changes: list[_Change] = []
        """All changes of the workers' entries so far."""
        self.workers: dict[str, Incarnation] = {}
        """Last incarnation of each worker, by its id."""
        self.faults_ended_at = 0.0
        versions = itertools.count(1)
        mechanisms = mechanisms or history.Mechanisms()
        self.pools = {
            f"p{number}": PoolWorld(
                self, len(sizes) * seed + number, f"p{number}", mechanisms, versions
            )
            for number in range(len(sizes))
        }
        self._clock = next(iter(self.pools.values()))
        names = [
            name for name, n in zip(self.pools, sizes, strict=True) for _ in range(n)
        ]
        for number, name in enumerate(names):
            self._add(f"w{number}", 0, FIRST_START_MS + number, name)
        for worker in self.workers.values():
            self._write_entry(self._make_entry(worker))

    @property
    def now(self) -> float:
        """Time in seconds."""
        return self._clock.now

    def run(self, seconds: float) -> None:
        """Simulate a number of seconds."""
        for _ in range(round(seconds / history.STEP)):
            self._disturb()
            for pool in self.pools.values():
                pool.run(history.STEP)

    def end_faults(self, seconds: float) -> None:
        """Simulate the time after the last fault, with work for each worker."""
        self.faults = Faults(starts=self.faults.starts)
        for pool in self.pools.values():
            pool.fault_rate = NO_FAULT_RATE
            pool._submit = lambda: None
        self.run(SETTLE_SECONDS)
        self.faults_ended_at = self.now
        for pool in self.pools.values():
            pool.submit_burst()
        self.run(seconds)

    def is_recorded(self, task: model.Task) -> bool:
        """Return whether a task is stored as done, or its job as final."""
        return self.pools[task.job.partition("-")[0]].is_recorded(task)

    # -- workers

    def _occurs(self, rate: float) -> bool:
        return self.rng.random() < history.STEP * rate

    def _disturb(self) -> None:
        alive = [worker for worker in self.workers.values() if worker.alive]
        for worker in alive:
            if self._occurs(self.faults.restarts):
                self._restart(worker, worker.pool)
            elif self._occurs(self.faults.moves):
                self._move(worker)
        if alive and self._occurs(self.faults.foreign_entries):
            self._write_foreign_entry(self.rng.choice(alive))
        if alive and self._occurs(self.faults.removed_entries):
            self._remove_entry(self.rng.choice(alive).worker_id)
        for pool in self.pools.values():
            if pool.leaders and self._occurs(self.faults.stalls):
                pool.stall()
                if self.rng.random() < self.faults.restart_at_stall_share:
                    self._restart(
                        self.rng.choice(pool.workers), pool.name, MIN_DOWN_SECONDS
                    )

    def _add(self, id: str, number: int, start_ms: int, pool: str) -> Incarnation:
        worker = Incarnation(
            self.events,
            self.rng,
            worker_id=id,
            number=number,
            start_ms=start_ms,
            pool=pool,
            now=self.now,
        )
        self.workers[id] = worker
        self.pools[pool].workers.append(worker)
        delay = self.rng.choice((0.01, 1.0)) if number else HEARTBEAT_SECONDS
        self._clock.call_later(delay, lambda: self._send_heartbeat(worker))
        return worker

    def _restart(self, worker: Incarnation, pool: str, down: float = 0.0) -> None:
        """Crash a worker, and start it again under its id."""
        if not worker.alive:
            return
        rng = self.rng
        worker.crash(self.now)
        if rng.random() < self.faults.late_entry_share:
            entry = self._make_entry(worker)
            self._clock.call_later(
                rng.uniform(0.1, 5.0), lambda: self._write_entry(entry)
            )
        if rng.random() < 0.3 and "equal" not in self.faults.starts:
            name = self._make_entry(worker).incarnation
            former_pool = self.pools[worker.pool]
            self._clock.call_later(0.3, lambda: former_pool.close(name, vm.VmEnd.LOST))
        if not down:
            down = rng.choice(
                (rng.uniform(MIN_DOWN_SECONDS, 0.4), rng.uniform(0.3, 6.0))
            )
        self._clock.call_later(down, lambda: self._return(worker, pool))
        self._clock.call_later(EXPIRY_SECONDS, lambda: self._expire(worker))

    def _return(self, former: Incarnation, pool: str) -> None:
        rng = self.rng
        self.pools[former.pool].workers.remove(former)
        step_ms = {
            "ahead": round((self.now - former.started_at) * 1000),
            "equal": 0,
            "back": -rng.randint(1, MAX_CLOCK_STEP_MS),
        }[rng.choice(self.faults.starts)]
        worker = self._add(
            former.worker_id, former.number + 1, former.start_ms + step_ms, pool
        )
        if self.faults.restarts and rng.random() < 0.3:
            down = rng.uniform(MIN_DOWN_SECONDS, 0.8)
            self._clock.call_later(
                rng.uniform(0.1, 1.0), lambda: self._restart(worker, pool, down)
            )

    def _move(self, worker: Incarnation) -> None:
        """Move a worker to another pool, ordered by the fleet's leader or not."""
        former = self.pools[worker.pool]
        if len(former.workers) < 2 or len(former.workers) < len(self.workers) / 2:
            return
        pool = self.rng.choice([name for name in self.pools if name != worker.pool])
        if self.rng.random() < 0.5:
            self._restart(worker, pool)
            return
        name = self._make_entry(worker).incarnation
        former.close(name, None)

        def terminate() -> None:
            if worker.alive and len(former.workers) > 1:
                self._restart(worker, pool, MOVE_SECONDS)
                former.close(name, vm.VmEnd.ORDERED)

        self._clock.call_later(self.rng.uniform(0.2, 2.0), terminate)

    # -- entries

    def _make_entry(self, worker: Incarnation) -> entries.WorkerEntry:
        clock = worker.read_clock(self.now)
        return self.pools[worker.pool].make_entry(worker, clock)

    def _send_heartbeat(self, worker: Incarnation) -> None:
        if worker.alive:
            self._write_entry(self._make_entry(worker))
            self._clock.call_later(
                HEARTBEAT_SECONDS, lambda: self._send_heartbeat(worker)
            )

    def _write_entry(self, entry: entries.WorkerEntry) -> None:
        self._change_entry(
            entry.id,
            entry,
            lambda leader: leader.pool.on_worker(entry, leader.world.now),
        )

    def _remove_entry(self, id: str) -> None:
        if id in self.read_entries(self.now):
            self._change_entry(
                id, None, lambda leader: leader.pool.on_worker_removed(id)
            )

    def _change_entry(
        self,
        id: str,
        entry: entries.WorkerEntry | None,
        action: Callable[[history.Leader], None],
    ) -> None:
        self._changes.append(_Change(self.now, id, entry, action))
        for pool in self.pools.values():
            pool.tell(action)

    def read_entries(self, then: float) -> dict[str, entries.WorkerEntry]:
        """Return the entries at a time."""
        read: dict[str, entries.WorkerEntry] = {}
        for change in self._changes:
            if change.time <= then and change.entry is not None:
                read[change.id] = change.entry
            elif change.time <= then:
                read.pop(change.id, None)
        return read

    def list_changes(self, after: float) -> list[Callable[[history.Leader], None]]:
        """Return how to tell a leader of all changes of entries after a time."""
        return [change.action for change in self._changes if change.time > after]

    def _expire(self, worker: Incarnation) -> None:
        """Remove the entry of a worker that is still down."""
        if self.workers[worker.worker_id] is worker:
            self._remove_entry(worker.worker_id)

    def _write_foreign_entry(self, worker: Incarnation) -> None:
        """Replace a live worker's entry until its next heartbeat."""
        entry = self._make_entry(worker)
        changes = {
            "ahead": {"start_ms": entry.start_ms + 3_600_000},
            "none": {"start_ms": 0},
            "address": {"address": "elsewhere"},
            "pool": {"pool": self.rng.choice([*self.pools, "unknown"])},
        }
        change = changes[self.rng.choice(self.faults.foreign)]
        self._write_entry(entry._replace(**change))


def find_unrecorded(site: Site) -> list[siteworker.Event]:
    """Return the ends that workers were told to forget before they were stored."""
    return [event for event in site.events if event.kind == "unrecorded"]


def find_unused(site: Site) -> list[str]:
    """Return the live workers that started no task after the last fault."""
    used = {
        event.worker
        for event in site.events
        if event.kind == "start" and event.time >= site.faults_ended_at
    }
    return [w.id for w in site.workers.values() if w.alive and w.id not in used]


def find_unfinished(site: Site) -> list[str]:
    """Return the jobs of all pools that aren't final."""
    return [id for pool in site.pools.values() for id in history.find_unfinished(pool)]


def find_faults(site: Site) -> list[str]:
    """Return all that is wrong with a site after `Site.end_faults`, one line each."""
    return [
        *history.check(site.events),
        *(f"end forgotten before it was stored: {e}" for e in find_unrecorded(site)),
        *(f"job isn't final: {id}" for id in find_unfinished(site)),
        *(f"worker isn't used: {id}" for id in find_unused(site)),
    ]


def simulate(
    seed: int,
    kind: str,
    mechanisms: history.Mechanisms | None = None,
    *,
    seconds: float = 30.0,
    is_traced: bool = False,
) -> Site:
    """Return a site after a number of seconds with faults, and some without."""
    site = Site(seed, KINDS[kind], mechanisms, is_traced=is_traced)
    site.run(seconds)
    site.end_faults(20.0)
    return site
