"""Whole daemons in process, on a store and workers in process."""

import collections
import contextlib
import random

import anyio
import orjson
import pytest

from standins import rowstore, siteworker, storelink
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, fleet, http, node, workers
from wigeonhitch.site import daemon, message
from wigeonhitch.telemetry import metric


class Calls:
    """Workers in process behind `workers.WorkerCalls`."""

    def __init__(self):
        self.events = []
        self.workers = {}

    def add(self, id):
        self.workers[id] = siteworker.Worker(
            id, self.events, random.Random(1), work=0.2
        )

    async def run(self):
        """Let tasks end in time, also on workers that nobody calls."""
        while True:
            for one in self.workers.values():
                one.advance(http.read_clock())
            await anyio.sleep(0.01)

    async def start(self, address, worker, order, *, timeout):
        """Carry out a start; its bytes leave before the call first waits."""
        now = http.read_clock()
        one = self.workers[worker]
        verdict, clock = one.start(order, now), one.read_clock(now)
        await anyio.sleep(0.001)
        return workers.OrderReply(verdict, clock, now, http.read_clock())

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


class Reach:
    """One daemon's calls to workers: those in ``cut`` don't answer it."""

    def __init__(self, calls):
        self.cut = set()
        self._calls = calls

    async def start(self, address, worker, order, *, timeout):
        if worker in self.cut:
            return await self._lose(workers.OrderReply)
        return await self._calls.start(address, worker, order, timeout=timeout)

    async def stop(self, address, worker, *given, timeout):
        if worker in self.cut:
            return await self._lose(workers.OrderReply)
        return await self._calls.stop(address, worker, *given, timeout=timeout)

    async def pace(self, address, worker, *given, timeout):
        return await self._calls.pace(address, worker, *given, timeout=timeout)

    async def hold(self, address, worker, *given, wait, timeout):
        if worker in self.cut:
            return await self._lose(workers.HoldReply)
        return await self._calls.hold(
            address, worker, *given, wait=wait, timeout=timeout
        )

    async def _lose(self, kind):
        await anyio.sleep(0.02)
        return kind(workers.Verdict.UNKNOWN)


class Vms:
    """No VMs to move or maintain."""

    async def list_vms(self, *, timeout):
        return fleet.Listing(())


def make_settings(name, *, across=True):
    bounds = node.Bounds(6, 3, 10, 0.2, 3, 3, 4.5, 120, 1.5, 2)
    rates = node.StoreRates(800, 2000, 65536, across)
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


def make_daemon(name, store, calls, *, across=True):
    settings = make_settings(name, across=across)
    instruments = metric.Instruments()
    return daemon.Daemon(
        settings, f"life-{name}", store, calls, None, Vms(), instruments
    )


STEPS = (
    model.Step(3, model.Room(1000, 10), 0.2),
    model.Step(1, model.Room(1000, 10), 0.2, after=(0,)),
)


class Site:
    """Daemons that share a store and workers, each with links of its own."""

    def __init__(self, store, calls):
        self.store = store
        self.calls = calls
        self.links = collections.defaultdict(lambda: storelink.StoreLink(store))
        self.reach = collections.defaultdict(lambda: Reach(calls))
        self.across = True
        self.group = None
        self._scopes = {}

    def configure(self, pool):
        """Have the queue's jobs run by another pool, in place of its present one."""
        route = {**CONFIGURATION["routes"][0], "service": pool}
        changed = {"version": 2, "routes": [route], "services": [{"name": pool}]}
        value = orjson.dumps(changed)
        self.store.put(entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, value)

    @contextlib.asynccontextmanager
    async def run(self, names, pool="p"):
        """Run daemons from the moment that one leads a pool until the block ends."""
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self.calls.run)
            ones = [self.start(one) for one in names]
            await self.wait_for(lambda: self.find_leader(ones, pool) is not None)
            yield ones
            group.cancel_scope.cancel()

    def start(self, name):
        """Start one more daemon beside those that run."""
        link, reach = self.links[name], self.reach[name]
        made = make_daemon(name, link, reach, across=self.across)
        self.group.start_soon(self._run_one, made)
        return made

    async def _run_one(self, one):
        with anyio.CancelScope() as self._scopes[one]:
            await one.run()

    def kill(self, one):
        """End a daemon without a word."""
        self._scopes[one].cancel()

    @staticmethod
    def find_leader(daemons, pool="p"):
        return next((one for one in daemons if pool in one._runners), None)

    @staticmethod
    async def wait_for(condition):
        with anyio.fail_after(15):
            while not condition():
                await anyio.sleep(0.02)

    @staticmethod
    async def submit(one, id):
        queue = one.handler.find_queue("h", "/q/j")
        answer = await one.handler.submit(queue, model.Job(id, "q", "", STEPS))
        assert answer.verdict is message.Verdict.ACCEPTED

    @staticmethod
    async def wait_until(one, ids, state=model.JobState.COMPLETED):
        queue = one.handler.find_queue("h", "/q/j")
        with anyio.fail_after(20):
            for id in ids:
                while (await one.handler.show(queue, id)).state is not state:
                    await anyio.sleep(0.05)

    def count_starts(self):
        return sum(1 for event in self.calls.events if event.what == "start")


@pytest.fixture
def site(store, calls):
    return Site(store, calls)
