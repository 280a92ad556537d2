"""Operator routes for jobs: submit, list, explain, cancel."""

from collections.abc import Sequence
from typing import Any

from wigeonhitch.operators import route
from wigeonhitch.placement import job, ledger, signal, view
from wigeonhitch.platform import table

__all__ = ["JobRoutes"]

PURPOSE = "jobs"
# Limits on the jobs cancelled by one request and by one commit: cancelling thousands
# costs one read and one commit for each 100 jobs instead of two calls for each job.
MAX_CANCELS_PER_REQUEST = 1000
MAX_CANCELS_PER_COMMIT = 100
MAX_CANCEL_TRIES = 4
MAX_LISTED_JOBS = 1000

S = job.JobState
DONE = table.Outcome.DONE
UNKNOWN = table.Outcome.UNKNOWN
TABLE_UNREACHABLE = route.Answer(503, {"error": "not done, the table is unreachable"})
OUTCOME_UNKNOWN = route.Answer(
    504, {"error": "unknown whether done: repeat with the same id"}
)


class JobRoutes:
    """Handlers of the job routes.

    Parameters
    ----------
    store : table.Table
        The platform's table.
    shards : int
        Number of placement shards, as given to `runner.Runner`.
    """

    def __init__(self, store: table.Table, shards: int = view.SHARDS):
        self._table = store
        self._shards = shards

    def build_routes(self) -> list[route.Route]:
        """Return the routes."""
        return [
            route.Route("POST", "/jobs", True, self.submit),
            route.Route("GET", "/jobs", False, self.list_jobs),
            route.Route("GET", "/jobs/{team}/{job}", False, self.show),
            route.Route("POST", "/jobs/{team}/{job}/cancel", True, self.cancel),
            route.Route("POST", "/jobs/{team}/cancel", True, self.cancel_many),
        ]

    async def submit(self, request: route.Request) -> route.Answer:
        """Submit a job; a repeat with the same body returns the same job."""
        asked = job.parse_submission(request.body)
        if isinstance(asked, str):
            return route.Answer(400, {"error": asked})
        key = f"{job.PREFIX}{asked.team}/{asked.id}"
        read = await self._table.read([key], purpose=PURPOSE)
        if read.outcome is not DONE:
            return TABLE_UNREACHABLE
        if read.rows[0].value is not None:
            return _answer_repeat(asked, read.rows[0])
        new = job.make_job(asked, read.time)
        writes = [table.Write(key, job.encode(new)), *self._make_signal_writes(new)]
        result = await self._table.commit(
            [table.Condition(key, 0)], writes, purpose=PURPOSE
        )
        if result.outcome is DONE:
            return route.Answer(202, describe(new))
        for row in result.conflicts:
            if row.value is not None:
                return _answer_repeat(asked, row)
        return OUTCOME_UNKNOWN if result.outcome is UNKNOWN else TABLE_UNREACHABLE

    def _make_signal_writes(
        self, item: job.Job, *, ended: bool = False
    ) -> list[table.Write]:
        """Return the writes that notify a job's shard of its change."""
        shard = view.find_shard(item.asked.pool, self._shards)
        value = None if ended else {}
        marker = table.Write(ledger.marker_key(shard, item.name), value)
        writes = [marker, signal.make_write(shard)]
        if ended:
            writes.append(table.Write(ledger.ended_key(shard, item), {}))
        return writes

    async def list_jobs(self, request: route.Request) -> route.Answer:
        """List jobs, of one team if ``team`` is given; ``state`` filters."""
        team = request.query.get("team", "")
        prefix = f"{job.PREFIX}{team}/" if team else job.PREFIX
        read = await self._table.scan(prefix, purpose=PURPOSE)
        if read.outcome is not DONE:
            return TABLE_UNREACHABLE
        wanted = request.query.get("state", "")
        jobs = [job.decode(row.value) for row in read.rows if row.value is not None]
        matching = [item for item in jobs if wanted in ("", item.state.value)]
        listed = [_summarize(item) for item in matching[:MAX_LISTED_JOBS]]
        return route.Answer(200, {"jobs": listed, "count": len(matching)})

    async def show(self, request: route.Request) -> route.Answer:
        """Show one job: its state, why it waits, and since when."""
        read = await self._read(request.path["team"], [request.path["job"]])
        if read.outcome is not DONE:
            return TABLE_UNREACHABLE
        row = read.rows[0]
        if row.value is None:
            return route.Answer(404, {"error": f"no job {row.key!r}"})
        return route.Answer(200, describe(job.decode(row.value)))

    async def cancel(self, request: route.Request) -> route.Answer:
        """Cancel one job: at once while queued, otherwise by stopping its task."""
        answer = await self._cancel(request.path["team"], [request.path["job"]])
        if answer.status != 200:
            return answer
        (state,) = answer.body["jobs"].values()
        if state == "unknown":
            return route.Answer(404, {"error": f"no job {request.path['job']!r}"})
        status = 202 if state == "stopping" else 200
        return route.Answer(status, {"state": state})

    async def cancel_many(self, request: route.Request) -> route.Answer:
        """Cancel the jobs named in ``{"jobs": [...]}`` of one team."""
        names = request.body.get("jobs") if isinstance(request.body, dict) else None
        is_valid = isinstance(names, list) and all(isinstance(n, str) for n in names)
        if not is_valid or len(names) > MAX_CANCELS_PER_REQUEST:
            text = f"expected jobs: a list of at most {MAX_CANCELS_PER_REQUEST} job ids"
            return route.Answer(400, {"error": text})
        return await self._cancel(request.path["team"], sorted(set(names)))

    async def _read(self, team: str, names: Sequence[str]) -> table.ReadResult:
        keys = [f"{job.PREFIX}{team}/{name}" for name in names]
        return await self._table.read(keys, purpose=PURPOSE)

    async def _cancel(self, team: str, names: Sequence[str]) -> route.Answer:
        states: dict[str, str] = {}
        for start in range(0, len(names), MAX_CANCELS_PER_COMMIT):
            chunk = names[start : start + MAX_CANCELS_PER_COMMIT]
            failure = await self._cancel_chunk(team, chunk, states)
            if failure is not None:
                return route.Answer(failure.status, failure.body | {"jobs": states})
        return route.Answer(200, {"jobs": states})

    async def _cancel_chunk(
        self, team: str, names: Sequence[str], states: dict[str, str]
    ) -> route.Answer | None:
        """Cancel jobs in one commit; repeated when a row changed meanwhile."""
        result = table.CommitResult(table.Outcome.NOT_DONE)
        for _ in range(MAX_CANCEL_TRIES):
            read = await self._read(team, names)
            if read.outcome is not DONE:
                return TABLE_UNREACHABLE
            conditions, writes = [], []
            for name, row in zip(names, read.rows, strict=True):
                states[name] = self._plan_cancel(row, read.time, conditions, writes)
            if not writes:
                return None
            result = await self._table.commit(conditions, writes, purpose=PURPOSE)
            if result.outcome is DONE:
                return None
            if result.outcome is UNKNOWN or not result.conflicts:
                break
        for name in names:
            states.pop(name, None)
        return OUTCOME_UNKNOWN if result.outcome is UNKNOWN else TABLE_UNREACHABLE

    def _plan_cancel(
        self,
        row: table.Row,
        now: float,
        conditions: list[table.Condition],
        writes: list[table.Write],
    ) -> str:
        """Append the writes that cancel a job; return its resulting state.

        The attempt of a queued job was never sent to the platform, so the job
        can end here; one that may have begun is ended by the holder of its shard.
        """
        if row.value is None:
            return "unknown"
        item = job.decode(row.value)
        if item.state in job.ENDED:
            return item.state.value
        if item.cancel:
            return "stopping"
        queued = item.state is S.QUEUED
        if queued:
            new = item._replace(state=S.CANCELLED, reason="by request", since=now)
        else:
            new = item._replace(cancel=True)
        conditions.append(table.Condition(row.key, row.version))
        writes.append(table.Write(row.key, job.encode(new)))
        writes.extend(self._make_signal_writes(new, ended=queued))
        return "cancelled" if queued else "stopping"


def _answer_repeat(asked: job.Submission, row: table.Row) -> route.Answer:
    existing = job.decode(row.value)
    if existing.asked == asked:
        return route.Answer(200, describe(existing))
    text = f"job {existing.name} was submitted before with another body"
    return route.Answer(409, {"error": text, "job": describe(existing)})


def _summarize(item: job.Job) -> dict[str, Any]:
    return {
        "team": item.asked.team,
        "id": item.asked.id,
        "pool": item.asked.pool,
        "state": item.state.value,
        "reason": explain(item),
        "since": item.since,
    }


def describe(item: job.Job) -> dict[str, Any]:
    """Return a job as body to operators."""
    body = job.encode(item)
    body["task"] = item.task if item.vm else ""
    return body | _summarize(item) | {"due": item.due}


def explain(item: job.Job) -> str:
    """Return the reason for a job's current state."""
    if item.reason:
        return item.reason
    if item.state is S.QUEUED:
        return "waits behind earlier jobs of its team"
    if item.paused:
        return "checkpointed to make room for urgent work"
    if item.cancel and item.state in job.HOLDING:
        return "its task is being stopped"
    return ""
