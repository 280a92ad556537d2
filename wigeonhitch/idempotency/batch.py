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

from wigeonhitch.idempotency import record
from wigeonhitch.platform import table

__all__ = ["DEFAULT_LIMITS", "Commit", "Limits", "Queue", "Write"]


class Limits(NamedTuple):
    """Limits of one daemon's record writes.

    Parameters
    ----------
    rate : float
        Table writes a second on average. Nine daemons at 25 take 225 of the
        several hundred that the table carries for everything.
    burst : float
        Table writes that may follow at once after a quiet time.
    size : int
        Rows per table write; bounds what one conflict sends round again.
    inflight : int
        Table writes under way together; two hide one slow answer.
    """

    rate: float = 25.0
    burst: float = 5.0
    size: int = 64
    inflight: int = 2


DEFAULT_LIMITS = Limits()


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
    """

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self._limits = limits
        self._waiting: list[Write] = []
        self._inflight: dict[int, tuple[Write, ...]] = {}
        self._numbers = itertools.count(1)
        self._allowance = limits.burst
        self._counted_at: float | None = None

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
        self._refill(now)
        ready = any(write.ready <= now for write in self._find_free())
        if not ready or self.inflight >= self._limits.inflight or self._allowance < 1:
            return None
        chosen = tuple(_stamp(write, at) for write in self._choose())
        self._allowance -= 1
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

    def wake(self, now: float) -> float | None:
        """Return when `take` may have something, or None until an event."""
        free = self._find_free()
        if not free or self.inflight >= self._limits.inflight:
            return None
        ready = min(write.ready for write in free)
        missing = max(0.0, 1 - self._allowance)
        counted = self._counted_at if self._counted_at is not None else now
        return max(now, ready, counted + missing / self._limits.rate)

    def _refill(self, now: float) -> None:
        if self._counted_at is not None:
            gained = (now - self._counted_at) * self._limits.rate
            self._allowance = min(self._limits.burst, self._allowance + gained)
        self._counted_at = now

    def _find_free(self) -> list[Write]:
        """Return the waiting writes whose row is not in flight."""
        busy = {write.row for batch in self._inflight.values() for write in batch}
        return [write for write in self._waiting if write.row not in busy]

    def _choose(self) -> list[Write]:
        """Take writes of different rows, none of them in flight already."""
        chosen: dict[str, Write] = {}
        for write in self._find_free():
            if len(chosen) < self._limits.size:
                chosen.setdefault(write.row, write)
        taken = {id(write) for write in chosen.values()}
        self._waiting = [write for write in self._waiting if id(write) not in taken]
        return list(chosen.values())


def _stamp(write: Write, at: float) -> Write:
    if write.record.at:
        return write
    return write._replace(record=write.record._replace(at=at))
