"""A row store and the tasks of processes, on simulated time.

A task that makes a call or waits for a timer yields a `Call` or a `Timer`, and the
schedule sends the answer.
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

STORE_CLOCK_OFFSET_SECONDS = 5000.0
"""Seconds between the schedule's time and the store's clock."""

REFUSAL_DELAY_SECONDS = 0.002
"""Time after which a refused call ends."""


class Call(NamedTuple):
    """A call to the store; ``act`` returns None while a feed has nothing new."""

    kind: str
    table: str
    act: Callable[["Store"], Any]
    answer: Callable[..., Any]
    timeout: float
    wait: float = 0.0
    """Seconds for which a feed waits for changes."""


class Delivery(NamedTuple):
    """Fault of a call, and the seconds that it takes each way.

    ``fault`` is empty, or one of ``refused``, ``lost`` before it is applied,
    ``unanswered`` and ``late``: applied after its caller has stopped waiting.
    """

    fault: str
    request_seconds: float
    response_seconds: float


class Timer(NamedTuple):
    """A timer."""

    seconds: float


class Wait:
    """Awaitable of a call or timer; the schedule sends the answer to it."""

    def __init__(self, awaited: Call | Timer) -> None:
        self.awaited = awaited

    def __await__(self) -> Generator[Any, Any, Any]:
        return (yield self.awaited)


class Store:
    """Rows in memory, with one version counter."""

    def __init__(self) -> None:
        self.version = 0
        self.oldest = 0
        self.rows: dict[tuple[str, str, str], rows.Row] = {}
        self.changes: list[rows.Row] = []

    def commit(self, change: rows.Transaction) -> rows.Change:
        """Apply a transaction if its conditions hold."""
        keys = [condition[:3] for condition in change.conditions]
        if any(
            self.get_version(condition[:3]) != condition.version
            for condition in change.conditions
        ):
            conflicts = tuple(self.rows[key] for key in keys if key in self.rows)
            return rows.Change(NOT_DONE, 0, conflicts, "conflict")
        self.version += 1
        for write in change.writes:
            row = rows.Row(*write, self.version)
            self.rows[write[:3]] = row
            if write.value is None:
                del self.rows[write[:3]]
            self.changes.append(row)
        return rows.Change(DONE, self.version)

    def get_version(self, place: tuple[str, str, str]) -> int:
        """Return the version of a row, 0 if there is none."""
        return self.rows[place].version if place in self.rows else 0

    def read(self, name: str, part: str, first: str = "", last: str = "") -> rows.Range:
        """Return the rows of a part, from key ``first`` up to, excluding, ``last``."""
        selected = tuple(
            row
            for (row_table, row_part, key), row in self.rows.items()
            if (row_table, row_part) == (name, part)
            and key >= first
            and (not last or key < last)
        )
        return rows.Range(DONE, selected, self.version)

    def follow(self, name: str, after: int) -> rows.Feed | None:
        """Return the changes after a version, None if there are none."""
        if after < self.oldest:
            return rows.Feed(DONE, expired=True)
        changed = tuple(
            row for row in self.changes if row.table == name and row.version > after
        )
        return rows.Feed(DONE, changed, self.version) if changed else None

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
    """A process whose tasks take steps; timers and answers of a frozen one wait."""

    is_terminated = False
    frozen_until = 0.0
    clock_offset = 0.0
    """Seconds between the schedule's time and the monotonic clock of the process."""


