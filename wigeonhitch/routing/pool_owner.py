"""Assignment of one pool's slots for all daemons: the owner's side.

Designed for a pool with 70% to 100% of its slots in use and nine daemons sending.
A daemon that knows only its own requests sends to full workers while others have
free slots; a common queue that sees every slot does not. The counts may be wrong
(two owners while membership views differ, daemons that send by local counts): a
full worker then refuses, which costs a message but never yields a wrong verdict.
"""

import random
from collections.abc import Iterable, Mapping

from wigeonhitch import verdict
from wigeonhitch.routing import event, outlier, peer, queue, timer

__all__ = ["PULSE_INTERVAL_SECONDS", "PoolOwner"]

# Time that a new owner waits for the reports of the other daemons before it grants
# slots; meanwhile they send by local counts. It is many times a message delay (1 to
# 1.5 ms), yet short against the time in which urgent work must start.
REBUILD_SECONDS = 0.05

# Interval of heartbeats to daemons with waiting slot requests. They also carry the
# next request per class, which the reuse of slots relies on.
PULSE_INTERVAL_SECONDS = 0.025

# Time after the deadline of its request at which a slot that was not returned
# counts as free, because its daemon is lost.
HOLD_MARGIN_SECONDS = 1.0

# Time after its latest start for which a slot request is kept. The requesting
# daemon answers the caller itself at the latest start, and normally cancels.
ASK_MARGIN_SECONDS = 0.25

# Time for which a refusal counts as a slot used by an unknown sender, while the
# mean time of a request is not known.
DEFAULT_UNATTRIBUTED_SECONDS = 0.05

Messages = list[tuple[str, peer.Message]]


class _WorkerSlots:
    """Slots of one worker; ``unattributed`` holds the expiries of unknown uses."""

    __slots__ = ("unattributed", "slots", "usable", "used")

    def __init__(self) -> None:
        self.slots = 0
        self.used = 0
        self.usable = False
        self.unattributed: list[float] = []

    def count_free(self, now: float) -> int:
        """Return the free slots; below 0 if the counts of daemons overlap."""
        while self.unattributed and self.unattributed[0] <= now:
            self.unattributed.pop(0)
        return self.slots - self.used - len(self.unattributed)


