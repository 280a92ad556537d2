"""Selection of a worker by this daemon's local counts.

Used while no owner counts the slots of a pool for all daemons: picks the better
of two workers drawn at random. A worker that refused is avoided for about the
time in which one of its slots becomes free, since retrying at once would only
cause more refusals.
"""

import random
from collections.abc import Iterable

from wigeonhitch.routing import driver, event, outlier, peer

__all__ = ["WorkerSelector"]

# Bounds of the backoff from a worker that refused: the shortest, in seconds, and
# how many times it doubles.
MIN_AVOID_SECONDS = 0.002
MAX_AVOID_DOUBLINGS = 4


class WorkerSelector:
    """Workers of one pool and this daemon's requests in flight to them.

    Parameters
    ----------
    driver : driver.Driver
    detector : outlier.OutlierDetector
    rng : random.Random
        Seeded.
    """

    def __init__(
        self,
        driver: driver.Driver,
        detector: outlier.OutlierDetector,
        rng: random.Random,
    ) -> None:
        self._driver = driver
        self._detector = detector
        self._rng = rng
        self._slots: dict[str, int] = {}
        self._connection_limits: dict[str, int] = {}
        self._in_flight: dict[str, int] = {}
        self._avoided: dict[str, tuple[float, int]] = {}

    def __contains__(self, vm: str) -> bool:
        """Return whether a worker may receive requests."""
        return vm in self._slots

    @property
    def slots(self) -> int:
        """Slots of all workers that may receive requests."""
        return sum(self._slots.values())

    def set_workers(self, workers: Iterable[event.Worker]) -> None:
        """Set the workers of the pool."""
        workers = tuple(workers)
        self._slots = {worker.vm: worker.slots for worker in workers if worker.usable}
        self._connection_limits = {}
        known = {worker.vm for worker in workers}
        self._avoided = {
            vm: avoided for vm, avoided in self._avoided.items() if vm in known
        }

    def clear_limits(self) -> None:
        """Discard the connection limits, which depend on the members."""
        self._connection_limits = {}

    def record_start(self, vm: str) -> None:
        """Record that a request was sent to a worker."""
        self._in_flight[vm] = self._in_flight.get(vm, 0) + 1

    def record_end(self, vm: str, outcome: peer.Outcome, now: float) -> None:
        """Record the end of a request; avoid a worker that refused or failed."""
        self._in_flight[vm] -= 1
        if not self._in_flight[vm]:
            del self._in_flight[vm]
        if outcome is peer.Outcome.OK:
            self._avoided.pop(vm, None)
            return
        _, failures = self._avoided.get(vm, (0.0, 0))
        base = self._detector.mean_seconds / self._slots.get(vm, 1)
        seconds = max(MIN_AVOID_SECONDS, base) * 2.0 ** min(
            failures, MAX_AVOID_DOUBLINGS
        )
        self._avoided[vm] = (now + seconds * (0.5 + self._rng.random()), failures + 1)

    def choose(self, now: float) -> str | None:
        """Return the better of two workers that may have a free slot, or None."""
        candidates = []
        for vm in self._slots:
            used = self._in_flight.get(vm, 0)
            if used >= self._find_limit(vm):
                continue
            if vm in self._avoided and self._avoided[vm][0] > now:
                continue
            if self._detector.allows(vm, used, now):
                candidates.append(vm)
        if len(candidates) > 2:
            candidates = self._rng.sample(candidates, 2)
        return min(candidates, key=self._compute_score, default=None)

    def next_time(self, now: float) -> float | None:
        """Return when the next avoided worker may be tried, in seconds."""
        return min(
            (until for until, _ in self._avoided.values() if until > now), default=None
        )

    def _compute_score(self, vm: str) -> float:
        used = self._in_flight.get(vm, 0)
        return self._detector.compute_score(vm, used, self._slots[vm])

    def _find_limit(self, vm: str) -> int:
        """Return how many requests this daemon may have in flight to a worker."""
        if not self._connection_limits:
            self._connection_limits = self._driver.compute_connection_limits(
                self._slots
            )
        return min(self._slots[vm], self._connection_limits[vm])
