"""Outlier detection: which workers of a pool get requests, judged by their answers.

Detects workers that are frozen, refuse connections, flap, or fail every request
at once (and would attract all of them by their speed) while the platform still
lists them as live. Without it a tenth of the callers would fail until an operator
notices. `MAX_EJECTED_SHARE` limits the opposite harm: a pool emptied by failures
that are not the workers' fault, such as a network partition or one caller whose
requests always fail.
"""

import enum
import random
from collections.abc import Iterable

from wigeonhitch.routing import peer

__all__ = ["MAX_EJECTED_SHARE", "OutlierDetector", "State"]

# Largest share of a pool that is ejected, rounded down: with six workers, two. A
# wider failure lies in the pool as a whole, and shifting its load onto the few
# remaining workers would overload them too.
MAX_EJECTED_SHARE = 1.0 / 3.0

# Consecutive failures that eject a worker. If one request in a hundred fails by
# chance, this happens once in 10^10 requests.
CONSECUTIVE_FAILURES = 5

# Share of failures, averaged over some 20 answers, that ejects a flapping worker.
FAILURE_SHARE = 0.5
FAILURE_GAIN = 0.05
MIN_ANSWERS = 10

# A worker whose mean time exceeds this multiple of the pool's median counts as
# frozen. Below it, its slots remain capacity, and `compute_score` selects it last.
# With a lower multiple, chance alone could eject a worker that is only a few times
# slower, when a nearly full pool needs its slots.
SLOW_FACTOR = 20.0

# Weight of one answer in the mean time of its worker, and in that of the pool.
LATENCY_GAIN = 0.05
POOL_LATENCY_GAIN = 0.02

# Duration of the first ejection, doubled each time up to the maximum. A reboot
# takes a minute; a flapping worker then costs one trial every half minute.
MIN_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 30.0

# Successes in trial, one request at a time, that return a worker to service.
TRIAL_SUCCESSES = 3

# Seconds in service after which earlier ejections no longer lengthen the next.
EJECTION_RESET_SECONDS = 60.0


class State(enum.Enum):
    """Whether a worker receives requests."""

    HEALTHY = "in"
    EJECTED = "out"
    TRIAL = "trial"


class _Worker:
    """Health statistics of one worker."""

    __slots__ = (
        "failure_share",
        "mean_seconds",
        "ejections",
        "consecutive_failures",
        "samples",
        "healthy_since",
        "state",
        "successes",
        "trial_seconds",
        "ejected_until",
    )

    def __init__(self) -> None:
        self.state = State.HEALTHY
        self.ejections = 0
        self.healthy_since = 0.0
        self.ejected_until = 0.0
        self.mean_seconds = 0.0
        self.reset()

    def reset(self) -> None:
        """Clear the answer statistics, but not the ejections."""
        self.failure_share = 0.0
        self.samples = 0
        self.consecutive_failures = 0
        self.successes = 0
        self.trial_seconds = 0.0


