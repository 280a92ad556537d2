"""Accepts a job durably, once, in one pool.

A job is accepted with two rows in one part, which its id names: its own, and the one
that names the pool that holds it, under the condition that there is none of the second.
So no other write accepts it again, in whichever pool its queue is then, however late
it is done.
"""

import time
from collections.abc import Callable

import anyio

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows, message

__all__ = ["PAUSE", "WHOLE_TIMEOUT", "Acceptance"]

WHOLE_TIMEOUT = 2.3
"""Seconds for all tries of a request; callers wait 3 s."""

PAUSE = 0.05
"""Seconds between two tries."""


class Acceptance:
    """Writes the rows of jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    is_store_lost : callable
        Whether this daemon hasn't reached the store for some time. A caller is then
        answered, so that its next try reaches another daemon.
    """

    def __init__(
        self,
        store: rows.RowStore,
        is_store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._is_store_lost = is_store_lost

    async def accept(self, queue: model.Queue, job: model.Job) -> message.Answer:
        """Accept a job, or find that it was accepted before."""
        deadline = http.read_clock() + WHOLE_TIMEOUT
        change = _build_transaction(queue, job)
        lost = False
        while True:
            result = await self._commit(change)
            if result.outcome is table.Outcome.DONE:
                return message.Answer(message.Verdict.ACCEPTED, reason=result.reason)
            lost = lost or result.outcome is table.Outcome.UNKNOWN
            if not lost and result.reason != "conflict":
                return message.refuse(result.reason)
            is_late = http.read_clock() + PAUSE > deadline - jobrows.TIMEOUT
            if is_late or self._is_store_lost():
                verdict = message.Verdict.UNKNOWN if lost else message.Verdict.NOT_RUN
                return message.refuse(result.reason)._replace(verdict=verdict)
            await anyio.sleep(PAUSE)

    async def _commit(self, change: rows.Transaction) -> rows.Change:
        """Make one try; an outcome ``DONE`` says that the job is accepted."""
        result = await self._store.commit(change, timeout=jobrows.TIMEOUT)
        if any(row.value is not None for row in result.conflicts):
            return result._replace(outcome=table.Outcome.DONE, reason="known")
        return result


def _build_transaction(queue: model.Queue, job: model.Job) -> rows.Transaction:
    """Return the writing of a job's rows, in its queue's present pool."""
    kept = job._replace(
        attempts=queue.max_attempts,
        is_advised=queue.advice is not None,
        terms=model.Terms(queue.priority, queue.stretch, queue.objective),
    )
    place = (pool_record.get_job_part(job.id), job.id)
    absent = rows.Condition(pool_record.HOLDER_TABLE, *place, 0)
    value = record.write_job(kept, queue.pool, time.time())
    return rows.Transaction(
        (absent,),
        (
            rows.Write(*absent[:3], queue.pool.encode()),
            rows.Write(pool_record.get_job_table(queue.pool), *place, value),
        ),
    )
