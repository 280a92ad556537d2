"""Cost of control traffic per daemon, measured on real daemons without requests.

Starts a platform stand-in, one process of workers and a number of daemons on
loopback, waits until start-up work is over, and then measures for a period:
processor time and resident memory of each daemon from ``/proc``, bytes to peers
from ``/metrics``, and requests and bytes to the platform through a relay.

Run ``python -m benchmarks.control``; ``--sizes 3x24,9x24`` lists runs as
daemons x workers, and ``--json FILE`` writes the figures for `benchmarks.plot`.
"""

import argparse
import contextlib
import json
import os
import pathlib
import re
import statistics
import tempfile
import time
from typing import Any

import httpx
import yaml

from benchmarks import relay
from standins.demo import process, site
from wigeonhitch.configuration import check

DEFAULT_SIZES = "3x24,6x24,9x24,24x24,9x96,9x192"
SETTLE_SECONDS = 40.0  # until start-up work is over
PERIOD_SECONDS = 30.0  # length of the measurement
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
WORKERS_PER_POOL = 6  # about that of the target fleet (800 workers in 128 pools)


def make_document(workers: int) -> dict[str, Any]:
    """Return a document of pools of six workers with a team and service each."""
    pools = [
        f"pool-{number:03}" for number in range(max(1, workers // WORKERS_PER_POOL))
    ]
    return {
        "fleet": "measured",
        "data_centres": [
            {"name": f"dc-{number}", "region": f"region-{number % 2}"}
            for number in range(6)
        ],
        "kinds": [
            {"name": "worker", "cores": 16, "memory": 64, "slots": 8, "connections": 60}
        ],
        "pools": [
            {
                "name": pool,
                "kind": "worker",
                "size": WORKERS_PER_POOL,
                "must_be_up": {"share": 0.66},
            }
            for pool in pools
        ],
        "urgencies": [{"name": "urgent", "deadline": 20, "start_within": 1.7}],
        "services": [
            {"name": f"s-{pool}", "pool": pool, "urgency": "urgent"} for pool in pools
        ],
        "teams": [
            {"name": f"t-{pool}", "cores": 48, "memory": 192, "weight": 1}
            for pool in pools
        ],
        "approvals": [{"change": "any", "approvals": 1, "roles": ["operations"]}],
        "weights": {"buffer": 1, "rollout": 1, "moves": 1},
    }


def run() -> None:
    """Measure and print all sizes."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default=DEFAULT_SIZES)
    parser.add_argument("--settle", type=float, default=SETTLE_SECONDS)
    parser.add_argument("--period", type=float, default=PERIOD_SECONDS)
    parser.add_argument("--json", default="")
    arguments = parser.parse_args()
    results = []
    for size in arguments.sizes.split(","):
        daemons, workers = (int(part) for part in size.split("x"))
        results.append(measure(daemons, workers, arguments.settle, arguments.period))
        print_result(results[-1])
        if arguments.json:
            pathlib.Path(arguments.json).write_text(
                json.dumps(results), encoding="utf-8"
            )


def measure(daemons: int, workers: int, settle: float, period: float) -> dict[str, Any]:
    """Start a system, let it settle and measure; return figures by name."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        system, counting_relay = start_system(stack, folder, daemons, workers)
        time.sleep(settle)
        before = read_counters(system, counting_relay)
        time.sleep(period)
        after = read_counters(system, counting_relay)
    elapsed = after["time"] - before["time"]
    cpu_percent = [
        (after["cpu"][name] - before["cpu"][name]) / elapsed * 100
        for name in system.daemons
    ]
    daemon_seconds = elapsed * daemons
    labels = sorted(after["requests"])
    return {
        "daemons": daemons,
        "workers": workers,
        "cpu_mean": statistics.mean(cpu_percent),
        "cpu_most": max(cpu_percent),
        "cpu_median": statistics.median(cpu_percent),
        "resident_mb": max(after["resident"].values()),
        "peer_bytes": {
            purpose: (sent - before["peers"].get(purpose, 0.0)) / daemon_seconds
            for purpose, sent in after["peers"].items()
        },
        "platform": {
            label: (
                (after["requests"][label] - before["requests"].get(label, 0))
                / daemon_seconds,
                (after["sizes"][label] - before["sizes"].get(label, 0))
                / daemon_seconds,
            )
            for label in labels
        },
        "reads": (after["reads"] - before["reads"]) / elapsed,
        "writes": (after["writes"] - before["writes"]) / elapsed,
    }


def start_system(
    stack: contextlib.ExitStack, folder: pathlib.Path, daemons: int, workers: int
) -> tuple[site.Site, relay.Relay]:
    """Start a system whose daemons reach the platform through a relay."""
    fleet_document = make_document(workers)
    checked = check.check_text(yaml.safe_dump(fleet_document))
    if checked.intended is None:
        raise ValueError(f"{checked.problems}; expected a valid document")
    options = site.Options(daemons=daemons)
    system = site.Site(stack, folder, process.Ports(), checked.intended, options)
    system.start_platform()
    counting_relay = relay.Relay(int(system.platform_url.rpartition(":")[2]))
    system.platform_url = f"http://127.0.0.1:{counting_relay.port}"
    for number in range(daemons):
        system.start_daemon(number)
    system.wait_until_serving(timeout=90.0)
    system.submit(fleet_document, 0, "first")
    for name in system.daemons:
        system.wait_until_ready(name, timeout=90.0)
    return system, counting_relay


def read_counters(system: site.Site, counting_relay: relay.Relay) -> dict[str, Any]:
    """Return the current values of all counters."""
    pids = {name: system.children[name].popen.pid for name in system.daemons}
    cpu = {name: read_cpu_seconds(pid) for name, pid in pids.items()}
    now = time.monotonic()
    store_counters = httpx.get(
        f"{system.platform_url}/counters", trust_env=False
    ).json()
    return {
        "time": now,
        "cpu": cpu,
        "resident": {name: read_resident_mb(pid) for name, pid in pids.items()},
        "peers": read_peer_bytes(system),
        "requests": dict(counting_relay.requests),
        "sizes": dict(counting_relay.byte_counts),
        "reads": sum(store_counters["reads"].values()),
        "writes": sum(store_counters["writes"].values()),
    }


def read_cpu_seconds(pid: int) -> float:
    """Return the seconds of processor time that a process has used."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in MB."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    match = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(match.group(1)) / 1024 if match else 0.0


def read_peer_bytes(system: site.Site) -> dict[str, float]:
    """Return the bytes that all daemons sent to peers, by purpose."""
    totals: dict[str, float] = {}
    for daemon in system.daemons.values():
        url = f"http://127.0.0.1:{daemon.operators}/metrics"
        text = httpx.get(url, trust_env=False).text
        for line in text.splitlines():
            match = re.match(
                r'peer_sent_bytes_total\{.*purpose="(\w+)".*\} (\S+)', line
            )
            if match:
                purpose, value = match.groups()
                totals[purpose] = totals.get(purpose, 0.0) + float(value)
    return totals


def print_result(result: dict[str, Any]) -> None:
    """Print one run."""
    print(f"\n{result['daemons']} daemons, {result['workers']} workers, no requests")
    print(f"  processor, % of a core     mean {result['cpu_mean']:.2f}", end="")
    print(f"  median {result['cpu_median']:.2f}  max {result['cpu_most']:.2f}")
    print(f"  resident, max              {result['resident_mb']:.0f} MB")
    print(f"  store, all daemons         {result['reads']:.1f} reads/s", end="")
    print(f"  {result['writes']:.2f} writes/s")
    total = sum(result["peer_bytes"].values())
    total += sum(sent for _, sent in result["platform"].values())
    print(f"  bytes per daemon           {total:.0f} B/s, of which")
    for purpose, sent in sorted(result["peer_bytes"].items()):
        print(f"    to peers, {purpose:28} {sent:8.0f} B/s")
    for label, (rate, sent) in sorted(result["platform"].items()):
        print(f"    platform, {label:28} {sent:8.0f} B/s  {rate:.3f}/s", flush=True)


if __name__ == "__main__":
    run()
