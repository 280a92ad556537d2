"""What every ASGI application does with its messages."""

from typing import Any

__all__ = ["read_body", "serve_lifespan"]


async def serve_lifespan(receive: Any, send: Any) -> None:
    """Answer the lifespan messages."""
    while True:
        given = await receive()
        await send({"type": given["type"] + ".complete"})
        if given["type"] == "lifespan.shutdown":
            return


async def read_body(receive: Any, limit: int) -> bytes | None:
    """Return a request's whole body.

    Parameters
    ----------
    receive : callable
        Returns the request's next message.
    limit : int
        Most bytes.

    Returns
    -------
    bytes or None
        None when the body is too large or broken off.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        given = await receive()
        if given["type"] != "http.request":
            return None
        part = given.get("body", b"")
        size += len(part)
        if size > limit:
            return None
        parts.append(part)
        if not given.get("more_body", False):
            return b"".join(parts)
