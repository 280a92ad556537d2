"""Detection of stuck and slow runs by their progress.

Up to a tenth of the VMs may degrade while they go on answering: all their tasks
stand still for some 5 s, or run four to seven times slower. Each such task delays
its job to the end of the degradation, far past its objective. Progress is listed in
whole percents about twice a second, so a task of 1.7 s advances with each answer,
and one without progress for a second is stuck. A slow task is restarted elsewhere
once, and only if its VM is at fault: estimates may be a tenth of the real run time,
and such a job is slow on every VM.
"""

import statistics
from collections.abc import Iterable

from wigeonhitch.pool import vm

__all__ = ["is_slow", "is_slower_than_peers", "is_stuck"]

STUCK_AFTER_SECONDS = 1.0
"""Seconds without progress after which a run counts as stuck: one and a half holds,
while the longest tasks need 0.05 s for a percent."""

LASTING_STUCK_AFTER_SECONDS = 2.0
"""The same in seconds for a lasting task that isn't fully started; lasting tasks
start up within a second."""

SLOW_FACTOR = 3.0
"""Multiple of the estimate that a run's projected run time must exceed to count as
slow: estimates are off by up to a half, degraded VMs are four to seven times slower."""

PEER_FACTOR = 2.0
"""Multiple of the median projected run time of the step's tasks on other VMs: these
differ by up to a third, degraded VMs are four to seven times slower."""

MIN_SECONDS_LEFT = 1.0
"""Seconds that a run must have left, beyond its estimate, for a restart elsewhere to
pay off."""


def is_stuck(run: vm.Run) -> bool:
    """Return whether a run makes no progress though its VM answers.

    This is judged by the clock that the VM reported, as this daemon itself may have
    been paused.
    """
    if run.state is not vm.RunState.RUNNING or run.pace < 100:
        return False
    if run.step.gang or run.step.fills:
        return False  # other tasks determine its pace
    stalled = run.vm.reported_clock - run.last_progress_clock
    if run.step.lasting:
        return run.work < 100 and stalled > LASTING_STUCK_AFTER_SECONDS
    return stalled > STUCK_AFTER_SECONDS


def is_slow(run: vm.Run, now: float) -> bool:
    """Return whether a run would finish sooner if it were restarted elsewhere."""
    step = run.step
    if run.state is not vm.RunState.RUNNING or run.pace < 100 or run.adopted:
        return False
    if step.lasting or step.gang or step.fills or not step.estimate:
        return False
    if run.rate is None or run.rate <= 0:
        return False
    projected = 100 / run.rate
    left = (100 - run.work) / run.rate
    return (
        projected > SLOW_FACTOR * step.estimate
        and left > step.estimate + MIN_SECONDS_LEFT
    )


def is_slower_than_peers(run: vm.Run, peers: Iterable[vm.Run]) -> bool | None:
    """Return whether a run is slow compared with its step's tasks on other VMs.

    Only runs with a known rate are compared; the result is None if there are none.
    Without this comparison, estimates of large jobs that are off by up to nine tenths
    had 30 runs restarted in vain and 8 healthy VMs quarantined for 4 s.
    """
    peer_times = [
        100 / peer.rate for peer in peers if peer.rate and peer.vm is not run.vm
    ]
    if not peer_times or not run.rate:
        return None
    return 100 / run.rate > PEER_FACTOR * statistics.median(peer_times)
