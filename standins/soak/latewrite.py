"""Late writes of the store, callers that leave, and counts of waiting jobs.

A store that loses answers applies a share of the writes seconds late. Meanwhile callers
leave before their submission is answered and cancel the job at any daemon, and jobs
that no worker may run come and go.
"""

import random
from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

import anyio
import anyio.abc

from standins.soak import caller, environment, fault
from wigeonhitch.platform import http

__all__ = ["KIND", "Count", "LeavingCallers", "check_counts", "check_missing", "plan"]

KIND = fault.LATE_KIND

DURATION_SECONDS = (1.5, 4.5)
"""Range of the time for which the store loses answers."""

SPANS = 3

LEAVING_PER_SECOND = 2.0
"""Submissions per second whose callers leave."""

PATIENCE_SECONDS = (0.05, 3.0)
"""Range of the time after which such a caller leaves."""

BLOCKED_PER_SECOND = 1.5
"""Jobs per second that no worker may run."""

BLOCKED_CANCELLED_SHARE = 0.4
"""Share of these that are cancelled soon, so that counts rise and fall."""

RETRY_SECONDS = 0.3
"""Time between two attempts to cancel a job."""

COUNT_SECONDS = 1.0
"""Interval at which a daemon is asked for the count of a queue."""

VISIBLE_SECONDS = 5.0
"""Time after its acceptance from which a job counts: 3 s until it is known, and 2 s
that a count may be old."""

QUIET_SECONDS = 4.0
"""Time for which the store loses answers once more when all other jobs are final: while
jobs end, a status that was applied late is soon replaced."""

QUIET_PAUSE_SECONDS = 0.5
"""Time between two jobs of each queue in that time."""

BURST_JOBS = 8
"""Jobs of each queue at its end, more than all of that time, so that an old count is
below half of the new one."""

CALM_SECONDS = 3.0
"""Time after the last fault until time limits are guaranteed again."""


class Count(NamedTuple):
    """Answer to a caller that asked for a queue's waiting jobs; 0 without an answer."""

    time: float
    daemon: str
    queue: str
    status: int
    pending: int


def plan(rng: random.Random, seconds: float) -> list[fault.Fault]:
    """Return the times at which the store loses answers."""
    return [
        fault.Fault(
            rng.uniform(0.5, seconds),
            KIND,
            rng.random(),
            rng.uniform(*DURATION_SECONDS),
        )
        for _ in range(SPANS)
    ]