class OutlierDetector:
    """Health statistics of all workers of one pool.

    Parameters
    ----------
    rng : random.Random
        Seeded; spreads the ends of ejections.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, _Worker] = {}
        self._mean_seconds = 0.0

    @property
    def mean_seconds(self) -> float:
        """Mean seconds of an answered request in the pool; 0 if unknown."""
        return self._mean_seconds

    def set_workers(self, vms: Iterable[str]) -> None:
        """Set the workers of the pool; statistics of others are discarded."""
        self._workers = {vm: self._workers.get(vm) or _Worker() for vm in vms}

    def record(
        self, vm: str, outcome: peer.Outcome, seconds: float, now: float
    ) -> None:
        """Record the end of an attempt; refusals are ignored."""
        worker = self._workers.get(vm)
        if worker is None or outcome in (peer.Outcome.UNUSED, peer.Outcome.REFUSED):
            return
        failed = outcome is peer.Outcome.FAILED
        worker.samples += 1
        worker.failure_share += FAILURE_GAIN * (
            (1.0 if failed else 0.0) - worker.failure_share
        )
        worker.consecutive_failures = worker.consecutive_failures + 1 if failed else 0
        if not failed:
            worker.mean_seconds = _update_mean(
                worker.mean_seconds or self._mean_seconds, seconds, LATENCY_GAIN
            )
            worker.trial_seconds += seconds
            self._mean_seconds = _update_mean(
                self._mean_seconds, seconds, POOL_LATENCY_GAIN
            )
        if worker.state is State.HEALTHY:
            if self._is_outlier(worker):
                self._eject_within_limit(worker, now)
        elif worker.state is State.TRIAL:
            self._evaluate_trial(worker, failed, now)

    def state(self, vm: str, now: float) -> State:
        """Return the state of a worker; an expired ejection becomes a trial."""
        worker = self._workers.get(vm)
        if worker is None:
            return State.HEALTHY
        if worker.state is State.EJECTED and now >= worker.ejected_until:
            worker.state = State.TRIAL
            worker.mean_seconds = 0.0
            worker.reset()
        return worker.state

    def allows(self, vm: str, used: int, now: float) -> bool:
        """Return whether a worker with ``used`` requests may get one more."""
        state = self.state(vm, now)
        return state is State.HEALTHY or (state is State.TRIAL and used == 0)

    def compute_score(self, vm: str, used: int, slots: int) -> float:
        """Return a score; of the workers with free slots the lowest is selected."""
        worker = self._workers.get(vm)
        if worker is None:
            return (self._mean_seconds or 1.0) * (1.0 + used / slots)
        mean = worker.mean_seconds or self._mean_seconds or 1.0
        return mean * (1.0 + used / slots) * (1.0 + worker.consecutive_failures)

    def _is_outlier(self, worker: _Worker) -> bool:
        if worker.consecutive_failures >= CONSECUTIVE_FAILURES:
            return True
        if worker.samples < MIN_ANSWERS:
            return False
        expected = 1.0 - (1.0 - FAILURE_GAIN) ** worker.samples
        if worker.failure_share > FAILURE_SHARE * expected:
            return True
        return worker.mean_seconds > SLOW_FACTOR * self._compute_median_seconds()

    def _compute_median_seconds(self) -> float:
        means = sorted(
            worker.mean_seconds
            for worker in self._workers.values()
            if worker.mean_seconds
        )
        return means[(len(means) - 1) // 2] if means else 0.0

    def _eject_within_limit(self, worker: _Worker, now: float) -> None:
        ejected = sum(
            other.state is not State.HEALTHY for other in self._workers.values()
        )
        if ejected + 1 > int(MAX_EJECTED_SHARE * len(self._workers)):
            worker.reset()
            return
        if now - worker.healthy_since > EJECTION_RESET_SECONDS:
            worker.ejections = 0
        self._eject(worker, now)

    def _eject(self, worker: _Worker, now: float) -> None:
        seconds = min(
            MAX_EJECTION_SECONDS, MIN_EJECTION_SECONDS * 2.0**worker.ejections
        )
        worker.state = State.EJECTED
        worker.ejected_until = now + seconds * (1.0 + 0.2 * self._rng.random())
        worker.ejections += 1
        worker.reset()

    def _evaluate_trial(self, worker: _Worker, failed: bool, now: float) -> None:
        worker.successes += 1
        slow = (
            worker.trial_seconds
            > SLOW_FACTOR * self._compute_median_seconds() * worker.successes
            > 0.0
        )
        if failed or (slow and worker.successes >= TRIAL_SUCCESSES):
            self._eject(worker, now)
            return
        if worker.successes >= TRIAL_SUCCESSES:
            worker.state = State.HEALTHY
            worker.healthy_since = now
            worker.reset()


def _update_mean(mean: float, seconds: float, gain: float) -> float:
    if not mean:
        return seconds
    return mean + gain * (seconds - mean)
