"""Choosing a worker by this daemon's own counts.

Made for the time in which nobody counts the slots of a pool for all daemons:
the better of two workers drawn at random. A worker that refused is avoided for
about the time in which one of its slots becomes free, since asking again at
once would only make it refuse more.
"""

import random
from collections.abc import Iterable

from wigeonhitch.routing import event, evidence, peer, port

__all__ = ["Choice"]

# Bounds, in seconds and doublings, of avoiding a worker that refused.
SHORTEST_AVOID = 0.002
AVOID_DOUBLINGS = 4


class Choice:
    """Workers of one pool and this daemon's requests at them.

    Parameters
    ----------
    driver : port.Port
    signs : evidence.Evidence
    rng : random.Random
        Seeded.
    """

    def __init__(
        self, driver: port.Port, signs: evidence.Evidence, rng: random.Random
    ) -> None:
        self._port = driver
        self._evidence = signs
        self._rng = rng
        self._slots: dict[str, int] = {}
        self._caps: dict[str, int] = {}
        self._flying: dict[str, int] = {}
        self._avoid: dict[str, tuple[float, int]] = {}

    def __contains__(self, vm: str) -> bool:
        """Tell whether a worker may get sends."""
        return vm in self._slots

    @property
    def slots(self) -> int:
        """Slots of all workers that may get sends."""
        return sum(self._slots.values())

    def set_workers(self, workers: Iterable[event.Worker]) -> None:
        """Set the workers of the pool."""
        workers = tuple(workers)
        self._slots = {worker.vm: worker.slots for worker in workers if worker.usable}
        self._caps = {}
        known = {worker.vm for worker in workers}
        self._avoid = {vm: avoid for vm, avoid in self._avoid.items() if vm in known}

    def forget_limits(self) -> None:
        """Ask for the limits of connections anew: the members changed."""
        self._caps = {}

    def start(self, vm: str) -> None:
        """Count a request in."""
        self._flying[vm] = self._flying.get(vm, 0) + 1

    def end(self, vm: str, outcome: peer.Outcome, now: float) -> None:
        """Count a request out; avoid a worker that refused or failed."""
        self._flying[vm] -= 1
        if not self._flying[vm]:
            del self._flying[vm]
        if outcome is peer.Outcome.OK:
            self._avoid.pop(vm, None)
            return
        _, row = self._avoid.get(vm, (0.0, 0))
        base = self._evidence.mean / self._slots.get(vm, 1)
        length = max(SHORTEST_AVOID, base) * 2.0 ** min(row, AVOID_DOUBLINGS)
        self._avoid[vm] = (now + length * (0.5 + self._rng.random()), row + 1)

    def choose(self, now: float) -> str | None:
        """Return the better of two workers that may have room, or None."""
        room = []
        for vm in self._slots:
            used = self._flying.get(vm, 0)
            if used >= self._cap(vm):
                continue
            if vm in self._avoid and self._avoid[vm][0] > now:
                continue
            if self._evidence.allows(vm, used, now):
                room.append(vm)
        if len(room) > 2:
            room = self._rng.sample(room, 2)
        return min(room, key=self._weigh, default=None)

    def next_time(self, now: float) -> float | None:
        """Return when the next avoided worker may be tried, in seconds."""
        return min(
            (until for until, _ in self._avoid.values() if until > now), default=None
        )

    def _weigh(self, vm: str) -> float:
        used = self._flying.get(vm, 0)
        return self._evidence.weigh(vm, used, self._slots[vm])

    def _cap(self, vm: str) -> int:
        """Return how many requests this daemon may have at a worker."""
        if not self._caps:
            self._caps = self._port.limit(self._slots)
        return min(self._slots[vm], self._caps[vm])
