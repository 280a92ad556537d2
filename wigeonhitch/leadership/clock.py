"""Bounds of the store's clock, on which all leases are timed."""

import math
from typing import NamedTuple

__all__ = ["MAX_CLOCK_DRIFT", "StoreClock"]

MAX_CLOCK_DRIFT = 0.02
"""Maximum difference between the rates of the store's clock and of this daemon's, the
bound that the platform states for workers. Over one lease the margin of leases covers
it; it is added to bounds that are kept for longer."""


class _Bounds(NamedTuple):
    """Bounds of the store's clock less this daemon's, as known at ``at``."""

    least: float
    most: float
    at: float

    def widen(self, now: float) -> "_Bounds":
        """Return the bounds at a later time."""
        drift = MAX_CLOCK_DRIFT * max(0.0, now - self.at)
        return _Bounds(self.least - drift, self.most + drift, now)


class StoreClock:
    """Lower and upper bounds of the store's monotonic clock.

    The store's time in an answer was reached between sending and receiving. Bounds from
    earlier answers are kept, and widened by the drift since. With a store that takes
    0.7 s for a transaction, the newest answer alone left 0.7 s of each lease of 2.2 s
    unusable, so that leaders lapsed although all their renewals were answered.
    """

    def __init__(self) -> None:
        self._newest = _Bounds(-math.inf, math.inf, -math.inf)
        self._kept = self._newest

    def update(self, store_time: float, sent_at: float, received_at: float) -> None:
        """Record the store's time from an answer; older answers are ignored."""
        if not store_time or received_at < self._newest.at:
            return
        newest = _Bounds(store_time - received_at, store_time - sent_at, received_at)
        kept = self._kept.widen(received_at) if self.is_known else newest
        kept = _Bounds(
            max(kept.least, newest.least), min(kept.most, newest.most), received_at
        )
        # If one of the clocks has jumped, only the newest answer counts.
        self._kept = kept if kept.least <= kept.most else newest
        self._newest = newest

    @property
    def is_known(self) -> bool:
        """Whether any answer has been recorded."""
        return math.isfinite(self._newest.at)

    def compute_earliest(self, now: float) -> float:
        """Return a lower bound of the store's clock at ``now``."""
        if not self.is_known:
            return now
        return now + max(self._newest.least, self._kept.widen(now).least)

    def compute_latest(self, now: float) -> float:
        """Return an upper bound of the store's clock at ``now``."""
        if not self.is_known:
            return now
        return now + min(self._newest.most, self._kept.widen(now).most)
