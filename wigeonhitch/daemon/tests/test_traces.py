import contextlib
import json
import pathlib
import time

import httpx
import pytest

from standins.demo import process, site

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"
TRACE = "0af7651916cd43dd8448eb211c80319c"
LIMIT = 20.0  # seconds for the spans to be printed


@pytest.fixture
def traced(tmp_path):
    """Two daemons that print their spans."""
    with contextlib.ExitStack() as stack:
        settings = {"traces": {"exporter": "console"}}
        options = site.Options(daemons=2, settings=settings)
        made = site.open_site(stack, tmp_path, process.Ports(), EXAMPLE, options)
        made.activate_document()
        made.wait_until_vms_known()
        yield made


def read_spans(child):
    """Return the names of the spans of the trace that a daemon printed."""
    decoder = json.JSONDecoder()
    text = child.read()
    names = set()
    place = text.find("\n{\n")
    while place >= 0:
        with contextlib.suppress(ValueError):
            span = decoder.raw_decode(text, place + 1)[0]
            if span["context"]["trace_id"] == f"0x{TRACE}":
                names.add(span["name"])
        place = text.find("\n{\n", place + 1)
    return names


@pytest.mark.processes
def test_every_hop_of_a_request_has_a_span_of_its_trace(traced):
    """Pools are counted by one daemon each, so some asks cross to the other."""
    headers = {"traceparent": f"00-{TRACE}-b7ad6b7169203331-01"}
    # The first request of a pool only makes its owner known to the daemon.
    services = list(traced.intended.services) * 4
    for daemon in traced.daemons.values():
        for number, service in enumerate(services):
            url = f"http://127.0.0.1:{daemon.callers}/{service.name}/x"
            key = {"idempotency-key": f"{daemon.name}-{number}"}
            answer = httpx.post(url, headers=headers | key, trust_env=False)
            verdict = answer.headers["wigeonhitch-verdict"]
            assert verdict == "ran", (daemon.name, number, answer.headers, answer.text)
    wanted = {"receive", "claim", "send", "slots"}
    deadline = time.monotonic() + LIMIT
    found = {}
    while time.monotonic() < deadline:
        found = {name: read_spans(traced.children[name]) for name in traced.daemons}
        if all(names >= wanted - {"slots"} for names in found.values()):
            break
        time.sleep(0.2)
    assert all(names >= wanted - {"slots"} for names in found.values()), found
    assert any("slots" in names for names in found.values()), found
