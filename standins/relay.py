"""Relay between daemons as a process: ``python -m standins.relay --control PORT``.

Daemons advertise the relay's ports, so that each link between two of them can
be cut or frozen separately. A link is identified by the sender that the first
frame of a connection names. Each line sent to the control port is a JSON object:

- ``{"add": [NAME, LISTEN, TARGET]}``: listen for the daemon NAME;
- ``{"link": [SENDER, RECEIVER, STATE]}``: ``open``, ``cut`` or ``frozen``.

Each line is answered with the line ``done``. SIGTERM stops the process.
"""

import argparse
import contextlib
import enum
import json
from typing import Any

import anyio
from anyio.streams import buffered

from wigeonhitch.daemon import exchange
from wigeonhitch.wire import codec

__all__ = ["Link", "Relay", "run"]

CHUNK_BYTES = 65536
MAX_LINE_BYTES = 4096


class Link(enum.Enum):
    """State of the link from one daemon to another."""

    OPEN = "open"
    CUT = "cut"
    """Connections are closed."""
    FROZEN = "frozen"
    """Connections stay open; bytes are withheld until the link is open again."""


class Relay:
    """Forwards connections according to the state of their link."""

    def __init__(self) -> None:
        self._states: dict[tuple[str, str], Link] = {}
        self._changed = anyio.Event()

    def switch(self, sender: str, receiver: str, state: Link) -> None:
        """Change the state of one link."""
        self._states[(sender, receiver)] = state
        self._changed.set()
        self._changed = anyio.Event()

    async def control(self, group: Any, stream: Any) -> None:
        """Serve one control connection."""
        reader = buffered.BufferedByteReceiveStream(stream)
        async with stream:
            with contextlib.suppress(anyio.EndOfStream, anyio.IncompleteRead):
                while True:
                    line = await reader.receive_until(b"\n", MAX_LINE_BYTES)
                    for name, arguments in json.loads(line).items():
                        if name == "add":
                            await group.start(self._listen, *arguments)
                        else:
                            self.switch(arguments[0], arguments[1], Link(arguments[2]))
                    await stream.send(b"done\n")

    async def _listen(
        self, name: str, port: int, target: int, *, task_status: Any
    ) -> None:
        async def serve(stream: Any) -> None:
            with contextlib.suppress(
                OSError,
                anyio.EndOfStream,
                anyio.IncompleteRead,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                async with stream:
                    await self._forward(stream, name, target)

        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        async with listener:
            task_status.started()
            await listener.serve(serve)

    async def _forward(self, stream: Any, receiver: str, target: int) -> None:
        reader = buffered.BufferedByteReceiveStream(stream)
        header = await reader.receive_exactly(codec.HEADER_SIZE)
        body = await reader.receive_exactly(codec.read_size(header))
        sender = codec.decode(exchange.REGISTRY, body).sender
        data = header + body
        outgoing = None
        try:
            while await self._wait_until_open(sender, receiver):
                if outgoing is None:
                    outgoing = await anyio.connect_tcp("127.0.0.1", target)
                await outgoing.send(data)
                data = await self._receive(reader, sender, receiver)
        finally:
            if outgoing is not None:
                await anyio.aclose_forcefully(outgoing)

    async def _receive(self, reader: Any, sender: str, receiver: str) -> bytes:
        """Return the next bytes; raise `anyio.EndOfStream` if the link is cut."""
        data = b""

        async def read() -> None:
            nonlocal data
            with contextlib.suppress(anyio.EndOfStream):
                data = await reader.receive(CHUNK_BYTES)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            while self._states.get((sender, receiver)) is not Link.CUT:
                await self._changed.wait()
            group.cancel_scope.cancel()
        if not data:
            raise anyio.EndOfStream
        return data

    async def _wait_until_open(self, sender: str, receiver: str) -> bool:
        while True:
            state = self._states.get((sender, receiver), Link.OPEN)
            if state is not Link.FROZEN:
                return state is Link.OPEN
            await self._changed.wait()


async def serve(port: int) -> None:
    """Serve the control port until cancelled."""
    relay = Relay()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
    async with listener, anyio.create_task_group() as group:
        print("ready", flush=True)
        await listener.serve(lambda stream: relay.control(group, stream))


def run() -> None:
    """Parse the options and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", type=int, required=True)
    anyio.run(serve, parser.parse_args().control)


if __name__ == "__main__":
    run()
