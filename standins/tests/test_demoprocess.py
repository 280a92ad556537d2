"""The processes of a run on loopback: their ports."""

import contextlib
import socket

import pytest

from standins.demo import process

FIRST = 20_000


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
    assert set(open_ports().take(5)).isdisjoint(open_ports().take(5))


def test_a_port_is_not_given_to_another_run_while_its_process_is_down(open_ports):
    (port,) = open_ports().take()
    for _ in range(2):
        with listen(port), socket.create_connection(("127.0.0.1", port)):
            pass
        assert port not in open_ports().take(5)


def test_connections_to_a_port_are_refused_until_its_process_listens(open_ports):
    (port,) = open_ports().take()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", port))


def test_ports_are_free_once_closed(open_ports):
    first = open_ports()
    taken = first.take(5)
    first.close()
    assert open_ports().take(5) == taken
