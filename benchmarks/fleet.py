"""Waves and moves measured: buffer, roll-out, moves, and the cost of a round.

A seeded event loop of one process drives the real decisions of
`wigeonhitch.fleet` round by round: take, drain, reboot, check, moves. Drains,
reboots, failures and restarts have drawn lengths and times. Run it as
``python -m benchmarks.fleet``; the argument ``quick`` leaves out the largest
fleet.
"""

import heapq
import itertools
import math
import random
import statistics
import sys
import time
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import (
    batch,
    budget,
    change,
    move,
    state,
    wave,
)
from wigeonhitch.membership import confirmation
from wigeonhitch.platform import machines

DAY = 86_400.0
REPLACED_AFTER = 1200.0
RESTART = 120.0
INTERVAL = 2.0
LIMITS = wave.Limits(stop_estimate=300.0, return_within=900.0)
Picker = Callable[[wave.Snapshot], batch.Picks]


class Layout(NamedTuple):
    """Pools by required VMs, the spare VM each has, and the shared buffer."""

    name: str
    required: tuple[int, ...]
    own: int
    shared: int

    @property
    def vms(self) -> int:
        """Return the number of VMs."""
        return sum(self.required) + self.own * len(self.required) + self.shared


class Result(NamedTuple):
    """Measures of one run, and lower bounds from the lengths drawn in it."""

    rollout: float
    bound: float
    moves: int
    moves_bound: int
    losses: int
    is_done: bool


def build_document(layout: Layout) -> document.Document:
    """Return the document of a layout with one wave over all pools."""
    pools = [
        document.Pool(
            f"p{number:03d}", "k", must + layout.own, document.Budget(number=must)
        )
        for number, must in enumerate(layout.required)
    ]
    if layout.shared:
        spare = document.Budget(number=0)
        pools.append(document.Pool("spare", "k", layout.shared, spare))
    window = document.Window(0.0, 30 * DAY)
    item = document.Wave("w", tuple(pool.name for pool in pools), window, "kernel")
    kinds = (document.Kind("k", 16, 64),)
    return document.Document("bench", (), kinds, tuple(pools), (), (), waves=(item,))


