"""ASGI application that serves callers.

A request arrives as ``/{service}/{path}``. The task that hypercorn runs for it
reads the whole request, has it routed to a worker, and sends the answer.
"""

import math
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import anyio

from wigeonhitch import asgi, verdict
from wigeonhitch.configuration import document
from wigeonhitch.front import dispatcher, guard, reply, sender
from wigeonhitch.routing import event
from wigeonhitch.telemetry import log, metric, trace

__all__ = ["Application", "Catalogue", "ServiceEntry", "Limits", "make_catalogue"]

KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "wigeonhitch-deadline"
TEAM_HEADER = "wigeonhitch-team"
URGENCY_HEADER = "wigeonhitch-urgency"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class Limits(NamedTuple):
    """Limits of callers' requests.

    Parameters
    ----------
    longest_request : float
        Seconds; longer deadlines are shortened to it. A drain needs a time after
        which no request is in flight any more.
    body : int
        Maximum bytes of a request's body, which is held until it is answered.
    """

    longest_request: float = 60.0
    body: int = 8 * 1024 * 1024


class ServiceEntry(NamedTuple):
    """Routing data of a service: pool, urgency class and its deadline (s)."""

    pool: str
    urgency: str
    deadline: float


class Catalogue(NamedTuple):
    """Services of the fleet document in force, and deadlines per urgency (s)."""

    services: Mapping[str, ServiceEntry]
    deadlines: Mapping[str, float]


def make_catalogue(accepted: document.Document) -> Catalogue:
    """Return the services that callers may request under a fleet document."""
    deadlines = {urgency.name: urgency.deadline for urgency in accepted.urgencies}
    services = {
        service.name: ServiceEntry(
            service.pool, service.urgency, deadlines[service.urgency]
        )
        for service in accepted.services
    }
    return Catalogue(services, deadlines)


class _ParsedRequest(NamedTuple):
    """The parts of a caller's request."""

    method: str
    service: str
    target: str
    headers: Mapping[str, str]
    body: bytes


