"""Loopback relays: links that are delayed, reset, cut or silenced."""

import contextlib
import enum
import socket
import struct

import anyio
import anyio.abc

__all__ = ["Link", "Relay"]

CHUNK_BYTES = 65536

LINGER_RESET = struct.pack("ii", 1, 0)
"""Linger option with a time of 0 s: closing a socket sends a reset."""


class Link(enum.Enum):
    """State of the connections through a relay."""

    OPEN = "open"
    SLOW = "slow"
    """Bytes are delayed by `DELAY_SECONDS`."""
    CUT_OUT = "cut out"
    """No bytes are forwarded from the client to the server."""
    CUT_BACK = "cut back"
    """No bytes are forwarded from the server to the client."""
    CUT = "cut"
    """No bytes are forwarded in either direction."""
    FULL = "full"
    """New connections wait; open ones work."""


DELAY_SECONDS = 0.12
"""Delay of a slow link in each direction: 60 times that of loopback."""


class Relay:
    """Forwards the connections to one address.

    Attributes
    ----------
    state : Link
        Applies to existing and new connections.
    answer_delays : dict of bytes to float
        Seconds by which an answer is delayed, by a substring of its request.
    is_refusing : bool
        Whether new connections are reset, as nobody listens at the address.
    """

    def __init__(self, host: str, port: int, target_host: str, target: int) -> None:
        self.address = f"{host}:{port}"
        self.state = Link.OPEN
        self.answer_delays: dict[bytes, float] = {}
        self.is_refusing = False
        self._host = host
        self._port = port
        self._target = (target_host, target)
        self._changed = anyio.Event()
        self._scopes: dict[int, anyio.CancelScope] = {}
        self._clients: dict[int, anyio.abc.SocketStream] = {}
        self._silenced: set[int] = set()
        self._requests: dict[int, bytes] = {}
        self._count = 0

    def switch(self, state: Link) -> None:
        """Change the state of all connections."""
        self.state = state
        self._changed.set()
        self._changed = anyio.Event()

    def reset(self) -> None:
        """Reset all open connections."""
        for number, client in self._clients.items():
            _reset_when_closed(client)
            self._scopes[number].cancel()

    def silence(self) -> None:
        """Stop forwarding on all open connections; new ones work."""
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
                if self.is_refusing:
                    _reset_when_closed(client)
                    return
                server = await anyio.connect_tcp(*self._target)
                async with anyio.create_task_group() as group:
                    group.start_soon(
                        self._forward, number, client, server, Link.CUT_OUT
                    )
                    group.start_soon(
                        self._forward, number, server, client, Link.CUT_BACK
                    )
        finally:
            del self._scopes[number], self._clients[number]
            self._silenced.discard(number)
            self._requests.pop(number, None)
            with anyio.CancelScope(shield=True):
                for stream in (client, server):
                    if stream is not None:
                        await anyio.aclose_forcefully(stream)

    async def _forward(
        self,
        number: int,
        source: anyio.abc.SocketStream,
        sink: anyio.abc.SocketStream,
        cut: Link,
    ) -> None:
        """Forward bytes in one direction; an end of either direction ends both."""
        while True:
            try:
                data = await source.receive(CHUNK_BYTES)
                if cut is Link.CUT_OUT:
                    self._requests[number] = self._requests.get(number, b"") + data
                else:
                    await anyio.sleep(self._take_delay(number))
                await self._wait_until_open(number, cut)
                await sink.send(data)
            except (anyio.EndOfStream, OSError, anyio.BrokenResourceError):
                self._scopes[number].cancel()
                return

    def _take_delay(self, number: int) -> float:
        request = self._requests.pop(number, b"")
        delays = [
            delay for part, delay in self.answer_delays.items() if part in request
        ]
        return max(delays, default=0.0)

    async def _wait_until_open(self, number: int, cut: Link) -> None:
        if number in self._silenced:
            await anyio.sleep_forever()
        while self.state in (cut, Link.CUT):
            await self._changed.wait()
        if self.state is Link.SLOW:
            await anyio.sleep(DELAY_SECONDS)


def _reset_when_closed(client: anyio.abc.SocketStream) -> None:
    raw = client.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
