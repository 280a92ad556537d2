"""Planner: cost of a wave, comparison of options, schedule of pools over a period.

Each of three measures is given together with a lower bound that holds for any
order of stops:

============ =================================== ============================
measure      definition                          lower bound
============ =================================== ============================
buffer       VMs beyond those that must be up    the largest planned loss
roll-out     seconds until the last VM is back   VMs / parallel stops * stop
moves        VMs that change pools               sum of deficits
============ =================================== ============================
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from wigeonhitch.configuration import document
from wigeonhitch.fleet import batch, budget, move, wave

__all__ = ["Demand", "Measures", "Option", "Plan", "PoolPlan", "bound_rollout"]
__all__ += ["compare", "plan_wave", "schedule"]

DAY_SECONDS = 86_400.0


class Measures(NamedTuple):
    """Buffer (VMs), roll-out (seconds) and moves (VMs)."""

    buffer: int
    rollout: float
    moves: int


class Option(NamedTuple):
    """A way to hold spare capacity, with its measures and weighted score.

    Parameters
    ----------
    name : str
        ``"per pool"`` or ``"shared n"``.
    measures, bounds : Measures
        Cost of the option, and lower bounds over all options.
    score : float
        Weighted mean of each measure over its bound; 1 is the best possible.
    """

    name: str
    measures: Measures
    bounds: Measures
    score: float


class Demand(NamedTuple):
    """Input of the comparison: a pool and the number of its VMs that must be up."""

    pool: str
    required: int


class PoolPlan(NamedTuple):
    """Part of a wave in one pool; ``order`` lists its VMs in the order of stops."""

    pool: str
    order: tuple[str, ...]
    parallel: int
    borrows: bool
    rollout: float


class Plan(NamedTuple):
    """Dry run of a wave.

    Parameters
    ----------
    wave : str
        Name of the wave.
    pools : tuple of PoolPlan
        The part of the wave in each pool.
    measures, bounds : Measures
        Estimates for this wave, and their lower bounds.
    score : float
        Weighted by the weights of the document.
    fits : bool
        Whether the roll-out fits into the rest of the window.
    problems : tuple of str
        Reasons why parts of the wave cannot run with the current document.
    """

    wave: str
    pools: tuple[PoolPlan, ...]
    measures: Measures
    bounds: Measures
    score: float
    fits: bool
    problems: tuple[str, ...]


def compute_score(
    measures: Measures, bounds: Measures, weights: document.Weights
) -> float:
    """Return the weighted mean of each measure over its lower bound.

    One is added to the moves and to their bound, which may be zero.
    """
    ratios = (
        measures.buffer / max(bounds.buffer, 1),
        measures.rollout / bounds.rollout if bounds.rollout else 1.0,
        (measures.moves + 1) / (bounds.moves + 1),
    )
    total = sum(weights)
    return sum(w * r for w, r in zip(weights, ratios, strict=True)) / total


def bound_rollout(parts: Iterable[tuple[int, int]], stop: float) -> float:
    """Return a lower bound of the roll-out over parallel pools, in seconds.

    Parameters
    ----------
    parts : iterable of tuple of int
        Number of VMs and of allowed parallel stops of each pool.
    stop : float
        Duration of one stop, seconds.

    Examples
    --------
    >>> bound_rollout([(6, 1), (12, 3)], 100.0)
    600.0
    """
    return max((vms / max(parallel, 1) * stop for vms, parallel in parts), default=0.0)


def compare(
    demands: Sequence[Demand],
    *,
    stop: float,
    drain: float,
    weights: document.Weights,
    max_shared: int = 8,
) -> tuple[Option, ...]:
    """Return the options to hold spare VMs of one kind, best score first.

    Used to size a fleet: either each pool has a spare VM of its own, or all
    pools share a few spare VMs that move from pool to pool. The roll-out bound of
    every option is that of the fastest one, so that the score of a small buffer
    reflects its longer roll-out.

    Parameters
    ----------
    demands : sequence of Demand
        Pools of one kind.
    stop, drain : float
        Duration of one stop, and of the drain before a move, seconds.
    weights : Weights
        Weights of the measures in the document.
    max_shared : int
        Size of the largest shared buffer that is compared.
    """
    parts = [(demand.required + 1, 1) for demand in demands]
    fastest = bound_rollout(parts, stop)
    candidates = [("per pool", Measures(len(demands), fastest, 0))]
    durations = sorted(
        (demand.required * stop + drain for demand in demands), reverse=True
    )
    for size in range(1, min(max_shared, len(demands)) + 1):
        finish_times = [stop] * size
        for duration in durations:
            finish_times[finish_times.index(min(finish_times))] += duration
        candidates.append(
            (f"shared {size}", Measures(size, max(finish_times), len(demands)))
        )
    bounds = Measures(1, fastest, 0)
    options = [
        Option(name, measures, bounds, compute_score(measures, bounds, weights))
        for name, measures in candidates
    ]
    return tuple(sorted(options, key=lambda option: option.score))


def plan_pools(snapshot: wave.Snapshot, wave_spec: document.Wave) -> list[PoolPlan]:
    """Return the part of a wave in each of its pools."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    pending: dict[str, list[str]] = {
        name: [] for name in wave_spec.pools if name in pools
    }
    for row in batch.list_pending(snapshot, wave_spec, snapshot.group_rows()):
        if row.pool in pending:
            pending[row.pool].append(row.vm)
    plans = []
    for name, vms in pending.items():
        spare = len(snapshot.view.members(name)) - budget.required(pools[name])
        borrows = spare < 1 and bool(vms)
        parallel = max(spare, 1)
        rollout = math.ceil(len(vms) / parallel) * snapshot.limits.stop_estimate
        plans.append(PoolPlan(name, tuple(vms), parallel, borrows, rollout))
    return plans


