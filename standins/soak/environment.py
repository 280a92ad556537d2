"""A site on loopback: stand-ins in this process, daemons as processes."""

import contextlib
import pathlib
import random
import signal
import subprocess
import sys
from typing import Any, NamedTuple

import anyio
import anyio.abc
import orjson

from standins.demo import process
from standins.soak import application, incarnation, relay, store, team, vmfleet
from wigeonhitch.daemon import server
from wigeonhitch.leadership import record
from wigeonhitch.platform import entries, http, node

__all__ = ["POOLS", "QUEUES", "Daemon", "Queue", "Environment", "open_environment"]

POOLS = {"alpha": 3, "beta": 3, vmfleet.STANDBY: 2}
"""VMs per pool: enough to run the jobs without one VM, few enough to be filled."""

CALLERS_PORT = 8624
READY_PORT = 8622

TERMINATION_GRACE_SECONDS = 6.0
"""Time from SIGTERM to SIGKILL: the default of the settings."""

RESTART_DELAY_SECONDS = 0.5
"""Time until a process that exited is restarted."""

CLOSE_SECONDS = 0.2
"""Time in which the servers detect that their connections were closed."""

POLL_SECONDS = 0.05
"""Interval of checks whether a process has exited."""


class Queue(NamedTuple):
    """A queue of the configuration."""

    name: str
    host: str
    prefix: str
    pool: str


QUEUES = tuple(
    Queue(f"queue-{pool}", f"{pool}.example", f"/{pool}/", pool)
    for pool in POOLS
    if pool != vmfleet.STANDBY
)

MAX_ATTEMPTS = 3

MODULE = "wigeonhitch.site.main"
WITHOUT_MODULE = "standins.soak.without"


