"""Claims per table write, processor time per claim, calls by purpose.

Run as ``python -m benchmarks.platform``. First the decisions alone, under a
simulated clock and a table of fixed latency: the same seeded arrivals are
claimed with batched table writes and with one record per write. Then claims and
duties of three daemons against the platform stand-in in a process of its own,
over HTTP. Last, under a simulated clock, the time from the failure of a duty's
holder to the next holder's lease.
"""

import contextlib
import heapq
import random
import socket
import subprocess
import sys
import time
from typing import NamedTuple

import anyio
import httpx
from absl import logging

from standins import platformtable
from wigeonhitch.idempotency import batch, core, decision, record, store
from wigeonhitch.membership import duty, holder
from wigeonhitch.platform import client, table

DURATION_SECONDS = 20.0
KEPT_ANSWER = record.KeptAnswer(
    200, (("content-type", "application/json"),), b"x" * 400
)
WORK_SECONDS = 0.05
"""Time that a worker takes for a request."""
HTTP_DURATION_SECONDS = 10.0
DUTY_COUNT = 12
DAEMON_COUNT = 3
SINGLE_RECORD = batch.DEFAULT_LIMITS._replace(batch_size=1)
UNLIMITED_WRITES = batch.Limits(rate=1e6, burst=1e6, batch_size=1, max_in_flight=1000)


class Result(NamedTuple):
    """Measures of one run; waits in seconds."""

    requested: int
    granted: int
    writes: int
    records: int
    waits: list[float]
    cpu_seconds: float


