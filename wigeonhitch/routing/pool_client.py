"""Dispatch of one pool's waiting requests: the side that requests slots.

While the pool's owner answers, requests wait at the owner and are sent when a
slot is granted. While it does not (lost, paused, partitioned, not yet elected),
the daemon sends by its local counts: it picks the better of two workers drawn at
random, and avoids workers that refused for a short time. `link` tracks which of
the two modes applies.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.routing import (
    driver,
    event,
    link,
    outlier,
    peer,
    queue,
    retry,
    selector,
)

__all__ = ["PoolClient"]


class _HeldSlot(NamedTuple):
    """A slot in use by this daemon until the request's ``deadline``."""

    vm: str
    deadline: float


class PoolClient:
    """Waiting requests of one pool in one daemon.

    Parameters
    ----------
    pool : str
    driver : driver.Driver
    rng : random.Random
        Seeded.
    policy : link.Policy
    """

    def __init__(
        self, pool: str, driver: driver.Driver, rng: random.Random, policy: link.Policy
    ) -> None:
        self.pool = pool
        self.budget = retry.Budget()
        self.detector = outlier.OutlierDetector(rng)
        self.waiting = queue.Queue()
        self._driver = driver
        self._rng = rng
        self._link = link.Link(pool, driver, policy)
        self._selector = selector.WorkerSelector(driver, self.detector, rng)
        self._member_count = 1
        self._deadlines: dict[int, float] = {}
        self._awaiting_retry: dict[int, tuple[queue.Entry, float]] = {}
        self._refused_once: set[int] = set()
        self._held_slots: dict[int, _HeldSlot] = {}

    @property
    def has_workers(self) -> bool:
        """Whether any worker may receive requests."""
        return self._selector.slots > 0

    # Workers and members.

    def set_workers(self, workers: Iterable[event.Worker]) -> None:
        """Set the workers of the pool."""
        workers = tuple(workers)
        self._selector.set_workers(workers)
        self.detector.set_workers(worker.vm for worker in workers)

    def set_members(self, ranked: Iterable[str], member_count: int, now: float) -> None:
        """Set the candidate owners, best first, and the number of daemons."""
        self._member_count = max(1, member_count)
        self._selector.clear_limits()
        self._link.set_owners(ranked, now)

    # Requests.

    def submit(
        self, entry: queue.Entry, deadline: float, now: float, is_retry: bool = False
    ) -> None:
        """Queue a request (``entry.key``); it is sent, or refused at once.

        ``is_retry`` marks a request that was sent before; it keeps its place.
        """
        self._deadlines[entry.key] = deadline
        if not self._link.is_started:
            self._link.join(0, now)
        has_queue = len(self.waiting) > 0
        self.waiting.push(entry, front=is_retry)
        if self._link.is_joined:
            self._link.request_slot(entry, deadline, now, is_retry)
            return
        if has_queue and not is_retry and not self._can_start_in_time(entry, now):
            wait = self.waiting.estimate_wait(
                entry.rank, entry.team, self._estimate_start_rate()
            )
            retry_after = queue.jitter_retry_after(wait, self._rng)
            self._refuse(entry.key, verdict.Reason.QUEUE_FULL, retry_after)
            return
        self._send_by_local_counts(now)

    def retry_refused(self, entry: queue.Entry, deadline: float, now: float) -> bool:
        """Queue a request that a full worker refused; return False if it may not retry.

        It is queued once the budget allows. Outstanding attempts will add to the
        budget when they are answered; with none outstanding and no budget left, the
        pool is down rather than contended.
        """
        if self._link.is_joined:
            if self.budget.spend_after_refusal():
                self.submit(entry, deadline, now, is_retry=True)
            elif self._held_slots:
                self._awaiting_retry[entry.key] = (entry, deadline)
            else:
                return False
            return True
        if not self._held_slots and not self.budget.can_retry_refused():
            return False
        self._refused_once.add(entry.key)
        self.submit(entry, deadline, now, is_retry=True)
        return True

    def _resume_refused(self, now: float) -> None:
        """Queue the refused requests that the budget allows."""
        while self._awaiting_retry and self.budget.spend_after_refusal():
            entry, deadline = self._awaiting_retry.pop(next(iter(self._awaiting_retry)))
            self.submit(entry, deadline, now, is_retry=True)
        if not self._held_slots:
            for request in list(self._awaiting_retry):
                reason = verdict.Reason.RETRY_BUDGET
                self._refuse(request, reason, self._retry_after())

    def cancel(self, request: int) -> None:
        """Remove a request from the queue, here and at the owner."""
        self.waiting.remove(request)
        self._awaiting_retry.pop(request, None)
        self._refused_once.discard(request)
        self._deadlines.pop(request, None)
        self._link.cancel(request)

    def end_attempt(
        self, slot_id: int, outcome: peer.Outcome, seconds: float, now: float
    ) -> None:
        """Record the end of an attempt; its slot is reused or returned."""
        vm = self._held_slots.pop(slot_id).vm
        self.detector.record(vm, outcome, seconds, now)
        self._selector.record_end(vm, outcome, now)
        if self._link.is_joined:
            reused = self._reuse_slot(slot_id, vm, outcome, now)
            self._link.send_to_owner(
                peer.Return(self.pool, slot_id, outcome, seconds, reused)
            )
        else:
            self._send_by_local_counts(now)
        if self._awaiting_retry:
            self._resume_refused(now)

    def receive(self, daemon: str, message: peer.Message, now: float) -> None:
        """Handle a message of an owner."""
        if isinstance(message, peer.Welcome):
            self._handle_welcome(daemon, now)
            return
        if daemon != self._link.find_owner():
            if isinstance(message, peer.Grant):
                unused = peer.Return(self.pool, message.ask, peer.Outcome.UNUSED, 0.0)
                self._driver.send_message(daemon, unused)
            return
        self._link.record_contact(now)
        if isinstance(message, peer.Grant):
            self._handle_grant(message, now)
        elif isinstance(message, peer.Deny):
            request = self._link.find_request(message.ask)
            if request is not None:
                self._refuse(request, message.reason, message.retry_after)
        elif isinstance(message, peer.Pulse):
            self._link.hint.update(message, now)
        elif isinstance(message, peer.Leave):
            self._fail_over(now)

    def run_due(self, now: float, delay: float) -> None:
        """Run what is due; ``delay`` is the lateness after `next_time` in seconds.

        A long delay means that this daemon was itself paused, so it is not taken as
        the owner's silence.
        """
        for entry in self.waiting.remove_overdue(now):
            self._refuse(entry.key, verdict.Reason.DEADLINE, self._retry_after())
        if delay > link.OWNER_TIMEOUT_SECONDS:
            self._link.record_contact(now)
        if self._link.has_owner_timed_out(now):
            self._fail_over(now)
        self._link.probe(now)
        if not self._link.is_joined:
            self._send_by_local_counts(now)

    def next_time(self, now: float) -> float | None:
        """Return when to call `run_due`, in seconds."""
        times = self._link.list_timers(bool(len(self.waiting) or self._held_slots))
        overdue = self.waiting.find_next_overdue()
        if overdue is not None:
            times.append(overdue)
        if not self._link.is_joined and len(self.waiting):
            times.append(
                self._selector.next_time(now) or now + link.OWNER_TIMEOUT_SECONDS
            )
        return min(times, default=None)

    # Slots granted by the owner.

    def _fail_over(self, now: float) -> None:
        """Continue without an owner that timed out or left."""
        self._link.fail_over(now)
        self._send_by_local_counts(now)

    def _handle_welcome(self, daemon: str, now: float) -> None:
        """Request slots of this owner from now on, and report the held slots to it."""
        if not self._link.accept_welcome(daemon, now):
            return
        held = tuple(
            peer.Held(slot_id, slot.vm, max(0.0, slot.deadline - now))
            for slot_id, slot in self._held_slots.items()
        )
        self._link.send_to_owner(peer.Report(self.pool, held, False))
        for entry in self.waiting.list_entries():
            self._renew_ask(entry, now)

    def find_request(self, ask: int) -> int | None:
        """Return the request that a slot request is for, unless it was withdrawn."""
        return self._link.find_request(ask)

    def _renew_ask(self, entry: queue.Entry, now: float) -> None:
        self._link.request_slot(entry, self._deadlines[entry.key], now, True)

    def _handle_grant(self, grant: peer.Grant, now: float) -> None:
        """Use a granted slot at once.

        It is returned if its request no longer waits or its VM is draining here.
        """
        request = self._link.take_request(grant.ask)
        if request is None:
            unused = peer.Return(self.pool, grant.ask, peer.Outcome.UNUSED, 0.0)
            self._link.send_to_owner(unused)
            return
        if grant.vm not in self._selector:
            refused = peer.Return(self.pool, grant.ask, peer.Outcome.REFUSED, 0.0)
            self._link.send_to_owner(refused)
            entry = self.waiting.get(request)
            if entry is not None:
                self._renew_ask(entry, now)
            return
        self.waiting.start(request)
        self._start_attempt(request, grant.ask, grant.vm)

    def _reuse_slot(
        self, slot_id: int, vm: str, outcome: peer.Outcome, now: float
    ) -> int:
        """Send the next local request on a slot just freed.

        Returns the number of its slot request; 0 if the slot goes back to the owner.
        """
        if outcome is not peer.Outcome.OK or vm not in self._selector:
            return 0
        if not self._link.hint.is_fresh(now) or not self.detector.allows(vm, 0, now):
            return 0
        entry = self.waiting.peek(now)
        if entry is None or not self._link.hint.allows(entry):
            return 0
        ask = self._link.take_ask(entry.key)
        self.waiting.start(entry.key)
        self._start_attempt(entry.key, slot_id, vm)
        return ask

    # Sending by local counts.

    def _send_by_local_counts(self, now: float) -> None:
        """Send waiting requests while some worker may have a free slot.

        A refused request stays at the head of the queue until the budget allows its
        retry, and the others wait behind it. A full pool thus receives only as many
        sends as this daemon gets answers.
        """
        if self._link.is_joined:
            return
        while len(self.waiting):
            vm = self._selector.choose(now)
            entry = self.waiting.peek(now) if vm is not None else None
            if vm is None or entry is None:
                return
            if (
                entry.key in self._refused_once
                and not self.budget.spend_after_refusal()
            ):
                if self._held_slots:
                    return
                reason = verdict.Reason.RETRY_BUDGET
                self._refuse(entry.key, reason, self._retry_after())
                continue
            self.waiting.start(entry.key)
            self._start_attempt(entry.key, self._driver.allocate_number(), vm)

    def _can_start_in_time(self, entry: queue.Entry, now: float) -> bool:
        rate = self._estimate_start_rate()
        return not rate or self.waiting.can_start_in_time(entry, now, rate)

    def _estimate_start_rate(self) -> float:
        """Return this daemon's starts per second; 0 while unknown."""
        mean = self.detector.mean_seconds
        if not mean:
            return 0.0
        return (
            max(len(self._held_slots), self._selector.slots / self._member_count) / mean
        )

    def _retry_after(self) -> float:
        rate = self._estimate_start_rate()
        wait = len(self.waiting) / rate if rate else 0.0
        return queue.jitter_retry_after(wait, self._rng)

    def _start_attempt(self, request: int, slot_id: int, vm: str) -> None:
        self._refused_once.discard(request)
        self._held_slots[slot_id] = _HeldSlot(vm, self._deadlines.pop(request))
        self._selector.record_start(vm)
        self._driver.start_attempt(request, slot_id, vm)

    def _refuse(self, request: int, reason: verdict.Reason, retry_after: float) -> None:
        self.cancel(request)
        self._driver.refuse(request, reason, retry_after)
