"""Bounds of the store's clock, on which all leases are timed."""

__all__ = ["StoreClock"]


class StoreClock:
    """Lower and upper bounds of the store's monotonic clock.

    They are derived from the time in the newest answer of the store.
    """

    def __init__(self) -> None:
        self._store_time = 0.0
        self._sent_at = 0.0
        self._received_at = 0.0

    def update(self, store_time: float, sent_at: float, received_at: float) -> None:
        """Record the store's time from an answer; the newest answer is kept."""
        if store_time and received_at >= self._received_at:
            self._store_time, self._sent_at, self._received_at = (
                store_time,
                sent_at,
                received_at,
            )

    @property
    def is_known(self) -> bool:
        """Whether any answer has been recorded."""
        return self._store_time > 0

    def compute_earliest(self, now: float) -> float:
        """Return a lower bound of the store's clock at ``now``."""
        return self._store_time + (now - self._received_at)

    def compute_latest(self, now: float) -> float:
        """Return an upper bound of the store's clock at ``now``."""
        return self._store_time + (now - self._sent_at)
