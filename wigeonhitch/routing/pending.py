"""The requests of one daemon between their arrival and their final answer."""

import collections
import random
from collections.abc import Callable, Iterable

from wigeonhitch import verdict
from wigeonhitch.routing import (
    action,
    asking,
    borrower,
    event,
    queue,
    request,
    timer,
)

__all__ = ["Pending"]

# Sends of one request after failures, the first included. A third failure is
# the pool's, not a worker's; refusals are bounded by time and budget instead.
MAX_TRIES = 3

# Rank of classes that are not in the fleet document: after all others.
UNKNOWN_RANK = 1000

# Seconds after which callers refused for want of workers, or by a daemon that
# stops, should come back; the balancer then leads them elsewhere.
COME_BACK = 1.0


class Pending:
    """Requests without a final answer, and their attempts at workers.

    Parameters
    ----------
    pools : asking.Asking
        Where requests wait for a slot.
    number : callable
        Returns a number that is unique in this daemon.
    rng : random.Random
        Seeded.
    """

    def __init__(
        self, pools: asking.Asking, number: Callable[[], int], rng: random.Random
    ) -> None:
        self._pools = pools
        self._number = number
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
        """Return what to do since the last call, in order."""
        actions, self._actions = self._actions, []
        return actions

    def next_time(self) -> float | None:
        """Return when to call `wake`, in seconds."""
        return self._deadlines.next()

    def wake(self, now: float) -> None:
        """Give up the requests whose deadline has come."""
        for number in self._deadlines.take_due(now):
            entry = self._requests[number]
            waits = not entry.attempt
            reason = verdict.Reason.DEADLINE if waits else verdict.Reason.TIMEOUT
            self._give_up(entry, reason, True, now)

    # What holds for all requests.

    def set_urgencies(self, urgencies: Iterable[event.Urgency]) -> None:
        """Rank the classes: urgent first, then by the seconds to start within."""
        ordered = sorted(
            urgencies, key=lambda each: (each.name != "urgent", each.start_within)
        )
        self._ranks = {
            each.name: (rank, each.start_within) for rank, each in enumerate(ordered)
        }

    def stop(self) -> None:
        """Admit no more; what is here is finished."""
        self._stopping = True

    def lapse(self, now: float) -> None:
        """Send nothing more, and refuse what waits."""
        self._may_send = False
        for entry in list(self._requests.values()):
            if not entry.attempt:
                number = entry.event.request
                self._pools.open(entry.event.pool, now).cancel(number)
                reason = verdict.Reason.SEND_RIGHT_LAPSED
                self._finish(number, verdict.not_run(reason, self._come_back()))

    def restore(self) -> None:
        """Send again."""
        self._may_send = True

    # One request.

    def admit(self, arrival: event.Arrived, now: float) -> None:
        """Let a request wait for a slot, or refuse it."""
        rank, start_within = self._ranks.get(
            arrival.urgency, (UNKNOWN_RANK, float("inf"))
        )
        entry = request.Request(arrival, rank, start_within, now)
        self._requests[arrival.request] = entry
        reason = self._find_refusal(arrival, now)
        if reason is not None:
            self._finish(arrival.request, verdict.not_run(reason, self._come_back()))
            return
        self._deadlines.set(arrival.request, arrival.deadline)
        self._submit(entry, False, now)

    def start(self, number: int, hold: int, vm: str, now: float) -> None:
        """Send a waiting request to a worker."""
        entry = self._requests[number]
        pool = entry.event.pool
        asker = self._pools.open(pool, now)
        attempt = self._number()
        entry.attempt = attempt
        entry.tries += 1
        if entry.tries == 1:
            asker.budget.earn_by_send()
        self._attempts[attempt] = request.Attempt(number, pool, vm, hold)
        self._in_flight[vm] += 1
        timeout = request.find_timeout(entry, asker.evidence.mean, now)
        self._actions.append(action.Send(number, attempt, vm, timeout))

    def refuse(self, number: int, reason: verdict.Reason, retry: float) -> None:
        """Give the final answer to a request that no longer waits."""
        self._finish(number, verdict.not_run(reason, retry))

    def cancel(self, number: int, now: float) -> None:
        """End a request whose caller left."""
        entry = self._requests.get(number)
        if entry is not None:
            self._give_up(entry, verdict.Reason.CANCELLED, False, now)

    def end_attempt(self, end: event.AttemptEnded, now: float) -> None:
        """Count an attempt out, and answer its request or send it again."""
        attempt = self._attempts.pop(end.attempt, None)
        if attempt is None:
            return
        self._in_flight[attempt.vm] -= 1
        if not self._in_flight[attempt.vm]:
            del self._in_flight[attempt.vm]
        asker = self._pools.open(attempt.pool, now)
        if end.verdict.ran is verdict.Ran.YES:
            asker.budget.earn_by_answer()
        outcome = request.classify(end, attempt, asker.evidence.mean)
        asker.end(attempt.hold, outcome, end.seconds, now)
        entry = self._requests.get(attempt.request)
        if entry is not None:
            entry.attempt = 0
            self._decide(entry, end, asker, now)

    def _find_refusal(
        self, arrival: event.Arrived, now: float
    ) -> verdict.Reason | None:
        if self._stopping:
            return verdict.Reason.STOPPING
        if not self._may_send:
            return verdict.Reason.SEND_RIGHT_LAPSED
        if arrival.deadline <= now:
            return verdict.Reason.DEADLINE
        if not self._pools.open(arrival.pool, now).has_workers:
            return verdict.Reason.NO_WORKER
        return None

    def _submit(self, entry: request.Request, again: bool, now: float) -> None:
        asker = self._pools.open(entry.event.pool, now)
        waiting = self._queue_entry(entry, asker, now)
        asker.submit(waiting, entry.deadline, now, again)

    def _queue_entry(
        self, entry: request.Request, asker: borrower.Borrower, now: float
    ) -> queue.Entry:
        arrival = entry.event
        latest = request.find_latest(entry, asker.evidence.mean, now)
        return queue.Entry(
            arrival.request, entry.rank, arrival.team, entry.arrived, latest
        )

    def _give_up(
        self, entry: request.Request, reason: verdict.Reason, probe: bool, now: float
    ) -> None:
        """End a request wherever it is; its slot is free once the attempt ends."""
        number = entry.event.request
        if not entry.attempt:
            self._pools.open(entry.event.pool, now).cancel(number)
            self._finish(number, verdict.not_run(reason))
            return
        attempt = self._attempts[entry.attempt]
        self._attempts[entry.attempt] = attempt._replace(probe=probe)
        self._actions.append(action.Abort(number, entry.attempt))
        self._finish(number, verdict.may_have_run(reason))

    def _decide(
        self,
        entry: request.Request,
        end: event.AttemptEnded,
        asker: borrower.Borrower,
        now: float,
    ) -> None:
        """Answer the caller, or send again what cannot run twice by it.

        Made for workers that die, freeze or refuse one by one. Only what has
        certainly not run, or may run twice, is sent again; never more often
        than the budget allows, so that an outage of the pool is not multiplied.
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
            waiting = self._queue_entry(entry, asker, now)
            if asker.repeat(waiting, entry.deadline, now):
                return
        elif entry.tries < MAX_TRIES and asker.budget.spend():
            self._submit(entry, True, now)
            return
        spent = verdict.not_run(verdict.Reason.RETRY_BUDGET, self._come_back())
        self._finish(number, spent if result.is_retriable else result)

    def _finish(self, number: int, result: verdict.Verdict, attempt: int = 0) -> None:
        """Give the one final answer.

        What may have run in an earlier attempt is never called "not run".
        """
        entry = self._requests.pop(number)
        self._deadlines.discard(number)
        if entry.may_have_run and result.ran is verdict.Ran.NO:
            result = verdict.may_have_run(result.reason, result.retry_after)
        answered = attempt if result.ran is verdict.Ran.YES else 0
        self._actions.append(action.Answer(number, result, answered))

    def _come_back(self) -> float:
        return queue.spread_return(COME_BACK, self._rng)
