"""Claims per table write, processor time per claim, calls by purpose.

Run as ``python -m benchmarks.platform``. First the decisions alone, under a
clock that the benchmark sets and a table whose answers take a set time: the
same seeded arrivals are claimed with the records of one moment in one table
write, and with one record per write. Then three daemons' claims and duties
against the platform stand-in as a process, over HTTP. Last, under a set clock, the time
from a holder's death to the next holder's lease.
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

SECONDS = 20.0
ANSWER = record.KeptAnswer(200, (("content-type", "application/json"),), b"x" * 400)
WORK = 0.05
"""Seconds that a worker takes."""
CALL_SECONDS = 10.0
DUTIES = 12
DAEMONS = 3
SINGLE = batch.DEFAULT_LIMITS._replace(batch_size=1)
UNLIMITED = batch.Limits(rate=1e6, burst=1e6, batch_size=1, max_in_flight=1000)


class Run(NamedTuple):
    """Figures of one run; waits in seconds."""

    asked: int
    granted: int
    writes: int
    records: int
    waits: list[float]
    processor: float


class Bench:
    """One core, one table, and events in time order."""

    def __init__(self, limits: batch.Limits, latency: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.core = core.Core("d1", rng=self.rng, limits=limits)
        self.store = platformtable.Store()
        self.latency = latency
        self.events: list[tuple[float, int, str, object]] = []
        self.serial = 0
        self.asked_at: dict[int, float] = {}
        self.waits: list[float] = []
        self.table_seconds = 0.0

    def push(self, at: float, kind: str, item: object = None) -> None:
        """Add an event."""
        self.serial += 1
        heapq.heappush(self.events, (at, self.serial, kind, item))

    def run(self, rate: float) -> Run:
        """Claim, dispatch and complete at ``rate`` requests a second."""
        at = 0.1
        while at < SECONDS:
            self.push(at, "ask")
            at += self.rng.expovariate(rate)
        asked = len(self.events)
        self.push(0.0, "wake")
        started = time.process_time()
        while self.events:
            now, _, kind, item = heapq.heappop(self.events)
            self.handle(now, kind, item)
            self.act(now)
        spent = time.process_time() - started - self.table_seconds
        counts = self.core.counts
        return Run(
            asked,
            counts["granted"],
            counts["table writes"],
            counts["records written"],
            sorted(self.waits) or [0.0],
            spent,
        )

    def handle(self, now: float, kind: str, item: object) -> None:
        """Give one event to the core."""
        if kind == "ask":
            row = record.build_key("s", str(self.rng.random()))
            ticket = self.core.acquire(row, "print", now, now + 2.0)
            self.asked_at[ticket] = now
        elif kind == "done":
            self.core.settle(item, record.State.ANSWERED, now, ANSWER)
        elif kind == "committed":
            self.core.on_commit(*item, now)
        elif kind == "read":
            self.core.on_read(table.ReadResult(table.Outcome.DONE, time=now + 1.0), now)

    def act(self, now: float) -> None:
        """Carry out what the core asks for."""
        for action in self.core.step(now):
            if isinstance(action, batch.Commit):
                self.commit(action, now)
            elif isinstance(action, decision.Read):
                self.push(now + self.latency, "read")
            elif action.kind is decision.Kind.GRANTED:
                self.waits.append(now - self.asked_at[action.ticket])
                self.push(now + WORK, "done", action.ticket)
        wake = self.core.next_wake(now)
        if wake is not None and (not self.events or wake < self.events[0][0]):
            self.push(max(wake, now + 1e-6), "wake")

    def commit(self, action: batch.Commit, now: float) -> None:
        """Apply a table write; its answer takes the table's latency."""
        started = time.process_time()
        conflicts = self.store.commit(
            action.conditions, action.writes, "t", now + self.latency
        )
        assert not conflicts
        result = table.CommitResult(
            table.Outcome.DONE, self.store.revision, (), "", now + self.latency
        )
        self.table_seconds += time.process_time() - started
        self.push(now + self.latency, "committed", (action.batch, result))


def compare(rate: float, latency: float) -> None:
    """Print one comparison."""
    ways = (
        ("one write a moment", batch.DEFAULT_LIMITS),
        ("one write a record, same budget", SINGLE),
        ("one write a record, no budget", UNLIMITED),
    )
    for name, limits in ways:
        run = Bench(limits, latency, seed=1).run(rate)
        waits = run.waits
        print(
            f"{rate:6.0f} {latency * 1e3:6.0f}  {name:32s}"
            f"{run.granted / run.asked:9.0%}"
            f"{run.writes / SECONDS:10.1f}"
            f"{run.records / max(run.writes, 1):9.1f}"
            f"{waits[len(waits) // 2] * 1e3:9.1f}"
            f"{waits[len(waits) * 99 // 100] * 1e3:9.1f}"
            f"{run.processor / run.asked * 1e6:9.0f}"
        )


async def offer(claims: store.Claims, rate: float, rng: random.Random) -> None:
    """Claim and complete ``rate`` new keys a second."""

    async def use(key: str) -> None:
        got = await claims.acquire("s", key, "print", timeout=2.0)
        if got.claim is not None:
            await anyio.sleep(WORK)
            await claims.complete(got.claim, ANSWER)

    end = time.monotonic() + CALL_SECONDS
    async with anyio.create_task_group() as tasks:
        while time.monotonic() < end:
            tasks.start_soon(use, str(rng.random()))
            await anyio.sleep(rng.expovariate(rate))


