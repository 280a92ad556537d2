"""ASGI application of the callers' side.

A request enters as ``/{service}/{path}``. The task that hypercorn runs for it
reads it whole, asks the decisions, sends it to a worker, and answers.
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

__all__ = ["Application", "Catalogue", "Entry", "Limits", "make_catalogue"]

KEY_HEADER = "idempotency-key"
DEADLINE_HEADER = "wigeonhitch-deadline"
TEAM_HEADER = "wigeonhitch-team"
URGENCY_HEADER = "wigeonhitch-urgency"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})


class Limits(NamedTuple):
    """Limits of what callers may ask.

    Parameters
    ----------
    longest_request : float
        Seconds; a longer deadline is cut to it. A drain must know a time after
        which no request is held any more.
    body : int
        Most bytes of a request's body, which is held until it is answered.
    """

    longest_request: float = 60.0
    body: int = 8 * 1024 * 1024


class Entry(NamedTuple):
    """What is known of a service: pool, urgency class and its deadline (s)."""

    pool: str
    urgency: str
    deadline: float


class Catalogue(NamedTuple):
    """The services of the document in force, and deadlines per urgency (s)."""

    services: Mapping[str, Entry]
    deadlines: Mapping[str, float]


def make_catalogue(accepted: document.Document) -> Catalogue:
    """Return what callers may ask for under a fleet document."""
    deadlines = {one.name: one.deadline for one in accepted.urgencies}
    services = {
        one.name: Entry(one.pool, one.urgency, deadlines[one.urgency])
        for one in accepted.services
    }
    return Catalogue(services, deadlines)


class _Call(NamedTuple):
    """A caller's request, taken apart."""

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
    claims : guard.IdempotencyGuard
        Runs keyed requests at most once.
    find_catalogue : callable
        Returns the `Catalogue` in force, or None when the daemon isn't ready.
    is_ready : callable
        Whether the balancer may send requests here.
    is_alive : callable
        Whether this process is healthy; false once it is stopping.
    clock : callable
        Seconds on the clock that counts suspension.
    tracing : trace.Tracing
    instruments : metric.Instruments
    limits : Limits
    """

    def __init__(
        self,
        dispatch: dispatcher.Dispatcher,
        claims: guard.IdempotencyGuard,
        find_catalogue: Callable[[], Catalogue | None],
        is_ready: Callable[[], bool],
        is_alive: Callable[[], bool],
        clock: Callable[[], float],
        tracing: trace.Tracing,
        instruments: metric.Instruments,
        limits: Limits = Limits(),  # noqa: B008 - an immutable tuple
    ) -> None:
        self._dispatch = dispatch
        self._claims = claims
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
            given = await self._answer(scope, receive)
            await send_reply(send, given)

    async def _answer(self, scope: dict, receive: Any) -> reply.Reply:
        if scope["path"].startswith("/-/"):
            return self._answer_probe(scope["path"])
        body = await asgi.read_body(receive, self._limits.body)
        service, _, rest = scope["path"].lstrip("/").partition("/")
        if body is None:
            return reply.make_refusal(verdict.not_run(verdict.Reason.BAD_REQUEST))
        query = scope["query_string"].decode("latin-1")
        call = _Call(
            scope["method"],
            service,
            f"/{rest}" + (f"?{query}" if query else ""),
            {
                name.decode("latin-1").lower(): value.decode("latin-1")
                for name, value in scope["headers"]
            },
            body,
        )
        began = self._clock()
        with self._tracing.open_hop("receive", call.headers, service=service) as hop:
            given, final = await self._route_safely(call, hop, receive)
            hop.span.set_attribute("verdict", given.ran.value)
        self._count(service, given, self._clock() - began)
        return final

    async def _route_safely(
        self, call: _Call, hop: trace.Hop, receive: Any
    ) -> tuple[verdict.Verdict, reply.Reply]:
        """Route, and answer truthfully after a fault of this program too."""
        try:
            return await self._route(call, hop, receive)
        except Exception:
            log.log_fault("a request failed", service=call.service)
            given = verdict.may_have_run(verdict.Reason.FAULT)
            return given, reply.make_refusal(given)

    async def _route(
        self, call: _Call, hop: trace.Hop, receive: Any
    ) -> tuple[verdict.Verdict, reply.Reply]:
        catalogue = self._find_catalogue()
        entry = catalogue.services.get(call.service) if catalogue else None
        if entry is None:
            reason = verdict.Reason.UNKNOWN_SERVICE
            if catalogue is None:
                reason = verdict.Reason.NOT_READY
                if not self._is_alive():
                    reason = verdict.Reason.STOPPING
            given = verdict.not_run(reason, 0.0 if catalogue else 1.0)
            return given, reply.make_refusal(given)
        arrived = self._make_event(call, entry, catalogue)
        if arrived is None:
            given = verdict.not_run(verdict.Reason.BAD_REQUEST)
            return given, reply.make_refusal(given)
        final = await self._serve(call, arrived, hop, receive)
        if final.answer is None:
            return final.verdict, reply.make_refusal(final.verdict)
        return final.verdict, reply.mark(final.answer, final.verdict)

    async def _serve(
        self, call: _Call, arrived: event.Arrived, hop: trace.Hop, receive: Any
    ) -> dispatcher.FinalAnswer:
        key = call.headers.get(KEY_HEADER, "")
        is_keyed = bool(key) and not arrived.idempotent
        context = hop.headers.get("traceparent", "")
        ticket = dispatcher.Ticket(keep_sent=is_keyed, trace=context)
        headers = (*sender.select_headers(call.headers), *hop.headers.items())
        request = sender.Attempt(
            "", call.method, call.target, dict(headers).items(), call.body, 0.0
        )
        async with anyio.create_task_group() as group:
            group.start_soon(self._watch, receive, ticket)
            if is_keyed:
                final = await self._claims.serve(key, arrived, request, ticket)
            else:
                final = await self._dispatch.serve(arrived, request, ticket)
            group.cancel_scope.cancel()
        return final

    async def _watch(self, receive: Any, ticket: dispatcher.Ticket) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        self._dispatch.leave(ticket)

    def _make_event(
        self, call: _Call, entry: Entry, catalogue: Catalogue
    ) -> event.Arrived | None:
        urgency = call.headers.get(URGENCY_HEADER, entry.urgency)
        seconds = catalogue.deadlines.get(urgency, entry.deadline)
        text = call.headers.get(DEADLINE_HEADER)
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
            service=call.service,
            pool=entry.pool,
            urgency=urgency,
            team=call.headers.get(TEAM_HEADER, ""),
            deadline=self._clock() + seconds,
            idempotent=call.method in IDEMPOTENT_METHODS,
        )

    def _answer_probe(self, path: str) -> reply.Reply:
        fine = self._is_alive() if path == "/-/health" else self._is_ready()
        text = b"yes\n" if fine else b"no\n"
        return reply.Reply(
            200 if fine else 503, (("content-type", "text/plain"),), text
        )

    def _count(self, service: str, given: verdict.Verdict, seconds: float) -> None:
        self._instruments.count(
            "requests_total",
            "Final answers to callers.",
            service=service,
            verdict=given.ran.value,
            reason=given.reason.value,
        )
        self._instruments.observe(
            "request_seconds", "Time to the final answer.", seconds, service=service
        )


async def send_reply(send: Any, given: reply.Reply) -> None:
    """Send a whole answer."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in given.headers
    ]
    headers.append((b"content-length", str(len(given.body)).encode()))
    await send(
        {"type": "http.response.start", "status": given.status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": given.body})
