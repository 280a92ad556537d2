"""What placement costs: a decision, one shard's keeper, daemons without jobs.

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

from benchmarks import hop, placement_mix
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

# Seconds by which the platform's word on what tasks use lags.
USAGE_LAG = 3.0


def measure_cost() -> None:
    """Print decisions a second and memory by size of the fleet."""
    print(f"{'workers':>8}{'pools':>6}{'teams':>6}{'jobs':>7}", end="")
    print(f"{'placed/s':>10}{'idle ms':>9}{'MB':>7}{'KB/job':>8}")
    for workers, pools in ((30, 5), (200, 32), (800, 128), (800, 5), (25, 4)):
        _measure_one(workers, pools, 130)


def _measure_one(workers: int, pools: int, teams: int) -> None:
    plan = placement_mix.make_document(pools, teams, workers)
    rng = random.Random(placement_mix.SEED)
    count = workers * 12
    jobs = []
    for number in range(count):
        pool = plan.pools[rng.randrange(pools)].name
        team = f"team{rng.randrange(teams)}"
        sizes = {"duration": 600.0, "deadline": 3600.0}
        urgency = "urgent" if number % 4 == 0 else "bulk"
        asked = job.Submission(
            team, f"j{number}", pool, 4.0, 8.0, urgency=urgency, **sizes
        )
        jobs.append(job.make_job(asked, 0.0))
    rows = [table.Row(item.key, job.encode(item), 1) for item in jobs]
    tracemalloc.start()
    subject = core.Core(0, 1)
    subject.update_policy(view.make_policy(plan))
    vms = placement_mix.make_vms(plan, workers)
    subject.update_fleet(vms, 0.0)
    subject.load(rows)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begin = time.process_time()
    placed, now = 0, 1.0
    while (batch := subject.decide(now)) is not None:
        subject.confirm(batch, 2)
        for call in subject.next_calls(now):
            placed += call.action == "start"
            subject.record_answer(call, table.Outcome.DONE, now)
    spent = time.process_time() - begin
    held = sum(len(names) for names in subject.state.on_vm.values())
    begin = time.process_time()
    for _ in range(20):
        now += 0.5
        subject.update_fleet(vms, now)
        subject.decide(now)
        subject.next_calls(now)
    idle = (time.process_time() - begin) / 20 * 1000
    print(f"{workers:8}{pools:6}{teams:6}{count:7}{held / spent:10.0f}", end="")
    print(f"{idle:9.2f}{used / 1e6:7.1f}{used / 1e3 / count:8.2f}", flush=True)


class OneLease:
    """The lease of the one shard of `measure_duty`."""

    def current(self, duty: str) -> lease.Lease:
        """Return a lease that is always held."""
        return lease.Lease(duty, 1, float("inf"))


def measure_duty() -> None:
    """Print what one shard's keeper costs while its jobs run."""
    print(f"{'workers':>8}{'running':>8}{'reads/s':>9}{'writes/s':>9}", end="")
    print(f"{'KB/s':>7}{'core %':>8}{'KB/s table':>11}")
    for workers, count in ((25, 0), (25, 25), (25, 100), (25, 200), (50, 200)):
        _measure_duty(workers, count)


def _submit_all(store: platformtable.Store, count: int, now: float) -> None:
    for number in range(count):
        asked = job.Submission(
            f"team{number % 10}", f"j{number}", placement_mix.POOL, 2.0, 4.0, 9e3, 9e4
        )
        new = job.make_job(asked._replace(work={"duration": 9e3}), now)
        marker = table.Write(ledger.marker_key(0, new.name), {})
        writes = [table.Write(new.key, job.encode(new)), marker]
        store.commit([table.Condition(new.key, 0)], writes, "", now)


