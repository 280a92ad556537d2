"""Waiting requests of one pool: which is next, and which can still be met.

Made for a pool whose callers offer more than it can run, for minutes: clerks'
lookups and overnight reconciliation, of many teams, for the same slots.
"""

import collections
import heapq
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from wigeonhitch.routing import timer

__all__ = ["Entry", "Queue", "spread_return"]

# Share of starts that a lower class gets while a higher one waits. It keeps
# bulk moving on days when urgent work alone would fill the pool; a tenth adds
# at most a ninth to the time in which the urgent queue empties.
LOWER_SHARE = 0.1

# The same, once the next of the lower class has used up LATE of the time in
# which it must start: half, so that what was admitted is finished in time and
# urgent work still moves at half rate. Admission (ADMITTED) keeps the queue
# below that in steady overload; only a surge of urgent work leads to it.
LATE_SHARE = 0.5
LATE = 0.75
LATE_CREDIT = LOWER_SHARE * (1.0 - LATE_SHARE) / LATE_SHARE

# An entry is admitted if its estimated wait is at most this share of the time
# in which it must start. The other half covers the error of the estimate: one
# request in ten runs eleven times as long as the others.
ADMITTED = 0.5

# Seconds; shorter times to come back would make callers poll.
SHORTEST_RETURN = 0.5

# Heads of teams that are tried when the first cannot use any free slot.
# Bounds the time of one decision; more matter only with 16 teams blocked.
LOOK_AHEAD = 16

# Weight of one start in the measured share of starts per class (some 50).
SHARE_GAIN = 0.02


class Entry(NamedTuple):
    """One waiting request.

    Parameters
    ----------
    key : hashable
    rank : int
        Rank of its urgency class; 0 goes first.
    team : str
    since : float
        When it arrived, in seconds.
    latest : float
        When it must have started, in seconds.
    """

    key: Any
    rank: int
    team: str
    since: float
    latest: float


class _Level:
    """Entries of one class: a first-in-first-out queue per team, fair queueing.

    Start-time fair queueing: a team's tag grows by 1/weight with each start,
    the lowest tag is next. A team that asks for more than its share waits for
    itself alone; an idle team saves up nothing.
    """

    def __init__(self) -> None:
        self.sizes: collections.Counter[str] = collections.Counter()
        self.size = 0
        self.share = 0.0
        self.credit = 0.0
        self._lines: dict[str, collections.deque[Entry]] = {}
        self._tags: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._virtual = 0.0

    def push(self, entry: Entry, front: bool) -> None:
        """Add an entry to its team's queue."""
        team = entry.team
        line = self._lines.get(team)
        if line is None:
            line = self._lines[team] = collections.deque()
            tag = max(self._virtual, self._tags.get(team, 0.0))
            self._tags[team] = tag
            heapq.heappush(self._heap, (tag, team))
        if front:
            line.appendleft(entry)
        else:
            line.append(entry)
        self.size += 1
        self.sizes[team] += 1

    def forget(self, entry: Entry) -> None:
        """Count an entry out; its place in the queue is cleared later."""
        self.size -= 1
        self.sizes[entry.team] -= 1
        if not self.sizes[entry.team]:
            del self.sizes[entry.team]

    def find(
        self, live: Mapping[Any, Entry], fits: Callable[[Entry], bool] | None
    ) -> Entry | None:
        """Return the first head, lowest tag first, for which ``fits`` is true."""
        passed: list[tuple[float, str]] = []
        found = None
        while self._heap and len(passed) <= LOOK_AHEAD:
            item = heapq.heappop(self._heap)
            head = self._head(item, live)
            if head is None:
                continue
            passed.append(item)
            if fits is None or fits(head):
                found = head
                break
        for item in passed:
            heapq.heappush(self._heap, item)
        return found

    def _head(self, item: tuple[float, str], live: Mapping[Any, Entry]) -> Entry | None:
        """Return the team's first live entry; None for a stale heap item."""
        tag, team = item
        line = self._lines.get(team)
        if line is None or self._tags[team] != tag:
            return None
        while line and live.get(line[0].key) is not line[0]:
            line.popleft()
        if line:
            return line[0]
        del self._lines[team]
        if tag <= self._virtual:
            del self._tags[team]
        return None

    def charge(self, team: str, weight: float) -> None:
        """Count a start of the team."""
        tag = self._tags.get(team, self._virtual)
        self._virtual = max(self._virtual, tag)
        self._tags[team] = tag + 1.0 / weight
        if team in self._lines:
            heapq.heappush(self._heap, (self._tags[team], team))


