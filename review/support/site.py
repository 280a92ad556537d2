"""A small deployment on loopback: the project's daemons, and stand-ins around them.

The store is the project's own stand-in behind an HTTP server of this process, which
also answers the calls about machines. Daemons run as processes with the command of
the deploy file, workers as processes of `review.support.worker` or within this one.
All of it ends with `Site.close`.
"""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import tomllib
from typing import Any

import aiohttp
import orjson
from aiohttp import web

from review.support import advice, worker
from standins.soak import store

ROOT = pathlib.Path(__file__).resolve().parents[2]

CALLERS_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT = 8624, 8622, 8623, 7070
FIRST_INNER_PORT = 7060

FIRST_PORT, STAND_INS_NUMBER = 10_001, 200
"""First port of the stand-ins, and the last number of their loopback address."""

HEARTBEAT_SECONDS = 1.5
ENTRY_TTL_SECONDS = 3 * HEARTBEAT_SECONDS
RESTART_SECONDS = 0.5
START_TIMEOUT_SECONDS = 30.0

HOST, PREFIX, POOL, SPARE = "match.example", "/match/", "matching", "reserve"
FIRST_PREFIX = "/settle/"
"""Prefix of the queue with the higher priority."""

ADVISED_PREFIX, ADVISED_MACHINES = "/audit/", 4
"""Prefix of the queue with a policy, and number of the machines that it allows."""

SETTINGS = """\
node_name={name}
role=daemon
machine_class=front
serves=front
ip={ip}
zone=dc-1
region=region-1
zones.dc-1=region-1
listen_addrs.frontend={ip}:8624
listen_addrs.ready={ip}:8622
listen_addrs.control={ip}:8623
port_range=7060,7075
seeds={seeds}
bootstrap=true
loss_counted=false
limits.cpu_share=1.0
limits.cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=100.0
limits.disk_mb=0
discovery=platform
ingress=vip
heartbeat_ms=1500
policies=base,drain,config,cost,recover,health,sched,platform,advice,upkeep,sharing
fault_tolerance.machines={tolerated}
fault_tolerance.zones=0
fault_tolerance.regions=0
{parameters}
control_mode=push
hint={hint}
platform.address={store}
platform.form=table
platform.writes_per_s=1200
platform.reads_per_s=6000
platform.tx_ms=4.0
platform.part_writes_per_s=250
platform.row_bytes=65536
platform.across=true
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_mb_per_s=80.0
cloud_api.address={machines}
cloud_api.rate_per_s=64.0
cloud_api.duties=
cloud_api.duty_per_s=64.0
"""


