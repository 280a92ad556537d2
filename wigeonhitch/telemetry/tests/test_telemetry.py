import json
import logging
import os
import threading
from http import server

import pytest
from opentelemetry.proto.collector.trace.v1 import trace_service_pb2
from opentelemetry.sdk.trace import export
from opentelemetry.sdk.trace.export import in_memory_span_exporter

from wigeonhitch.telemetry import log, metric, trace

CONTEXT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"


def test_metrics_are_counted_and_rendered():
    instruments = metric.Instruments()
    instruments.count("asked_total", "Asked.", 2, kind="a")
    instruments.count("asked_total", "Asked.", kind="a")
    instruments.set("held", "Held.", 4)
    instruments.observe("wait_seconds", "Waits.", 1.5, kind="a")
    assert instruments.read("asked_total", {"kind": "a"}) == 3
    assert instruments.read("asked_total", {"kind": "b"}) == 0
    assert instruments.read("never", {}) == 0
    text = instruments.render()[0].decode()
    assert 'asked_total{kind="a"} 3' in text
    assert 'wait_seconds_bucket{kind="a",le="1.7"} 1' in text
    assert 'wait_seconds_bucket{kind="a",le="1.0"} 0' in text


def test_daemons_in_one_program_have_separate_metrics():
    first, second = metric.Instruments(), metric.Instruments()
    first.count("asked_total", "Asked.")
    assert second.read("asked_total", {}) == 0


def test_log_line_is_json_with_its_fields():
    record = logging.LogRecord("x", logging.INFO, "f", 1, "duty taken", (), None)
    record.fields = {"duty": "fleet"}
    line = json.loads(log.Formatter().format(record))
    assert (line["change"], line["duty"]) == ("duty taken", "fleet")


def test_unknown_log_level_is_refused():
    with pytest.raises(ValueError, match="expected one of"):
        log.configure("loud")


def test_hops_are_spans_of_one_trace():
    tracing = trace.Tracing(trace.Settings(exporter="console"), "d1")
    spans = in_memory_span_exporter.InMemorySpanExporter()
    tracing._provider._active_span_processor._span_processors = (
        export.SimpleSpanProcessor(spans),
    )
    with (
        tracing.open_hop("receive", {"traceparent": CONTEXT}) as outer,
        tracing.open_hop("send", outer.headers, vm="w1") as inner,
    ):
        assert inner.headers["traceparent"] != CONTEXT
    sent, received = spans.get_finished_spans()
    assert sent.parent.span_id == received.context.span_id
    assert received.context.trace_id == int(CONTEXT.split("-")[1], 16)
    assert sent.attributes["vm"] == "w1"


def test_context_is_passed_on_without_an_exporter():
    tracing = trace.Tracing(trace.Settings(), "d1")
    with tracing.open_hop("receive", {"traceparent": CONTEXT, "other": "x"}) as hop:
        assert hop.headers == {"traceparent": CONTEXT}


@pytest.fixture
def collector():
    """An HTTP server that stands in for an OTLP collector and keeps the bodies."""
    bodies = []

    class Handler(server.BaseHTTPRequestHandler):
        def do_POST(self):  # noqa: N802 - the library's name
            size = int(self.headers["content-length"])
            bodies.append((self.path, self.rfile.read(size)))
            self.send_response(200)
            self.end_headers()

        def log_message(self, *ignored):
            pass

    http_server = server.HTTPServer(("127.0.0.1", 0), Handler)
    thread = threading.Thread(target=http_server.serve_forever)
    thread.start()
    yield f"http://127.0.0.1:{http_server.server_port}/v1/traces", bodies
    http_server.shutdown()
    thread.join()
    http_server.server_close()


def test_spans_reach_an_otlp_collector(collector):
    endpoint, bodies = collector
    tracing = trace.Tracing(trace.Settings(exporter="otlp", endpoint=endpoint), "d1")
    with tracing.open_hop("receive", {"traceparent": CONTEXT}, service="match"):
        pass
    tracing.close()
    ((path, body),) = bodies
    sent = trace_service_pb2.ExportTraceServiceRequest.FromString(body)
    (span,) = sent.resource_spans[0].scope_spans[0].spans
    assert path == "/v1/traces"
    assert (span.name, span.trace_id.hex()) == ("receive", CONTEXT.split("-")[1])


def test_lines_of_a_kind_are_limited_and_omitted_lines_counted(caplog):
    limiter = log.Limiter(max_lines=3)
    with caplog.at_level(logging.INFO):
        admitted = [limiter.admit("start", 5.1) for _ in range(10)]
        assert limiter.admit("stop", 5.2)
        limiter.admit("start", 6.0)

    assert admitted.count(True) == 3
    (line,) = caplog.records
    assert line.fields == {"lines": {"start": 7}}


def test_stalled_reader_does_not_block_the_writer():
    reader, writer = os.pipe()
    stream = log.PipeStream(writer)
    for _ in range(1000):
        stream.write("x" * 200 + "\n")
    os.close(reader)
    stream.write("after the reader has gone\n")
    os.close(writer)

    assert stream.dropped > 100


def test_outage_makes_two_lines(caplog):
    outage_logger = log.OutageLogger("store")
    with caplog.at_level(logging.INFO):
        for succeeded in (True, False, False, False, True, True):
            outage_logger.record(succeeded, "timeout")

    assert [record.getMessage() for record in caplog.records] == [
        "store lost",
        "store back",
    ]
    assert caplog.records[1].fields == {"failures": 3}
