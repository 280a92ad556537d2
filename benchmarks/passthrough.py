"""Bare pass-through proxy: hypercorn in, httpx out, without routing decisions.

The baseline of `benchmarks.hop`, run as a separate process. It uses one client
for all workers, or with ``--clients`` one per worker.
"""

import argparse
import itertools
from typing import Any

import anyio
import httpx
import hypercorn.asyncio
import hypercorn.config

__all__ = ["run"]

HOP_HEADERS = {b"host", b"content-length", b"connection"}


async def serve(port: int, workers: list[str], per_worker: bool) -> None:
    """Forward requests to the workers round-robin until cancelled."""
    shared = httpx.AsyncClient(trust_env=False, timeout=60)
    clients = {
        worker: httpx.AsyncClient(trust_env=False, timeout=60) if per_worker else shared
        for worker in workers
    }
    rotation = itertools.cycle(workers)

    async def application(scope: dict, receive: Any, send: Any) -> None:
        if scope["type"] != "http":
            return
        body = b""
        more = True
        while more:
            event = await receive()
            body += event.get("body", b"")
            more = event.get("more_body", False)
        worker = next(rotation)
        headers = [item for item in scope["headers"] if item[0] not in HOP_HEADERS]
        response = await clients[worker].request(
            scope["method"],
            f"http://{worker}{scope['path']}?{scope['query_string'].decode()}",
            headers=headers,
            content=body,
        )
        response_headers = [
            item for item in response.headers.raw if item[0].lower() not in HOP_HEADERS
        ]
        size = str(len(response.content)).encode()
        await send(
            {
                "type": "http.response.start",
                "status": response.status_code,
                "headers": [*response_headers, (b"content-length", size)],
            }
        )
        await send({"type": "http.response.body", "body": response.content})

    config = hypercorn.config.Config()
    config.bind = [f"127.0.0.1:{port}"]
    config.accesslog = None
    config.errorlog = None
    print("ready", flush=True)
    await hypercorn.asyncio.serve(application, config)


def run() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--clients", action="store_true")
    parser.add_argument("workers", nargs="+")
    options = parser.parse_args()
    anyio.run(serve, options.port, options.workers, options.clients)


if __name__ == "__main__":
    run()