class Schedule:
    """Simulated time and pending actions; replaces anyio in the tasks of a process."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = Store()
        self._waiting_feeds: list[Callable[[], None]] = []
        self._current: Any = None
        self._queue: list[tuple[float, float, Any, Any]] = []
        self._count = 0

    def call_later(
        self, delay: float, action: Any, process: Process | None = None
    ) -> None:
        """Schedule an action after a delay, as a step of a process if one is given."""
        self._count += 1
        heapq.heappush(self._queue, (self.now + delay, self._count, action, process))

    def run_until(self, end: float) -> None:
        """Run all actions that are due up to ``end``."""
        while self._queue[0][0] <= end:
            self.now, _, action, process = heapq.heappop(self._queue)
            if process is None:
                action()
            elif process.is_terminated:
                continue
            elif process.frozen_until > self.now:
                # Delayed actions run in random order once the process resumes.
                delayed = (process.frozen_until, self.rng.random(), action, process)
                heapq.heappush(self._queue, delayed)
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
        await Wait(Timer(seconds))

    @contextlib.asynccontextmanager
    async def create_task_group(self) -> Any:
        """Yield this schedule as the task group of the process."""
        yield self

    def start_soon(self, function: Callable[..., Any], *args: Any) -> None:
        """Start a task of the process that takes the current step."""
        process, task = self._current, function(*args)
        self.call_later(0.0, lambda: self._resume(process, task, None), process)

    def _resume(
        self, process: Process, task: Coroutine[Any, Any, Any], value: Any
    ) -> None:
        try:
            awaited = task.send(value)
        except StopIteration:
            return
        if isinstance(awaited, Timer):
            resume = functools.partial(self._resume, process, task, None)
            self.call_later(awaited.seconds, resume, process)
        else:
            self.send(process, awaited, functools.partial(self._resume, process, task))

    # -- calls

    def send(self, process: Process, call: Call, resume: Callable[[Any], None]) -> None:
        """Deliver a call and its answer; a lost call ends at the timeout."""
        delivery, sent = self.draw_delivery(process, call), self.read_clock(process)
        end = self.now + delivery.request_seconds + call.wait
        answered = []

        def deliver() -> None:
            if self.is_disconnected(process):
                return
            result = call.act(self.store)
            if result is None and self.now < end - 1e-9:
                self._waiting_feeds.append(deliver)
                return
            if result is None:
                result = call.answer(DONE, (), self.store.version)
            if call.kind == "commit" and result.outcome is DONE:
                self._wake_feeds()
                self.on_commit(process, call)
            if not delivery.fault:
                time = self.now + STORE_CLOCK_OFFSET_SECONDS
                self.call_later(
                    delivery.response_seconds, lambda: complete(result, time), process
                )

        def complete(result: Any, time: float = 0.0) -> None:
            if answered:
                return
            answered.append(True)
            if time and getattr(result, "outcome", None) is DONE:
                received = self.read_clock(process)
                result = result._replace(store_time=time, sent=sent, received=received)
            resume(result)

        if delivery.fault == "refused":
            refused = call.answer(NOT_DONE, reason="down")
            self.call_later(REFUSAL_DELAY_SECONDS, lambda: complete(refused), process)
            return
        if delivery.fault != "lost":
            self.call_later(delivery.request_seconds, deliver)
            self.call_later(
                delivery.request_seconds + call.wait, lambda: self._end_wait(deliver)
            )
        lost = call.answer(UNKNOWN, reason="timeout")
        self.call_later(call.timeout, lambda: complete(lost), process)

    def _wake_feeds(self) -> None:
        waiting, self._waiting_feeds = self._waiting_feeds, []
        for deliver in waiting:
            deliver()

    def _end_wait(self, deliver: Callable[[], None]) -> None:
        if deliver in self._waiting_feeds:
            self._waiting_feeds.remove(deliver)
            deliver()

    def read_clock(self, process: Any) -> float:
        """Return the monotonic clock of a process."""
        return self.now + process.clock_offset

    def draw_delivery(self, process: Any, call: Call) -> Delivery:
        """Return the fault and the delays of a call."""
        raise NotImplementedError

    def is_disconnected(self, process: Any) -> bool:
        """Return whether a process can't reach the store."""
        raise NotImplementedError

    def on_commit(self, process: Any, call: Call) -> None:
        """Handle a transaction that was applied."""
        raise NotImplementedError