class LeavingCallers:
    """Callers that leave and cancel, jobs that can't run, and counts of them.

    Attributes
    ----------
    counts : list of Count
        Answers after all faults.
    unacknowledged : list of caller.SubmittedJob
        Jobs whose cancellation after all faults wasn't acknowledged.
    """

    def __init__(
        self,
        site: environment.Environment,
        callers: caller.Callers,
        rng: random.Random,
    ) -> None:
        self.counts: list[Count] = []
        self.unacknowledged: list[caller.SubmittedJob] = []
        self._site = site
        self._callers = callers
        self._rng = rng
        self._jobs: list[caller.SubmittedJob] = []
        """Jobs that are to be cancelled."""

    async def run(self, seconds: float) -> None:
        """Submit and cancel jobs for a time."""
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as group:
                group.start_soon(self._repeat, self._leave, LEAVING_PER_SECOND, group)
                group.start_soon(self._repeat, self._block, BLOCKED_PER_SECOND, group)
                group.start_soon(self._ask_often)

    async def finish(self) -> fault.Span:
        """Lose answers once more, ask all daemons for counts, and cancel all jobs.

        Return the time in which answers were lost.
        """
        await self._cancel_all()
        begin = http.read_clock()
        async with anyio.create_task_group() as group:
            group.start_soon(self._site.store.delay_writes, self._rng, QUIET_SECONDS)
            for queue in environment.QUEUES:
                group.start_soon(self._block_in_quiet, queue)
        span = fault.Span(begin, http.read_clock(), KIND, "store")
        await anyio.sleep(CALM_SECONDS + VISIBLE_SECONDS)
        for daemon in self._site.daemons:
            for queue in environment.QUEUES:
                now = http.read_clock()
                answer = await self._callers.count(queue, daemon)
                self.counts.append(Count(now, daemon.name, queue.name, *answer))
        await self._cancel_all()
        self.unacknowledged.extend(job for job in self._jobs if job.cancelled is None)
        await anyio.sleep(CALM_SECONDS + RETRY_SECONDS)
        return span

    async def _cancel_all(self) -> None:
        """Cancel each job that is to be cancelled and isn't known to be."""
        for job in self._callers.jobs:
            if job.cancelled is None and (job.cancel_sent or job in self._jobs):
                await self._callers.cancel(job)

    async def _block_in_quiet(self, queue: environment.Queue) -> None:
        """Submit some jobs that can't run, and a burst of them at the end."""
        end = http.read_clock() + QUIET_SECONDS - QUIET_PAUSE_SECONDS
        async with anyio.create_task_group() as group:
            while http.read_clock() < end:
                group.start_soon(self._submit_blocked, queue)
                await anyio.sleep(QUIET_PAUSE_SECONDS)
            for _ in range(BURST_JOBS):
                group.start_soon(self._submit_blocked, queue)

    async def _repeat(
        self,
        function: Callable[[environment.Queue], Awaitable[None]],
        rate: float,
        group: anyio.abc.TaskGroup,
    ) -> None:
        while True:
            await anyio.sleep(self._rng.expovariate(rate))
            group.start_soon(function, self._rng.choice(environment.QUEUES))

    async def _ask_often(self) -> None:
        while True:
            await anyio.sleep(COUNT_SECONDS)
            daemon = self._rng.choice(self._site.daemons)
            await self._callers.count(self._rng.choice(environment.QUEUES), daemon)

    async def _leave(self, queue: environment.Queue) -> None:
        """Submit a job, leave, cancel it until that is acknowledged, and ask for it."""
        job = self._callers.make_leaving_job(queue)
        self._jobs.append(job)
        await self._callers.submit_once(job, self._rng.uniform(*PATIENCE_SECONDS))
        await self._cancel(job)
        await anyio.sleep(self._rng.uniform(0.0, 3.0))
        await self._callers.query(job)

    async def _submit_blocked(self, queue: environment.Queue) -> caller.SubmittedJob:
        job = self._callers.make_blocked_job(queue)
        self._jobs.append(job)
        await self._callers.submit(job)
        return job

    async def _block(self, queue: environment.Queue) -> None:
        job = await self._submit_blocked(queue)
        if self._rng.random() < BLOCKED_CANCELLED_SHARE:
            await anyio.sleep(self._rng.uniform(0.0, 2.0))
            await self._cancel(job)

    async def _cancel(self, job: caller.SubmittedJob) -> None:
        while job.cancelled is None:
            await self._callers.cancel(job)
            await anyio.sleep(RETRY_SECONDS)


def check_counts(
    counts: Sequence[Count], jobs: Sequence[caller.SubmittedJob]
) -> list[str]:
    """Check that at least half of the jobs that wait for long are counted."""
    violations = []
    for count in counts:
        waiting = sum(
            1
            for job in jobs
            if job.is_blocked
            and job.queue.name == count.queue
            and job.accepted
            and job.accepted < count.time - VISIBLE_SECONDS
            and (job.cancel_sent is None or job.cancel_sent > count.time)
        )
        if count.status != 200:
            violations.append(f"count not answered: {count}")
        elif count.pending < waiting / 2:
            violations.append(f"{waiting} jobs wait: {count}")
    return violations


def check_missing(
    calls: Sequence[caller.Call], jobs: Sequence[caller.SubmittedJob]
) -> list[str]:
    """Check what a caller is promised whose cancellation is answered 410."""
    violations = []
    missing: dict[str, float] = {}
    for job in jobs:
        name = f"{job.id} of {job.queue.name}"
        if job.was_told_missing and job.cancelled is not None:
            missing[job.id] = job.cancelled
            if job.accepted:
                violations.append(f"accepted, and told to be missing: {name}")
    violations.extend(
        f"shown after it was told to be missing: {call}"
        for call in calls
        if call.method == "GET"
        and call.status == 200
        and call.sent > missing.get(call.job, call.sent)
    )
    return violations
