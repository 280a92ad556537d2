"""Keyed requests: claimed before they are sent, settled when their fate is known."""

from collections.abc import Callable

import anyio

from wigeonhitch import verdict
from wigeonhitch.front import dispatcher, reply, sender
from wigeonhitch.idempotency import decision, record, store
from wigeonhitch.routing import event
from wigeonhitch.telemetry import trace

__all__ = ["Guard"]


class Guard:
    """Runs requests with an idempotency key at most once.

    Parameters
    ----------
    claims : store.Claims
    dispatch : dispatcher.Dispatcher
    clock : callable
        Seconds on the clock that counts suspension.
    tracing : trace.Tracing
    """

    def __init__(
        self,
        claims: store.Claims,
        dispatch: dispatcher.Dispatcher,
        clock: Callable[[], float],
        tracing: trace.Tracing,
    ) -> None:
        self._claims = claims
        self._dispatch = dispatch
        self._clock = clock
        self._tracing = tracing

    async def serve(
        self,
        key: str,
        arrived: event.Arrived,
        request: sender.Attempt,
        ticket: dispatcher.Ticket,
    ) -> dispatcher.Final:
        """Serve one keyed request: claim, send, settle."""
        with self._tracing.open_hop("claim", dict(request.headers)) as hop:
            acquired = await self._claims.acquire(
                arrived.service,
                key,
                record.compute_fingerprint(request.method, request.path, request.body),
                timeout=max(0.0, arrived.deadline - self._clock()),
                team=arrived.team,
            )
            hop.span.set_attribute("claim", acquired.kind.value)
        if acquired.kind is not decision.Kind.GRANTED:
            return dispatcher.Final(acquired.caller_verdict, _to_reply(acquired.answer))
        claim = acquired.claim
        try:
            final = await self._dispatch.serve(
                arrived, request, ticket, lambda: self._refuse_late(claim)
            )
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self._settle_cancelled(claim, ticket)
            raise
        await self._settle(claim, final)
        return final

    def _refuse_late(self, claim: store.Claim) -> verdict.Verdict | None:
        """Refuse an attempt when the claim may have been swept meanwhile."""
        if self._claims.may_send(claim):
            return None
        return verdict.not_run(verdict.Reason.DEADLINE)

    async def _settle(self, claim: store.Claim, final: dispatcher.Final) -> None:
        if final.verdict.ran is verdict.Ran.NO:
            await self._claims.release(claim)
        elif final.verdict.ran is verdict.Ran.YES and final.answer is not None:
            await self._claims.complete(claim, record.KeptAnswer(*final.answer))
        else:
            await self._claims.doubt(claim)

    async def _settle_cancelled(
        self, claim: store.Claim, ticket: dispatcher.Ticket
    ) -> None:
        if ticket.attempt:
            await self._claims.doubt(claim)
        else:
            await self._claims.release(claim)


def _to_reply(answer: record.KeptAnswer | None) -> reply.Reply | None:
    return None if answer is None else reply.Reply(*answer)