class Loop:
    """Event loop around the decisions; time in seconds.

    Parameters
    ----------
    layout : Layout
        The fleet.
    pick : callable
        Decides which stops begin.
    seed : int
        Of all lengths and failures.
    failures, restarts : float
        Unplanned per day over the whole fleet.
    """

    def __init__(
        self,
        layout: Layout,
        pick: Picker,
        seed: int,
        *,
        failures: float = 0.0,
        restarts: float = 0.0,
    ) -> None:
        self.layout = layout
        self.pick = pick
        self.rng = random.Random(seed)
        self.accepted = build_document(layout)
        self.now = 0.0
        self.view = state.FleetView()
        self.machines: dict[str, machines.Machine] = {}
        self.sick: set[str] = set()
        self.busy: set[str] = set()
        self.missing: dict[str, float] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.order = itertools.count(1)
        self.stops: dict[str, list[float]] = {}
        self.drains: dict[str, float] = {}
        self.moves = self.losses = self.rounds = 0
        self.spent = 0.0
        self.is_done = False
        for number in range(layout.vms):
            self.add(f"v{number:04d}", number)
        while len(self.view.vms) < layout.vms:
            self.run_round()
        self.view.waves["w"] = state.WaveRow("w", state.WaveStatus.RUNNING)
        for kind, rate in (("fail", failures), ("restart", restarts)):
            moment = 0.0
            while rate and moment < DAY:
                moment += self.rng.expovariate(rate / DAY)
                self.plan(moment, kind, "")

    def add(self, vm: str, number: int) -> None:
        """Add a VM; four to a rack, racks in turn over three data centres."""
        rack = number // 4
        self.machines[vm] = machines.Machine(
            vm, "k", vm, f"r{rack}", f"d{rack % 3}", machines.MachineState.LIVE
        )

    def plan(self, moment: float, kind: str, vm: str) -> None:
        """Put an event on the queue."""
        heapq.heappush(self.events, (moment, next(self.order), kind, vm))

    def make_scene(self) -> wave.Snapshot:
        """Return what the decisions see now."""
        healthy = frozenset(self.machines) - self.sick
        seen = state.Observation(self.now, self.machines, self.now, healthy)
        busy = frozenset(self.busy)
        daemon = confirmation.DaemonRow("d", "v0000", math.inf, 10**9, busy, 1, {})
        return wave.Snapshot(
            self.view, self.accepted, seen, (daemon,), 10**9, limits=LIMITS
        )

    def run_round(self) -> None:
        """Run one round, and plan the next one if anything changed."""
        scene = self.make_scene()
        begin = time.process_time()
        steps = wave.advance(scene)[0]
        steps += move.release(scene, self.missing) + move.assign_vms(scene)
        self.apply(steps)
        count = len(steps)
        for pick in (move.pick_moves, self.pick):
            picked = pick(scene).changes
            self.check(scene, picked)
            self.apply(picked)
            count += len(picked)
        self.is_done = bool(batch.list_finished(scene))
        self.spent += time.process_time() - begin
        self.rounds += 1
        if count:
            self.plan(self.now + INTERVAL, "tick", "")

    def check(self, scene: wave.Snapshot, picked: Sequence[change.Change]) -> None:
        """Check that planned stops leave every pool its required VMs."""
        pools = {pool.name: pool for pool in self.accepted.pools}
        taken = {item.row.vm for item in picked}
        for name in {item.row.pool for item in picked}:
            up = [
                row
                for row in scene.view.members(name)
                if row.state is state.VmState.UP
                and row.vm not in taken
                and scene.observation.is_serving(row.vm)
            ]
            assert len(up) >= budget.required(pools[name]), name

    def apply(self, changes: Sequence[change.Change]) -> None:
        """Make changes and plan what follows from them."""
        for item in changes:
            row = item.row._replace(version=next(self.order))
            if item.step is change.Step.RELEASE:
                del self.view.vms[row.vm]
                continue
            self.view.vms[row.vm] = row
            if item.step is change.Step.TAKE:
                self.busy.add(row.vm)
                drain = min(120.0, self.rng.lognormvariate(3.4, 0.5))
                self.drains[row.vm] = drain
                self.moves += bool(row.target)
                self.plan(self.now + drain, "drained", row.vm)
            elif item.step is change.Step.REBOOT:
                self.sick.add(row.vm)
                boot = self.rng.uniform(150.0, 270.0)
                stop = self.drains[row.vm] + boot
                self.stops.setdefault(row.pool, []).append(stop)
                self.plan(self.now + boot, "booted", row.vm)

    def handle(self, kind: str, vm: str) -> None:
        """Let one event happen."""
        if kind == "drained":
            self.busy.discard(vm)
        elif kind == "booted" and vm in self.machines:
            machine = self.machines[vm]
            self.machines[vm] = machine._replace(boot=machine.boot + 1)
            self.sick.discard(vm)
        elif kind == "restart":
            victim = self.rng.choice(sorted(self.machines))
            if victim not in self.sick:
                self.sick.add(victim)
                self.plan(self.now + RESTART, "booted", victim)
        elif kind == "fail":
            victim = self.rng.choice(sorted(self.machines))
            del self.machines[victim]
            self.losses += 1
            self.missing[victim] = self.now
            self.plan(self.now + move.RELEASE_AFTER_SECONDS, "tick", victim)
            self.plan(self.now + REPLACED_AFTER, "replace", f"{victim}n")
        elif kind == "replace":
            self.add(vm, self.rng.randrange(self.layout.vms))

    def run(self) -> Result:
        """Run the wave until it has finished, and return the measures."""
        self.run_round()
        while self.events and not self.is_done:
            moment = self.events[0][0]
            self.now = math.ceil(moment / INTERVAL) * INTERVAL
            while self.events and self.events[0][0] <= self.now:
                _, _, kind, vm = heapq.heappop(self.events)
                self.handle(kind, vm)
            self.run_round()
        rollout = self.now
        total = sum(itertools.chain(*self.stops.values()))
        if self.layout.shared:
            bound = total / self.layout.shared
        else:
            bound = max(sum(stops) for stops in self.stops.values()) / self.layout.own
        # Each pool lacks one VM once, and in the end the buffer lacks its own.
        shared = self.layout.shared
        borrowed = len(self.layout.required) + shared if shared else 0
        return Result(rollout, bound, self.moves, borrowed, self.losses, self.is_done)


