"""Sending the waiting requests of one pool: the asking daemon's side.

While the pool's owner answers, requests wait at the owner and are sent when a
slot is granted. While it does not (lost, paused, cut off, not yet chosen), the
daemon sends by its own counts: the better of two workers drawn at random, full
workers refuse and are avoided for a moment. `link` says which of the two it is.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import (
    choice,
    event,
    evidence,
    link,
    peer,
    port,
    queue,
    retry,
)

__all__ = ["Borrower"]


class _Hold(NamedTuple):
    """A slot in use by this daemon; ``ends`` is the request's deadline."""

    vm: str
    ends: float


class Borrower:
    """Waiting requests of one pool in one daemon.

    Parameters
    ----------
    pool : str
    driver : port.Port
    rng : random.Random
        Seeded.
    policy : link.Policy
    """

    def __init__(
        self, pool: str, driver: port.Port, rng: random.Random, policy: link.Policy
    ) -> None:
        self.pool = pool
        self.budget = retry.Budget()
        self.evidence = evidence.Evidence(rng)
        self.waiting = queue.Queue()
        self._port = driver
        self._rng = rng
        self._link = link.Link(pool, driver, policy)
        self._choice = choice.Choice(driver, self.evidence, rng)
        self._members = 1
        self._deadlines: dict[int, float] = {}
        self._parked: dict[int, tuple[queue.Entry, float]] = {}
        self._refused: set[int] = set()
        self._holds: dict[int, _Hold] = {}

    @property
    def has_workers(self) -> bool:
        """Whether any worker may get a send."""
        return self._choice.slots > 0

    # What is known of the pool and the daemons.

    def set_workers(self, workers: Iterable[event.Worker]) -> None:
        """Set the workers of the pool."""
        workers = tuple(workers)
        self._choice.set_workers(workers)
        self.evidence.set_workers(worker.vm for worker in workers)

    def set_members(self, ranked: Iterable[str], members: int, now: float) -> None:
        """Set the possible owners, best first, and the number of daemons."""
        self._members = max(1, members)
        self._choice.forget_limits()
        self._link.set_owners(ranked, now)

    # Requests.

    def submit(
        self, entry: queue.Entry, deadline: float, now: float, again: bool = False
    ) -> None:
        """Queue a request (``entry.key``); it is sent, or refused at once.

        ``again`` is for one that was sent in vain: it keeps its place.
        """
        self._deadlines[entry.key] = deadline
        if not self._link.is_begun:
            self._link.join(0, now)
        crowded = len(self.waiting) > 0
        self.waiting.push(entry, front=again)
        if self._link.is_joined:
            self._link.ask(entry, deadline, now, again)
            return
        if crowded and not again and not self._can_meet(entry, now):
            wait = self.waiting.estimate_wait(entry.rank, entry.team, self._rate())
            retry_after = queue.spread_return(wait, self._rng)
            self._give_up(entry.key, verdict.Reason.QUEUE_FULL, retry_after)
            return
        self._send_alone(now)

    def repeat(self, entry: queue.Entry, deadline: float, now: float) -> bool:
        """Queue a request that a full worker refused; False if none may be.

        It goes on once the budget allows. Answers that are due earn repeats;
        with none due and nothing saved up it is an outage, not contention.
        """
        if self._link.is_joined:
            if self.budget.spend_refusal():
                self.submit(entry, deadline, now, again=True)
            elif self._holds:
                self._parked[entry.key] = (entry, deadline)
            else:
                return False
            return True
        if not self._holds and not self.budget.has_refusal():
            return False
        self._refused.add(entry.key)
        self.submit(entry, deadline, now, again=True)
        return True

    def _release_parked(self, now: float) -> None:
        """Let parked requests go on as the budget allows."""
        while self._parked and self.budget.spend_refusal():
            entry, deadline = self._parked.pop(next(iter(self._parked)))
            self.submit(entry, deadline, now, again=True)
        if not self._holds:
            for request in list(self._parked):
                reason = verdict.Reason.RETRY_BUDGET
                self._give_up(request, reason, self._retry_after())

    def cancel(self, request: int) -> None:
        """Take a request out of the queue, here and at the owner."""
        self.waiting.remove(request)
        self._parked.pop(request, None)
        self._refused.discard(request)
        self._deadlines.pop(request, None)
        self._link.cancel(request)

    def end(self, hold: int, outcome: peer.Outcome, seconds: float, now: float) -> None:
        """Count an attempt out; its slot is reused or returned."""
        vm = self._holds.pop(hold).vm
        self.evidence.record(vm, outcome, seconds, now)
        self._choice.end(vm, outcome, now)
        if self._link.is_joined:
            reused = self._reuse(hold, vm, outcome, now)
            self._link.tell(peer.Return(self.pool, hold, outcome, seconds, reused))
        else:
            self._send_alone(now)
        if self._parked:
            self._release_parked(now)

    def receive(self, daemon: str, message: peer.Message, now: float) -> None:
        """Handle a message of an owner."""
        if isinstance(message, peer.Welcome):
            self._take_welcome(daemon, now)
            return
        if daemon != self._link.find_owner():
            if isinstance(message, peer.Grant):
                unused = peer.Return(self.pool, message.ask, peer.Outcome.UNUSED, 0.0)
                self._port.tell(daemon, unused)
            return
        self._link.hear(now)
        if isinstance(message, peer.Grant):
            self._take_grant(message, now)
        elif isinstance(message, peer.Deny):
            request = self._link.find_request(message.ask)
            if request is not None:
                self._give_up(request, message.reason, message.retry_after)
        elif isinstance(message, peer.Pulse):
            self._link.hint.note(message, now)
        elif isinstance(message, peer.Leave):
            self._lose(now)

    def wake(self, now: float, late: float) -> None:
        """Do what is due; ``late`` is how much after `next_time` it is (s).

        A daemon that was itself paused does not take that for the owner's
        silence.
        """
        for entry in self.waiting.overdue(now):
            self._give_up(entry.key, verdict.Reason.DEADLINE, self._retry_after())
        if late > link.SILENCE:
            self._link.hear(now)
        if self._link.is_silent(now):
            self._lose(now)
        self._link.probe(now)
        if not self._link.is_joined:
            self._send_alone(now)

    def next_time(self, now: float) -> float | None:
        """Return when to call `wake`, in seconds."""
        times = self._link.list_times(bool(len(self.waiting) or self._holds))
        overdue = self.waiting.next_overdue()
        if overdue is not None:
            times.append(overdue)
        if not self._link.is_joined and len(self.waiting):
            times.append(self._choice.next_time(now) or now + link.SILENCE)
        return min(times, default=None)

    # Slots of the owner.

    def _lose(self, now: float) -> None:
        """Go on without an owner that is silent or leaves."""
        self._link.lose(now)
        self._send_alone(now)

    def _take_welcome(self, daemon: str, now: float) -> None:
        """Ask the owner from now on, and tell it what this daemon holds."""
        if not self._link.accept(daemon, now):
            return
        held = tuple(
            peer.Held(hold, item.vm, max(0.0, item.ends - now))
            for hold, item in self._holds.items()
        )
        self._link.tell(peer.Report(self.pool, held, False))
        for entry in self.waiting.entries():
            self._ask_again(entry, now)

    def find_request(self, ask: int) -> int | None:
        """Return the request that an ask is for, while it is wanted."""
        return self._link.find_request(ask)

    def _ask_again(self, entry: queue.Entry, now: float) -> None:
        self._link.ask(entry, self._deadlines[entry.key], now, True)

    def _take_grant(self, grant: peer.Grant, now: float) -> None:
        """Use a slot at once, unless nobody waits or the VM is draining here."""
        request = self._link.take_request(grant.ask)
        if request is None:
            unused = peer.Return(self.pool, grant.ask, peer.Outcome.UNUSED, 0.0)
            self._link.tell(unused)
            return
        if grant.vm not in self._choice:
            refused = peer.Return(self.pool, grant.ask, peer.Outcome.REFUSED, 0.0)
            self._link.tell(refused)
            entry = self.waiting.get(request)
            if entry is not None:
                self._ask_again(entry, now)
            return
        self.waiting.start(request)
        self._start(request, grant.ask, grant.vm)

    def _reuse(self, hold: int, vm: str, outcome: peer.Outcome, now: float) -> int:
        """Send the next own request on a slot just freed; 0 if it is not next."""
        if outcome is not peer.Outcome.OK or vm not in self._choice:
            return 0
        if not self._link.hint.is_fresh(now) or not self.evidence.allows(vm, 0, now):
            return 0
        entry = self.waiting.peek(now)
        if entry is None or not self._link.hint.allows(entry):
            return 0
        ask = self._link.take_ask(entry.key)
        self.waiting.start(entry.key)
        self._start(entry.key, hold, vm)
        return ask

    # Sending by own counts.

    def _send_alone(self, now: float) -> None:
        """Send what waits while some worker may have room.

        A request that was refused is next again; until the budget lets it go
        on, the others wait behind it. So a full pool is left alone, but for
        as many sends as this daemon gets answers.
        """
        if self._link.is_joined:
            return
        while len(self.waiting):
            vm = self._choice.choose(now)
            entry = self.waiting.peek(now) if vm is not None else None
            if vm is None or entry is None:
                return
            if entry.key in self._refused and not self.budget.spend_refusal():
                if self._holds:
                    return
                reason = verdict.Reason.RETRY_BUDGET
                self._give_up(entry.key, reason, self._retry_after())
                continue
            self.waiting.start(entry.key)
            self._start(entry.key, self._port.number(), vm)

    def _can_meet(self, entry: queue.Entry, now: float) -> bool:
        rate = self._rate()
        return not rate or self.waiting.can_meet(entry, now, rate)

    def _rate(self) -> float:
        """Return this daemon's starts per second; 0 while unknown."""
        mean = self.evidence.mean
        if not mean:
            return 0.0
        return max(len(self._holds), self._choice.slots / self._members) / mean

    def _retry_after(self) -> float:
        rate = self._rate()
        wait = len(self.waiting) / rate if rate else 0.0
        return queue.spread_return(wait, self._rng)

    def _start(self, request: int, hold: int, vm: str) -> None:
        self._refused.discard(request)
        self._holds[hold] = _Hold(vm, self._deadlines.pop(request))
        self._choice.start(vm)
        self._port.start(request, hold, vm)

    def _give_up(self, request: int, reason: verdict.Reason, retry: float) -> None:
        self.cancel(request)
        self._port.refuse(request, reason, retry)
