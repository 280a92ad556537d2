"""Shifting VMs between pools: a plain threshold against a sustained one.

The same seeded load trace for both: daily swing, bursts of one minute and
noise, five pools of six VMs of eight slots. Counted are moves and the time in
which some pool's busy slots exceed its capacity. ``python -m benchmarks.demand``.
"""

import math
import random
import statistics

from wigeonhitch.fleet import demand

POOLS = 5
SLOTS = 8
STEP = 10.0
SEEDS = 5
DAY = 86_400.0
DRAIN = 60.0
"""Seconds in which a moving VM serves neither pool."""


def build_trace(seed: int, noise: float) -> list[list[float]]:
    """Return busy slots wanted, per step and pool."""
    rng = random.Random(seed)
    bursts = [0.0] * POOLS
    trace = []
    for step in range(int(DAY / STEP)):
        row = []
        for pool in range(POOLS):
            phase = 2 * math.pi * (step * STEP / DAY + pool / POOLS)
            base = 6 * SLOTS * (0.55 + 0.3 * math.sin(phase))
            if bursts[pool] > 0:
                bursts[pool] -= STEP
            elif rng.random() < STEP / 3600:
                bursts[pool] = rng.uniform(20.0, 120.0)
            burst = 1.35 if bursts[pool] > 0 else 1.0
            row.append(max(0.0, base * burst * rng.gauss(1.0, noise)))
        trace.append(row)
    return trace


def run(trace: list[list[float]], way: str, limits: demand.Limits) -> tuple[int, float]:
    """Return moves, and pool-minutes in which load exceeded capacity."""
    sizes = {f"p{pool}": 6 for pool in range(POOLS)}
    arriving: list[tuple[float, str]] = []
    trends: dict[str, demand.Trend] = {}
    moves, over = 0, 0.0
    for step, row in enumerate(trace):
        now = step * STEP
        for moment, name in [item for item in arriving if item[0] <= now]:
            arriving.remove((moment, name))
            sizes[name] += 1
        busy = dict(zip(sizes, row, strict=True))
        over += sum(busy[name] > SLOTS * sizes[name] for name in sizes) * STEP / 60
        coming = [name for _, name in arriving]
        loads = {
            name: demand.Load(busy[name], SLOTS, sizes[name] + coming.count(name), 2)
            for name in sizes
        }
        changes: dict[str, int] = {}
        if way == "plain":
            changes = demand.decide_by_threshold(loads, limits)
        elif way == "sustained":
            changes, trends = demand.decide_with_hysteresis(loads, trends, limits, now)
        for name, change in changes.items():
            if change < 0:
                sizes[name] -= 1
                moves += 1
            else:
                arriving.append((now + DRAIN, name))
    return moves, over


def main() -> None:
    """Print the means of moves and time over capacity on the same traces."""
    print(f"{'noise':>6} {'way':>22} {'moves':>6} {'over, pool-min':>15}")
    for noise in (0.03, 0.1):
        traces = [build_trace(seed, noise) for seed in range(SEEDS)]
        ways = [("none", "none", demand.Limits()), ("plain", "plain", demand.Limits())]
        for scale_up_delay, scale_down_delay in (
            (30.0, 300.0),
            (60.0, 600.0),
            (180.0, 900.0),
        ):
            label = f"sustained {scale_up_delay:.0f}/{scale_down_delay:.0f} s"
            limits = demand.Limits(
                scale_up_delay=scale_up_delay, scale_down_delay=scale_down_delay
            )
            ways.append((label, "sustained", limits))
        for label, way, limits in ways:
            runs = [run(trace, way, limits) for trace in traces]
            moves = statistics.fmean(moves for moves, _ in runs)
            over = statistics.fmean(over for _, over in runs)
            print(f"{noise:>6} {label:>22} {moves:>6.0f} {over:>15.1f}")


if __name__ == "__main__":
    main()
