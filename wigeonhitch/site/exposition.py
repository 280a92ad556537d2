"""Serves the metrics of a daemon, on a port of their own."""

from typing import Any

from wigeonhitch.telemetry import metric

__all__ = ["Exposition"]

PATH = "/metrics"


class Exposition:
    """ASGI application that serves the metrics' port and passes on other requests.

    Parameters
    ----------
    inner : callable
        ASGI application that serves all other ports.
    instruments : metric.Instruments
        The metrics that are served.
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
        is_metrics_path = scope["path"] == PATH
        body, headers = self._instruments.render() if is_metrics_path else (b"", {})
        header_list = [
            (name.lower().encode(), value.encode()) for name, value in headers.items()
        ]
        status = 200 if is_metrics_path else 404
        await send(
            {"type": "http.response.start", "status": status, "headers": header_list}
        )
        await send({"type": "http.response.body", "body": body})