class Queue:
    """Waiting requests of one pool.

    Examples
    --------
    >>> waiting = Queue()
    >>> waiting.push(Entry("report", 1, "lab", 0.0, 60.0))
    >>> waiting.push(Entry("lookup", 0, "clerks", 1.0, 3.0))
    >>> waiting.take(1.0).key
    'lookup'
    """

    def __init__(self) -> None:
        self._levels: dict[int, _Level] = {}
        self._live: dict[Any, Entry] = {}
        self._latest = timer.Timers()
        self._weights: Mapping[str, float] = {}

    def __len__(self) -> int:
        """Return how many wait."""
        return len(self._live)

    def get(self, key: Any) -> Entry | None:
        """Return the entry of a key, if it waits."""
        return self._live.get(key)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams; 1 for those not named."""
        self._weights = weights

    def push(self, entry: Entry, front: bool = False) -> None:
        """Add an entry; ``front`` for one that was already taken once."""
        level = self._levels.get(entry.rank)
        if level is None:
            level = self._levels[entry.rank] = _Level()
            self._levels = dict(sorted(self._levels.items()))
        level.push(entry, front)
        self._live[entry.key] = entry
        self._latest.set(entry.key, entry.latest)

    def remove(self, key: Any) -> Entry | None:
        """Remove an entry and return it, if it waits."""
        entry = self._live.pop(key, None)
        if entry is not None:
            self._latest.discard(key)
            self._levels[entry.rank].forget(entry)
        return entry

    def entries(self) -> list[Entry]:
        """Return what waits, oldest push first."""
        return list(self._live.values())

    def peek(self, now: float) -> Entry | None:
        """Return the entry that is next."""
        return self._find(now, None)

    def heads(self) -> list[Entry]:
        """Return the next entry of each class, highest class first."""
        found = (level.find(self._live, None) for level in self._levels.values())
        return [head for head in found if head is not None]

    def take(
        self, now: float, fits: Callable[[Entry], bool] | None = None
    ) -> Entry | None:
        """Remove and return the next entry for which ``fits`` is true."""
        entry = self._find(now, fits)
        if entry is not None:
            self.start(entry.key)
        return entry

    def start(self, key: Any) -> Entry | None:
        """Remove an entry because it starts, and charge its class and team."""
        entry = self.remove(key)
        if entry is None:
            return None
        weight = self._weights.get(entry.team, 1.0)
        self._levels[entry.rank].charge(entry.team, weight)
        for rank, level in self._levels.items():
            hit = 1.0 if rank == entry.rank else 0.0
            level.share += SHARE_GAIN * (hit - level.share)
            if hit:
                level.credit = max(0.0, level.credit - 1.0)
            elif rank > entry.rank and level.size:
                level.credit += LOWER_SHARE
        return entry

    def overdue(self, now: float) -> list[Entry]:
        """Remove and return the entries that can no longer start in time."""
        return [self.remove(key) for key in self._latest.take_due(now)]

    def next_overdue(self) -> float | None:
        """Return when the next entry becomes overdue."""
        return self._latest.next()

    def estimate_wait(self, rank: int, team: str, rate: float) -> float:
        """Return how long a new entry would wait, in seconds.

        Parameters
        ----------
        rank, team : int, str
            Of the new entry.
        rate : float
            Starts per second that the pool manages.

        Notes
        -----
        Before it go the higher classes, those who will still arrive there
        (their measured share of starts, but no more than `LATE_SHARE`), and
        of its own class what fair queueing puts before it.
        """
        higher = 0
        share = 0.0
        for other, level in self._levels.items():
            if other < rank:
                higher += level.size
                share += level.share
        equal = self._count_before(rank, team)
        slowed = equal / (1.0 - min(share, LATE_SHARE))
        return (higher + slowed) / max(rate, 1e-9)

    def can_meet(self, entry: Entry, now: float, rate: float) -> bool:
        """Tell whether a new entry is expected to start in time."""
        wait = self.estimate_wait(entry.rank, entry.team, rate)
        return wait <= ADMITTED * (entry.latest - now)

    def _count_before(self, rank: int, team: str) -> float:
        level = self._levels.get(rank)
        if level is None or not level.size:
            return 0.0
        weight = self._weights.get(team, 1.0)
        rounds = (level.sizes.get(team, 0) + 1) / weight
        before = -1.0
        for other, size in level.sizes.items():
            before += min(size, rounds * self._weights.get(other, 1.0))
        return before + (1.0 if team not in level.sizes else 0.0)

    def _find(self, now: float, fits: Callable[[Entry], bool] | None) -> Entry | None:
        for level in self._order(now):
            entry = level.find(self._live, fits)
            if entry is not None:
                return entry
        return None

    def _order(self, now: float) -> list[_Level]:
        """Return the classes with entries, highest first unless one is due."""
        levels = [level for level in self._levels.values() if level.size]
        for level in levels[1:]:
            if level.credit >= 1.0 or self._is_late(level, now):
                levels.remove(level)
                levels.insert(0, level)
                break
        return levels

    def _is_late(self, level: _Level, now: float) -> bool:
        """Tell whether the class is due because its next entry is late."""
        if level.credit < LATE_CREDIT:
            return False
        head = level.find(self._live, None)
        return head is not None and (
            now - head.since > LATE * (head.latest - head.since)
        )


def spread_return(wait: float, rng: random.Random) -> float:
    """Return seconds after which a refused caller should come back.

    Parameters
    ----------
    wait : float
        Estimated seconds until there is room.
    rng : random.Random
        Seeded.

    Notes
    -----
    Spread evenly over once to twice the wait: callers who were refused in the
    same moment do not come back in the same moment.
    """
    return max(wait, SHORTEST_RETURN) * (1.0 + rng.random())
