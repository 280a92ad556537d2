"""Propagation time of a configuration change, and its cost per daemon.

Run with ``python -m benchmarks.configuration``. The decisions of 9, 60 and 220
daemons are driven directly under a simulated clock, with simulated delays of
peer messages and of the store; only processor times are measured on this machine.
"""

import heapq
import itertools
import json
import random
import statistics
import time
from collections.abc import Callable
from typing import Any, NamedTuple

import httpx

from wigeonhitch.configuration import (
    canonical,
    check,
    distribution,
    document,
    message,
    proposal,
    watcher,
)

DAEMON_COUNTS = (9, 60, 220)
CHANGE_COUNT = 20
# Long enough for one change to settle before the next.
CHANGE_INTERVAL_SECONDS = 30.0
PEER_DELAY_SECONDS = (0.001, 0.003)
STORE_DELAY_SECONDS = (0.002, 0.006)
SLOW_STORE_DELAY_SECONDS = (1.0, 3.0)
PAUSE_SECONDS = 20.0
SEED = 1
# Status line and headers of one response of the store.
RESPONSE_HEADER_BYTES = 160
# Framing overhead of one peer message.
FRAME_BYTES = 8
CHANGES_PER_DAY = 520


class Case(NamedTuple):
    """One benchmark case: a fleet size and a fault."""

    name: str
    daemons: int
    fan_out: int = 3
    store_delay: tuple[float, float] = STORE_DELAY_SECONDS
    store_unreachable: bool = False
    paused: bool = False
    isolated: bool = False


