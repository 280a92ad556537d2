"""Platform stand-in as a process: ``python -m standins.platform``.

Serves `standins.platformengine` over HTTP on loopback, and prints the line
``ready`` when it listens. SIGTERM stops it.
"""

import argparse
import json
import pathlib
import time
from typing import Any

import anyio
import anyio.abc
import httpx
import yaml

from standins import platformengine, platformfaults, platformfleet, serving

__all__ = ["run"]

NOTICE_TIMEOUT_SECONDS = 2.0
"""Timeout of the call that tells a worker process to simulate a reboot."""
HANG_SECONDS = 3600.0
"""Time after which a hung request is dropped although its caller still waits."""
STEP_INTERVAL_SECONDS = 0.1
"""Interval at which VMs and tasks advance if no request arrives."""


class Application:
    """ASGI application around one engine."""

    def __init__(self, engine: platformengine.Engine) -> None:
        self._engine = engine
        self.group: anyio.abc.TaskGroup | None = None

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serving.serve_lifespan(receive, send)
        elif scope["type"] == "http":
            await self._serve(scope, receive, send)

    async def _serve(self, scope: dict, receive: Any, send: Any) -> None:
        call = await _read_call(scope, receive)
        faults = self._engine.faults
        fault = faults.decide(call.path, call.daemon, call.data_centre)
        if fault.kind is platformfaults.Kind.DOWN:
            await _send(send, platformengine.Answer(503, {"error": "down"}))
            return
        if fault.kind is platformfaults.Kind.HANG:
            await _wait_for_disconnect(receive)
            return
        if fault.kind is platformfaults.Kind.LATE:
            self.group.start_soon(self._apply_late, call, fault.delay)
            return
        if fault.delay:
            await anyio.sleep(fault.delay)
        answer = self._engine.handle(call, time.time())
        if fault.kind is not platformfaults.Kind.LOSE:
            await _send(send, answer)

    async def _apply_late(self, call: platformengine.Call, delay: float) -> None:
        await anyio.sleep(delay)
        self._engine.handle(call, time.time())


async def _read_call(scope: dict, receive: Any) -> platformengine.Call:
    data = await serving.read_body(receive)
    headers = {key.lower(): value.decode() for key, value in scope["headers"]}
    path = scope["path"]
    body = data if path.startswith("/objects/") else json.loads(data or b"null")
    return platformengine.Call(
        scope["method"],
        path,
        body,
        headers.get(b"wigeonhitch-purpose", ""),
        headers.get(b"wigeonhitch-daemon", ""),
        headers.get(b"wigeonhitch-data-centre", ""),
    )


async def _wait_for_disconnect(receive: Any) -> None:
    with anyio.move_on_after(HANG_SECONDS):
        while (await receive())["type"] != "http.disconnect":
            pass


async def _send(send: Any, answer: platformengine.Answer) -> None:
    is_raw = isinstance(answer.body, bytes)
    data = answer.body if is_raw else json.dumps(answer.body).encode()
    kind = b"application/octet-stream" if is_raw else b"application/json"
    headers = [
        (b"content-type", kind),
        (b"content-length", str(len(data)).encode()),
    ]
    start = {"type": "http.response.start", "status": answer.status}
    await send(start | {"headers": headers})
    await send({"type": "http.response.body", "body": data})


async def _step(engine: platformengine.Engine) -> None:
    """Advance VMs and tasks, and notify the workers of rebooting VMs."""
    async with httpx.AsyncClient(
        timeout=NOTICE_TIMEOUT_SECONDS, trust_env=False
    ) as client:
        while True:
            engine.advance(time.time())
            while engine.fleet.notices:
                notice = engine.fleet.notices.pop(0)
                url = f"http://{notice.address}/standin/reboot"
                try:
                    await client.post(url, json={"seconds": notice.seconds})
                except httpx.HTTPError:
                    continue
            await anyio.sleep(STEP_INTERVAL_SECONDS)


def build_engine(options: argparse.Namespace) -> platformengine.Engine:
    """Return an engine with the VMs of the inventory file."""
    inventory: dict = {}
    if options.inventory:
        text = pathlib.Path(options.inventory).read_text(encoding="utf-8")
        inventory = yaml.safe_load(text) or {}
    seconds = inventory.get("reboot_seconds", platformfleet.DEFAULT_REBOOT_SECONDS)
    fleet = platformfleet.Fleet(
        inventory.get("vms", ()),
        lag=options.vm_lag,
        reboot_seconds=float(seconds),
        now=time.time(),
    )
    return platformengine.Engine(fleet, usage_lag=options.usage_lag)


async def serve(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    engine = build_engine(options)
    application = Application(engine)

    def start(group: anyio.abc.TaskGroup) -> None:
        application.group = group
        group.start_soon(_step, engine)

    await serving.serve(application, [options.port], start)


def run() -> None:
    """Parse the options and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--inventory")
    parser.add_argument("--vm-lag", type=float, default=0.0, help="seconds")
    parser.add_argument("--usage-lag", type=float, default=0.0, help="seconds")
    anyio.run(serve, parser.parse_args())


if __name__ == "__main__":
    run()
