"""The table, with a note of every answer: proof that this daemon isn't cut off."""

from collections.abc import Callable, Sequence

from wigeonhitch.platform import table

__all__ = ["HeardTable"]


class HeardTable:
    """Passes calls on to a `table.Table` and tells when one was answered.

    An answer counts as of the time its call was begun: a process that was
    paused in between must not take it for fresh.

    Parameters
    ----------
    store : table.Table
    clock : callable
        Seconds on the clock that counts suspension.
    on_answer : callable
        Called with the time at which the answered call was begun.
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
        asked = self._clock()
        return self._note(
            asked, await self._store.read(keys, purpose=purpose, timeout=timeout)
        )

    async def scan(
        self, prefix: str, *, purpose: str, since: int = 0, timeout: float = 5.0
    ) -> table.ReadResult:
        """Read rows under a prefix."""
        asked = self._clock()
        found = await self._store.scan(
            prefix, purpose=purpose, since=since, timeout=timeout
        )
        return self._note(asked, found)

    async def commit(
        self,
        conditions: Sequence[table.Condition],
        writes: Sequence[table.Write],
        *,
        purpose: str,
        timeout: float = 2.0,
    ) -> table.CommitResult:
        """Commit all writes if every condition holds."""
        asked = self._clock()
        made = await self._store.commit(
            conditions, writes, purpose=purpose, timeout=timeout
        )
        if made.outcome is table.Outcome.DONE or made.conflicts:
            self._on_answer(asked)
        return made

    def _note(self, asked: float, found: table.ReadResult) -> table.ReadResult:
        if found.outcome is table.Outcome.DONE:
            self._on_answer(asked)
        return found
