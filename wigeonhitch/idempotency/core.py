"""Decide who may send a keyed request. No I/O, no clock.

Events go in by methods, `Core.step` gives the actions that are due, and
`Core.next_wake` the time of the next one. Times are seconds on the clock that
counts suspension.

Made for keyed requests that must run at most once while the store loses
answers, daemons die or pause at any point, and a caller repeats its key at any
daemon. The rule that carries it: a request is sent only by the attempt that
the record names, a record leaves ``CLAIMED`` only by that attempt, and it
becomes free again (``RELEASED``) only when that attempt knows that it never
sent and never will.
"""

import itertools
import random

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, decision, doubt, entry, health, record
from wigeonhitch.platform import table

__all__ = ["Core"]

SEND_WINDOW = 30.0
"""Seconds after its claim in which an attempt may send. A daemon that pauses
longer must not send, because its record may be gone by then; `sweep.RETENTION`
is 2880 times as long."""
WAIT_LIMIT = 2.0
"""Seconds that a repeat waits for the answer of the attempt under way, since
most answers come sooner; a longer wait would only hold callers."""
SETTLE_DELAY = 0.05
"""Seconds that a kept answer waits to share a table write with claims; longer
would widen the time in which a death loses the answer."""
SETTLE_LIMIT = 120.0
"""Seconds in which writing the end of an attempt is tried; afterwards the key
stays claimed, which is safe, and the memory is free."""
MAX_ENTRIES = 2000
"""Requests in hand at once: forty times what 50 slots could serve, and some
tens of megabytes at most with the largest kept bodies in rows."""
MAX_READ = 64
"""Rows looked at by one read."""