def _measure_duty(workers: int, count: int, seconds: float = 60.0) -> None:
    plan = placement_mix.make_document(1, 10, workers)
    vms = placement_mix.make_vms(plan, workers)
    machines = [
        {"vm": vm.vm, "kind": "large", "address": "a:1", "rack": "r", "data_centre": ""}
        for vm in vms
    ]
    platform = fake.Fake(machines, usage_lag=USAGE_LAG)
    store = platform.engine.store
    duty = view.duty_name(0)
    store.commit(
        [table.Condition("d", 0)], [table.Write(f"duty/{duty}", {})], "", platform.now
    )
    _submit_all(store, count, platform.now)
    waiting: list = []
    sizes: collections.Counter[str] = collections.Counter()
    handle = platform.engine.handle

    def count_bytes(call, now):
        answer = handle(call, now)
        text = json.dumps(call.body) + json.dumps(answer.body)
        sizes[call.path.split("/")[1]] += len(text)
        return answer

    platform.engine.handle = count_bytes
    client = platform.client
    context = message.Platform(
        client, client, OneLease(), lambda: vms, lambda: plan, lambda: platform.now
    )
    reader = signal.SignalReader(context, 1)
    holder = controller.ShardController(
        context, reader, 0, lambda *call: waiting.append(call), collections.Counter()
    )

    def play(length: float) -> float:
        spent = 0.0
        for _ in range(int(length / runner.POLL_SECONDS)):
            begin = time.process_time()
            fake.run(reader.read())
            reader.clear_cache()
            fake.run(holder.step())
            spent += time.process_time() - begin
            for function, *args in waiting:
                fake.run(function(*args))
            waiting.clear()
            platform.advance(runner.POLL_SECONDS)
        return spent

    play(20.0)
    sizes.clear()
    before = client.reads.total(), client.writes.total()
    spent = play(seconds)
    reads = (client.reads.total() - before[0]) / seconds
    writes = (client.writes.total() - before[1]) / seconds
    running = len(holder.core.state.jobs)
    holder.close()
    print(f"{workers:8}{running:8}{reads:9.2f}{writes:9.2f}", end="")
    print(f"{sizes.total() / seconds / 1e3:7.2f}{100 * spent / seconds:8.2f}", end="")
    print(f"{sizes['table'] / seconds / 1e3:11.2f}")


def measure_site(seconds: float = 30.0) -> None:
    """Print what placement costs three real daemons that have no jobs."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        at = site.open_site(stack, folder, process.Ports(), EXAMPLE)
        at.wait_until_serving()
        at.submit(yaml.safe_load(EXAMPLE.read_text(encoding="utf-8")), 0, "first")
        for name in at.daemons:
            at.wait_until_ready(name)
        time.sleep(10.0)
        before = _read_site(at)
        time.sleep(seconds)
        after = _read_site(at)
    print(f"{'daemon':>12}{'duties':>8}{'core %':>8}")
    for name, (used, duties) in after[0].items():
        spent = used - before[0][name][0]
        print(f"{name:>12}{duties:8}{100 * spent / seconds:8.2f}")
    print(f"{'reads/s by purpose':>24}")
    for purpose, count in sorted(after[1].items()):
        print(f"{purpose:>24}{(count - before[1].get(purpose, 0)) / seconds:8.2f}")


def _read_site(at: site.Site) -> tuple[dict[str, tuple[float, int]], dict[str, int]]:
    """Return processor seconds and placement duties by daemon, and all reads."""
    held = collections.Counter(
        row.value["holder"] for row in _read_duties(at) if row.value is not None
    )
    used = {
        name: (hop.read_processor(at.children[name].popen.pid), held[name])
        for name in at.daemons
    }
    answer = httpx.get(f"{at.platform_url}/counters", trust_env=False)
    return used, answer.json()["reads"]


def _read_duties(at: site.Site) -> list[table.Row]:
    body = {"prefix": "duty/placement/"}
    url = f"{at.platform_url}/table/scan"
    answer = httpx.post(url, json=body, trust_env=False)
    return [table.Row(*row) for row in answer.json()["rows"]]
