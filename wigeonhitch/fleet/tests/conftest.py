import pytest

from standins import fake
from wigeonhitch.configuration import document
from wigeonhitch.fleet import observer, runner, state, wave
from wigeonhitch.membership import lease
from wigeonhitch.platform import table

FAR_FUTURE_SECONDS = 1e12


class Killed(BaseException):
    """Raised to simulate the death of the runner's process."""


class Holder:
    """Leases of one daemon; takes the duty over in the table as membership does."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.fence = 0
        self.is_paused = False

    def take(self):
        store = self.world.fake.engine.store
        current_row = store.read(["duty/fleet"])[0]
        store.commit(
            [table.Condition("duty/fleet", current_row.version)],
            [table.Write("duty/fleet", {"holder": self.name})],
            f"{self.name}-{current_row.version}",
            self.world.fake.now,
        )
        self.fence = store.revision

    def current(self, duty):
        # A paused holder still assumes that it holds the lease.
        return lease.Lease(duty, self.fence, FAR_FUTURE_SECONDS) if self.fence else None

    def want(self, duty):
        pass

    def unwant(self, duty):
        self.fence = 0


class Client:
    """Client of a daemon that can be killed after an effect, or interrupted.

    ``interrupt`` is awaited, with the name of the call, before call number
    ``trip``. It simulates what other processes do while this one is paused.
    """

    def __init__(self, inner):
        self.inner = inner
        self.kill_after = None
        self.effects = 0
        self.interrupt = None
        self.trip = 0
        self.last_health_check = (0.0, 0)

    async def _pause(self, name):
        self.trip -= 1
        if self.interrupt and self.trip < 0:
            interrupt, self.interrupt = self.interrupt, None
            await interrupt(name)

    async def _count(self, call):
        result = await call
        self.effects += 1
        if self.effects == self.kill_after:
            raise Killed
        return result

    async def commit(self, conditions, writes, *, purpose, timeout=2.0):
        await self._pause("commit")
        call = self.inner.commit(conditions, writes, purpose=purpose, timeout=timeout)
        return await self._count(call)

    async def reboot(self, vm, boot, *, purpose):
        await self._pause("reboot")
        return await self._count(self.inner.reboot(vm, boot, purpose=purpose))

    async def scan(self, prefix, *, purpose, since=0, timeout=5.0):
        await self._pause("scan")
        return await self.inner.scan(prefix, purpose=purpose, since=since)

    async def list_vms(self, *, purpose):
        await self._pause("list")
        return await self.inner.list_vms(purpose=purpose)

    def __getattr__(self, name):
        return getattr(self.inner, name)


class World:
    """Fake platform with a document, confirming daemons and runners."""

    def __init__(self, accepted, vms, **options):
        self.fake = fake.Fake(vms, **options)
        self.accepted = accepted
        self.sick = set()
        self.failures = []
        self.limits = wave.Limits(stop_estimate=10.0, return_within=60.0)

    @property
    def store(self):
        return self.fake.engine.store

    def write(self, key, value):
        current_row = self.store.read([key])[0]
        self.store.commit(
            [table.Condition(key, current_row.version)],
            [table.Write(key, value)],
            f"test-{self.store.revision}",
            self.fake.now,
        )

    def start(self, name, status="running"):
        self.write(f"wave/{name}", {"status": status})
        self.write(state.SIGNAL, {})

    def confirm(self, daemon, drain=None, busy=(), vm=""):
        value = {
            "vm": vm or f"entry-{daemon}",
            "beat": self.fake.now,
            "expires": self.fake.now + 10,
            "drain": self.store.revision if drain is None else drain,
            "busy": list(busy),
        }
        self.write(f"daemon/{daemon}", value)

    def is_serving(self, vm):
        return vm in self.fake.engine.fleet.live and vm not in self.sick

    def build(self, name="r1", *, takes_duty=True):
        holder = Holder(self, name)
        client = Client(self.fake.build_client(name))

        async def check_health(address):
            client.last_health_check = (self.fake.now, len(self.failures))
            return self.is_serving(address.partition(":")[0])

        platform = observer.Platform(
            client, client, check_health, lambda: self.fake.now
        )
        fleet_observer = observer.Observer(platform, self.limits)
        fleet_runner = runner.Runner(fleet_observer, holder, lambda: self.accepted)
        if takes_duty:
            holder.take()
        return fleet_runner

    def vms(self):
        rows = self.store.scan("vm/", 0)
        return {row.key.removeprefix("vm/"): state.parse_vm(row) for row in rows}


def build_document(pools, waves, *, required, size, spread="rack"):
    return document.Document(
        fleet="test",
        data_centres=(document.DataCentre("d0", "r"),),
        kinds=(document.Kind("k", 16, 64),),
        pools=tuple(
            document.Pool(name, "k", size, document.Budget(number=required), spread)
            for name in pools
        ),
        services=(),
        urgencies=(),
        waves=tuple(
            document.Wave(
                name,
                tuple(pool_names),
                document.Window(0, FAR_FUTURE_SECONDS),
                "kernel",
            )
            for name, pool_names in waves.items()
        ),
    )


def build_vms(count, entries=2):
    entry = {"kind": "e", "address": "", "rack": "re", "data_centre": "d0"}
    daemons = [
        entry | {"vm": f"entry-d{number + 1}", "role": "entry"}
        for number in range(entries)
    ]
    return daemons + [
        {
            "vm": f"v{number:03d}",
            "kind": "k",
            "address": f"v{number:03d}:80",
            "rack": f"r{number // 4}",
            "data_centre": f"d{number // 4 % 3}",
        }
        for number in range(count)
    ]


@pytest.fixture
def world():
    """Two pools of four VMs, three of which must be up; waves w (both) and x (a)."""
    accepted = build_document(
        ("a", "b"), {"w": ("a", "b"), "x": ("a",)}, required=3, size=4
    )
    return World(accepted, build_vms(8))
