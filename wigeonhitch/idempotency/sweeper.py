"""The task that deletes expired records; run it where a duty is held."""

import itertools
from collections.abc import Awaitable, Callable, Sequence

import anyio

from wigeonhitch.idempotency import sweep
from wigeonhitch.platform import table

__all__ = ["DUTY", "Sweeper"]

DUTY = "claims"
"""Name of the duty that the sweep is run under."""


class Sweeper:
    """Deletes expired records, a small piece at a time.

    Parameters
    ----------
    store : table.Table
        Where records are kept.
    list_services : callable
        Returns the names of the services whose records are looked at.
    find_condition : callable
        Returns the condition of the duty's lease, or None when not held.
    sleep : callable
        Awaitable pause of the given seconds.

    Attributes
    ----------
    deleted : int
        Records deleted so far.
    """

    def __init__(
        self,
        store: table.Table,
        list_services: Callable[[], Sequence[str]],
        find_condition: Callable[[], table.Condition | None],
        *,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._store = store
        self._list_services = list_services
        self._find_condition = find_condition
        self._sleep = sleep
        self.deleted = 0

    async def run(self) -> None:
        """Go round all pieces of all services until cancelled."""
        for bucket in itertools.count():
            if self._find_condition() is not None:
                for service in self._list_services():
                    await self.sweep(service, bucket)
            await self._sleep(sweep.ROUND / sweep.BUCKETS)

    async def sweep(self, service: str, bucket: int) -> None:
        """Delete the expired records of one piece."""
        prefix = sweep.build_prefix(service, bucket)
        found = await self._store.scan(prefix, purpose="sweep")
        if found.outcome is not table.Outcome.DONE:
            return
        for conditions, writes in sweep.pick(found.rows, found.time):
            duty = self._find_condition()
            if duty is None:
                return
            result = await self._store.commit(
                [*conditions, duty], writes, purpose="sweep"
            )
            if result.outcome is table.Outcome.DONE:
                self.deleted += len(writes)
