"""TCP connections between daemons.

Each outgoing connection is owned by one task that takes frames from a bounded queue.
Frames to a peer that does not keep up are dropped and counted, so that it never
blocks the sender. Incoming connections are only read.
"""

import contextlib
import ssl
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
from anyio import abc
from anyio.streams import buffered, tls

from wigeonhitch.telemetry import log, metric
from wigeonhitch.wire import codec

__all__ = ["Address", "Limits", "Transport", "parse_address"]


# Raised when the peer or the network path to it is lost.
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    TimeoutError,
    OSError,
)


class Address(NamedTuple):
    """The parts of ``host:port``."""

    host: str
    port: int


class Limits(NamedTuple):
    """Limits of the connections between daemons.

    Parameters
    ----------
    max_queued_frames : int
        Maximum frames that wait for one peer. At some hundred frames a second these
        are several seconds of traffic; older frames are of no use.
    connect_timeout, send_timeout : float
        Seconds after which a connection is closed.
    retry_pause : float
        Seconds between attempts to connect to the same peer.
    """

    max_queued_frames: int = 1000
    connect_timeout: float = 1.0
    send_timeout: float = 5.0
    retry_pause: float = 0.5


def parse_address(text: str) -> Address:
    """Parse ``host:port``.

    Raises
    ------
    ValueError
        If the text is not of that form.

    Examples
    --------
    >>> parse_address("127.0.0.1:7000")
    Address(host='127.0.0.1', port=7000)
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdigit():
        raise ValueError(f"address {text!r}; expected host:port")
    return Address(host.strip("[]"), int(port))


class Transport:
    """Sends and receives frames of one daemon.

    Parameters
    ----------
    daemon : str
        Name of this daemon, put into every frame.
    registry : codec.Registry
        Message types.
    receive : callable
        Called with each `codec.Received`; must not block.
    instruments : metric.Instruments
    limits : Limits
    server_context, client_context : ssl.SSLContext or None
        Mutual TLS; None for plain TCP.
    """

    def __init__(
        self,
        daemon: str,
        registry: codec.Registry,
        receive: Callable[[codec.Received], None],
        instruments: metric.Instruments,
        limits: Limits = Limits(),  # noqa: B008 - an immutable tuple
        server_context: ssl.SSLContext | None = None,
        client_context: ssl.SSLContext | None = None,
    ) -> None:
        self._daemon = daemon
        self._registry = registry
        self._receive = receive
        self._instruments = instruments
        self._limits = limits
        self._server_context = server_context
        self._client_context = client_context
        self._streams: dict[str, Any] = {}
        self._group: abc.TaskGroup | None = None

    async def run(
        self, bind: str, *, task_status: abc.TaskStatus = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on ``bind`` and own all connections until cancelled."""
        address = parse_address(bind)
        listener: Any = await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port
        )
        if self._server_context is not None:
            listener = tls.TLSListener(listener, self._server_context)
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(listener)
            self._group = await stack.enter_async_context(anyio.create_task_group())
            task_status.started()
            await listener.serve(self._serve)

    def send(self, address: str, message: Any, purpose: str) -> None:
        """Queue a message for a peer; it is dropped if the queue is full.

        A message that cannot be encoded is a fault of this program. It is logged and
        dropped, and must not end the daemon, whose callers and drains do not depend on
        any single message.
        """
        try:
            frame = codec.encode(self._registry, self._daemon, message)
        except Exception:
            self._instruments.count("peer_failed_total", "Messages that failed here.")
            log.log_exception(
                "cannot encode a peer message", kind=type(message).__name__
            )
            return
        self._instruments.count(
            "peer_sent_bytes_total", "Bytes to peers.", len(frame), purpose=purpose
        )
        self._instruments.count(
            "peer_sent_total", "Messages to peers.", purpose=purpose
        )
        stream = self._streams.get(address)
        if stream is None and self._group is not None:
            stream, source = anyio.create_memory_object_stream[bytes](
                self._limits.max_queued_frames
            )
            self._streams[address] = stream
            self._group.start_soon(self._run_connection, address, source)
        try:
            if stream is not None:
                stream.send_nowait(frame)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            self._instruments.count("peer_dropped_total", "Messages dropped.")

    async def _run_connection(self, address: str, source: Any) -> None:
        """Connect when a frame is queued, and reconnect after a failure."""
        try:
            async for frame in source:
                try:
                    with anyio.fail_after(self._limits.connect_timeout):
                        stream = await self._connect(address)
                except CONNECTION_ERRORS:
                    self._instruments.count("peer_unconnected_total", "Not connected.")
                    self._drop_queued(source)
                    await anyio.sleep(self._limits.retry_pause)
                    continue
                try:
                    await self._send_frames(stream, frame, source)
                except CONNECTION_ERRORS:
                    self._instruments.count("peer_broken_total", "Connections broken.")
                finally:
                    await anyio.aclose_forcefully(stream)
        finally:
            source.close()

    async def _connect(self, address: str) -> Any:
        host, port = parse_address(address)
        if self._client_context is None:
            return await anyio.connect_tcp(host, port)
        return await anyio.connect_tcp(
            host, port, tls=True, ssl_context=self._client_context
        )

    async def _send_frames(self, stream: Any, frame: bytes, source: Any) -> None:
        while True:
            with anyio.fail_after(self._limits.send_timeout):
                await stream.send(frame)
            frame = await source.receive()
            frame = b"".join((frame, *_receive_queued(source)))

    def _drop_queued(self, source: Any) -> None:
        dropped = len(_receive_queued(source)) + 1
        self._instruments.count("peer_dropped_total", "Messages dropped.", dropped)

    async def _serve(self, stream: Any) -> None:
        """Read one incoming connection until it ends.

        Closing it can fail too if the peer vanished without closing the connection. No
        error of one connection may reach the listener's task group, since that would
        end the daemon.
        """
        with contextlib.suppress(*CONNECTION_ERRORS):
            async with stream:
                await self._read_frames(buffered.BufferedByteReceiveStream(stream))

    async def _read_frames(self, reader: buffered.BufferedByteReceiveStream) -> None:
        while True:
            header = await reader.receive_exactly(codec.HEADER_SIZE)
            size = codec.read_size(header)
            if isinstance(size, codec.Problem):
                self._count_refused(size)
                return
            body = await reader.receive_exactly(size)
            received = codec.decode(self._registry, body)
            if isinstance(received, codec.Problem):
                self._count_refused(received)
                return
            self._deliver(received)

    def _deliver(self, received: codec.Received) -> None:
        """Pass a message to its handler, whose faults must not end the daemon."""
        try:
            self._receive(received)
        except Exception:
            self._instruments.count("peer_failed_total", "Messages that failed here.")
            log.log_exception("cannot process a peer message", peer=received.sender)

    def _count_refused(self, problem: codec.Problem) -> None:
        self._instruments.count(
            "peer_refused_total", "Frames refused.", reason=problem.reason.split(":")[0]
        )


def _receive_queued(source: Any) -> list[bytes]:
    frames = []
    while True:
        try:
            frames.append(source.receive_nowait())
        except (anyio.WouldBlock, anyio.EndOfStream):
            return frames
