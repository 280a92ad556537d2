"""Whether a slot just freed may be kept for an own request."""

from wigeonhitch.routing import peer, queue

__all__ = ["Hint"]

# A slot that becomes free is kept for an own request of the class and team
# that is next at the owner, if that request is younger than the owner's next
# by at most this many seconds. It saves the slot two messages' ways (2 to 3
# ms of some 50) when slots are scarce, and bounds the disorder that it brings.
REUSE_SLACK = 0.05

# Seconds after which what a pulse said about the next ask is not relied on.
HINT_AGE = 0.06


class Hint:
    """What the owner last said about the asks that are next."""

    def __init__(self) -> None:
        self._heads: tuple[peer.Head, ...] | None = None
        self._at = 0.0

    def note(self, pulse: peer.Pulse, now: float) -> None:
        """Take what a pulse says."""
        self._heads = pulse.heads
        self._at = now

    def clear(self) -> None:
        """Forget it: another owner is asked."""
        self._heads = None

    def is_fresh(self, now: float) -> bool:
        """Tell whether it is recent enough to be relied on."""
        return self._heads is not None and now - self._at <= HINT_AGE

    def allows(self, entry: queue.Entry) -> bool:
        """Tell whether an own request is about as good as the owner's next.

        Higher classes must have heads as fresh as the slack: they are served
        at once, and wait for one slot more at most.
        """
        for head in self._heads or ():
            if head.rank < entry.rank and head.age > REUSE_SLACK:
                return False
            if head.rank == entry.rank:
                oldest = self._at - head.age
                if entry.team != head.team or entry.since > oldest + REUSE_SLACK:
                    return False
        return True
