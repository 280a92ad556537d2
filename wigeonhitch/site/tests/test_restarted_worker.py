"""Guards against tasks that are done and start again, as their worker was restarted.

A worker that is restarted under its id numbers its ends from 1 again. A leader that
compares these numbers with those of the incarnation before ignores the ends,
acknowledges them with its next renewal, and takes their runs for gone.

The workers answer with bodies as on the wire, and record their events themselves.
"""

import contextlib
import random

import anyio
import orjson
import pytest

from standins import siteworker, taskhistory
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, http, table, workers
from wigeonhitch.site import message

pytestmark = pytest.mark.anyio

TASK_MILLICORES = 200

WORKER_MILLICORES = 8000

HEARTBEAT_SECONDS = 0.5

RESTART_SECONDS = 0.3
"""Time between a crash and the next incarnation: shorter than the leader takes to
notice the silence of a worker."""

FINISH_SECONDS = 14.0
"""Time within which accepted jobs complete after the last fault."""

BATCH_INTERVAL_SECONDS = 0.1
"""Time between two batches: two of the three workers can't run all of them."""

BATCHES = 35
"""Number of batches after a restart. Their submission takes longer than the 2 s for
which nothing may start on a worker after a renewal without an answer."""

MAX_WAIT_SECONDS = 0.05
"""Longest time for which a renewal waits for an end."""

REASONS = {verdict: text for text, verdict in workers.VERDICTS_BY_REASON.items()}

FIRST_START_MS = 1_800_000_000_000

RESTARTS = {
    "later": (5_000,),
    "set-back": (-5_000,),  # the time of day went back over the restart
    "equal": (0,),  # a coarse clock, or one that went back by as much as has passed
    "twice-and-set-back": (5_000, -5_000),
}
"""Milliseconds from the first start to each further one, as the worker gives them."""

BATCH = (model.Step(40, model.Room(TASK_MILLICORES, 10), 0.2),)


class Incarnation(siteworker.Worker):
    """One incarnation of a worker, whose clock starts with it."""

    def __init__(self, id, events, born):
        super().__init__(id, events, random.Random(1), max_work_seconds=0.4)
        self._offset = -http.read_clock()
        self.born = born
        self.sequence = 0

    def count_ends(self):
        """Return the number of runs that have ended."""
        return self._last_end


class RestartableWorkers(workers.Workers):
    """Workers that may be restarted under their ids, called as over HTTP."""

    def __init__(self, store):
        super().__init__(self)
        self.events = []
        self.workers = {}
        self._store = store

    async def run(self):
        """Advance all workers, and write their entries."""
        written_at = 0.0
        while True:
            now = http.read_clock()
            for worker in self.workers.values():
                worker.advance(now)
            if now - written_at >= HEARTBEAT_SECONDS:
                written_at = now
                for id in self.workers:
                    self._write_entry(id)
            await anyio.sleep(0.01)

    def add(self, id, born):
        """Start an incarnation of a worker."""
        self.workers[id] = Incarnation(id, self.events, born)
        self._write_entry(id)

    def crash(self, id):
        """End the incarnation of a worker; its entry stays."""
        self.workers.pop(id).crash(http.read_clock())

    def remove(self, id):
        """End a worker for good."""
        self.crash(id)
        self._store.put(entries.WORKER_TABLE, "", id, None)

    def count_noted(self, id):
        """Return the number of acknowledged ends as done on a worker."""
        return sum(
            (event.kind, event.worker, event.outcome) == ("noted", id, "done")
            for event in self.events
        )

    async def call(self, method, address, path, *, timeout, body, headers):
        """Answer one HTTP call by the incarnation that receives it."""
        sent = http.read_clock()
        worker = self.workers.get(headers["Target-Instance"])
        if worker is None:
            return http.Reply(table.Outcome.NOT_DONE, reason="connect", sent=sent)
        if path == "/v1/hold":
            await anyio.sleep(min(body["wait_ms"] / 1000, MAX_WAIT_SECONDS))
        if worker.alive:
            verdict, fields = self._answer(worker, path, body, http.read_clock())
            await anyio.sleep(0.001)
        received = http.read_clock()
        if not worker.alive:
            return http.Reply(table.Outcome.UNKNOWN, reason="reset", sent=sent)
        fields["clock_ms"] = int(worker.read_clock(received) * 1000)
        status = 200
        if verdict is not workers.Verdict.DONE:
            status, fields["reason"] = 409, REASONS[verdict]
        answer = orjson.loads(orjson.dumps(fields))
        return http.Reply(table.Outcome.DONE, status, answer, "", sent, received)

    def _answer(self, worker, path, body, now):
        if path == "/v1/hold":
            return self._hold(worker, body, now)
        task, fence = workers.read_task(body["task"]), body["fencing_token"]
        if path == "/v1/run-start":
            deadline = body["deadline_ms"] / 1000
            order = workers.Start(task, body["run"], body["spec"], deadline, fence)
            return worker.start(order, now), {}
        if path == "/v1/run-stop":
            return worker.stop(task, body["run"], fence, now), {}
        return workers.Verdict.DONE, {}

    def _hold(self, worker, body, now):
        worker.advance(now)
        deadline = body.get("deadline_ms")
        verdict, running, ended = worker.hold(
            body["fencing_token"],
            None if deadline is None else deadline / 1000,
            body["last_seen"],
            now,
        )
        fields = {
            "born": worker.born,
            "running": [
                [workers.write_task(run.task), run.run, "", run.work, 0]
                for run in running
            ],
            "finished": [
                [end.number, workers.write_task(end.task), end.run, end.end.value, ""]
                for end in ended
            ],
        }
        return verdict, fields

    def _write_entry(self, id):
        worker = self.workers[id]
        worker.sequence += 1
        entry = {
            "service": "p",
            "address": f"{id}:1",
            "zone": "dc",
            "state": "ready",
            "capacity": {"cpu": WORKER_MILLICORES, "mem_mb": 9000},
            "labels": ["a", f"rack-{id}"],
            "sequence": worker.sequence,
            "born": worker.born,
        }
        self._store.put(entries.WORKER_TABLE, "", id, orjson.dumps(entry))


