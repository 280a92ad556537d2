"""The task that owns a daemon's claims, and the calls that talk to it.

`Claims.run` is the one task that owns the `core.Core`; requests reach it by
messages and wait for their decision. It commits, reads and keeps answers in
the background, so that no caller waits for its answer to be kept.
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

COMMIT_TIMEOUT = 1.0
"""Seconds for one table write of claims: a caller waits that long at most
before it hears "not run"."""
READ_TIMEOUT = 1.0
"""Seconds for one read of records."""
INLINE_LIMIT = 8 * 1024
"""Bytes of a body kept in the row; larger ones go to the object store, so that
a batch of 64 rows stays near half a megabyte."""
OBJECT_TRIES = 5
"""Calls to store one large body, about a minute in all."""
OBJECT_PAUSE = 2.0
"""Seconds before the first repeat of such a call; doubles."""
FLUSH_PAUSE = 0.02
"""Seconds between looks whether all is written."""
LARGE_LIMIT = 16 * 1024 * 1024
"""Bytes of large bodies waiting for the object store; beyond it an answer is
not kept and its key is marked as of unknown fate."""


class Claim(NamedTuple):
    """The right to send one request, until settled or ``send_before``.

    ``send_before`` is in seconds on the clock that counts suspension.
    """

    ticket: int
    row: str
    send_before: float


class Acquired(NamedTuple):
    """Decision about a keyed request.

    Parameters
    ----------
    kind : decision.Kind
        ``GRANTED``: send it, then settle ``claim`` exactly once.
        ``REPLAYED``: give ``answer`` with the verdict ``caller_verdict``. ``REFUSED``:
        give the verdict ``caller_verdict``.
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
        Where records are kept.
    objects : table.ObjectStore
        Where large bodies are kept.
    daemon : str
        Name of the daemon, unique per start of its process.
    rng : random.Random
        Source of the spread of returns.
    clock : callable
        Returns seconds, also counted while the machine is suspended.
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
        # No bound on the buffer: the core bounds the requests in hand.
        self._outbox, self._inbox = anyio.create_memory_object_stream[message.Message](
            math.inf
        )
        self._numbers = itertools.count(1)
        self._tickets: dict[int, int] = {}
        self._replies: dict[int, anyio.abc.ObjectSendStream] = {}
        self._large_bytes = 0
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
        """Ask to send a keyed request; returns within ``timeout`` seconds.

        When this call is cancelled, the request counts as not sent and the key
        comes free again.

        Parameters
        ----------
        service, key, team : str
            A key belongs to one service and one team.
        fingerprint : str
            See `record.compute_fingerprint`.
        timeout : float
            Seconds, at most the time left to the caller's deadline.
        """
        number = next(self._numbers)
        row = record.build_key(service, key, team)
        reply, answer = anyio.create_memory_object_stream[decision.Decision](1)
        deadline = self._clock() + timeout
        self._outbox.send_nowait(message.Ask(number, row, fingerprint, deadline, reply))
        try:
            with answer:
                made = await answer.receive()
        except BaseException:
            self._outbox.send_nowait(message.Leave(number))
            raise
        self._tickets.pop(number, None)
        return await self._translate(made, row, deadline)

    def may_send(self, claim: Claim) -> bool:
        """Whether the claim still allows sending: ask right before each try."""
        return self._clock() < claim.send_before

    async def complete(self, claim: Claim, answer: record.KeptAnswer) -> None:
        """Keep the answer; returns at once, the write follows."""
        self._settle(claim, record.State.ANSWERED, answer)

    async def release(self, claim: Claim) -> None:
        """Free the key: no worker ran the request and none will."""
        self._settle(claim, record.State.RELEASED)

    async def doubt(self, claim: Claim) -> None:
        """Mark the key: the request was sent and its fate is unknown."""
        self._settle(claim, record.State.UNKNOWN)

    def set_daemon_count(self, daemons: int) -> None:
        """Take an equal share of all daemons' table writes.

        Parameters
        ----------
        daemons : int
            How many live, this one included.
        """
        self._outbox.send_nowait(message.Share(daemons))

    async def flush(self, timeout: float) -> bool:
        """Wait until the ends of all claims are written; for a daemon that stops.

        Returns
        -------
        bool
            Whether that was so within ``timeout`` seconds. If not, the keys
            stay claimed, and repeats hear "may have run".
        """
        with anyio.move_on_after(timeout):
            while self._inbox.statistics().current_buffer_used or self._is_busy:
                await anyio.sleep(FLUSH_PAUSE)
            return True
        return False

    @property
    def _is_busy(self) -> bool:
        return bool(self._large_bytes) or not self._core.has_ended

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Own the claims until cancelled."""
        async with anyio.create_task_group() as tasks:
            task_status.started()
            while True:
                self._carry_out(tasks)
                event = await self._receive()
                while event is not None:
                    self._handle(event, tasks)
                    event = self._receive_nowait()

    def _settle(
        self,
        claim: Claim,
        state: record.State,
        answer: record.KeptAnswer | None = None,
    ) -> None:
        self._outbox.send_nowait(message.Settle(claim.ticket, state, answer))

    async def _receive(self) -> message.Message | None:
        """Return the next message, or None when the core has to act."""
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
            self._leave(event.number, now)
        elif isinstance(event, message.Settle):
            self._end(event, tasks, now)
        elif isinstance(event, message.Committed):
            self._core.on_commit(event.batch, event.result, now)
        elif isinstance(event, message.Share):
            self._core.budget.set_daemon_count(event.daemons)
        else:
            self._core.on_read(event.result, now)

    def _leave(self, number: int, now: float) -> None:
        ticket = self._tickets.pop(number, None)
        if ticket is None:
            return
        if (reply := self._replies.pop(ticket, None)) is not None:
            reply.close()
        self._core.abandon(ticket, now)

    def _end(self, end: message.Settle, tasks: anyio.abc.TaskGroup, now: float) -> None:
        size = len(end.answer.body) if end.answer else 0
        if size <= INLINE_LIMIT or end.body_object:
            self._core.settle(end.ticket, end.state, now, end.answer, end.body_object)
        elif self._large_bytes + size > LARGE_LIMIT:
            self._core.counts["answers too large"] += 1
            self._core.settle(end.ticket, record.State.UNKNOWN, now)
        else:
            self._large_bytes += size
            tasks.start_soon(self._keep_body, end)

    def _carry_out(self, tasks: anyio.abc.TaskGroup) -> None:
        for action in self._core.step(self._clock()):
            if isinstance(action, batch.Commit):
                tasks.start_soon(self._commit, action)
            elif isinstance(action, decision.Read):
                tasks.start_soon(self._read, action)
            else:
                self._answer(action)
        if self._core.is_failing != self._was_failing:
            self._was_failing = self._core.is_failing
            state = "cannot be written" if self._was_failing else "can be written again"
            log.log_problem("idempotency records", state=state)

    def _answer(self, made: decision.Decision) -> None:
        reply = self._replies.pop(made.ticket, None)
        if reply is None:
            return
        with reply:
            try:
                reply.send_nowait(made)
            except anyio.BrokenResourceError:
                # The caller has left; its message to say so is on the way.
                return

    async def _commit(self, action: batch.Commit) -> None:
        result = await self._store.commit(
            action.conditions, action.writes, purpose="claim", timeout=COMMIT_TIMEOUT
        )
        self._outbox.send_nowait(message.Committed(action.batch, result))

    async def _read(self, action: decision.Read) -> None:
        result = await self._store.read(
            action.keys, purpose="claim", timeout=READ_TIMEOUT
        )
        self._outbox.send_nowait(message.Looked(result))

    async def _keep_body(self, end: message.Settle) -> None:
        """Store a large body, then settle the claim with its name."""
        assert end.answer is not None
        body = end.answer.body
        name = f"answer-{hashlib.sha256(body).hexdigest()}"
        pause = OBJECT_PAUSE
        outcome = table.Outcome.NOT_DONE
        for _ in range(OBJECT_TRIES):
            outcome = await self._objects.put(name, body, purpose="claim")
            if outcome is table.Outcome.DONE:
                break
            await anyio.sleep(pause)
            pause *= 2
        self._large_bytes -= len(body)
        if outcome is not table.Outcome.DONE:
            self._outbox.send_nowait(message.Settle(end.ticket, record.State.UNKNOWN))
            return
        bare = end.answer._replace(body=b"")
        self._outbox.send_nowait(end._replace(answer=bare, body_object=name))

    async def _translate(
        self, made: decision.Decision, row: str, deadline: float
    ) -> Acquired:
        if made.kind is decision.Kind.GRANTED:
            return Acquired(made.kind, claim=Claim(made.ticket, row, made.send_before))
        if made.kind is decision.Kind.REFUSED or made.kept is None:
            return Acquired(made.kind, made.caller_verdict)
        answer = made.kept.answer
        if answer is not None and made.kept.body_object:
            body = None
            with anyio.move_on_after(deadline - self._clock()):
                body = await self._objects.get(made.kept.body_object, purpose="claim")
            answer = answer._replace(body=body) if body is not None else None
        if answer is None:
            lost = verdict.may_have_run(verdict.Reason.STORE_UNAVAILABLE, 1.0)
            return Acquired(decision.Kind.REFUSED, lost)
        return Acquired(made.kind, made.caller_verdict, answer=answer)
