"""Keyed requests: claimed before they are sent, settled when their outcome is known."""

from collections.abc import Callable

import anyio

from wigeonhitch import verdict
from wigeonhitch.front import dispatcher, reply, sender
from wigeonhitch.idempotency import decision, record, store
from wigeonhitch.routing import event
from wigeonhitch.telemetry import trace

__all__ = ["IdempotencyGuard"]


class IdempotencyGuard:
    """Runs requests with an idempotency key at most once.

    Parameters
    ----------
    claims : store.Claims
    dispatch : dispatcher.Dispatcher
    clock : callable
        Seconds on the clock that includes time in suspension.
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
        pending: dispatcher.PendingRequest,
    ) -> dispatcher.FinalAnswer:
        """Serve one keyed request: claim its key, send it, record the outcome."""
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
            return dispatcher.FinalAnswer(
                acquired.caller_verdict, _to_reply(acquired.answer)
            )
        claim = acquired.claim
        try:
            final = await self._dispatch.serve(
                arrived, request, pending, lambda: self._refuse_expired(claim)
            )
        except anyio.get_cancelled_exc_class():
            with anyio.CancelScope(shield=True):
                await self._record_cancelled(claim, pending)
            raise
        await self._record_outcome(claim, final)
        return final

    def _refuse_expired(self, claim: store.Claim) -> verdict.Verdict | None:
        """Refuse an attempt if the claim may have been removed by a sweep."""
        if self._claims.may_send(claim):
            return None
        return verdict.not_run(verdict.Reason.DEADLINE)

    async def _record_outcome(
        self, claim: store.Claim, final: dispatcher.FinalAnswer
    ) -> None:
        if final.verdict.ran is verdict.Ran.NO:
            await self._claims.release(claim)
        elif final.verdict.ran is verdict.Ran.YES and final.answer is not None:
            await self._claims.complete(claim, record.KeptAnswer(*final.answer))
        else:
            await self._claims.doubt(claim)

    async def _record_cancelled(
        self, claim: store.Claim, pending: dispatcher.PendingRequest
    ) -> None:
        if pending.attempt:
            await self._claims.doubt(claim)
        else:
            await self._claims.release(claim)


def _to_reply(answer: record.KeptAnswer | None) -> reply.Reply | None:
    return None if answer is None else reply.Reply(*answer)
