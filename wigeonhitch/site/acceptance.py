"""Accepts a job durably, once, in one pool.

A job is accepted with its row, under the conditions that no pool of its queue has one
and that no row in its own pool tells of another. Where the queue has had other pools,
the same transaction leaves such a row in each of them, so that no write into a former
pool accepts the job a second time, however late it is done.
"""

import time
from collections.abc import Callable

import anyio

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows, message, queuepools

__all__ = ["PAUSE", "WHOLE_TIMEOUT", "Acceptance"]

WHOLE_TIMEOUT = 2.3
"""Seconds for all tries of a request; callers wait 3 s."""

PAUSE = 0.05
"""Seconds between two tries."""

FORMER_MOST = 30
"""Newest former pools of a queue that are written to; a transaction has 100 entries."""


class Acceptance:
    """Writes the rows of jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    jobs : jobrows.JobRows
        Reads the rows of jobs.
    pools : queuepools.QueuePools
        What is noted of queues.
    is_across : bool
        Whether the store takes transactions across parts. Without them a late write
        into a former pool may accept a job there as well.
    is_store_lost : callable
        Whether this daemon hasn't reached the store for some time. A caller is then
        answered, so that its next try reaches another daemon.
    """

    def __init__(
        self,
        store: rows.RowStore,
        jobs: jobrows.JobRows,
        pools: queuepools.QueuePools,
        is_across: bool = True,
        is_store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._jobs = jobs
        self._pools = pools
        self._is_across = is_across
        self._is_store_lost = is_store_lost

    async def accept(self, queue: model.Queue, job: model.Job) -> message.Answer:
        """Accept a job, or find that it was accepted before."""
        deadline = http.read_clock() + WHOLE_TIMEOUT
        lost = False
        while True:
            result = await self._try(queue, job)
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

    async def _try(self, queue: model.Queue, job: model.Job) -> rows.Change:
        """Make one try; an outcome ``DONE`` says that the job is accepted."""
        noted = await self._pools.find(queue)
        if noted is None:
            return rows.Change(table.Outcome.NOT_DONE, reason="queue not read")
        former = self._pools.list_former(queue, noted)
        for pool in former:
            found = await self._jobs.read(pool, job.id)
            if found.outcome is not table.Outcome.DONE:
                # It may be there, and would then run in both pools.
                return rows.Change(table.Outcome.NOT_DONE, reason=found.reason)
            if found.rows:
                return rows.Change(table.Outcome.DONE, reason="known")
        change = _plan_row(queue, job)
        if not self._is_across:
            return await self._commit(queue, change)
        for pool in former[-FORMER_MOST:]:
            change = _join(change, _plan_word(pool, job.id, queue.pool))
        if queue.pool in noted.pools:
            return await self._commit(queue, change)
        note = queuepools.plan_note(queue, noted)
        result = await self._commit(queue, _join(change, note))
        if result.version:
            self._pools.on_noted(queue, noted, result.version)
        return result

    async def _commit(
        self, queue: model.Queue, change: rows.Transaction
    ) -> rows.Change:
        result = await self._store.commit(change, timeout=jobrows.TIMEOUT)
        if result.reason != "conflict":
            return result
        if any(_is_job(row) for row in result.conflicts):
            return result._replace(outcome=table.Outcome.DONE)
        self._pools.forget(queue)
        return result


def _plan_row(queue: model.Queue, job: model.Job) -> rows.Transaction:
    """Return the writing of a job's row in its queue's present pool."""
    kept = job._replace(attempts=queue.max_attempts)
    place = (pool_record.name_job_part(queue.pool, job.id), job.id)
    absent = rows.Condition(pool_record.name_job_table(queue.pool), *place, 0)
    untold = rows.Condition(pool_record.ELSEWHERE_TABLE, *place, 0)
    write = rows.Write(*absent[:3], record.write_job(kept, time.time()))
    return rows.Transaction((absent, untold), (write,))


def _plan_word(pool: str, id: str, accepting: str) -> rows.Transaction:
    """Return the writing of the word, in a former pool, of the accepting one."""
    place = (pool_record.name_job_part(pool, id), id)
    absent = rows.Condition(pool_record.name_job_table(pool), *place, 0)
    untold = rows.Condition(pool_record.ELSEWHERE_TABLE, *place, 0)
    return rows.Transaction(
        (absent, untold), (rows.Write(*untold[:3], accepting.encode()),)
    )


def _join(one: rows.Transaction, other: rows.Transaction) -> rows.Transaction:
    return rows.Transaction(
        one.conditions + other.conditions, one.writes + other.writes
    )


def _is_job(row: rows.Row) -> bool:
    return row.table != queuepools.QUEUE_TABLE and row.value is not None
