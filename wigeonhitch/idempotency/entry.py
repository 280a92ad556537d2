"""State of one attempt to run a keyed request. No I/O."""

import dataclasses
import enum

from wigeonhitch.idempotency import batch, record

__all__ = ["Entry", "Phase"]

FIRST_POLL_SECONDS = 0.05
"""Seconds until a claimed record is first read again. The interval doubles with
each read, so a repeated request costs at most six reads, which are shared with
other requests that wait at the same time."""


class Phase(enum.Enum):
    """Phase of an attempt."""

    QUEUED = "queued"
    WAITING = "waiting"
    HELD = "held"
    SETTLING = "settling"


@dataclasses.dataclass
class Entry:
    """One attempt; ``version`` is the version of its row once the claim is held."""

    ticket: int
    row: str
    fingerprint: str
    attempt: str
    deadline: float
    phase: Phase = Phase.QUEUED
    is_abandoned: bool = False
    version: int = 0
    submitted_at: float = 0.0
    poll_at: float = 0.0
    poll_interval: float = FIRST_POLL_SECONDS
    wait_deadline: float = 0.0
    held_record: record.Record | None = None
    settle_deadline: float = 0.0

    def build_claim(self, daemon: str) -> batch.Write:
        """Return the write that claims the row if it still has ``version``."""
        claimed = record.Record(
            record.State.CLAIMED, self.fingerprint, self.attempt, daemon, 0.0
        )
        return batch.Write(self.ticket, self.row, self.version, claimed, True)

    def build_settlement(self, ready_at: float) -> batch.Write:
        """Return the write of the claim's final state; ``ready_at`` in seconds."""
        assert self.held_record is not None
        return batch.Write(
            self.ticket, self.row, self.version, self.held_record, False, ready_at
        )

    def start_waiting(self, now: float, until: float) -> None:
        """Start waiting for the attempt that holds the record."""
        self.phase = Phase.WAITING
        self.wait_deadline = until
        self.poll_at = now + self.poll_interval

    def schedule_next_poll(self, now: float) -> None:
        """Schedule the next read of the record; it is read now."""
        self.poll_at = now + self.poll_interval
        self.poll_interval *= 2
