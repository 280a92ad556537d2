"""Processor time and waits of a proxied request: ``python -m benchmarks.hop``.

In one run, on the same worker stand-ins: a bare pass-through hop of the same
libraries with one httpx client, the same with a client per worker, and one
real daemon, by callers at once. The daemon also decides, counts slots and, for
keyed requests, claims in the platform stand-in's table.
"""

import argparse
import contextlib
import os
import pathlib
import tempfile
import time
from typing import NamedTuple

import anyio
import httpx

from standins.demo import process, site

__all__ = ["run"]

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "altiplano.yaml"
TICKS = os.sysconf("SC_CLK_TCK")
WARM_UP = 200


class Row(NamedTuple):
    """One line: milliseconds of processor per request, and waits in ms."""

    name: str
    callers: int
    processor: float
    p50: float
    p99: float
    rate: float


def read_processor(pid: int) -> float:
    """Return the processor seconds that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def drive(url: str, callers: int, count: int, keyed: bool) -> list[float]:
    """Send ``count`` requests from ``callers`` at once; return their seconds."""
    took: list[float] = []
    left = iter(range(count))
    run = time.monotonic_ns()

    async def call(client: httpx.AsyncClient) -> None:
        for number in left:
            began = time.monotonic()
            headers = {"idempotency-key": f"{run}-{number}"} if keyed else {}
            method = "POST" if keyed else "GET"
            answer = await client.request(method, url, headers=headers)
            took.append(time.monotonic() - began)
            if answer.status_code != 200:
                raise RuntimeError(f"{url}: {answer.status_code} {answer.text}")

    async with contextlib.AsyncExitStack() as stack:
        clients = [
            await stack.enter_async_context(
                httpx.AsyncClient(trust_env=False, timeout=30)
            )
            for _ in range(callers)
        ]
        async with anyio.create_task_group() as group:
            for client in clients:
                group.start_soon(call, client)
    return took


def measure(
    name: str, pid: int, url: str, callers: int, count: int, keyed: bool = False
) -> Row:
    """Drive one hop and return its line."""
    anyio.run(drive, url, callers, WARM_UP, keyed)
    before = read_processor(pid)
    began = time.monotonic()
    took = sorted(anyio.run(drive, url, callers, count, keyed))
    passed = time.monotonic() - began
    used = read_processor(pid) - before
    return Row(
        name,
        callers,
        1000 * used / count,
        1000 * took[len(took) // 2],
        1000 * took[int(len(took) * 0.99)],
        count / passed,
    )


def run() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--count", type=int, default=2000, help="requests a line")
    parser.add_argument("--callers", type=int, nargs="+", default=[1, 8, 24])
    options = parser.parse_args()
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        ports = process.Ports()
        at = site.open_site(stack, folder, ports, EXAMPLE, site.Options(daemons=1))
        at.activate_document()
        (name,) = at.daemons
        workers = list(at.workers.values())[:6]
        hops = {}
        for label, extra in (("one client", []), ("client per worker", ["--clients"])):
            (port,) = ports.allocate()
            arguments = ["benchmarks.passthrough", "--port", str(port)]
            child = process.start(stack, folder, label, [*arguments, *extra, *workers])
            child.wait_for_output("ready")
            hops[f"bare, {label}"] = (child.popen.pid, f"http://127.0.0.1:{port}")
        url = f"http://127.0.0.1:{at.daemons[name].callers}/order-lookup"
        hops["daemon"] = (at.children[name].popen.pid, url)
        print_rows(hops, options.callers, options.count)


def print_rows(
    hops: dict[str, tuple[int, str]], callers: list[int], count: int
) -> None:
    """Measure and print all lines, the ratio to the bare hop last."""
    print(f"{'hop':26}{'callers':>8}{'CPU ms':>8}{'p50':>8}{'p99':>8}{'req/s':>8}")
    for number in callers:
        rows = [
            measure(name, pid, f"{url}/x?work=0", number, count)
            for name, (pid, url) in hops.items()
        ]
        pid, url = hops["daemon"]
        rows.append(
            measure("daemon, keyed", pid, f"{url}/x?work=0", number, count, True)
        )
        for row in rows:
            print(
                f"{row.name:26}{row.callers:8}{row.processor:8.2f}"
                f"{row.p50:8.1f}{row.p99:8.1f}{row.rate:8.0f}"
            )
        best = min(row.processor for row in rows[:2])
        print(
            f"ratio to the cheaper bare hop: {rows[2].processor / best:.2f}, "
            f"keyed {rows[3].processor / best:.2f}"
        )


if __name__ == "__main__":
    run()
