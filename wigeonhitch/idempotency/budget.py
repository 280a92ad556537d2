"""Rate limit of one daemon's record writes. No I/O, no clock.

The table carries several hundred writes a second in total, whether 9 or 220
daemons share it. A fixed rate per daemon would add up to 5500 writes a second at
220 daemons; equal shares of one total stay within it. Without the limit, claims
would delay the renewals of leases.
"""

import math
from typing import NamedTuple

__all__ = ["DEFAULT_LIMITS", "Budget", "Limits"]


class Limits(NamedTuple):
    """Limits of one daemon's record writes.

    Parameters
    ----------
    rate : float
        Maximum average of table writes a second, however few daemons there are.
        Nine daemons at 25 use 225 of the table's several hundred.
    burst : float
        Token bucket size in table writes. After an idle time a single caller's
        claim and its settlement are written without delay, even if the daemon's
        share is about one write a second.
    batch_size : int
        Rows per table write; limits how many rows one conflict makes repeat.
    max_in_flight : int
        Concurrent table writes. With two, one slow answer does not stop writing.
    total_rate : float
        Table writes a second of all daemons together. With the 44 renewals a
        second of 220 daemons it leaves capacity for the writes of fleet and
        placement.
    max_batch_size : int
        Rows per table write when the share is small and fewer writes must carry
        the same number of records.
    """

    rate: float = 25.0
    burst: float = 5.0
    batch_size: int = 64
    max_in_flight: int = 2
    total_rate: float = 300.0
    max_batch_size: int = 256


DEFAULT_LIMITS = Limits()


class Budget:
    """Token bucket of a daemon's table writes.

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
        self._refilled_at: float | None = None
        self.rate = limits.rate
        self.batch_size = limits.batch_size

    def set_daemon_count(self, daemons: int) -> None:
        """Set the rate to an equal share of the total for ``daemons`` live daemons.

        The count includes this daemon. In a network partition a daemon knows of
        fewer live daemons and takes a larger share; each partition that still
        reaches the table may then use the whole total.

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
        scaled = math.ceil(limits.batch_size * limits.rate / self.rate)
        self.batch_size = max(limits.batch_size, min(limits.max_batch_size, scaled))

    def refill(self, now: float) -> None:
        """Add the tokens accrued since the last call; ``now`` in seconds."""
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self.rate
            self._allowance = min(self._limits.burst, self._allowance + gained)
        self._refilled_at = now

    def allows_write(self, in_flight: int) -> bool:
        """Return whether a table write may start beside those in flight."""
        return in_flight < self._limits.max_in_flight and self._allowance >= 1

    def spend(self) -> None:
        """Take the token of one table write."""
        self._allowance -= 1

    def next_wake(self, now: float, in_flight: int) -> float | None:
        """Return when a table write may start; None until one in flight has ended."""
        if in_flight >= self._limits.max_in_flight:
            return None
        missing = max(0.0, 1 - self._allowance)
        refilled = self._refilled_at if self._refilled_at is not None else now
        return refilled + missing / self.rate
