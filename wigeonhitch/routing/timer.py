"""Times at which something is due, by key."""

import heapq
from typing import Any

__all__ = ["Timers"]

# Number of heap entries beyond twice the live ones at which discarded times are
# removed. Bulk deadlines lie hours ahead, so memory would grow otherwise.
MAX_STALE_ENTRIES = 64


class Timers:
    """One due time per key, in seconds, with fast access to the earliest.

    Examples
    --------
    >>> timers = Timers()
    >>> timers.set("a", 2.0)
    >>> timers.set("b", 1.0)
    >>> timers.discard("b")
    >>> timers.next(), timers.take_due(2.0)
    (2.0, ['a'])
    """

    def __init__(self) -> None:
        self._live: dict[Any, float] = {}
        self._heap: list[tuple[float, int, Any]] = []
        self._count = 0

    def set(self, key: Any, when: float) -> None:
        """Set or move the due time of ``key``."""
        if self._live.get(key) == when:
            return
        self._live[key] = when
        self._count += 1
        heapq.heappush(self._heap, (when, self._count, key))
        if len(self._heap) > 2 * len(self._live) + MAX_STALE_ENTRIES:
            self._compact()

    def advance(self, key: Any, when: float) -> None:
        """Set the due time of ``key`` unless it is due earlier."""
        if self._live.get(key, when + 1.0) > when:
            self.set(key, when)

    def discard(self, key: Any) -> None:
        """Remove ``key``, if present."""
        self._live.pop(key, None)

    def next(self) -> float | None:
        """Return the earliest due time."""
        while self._heap:
            when, _, key = self._heap[0]
            if self._live.get(key) == when:
                return when
            heapq.heappop(self._heap)
        return None

    def take_due(self, now: float) -> list[Any]:
        """Remove and return the keys that are due, earliest first."""
        due = []
        while self._heap and self._heap[0][0] <= now:
            when, _, key = heapq.heappop(self._heap)
            if self._live.get(key) == when:
                del self._live[key]
                due.append(key)
        return due

    def _compact(self) -> None:
        self._heap = [item for item in self._heap if self._live.get(item[2]) == item[0]]
        heapq.heapify(self._heap)
