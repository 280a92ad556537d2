"""Demand of a pool for processors, estimated before its VMs are full.

A queue's burst starts at once with five times its mean load and lasts some 4.5 s; a
VM from another pool arrives after 1.5 s. Unplaced tasks reveal a burst only once
the pool is full, some 2 s later. The arrival rate reveals it after a handful of
jobs, some tenths of a second, and shows its end as early. With many callers a burst
rises over some seconds, so that the arrival rate exceeds the pool only after 1.5 s;
its slope forecasts the demand at the time when a VM would arrive.
"""

import collections
import math
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.pool import priority

__all__ = ["Arrivals", "Demand", "compute_demand"]


class Window(NamedTuple):
    """Averaging window: its seconds and the jobs below which it is ignored."""

    seconds: float
    jobs: int


WINDOWS = (Window(1.0, 3), Window(0.4, 5))
"""Windows for the arrival rate. The short one detects bursts of many small jobs (20 a
second), the long one bursts of few large jobs (3 a second). Fewer jobs are ignored:
between bursts, at a twentieth of the rate, they coincide by chance every few
seconds."""


RISE_WINDOW = Window(0.5, 5)
"""Two consecutive windows of this length show a rise if they have at least this many
jobs together and the second has significantly more than the first."""

MIN_RISE_SIGMAS = 2.0
"""Standard deviations by which the second count must exceed the first for a rise."""

LOOK_AHEAD_SECONDS = 0.3
"""Seconds, beyond those of the move itself, until a moved VM accepts tasks: publishing
the status, the order and the first call."""


class Demand(NamedTuple):
    """Millicores that batch jobs which can still be on time can use.

    ``peak`` lets all of them run in parallel, ``minimum`` lets each finish just on
    time, and ``arriving`` keeps up with the current arrivals; the other two are never
    below it.
    """

    peak: int
    minimum: int
    arriving: int


class Arrivals:
    """Recent arrival rate of work, in core-seconds per second.

    Parameters
    ----------
    move_seconds : float
        Seconds that a VM takes to join from another pool; 0: no forecast.
    """

    def __init__(self, move_seconds: float = 0.0) -> None:
        self._look_ahead = move_seconds + LOOK_AHEAD_SECONDS if move_seconds else 0.0
        self._recent: collections.deque[tuple[float, float]] = collections.deque()

    def record(self, work: float, now: float) -> None:
        """Record the arrival of a job with its core-seconds."""
        self._recent.append((now, work))

    def compute_rate(self, now: float) -> float:
        """Return the processors that keep up with the arrivals."""
        longest = max(window.seconds for window in WINDOWS)
        while self._recent and now - self._recent[0][0] > longest:
            self._recent.popleft()
        rate = max(self._compute_window_rate(window, now) for window in WINDOWS)
        return rate + self._look_ahead * self._compute_rise(now)

    def _compute_rise(self, now: float) -> float:
        """Return the increase of the rate per second; 0 if it isn't significant."""
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
        arrived = [work for at, work in self._recent if now - at <= window.seconds]
        if len(arrived) < window.jobs:
            return 0.0
        return sum(arrived) / window.seconds


def compute_demand(
    inputs: Iterable[priority.SortInputs], arriving: float, wall_time: float
) -> Demand:
    """Return the demand of a pool's batch jobs.

    Parameters
    ----------
    inputs : iterable of priority.SortInputs
        Those of all open jobs.
    arriving : float
        Processors that keep up with the arrivals; see `Arrivals`.
    wall_time : float
        Unix time.
    """
    peak = minimum = 0.0
    for job in inputs:
        if (
            job.is_lasting
            or job.critical_path_left <= 0
            or wall_time + job.critical_path_left > job.due
        ):
            continue
        peak += job.work_left / job.critical_path_left
        minimum += job.work_left / (job.due - wall_time)
    peak, minimum = max(peak, arriving), max(minimum, arriving)
    return Demand(round(1000 * peak), round(1000 * minimum), round(1000 * arriving))
