"""Accepts a job durably, once, in one pool.

Accepting a job writes two rows in one part, which is derived from the job's id: the
job's own row and the holder row, which names the job's pool. The condition of the
write is that there is no holder row yet. So no other write accepts the job again,
however late it is applied and whichever pool the queue has by then.
"""

import time
from collections.abc import Callable

import anyio

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows, message, withdrawal

__all__ = ["REQUEST_TIMEOUT_SECONDS", "RETRY_DELAY_SECONDS", "Acceptance"]

REQUEST_TIMEOUT_SECONDS = 2.3
"""Time limit of all attempts of a request; callers wait 3 s."""

RETRY_DELAY_SECONDS = 0.05
"""Delay between two attempts."""


class Acceptance:
    """Writes the rows of accepted jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    withdrawals : withdrawal.Withdrawals
        Refuses what was cancelled before.
    is_store_unreachable : callable
        Whether this daemon hasn't reached the store for some time. The caller is then
        answered at once, so that its next attempt reaches another daemon.
    """

    def __init__(
        self,
        store: rows.RowStore,
        withdrawals: withdrawal.Withdrawals,
        is_store_unreachable: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._jobs = jobrows.JobReader(store)
        self._withdrawals = withdrawals
        self._is_store_unreachable = is_store_unreachable

    async def accept(self, queue: model.Queue, job: model.Job) -> message.Answer:
        """Accept a job, or find that it was accepted before."""
        deadline = http.read_clock() + REQUEST_TIMEOUT_SECONDS
        transaction = _build_transaction(queue, job)
        may_be_written = False
        while True:
            result = await self._commit(transaction)
            if result.outcome is table.Outcome.DONE:
                return message.Answer(message.Verdict.ACCEPTED, reason=result.reason)
            if result.reason == withdrawal.REASON:
                return await self._refuse_withdrawn(queue, job.id, may_be_written)
            may_be_written = may_be_written or result.outcome is table.Outcome.UNKNOWN
            if not may_be_written and result.reason != "conflict":
                return message.refuse(result.reason)
            is_out_of_time = (
                http.read_clock() + RETRY_DELAY_SECONDS
                > deadline - jobrows.CALL_TIMEOUT_SECONDS
            )
            if is_out_of_time or self._is_store_unreachable():
                verdict = (
                    message.Verdict.UNKNOWN
                    if may_be_written
                    else message.Verdict.NOT_RUN
                )
                return message.refuse(result.reason)._replace(verdict=verdict)
            await anyio.sleep(RETRY_DELAY_SECONDS)

    async def _refuse_withdrawn(
        self, queue: model.Queue, id: str, may_be_written: bool
    ) -> message.Answer:
        """Refuse a withdrawn job, as not run if an earlier attempt can't be applied."""
        if may_be_written:
            lookup = await self._jobs.locate(queue.pool, id)
            is_absent = isinstance(lookup, jobrows.Absence)
            withdrawn = lookup.withdrawn if is_absent else None
            if withdrawn is None or self._withdrawals.is_removed_soon(withdrawn):
                refusal = message.refuse(withdrawal.REASON)
                return refusal._replace(verdict=message.Verdict.UNKNOWN)
        return self._withdrawals.refuse_submission()

    async def _commit(self, transaction: rows.Transaction) -> rows.Change:
        """Make one attempt; the outcome ``DONE`` means that the job is accepted."""
        result = await self._store.commit(
            transaction, timeout=jobrows.CALL_TIMEOUT_SECONDS
        )
        for row in result.conflicts:
            if row.value is None:
                continue
            if pool_record.read_holder(row.value).is_withdrawn:
                return result._replace(reason=withdrawal.REASON)
            return result._replace(outcome=table.Outcome.DONE, reason="known")
        return result


def _build_transaction(queue: model.Queue, job: model.Job) -> rows.Transaction:
    """Return the transaction that writes a job's rows in its queue's current pool."""
    stored_job = job._replace(
        attempts=queue.max_attempts,
        is_advised=queue.advice is not None,
        terms=model.Terms(queue.priority, queue.stretch, queue.objective),
    )
    location = (pool_record.get_job_part(job.id), job.id)
    no_holder = rows.Condition(pool_record.HOLDER_TABLE, *location, 0)
    value = record.write_job(stored_job, queue.pool, time.time(), path=queue.path)
    return rows.Transaction(
        (no_holder,),
        (
            rows.Write(
                *no_holder[:3], pool_record.write_holder(pool_record.Holder(queue.pool))
            ),
            rows.Write(pool_record.get_job_table(queue.pool), *location, value),
        ),
    )
