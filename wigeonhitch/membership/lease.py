"""Duty leases with fencing tokens.

A duty row ``duty/{name}`` names the holder and changes only when the holder changes.
The holder shows that it is alive by renewing its own daemon row. A takeover changes
the version of the duty row, so a transaction with `Lease.condition` fails for a
holder that has been replaced, however long it was paused.
"""

from typing import NamedTuple, Protocol

from wigeonhitch.platform import table

__all__ = ["Lease", "Leases"]


class Lease(NamedTuple):
    """A duty held by this daemon.

    Parameters
    ----------
    duty : str
        Name of the duty.
    fence : int
        Fencing token: the version of the duty row at takeover.
    expires : float
        Seconds on the clock that includes time in suspension (``CLOCK_BOOTTIME``).
    """

    duty: str
    fence: int
    expires: float

    @property
    def condition(self) -> table.Condition:
        """Return the condition that every transaction of the duty must include."""
        return table.Condition(f"duty/{self.duty}", self.fence)


class Leases(Protocol):
    """The duties that this daemon holds."""

    def current(self, duty: str) -> Lease | None:
        """Return the lease if it is held and has not lapsed, else None."""
        ...

    def want(self, duty: str) -> None:
        """Start to compete for a duty."""
        ...

    def unwant(self, duty: str) -> None:
        """Stop competing for a duty and release it."""
        ...
