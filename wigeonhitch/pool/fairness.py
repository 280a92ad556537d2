"""Weighted fair queueing of teams in one pool, at the level of jobs.

Start-time fair queueing: each team has a chain of intervals of virtual time, one for
each of its open jobs, as long as the job's cost over the team's share of all weights.
The ends of the intervals (finish tags) order the jobs of different teams. There is no
I/O and no clock here.

Invariants:

- Virtual time never falls.
- The intervals of a team's open and completed jobs never overlap, so whichever job
  takes which position, the team pays for each of its jobs once.
- What a team has used in advance is forgotten only if no task waits in the pool.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.pool import priority

__all__ = ["MAX_LAG_SECONDS", "MAX_LAGS", "FairQueue", "check_lag"]

BUCKET_MICROSECONDS = 500_000
"""Width of a bucket. Within it jobs go by value. If all teams have work, a bucket is
half a second of the whole pool; wider ones let a burst go before the others."""

MICROSECONDS = 1_000_000
"""Microseconds in a second. Tags are whole microseconds, so that sums are exact."""

MAX_OVERTAKING_SECONDS = 10.0
"""Seconds of the whole pool for which later jobs of its team may go before a job, in
addition to what was before it at its arrival. It is above a burst of 9 s, in which the
order of arrival would make nearly all jobs late."""

MAX_COST_SECONDS = 1e6
"""Largest cost of a job, in seconds of the whole pool."""

DEFAULT_WEIGHT = 1.0
"""Weight of jobs without a team, and of teams without a valid weight."""

MIN_WEIGHT = 1e-3
MAX_WEIGHT = 1e6
"""Bounds of a weight; beyond them the other teams would have no share at all."""

MAX_LAG_SECONDS = 600.0
"""Largest lag that outlives a leader. It is above a minute of use in advance by one of
twenty teams; a larger one would stop a team for minutes after a fault."""

MAX_LAGS = 50
"""Teams in a published lag: it bounds the status row."""


class Tag(NamedTuple):
    """Interval of virtual time of a job, in microseconds."""

    start: int
    finish: int


class _Arrival(NamedTuple):
    """What is known of an open job."""

    team: str
    cost: float
    """Seconds of the whole pool."""


class _Team:
    """Chain of the intervals of one team's open jobs."""

    def __init__(self, start: int) -> None:
        self.start = start
        self.end = start
        """Finish tag of the last position."""
        self.sizes: dict[str, int] = {}
        self.tags: dict[str, Tag] = {}
        self.deadlines: dict[str, int] = {}
        """Virtual time from which each job goes before the others of its team."""
        self._used: list[Tag] = []
        """Intervals after ``start`` that are used up, in order and disjoint."""

    def add(self, id: str, size: int, virtual_time: int, patience: int) -> None:
        """Add a job at the end of the chain, or at the virtual time if later."""
        if not self.sizes:
            self.start = self.end = max(self.end, virtual_time)
        elif virtual_time > self.end:
            self._use_up(Tag(self.end, virtual_time))
            self.end = virtual_time
        self.tags[id] = Tag(self.end, self.end + size)
        self.end += size
        self.sizes[id] = size
        self.deadlines[id] = self.end + patience

    def remove(self, id: str, *, is_unused: bool) -> None:
        """Remove a job; its interval is used up unless it has never started."""
        tag = self.tags.pop(id)
        del self.sizes[id], self.deadlines[id]
        if is_unused:
            self.arrange(sorted(self.tags, key=self.tags.__getitem__))
        else:
            self._use_up(tag)
        if not self.sizes:
            self.start, self._used = self.end, []

    def arrange(self, order: Iterable[str]) -> None:
        """Give the free intervals of the chain to the jobs in a new order."""
        used = [*self._used, Tag(math.inf, math.inf)]  # type: ignore[arg-type]
        position, number = self.start, 0
        for id in order:
            while used[number].start <= position:
                position = max(position, used[number].finish)
                number += 1
            start, left = position, self.sizes[id]
            while left > used[number].start - position:
                left -= used[number].start - position
                position = used[number].finish
                number += 1
            position += left
            self.tags[id] = Tag(start, position)
        self.end = max([position, *(tag.finish for tag in self._used)])

    def restart(self, virtual_time: int) -> None:
        """Let the chain begin at the virtual time, if it begins later."""
        if self.start <= virtual_time and not self._used:
            return
        earlier = dict(self.tags)
        self.start, self._used = min(self.start, virtual_time), []
        self.arrange(sorted(earlier, key=earlier.__getitem__))
        for id, tag in self.tags.items():
            self.deadlines[id] -= earlier[id].finish - tag.finish

    def shift(self, distance: int) -> None:
        """Move the whole chain to later tags."""
        self.start += distance
        self.end += distance
        self._used = [Tag(*(end + distance for end in tag)) for tag in self._used]
        for id, (start, finish) in self.tags.items():
            self.tags[id] = Tag(start + distance, finish + distance)
            self.deadlines[id] += distance

    def _use_up(self, tag: Tag) -> None:
        merged: list[Tag] = []
        for start, finish in sorted([*self._used, tag]):
            if merged and start <= merged[-1].finish:
                merged[-1] = Tag(merged[-1].start, max(merged[-1].finish, finish))
            else:
                merged.append(Tag(start, finish))
        if merged[0].start <= self.start:
            self.start = max(self.start, merged.pop(0).finish)
        self._used = merged


