"""Loopback relays: links that are delayed, reset, cut one way or silenced."""

import contextlib
import enum
import socket
import struct

import anyio
import anyio.abc

__all__ = ["Link", "Relay"]

CHUNK = 65536

RESET = struct.pack("ii", 1, 0)
"""Linger time of 0 s: closing a socket sends a reset."""


class Link(enum.Enum):
    """State of the connections through a relay."""

    OPEN = "open"
    SLOW = "slow"
    """Bytes arrive `DELAY` later."""
    CUT_OUT = "cut out"
    """Nothing passes from the client to the server."""
    CUT_BACK = "cut back"
    """Nothing passes from the server to the client."""
    CUT = "cut"
    """Nothing passes either way."""
    FULL = "full"
    """New connections wait; open ones work."""


DELAY = 0.12
"""Seconds by which a slow link delays each way; 60 times loopback's usual."""


class Relay:
    """Passes the connections to one address on.

    Attributes
    ----------
    state : Link
        Holds for all connections, old and new.
    late : dict of bytes to float
        Seconds by which an answer is late, by a part of what was asked.
    """

    def __init__(self, host: str, port: int, target_host: str, target: int) -> None:
        self.address = f"{host}:{port}"
        self.state = Link.OPEN
        self.late: dict[bytes, float] = {}
        self._host = host
        self._port = port
        self._target = (target_host, target)
        self._changed = anyio.Event()
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._clients: dict[int, anyio.abc.SocketStream] = {}
        self._silenced: set[int] = set()
        self._asked: dict[int, bytes] = {}
        self._count = 0

    def switch(self, state: Link) -> None:
        """Change the state of all connections."""
        self.state = state
        self._changed.set()
        self._changed = anyio.Event()

    def reset(self) -> None:
        """Break all open connections."""
        for number, client in self._clients.items():
            raw = client.extra(anyio.abc.SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self._scopes[number].cancel()

    def silence(self) -> None:
        """Let open connections pass nothing any more; new ones work."""
        self._silenced.update(self._scopes)

    async def run(self, *, task_status: anyio.abc.TaskStatus[None]) -> None:
        """Listen until cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self._host, local_port=self._port
        )
        async with listener:
            task_status.started()
            await listener.serve(self._serve)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        self._count += 1
        number = self._count
        scope = anyio.CancelScope()
        self._scopes[number] = scope
        self._clients[number] = client
        server = None
        try:
            with scope, contextlib.suppress(OSError, anyio.BrokenResourceError):
                while self.state is Link.FULL:
                    await self._changed.wait()
                server = await anyio.connect_tcp(*self._target)
                async with anyio.create_task_group() as group:
                    group.start_soon(self._pass, number, client, server, Link.CUT_OUT)
                    group.start_soon(self._pass, number, server, client, Link.CUT_BACK)
        finally:
            del self._scopes[number], self._clients[number]
            self._silenced.discard(number)
            self._asked.pop(number, None)
            with anyio.CancelScope(shield=True):
                for one in (client, server):
                    if one is not None:
                        await anyio.aclose_forcefully(one)

    async def _pass(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        cut: Link,
    ) -> None:
        """Pass bytes one way; the end of either way ends the connection."""
        while True:
            try:
                data = await source.receive(CHUNK)
                if cut is Link.CUT_OUT:
                    self._asked[number] = self._asked.get(number, b"") + data
                else:
                    await anyio.sleep(self._take_delay(number))
                await self._wait_until_open(number, cut)
                await sink.send(data)
            except (anyio.EndOfStream, OSError, anyio.BrokenResourceError):
                self._scopes[number].cancel()
                return

    def _take_delay(self, number: int) -> float:
        asked = self._asked.pop(number, b"")
        found = [late for what, late in self.late.items() if what in asked]
        return max(found, default=0.0)

    async def _wait_until_open(self, number: int, cut: Link) -> None:
        if number in self._silenced:
            await anyio.sleep_forever()
        while self.state in (cut, Link.CUT):
            await self._changed.wait()
        if self.state is Link.SLOW:
            await anyio.sleep(DELAY)
