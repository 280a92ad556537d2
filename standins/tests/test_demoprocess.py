"""Processes of a run on loopback: allocation of ports, and termination."""

import contextlib
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from standins.demo import process

ROOT = pathlib.Path(__file__).parents[2]
FIRST_PORT = 20_000
TIMEOUT_SECONDS = 30.0

# Tests of a nested run that is terminated during the first of them.
NESTED_TESTS = """
import contextlib, pathlib, time
import pytest
from standins.demo import process

FOLDER = pathlib.Path(__file__).parent

@pytest.fixture(scope="module")
def child():
    process.exit_on_sigterm()
    with contextlib.ExitStack() as stack:
        yield process.start(stack, FOLDER, "child", ["http.server", "0"])
    FOLDER.joinpath("stopped").touch()

def test_that_lasts(child):
    FOLDER.joinpath("begun").touch()
    time.sleep(60.0)

def test_that_comes_next():
    FOLDER.joinpath("next").touch()
"""


@pytest.fixture
def open_ports(monkeypatch):
    """Create allocators that start at the same port, as concurrent runs may."""
    monkeypatch.setattr(process.random.SystemRandom, "randrange", lambda *_: FIRST_PORT)
    with contextlib.ExitStack() as stack:
        yield lambda: stack.enter_context(contextlib.closing(process.Ports()))


def listen(port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


def test_ports_of_two_runs_differ_before_any_process_listens(open_ports):
    assert set(open_ports().allocate(5)).isdisjoint(open_ports().allocate(5))


def test_port_stays_reserved_while_its_process_is_down(open_ports):
    (port,) = open_ports().allocate()
    for _ in range(2):
        with listen(port), socket.create_connection(("127.0.0.1", port)):
            pass
        assert port not in open_ports().allocate(5)


def test_connections_are_refused_until_process_listens(open_ports):
    (port,) = open_ports().allocate()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))


def test_ports_are_free_once_closed(open_ports):
    first = open_ports()
    allocated = first.allocate(5)
    first.close()
    assert open_ports().allocate(5) == allocated


@pytest.mark.processes
def test_sigterm_ends_test_run_without_failing_tests(tmp_path):
    test_file = tmp_path / "test_ended.py"
    test_file.write_text(NESTED_TESTS)
    command = [sys.executable, "-m", "pytest", "-p", "conftest", str(test_file)]
    with subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True
    ) as running:
        deadline = time.monotonic() + TIMEOUT_SECONDS
        while not tmp_path.joinpath("begun").exists():
            assert time.monotonic() < deadline
            time.sleep(0.05)
        running.send_signal(signal.SIGTERM)
        output, _ = running.communicate(timeout=TIMEOUT_SECONDS)
    assert running.returncode == pytest.ExitCode.INTERRUPTED, output
    # The known failures are printed in each run.
    known_failures = ROOT.joinpath("KNOWN-RED.txt").read_text(encoding="utf-8")
    assert "failed" not in output.replace(known_failures, "")
    assert tmp_path.joinpath("stopped").exists()
    assert not tmp_path.joinpath("next").exists()
