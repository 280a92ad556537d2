"""Executes the routing actions in the tasks that serve requests.

Each request has a task of its own, which owns its sockets and executes the
actions: send, abort, answer. This module passes events to
`wigeonhitch.routing.core` and each action to the task of its request.
"""

import collections
import math
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from wigeonhitch import verdict
from wigeonhitch.front import reply, sender
from wigeonhitch.routing import action, core, event, peer

__all__ = ["Dispatcher", "FinalAnswer", "PendingRequest"]


class FinalAnswer(NamedTuple):
    """The final answer of one request; ``answer`` is None without a worker's."""

    verdict: verdict.Verdict
    answer: reply.Reply | None


class PendingRequest:
    """State of a request until its final answer, shared with the caller's task.

    Parameters
    ----------
    finish_if_sent : bool
        Whether an attempt in flight continues after the caller disconnects: the
        answer to a request with an idempotency key is needed if the caller repeats
        it.
    trace : str
        W3C trace context of the request, empty without one.
    """

    def __init__(self, finish_if_sent: bool = False, trace: str = "") -> None:
        self.finish_if_sent = finish_if_sent
        self.trace = trace
        self.number = 0
        self.queued_sends: collections.deque[action.Send] = collections.deque()
        self.changed = anyio.Event()
        self.answer: action.Answer | None = None
        self.attempt_scope: anyio.CancelScope | None = None
        self.attempt = 0

    def wake(self) -> None:
        """Wake the request's task, because the state has changed."""
        self.changed.set()


class Dispatcher:
    """Executes the routing of one daemon.

    Parameters
    ----------
    routing : core.Core
        The routing core; only the dispatcher may pass it events.
    attempt_sender : sender.Sender
        Sends attempts.
    clock : callable
        Seconds on the clock that includes time in suspension.
    send_messages : callable
        Executes an `action.SendMessages`, given the trace contexts of the
        requests that its slot requests are for; must not block.
    find_address : callable
        Returns the address of a VM, or None.
    may_send : callable
        Whether this daemon may currently send to workers; called right before
        each attempt, since the process may have been paused.
    """

    def __init__(
        self,
        routing: core.Core,
        attempt_sender: sender.Sender,
        clock: Callable[[], float],
        send_messages: Callable[[action.SendMessages, tuple[str, ...]], None],
        find_address: Callable[[str], str | None],
        may_send: Callable[[], bool],
    ) -> None:
        self._core = routing
        self._sender = attempt_sender
        self._clock = clock
        self._send_messages = send_messages
        self._find_address = find_address
        self._may_send = may_send
        self._pending: dict[int, PendingRequest] = {}
        self._idle_limits: dict[str, int] = {}
        self._number = 0
        self._timer_changed = anyio.Event()
        self._next_tick_at = math.inf

    @property
    def held_requests(self) -> int:
        """Number of requests between arrival and the end of their last attempt."""
        return len(self._pending)

    def apply(self, new_event: Any) -> None:
        """Process an event that concerns no single request, such as new members."""
        if isinstance(new_event, event.MembersChanged | event.ViewChanged):
            self._idle_limits.clear()
        self._handle(new_event)

    async def serve(
        self,
        arrived: event.Arrived,
        request: sender.Attempt,
        pending: PendingRequest,
        on_send: Callable[[], verdict.Verdict | None] | None = None,
    ) -> FinalAnswer:
        """Serve one request from arrival to final answer.

        Parameters
        ----------
        arrived : event.Arrived
            Its ``request`` is replaced by a number unique in this daemon.
        request : sender.Attempt
            The request to send; address and timeout are set for each attempt.
        pending : PendingRequest
            New for each request; pass it to `cancel` if the caller disconnects.
        on_send : callable, optional
            Called right before each attempt; if it returns a verdict, the attempt ends
            unsent with this verdict.
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
            for send in pending.queued_sends:
                self._end_unsent(number, send)
            del self._pending[number]
        final = pending.answer
        return FinalAnswer(final.verdict, replies.get(final.attempt))

    def cancel(self, pending: PendingRequest) -> None:
        """Cancel the request of a caller that disconnected."""
        if pending.number and not (pending.finish_if_sent and pending.attempt):
            self._handle(event.Cancelled(pending.number))

    async def run_timer(self) -> None:
        """Pass a tick to the routing core whenever it is due."""
        while True:
            self._timer_changed = anyio.Event()
            self._next_tick_at = self._find_next_tick()
            with anyio.move_on_after(max(0.0, self._next_tick_at - self._clock())):
                await self._timer_changed.wait()
                continue
            self._handle(event.Tick())

    def _find_next_tick(self) -> float:
        due = self._core.next_timer()
        return math.inf if due is None else due

    async def _step(
        self,
        number: int,
        pending: PendingRequest,
        request: sender.Attempt,
        replies: dict[int, reply.Reply | None],
        on_send: Any,
    ) -> None:
        if not pending.queued_sends:
            pending.changed = anyio.Event()
            await pending.changed.wait()
            return
        send = pending.queued_sends.popleft()
        started_at = self._clock()
        result = sender.Result(verdict.may_have_run(verdict.Reason.CANCELLED))
        pending.attempt = send.attempt
        try:
            with anyio.CancelScope() as pending.attempt_scope:
                result = await self._send(send, request, on_send)
        finally:
            pending.attempt_scope = None
            replies[send.attempt] = result.answer
            elapsed = self._clock() - started_at
            self._handle(
                event.AttemptEnded(
                    number, send.attempt, result.verdict, elapsed, result.failed
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
        return await self._sender.send(
            request._replace(
                address=address,
                timeout=send.timeout,
                max_idle=self._find_idle_limit(send.vm),
            )
        )

    def _find_idle_limit(self, vm: str) -> int:
        limit = self._idle_limits.get(vm)
        if limit is None:
            limit = self._idle_limits[vm] = self._core.compute_idle_limit(vm)
        return limit

    def _end_unsent(self, number: int, send: action.Send) -> None:
        unsent = verdict.not_run(verdict.Reason.CANCELLED)
        self._handle(event.AttemptEnded(number, send.attempt, unsent, 0.0))

    def _handle(self, new_event: event.Event) -> None:
        for act in self._core.handle(new_event, self._clock()):
            if isinstance(act, action.SendMessages):
                self._send_messages(act, self._find_traces(act))
            elif (pending := self._pending.get(act.request)) is not None:
                self._dispatch(act, pending)
        if self._find_next_tick() < self._next_tick_at:
            self._timer_changed.set()

    def _find_traces(self, to_send: action.SendMessages) -> tuple[str, ...]:
        traces = []
        for message in to_send.messages:
            if isinstance(message, peer.Ask):
                request = self._core.find_request(message.pool, message.ask)
                pending = self._pending.get(request) if request is not None else None
                if pending is not None and pending.trace:
                    traces.append(pending.trace)
        return tuple(traces)

    def _dispatch(self, act: action.Action, pending: PendingRequest) -> None:
        if isinstance(act, action.Send):
            pending.queued_sends.append(act)
        elif isinstance(act, action.Answer):
            pending.answer = act
        elif pending.attempt_scope is not None and pending.attempt == act.attempt:
            pending.attempt_scope.cancel()
        else:
            for send in [
                send for send in pending.queued_sends if send.attempt == act.attempt
            ]:
                pending.queued_sends.remove(send)
                self._end_unsent(act.request, send)
        pending.wake()
