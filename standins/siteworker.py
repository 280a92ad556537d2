"""A worker in process: runs tasks under leases and a fencing token.

It follows what the users' platform says of its workers: a lower token changes
nothing, a start after its deadline is refused, everything ends when the lease
runs out on the worker's own clock, and ends are listed until they are noted.
What happens is written into a list that history checks read.
"""

import random
from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers

__all__ = ["Event", "Worker"]

MAX_LEASE_SECONDS = 10.0


class Event(NamedTuple):
    """Something that happened on a worker.

    ``kind`` is "start", "end", "noted", or "noted late" for an end after which
    the worker's lease ran out before it was noted.
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
    """One life of a worker.

    Parameters
    ----------
    id : str
        Name of this life.
    events : list of Event
        Takes what happens.
    drift : float
        How much slower the worker's clock runs; at most 0.02.
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
        self._barred: dict[model.Task, int] = {}
        self._ended: list[workers.Ended] = []
        self._number = 0
        self._lapses = 0
        self._is_lapsed = False
        self._lapses_at: dict[int, int] = {}

    def read_clock(self, now: float) -> float:
        """Return the worker's own clock at true time ``now``."""
        return self._offset + now * (1 - self._drift)

    def advance(self, now: float) -> None:
        """Let time pass: runs end by themselves or with the lease."""
        if not self.alive:
            return
        ends = (self._deadline - self._offset) / (1 - self._drift)
        for run in list(self.runs.values()):
            if run.ends_at <= min(now, ends):
                self._end(run, run.outcome, now)
        lapsed = now > ends
        self._lapses += lapsed and not self._is_lapsed
        self._is_lapsed = lapsed
        for run in list(self.runs.values()):
            if lapsed:
                self._end(run, model.End.LAPSED, now)

    def crash(self, now: float) -> None:
        """End this life with all that runs."""
        for run in list(self.runs.values()):
            self.events.append(
                Event(now, "end", self.id, run.task, run.number, "crashed")
            )
        self.runs.clear()
        self.alive = False

    def start(self, order: workers.Start, now: float) -> workers.Verdict:
        """Carry out a start."""
        if order.fence < self._fence:
            return workers.Verdict.FENCED
        self._fence = order.fence
        self._extend(order.deadline, now)
        if order.deadline < self.read_clock(now):
            return workers.Verdict.LATE
        present = self.runs.get(order.task)
        if present is not None and present.number == order.run:
            return workers.Verdict.DONE
        if order.run <= self._barred.get(order.task, 0) or present is not None:
            return workers.Verdict.OLD
        length, how = self.draw_end(order)
        self.runs[order.task] = _Run(order.task, order.run, now + length, how)
        self.events.append(Event(now, "start", self.id, order.task, order.run))
        return workers.Verdict.DONE

    def draw_end(self, order: workers.Start) -> tuple[float, model.End]:
        """Return after how many seconds a run ends, and how."""
        failed = self._rng.random() < self._failure_rate
        how = model.End.FAILED if failed else model.End.DONE
        return (
            1e9
            if self.lasting
            else self._rng.uniform(0.2, 1.0) * self._max_work_seconds
        ), how

    def stop(
        self, task: model.Task, run: int, fence: int, now: float
    ) -> workers.Verdict:
        """Stop a run; one that isn't there yet will be refused."""
        if fence < self._fence:
            return workers.Verdict.FENCED
        self._fence = fence
        self._barred[task] = max(run, self._barred.get(task, 0))
        present = self.runs.get(task)
        if present is not None and present.number <= run:
            self._end(present, model.End.STOPPED, now)
        return workers.Verdict.DONE

    def hold(
        self, fence: int, deadline: float | None, last_seen: int, now: float
    ) -> tuple[workers.Verdict, tuple[workers.Running, ...], tuple[workers.Ended, ...]]:
        """Renew the lease; list what runs and what ended."""
        if fence < self._fence:
            return workers.Verdict.FENCED, (), ()
        self._fence = fence
        if deadline is not None:
            self._extend(deadline, now)
        for end in self._ended:
            if end.number <= last_seen:
                # An end doesn't count if the lease has run out since.
                late = self._lapses_at[end.number] != self._lapses
                what = "noted late" if late else "noted"
                event = Event(now, what, self.id, end.task, end.run, end.end.value)
                self.events.append(event)
        self._ended = [end for end in self._ended if end.number > last_seen]
        running = tuple(
            workers.Running(run.task, run.number, "", 100, 0)
            for run in self.runs.values()
        )
        return workers.Verdict.DONE, running, tuple(self._ended)

    def _extend(self, deadline: float, now: float) -> None:
        most = self.read_clock(now) + MAX_LEASE_SECONDS
        self._deadline = max(self._deadline, min(deadline, most))

    def _end(self, run: _Run, how: model.End, now: float) -> None:
        del self.runs[run.task]
        self._number += 1
        self._lapses_at[self._number] = self._lapses
        ended = workers.Ended(self._number, run.task, run.number, how, "")
        self._ended.append(ended)
        self._barred[run.task] = max(run.number, self._barred.get(run.task, 0))
        self.events.append(Event(now, "end", self.id, run.task, run.number, how.value))
