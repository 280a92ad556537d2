"""ASGI application of the platform and all workers."""

from typing import Any
from urllib import parse

import anyio
import orjson

from standins import serving
from standins.soak import store, vmfleet

__all__ = ["Application"]


class Application:
    """Dispatches each call to the store, the VMs or one worker.

    Parameters
    ----------
    rows : store.Store
        Answers the store's calls.
    vms : vmfleet.VmFleet
        Answers calls about VMs and calls to workers.
    workers : dict of int to vmfleet.Vm
        VMs by the port that their worker listens on.
    """

    def __init__(
        self, rows: store.Store, vms: vmfleet.VmFleet, workers: dict[int, vmfleet.Vm]
    ) -> None:
        self._rows = rows
        self._vms = vms
        self._workers = workers

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one call."""
        if scope["type"] == "lifespan":
            await serving.serve_lifespan(receive, send)
            return
        body = await _read_body(receive)
        answer = store.Answer(0)
        async with anyio.create_task_group() as group:
            group.start_soon(_cancel_on_disconnect, receive, group.cancel_scope)
            answer = await self._answer(scope, orjson.loads(body) if body else None)
            if not answer.status:
                await anyio.sleep_forever()
            group.cancel_scope.cancel()
        if not answer.status:
            return
        data = b"" if answer.body is None else orjson.dumps(answer.body)
        headers = [(b"content-length", str(len(data)).encode())]
        start = {"type": "http.response.start", "status": answer.status}
        await send({**start, "headers": headers})
        await send({"type": "http.response.body", "body": data})

    async def _answer(self, scope: Any, body: Any) -> store.Answer:
        path = scope["path"]
        headers = {name.decode(): value.decode() for name, value in scope["headers"]}
        vm = self._workers.get(scope["server"][1])
        if vm is not None:
            target = headers.get("target-instance", "")
            return await self._vms.answer(vm, path, target, body)
        if path.startswith("/v1/rows-"):
            query = dict(parse.parse_qsl(scope["query_string"].decode()))
            return await self._rows.answer(path, query, body)
        if path == "/v1/machines":
            return self._vms.list_vms()
        holder = headers.get("duty-holder", "")
        fence = int(headers.get("fencing-token", 0))
        return self._vms.order(path, holder, fence, body)


async def _read_body(receive: Any) -> bytes:
    parts = []
    while True:
        event = await receive()
        parts.append(event.get("body", b""))
        if event["type"] != "http.request" or not event.get("more_body"):
            return b"".join(parts)


async def _cancel_on_disconnect(receive: Any, scope: anyio.CancelScope) -> None:
    """Cancel a call once its caller has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()
