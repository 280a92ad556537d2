"""Joins the routing decisions to the tasks that serve requests.

Each request has a task of its own, which owns its sockets and does what the
decisions say: send, abort, answer. This module feeds events into
`wigeonhitch.routing.core` and hands each action to the task it concerns.
"""

import collections
import math
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from wigeonhitch import verdict
from wigeonhitch.front import reply, sender
from wigeonhitch.routing import action, core, event, peer

__all__ = ["Dispatcher", "FinalAnswer", "Ticket"]


class FinalAnswer(NamedTuple):
    """The final answer of one request; ``answer`` is None without a worker's."""

    verdict: verdict.Verdict
    answer: reply.Reply | None


class Ticket:
    """A request between arrival and final answer, for its task and the caller's.

    Parameters
    ----------
    keep_sent : bool
        Whether an attempt goes on when the caller leaves: the answer to a
        request with an idempotency key is wanted by the caller's repeat.
    trace : str
        W3C trace context of the request, empty without one.
    """

    def __init__(self, keep_sent: bool = False, trace: str = "") -> None:
        self.keep_sent = keep_sent
        self.trace = trace
        self.number = 0
        self.sends: collections.deque[action.Send] = collections.deque()
        self.changed = anyio.Event()
        self.answer: action.Answer | None = None
        self.scope: anyio.CancelScope | None = None
        self.attempt = 0

    def wake(self) -> None:
        """Let the request's task look again."""
        self.changed.set()