class Simulation:
    """Daemons, a store and an event queue under a simulated clock."""

    def __init__(self, case: Case, contents: list[bytes]) -> None:
        self.case = case
        self.rng = random.Random(SEED)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = itertools.count()
        self.contents = contents
        self.hashes = [canonical.hash_bytes(data) for data in contents]
        self.version = 0
        self.accepted_at = [0.0] * (len(contents) + 1)
        self.resume_at: dict[int, float] = {}
        self.isolated: set[int] = set()
        self.installed_at: dict[tuple[int, int], float] = {}
        self.sent = [0] * case.daemons
        limits = distribution.Limits(fan_out=case.fan_out)
        self.cores = []
        for daemon in range(case.daemons):
            core = distribution.Distribution(limits, random.Random(daemon))
            peers = tuple(str(n) for n in range(case.daemons) if n != daemon)
            core.handle(message.PeersChanged(peers), 0.0)
            self.cores.append(core)
            self.call_later(self.rng.random(), lambda daemon=daemon: self.wake(daemon))

    def call_later(self, seconds: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        heapq.heappush(self.queue, (self.now + seconds, next(self.sequence), callback))

    def run_until(self, end: float) -> None:
        """Run every event that is due until a time."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.queue)
            callback()
        self.now = end

    def wake(self, daemon: int) -> None:
        """Send a tick to a daemon and schedule its next one."""
        self.deliver(daemon, message.Tick())
        wait = max(self.cores[daemon].next_wake(self.now) - self.now, 0.01)
        self.call_later(wait, lambda: self.wake(daemon))

    def deliver(self, daemon: int, event: message.Event) -> None:
        """Deliver an event to a daemon, after its pause if it is paused."""
        if self.now < self.resume_at.get(daemon, 0.0):
            wait = self.resume_at[daemon] - self.now
            if not isinstance(event, message.Tick):
                self.call_later(wait, lambda: self.deliver(daemon, event))
            return
        for action in self.cores[daemon].handle(event, self.now):
            self.execute(daemon, action)

    def execute(self, daemon: int, action: message.Action) -> None:
        """Execute an action, with its delay."""
        match action:
            case message.SendPeer():
                self.sent[daemon] += len(message.encode(action.message)) + FRAME_BYTES
                received = message.Received(str(daemon), action.message)
                self.send(daemon, int(action.peer), received)
            case message.Install():
                self.installed_at[daemon, action.version] = self.now
            case _:
                self.query_store(daemon, action)

    def send(self, daemon: int, peer: int, event: message.Received) -> None:
        """Send a message to a peer unless either side is isolated."""
        if not {daemon, peer} & self.isolated:
            delay = self.rng.uniform(*PEER_DELAY_SECONDS)
            self.call_later(delay, lambda: self.deliver(peer, event))

    def query_store(self, daemon: int, action: message.Action) -> None:
        """Query the store; its answer reflects the state at half the delay."""
        started = self.now
        delay = self.rng.uniform(*self.case.store_delay)
        read_timeout = self.cores[daemon].limits.read_timeout
        silent = (
            self.case.store_unreachable
            and daemon != 0
            and self.now > CHANGE_INTERVAL_SECONDS
        )
        lost = silent or daemon in self.isolated

        def read() -> None:
            event = self.read_store(action, started, lost)
            self.call_later(delay / 2, lambda: self.deliver(daemon, event))

        self.call_later(read_timeout if lost else delay / 2, read)

    def read_store(
        self, action: message.Action, started: float, lost: bool
    ) -> message.Event:
        """Return the store's answer for its present state."""
        version = None if lost else self.version
        match action:
            case message.Poll():
                return message.Polled(started, version)
            case message.ReadCurrent():
                content = self.hashes[self.version - 1] if self.version else ""
                return message.CurrentRead(started, self.version, version, content)
        data = self.contents[self.hashes.index(action.hash)]
        return message.Fetched(action.hash, None if lost else data)

    def accept(self) -> None:
        """Accept the next version at the first daemon."""
        self.version += 1
        self.accepted_at[self.version] = self.now
        content = self.hashes[self.version - 1]
        announcement = message.Tell(self.version, content)
        self.deliver(0, message.Received("", announcement))
        self.deliver(0, message.Fetched(content, self.contents[self.version - 1]))


def measure(case: Case, contents: list[bytes]) -> list[Any]:
    """Run one case and return its table row."""
    simulation = Simulation(case, contents)
    simulation.run_until(10.0)
    faulty = case.daemons - 1
    stale = 0
    until_unready = []
    before = sum(simulation.sent)
    for _ in contents:
        if case.paused:
            simulation.resume_at[faulty] = simulation.now + PAUSE_SECONDS
        if case.isolated:
            simulation.isolated = {faulty}
        simulation.run_until(simulation.now + simulation.rng.random())
        simulation.accept()
        start = simulation.now
        while simulation.now < start + CHANGE_INTERVAL_SECONDS - 5.0:
            simulation.run_until(simulation.now + 0.5)
            stale += count_stale_but_ready(simulation, start)
            if (
                case.isolated
                and is_unready(simulation, faulty)
                and len(until_unready) < simulation.version
            ):
                until_unready.append(simulation.now - start)
        simulation.isolated = set()
        simulation.run_until(start + CHANGE_INTERVAL_SECONDS)
    latencies = [
        simulation.installed_at[daemon, version] - simulation.accepted_at[version]
        for daemon, version in simulation.installed_at
        if daemon != faulty or not (case.paused or case.isolated)
    ]
    return [
        case.name,
        case.daemons,
        f"{statistics.median(latencies):.3f}",
        f"{sorted(latencies)[int(len(latencies) * 0.99)]:.3f}",
        f"{max(latencies):.3f}",
        f"{max(until_unready):.1f}" if until_unready else "-",
        stale,
        f"{(sum(simulation.sent) - before) / case.daemons / len(contents):.0f}",
    ]


def is_unready(simulation: Simulation, faulty: int) -> bool:
    """Return whether the isolated daemon reports itself as not ready."""
    readiness = simulation.cores[faulty].readiness(simulation.now)
    return readiness is not distribution.Readiness.READY


def count_stale_but_ready(simulation: Simulation, start: float) -> int:
    """Count running daemons that are ready on an old version after 9 s."""
    if simulation.now - start <= 9.0:
        return 0
    return sum(
        core.version < simulation.version
        and simulation.now >= simulation.resume_at.get(number, 0.0)
        and core.readiness(simulation.now) is distribution.Readiness.READY
        for number, core in enumerate(simulation.cores)
    )


def make_contents() -> list[bytes]:
    """Return small documents with distinct contents."""
    base = make_document(1)
    return [canonical.encode(base._replace(fleet=f"f{n}")) for n in range(CHANGE_COUNT)]


def make_document(pools: int) -> document.Document:
    """Return a document with this number of pools, teams and waves."""
    names = [f"pool-{number:03d}" for number in range(pools)]
    budget = document.Budget(number=5)
    window = document.Window(0.0, 1.0)
    return document.Document(
        "fleet",
        (document.DataCentre("a", "r"),),
        (document.Kind("k", 32.0, 64.0),),
        tuple(document.Pool(name, "k", 6, budget) for name in names),
        tuple(document.Service(name, name, "urgent") for name in names),
        (document.Urgency("urgent", 1.0, 1.0),),
        tuple(document.Team(name, 8.0, 16.0) for name in names),
        tuple(document.Wave(name, (name,), window, "restart") for name in names),
    )


def time_call(call: Callable[[], Any], repeats: int) -> float:
    """Return the mean processor time of one call in milliseconds."""
    started_at = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - started_at) / repeats * 1e3


