"""The metrics of a daemon, at a port of their own."""

from typing import Any

from wigeonhitch.telemetry import metric

__all__ = ["Exposition"]

PATH = "/metrics"


class Exposition:
    """ASGI application that answers on the metrics' port and hands on the rest.

    Parameters
    ----------
    inner : callable
        ASGI application of all other ports.
    instruments : metric.Instruments
        What is shown.
    port : int
        Port of the metrics.
    """

    def __init__(self, inner: Any, instruments: metric.Instruments, port: int) -> None:
        self._inner = inner
        self._instruments = instruments
        self._port = port

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        server = scope.get("server") or ("", 0)
        if scope["type"] != "http" or server[1] != self._port:
            await self._inner(scope, receive, send)
            return
        found = scope["path"] == PATH
        body, headers = self._instruments.render() if found else (b"", {})
        listed = [(name.lower().encode(), v.encode()) for name, v in headers.items()]
        status = 200 if found else 404
        await send({"type": "http.response.start", "status": status, "headers": listed})
        await send({"type": "http.response.body", "body": body})
