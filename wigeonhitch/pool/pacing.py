"""Tasks that fill are slowed down where a task that serves is near its target.

Tasks that fill take processors that serving tasks leave, and lengthen their
tail of response times. The tail is read with each hold, some twice a second.
The harm to prevent: a serving task over its target for seconds on end while
work beside it goes on. Halving reacts within one hold; the way back is slow,
so that the tail doesn't swing.
"""

from collections.abc import Iterable

from wigeonhitch.pool import vm

__all__ = ["compute_pace"]

SLOW_DOWN_SHARE = 0.85
"""Share of the target from which filling tasks are slowed down: the reported
tail is a rough figure of the last half second."""

SPEED_UP_SHARE = 0.6
"""Share of the target below which they are given more."""

SPEED_UP_PERCENT = 15
"""Percent given back with each hold: from a stop to full speed in 4 s."""

MIN_PACE_PERCENT = 10
"""Percent below which a filling task is stopped from working at all."""


def compute_pace(pace: int, loads: Iterable[tuple[float, vm.Run]]) -> int:
    """Return the percent at which the filling tasks of a VM may work.

    Parameters
    ----------
    pace : int
        The percent now.
    loads : iterable of (float, vm.Run)
        Tail in seconds and run of each serving task of the VM.
    """
    worst = max((tail / run.step.target for tail, run in loads), default=0.0)
    if worst > SLOW_DOWN_SHARE:
        slower = int(pace / 2) if worst <= 1.0 else int(pace / 4)
        return slower if slower >= MIN_PACE_PERCENT else 0
    if worst < SPEED_UP_SHARE:
        return min(100, pace + SPEED_UP_PERCENT)
    return pace
