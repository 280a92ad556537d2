"""Message handling shared by the ASGI applications."""

from typing import Any

__all__ = ["read_body", "serve_lifespan"]


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Answer lifespan messages until shutdown."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def read_body(receive: Any, max_bytes: int) -> bytes | None:
    """Return a request's whole body.

    Parameters
    ----------
    receive : callable
        Returns the next ASGI message of the request.
    max_bytes : int
        Maximum size of the body, in bytes.

    Returns
    -------
    bytes or None
        None when the body exceeds the limit or the client disconnects early.
    """
    chunks: list[bytes] = []
    received_bytes = 0
    while True:
        message = await receive()
        if message["type"] != "http.request":
            return None
        chunk = message.get("body", b"")
        received_bytes += len(chunk)
        if received_bytes > max_bytes:
            return None
        chunks.append(chunk)
        if not message.get("more_body", False):
            return b"".join(chunks)
