"""Waiting requests of one pool: order of service and admission control.

Designed for minutes of overload, in which the callers of many teams compete for
the same slots with interactive requests and bulk work, such as overnight
reconciliation.
"""

import collections
import heapq
import random
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from wigeonhitch.routing import timer

__all__ = ["Entry", "Queue", "jitter_retry_after"]

# Share of starts that a lower class gets while a higher one waits. It keeps bulk
# work progressing when urgent work alone would fill the pool; a tenth lengthens the
# time to drain the urgent queue by at most a ninth.
LOWER_CLASS_SHARE = 0.1

# The same share once the next request of the lower class has waited for
# LATE_WAIT_SHARE of the time in which it must start. With half, admitted requests
# finish in time and urgent work still proceeds at half rate. Admission
# (MAX_WAIT_SHARE) keeps the queue below that point in steady overload; only a surge
# of urgent work reaches it.
LATE_CLASS_SHARE = 0.5
LATE_WAIT_SHARE = 0.75
MIN_LATE_CREDIT = LOWER_CLASS_SHARE * (1.0 - LATE_CLASS_SHARE) / LATE_CLASS_SHARE

# A request is admitted if its estimated wait is at most this share of the time in
# which it must start. The other half covers the error of the estimate: one request
# in ten runs eleven times as long as the others.
MAX_WAIT_SHARE = 0.5

# Shorter retry times would make callers poll.
MIN_RETRY_AFTER_SECONDS = 0.5

# Heads of team queues that are tried when the first cannot use any free slot. It
# bounds the time of one decision; more would matter only with 16 teams blocked.
LOOK_AHEAD = 16

# Weight of one start in the moving average of starts per class (some 50 starts).
SHARE_GAIN = 0.02


class Entry(NamedTuple):
    """One waiting request.

    Parameters
    ----------
    key : hashable
    rank : int
        Rank of its urgency class; 0 goes first.
    team : str
    arrived_at : float
        When it arrived, in seconds.
    latest_start : float
        When it must have started, in seconds.
    """

    key: Any
    rank: int
    team: str
    arrived_at: float
    latest_start: float


