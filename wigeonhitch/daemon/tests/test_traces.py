import contextlib
import json
import pathlib
import time

import httpx
import pytest

from standins.demo import process, site

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"
TRACE = "0af7651916cd43dd8448eb211c80319c"
PRINT_LIMIT_SECONDS = 20.0


@pytest.fixture
def traced(tmp_path):
    """Return a site of two daemons that print their spans."""
    with contextlib.ExitStack() as stack:
        settings = {"traces": {"exporter": "console"}}
        options = site.Options(daemons=2, settings=settings)
        opened_site = site.open_site(stack, tmp_path, process.Ports(), EXAMPLE, options)
        opened_site.activate_document()
        opened_site.wait_until_vms_known()
        yield opened_site


def read_spans(child):
    """Return the names of the spans of the trace that a daemon printed."""
    decoder = json.JSONDecoder()
    text = child.read()
    names = set()
    offset = text.find("\n{\n")
    while offset >= 0:
        with contextlib.suppress(ValueError):
            span = decoder.raw_decode(text, offset + 1)[0]
            if span["context"]["trace_id"] == f"0x{TRACE}":
                names.add(span["name"])
        offset = text.find("\n{\n", offset + 1)
    return names


@pytest.mark.processes
def test_every_hop_of_a_request_has_a_span_of_its_trace(traced):
    """Each pool is owned by one daemon, so some slot requests go to the other one."""
    headers = {"traceparent": f"00-{TRACE}-b7ad6b7169203331-01"}
    # The first request for a pool only discovers the owner of the pool.
    services = list(traced.intended.services) * 4
    for daemon in traced.daemons.values():
        for number, service in enumerate(services):
            url = f"http://127.0.0.1:{daemon.callers}/{service.name}/x"
            key = {"idempotency-key": f"{daemon.name}-{number}"}
            answer = httpx.post(url, headers=headers | key, trust_env=False)
            verdict = answer.headers["wigeonhitch-verdict"]
            assert verdict == "ran", (daemon.name, number, answer.headers, answer.text)
    wanted = {"receive", "claim", "send", "slots"}
    deadline = time.monotonic() + PRINT_LIMIT_SECONDS
    spans_by_daemon = {}
    while time.monotonic() < deadline:
        spans_by_daemon = {
            name: read_spans(traced.children[name]) for name in traced.daemons
        }
        if all(names >= wanted - {"slots"} for names in spans_by_daemon.values()):
            break
        time.sleep(0.2)
    assert all(names >= wanted - {"slots"} for names in spans_by_daemon.values()), (
        spans_by_daemon
    )
    assert any("slots" in names for names in spans_by_daemon.values()), spans_by_daemon
