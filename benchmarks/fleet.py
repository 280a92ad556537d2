"""Maintenance waves and moves: buffer, rollout time, moves, cost of a round.

A seeded event loop in one process drives the decisions of `wigeonhitch.fleet`
round by round: stop, drain, reboot, check, moves. Times and durations of drains,
reboots, failures and restarts are drawn at random. Run it as
``python -m benchmarks.fleet``; the argument ``quick`` skips the largest
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

DAY_SECONDS = 86_400.0
REPLACEMENT_DELAY_SECONDS = 1200.0
RESTART_SECONDS = 120.0
ROUND_INTERVAL_SECONDS = 2.0
LIMITS = wave.Limits(stop_estimate=300.0, return_within=900.0)
Picker = Callable[[wave.Snapshot], batch.Picks]


class Layout(NamedTuple):
    """Required VMs per pool, spares of each pool, and the shared buffer."""

    name: str
    required: tuple[int, ...]
    own_spares: int
    shared_spares: int

    @property
    def vms(self) -> int:
        """Total number of VMs."""
        return (
            sum(self.required)
            + self.own_spares * len(self.required)
            + self.shared_spares
        )


class Result(NamedTuple):
    """Measures of one run (s), with lower bounds for its drawn durations."""

    rollout: float
    rollout_bound: float
    moves: int
    moves_bound: int
    lost_vms: int
    is_done: bool


def build_document(layout: Layout) -> document.Document:
    """Return the document of a layout with one wave over all pools."""
    pools = [
        document.Pool(
            f"p{number:03d}",
            "k",
            required_vms + layout.own_spares,
            document.Budget(number=required_vms),
        )
        for number, required_vms in enumerate(layout.required)
    ]
    if layout.shared_spares:
        spare = document.Budget(number=0)
        pools.append(document.Pool("spare", "k", layout.shared_spares, spare))
    window = document.Window(0.0, 30 * DAY_SECONDS)
    fleet_wave = document.Wave(
        "w", tuple(pool.name for pool in pools), window, "kernel"
    )
    kinds = (document.Kind("k", 16, 64),)
    return document.Document(
        "bench", (), kinds, tuple(pools), (), (), waves=(fleet_wave,)
    )


class EventLoop:
    """Event loop that drives the decisions; times in seconds.

    Parameters
    ----------
    layout : Layout
        Pools and spares of the fleet.
    pick : callable
        Selects the stops to begin.
    seed : int
        Seed of all durations and failures.
    failures, restarts : float
        Unplanned events per day over the whole fleet.
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
        self.document = build_document(layout)
        self.now = 0.0
        self.view = state.FleetView()
        self.machines: dict[str, machines.Machine] = {}
        self.unhealthy: set[str] = set()
        self.busy: set[str] = set()
        self.missing_since: dict[str, float] = {}
        self.events: list[tuple[float, int, str, str]] = []
        self.sequence = itertools.count(1)
        self.stop_durations: dict[str, list[float]] = {}
        self.drain_durations: dict[str, float] = {}
        self.moves = self.lost_vms = self.rounds = 0
        self.cpu_seconds = 0.0
        self.is_done = False
        for number in range(layout.vms):
            self.add(f"v{number:04d}", number)
        while len(self.view.vms) < layout.vms:
            self.run_round()
        self.view.waves["w"] = state.WaveRow("w", state.WaveStatus.RUNNING)
        for kind, rate in (("fail", failures), ("restart", restarts)):
            event_time = 0.0
            while rate and event_time < DAY_SECONDS:
                event_time += self.rng.expovariate(rate / DAY_SECONDS)
                self.schedule(event_time, kind, "")

    def add(self, vm: str, number: int) -> None:
        """Add a VM: four per rack, racks round-robin over three data centres."""
        rack = number // 4
        self.machines[vm] = machines.Machine(
            vm, "k", vm, f"r{rack}", f"d{rack % 3}", machines.MachineState.LIVE
        )

    def schedule(self, event_time: float, kind: str, vm: str) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (event_time, next(self.sequence), kind, vm))

    def build_snapshot(self) -> wave.Snapshot:
        """Return the current input of the decisions."""
        healthy = frozenset(self.machines) - self.unhealthy
        observation = state.Observation(self.now, self.machines, self.now, healthy)
        busy = frozenset(self.busy)
        daemon = confirmation.DaemonRow("d", "v0000", math.inf, 10**9, busy, 1, {})
        return wave.Snapshot(
            self.view, self.document, observation, (daemon,), 10**9, limits=LIMITS
        )

    def run_round(self) -> None:
        """Run one round, and schedule the next one if anything changed."""
        snapshot = self.build_snapshot()
        started_at = time.process_time()
        changes = wave.advance(snapshot)[0]
        changes += move.release(snapshot, self.missing_since) + move.assign_vms(
            snapshot
        )
        self.apply(changes)
        change_count = len(changes)
        for pick in (move.pick_moves, self.pick):
            picked_changes = pick(snapshot).changes
            self.check(snapshot, picked_changes)
            self.apply(picked_changes)
            change_count += len(picked_changes)
        self.is_done = bool(batch.list_finished(snapshot))
        self.cpu_seconds += time.process_time() - started_at
        self.rounds += 1
        if change_count:
            self.schedule(self.now + ROUND_INTERVAL_SECONDS, "tick", "")

    def check(self, snapshot: wave.Snapshot, picked: Sequence[change.Change]) -> None:
        """Check that the picked stops leave each pool its required VMs."""
        pools = {pool.name: pool for pool in self.document.pools}
        picked_vms = {item.row.vm for item in picked}
        for name in {item.row.pool for item in picked}:
            serving = [
                row
                for row in snapshot.view.members(name)
                if row.state is state.VmState.UP
                and row.vm not in picked_vms
                and snapshot.observation.is_serving(row.vm)
            ]
            assert len(serving) >= budget.required(pools[name]), name

    def apply(self, changes: Sequence[change.Change]) -> None:
        """Apply changes and schedule the events that follow."""
        for item in changes:
            row = item.row._replace(version=next(self.sequence))
            if item.step is change.Step.RELEASE:
                del self.view.vms[row.vm]
                continue
            self.view.vms[row.vm] = row
            if item.step is change.Step.TAKE:
                self.busy.add(row.vm)
                drain_duration = min(120.0, self.rng.lognormvariate(3.4, 0.5))
                self.drain_durations[row.vm] = drain_duration
                self.moves += bool(row.target)
                self.schedule(self.now + drain_duration, "drained", row.vm)
            elif item.step is change.Step.REBOOT:
                self.unhealthy.add(row.vm)
                boot_duration = self.rng.uniform(150.0, 270.0)
                stop_duration = self.drain_durations[row.vm] + boot_duration
                self.stop_durations.setdefault(row.pool, []).append(stop_duration)
                self.schedule(self.now + boot_duration, "booted", row.vm)

    def handle(self, kind: str, vm: str) -> None:
        """Process one event."""
        if kind == "drained":
            self.busy.discard(vm)
        elif kind == "booted" and vm in self.machines:
            machine = self.machines[vm]
            self.machines[vm] = machine._replace(boot=machine.boot + 1)
            self.unhealthy.discard(vm)
        elif kind == "restart":
            victim = self.rng.choice(sorted(self.machines))
            if victim not in self.unhealthy:
                self.unhealthy.add(victim)
                self.schedule(self.now + RESTART_SECONDS, "booted", victim)
        elif kind == "fail":
            victim = self.rng.choice(sorted(self.machines))
            del self.machines[victim]
            self.lost_vms += 1
            self.missing_since[victim] = self.now
            self.schedule(self.now + move.RELEASE_AFTER_SECONDS, "tick", victim)
            self.schedule(self.now + REPLACEMENT_DELAY_SECONDS, "replace", f"{victim}n")
        elif kind == "replace":
            self.add(vm, self.rng.randrange(self.layout.vms))

    def run(self) -> Result:
        """Run the wave until it is finished and return the measures."""
        self.run_round()
        while self.events and not self.is_done:
            event_time = self.events[0][0]
            self.now = (
                math.ceil(event_time / ROUND_INTERVAL_SECONDS) * ROUND_INTERVAL_SECONDS
            )
            while self.events and self.events[0][0] <= self.now:
                _, _, kind, vm = heapq.heappop(self.events)
                self.handle(kind, vm)
            self.run_round()
        rollout_duration = self.now
        total_stop_duration = sum(itertools.chain(*self.stop_durations.values()))
        if self.layout.shared_spares:
            rollout_bound = total_stop_duration / self.layout.shared_spares
        else:
            rollout_bound = (
                max(sum(stops) for stops in self.stop_durations.values())
                / self.layout.own_spares
            )
        # Each pool borrows one VM once, and the buffer is refilled at the end.
        shared_spares = self.layout.shared_spares
        moves_bound = len(self.layout.required) + shared_spares if shared_spares else 0
        return Result(
            rollout_duration,
            rollout_bound,
            self.moves,
            moves_bound,
            self.lost_vms,
            self.is_done,
        )


