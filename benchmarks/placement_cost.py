"""Cost of placement: decisions, one shard's controller, daemons without jobs.

`measure_site` measures three real daemons that have no jobs.
"""

import collections
import contextlib
import json
import pathlib
import random
import tempfile
import time
import tracemalloc

import httpx
import yaml

from benchmarks import hop, placement_workload
from standins import fake, platformtable
from standins.demo import process, site
from wigeonhitch.membership import lease
from wigeonhitch.placement import (
    controller,
    core,
    job,
    ledger,
    message,
    runner,
    signal,
    view,
)
from wigeonhitch.platform import table

__all__ = ["measure_cost", "measure_duty", "measure_site"]

EXAMPLE = pathlib.Path(__file__).parents[1] / "examples" / "altiplano.yaml"

# Delay of the platform's report of resource usage.
USAGE_LAG_SECONDS = 3.0


def measure_cost() -> None:
    """Print decisions per second and memory by fleet size."""
    print(f"{'workers':>8}{'pools':>6}{'teams':>6}{'jobs':>7}", end="")
    print(f"{'placed/s':>10}{'idle ms':>9}{'MB':>7}{'KB/job':>8}")
    for workers, pools in ((30, 5), (200, 32), (800, 128), (800, 5), (25, 4)):
        _measure_decisions(workers, pools, 130)


def _measure_decisions(workers: int, pools: int, teams: int) -> None:
    fleet_document = placement_workload.make_document(pools, teams, workers)
    rng = random.Random(placement_workload.SEED)
    job_count = workers * 12
    jobs = []
    for number in range(job_count):
        pool = fleet_document.pools[rng.randrange(pools)].name
        team = f"team{rng.randrange(teams)}"
        sizes = {"duration": 600.0, "deadline": 3600.0}
        urgency = "urgent" if number % 4 == 0 else "bulk"
        submission = job.Submission(
            team, f"j{number}", pool, 4.0, 8.0, urgency=urgency, **sizes
        )
        jobs.append(job.make_job(submission, 0.0))
    rows = [table.Row(item.key, job.encode(item), 1) for item in jobs]
    tracemalloc.start()
    placement_core = core.Core(0, 1)
    placement_core.update_policy(view.make_policy(fleet_document))
    vms = placement_workload.make_vms(fleet_document, workers)
    placement_core.update_fleet(vms, 0.0)
    placement_core.load(rows)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_at = time.process_time()
    placed, now = 0, 1.0
    while (batch := placement_core.decide(now)) is not None:
        placement_core.confirm(batch, 2)
        for call in placement_core.next_calls(now):
            placed += call.action == "start"
            placement_core.record_answer(call, table.Outcome.DONE, now)
    cpu_seconds = time.process_time() - started_at
    placed_tasks = sum(len(names) for names in placement_core.state.on_vm.values())
    started_at = time.process_time()
    for _ in range(20):
        now += 0.5
        placement_core.update_fleet(vms, now)
        placement_core.decide(now)
        placement_core.next_calls(now)
    idle_ms = (time.process_time() - started_at) / 20 * 1000
    print(
        f"{workers:8}{pools:6}{teams:6}{job_count:7}{placed_tasks / cpu_seconds:10.0f}",
        end="",
    )
    print(
        f"{idle_ms:9.2f}{used_bytes / 1e6:7.1f}{used_bytes / 1e3 / job_count:8.2f}",
        flush=True,
    )


class PermanentLease:
    """The lease of the one shard of `measure_duty`."""

    def current(self, duty: str) -> lease.Lease:
        """Return a lease that does not lapse."""
        return lease.Lease(duty, 1, float("inf"))


def measure_duty() -> None:
    """Print the cost of one shard's controller while its jobs run."""
    print(f"{'workers':>8}{'running':>8}{'reads/s':>9}{'writes/s':>9}", end="")
    print(f"{'KB/s':>7}{'core %':>8}{'KB/s table':>11}")
    for workers, count in ((25, 0), (25, 25), (25, 100), (25, 200), (50, 200)):
        _measure_duty(workers, count)


def _submit_all(store: platformtable.Store, count: int, now: float) -> None:
    for number in range(count):
        submission = job.Submission(
            f"team{number % 10}",
            f"j{number}",
            placement_workload.POOL,
            2.0,
            4.0,
            9e3,
            9e4,
        )
        stored_job = job.make_job(submission._replace(work={"duration": 9e3}), now)
        marker = table.Write(ledger.marker_key(0, stored_job.name), {})
        writes = [table.Write(stored_job.key, job.encode(stored_job)), marker]
        store.commit([table.Condition(stored_job.key, 0)], writes, "", now)


