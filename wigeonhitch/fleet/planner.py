"""Planner: what a wave will cost, options compared, pools spread over a period.

Three measures are given, each beside a lower bound that no order of stops can
beat:

============ =================================== ============================
measure      counted as                          lower bound
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

DAY = 86_400.0


class Measures(NamedTuple):
    """Buffer (VMs), roll-out (seconds) and moves (VMs)."""

    buffer: int
    rollout: float
    moves: int


class Option(NamedTuple):
    """One way to hold spare capacity, with its measures and weighted score.

    Parameters
    ----------
    name : str
        ``"per pool"`` or ``"shared n"``.
    measures, bounds : Measures
        What it costs, and the least that any way costs.
    score : float
        Weighted mean of measure over bound; 1 is the best possible.
    """

    name: str
    measures: Measures
    bounds: Measures
    score: float


class Demand(NamedTuple):
    """A pool as the comparison sees it: VMs that must be up, and its kind."""

    pool: str
    required: int


class PoolPlan(NamedTuple):
    """Part of a wave in one pool; ``order`` lists its VMs as they will stop."""

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
        What happens in each pool.
    measures, bounds : Measures
        Estimates for this wave beside their lower bounds.
    score : float
        Weighted by the weights of the document.
    fits : bool
        Whether the roll-out fits into what is left of the window.
    problems : tuple of str
        Why parts of the wave cannot run at all as things are.
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

    One is added to moves and their bound, which may be zero.
    """
    ratios = (
        measures.buffer / max(bounds.buffer, 1),
        measures.rollout / bounds.rollout if bounds.rollout else 1.0,
        (measures.moves + 1) / (bounds.moves + 1),
    )
    total = sum(weights)
    return sum(w * r for w, r in zip(weights, ratios, strict=True)) / total


def bound_rollout(parts: Iterable[tuple[int, int]], stop: float) -> float:
    """Return the least roll-out of pools stopped side by side, in seconds.

    Parameters
    ----------
    parts : iterable of tuple of int
        VMs and allowed parallel stops of each pool.
    stop : float
        Seconds of one stop.

    Examples
    --------
    >>> bound_rollout([(6, 1), (12, 3)], 100.0)
    600.0
    """
    return max((vms / max(at_once, 1) * stop for vms, at_once in parts), default=0.0)


def compare(
    demands: Sequence[Demand],
    *,
    stop: float,
    drain: float,
    weights: document.Weights,
    max_shared: int = 8,
) -> tuple[Option, ...]:
    """Return the ways to hold spare VMs of one kind, best score first.

    Made before a fleet is sized: every pool gets a spare VM of its own, or
    all share a few that pass from pool to pool. The bound of the roll-out is
    that of the fastest option, so that a small buffer shows what it costs.

    Parameters
    ----------
    demands : sequence of Demand
        Pools of one kind.
    stop, drain : float
        Seconds of one stop, and of the drain before a move.
    weights : Weights
        Of the document.
    max_shared : int
        Largest shared buffer to look at.
    """
    lengths = [(demand.required + 1, 1) for demand in demands]
    fastest = bound_rollout(lengths, stop)
    found = [("per pool", Measures(len(demands), fastest, 0))]
    works = sorted((demand.required * stop + drain for demand in demands), reverse=True)
    for size in range(1, min(max_shared, len(demands)) + 1):
        lanes = [stop] * size
        for work in works:
            lanes[lanes.index(min(lanes))] += work
        found.append((f"shared {size}", Measures(size, max(lanes), len(demands))))
    bounds = Measures(1, fastest, 0)
    options = [
        Option(name, measures, bounds, compute_score(measures, bounds, weights))
        for name, measures in found
    ]
    return tuple(sorted(options, key=lambda option: option.score))


