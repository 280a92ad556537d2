"""Whole daemons in process, on an in-process store and workers."""

import collections
import contextlib
import math
import random

import anyio
import orjson
import pytest

from standins import rowstore, siteworker, storelink
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, fleet, http, node, workers
from wigeonhitch.site import daemon, message
from wigeonhitch.telemetry import metric


class InProcessWorkers:
    """Implements `workers.WorkerCalls` on in-process workers."""

    def __init__(self):
        self.events = []
        self.workers = {}

    def add(self, id):
        self.workers[id] = siteworker.Worker(
            id, self.events, random.Random(1), max_work_seconds=0.2
        )

    async def run(self):
        """Advance all workers, so that tasks end also on workers that aren't called."""
        while True:
            for worker in self.workers.values():
                worker.advance(http.read_clock())
            await anyio.sleep(0.01)

    async def start(self, address, worker, order, *, timeout):
        """Start a task; the request is sent before the call first waits."""
        now = http.read_clock()
        simulated = self.workers[worker]
        verdict, clock = simulated.start(order, now), simulated.read_clock(now)
        await anyio.sleep(0.001)
        return workers.OrderReply(verdict, clock, now, http.read_clock())

    async def stop(self, address, worker, task, run, fence, *, timeout):
        now = http.read_clock()
        verdict = self.workers[worker].stop(task, run, fence, now)
        return workers.OrderReply(verdict)

    async def pace(self, address, worker, task, run, percent, fence, *, timeout):
        return workers.OrderReply(workers.Verdict.DONE)

    async def hold(self, address, worker, fence, deadline, last_seen, *, wait, timeout):
        sent_at = http.read_clock()
        await anyio.sleep(min(wait, 0.05))
        now = http.read_clock()
        simulated = self.workers[worker]
        simulated.advance(now)
        held = simulated.hold(fence, deadline, last_seen, now)
        return workers.HoldReply(
            held[0], simulated.read_clock(now), sent_at, now, *held[1:]
        )


class WorkerReachability:
    """One daemon's calls to workers; those in ``unreachable`` don't answer."""

    def __init__(self, calls):
        self.unreachable = set()
        self._calls = calls

    async def start(self, address, worker, order, *, timeout):
        if worker in self.unreachable:
            return await self._time_out(workers.OrderReply)
        return await self._calls.start(address, worker, order, timeout=timeout)

    async def stop(self, address, worker, *args, timeout):
        if worker in self.unreachable:
            return await self._time_out(workers.OrderReply)
        return await self._calls.stop(address, worker, *args, timeout=timeout)

    async def pace(self, address, worker, *args, timeout):
        return await self._calls.pace(address, worker, *args, timeout=timeout)

    async def hold(self, address, worker, *args, wait, timeout):
        if worker in self.unreachable:
            return await self._time_out(workers.HoldReply)
        return await self._calls.hold(
            address, worker, *args, wait=wait, timeout=timeout
        )

    async def _time_out(self, reply_type):
        await anyio.sleep(0.02)
        return reply_type(workers.Verdict.UNKNOWN)


class EmptyFleet:
    """A fleet without VMs to move or maintain."""

    async def list_vms(self, *, timeout):
        return fleet.Listing(())


def make_settings(name, *, across=True, revocation=math.inf):
    bounds = node.Bounds(6, 3, 10, 0.2, 3, 3, 4.5, 120, 1.5, 2)
    bounds = bounds._replace(revocation_deadline=revocation)
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
    store = rowstore.RowStore()
    configuration = orjson.dumps(CONFIGURATION)
    store.put(entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, configuration)
    return store


@pytest.fixture
def calls(store):
    calls = InProcessWorkers()
    for id in ("w1", "w2"):
        calls.add(id)
        entry = {
            "service": "p",
            "address": f"{id}:1",
            "state": "ready",
            "capacity": {"cpu": 8000, "mem_mb": 9000},
            "labels": ["a", "r1"],
        }
        store.put(entries.WORKER_TABLE, "", id, orjson.dumps(entry))
    return calls


def make_daemon(name, store, calls, *, across=True, revocation=math.inf):
    settings = make_settings(name, across=across, revocation=revocation)
    instruments = metric.Instruments()
    return daemon.Daemon(
        settings, f"life-{name}", store, calls, None, EmptyFleet(), instruments
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
        self.reachability = collections.defaultdict(lambda: WorkerReachability(calls))
        self.across = True
        self.group = None
        self._scopes = {}

    def configure(self, pool):
        """Move the queue to another pool, which replaces the current one."""
        route = {**CONFIGURATION["routes"][0], "service": pool}
        changed = {"version": 2, "routes": [route], "services": [{"name": pool}]}
        value = orjson.dumps(changed)
        self.store.put(entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, value)

    @contextlib.asynccontextmanager
    async def run(self, names, pool="p"):
        """Run daemons; the block starts once one of them leads the pool."""
        async with anyio.create_task_group() as group:
            self.group = group
            group.start_soon(self.calls.run)
            daemons = [self.start(name) for name in names]
            await self.wait_for(lambda: self.find_leader(daemons, pool) is not None)
            yield daemons
            group.cancel_scope.cancel()

    def start(self, name):
        """Start another daemon."""
        link, reachability = self.links[name], self.reachability[name]
        site_daemon = make_daemon(name, link, reachability, across=self.across)
        self.group.start_soon(self._run_daemon, site_daemon)
        return site_daemon

    async def _run_daemon(self, site_daemon):
        with anyio.CancelScope() as self._scopes[site_daemon]:
            await site_daemon.run()

    def kill(self, site_daemon):
        """Stop a daemon without a shutdown."""
        self._scopes[site_daemon].cancel()

    @staticmethod
    def find_leader(daemons, pool="p"):
        return next((daemon for daemon in daemons if pool in daemon._runners), None)

    @staticmethod
    async def wait_for(condition):
        with anyio.fail_after(15):
            while not condition():
                await anyio.sleep(0.02)

    @staticmethod
    async def submit(site_daemon, id):
        queue = site_daemon.handler.find_queue("h", "/q/j")
        answer = await site_daemon.handler.submit(queue, model.Job(id, "q", "", STEPS))
        assert answer.verdict is message.Verdict.ACCEPTED

    @staticmethod
    async def wait_until(site_daemon, ids, state=model.JobState.COMPLETED):
        queue = site_daemon.handler.find_queue("h", "/q/j")
        with anyio.fail_after(20):
            for id in ids:
                while (await site_daemon.handler.show(queue, id)).state is not state:
                    await anyio.sleep(0.05)

    def count_starts(self):
        return sum(1 for event in self.calls.events if event.kind == "start")


@pytest.fixture
def site(store, calls):
    return Site(store, calls)
