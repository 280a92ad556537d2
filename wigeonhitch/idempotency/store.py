"""The task that owns the claims of a daemon, and its interface.

`Claims.run` is the only task that uses the `core.Core`; requests send it messages
and wait for their decision. It writes and reads the table in the background, so
callers do not wait until their answer is stored.
"""

import hashlib
import itertools
import math
import random
from collections.abc import Callable
from typing import NamedTuple

import anyio
import anyio.abc

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, core, decision, message, record
from wigeonhitch.platform import client, table
from wigeonhitch.telemetry import log

__all__ = ["Acquired", "Claim", "Claims"]

COMMIT_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds of a table write of claims; after it the caller gets
"not run"."""
READ_TIMEOUT_SECONDS = 1.0
"""Timeout in seconds of a read of records."""
MAX_INLINE_BODY_BYTES = 8 * 1024
"""Maximum bytes of a body kept in the row. Larger bodies go to the object store, so
that a batch of 64 rows stays near half a megabyte."""
MAX_OBJECT_ATTEMPTS = 5
"""Maximum calls to store one large body; with their pauses about a minute in all."""
FIRST_OBJECT_RETRY_SECONDS = 2.0
"""Seconds before the first retry of such a call; doubled for each further one."""
FLUSH_POLL_SECONDS = 0.02
"""Seconds between checks whether all settlements are written."""
MAX_PENDING_BODY_BYTES = 16 * 1024 * 1024
"""Maximum bytes of bodies that wait for the object store. Beyond it an answer is not
kept, and its key is marked ``UNKNOWN``."""


class Claim(NamedTuple):
    """Permission to send one request until it is settled or ``send_before``.

    ``send_before`` is in seconds on the clock that includes time in suspension.
    """

    ticket: int
    row: str
    send_before: float


class Acquired(NamedTuple):
    """Decision about a keyed request.

    Parameters
    ----------
    kind : decision.Kind
        ``GRANTED``: send the request, then settle ``claim`` exactly once.
        ``REPLAYED``: return ``answer`` and ``caller_verdict`` to the caller.
        ``REFUSED``: return ``caller_verdict`` to the caller.
    """

    kind: decision.Kind
    caller_verdict: verdict.Verdict | None = None
    claim: Claim | None = None
    answer: record.KeptAnswer | None = None


class Claims:
    """Claims of one daemon.

    Parameters
    ----------
    store : table.Table
        Table of the records.
    objects : table.ObjectStore
        Object store of large bodies.
    daemon : str
        Name of the daemon, unique per start of its process.
    rng : random.Random
        Random source of retry delays.
    clock : callable
        Returns seconds on the clock that includes time in suspension.
    limits : batch.Limits
        Limits of table writes.

    Notes
    -----
    `run` must be running for the other calls to return.
    """

    def __init__(
        self,
        store: table.Table,
        objects: table.ObjectStore,
        daemon: str,
        *,
        rng: random.Random,
        clock: Callable[[], float] = client.read_clock,
        limits: batch.Limits = batch.DEFAULT_LIMITS,
    ) -> None:
        self._store = store
        self._objects = objects
        self._clock = clock
        self._core = core.Core(daemon, rng=rng, limits=limits)
        # The buffer is unbounded, since the core limits the number of open requests.
        self._outbox, self._inbox = anyio.create_memory_object_stream[message.Message](
            math.inf
        )
        self._request_numbers = itertools.count(1)
        self._tickets: dict[int, int] = {}
        self._replies: dict[int, anyio.abc.ObjectSendStream] = {}
        self._pending_body_bytes = 0
        self._was_failing = False
        self.counts = self._core.counts

    async def acquire(
        self,
        service: str,
        key: str,
        fingerprint: str,
        *,
        timeout: float,
        team: str = "",
    ) -> Acquired:
        """Request a claim; returns within ``timeout`` seconds.

        If this call is cancelled, the request is treated as not sent and the key is
        released.

        Parameters
        ----------
        service, key, team : str
            Scope of the key: it belongs to one service and one team.
        fingerprint : str
            See `record.compute_fingerprint`.
        timeout : float
            Seconds, at most the time left until the caller's deadline.
        """
        number = next(self._request_numbers)
        row = record.build_key(service, key, team)
        reply, answer = anyio.create_memory_object_stream[decision.Decision](1)
        deadline = self._clock() + timeout
        self._outbox.send_nowait(message.Ask(number, row, fingerprint, deadline, reply))
        try:
            with answer:
                decided = await answer.receive()
        except BaseException:
            self._outbox.send_nowait(message.Leave(number))
            raise
        self._tickets.pop(number, None)
        return await self._build_acquired(decided, row, deadline)

    def may_send(self, claim: Claim) -> bool:
        """Return whether the claim permits sending; check right before each attempt."""
        return self._clock() < claim.send_before

    async def complete(self, claim: Claim, answer: record.KeptAnswer) -> None:
        """Settle the claim with its answer; returns before the answer is written."""
        self._post_settlement(claim, record.State.ANSWERED, answer)

    async def release(self, claim: Claim) -> None:
        """Release the key; allowed if no worker has run the request and none will."""
        self._post_settlement(claim, record.State.RELEASED)

    async def doubt(self, claim: Claim) -> None:
        """Mark the key ``UNKNOWN``: the request was sent and its outcome is unknown."""
        self._post_settlement(claim, record.State.UNKNOWN)

    def set_daemon_count(self, daemons: int) -> None:
        """Limit table writes to an equal share of the total of all daemons.

        Parameters
        ----------
        daemons : int
            Number of live daemons, this one included.
        """
        self._outbox.send_nowait(message.Share(daemons))

    async def flush(self, timeout: float) -> bool:
        """Wait until all settlements are written; used when a daemon stops.

        Returns
        -------
        bool
            Whether all were written within ``timeout`` seconds. If not, their keys
            stay claimed, and repeated requests get "may have run".
        """
        with anyio.move_on_after(timeout):
            while self._inbox.statistics().current_buffer_used or self._is_busy:
                await anyio.sleep(FLUSH_POLL_SECONDS)
            return True
        return False

    @property
    def _is_busy(self) -> bool:
        return bool(self._pending_body_bytes) or not self._core.is_flushed

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Process messages and carry out actions until cancelled."""
        async with anyio.create_task_group() as tasks:
            task_status.started()
            while True:
                self._execute_actions(tasks)
                event = await self._receive()
                while event is not None:
                    self._handle(event, tasks)
                    event = self._receive_nowait()

    def _post_settlement(
        self,
        claim: Claim,
        state: record.State,
        answer: record.KeptAnswer | None = None,
    ) -> None:
        self._outbox.send_nowait(message.Settle(claim.ticket, state, answer))

    async def _receive(self) -> message.Message | None:
        """Return the next message, or None when the core has an action due."""
        if (event := self._receive_nowait()) is not None:
            return event
        now = self._clock()
        wake = self._core.next_wake(now)
        pause = math.inf if wake is None else max(0.0, wake - now)
        with anyio.move_on_after(pause):
            return await self._inbox.receive()
        return None

    def _receive_nowait(self) -> message.Message | None:
        try:
            return self._inbox.receive_nowait()
        except anyio.WouldBlock:
            return None

    def _handle(self, event: message.Message, tasks: anyio.abc.TaskGroup) -> None:
        now = self._clock()
        if isinstance(event, message.Ask):
            ticket = self._core.acquire(
                event.row, event.fingerprint, now, event.deadline
            )
            self._tickets[event.number] = ticket
            self._replies[ticket] = event.reply
        elif isinstance(event, message.Leave):
            self._handle_leave(event.number, now)
        elif isinstance(event, message.Settle):
            self._handle_settlement(event, tasks, now)
        elif isinstance(event, message.Committed):
            self._core.on_commit(event.batch, event.result, now)
        elif isinstance(event, message.Share):
            self._core.budget.set_daemon_count(event.daemons)
        else:
            self._core.on_read(event.result, now)

    def _handle_leave(self, number: int, now: float) -> None:
        ticket = self._tickets.pop(number, None)
        if ticket is None:
            return
        if (reply := self._replies.pop(ticket, None)) is not None:
            reply.close()
        self._core.abandon(ticket, now)

    def _handle_settlement(
        self, settlement: message.Settle, tasks: anyio.abc.TaskGroup, now: float
    ) -> None:
        size = len(settlement.answer.body) if settlement.answer else 0
        if size <= MAX_INLINE_BODY_BYTES or settlement.body_object:
            self._core.settle(
                settlement.ticket,
                settlement.state,
                now,
                settlement.answer,
                settlement.body_object,
            )
        elif self._pending_body_bytes + size > MAX_PENDING_BODY_BYTES:
            self._core.counts["answers too large"] += 1
            self._core.settle(settlement.ticket, record.State.UNKNOWN, now)
        else:
            self._pending_body_bytes += size
            tasks.start_soon(self._store_body, settlement)

    def _execute_actions(self, tasks: anyio.abc.TaskGroup) -> None:
        for action in self._core.step(self._clock()):
            if isinstance(action, batch.Commit):
                tasks.start_soon(self._commit, action)
            elif isinstance(action, decision.Read):
                tasks.start_soon(self._read, action)
            else:
                self._send_decision(action)
        if self._core.is_failing != self._was_failing:
            self._was_failing = self._core.is_failing
            state = "cannot be written" if self._was_failing else "can be written again"
            log.log_warning("idempotency records", state=state)

    def _send_decision(self, decided: decision.Decision) -> None:
        reply = self._replies.pop(decided.ticket, None)
        if reply is None:
            return
        with reply:
            try:
                reply.send_nowait(decided)
            except anyio.BrokenResourceError:
                # The caller was cancelled; its `message.Leave` follows.
                return

    async def _commit(self, action: batch.Commit) -> None:
        result = await self._store.commit(
            action.conditions,
            action.writes,
            purpose="claim",
            timeout=COMMIT_TIMEOUT_SECONDS,
        )
        self._outbox.send_nowait(message.Committed(action.batch, result))

    async def _read(self, action: decision.Read) -> None:
        result = await self._store.read(
            action.keys, purpose="claim", timeout=READ_TIMEOUT_SECONDS
        )
        self._outbox.send_nowait(message.Looked(result))

    async def _store_body(self, settlement: message.Settle) -> None:
        """Store a large body, then settle the claim with the body's object name."""
        assert settlement.answer is not None
        body = settlement.answer.body
        name = f"answer-{hashlib.sha256(body).hexdigest()}"
        pause = FIRST_OBJECT_RETRY_SECONDS
        outcome = table.Outcome.NOT_DONE
        for _ in range(MAX_OBJECT_ATTEMPTS):
            outcome = await self._objects.put(name, body, purpose="claim")
            if outcome is table.Outcome.DONE:
                break
            await anyio.sleep(pause)
            pause *= 2
        self._pending_body_bytes -= len(body)
        if outcome is not table.Outcome.DONE:
            self._outbox.send_nowait(
                message.Settle(settlement.ticket, record.State.UNKNOWN)
            )
            return
        answer = settlement.answer._replace(body=b"")
        self._outbox.send_nowait(settlement._replace(answer=answer, body_object=name))

    async def _build_acquired(
        self, decided: decision.Decision, row: str, deadline: float
    ) -> Acquired:
        if decided.kind is decision.Kind.GRANTED:
            return Acquired(
                decided.kind, claim=Claim(decided.ticket, row, decided.send_before)
            )
        if decided.kind is decision.Kind.REFUSED or decided.kept_record is None:
            return Acquired(decided.kind, decided.caller_verdict)
        answer = decided.kept_record.answer
        if answer is not None and decided.kept_record.body_object:
            body = None
            with anyio.move_on_after(deadline - self._clock()):
                body = await self._objects.get(
                    decided.kept_record.body_object, purpose="claim"
                )
            answer = answer._replace(body=body) if body is not None else None
        if answer is None:
            unreadable = verdict.may_have_run(verdict.Reason.STORE_UNAVAILABLE, 1.0)
            return Acquired(decision.Kind.REFUSED, unreadable)
        return Acquired(decided.kind, decided.caller_verdict, answer=answer)
