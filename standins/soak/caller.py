"""Callers of a site: they submit jobs, ask for them and cancel some.

A caller keeps its connections until the process at the other end is gone, and
repeats a request under the same id at another daemon when it doesn't know what
came of it.
"""

import random
import time
from typing import Any, NamedTuple

import anyio
import httpx

from standins.soak import environment
from wigeonhitch.jobs import model
from wigeonhitch.platform import http

__all__ = ["Call", "Callers", "SubmittedJob"]

TIMEOUT = 3.0
"""Seconds that a caller waits for an answer."""

TRIES = 5
"""Times that a caller tries to hand a job in."""

SECONDS = (0.1, 0.8)
"""Shortest and longest work of a task."""

AT_CLAIMS = 4
"""Jobs handed in to a pool that has just been claimed."""

WITHIN = 0.4
"""Seconds after a claim within which they are handed in."""

LOOK = 0.005
"""Seconds between two looks at whether a pool was claimed."""

ASK_EVERY = 0.7
"""Seconds between two questions of one caller about its job."""


class Call(NamedTuple):
    """One request and what came of it; status 0: no whole answer.

    ``broke`` is set when the connection was open and ended without an answer.
    """

    daemon: str
    sent: float
    ended: float
    method: str
    job: str
    status: int
    body: Any
    has_time: bool = False
    broke: str = ""


class SubmittedJob:
    """A job as its caller knows it."""

    def __init__(self, id: str, queue: environment.Queue, body: dict[str, Any]) -> None:
        self.id = id
        self.queue = queue
        self.body = body
        self.accepted: float | None = None
        self.refusals = 0
        self.tries = 0
        self.cancel_sent: float | None = None
        self.cancelled: float | None = None
        self.final = ""

    @property
    def lasts(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return any(step.get("perpetual") for step in self.body["steps"])

    @property
    def was_refused(self) -> bool:
        """Whether every try to hand it in was refused as not run."""
        return self.tries > 0 and self.refusals == self.tries


class Callers:
    """All callers of a run.

    Attributes
    ----------
    jobs : list of Sent
    calls : list of Call
    """

    def __init__(
        self,
        site: environment.Environment,
        rng: random.Random,
        client: httpx.AsyncClient,
    ) -> None:
        self.jobs: list[SubmittedJob] = []
        self.calls: list[Call] = []
        self._site = site
        self._rng = rng
        self._client = client

    async def run(self, rate: float, seconds: float) -> None:
        """Submit ``rate`` jobs a second for a time; ask for them meanwhile."""
        async with anyio.create_task_group() as group:
            for queue in environment.QUEUES:
                group.start_soon(self._live, self._make_job(queue, lasts=True))
            until = http.read_clock() + seconds
            while http.read_clock() < until:
                queue = self._rng.choice(environment.QUEUES)
                group.start_soon(self._live, self._make_job(queue, lasts=False))
                await anyio.sleep(self._rng.expovariate(rate))
            await anyio.sleep(ASK_EVERY)
            group.cancel_scope.cancel()

    async def run_at_claims(self, seconds: float) -> None:
        """Submit jobs for a time whenever a pool was claimed."""
        known: dict[str, str] = {}
        async with anyio.create_task_group() as group:
            until = http.read_clock() + seconds
            while http.read_clock() < until:
                for queue in environment.QUEUES:
                    owner = self._site.read_owner(queue.pool)
                    if owner and owner != known.get(queue.pool):
                        known[queue.pool] = owner
                        for _ in range(AT_CLAIMS):
                            group.start_soon(self._submit_soon, queue)
                await anyio.sleep(LOOK)
            await anyio.sleep(ASK_EVERY)
            group.cancel_scope.cancel()

    async def _submit_soon(self, queue: environment.Queue) -> None:
        await anyio.sleep(self._rng.uniform(0.0, WITHIN))
        await self._live(self._make_job(queue, lasts=False))

    async def ask(self, job: SubmittedJob) -> Call:
        """Ask for a job's state."""
        call = await self._call("GET", job)
        if call.status == 200:
            self._note_state(job, call)
        return call

    def _note_state(self, job: SubmittedJob, call: Call) -> None:
        state = model.JobState(call.body["state"])
        if state.is_final and not job.final:
            job.final = state.value

    async def cancel(self, job: SubmittedJob) -> Call:
        """Cancel a job."""
        job.cancel_sent = job.cancel_sent or http.read_clock()
        call = await self._call("DELETE", job)
        if call.status in (200, 410) and job.cancelled is None:
            job.cancelled = call.ended
        return call

    def _make_job(self, queue: environment.Queue, lasts: bool) -> SubmittedJob:
        id = f"{self._rng.getrandbits(64):016x}"
        if lasts:
            step = {"count": 3, "cpu": 500, "mem_mb": 64, "perpetual": True}
            step["may_miss"] = 1
            steps = [step]
        else:
            cpu = self._rng.choice((500, 1500, 2500))
            one = {"count": self._rng.randint(1, 4), "cpu": cpu, "mem_mb": 64}
            steps = [{**one, "estimate_ms": 400}]
            if self._rng.random() < 0.4:
                steps.append({**one, "count": 1, "estimate_ms": 400, "after": [0]})
        seconds = 1e6 if lasts else self._rng.uniform(*SECONDS)
        fail = self._rng.choice((0.0, 0.0, 0.1))
        spec = f'{{"seconds":{seconds:.3f},"fail":{0.0 if lasts else fail}}}'
        body = {"spec": spec, "steps": steps}
        if not lasts and self._rng.random() < 0.1:
            body["times"], body["interval_ms"] = 2, 1000
            body["start_at_ms"] = int(time.time() * 1000) + 1500
        job = SubmittedJob(id, queue, body)
        self.jobs.append(job)
        return job

    async def _live(self, job: SubmittedJob) -> None:
        """Hand a job in, perhaps cancel it, and ask until it is final."""
        if not await self._submit(job):
            return
        if not job.lasts and self._rng.random() < 0.15:
            await anyio.sleep(self._rng.uniform(0, 1.0))
            await self.cancel(job)
        while not job.final:
            await anyio.sleep(ASK_EVERY * self._rng.uniform(0.5, 1.5))
            await self.ask(job)

    async def _submit(self, job: SubmittedJob) -> bool:
        for _ in range(TRIES):
            job.tries += 1
            call = await self._call("POST", job)
            if call.status == 200:
                job.accepted = call.ended
                return True
            if call.status in (429, 503):
                job.refusals += 1
            await anyio.sleep(self._rng.uniform(0.2, 1.2))
        return False

    async def _call(self, method: str, job: SubmittedJob) -> Call:
        daemon = self._rng.choice(self._site.daemons)
        path = f"http://{daemon.callers}{job.queue.prefix}{job.id}"
        sent = http.read_clock()
        status, body, has_time, broke = 0, None, False, ""
        try:
            reply = await self._client.request(
                method,
                path,
                headers={"Host": job.queue.host},
                json=job.body if method == "POST" else None,
                timeout=TIMEOUT,
            )
            status, has_time = reply.status_code, "retry-after" in reply.headers
            body = reply.json() if reply.content else None
        except (httpx.ConnectError, httpx.ConnectTimeout):
            pass
        except httpx.TransportError as error:
            broke = type(error).__name__
        call = Call(
            daemon.name, sent, http.read_clock(), method, job.id, status, body,
            has_time, broke,
        )  # fmt: skip
        self.calls.append(call)
        return call
