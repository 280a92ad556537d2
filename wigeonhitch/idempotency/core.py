"""State machine that decides who may send a keyed request. No I/O, no clock.

Events are passed to methods, `Core.step` returns the actions that are due, and
`Core.next_wake` the time of the next one. Times are seconds on the clock that
includes time in suspension.

A keyed request runs at most once even if the store loses answers, daemons die or
pause at any point, and a caller repeats its key at any daemon. This holds because a
request is sent only by the attempt that the record names, only that attempt moves
the record out of ``CLAIMED``, and it sets ``RELEASED``, which permits a new claim,
only if it has not sent the request and never will.
"""

import itertools
import random

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, decision, entry, health, in_doubt, record
from wigeonhitch.platform import table

__all__ = ["Core"]

SEND_WINDOW_SECONDS = 30.0
"""Seconds after its claim in which an attempt may send. A daemon that was paused for
longer must not send, because its record may have been deleted since;
`sweep.RETENTION_SECONDS` is 2880 times as long."""
MAX_WAIT_SECONDS = 2.0
"""Maximum seconds that a repeated request waits for the answer of the attempt in
progress. Most answers arrive sooner, and a longer wait would only delay callers."""
SETTLE_DELAY_SECONDS = 0.05
"""Seconds that a kept answer waits to share a table write with claims. A longer delay
would extend the time in which a crash of the daemon loses the answer."""
SETTLE_TIMEOUT_SECONDS = 120.0
"""Seconds in which the write of an attempt's final state is retried. Afterwards the
entry is dropped to free its memory, and the key stays claimed, which is safe."""
MAX_ENTRIES = 2000
"""Maximum number of open requests: forty times what 50 slots can serve, and at most
some tens of megabytes with the largest bodies kept in rows."""
MAX_ROWS_PER_READ = 64
"""Maximum rows of one read."""


