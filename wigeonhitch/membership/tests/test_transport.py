import socket
import struct

import anyio
import pytest

from wigeonhitch.membership import message, transport
from wigeonhitch.telemetry import metric
from wigeonhitch.wire import codec

pytestmark = pytest.mark.anyio

REGISTRY = codec.Registry({"heartbeat": message.Heartbeat})
BEAT = message.Heartbeat("a", 1, 0)


@pytest.fixture
def address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_transport(name, receive):
    return transport.Transport(name, REGISTRY, receive, metric.Instruments())


class BrokenStream:
    """A stream whose peer vanished without closing it, as TLS reports it."""

    async def receive(self, max_bytes=65536):
        raise anyio.EndOfStream

    async def aclose(self):
        raise anyio.BrokenResourceError

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        await self.aclose()


async def test_connection_that_breaks_while_closing_does_not_end_the_daemon():
    await make_transport("b", lambda received: None)._serve(BrokenStream())


async def test_frames_arrive_in_order_and_after_a_restart(address):
    received = []
    sender = make_transport("a", received.append)
    receiver = make_transport("b", received.append)
    async with anyio.create_task_group() as group:
        await group.start(sender.run, "127.0.0.1:0")
        for first in (1, 11):
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as inner:
                    await inner.start(receiver.run, address)
                    with anyio.fail_after(10):
                        while len(received) < first + 4:
                            for number in range(first, first + 5):
                                sender.send(address, BEAT._replace(beat=number), "t")
                            await anyio.sleep(0.2)
                    scope.cancel()
        group.cancel_scope.cancel()
    assert received[0] == codec.Received("a", BEAT)
    beats = [item.message.beat for item in received[:5]]
    assert beats == [1, 2, 3, 4, 5]


async def test_listener_survives_reset_connections_and_invalid_frames(address):
    received = []
    receiver = make_transport("b", received.append)
    async with anyio.create_task_group() as group:
        await group.start(receiver.run, address)
        host_and_port = transport.parse_address(address)
        for frame in (b"", b"\0", b"\0\0\0\1x", b"\xff\xff\xff\xff", b"\0\0\0\5abc"):
            stream = await anyio.connect_tcp(*host_and_port)
            if frame:
                await stream.send(frame)
            raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await anyio.aclose_forcefully(stream)
        stream = await anyio.connect_tcp(*host_and_port)
        await stream.send(codec.encode(REGISTRY, "a", BEAT))
        with anyio.fail_after(5):
            while not received:
                await anyio.sleep(0.01)
        await stream.aclose()
        group.cancel_scope.cancel()


async def test_only_a_message_that_cannot_be_encoded_is_dropped():
    sender = make_transport("a", lambda received: None)
    sender.send("127.0.0.1:1", BEAT._replace(beat="text"), "t")
    sender.send("127.0.0.1:1", message.Configuration(b""), "t")
    assert sender._instruments.read("peer_failed_total", {}) == 2


async def test_frames_to_an_unreachable_peer_are_dropped(address):
    sender = make_transport("a", lambda received: None)
    async with anyio.create_task_group() as group:
        await group.start(sender.run, "127.0.0.1:0")
        for _ in range(2000):
            sender.send(address, BEAT, "t")
        await anyio.sleep(0.05)
        assert sender._instruments.read("peer_dropped_total", {}) > 0
        group.cancel_scope.cancel()


@pytest.mark.parametrize("text", ["", "127.0.0.1", ":80", "a:b", "127.0.0.1:"])
async def test_address_without_host_or_port_is_refused(text):
    with pytest.raises(ValueError, match="expected host:port"):
        transport.parse_address(text)
