"""One attempt to run a keyed request, as the core keeps it. No I/O."""

import dataclasses
import enum

from wigeonhitch.idempotency import batch, record

__all__ = ["Entry", "Phase"]

FIRST_POLL = 0.05
"""Seconds to the first look at a record under way; doubles from then on, so a
repeat costs at most six reads, shared by all repeats of the moment."""


class Phase(enum.Enum):
    """Where a ticket stands."""

    QUEUED = "queued"
    WAITING = "waiting"
    HELD = "held"
    SETTLING = "settling"


@dataclasses.dataclass
class Entry:
    """One attempt; ``version`` is its row's version once it is held."""

    ticket: int
    row: str
    fingerprint: str
    attempt: str
    deadline: float
    phase: Phase = Phase.QUEUED
    is_abandoned: bool = False
    version: int = 0
    submitted: float = 0.0
    poll_at: float = 0.0
    poll_pause: float = FIRST_POLL
    wait_until: float = 0.0
    held: record.Record | None = None
    settle_until: float = 0.0

    def build_claim(self, daemon: str) -> batch.Write:
        """Return the write that claims the row at ``version``."""
        claimed = record.Record(
            record.State.CLAIMED, self.fingerprint, self.attempt, daemon, 0.0
        )
        return batch.Write(self.ticket, self.row, self.version, claimed, True)

    def build_settlement(self, ready: float) -> batch.Write:
        """Return the write that ends the claim; ``ready`` in seconds."""
        assert self.held is not None
        return batch.Write(self.ticket, self.row, self.version, self.held, False, ready)

    def wait(self, now: float, until: float) -> None:
        """Begin to wait for the attempt that holds the record."""
        self.phase = Phase.WAITING
        self.wait_until = until
        self.poll_at = now + self.poll_pause

    def postpone(self, now: float) -> None:
        """Note that the record is looked at now; set the next look."""
        self.poll_at = now + self.poll_pause
        self.poll_pause *= 2
