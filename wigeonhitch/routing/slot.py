"""Counting the slots of one pool for all daemons: the owner's side.

Made for a pool at 70% to 100% of its slots with nine daemons sending. A daemon
that knows only its own requests sends to full workers while others have room;
one queue that sees every slot does not. Counts are allowed to be wrong (two
owners while views differ, daemons that send on their own): a full worker
refuses, which costs a message and never a wrong verdict.
"""

import random
from collections.abc import Iterable, Mapping

from wigeonhitch import verdict
from wigeonhitch.routing import event, evidence, peer, queue, timer

__all__ = ["PULSE", "Owner"]

# Seconds that a new owner waits for the reports of the other daemons before
# it grants; they go on by their own counts meanwhile. Many times a message's
# way (1 to 1.5 ms), short against the time in which urgent work must start.
REBUILD = 0.05

# Seconds between signs of life to daemons with waiting asks. They also say
# who is next, which the reuse of slots relies on.
PULSE = 0.025

# Seconds past the deadline of its request after which a slot that was not
# returned counts as free: its daemon is lost.
HOLD_MARGIN = 1.0

# Seconds past its latest start that an ask is kept: the asking daemon answers
# the caller itself at the latest start, and normally cancels.
ASK_MARGIN = 0.25

# Seconds for which a refusal counts as a slot in use by someone unknown, if
# the mean time of a request is not known yet.
FOREIGN = 0.05

Messages = list[tuple[str, peer.Message]]


class _Slots:
    """Slots of one worker."""

    __slots__ = ("foreign", "slots", "usable", "used")

    def __init__(self) -> None:
        self.slots = 0
        self.used = 0
        self.usable = False
        self.foreign: list[float] = []

    def count_free(self, now: float) -> int:
        """Return the free slots; below 0 if counts of daemons overlap."""
        while self.foreign and self.foreign[0] <= now:
            self.foreign.pop(0)
        return self.slots - self.used - len(self.foreign)


