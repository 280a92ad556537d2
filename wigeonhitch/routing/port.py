"""What the parts of the routing core need of the object that drives them."""

from collections.abc import Iterable
from typing import Protocol

from wigeonhitch import verdict
from wigeonhitch.routing import peer

__all__ = ["Port"]


class Port(Protocol):
    """What a borrower needs of the object that drives it."""

    def number(self) -> int:
        """Return a number that is unique in this daemon."""
        ...

    def tell(self, daemon: str, message: peer.Message) -> None:
        """Send a message to a daemon (this one included)."""
        ...

    def limit(self, vms: Iterable[str]) -> dict[str, int]:
        """Return how many connections to each worker this daemon may use."""
        ...

    def start(self, request: int, hold: int, vm: str) -> None:
        """Send a request to a worker."""
        ...

    def refuse(self, request: int, reason: verdict.Reason, retry: float) -> None:
        """Give up a request that waited."""
        ...
