"""Workers that fail the tasks of several different jobs are set aside."""

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["Quarantine"]

# Three different jobs without a success between them: one bad job is retried on
# other workers before it could count three times here, and a worker with a
# passing fault loses at most two tasks.
MIN_FAILED_JOBS = 3
# Failures that lie further apart say nothing about the worker.
FAILURE_WINDOW_SECONDS = 900.0
# First time aside, seconds; doubled at each failed trial up to the longest.
FIRST_TERM_SECONDS = 60.0
MAX_TERM_SECONDS = 3600.0
# A fault of the jobs' own (a bad release of one kind) must not empty a pool.
MAX_QUARANTINED_SHARE = 0.2


class QuarantineTerm(NamedTuple):
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
        self._terms: dict[str, QuarantineTerm] = {}

    def record_failure(
        self, vm: str, job: str, pool: Collection[str], now: float
    ) -> bool:
        """Note a failed task; return whether the worker was set aside by it."""
        failures = self._failures.setdefault(vm, {})
        failures[job] = now
        for name, when in list(failures.items()):
            if when < now - FAILURE_WINDOW_SECONDS:
                del failures[name]
        present = self._terms.get(vm)
        if present is not None and now < present.until:
            return False  # it was running there before, and proves nothing new
        if present is not None:
            length = min(MAX_TERM_SECONDS, 2 * present.length)
            self._terms[vm] = QuarantineTerm(now + length, length, present.since)
            return False
        if len(failures) < MIN_FAILED_JOBS or not self._has_room(pool):
            return False
        self._terms[vm] = QuarantineTerm(
            now + FIRST_TERM_SECONDS, FIRST_TERM_SECONDS, now
        )
        return True

    def _has_room(self, pool: Collection[str]) -> bool:
        aside = sum(vm in self._terms for vm in pool)
        return self._enabled and aside < max(1, int(MAX_QUARANTINED_SHARE * len(pool)))

    def record_success(self, vm: str) -> None:
        """Note a finished task: the worker is healthy."""
        self._failures.pop(vm, None)
        self._terms.pop(vm, None)

    def dismiss_failures(self, job: str, vms: Collection[str]) -> None:
        """Drop the failures of a job that failed on several workers.

        The fault is the job's; a worker set aside for too few others returns.
        """
        for vm in vms:
            failures = self._failures.get(vm, {})
            failures.pop(job, None)
            present = self._terms.get(vm)
            first_term = present is not None and present.length == FIRST_TERM_SECONDS
            if first_term and len(failures) < MIN_FAILED_JOBS:
                del self._terms[vm]

    def is_quarantined(self, vm: str, now: float) -> bool:
        """Whether no task may start on the worker."""
        present = self._terms.get(vm)
        return present is not None and now < present.until

    def is_on_trial(self, vm: str) -> bool:
        """Whether the worker gets one bulk job at a time until one succeeds."""
        return vm in self._terms

    def prune(self, vms: Collection[str]) -> None:
        """Forget workers that left the fleet."""
        for vm in [name for name in self._failures if name not in vms]:
            del self._failures[vm]
        for vm in [name for name in self._terms if name not in vms]:
            del self._terms[vm]
