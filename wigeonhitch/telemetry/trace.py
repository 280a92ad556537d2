"""Tracing with one span per hop and W3C ``traceparent`` headers between hops."""

import contextlib
from collections.abc import Iterator, Mapping
from typing import Literal, NamedTuple

from opentelemetry import context, propagate, trace
from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk
from opentelemetry.sdk.trace import export

__all__ = ["Hop", "Settings", "Tracing"]


class Settings(NamedTuple):
    """Export and sampling of spans.

    Parameters
    ----------
    exporter : str
        ``"none"``, ``"console"`` or ``"otlp"`` (protobuf over HTTP).
    endpoint : str
        URL of the OTLP collector; used with ``"otlp"`` only.
    share : float
        Sampling ratio of the traces that start here; a caller's own sampled
        trace is always continued.
    """

    exporter: Literal["none", "console", "otlp"] = "none"
    endpoint: str = "http://127.0.0.1:4318/v1/traces"
    share: float = 1.0


class Hop(NamedTuple):
    """An open span; ``headers`` propagate its context to the next hop."""

    span: trace.Span
    headers: Mapping[str, str]


class Tracing:
    """Creates the spans of one daemon.

    With exporter ``none`` no span is created: the caller's context is passed on
    unchanged, and a request costs only the copy of two headers.
    """

    def __init__(self, settings: Settings, daemon: str) -> None:
        self._provider: sdk.TracerProvider | None = None
        if settings.exporter == "none":
            return
        self._provider = sdk.TracerProvider(
            resource=resources.Resource.create(
                {"service.name": "wigeonhitchd", "service.instance.id": daemon}
            ),
            sampler=sdk.sampling.ParentBasedTraceIdRatio(settings.share),
            shutdown_on_exit=False,
        )
        self._provider.add_span_processor(_build_span_processor(settings))
        self._tracer = self._provider.get_tracer("wigeonhitch")

    def close(self) -> None:
        """Export the buffered spans and stop."""
        if self._provider is not None:
            self._provider.shutdown()

    @contextlib.contextmanager
    def open_hop(
        self, name: str, carrier: Mapping[str, str], **attributes: str | int | float
    ) -> Iterator[Hop]:
        """Open a span; its parent is the context in ``carrier``'s headers."""
        if self._provider is None:
            propagated = {
                key: carrier[key] for key in CONTEXT_HEADERS if key in carrier
            }
            yield Hop(trace.INVALID_SPAN, propagated)
            return
        parent = propagate.extract(carrier, context=context.Context())
        with self._tracer.start_as_current_span(
            name, context=parent, attributes=attributes
        ) as span:
            headers: dict[str, str] = {}
            propagate.inject(headers)
            yield Hop(span, headers)


CONTEXT_HEADERS = ("traceparent", "tracestate")


def _build_span_processor(settings: Settings) -> sdk.SpanProcessor:
    if settings.exporter == "console":
        return export.SimpleSpanProcessor(export.ConsoleSpanExporter())
    exporter = trace_exporter.OTLPSpanExporter(endpoint=settings.endpoint)
    return export.BatchSpanProcessor(exporter)
