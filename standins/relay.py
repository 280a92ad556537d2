"""Relay between daemons as a process: ``python -m standins.relay --control PORT``.

Daemons advertise the relay's ports, so that each link between two of them can
be cut or frozen by itself. A link is known by the sender named in the first
frame of a connection. Each line sent to the control port is a JSON object:

- ``{"add": [NAME, LISTEN, TARGET]}``: listen for the daemon NAME;
- ``{"link": [SENDER, RECEIVER, STATE]}``: ``open``, ``cut`` or ``frozen``.

Each is answered with the line ``done``. SIGTERM ends the process.
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

CHUNK = 65536
LINE_LIMIT = 4096


class Link(enum.Enum):
    """State of the link from one daemon to another."""

    OPEN = "open"
    CUT = "cut"
    """Connections are closed."""
    FROZEN = "frozen"
    """Connections stay; bytes are held back until the link is open."""


class Relay:
    """Passes connections on, link by link."""

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
                    line = await reader.receive_until(b"\n", LINE_LIMIT)
                    for name, given in json.loads(line).items():
                        if name == "add":
                            await group.start(self._listen, *given)
                        else:
                            self.switch(given[0], given[1], Link(given[2]))
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
                    await self._pass(stream, name, target)

        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )
        async with listener:
            task_status.started()
            await listener.serve(serve)

    async def _pass(self, stream: Any, receiver: str, target: int) -> None:
        reader = buffered.BufferedByteReceiveStream(stream)
        header = await reader.receive_exactly(codec.HEADER_SIZE)
        body = await reader.receive_exactly(codec.read_size(header))
        sender = codec.decode(exchange.REGISTRY, body).sender
        data = header + body
        outward = None
        try:
            while await self._await_open(sender, receiver):
                if outward is None:
                    outward = await anyio.connect_tcp("127.0.0.1", target)
                await outward.send(data)
                data = await self._receive(reader, sender, receiver)
        finally:
            if outward is not None:
                await anyio.aclose_forcefully(outward)

    async def _receive(self, reader: Any, sender: str, receiver: str) -> bytes:
        """Return the next bytes; none when the link is cut meanwhile."""
        data = b""

        async def read() -> None:
            nonlocal data
            with contextlib.suppress(anyio.EndOfStream):
                data = await reader.receive(CHUNK)
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            group.start_soon(read)
            while self._states.get((sender, receiver)) is not Link.CUT:
                await self._changed.wait()
            group.cancel_scope.cancel()
        if not data:
            raise anyio.EndOfStream
        return data

    async def _await_open(self, sender: str, receiver: str) -> bool:
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
    """Read the options and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--control", type=int, required=True)
    anyio.run(serve, parser.parse_args().control)


if __name__ == "__main__":
    run()