def pick_batch(snapshot: wave.Snapshot) -> batch.Picks:
    """Return the next fixed batch of each wave, the baseline picker.

    A batch is one VM of each pool; the next one begins when all are back.
    """
    active_waves = {
        row.wave
        for row in snapshot.view.vms.values()
        if row.wave and row.state not in (state.VmState.UP, state.VmState.DOWN)
    }
    picks = batch.pick_stops(snapshot)
    picked_wave_pools: set[tuple[str, str]] = set()
    changes = []
    for item in picks.changes:
        wave_pool = (item.row.wave, item.row.pool)
        if item.row.wave in active_waves or wave_pool in picked_wave_pools:
            continue
        picked_wave_pools.add(wave_pool)
        changes.append(item)
    return batch.Picks(tuple(changes), picks.waiting)


def print_row(cells: Sequence[object], widths: Sequence[int]) -> None:
    """Print one row of a table."""
    pairs = zip(cells, widths, strict=True)
    print("  ".join(f"{cell!s:>{width}}" for cell, width in pairs))


def run_table(name: str, layouts: Sequence[Layout], seeds: int) -> None:
    """Print the measures of each layout, picker and failure rate."""
    widths = (12, 8, 15, 5, 6, 6, 9, 9, 6, 6, 7, 7)
    header = "layout", "picker", "day", "VMs", "buffer", "bound", "rollout"
    print(f"\n{name}: {seeds} seeds; rollout and bound in minutes (mean)")
    print_row((*header, "bound", "mean", "worst", "moves", "bound"), widths)
    pickers = {"fixed": pick_batch, "largest": batch.pick_stops}
    days = {"ordinary": {}, "14 and 86": {"failures": 14.0, "restarts": 86.0}}
    for layout, (day, rates) in itertools.product(layouts, days.items()):
        for label, pick in pickers.items():
            runs = [
                EventLoop(layout, pick, seed, **rates).run() for seed in range(seeds)
            ]
            ratios = [run.rollout / run.rollout_bound for run in runs]
            spare_vms = layout.vms - sum(layout.required)
            unfinished = sum(not run.is_done for run in runs)
            cells = (
                layout.name,
                label,
                day,
                layout.vms,
                spare_vms,
                1,
                f"{statistics.fmean(run.rollout for run in runs) / 60:.1f}",
                f"{statistics.fmean(run.rollout_bound for run in runs) / 60:.1f}",
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
    user_layouts = [
        Layout("per pool", (5,) * 5, 1, 0),
        Layout("two a pool", (5,) * 5, 2, 0),
        Layout("shared 1", (5,) * 5, 0, 1),
        Layout("shared 2", (5,) * 5, 0, 2),
    ]
    run_table("Altiplano and Dielectra (five pools, five must be up)", user_layouts, 20)
    if not arguments:
        required = (5,) * 96 + (6,) * 32
        target_layouts = [
            Layout("per pool", required, 1, 0),
            Layout("shared 4", required, 0, 4),
        ]
        run_table("800 workers, 128 pools, all in one wave", target_layouts, 1)


if __name__ == "__main__":
    main(sys.argv[1:])
