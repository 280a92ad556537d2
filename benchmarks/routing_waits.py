"""Quantiles, and the waits of one ideal queue as a lower bound."""

import heapq

__all__ = ["compute_ideal_waits", "quantile"]


def quantile(values: list[float], share: float) -> float:
    """Return a quantile, or 0 for no values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def compute_ideal_waits(
    arrivals: list[tuple[float, float]],
    factors: list[float],
    turnaround: float,
    slots: int,
) -> list[float]:
    """Return the waits of one queue over all slots without message delays.

    Parameters
    ----------
    arrivals : list of (float, float)
        Time and work of each request, in order.
    factors : list of float
        Slowdown of each worker.
    turnaround : float
        Seconds that a slot is idle between two requests: 0 for the ideal
        bound, two one-way delays for workers without a queue of their own.
    slots : int
        Slots of each worker.
    """
    free = [(0.0, factor) for factor in factors for _ in range(slots)]
    heapq.heapify(free)
    waits = []
    for when, work in arrivals:
        ready = []
        while free and free[0][0] <= when:
            ready.append(heapq.heappop(free))
        if ready:
            ready.sort(key=lambda item: item[1])
            chosen = ready.pop(0)
            for item in ready:
                heapq.heappush(free, item)
        else:
            chosen = heapq.heappop(free)
        begin = max(when, chosen[0])
        waits.append(begin - when)
        heapq.heappush(free, (begin + work * chosen[1] + turnaround, chosen[1]))
    return waits
