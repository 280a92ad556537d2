"""Time until a change is in force over all daemons, and what it costs each.

Run with ``python -m benchmarks.configuration``. The decisions of 9, 60 and 220
daemons are driven directly, under a clock of their own, with delays for
messages and for the store; only processor times are of this machine.
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

SIZES = (9, 60, 220)
CHANGES = 20
# Seconds between two changes, enough to settle.
SPACING = 30.0
PEER_DELAY = (0.001, 0.003)
STORE_DELAY = (0.002, 0.006)
SLOW_STORE = (1.0, 3.0)
PAUSE = 20.0
SEED = 1
# Status line and headers of an answer of the store, bytes.
ANSWER_HEADERS = 160
# Frame of a peer message, bytes.
FRAME = 8
CHANGES_A_DAY = 520


class Case(NamedTuple):
    """One row of the table."""

    name: str
    daemons: int
    fan_out: int = 3
    store: tuple[float, float] = STORE_DELAY
    silent: bool = False
    paused: bool = False
    cut: bool = False


class Run:
    """Daemons, a store and an event queue under a clock of its own."""

    def __init__(self, case: Case, contents: list[bytes]) -> None:
        self.case = case
        self.rng = random.Random(SEED)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.contents = contents
        self.hashes = [canonical.hash_bytes(data) for data in contents]
        self.version = 0
        self.accepted = [0.0] * (len(contents) + 1)
        self.resumed: dict[int, float] = {}
        self.cut: set[int] = set()
        self.installed: dict[tuple[int, int], float] = {}
        self.sent = [0] * case.daemons
        limits = distribution.Limits(fan_out=case.fan_out)
        self.cores = []
        for daemon in range(case.daemons):
            core = distribution.Distribution(limits, random.Random(daemon))
            peers = tuple(str(n) for n in range(case.daemons) if n != daemon)
            core.handle(message.PeersChanged(peers), 0.0)
            self.cores.append(core)
            self.later(self.rng.random(), lambda daemon=daemon: self.tick(daemon))

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.queue, (self.now + seconds, next(self.order), call))

    def run_until(self, end: float) -> None:
        """Carry out everything that is due before a time."""
        while self.queue and self.queue[0][0] <= end:
            self.now, _, call = heapq.heappop(self.queue)
            call()
        self.now = end

    def tick(self, daemon: int) -> None:
        """Wake one daemon, and again when it asks to."""
        self.take(daemon, message.Tick())
        wait = max(self.cores[daemon].next_wake(self.now) - self.now, 0.01)
        self.later(wait, lambda: self.tick(daemon))

    def take(self, daemon: int, event: message.Event) -> None:
        """Give one event to a daemon; one that is paused gets it later."""
        if self.now < self.resumed.get(daemon, 0.0):
            wait = self.resumed[daemon] - self.now
            if not isinstance(event, message.Tick):
                self.later(wait, lambda: self.take(daemon, event))
            return
        for action in self.cores[daemon].handle(event, self.now):
            self.carry_out(daemon, action)

    def carry_out(self, daemon: int, action: message.Action) -> None:
        """Carry out one action with its delay."""
        match action:
            case message.SendPeer():
                self.sent[daemon] += len(message.encode(action.message)) + FRAME
                received = message.Received(str(daemon), action.message)
                self.send(daemon, int(action.peer), received)
            case message.Install():
                self.installed[daemon, action.version] = self.now
            case _:
                self.ask_store(daemon, action)

    def send(self, daemon: int, peer: int, event: message.Received) -> None:
        """Send a message to a peer; one that is cut off hears nothing."""
        if not {daemon, peer} & self.cut:
            delay = self.rng.uniform(*PEER_DELAY)
            self.later(delay, lambda: self.take(peer, event))

    def ask_store(self, daemon: int, action: message.Action) -> None:
        """Ask the store; the answer shows the moment halfway."""
        started = self.now
        delay = self.rng.uniform(*self.case.store)
        patience = self.cores[daemon].limits.read_timeout
        silent = self.case.silent and daemon != 0 and self.now > SPACING
        lost = silent or daemon in self.cut

        def look() -> None:
            event = self.read_store(action, started, lost)
            self.later(delay / 2, lambda: self.take(daemon, event))

        self.later(patience if lost else delay / 2, look)

    def read_store(
        self, action: message.Action, started: float, lost: bool
    ) -> message.Event:
        """Return what the store answers at this moment."""
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
        """Accept the next version through the first daemon."""
        self.version += 1
        self.accepted[self.version] = self.now
        content = self.hashes[self.version - 1]
        tell = message.Tell(self.version, content)
        self.take(0, message.Received("", tell))
        self.take(0, message.Fetched(content, self.contents[self.version - 1]))


def measure(case: Case, contents: list[bytes]) -> list[Any]:
    """Run one case; return its row."""
    run = Run(case, contents)
    run.run_until(10.0)
    odd = case.daemons - 1
    wrong = 0
    until_unready = []
    before = sum(run.sent)
    for _ in contents:
        if case.paused:
            run.resumed[odd] = run.now + PAUSE
        if case.cut:
            run.cut = {odd}
        run.run_until(run.now + run.rng.random())
        run.accept()
        start = run.now
        while run.now < start + SPACING - 5.0:
            run.run_until(run.now + 0.5)
            wrong += count_wrong(run, start)
            if case.cut and odd_unready(run, odd) and len(until_unready) < run.version:
                until_unready.append(run.now - start)
        run.cut = set()
        run.run_until(start + SPACING)
    times = [
        run.installed[daemon, version] - run.accepted[version]
        for daemon, version in run.installed
        if daemon != odd or not (case.paused or case.cut)
    ]
    return [
        case.name,
        case.daemons,
        f"{statistics.median(times):.3f}",
        f"{sorted(times)[int(len(times) * 0.99)]:.3f}",
        f"{max(times):.3f}",
        f"{max(until_unready):.1f}" if until_unready else "-",
        wrong,
        f"{(sum(run.sent) - before) / case.daemons / len(contents):.0f}",
    ]


def odd_unready(run: Run, odd: int) -> bool:
    """Return whether the daemon that is cut off has stopped serving."""
    found = run.cores[odd].readiness(run.now)
    return found is not distribution.Readiness.READY


def count_wrong(run: Run, start: float) -> int:
    """Count daemons that run, are ready, and are old after nine seconds."""
    if run.now - start <= 9.0:
        return 0
    return sum(
        core.version < run.version
        and run.now >= run.resumed.get(number, 0.0)
        and core.readiness(run.now) is distribution.Readiness.READY
        for number, core in enumerate(run.cores)
    )


def make_contents() -> list[bytes]:
    """Return small documents that differ."""
    base = make_document(1)
    return [canonical.encode(base._replace(fleet=f"f{n}")) for n in range(CHANGES)]


def make_document(pools: int) -> document.Document:
    """Return a document with so many pools, teams and waves."""
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
    """Return the processor time of one call, milliseconds."""
    begun = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - begun) / repeats * 1e3


def measure_poll() -> tuple[int, float]:
    """Return bytes and the core's processor time (ms) of one idle poll."""
    body = {"keys": watcher.SIGNALS}
    request = httpx.Request("POST", "http://10.0.0.1:8000/table/read", json=body)
    head = sum(len(k) + len(v) + 4 for k, v in request.headers.raw)
    sent = head + len("POST /table/read HTTP/1.1\r\n\r\n") + len(request.content)
    rows = [{"key": key, "value": {}, "version": 10**9} for key in watcher.SIGNALS]
    answer = {"rows": rows, "revision": 10**9, "time": 1.8e9}
    received = ANSWER_HEADERS + len(json.dumps(answer))
    core = distribution.Distribution(distribution.Limits(), random.Random(SEED))
    clock = itertools.count()
    core.handle(message.CurrentRead(0.0, 1, 0), 0.0)

    def poll() -> None:
        now = float(2 * next(clock))
        core.handle(message.Tick(), now)
        core.handle(message.Polled(now, 1), now)
        core.readiness(now)

    return sent + received, time_call(poll, 20_000)


