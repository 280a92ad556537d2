"""Queued jobs by pool, class and team, earliest latest start first."""

import bisect
from collections.abc import Iterator

from wigeonhitch.placement import job

__all__ = ["Backlog"]


class Backlog:
    """Sorted queues with O(log n) search for adding and removing one job.

    The cost of mass cancellation is one removal for each job.
    """

    def __init__(self):
        self._queues: dict[tuple[str, bool], dict[str, list]] = {}

    def add(self, item: job.Job) -> None:
        """Queue a job, unless it is queued already."""
        teams = self._queues.setdefault((item.asked.pool, item.is_urgent), {})
        queue = teams.setdefault(item.asked.team, [])
        entry = _entry(item)
        index = bisect.bisect_left(queue, entry)
        if index == len(queue) or queue[index] != entry:
            queue.insert(index, entry)

    def remove(self, item: job.Job) -> None:
        """Remove a job, if it is queued."""
        teams = self._queues.get((item.asked.pool, item.is_urgent), {})
        queue = teams.get(item.asked.team, [])
        entry = _entry(item)
        index = bisect.bisect_left(queue, entry)
        if index < len(queue) and queue[index] == entry:
            del queue[index]
        if not queue:
            teams.pop(item.asked.team, None)

    def pools(self) -> list[str]:
        """Return the pools that have a job queued, sorted by name."""
        return sorted({pool for (pool, _), teams in self._queues.items() if teams})

    def has_urgent(self) -> bool:
        """Whether any urgent job is queued."""
        return any(urgent and teams for (_, urgent), teams in self._queues.items())

    def teams(self, pool: str, urgent: bool) -> list[str]:
        """Return the teams with a job queued, sorted by name."""
        return sorted(self._queues.get((pool, urgent), ()))

    def peek(self, pool: str, urgent: bool, team: str, count: int) -> Iterator[str]:
        """Return the names of a team's first ``count`` queued jobs."""
        queue = self._queues.get((pool, urgent), {}).get(team, ())
        return iter([entry[2] for entry in queue[:count]])

    def earliest_latest_start(self, pool: str, team: str) -> float:
        """Return the earliest `job.Job.latest_start` of a team's bulk jobs."""
        return self._queues[(pool, False)][team][0][0]


def _entry(item: job.Job) -> tuple[float, float, str]:
    return (item.latest_start, item.submitted, item.name)
