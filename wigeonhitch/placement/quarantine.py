"""Workers that fail the tasks of several different jobs are set aside."""

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["Quarantine"]

# Three different jobs without a success between them: one bad job is retried on
# other workers before it could count three times here, and a worker with a
# passing fault loses at most two tasks.
DISTINCT_JOBS = 3
# Failures that lie further apart say nothing about the worker.
WINDOW = 900.0
# First time aside, seconds; doubled at each failed trial up to the longest.
FIRST = 60.0
LONGEST = 3600.0
# A fault of the jobs' own (a bad release of one kind) must not empty a pool.
SHARE = 0.2


class Aside(NamedTuple):
    """A worker set aside until ``until``; ``length`` is the present term."""

    until: float
    length: float
    since: float


class Quarantine:
    """Set aside workers that fail every task, and try them again later.

    Load: a worker that fails tasks at once looks idle and draws the whole
    queue. Harm: each job loses an attempt there, and jobs that are fine would
    be refused for failing.

    Parameters
    ----------
    enabled : bool
        False never sets a worker aside, to compare with.
    """

    def __init__(self, enabled: bool = True):
        self._enabled = enabled
        self._failures: dict[str, dict[str, float]] = {}
        self._aside: dict[str, Aside] = {}

    def fail(self, vm: str, job: str, pool: Collection[str], now: float) -> bool:
        """Note a failed task; return whether the worker was set aside by it."""
        failures = self._failures.setdefault(vm, {})
        failures[job] = now
        for name, when in list(failures.items()):
            if when < now - WINDOW:
                del failures[name]
        present = self._aside.get(vm)
        if present is not None and now < present.until:
            return False  # it was running there before, and proves nothing new
        if present is not None:
            length = min(LONGEST, 2 * present.length)
            self._aside[vm] = Aside(now + length, length, present.since)
            return False
        if len(failures) < DISTINCT_JOBS or not self._has_room(pool):
            return False
        self._aside[vm] = Aside(now + FIRST, FIRST, now)
        return True

    def _has_room(self, pool: Collection[str]) -> bool:
        aside = sum(vm in self._aside for vm in pool)
        return self._enabled and aside < max(1, int(SHARE * len(pool)))

    def succeed(self, vm: str) -> None:
        """Note a finished task: the worker is healthy."""
        self._failures.pop(vm, None)
        self._aside.pop(vm, None)

    def forgive(self, job: str, vms: Collection[str]) -> None:
        """Drop the failures of a job that failed on several workers.

        The fault is the job's; a worker set aside for too few others returns.
        """
        for vm in vms:
            failures = self._failures.get(vm, {})
            failures.pop(job, None)
            present = self._aside.get(vm)
            first_term = present is not None and present.length == FIRST
            if first_term and len(failures) < DISTINCT_JOBS:
                del self._aside[vm]

    def is_aside(self, vm: str, now: float) -> bool:
        """Whether no task may start on the worker."""
        present = self._aside.get(vm)
        return present is not None and now < present.until

    def is_on_trial(self, vm: str) -> bool:
        """Whether the worker gets one bulk job at a time until one succeeds."""
        return vm in self._aside

    def keep(self, vms: Collection[str]) -> None:
        """Forget workers that left the fleet."""
        for vm in [name for name in self._failures if name not in vms]:
            del self._failures[vm]
        for vm in [name for name in self._aside if name not in vms]:
            del self._aside[vm]
