"""Withdraws jobs that are cancelled before a daemon has accepted them.

A read that finds no job doesn't show that there will be none: the store may apply the
write of a submission seconds late, the daemon that received it may repeat the write,
and a relay may deliver it late. All of these expect that the job has no holder row. A
withdrawal writes that row, so that none of them succeeds afterwards, and beside it a
final job row, by which the leader of the queue's pool removes both after the retention
time of final jobs. A cancellation that finds such a row, or that of a job that has
ended, renews it if it is removed soon.
"""

import collections

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import jobrows, message

__all__ = ["REASON", "Withdrawals"]

REASON = "withdrawn"
"""Reason of the answers to callers whose job was withdrawn."""

MAX_WITHDRAWALS = 1000
"""Number of withdrawals of one team within the retention time after which a daemon
refuses further ones. Callers choose the ids, and each withdrawal leaves two rows in
the store for that time. Renewals count, since they keep the rows as long again."""

RENEWED_SHARE = 0.5
"""Share of the retention time that has passed when a cancellation renews a row. So no
submission is accepted that the store applies within the other part after the answer to
a cancellation, and repeated cancellations in quick succession cost no write."""


class Withdrawals:
    """Writes the rows of withdrawn jobs, a limited number for each team.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    retention : float
        Seconds for which the rows are kept.
    """

    def __init__(self, store: rows.RowStore, retention: float) -> None:
        self._store = store
        self._retention = retention
        self._times_by_team: dict[str, collections.deque[float]] = {}
        """Times of the last withdrawals of each team, those under way included."""

    def check_limit(self, team: str) -> message.Answer | None:
        """Return the refusal of a team that has reached its limit, else None."""
        times = self._times_by_team.get(team, ())
        if len(times) < MAX_WITHDRAWALS:
            return None
        delay = times[0] + self._retention - http.read_clock()
        if delay <= 0:
            return None
        refusal = message.refuse("too many cancellations of unknown jobs")
        return refusal._replace(retry_after=delay)

    def refuse_submission(self) -> message.Answer:
        """Return the answer to a submission of a withdrawn job.

        The id may be submitted again once the rows are removed.
        """
        return message.refuse(REASON)._replace(retry_after=self._retention)

    def is_removed_soon(self, final: jobrows.StoredJob) -> bool:
        """Return whether the row of a final job has to be renewed."""
        age = final.store_time - final.parsed.finished
        return age >= RENEWED_SHARE * self._retention

    async def withdraw(
        self, pool: str, id: str, team: str, store_time: float
    ) -> rows.Change:
        """Make one attempt to withdraw a job, at a time of the store's clock."""
        location = (pool_record.get_job_part(id), id)
        holder = (pool_record.HOLDER_TABLE, *location)
        transaction = rows.Transaction(
            (rows.Condition(*holder, 0),),
            (
                rows.Write(
                    *holder, pool_record.write_holder(pool_record.Holder(pool, True))
                ),
                rows.Write(
                    pool_record.get_job_table(pool),
                    *location,
                    record.write_final(
                        model.JobState.CANCELLED, pool, store_time, is_withdrawn=True
                    ),
                ),
            ),
        )
        return await self._commit(transaction, team, REASON)

    async def renew(self, final: jobrows.StoredJob, team: str) -> rows.Change:
        """Make one attempt to keep a final job's row for the retention time from now.

        The job's holder row is removed with it, and under its version.
        """
        row, parsed = final.row, final.parsed
        value = record.write_final(
            parsed.final,
            parsed.pool,
            final.store_time,
            is_withdrawn=parsed.is_withdrawn,
        )
        transaction = rows.Transaction(
            (rows.Condition(*row[:3], row.version),), (rows.Write(*row[:3], value),)
        )
        return await self._commit(transaction, team, "renewed")

    async def _commit(
        self, transaction: rows.Transaction, team: str, reason: str
    ) -> rows.Change:
        """Make one attempt that counts for a team, with a reason if it is done."""
        times = self._times_by_team.setdefault(
            team, collections.deque(maxlen=MAX_WITHDRAWALS)
        )
        # Counted before the write, so that those at the same time count as well.
        now = http.read_clock()
        times.append(now)
        result = await self._store.commit(
            transaction, timeout=jobrows.CALL_TIMEOUT_SECONDS
        )
        if result.outcome is table.Outcome.NOT_DONE and now in times:
            times.remove(now)
        if result.outcome is table.Outcome.DONE:
            return result._replace(reason=reason)
        return result
