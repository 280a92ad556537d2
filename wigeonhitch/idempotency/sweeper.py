"""The task that deletes expired records; only the holder of its duty deletes."""

import itertools
from collections.abc import Awaitable, Callable, Sequence

import anyio

from wigeonhitch.idempotency import sweep
from wigeonhitch.platform import table

__all__ = ["DUTY", "Sweeper"]

DUTY = "claims"
"""Name of the duty whose holder runs the sweep."""


class Sweeper:
    """Deletes expired records, one bucket at a time.

    Parameters
    ----------
    store : table.Table
        Where records are kept.
    list_services : callable
        Returns the names of the services whose records are swept.
    find_condition : callable
        Returns the condition of the duty's lease, or None if it is not held.
    sleep : callable
        Async function that sleeps for the given seconds.

    Attributes
    ----------
    deleted : int
        Number of records deleted so far.
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
        """Sweep the buckets of all services in turn until cancelled."""
        for bucket in itertools.count():
            if self._find_condition() is not None:
                for service in self._list_services():
                    await self.sweep(service, bucket)
            await self._sleep(sweep.SWEEP_PERIOD_SECONDS / sweep.BUCKET_COUNT)

    async def sweep(self, service: str, bucket: int) -> None:
        """Delete the expired records of one bucket."""
        prefix = sweep.build_prefix(service, bucket)
        scanned = await self._store.scan(prefix, purpose="sweep")
        if scanned.outcome is not table.Outcome.DONE:
            return
        for conditions, writes in sweep.plan_deletions(scanned.rows, scanned.time):
            duty_condition = self._find_condition()
            if duty_condition is None:
                return
            result = await self._store.commit(
                [*conditions, duty_condition], writes, purpose="sweep"
            )
            if result.outcome is table.Outcome.DONE:
                self.deleted += len(writes)
