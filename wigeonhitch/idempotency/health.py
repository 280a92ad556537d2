"""Whether the store can be written now, and its clock. No I/O.

Made for a store that is down or slow for long stretches. The harm prevented:
every keyed request waiting for its own timeout, and claims left in doubt by
the hundred because each of them was the one to find out.
"""

__all__ = ["Health"]

FAILURE_PAUSE = 0.5
"""Seconds without trying after the store failed: claims are refused at once,
and the store gets two small reads a second from each daemon, which leave
nothing in doubt, until one succeeds."""


class Health:
    """What the answers of the store so far tell about it.

    Attributes
    ----------
    is_failing : bool
        Whether the last call failed.
    blocked_until : float
        Seconds before which nothing is tried.
    """

    def __init__(self) -> None:
        self.is_failing = False
        self.blocked_until = 0.0
        self._clock: tuple[float, float] | None = None

    @property
    def needs_probe(self) -> bool:
        """Whether a read must succeed before anything is written.

        The first read tells the table's clock, without which a new record
        would look expired; one after a failure tells that the store is back.
        """
        return self.is_failing or self._clock is None

    def on_answer(self, table_time: float, now: float) -> None:
        """Note that the store answered, and the time that it told."""
        self.is_failing = False
        if table_time:
            self._clock = (table_time, now)

    def on_failure(self, now: float) -> None:
        """Note that a call failed or that its fate is unknown."""
        self.is_failing = True
        self.blocked_until = now + FAILURE_PAUSE

    def estimate_time(self, now: float) -> float:
        """Return the table's clock, seconds since the Unix epoch."""
        time, local = self._clock or (0.0, now)
        return time + now - local
