"""Renewals that a leader has sent to the workers of its pool, for the log.

A renewal names its worker by the id, which all incarnations share. One that was sent to
an incarnation may be executed by another, which then forgets ends of its own.
"""

from typing import NamedTuple

__all__ = ["Renewal", "SentRenewals"]

MAX_WORKERS = 1000
"""Workers whose renewals are kept: a pool has far fewer at a time."""

MAX_INCARNATIONS = 3
"""Incarnations of a worker whose renewals are kept."""


class Renewal(NamedTuple):
    """What a renewal carried, with the incarnation that it was sent to.

    ``acknowledged`` is the number up to which it acknowledged ends, and ``deadline``
    that of the leases on the worker's clock, if it set one.
    """

    vm: str = ""
    acknowledged: int = 0
    deadline: float | None = None


class SentRenewals:
    """The last renewals of each worker of a pool."""

    def __init__(self) -> None:
        self._last: dict[str, Renewal] = {}
        self._acknowledged: dict[str, dict[str, int]] = {}

    def record(self, worker: str, renewal: Renewal) -> None:
        """Record a renewal that is about to be sent."""
        self._last.pop(worker, None)
        self._last[worker] = renewal
        if renewal.acknowledged:
            numbers = self._acknowledged.setdefault(worker, {})
            numbers.pop(renewal.vm, None)
            numbers[renewal.vm] = renewal.acknowledged
            if len(numbers) > MAX_INCARNATIONS:
                del numbers[next(iter(numbers))]
        if len(self._last) > MAX_WORKERS:
            oldest = next(iter(self._last))
            del self._last[oldest]
            self._acknowledged.pop(oldest, None)

    def get_last(self, worker: str) -> Renewal:
        """Return the last renewal that was sent to a worker."""
        return self._last.get(worker, Renewal())

    def get_acknowledged(self, worker: str) -> dict[str, int]:
        """Return the last number acknowledged to each incarnation, the latest last."""
        return dict(self._acknowledged.get(worker, {}))
