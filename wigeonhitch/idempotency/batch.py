"""Gather the record writes of one moment into one table write. No I/O.

Made for several hundred table writes a second shared by everything, while
keyed requests alone may come faster than that. Writes wait only while the
daemon's own share of table writes is spent or earlier ones are in flight, so
at low load a claim goes out at once and at high load batches grow by
themselves.
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
    """One record to write if its row still has ``version``.

    ``ready`` is the time (seconds) from which the write is worth a table
    write of its own; before, it goes along with others.
    """

    ticket: int
    row: str
    version: int
    record: record.Record
    is_claim: bool
    ready: float = 0.0


class Commit(NamedTuple):
    """Action: commit these rows; report the result under ``batch``."""

    batch: int
    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]


class Queue:
    """Writes that wait, and those in flight.

    Parameters
    ----------
    limits : Limits
        Rates and sizes.

    Attributes
    ----------
    budget : budget.Budget
        How many table writes may go out.
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self.budget = budget.Budget(limits)
        self._waiting: list[Write] = []
        self._inflight: dict[int, tuple[Write, ...]] = {}
        self._numbers = itertools.count(1)

    @property
    def inflight(self) -> int:
        """Table writes under way."""
        return len(self._inflight)

    def add(self, writes: Iterable[Write]) -> None:
        """Put writes at the end."""
        self._waiting.extend(writes)

    def put_back(self, writes: Iterable[Write]) -> None:
        """Put writes at the front: they have waited before."""
        self._waiting[:0] = writes

    def withdraw(self, ticket: int) -> bool:
        """Remove a waiting claim; false if it is not waiting (any more)."""
        kept = [w for w in self._waiting if w.ticket != ticket or not w.is_claim]
        removed = len(kept) < len(self._waiting)
        self._waiting = kept
        return removed

    def withdraw_claims(self) -> list[Write]:
        """Remove and return all waiting claims."""
        claims = [write for write in self._waiting if write.is_claim]
        self._waiting = [write for write in self._waiting if not write.is_claim]
        return claims

    def take(self, now: float, at: float) -> Commit | None:
        """Return the next table write, if one may go out now.

        Parameters
        ----------
        now : float
            Seconds on the clock that counts suspension.
        at : float
            The table's clock as known now, for records that begin here.
        """
        self.budget.refill(now)
        ready = any(write.ready <= now for write in self._find_free())
        if not ready or not self.budget.has_room(self.inflight):
            return None
        chosen = tuple(_stamp(write, at) for write in self._choose())
        self.budget.spend()
        number = next(self._numbers)
        self._inflight[number] = chosen
        return Commit(
            number,
            tuple(table.Condition(write.row, write.version) for write in chosen),
            tuple(table.Write(w.row, record.encode(w.record)) for w in chosen),
        )

    def find(self, batch: int) -> tuple[Write, ...]:
        """Return the writes of a batch in flight."""
        return self._inflight[batch]

    def finish(self, batch: int) -> tuple[Write, ...]:
        """Return the writes of a batch whose result has come."""
        return self._inflight.pop(batch)

    def next_wake(self, now: float) -> float | None:
        """Return when `take` may have something, or None until an event."""
        free = self._find_free()
        allowed = self.budget.next_wake(now, self.inflight)
        if not free or allowed is None:
            return None
        return max(now, allowed, min(write.ready for write in free))

    def _find_free(self) -> list[Write]:
        """Return the waiting writes whose row is not in flight."""
        busy = {write.row for batch in self._inflight.values() for write in batch}
        return [write for write in self._waiting if write.row not in busy]

    def _choose(self) -> list[Write]:
        """Take writes of different rows, none of them in flight already."""
        chosen: dict[str, Write] = {}
        for write in self._find_free():
            if len(chosen) < self.budget.batch_size:
                chosen.setdefault(write.row, write)
        taken = {id(write) for write in chosen.values()}
        self._waiting = [write for write in self._waiting if id(write) not in taken]
        return list(chosen.values())


def _stamp(write: Write, at: float) -> Write:
    if write.record.at:
        return write
    return write._replace(record=write.record._replace(at=at))