class PoolOwner:
    """Slots and the common queue of a pool.

    Parameters
    ----------
    pool : str
    now : float
        Seconds; start of the rebuilding of counts.
    members : iterable of str
        Daemons; once all have reported, the rebuilding ends early.
    rng : random.Random
        Seeded; spreads the retry times.
    """

    def __init__(
        self, pool: str, now: float, members: Iterable[str], rng: random.Random
    ) -> None:
        self.pool = pool
        self._rng = rng
        self._detector = outlier.OutlierDetector(rng)
        self._queue = queue.Queue()
        self._workers: dict[str, _WorkerSlots] = {}
        self._held: dict[tuple[str, int], str] = {}
        self._hold_expiries = timer.Timers()
        self._request_deadlines: dict[tuple[str, int], float] = {}
        self._reported: set[str] = set()
        self._joining: list[str] = []
        self._unreported = set(members)
        self._ready_at = now + REBUILD_SECONDS
        self._next_pulse_at = now

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams."""
        self._queue.set_weights(weights)

    def set_workers(self, workers: Iterable[event.Worker], now: float) -> Messages:
        """Set the workers of the pool; return the grants that this allows."""
        for slots in self._workers.values():
            slots.usable = False
        for worker in workers:
            slots = self._workers.setdefault(worker.vm, _WorkerSlots())
            slots.slots = worker.slots
            slots.usable = worker.usable
        for vm in [vm for vm, slots in self._workers.items() if not slots.usable]:
            if not self._workers[vm].used:
                del self._workers[vm]
        self._detector.set_workers(self._workers)
        return self._grant(now)

    def set_members(self, members: frozenset[str], now: float) -> Messages:
        """Remove daemons that are gone; their slots count as free."""
        self._unreported &= members
        for daemon in self._reported - members:
            self._remove_daemon(daemon)
        self._reported &= members
        return self._grant(now)

    def receive(self, daemon: str, message: peer.Message, now: float) -> Messages:
        """Handle a message of a daemon; return messages to daemons."""
        if isinstance(message, peer.Report):
            return self._handle_report(daemon, message, now)
        if daemon not in self._reported:
            return [(daemon, peer.Leave(self.pool))]
        if isinstance(message, peer.Ask):
            return self._handle_ask(daemon, message, now)
        if isinstance(message, peer.Return):
            return self._handle_return(daemon, message, now)
        if isinstance(message, peer.Cancel):
            self._drop_ask((daemon, message.ask))
        return []

    def run_due(self, now: float) -> Messages:
        """Run what is due; call at `next_time`."""
        messages: Messages = []
        if self._joining and now >= self._ready_at:
            messages += self._welcome_all()
        for key in self._hold_expiries.take_due(now):
            self._release(key)
        for slots in self._workers.values():
            slots.count_free(now)
        for entry in self._queue.remove_overdue(now - ASK_MARGIN_SECONDS):
            self._request_deadlines.pop(entry.key, None)
        messages += self._grant(now)
        if len(self._queue) and now >= self._next_pulse_at:
            self._next_pulse_at = now + PULSE_INTERVAL_SECONDS
            messages += self._build_pulses(now)
        return messages

    def next_time(self) -> float | None:
        """Return when to call `run_due`, in seconds."""
        times = []
        if self._joining:
            times.append(self._ready_at)
        if len(self._queue):
            times.append(self._next_pulse_at)
            times += [
                slots.unattributed[0]
                for slots in self._workers.values()
                if slots.unattributed
            ]
        end = self._hold_expiries.next()
        if end is not None:
            times.append(end)
        return min(times, default=None)

    def leave(self) -> Messages:
        """Tell all daemons that this owner stops counting slots."""
        return [(daemon, peer.Leave(self.pool)) for daemon in sorted(self._reported)]

    def _handle_report(self, daemon: str, report: peer.Report, now: float) -> Messages:
        self._remove_daemon(daemon)
        self._reported.add(daemon)
        self._unreported.discard(daemon)
        for held in report.held:
            self._hold((daemon, held.ask), held.vm, now + held.lasts)
        if not report.join:
            return self._grant(now)
        self._joining.append(daemon)
        if now >= self._ready_at or not self._unreported:
            return self._welcome_all()
        return []

    def _welcome_all(self) -> Messages:
        messages: Messages = [
            (daemon, peer.Welcome(self.pool)) for daemon in self._joining
        ]
        self._joining = []
        self._unreported = set()
        return messages

    def _handle_ask(self, daemon: str, ask: peer.Ask, now: float) -> Messages:
        """Queue a slot request, or refuse at once what cannot start in time.

        Nothing is refused while the queue is empty: the first requests after an
        outage must pass, or the estimate would never be corrected.
        """
        key = (daemon, ask.ask)
        entry = queue.Entry(key, ask.rank, ask.team, now - ask.age, now + ask.left)
        rate = self._estimate_rate()
        waits = len(self._queue) > 0 and rate > 0.0
        if (
            waits
            and not ask.again
            and not self._queue.can_start_in_time(entry, now, rate)
        ):
            wait = self._queue.estimate_wait(ask.rank, ask.team, rate)
            retry_after = queue.jitter_retry_after(wait, self._rng)
            reason = verdict.Reason.QUEUE_FULL
            return [(daemon, peer.Deny(self.pool, ask.ask, reason, retry_after))]
        if not len(self._queue):
            self._next_pulse_at = now + PULSE_INTERVAL_SECONDS
        self._queue.push(entry, front=ask.again)
        self._request_deadlines[key] = now + ask.lasts
        return self._grant(now)

    def _handle_return(self, daemon: str, message: peer.Return, now: float) -> Messages:
        key = (daemon, message.ask)
        vm = self._held.get(key)
        if vm is None:
            self._drop_ask((daemon, message.reused))
            return []
        if message.reused:
            waiting = (daemon, message.reused)
            self._queue.start(waiting)
            self._hold_expiries.set(
                key, self._request_deadlines.pop(waiting, now) + HOLD_MARGIN_SECONDS
            )
        else:
            self._release(key)
        self._record_outcome(vm, message, now)
        return self._grant(now)

    def _record_outcome(self, vm: str, message: peer.Return, now: float) -> None:
        """Record how the use of a returned slot ended.

        A refusal means that an unknown sender holds a slot, for about the duration of
        a request. If no slot of the worker is in use, it counts as a failure.
        """
        outcome = message.outcome
        slots = self._workers.get(vm)
        if slots is not None and outcome is peer.Outcome.REFUSED:
            if slots.used:
                slots.unattributed.append(
                    now + (self._detector.mean_seconds or DEFAULT_UNATTRIBUTED_SECONDS)
                )
                slots.unattributed.sort()
            else:
                outcome = peer.Outcome.FAILED
        self._detector.record(vm, outcome, message.seconds, now)

    def _grant(self, now: float) -> Messages:
        """Grant free slots to the next slot requests."""
        messages: Messages = []
        while len(self._queue):
            vm = self._select_worker(now)
            if vm is None:
                break
            entry = self._queue.take(now)
            if entry is None:
                break
            daemon, ask = entry.key
            self._hold(entry.key, vm, self._request_deadlines.pop(entry.key, now))
            messages.append((daemon, peer.Grant(self.pool, ask, vm)))
        return messages

    def _select_worker(self, now: float) -> str | None:
        """Return the available worker with the lowest score: fast and least loaded."""
        best = None
        lowest_score = 0.0
        for vm, slots in self._workers.items():
            if not slots.usable or slots.used >= slots.slots:
                continue
            if slots.unattributed and slots.count_free(now) <= 0:
                continue
            if not self._detector.allows(vm, slots.used, now):
                continue
            score = self._detector.compute_score(vm, slots.used, slots.slots)
            if best is None or score < lowest_score:
                best, lowest_score = vm, score
        return best

    def _estimate_rate(self) -> float:
        """Return starts per second of the pool; 0 while unknown."""
        mean = self._detector.mean_seconds
        if not mean:
            return 0.0
        return (
            sum(slots.slots for slots in self._workers.values() if slots.usable) / mean
        )

    def _build_pulses(self, now: float) -> Messages:
        heads = tuple(
            peer.Head(head.rank, head.team, now - head.arrived_at)
            for head in self._queue.list_heads()
        )
        pulse = peer.Pulse(self.pool, heads)
        daemons = {entry.key[0] for entry in self._queue.list_entries()}
        return [(daemon, pulse) for daemon in sorted(daemons)]

    def _hold(self, key: tuple[str, int], vm: str, deadline: float) -> None:
        self._held[key] = vm
        self._hold_expiries.set(key, deadline + HOLD_MARGIN_SECONDS)
        self._workers.setdefault(vm, _WorkerSlots()).used += 1

    def _release(self, key: tuple[str, int]) -> None:
        vm = self._held.pop(key, None)
        self._hold_expiries.discard(key)
        if vm is not None:
            self._workers[vm].used -= 1

    def _drop_ask(self, key: tuple[str, int]) -> None:
        self._queue.remove(key)
        self._request_deadlines.pop(key, None)

    def _remove_daemon(self, daemon: str) -> None:
        """Release the slots of a daemon and drop its slot requests."""
        for key in [key for key in self._held if key[0] == daemon]:
            self._release(key)
        for entry in self._queue.list_entries():
            if entry.key[0] == daemon:
                self._drop_ask(entry.key)
