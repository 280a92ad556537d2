"""Tracks whether the store is available, and estimates its clock. No I/O.

While the store is down or slow, claims are refused at once. Otherwise every keyed
request would wait for its own timeout, and hundreds of claims would be left in
doubt.
"""

__all__ = ["Health"]

FAILURE_PAUSE_SECONDS = 0.5
"""Seconds between attempts after the store failed. Until an attempt succeeds,
claims are refused at once and each daemon sends only two small reads a second,
which leave no claim in doubt."""


class Health:
    """Availability and clock of the store, derived from its answers.

    Attributes
    ----------
    is_failing : bool
        Whether the last call failed.
    blocked_until : float
        Time in seconds before which no call is made.
    """

    def __init__(self) -> None:
        self.is_failing = False
        self.blocked_until = 0.0
        self._clock: tuple[float, float] | None = None

    @property
    def needs_probe(self) -> bool:
        """Whether a read must succeed before anything is written.

        The first read gives the table's clock, without which a new record would
        appear expired. After a failure a read shows that the store is available.
        """
        return self.is_failing or self._clock is None

    def on_answer(self, table_time: float, now: float) -> None:
        """Record an answer of the store and the time of its clock."""
        self.is_failing = False
        if table_time:
            self._clock = (table_time, now)

    def on_failure(self, now: float) -> None:
        """Record that a call failed or that its outcome is unknown."""
        self.is_failing = True
        self.blocked_until = now + FAILURE_PAUSE_SECONDS

    def estimate_time(self, now: float) -> float:
        """Return the estimated time of the table's clock, seconds since the epoch."""
        time, local = self._clock or (0.0, now)
        return time + now - local
