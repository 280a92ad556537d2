"""Callers of a site, which submit jobs, query them and cancel some.

A caller keeps its connections until the process at the other end exits, and
repeats a request of unknown outcome with the same id at another daemon.
"""

import json
import random
import time
from typing import Any, NamedTuple

import anyio
import httpx

from standins.soak import environment, team
from wigeonhitch.jobs import model
from wigeonhitch.platform import http

__all__ = ["Call", "Callers", "SubmittedJob"]

TIMEOUT_SECONDS = 3.0
"""Time that a caller waits for an answer."""

MAX_SUBMISSIONS = 5
"""Maximum number of attempts of a caller to submit a job."""

TASK_SECONDS = (0.1, 0.8)
"""Range of the duration of a task."""

JOBS_PER_CLAIM = 4
"""Jobs that are submitted to a pool that has just been claimed."""

MAX_CLAIM_DELAY_SECONDS = 0.4
"""Maximum time from a claim to the submission of these jobs."""

POLL_SECONDS = 0.005
"""Interval of checks whether a pool was claimed."""

CRASHING_SHARE = 0.02
"""Share of the jobs whose task crashes each worker that starts it."""

BURST_FACTOR = 8
"""Factor by which a team submits more than usual for a time."""

BURST_SHARES = (0.3, 0.45)
"""Begin and end of that time as shares of a run; what it submits has to become final
under a ceiling that is lowered meanwhile."""

INVALID_KEY_SECONDS = 0.25
"""Interval of the submissions with keys that are revoked or were never valid."""

PROBE_TASK_SECONDS = 1.5
PROBE_MILLICORES = 500
"""Duration and size of the tasks of a job that needs each VM of a pool."""

PROBE_TASKS_PER_VM = 2
"""Tasks of such a job: some wait for others, even where every VM has one."""

QUERY_SECONDS = 0.7
"""Mean interval at which a caller queries its job."""


class Call(NamedTuple):
    """One request and its outcome; status 0 means that no complete answer arrived.

    ``error_name`` is set if the connection was open and ended without an answer.
    """

    daemon: str
    sent: float
    ended: float
    method: str
    job: str
    status: int
    body: Any
    has_retry_after: bool = False
    error_name: str = ""
    key: str = ""


class SubmittedJob:
    """State of a job as its caller knows it."""

    def __init__(self, id: str, queue: environment.Queue, body: dict[str, Any]) -> None:
        self.id = id
        self.queue = queue
        self.body = body
        self.accepted: float | None = None
        self.refusals = 0
        self.submissions = 0
        self.cancel_sent: float | None = None
        self.cancelled: float | None = None
        self.final = ""
        self.crashes_vms = False
        """Whether its task crashes each worker that starts it."""
        self.is_blocked = False
        """Whether no worker may run it."""
        self.was_told_missing = False
        """Whether its cancellation was acknowledged as that of an unknown job."""
        self.team = ""
        self.key = ""
        """Key that it is submitted with."""

    @property
    def is_lasting(self) -> bool:
        """Whether its tasks run until the job is cancelled."""
        return any(step.get("perpetual") for step in self.body["steps"])

    @property
    def was_refused(self) -> bool:
        """Whether every attempt to submit it was refused as not run."""
        return self.submissions > 0 and self.refusals == self.submissions


