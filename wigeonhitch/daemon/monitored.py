"""A table client that reports every answer as evidence of connectivity."""

from collections.abc import Callable, Sequence

from wigeonhitch.platform import table

__all__ = ["MonitoredTable"]


class MonitoredTable:
    """Forwards calls to a `table.Table` and reports when one was answered.

    An answer is dated to the start of its call: a process that was suspended
    during the call must not treat the answer as recent.

    Parameters
    ----------
    store : table.Table
    clock : callable
        Returns seconds on a clock that includes time suspended.
    on_answer : callable
        Called with the start time of the answered call.
    """

    def __init__(
        self,
        store: table.Table,
        clock: Callable[[], float],
        on_answer: Callable[[float], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_answer = on_answer

    async def read(
        self, keys: Sequence[str], *, purpose: str, timeout: float = 2.0
    ) -> table.ReadResult:
        """Read rows by key."""
        called_at = self._clock()
        return self._record_read(
            called_at, await self._store.read(keys, purpose=purpose, timeout=timeout)
        )

    async def scan(
        self, prefix: str, *, purpose: str, since: int = 0, timeout: float = 5.0
    ) -> table.ReadResult:
        """Read rows under a prefix."""
        called_at = self._clock()
        result = await self._store.scan(
            prefix, purpose=purpose, since=since, timeout=timeout
        )
        return self._record_read(called_at, result)

    async def commit(
        self,
        conditions: Sequence[table.Condition],
        writes: Sequence[table.Write],
        *,
        purpose: str,
        timeout: float = 2.0,
    ) -> table.CommitResult:
        """Commit all writes if every condition holds."""
        called_at = self._clock()
        result = await self._store.commit(
            conditions, writes, purpose=purpose, timeout=timeout
        )
        if result.outcome is table.Outcome.DONE or result.conflicts:
            self._on_answer(called_at)
        return result

    def _record_read(
        self, called_at: float, result: table.ReadResult
    ) -> table.ReadResult:
        if result.outcome is table.Outcome.DONE:
            self._on_answer(called_at)
        return result
