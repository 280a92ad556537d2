import contextlib

import anyio
import httpx
import pytest

from wigeonhitch import verdict
from wigeonhitch.front import sender

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfull"
PART = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfull"
REFUSAL = (
    b"HTTP/1.1 503 Busy\r\nwigeonhitch-verdict: not run\r\ncontent-length: 0\r\n\r\n"
)
LARGE = b"HTTP/1.1 200 OK\r\ncontent-length: 101\r\n\r\n" + b"x" * 101
BARE_503 = b"HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n"


async def listen(stack, serve):
    """Serve connections until the group is cancelled; return the group and the port."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    await stack.enter_async_context(listener)
    group = await stack.enter_async_context(anyio.create_task_group())
    group.start_soon(listener.serve, serve)
    return group, port


async def send_once(answer, timeout=1.0):
    """Send one request to a listener that answers with the given bytes."""

    async def serve(stream):
        async with stream:
            await stream.receive()
            if answer is None:
                await anyio.sleep_forever()
            await stream.send(answer)

    async with contextlib.AsyncExitStack() as stack:
        group, port = await listen(stack, serve)
        client = sender.Sender(stack, sender.Limits(body=100))
        attempt = sender.Attempt(f"127.0.0.1:{port}", "POST", "/x", (), b"", timeout)
        result = await client.send(attempt)
        group.cancel_scope.cancel()
    return result


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("answer", "ran"),
    [
        (WHOLE, verdict.Ran.YES),
        (PART, verdict.Ran.MAYBE),
        (b"", verdict.Ran.MAYBE),
        (b"garbage\r\n\r\n", verdict.Ran.MAYBE),
        (REFUSAL, verdict.Ran.NO),
        (BARE_503, verdict.Ran.YES),
        (LARGE, verdict.Ran.MAYBE),
        (None, verdict.Ran.MAYBE),
    ],
    ids=[
        *("whole", "part", "closed", "garbage"),
        *("refusal", "bare 503", "large", "silent"),
    ],
)
async def test_verdict_of_an_exchange(answer, ran):
    result = await send_once(answer, timeout=0.2 if answer is None else 1.0)
    assert result.verdict.ran is ran
    assert (result.answer is not None) is (ran is verdict.Ran.YES)


@pytest.mark.anyio
async def test_unreachable_worker_yields_not_run():
    async with contextlib.AsyncExitStack() as stack:
        client = sender.Sender(stack)
        attempt = sender.Attempt("127.0.0.1:1", "POST", "/x", (), b"", 1.0)
        assert (await client.send(attempt)).verdict.ran is verdict.Ran.NO


@pytest.mark.parametrize(
    "error",
    [httpx.ReadError("x"), httpx.WriteError("x"), httpx.RemoteProtocolError("x")],
)
def test_error_after_the_first_byte_never_means_not_run(error):
    assert sender.classify_error(error).ran is verdict.Ran.MAYBE


@pytest.mark.anyio
async def test_idle_connections_follow_the_limit_and_probes_dont_change_it():
    opened = []

    async def serve(stream):
        opened.append(stream)
        async with stream:
            with contextlib.suppress(anyio.EndOfStream):
                while await stream.receive():
                    await stream.send(WHOLE)

    async with contextlib.AsyncExitStack() as stack:
        group, port = await listen(stack, serve)
        client = sender.Sender(stack)
        address = f"127.0.0.1:{port}"
        attempt = sender.Attempt(address, "GET", "/x", (), b"", 1.0, max_idle=1)
        for _ in range(3):
            await client.send(attempt)
            await client.probe(address)
        assert len(opened) == 1
        for _ in range(3):
            await client.send(attempt._replace(max_idle=0))
        assert len(opened) == 4
        await client.close()
        group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_worker_sees_the_callers_headers_and_no_others():
    received = []

    async def serve(stream):
        async with stream:
            received.append(await stream.receive())
            await stream.send(WHOLE)

    async with contextlib.AsyncExitStack() as stack:
        group, port = await listen(stack, serve)
        client = sender.Sender(stack)
        headers = (("x-mine", "1"),)
        attempt = sender.Attempt(f"127.0.0.1:{port}", "GET", "/x", headers, b"", 1.0)
        await client.send(attempt)
        group.cancel_scope.cancel()
    names = {
        line.split(b":")[0].lower() for line in received[0].splitlines()[1:] if line
    }
    assert names == {b"host", b"x-mine"}