class Application:
    """Serves callers.

    Parameters
    ----------
    dispatch : dispatcher.Dispatcher
    idempotency : guard.IdempotencyGuard
        Runs keyed requests at most once.
    find_catalogue : callable
        Returns the `Catalogue` in force, or None when the daemon isn't ready.
    is_ready : callable
        Whether the load balancer may send requests here.
    is_alive : callable
        Whether this process is healthy; false once it is stopping.
    clock : callable
        Seconds on the clock that includes time in suspension.
    tracing : trace.Tracing
    instruments : metric.Instruments
    limits : Limits
    """

    def __init__(
        self,
        dispatch: dispatcher.Dispatcher,
        idempotency: guard.IdempotencyGuard,
        find_catalogue: Callable[[], Catalogue | None],
        is_ready: Callable[[], bool],
        is_alive: Callable[[], bool],
        clock: Callable[[], float],
        tracing: trace.Tracing,
        instruments: metric.Instruments,
        limits: Limits = Limits(),  # noqa: B008 - an immutable tuple
    ) -> None:
        self._dispatch = dispatch
        self._idempotency = idempotency
        self._find_catalogue = find_catalogue
        self._is_ready = is_ready
        self._is_alive = is_alive
        self._clock = clock
        self._tracing = tracing
        self._instruments = instruments
        self._limits = limits

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await asgi.serve_lifespan(receive, send)
        elif scope["type"] == "http":
            answer = await self._answer(scope, receive)
            await send_reply(send, answer)

    async def _answer(self, scope: dict, receive: Any) -> reply.Reply:
        if scope["path"].startswith("/-/"):
            return self._answer_probe(scope["path"])
        body = await asgi.read_body(receive, self._limits.body)
        service, _, rest = scope["path"].lstrip("/").partition("/")
        if body is None:
            return reply.make_refusal(verdict.not_run(verdict.Reason.BAD_REQUEST))
        query = scope["query_string"].decode("latin-1")
        parsed = _ParsedRequest(
            scope["method"],
            service,
            f"/{rest}" + (f"?{query}" if query else ""),
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            body,
        )
        started_at = self._clock()
        with self._tracing.open_hop("receive", parsed.headers, service=service) as hop:
            result, final = await self._route_or_report_fault(parsed, hop, receive)
            hop.span.set_attribute("verdict", result.ran.value)
        self._count(service, result, self._clock() - started_at)
        return final

    async def _route_or_report_fault(
        self, parsed: _ParsedRequest, hop: trace.Hop, receive: Any
    ) -> tuple[verdict.Verdict, reply.Reply]:
        """Route a request; after an internal error the verdict is "may have run"."""
        try:
            return await self._route(parsed, hop, receive)
        except Exception:
            log.log_exception("a request failed", service=parsed.service)
            refusal = verdict.may_have_run(verdict.Reason.FAULT)
            return refusal, reply.make_refusal(refusal)

    async def _route(
        self, parsed: _ParsedRequest, hop: trace.Hop, receive: Any
    ) -> tuple[verdict.Verdict, reply.Reply]:
        catalogue = self._find_catalogue()
        entry = catalogue.services.get(parsed.service) if catalogue else None
        if entry is None:
            reason = verdict.Reason.UNKNOWN_SERVICE
            if catalogue is None:
                reason = verdict.Reason.NOT_READY
                if not self._is_alive():
                    reason = verdict.Reason.STOPPING
            refusal = verdict.not_run(reason, 0.0 if catalogue else 1.0)
            return refusal, reply.make_refusal(refusal)
        arrived = self._make_event(parsed, entry, catalogue)
        if arrived is None:
            refusal = verdict.not_run(verdict.Reason.BAD_REQUEST)
            return refusal, reply.make_refusal(refusal)
        final = await self._serve(parsed, arrived, hop, receive)
        if final.answer is None:
            return final.verdict, reply.make_refusal(final.verdict)
        return final.verdict, reply.add_verdict_headers(final.answer, final.verdict)

    async def _serve(
        self,
        parsed: _ParsedRequest,
        arrived: event.Arrived,
        hop: trace.Hop,
        receive: Any,
    ) -> dispatcher.FinalAnswer:
        key = parsed.headers.get(KEY_HEADER, "")
        is_keyed = bool(key) and not arrived.idempotent
        context = hop.headers.get("traceparent", "")
        pending = dispatcher.PendingRequest(finish_if_sent=is_keyed, trace=context)
        headers = (*sender.select_headers(parsed.headers), *hop.headers.items())
        request = sender.Attempt(
            "", parsed.method, parsed.target, dict(headers).items(), parsed.body, 0.0
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch_disconnect, receive, pending)
            if is_keyed:
                final = await self._idempotency.serve(key, arrived, request, pending)
            else:
                final = await self._dispatch.serve(arrived, request, pending)
            group.cancel_scope.cancel()
        return final

    async def _watch_disconnect(
        self, receive: Any, pending: dispatcher.PendingRequest
    ) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._dispatch.cancel(pending)

    def _make_event(
        self, parsed: _ParsedRequest, entry: ServiceEntry, catalogue: Catalogue
    ) -> event.Arrived | None:
        urgency = parsed.headers.get(URGENCY_HEADER, entry.urgency)
        seconds = catalogue.deadlines.get(urgency, entry.deadline)
        text = parsed.headers.get(DEADLINE_HEADER)
        if text is not None:
            try:
                seconds = float(text)
            except ValueError:
                return None
            if not math.isfinite(seconds) or seconds <= 0:
                return None
        seconds = min(seconds, self._limits.longest_request)
        return event.Arrived(
            request=0,
            service=parsed.service,
            pool=entry.pool,
            urgency=urgency,
            team=parsed.headers.get(TEAM_HEADER, ""),
            deadline=self._clock() + seconds,
            idempotent=parsed.method in IDEMPOTENT_METHODS,
        )

    def _answer_probe(self, path: str) -> reply.Reply:
        passed = self._is_alive() if path == "/-/health" else self._is_ready()
        text = b"yes\n" if passed else b"no\n"
        return reply.Reply(
            200 if passed else 503, (("content-type", "text/plain"),), text
        )

    def _count(
        self, service: str, result: verdict.Verdict, elapsed_seconds: float
    ) -> None:
        self._instruments.count(
            "requests_total",
            "Final answers to callers.",
            service=service,
            verdict=result.ran.value,
            reason=result.reason.value,
        )
        self._instruments.observe(
            "request_seconds",
            "Time to the final answer.",
            elapsed_seconds,
            service=service,
        )


async def send_reply(send: Any, answer: reply.Reply) -> None:
    """Send a whole answer."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    ]
    headers.append((b"content-length", str(len(answer.body)).encode()))
    await send(
        {"type": "http.response.start", "status": answer.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": answer.body})
