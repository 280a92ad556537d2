"""Answers callers: accepts, shows and cancels jobs, one durable write each.

A job is accepted once its row is committed under the condition that there was
none; a repetition finds the row and gets the same answer, at any daemon. What
certainly wasn't written is refused at once with a time to come back; what may
have been written is never called "not run".
"""

import time
from collections.abc import Callable
from typing import NamedTuple

import anyio

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import message
from wigeonhitch.telemetry import log, metric

__all__ = ["Desk"]

TRY_TIMEOUT = 0.9
"""Seconds for one try at the store: 4 ms as a rule, 0.25 s where it is slow."""

WHOLE_TIMEOUT = 2.3
"""Seconds for all tries of a request; callers wait 3 s."""

PAUSE = 0.05
"""Seconds between two tries."""

RETRY_AFTER = 1.0
"""Seconds after which a refused caller is told to come back, the least that
can be said: another daemon may reach the store meanwhile."""


class _Found(NamedTuple):
    row: rows.Row
    pool: str
    read: record.JobRecord


class Desk:
    """Answers callers' requests on jobs; implements `message.Desk`.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    get_catalogue : callable
        Returns the configuration in force, if any.
    list_former_pools : callable
        Returns the pools that a queue had before.
    is_store_lost : callable
        Whether this daemon hasn't reached the store for some time. Requests are
        then refused at once, for another daemon may reach it; waiting for a
        timeout each would hold callers for most of their time.
    """

    def __init__(
        self,
        store: rows.RowStore,
        get_catalogue: Callable[[], model.Catalogue | None],
        list_former_pools: Callable[[str], list[str]],
        instruments: metric.Instruments,
        is_store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._is_store_lost = is_store_lost
        self._get_catalogue = get_catalogue
        self._list_former_pools = list_former_pools
        self._instruments = instruments

    @property
    def body_limit(self) -> int:
        """Most bytes of a request's body."""
        catalogue = self._get_catalogue()
        return catalogue.body_limit if catalogue else 0

    def find_queue(self, host: str, path: str) -> model.Queue | message.Answer:
        """Return the queue with the longest prefix of a path."""
        catalogue = self._get_catalogue()
        if catalogue is None:
            return self._refuse_path(path, "no configuration")
        if self._is_store_lost():
            return self._refuse_path(path, "store lost")
        fitting = [
            one
            for one in catalogue.queues
            if one.host == host and path.startswith(one.prefix)
        ]
        if not fitting:
            return message.Answer(message.Verdict.NO_QUEUE)
        return max(fitting, key=lambda one: len(one.prefix))

    async def submit(self, queue: model.Queue, job: model.Job) -> message.Answer:
        """Accept a job durably, once."""
        began = http.read_clock()
        for pool in self._list_former_pools(queue.name):
            found = await self._find(pool, job.id)
            if isinstance(found, _Found):
                return message.Answer(message.Verdict.ACCEPTED, reason="known")
            if found.verdict is not message.Verdict.MISSING:
                # It may be there, and would then run in both pools.
                self._tell("job submitted", queue, job.id, found)
                return found
        answer = await self._write_job(queue, job)
        self._instruments.observe(
            "submit_seconds", "Time to accept a job.", http.read_clock() - began
        )
        self._tell("job submitted", queue, job.id, answer)
        return answer

    async def show(self, queue: model.Queue, id: str) -> message.Answer:
        """Return a job's state."""
        found = await self._find_anywhere(queue, id)
        if not isinstance(found, _Found):
            return found
        if found.read.final is not None:
            return message.Answer(message.Verdict.FOUND, found.read.final)
        noted = await self._read_one(
            pool_record.PROGRESS_TABLE, found.pool, id, TRY_TIMEOUT
        )
        if noted.outcome is not table.Outcome.DONE:
            return self._refuse(noted.reason)
        return message.Answer(message.Verdict.FOUND, _judge(found.read, noted.rows))

    async def cancel(self, queue: model.Queue, id: str) -> message.Answer:
        """Cancel a job: its row is written again with a mark."""
        deadline = http.read_clock() + WHOLE_TIMEOUT
        answer = message.Answer(message.Verdict.UNKNOWN)
        while http.read_clock() < deadline:
            found = await self._find_anywhere(queue, id)
            if not isinstance(found, _Found):
                return found
            if found.read.job is None or found.read.cancelled:
                answer = message.Answer(message.Verdict.ACCEPTED)
                break
            change = await self._mark_cancelled(found)
            if change.outcome is table.Outcome.DONE:
                answer = message.Answer(message.Verdict.ACCEPTED)
                break
            await anyio.sleep(PAUSE)
        self._tell("job cancelled by its caller", queue, id, answer)
        return answer

    async def count(self, queue: model.Queue) -> message.Answer:
        """Return how many accepted jobs have not begun."""
        read = await self._store.read(
            pool_record.BOARD_TABLE, queue.pool, timeout=TRY_TIMEOUT
        )
        if read.outcome is not table.Outcome.DONE:
            return self._refuse(read.reason)
        pending = 0
        for row in read.rows:
            board = pool_record.read_board(row.value or b"")
            pending += board.waiting.get(queue.name, 0)
        return message.Answer(message.Verdict.FOUND, pending=pending)

    async def _write_job(self, queue: model.Queue, job: model.Job) -> message.Answer:
        name = pool_record.name_job_table(queue.pool)
        part = pool_record.name_job_part(queue.pool, job.id)
        condition = rows.Condition(name, part, job.id, 0)
        kept = job._replace(attempts=queue.max_attempts)
        value = record.write_job(kept, time.time())
        write = rows.Write(name, part, job.id, value)
        change = rows.Transaction((condition,), (write,))
        deadline = http.read_clock() + WHOLE_TIMEOUT
        lost = False
        while True:
            result = await self._store.commit(change, timeout=TRY_TIMEOUT)
            if result.outcome is table.Outcome.DONE or result.reason == "conflict":
                return message.Answer(message.Verdict.ACCEPTED, reason=result.reason)
            lost = lost or result.outcome is table.Outcome.UNKNOWN
            if not lost:
                return self._refuse(result.reason)
            if http.read_clock() + PAUSE > deadline - TRY_TIMEOUT:
                return message.Answer(message.Verdict.UNKNOWN, reason=result.reason)
            await anyio.sleep(PAUSE)

    async def _mark_cancelled(self, found: _Found) -> rows.Change:
        row = found.row
        value = record.write_job(found.read.job, found.read.accepted, cancelled=True)
        condition = rows.Condition(row.table, row.part, row.key, row.version)
        write = rows.Write(row.table, row.part, row.key, value)
        return await self._store.commit(
            rows.Transaction((condition,), (write,)), timeout=TRY_TIMEOUT
        )

    async def _find_anywhere(
        self, queue: model.Queue, id: str
    ) -> _Found | message.Answer:
        found: _Found | message.Answer = message.Answer(message.Verdict.MISSING)
        for pool in [queue.pool, *self._list_former_pools(queue.name)]:
            found = await self._find(pool, id)
            if isinstance(found, _Found):
                return found
            if found.verdict is not message.Verdict.MISSING:
                return found
        return found

    async def _find(self, pool: str, id: str) -> _Found | message.Answer:
        name = pool_record.name_job_table(pool)
        part = pool_record.name_job_part(pool, id)
        read = await self._read_one(name, part, id, TRY_TIMEOUT)
        if read.outcome is not table.Outcome.DONE:
            return self._refuse(read.reason)
        for row in read.rows:
            if row.value is not None:
                return _Found(row, pool, record.read_job(id, row.value))
        return message.Answer(message.Verdict.MISSING)

    async def _read_one(
        self, name: str, part: str, id: str, timeout: float
    ) -> rows.Range:
        """Read the row of one job."""
        return await self._store.read(
            name, part, first=id, last=id + "\0", limit=1, timeout=timeout
        )

    def _refuse_path(self, path: str, reason: str) -> message.Answer:
        log.log_change("request refused", job=path.rpartition("/")[2], reason=reason)
        return self._refuse(reason)

    def _refuse(self, reason: str) -> message.Answer:
        return message.Answer(
            message.Verdict.NOT_RUN, retry_after=RETRY_AFTER, reason=reason
        )

    def _tell(
        self, what: str, queue: model.Queue, id: str, answer: message.Answer
    ) -> None:
        self._instruments.count(
            "requests_total", "Requests by verdict.", verdict=answer.verdict.value
        )
        log.log_change(
            what,
            job=id,
            queue=queue.name,
            pool=queue.pool,
            verdict=answer.verdict.value,
            reason=answer.reason,
        )


def _judge(read: record.JobRecord, noted: tuple[rows.Row, ...]) -> model.JobState:
    """Return the state of a job by its own row and the leader's.

    A final state that the leader noted goes before a cancellation that came
    after it.
    """
    for row in noted:
        if row.value is not None:
            final = record.read_final(row.value)
            if final is not None:
                return final
    if read.cancelled:
        return model.JobState.CANCELLED
    return model.JobState.RUNNING if noted else model.JobState.QUEUED
