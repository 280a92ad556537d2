"""Cancels a job durably, whether it was accepted or not.

The row of an accepted job is written again with a cancellation mark. If there is no
job, a submission of it may be under way, so the job is withdrawn. The row of a job that
is final or withdrawn prevents a new acceptance of its id only until it is removed, so
it is renewed if that is near.
"""

import anyio

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.site import acceptance, jobrows, message, withdrawal

__all__ = ["Cancellation"]


class Cancellation:
    """Writes the rows of cancelled jobs.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    withdrawals : withdrawal.Withdrawals
        Withdraws jobs that weren't accepted, and renews rows.
    """

    def __init__(
        self, store: rows.RowStore, withdrawals: withdrawal.Withdrawals
    ) -> None:
        self._store = store
        self._withdrawals = withdrawals
        self._jobs = jobrows.JobReader(store)

    async def cancel(self, queue: model.Queue, id: str, team: str) -> message.Answer:
        """Cancel a job for a caller of a team.

        ``MISSING`` and ``ACCEPTED`` are answered only if a row is known by which no
        submission that was sent before makes a job that runs.
        """
        deadline = http.read_clock() + acceptance.REQUEST_TIMEOUT_SECONDS
        refusal = message.refuse("timeout")
        may_be_written = False
        while http.read_clock() < deadline:
            lookup = await self._jobs.locate(queue.pool, id)
            if isinstance(lookup, rows.Range):
                refusal = message.refuse(lookup.reason)
                break
            is_absent = isinstance(lookup, jobrows.Absence)
            verdict = message.Verdict.MISSING if is_absent else message.Verdict.ACCEPTED
            stored = lookup.withdrawn if is_absent else lookup
            if stored is not None and self._is_settled(stored):
                return message.Answer(verdict)
            if stored is not None and stored.parsed.job is not None:
                result = await self._mark_cancelled(stored)
            elif over_limit := self._withdrawals.check_limit(team):
                refusal = over_limit
                break
            elif stored is not None:
                result = await self._withdrawals.renew(stored, team)
            else:
                result = await self._withdrawals.withdraw(
                    queue.pool, id, team, lookup.store_time
                )
            if result.outcome is table.Outcome.DONE:
                return message.Answer(verdict, reason=result.reason)
            may_be_written = may_be_written or result.outcome is table.Outcome.UNKNOWN
            refusal = message.refuse(result.reason)
            await anyio.sleep(acceptance.RETRY_DELAY_SECONDS)
        if may_be_written:
            return refusal._replace(verdict=message.Verdict.UNKNOWN)
        return refusal

    def _is_settled(self, stored: jobrows.StoredJob) -> bool:
        """Return whether nothing has to be written."""
        if stored.parsed.job is not None:
            return stored.parsed.cancelled
        return not self._withdrawals.is_removed_soon(stored)

    async def _mark_cancelled(self, stored: jobrows.StoredJob) -> rows.Change:
        row = stored.row
        parsed = stored.parsed
        value = record.write_job(
            parsed.job,
            parsed.pool,
            parsed.accepted,
            cancelled=True,
            path=parsed.path,
        )
        condition = rows.Condition(row.table, row.part, row.key, row.version)
        write = rows.Write(row.table, row.part, row.key, value)
        return await self._store.commit(
            rows.Transaction((condition,), (write,)),
            timeout=jobrows.CALL_TIMEOUT_SECONDS,
        )
