"""The requests of one daemon between their arrival and their final answer."""

import collections
import random
from collections.abc import Callable, Iterable

from wigeonhitch import verdict
from wigeonhitch.routing import (
    action,
    event,
    pool_client,
    pool_clients,
    queue,
    request,
    timer,
)

__all__ = ["PendingRequests"]

# Sends of one request after failures, the first included. A third failure is the
# pool's, not a worker's. Refusals are limited by time and the retry budget instead.
MAX_TRIES = 3

# Rank of classes that are not in the fleet document: after all others.
UNKNOWN_RANK = 1000

# Shortest ``retry_after`` for callers refused for lack of workers, or by a daemon
# that is stopping; the load balancer then sends them to another daemon.
MIN_REFUSAL_RETRY_SECONDS = 1.0


class PendingRequests:
    """Requests without a final answer, and their attempts at workers.

    Parameters
    ----------
    clients : pool_clients.PoolClients
        Where requests wait for a slot.
    allocate_number : callable
        Returns a number that is unique in this daemon.
    rng : random.Random
        Seeded.
    """

    def __init__(
        self,
        clients: pool_clients.PoolClients,
        allocate_number: Callable[[], int],
        rng: random.Random,
    ) -> None:
        self._clients = clients
        self._allocate_number = allocate_number
        self._rng = rng
        self._ranks: dict[str, tuple[int, float]] = {"urgent": (0, float("inf"))}
        self._stopping = False
        self._may_send = True
        self._requests: dict[int, request.Request] = {}
        self._attempts: dict[int, request.Attempt] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._deadlines = timer.Timers()
        self._actions: list[action.Action] = []

    @property
    def is_idle(self) -> bool:
        """Whether no request waits and no attempt is in flight."""
        return not self._requests and not self._attempts

    def in_flight(self, vm: str) -> int:
        """Return how many attempts to a worker have not ended."""
        return self._in_flight[vm]

    def take_actions(self) -> list[action.Action]:
        """Return the actions accumulated since the last call, in order."""
        actions, self._actions = self._actions, []
        return actions

    def next_time(self) -> float | None:
        """Return when to call `run_due`, in seconds."""
        return self._deadlines.next()

    def run_due(self, now: float) -> None:
        """Abandon the requests whose deadline has passed."""
        for number in self._deadlines.take_due(now):
            entry = self._requests[number]
            is_waiting = not entry.attempt
            reason = verdict.Reason.DEADLINE if is_waiting else verdict.Reason.TIMEOUT
            self._abandon(entry, reason, True, now)

    # State that applies to all requests.

    def set_urgencies(self, urgencies: Iterable[event.Urgency]) -> None:
        """Rank the classes: urgent first, then by ``start_within``."""
        ordered = sorted(
            urgencies,
            key=lambda urgency: (urgency.name != "urgent", urgency.start_within),
        )
        self._ranks = {
            urgency.name: (rank, urgency.start_within)
            for rank, urgency in enumerate(ordered)
        }

    def stop(self) -> None:
        """Admit no more requests; those already accepted are finished."""
        self._stopping = True

    def suspend_sending(self, now: float) -> None:
        """Send nothing more, and refuse the waiting requests."""
        self._may_send = False
        for entry in list(self._requests.values()):
            if not entry.attempt:
                number = entry.event.request
                self._clients.open(entry.event.pool, now).cancel(number)
                reason = verdict.Reason.SEND_RIGHT_LAPSED
                self._finish(number, verdict.not_run(reason, self._make_retry_after()))

    def resume_sending(self) -> None:
        """Allow sending again."""
        self._may_send = True

    # One request.

    def admit(self, arrival: event.Arrived, now: float) -> None:
        """Queue a request for a slot, or refuse it."""
        rank, start_within = self._ranks.get(
            arrival.urgency, (UNKNOWN_RANK, float("inf"))
        )
        entry = request.Request(arrival, rank, start_within, now)
        self._requests[arrival.request] = entry
        reason = self._find_refusal(arrival, now)
        if reason is not None:
            self._finish(
                arrival.request, verdict.not_run(reason, self._make_retry_after())
            )
            return
        self._deadlines.set(arrival.request, arrival.deadline)
        self._submit(entry, False, now)

    def start(self, number: int, slot_id: int, vm: str, now: float) -> None:
        """Send a waiting request to a worker."""
        entry = self._requests[number]
        pool = entry.event.pool
        client = self._clients.open(pool, now)
        attempt = self._allocate_number()
        entry.attempt = attempt
        entry.tries += 1
        if entry.tries == 1:
            client.budget.add_for_send()
        self._attempts[attempt] = request.Attempt(number, pool, vm, slot_id)
        self._in_flight[vm] += 1
        timeout = request.compute_timeout(entry, client.detector.mean_seconds, now)
        self._actions.append(action.Send(number, attempt, vm, timeout))

    def refuse(self, number: int, reason: verdict.Reason, retry_after: float) -> None:
        """Give the final answer to a request that no longer waits."""
        self._finish(number, verdict.not_run(reason, retry_after))

    def cancel(self, number: int, now: float) -> None:
        """End a request whose caller disconnected."""
        entry = self._requests.get(number)
        if entry is not None:
            self._abandon(entry, verdict.Reason.CANCELLED, False, now)

    def end_attempt(self, end: event.AttemptEnded, now: float) -> None:
        """Record the end of an attempt, and answer its request or retry it."""
        attempt = self._attempts.pop(end.attempt, None)
        if attempt is None:
            return
        self._in_flight[attempt.vm] -= 1
        if not self._in_flight[attempt.vm]:
            del self._in_flight[attempt.vm]
        client = self._clients.open(attempt.pool, now)
        if end.verdict.ran is verdict.Ran.YES:
            client.budget.add_for_answer()
        outcome = request.classify(end, attempt, client.detector.mean_seconds)
        client.end_attempt(attempt.slot_id, outcome, end.seconds, now)
        entry = self._requests.get(attempt.request)
        if entry is not None:
            entry.attempt = 0
            self._answer_or_retry(entry, end, client, now)

    def _find_refusal(
        self, arrival: event.Arrived, now: float
    ) -> verdict.Reason | None:
        if self._stopping:
            return verdict.Reason.STOPPING
        if not self._may_send:
            return verdict.Reason.SEND_RIGHT_LAPSED
        if arrival.deadline <= now:
            return verdict.Reason.DEADLINE
        if not self._clients.open(arrival.pool, now).has_workers:
            return verdict.Reason.NO_WORKER
        return None

    def _submit(self, entry: request.Request, is_retry: bool, now: float) -> None:
        client = self._clients.open(entry.event.pool, now)
        waiting = self._queue_entry(entry, client, now)
        client.submit(waiting, entry.deadline, now, is_retry)

    def _queue_entry(
        self, entry: request.Request, client: pool_client.PoolClient, now: float
    ) -> queue.Entry:
        arrival = entry.event
        latest_start = request.compute_latest_start(
            entry, client.detector.mean_seconds, now
        )
        return queue.Entry(
            arrival.request, entry.rank, arrival.team, entry.arrived_at, latest_start
        )

    def _abandon(
        self,
        entry: request.Request,
        reason: verdict.Reason,
        caller_waits: bool,
        now: float,
    ) -> None:
        """End a request in any state; its slot is freed once the attempt ends."""
        number = entry.event.request
        if not entry.attempt:
            self._clients.open(entry.event.pool, now).cancel(number)
            self._finish(number, verdict.not_run(reason))
            return
        attempt = self._attempts[entry.attempt]
        self._attempts[entry.attempt] = attempt._replace(caller_waits=caller_waits)
        self._actions.append(action.Abort(number, entry.attempt))
        self._finish(number, verdict.may_have_run(reason))

    def _answer_or_retry(
        self,
        entry: request.Request,
        end: event.AttemptEnded,
        client: pool_client.PoolClient,
        now: float,
    ) -> None:
        """Answer the caller, or retry the request if that is safe.

        Retries cover workers that die, freeze or refuse one at a time. Only a request
        that certainly did not run, or may safely run twice, is retried, and never more
        often than the budget allows, so that retries do not multiply the load in an
        outage of the pool.
        """
        number = entry.event.request
        result = end.verdict
        if result.ran is verdict.Ran.MAYBE:
            entry.may_have_run = True
        retriable = result.is_retriable or (
            result.ran is verdict.Ran.MAYBE and entry.event.idempotent
        )
        if not retriable or not self._may_send:
            self._finish(number, result, end.attempt)
            return
        if result.reason is verdict.Reason.WORKER_REFUSED:
            waiting = self._queue_entry(entry, client, now)
            if client.retry_refused(waiting, entry.deadline, now):
                return
        elif entry.tries < MAX_TRIES and client.budget.spend():
            self._submit(entry, True, now)
            return
        refusal = verdict.not_run(verdict.Reason.RETRY_BUDGET, self._make_retry_after())
        self._finish(number, refusal if result.is_retriable else result)

    def _finish(self, number: int, result: verdict.Verdict, attempt: int = 0) -> None:
        """Give the one final answer.

        A request that may have run in an earlier attempt is never called "not run".
        """
        entry = self._requests.pop(number)
        self._deadlines.discard(number)
        if entry.may_have_run and result.ran is verdict.Ran.NO:
            result = verdict.may_have_run(result.reason, result.retry_after)
        answered = attempt if result.ran is verdict.Ran.YES else 0
        self._actions.append(action.Answer(number, result, answered))

    def _make_retry_after(self) -> float:
        return queue.jitter_retry_after(MIN_REFUSAL_RETRY_SECONDS, self._rng)
