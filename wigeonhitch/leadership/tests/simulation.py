"""A store of rows and the tasks of processes, on simulated time.

A task that makes a call or waits for a timer yields a `Call` or a `Pause`, and whoever
drives it sends the answer.
"""

import contextlib
import functools
import heapq
import operator
import random
from collections.abc import Callable, Coroutine, Generator
from typing import Any, NamedTuple

from wigeonhitch.platform import rows, table

DONE, NOT_DONE, UNKNOWN = table.Outcome

STORE_OFFSET = 5000.0
"""Seconds between the schedule's time and the store's clock."""

REFUSED = 0.002
"""Seconds after which a refused call ends."""


class Call(NamedTuple):
    """A call to the store; ``act`` returns None while a feed has nothing new."""

    kind: str
    table: str
    act: Callable[["Store"], Any]
    answer: Callable[..., Any]
    timeout: float
    wait: float = 0.0
    """For which a feed waits for changes."""


class Delivery(NamedTuple):
    """What becomes of a call, and the seconds that it takes each way.

    ``fate`` is empty, or one of ``refused``, ``lost`` before it is done, ``unanswered``
    and ``late``: done after its caller has stopped waiting.
    """

    fate: str
    out: float
    back: float


class Pause(NamedTuple):
    """A timer."""

    seconds: float


class Wait:
    """What a task awaits; the answer is sent to it."""

    def __init__(self, what: Call | Pause) -> None:
        self.what = what

    def __await__(self) -> Generator[Any, Any, Any]:
        return (yield self.what)


class Store:
    """Rows in memory, with one counter of versions."""

    def __init__(self) -> None:
        self.version = 0
        self.oldest = 0
        self.rows: dict[tuple[str, str, str], rows.Row] = {}
        self.changes: list[rows.Row] = []

    def commit(self, change: rows.Transaction) -> rows.Change:
        """Apply a transaction if its conditions hold."""
        keys = [one[:3] for one in change.conditions]
        if any(self.get_version(one[:3]) != one.version for one in change.conditions):
            found = tuple(self.rows[key] for key in keys if key in self.rows)
            return rows.Change(NOT_DONE, 0, found, "conflict")
        self.version += 1
        for write in change.writes:
            row = rows.Row(*write, self.version)
            self.rows[write[:3]] = row
            if write.value is None:
                del self.rows[write[:3]]
            self.changes.append(row)
        return rows.Change(DONE, self.version)

    def get_version(self, place: tuple[str, str, str]) -> int:
        """Return the version of a row, 0 when there is none."""
        return self.rows[place].version if place in self.rows else 0

    def read(self, name: str, part: str, first: str = "", last: str = "") -> rows.Range:
        """Return the rows of a part, from key ``first`` up to, without, ``last``."""
        found = tuple(
            row
            for (of, lies, key), row in self.rows.items()
            if (of, lies) == (name, part) and key >= first and (not last or key < last)
        )
        return rows.Range(DONE, found, self.version)

    def follow(self, name: str, after: int) -> rows.Feed | None:
        """Return the changes after a version, None when there are none."""
        if after < self.oldest:
            return rows.Feed(DONE, expired=True)
        found = tuple(r for r in self.changes if r.table == name and r.version > after)
        return rows.Feed(DONE, found, self.version) if found else None

    def list_parts(self, name: str) -> rows.Parts:
        """Return the parts of a table."""
        return rows.Parts(
            tuple(sorted({key[1] for key in self.rows if key[0] == name}))
        )


class StoreClient:
    """Implements `rows.RowStore` for a daemon: each call waits for the schedule."""

    async def commit(self, change: rows.Transaction, *, timeout: float) -> Any:
        """Make one attempt."""
        name = change.writes[0].table
        act = operator.methodcaller("commit", change)
        return await Wait(Call("commit", name, act, rows.Change, timeout))

    async def read(
        self,
        table: str,
        part: str,
        *,
        first: str = "",
        last: str = "",
        limit: int = 0,
        timeout: float,
    ) -> Any:
        """Read a part, or a range of its keys."""
        act = operator.methodcaller("read", table, part, first, last)
        return await Wait(Call("read", table, act, rows.Range, timeout))

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> Any:
        """Wait for changes of a table."""
        act = operator.methodcaller("follow", table, after)
        return await Wait(Call("follow", table, act, rows.Feed, timeout, wait))

    async def list_parts(self, table: str, *, timeout: float) -> Any:
        """Return the parts of a table."""

        def answer(*_: Any, reason: str = "") -> rows.Parts:
            return rows.Parts(None, reason)

        act = operator.methodcaller("list_parts", table)
        return await Wait(Call("read", table, act, answer, timeout))