def plan_wave(snapshot: wave.Snapshot, wave_spec: document.Wave) -> Plan:
    """Return the dry run of a wave on the current fleet.

    Parameters
    ----------
    snapshot : Snapshot
        State of the fleet; health checks are not needed.
    wave_spec : Wave
        The wave, started or not.
    """
    stop = snapshot.limits.stop_estimate
    plans = plan_pools(snapshot, wave_spec)
    borrowers = [plan for plan in plans if plan.borrows]
    lendable, problems = count_lendable(snapshot, borrowers)
    own_rollout = max((plan.rollout for plan in plans if not plan.borrows), default=0.0)
    lent_rollout = sum(plan.rollout + stop for plan in borrowers) / max(lendable, 1)
    sizes = {pool.name: pool.size for pool in snapshot.document.pools}
    deficits = move.measure_imbalance(sizes, snapshot.view.vms.values()).deficits
    bounds = Measures(
        1 if any(plan.order for plan in plans) else 0,
        max(
            bound_rollout(((len(p.order), p.parallel) for p in plans), stop),
            bound_rollout([(sum(len(p.order) for p in borrowers), lendable)], stop),
        ),
        sum(deficits.values()) + len(borrowers),
    )
    spare = sum(plan.parallel for plan in plans if not plan.borrows and plan.order)
    moves = sum(deficits.values()) + len(borrowers)
    measures = Measures(spare + lendable, max(own_rollout, lent_rollout), moves)
    start = max(snapshot.observation.now, wave_spec.window.start)
    return Plan(
        wave_spec.name,
        tuple(plans),
        measures,
        bounds,
        compute_score(measures, bounds, snapshot.document.weights),
        start + measures.rollout <= wave_spec.window.end,
        tuple(problems),
    )


def count_lendable(
    snapshot: wave.Snapshot, borrowers: Iterable[PoolPlan]
) -> tuple[int, list[str]]:
    """Return how many VMs buffer pools can lend, and problems of unserved pools."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    lendable = {
        pool.kind: pool.size
        for pool in pools.values()
        if pool.size and not budget.required(pool)
    }
    kinds = {pools[plan.pool].kind for plan in borrowers}
    problems = [
        f"pool {plan.pool} has no spare VM and no buffer pool lends one"
        for plan in borrowers
        if not lendable.get(pools[plan.pool].kind)
    ]
    return sum(lendable.get(kind, 0) for kind in kinds), problems


def schedule(
    rollouts: Mapping[str, float],
    *,
    start: float,
    period: float,
    window_offset: float,
    window_length: float,
) -> dict[str, document.Window]:
    """Return a maintenance window for each pool within the period.

    Sized for 128 pools that must each be maintained once in four weeks. Pools
    are assigned in order of decreasing roll-out to the least used day, so that
    as few pools as possible are without their spare VM at the same time. The
    windows of one day follow one another.

    Parameters
    ----------
    rollouts : mapping of str to float
        Expected roll-out of each pool, seconds.
    start, period : float
        Start of the first day and length of the period, seconds.
    window_offset, window_length : float
        Start of each day's window relative to the start of the day, and its
        length, seconds.

    Raises
    ------
    ValueError
        If the pools of a day do not fit into its window.

    Examples
    --------
    >>> schedule({"a": 60.0, "b": 50.0}, start=0.0, period=2 * DAY_SECONDS,
    ...          window_offset=0.0, window_length=100.0)["b"].start
    86400.0
    """
    days = int(period // DAY_SECONDS)
    used_seconds = [0.0] * days
    windows = {}
    for pool, rollout in sorted(rollouts.items(), key=lambda pair: (-pair[1], pair[0])):
        day = used_seconds.index(min(used_seconds))
        if used_seconds[day] + rollout > window_length:
            raise ValueError(
                f"pool {pool} needs {rollout:.0f} s; the emptiest of {days} days has "
                f"{window_length - used_seconds[day]:.0f} s left, "
                "expected a longer window"
            )
        window_start = start + day * DAY_SECONDS + window_offset + used_seconds[day]
        used_seconds[day] += rollout
        windows[pool] = document.Window(window_start, window_start + rollout)
    return windows