class ClaimSimulation:
    """One claims core, one table and an event queue."""

    def __init__(self, limits: batch.Limits, latency: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.core = core.Core("d1", rng=self.rng, limits=limits)
        self.store = platformtable.Store()
        self.latency = latency
        self.events: list[tuple[float, int, str, object]] = []
        self.sequence = 0
        self.requested_at: dict[int, float] = {}
        self.waits: list[float] = []
        self.table_cpu_seconds = 0.0

    def schedule(self, at: float, kind: str, item: object = None) -> None:
        """Schedule an event."""
        self.sequence += 1
        heapq.heappush(self.events, (at, self.sequence, kind, item))

    def run(self, rate: float) -> Result:
        """Claim, dispatch and complete ``rate`` requests per second."""
        at = 0.1
        while at < DURATION_SECONDS:
            self.schedule(at, "ask")
            at += self.rng.expovariate(rate)
        requested = len(self.events)
        self.schedule(0.0, "wake")
        started_at = time.process_time()
        while self.events:
            now, _, kind, item = heapq.heappop(self.events)
            self.handle(now, kind, item)
            self.execute(now)
        cpu_seconds = time.process_time() - started_at - self.table_cpu_seconds
        counts = self.core.counts
        return Result(
            requested,
            counts["granted"],
            counts["table writes"],
            counts["records written"],
            sorted(self.waits) or [0.0],
            cpu_seconds,
        )

    def handle(self, now: float, kind: str, item: object) -> None:
        """Pass one event to the core."""
        if kind == "ask":
            row = record.build_key("s", str(self.rng.random()))
            ticket = self.core.acquire(row, "print", now, now + 2.0)
            self.requested_at[ticket] = now
        elif kind == "done":
            self.core.settle(item, record.State.ANSWERED, now, KEPT_ANSWER)
        elif kind == "committed":
            self.core.on_commit(*item, now)
        elif kind == "read":
            self.core.on_read(table.ReadResult(table.Outcome.DONE, time=now + 1.0), now)

    def execute(self, now: float) -> None:
        """Execute the actions of the core."""
        for action in self.core.step(now):
            if isinstance(action, batch.Commit):
                self.commit(action, now)
            elif isinstance(action, decision.Read):
                self.schedule(now + self.latency, "read")
            elif action.kind is decision.Kind.GRANTED:
                self.waits.append(now - self.requested_at[action.ticket])
                self.schedule(now + WORK_SECONDS, "done", action.ticket)
        wake = self.core.next_wake(now)
        if wake is not None and (not self.events or wake < self.events[0][0]):
            self.schedule(max(wake, now + 1e-6), "wake")

    def commit(self, action: batch.Commit, now: float) -> None:
        """Apply a table write; its answer arrives after the table's latency."""
        started_at = time.process_time()
        conflicts = self.store.commit(
            action.conditions, action.writes, "t", now + self.latency
        )
        assert not conflicts
        result = table.CommitResult(
            table.Outcome.DONE, self.store.revision, (), "", now + self.latency
        )
        self.table_cpu_seconds += time.process_time() - started_at
        self.schedule(now + self.latency, "committed", (action.batch, result))


def compare(rate: float, latency: float) -> None:
    """Print the write policies at one rate and latency."""
    cases = (
        ("batched", batch.DEFAULT_LIMITS),
        ("unbatched, same budget", SINGLE_RECORD),
        ("unbatched, no budget", UNLIMITED_WRITES),
    )
    for name, limits in cases:
        result = ClaimSimulation(limits, latency, seed=1).run(rate)
        waits = result.waits
        print(
            f"{rate:6.0f} {latency * 1e3:6.0f}  {name:32s}"
            f"{result.granted / result.requested:9.0%}"
            f"{result.writes / DURATION_SECONDS:10.1f}"
            f"{result.records / max(result.writes, 1):9.1f}"
            f"{waits[len(waits) // 2] * 1e3:9.1f}"
            f"{waits[len(waits) * 99 // 100] * 1e3:9.1f}"
            f"{result.cpu_seconds / result.requested * 1e6:9.0f}"
        )


async def generate_claims(
    claims: store.Claims, rate: float, rng: random.Random
) -> None:
    """Claim and complete ``rate`` new keys per second."""

    async def claim_key(key: str) -> None:
        acquired = await claims.acquire("s", key, "print", timeout=2.0)
        if acquired.claim is not None:
            await anyio.sleep(WORK_SECONDS)
            await claims.complete(acquired.claim, KEPT_ANSWER)

    end = time.monotonic() + HTTP_DURATION_SECONDS
    async with anyio.create_task_group() as tasks:
        while time.monotonic() < end:
            tasks.start_soon(claim_key, str(rng.random()))
            await anyio.sleep(rng.expovariate(rate))


async def run_daemons(address: str, rate: float, limits: batch.Limits) -> None:
    """Run claims and duties of three daemons; print calls by purpose."""
    async with contextlib.AsyncExitStack() as stack:
        counters_client = await stack.enter_async_context(
            httpx.AsyncClient(base_url=address)
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        daemons = []
        for index in range(DAEMON_COUNT):
            rng = random.Random(rate + index)
            name = f"d{index}-{rng.random()}"
            platform = await client.open_client(stack, address, rng=rng, daemon=name)
            duties = holder.Holder(platform, name)
            for index in range(DUTY_COUNT):
                duties.want(f"pool-{index}")
            claims = store.Claims(platform, platform, name, rng=rng, limits=limits)
            await tasks.start(duties.run)
            await tasks.start(claims.run)
            daemons.append((claims, rng))
        await anyio.sleep(0.5)
        before = (await counters_client.get("/counters")).json()
        started_at = time.process_time()
        async with anyio.create_task_group() as running:
            for claims, rng in daemons:
                running.start_soon(generate_claims, claims, rate, rng)
        cpu_seconds = time.process_time() - started_at
        after = (await counters_client.get("/counters")).json()
        granted = sum(claims.counts["granted"] for claims, _ in daemons)
        tasks.cancel_scope.cancel()
    print_call_rates(before, after, granted, cpu_seconds)


def print_call_rates(
    before: dict, after: dict, granted: int, cpu_seconds: float
) -> None:
    """Print calls per second by purpose, and processor time per claim."""
    parts = []
    for kind in ("reads", "writes"):
        for purpose, count in sorted(after[kind].items()):
            rate = (count - before[kind].get(purpose, 0)) / HTTP_DURATION_SECONDS
            parts.append(f"{purpose} {kind} {rate:.1f}/s")
    print(
        f"  {granted} granted, "
        f"{cpu_seconds / max(granted, 1) * 1e3:.2f} ms processor each"
    )
    print("  " + ", ".join(parts))


@contextlib.contextmanager
def start_platform():
    """Run the platform stand-in and yield its address."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    command = [sys.executable, "-m", "standins.platform", "--port", str(port)]
    with subprocess.Popen(command, stdout=subprocess.PIPE, text=True) as process:
        try:
            process.stdout.readline()
            yield f"http://127.0.0.1:{port}"
        finally:
            process.terminate()


def measure_calls() -> None:
    """Print calls by purpose of three daemons over HTTP."""
    print(
        f"\n{DAEMON_COUNT} daemons over HTTP for {HTTP_DURATION_SECONDS:.0f} s, "
        f"{DUTY_COUNT} duties; "
        "processor time of all three daemons' tasks and clients."
    )
    logging.set_verbosity(logging.ERROR)
    for rate, name, limits in (
        (20, "batched", batch.DEFAULT_LIMITS),
        (20, "unbatched, no budget", UNLIMITED_WRITES),
        (60, "batched", batch.DEFAULT_LIMITS),
        (60, "unbatched, no budget", UNLIMITED_WRITES),
    ):
        print(f"{rate} keyed requests per second and daemon, {name}:")
        with start_platform() as address:
            anyio.run(run_daemons, address, rate, limits)


def step_duties(duties: duty.Duties, rows: platformtable.Store, now: float) -> None:
    """Run one daemon's duty step without delay or loss."""
    for action in duties.step(now):
        if isinstance(action, duty.FullRead):
            results = [rows.scan(name, action.since) for name in ("daemon/", "duty/")]
            duties.on_full_read(
                *(make_result(rows, found_rows, now) for found_rows in results), now
            )
            continue
        if isinstance(action, duty.HolderRead):
            holders = rows.read([f"daemon/{name}" for name in action.holders])
            results = [holders, rows.scan("duty/", action.since)]
            duties.on_holder_read(
                *(make_result(rows, found_rows, now) for found_rows in results), now
            )
            continue
        conflicts = rows.commit(action.conditions, action.writes, "t", now)
        outcome = table.Outcome.NOT_DONE if conflicts else table.Outcome.DONE
        result = table.CommitResult(outcome, rows.revision, conflicts, "", now + 1.0)
        duties.on_commit(action.purpose, result, now, now)


def make_result(
    rows: platformtable.Store, found_rows: list[table.Row], now: float
) -> table.ReadResult:
    """Return a read result whose store clock is one second ahead."""
    return table.ReadResult(
        table.Outcome.DONE, tuple(found_rows), rows.revision, now + 1.0
    )


def time_takeover(seed: int, leaves_cleanly: bool) -> float:
    """Return the seconds from the end of a holder to the next lease."""
    rng = random.Random(seed)
    rows = platformtable.Store()
    names = [f"d{index}-{seed}" for index in range(9)]
    started_at = {name: rng.uniform(0.0, 10.0) for name in names}
    daemons = {name: duty.Duties(name) for name in names}
    end_after = rng.uniform(100.0, 110.0)
    ended_at = None
    now = 0.0
    for duties in daemons.values():
        duties.want("fleet")
    while True:
        now += 0.1
        for name, duties in list(daemons.items()):
            if now >= started_at[name]:
                step_duties(duties, rows, now)
        holders = [
            name for name, duties in daemons.items() if duties.current("fleet", now)
        ]
        if ended_at is not None and holders:
            return now - ended_at
        if ended_at is None and now >= end_after and holders:
            ended_at = now
            duties = daemons.pop(holders[0])
            if leaves_cleanly:
                duties.leave()
                step_duties(duties, rows, now)


def measure_takeovers() -> None:
    """Print times from the end of a holder to the next lease."""
    print("\nNine daemons, one duty, 100 ends of its holder each; seconds.")
    for name, leaves_cleanly in (("holder dies", False), ("holder leaves", True)):
        times = sorted(time_takeover(seed, leaves_cleanly) for seed in range(100))
        print(f"  {name}: min {times[0]:.1f}, median {times[50]:.1f}, ", end="")
        print(f"max {times[-1]:.1f}")


def main() -> None:
    """Print the table."""
    print(
        f"One daemon, {DURATION_SECONDS:.0f} s of seeded arrivals, every key new, "
        f"work {WORK_SECONDS * 1e3:.0f} ms.\n"
        "Waits of granted claims; processor time of the decisions alone, "
        "records encoded.\n"
    )
    print(
        f"{'req/s':>6} {'ms':>6}  {'writes':32s}{'granted':>9}{'writes/s':>10}"
        f"{'records':>9}{'p50 ms':>9}{'p99 ms':>9}{'us/req':>9}"
    )
    for rate in (5, 20, 50, 200, 500):
        compare(rate, 0.002)
    compare(50, 0.1)
    measure_calls()
    measure_takeovers()


if __name__ == "__main__":
    main()