class Process:
    """A process whose tasks take steps; a frozen one's timers and answers wait."""

    is_terminated = False
    frozen_until = 0.0
    clock_offset = 0.0
    """Seconds between the schedule's time and its steady clock."""


class Schedule:
    """Time, and what is to happen; stands for anyio in the tasks of a process."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = Store()
        self._waiting: list[Callable[[], None]] = []
        self._current: Any = None
        self._queue: list[tuple[float, float, Any, Any]] = []
        self._count = 0

    def call_later(
        self, delay: float, action: Any, process: Process | None = None
    ) -> None:
        """Act after a while, as a step of a process where one is given."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay, self._count, action, process))

    def run_until(self, end: float) -> None:
        """Let happen what is due."""
        while self._queue[0][0] <= end:
            self.now, _, action, process = heapq.heappop(self._queue)
            if process is None:
                action()
            elif process.is_terminated:
                continue
            elif process.frozen_until > self.now:
                # What has waited comes in any order once the process wakes.
                mixed = (process.frozen_until, self.rng.random(), action, process)
                heapq.heappush(self._queue, mixed)
            else:
                self._current = process
                self.take_step(process, action)
                self._current = None
        self.now = end

    def take_step(self, process: Any, action: Callable[[], None]) -> None:
        """Take a step of a process."""
        action()

    async def sleep(self, seconds: float) -> None:
        """Wait for a timer."""
        await Wait(Pause(seconds))

    @contextlib.asynccontextmanager
    async def create_task_group(self) -> Any:
        """Yield what starts tasks of this process."""
        yield self

    def start_soon(self, function: Callable[..., Any], *args: Any) -> None:
        """Start a task of the process whose step this is."""
        process, task = self._current, function(*args)
        self.call_later(0.0, lambda: self._resume(process, task, None), process)

    def _resume(
        self, process: Process, task: Coroutine[Any, Any, Any], value: Any
    ) -> None:
        try:
            what = task.send(value)
        except StopIteration:
            return
        if isinstance(what, Pause):
            again = functools.partial(self._resume, process, task, None)
            self.call_later(what.seconds, again, process)
        else:
            self.send(process, what, functools.partial(self._resume, process, task))

    # -- calls

    def send(self, process: Process, call: Call, resume: Callable[[Any], None]) -> None:
        """Deliver a call and its answer; one that is lost ends at the timeout."""
        way, sent = self.draw_delivery(process, call), self.read_clock(process)
        end = self.now + way.out + call.wait
        answered = []

        def deliver() -> None:
            if self.is_disconnected(process):
                return
            result = call.act(self.store)
            if result is None and self.now < end - 1e-9:
                self._waiting.append(deliver)
                return
            if result is None:
                result = call.answer(DONE, (), self.store.version)
            if call.kind == "commit" and result.outcome is DONE:
                self._wake_feeds()
                self.on_commit(process, call)
            if not way.fate:
                time = self.now + STORE_OFFSET
                self.call_later(way.back, lambda: take(result, time), process)

        def take(result: Any, time: float = 0.0) -> None:
            if answered:
                return
            answered.append(True)
            if time and getattr(result, "outcome", None) is DONE:
                received = self.read_clock(process)
                result = result._replace(store_time=time, sent=sent, received=received)
            resume(result)

        if way.fate == "refused":
            down = call.answer(NOT_DONE, reason="down")
            self.call_later(REFUSED, lambda: take(down), process)
            return
        if way.fate != "lost":
            self.call_later(way.out, deliver)
            self.call_later(way.out + call.wait, lambda: self._end_wait(deliver))
        lost = call.answer(UNKNOWN, reason="timeout")
        self.call_later(call.timeout, lambda: take(lost), process)

    def _wake_feeds(self) -> None:
        waiting, self._waiting = self._waiting, []
        for deliver in waiting:
            deliver()

    def _end_wait(self, deliver: Callable[[], None]) -> None:
        if deliver in self._waiting:
            self._waiting.remove(deliver)
            deliver()

    def read_clock(self, process: Any) -> float:
        """Return a process's steady clock."""
        return self.now + process.clock_offset

    def draw_delivery(self, process: Any, call: Call) -> Delivery:
        """Return what becomes of a call."""
        raise NotImplementedError

    def is_disconnected(self, process: Any) -> bool:
        """Whether a process can't reach the store."""
        raise NotImplementedError

    def on_commit(self, process: Any, call: Call) -> None:
        """Take note that a transaction is done."""
        raise NotImplementedError
