"""The right to give orders under one claim."""

from collections.abc import Callable

__all__ = ["Term"]


class Term:
    """One term of leadership, from the claim until it ends; it never resumes.

    The daemon's lease may outlast the leadership of a pool, and tasks of that
    leadership take one more step before they are cancelled. The right to give orders
    therefore belongs to the term and not to the daemon.

    Parameters
    ----------
    is_lease_valid : callable
        Returns whether this daemon's lease is valid at this moment.
    """

    def __init__(self, is_lease_valid: Callable[[], bool]) -> None:
        self._is_lease_valid = is_lease_valid
        self._has_ended = False

    def end(self) -> None:
        """End the term; no order may be given afterwards."""
        self._has_ended = True

    def may_order(self) -> bool:
        """Return whether an order may be given at this moment."""
        return not self._has_ended and self._is_lease_valid()
