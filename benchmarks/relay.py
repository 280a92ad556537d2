"""A relay on loopback that counts what goes to the platform, by purpose."""

import collections
import socket
import threading

__all__ = ["Relay"]

CHUNK = 65536
METHODS = (b"GET ", b"POST ", b"PUT ")


class Relay:
    """Passes connections on to a port and counts requests and bytes.

    Attributes
    ----------
    port : int
        Where it listens.
    requests, sizes : collections.Counter
        Requests, and bytes both ways with headers, by purpose and path.
    """

    def __init__(self, target: int) -> None:
        self._target = target
        self.requests: collections.Counter[str] = collections.Counter()
        self.sizes: collections.Counter[str] = collections.Counter()
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.port = self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            far = socket.create_connection(("127.0.0.1", self._target))
            for one in (near, far):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            label = ["none"]
            for ways in ((near, far, True), (far, near, False)):
                threading.Thread(
                    target=self._pass_on, args=(*ways, label), daemon=True
                ).start()

    def _pass_on(
        self, given: socket.socket, to: socket.socket, is_request: bool, label: list
    ) -> None:
        while data := _receive(given):
            if is_request and data.startswith(METHODS):
                label[0] = _read_label(data)
                self.requests[label[0]] += 1
            self.sizes[label[0]] += len(data)
            try:
                to.sendall(data)
            except OSError:
                return
        to.close()


def _receive(given: socket.socket) -> bytes:
    try:
        return given.recv(CHUNK)
    except OSError:
        return b""


def _read_label(data: bytes) -> str:
    """Return ``purpose path`` of a request's head."""
    head = data.partition(b"\r\n\r\n")[0].decode("latin-1")
    first, *lines = head.split("\r\n")
    path = first.split(" ")[1].split("/")[1:3]
    fields = dict(line.lower().split(": ", 1) for line in lines if ": " in line)
    name = path[0] if path[0] == "objects" else "/".join(path)
    return f"{fields.get('wigeonhitch-purpose', 'none')} {name}"
