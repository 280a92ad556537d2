"""Combine record writes into batches, one table write each. No I/O.

The table carries several hundred writes a second for all users, and keyed requests
alone may arrive faster than that. A record write waits only while the daemon's
share of table writes is used up or earlier writes are in flight. So a claim is
written at once at low load, and batches grow with the load.
"""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch.idempotency import budget, record
from wigeonhitch.platform import table

__all__ = ["DEFAULT_LIMITS", "Commit", "Limits", "Queue", "Write"]

Limits = budget.Limits
DEFAULT_LIMITS = budget.DEFAULT_LIMITS


class Write(NamedTuple):
    """A record to write if its row still has ``version``.

    From ``ready_at`` (seconds) on, the write may start a batch; before that time it
    is only added to batches that others start.
    """

    ticket: int
    row: str
    version: int
    record: record.Record
    is_claim: bool
    ready_at: float = 0.0


class Commit(NamedTuple):
    """Action: commit these rows, then report the result under ``batch``."""

    batch: int
    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]


class Queue:
    """Record writes that wait, and batches in flight.

    Parameters
    ----------
    limits : Limits
        Rates and sizes.

    Attributes
    ----------
    budget : budget.Budget
        Rate limit of table writes.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self.budget = budget.Budget(limits)
        self._waiting: list[Write] = []
        self._in_flight: dict[int, tuple[Write, ...]] = {}
        self._numbers = itertools.count(1)

    @property
    def in_flight_count(self) -> int:
        """Number of table writes in flight."""
        return len(self._in_flight)

    def add(self, writes: Iterable[Write]) -> None:
        """Append writes to the queue."""
        self._waiting.extend(writes)

    def requeue(self, writes: Iterable[Write]) -> None:
        """Put writes back at the front of the queue, since they have waited before."""
        self._waiting[:0] = writes

    def withdraw(self, ticket: int) -> bool:
        """Remove a waiting claim; return false if it is not waiting."""
        remaining = [w for w in self._waiting if w.ticket != ticket or not w.is_claim]
        removed = len(remaining) < len(self._waiting)
        self._waiting = remaining
        return removed

    def withdraw_claims(self) -> list[Write]:
        """Remove and return all waiting claims."""
        claims = [write for write in self._waiting if write.is_claim]
        self._waiting = [write for write in self._waiting if not write.is_claim]
        return claims

    def take(self, now: float, table_time: float) -> Commit | None:
        """Return the next table write, if one may start now.

        Parameters
        ----------
        now : float
            Seconds on the clock that includes time in suspension.
        table_time : float
            Estimated time of the table's clock, for records without a time.
        """
        self.budget.refill(now)
        is_ready = any(write.ready_at <= now for write in self._list_eligible())
        if not is_ready or not self.budget.allows_write(self.in_flight_count):
            return None
        chosen = tuple(_set_time(write, table_time) for write in self._select_batch())
        self.budget.spend()
        number = next(self._numbers)
        self._in_flight[number] = chosen
        return Commit(
            number,
            tuple(table.Condition(write.row, write.version) for write in chosen),
            tuple(table.Write(w.row, record.encode(w.record)) for w in chosen),
        )

    def get_batch(self, batch: int) -> tuple[Write, ...]:
        """Return the writes of a batch in flight."""
        return self._in_flight[batch]

    def finish(self, batch: int) -> tuple[Write, ...]:
        """Remove a batch whose result has arrived and return its writes."""
        return self._in_flight.pop(batch)

    def next_wake(self, now: float) -> float | None:
        """Return when `take` may return a write; None until the next event."""
        eligible = self._list_eligible()
        allowed = self.budget.next_wake(now, self.in_flight_count)
        if not eligible or allowed is None:
            return None
        return max(now, allowed, min(write.ready_at for write in eligible))

    def _list_eligible(self) -> list[Write]:
        """Return the waiting writes whose row is not in flight."""
        busy = {write.row for batch in self._in_flight.values() for write in batch}
        return [write for write in self._waiting if write.row not in busy]

    def _select_batch(self) -> list[Write]:
        """Remove and return writes of distinct rows that are not in flight."""
        chosen: dict[str, Write] = {}
        for write in self._list_eligible():
            if len(chosen) < self.budget.batch_size:
                chosen.setdefault(write.row, write)
        taken = {id(write) for write in chosen.values()}
        self._waiting = [write for write in self._waiting if id(write) not in taken]
        return list(chosen.values())


def _set_time(write: Write, table_time: float) -> Write:
    if write.record.at:
        return write
    return write._replace(record=write.record._replace(at=table_time))
