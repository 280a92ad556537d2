"""In which pools jobs of a queue may have been accepted, kept in the store.

The configuration may move a queue to another pool; its jobs stay where they were
accepted. A daemon accepts a job in a pool only with that pool noted in the queue's row.
Of two pools one was noted first, and whoever accepts in the other knows of it, also
after a restart.
"""

from collections.abc import Callable
from typing import NamedTuple

import orjson

from wigeonhitch.jobs import model
from wigeonhitch.platform import rows, table
from wigeonhitch.site import jobrows

__all__ = ["QUEUE_TABLE", "Noted", "QueuePools", "plan_note"]

QUEUE_TABLE = "queue"


class Noted(NamedTuple):
    """The pools of a queue's row and the row's version; 0: there is none."""

    pools: tuple[str, ...] = ()
    version: int = 0


class QueuePools:
    """Knows the rows of queues; a row is read when a queue is first asked for.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    list_seen : callable
        Returns the pools that this daemon has seen a queue in before.
    """

    def __init__(
        self, store: rows.RowStore, list_seen: Callable[[str], list[str]]
    ) -> None:
        self._store = store
        self._list_seen = list_seen
        self._noted: dict[str, Noted] = {}

    async def find(self, queue: model.Queue) -> Noted | None:
        """Return what is noted of a queue, or None if it can't be read.

        What was read before serves while it names the queue's present pool: who
        accepts a job in a pool noted later leaves word in those noted before.
        """
        known = self._noted.get(queue.name)
        if known is not None and queue.pool in known.pools:
            return known
        return await self.read(queue)

    async def read(self, queue: model.Queue) -> Noted | None:
        """Read a queue's row; return what is noted, or None if it can't be read."""
        read = await self._store.read(QUEUE_TABLE, queue.name, timeout=jobrows.TIMEOUT)
        if read.outcome is not table.Outcome.DONE:
            return None
        noted = Noted()
        for row in read.rows:
            noted = Noted(tuple(orjson.loads(row.value or b"[]")), row.version)
        self._noted[queue.name] = noted
        return noted

    def list_former(self, queue: model.Queue, noted: Noted) -> list[str]:
        """Return the other pools in which jobs of a queue may have been accepted."""
        seen = (*noted.pools, *self._list_seen(queue.name))
        return [one for one in dict.fromkeys(seen) if one != queue.pool]

    def forget(self, queue: model.Queue) -> None:
        """Have a queue's row read again."""
        self._noted.pop(queue.name, None)

    def on_noted(self, queue: model.Queue, noted: Noted, version: int) -> None:
        """Take note that the queue's present pool was added to its row."""
        self._noted[queue.name] = Noted(_add_pool(queue, noted), version)


def plan_note(queue: model.Queue, noted: Noted) -> rows.Transaction:
    """Return how the queue's present pool is added to its row."""
    place = (QUEUE_TABLE, queue.name, queue.name)
    value = orjson.dumps(_add_pool(queue, noted))
    return rows.Transaction(
        (rows.Condition(*place, noted.version),), (rows.Write(*place, value),)
    )


def _add_pool(queue: model.Queue, noted: Noted) -> tuple[str, ...]:
    return (*noted.pools, queue.pool)
