"""The object that a daemon drives: events in, actions out.

One `Core` holds all requests of one daemon between their arrival and their
final answer, sends them to workers, and counts the slots of the pools that
this daemon owns. It does no input or output and reads no clock.
"""

import collections
import random
from collections.abc import Iterable, Mapping

from wigeonhitch import verdict
from wigeonhitch.routing import (
    action,
    borrower,
    counting,
    event,
    peer,
    queue,
    rendezvous,
    request,
    slot,
    timer,
)

__all__ = ["Core"]

# Sends of one request after failures, the first included. A third failure is
# the pool's, not a worker's; refusals are bounded by time and budget instead.
MAX_TRIES = 3

# Rank of classes that are not in the fleet document: after all others.
UNKNOWN_RANK = 1000

# Seconds after which callers refused for want of workers, or by a daemon that
# stops, should come back; the balancer then leads them elsewhere.
COME_BACK = 1.0


class Core:
    """Routing in one daemon.

    Parameters
    ----------
    own : str
        Id of this daemon, as in `event.MembersChanged`.
    seed : int
        Seed of all random draws; daemons should differ.
    policy : borrower.Policy
        Who counts the slots.

    Examples
    --------
    >>> core = Core("a", seed=1, policy=borrower.Policy.OWN_COUNTS)
    >>> view = {"lookup": (event.Worker("vm1"),)}
    >>> core.handle(event.ViewChanged(1, view), 0.0)
    []
    >>> arrival = event.Arrived(7, "orders", "lookup", "urgent", "clerks", 2.0, True)
    >>> [send] = core.handle(arrival, 0.0)
    >>> send.vm
    'vm1'
    >>> end = event.Answered(7, send.attempt, verdict.ran(), 0.05)
    >>> [answer] = core.handle(end, 0.05)
    >>> answer.verdict.ran
    <Ran.YES: 'ran'>
    """

    def __init__(
        self,
        own: str,
        seed: int = 0,
        policy: borrower.Policy = borrower.Policy.OWNER,
    ) -> None:
        self._own = own
        self._policy = policy
        self._rng = random.Random(f"{own}/{seed}")
        self._revision = 0
        self._view: Mapping[str, tuple[event.Worker, ...]] = {}
        self._workers: dict[str, event.Worker] = {}
        self._members: list[str] = [own]
        self._ranks: dict[str, tuple[int, float]] = {"urgent": (0, float("inf"))}
        self._weights: Mapping[str, float] = {}
        self._stopping = False
        self._may_send = True
        self._numbers = 0
        self._now = 0.0
        self._requests: dict[int, request.Request] = {}
        self._attempts: dict[int, request.Attempt] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._borrowers: dict[str, borrower.Borrower] = {}
        self._counting = counting.Counting(self._rng)
        self._counting.set_members([own], 0.0)
        self._deadlines = timer.Timers()
        self._borrower_timers = timer.Timers()
        self._touched: set[str] = set()
        self._inbox: collections.deque[peer.Message] = collections.deque()
        self._outbox: dict[str, list[peer.Message]] = {}
        self._actions: list[action.Action] = []
        self._handlers = {
            event.Arrived: self._admit,
            event.Cancelled: self._cancel,
            event.Answered: self._end_attempt,
            event.Received: self._receive,
            event.ViewChanged: self._change_view,
            event.MembersChanged: self._change_members,
            event.UrgenciesChanged: self._change_urgencies,
            event.TeamsChanged: self._change_teams,
            event.Stopping: self._stop,
            event.SendLapsed: self._lapse,
            event.SendRestored: self._restore,
        }

    def handle(self, what: event.Event, now: float) -> list[action.Action]:
        """Take an event and return what to do, in order.

        Parameters
        ----------
        what : event.Event
        now : float
            Seconds; never less than in an earlier call.
        """
        due = self.next_timer()
        late = max(0.0, now - due) if due is not None else 0.0
        self._now = now
        if due is not None and due <= now:
            self._run_timers(late)
        handler = self._handlers.get(type(what))
        if handler is not None:
            handler(what)
        self._settle()
        actions, self._actions = self._actions, []
        return actions

    def next_timer(self) -> float | None:
        """Return when to call `handle` with a `event.Tick` at the latest."""
        times = [
            self._deadlines.next(),
            self._borrower_timers.next(),
            self._counting.next_time(),
        ]
        return min((time for time in times if time is not None), default=None)

    @property
    def revision(self) -> int:
        """The highest fleet revision applied: no send starts to what it drains."""
        return self._revision

    @property
    def is_idle(self) -> bool:
        """Whether no request waits and no attempt is in flight."""
        return not self._requests and not self._attempts

    def find_request(self, pool: str, ask: int) -> int | None:
        """Return the request that an ask of this daemon is for."""
        known = self._borrowers.get(pool)
        return known.find_request(ask) if known is not None else None

    def in_flight(self, vm: str) -> int:
        """Return how many attempts to a worker have not ended."""
        return self._in_flight[vm]

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each pool in use."""
        return {pool: len(each.waiting) for pool, each in self._borrowers.items()}

    def keep_connections(self, vm: str) -> int:
        """Return how many idle connections to a worker may be kept open.

        Over all daemons they are at most the worker's connections less its
        slots, so that one can always be opened for a granted slot.
        """
        worker = self._workers.get(vm)
        if worker is None:
            return 0
        spare = max(0, worker.connections - worker.slots)
        return rendezvous.limit_connections(vm, self._own, self._members, spare)

    # What borrowers need (`borrower.Port`).

    def number(self) -> int:
        """Return a number that is unique in this daemon."""
        self._numbers += 1
        return self._numbers

    def tell(self, daemon: str, message: peer.Message) -> None:
        """Send a message to a daemon; to itself within the same event."""
        if daemon == self._own:
            self._inbox.append(message)
        else:
            self._outbox.setdefault(daemon, []).append(message)

    def limit(self, vms: Iterable[str]) -> dict[str, int]:
        """Return how many connections this daemon may use by its own counts.

        With more daemons than connections each daemon has a stable subset of
        the workers; one of them at least, since no request may be stranded.
        """
        limits = {
            vm: rendezvous.limit_connections(
                vm, self._own, self._members, self._workers[vm].connections
            )
            for vm in vms
        }
        if limits and not any(limits.values()):
            limits[rendezvous.rank(self._own, limits)[0]] = 1
        return limits

    def start(self, number: int, hold: int, vm: str) -> None:
        """Send a waiting request to a worker."""
        entry = self._requests[number]
        pool = entry.event.pool
        lender = self._borrowers[pool]
        attempt = self.number()
        entry.attempt = attempt
        entry.tries += 1
        if entry.tries == 1:
            lender.budget.earn_by_send()
        self._attempts[attempt] = request.Attempt(number, pool, vm, hold)
        self._in_flight[vm] += 1
        timeout = request.find_timeout(entry, lender.evidence.mean, self._now)
        self._actions.append(action.Send(number, attempt, vm, timeout))

    def refuse(self, number: int, reason: verdict.Reason, retry: float) -> None:
        """Give the final answer to a request that no longer waits."""
        self._finish(number, verdict.not_run(reason, retry))

    # Requests.

    def _admit(self, arrival: event.Arrived) -> None:
        rank, start_within = self._ranks.get(
            arrival.urgency, (UNKNOWN_RANK, float("inf"))
        )
        entry = request.Request(arrival, rank, start_within, self._now)
        self._requests[arrival.request] = entry
        reason = self._find_refusal(arrival)
        if reason is not None:
            self._finish(arrival.request, verdict.not_run(reason, self._come_back()))
            return
        self._deadlines.set(arrival.request, arrival.deadline)
        self._submit(entry, again=False)

    def _find_refusal(self, arrival: event.Arrived) -> verdict.Reason | None:
        if self._stopping:
            return verdict.Reason.STOPPING
        if not self._may_send:
            return verdict.Reason.SEND_RIGHT_LAPSED
        if arrival.deadline <= self._now:
            return verdict.Reason.DEADLINE
        if not self._borrower(arrival.pool).has_workers:
            return verdict.Reason.NO_WORKER
        return None

    def _submit(self, entry: request.Request, again: bool) -> None:
        lender = self._borrower(entry.event.pool)
        waiting = self._queue_entry(entry, lender)
        lender.submit(waiting, entry.deadline, self._now, again)

    def _queue_entry(
        self, entry: request.Request, lender: borrower.Borrower
    ) -> queue.Entry:
        arrival = entry.event
        latest = request.find_latest(entry, lender.evidence.mean, self._now)
        return queue.Entry(
            arrival.request, entry.rank, arrival.team, entry.arrived, latest
        )

    def _cancel(self, what: event.Cancelled) -> None:
        entry = self._requests.get(what.request)
        if entry is not None:
            self._give_up(entry, verdict.Reason.CANCELLED, probe=False)

    def _give_up(
        self, entry: request.Request, reason: verdict.Reason, probe: bool
    ) -> None:
        """End a request wherever it is; its slot is free once the attempt ends."""
        number = entry.event.request
        if not entry.attempt:
            self._borrower(entry.event.pool).cancel(number)
            self._finish(number, verdict.not_run(reason))
            return
        attempt = self._attempts[entry.attempt]
        self._attempts[entry.attempt] = attempt._replace(probe=probe)
        self._actions.append(action.Abort(number, entry.attempt))
        self._finish(number, verdict.may_have_run(reason))

    def _end_attempt(self, end: event.Answered) -> None:
        attempt = self._attempts.pop(end.attempt, None)
        if attempt is None:
            return
        self._in_flight[attempt.vm] -= 1
        if not self._in_flight[attempt.vm]:
            del self._in_flight[attempt.vm]
        lender = self._borrower(attempt.pool)
        if end.verdict.ran is verdict.Ran.YES:
            lender.budget.earn_by_answer()
        outcome = request.classify(end, attempt, lender.evidence.mean)
        lender.end(attempt.hold, outcome, end.seconds, self._now)
        entry = self._requests.get(attempt.request)
        if entry is not None:
            entry.attempt = 0
            self._decide(entry, end, lender)

    def _decide(
        self,
        entry: request.Request,
        end: event.Answered,
        lender: borrower.Borrower,
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
            waiting = self._queue_entry(entry, lender)
            if lender.repeat(waiting, entry.deadline, self._now):
                return
        elif entry.tries < MAX_TRIES and lender.budget.spend():
            self._submit(entry, again=True)
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

    # Peers.

    def _receive(self, what: event.Received) -> None:
        for message in what.messages:
            self._dispatch(what.daemon, message)

    def _dispatch(self, daemon: str, message: peer.Message) -> None:
        """Give a message to the owner's or the asking side of its pool."""
        pool = message.pool
        self._touched.add(pool)
        if isinstance(
            message, peer.Grant | peer.Deny | peer.Welcome | peer.Pulse | peer.Leave
        ):
            self._borrower(pool).receive(daemon, message, self._now)
            return
        self._tell_all(self._counting.receive(daemon, message, self._now))

    def _tell_all(self, messages: slot.Messages) -> None:
        for daemon, message in messages:
            self.tell(daemon, message)

    def _borrower(self, pool: str) -> borrower.Borrower:
        self._touched.add(pool)
        found = self._borrowers.get(pool)
        if found is None:
            found = borrower.Borrower(pool, self, self._rng, self._policy)
            found.waiting.set_weights(self._weights)
            found.set_workers(self._view.get(pool, ()))
            found.set_members(
                rendezvous.rank(pool, self._members), len(self._members), self._now
            )
            self._borrowers[pool] = found
        return found

    # State of the fleet and of this daemon.

    def _change_view(self, what: event.ViewChanged) -> None:
        if what.revision < self._revision:
            return
        self._revision = what.revision
        self._view = what.pools
        self._workers = {
            worker.vm: worker for each in what.pools.values() for worker in each
        }
        for pool, lender in self._borrowers.items():
            lender.set_workers(what.pools.get(pool, ()))
            self._touched.add(pool)
        self._tell_all(self._counting.set_view(what.pools, self._now))

    def _change_members(self, what: event.MembersChanged) -> None:
        self._members = sorted(what.members | {self._own})
        for pool, lender in self._borrowers.items():
            ranked = rendezvous.rank(pool, self._members)
            lender.set_members(ranked, len(self._members), self._now)
            self._touched.add(pool)
        self._tell_all(self._counting.set_members(self._members, self._now))

    def _change_urgencies(self, what: event.UrgenciesChanged) -> None:
        ordered = sorted(
            what.urgencies, key=lambda each: (each.name != "urgent", each.start_within)
        )
        self._ranks = {
            each.name: (rank, each.start_within) for rank, each in enumerate(ordered)
        }

    def _change_teams(self, what: event.TeamsChanged) -> None:
        self._weights = what.weights
        for lender in self._borrowers.values():
            lender.waiting.set_weights(what.weights)
        self._counting.set_weights(what.weights)

    def _stop(self, what: event.Stopping) -> None:
        """Begin a planned stop: pass on what is counted here, finish the rest."""
        self._stopping = True
        self._tell_all(self._counting.stop())

    def _lapse(self, what: event.SendLapsed) -> None:
        self._may_send = False
        for entry in list(self._requests.values()):
            if not entry.attempt:
                number = entry.event.request
                self._borrower(entry.event.pool).cancel(number)
                reason = verdict.Reason.SEND_RIGHT_LAPSED
                self._finish(number, verdict.not_run(reason, self._come_back()))

    def _restore(self, what: event.SendRestored) -> None:
        self._may_send = True

    # Time.

    def _run_timers(self, late: float) -> None:
        for number in self._deadlines.take_due(self._now):
            entry = self._requests[number]
            waits = not entry.attempt
            reason = verdict.Reason.DEADLINE if waits else verdict.Reason.TIMEOUT
            self._give_up(entry, reason, probe=True)
        for pool in self._borrower_timers.take_due(self._now):
            self._borrower(pool).wake(self._now, late)
        self._tell_all(self._counting.wake(self._now))

    def _settle(self) -> None:
        """Deliver messages to itself, renew timers, pass on other messages."""
        while self._inbox:
            self._dispatch(self._own, self._inbox.popleft())
        for pool in self._touched:
            lender = self._borrowers.get(pool)
            when = lender.next_time(self._now) if lender is not None else None
            if when is None:
                self._borrower_timers.discard(pool)
            else:
                self._borrower_timers.set(pool, when)
        self._touched.clear()
        for daemon, messages in self._outbox.items():
            self._actions.append(action.Tell(daemon, tuple(messages)))
        self._outbox = {}
