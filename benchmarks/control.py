"""What control costs a daemon, measured on real daemons without any request.

Starts a platform stand-in, one process of workers and a number of daemons on
loopback, waits until all is quiet, and counts over some seconds: processor
time and resident memory of each daemon from ``/proc``, bytes to peers from
``/metrics``, and every request and byte to the platform by a relay in between.

Run ``python -m benchmarks.control``; ``--sizes 3x24,9x24`` names runs of
daemons x workers, and ``--json FILE`` keeps the figures for `benchmarks.plot`.
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

SIZES = "3x24,6x24,9x24,24x24,9x96,9x192"
SETTLE = 40.0  # seconds until start-up work is over
PERIOD = 30.0  # seconds of counting
TICKS = os.sysconf("SC_CLK_TCK")
POOL_SIZE = 6  # workers a pool, about as at the target (800 in 128)


def make_document(workers: int) -> dict[str, Any]:
    """Return a document of pools of six workers with a team and service each."""
    pools = [f"pool-{number:03}" for number in range(max(1, workers // POOL_SIZE))]
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
                "size": POOL_SIZE,
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
    """Measure all sizes and print them."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default=SIZES)
    parser.add_argument("--settle", type=float, default=SETTLE)
    parser.add_argument("--period", type=float, default=PERIOD)
    parser.add_argument("--json", default="")
    given = parser.parse_args()
    results = []
    for size in given.sizes.split(","):
        daemons, workers = (int(part) for part in size.split("x"))
        results.append(measure(daemons, workers, given.settle, given.period))
        print_result(results[-1])
        if given.json:
            pathlib.Path(given.json).write_text(json.dumps(results), encoding="utf-8")


def measure(daemons: int, workers: int, settle: float, period: float) -> dict[str, Any]:
    """Start a system, let it settle and count; return figures by name."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        made, counted = start(stack, folder, daemons, workers)
        time.sleep(settle)
        before = read(made, counted)
        time.sleep(period)
        after = read(made, counted)
    taken = after["time"] - before["time"]
    busy = [
        (after["cpu"][name] - before["cpu"][name]) / taken * 100
        for name in made.daemons
    ]
    per_daemon = taken * daemons
    labels = sorted(after["requests"])
    return {
        "daemons": daemons,
        "workers": workers,
        "cpu_mean": statistics.mean(busy),
        "cpu_most": max(busy),
        "cpu_median": statistics.median(busy),
        "resident_mb": max(after["resident"].values()),
        "peer_bytes": {
            purpose: (sent - before["peers"].get(purpose, 0.0)) / per_daemon
            for purpose, sent in after["peers"].items()
        },
        "platform": {
            label: (
                (after["requests"][label] - before["requests"].get(label, 0))
                / per_daemon,
                (after["sizes"][label] - before["sizes"].get(label, 0)) / per_daemon,
            )
            for label in labels
        },
        "reads": (after["reads"] - before["reads"]) / taken,
        "writes": (after["writes"] - before["writes"]) / taken,
    }


def start(
    stack: contextlib.ExitStack, folder: pathlib.Path, daemons: int, workers: int
) -> tuple[site.Site, relay.Relay]:
    """Start a system whose daemons reach the platform through a relay."""
    intended = make_document(workers)
    checked = check.check_text(yaml.safe_dump(intended))
    if checked.intended is None:
        raise ValueError(f"{checked.problems}; expected a valid document")
    options = site.Options(daemons=daemons)
    made = site.Site(stack, folder, process.Ports(), checked.intended, options)
    made.start_platform()
    counted = relay.Relay(int(made.platform_url.rpartition(":")[2]))
    made.platform_url = f"http://127.0.0.1:{counted.port}"
    for number in range(daemons):
        made.start_daemon(number)
    made.wait_until_serving(timeout=90.0)
    made.submit(intended, 0, "first")
    for name in made.daemons:
        made.wait_until_ready(name, timeout=90.0)
    return made, counted


def read(made: site.Site, counted: relay.Relay) -> dict[str, Any]:
    """Return all counters as they stand."""
    ids = {name: made.children[name].popen.pid for name in made.daemons}
    cpu = {name: read_processor(number) for name, number in ids.items()}
    now = time.monotonic()
    store = httpx.get(f"{made.platform_url}/counters", trust_env=False).json()
    return {
        "time": now,
        "cpu": cpu,
        "resident": {name: read_resident(number) for name, number in ids.items()},
        "peers": read_peers(made),
        "requests": dict(counted.requests),
        "sizes": dict(counted.sizes),
        "reads": sum(store["reads"].values()),
        "writes": sum(store["writes"].values()),
    }


def read_processor(number: int) -> float:
    """Return the seconds of processor time that a process has used."""
    text = pathlib.Path(f"/proc/{number}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def read_resident(number: int) -> float:
    """Return the resident memory of a process; MB."""
    text = pathlib.Path(f"/proc/{number}/status").read_text(encoding="utf-8")
    found = re.search(r"VmRSS:\s+(\d+) kB", text)
    return int(found.group(1)) / 1024 if found else 0.0


def read_peers(made: site.Site) -> dict[str, float]:
    """Return the bytes that all daemons sent to peers, by purpose."""
    totals: dict[str, float] = {}
    for one in made.daemons.values():
        url = f"http://127.0.0.1:{one.operators}/metrics"
        text = httpx.get(url, trust_env=False).text
        for line in text.splitlines():
            found = re.match(
                r'peer_sent_bytes_total\{.*purpose="(\w+)".*\} (\S+)', line
            )
            if found:
                purpose, value = found.groups()
                totals[purpose] = totals.get(purpose, 0.0) + float(value)
    return totals


def print_result(result: dict[str, Any]) -> None:
    """Print one run."""
    print(f"\n{result['daemons']} daemons, {result['workers']} workers, no requests")
    print(f"  processor, % of a core     mean {result['cpu_mean']:.2f}", end="")
    print(f"  median {result['cpu_median']:.2f}  most {result['cpu_most']:.2f}")
    print(f"  resident, most             {result['resident_mb']:.0f} MB")
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