class WorkerProcess:
    """One worker: its machine, its process, and the id that it registers under."""

    def __init__(self, site: "Site", number: int) -> None:
        self.id = f"i-{number:04x}"
        self.machine = f"m-{number:04x}"
        self.port = site.allocate_port()
        self._site = site
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process; again after a crash, under the same id."""
        arguments = {
            "id": self.id,
            "port": self.port,
            "pool": POOL,
            "zone": "dc-1",
            "rack": "r1-1",
            "store": self._site.store_address,
            "events": self._site.events_file,
            "host": self._site.host,
        }
        command = [sys.executable, "-m", "review.support.worker"]
        for name, value in arguments.items():
            command += [f"--{name}", str(value)]
        self._popen = self._site.spawn(command, {}, f"worker-{self.id}")

    def crash(self) -> None:
        """Kill the process."""
        self._popen.kill()
        self._popen.wait()


class LocalWorker:
    """One worker within this process, whose tasks may be members of gangs."""

    def __init__(self, site: "Site", number: int) -> None:
        self.id = f"i-{number:04x}"
        self.machine = f"m-{number:04x}"
        self.port = site.allocate_port()
        self.is_up = False
        self.born = 0
        self._site = site
        self._server: worker.Server | None = None

    async def open(self, id: str = "") -> None:
        """Start it; under another id, if one is given."""
        self.id = id or self.id
        config = worker.Config(
            self.id,
            POOL,
            "dc-1",
            "r1-1",
            self._site.store_address,
            str(self._site.events_file),
            self._site.host,
            self.port,
            gang_wait_seconds=self._site.parameters["gang_wait_ms"] / 1000,
        )
        life = worker.Worker(config, self._site.gangs)
        self.born = life.born_ms
        self._server = worker.Server(life)
        await self._server.open()
        self.is_up = True

    async def close(self) -> None:
        """End it without a word."""
        if self.is_up:
            self.is_up = False
            await self._server.close()


class Daemon:
    """One daemon of the project, as a process."""

    def __init__(self, site: "Site", number: int, ip: str) -> None:
        self.name = f"front-dc-1-{number}"
        self.ip = ip
        self.callers = f"{ip}:{CALLERS_PORT}"
        self.ready = f"{ip}:{READY_PORT}"
        self.is_ready = False
        self._site = site

    def start(self, run: str, settings: pathlib.Path) -> None:
        """Start the process with the command of the deploy file."""
        environment = {"WIGEONHITCH_NODE_FILE": str(settings)}
        self._popen = self._site.spawn(run.split(), environment, self.name)


class Site:
    """The deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder of settings, logs and events.
    parameters : dict
        Bounds of the deployment, as its sheet names them.
    daemons, workers : int
        Numbers of processes.
    tolerated : int
        Machines that may be lost at once.
    are_workers_local : bool
        Whether the workers run within this process instead of as processes.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        parameters: dict[str, Any],
        daemons: int = 3,
        workers: int = 3,
        tolerated: int = 2,
        are_workers_local: bool = False,
    ) -> None:
        self.folder = folder
        self.events_file = folder / "events.jsonl"
        self.events_file.touch()
        self.store = store.Store()
        network = find_network(daemons)
        self.host = f"{network}.{STAND_INS_NUMBER}"
        self._last_port = FIRST_PORT - 1
        self.store_address = f"{self.host}:{self.allocate_port()}"
        self.machines_address = f"{self.host}:{self.allocate_port()}"
        self.gangs: dict[tuple[str, int], worker.Gang] = {}
        make = LocalWorker if are_workers_local else WorkerProcess
        self.workers = [make(self, number + 1) for number in range(workers)]
        self.advice_address = f"{self.host}:{self.allocate_port()}"
        allowed = frozenset(item.machine for item in self.workers[:ADVISED_MACHINES])
        self.advice = advice.Advice(allowed, self._find_worker)
        self.daemons = [
            Daemon(self, number, f"{network}.{number}")
            for number in range(1, daemons + 1)
        ]
        self.lists: list[tuple[float, dict[str, str]]] = []
        """Times of the lists of machines, and the states that were listed."""
        self.parameters = parameters
        self._tolerated = tolerated
        self._registered: dict[str, float] = {}
        self._processes: list[subprocess.Popen[bytes]] = []
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Start everything, and return once all daemons are ready."""
        self.write_configuration(1)
        application = web.Application(client_max_size=4 << 20)
        application.router.add_route("*", "/v1/{name}", self._answer_store)
        application.router.add_post("/standin/entry/{id}", self._take_entry)
        await self._listen(application, self.store_address)
        application = web.Application()
        application.router.add_get("/v1/machines", self._list_machines)
        application.router.add_post("/v1/{name}", self._refuse_order)
        await self._listen(application, self.machines_address)
        application = web.Application()
        application.router.add_post("/v1/advise", self.advice.answer)
        await self._listen(application, self.advice_address)
        for started in self.workers:
            if isinstance(started, LocalWorker):
                await started.open()
            else:
                started.start()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        for daemon in self.daemons:
            settings = self.folder / f"{daemon.name}.conf"
            settings.write_text(self._write_settings(daemon))
            daemon.start(deploy["roles"]["daemon"]["run"], settings)
        self._tasks.append(asyncio.create_task(self._expire_entries()))
        self._tasks.append(asyncio.create_task(self._check_readiness()))
        until = time.monotonic() + START_TIMEOUT_SECONDS
        while not all(daemon.is_ready for daemon in self.daemons):
            if time.monotonic() > until:
                raise TimeoutError("daemons are not ready")
            await asyncio.sleep(0.1)

    async def close(self) -> None:
        """End all processes that were started, and the servers."""
        for task in self._tasks:
            task.cancel()
        for popen in self._processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGKILL)
        for popen in self._processes:
            popen.wait()
        for started in self.workers:
            if isinstance(started, LocalWorker):
                await started.close()
        for runner in self._runners:
            await runner.cleanup()

    def allocate_port(self) -> int:
        """Return a port of the stand-ins' address that is free."""
        self._last_port += 1
        while not _is_free(self.host, self._last_port):
            self._last_port += 1
        return self._last_port

    def spawn(
        self, command: list[str], environment: dict[str, str], name: str
    ) -> subprocess.Popen[bytes]:
        """Start a process in the repository's root, with a log file."""
        kept = {key: os.environ[key] for key in ("PATH", "HOME") if key in os.environ}
        kept["PYTHONPATH"] = f"{ROOT}/target/deps:{ROOT}"
        kept["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.folder / f"{name}.log").open("ab") as output:
            popen = subprocess.Popen(
                command,
                cwd=ROOT,
                env=kept | environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self._processes.append(popen)
        return popen

    def write_configuration(self, version: int) -> None:
        """Write a configuration, as an operator does."""
        routes = [
            {
                "name": f"r-{priority}",
                "host": HOST,
                "path_prefix": prefix,
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "slo_ms": 600,
                "priority": priority,
                "service": POOL,
                "max_attempts": 3,
                "stretch": 1.6,
            }
            for priority, prefix in enumerate((FIRST_PREFIX, PREFIX, ADVISED_PREFIX))
        ]
        routes[-1]["hint"] = self.advice.hint._asdict()
        services = [
            {"name": POOL, "admission_control": False, "standby": False},
            {"name": SPARE, "admission_control": False, "standby": True},
        ]
        fields = {"version": version, "routes": routes, "services": services}
        self.store.rows.put("op", "", "config", orjson.dumps(fields))

    def read_events(self) -> list[dict[str, Any]]:
        """Return the events of all workers, in the order of their times."""
        lines = self.events_file.read_text().splitlines()
        return sorted(map(json.loads, lines), key=lambda event: event["t"])

    def _find_worker(self, id: str) -> tuple[str, int] | None:
        """Return the machine and the start of a worker, None if it isn't up."""
        for item in self.workers:
            if item.id == id and isinstance(item, LocalWorker) and item.is_up:
                return item.machine, item.born
        return None

    def _write_settings(self, daemon: Daemon) -> str:
        parameters = {
            name: str(value).lower() if isinstance(value, bool) else value
            for name, value in self.parameters.items()
        }
        return SETTINGS.format(
            name=daemon.name,
            ip=daemon.ip,
            seeds=",".join(f"{other.ip}:{CONTROL_PORT}" for other in self.daemons[:3]),
            tolerated=self._tolerated,
            parameters="\n".join(
                f"parameters.{name}={value}" for name, value in parameters.items()
            ),
            store=self.store_address,
            machines=self.machines_address,
            hint=self.advice_address,
        )

    async def _listen(self, application: web.Application, address: str) -> None:
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        self._runners.append(runner)
        host, _, port = address.rpartition(":")
        await web.TCPSite(runner, host, int(port)).start()

    # -- the platform

    async def _answer_store(self, request: web.Request) -> web.Response:
        raw = await request.read()
        body = orjson.loads(raw) if raw else None
        answer = await self.store.answer(request.path, dict(request.query), body)
        return web.Response(
            status=answer.status,
            body=b"" if answer.body is None else orjson.dumps(answer.body),
            content_type="application/json",
        )

    async def _take_entry(self, request: web.Request) -> web.Response:
        id = request.match_info["id"]
        self._registered[id] = time.monotonic()
        self.store.rows.put("servers", "", id, await request.read())
        return web.Response()

    async def _expire_entries(self) -> None:
        while True:
            for id, at in list(self._registered.items()):
                if time.monotonic() - at > ENTRY_TTL_SECONDS:
                    del self._registered[id]
                    self.store.rows.put("servers", "", id, None)
            await asyncio.sleep(0.05)

    async def _list_machines(self, request: web.Request) -> web.Response:
        machines = [
            {
                "machine": listed.machine,
                "pool": POOL,
                "state": "up" if listed.is_up else "down",
                "zone": "dc-1",
                "labels": ["a", "r1-1"],
                "capacity": {"cpu": 8000, "mem_mb": 65536, "gpus": 0},
                "id": listed.id if listed.is_up else "",
            }
            for listed in self.workers
        ]
        states = {machine["machine"]: machine["state"] for machine in machines}
        self.lists.append((time.time(), states))
        return web.json_response({"machines": machines, "next_token": None})

    async def _refuse_order(self, request: web.Request) -> web.Response:
        return web.json_response({"reason": "busy"}, status=409)

    async def _check_readiness(self) -> None:
        """Ask each daemon once a second, as the platform's balancer does."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                for daemon in self.daemons:
                    try:
                        url = f"http://{daemon.ready}/v1/readiness"
                        async with session.get(url) as response:
                            daemon.is_ready = response.status == 200
                    except (aiohttp.ClientError, TimeoutError):
                        daemon.is_ready = False
                await asyncio.sleep(1.0)


def find_network(count: int) -> str:
    """Return a loopback network of which the first addresses have free ports."""
    for _ in range(50):
        network = f"127.{random.randrange(1, 250)}.{random.randrange(250)}"
        ips = [f"{network}.{number}" for number in range(1, count + 1)]
        ports = (CALLERS_PORT, READY_PORT, METRICS_PORT, FIRST_INNER_PORT)
        if all(_is_free(ip, port) for ip in ips for port in ports):
            return network
    raise OSError("no loopback network with free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True
