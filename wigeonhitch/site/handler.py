"""Answers callers: accepts, shows and cancels jobs, one durable write each.

A job is accepted once its row is committed under the condition that there was
none; a repetition finds the row and gets the same answer, at any daemon. What
certainly wasn't written is refused at once with a time to come back; what may
have been written is never called "not run".
"""

from collections.abc import Callable

import anyio

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.site import acceptance, jobrows, message, waiting
from wigeonhitch.telemetry import log, metric

__all__ = ["RequestHandler"]


class RequestHandler:
    """Answers callers' requests on jobs; implements `message.RequestHandler`.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    get_catalogue : callable
        Returns the configuration in force, if any.
    is_store_lost : callable
        Whether this daemon hasn't reached the store for some time. Requests are
        then refused at once, for another daemon may reach it; waiting for a
        timeout each would hold callers for most of their time.
    """

    def __init__(
        self,
        store: rows.RowStore,
        get_catalogue: Callable[[], model.Catalogue | None],
        instruments: metric.Instruments,
        is_store_lost: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._is_store_lost = is_store_lost
        self._get_catalogue = get_catalogue
        self._instruments = instruments
        self._jobs = jobrows.JobRows(store)
        self._waiting = waiting.WaitingCounts(store)
        self._acceptance = acceptance.Acceptance(store, is_store_lost)

    @property
    def max_body_bytes(self) -> int:
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
        answer = await self._acceptance.accept(queue, job)
        self._instruments.observe(
            "submit_seconds", "Time to accept a job.", http.read_clock() - began
        )
        self._tell("job submitted", queue, job.id, answer)
        return answer

    async def show(self, queue: model.Queue, id: str) -> message.Answer:
        """Return a job's state."""
        found = await self._find(queue, id)
        while _is_open(found):
            noted = await self._jobs.read_progress(found.read.pool, id)
            if noted.outcome is not table.Outcome.DONE:
                return message.refuse(noted.reason)
            state = _judge(found, noted.rows)
            if noted.rows and (found.read.cancelled or not state.is_final):
                return message.Answer(message.Verdict.FOUND, state)
            # What is noted holds beside a row that hasn't changed meanwhile.
            before = found.row.version
            found = await self._find(queue, id)
            if _is_open(found) and found.row.version == before:
                return message.Answer(message.Verdict.FOUND, state)
        if isinstance(found, jobrows.Found):
            return message.Answer(message.Verdict.FOUND, found.read.final)
        return found

    async def cancel(self, queue: model.Queue, id: str) -> message.Answer:
        """Cancel a job: its row is written again with a mark."""
        deadline = http.read_clock() + acceptance.WHOLE_TIMEOUT
        answer = message.Answer(message.Verdict.UNKNOWN)
        while http.read_clock() < deadline:
            found = await self._find(queue, id)
            if not isinstance(found, jobrows.Found):
                return found
            if found.read.job is None or found.read.cancelled:
                answer = message.Answer(message.Verdict.ACCEPTED)
                break
            change = await self._mark_cancelled(found)
            if change.outcome is table.Outcome.DONE:
                answer = message.Answer(message.Verdict.ACCEPTED)
                break
            await anyio.sleep(acceptance.PAUSE)
        self._tell("job cancelled by its caller", queue, id, answer)
        return answer

    async def count(self, queue: model.Queue) -> message.Answer:
        """Return how many accepted jobs have not begun."""
        counted = await self._waiting.count(queue)
        if isinstance(counted, rows.Range):
            return message.refuse(counted.reason)
        return message.Answer(message.Verdict.FOUND, pending=counted)

    async def _mark_cancelled(self, found: jobrows.Found) -> rows.Change:
        row = found.row
        read = found.read
        value = record.write_job(read.job, read.pool, read.accepted, cancelled=True)
        condition = rows.Condition(row.table, row.part, row.key, row.version)
        write = rows.Write(row.table, row.part, row.key, value)
        return await self._store.commit(
            rows.Transaction((condition,), (write,)), timeout=jobrows.TIMEOUT
        )

    async def _find(
        self, queue: model.Queue, id: str
    ) -> jobrows.Found | message.Answer:
        """Find a job in its queue's pool, or in the one that holds it."""
        found = await self._jobs.find(queue.pool, id)
        if _is_absent(found):
            # Its queue may have had another pool when it was accepted.
            holder = await self._jobs.read_holder(id)
            if holder.outcome is not table.Outcome.DONE:
                return message.refuse(holder.reason)
            if not holder.rows:
                return message.Answer(message.Verdict.MISSING)
            found = await self._jobs.find((holder.rows[0].value or b"").decode(), id)
        if isinstance(found, jobrows.Found):
            return found
        if _is_absent(found):
            return message.Answer(message.Verdict.MISSING)
        return message.refuse(found.reason)

    def _refuse_path(self, path: str, reason: str) -> message.Answer:
        log.log_change("request refused", job=path.rpartition("/")[2], reason=reason)
        return message.refuse(reason)

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


def _is_open(found: jobrows.Found | message.Answer) -> bool:
    """Whether a job was found that isn't final by its own row."""
    return isinstance(found, jobrows.Found) and found.read.final is None


def _is_absent(found: jobrows.Found | rows.Range) -> bool:
    """Whether a read has shown that there is no row."""
    if isinstance(found, jobrows.Found):
        return False
    return found.outcome is table.Outcome.DONE


def _judge(found: jobrows.Found, noted: tuple[rows.Row, ...]) -> model.JobState:
    """Return the state of a job by its own row and the leader's."""
    cancelled_at = found.row.version if found.read.cancelled else 0
    for row in noted:
        if row.value is not None:
            final = record.read_final(row.value)
            if final is not None:
                return progress.resolve_final_state(final, row.version, cancelled_at)
    if found.read.cancelled:
        return model.JobState.CANCELLED
    return model.JobState.RUNNING if noted else model.JobState.QUEUED