class FairQueue:
    """Finish tags and buckets of the jobs of one pool.

    Parameters
    ----------
    log_event : callable
        Writes a log line; takes the text and the fields.
    """

    def __init__(self, log_event: Callable[..., None]) -> None:
        self._log_event = log_event
        self.virtual_time = 0
        """Smallest start tag of the open jobs, in microseconds."""
        self._jobs: dict[str, _Arrival] = {}
        self._teams: dict[str, _Team] = {}
        self._weights: dict[str, float] | None = None
        """Weights of the teams with a key; None while there are none."""
        self._restored: dict[str, int] = {}
        """Tags at which the chains of teams begin that haven't arrived yet."""
        self._largest_job = model.Room()
        self._reported: set[tuple[str, str]] = set()
        """Faults of teams that have been logged."""

    @property
    def is_active(self) -> bool:
        """Whether the configuration has teams with a key."""
        return self._weights is not None

    # -- events

    def on_teams(self, teams: Iterable[model.Team]) -> None:
        """Apply the teams of the configuration in force."""
        weights = {
            team.name: self._check_weight(team) for team in teams if team.key_digests
        }
        was_active, self._weights = self.is_active, weights or None
        if not weights:
            self._teams.clear()
            self._restored.clear()
        elif not was_active:
            for id in self._jobs:
                self._add_tag(id)
            for name in sorted(self._restored.keys() - weights.keys() - {""}):
                self._report("lag of a team that isn't configured", name)

    def on_job(self, job: model.Job, capacity: model.Room) -> None:
        """Add a job that has arrived; lasting ones take no part.

        Parameters
        ----------
        job : model.Job
            The job.
        capacity : model.Room
            Resources of the pool's VMs now; 0 if none is known.
        """
        for step in job.steps:
            size = step.reserved.times(step.count)
            self._largest_job = self._largest_job.raise_to(size)
        if job.is_lasting or job.id in self._jobs:
            return
        if not capacity.cpu:
            capacity = self._largest_job
        self._jobs[job.id] = _Arrival(job.team, compute_cost(job, capacity))
        if self.is_active:
            self._add_tag(job.id)

    def on_job_ended(self, id: str, *, is_unused: bool = False) -> None:
        """Remove a job that is final or cancelled; ``is_unused`` if it never ran."""
        arrival = self._jobs.pop(id, None)
        if arrival is None or not self.is_active:
            return
        self._teams[arrival.team].remove(id, is_unused=is_unused)
        if not any(team.sizes for team in self._teams.values()):
            ends = (team.end for team in self._teams.values())
            self.virtual_time = max(self.virtual_time, *ends)

    def on_no_waiting(self) -> None:
        """Forget what was used in advance, as no task waits in the pool.

        Nobody else wanted that room. Otherwise a team that uses a half-empty pool would
        be stopped for as long once others come.
        """
        for name, team in list(self._teams.items()):
            team.restart(self.virtual_time)
            if not team.sizes:
                del self._teams[name]
        self._restored.clear()

    # -- order

    def compute_buckets(self, keys: Mapping[str, priority.SortKey]) -> dict[str, int]:
        """Return the bucket of each job, and advance the virtual time.

        Parameters
        ----------
        keys : mapping of str to priority.SortKey
            Sort keys, without buckets, of the jobs with open tasks.
        """
        if not self.is_active:
            return {}
        starts: list[int] = []
        expired_starts: list[int] = []
        buckets: dict[str, int] = {}
        for team in self._teams.values():
            team.arrange(sorted(team.sizes, key=lambda id: self._rank(team, keys, id)))
            for id in team.sizes.keys() & keys.keys():
                tag = team.tags[id]
                buckets[id] = tag.finish // BUCKET_MICROSECONDS
                is_expired = keys[id].group == priority.EXPIRED
                (expired_starts if is_expired else starts).append(tag.start)
        # An expired job waits for an idle pool. New jobs would be tagged as if all that
        # the pool has run since then was still to come.
        smallest = min(starts or expired_starts, default=0)
        self.virtual_time = max(self.virtual_time, smallest)
        return buckets

    def _rank(
        self, team: _Team, keys: Mapping[str, priority.SortKey], id: str
    ) -> tuple[float, ...]:
        """Return the rank of a job within its team.

        Jobs go by value, except that one whose deadline has passed goes first. Small
        jobs that arrive for ever would otherwise keep a large one waiting.
        """
        deadline = team.deadlines[id]
        key = keys.get(id)
        if key is None:
            return (math.inf, 0, 0, deadline)
        if deadline <= self.virtual_time:
            return (key.group, key.priority, 0, deadline)
        return (key.group, key.priority, 1, key.cost, key.accepted, deadline)

    # -- takeover

    def export_lag(self) -> tuple[tuple[str, float], ...]:
        """Return the seconds of virtual time that teams have used in advance.

        The open jobs aren't part of it, as a successor reads and tags them again.
        """
        if not self.is_active:
            return ()
        # A team that hasn't returned since the last takeover keeps what was restored.
        ends = dict(self._restored)
        for name, team in self._teams.items():
            ends[name] = team.end - sum(team.sizes.values())
        lags = []
        for name, end in ends.items():
            ahead = end - self.virtual_time
            # Tenths of a second, so that the row isn't rewritten for each end of a job.
            lags.append((-min(round(ahead / MICROSECONDS, 1), MAX_LAG_SECONDS), name))
        return tuple((name, -lag) for lag, name in sorted(lags)[:MAX_LAGS] if lag < 0)

    def restore_lag(self, lags: Iterable[tuple[str, float]]) -> None:
        """Begin with what the former leader has published, less its age."""
        for name, seconds in lags:
            distance = round(seconds * MICROSECONDS)
            if name in self._teams:
                self._teams[name].shift(distance)
            else:
                self._restored[name] = self.virtual_time + distance
            if self._weights is not None and name and name not in self._weights:
                self._report("lag of a team that isn't configured", name)

    # -- internals

    def _add_tag(self, id: str) -> None:
        arrival = self._jobs[id]
        assert self._weights is not None
        if arrival.team and arrival.team not in self._weights:
            self._report("job of a team that isn't configured", arrival.team)
        weight = self._weights.get(arrival.team, DEFAULT_WEIGHT)
        scale = MICROSECONDS * sum(self._weights.values()) / weight
        if arrival.team not in self._teams:
            start = self._restored.pop(arrival.team, self.virtual_time)
            self._teams[arrival.team] = _Team(start)
        team = self._teams[arrival.team]
        size = max(1, round(arrival.cost * scale))
        patience = round(MAX_OVERTAKING_SECONDS * scale)
        team.add(id, size, self.virtual_time, patience)

    def _check_weight(self, team: model.Team) -> float:
        weight = team.weight
        is_number = isinstance(weight, int | float) and not isinstance(weight, bool)
        if not is_number or not 0 < weight < math.inf:
            self._report("weight of a team isn't valid", team.name)
            return DEFAULT_WEIGHT
        if not MIN_WEIGHT <= weight <= MAX_WEIGHT:
            self._report("weight of a team is out of bounds", team.name)
        return float(min(MAX_WEIGHT, max(MIN_WEIGHT, weight)))

    def _report(self, event: str, team: str) -> None:
        """Log a fault of a team once."""
        if (event, team) not in self._reported:
            self._reported.add((event, team))
            self._log_event(event, team=team)