class Callers:
    """All callers of a run.

    Attributes
    ----------
    jobs : list of SubmittedJob
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
        """Submit ``rate`` jobs per second for a time, and query them."""
        async with anyio.create_task_group() as group:
            for queue in environment.QUEUES:
                group.start_soon(self._run_job, self._make_job(queue, is_lasting=True))
            if self._site.teams is not None:
                group.start_soon(self._run_burst, rate, seconds)
                group.start_soon(self._submit_invalid_keys)
            until = http.read_clock() + seconds
            while http.read_clock() < until:
                queue = self._rng.choice(environment.QUEUES)
                group.start_soon(self._run_job, self._make_job(queue, is_lasting=False))
                await anyio.sleep(self._rng.expovariate(rate))
            await anyio.sleep(QUERY_SECONDS)
            group.cancel_scope.cancel()

    async def run_at_claims(self, seconds: float) -> None:
        """Submit jobs whenever a pool was claimed, for a time."""
        owners: dict[str, str] = {}
        async with anyio.create_task_group() as group:
            until = http.read_clock() + seconds
            while http.read_clock() < until:
                for queue in environment.QUEUES:
                    owner = self._site.read_owner(queue.pool)
                    if owner and owner != owners.get(queue.pool):
                        owners[queue.pool] = owner
                        for _ in range(JOBS_PER_CLAIM):
                            group.start_soon(self._submit_soon, queue)
                await anyio.sleep(POLL_SECONDS)
            await anyio.sleep(QUERY_SECONDS)
            group.cancel_scope.cancel()

    async def _run_burst(self, rate: float, seconds: float) -> None:
        """Submit many jobs of one team for a part of the run."""
        begin, end = (share * seconds for share in BURST_SHARES)
        await anyio.sleep(begin)
        until = http.read_clock() + end - begin
        usual_rate = rate / len(team.TEAMS)
        async with anyio.create_task_group() as group:
            while http.read_clock() < until:
                queue = self._rng.choice(environment.QUEUES)
                job = self._make_job(queue, is_lasting=False)
                self._assign(job, team.BURSTING)
                group.start_soon(self._run_job, job)
                await anyio.sleep(self._rng.expovariate(usual_rate * BURST_FACTOR))

    async def _submit_invalid_keys(self) -> None:
        """Submit jobs with keys that are revoked or were never valid, until cancelled.

        An attempt isn't repeated, so that each of these jobs has one answer.
        """
        while True:
            job = self._make_job(self._rng.choice(environment.QUEUES), is_lasting=False)
            job.key = self._rng.choice((team.UNKNOWN_KEY, *self._site.teams.revoked))
            owner = team.find_owner(job.key)
            job.team = owner.name if owner else ""
            job.submissions = 1
            call = await self._call("POST", job, job.key)
            if call.status == 200:
                job.accepted = call.ended
            job.refusals = int(call.status in (401, 429, 503))
            await anyio.sleep(INVALID_KEY_SECONDS)

    async def query_with_invalid_keys(self) -> None:
        """Query a job with each key that is revoked or was never valid."""
        for key in (team.UNKNOWN_KEY, *self._site.teams.revoked):
            await self._call("GET", self._rng.choice(self.jobs), key)

    async def _submit_soon(self, queue: environment.Queue) -> None:
        await anyio.sleep(self._rng.uniform(0.0, MAX_CLAIM_DELAY_SECONDS))
        await self._run_job(self._make_job(queue, is_lasting=False))

    async def query(self, job: SubmittedJob) -> Call:
        """Query a job's state."""
        call = await self._call("GET", job)
        if call.status == 200:
            self._record_state(job, call)
        return call

    def _record_state(self, job: SubmittedJob, call: Call) -> None:
        state = model.JobState(call.body["state"])
        if state.is_final and not job.final:
            job.final = state.value

    async def cancel(self, job: SubmittedJob) -> Call:
        """Cancel a job."""
        job.cancel_sent = job.cancel_sent or http.read_clock()
        call = await self._call("DELETE", job)
        if call.status in (200, 410) and job.cancelled is None:
            job.cancelled = call.ended
            job.was_told_missing = call.status == 410
        return call

    def make_leaving_job(self, queue: environment.Queue) -> SubmittedJob:
        """Make a job that its caller is going to cancel; half of these last."""
        is_lasting = self._rng.random() < 0.5
        return self._make_job(queue, is_lasting, crashing_share=0.0)

    def make_blocked_job(self, queue: environment.Queue) -> SubmittedJob:
        """Make a job that no worker may run."""
        step = {"count": 1, "cpu": 500, "mem_mb": 64, "requires": "no worker"}
        id = f"{self._rng.getrandbits(64):016x}"
        job = SubmittedJob(id, queue, {"spec": "{}", "steps": [step]})
        job.is_blocked = True
        self.jobs.append(job)
        return job

    async def submit_once(self, job: SubmittedJob, patience: float) -> None:
        """Submit a job, and leave after some seconds without an answer."""
        job.submissions += 1
        call = await self._call("POST", job, timeout=patience)
        if call.status == 200:
            job.accepted = call.ended
        job.refusals += int(call.status in (429, 503))

    async def count(
        self, queue: environment.Queue, daemon: environment.Daemon
    ) -> tuple[int, int]:
        """Return the status of a daemon's answer, and the count of waiting jobs."""
        try:
            reply = await self._client.get(
                f"http://{daemon.callers}{queue.prefix}",
                headers={"Host": queue.host},
                timeout=TIMEOUT_SECONDS,
            )
        except httpx.TransportError:
            return 0, 0
        if reply.status_code != 200:
            return reply.status_code, 0
        return 200, reply.json()["pending"]

    def _make_job(
        self,
        queue: environment.Queue,
        is_lasting: bool,
        crashing_share: float = CRASHING_SHARE,
    ) -> SubmittedJob:
        id = f"{self._rng.getrandbits(64):016x}"
        if is_lasting:
            step = {"count": 3, "cpu": 500, "mem_mb": 64, "perpetual": True}
            step["may_miss"] = 1
            steps = [step]
        else:
            cpu = self._rng.choice((500, 1500, 2500))
            step = {"count": self._rng.randint(1, 4), "cpu": cpu, "mem_mb": 64}
            steps = [{**step, "estimate_ms": 400}]
            if self._rng.random() < 0.4:
                steps.append({**step, "count": 1, "estimate_ms": 400, "after": [0]})
        seconds = 1e6 if is_lasting else self._rng.uniform(*TASK_SECONDS)
        fail = self._rng.choice((0.0, 0.0, 0.1))
        fields = {"seconds": round(seconds, 3), "fail": 0.0 if is_lasting else fail}
        crashes = not is_lasting and self._rng.random() < crashing_share
        if crashes:
            fields["crash"] = True
            steps = [{**steps[0], "count": 1}]
        body = {"spec": json.dumps(fields), "steps": steps}
        if not is_lasting and self._rng.random() < 0.1:
            body["times"], body["interval_ms"] = 2, 1000
            body["start_at_ms"] = int(time.time() * 1000) + 1500
        job = SubmittedJob(id, queue, body)
        job.crashes_vms = crashes
        if self._site.teams is not None:
            self._assign(
                job, team.LASTING if is_lasting else self._rng.choice(team.TEAMS)
            )
        self.jobs.append(job)
        return job

    async def submit_probe(
        self, queue: environment.Queue, vm_count: int
    ) -> SubmittedJob:
        """Submit a job that runs one task at a time on each VM of a pool."""
        step = {"count": vm_count * PROBE_TASKS_PER_VM, "cpu": PROBE_MILLICORES}
        step |= {"mem_mb": 64, "anti_affinity": 1}
        step["estimate_ms"] = int(PROBE_TASK_SECONDS * 1000)
        spec = json.dumps({"seconds": PROBE_TASK_SECONDS})
        id = f"{self._rng.getrandbits(64):016x}"
        job = SubmittedJob(id, queue, {"spec": spec, "steps": [step]})
        self.jobs.append(job)
        await self.submit(job)
        return job

    def _assign(self, job: SubmittedJob, owner: team.Team) -> None:
        """Make a job one of a team, to be submitted with any of its valid keys."""
        job.team = owner.name
        job.key = self._rng.choice(self._site.teams.list_keys(owner))

    async def _run_job(self, job: SubmittedJob) -> None:
        """Submit a job, possibly cancel it, and query it until it is final."""
        if not await self.submit(job):
            return
        if not job.is_lasting and self._rng.random() < 0.15:
            await anyio.sleep(self._rng.uniform(0, 1.0))
            await self.cancel(job)
        while not job.final:
            await anyio.sleep(QUERY_SECONDS * self._rng.uniform(0.5, 1.5))
            await self.query(job)

    async def submit(self, job: SubmittedJob) -> bool:
        """Submit a job until it is accepted, a few times; return whether it was."""
        for _ in range(MAX_SUBMISSIONS):
            job.submissions += 1
            call = await self._call("POST", job, job.key)
            if call.status == 200:
                job.accepted = call.ended
                return True
            if call.status in (401, 429, 503):
                job.refusals += 1
            if call.status == 401:
                self._renew_key(job)
            await anyio.sleep(self._rng.uniform(0.2, 1.2))
        return False

    def _renew_key(self, job: SubmittedJob) -> None:
        """Give a job another key of its team."""
        owner = team.find_owner(job.key)
        if owner is not None:
            self._assign(job, owner)

    async def _call(
        self,
        method: str,
        job: SubmittedJob,
        key: str = "",
        timeout: float = TIMEOUT_SECONDS,
    ) -> Call:
        """Call any daemon, with a valid key of the job's team by default."""
        if not key and self._site.teams is not None:
            self._renew_key(job)
            key = job.key
        headers = {"Host": job.queue.host}
        if key:
            headers["Authorization"] = f"Token {key}"
        daemon = self._rng.choice(self._site.daemons)
        path = f"http://{daemon.callers}{job.queue.prefix}{job.id}"
        sent = http.read_clock()
        status, body, has_retry_after, error_name = 0, None, False, ""
        try:
            reply = await self._client.request(
                method,
                path,
                headers=headers,
                json=job.body if method == "POST" else None,
                timeout=timeout,
            )
            status, has_retry_after = reply.status_code, "retry-after" in reply.headers
            body = reply.json() if reply.content else None
        except (httpx.ConnectError, httpx.ConnectTimeout):
            pass
        except httpx.TransportError as error:
            error_name = type(error).__name__
        call = Call(
            daemon.name, sent, http.read_clock(), method, job.id, status, body,
            has_retry_after, error_name, key,
        )  # fmt: skip
        self.calls.append(call)
        return call