def _measure_duty(workers: int, count: int, seconds: float = 60.0) -> None:
    fleet_document = placement_workload.make_document(1, 10, workers)
    vms = placement_workload.make_vms(fleet_document, workers)
    machines = [
        {"vm": vm.vm, "kind": "large", "address": "a:1", "rack": "r", "data_centre": ""}
        for vm in vms
    ]
    platform = fake.Fake(machines, usage_lag=USAGE_LAG_SECONDS)
    store = platform.engine.store
    duty = view.duty_name(0)
    store.commit(
        [table.Condition("d", 0)], [table.Write(f"duty/{duty}", {})], "", platform.now
    )
    _submit_all(store, count, platform.now)
    pending_calls: list = []
    byte_counts: collections.Counter[str] = collections.Counter()
    handle = platform.engine.handle

    def count_bytes(call, now):
        response = handle(call, now)
        text = json.dumps(call.body) + json.dumps(response.body)
        byte_counts[call.path.split("/")[1]] += len(text)
        return response

    platform.engine.handle = count_bytes
    client = platform.client
    context = message.Platform(
        client,
        client,
        PermanentLease(),
        lambda: vms,
        lambda: fleet_document,
        lambda: platform.now,
    )
    reader = signal.SignalReader(context, 1)
    shard_controller = controller.ShardController(
        context,
        reader,
        0,
        lambda *call: pending_calls.append(call),
        collections.Counter(),
    )

    def simulate(duration: float) -> float:
        cpu_seconds = 0.0
        for _ in range(int(duration / runner.POLL_SECONDS)):
            started_at = time.process_time()
            fake.run(reader.read())
            reader.clear_cache()
            fake.run(shard_controller.step())
            cpu_seconds += time.process_time() - started_at
            for function, *args in pending_calls:
                fake.run(function(*args))
            pending_calls.clear()
            platform.advance(runner.POLL_SECONDS)
        return cpu_seconds

    simulate(20.0)
    byte_counts.clear()
    before = client.reads.total(), client.writes.total()
    cpu_seconds = simulate(seconds)
    reads = (client.reads.total() - before[0]) / seconds
    writes = (client.writes.total() - before[1]) / seconds
    running = len(shard_controller.core.state.jobs)
    shard_controller.close()
    print(f"{workers:8}{running:8}{reads:9.2f}{writes:9.2f}", end="")
    print(
        f"{byte_counts.total() / seconds / 1e3:7.2f}{100 * cpu_seconds / seconds:8.2f}",
        end="",
    )
    print(f"{byte_counts['table'] / seconds / 1e3:11.2f}")


def measure_site(seconds: float = 30.0) -> None:
    """Print the cost of placement on three real daemons without jobs."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        system = site.open_site(stack, folder, process.Ports(), EXAMPLE)
        system.wait_until_serving()
        system.submit(yaml.safe_load(EXAMPLE.read_text(encoding="utf-8")), 0, "first")
        for name in system.daemons:
            system.wait_until_ready(name)
        time.sleep(10.0)
        before = _read_site(system)
        time.sleep(seconds)
        after = _read_site(system)
    print(f"{'daemon':>12}{'duties':>8}{'core %':>8}")
    for name, (used_cpu_seconds, duties) in after[0].items():
        cpu_seconds = used_cpu_seconds - before[0][name][0]
        print(f"{name:>12}{duties:8}{100 * cpu_seconds / seconds:8.2f}")
    print(f"{'reads/s by purpose':>24}")
    for purpose, count in sorted(after[1].items()):
        print(f"{purpose:>24}{(count - before[1].get(purpose, 0)) / seconds:8.2f}")


def _read_site(
    system: site.Site,
) -> tuple[dict[str, tuple[float, int]], dict[str, int]]:
    """Return processor time and placement duties per daemon, and read counts."""
    held_duties = collections.Counter(
        row.value["holder"] for row in _read_duties(system) if row.value is not None
    )
    used_cpu_seconds = {
        name: (hop.read_cpu_seconds(system.children[name].popen.pid), held_duties[name])
        for name in system.daemons
    }
    answer = httpx.get(f"{system.platform_url}/counters", trust_env=False)
    return used_cpu_seconds, answer.json()["reads"]


def _read_duties(system: site.Site) -> list[table.Row]:
    body = {"prefix": "duty/placement/"}
    url = f"{system.platform_url}/table/scan"
    answer = httpx.post(url, json=body, trust_env=False)
    return [table.Row(*row) for row in answer.json()["rows"]]