class Core:
    """All claims of one daemon.

    Parameters
    ----------
    daemon : str
        Name of the daemon, unique per start of its process, since names of
        attempts are derived from it.
    rng : random.Random
        Random source of retry delays.
    limits : batch.Limits
        Limits of table writes.

    Attributes
    ----------
    counts : collections.Counter
        Counters of outcomes by name.
    budget : budget.Budget
        Rate limit of table writes.
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
        self._in_doubt = in_doubt.InDoubtClaims()
        self._decisions = decision.DecisionQueue(rng)
        self._is_reading = False
        self._health = health.Health()
        self.counts = self._decisions.counts

    def acquire(self, row: str, fingerprint: str, now: float, deadline: float) -> int:
        """Request a claim and return its ticket, under which `step` gives the decision.

        Parameters
        ----------
        row : str
            Row key of the record.
        fingerprint : str
            Hash of the request.
        now, deadline : float
            Seconds on the clock that includes time in suspension.
        """
        ticket = next(self._tickets)
        attempt = f"{self._daemon}/{ticket}"
        item = entry.Entry(ticket, row, fingerprint, attempt, deadline)
        self._entries[ticket] = item
        if len(self._entries) > MAX_ENTRIES:
            self._refuse(item, verdict.Reason.QUEUE_FULL)
        elif self.is_failing:
            self._refuse(item, verdict.Reason.STORE_UNAVAILABLE)
        else:
            self._queue_claim(item, 0)
        return ticket

    def settle(
        self,
        ticket: int,
        state: record.State,
        now: float,
        answer: record.KeptAnswer | None = None,
        body_object: str = "",
    ) -> bool:
        """Settle a granted claim; return false if it is not held.

        ``RELEASED`` is allowed only if no worker has run the request and none will.
        The request must not be sent after this call.
        """
        item = self._entries.get(ticket)
        if (
            item is None
            or item.phase is not entry.Phase.HELD
            or item.held_record is None
        ):
            return False
        item.held_record = item.held_record._replace(
            state=state, answer=answer, body_object=body_object
        )
        item.phase = entry.Phase.SETTLING
        item.settle_deadline = now + SETTLE_TIMEOUT_SECONDS
        ready_at = now if state is record.State.RELEASED else now + SETTLE_DELAY_SECONDS
        self._queue.add([item.build_settlement(ready_at)])
        return True

    def abandon(self, ticket: int, now: float) -> None:
        """Abandon a ticket whose caller no longer waits for the decision."""
        item = self._entries.get(ticket)
        if item is None:
            return
        item.is_abandoned = True
        if item.phase is entry.Phase.HELD:
            self.settle(ticket, record.State.RELEASED, now)
        elif item.phase is entry.Phase.WAITING or self._queue.withdraw(ticket):
            del self._entries[ticket]

    def on_commit(self, number: int, result: table.CommitResult, now: float) -> None:
        """Process the result of a `batch.Commit`."""
        writes = self._queue.finish(number)
        if result.outcome is table.Outcome.DONE:
            self._health.on_answer(result.time, now)
            for write in writes:
                self._on_write_done(write, result.revision, now)
        elif result.outcome is table.Outcome.NOT_DONE and result.conflicts:
            self._health.on_answer(result.time, now)
            rows = {row.key: row for row in result.conflicts}
            self._queue.requeue(w for w in writes if w.row not in rows)
            for write in writes:
                if write.row in rows:
                    self._on_conflict(write, rows[write.row], now)
        else:
            for write in writes:
                self._on_write_failed(write, result.outcome, now)
            self._on_failure(now)

    def on_read(self, result: table.ReadResult, now: float) -> None:
        """Process the result of a `decision.Read`."""
        self._is_reading = False
        if result.outcome is not table.Outcome.DONE:
            self._on_failure(now)
            return
        self._health.on_answer(result.time, now)
        rows = {row.key: row for row in result.rows}
        for item in list(self._entries.values()):
            if item.phase is entry.Phase.WAITING and item.row in rows:
                self._decide_by_row(item, rows[item.row], now)
        self._queue.add(self._in_doubt.on_read(rows, now))

    def step(self, now: float) -> list[decision.Action]:
        """Return the actions that are due."""
        actions: list[decision.Action] = []
        self._expire(now)
        if not self._is_reading and now >= self._health.blocked_until:
            keys = self._collect_due_rows(now)
            if keys or self._health.needs_probe:
                self._is_reading = True
                actions.append(decision.Read(keys))
        while (
            not self._health.needs_probe
            and (commit := self._take_commit(now)) is not None
        ):
            actions.append(commit)
        return [*self._decisions.take_all(), *actions]

    def next_wake(self, now: float) -> float | None:
        """Return when `step` must be called next if no event arrives before."""
        if self._decisions:
            return now
        times = []
        for item in self._entries.values():
            if item.phase is entry.Phase.QUEUED and not item.is_abandoned:
                times.append(item.deadline)
            elif item.phase is entry.Phase.WAITING:
                times.append(item.wait_deadline)
        if not self._is_reading:
            times.extend(self._find_read_times())
        next_write = self._queue.next_wake(now)
        if next_write is not None and not self._health.needs_probe:
            times.append(next_write)
        return max(now, min(times)) if times else None

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed; claims are then refused."""
        return self._health.is_failing

    @property
    def is_flushed(self) -> bool:
        """Whether no settlement or release is left to be written."""
        return not self._in_doubt and not any(
            item.phase is entry.Phase.SETTLING for item in self._entries.values()
        )

    def _find_read_times(self) -> list[float]:
        times = [
            max(item.poll_at, self._health.blocked_until)
            for item in self._entries.values()
            if item.phase is entry.Phase.WAITING
        ]
        in_doubt_read = self._in_doubt.next_wake()
        if in_doubt_read is not None:
            times.append(max(in_doubt_read, self._health.blocked_until))
        if self._health.needs_probe:
            times.append(self._health.blocked_until)
        return times

    def _take_commit(self, now: float) -> batch.Commit | None:
        commit = self._queue.take(now, self._health.estimate_time(now))
        if commit is not None:
            for write in self._queue.get_batch(commit.batch):
                if write.is_claim:
                    self._entries[write.ticket].submitted_at = now
            self.counts["table writes"] += 1
            self.counts["records written"] += len(commit.writes)
        return commit

    def _queue_claim(self, item: entry.Entry, version: int) -> None:
        item.phase = entry.Phase.QUEUED
        item.version = version
        self._queue.add([item.build_claim(self._daemon)])

    def _on_write_done(self, write: batch.Write, revision: int, now: float) -> None:
        if write.ticket in self._in_doubt:
            self._in_doubt.on_release_written(write.ticket)
            self.counts["doubts resolved"] += 1
            return
        item = self._entries[write.ticket]
        if write.is_claim:
            self._accept_claim(item, write.record, revision, now)
        else:
            del self._entries[item.ticket]
            self.counts[f"kept {write.record.state.value}"] += 1

    def _accept_claim(
        self, item: entry.Entry, claimed: record.Record, version: int, now: float
    ) -> None:
        item.phase = entry.Phase.HELD
        item.version = version
        item.held_record = claimed
        if item.is_abandoned:
            self.settle(item.ticket, record.State.RELEASED, now)
        elif now >= min(item.deadline, item.submitted_at + SEND_WINDOW_SECONDS):
            self._decisions.refuse(item.ticket, verdict.Reason.DEADLINE)
            self.settle(item.ticket, record.State.RELEASED, now)
        else:
            self._decisions.grant(item.ticket, item.submitted_at + SEND_WINDOW_SECONDS)

    def _on_conflict(self, write: batch.Write, row: table.Row, now: float) -> None:
        if write.ticket in self._in_doubt:
            self._in_doubt.on_release_failed(write.ticket, now)
            return
        item = self._entries[write.ticket]
        if write.is_claim:
            self._decide_by_row(item, row, now, write.record)
            return
        del self._entries[item.ticket]
        row_record = record.decode(row.value) if row.value is not None else None
        if row_record is None or row_record[:3] != write.record[:3]:
            self.counts["overtaken"] += 1

    def _on_write_failed(
        self, write: batch.Write, outcome: table.Outcome, now: float
    ) -> None:
        if write.ticket in self._in_doubt:
            self._in_doubt.on_release_failed(write.ticket, now)
            return
        item = self._entries[write.ticket]
        if write.is_claim:
            if outcome is table.Outcome.UNKNOWN:
                self._in_doubt.add(write, now)
                self.counts["claims in doubt"] += 1
            self._refuse(item, verdict.Reason.STORE_UNAVAILABLE)
        elif now < item.settle_deadline:
            self._queue.add([item.build_settlement(now + health.FAILURE_PAUSE_SECONDS)])
        else:
            del self._entries[item.ticket]
            self.counts["given up"] += 1

    def _on_failure(self, now: float) -> None:
        """Refuse waiting claims, since the store may be unavailable for long."""
        self._health.on_failure(now)
        for write in self._queue.withdraw_claims():
            item = self._entries[write.ticket]
            self._refuse(item, verdict.Reason.STORE_UNAVAILABLE)

    def _decide_by_row(
        self,
        item: entry.Entry,
        row: table.Row,
        now: float,
        claimed: record.Record | None = None,
    ) -> None:
        """Decide an attempt by the current row of its key."""
        row_record = record.decode(row.value) if row.value is not None else None
        is_given_up = row_record is not None and self._in_doubt.has_attempt(
            row_record.attempt
        )
        status = decision.classify_row(
            row_record, item.attempt, item.fingerprint, is_given_up
        )
        if status is decision.RowStatus.OWN and row_record is not None:
            self._accept_claim(item, claimed or row_record, row.version, now)
        elif item.is_abandoned:
            del self._entries[item.ticket]
        elif status is decision.RowStatus.FREE:
            self._queue_claim(item, row.version)
        elif status is decision.RowStatus.REUSED:
            self._refuse(item, verdict.Reason.KEY_REUSED)
        elif status is decision.RowStatus.ANSWERED and row_record is not None:
            self._decisions.replay(item.ticket, row_record)
            del self._entries[item.ticket]
        elif status is decision.RowStatus.OUTCOME_UNKNOWN:
            self._decisions.refuse_claimed(item.ticket)
            del self._entries[item.ticket]
        elif item.phase is not entry.Phase.WAITING:
            item.start_waiting(now, min(item.deadline, now + MAX_WAIT_SECONDS))

    def _collect_due_rows(self, now: float) -> tuple[str, ...]:
        rows = self._in_doubt.take_due_rows(now, MAX_ROWS_PER_READ)
        for item in self._entries.values():
            if len(rows) >= MAX_ROWS_PER_READ:
                break
            if item.phase is entry.Phase.WAITING and now >= item.poll_at:
                item.schedule_next_poll(now)
                rows.append(item.row)
        return tuple(dict.fromkeys(rows))

    def _expire(self, now: float) -> None:
        for item in list(self._entries.values()):
            if item.phase is entry.Phase.WAITING and now >= item.wait_deadline:
                self._decisions.refuse_claimed(item.ticket)
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