def compute_cost(job: model.Job, capacity: model.Room) -> float:
    """Return the seconds for which a job's work would take the whole pool.

    The scarcer one of processors and memory counts.
    """
    cpu = memory = 0.0
    for step in job.steps:
        seconds = step.count * step.estimate * job.occurrences
        cpu += seconds * step.reserved.cpu
        memory += seconds * step.reserved.memory
    shares = (
        work / most
        for work, most in ((cpu, capacity.cpu), (memory, capacity.memory))
        if most > 0
    )
    cost = max(shares, default=0.0)
    return min(cost, MAX_COST_SECONDS) if cost >= 0 else 0.0


def check_lag(lag: object) -> tuple[tuple[tuple[str, float], ...], int]:
    """Return the valid entries of a published lag, and the number of others."""
    if lag is None:
        return (), 0
    if not isinstance(lag, dict):
        return (), 1
    valid = [
        (name, float(seconds))
        for name, seconds in lag.items()
        if isinstance(name, str)
        and isinstance(seconds, int | float)
        and not isinstance(seconds, bool)
        and 0 <= seconds <= MAX_LAG_SECONDS
    ]
    valid.sort(key=lambda entry: (-entry[1], entry[0]))
    return tuple(valid[:MAX_LAGS]), len(lag) - len(valid)
