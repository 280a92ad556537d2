import collections
import inspect

import pytest

from standins import fake
from wigeonhitch.configuration import document
from wigeonhitch.membership import lease
from wigeonhitch.operators import route
from wigeonhitch.placement import controller, job, message, routes, signal, view
from wigeonhitch.platform import table

POOL = "batch"


def make_document(quota, teams=("coffee", "cardamom")):
    return document.Document(
        fleet="altiplano",
        data_centres=(document.DataCentre("a", "south"),),
        kinds=(document.Kind("large", 32.0, 64.0),),
        pools=(document.Pool(POOL, "large", 4, document.Budget(number=2)),),
        services=(),
        urgencies=(document.Urgency("urgent", 60.0, 1.7),),
        teams=tuple(document.Team(name, *quota) for name in teams),
    )


def submission(name, team="coffee", **fields):
    base = {"cores": 4.0, "memory": 8.0, "duration": 20.0, "deadline": 600.0}
    base |= {"team": team, "id": name, "pool": POOL, "work": {"duration": 20.0}}
    return base | fields


class Leases:
    """Leases of one daemon, granted and withdrawn by the test."""

    def __init__(self, world, daemon):
        self.world = world
        self.daemon = daemon
        self.held = {}

    def want(self, duty):
        """Do nothing: the test decides which daemon holds the duty."""

    def unwant(self, duty):
        self.held.pop(duty, None)

    def current(self, duty):
        return self.held.get(duty)


class World:
    """Fake platform, one shard, and any number of daemons that compete for it."""

    def __init__(self, vms=4, quota=(64.0, 256.0), lag=1.0):
        machines = [
            {
                "vm": f"w{number}",
                "kind": "large",
                "address": f"10.0.0.{number}:80",
                "rack": f"r{number % 2}",
                "data_centre": "a",
            }
            for number in range(vms)
        ]
        self.fake = fake.Fake(machines, usage_lag=lag)
        self.document = make_document(quota)
        self.unusable = set()
        self.stale_view = None
        self.controllers = {}
        self.readers = {}
        self.pending_calls = collections.defaultdict(list)
        self.counters = collections.Counter()
        self.jobs = routes.JobRoutes(self.fake.table, shards=1)

    def fleet(self):
        if self.stale_view is not None:
            return self.stale_view
        return [
            view.Vm(vm, POOL, 32.0, 64.0, machine.rack, "a", vm not in self.unusable)
            for vm, machine in self.fake.engine.fleet.live.items()
        ]

    def get_controller(self, daemon):
        """Return the controller of a daemon, created on first use."""
        if daemon not in self.controllers:
            client = self.fake.build_client(daemon)
            platform = message.Platform(
                client,
                client,
                Leases(self, daemon),
                self.fleet,
                lambda: self.document,
                lambda: self.fake.now,
            )
            queue = self.pending_calls[daemon]
            self.readers[daemon] = signal.SignalReader(platform, shards=1)
            self.controllers[daemon] = controller.ShardController(
                platform,
                self.readers[daemon],
                0,
                lambda function, *args: queue.append((function, args)),
                self.counters,
            )
        return self.controllers[daemon]

    def take_duty(self, daemon, freeze_others=False):
        """Let a daemon take the duty over; the others lose it unless frozen."""
        duty = view.duty_name(0)
        self.get_controller(daemon)
        key = f"duty/{duty}"
        store = self.fake.engine.store
        (row,) = store.read([key])
        condition = table.Condition(key, row.version)
        write = table.Write(key, {"holder": daemon})
        store.commit([condition], [write], "", self.fake.now)
        for name, other in self.controllers.items():
            if name != daemon and not freeze_others:
                other._platform.leases.held.clear()
        new_lease = lease.Lease(duty, store.revision, float("inf"))
        self.controllers[daemon]._platform.leases.held[duty] = new_lease

    def step(self, daemon, calls=True):
        """Let a daemon take one step, and make its calls unless it is paused."""
        shard_controller = self.get_controller(daemon)
        fake.run(self.readers[daemon].read())
        self.readers[daemon].clear_cache()
        fake.run(shard_controller.step())
        if calls:
            self.make_calls(daemon)

    def make_calls(self, daemon):
        calls, self.pending_calls[daemon][:] = list(self.pending_calls[daemon]), []
        for function, args in calls:
            fake.run(function(*args))

    def play(self, daemon, seconds, step=0.5):
        for _ in range(int(seconds / step)):
            self.step(daemon)
            self.fake.advance(step)

    def ask(self, handler, body=None, **path):
        assert inspect.iscoroutinefunction(handler)
        request = route.Request("op", frozenset(), path, {}, body)
        return fake.run(handler(request))

    def submit(self, name, **fields):
        return self.ask(self.jobs.submit, submission(name, **fields))

    def read_job(self, name, team="coffee"):
        key = f"{job.PREFIX}{team}/{name}"
        (row,) = self.fake.engine.store.read([key])
        return job.decode(row.value)

    def close(self):
        for shard_controller in self.controllers.values():
            shard_controller.close()


@pytest.fixture
def make_world():
    worlds = []

    def make(**fields):
        worlds.append(World(**fields))
        return worlds[-1]

    yield make
    for world in worlds:
        world.close()


@pytest.fixture
def world(make_world):
    world = make_world()
    world.take_duty("d1")
    return world
