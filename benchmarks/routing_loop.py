"""Seeded event loop that drives the routing cores of several daemons.

It delays messages, runs requests in the slots of workers, and refuses requests
when a worker is full; nothing else of a cluster is simulated. The decisions are
those of `wigeonhitch.routing`.
"""

import collections
import heapq
import random
from collections.abc import Callable
from typing import Any, NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import action, core, event, link, rendezvous

__all__ = ["HOP_SECONDS", "CompletedRequest", "EventLoop", "Worker", "draw_work"]

# One-way network delay between any two processes.
HOP_SECONDS = 0.001

POOL = "lookup"


class CompletedRequest(NamedTuple):
    """A request's final answer and the start of its work (None: never)."""

    arrived_at: float
    answered_at: float
    verdict: verdict.Verdict
    started_at: float | None
    urgency: str
    team: str

    @property
    def wait(self) -> float:
        """Seconds from arrival to the start of work, less the one-way delay."""
        return self.started_at - self.arrived_at - HOP_SECONDS


class Worker:
    """A worker: ``mode`` is one of ok, refuse, down, fail, frozen."""

    def __init__(self, vm: str, slots: int = 8) -> None:
        self.vm = vm
        self.slots = slots
        self.slowdown = 1.0
        self.mode = "ok"
        self.running = 0
        self.busy_seconds = 0.0
        self.start_times: list[float] = []


