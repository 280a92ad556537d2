"""How many processors a pool could use, seen before its VMs are full.

The load: a queue's burst begins from one moment to the next with five times its
mean, and a VM that is sent takes 1.5 s. What has found no room shows such a
burst only once the pool is full, some 2 s into 4.5 s. What is handed in shows
it after a handful of jobs, some tenths of a second, and shows its end as soon.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.pool import order

__all__ = ["Arrivals", "Need", "compute_need"]


class Window(NamedTuple):
    """A look back: over how many seconds, and how many jobs make it count."""

    seconds: float
    jobs: int


WINDOWS = (Window(1.0, 3), Window(0.4, 5))
"""A burst of many small jobs (20 a second) shows in the short one, one of few
large jobs (3 a second) in the long one. Fewer jobs than these come together by
chance between bursts: a twentieth of the rate, every few seconds."""


class Need(NamedTuple):
    """Thousandths of a core that batch work in time can use.

    ``wanted`` lets all run at once, ``least`` lets all be just in time, and
    ``arriving`` keeps up with what is handed in now; both hold at least that.
    """

    wanted: int
    least: int
    arriving: int


class Arrivals:
    """What was handed in of late, in core-seconds a second."""

    def __init__(self) -> None:
        self._recent: collections.deque[tuple[float, float]] = collections.deque()

    def note(self, work: float, now: float) -> None:
        """Take a job of so many core-seconds."""
        self._recent.append((now, work))

    def compute_rate(self, now: float) -> float:
        """Return the processors that keep up with what is handed in now."""
        longest = max(one.seconds for one in WINDOWS)
        while self._recent and now - self._recent[0][0] > longest:
            self._recent.popleft()
        return max(self._look_back(one, now) for one in WINDOWS)

    def _look_back(self, window: Window, now: float) -> float:
        found = [work for at, work in self._recent if now - at <= window.seconds]
        if len(found) < window.jobs:
            return 0.0
        return sum(found) / window.seconds


def compute_need(
    figures: Iterable[order.Figures], arriving: float, wall: float
) -> Need:
    """Return what a pool's batch work needs.

    Parameters
    ----------
    figures : iterable of order.Figures
        Of all open jobs.
    arriving : float
        Processors for what is handed in; see `Arrivals`.
    wall : float
        Seconds since 1970.
    """
    wanted = least = 0.0
    for one in figures:
        if one.is_lasting or one.chain_left <= 0 or wall + one.chain_left > one.due:
            continue
        wanted += one.work_left / one.chain_left
        least += one.work_left / (one.due - wall)
    wanted, least = max(wanted, arriving), max(least, arriving)
    return Need(round(1000 * wanted), round(1000 * least), round(1000 * arriving))
