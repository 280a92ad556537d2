"""The processes of a run on loopback: their ports, and the end of them all."""

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
FIRST = 20_000
LIMIT = 30.0  # seconds

# The tests of a run that is ended in the first of them.
ENDED = """
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
    """Open ports that all begin at one number, as those of any runs may."""
    monkeypatch.setattr(process.random.SystemRandom, "randrange", lambda *_: FIRST)
    with contextlib.ExitStack() as stack:
        yield lambda: stack.enter_context(contextlib.closing(process.Ports()))


def listen(port):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


def test_ports_of_two_runs_differ_before_anything_listens(open_ports):
    assert set(open_ports().allocate(5)).isdisjoint(open_ports().allocate(5))


def test_a_port_is_not_given_to_another_run_while_its_process_is_down(open_ports):
    (port,) = open_ports().allocate()
    for _ in range(2):
        with listen(port), socket.create_connection(("127.0.0.1", port)):
            pass
        assert port not in open_ports().allocate(5)


def test_connections_to_a_port_are_refused_until_its_process_listens(open_ports):
    (port,) = open_ports().allocate()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))


def test_ports_are_free_once_closed(open_ports):
    first = open_ports()
    taken = first.allocate(5)
    first.close()
    assert open_ports().allocate(5) == taken


@pytest.mark.processes
def test_sigterm_ends_a_run_of_tests_and_fails_none_of_them(tmp_path):
    written = tmp_path / "test_ended.py"
    written.write_text(ENDED)
    command = [sys.executable, "-m", "pytest", "-p", "conftest", str(written)]
    with subprocess.Popen(
        command, cwd=ROOT, stdout=subprocess.PIPE, text=True
    ) as running:
        deadline = time.monotonic() + LIMIT
        while not tmp_path.joinpath("begun").exists():
            assert time.monotonic() < deadline
            time.sleep(0.05)
        running.send_signal(signal.SIGTERM)
        output, _ = running.communicate(timeout=LIMIT)
    assert running.returncode == pytest.ExitCode.INTERRUPTED, output
    assert "failed" not in output
    assert tmp_path.joinpath("stopped").exists()
    assert not tmp_path.joinpath("next").exists()
