"""Handles callers' requests: accepts, shows and cancels jobs, one durable write each.

A job is accepted once its row is committed under the condition that there was
none; a repeated request finds the row and gets the same answer from any daemon.
A request that certainly wasn't written is refused at once with a retry delay;
one that may have been written is never reported as "not run".
"""

from collections.abc import Callable

from wigeonhitch.jobs import credential, model, progress, record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.site import (
    acceptance,
    authorization,
    cancellation,
    configuration,
    jobrows,
    message,
    routes,
    waiting,
    withdrawal,
)
from wigeonhitch.telemetry import log, metric

__all__ = ["RequestHandler"]


class RequestHandler:
    """Handles callers' requests on jobs; implements `message.RequestHandler`.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    get_catalogue : callable
        Returns the configuration in force, if any.
    is_store_unreachable : callable
        Whether this daemon hasn't reached the store for some time. Requests are
        then refused at once, since another daemon may reach it; waiting for a
        timeout on each would take up most of the callers' time.
    get_currency : callable
        Returns how current the configuration in force is known to be.
    final_retention : float
        Seconds for which rows of final jobs are kept.
    """

    def __init__(
        self,
        store: rows.RowStore,
        get_catalogue: Callable[[], model.Catalogue | None],
        instruments: metric.Instruments,
        is_store_unreachable: Callable[[], bool] = lambda: False,
        get_currency: Callable[[], configuration.Currency] = lambda: (
            configuration.Currency.CONFIRMED
        ),
        final_retention: float = 120.0,
    ) -> None:
        self._store = store
        self._get_currency = get_currency
        self._is_store_unreachable = is_store_unreachable
        self._get_catalogue = get_catalogue
        self._instruments = instruments
        self._jobs = jobrows.JobReader(store)
        self._indexed: model.Catalogue | None = None
        self._index = routes.RouteIndex()
        self._waiting = waiting.WaitingJobCounter(store, self._get_routes)
        withdrawals = withdrawal.Withdrawals(store, final_retention)
        self._acceptance = acceptance.Acceptance(
            store, withdrawals, is_store_unreachable
        )
        self._cancellation = cancellation.Cancellation(store, withdrawals)
        self._authorizer = authorization.Authorizer(
            get_catalogue, get_currency, instruments
        )

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of a request's body, in bytes."""
        catalogue = self._get_catalogue()
        return catalogue.body_limit if catalogue else 0

    def find_queue(self, host: str, path: str) -> model.Queue | message.Answer:
        """Return the queue with the longest matching prefix of a path."""
        catalogue = self._get_catalogue()
        if catalogue is None:
            return self._refuse_path(path, "no configuration")
        if self._is_store_unreachable():
            return self._refuse_path(path, "store lost")
        if self._get_currency() is configuration.Currency.EXPIRED:
            return self._refuse_path(path, "configuration not confirmed")
        queue = self._get_routes().find(host, path)
        return queue or message.Answer(message.Verdict.NO_QUEUE)

    def authorize(
        self, queue: model.Queue, key: bytes | credential.InvalidKey
    ) -> model.Team | message.Answer:
        """Return the team of a caller's key, or the answer to the caller."""
        return self._authorizer.authorize(queue, key)

    def on_catalogue(self) -> None:
        """Take note of a new configuration in force."""
        self._waiting.on_catalogue()

    async def submit(self, queue: model.Queue, job: model.Job) -> message.Answer:
        """Accept a job durably, once."""
        started_at = http.read_clock()
        answer = await self._acceptance.accept(queue, job)
        self._instruments.observe(
            "submit_seconds", "Time to accept a job.", http.read_clock() - started_at
        )
        self._record_outcome("job submitted", queue, job.id, answer, team=job.team)
        return answer

    async def show(self, queue: model.Queue, id: str) -> message.Answer:
        """Return a job's state."""
        lookup = await self._jobs.locate(queue.pool, id)
        while _is_unfinished(lookup):
            progress_range = await self._jobs.read_progress(lookup.parsed.pool, id)
            if progress_range.outcome is not table.Outcome.DONE:
                return message.refuse(progress_range.reason)
            state = _derive_state(lookup, progress_range.rows)
            if progress_range.rows and (lookup.parsed.cancelled or not state.is_final):
                return message.Answer(message.Verdict.FOUND, state)
            # The progress that was read is valid only if the row hasn't changed since.
            previous_version = lookup.row.version
            lookup = await self._jobs.locate(queue.pool, id)
            if _is_unfinished(lookup) and lookup.row.version == previous_version:
                return message.Answer(message.Verdict.FOUND, state)
        if isinstance(lookup, jobrows.StoredJob):
            return message.Answer(message.Verdict.FOUND, lookup.parsed.final)
        if isinstance(lookup, jobrows.Absence):
            return message.Answer(message.Verdict.MISSING)
        return message.refuse(lookup.reason)

    async def cancel(
        self, queue: model.Queue, id: str, team: str = ""
    ) -> message.Answer:
        """Cancel a job for a caller of a team, also one that isn't accepted yet."""
        if jobrows.is_possible_id(id):
            answer = await self._cancellation.cancel(queue, id, team)
        else:
            answer = message.Answer(message.Verdict.MISSING, reason="impossible id")
        self._record_outcome("job cancelled by its caller", queue, id, answer)
        return answer

    async def count(self, queue: model.Queue) -> message.Answer:
        """Return how many accepted jobs have not started."""
        count = await self._waiting.count(queue)
        if isinstance(count, rows.Range):
            return message.refuse(count.reason)
        return message.Answer(message.Verdict.FOUND, pending=count)

    def _get_routes(self) -> routes.RouteIndex:
        """Return the index of the configuration in force."""
        catalogue = self._get_catalogue()
        if catalogue is not self._indexed:
            self._index = routes.RouteIndex(catalogue.queues if catalogue else ())
            self._indexed = catalogue
        return self._index

    def _refuse_path(self, path: str, reason: str) -> message.Answer:
        log.log_change("request refused", job=path.rpartition("/")[2], reason=reason)
        return message.refuse(reason)

    def _record_outcome(
        self,
        event: str,
        queue: model.Queue,
        id: str,
        answer: message.Answer,
        **fields: str,
    ) -> None:
        self._instruments.count(
            "requests_total", "Requests by verdict.", verdict=answer.verdict.value
        )
        log.log_change(
            event,
            job=id,
            queue=queue.name,
            pool=queue.pool,
            verdict=answer.verdict.value,
            reason=answer.reason,
            **fields,
        )


def _is_unfinished(
    lookup: jobrows.StoredJob | jobrows.Absence | rows.Range,
) -> bool:
    """Return whether a job was found whose own row isn't final."""
    return isinstance(lookup, jobrows.StoredJob) and lookup.parsed.final is None


def _derive_state(
    stored: jobrows.StoredJob, progress_rows: tuple[rows.Row, ...]
) -> model.JobState:
    """Derive the state of a job from its own row and the leader's progress rows."""
    cancelled_at = stored.row.version if stored.parsed.cancelled else 0
    for row in progress_rows:
        if row.value is not None:
            final = record.read_final(row.value)
            if final is not None:
                return progress.resolve_final_state(final, row.version, cancelled_at)
    if stored.parsed.cancelled:
        return model.JobState.CANCELLED
    if any(record.has_given_up(row.value or b"{}") for row in progress_rows):
        return model.JobState.FAILED
    return model.JobState.RUNNING if progress_rows else model.JobState.QUEUED