class Core:
    """All claims of one daemon.

    Parameters
    ----------
    daemon : str
        Name of the daemon, unique per start of its process: attempts are
        named after it.
    rng : random.Random
        Source of the spread of returns.
    limits : batch.Limits
        Limits of table writes.

    Attributes
    ----------
    counts : collections.Counter
        Outcomes by name.
    budget : budget.Budget
        How many table writes may go out.
    """

    def __init__(
        self,
        daemon: str,
        *,
        rng: random.Random,
        limits: batch.Limits = batch.DEFAULT_LIMITS,
    ) -> None:
        self._daemon = daemon
        self._tickets = itertools.count(1)
        self._entries: dict[int, entry.Entry] = {}
        self._queue = batch.Queue(limits)
        self.budget = self._queue.budget
        self._doubts = doubt.Doubts()
        self._decisions = decision.Decisions(rng)
        self._is_reading = False
        self._health = health.Health()
        self.counts = self._decisions.counts

    def acquire(self, row: str, fingerprint: str, now: float, deadline: float) -> int:
        """Ask to send a request; the decision comes under the ticket."""
        ticket = next(self._tickets)
        attempt = f"{self._daemon}/{ticket}"
        item = entry.Entry(ticket, row, fingerprint, attempt, deadline)
        self._entries[ticket] = item
        if len(self._entries) > MAX_ENTRIES:
            self._refuse(item, verdict.Reason.QUEUE_FULL)
        elif self.is_failing:
            self._refuse(item, verdict.Reason.STORE_UNAVAILABLE)
        else:
            self._claim(item, 0)
        return ticket

    def settle(
        self,
        ticket: int,
        state: record.State,
        now: float,
        answer: record.KeptAnswer | None = None,
        body_object: str = "",
    ) -> bool:
        """End a granted ticket once; false if it is not (any more) held.

        ``RELEASED`` is allowed only if no worker ran the request and none
        will; from here on `may_send` is false.
        """
        item = self._entries.get(ticket)
        if item is None or item.phase is not entry.Phase.HELD or item.held is None:
            return False
        item.held = item.held._replace(
            state=state, answer=answer, body_object=body_object
        )
        item.phase = entry.Phase.SETTLING
        item.settle_until = now + SETTLE_LIMIT
        ready = now if state is record.State.RELEASED else now + SETTLE_DELAY
        self._queue.add([item.build_settlement(ready)])
        return True

    def abandon(self, ticket: int, now: float) -> None:
        """Give up a ticket whose decision nobody will see."""
        item = self._entries.get(ticket)
        if item is None:
            return
        item.is_abandoned = True
        if item.phase is entry.Phase.HELD:
            self.settle(ticket, record.State.RELEASED, now)
        elif item.phase is entry.Phase.WAITING or self._queue.withdraw(ticket):
            del self._entries[ticket]

    def on_commit(self, number: int, result: table.CommitResult, now: float) -> None:
        """Take the result of a `batch.Commit`."""
        writes = self._queue.finish(number)
        if result.outcome is table.Outcome.DONE:
            self._health.on_answer(result.time, now)
            for write in writes:
                self._on_written(write, result.revision, now)
        elif result.outcome is table.Outcome.NOT_DONE and result.conflicts:
            self._health.on_answer(result.time, now)
            rows = {row.key: row for row in result.conflicts}
            self._queue.put_back(w for w in writes if w.row not in rows)
            for write in writes:
                if write.row in rows:
                    self._on_conflict(write, rows[write.row], now)
        else:
            for write in writes:
                self._on_unwritten(write, result.outcome, now)
            self._on_failure(now)

    def on_read(self, result: table.ReadResult, now: float) -> None:
        """Take the result of a `decision.Read`."""
        self._is_reading = False
        if result.outcome is not table.Outcome.DONE:
            self._on_failure(now)
            return
        self._health.on_answer(result.time, now)
        rows = {row.key: row for row in result.rows}
        for item in list(self._entries.values()):
            if item.phase is entry.Phase.WAITING and item.row in rows:
                self._judge(item, rows[item.row], now)
        self._queue.add(self._doubts.on_read(rows, now))

    def step(self, now: float) -> list[decision.Action]:
        """Return the actions that are due."""
        actions: list[decision.Action] = []
        self._expire(now)
        if not self._is_reading and now >= self._health.blocked_until:
            keys = self._pick_reads(now)
            if keys or self._health.needs_probe:
                self._is_reading = True
                actions.append(decision.Read(keys))
        while not self._health.needs_probe and (commit := self._take(now)) is not None:
            actions.append(commit)
        return [*self._decisions.take(), *actions]

    def next_wake(self, now: float) -> float | None:
        """Return when `step` next has something to do without an event."""
        if self._decisions:
            return now
        times = []
        for item in self._entries.values():
            if item.phase is entry.Phase.QUEUED and not item.is_abandoned:
                times.append(item.deadline)
            elif item.phase is entry.Phase.WAITING:
                times.append(item.wait_until)
        if not self._is_reading:
            times.extend(self._find_read_times())
        queued = self._queue.next_wake(now)
        if queued is not None and not self._health.needs_probe:
            times.append(queued)
        return max(now, min(times)) if times else None

    @property
    def is_failing(self) -> bool:
        """Whether the store failed last time; claims are refused meanwhile."""
        return self._health.is_failing

    @property
    def has_ended(self) -> bool:
        """Whether no record waits to be written."""
        return not self._doubts and not any(
            item.phase is entry.Phase.SETTLING for item in self._entries.values()
        )

    def _find_read_times(self) -> list[float]:
        times = [
            max(item.poll_at, self._health.blocked_until)
            for item in self._entries.values()
            if item.phase is entry.Phase.WAITING
        ]
        doubtful = self._doubts.next_wake()
        if doubtful is not None:
            times.append(max(doubtful, self._health.blocked_until))
        if self._health.needs_probe:
            times.append(self._health.blocked_until)
        return times

    def _take(self, now: float) -> batch.Commit | None:
        commit = self._queue.take(now, self._health.estimate_time(now))
        if commit is not None:
            for write in self._queue.find(commit.batch):
                if write.is_claim:
                    self._entries[write.ticket].submitted = now
            self.counts["table writes"] += 1
            self.counts["records written"] += len(commit.writes)
        return commit

    def _claim(self, item: entry.Entry, version: int) -> None:
        item.phase = entry.Phase.QUEUED
        item.version = version
        self._queue.add([item.build_claim(self._daemon)])

    def _on_written(self, write: batch.Write, revision: int, now: float) -> None:
        if write.ticket in self._doubts:
            self._doubts.on_written(write.ticket)
            self.counts["doubts resolved"] += 1
            return
        item = self._entries[write.ticket]
        if write.is_claim:
            self._hold(item, write.record, revision, now)
        else:
            del self._entries[item.ticket]
            self.counts[f"kept {write.record.state.value}"] += 1

    def _hold(
        self, item: entry.Entry, claimed: record.Record, version: int, now: float
    ) -> None:
        item.phase = entry.Phase.HELD
        item.version = version
        item.held = claimed
        if item.is_abandoned:
            self.settle(item.ticket, record.State.RELEASED, now)
        elif now >= min(item.deadline, item.submitted + SEND_WINDOW):
            self._decisions.refuse(item.ticket, verdict.Reason.DEADLINE)
            self.settle(item.ticket, record.State.RELEASED, now)
        else:
            self._decisions.grant(item.ticket, item.submitted + SEND_WINDOW)

    def _on_conflict(self, write: batch.Write, row: table.Row, now: float) -> None:
        if write.ticket in self._doubts:
            self._doubts.on_unwritten(write.ticket, now)
            return
        item = self._entries[write.ticket]
        if write.is_claim:
            self._judge(item, row, now, write.record)
            return
        del self._entries[item.ticket]
        kept = record.decode(row.value) if row.value is not None else None
        if kept is None or kept[:3] != write.record[:3]:
            self.counts["overtaken"] += 1

    def _on_unwritten(
        self, write: batch.Write, outcome: table.Outcome, now: float
    ) -> None:
        if write.ticket in self._doubts:
            self._doubts.on_unwritten(write.ticket, now)
            return
        item = self._entries[write.ticket]
        if write.is_claim:
            if outcome is table.Outcome.UNKNOWN:
                self._doubts.add(write, now)
                self.counts["claims in doubt"] += 1
            self._refuse(item, verdict.Reason.STORE_UNAVAILABLE)
        elif now < item.settle_until:
            self._queue.add([item.build_settlement(now + health.FAILURE_PAUSE)])
        else:
            del self._entries[item.ticket]
            self.counts["given up"] += 1

    def _on_failure(self, now: float) -> None:
        """Refuse what waits: the store may be away for long."""
        self._health.on_failure(now)
        for write in self._queue.withdraw_claims():
            item = self._entries[write.ticket]
            self._refuse(item, verdict.Reason.STORE_UNAVAILABLE)

    def _judge(
        self,
        item: entry.Entry,
        row: table.Row,
        now: float,
        claimed: record.Record | None = None,
    ) -> None:
        """Decide by the row that stands where this attempt wants to claim."""
        found = record.decode(row.value) if row.value is not None else None
        is_given_up = found is not None and self._doubts.holds(found.attempt)
        seen = decision.judge(found, item.attempt, item.fingerprint, is_given_up)
        if seen is decision.Judgement.OWN and found is not None:
            self._hold(item, claimed or found, row.version, now)
        elif item.is_abandoned:
            del self._entries[item.ticket]
        elif seen is decision.Judgement.FREE:
            self._claim(item, row.version)
        elif seen is decision.Judgement.REUSED:
            self._refuse(item, verdict.Reason.KEY_REUSED)
        elif seen is decision.Judgement.ANSWERED and found is not None:
            self._decisions.replay(item.ticket, found)
            del self._entries[item.ticket]
        elif seen is decision.Judgement.DOUBTFUL:
            self._decisions.tell_claimed(item.ticket)
            del self._entries[item.ticket]
        elif item.phase is not entry.Phase.WAITING:
            item.wait(now, min(item.deadline, now + WAIT_LIMIT))

    def _pick_reads(self, now: float) -> tuple[str, ...]:
        rows = self._doubts.pick(now, MAX_READ)
        for item in self._entries.values():
            if len(rows) >= MAX_READ:
                break
            if item.phase is entry.Phase.WAITING and now >= item.poll_at:
                item.postpone(now)
                rows.append(item.row)
        return tuple(dict.fromkeys(rows))

    def _expire(self, now: float) -> None:
        for item in list(self._entries.values()):
            if item.phase is entry.Phase.WAITING and now >= item.wait_until:
                self._decisions.tell_claimed(item.ticket)
                del self._entries[item.ticket]
            elif item.phase is not entry.Phase.QUEUED or now < item.deadline:
                continue
            elif self._queue.withdraw(item.ticket):
                self._refuse(item, verdict.Reason.DEADLINE)
            elif not item.is_abandoned:
                self._decisions.refuse(item.ticket, verdict.Reason.DEADLINE)
                item.is_abandoned = True

    def _refuse(self, item: entry.Entry, reason: verdict.Reason) -> None:
        if not item.is_abandoned:
            self._decisions.refuse(item.ticket, reason)
        del self._entries[item.ticket]