class Owner:
    """Slots and the one queue of a pool.

    Parameters
    ----------
    pool : str
    now : float
        Seconds; the beginning of the rebuilding of counts.
    members : iterable of str
        Daemons whose reports end the rebuilding early.
    rng : random.Random
        Seeded; spreads the times to come back.
    """

    def __init__(
        self, pool: str, now: float, members: Iterable[str], rng: random.Random
    ) -> None:
        self.pool = pool
        self._rng = rng
        self._evidence = evidence.Evidence(rng)
        self._queue = queue.Queue()
        self._workers: dict[str, _Slots] = {}
        self._held: dict[tuple[str, int], str] = {}
        self._ends = timer.Timers()
        self._lasts: dict[tuple[str, int], float] = {}
        self._reported: set[str] = set()
        self._welcome: list[str] = []
        self._expected = set(members)
        self._ready_at = now + REBUILD
        self._pulse_at = now

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams."""
        self._queue.set_weights(weights)

    def set_workers(self, workers: Iterable[event.Worker], now: float) -> Messages:
        """Set the workers of the pool; grants what became possible."""
        for slots in self._workers.values():
            slots.usable = False
        for worker in workers:
            slots = self._workers.setdefault(worker.vm, _Slots())
            slots.slots = worker.slots
            slots.usable = worker.usable
        for vm in [vm for vm, slots in self._workers.items() if not slots.usable]:
            if not self._workers[vm].used:
                del self._workers[vm]
        self._evidence.set_workers(self._workers)
        return self._grant(now)

    def set_members(self, members: frozenset[str], now: float) -> Messages:
        """Forget daemons that are gone; their slots count as free."""
        self._expected &= members
        for daemon in self._reported - members:
            self._forget(daemon)
        self._reported &= members
        return self._grant(now)

    def receive(self, daemon: str, message: peer.Message, now: float) -> Messages:
        """Handle a message of a daemon; returns messages to daemons."""
        if isinstance(message, peer.Report):
            return self._take_report(daemon, message, now)
        if daemon not in self._reported:
            return [(daemon, peer.Leave(self.pool))]
        if isinstance(message, peer.Ask):
            return self._take_ask(daemon, message, now)
        if isinstance(message, peer.Return):
            return self._take_return(daemon, message, now)
        if isinstance(message, peer.Cancel):
            self._drop((daemon, message.ask))
        return []

    def wake(self, now: float) -> Messages:
        """Do what is due; call at `next_time`."""
        out: Messages = []
        if self._welcome and now >= self._ready_at:
            out += self._welcome_all()
        for key in self._ends.take_due(now):
            self._release(key)
        for slots in self._workers.values():
            slots.count_free(now)
        for entry in self._queue.overdue(now - ASK_MARGIN):
            self._lasts.pop(entry.key, None)
        out += self._grant(now)
        if len(self._queue) and now >= self._pulse_at:
            self._pulse_at = now + PULSE
            out += self._pulse(now)
        return out

    def next_time(self) -> float | None:
        """Return when to call `wake`, in seconds."""
        times = []
        if self._welcome:
            times.append(self._ready_at)
        if len(self._queue):
            times.append(self._pulse_at)
            times += [s.foreign[0] for s in self._workers.values() if s.foreign]
        end = self._ends.next()
        if end is not None:
            times.append(end)
        return min(times, default=None)

    def leave(self) -> Messages:
        """Tell all daemons that this owner stops counting."""
        return [(daemon, peer.Leave(self.pool)) for daemon in sorted(self._reported)]

    def _take_report(self, daemon: str, report: peer.Report, now: float) -> Messages:
        self._forget(daemon)
        self._reported.add(daemon)
        self._expected.discard(daemon)
        for held in report.held:
            self._hold((daemon, held.ask), held.vm, now + held.lasts)
        if not report.join:
            return self._grant(now)
        self._welcome.append(daemon)
        if now >= self._ready_at or not self._expected:
            return self._welcome_all()
        return []

    def _welcome_all(self) -> Messages:
        out: Messages = [(daemon, peer.Welcome(self.pool)) for daemon in self._welcome]
        self._welcome = []
        self._expected = set()
        return out

    def _take_ask(self, daemon: str, ask: peer.Ask, now: float) -> Messages:
        """Queue an ask, or refuse at once what cannot start in time.

        With room in the pool nothing is refused: the first requests after an
        outage must pass, or the estimate would never be corrected.
        """
        key = (daemon, ask.ask)
        entry = queue.Entry(key, ask.rank, ask.team, now - ask.age, now + ask.left)
        rate = self._estimate_rate()
        waits = len(self._queue) > 0 and rate > 0.0
        if waits and not ask.again and not self._queue.can_meet(entry, now, rate):
            wait = self._queue.estimate_wait(ask.rank, ask.team, rate)
            retry = queue.spread_return(wait, self._rng)
            reason = verdict.Reason.QUEUE_FULL
            return [(daemon, peer.Deny(self.pool, ask.ask, reason, retry))]
        if not len(self._queue):
            self._pulse_at = now + PULSE
        self._queue.push(entry, front=ask.again)
        self._lasts[key] = now + ask.lasts
        return self._grant(now)

    def _take_return(self, daemon: str, message: peer.Return, now: float) -> Messages:
        key = (daemon, message.ask)
        vm = self._held.get(key)
        if vm is None:
            self._drop((daemon, message.reused))
            return []
        if message.reused:
            waiting = (daemon, message.reused)
            self._queue.start(waiting)
            self._ends.set(key, self._lasts.pop(waiting, now) + HOLD_MARGIN)
        else:
            self._release(key)
        self._learn(vm, message, now)
        return self._grant(now)

    def _learn(self, vm: str, message: peer.Return, now: float) -> None:
        """Take evidence from a return.

        A refusal means that someone unknown holds a slot, for about the time
        of a request; by a worker of which no slot is in use it is a failure.
        """
        outcome = message.outcome
        slots = self._workers.get(vm)
        if slots is not None and outcome is peer.Outcome.REFUSED:
            if slots.used:
                slots.foreign.append(now + (self._evidence.mean or FOREIGN))
                slots.foreign.sort()
            else:
                outcome = peer.Outcome.FAILED
        self._evidence.record(vm, outcome, message.seconds, now)

    def _grant(self, now: float) -> Messages:
        """Grant free slots to those who are next."""
        out: Messages = []
        while len(self._queue):
            vm = self._pick(now)
            if vm is None:
                break
            entry = self._queue.take(now)
            if entry is None:
                break
            daemon, ask = entry.key
            self._hold(entry.key, vm, self._lasts.pop(entry.key, now))
            out.append((daemon, peer.Grant(self.pool, ask, vm)))
        return out

    def _pick(self, now: float) -> str | None:
        """Return the free worker of least weight: fast and with most room."""
        best = None
        lowest = 0.0
        for vm, slots in self._workers.items():
            if not slots.usable or slots.used >= slots.slots:
                continue
            if slots.foreign and slots.count_free(now) <= 0:
                continue
            if not self._evidence.allows(vm, slots.used, now):
                continue
            weight = self._evidence.weigh(vm, slots.used, slots.slots)
            if best is None or weight < lowest:
                best, lowest = vm, weight
        return best

    def _estimate_rate(self) -> float:
        """Return starts per second of the pool; 0 while unknown."""
        mean = self._evidence.mean
        if not mean:
            return 0.0
        return sum(s.slots for s in self._workers.values() if s.usable) / mean

    def _pulse(self, now: float) -> Messages:
        heads = tuple(
            peer.Head(head.rank, head.team, now - head.since)
            for head in self._queue.heads()
        )
        pulse = peer.Pulse(self.pool, heads)
        daemons = {entry.key[0] for entry in self._queue.entries()}
        return [(daemon, pulse) for daemon in sorted(daemons)]

    def _hold(self, key: tuple[str, int], vm: str, ends: float) -> None:
        self._held[key] = vm
        self._ends.set(key, ends + HOLD_MARGIN)
        self._workers.setdefault(vm, _Slots()).used += 1

    def _release(self, key: tuple[str, int]) -> None:
        vm = self._held.pop(key, None)
        self._ends.discard(key)
        if vm is not None:
            self._workers[vm].used -= 1

    def _drop(self, key: tuple[str, int]) -> None:
        self._queue.remove(key)
        self._lasts.pop(key, None)

    def _forget(self, daemon: str) -> None:
        """Forget what a daemon holds and asks for."""
        for key in [key for key in self._held if key[0] == daemon]:
            self._release(key)
        for entry in self._queue.entries():
            if entry.key[0] == daemon:
                self._drop(entry.key)
