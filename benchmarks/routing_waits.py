"""What waits are measured by: quantiles, and the waits of one ideal queue."""

import heapq

__all__ = ["compute_ideal_waits", "quantile"]


def quantile(values: list[float], share: float) -> float:
    """Return a quantile; 0 of nothing."""
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
    """Return the waits of one queue that sees every slot, without delays.

    Parameters
    ----------
    arrivals : list of (float, float)
        Time and work of each request, in order.
    factors : list of float
        How many times slower each worker is.
    turnaround : float
        Seconds that a slot is idle between two requests: 0 for the plain
        bound, two ways for workers that hold no queue of their own.
    slots : int
        Of each worker.
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