def pick_batch(snapshot: wave.Snapshot) -> batch.Picks:
    """Return the next fixed batch of each wave: the baseline of measurements.

    One VM of each pool at a time, and none before the whole batch is back.
    """
    active = {
        row.wave
        for row in snapshot.view.vms.values()
        if row.wave and row.state not in (state.VmState.UP, state.VmState.DOWN)
    }
    picks = batch.pick_stops(snapshot)
    pools: set[tuple[str, str]] = set()
    changes = []
    for item in picks.changes:
        place = (item.row.wave, item.row.pool)
        if item.row.wave in active or place in pools:
            continue
        pools.add(place)
        changes.append(item)
    return batch.Picks(tuple(changes), picks.waiting)


def print_row(cells: Sequence[object], widths: Sequence[int]) -> None:
    """Print one line of a table."""
    pairs = zip(cells, widths, strict=True)
    print("  ".join(f"{cell!s:>{width}}" for cell, width in pairs))


def run_table(name: str, layouts: Sequence[Layout], seeds: int) -> None:
    """Print the measures of each layout, picker and kind of day."""
    widths = (12, 8, 15, 5, 6, 6, 9, 9, 6, 6, 7, 7)
    head = "layout", "picker", "day", "VMs", "buffer", "bound", "roll-out"
    print(f"\n{name}: {seeds} seeds; roll-out and bound in minutes (mean)")
    print_row((*head, "bound", "mean", "worst", "moves", "bound"), widths)
    pickers = {"fixed": pick_batch, "largest": batch.pick_stops}
    days = {"ordinary": {}, "14 and 86": {"failures": 14.0, "restarts": 86.0}}
    for layout, (day, rates) in itertools.product(layouts, days.items()):
        for label, pick in pickers.items():
            runs = [Loop(layout, pick, seed, **rates).run() for seed in range(seeds)]
            ratios = [run.rollout / run.bound for run in runs]
            spare = layout.vms - sum(layout.required)
            unfinished = sum(not run.is_done for run in runs)
            cells = (
                layout.name,
                label,
                day,
                layout.vms,
                spare,
                1,
                f"{statistics.fmean(run.rollout for run in runs) / 60:.1f}",
                f"{statistics.fmean(run.bound for run in runs) / 60:.1f}",
                f"{statistics.fmean(ratios):.2f}",
                f"{max(ratios):.2f}",
                f"{statistics.fmean(run.moves for run in runs):.1f}",
                runs[0].moves_bound,
            )
            print_row(cells, widths)
            if unfinished:
                print(f"  {unfinished} runs did not finish")


def main(arguments: Sequence[str]) -> None:
    """Run all tables."""
    users = [
        Layout("per pool", (5,) * 5, 1, 0),
        Layout("two a pool", (5,) * 5, 2, 0),
        Layout("shared 1", (5,) * 5, 0, 1),
        Layout("shared 2", (5,) * 5, 0, 2),
    ]
    run_table("Altiplano and Dielectra (five pools, five must be up)", users, 20)
    if not arguments:
        sizes = (5,) * 96 + (6,) * 32
        target = [
            Layout("per pool", sizes, 1, 0),
            Layout("shared 4", sizes, 0, 4),
        ]
        run_table("800 workers, 128 pools, all in one wave", target, 1)


if __name__ == "__main__":
    main(sys.argv[1:])