def print_table(headers: list[str], rows: list[list[Any]]) -> None:
    """Print aligned columns."""
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for row in cells:
        print("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)))


def main() -> None:
    """Print both tables."""
    contents = make_contents()
    rows = []
    for daemons in SIZES:
        for case in (
            Case("tell 3 peers", daemons),
            Case("poll only", daemons, fan_out=0),
            Case("store slow, tell 3 peers", daemons, store=SLOW_STORE),
            Case("store slow, poll only", daemons, fan_out=0, store=SLOW_STORE),
            Case("only one hears the store", daemons, silent=True),
            Case("one paused 20 s", daemons, paused=True),
            Case("one cut off", daemons, cut=True),
        ):
            rows.append(measure(case, contents))
    print(f"Seconds from accepted to in force, {CHANGES} changes, seed {SEED}")
    headers = ["case", "daemons", "median", "p99", "worst"]
    headers += ["cut off: not ready", "ready though old", "peer bytes/change"]
    print_table(headers, rows)
    size, processor = measure_poll()
    print(f"\nOne poll: {size} bytes, {processor * 1e3:.0f} us in the core")
    costs = []
    for pools in (5, 128):
        data = canonical.encode(make_document(pools))
        once = time_call(lambda data=data: check.load_canonical(data), 20)
        fixed = len(json.dumps({"rows": [proposal.CURRENT] * 2})) + 2 * ANSWER_HEADERS
        daily = CHANGES_A_DAY * (len(data) + fixed) / 86_400
        costs.append([pools, len(data), f"{once:.1f}", f"{size + daily:.0f}"])
    headers = ["pools", "document bytes", "ms to take it", "bytes/s at 520 a day"]
    print_table(headers, costs)


if __name__ == "__main__":
    main()
