"""The listener of peers over HTTP on loopback: bytes, refusals and limits."""

import contextlib

import anyio
import pytest

from wigeonhitch.daemon import server
from wigeonhitch.platform import http, relay, rows, table

pytestmark = pytest.mark.anyio

BODY = b'{"ver": 7,  "rows": [], "now_ms": 5}\n'
ANSWER = b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"


class Gate:
    """Relays up to ``limit`` calls at once."""

    limit = 32

    def __init__(self):
        self.calls = 0
        self.ended = []

    def begin_relay(self):
        if self.calls >= self.limit:
            return "busy"
        self.calls += 1
        return ""

    def end_relay(self, service, sent):
        self.calls -= 1
        self.ended.append(service.value)

    def cancel_relay(self):
        self.calls -= 1
        self.ended.append("cancelled")


class Store:
    """Answers each connection with fixed bytes, or never; keeps what it received."""

    def __init__(self):
        self.answer = ANSWER % (b"200 OK", len(BODY)) + BODY
        self.requests = []
        self.scope = anyio.CancelScope()

    async def serve(self, stream):
        async with stream:
            self.requests.append(await stream.receive())
            if self.answer:
                await stream.send(self.answer)
            else:
                await anyio.sleep_forever()


@pytest.fixture
async def relayed():
    """A store, the gate of a peer, a client, the peer's address, the store's socket."""
    store, gate, stopped = Store(), Gate(), anyio.Event()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    free = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = f"127.0.0.1:{free.extra(anyio.abc.SocketAttribute.local_port)}"
    await free.aclose()

    async def serve_store():
        with store.scope:
            async with listener:
                await listener.serve(store.serve)

    async with anyio.create_task_group() as group:
        group.start_soon(serve_store)
        async with contextlib.AsyncExitStack() as stack:
            client = await http.open_client(stack, 64)
            forwarding = rows.Rows(client, f"127.0.0.1:{port}")
            application = relay.Relay(forwarding, gate)
            async with anyio.create_task_group() as servers:
                servers.start_soon(
                    server.serve, application, address, None, stopped.wait
                )
                await server.wait_until_listening(address)
                yield store, gate, client, address, listener
                stopped.set()
        group.cancel_scope.cancel()


class Sink:
    """Keeps an answer."""

    def __init__(self):
        self.status, self.headers, self.body = 0, {}, b""

    async def begin(self, status, headers):
        self.status, self.headers = status, headers

    async def add(self, part):
        self.body += part


async def call(client, address, target, method="GET", body=b""):
    sink = Sink()
    await client.forward(
        method, address, target, sink, timeout=3.0, max_idle=1.0, body=body
    )
    return sink


async def test_call_and_answer_pass_byte_by_byte(relayed):
    """Guards against a peer that encodes or decides anything itself."""
    store, gate, client, address, _ = relayed
    body = b'{"if_rev": [],  "writes": []}'
    query = "table=t&part=a%2Fb%00&from=x+y%20z"

    read = await call(client, address, f"/v1/rows-get?{query}")
    store.answer = ANSWER % (b"412 Precondition Failed", len(BODY)) + BODY
    committed = await call(client, address, "/v1/rows-tx", "POST", body)

    assert (read.status, read.body) == (200, BODY)
    assert store.requests[0].startswith(f"GET /v1/rows-get?{query} HTTP".encode())
    assert (committed.status, committed.body) == (412, BODY)
    assert store.requests[1].endswith(b"\r\n\r\n" + body)
    assert gate.ended == ["served", "served"]


@pytest.mark.parametrize(
    ("method", "target"),
    [("GET", "/"), ("GET", "/v1/rows-tx"), ("POST", "/v1/rows-get"), ("GET", "/v1/x")],
)
async def test_other_paths_are_not_found(relayed, method, target):
    """Guards against a listener that opens more of the platform than four calls."""
    store, _, client, address, _ = relayed

    assert (await call(client, address, target, method)).status == 404
    assert store.requests == []


async def test_calls_over_the_limit_are_refused_as_busy(relayed):
    """Guards against a peer that is drowned by others, and slots that leak."""
    store, gate, client, address, _ = relayed
    store.answer = b""
    peer = rows.Rows(client, address, is_peer=True)
    async with anyio.create_task_group() as group:
        for _ in range(32):
            group.start_soon(call, client, address, "/v1/rows-feed?table=t")
        with anyio.fail_after(3):
            while len(store.requests) < 32:
                await anyio.sleep(0.01)
        refused = await peer.commit(rows.Transaction((), ()), timeout=1.0)
        group.cancel_scope.cancel()

    assert (refused.outcome, refused.reason) == (table.Outcome.NOT_DONE, "peer: busy")
    with anyio.fail_after(3):  # the requesters have gone
        while gate.calls:
            await anyio.sleep(0.01)


async def test_silent_store_is_told_apart_from_a_call_that_was_not_sent(relayed):
    """Guards against a transaction that is sent twice, or a leader that gives up."""
    store, gate, client, address, _ = relayed
    store.answer = b""
    peer = rows.Rows(client, address, is_peer=True)
    headers = {"Relay-Timeout-Ms": "100"}
    silent = await client.call(
        "POST", address, "/v1/rows-tx", timeout=2.0, headers=headers
    )
    assert silent.status == 504
    store.scope.cancel()
    await anyio.sleep(0.1)

    lost = await peer.commit(rows.Transaction((), ()), timeout=1.0)

    assert (lost.outcome, lost.reason) == (table.Outcome.NOT_DONE, "peer: store lost")
    assert rows.classify(lost) is rows.Service.REFUSED
    assert gate.ended == ["unanswered", "refused"]


async def test_answer_that_stops_is_not_passed_on_as_complete(relayed):
    """Guards against half an answer that its reader takes for the whole."""
    store, _, client, address, _ = relayed
    store.answer = ANSWER % (b"200 OK", 999) + BODY
    peer = rows.Rows(client, address, is_peer=True)

    assert (await peer.read("t", "p", timeout=1.0)).outcome is table.Outcome.UNKNOWN


@pytest.mark.parametrize(
    "status",
    [b"401 Unauthorized", b"403 Forbidden", b"404 Not Found", b"405 Not Allowed"],
)
async def test_other_server_at_the_address_counts_as_refusal(relayed, status):
    """Guards against a port that another program has taken over."""
    store, _, client, _, listener = relayed
    store.answer = ANSWER % (status, 0)
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    peer = rows.Rows(client, f"127.0.0.1:{port}", is_peer=True)

    result = await peer.commit(rows.Transaction((), ()), timeout=1.0)

    assert rows.classify(result) is rows.Service.REFUSED