class Daemon:
    """Process of one daemon, which is restarted whenever it exits."""

    def __init__(
        self,
        name: str,
        host: str,
        settings: pathlib.Path,
        relays: list[relay.Relay],
        program: tuple[str, ...],
    ) -> None:
        self.name = name
        self.program = program
        self.callers = f"{host}:{CALLERS_PORT}"
        self.settings = settings
        self.store, self.fleet = relays
        self.log = settings.with_suffix(".log")
        self.popen: subprocess.Popen[bytes] | None = None
        self.kill_at = 0.0

    @property
    def relays(self) -> tuple[relay.Relay, relay.Relay]:
        """Links to the store and to the VM API."""
        return self.store, self.fleet

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM; SIGKILL follows after the grace period."""
        self.kill_at = http.read_clock() + TERMINATION_GRACE_SECONDS
        self.signal(signal.SIGTERM)

    async def supervise(self, stack: contextlib.ExitStack) -> None:
        """Run the process and restart it whenever it exits, until cancelled."""
        environment = {node.NODE_FILE_VARIABLE: str(self.settings)}
        while True:
            self.kill_at = 0.0
            output = stack.enter_context(self.log.open("ab"))
            self.popen = subprocess.Popen(
                [sys.executable, "-m", *self.program],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
            stack.callback(_kill, self.popen)
            while self.popen.poll() is None:
                await anyio.sleep(POLL_SECONDS)
                if self.kill_at and http.read_clock() > self.kill_at:
                    self.signal(signal.SIGKILL)
            await anyio.sleep(RESTART_DELAY_SECONDS)


class Environment:
    """State of one run.

    Attributes
    ----------
    daemons : list of Daemon
    links : dict of str to relay.Relay
        Links to the workers, by VM.
    queue_pools : dict of str to set of str
        Pools that a configuration has assigned to each queue.
    current_pools : dict of str to str
        Pool that the newest configuration assigns to each queue.
    waves : dict of int to list of str
        VMs of each wave of maintenance.
    teams : team.Teams or None
        Teams of the configuration, if it has any.
    restarts : incarnation.Restarts or None
        Restarts of workers under their ids, if there are any.
    """

    def __init__(
        self,
        rng: random.Random,
        teams: team.Teams | None = None,
        restarts_rng: random.Random | None = None,
    ) -> None:
        self.teams = teams
        self.store = store.Store()
        self.links: dict[str, relay.Relay] = {}
        self.restarts = (
            incarnation.Restarts(restarts_rng, self.links) if restarts_rng else None
        )
        self.vm_fleet = vmfleet.VmFleet(self.store.rows, rng, self.restarts)
        self.daemons: list[Daemon] = []
        self.queue_pools: dict[str, set[str]] = {}
        self.current_pools: dict[str, str] = {}
        self.waves: dict[int, list[str]] = {}

    def write_catalogue(self, version: int, extra: int = 0) -> None:
        """Write a configuration; ``extra`` additional routes lead to the first pool.

        Each version assigns the pools to the queues in another order.
        """
        pools = [queue.pool for queue in QUEUES]
        first = (version - 1) % len(pools)
        reassigned = zip(QUEUES, pools[first:] + pools[:first], strict=True)
        routes = []
        for queue, pool in reassigned:
            self.queue_pools.setdefault(queue.name, set()).add(pool)
            self.current_pools[queue.name] = pool
            routes.append(_write_route(queue._replace(pool=pool)))
        for number in range(extra):
            extra_queue = Queue(f"more-{number}", f"more{number}.example", "/", "alpha")
            routes.append(_write_route(extra_queue))
        services = [
            {"name": pool, "standby": pool == vmfleet.STANDBY} for pool in POOLS
        ]
        fields: dict[str, Any] = {
            "version": version,
            "routes": routes,
            "services": services,
        }
        if self.teams is not None:
            fields["tenants"] = self.teams.write_tenants()
        self.store.rows.put(
            entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, orjson.dumps(fields)
        )

    def read_owner(self, pool: str) -> str:
        """Return the daemon that a pool's owner row names, or an empty string."""
        value = self.store.rows.get(record.OWNER_TABLE, pool, record.OWNER_KEY)
        return record.read_owner(pool, value, 0).name if value else ""

    def awaits_maintenance(self, vm: str) -> bool:
        """Return whether a wave names a VM whose maintenance hasn't begun yet."""
        begun = {(order.wave, order.vm) for order in self.vm_fleet.orders}
        return any(
            vm in vms and (number, vm) not in begun
            for number, vms in self.waves.items()
        )

    def order_wave(self, number: int, vms: list[str], duration: float) -> None:
        """Request maintenance of VMs, one at a time."""
        self.waves[number] = vms
        fields = {"wave": number, "machines": vms, "duration_s": duration, "ceiling": 1}
        self.store.rows.put(
            entries.OPERATOR_TABLE,
            "",
            entries.get_wave_key(number),
            orjson.dumps(fields),
        )


@contextlib.asynccontextmanager
async def open_environment(
    folder: pathlib.Path,
    count: int,
    rng: random.Random,
    without: str = "",
    teams: team.Teams | None = None,
    restarts_rng: random.Random | None = None,
) -> Any:
    """Run a site with ``count`` daemons; all of it stops at the end of the block.

    ``without`` names a mechanism of `standins.soak.without` to disable. Workers are
    restarted under their ids if ``restarts_rng`` is given.
    """
    environment = Environment(rng, teams, restarts_rng)
    environment.write_catalogue(1)
    ports = process.Ports()
    program = (WITHOUT_MODULE, without) if without else (MODULE,)
    network = _choose_network()
    platform, calls = ports.allocate(2)
    workers = _add_vms(environment, ports)
    asgi_application = application.Application(
        environment.store, environment.vm_fleet, workers
    )
    addresses = [f"127.0.0.1:{port}" for port in (platform, calls, *workers)]
    stopped = anyio.Event()
    async with anyio.create_task_group() as servers:
        servers.start_soon(
            server.serve_addresses, asgi_application, addresses, None, stopped.wait
        )
        try:
            with contextlib.ExitStack() as stack:
                stack.callback(ports.close)
                async with anyio.create_task_group() as group:
                    for number in range(count):
                        host = f"{network}.{number + 1}"
                        daemon = _make_daemon(
                            folder, number, host, ports, (platform, calls), program
                        )
                        if teams is not None:
                            _require_strict_revocation(daemon.settings)
                        environment.daemons.append(daemon)
                    await _start(environment, addresses, group, stack)
                    yield environment
                    group.cancel_scope.cancel()
            await anyio.sleep(CLOSE_SECONDS)
        finally:
            stopped.set()