def measure_poll() -> tuple[int, float]:
    """Return bytes and processor time in the core (ms) of one idle poll."""
    body = {"keys": watcher.SIGNALS}
    request = httpx.Request("POST", "http://10.0.0.1:8000/table/read", json=body)
    header_bytes = sum(len(k) + len(v) + 4 for k, v in request.headers.raw)
    sent_bytes = (
        header_bytes + len("POST /table/read HTTP/1.1\r\n\r\n") + len(request.content)
    )
    rows = [{"key": key, "value": {}, "version": 10**9} for key in watcher.SIGNALS]
    response = {"rows": rows, "revision": 10**9, "time": 1.8e9}
    received_bytes = RESPONSE_HEADER_BYTES + len(json.dumps(response))
    core = distribution.Distribution(distribution.Limits(), random.Random(SEED))
    clock = itertools.count()
    core.handle(message.CurrentRead(0.0, 1, 0), 0.0)

    def poll() -> None:
        now = float(2 * next(clock))
        core.handle(message.Tick(), now)
        core.handle(message.Polled(now, 1), now)
        core.readiness(now)

    return sent_bytes + received_bytes, time_call(poll, 20_000)


def print_table(headers: list[str], rows: list[list[Any]]) -> None:
    """Print a table with aligned columns."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        print("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)))


def main() -> None:
    """Print both tables."""
    contents = make_contents()
    rows = []
    for daemons in DAEMON_COUNTS:
        for case in (
            Case("notify 3 peers", daemons),
            Case("poll only", daemons, fan_out=0),
            Case(
                "store slow, notify 3 peers",
                daemons,
                store_delay=SLOW_STORE_DELAY_SECONDS,
            ),
            Case(
                "store slow, poll only",
                daemons,
                fan_out=0,
                store_delay=SLOW_STORE_DELAY_SECONDS,
            ),
            Case("one daemon reaches store", daemons, store_unreachable=True),
            Case("one paused 20 s", daemons, paused=True),
            Case("one isolated", daemons, isolated=True),
        ):
            rows.append(measure(case, contents))
    print(f"Seconds from accepted to in force, {CHANGE_COUNT} changes, seed {SEED}")
    headers = ["case", "daemons", "median", "p99", "worst"]
    headers += ["isolated: not ready", "ready though stale", "peer bytes/change"]
    print_table(headers, rows)
    poll_bytes, cpu_ms = measure_poll()
    print(f"\nOne poll: {poll_bytes} bytes, {cpu_ms * 1e3:.0f} us in the core")
    cost_rows = []
    for pools in (5, 128):
        data = canonical.encode(make_document(pools))
        load_ms = time_call(lambda data=data: check.load_canonical(data), 20)
        request_bytes = (
            len(json.dumps({"rows": [proposal.CURRENT] * 2}))
            + 2 * RESPONSE_HEADER_BYTES
        )
        change_bytes_per_second = CHANGES_PER_DAY * (len(data) + request_bytes) / 86_400
        cost_rows.append(
            [
                pools,
                len(data),
                f"{load_ms:.1f}",
                f"{poll_bytes + change_bytes_per_second:.0f}",
            ]
        )
    headers = ["pools", "document bytes", "ms to load", "bytes/s at 520/day"]
    print_table(headers, cost_rows)


if __name__ == "__main__":
    main()
