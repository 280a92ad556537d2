"""Relay on loopback that counts requests and bytes to the platform by purpose."""

import collections
import socket
import threading

__all__ = ["Relay"]

CHUNK_BYTES = 65536
METHODS = (b"GET ", b"POST ", b"PUT ")


class Relay:
    """Forwards connections to a port and counts requests and bytes.

    Attributes
    ----------
    port : int
        Port that it listens on.
    requests, byte_counts : collections.Counter
        Requests, and bytes in both directions including headers, by purpose and
        path.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self.requests: collections.Counter[str] = collections.Counter()
        self.byte_counts: collections.Counter[str] = collections.Counter()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = socket.create_connection(("127.0.0.1", self._target))
            for connection in (client, server):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            label = ["none"]
            for sockets in ((client, server, True), (server, client, False)):
                threading.Thread(
                    target=self._forward, args=(*sockets, label), daemon=True
                ).start()

    def _forward(
        self,
        source: socket.socket,
        destination: socket.socket,
        is_request: bool,
        label: list,
    ) -> None:
        while data := _receive(source):
            if is_request and data.startswith(METHODS):
                label[0] = _read_label(data)
                self.requests[label[0]] += 1
            self.byte_counts[label[0]] += len(data)
            try:
                destination.sendall(data)
            except OSError:
                return
        destination.close()


def _receive(source: socket.socket) -> bytes:
    try:
        return source.recv(CHUNK_BYTES)
    except OSError:
        return b""


def _read_label(data: bytes) -> str:
    """Return ``purpose path`` of a request from its header."""
    head = data.partition(b"\r\n\r\n")[0].decode("latin-1")
    request_line, *lines = head.split("\r\n")
    path = request_line.split(" ")[1].split("/")[1:3]
    headers = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    name = path[0] if path[0] == "objects" else "/".join(path)
    return f"{headers.get('wigeonhitch-purpose', 'none')} {name}"