class _ClassQueue:
    """Entries of one urgency class: a FIFO queue per team, with fair queueing.

    Start-time fair queueing: a team's tag grows by 1/weight with each start, and
    the lowest tag is next. A team that requests more than its share delays only
    itself; an idle team accumulates no credit.
    """

    def __init__(self) -> None:
        self.sizes: collections.Counter[str] = collections.Counter()
        self.size = 0
        self.share = 0.0
        self.credit = 0.0
        self._team_queues: dict[str, collections.deque[Entry]] = {}
        self._tags: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._virtual_time = 0.0

    def push(self, entry: Entry, front: bool) -> None:
        """Add an entry to its team's queue."""
        team = entry.team
        team_queue = self._team_queues.get(team)
        if team_queue is None:
            team_queue = self._team_queues[team] = collections.deque()
            tag = max(self._virtual_time, self._tags.get(team, 0.0))
            self._tags[team] = tag
            heapq.heappush(self._heap, (tag, team))
        if front:
            team_queue.appendleft(entry)
        else:
            team_queue.append(entry)
        self.size += 1
        self.sizes[team] += 1

    def uncount(self, entry: Entry) -> None:
        """Remove an entry from the counts; its place in the queue is cleared later."""
        self.size -= 1
        self.sizes[entry.team] -= 1
        if not self.sizes[entry.team]:
            del self.sizes[entry.team]

    def find_head(
        self, live: Mapping[Any, Entry], fits: Callable[[Entry], bool] | None
    ) -> Entry | None:
        """Return the first head, lowest tag first, for which ``fits`` is true."""
        popped: list[tuple[float, str]] = []
        match = None
        while self._heap and len(popped) <= LOOK_AHEAD:
            item = heapq.heappop(self._heap)
            head = self._head(item, live)
            if head is None:
                continue
            popped.append(item)
            if fits is None or fits(head):
                match = head
                break
        for item in popped:
            heapq.heappush(self._heap, item)
        return match

    def _head(self, item: tuple[float, str], live: Mapping[Any, Entry]) -> Entry | None:
        """Return the team's first live entry; None for a stale heap item."""
        tag, team = item
        team_queue = self._team_queues.get(team)
        if team_queue is None or self._tags[team] != tag:
            return None
        while team_queue and live.get(team_queue[0].key) is not team_queue[0]:
            team_queue.popleft()
        if team_queue:
            return team_queue[0]
        del self._team_queues[team]
        if tag <= self._virtual_time:
            del self._tags[team]
        return None

    def charge(self, team: str, weight: float) -> None:
        """Advance the tag of a team for one start."""
        tag = self._tags.get(team, self._virtual_time)
        self._virtual_time = max(self._virtual_time, tag)
        self._tags[team] = tag + 1.0 / weight
        if team in self._team_queues:
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
        self._classes: dict[int, _ClassQueue] = {}
        self._live: dict[Any, Entry] = {}
        self._start_timers = timer.Timers()
        self._weights: Mapping[str, float] = {}

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._live)

    def get(self, key: Any) -> Entry | None:
        """Return the waiting entry of a key, if any."""
        return self._live.get(key)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams; unlisted teams have weight 1."""
        self._weights = weights

    def push(self, entry: Entry, front: bool = False) -> None:
        """Add an entry; ``front`` for one that was dequeued before."""
        class_queue = self._classes.get(entry.rank)
        if class_queue is None:
            class_queue = self._classes[entry.rank] = _ClassQueue()
            self._classes = dict(sorted(self._classes.items()))
        class_queue.push(entry, front)
        self._live[entry.key] = entry
        self._start_timers.set(entry.key, entry.latest_start)

    def remove(self, key: Any) -> Entry | None:
        """Remove and return the waiting entry of a key, if any."""
        entry = self._live.pop(key, None)
        if entry is not None:
            self._start_timers.discard(key)
            self._classes[entry.rank].uncount(entry)
        return entry

    def list_entries(self) -> list[Entry]:
        """Return the waiting entries, oldest push first."""
        return list(self._live.values())

    def peek(self, now: float) -> Entry | None:
        """Return the entry that is next."""
        return self._find_next(now, None)

    def list_heads(self) -> list[Entry]:
        """Return the next entry of each class, highest class first."""
        heads = (
            class_queue.find_head(self._live, None)
            for class_queue in self._classes.values()
        )
        return [head for head in heads if head is not None]

    def take(
        self, now: float, fits: Callable[[Entry], bool] | None = None
    ) -> Entry | None:
        """Remove and return the next entry for which ``fits`` is true."""
        entry = self._find_next(now, fits)
        if entry is not None:
            self.start(entry.key)
        return entry

    def start(self, key: Any) -> Entry | None:
        """Remove an entry that starts, and charge its class and team."""
        entry = self.remove(key)
        if entry is None:
            return None
        weight = self._weights.get(entry.team, 1.0)
        self._classes[entry.rank].charge(entry.team, weight)
        for rank, class_queue in self._classes.items():
            started = 1.0 if rank == entry.rank else 0.0
            class_queue.share += SHARE_GAIN * (started - class_queue.share)
            if started:
                class_queue.credit = max(0.0, class_queue.credit - 1.0)
            elif rank > entry.rank and class_queue.size:
                class_queue.credit += LOWER_CLASS_SHARE
        return entry

    def remove_overdue(self, now: float) -> list[Entry]:
        """Remove and return the entries that can no longer start in time."""
        return [self.remove(key) for key in self._start_timers.take_due(now)]

    def find_next_overdue(self) -> float | None:
        """Return when the next entry becomes overdue."""
        return self._start_timers.next()

    def estimate_wait(self, rank: int, team: str, rate: float) -> float:
        """Return how long a new entry would wait, in seconds.

        Parameters
        ----------
        rank, team : int, str
            Of the new entry.
        rate : float
            Starts per second of the pool.

        Notes
        -----
        Counted ahead of it are the higher classes, including their future arrivals
        (their measured share of starts, but no more than `LATE_CLASS_SHARE`), and the
        entries of its own class that fair queueing serves first.
        """
        higher = 0
        share = 0.0
        for other, class_queue in self._classes.items():
            if other < rank:
                higher += class_queue.size
                share += class_queue.share
        same_class = self._count_ahead(rank, team)
        slowed = same_class / (1.0 - min(share, LATE_CLASS_SHARE))
        return (higher + slowed) / max(rate, 1e-9)

    def can_start_in_time(self, entry: Entry, now: float, rate: float) -> bool:
        """Return whether a new entry is expected to start in time."""
        wait = self.estimate_wait(entry.rank, entry.team, rate)
        return wait <= MAX_WAIT_SHARE * (entry.latest_start - now)

    def _count_ahead(self, rank: int, team: str) -> float:
        class_queue = self._classes.get(rank)
        if class_queue is None or not class_queue.size:
            return 0.0
        weight = self._weights.get(team, 1.0)
        rounds = (class_queue.sizes.get(team, 0) + 1) / weight
        ahead = -1.0
        for other, size in class_queue.sizes.items():
            ahead += min(size, rounds * self._weights.get(other, 1.0))
        return ahead + (1.0 if team not in class_queue.sizes else 0.0)

    def _find_next(
        self, now: float, fits: Callable[[Entry], bool] | None
    ) -> Entry | None:
        for class_queue in self._order_classes(now):
            entry = class_queue.find_head(self._live, fits)
            if entry is not None:
                return entry
        return None

    def _order_classes(self, now: float) -> list[_ClassQueue]:
        """Return the non-empty classes, highest first, except that a due one leads."""
        queues = [
            class_queue for class_queue in self._classes.values() if class_queue.size
        ]
        for class_queue in queues[1:]:
            if class_queue.credit >= 1.0 or self._is_class_late(class_queue, now):
                queues.remove(class_queue)
                queues.insert(0, class_queue)
                break
        return queues

    def _is_class_late(self, class_queue: _ClassQueue, now: float) -> bool:
        """Return whether the class is due because its next entry is late."""
        if class_queue.credit < MIN_LATE_CREDIT:
            return False
        head = class_queue.find_head(self._live, None)
        return head is not None and (
            now - head.arrived_at
            > LATE_WAIT_SHARE * (head.latest_start - head.arrived_at)
        )


def jitter_retry_after(wait: float, rng: random.Random) -> float:
    """Return seconds after which a refused caller should retry.

    Parameters
    ----------
    wait : float
        Estimated seconds until a slot is available.
    rng : random.Random
        Seeded.

    Notes
    -----
    Drawn uniformly from once to twice the wait, so that callers refused at the same
    moment do not return at the same moment.
    """
    return max(wait, MIN_RETRY_AFTER_SECONDS) * (1.0 + rng.random())
