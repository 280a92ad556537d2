"""In-process worker that runs tasks under a lease and a fencing token.

It follows the contract of the platform's workers: a call with a lower token has
no effect, a start after its deadline is refused, all runs end when the lease
expires on the worker's own clock, and ends are listed until they are
acknowledged. All events are appended to a list for checks of the history.
"""

import random
from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers

__all__ = ["CRASHING_SPEC", "Event", "Worker"]

MAX_LEASE_SECONDS = 10.0

CRASHING_SPEC = "crash"
"""Text of a job whose tasks crash each worker that starts them."""


class Event(NamedTuple):
    """Event on a worker.

    ``kind`` is "start", "end", "noted" for an end that was acknowledged, or "noted
    late" if the worker's lease expired between the end and its acknowledgement.
    Histories add "unrecorded" to a noted end that no leader has stored.
    """

    time: float
    kind: str
    worker: str
    task: model.Task
    run: int
    outcome: str = ""


class _Run(NamedTuple):
    task: model.Task
    number: int
    ends_at: float
    outcome: model.End


class Worker:
    """One incarnation of a worker.

    Parameters
    ----------
    id : str
        Name of this incarnation.
    events : list of Event
        List that events are appended to.
    drift : float
        Fraction by which the worker's clock runs slower; at most 0.02.
    """

    def __init__(
        self,
        id: str,
        events: list[Event],
        rng: random.Random,
        *,
        drift: float = 0.0,
        max_work_seconds: float = 1.0,
        failure_rate: float = 0.0,
    ) -> None:
        self.id = id
        self.events = events
        self.alive = True
        self.runs: dict[model.Task, _Run] = {}
        self.lasting = False
        self._rng = rng
        self._drift = drift
        self._max_work_seconds = max_work_seconds
        self._failure_rate = failure_rate
        self._offset = rng.uniform(0, 1000)
        self._fence = 0
        self._deadline = 0.0
        self._max_refused_run: dict[model.Task, int] = {}
        self._ended: list[workers.Ended] = []
        self._last_end = 0
        self._expiry_count = 0
        self._is_expired = False
        self._expiry_count_at_end: dict[int, int] = {}

    def read_clock(self, now: float) -> float:
        """Return the worker's own clock at the time ``now``."""
        return self._offset + now * (1 - self._drift)

    def advance(self, now: float) -> None:
        """Advance to ``now``: end runs that are complete or whose lease expired."""
        if not self.alive:
            return
        expires_at = (self._deadline - self._offset) / (1 - self._drift)
        for run in list(self.runs.values()):
            if run.ends_at <= min(now, expires_at):
                self._end(run, run.outcome, now)
        expired = now > expires_at
        self._expiry_count += expired and not self._is_expired
        self._is_expired = expired
        for run in list(self.runs.values()):
            if expired:
                self._end(run, model.End.LAPSED, now)

    def crash(self, now: float) -> None:
        """End this incarnation and all its runs."""
        for run in list(self.runs.values()):
            self.events.append(
                Event(now, "end", self.id, run.task, run.number, "crashed")
            )
        self.runs.clear()
        self.alive = False

    def start(self, order: workers.Start, now: float) -> workers.Verdict:
        """Start a run."""
        if order.fence < self._fence:
            return workers.Verdict.FENCED
        self._fence = order.fence
        self._extend(order.deadline, now)
        if order.deadline < self.read_clock(now):
            return workers.Verdict.LATE
        current = self.runs.get(order.task)
        if current is not None and current.number == order.run:
            return workers.Verdict.DONE
        if order.run <= self._max_refused_run.get(order.task, 0) or current is not None:
            return workers.Verdict.OLD
        duration, outcome = self.draw_end(order)
        self.runs[order.task] = _Run(order.task, order.run, now + duration, outcome)
        self.events.append(Event(now, "start", self.id, order.task, order.run))
        if self.crashes_under(order):
            self.crash(now)
        return workers.Verdict.DONE

    def crashes_under(self, order: workers.Start) -> bool:
        """Return whether the run crashes the worker."""
        return order.spec == CRASHING_SPEC

    def draw_end(self, order: workers.Start) -> tuple[float, model.End]:
        """Return after how many seconds a run ends, and its outcome."""
        failed = self._rng.random() < self._failure_rate
        outcome = model.End.FAILED if failed else model.End.DONE
        return (
            1e9
            if self.lasting
            else self._rng.uniform(0.2, 1.0) * self._max_work_seconds
        ), outcome

    def stop(
        self, task: model.Task, run: int, fence: int, now: float
    ) -> workers.Verdict:
        """Stop a run; if it hasn't started yet, refuse a later start."""
        if fence < self._fence:
            return workers.Verdict.FENCED
        self._fence = fence
        self._max_refused_run[task] = max(run, self._max_refused_run.get(task, 0))
        current = self.runs.get(task)
        if current is not None and current.number <= run:
            self._end(current, model.End.STOPPED, now)
        return workers.Verdict.DONE

    def hold(
        self, fence: int, deadline: float | None, last_seen: int, now: float
    ) -> tuple[workers.Verdict, tuple[workers.Running, ...], tuple[workers.Ended, ...]]:
        """Renew the lease; return the current runs and the unacknowledged ends."""
        if fence < self._fence:
            return workers.Verdict.FENCED, (), ()
        self._fence = fence
        if deadline is not None:
            self._extend(deadline, now)
        for end in self._ended:
            if end.number <= last_seen:
                # An end doesn't count if the lease has expired since.
                is_late = self._expiry_count_at_end[end.number] != self._expiry_count
                kind = "noted late" if is_late else "noted"
                event = Event(now, kind, self.id, end.task, end.run, end.end.value)
                self.events.append(event)
        self._ended = [end for end in self._ended if end.number > last_seen]
        running = tuple(
            workers.Running(run.task, run.number, "", 100, 0)
            for run in self.runs.values()
        )
        return workers.Verdict.DONE, running, tuple(self._ended)

    def _extend(self, deadline: float, now: float) -> None:
        latest = self.read_clock(now) + MAX_LEASE_SECONDS
        self._deadline = max(self._deadline, min(deadline, latest))

    def _end(self, run: _Run, outcome: model.End, now: float) -> None:
        del self.runs[run.task]
        self._last_end += 1
        self._expiry_count_at_end[self._last_end] = self._expiry_count
        ended = workers.Ended(self._last_end, run.task, run.number, outcome, "")
        self._ended.append(ended)
        self._max_refused_run[run.task] = max(
            run.number, self._max_refused_run.get(run.task, 0)
        )
        self.events.append(
            Event(now, "end", self.id, run.task, run.number, outcome.value)
        )