def plan_pools(snapshot: wave.Snapshot, item: document.Wave) -> list[PoolPlan]:
    """Return what a wave would do in each of its pools."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    pending: dict[str, list[str]] = {name: [] for name in item.pools if name in pools}
    for row in batch.list_pending(snapshot, item, snapshot.group_rows()):
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


def plan_wave(snapshot: wave.Snapshot, item: document.Wave) -> Plan:
    """Return the dry run of a wave from the fleet as it is.

    Parameters
    ----------
    snapshot : Snapshot
        The fleet; health checks are not needed.
    item : Wave
        The wave, started or not.
    """
    stop = snapshot.limits.stop_estimate
    plans = plan_pools(snapshot, item)
    borrowers = [plan for plan in plans if plan.borrows]
    lenders, problems = count_lendable(snapshot, borrowers)
    own = max((plan.rollout for plan in plans if not plan.borrows), default=0.0)
    lent = sum(plan.rollout + stop for plan in borrowers) / max(lenders, 1)
    sizes = {pool.name: pool.size for pool in snapshot.document.pools}
    deficits = move.measure_imbalance(sizes, snapshot.view.vms.values()).deficits
    bounds = Measures(
        1 if any(plan.order for plan in plans) else 0,
        max(
            bound_rollout(((len(p.order), p.parallel) for p in plans), stop),
            bound_rollout([(sum(len(p.order) for p in borrowers), lenders)], stop),
        ),
        sum(deficits.values()) + len(borrowers),
    )
    spare = sum(plan.parallel for plan in plans if not plan.borrows and plan.order)
    moves = sum(deficits.values()) + len(borrowers)
    measures = Measures(spare + lenders, max(own, lent), moves)
    start = max(snapshot.observation.now, item.window.start)
    return Plan(
        item.name,
        tuple(plans),
        measures,
        bounds,
        compute_score(measures, bounds, snapshot.document.weights),
        start + measures.rollout <= item.window.end,
        tuple(problems),
    )


def count_lendable(
    snapshot: wave.Snapshot, borrowers: Iterable[PoolPlan]
) -> tuple[int, list[str]]:
    """Return how many VMs buffer pools can lend, and which pools get none."""
    pools = {pool.name: pool for pool in snapshot.document.pools}
    lenders = {
        pool.kind: pool.size
        for pool in pools.values()
        if pool.size and not budget.required(pool)
    }
    kinds = {pools[plan.pool].kind for plan in borrowers}
    problems = [
        f"pool {plan.pool} has no spare VM and no buffer pool lends one"
        for plan in borrowers
        if not lenders.get(pools[plan.pool].kind)
    ]
    return sum(lenders.get(kind, 0) for kind in kinds), problems


def schedule(
    works: Mapping[str, float],
    *,
    start: float,
    period: float,
    opens: float,
    length: float,
) -> dict[str, document.Window]:
    """Return a window for each pool, all of them within the period.

    Made for 128 pools that must each be maintained once in four weeks: pools
    are spread evenly over the days, longest first onto the emptiest day, so
    that as few pools as possible are without their spare VM at one time.
    Within a day the windows of its pools lie one after the other.

    Parameters
    ----------
    works : mapping of str to float
        Expected roll-out of each pool, seconds.
    start, period : float
        Begin of the first day and length of the period, seconds.
    opens, length : float
        Begin of a day's window after midnight and its length, seconds.

    Raises
    ------
    ValueError
        If a day's pools do not fit into its window.

    Examples
    --------
    >>> schedule({"a": 60.0, "b": 50.0}, start=0.0, period=2 * DAY,
    ...          opens=0.0, length=100.0)["b"].start
    86400.0
    """
    days = int(period // DAY)
    used = [0.0] * days
    windows = {}
    for pool, work in sorted(works.items(), key=lambda pair: (-pair[1], pair[0])):
        day = used.index(min(used))
        if used[day] + work > length:
            raise ValueError(
                f"pool {pool} needs {work:.0f} s; the emptiest of {days} days has "
                f"{length - used[day]:.0f} s left, expected a longer window"
            )
        begin = start + day * DAY + opens + used[day]
        used[day] += work
        windows[pool] = document.Window(begin, begin + work)
    return windows
