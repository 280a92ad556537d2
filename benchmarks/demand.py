"""Rebalancing VMs between pools: a plain threshold against hysteresis.

Both policies see the same seeded load trace of five pools of six VMs with eight
slots: a daily cycle, bursts of about one minute, and noise. The benchmark counts
moves and the pool-minutes in which demand exceeds capacity. Run it as
``python -m benchmarks.demand``.
"""

import math
import random
import statistics

from wigeonhitch.fleet import demand

POOL_COUNT = 5
SLOTS_PER_VM = 8
STEP_SECONDS = 10.0
SEED_COUNT = 5
DAY_SECONDS = 86_400.0
DRAIN_SECONDS = 60.0
"""Time during which a moving VM serves neither pool."""


def build_trace(seed: int, noise: float) -> list[list[float]]:
    """Return the demanded slots per step and pool."""
    rng = random.Random(seed)
    bursts = [0.0] * POOL_COUNT
    trace = []
    for step in range(int(DAY_SECONDS / STEP_SECONDS)):
        wanted_slots = []
        for pool in range(POOL_COUNT):
            phase = (
                2 * math.pi * (step * STEP_SECONDS / DAY_SECONDS + pool / POOL_COUNT)
            )
            base = 6 * SLOTS_PER_VM * (0.55 + 0.3 * math.sin(phase))
            if bursts[pool] > 0:
                bursts[pool] -= STEP_SECONDS
            elif rng.random() < STEP_SECONDS / 3600:
                bursts[pool] = rng.uniform(20.0, 120.0)
            burst = 1.35 if bursts[pool] > 0 else 1.0
            wanted_slots.append(max(0.0, base * burst * rng.gauss(1.0, noise)))
        trace.append(wanted_slots)
    return trace


def run(
    trace: list[list[float]], strategy: str, limits: demand.Limits
) -> tuple[int, float]:
    """Return moves and pool-minutes in which demand exceeded capacity."""
    sizes = {f"p{pool}": 6 for pool in range(POOL_COUNT)}
    arriving: list[tuple[float, str]] = []
    trends: dict[str, demand.Trend] = {}
    moves, overload_minutes = 0, 0.0
    for step, wanted_slots in enumerate(trace):
        now = step * STEP_SECONDS
        for arrival_time, name in [item for item in arriving if item[0] <= now]:
            arriving.remove((arrival_time, name))
            sizes[name] += 1
        busy_slots = dict(zip(sizes, wanted_slots, strict=True))
        overload_minutes += (
            sum(busy_slots[name] > SLOTS_PER_VM * sizes[name] for name in sizes)
            * STEP_SECONDS
            / 60
        )
        arriving_names = [name for _, name in arriving]
        loads = {
            name: demand.Load(
                busy_slots[name],
                SLOTS_PER_VM,
                sizes[name] + arriving_names.count(name),
                2,
            )
            for name in sizes
        }
        changes: dict[str, int] = {}
        if strategy == "threshold":
            changes = demand.decide_by_threshold(loads, limits)
        elif strategy == "hysteresis":
            changes, trends = demand.decide_with_hysteresis(loads, trends, limits, now)
        for name, change in changes.items():
            if change < 0:
                sizes[name] -= 1
                moves += 1
            else:
                arriving.append((now + DRAIN_SECONDS, name))
    return moves, overload_minutes


def main() -> None:
    """Print mean moves and mean time over capacity for each policy."""
    print(f"{'noise':>6} {'policy':>22} {'moves':>6} {'over, pool-min':>15}")
    for noise in (0.03, 0.1):
        traces = [build_trace(seed, noise) for seed in range(SEED_COUNT)]
        strategies = [
            ("none", "none", demand.Limits()),
            ("threshold", "threshold", demand.Limits()),
        ]
        for scale_up_delay, scale_down_delay in (
            (30.0, 300.0),
            (60.0, 600.0),
            (180.0, 900.0),
        ):
            label = f"hysteresis {scale_up_delay:.0f}/{scale_down_delay:.0f} s"
            limits = demand.Limits(
                scale_up_delay=scale_up_delay, scale_down_delay=scale_down_delay
            )
            strategies.append((label, "hysteresis", limits))
        for label, strategy, limits in strategies:
            runs = [run(trace, strategy, limits) for trace in traces]
            moves = statistics.fmean(moves for moves, _ in runs)
            overload_minutes = statistics.fmean(
                overload_minutes for _, overload_minutes in runs
            )
            print(f"{noise:>6} {label:>22} {moves:>6.0f} {overload_minutes:>15.1f}")


if __name__ == "__main__":
    main()
