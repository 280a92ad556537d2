"""Demand: size changes of pools when load shifts between them.

There are two policies. `decide_by_threshold` reacts to the load immediately.
`decide_with_hysteresis` grows a pool only after its load has stayed above an
upper threshold for some time, and shrinks it only after the load has stayed
below a lower threshold for longer, as in "Adaptive Tasklist Scaler" (Zijian
Chen, Uber). `docs/design/planner.md` compares both on the same load trace.

The result is a target size per pool for `wigeonhitch.fleet.move`, whose
budgets and drains apply to these moves as to any other.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["Limits", "Load", "Trend", "decide_by_threshold", "decide_with_hysteresis"]


class Limits(NamedTuple):
    """Thresholds on the busy share of a pool's slots, and delays in seconds.

    Parameters
    ----------
    upper : float
        Above this share in use a pool needs another VM. Nearer to full use waiting
        times grow steeply; at 90 % they already do.
    lower_factor : float
        A pool gives a VM only if its share without that VM would stay below
        ``upper`` times this factor, so that it does not need the VM back.
    scale_up_delay, scale_down_delay : float
        Seconds for which the load must stay beyond the threshold. Scaling down
        takes longer: a missing VM delays callers, a spare one only costs money.
    """

    upper: float = 0.75
    lower_factor: float = 0.8
    scale_up_delay: float = 30.0
    scale_down_delay: float = 300.0


class Load(NamedTuple):
    """Load of a pool: busy slots, slots per VM, VMs, and minimum number of VMs."""

    busy: float
    slots: int
    vms: int
    min_vms: int


class Trend(NamedTuple):
    """Times since which a pool's load has been beyond a threshold; None if not."""

    above: float | None = None
    below: float | None = None


def is_above(load: Load, limits: Limits) -> bool:
    """Return whether a pool's load requires another VM."""
    return load.busy > limits.upper * load.slots * load.vms


def is_below(load: Load, limits: Limits, factor: float) -> bool:
    """Return whether a pool's load could be served with one VM less."""
    remaining = load.vms - 1
    return remaining >= load.min_vms and load.busy < (
        limits.upper * factor * load.slots * remaining
    )


def pair_pools(
    receivers: list[tuple[float, str]], donors: list[tuple[float, str]]
) -> dict:
    """Return size changes that pair the busiest with the least busy pools."""
    changes: dict[str, int] = {}
    pairs = zip(sorted(receivers, reverse=True), sorted(donors), strict=False)
    for (_, receiver), (_, donor) in pairs:
        changes[receiver] = 1
        changes[donor] = -1
    return changes


def busy_share(load: Load) -> float:
    """Return the busy share of a pool's slots."""
    return load.busy / max(load.slots * load.vms, 1)


def decide_by_threshold(loads: Mapping[str, Load], limits: Limits) -> dict[str, int]:
    """Return size changes that follow the load immediately.

    The baseline: one threshold for both directions, and no state.
    """
    receivers = [(busy_share(load), name) for name, load in loads.items()]
    receivers = [pair for pair in receivers if is_above(loads[pair[1]], limits)]
    donors = [
        (busy_share(load), name)
        for name, load in loads.items()
        if is_below(load, limits, 1.0)
    ]
    return pair_pools(receivers, donors)


def update_trend(trend: Trend, load: Load, limits: Limits, now: float) -> Trend:
    """Return the trend of a pool after one more observation of its load."""
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
    """Return size changes, and the trends to pass to the next call.

    Handles loads that oscillate around a threshold, and short bursts: a move
    costs a drain and a warm-up, so the queue absorbs a burst that is shorter
    than ``scale_up_delay``. A VM is taken from a pool that has been below the
    lower threshold for ``scale_down_delay`` or, if there is none, from one that
    is currently below it: a sustained need takes precedence over that delay.
    """
    new_trends = {
        name: update_trend(trends.get(name, Trend()), load, limits, now)
        for name, load in loads.items()
    }
    receivers = []
    donors = []
    for name, trend in new_trends.items():
        if trend.above is not None and now - trend.above >= limits.scale_up_delay:
            receivers.append((busy_share(loads[name]), name))
        if trend.below is not None:
            has_waited = now - trend.below >= limits.scale_down_delay
            # Pools past the delay sort first: subtracting 1 puts their share
            # below that of all others.
            donors.append((busy_share(loads[name]) - float(has_waited), name))
    changes = pair_pools(receivers, donors)
    for name in changes:
        new_trends[name] = Trend()
    return changes, new_trends
