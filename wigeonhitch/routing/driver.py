"""Interface that the parts of the routing core require of the object driving them."""

from collections.abc import Iterable
from typing import Protocol

from wigeonhitch import verdict
from wigeonhitch.routing import peer

__all__ = ["Driver"]


class Driver(Protocol):
    """Operations that a `pool_client.PoolClient` requires of the object driving it."""

    def allocate_number(self) -> int:
        """Return a number that is unique in this daemon."""
        ...

    def send_message(self, daemon: str, message: peer.Message) -> None:
        """Send a message to a daemon (this one included)."""
        ...

    def compute_connection_limits(self, vms: Iterable[str]) -> dict[str, int]:
        """Return how many connections to each worker this daemon may use."""
        ...

    def start_attempt(self, request: int, slot_id: int, vm: str) -> None:
        """Send a request to a worker."""
        ...

    def refuse(self, request: int, reason: verdict.Reason, retry_after: float) -> None:
        """Refuse a request that was waiting."""
        ...
