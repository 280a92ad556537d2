"""How many processors a pool could use, seen before its VMs are full.

The load: a queue's burst begins from one moment to the next with five times its
mean, and a VM that is sent takes 1.5 s. What has found no room shows such a
burst only once the pool is full, some 2 s into 4.5 s. What is handed in shows
it after a handful of jobs, some tenths of a second, and shows its end as soon.
Of many callers a burst rises over some seconds, so that what is handed in exceeds
the pool only after 1.5 s; its rise shows sooner how much will be there when a VM comes.
"""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.pool import priority

__all__ = ["Arrivals", "Demand", "compute_demand"]


class Window(NamedTuple):
    """A look back: over how many seconds, and how many jobs make it count."""

    seconds: float
    jobs: int


WINDOWS = (Window(1.0, 3), Window(0.4, 5))
"""A burst of many small jobs (20 a second) shows in the short one, one of few
large jobs (3 a second) in the long one. Fewer jobs than these come together by
chance between bursts: a twentieth of the rate, every few seconds."""


RISE_WINDOW = Window(0.5, 5)
"""Two such spans, one after the other, show a rise. Both together have this many jobs
at least, and the second more than chance would bring."""

MIN_RISE_SIGMAS = 2.0
"""Standard deviations by which one count must exceed the one before to be a rise."""

LOOK_AHEAD_SECONDS = 0.3
"""Seconds beyond a move's own until its VM takes tasks: board, order and first call."""


class Demand(NamedTuple):
    """Thousandths of a core that batch work in time can use.

    ``wanted`` lets all run at once, ``least`` lets all be just in time, and
    ``arriving`` keeps up with what is handed in now; both hold at least that.
    """

    peak: int
    minimum: int
    arriving: int


class Arrivals:
    """What was handed in of late, in core-seconds a second.

    Parameters
    ----------
    move : float
        Seconds that a VM takes to come from another pool.
    """

    def __init__(self, move: float = 0.0) -> None:
        self._look_ahead = move + LOOK_AHEAD_SECONDS if move else 0.0
        self._recent: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, work: float, now: float) -> None:
        """Take a job of so many core-seconds."""
        self._recent.append((now, work))

    def compute_rate(self, now: float) -> float:
        """Return the processors that keep up with what is handed in now."""
        longest = max(one.seconds for one in WINDOWS)
        while self._recent and now - self._recent[0][0] > longest:
            self._recent.popleft()
        rate = max(self._compute_window_rate(one, now) for one in WINDOWS)
        return rate + self._look_ahead * self._compute_rise(now)

    def _compute_rise(self, now: float) -> float:
        """Return by how much the rate grows in a second; 0 if that may be chance."""
        seconds = RISE_WINDOW.seconds
        newer = [work for at, work in self._recent if now - at <= seconds]
        older = [work for at, work in self._recent if seconds < now - at <= 2 * seconds]
        if len(newer) + len(older) < RISE_WINDOW.jobs:
            return 0.0
        if len(newer) - len(older) <= MIN_RISE_SIGMAS * math.sqrt(
            len(newer) + len(older)
        ):
            return 0.0
        return (sum(newer) - sum(older)) / seconds / seconds

    def _compute_window_rate(self, window: Window, now: float) -> float:
        found = [work for at, work in self._recent if now - at <= window.seconds]
        if len(found) < window.jobs:
            return 0.0
        return sum(found) / window.seconds


def compute_demand(
    inputs: Iterable[priority.SortInputs], arriving: float, wall_time: float
) -> Demand:
    """Return what a pool's batch work needs.

    Parameters
    ----------
    inputs : iterable of order.Figures
        Of all open jobs.
    arriving : float
        Processors for what is handed in; see `Arrivals`.
    wall_time : float
        Seconds since 1970.
    """
    wanted = least = 0.0
    for one in inputs:
        if (
            one.is_lasting
            or one.critical_path_left <= 0
            or wall_time + one.critical_path_left > one.due
        ):
            continue
        wanted += one.work_left / one.critical_path_left
        least += one.work_left / (one.due - wall_time)
    wanted, least = max(wanted, arriving), max(least, arriving)
    return Demand(round(1000 * wanted), round(1000 * least), round(1000 * arriving))
