"""How often one daemon may write records. No I/O, no clock.

Made for a table that carries several hundred writes a second for everything,
whether 9 or 220 daemons share it. A fixed rate per daemon would take 5500 at
220; an equal share of one total never takes more than that total. The harm it
prevents: claims that crowd out the renewals of leases.
"""

import math
from typing import NamedTuple

__all__ = ["DEFAULT_LIMITS", "Budget", "Limits"]


class Limits(NamedTuple):
    """Limits of one daemon's record writes.

    Parameters
    ----------
    rate : float
        Most table writes a second on average, however few daemons there are.
        Nine daemons at 25 take 225 of the several hundred of the table.
    burst : float
        Table writes that may follow at once after a quiet time: a lone
        caller's claim and its end go out without a wait, also where the share
        is about one write a second.
    batch_size : int
        Rows per table write; bounds what one conflict sends round again.
    max_in_flight : int
        Table writes under way together; two hide one slow answer.
    total_rate : float
        Table writes a second of all daemons together. With the 44 renewals a
        second of 220 daemons it leaves room for the fleet's and placement's.
    max_batch_size : int
        Rows per table write where the share is small: fewer writes must carry
        as many records.
    """

    rate: float = 25.0
    burst: float = 5.0
    batch_size: int = 64
    max_in_flight: int = 2
    total_rate: float = 300.0
    max_batch_size: int = 256


DEFAULT_LIMITS = Limits()


class Budget:
    """The table writes that a daemon may still send; a token bucket.

    Parameters
    ----------
    limits : Limits
        Rates and sizes.

    Attributes
    ----------
    rate : float
        Table writes a second.
    batch_size : int
        Rows per table write.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._allowance = limits.burst
        self._counted_at: float | None = None
        self.rate = limits.rate
        self.batch_size = limits.batch_size

    def set_daemon_count(self, daemons: int) -> None:
        """Divide the total among the daemons that live, this one included.

        A daemon that hears few others takes more than its share; the sum then
        grows to the total once for each part of the system that the table
        still answers.

        Examples
        --------
        >>> budget = Budget()
        >>> budget.set_daemon_count(9)
        >>> budget.rate, budget.batch_size
        (25.0, 64)
        >>> budget.set_daemon_count(220)
        >>> round(budget.rate, 2), budget.batch_size
        (1.36, 256)
        """
        limits = self._limits
        self.rate = min(limits.rate, limits.total_rate / max(1, daemons))
        grown = math.ceil(limits.batch_size * limits.rate / self.rate)
        self.batch_size = max(limits.batch_size, min(limits.max_batch_size, grown))

    def refill(self, now: float) -> None:
        """Count what the time since the last call allows; seconds."""
        if self._counted_at is not None:
            gained = (now - self._counted_at) * self.rate
            self._allowance = min(self._limits.burst, self._allowance + gained)
        self._counted_at = now

    def has_room(self, inflight: int) -> bool:
        """Whether a table write may go out beside those in flight."""
        return inflight < self._limits.max_in_flight and self._allowance >= 1

    def spend(self) -> None:
        """Count one table write."""
        self._allowance -= 1

    def next_wake(self, now: float, inflight: int) -> float | None:
        """Return when a table write may go out, or None until one has ended."""
        if inflight >= self._limits.max_in_flight:
            return None
        missing = max(0.0, 1 - self._allowance)
        counted = self._counted_at if self._counted_at is not None else now
        return counted + missing / self.rate
