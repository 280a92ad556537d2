"""Pace of filling tasks, reduced while a serving task on the VM is near its target.

Filling tasks use processor time that serving tasks leave idle, and thereby raise their
tail latency, which is reported with each hold, about twice a second. Without a limit
a serving task would miss its target for seconds while filling tasks beside it go on.
Halving the pace takes effect within one hold; the increase is slow, so that the tail
latency doesn't oscillate.
"""

from collections.abc import Iterable

from wigeonhitch.pool import vm

__all__ = ["compute_pace"]

SLOW_DOWN_SHARE = 0.85
"""Share of the target above which filling tasks are slowed down; below 1, as the
reported tail latency is a rough estimate over the last half second."""

SPEED_UP_SHARE = 0.6
"""Share of the target below which filling tasks are sped up."""

SPEED_UP_PERCENT = 15
"""Percentage points added with each hold: from a stop to full speed in 4 s."""

MIN_PACE_PERCENT = 10
"""Pace in percent below which a filling task is paused altogether."""


def compute_pace(pace: int, loads: Iterable[tuple[float, vm.Run]]) -> int:
    """Return the pace in percent at which the filling tasks of a VM may work.

    Parameters
    ----------
    pace : int
        The current pace in percent.
    loads : iterable of (float, vm.Run)
        Tail latency in seconds and run of each serving task of the VM.
    """
    max_share = max((tail / run.step.target for tail, run in loads), default=0.0)
    if max_share > SLOW_DOWN_SHARE:
        slower = int(pace / 2) if max_share <= 1.0 else int(pace / 4)
        return slower if slower >= MIN_PACE_PERCENT else 0
    if max_share < SPEED_UP_SHARE:
        return min(100, pace + SPEED_UP_PERCENT)
    return pace