class Dispatcher:
    """Runs the decisions of one daemon's request side.

    Parameters
    ----------
    decisions : core.Core
        The decisions; nothing else may call them.
    outlet : sender.Sender
        Sends attempts.
    clock : callable
        Seconds on the clock that counts suspension.
    tell : callable
        Sends an `action.SendMessages` to a peer, with the trace contexts of the
        requests it asks for; must not block.
    find_address : callable
        Returns the address of a VM, or None.
    may_send : callable
        Whether this daemon may send to workers at this very moment; asked
        right before each attempt, since the process may have been paused.
    """

    def __init__(
        self,
        decisions: core.Core,
        outlet: sender.Sender,
        clock: Callable[[], float],
        tell: Callable[[action.SendMessages, tuple[str, ...]], None],
        find_address: Callable[[str], str | None],
        may_send: Callable[[], bool],
    ) -> None:
        self._core = decisions
        self._outlet = outlet
        self._clock = clock
        self._tell = tell
        self._find_address = find_address
        self._may_send = may_send
        self._pending: dict[int, Ticket] = {}
        self._kept: dict[str, int] = {}
        self._number = 0
        self._timer_changed = anyio.Event()
        self._due = math.inf

    @property
    def held_requests(self) -> int:
        """Requests between arrival and the end of their last attempt."""
        return len(self._pending)

    def apply(self, given: Any) -> None:
        """Feed an event that belongs to no request of this daemon's callers."""
        if isinstance(given, event.MembersChanged | event.ViewChanged):
            self._kept.clear()
        self._handle(given)

    async def serve(
        self,
        arrived: event.Arrived,
        request: sender.Attempt,
        pending: Ticket,
        on_send: Callable[[], verdict.Verdict | None] | None = None,
    ) -> FinalAnswer:
        """Serve one request from arrival to final answer.

        Parameters
        ----------
        arrived : event.Arrived
            Its ``request`` is replaced by a number unique in this daemon.
        request : sender.Attempt
            What to send; address and timeout are filled in per attempt.
        pending : Ticket
            New for each request; `leave` takes it when the caller leaves.
        on_send : callable, optional
            Called right before each attempt; a verdict returned from it ends
            the attempt unsent.
        """
        self._number += 1
        number = pending.number = self._number
        self._pending[number] = pending
        replies: dict[int, reply.Reply | None] = {}
        try:
            self._handle(arrived._replace(request=number))
            while pending.answer is None:
                await self._step(number, pending, request, replies, on_send)
        except anyio.get_cancelled_exc_class():
            self._handle(event.Cancelled(number))
            raise
        finally:
            for send in pending.sends:
                self._end_unsent(number, send)
            del self._pending[number]
        final = pending.answer
        return FinalAnswer(final.verdict, replies.get(final.attempt))

    def leave(self, pending: Ticket) -> None:
        """Note that the caller has left; its place in the queue is freed."""
        if pending.number and not (pending.keep_sent and pending.attempt):
            self._handle(event.Cancelled(pending.number))

    async def run_timer(self) -> None:
        """Feed a tick whenever the decisions ask for one."""
        while True:
            self._timer_changed = anyio.Event()
            self._due = self._find_due()
            with anyio.move_on_after(max(0.0, self._due - self._clock())):
                await self._timer_changed.wait()
                continue
            self._handle(event.Tick())

    def _find_due(self) -> float:
        due = self._core.next_timer()
        return math.inf if due is None else due

    async def _step(
        self,
        number: int,
        pending: Ticket,
        request: sender.Attempt,
        replies: dict[int, reply.Reply | None],
        on_send: Any,
    ) -> None:
        if not pending.sends:
            pending.changed = anyio.Event()
            await pending.changed.wait()
            return
        send = pending.sends.popleft()
        began = self._clock()
        result = sender.Result(verdict.may_have_run(verdict.Reason.CANCELLED))
        pending.attempt = send.attempt
        try:
            with anyio.CancelScope() as pending.scope:
                result = await self._send(send, request, on_send)
        finally:
            pending.scope = None
            replies[send.attempt] = result.answer
            took = self._clock() - began
            self._handle(
                event.AttemptEnded(
                    number, send.attempt, result.verdict, took, result.failed
                )
            )

    async def _send(
        self, send: action.Send, request: sender.Attempt, on_send: Any
    ) -> sender.Result:
        address = self._find_address(send.vm)
        if address is None:
            return sender.Result(verdict.not_run(verdict.Reason.NOT_CONNECTED))
        if not self._may_send():
            lapsed = verdict.Reason.SEND_RIGHT_LAPSED
            return sender.Result(verdict.not_run(lapsed))
        refusal = on_send() if on_send is not None else None
        if refusal is not None:
            return sender.Result(refusal)
        return await self._outlet.send(
            request._replace(
                address=address, timeout=send.timeout, kept=self._count_kept(send.vm)
            )
        )

    def _count_kept(self, vm: str) -> int:
        kept = self._kept.get(vm)
        if kept is None:
            kept = self._kept[vm] = self._core.keep_connections(vm)
        return kept

    def _end_unsent(self, number: int, send: action.Send) -> None:
        unsent = verdict.not_run(verdict.Reason.CANCELLED)
        self._handle(event.AttemptEnded(number, send.attempt, unsent, 0.0))

    def _handle(self, given: event.Event) -> None:
        for one in self._core.handle(given, self._clock()):
            if isinstance(one, action.SendMessages):
                self._tell(one, self._find_traces(one))
            elif (pending := self._pending.get(one.request)) is not None:
                self._pass_on(one, pending)
        if self._find_due() < self._due:
            self._timer_changed.set()

    def _find_traces(self, told: action.SendMessages) -> tuple[str, ...]:
        found = []
        for one in told.messages:
            if isinstance(one, peer.Ask):
                request = self._core.find_request(one.pool, one.ask)
                ticket = self._pending.get(request) if request is not None else None
                if ticket is not None and ticket.trace:
                    found.append(ticket.trace)
        return tuple(found)

    def _pass_on(self, one: action.Action, pending: Ticket) -> None:
        if isinstance(one, action.Send):
            pending.sends.append(one)
        elif isinstance(one, action.Answer):
            pending.answer = one
        elif pending.scope is not None and pending.attempt == one.attempt:
            pending.scope.cancel()
        else:
            for send in [send for send in pending.sends if send.attempt == one.attempt]:
                pending.sends.remove(send)
                self._end_unsent(one.request, send)
        pending.wake()
