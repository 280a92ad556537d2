"""Processor time and latency of a proxied request: ``python -m benchmarks.hop``.

Compares, on the same worker stand-ins and by number of concurrent callers: a
bare pass-through hop of the same libraries with one httpx client, the same with
one client per worker, and one real daemon. The daemon also routes, counts slots
and, for keyed requests, claims in the platform stand-in's table.
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
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
WARM_UP_REQUESTS = 200


class Row(NamedTuple):
    """One row: processor time per request, latencies and throughput."""

    name: str
    callers: int
    cpu_ms: float
    p50_ms: float
    p99_ms: float
    requests_per_second: float


def read_cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


async def send_requests(url: str, callers: int, count: int, keyed: bool) -> list[float]:
    """Send requests from concurrent callers; return latencies in seconds."""
    latencies: list[float] = []
    numbers = iter(range(count))
    run_id = time.monotonic_ns()

    async def call(client: httpx.AsyncClient) -> None:
        for number in numbers:
            started_at = time.monotonic()
            headers = {"idempotency-key": f"{run_id}-{number}"} if keyed else {}
            method = "POST" if keyed else "GET"
            response = await client.request(method, url, headers=headers)
            latencies.append(time.monotonic() - started_at)
            if response.status_code != 200:
                raise RuntimeError(f"{url}: {response.status_code} {response.text}")

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
    return latencies


def measure(
    name: str, pid: int, url: str, callers: int, count: int, keyed: bool = False
) -> Row:
    """Measure one hop and return its row."""
    anyio.run(send_requests, url, callers, WARM_UP_REQUESTS, keyed)
    before = read_cpu_seconds(pid)
    started_at = time.monotonic()
    latencies = sorted(anyio.run(send_requests, url, callers, count, keyed))
    elapsed = time.monotonic() - started_at
    cpu_seconds = read_cpu_seconds(pid) - before
    return Row(
        name,
        callers,
        1000 * cpu_seconds / count,
        1000 * latencies[len(latencies) // 2],
        1000 * latencies[int(len(latencies) * 0.99)],
        count / elapsed,
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
        system = site.open_site(stack, folder, ports, EXAMPLE, site.Options(daemons=1))
        system.activate_document()
        (name,) = system.daemons
        workers = list(system.workers.values())[:6]
        hops = {}
        for label, extra in (("one client", []), ("client per worker", ["--clients"])):
            (port,) = ports.allocate()
            arguments = ["benchmarks.passthrough", "--port", str(port)]
            child = process.start(stack, folder, label, [*arguments, *extra, *workers])
            child.wait_for_output("ready")
            hops[f"bare, {label}"] = (child.popen.pid, f"http://127.0.0.1:{port}")
        url = f"http://127.0.0.1:{system.daemons[name].callers}/order-lookup"
        hops["daemon"] = (system.children[name].popen.pid, url)
        print_rows(hops, options.callers, options.count)


def print_rows(
    hops: dict[str, tuple[int, str]], callers: list[int], count: int
) -> None:
    """Measure and print all rows, then the ratio to the bare hop."""
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
                f"{row.name:26}{row.callers:8}{row.cpu_ms:8.2f}"
                f"{row.p50_ms:8.1f}{row.p99_ms:8.1f}{row.requests_per_second:8.0f}"
            )
        cheapest_bare_ms = min(row.cpu_ms for row in rows[:2])
        print(
            f"ratio to the cheaper bare hop: {rows[2].cpu_ms / cheapest_bare_ms:.2f}, "
            f"keyed {rows[3].cpu_ms / cheapest_bare_ms:.2f}"
        )


if __name__ == "__main__":
    run()
