"""Whether a slot just freed may be reused for a local request."""

from wigeonhitch.routing import peer, queue

__all__ = ["ReuseHint"]

# A freed slot is reused for a local request of the class and team that is next at
# the owner, if that request arrived at most this much later than the owner's next.
# Reuse saves two message delays (2 to 3 ms of some 50) when slots are scarce; the
# slack bounds how far requests may overtake each other.
REUSE_SLACK_SECONDS = 0.05

# Age up to which the contents of a pulse are relied on.
MAX_HINT_AGE_SECONDS = 0.06


class ReuseHint:
    """The owner's latest report of the slot requests that are next."""

    def __init__(self) -> None:
        self._heads: tuple[peer.Head, ...] | None = None
        self._received_at = 0.0

    def update(self, pulse: peer.Pulse, now: float) -> None:
        """Record the contents of a pulse."""
        self._heads = pulse.heads
        self._received_at = now

    def clear(self) -> None:
        """Discard the contents, because another owner is asked."""
        self._heads = None

    def is_fresh(self, now: float) -> bool:
        """Return whether the contents are recent enough to be relied on."""
        return (
            self._heads is not None and now - self._received_at <= MAX_HINT_AGE_SECONDS
        )

    def allows(self, entry: queue.Entry) -> bool:
        """Return whether a local request may take the slot before the owner's next.

        The next request of a higher class must be no older than the slack. It gets the
        following free slot, so that reuse delays it by one slot at most.
        """
        for head in self._heads or ():
            if head.rank < entry.rank and head.age > REUSE_SLACK_SECONDS:
                return False
            if head.rank == entry.rank:
                oldest = self._received_at - head.age
                if (
                    entry.team != head.team
                    or entry.arrived_at > oldest + REUSE_SLACK_SECONDS
                ):
                    return False
        return True
