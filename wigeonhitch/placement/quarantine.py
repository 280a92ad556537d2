"""Quarantine of workers on which tasks of several different jobs failed."""

from collections.abc import Collection
from typing import NamedTuple

__all__ = ["Quarantine"]

# Failed jobs without a success in between that quarantine a worker. Jobs are counted
# once, so a bad job, which is retried on other workers, doesn't reach three alone. A
# worker with a transient fault loses at most two tasks.
MIN_FAILED_JOBS = 3
# Failures that are further apart say nothing about the worker.
FAILURE_WINDOW_SECONDS = 900.0
# Length of the first quarantine; doubled at each failed trial up to the maximum.
FIRST_TERM_SECONDS = 60.0
MAX_TERM_SECONDS = 3600.0
# Share of a pool that may be in quarantine at once: a fault in the jobs themselves,
# such as a bad release of one kind, must not empty the pool.
MAX_QUARANTINED_SHARE = 0.2


class QuarantineTerm(NamedTuple):
    """Quarantine of one worker until ``until``; ``length`` is the current term."""

    until: float
    length: float
    since: float


class Quarantine:
    """Quarantine workers that fail every task, and try them again later.

    A worker that fails tasks at once looks idle and attracts the whole queue.
    Each job would lose an attempt there, and healthy jobs would be refused for
    failing too often.

    Parameters
    ----------
    enabled : bool
        If false, no worker is ever quarantined; used as a baseline.
    """

    def __init__(self, enabled: bool = True):
        self._enabled = enabled
        self._failures: dict[str, dict[str, float]] = {}
        self._terms: dict[str, QuarantineTerm] = {}

    def record_failure(
        self, vm: str, job: str, pool: Collection[str], now: float
    ) -> bool:
        """Record a failed task; return whether it quarantined the worker."""
        failures = self._failures.setdefault(vm, {})
        failures[job] = now
        for name, failed_at in list(failures.items()):
            if failed_at < now - FAILURE_WINDOW_SECONDS:
                del failures[name]
        term = self._terms.get(vm)
        if term is not None and now < term.until:
            return False  # the task was started before the quarantine
        if term is not None:
            length = min(MAX_TERM_SECONDS, 2 * term.length)
            self._terms[vm] = QuarantineTerm(now + length, length, term.since)
            return False
        if len(failures) < MIN_FAILED_JOBS or not self._has_room(pool):
            return False
        self._terms[vm] = QuarantineTerm(
            now + FIRST_TERM_SECONDS, FIRST_TERM_SECONDS, now
        )
        return True

    def _has_room(self, pool: Collection[str]) -> bool:
        quarantined = sum(vm in self._terms for vm in pool)
        return self._enabled and quarantined < max(
            1, int(MAX_QUARANTINED_SHARE * len(pool))
        )

    def record_success(self, vm: str) -> None:
        """Record a finished task: the worker is healthy and leaves quarantine."""
        self._failures.pop(vm, None)
        self._terms.pop(vm, None)

    def dismiss_failures(self, job: str, vms: Collection[str]) -> None:
        """Discard the failures of a job that failed on several workers.

        The fault lies in the job. A worker in its first term that has too few
        other failures leaves quarantine.
        """
        for vm in vms:
            failures = self._failures.get(vm, {})
            failures.pop(job, None)
            term = self._terms.get(vm)
            first_term = term is not None and term.length == FIRST_TERM_SECONDS
            if first_term and len(failures) < MIN_FAILED_JOBS:
                del self._terms[vm]

    def is_quarantined(self, vm: str, now: float) -> bool:
        """Return whether no task may start on the worker."""
        term = self._terms.get(vm)
        return term is not None and now < term.until

    def is_on_trial(self, vm: str) -> bool:
        """Return whether the worker gets one bulk job at a time until one succeeds."""
        return vm in self._terms

    def prune(self, vms: Collection[str]) -> None:
        """Remove workers that left the fleet."""
        for vm in [name for name in self._failures if name not in vms]:
            del self._failures[vm]
        for vm in [name for name in self._terms if name not in vms]:
            del self._terms[vm]