async def call(address: str, rate: float, limits: batch.Limits) -> None:
    """Run three daemons' claims and duties; print their calls by purpose."""
    async with contextlib.AsyncExitStack() as stack:
        tests = await stack.enter_async_context(httpx.AsyncClient(base_url=address))
        tasks = await stack.enter_async_context(anyio.create_task_group())
        offers = []
        for index in range(DAEMONS):
            rng = random.Random(rate + index)
            name = f"d{index}-{rng.random()}"
            platform = await client.open_client(stack, address, rng=rng, daemon=name)
            duties = holder.Holder(platform, name)
            for index in range(DUTIES):
                duties.want(f"pool-{index}")
            claims = store.Claims(platform, platform, name, rng=rng, limits=limits)
            await tasks.start(duties.run)
            await tasks.start(claims.run)
            offers.append((claims, rng))
        await anyio.sleep(0.5)
        before = (await tests.get("/counters")).json()
        started = time.process_time()
        async with anyio.create_task_group() as running:
            for claims, rng in offers:
                running.start_soon(offer, claims, rate, rng)
        spent = time.process_time() - started
        after = (await tests.get("/counters")).json()
        granted = sum(claims.counts["granted"] for claims, _ in offers)
        tasks.cancel_scope.cancel()
    print_calls(before, after, granted, spent)


def print_calls(before: dict, after: dict, granted: int, spent: float) -> None:
    """Print calls a second by purpose, and processor time per claim."""
    parts = []
    for kind in ("reads", "writes"):
        for purpose, count in sorted(after[kind].items()):
            rate = (count - before[kind].get(purpose, 0)) / CALL_SECONDS
            parts.append(f"{purpose} {kind} {rate:.1f}/s")
    print(f"  {granted} granted, {spent / max(granted, 1) * 1e3:.2f} ms processor each")
    print("  " + ", ".join(parts))


@contextlib.contextmanager
def start_platform():
    """Run the platform stand-in; gives its address."""
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
        f"\n{DAEMONS} daemons over HTTP for {CALL_SECONDS:.0f} s, {DUTIES} duties; "
        "processor time of all three daemons' tasks and clients."
    )
    logging.set_verbosity(logging.ERROR)
    for rate, name, limits in (
        (20, "one write a moment", batch.DEFAULT_LIMITS),
        (20, "one write a record, no budget", UNLIMITED),
        (60, "one write a moment", batch.DEFAULT_LIMITS),
        (60, "one write a record, no budget", UNLIMITED),
    ):
        print(f"{rate} keyed requests a second and daemon, {name}:")
        with start_platform() as address:
            anyio.run(call, address, rate, limits)


def step_duties(duties: duty.Duties, rows: platformtable.Store, now: float) -> None:
    """Let one daemon act on its duties, without delay or loss."""
    for action in duties.step(now):
        if isinstance(action, duty.FullRead):
            looks = [rows.scan(name, action.since) for name in ("daemon/", "duty/")]
            duties.on_full_read(*(make_result(rows, one, now) for one in looks), now)
            continue
        if isinstance(action, duty.HolderRead):
            holders = rows.read([f"daemon/{name}" for name in action.holders])
            looks = [holders, rows.scan("duty/", action.since)]
            duties.on_holder_read(*(make_result(rows, one, now) for one in looks), now)
            continue
        conflicts = rows.commit(action.conditions, action.writes, "t", now)
        outcome = table.Outcome.NOT_DONE if conflicts else table.Outcome.DONE
        result = table.CommitResult(outcome, rows.revision, conflicts, "", now + 1.0)
        duties.on_commit(action.purpose, result, now, now)


def make_result(
    rows: platformtable.Store, found: list[table.Row], now: float
) -> table.ReadResult:
    """Return what a reading gives whose clock is a second ahead."""
    return table.ReadResult(table.Outcome.DONE, tuple(found), rows.revision, now + 1.0)


def time_takeover(seed: int, leaves: bool) -> float:
    """Return the seconds from the end of a holder to the next lease."""
    rng = random.Random(seed)
    rows = platformtable.Store()
    names = [f"d{index}-{seed}" for index in range(9)]
    started = {name: rng.uniform(0.0, 10.0) for name in names}
    daemons = {name: duty.Duties(name) for name in names}
    end = rng.uniform(100.0, 110.0)
    ended = None
    now = 0.0
    for duties in daemons.values():
        duties.want("fleet")
    while True:
        now += 0.1
        for name, duties in list(daemons.items()):
            if now >= started[name]:
                step_duties(duties, rows, now)
        held = [n for n, d in daemons.items() if d.current("fleet", now)]
        if ended is not None and held:
            return now - ended
        if ended is None and now >= end and held:
            ended = now
            duties = daemons.pop(held[0])
            if leaves:
                duties.leave()
                step_duties(duties, rows, now)


def measure_takeovers() -> None:
    """Print times from the end of a holder to the next lease."""
    print("\nNine daemons, one duty, 100 ends of its holder each; seconds.")
    for name, leaves in (("holder dies", False), ("holder leaves", True)):
        times = sorted(time_takeover(seed, leaves) for seed in range(100))
        print(f"  {name}: least {times[0]:.1f}, median {times[50]:.1f}, ", end="")
        print(f"most {times[-1]:.1f}")


def main() -> None:
    """Print the table."""
    print(
        f"One daemon, {SECONDS:.0f} s of seeded arrivals, every key new, "
        f"work {WORK * 1e3:.0f} ms.\nWaits of granted claims; processor time of "
        "the decisions alone, records encoded.\n"
    )
    print(
        f"{'req/s':>6} {'ms':>6}  {'way':32s}{'granted':>9}{'writes/s':>10}"
        f"{'records':>9}{'p50 ms':>9}{'p99 ms':>9}{'us/req':>9}"
    )
    for rate in (5, 20, 50, 200, 500):
        compare(rate, 0.002)
    compare(50, 0.1)
    measure_calls()
    measure_takeovers()


if __name__ == "__main__":
    main()
