"""The platform stand-in as a process, over HTTP."""

import contextlib
import random
import socket
import subprocess
import sys

import anyio
import httpx
import pytest

from wigeonhitch.platform import client, table


def find_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


@pytest.fixture
def address():
    port = find_port()
    command = [sys.executable, "-m", "standins.platform", "--port", str(port)]
    process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert process.stdout.readline() == "ready\n"
    yield f"http://127.0.0.1:{port}"
    process.terminate()
    assert process.wait(10) == 0
    process.stdout.close()


async def commit(platform, key):
    writes = [table.Write(key, {"n": 1})]
    result = await platform.commit([table.Condition(key, 0)], writes, purpose="test")
    return result.outcome


@pytest.mark.anyio
@pytest.mark.processes
async def test_client_resolves_outcomes_under_faults(address):
    async with contextlib.AsyncExitStack() as stack:
        platform = await client.open_client(
            stack, address, rng=random.Random(1), daemon="d1"
        )
        tests = await stack.enter_async_context(httpx.AsyncClient(base_url=address))
        assert await commit(platform, "a") is table.Outcome.DONE
        assert await commit(platform, "a") is table.Outcome.NOT_DONE
        for switch in (
            {"lose": {"prefix": "/table/commit", "next": 1}},
            {"late": {"prefix": "/table/commit", "next": 1, "seconds": 0.2}},
        ):
            await tests.post("/switch", json=switch)
            assert await commit(platform, f"{list(switch)}") is table.Outcome.DONE
        await tests.post("/switch", json={"down": True})
        assert await commit(platform, "b") is table.Outcome.NOT_DONE
        await tests.post("/switch", json={"down": False, "cut": ["d1"]})
        assert await commit(platform, "b") is table.Outcome.UNKNOWN
        await tests.post("/switch", json={"cut": []})
        assert await platform.put("o", b"data", purpose="test") is table.Outcome.DONE
        assert await platform.get("o", purpose="test") == b"data"
        await anyio.sleep(0.3)
        history = (await tests.get("/history")).json()["history"]
        assert len({entry["token"] for entry in history}) == len(history) == 3
        counters = (await tests.get("/counters")).json()
        assert set(counters["writes"]) == {"test"}
        assert counters["writes"]["test"] >= len(history)
