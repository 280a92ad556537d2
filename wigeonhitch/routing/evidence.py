"""Which workers of a pool get requests, by evidence from their answers.

Made for workers that are frozen, refuse connections, flap, or fail every
request at once (and would so attract all of them), while the platform's list
still calls them live. Harm prevented: a tenth of the callers failing until an
operator notices. The other harm, a pool emptied by evidence that is not the
workers' fault (a cut network, one poisonous caller), is bounded by `MAX_OUT`.
"""

import enum
import random
from collections.abc import Iterable

from wigeonhitch.routing import peer

__all__ = ["MAX_OUT", "Evidence", "State"]

# Largest share of a pool that evidence alone takes out, rounded down: with
# six workers two. A wider failure is the pool's, and shifting its load onto
# the few that remain would bring those down too.
MAX_OUT = 1.0 / 3.0

# Failures in a row that take a worker out. With honest workers failing one
# request in a hundred it happens by chance once in 10^10 requests.
FAILURES_IN_A_ROW = 5

# Share of failures (over some 20 answers) that takes out one that flaps.
FAILURE_SHARE = 0.5
FAILURE_GAIN = 0.05
MIN_ANSWERS = 10

# A worker whose mean time is above this multiple of the pool's median is as
# good as frozen. Below it, its slots are still capacity: `weigh` makes it the
# last to be chosen. A lower multiple lets chance alone take out a worker that
# is only some times slower, when a nearly full pool needs its slots.
SLOW_FACTOR = 20.0
TIME_GAIN = 0.05
POOL_TIME_GAIN = 0.02

# Seconds out the first time, doubled each time up to the longest. A reboot
# takes a minute; a flapping worker then costs a trial each half minute.
FIRST_OUT = 1.0
LONGEST_OUT = 30.0

# Successes in trial, one request at a time, that let a worker back.
TRIALS = 3

# Seconds of health after which earlier removals are forgotten.
FORGIVEN = 60.0


class State(enum.Enum):
    """What a worker may get."""

    IN = "in"
    OUT = "out"
    TRIAL = "trial"


class _Worker:
    """Evidence on one worker."""

    __slots__ = (
        "failures",
        "mean",
        "removals",
        "row",
        "samples",
        "since",
        "state",
        "successes",
        "trial",
        "until",
    )

    def __init__(self) -> None:
        self.state = State.IN
        self.removals = 0
        self.since = 0.0
        self.until = 0.0
        self.mean = 0.0
        self.reset()

    def reset(self) -> None:
        """Forget the answers, but not the removals."""
        self.failures = 0.0
        self.samples = 0
        self.row = 0
        self.successes = 0
        self.trial = 0.0


class Evidence:
    """Evidence on all workers of one pool.

    Parameters
    ----------
    rng : random.Random
        Seeded; spreads the ends of removals.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._workers: dict[str, _Worker] = {}
        self._mean = 0.0

    @property
    def mean(self) -> float:
        """Mean seconds of an answered request in the pool; 0 if unknown."""
        return self._mean

    def set_workers(self, vms: Iterable[str]) -> None:
        """Set the workers of the pool; what is known of others is forgotten."""
        self._workers = {vm: self._workers.get(vm) or _Worker() for vm in vms}

    def record(
        self, vm: str, outcome: peer.Outcome, seconds: float, now: float
    ) -> None:
        """Take the end of an attempt as evidence; refusals say nothing."""
        worker = self._workers.get(vm)
        if worker is None or outcome in (peer.Outcome.UNUSED, peer.Outcome.REFUSED):
            return
        failed = outcome is peer.Outcome.FAILED
        worker.samples += 1
        worker.failures += FAILURE_GAIN * ((1.0 if failed else 0.0) - worker.failures)
        worker.row = worker.row + 1 if failed else 0
        if not failed:
            worker.mean = _blend(worker.mean or self._mean, seconds, TIME_GAIN)
            worker.trial += seconds
            self._mean = _blend(self._mean, seconds, POOL_TIME_GAIN)
        if worker.state is State.IN:
            if self._is_bad(worker):
                self._remove(worker, now)
        elif worker.state is State.TRIAL:
            self._judge_trial(worker, failed, now)

    def state(self, vm: str, now: float) -> State:
        """Return what the worker may get; moves it on to trial when due."""
        worker = self._workers.get(vm)
        if worker is None:
            return State.IN
        if worker.state is State.OUT and now >= worker.until:
            worker.state = State.TRIAL
            worker.mean = 0.0
            worker.reset()
        return worker.state

    def allows(self, vm: str, used: int, now: float) -> bool:
        """Tell whether a worker with ``used`` requests may get one more."""
        state = self.state(vm, now)
        return state is State.IN or (state is State.TRIAL and used == 0)

    def weigh(self, vm: str, used: int, slots: int) -> float:
        """Return a weight; the lowest of the workers with room goes first."""
        worker = self._workers.get(vm)
        if worker is None:
            return (self._mean or 1.0) * (1.0 + used / slots)
        mean = worker.mean or self._mean or 1.0
        return mean * (1.0 + used / slots) * (1.0 + worker.row)

    def _is_bad(self, worker: _Worker) -> bool:
        if worker.row >= FAILURES_IN_A_ROW:
            return True
        if worker.samples < MIN_ANSWERS:
            return False
        expected = 1.0 - (1.0 - FAILURE_GAIN) ** worker.samples
        if worker.failures > FAILURE_SHARE * expected:
            return True
        return worker.mean > SLOW_FACTOR * self._median()

    def _median(self) -> float:
        means = sorted(worker.mean for worker in self._workers.values() if worker.mean)
        return means[(len(means) - 1) // 2] if means else 0.0

    def _remove(self, worker: _Worker, now: float) -> None:
        out = sum(other.state is not State.IN for other in self._workers.values())
        if out + 1 > int(MAX_OUT * len(self._workers)):
            worker.reset()
            return
        if now - worker.since > FORGIVEN:
            worker.removals = 0
        self._put_out(worker, now)

    def _put_out(self, worker: _Worker, now: float) -> None:
        length = min(LONGEST_OUT, FIRST_OUT * 2.0**worker.removals)
        worker.state = State.OUT
        worker.until = now + length * (1.0 + 0.2 * self._rng.random())
        worker.removals += 1
        worker.reset()

    def _judge_trial(self, worker: _Worker, failed: bool, now: float) -> None:
        worker.successes += 1
        slow = worker.trial > SLOW_FACTOR * self._median() * worker.successes > 0.0
        if failed or (slow and worker.successes >= TRIALS):
            self._put_out(worker, now)
            return
        if worker.successes >= TRIALS:
            worker.state = State.IN
            worker.since = now
            worker.reset()


def _blend(mean: float, seconds: float, gain: float) -> float:
    if not mean:
        return seconds
    return mean + gain * (seconds - mean)
