"""Runs that stand still or crawl, found by their progress.

The load: on a tenth of the VMs all tasks stand still for some 5 s, or work
takes four to seven times as long, while the VMs answer as ever. The harm: each
such task keeps its job waiting to the end of the spell, far past its objective.
Progress is listed in whole percents some twice a second, so a task of 1.7 s
moves with each answer; one that hasn't moved for a second stands still. A run
is moved once for being slow, and only where its VM is to blame: estimates may
be a tenth of what a job takes, and such a job is long everywhere.
"""

import statistics
from collections.abc import Iterable

from wigeonhitch.pool import vm

__all__ = ["is_slow", "is_slower_than_peers", "is_stuck"]

STUCK_AFTER = 1.0
"""Seconds without progress after which a run counts as standing still: one and
a half holds, and a percent of the longest tasks takes 0.05 s."""

LASTING_STUCK_AFTER = 2.0
"""The same for a lasting task that isn't at work; it starts up within a
second."""

SLOW_FACTOR = 3.0
"""Times the estimate that a run must seem to need in all to count as slow:
estimates are off by up to a half, workers turn four to seven times slower."""

PEER_FACTOR = 2.0
"""Times what tasks of the same step seem to need on other VMs: they differ by
up to a third among themselves, slow VMs take four to seven times as long."""

MIN_SECONDS_LEFT = 1.0
"""Seconds that must be left for a move to pay, beyond what it takes elsewhere."""


def is_stuck(run: vm.Run) -> bool:
    """Whether a run stands still though its VM answers.

    By the time that the VM has told of: this daemon may have been paused itself.
    """
    if run.state is not vm.RunState.RUNNING or run.pace < 100:
        return False
    if run.step.gang or run.step.fills:
        return False  # its pace is others' doing
    still = run.vm.reported_clock - run.moved
    if run.step.lasting:
        return run.work < 100 and still > LASTING_STUCK_AFTER
    return still > STUCK_AFTER


def is_slow(run: vm.Run, now: float) -> bool:
    """Whether a run would be done sooner if it began again elsewhere."""
    step = run.step
    if run.state is not vm.RunState.RUNNING or run.pace < 100 or run.adopted:
        return False
    if step.lasting or step.gang or step.fills or not step.estimate:
        return False
    if run.rate is None or run.rate <= 0:
        return False
    whole = 100 / run.rate
    left = (100 - run.work) / run.rate
    return (
        whole > SLOW_FACTOR * step.estimate and left > step.estimate + MIN_SECONDS_LEFT
    )


def is_slower_than_peers(run: vm.Run, peers: Iterable[vm.Run]) -> bool | None:
    """Whether a run crawls beside tasks of its step on other VMs.

    None if there is nothing to compare it with. Both have a known rate: without
    this look, a calm day of large jobs whose estimates are off by up to nine
    tenths had 30 runs begun again and 8 sound VMs set aside for 4 s.
    """
    wholes = [100 / one.rate for one in peers if one.rate and one.vm is not run.vm]
    if not wholes or not run.rate:
        return None
    return 100 / run.rate > PEER_FACTOR * statistics.median(wholes)
