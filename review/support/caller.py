"""Callers of a site: submit jobs, repeat what got no answer, and query the state."""

import asyncio
import itertools
import json
import random
import time
from typing import Any

import aiohttp

from review.support import site

TIMEOUT_SECONDS = 3.0
MAX_ATTEMPTS = 5
QUERY_SECONDS = 1.0


class Job:
    """One job, as its caller knows it."""

    def __init__(self, id: str, body: dict[str, Any], prefix: str) -> None:
        self.id = id
        self.body = body
        self.prefix = prefix
        self.accepted = 0.0
        self.states: list[tuple[float, str]] = []
        """Times and states of all answers; the status if it wasn't 200."""

    @property
    def state(self) -> str:
        """The state in the last answer."""
        return self.states[-1][1] if self.states else ""

    def list_sizes(self) -> list[tuple[str, int]]:
        """Return the name on the wire and the millicores of each of its tasks."""
        return [
            (f"{self.id}.0.{number}.{index}", step["cpu"])
            for number, step in enumerate(self.body["steps"])
            for index in range(step["count"])
        ]


class Callers:
    """All callers of a run.

    Parameters
    ----------
    deployment : site.Site
        What they call.
    seed : int
        Seed of the jobs' ids.
    """

    def __init__(self, deployment: site.Site, seed: int) -> None:
        self.jobs: list[Job] = []
        self.calls: list[tuple[float, str, str, int]] = []
        self._site = deployment
        self._rng = random.Random(seed)
        self._turn = itertools.count()

    async def submit_for(
        self,
        seconds: float,
        per_second: float,
        make_body: Any,
        prefix: str = site.PREFIX,
    ) -> None:
        """Submit jobs at an even rate for a time; each is queried until it is final."""
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                job = self._make_job(make_body(self._rng), prefix)
                group.create_task(self._run_job(session, job, until))
                await asyncio.sleep(1 / per_second)

    async def submit_one(
        self, body: dict[str, Any], prefix: str, seconds: float
    ) -> None:
        """Submit one job, and query it for a time at most."""
        async with aiohttp.ClientSession() as session:
            job = self._make_job(body, prefix)
            await self._run_job(session, job, time.monotonic() + seconds)

    async def query_all(self, seconds: float) -> None:
        """Query the accepted jobs that aren't final, for a time at most."""
        async with aiohttp.ClientSession() as session:
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                unfinished = [job for job in self.jobs if is_open(job)]
                if not unfinished:
                    return
                await asyncio.gather(*(self.query(session, job) for job in unfinished))
                await asyncio.sleep(QUERY_SECONDS)

    async def query(self, session: aiohttp.ClientSession, job: Job) -> None:
        """Query a job's state once."""
        status, body = await self._call(session, "GET", job)
        state = body["state"] if status == 200 else f"status {status}"
        job.states.append((time.time(), state))

    def _make_job(self, body: dict[str, Any], prefix: str) -> Job:
        job = Job(f"{self._rng.getrandbits(64):016x}", body, prefix)
        self.jobs.append(job)
        return job

    async def _run_job(
        self, session: aiohttp.ClientSession, job: Job, until: float
    ) -> None:
        for _ in range(MAX_ATTEMPTS):
            status, _body = await self._call(session, "POST", job)
            if status == 200:
                job.accepted = time.time()
                break
            await asyncio.sleep(0.3)
        while is_open(job) and time.monotonic() < until:
            await asyncio.sleep(QUERY_SECONDS)
            await self.query(session, job)

    async def _call(
        self, session: aiohttp.ClientSession, method: str, job: Job
    ) -> tuple[int, Any]:
        """Call one of the daemons in rotation; status 0 means no answer."""
        daemons = self._site.daemons
        ready = [daemon for daemon in daemons if daemon.is_ready] or daemons
        daemon = ready[next(self._turn) % len(ready)]
        status, body = 0, None
        try:
            async with session.request(
                method,
                f"http://{daemon.callers}{job.prefix}{job.id}",
                headers={"Host": site.HOST, "Deadline-Ms": "3000"},
                json=job.body if method == "POST" else None,
                timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
            ) as response:
                raw = await response.read()
                status, body = response.status, json.loads(raw) if raw else None
        except (aiohttp.ClientError, TimeoutError):
            pass
        self.calls.append((time.time(), method, job.id, status))
        return status, body


def is_open(job: Job) -> bool:
    """Return whether a job was accepted and isn't known as final."""
    return bool(job.accepted) and job.state not in ("completed", "failed", "cancelled")
