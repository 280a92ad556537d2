"""Demand: the sizes that pools should have when load shifts between them.

Two ways stand side by side. `decide_by_threshold` follows the load at once.
`decide_with_hysteresis` asks for more only after the load has stayed above an upper
threshold for some time, and gives back only after it has stayed below a lower
one for longer; this is the idea of "Adaptive Tasklist Scaler" (Zijian Chen,
Uber). `docs/design/planner.md` compares them on the same load trace.

The result is a target size per pool for `wigeonhitch.fleet.move`, whose
budgets and drains apply to these moves as to any other.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["Limits", "Load", "Trend", "decide_by_threshold", "decide_with_hysteresis"]


class Limits(NamedTuple):
    """Thresholds on the busy share of a pool's slots, and times in seconds.

    Parameters
    ----------
    upper : float
        Above this share a pool needs another VM: queues grow steeply beyond
        it, as the wait measurements of routing show for 90 %.
    lower_factor : float
        A pool gives a VM only if its share without that VM would stay below
        ``upper`` times this factor, so that giving cannot cause asking.
    scale_up_delay, scale_down_delay : float
        How long the load must stay beyond the threshold. Down takes longer:
        a missing VM harms callers, a spare one costs only money.
    """

    upper: float = 0.75
    lower_factor: float = 0.8
    scale_up_delay: float = 30.0
    scale_down_delay: float = 300.0


class Load(NamedTuple):
    """Load of a pool: busy slots, slots per VM, VMs, and its least size."""

    busy: float
    slots: int
    vms: int
    min_vms: int


class Trend(NamedTuple):
    """Since when a pool's load has been beyond a threshold; None when not."""

    above: float | None = None
    below: float | None = None


def is_above(load: Load, limits: Limits) -> bool:
    """Tell whether a pool's load asks for another VM."""
    return load.busy > limits.upper * load.slots * load.vms


def is_below(load: Load, limits: Limits, factor: float) -> bool:
    """Tell whether a pool could do with one VM less."""
    rest = load.vms - 1
    return rest >= load.min_vms and load.busy < (
        limits.upper * factor * load.slots * rest
    )


def pair_pools(needs: list[tuple[float, str]], gives: list[tuple[float, str]]) -> dict:
    """Return size changes that pair the fullest pools with the emptiest."""
    changes: dict[str, int] = {}
    pairs = zip(sorted(needs, reverse=True), sorted(gives), strict=False)
    for (_, needy), (_, giver) in pairs:
        changes[needy] = 1
        changes[giver] = -1
    return changes


def busy_share(load: Load) -> float:
    """Return the busy share of a pool's slots."""
    return load.busy / max(load.slots * load.vms, 1)


def decide_by_threshold(loads: Mapping[str, Load], limits: Limits) -> dict[str, int]:
    """Return by how many VMs pools should grow or shrink, following at once.

    The baseline: one threshold both ways, no memory.
    """
    needs = [(busy_share(load), name) for name, load in loads.items()]
    needs = [pair for pair in needs if is_above(loads[pair[1]], limits)]
    gives = [
        (busy_share(load), name)
        for name, load in loads.items()
        if is_below(load, limits, 1.0)
    ]
    return pair_pools(needs, gives)


def update_trend(trend: Trend, load: Load, limits: Limits, now: float) -> Trend:
    """Return the trend of a pool after one more look at its load."""
    above = trend.above if trend.above is not None else now
    below = trend.below if trend.below is not None else now
    return Trend(
        above if is_above(load, limits) else None,
        below if is_below(load, limits, limits.lower_factor) else None,
    )


def decide_with_hysteresis(
    loads: Mapping[str, Load],
    trends: Mapping[str, Trend],
    limits: Limits,
    now: float,
) -> tuple[dict[str, int], dict[str, Trend]]:
    """Return size changes, and the trends to pass in at the next look.

    Made for loads that flicker around a threshold and for short bursts: a
    move costs a drain and a warm-up, so a burst shorter than ``scale_up_delay`` is
    left to the queue. A VM is taken only from a pool that has been below the
    lower threshold for ``scale_down_delay``, or, when none has, from one that is below
    it now: a sustained need outweighs the caution about giving.
    """
    followed = {
        name: update_trend(trends.get(name, Trend()), load, limits, now)
        for name, load in loads.items()
    }
    needs = []
    gives = []
    for name, trend in followed.items():
        if trend.above is not None and now - trend.above >= limits.scale_up_delay:
            needs.append((busy_share(loads[name]), name))
        if trend.below is not None:
            is_settled = now - trend.below >= limits.scale_down_delay
            # Settled pools sort first: their share is below that of others.
            gives.append((busy_share(loads[name]) - float(is_settled), name))
    changes = pair_pools(needs, gives)
    for name in changes:
        followed[name] = Trend()
    return changes, followed
