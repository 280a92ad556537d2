"""Bounds of the store's clock, which all leases are counted by."""

__all__ = ["StoreClock"]


class StoreClock:
    """Bounds of the store's steady clock, from one answer's time."""

    def __init__(self) -> None:
        self._time = 0.0
        self._sent = 0.0
        self._received = 0.0

    def learn(self, time: float, sent: float, received: float) -> None:
        """Take the time of an answer; the newest one is kept."""
        if time and received >= self._received:
            self._time, self._sent, self._received = time, sent, received

    @property
    def is_known(self) -> bool:
        """Whether any answer was taken."""
        return self._time > 0

    def compute_earliest(self, now: float) -> float:
        """Return a time that the store's clock has certainly reached."""
        return self._time + (now - self._received)

    def compute_latest(self, now: float) -> float:
        """Return a time that the store's clock has certainly not passed."""
        return self._time + (now - self._sent)
