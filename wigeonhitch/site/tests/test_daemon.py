"""Whole daemons on a store and workers in process: leaders come and go."""

import contextlib
import random

import anyio
import orjson
import pytest

from standins import rowstore, siteworker
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, fleet, http, node, workers
from wigeonhitch.site import daemon, message
from wigeonhitch.telemetry import metric

pytestmark = pytest.mark.anyio


class Calls:
    """Workers in process behind `workers.WorkerCalls`."""

    def __init__(self):
        self.events = []
        self.workers = {}

    def add(self, id):
        self.workers[id] = siteworker.Worker(
            id, self.events, random.Random(1), work=0.2
        )

    async def start(self, address, worker, order, *, timeout):
        await anyio.sleep(0.001)
        now = http.read_clock()
        one = self.workers[worker]
        return workers.OrderReply(one.start(order, now), one.read_clock(now), now, now)

    async def stop(self, address, worker, task, run, fence, *, timeout):
        now = http.read_clock()
        verdict = self.workers[worker].stop(task, run, fence, now)
        return workers.OrderReply(verdict)

    async def pace(self, address, worker, task, run, percent, fence, *, timeout):
        return workers.OrderReply(workers.Verdict.DONE)

    async def hold(self, address, worker, fence, deadline, last_seen, *, wait, timeout):
        sent = http.read_clock()
        await anyio.sleep(min(wait, 0.05))
        now = http.read_clock()
        one = self.workers[worker]
        one.advance(now)
        found = one.hold(fence, deadline, last_seen, now)
        return workers.HoldReply(found[0], one.read_clock(now), sent, now, *found[1:])


class Vms:
    """No VMs to move or maintain."""

    async def list_vms(self, *, timeout):
        return fleet.Listing(())


def make_settings(name):
    bounds = node.Bounds(6, 3, 10, 0.2, 3, 3, 4.5, 120, 1.5, 2)
    rates = node.StoreRates(800, 2000, 65536)
    return node.NodeSettings(
        name, "dc", "127.0.0.1", "", "", "", "", "", 1.5, bounds, rates
    )


CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "q",
            "host": "h",
            "path_prefix": "/q/",
            "service": "p",
            "max_attempts": 3,
        }
    ],
    "services": [{"name": "p"}],
}


@pytest.fixture
def store():
    made = rowstore.RowStore()
    configuration = orjson.dumps(CONFIGURATION)
    made.put(entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, configuration)
    return made


@pytest.fixture
def calls(store):
    made = Calls()
    for id in ("w1", "w2"):
        made.add(id)
        entry = {
            "service": "p",
            "address": f"{id}:1",
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 9000},
            "labels": ["a", "r1"],
        }
        store.put(entries.WORKER_TABLE, "", id, orjson.dumps(entry))
    return made


def make_daemon(name, store, calls):
    instruments = metric.Instruments()
    return daemon.Daemon(
        make_settings(name), f"life-{name}", store, calls, None, Vms(), instruments
    )


def find_leader(daemons):
    return next((one for one in daemons if "p" in one._runners), None)


async def wait_for(condition):
    with anyio.fail_after(15):
        while not condition():
            await anyio.sleep(0.02)


STEPS = (
    model.Step(3, model.Room(1000, 10), 0.2),
    model.Step(1, model.Room(1000, 10), 0.2, after=(0,)),
)


async def submit(one, id):
    queue = one.desk.find_queue("h", "/q/j")
    answer = await one.desk.submit(queue, model.Job(id, "q", "", STEPS))
    assert answer.verdict is message.Verdict.ACCEPTED


async def wait_until_completed(one, ids):
    queue = one.desk.find_queue("h", "/q/j")
    with anyio.fail_after(20):
        for id in ids:
            while True:
                answer = await one.desk.show(queue, id)
                if answer.state is model.JobState.COMPLETED:
                    break
                await anyio.sleep(0.05)


def count_starts(calls):
    return sum(1 for event in calls.events if event.what == "start")


async def test_a_job_taken_by_any_daemon_runs_whole_and_once(store, calls):
    ones = [make_daemon(name, store, calls) for name in "ab"]
    async with anyio.create_task_group() as group:
        for one in ones:
            group.start_soon(one.run)
        await wait_for(lambda: find_leader(ones) is not None)
        for number, one in enumerate(ones):
            await submit(one, f"j{number}")
        await wait_until_completed(ones[1], ["j0", "j1"])
        group.cancel_scope.cancel()

    assert count_starts(calls) == 8


async def test_work_goes_on_under_another_daemon(store, calls):
    """A leader that is gone without a word; its successor takes its runs over."""
    ones = [make_daemon(name, store, calls) for name in "ab"]
    scopes = {one: anyio.CancelScope() for one in ones}

    async def run(one):
        with scopes[one]:
            await one.run()

    async with anyio.create_task_group() as group:
        for one in ones:
            group.start_soon(run, one)
        await wait_for(lambda: find_leader(ones) is not None)
        leader = find_leader(ones)
        (other,) = [one for one in ones if one is not leader]
        for number in range(4):
            await submit(other, f"j{number}")
        await anyio.sleep(0.1)
        scopes[leader].cancel()
        await wait_until_completed(other, [f"j{number}" for number in range(4)])
        group.cancel_scope.cancel()

    starts = [event.task for event in calls.events if event.what == "start"]
    assert len(starts) == len(set(starts))


async def test_a_daemon_that_leaves_hands_over_at_once(store, calls):
    ones = [make_daemon(name, store, calls) for name in "ab"]
    async with anyio.create_task_group() as group:
        for one in ones:
            group.start_soon(one.run)
        await wait_for(lambda: find_leader(ones) is not None)
        leader = find_leader(ones)
        await leader.leave()
        began = http.read_clock()
        await wait_for(lambda: find_leader(ones) not in (None, leader))
        group.cancel_scope.cancel()

    assert http.read_clock() - began < 1.5


async def test_an_outage_of_the_store_loses_no_work(store, calls):
    one = make_daemon("a", store, calls)
    async with anyio.create_task_group() as group:
        group.start_soon(one.run)
        await wait_for(lambda: find_leader([one]) is not None)
        await submit(one, "j0")
        store.is_down = True
        await anyio.sleep(1.8)
        assert not one.is_ready
        assert isinstance(one.desk.find_queue("h", "/q/j"), message.Answer)
        store.is_down = False
        await wait_for(lambda: one.is_ready)
        await wait_until_completed(one, ["j0"])
        group.cancel_scope.cancel()

    with contextlib.suppress(KeyError):
        del calls.workers["w1"]
    assert count_starts(calls) == 4
