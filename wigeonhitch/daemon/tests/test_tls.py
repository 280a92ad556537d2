import contextlib
import pathlib
import socket
import ssl

import httpx
import pytest

from standins.demo import process, site

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"


@pytest.fixture(scope="module")
def secured(tmp_path_factory):
    """Return a site of two daemons whose callers, operators and peers use TLS."""
    with contextlib.ExitStack() as stack:
        folder = tmp_path_factory.mktemp("tls")
        options = site.Options(daemons=2, tls=True)
        opened_site = site.open_site(stack, folder, process.Ports(), EXAMPLE, options)
        opened_site.activate_document()
        opened_site.wait_until_vms_known()
        yield opened_site


@pytest.mark.processes
def test_request_is_served_over_tls_only(secured):
    for daemon in secured.daemons.values():
        url = f"127.0.0.1:{daemon.callers}/order-lookup/x"
        answer = httpx.get(f"https://{url}", verify=secured.verify, trust_env=False)
        assert answer.headers["wigeonhitch-verdict"] == "ran", (daemon, answer.text)
        with pytest.raises(httpx.HTTPError):
            httpx.get(f"http://{url}", trust_env=False)


@pytest.mark.processes
def test_daemons_exchange_heartbeats_over_mutual_tls(secured):
    for name in secured.daemons:
        status = secured.request("GET", "/status", daemon=name).json()
        assert status["alive"] == sorted(secured.daemons)


def send_broken_frame(secured, daemon, *, with_certificate):
    """Send an invalid frame, which a daemon counts as refused if it reads it."""
    context = ssl.create_default_context(cafile=secured.certificates["authority"])
    if with_certificate:
        context.load_cert_chain(
            secured.certificates["certificate"], secured.certificates["key"]
        )
    address = ("127.0.0.1", daemon.peers)
    with (
        socket.create_connection(address, timeout=5) as raw,
        contextlib.suppress(ssl.SSLError, ConnectionError),
    ):
        stream = context.wrap_socket(raw, server_hostname="127.0.0.1")
        stream.sendall(b"\0\0\0\1x")
        stream.recv(1)


def count_refused(secured, daemon):
    url = f"https://127.0.0.1:{daemon.operators}/metrics"
    text = httpx.get(url, verify=secured.verify, trust_env=False).text
    lines = [line for line in text.splitlines() if "peer_refused_total{" in line]
    return sum(float(line.split()[-1]) for line in lines)


@pytest.mark.processes
def test_frame_of_a_peer_without_a_certificate_is_never_read(secured):
    daemon = next(iter(secured.daemons.values()))
    send_broken_frame(secured, daemon, with_certificate=False)
    assert count_refused(secured, daemon) == 0
    send_broken_frame(secured, daemon, with_certificate=True)
    assert count_refused(secured, daemon) == 1
