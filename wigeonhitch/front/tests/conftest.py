import json

import anyio
import pytest

from standins import fake
from wigeonhitch import verdict
from wigeonhitch.front import application, dispatcher, guard, reply, sender
from wigeonhitch.idempotency import store
from wigeonhitch.platform import client
from wigeonhitch.routing import core, event
from wigeonhitch.telemetry import metric, trace

TRACING = trace.Tracing(trace.Settings(), "d1")


class FakeSender:
    """Replaces the sender: returns the given results and records what was sent."""

    def __init__(self):
        self.sent = []
        self.results = []
        self.release = None

    async def send(self, attempt):
        self.sent.append(attempt)
        if self.release is not None:
            await self.release.wait()
        if self.results:
            return self.results.pop(0)
        body = json.dumps({"echo": attempt.body.decode()}).encode()
        return sender.Result(verdict.ran(), reply.Reply(200, (), body))


class FrontEnd:
    """The front end of one daemon on fakes, driven without sockets."""

    def __init__(self):
        self.platform = fake.Fake(suspends=True)
        self.sender = FakeSender()
        self.may_send = True
        self.ready = True
        self.alive = True
        self.instruments = metric.Instruments()
        self.dispatch = dispatcher.Dispatcher(
            core.Core("d1", seed=1),
            self.sender,
            client.read_clock,
            lambda to_send, traces: None,
            lambda vm: f"{vm}:80",
            lambda: self.may_send,
        )
        self.claims = store.Claims(
            self.platform.table, self.platform.objects, "d1", rng=self.platform._rng
        )
        workers = (event.Worker("w1"), event.Worker("w2"))
        self.dispatch.apply(event.ViewChanged(1, {"pool": workers}))
        entry = application.ServiceEntry("pool", "urgent", 5.0)
        self.catalogue = application.Catalogue({"match": entry}, {"urgent": 5.0})
        self.application = application.Application(
            self.dispatch,
            guard.IdempotencyGuard(
                self.claims, self.dispatch, client.read_clock, TRACING
            ),
            lambda: self.catalogue if self.ready else None,
            lambda: self.ready,
            lambda: self.alive,
            client.read_clock,
            TRACING,
            self.instruments,
        )

    async def ask(
        self, method="GET", path="/match/x", body=b"", headers=None, left=None
    ):
        """Send one request; ``left`` is an event at which the caller disconnects."""
        sent = []
        incoming = [{"type": "http.request", "body": body, "more_body": False}]

        async def receive():
            if incoming:
                return incoming.pop(0)
            await (left.wait() if left is not None else anyio.sleep_forever())
            return {"type": "http.disconnect"}

        async def send(message):
            sent.append(message)

        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "query_string": b"",
            "headers": [
                (name.encode(), value.encode())
                for name, value in (headers or {}).items()
            ],
        }
        await self.application(scope, receive, send)
        names = {name.decode(): value.decode() for name, value in sent[0]["headers"]}
        return reply.Reply(sent[0]["status"], names, sent[1]["body"])


@pytest.fixture
async def front():
    front_end = FrontEnd()
    async with anyio.create_task_group() as group:
        await group.start(front_end.claims.run)
        group.start_soon(front_end.dispatch.run_timer)
        yield front_end
        group.cancel_scope.cancel()
