"""The right to give orders under one claim."""

from collections.abc import Callable

__all__ = ["Term"]


class Term:
    """One leadership, from its claim until it is over; it never resumes.

    A daemon's lease may last though a pool that it led is lost, and tasks of that
    leadership take one more step before they end. So the right to order is the
    term's, not the daemon's.

    Parameters
    ----------
    is_lease_valid : callable
        Whether this daemon's lease lasts at this moment.
    """

    def __init__(self, is_lease_valid: Callable[[], bool]) -> None:
        self._is_lease_valid = is_lease_valid
        self._is_over = False

    def end(self) -> None:
        """Give no order any more."""
        self._is_over = True

    def may_order(self) -> bool:
        """Whether an order may be given at this moment."""
        return not self._is_over and self._is_lease_valid()