class EventLoop:
    """Daemons, workers and callers of one pool.

    Parameters
    ----------
    daemons, workers : int
        Number of daemons and of workers.
    seed : int
    policy : link.Policy
        How slots are counted.
    """

    def __init__(
        self,
        daemons: int = 9,
        workers: int = 6,
        seed: int = 1,
        policy: link.Policy = link.Policy.OWNER,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.workers = {f"vm{n}": Worker(f"vm{n}") for n in range(workers)}
        self.cores = {f"d{n}": core.Core(f"d{n}", seed, policy) for n in range(daemons)}
        self.names = list(self.cores)
        self.paused: dict[str, list[event.Event]] = {}
        self.killed: set[str] = set()
        self.partitioned: set[str] = set()
        self.completed: dict[int, CompletedRequest] = {}
        self.runs: collections.Counter[int] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.on_message: Callable[[action.SendMessages], None] | None = None
        self.on_action: Callable[[str, action.Action], None] | None = None
        self._heap: list[tuple[float, int, Callable, tuple]] = []
        self._sequence = 0
        self._ticks: dict[str, float] = {}
        self._arrivals: dict[int, tuple[event.Arrived, float, str]] = {}
        self._work_seconds: dict[int, float] = {}
        self._started_at: dict[int, float] = {}
        self._open_attempts: dict[tuple[str, int], tuple[action.Send, float]] = {}
        self._running: dict[tuple[str, int], Worker] = {}
        self.set_members(self.names)
        self.set_view(1)

    # Environment of the daemons.

    def call_at(self, at: float, callback: Callable, *args: Any) -> None:
        """Schedule a callback at a time."""
        self._sequence += 1
        heapq.heappush(self._heap, (at, self._sequence, callback, args))

    def run(self, until: float) -> None:
        """Run until a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback, args = heapq.heappop(self._heap)
            callback(*args)
        self.now = until

    def set_members(self, members: list[str]) -> None:
        """Set the members that all live daemons see."""
        for name in self.cores:
            self.deliver(name, event.MembersChanged(frozenset(members)))

    def set_view(
        self,
        revision: int,
        draining: tuple[str, ...] = (),
        names: list[str] | None = None,
    ) -> None:
        """Set the workers that the named daemons, by default all, see."""
        view = tuple(
            event.Worker(worker.vm, worker.slots, usable=worker.vm not in draining)
            for worker in self.workers.values()
        )
        for name in names or self.names:
            self.deliver(name, event.ViewChanged(revision, {POOL: view}))

    def submit(
        self,
        daemon: str,
        work: float,
        timeout: float = 60.0,
        urgency: str = "urgent",
        team: str = "clerks",
        idempotent: bool = False,
    ) -> int:
        """Submit a request to a daemon now and return its number."""
        number = len(self._arrivals) + 1
        arrival = event.Arrived(
            number, "s", POOL, urgency, team, self.now + timeout, idempotent
        )
        self._arrivals[number] = (arrival, self.now, daemon)
        self._work_seconds[number] = work
        self.deliver(daemon, arrival)
        return number

    def offer_load(
        self,
        rate: float,
        start: float,
        end: float,
        weights: list[float] | None = None,
        work: Callable[[random.Random], float] | None = None,
        **options: Any,
    ) -> None:
        """Submit requests as a Poisson process of ``rate`` per second."""
        work = work or draw_work
        rng = random.Random(self.rng.random())

        def arrive_next() -> None:
            names = [name for name in self.names if name not in self.killed]
            daemon_weights = None
            if weights is not None:
                daemon_weights = [weights[self.names.index(name)] for name in names]
            self.submit(rng.choices(names, daemon_weights)[0], work(rng), **options)
            at = self.now + rng.expovariate(rate)
            if at < end:
                self.call_at(at, arrive_next)

        self.call_at(start + rng.expovariate(rate), arrive_next)

    def count_arrived(self) -> int:
        """Return how many requests have arrived."""
        return len(self._arrivals)

    def get_work(self, number: int) -> float:
        """Return the seconds of work of a request."""
        return self._work_seconds[number]

    def list_arrivals(self) -> list[tuple[float, float]]:
        """Return arrival time and work of each request, in order."""
        return [(at, self._work_seconds[n]) for n, (_, at, _) in self._arrivals.items()]

    def kill(self, daemon: str) -> None:
        """Kill a daemon; its callers receive no answer."""
        self.killed.add(daemon)

    def pause(self, daemon: str) -> None:
        """Pause a daemon; its events are queued."""
        self.paused[daemon] = []

    def resume(self, daemon: str) -> None:
        """Resume a paused daemon."""
        for waiting in self.paused.pop(daemon):
            self.deliver(daemon, waiting)

    def find_owner(self) -> str:
        """Return the daemon that owns the pool and counts its slots."""
        return rendezvous.rank(POOL, self.names)[0]

    # Daemons.

    def deliver(self, daemon: str, incoming: event.Event) -> None:
        """Deliver an event to a daemon and execute its actions."""
        if daemon in self.killed:
            return
        if daemon in self.paused:
            if not isinstance(incoming, event.Tick):
                self.paused[daemon].append(incoming)
            return
        for act in self.cores[daemon].handle(incoming, self.now):
            if self.on_action is not None:
                self.on_action(daemon, act)
            self._execute(daemon, act)
        at = self.cores[daemon].next_timer()
        if at is not None and self._ticks.get(daemon, at + 1.0) != at:
            self._ticks[daemon] = at
            self.call_at(max(at, self.now), self._tick, daemon, at)

    def _tick(self, daemon: str, at: float) -> None:
        if self._ticks.get(daemon) == at:
            del self._ticks[daemon]
            if daemon in self.paused:
                self.call_at(self.now + 0.01, self._tick, daemon, at)
                self._ticks[daemon] = at
                return
            self.deliver(daemon, event.Tick())

    def _execute(self, daemon: str, act: action.Action) -> None:
        if isinstance(act, action.Send):
            self.counts["sends"] += 1
            self._open_attempts[(daemon, act.attempt)] = (act, self.now)
            self.call_at(self.now + HOP_SECONDS, self._reach_worker, daemon, act)
            timed_out = verdict.may_have_run(verdict.Reason.TIMEOUT)
            self.call_at(
                self.now + act.timeout, self._abort, daemon, act.attempt, timed_out
            )
        elif isinstance(act, action.Answer):
            self._answer(act)
        elif isinstance(act, action.Abort):
            cancelled = verdict.may_have_run(verdict.Reason.CANCELLED)
            self._abort(daemon, act.attempt, cancelled)
        else:
            self.counts["frames"] += 1
            self.counts["messages"] += len(act.messages)
            if self.on_message is not None:
                self.on_message(act)
            if daemon not in self.partitioned and act.daemon not in self.partitioned:
                incoming = event.Received(daemon, act.messages)
                self.call_at(self.now + HOP_SECONDS, self.deliver, act.daemon, incoming)

    def _answer(self, act: action.Answer) -> None:
        assert act.request not in self.completed, "answered twice"
        arrival, arrived_at, _ = self._arrivals[act.request]
        started_at = self._started_at.get(act.request)
        self.completed[act.request] = CompletedRequest(
            arrived_at, self.now, act.verdict, started_at, arrival.urgency, arrival.team
        )

    def _end_attempt(
        self,
        daemon: str,
        send: action.Send,
        result: verdict.Verdict,
        failed: bool,
    ) -> None:
        """End an attempt once, by answer, time-out or abort."""
        open_attempt = self._open_attempts.pop((daemon, send.attempt), None)
        if open_attempt is not None:
            seconds = self.now - open_attempt[1]
            incoming = event.AttemptEnded(
                send.request, send.attempt, result, seconds, failed
            )
            self.deliver(daemon, incoming)

    # Workers.

    def _abort(self, daemon: str, attempt: int, result: verdict.Verdict) -> None:
        """Close an attempt's connection; the worker stops it unless frozen."""
        open_attempt = self._open_attempts.get((daemon, attempt))
        if open_attempt is None:
            return
        worker = self._running.get((daemon, attempt))
        if worker is not None and worker.mode != "frozen":
            del self._running[daemon, attempt]
            worker.running -= 1
        self.call_at(
            self.now + HOP_SECONDS,
            self._end_attempt,
            daemon,
            open_attempt[0],
            result,
            False,
        )

    def _reach_worker(self, daemon: str, send: action.Send) -> None:
        worker = self.workers[send.vm]
        back = self.now + HOP_SECONDS
        if worker.mode == "down":
            result = verdict.not_run(verdict.Reason.NOT_CONNECTED)
            self.call_at(back, self._end_attempt, daemon, send, result, False)
            return
        if worker.mode == "refuse" or worker.running >= worker.slots:
            self.counts["refusals"] += 1
            self.counts["needless"] += any(
                other.running < other.slots for other in self.workers.values()
            )
            result = verdict.not_run(verdict.Reason.WORKER_REFUSED)
            self.call_at(back, self._end_attempt, daemon, send, result, False)
            return
        self.runs[send.request] += 1
        self._started_at[send.request] = self.now
        worker.start_times.append(self.now)
        if worker.mode == "fail":
            self.call_at(back, self._end_attempt, daemon, send, verdict.ran(), True)
            return
        worker.running += 1
        self._running[daemon, send.attempt] = worker
        if worker.mode == "ok":
            seconds = self._work_seconds[send.request] * worker.slowdown
            worker.busy_seconds += seconds
            self.call_at(self.now + seconds, self._complete, worker, daemon, send)

    def _complete(self, worker: Worker, daemon: str, send: action.Send) -> None:
        if self._running.pop((daemon, send.attempt), None) is None:
            return
        worker.running -= 1
        self.call_at(
            self.now + HOP_SECONDS,
            self._end_attempt,
            daemon,
            send,
            verdict.ran(),
            False,
        )


def draw_work(rng: random.Random) -> float:
    """Draw seconds of work: mean 0.05; one in ten is eleven times as long."""
    return 0.275 if rng.random() < 0.1 else 0.025