@pytest.fixture
def calls(store):
    return RestartableWorkers(store)


def find_violations(site):
    """Return the violations in the runs that the workers recorded."""
    return taskhistory.check_task_runs(
        site.calls.events, lambda _: TASK_MILLICORES, WORKER_MILLICORES
    )


async def submit(daemon, ids):
    """Submit a batch for each id at a steady rate; return the ids."""
    queue = daemon.handler.find_queue("h", "/q/j")
    for id in ids:
        answer = await daemon.handler.submit(queue, model.Job(id, "q", "", BATCH))
        assert answer.verdict is message.Verdict.ACCEPTED
        await anyio.sleep(BATCH_INTERVAL_SECONDS)
    return ids


async def find_incomplete(daemon, ids):
    """Return the jobs that don't complete in time."""
    queue = daemon.handler.find_queue("h", "/q/j")
    incomplete = set(ids)
    with anyio.move_on_after(FINISH_SECONDS):
        while incomplete:
            for id in sorted(incomplete):
                answer = await daemon.handler.show(queue, id)
                if answer.state is model.JobState.COMPLETED:
                    incomplete.discard(id)
            await anyio.sleep(0.05)
    return sorted(incomplete)


@contextlib.asynccontextmanager
async def run_with_restarts(site, calls, starts, names="a"):
    """Run daemons while one of three workers is restarted under its id.

    The leader has processed the ends of two batches before; others go on.

    Parameters
    ----------
    starts : sequence of int
        Time that each further incarnation gives for its start.
    """
    calls.add("w1", FIRST_START_MS)
    async with site.run(names) as daemons:
        leader = site.find_leader(daemons)
        before = await submit(leader, ["a1", "a2"])
        assert await find_incomplete(leader, before) == []
        await site.wait_for(lambda: calls.count_noted("w1") == 2 * BATCH[0].count)
        for id in ("w2", "w3"):
            calls.add(id, FIRST_START_MS)
        during = await submit(leader, ["b1", "b2", "b3"])
        for start_ms in starts:
            calls.crash("w1")
            await anyio.sleep(RESTART_SECONDS)
            calls.add("w1", start_ms)
            await anyio.sleep(RESTART_SECONDS)
        yield daemons, during


@pytest.fixture(params=RESTARTS.values(), ids=RESTARTS.keys())
def starts(request):
    """Return the time that each further incarnation gives for its start."""
    return [FIRST_START_MS + offset for offset in request.param]


async def test_done_tasks_of_a_restarted_worker_are_not_started_again(
    site, calls, starts
):
    """Guards against a second run of each task that ends on the next incarnation.

    As many ends as the leader had processed were ignored and acknowledged.
    """
    async with run_with_restarts(site, calls, starts) as ((daemon,), ids):
        ids += await submit(daemon, [f"c{number}" for number in range(BATCHES)])
        incomplete = await find_incomplete(daemon, ids)

    assert (find_violations(site), incomplete) == ([], [])
    assert calls.workers["w1"].count_ends() >= 2 * BATCH[0].count


async def test_jobs_run_on_a_restarted_worker_that_is_the_only_one_left(
    site, calls, starts
):
    """Guards against accepted jobs that never run beside an idle worker."""
    async with run_with_restarts(site, calls, starts) as ((daemon,), ids):
        incomplete = await find_incomplete(daemon, ids)
        for id in ("w2", "w3"):
            calls.remove(id)
        last = await submit(daemon, ["c1", "c2", "c3"])
        incomplete += await find_incomplete(daemon, last)

    assert (find_violations(site), incomplete) == ([], [])


async def test_next_leader_starts_no_done_task_of_a_restarted_worker(
    site, calls, starts
):
    """Guards against ends that were acknowledged, but never recorded."""
    async with run_with_restarts(site, calls, starts, "ab") as (daemons, ids):
        leader = site.find_leader(daemons)
        (other,) = [daemon for daemon in daemons if daemon is not leader]
        ids += await submit(leader, [f"c{number}" for number in range(10)])
        site.kill(leader)
        incomplete = await find_incomplete(other, ids)

    assert (find_violations(site), incomplete) == ([], [])