async def _start(
    environment: Environment,
    addresses: list[str],
    group: anyio.abc.TaskGroup,
    stack: contextlib.ExitStack,
) -> None:
    """Start the links, then the VMs, then the daemons."""
    links = [link for daemon in environment.daemons for link in daemon.relays]
    if environment.restarts is not None:
        links.extend(environment.restarts.spare_links.values())
    for link in (*environment.links.values(), *links):
        await group.start(link.run)
    for address in addresses:
        await server.wait_until_listening(address)
    group.start_soon(environment.vm_fleet.run)
    for daemon in environment.daemons:
        group.start_soon(daemon.supervise, stack)


def _choose_network() -> str:
    """Return a random loopback network, so that concurrent runs don't collide."""
    any_rng = random.SystemRandom()
    return f"127.{any_rng.randrange(1, 250)}.{any_rng.randrange(250)}"


def _add_vms(environment: Environment, ports: process.Ports) -> dict[int, vmfleet.Vm]:
    workers = {}
    for pool, count in POOLS.items():
        for number in range(count):
            port, relay_port = ports.allocate(2)
            name = f"{pool}-{number}"
            link = relay.Relay("127.0.0.1", relay_port, "127.0.0.1", port)
            environment.links[name] = link
            if environment.restarts is not None:
                environment.restarts.spare_links[name] = spare = relay.Relay(
                    "127.0.0.1", ports.allocate()[0], "127.0.0.1", port
                )
                spare.is_refusing = True
            workers[port] = vmfleet.Vm(name, pool, port, link.address)
            environment.vm_fleet.add(workers[port])
    return workers


def _make_daemon(
    folder: pathlib.Path,
    number: int,
    host: str,
    ports: process.Ports,
    targets: tuple[int, int],
    program: tuple[str, ...],
) -> Daemon:
    links = [
        relay.Relay("127.0.0.1", ports.allocate()[0], "127.0.0.1", target)
        for target in targets
    ]
    name = f"daemon-{number}"
    fields = {
        "node_name": name,
        "zone": "dc",
        "ip": host,
        "listen_addrs.frontend": f"{host}:{CALLERS_PORT}",
        "listen_addrs.ready": f"{host}:{READY_PORT}",
        "platform.address": links[0].address,
        "cloud_api.address": links[1].address,
    }
    settings = folder / f"{name}.conf"
    settings.write_text("".join(f"{key}={text}\n" for key, text in fields.items()))
    return Daemon(name, host, settings, links, program)


def _require_strict_revocation(settings: pathlib.Path) -> None:
    with settings.open("a") as file:
        file.write(f"parameters.revoke_ms={team.REVOKE_SECONDS * 1000:.0f}\n")
        file.write("parameters.strict_revoke=true\n")


def _write_route(queue: Queue) -> dict[str, Any]:
    return {
        "name": queue.name,
        "host": queue.host,
        "path_prefix": queue.prefix,
        "service": queue.pool,
        "max_attempts": MAX_ATTEMPTS,
        "stretch": 2.0,
        "slo_ms": 600,
    }


def _kill(popen: subprocess.Popen[bytes]) -> None:
    """Kill a process that this environment started, unless it has exited."""
    if popen.poll() is None:
        popen.kill()
    popen.wait()
