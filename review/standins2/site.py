"""A small site on loopback: store, workers, machine list and advice service.

All stand-ins run in this process; the daemons are separate processes that are started
with the command of the deploy file. What was sent, answered and run goes to a record.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

from aiohttp import web

ROOT = pathlib.Path(__file__).resolve().parents[2]

ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
MAX_ROWS_PER_ANSWER = 500
MAX_ENDS_PER_ANSWER = 500
TRANSACTION_SECONDS = 0.004
HISTORY_SECONDS = 20.0
HEARTBEAT_SECONDS = 1.5
HOLD_MAX_SECONDS = 10.0
KILL_GRACE_SECONDS = 0.2
GANG_WAIT_SECONDS = 3.0
SAVE_SECONDS = 2.0
RESTORE_SECONDS = 0.25
MIGRATE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0


def free_port(host: str) -> int:
    """Return a port of an address that is free now."""
    with socket.socket() as listener:
        listener.bind((host, 0))
        return listener.getsockname()[1]


def reserve() -> socket.socket:
    """Return a socket that is bound to a free port for a stand-in."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    return listener


def get_port(listener: socket.socket) -> int:
    """Return the port of a bound socket."""
    return listener.getsockname()[1]


class Record:
    """The record of a run: one JSON line for each event."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.events: list[dict] = []

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self._began

    def add(self, what: str, **fields: object) -> dict:
        """Add one event."""
        event = {"t": round(self.now(), 3), "what": what, **fields}
        self.events.append(event)
        if not self._file.closed:
            self._file.write(json.dumps(event) + "\n")
        return event

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Store:
    """The platform's store of rows, with the limits of the pages.

    ``decide`` is called with each transaction and returns how it is answered: "" as
    usual, "lost" for done without an answer, or a number of seconds after which it is
    done without an answer if its condition still holds.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.rows: dict[tuple[str, str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[float, int, dict]] = []
        self.version = 0
        self.oldest = 0
        self.delay = 0.0
        self.refused: dict[str, int] = {}
        self.decide = lambda body: ""
        self._changed = asyncio.Event()
        self._locks: dict[str, asyncio.Lock] = {}
        self._pending: set[asyncio.Task] = set()

    def put(self, table: str, part: str, key: str, value: bytes | None) -> None:
        """Write a row unconditionally, as the operator and the workers do."""
        self._apply([(table, part, key, value)])

    def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row of the operator or of a worker."""
        self.put(table, "", key, json.dumps(value).encode())

    def get(self, table: str, part: str, key: str) -> bytes | None:
        """Return the value of a row."""
        found = self.rows.get((table, part, key))
        return found[0] if found else None

    def _apply(self, writes: list[tuple]) -> None:
        self.version += 1
        now = time.monotonic()
        for table, part, key, value in writes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            row = self._encode(table, part, key, value, self.version)
            self.changes.append((now, self.version, row))
        while self.changes and self.changes[0][0] < now - HISTORY_SECONDS:
            self.oldest = self.changes.pop(0)[1]
        self._changed.set()
        self._changed = asyncio.Event()

    @staticmethod
    def _encode(table: str, part: str, key: str, value: bytes | None, ver: int) -> dict:
        row = {"table": table, "part": part, "key": key, "ver": ver}
        if value is None:
            return {**row, "deleted": True}
        return {**row, "value": base64.b64encode(value).decode()}

    def _answer(self, fields: dict, status: int = 200) -> web.Response:
        now_ms = int(time.monotonic() * 1000) + 1_000_000
        fields = {**fields, "ver": fields.get("ver", self.version), "now_ms": now_ms}
        return web.json_response(fields, status=status)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer one call."""
        if self.delay:
            await asyncio.sleep(self.delay)
        name = request.path.rpartition("/")[2]
        if name == "rows-tx":
            return await self._commit(await request.read())
        query = request.query
        if name == "rows-get":
            return self._read(query)
        if name == "rows-parts":
            after = query.get("after", "")
            parts = sorted({p for t, p, _ in self.rows if t == query["table"]})
            return self._answer({"parts": [p for p in parts if p > after][:1000]})
        if name == "rows-feed":
            return await self._follow(query)
        return web.Response(status=404)

    def _read(self, query) -> web.Response:
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 0)) or MAX_ROWS_PER_ANSWER, 500)
        found = sorted(
            (key, *row)
            for (table, part, key), row in self.rows.items()
            if table == query["table"]
            and part == query.get("part", "")
            and key >= first
            and (not last or key < last)
        )
        chosen, size = [], 0
        for key, value, ver in found[:limit]:
            size += len(value) * 4 // 3 + 200
            if size > MAX_CALL_BYTES and chosen:
                break
            chosen.append(
                self._encode(query["table"], query.get("part", ""), key, value, ver)
            )
        return self._answer({"rows": chosen, "truncated": len(chosen) < len(found)})

    async def _follow(self, query) -> web.Response:
        after = int(query["after"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            if after < self.oldest:
                return web.Response(status=410)
            rows = [
                row
                for _, ver, row in self.changes
                if ver > after and row["table"] == query["table"]
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                return self._answer({"rows": rows})
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    async def _commit(self, raw: bytes) -> web.StreamResponse:
        body = json.loads(raw)
        conditions, writes = body.get("if_rev", []), body.get("writes", [])
        removals = body.get("remove", [])
        entries = [*conditions, *writes, *removals]
        parts = sorted({entry.get("part", "") for entry in entries})
        values = [base64.b64decode(write["value"]) for write in writes]
        fault = ""
        if len(entries) > MAX_ENTRIES or len(raw) > MAX_CALL_BYTES:
            fault = "call too large"
        elif any(len(value) > ROW_BYTES for value in values):
            fault = "row larger than row_bytes"
        elif len(parts) > 1 and not body.get("across"):
            fault = "several parts"
        if fault:
            if not self.refused.get(fault):
                largest = max(map(len, values), default=0)
                self.record.add("store refuses", status=400, why=fault, bytes=largest)
            self.refused[fault] = self.refused.get(fault, 0) + 1
            return web.Response(status=400)
        how = self.decide(body)
        if isinstance(how, float):
            task = asyncio.ensure_future(self._commit_late(how, body, values))
            self._pending.add(task)
            task.add_done_callback(self._pending.discard)
            await asyncio.sleep(60)
        locks = [self._locks.setdefault(part, asyncio.Lock()) for part in parts]
        async with contextlib.AsyncExitStack() as stack:
            for lock in locks:
                await stack.enter_async_context(lock)
            await asyncio.sleep(TRANSACTION_SECONDS * (2 if len(parts) > 1 else 1))
            answer = self._try(conditions, writes, values, removals)
        if how == "lost":
            await asyncio.sleep(60)
        return answer

    async def _commit_late(self, delay: float, body: dict, values: list) -> None:
        await asyncio.sleep(delay)
        answer = self._try(
            body.get("if_rev", []), body["writes"], values, body.get("remove", [])
        )
        keys = [write["table"] + "/" + write["key"] for write in body["writes"]]
        self.record.add("write done late", rows=keys, status=answer.status)

    def _try(self, conditions, writes, values, removals) -> web.Response:
        for item in conditions:
            found = self.rows.get((item["table"], item.get("part", ""), item["key"]))
            if (found[1] if found else 0) != item["ver"]:
                keys = [(c["table"], c.get("part", ""), c["key"]) for c in conditions]
                current = [
                    self._encode(*key, *self.rows[key])
                    for key in keys
                    if key in self.rows
                ]
                return self._answer({"rows": current}, status=412)
        changes = [
            (write["table"], write.get("part", ""), write["key"], value)
            for write, value in zip(writes, values, strict=True)
        ]
        changes += [(w["table"], w.get("part", ""), w["key"], None) for w in removals]
        self._apply(changes)
        return self._answer({"ver": self.version})


class Run:
    """One run of a task on a worker."""

    def __init__(self, task: str, run: int, body: dict, now: float) -> None:
        self.task = task
        self.run = run
        self.began = now
        self.body = body
        self.saved = body.get("last_checkpoint", "")
        self.stopping = False
        self.seconds: float | None = None
        """Work of the task in seconds; None for one that lasts."""


class Worker:
    """One life of a worker on a machine.

    ``plan`` is called with a start and returns the seconds that the task works and how
    it ends. A worker that doesn't guard its capacity starts what it is told to start.
    """

    def __init__(self, site: "Site", machine: "Machine", number: int) -> None:
        self.site = site
        self.machine = machine
        self.id = f"i-{number:08x}"
        self.state = "ready"
        self.fence = 0
        self.runs: dict[str, Run] = {}
        self.refused: dict[str, int] = {}
        self.ends: list[list] = []
        self.last_end = 0
        self.deadline = 0.0
        self.lapses = 0
        self._is_lapsed = False
        self._lapses_at_end: dict[int, int] = {}
        self.origin = time.monotonic() - random.uniform(5, 500)
        self.changed = asyncio.Event()
        self.alive = True
        self.hangs = False
        self.born = 0
        """Unix milliseconds of its start, 0 where workers don't report it."""

    def clock(self) -> float:
        """Return the worker's own steady clock."""
        return time.monotonic() - self.origin

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.refused[run.task] = max(run.run, self.refused.get(run.task, 0))
        self.last_end += 1
        saved = run.saved if how != "done" else ""
        self._lapses_at_end[self.last_end] = self.lapses
        self.ends.append([self.last_end, run.task, run.run, how, saved])
        self.site.record.add(
            "end", worker=self.id, task=run.task, run=run.run, how=how, n=self.last_end
        )
        self._wake()

    def die(self) -> None:
        """End this life with all that it runs, without listing ends."""
        self.alive = False
        for run in list(self.runs.values()):
            self.site.record.add(
                "end", worker=self.id, task=run.task, run=run.run, how="died"
            )
        self.runs.clear()
        self._wake()

    def sweep(self) -> None:
        """End all runs if the lease has run out."""
        if self.clock() <= self.deadline:
            return
        for run in list(self.runs.values()):
            self.end(run, "lapsed")
        self.lapses += not self._is_lapsed
        self._is_lapsed = True

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            limit = self.clock() + HOLD_MAX_SECONDS
            self.deadline = max(self.deadline, min(deadline_ms / 1000, limit))
            self._is_lapsed = self.clock() > self.deadline

    def _reply(self, status: int = 200, **fields: object) -> web.Response:
        fields["clock_ms"] = int(self.clock() * 1000)
        if self.born:
            fields["born"] = self.born
        return web.json_response(fields, status=status)

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answer one call."""
        if request.headers.get("Target-Instance") not in (None, self.id):
            return web.Response(status=421)
        body = await request.json()
        name = request.path.rpartition("/")[2]
        if self.hangs:
            await asyncio.sleep(60)
        self.sweep()
        fence = body.get("fencing_token", 0)
        if fence < self.fence:
            return self._reply(409, reason="fence")
        self.fence = fence
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return await self._stop(body)
        if name == "pace":
            return self._reply()
        if name == "hold":
            return await self._hold(body)
        return web.Response(status=404)

    def _start(self, body: dict) -> web.Response:
        task, run = body["task"], body["run"]
        present = self.runs.get(task)
        if present is not None and present.run == run:
            return self._reply()
        if present is not None or run <= self.refused.get(task, 0):
            self._extend(body.get("deadline_ms"))
            return self._reply(409, reason="old")
        if body["deadline_ms"] / 1000 < self.clock():
            return self._reply(409, reason="late")
        self._extend(body["deadline_ms"])
        began = self.runs[task] = Run(task, run, body, time.monotonic())
        self.site.record.add(
            "start",
            worker=self.id,
            pool=self.machine.pool,
            task=task,
            run=run,
            fence=self.fence,
            saved=body.get("last_checkpoint", ""),
        )
        self.site.on_start(self, began)
        return self._reply()

    async def _stop(self, body: dict) -> web.Response:
        task, run = body["task"], body["run"]
        self.refused[task] = max(run, self.refused.get(task, 0))
        present = self.runs.get(task)
        if present is not None and present.run <= run and not present.stopping:
            present.stopping = True
            present.saved = self.site.save(present)
            loop = asyncio.get_running_loop()
            loop.call_later(KILL_GRACE_SECONDS / 2, self.end, present, "stopped")
        return self._reply()

    async def _hold(self, body: dict) -> web.Response:
        self._extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.site.record.add(
                    "noted",
                    worker=self.id,
                    task=end[1],
                    run=end[2],
                    how=end[3],
                    n=end[0],
                    lapsed=self._lapses_at_end[end[0]] != self.lapses,
                )
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ends and self.alive and (left := until - time.monotonic()) > 0:
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(self.changed.wait(), left)
        running = [
            [run.task, run.run, self.site.get_saved(run), self.site.get_percent(run), 0]
            for run in self.runs.values()
        ]
        return self._reply(running=running, finished=self.ends[:MAX_ENDS_PER_ANSWER])


class Machine:
    """A machine at one address, with the present life of its worker."""

    def __init__(self, name: str, pool: str, rack: str) -> None:
        self.name = name
        self.pool = pool
        self.rack = rack
        self.kind = "a"
        self.listener = reserve()
        self.port = get_port(self.listener)
        self.state = "up"
        self.worker: Worker | None = None
        self.fence = 0
        self.upkept: set[int] = set()


class Daemon:
    """The process of one daemon."""

    def __init__(self, site: "Site", number: int) -> None:
        self.site = site
        self.name = f"front-{number}"
        self.ip = f"{site.network}.{number + 1}"
        self.port = free_port(self.ip)
        self.ready_port = free_port(self.ip)
        self.popen: subprocess.Popen | None = None
        self.settings = site.folder / f"{self.name}.conf"
        self.log = site.folder / f"{self.name}.log"

    def start(self, **extra: object) -> None:
        """Start the process with the command of the deploy file."""
        self.settings.write_text(self.site.write_settings(self, extra))
        environment = {
            "WIGEONHITCH_NODE_FILE": str(self.settings),
            "PYTHONPATH": f"{ROOT / 'target/deps'}",
            "PYTHONDONTWRITEBYTECODE": "1",
            "PATH": os.environ.get("PATH", ""),
        }
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                ["python3", "-m", "wigeonhitch.site.main"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.site.record.add("daemon started", daemon=self.name)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(number)
            name = signal.Signals(number).name
            self.site.record.add("signal", daemon=self.name, signal=name)

    def stop(self) -> None:
        """Kill the process, and wait for its end."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Site:
    """Stand-ins of a small site, and its daemons."""

    def __init__(
        self, record: Record, pools: dict[str, int], daemons: int, cpu: int = 32000
    ) -> None:
        self.record = record
        self.cpu = cpu
        self.mem_mb = 65536
        self.host = "127.0.0.1"
        rng = random.SystemRandom()
        self.network = f"127.{rng.randrange(1, 250)}.{rng.randrange(250)}"
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = pathlib.Path(self._folder.name)
        self.store = Store(record)
        self._platform = [reserve() for _ in range(3)]
        ports = [get_port(listener) for listener in self._platform]
        self.store_port, self.cloud_port, self.hint_port = ports
        self.machines: list[Machine] = []
        self.lives = 0
        self.plan = lambda worker, run: (1.0, "done")
        self.has_checkpoints = lambda task: False
        for pool, count in pools.items():
            for number in range(count):
                rack = f"r-{pool}-{number // 4}"
                self.machines.append(Machine(f"{pool}-{number}", pool, rack))
        self.daemons = [Daemon(self, number) for number in range(daemons)]
        self._tasks: list[asyncio.Task] = []
        self._runners: list[web.AppRunner] = []
        self.version = 0

    # -- life of the site

    async def __aenter__(self) -> "Site":
        """Start the stand-ins."""
        handlers = (self.store.serve, self._serve_cloud, self._serve_hint)
        for listener, handler in zip(self._platform, handlers, strict=True):
            await self._listen(listener, handler)
        for machine in self.machines:
            await self._listen(machine.listener, self._make_worker_handler(machine))
            self.begin_life(machine)
        self._tasks.append(asyncio.ensure_future(self._beat()))
        self._tasks.append(asyncio.ensure_future(self._sweep()))
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all processes and stand-ins."""
        for daemon in self.daemons:
            daemon.stop()
        for task in self._tasks:
            task.cancel()
        for runner in self._runners:
            with contextlib.suppress(Exception):
                await asyncio.wait_for(runner.cleanup(), 3)
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / daemon.log.name
                target.write_bytes(daemon.log.read_bytes())
        self._folder.cleanup()

    async def _listen(self, listener: socket.socket, handler) -> None:
        application = web.Application(client_max_size=1 << 24)
        application.router.add_route("*", "/{path:.*}", handler)
        runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        await web.SockSite(runner, listener, backlog=1024).start()
        self._runners.append(runner)

    def _make_worker_handler(self, machine: Machine):
        async def handle(request: web.Request) -> web.StreamResponse:
            if machine.worker is None:
                request.transport.abort()
                await asyncio.sleep(60)
            return await machine.worker.serve(request)

        return handle

    def begin_life(self, machine: Machine) -> Worker:
        """Begin a life of a machine's worker."""
        self.lives += 1
        worker = machine.worker = Worker(self, machine, self.lives)
        machine.state = "up"
        self.write_entry(worker)
        return worker

    def end_life(self, machine: Machine, *, is_removed: bool = True) -> None:
        """End the life of a machine's worker."""
        worker = machine.worker
        if worker is None:
            return
        machine.worker = None
        machine.state = "down"
        worker.die()
        if is_removed:
            loop = asyncio.get_running_loop()
            delay = 3 * HEARTBEAT_SECONDS
            loop.call_later(delay, self.store.put, "servers", "", worker.id, None)

    def write_entry(self, worker: Worker) -> None:
        """Write a worker's entry."""
        machine = worker.machine
        entry = {
            "service": machine.pool,
            "address": f"{self.host}:{machine.port}",
            "zone": "hall",
            "version": "1",
            "slots": 8,
            "state": worker.state,
            "cold_ms": 0,
            "sequence": int(time.monotonic() * 1000),
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
            "labels": [machine.kind, machine.rack],
            "clock_ms": int(worker.clock() * 1000),
        }
        if worker.born:
            entry["born"] = worker.born
        self.store.put_json("servers", worker.id, entry)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for machine in self.machines:
                if machine.worker is not None:
                    self.write_entry(machine.worker)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            for machine in self.machines:
                if machine.worker is not None:
                    machine.worker.sweep()

    # -- work

    def on_start(self, worker: Worker, run: Run) -> None:
        """Let a run that has begun end as planned."""
        seconds, how = self.plan(worker, run)
        run.seconds = seconds
        if seconds is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(seconds, worker.end, run, how)

    def get_saved(self, run: Run) -> str:
        """Return the newest checkpoint: one for each `SAVE_SECONDS` of work."""
        if not self.has_checkpoints(run.task):
            return ""
        saves = int((time.monotonic() - run.began) / SAVE_SECONDS)
        if saves:
            run.saved = (
                f"{run.run & 0xFFFF:04x}{saves:04x}{hash(run.task) & 0xFFFFFFFF:08x}"
            )
        return run.saved

    def save(self, run: Run) -> str:
        """Return the checkpoint that a stop writes."""
        if not self.has_checkpoints(run.task):
            return ""
        return f"{run.run & 0xFFFF:04x}ffff{hash(run.task) & 0xFFFFFFFF:08x}"

    def get_percent(self, run: Run) -> int:
        """Return the progress of a run."""
        worked = time.monotonic() - run.began
        return min(
            100 if run.seconds is None else 99, int(100 * worked / (run.seconds or 0.3))
        )

    # -- machine list and advice

    async def _serve_cloud(self, request: web.Request) -> web.Response:
        if request.path == "/v1/machines":
            listed = [
                {
                    "machine": machine.name,
                    "pool": machine.pool,
                    "state": machine.state,
                    "zone": "hall",
                    "labels": [machine.kind, machine.rack],
                    "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
                    "id": machine.worker.id if machine.worker else "",
                }
                for machine in self.machines
            ]
            return web.json_response({"machines": listed})
        body = await request.json()
        fence = int(request.headers.get("Fencing-Token", 0))
        machine = next((m for m in self.machines if m.name == body["machine"]), None)
        if machine is None:
            return web.Response(status=400)
        if fence < machine.fence:
            return web.json_response({"reason": "fence"}, status=409)
        machine.fence = fence
        wave = body.get("wave", 0)
        if (wave and wave in machine.upkept) or body.get("pool") == machine.pool:
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        self.record.add(
            "machine order", holder=request.headers.get("Duty-Holder"), **body
        )
        self.end_life(machine)
        machine.state = "upkeep" if wave else "moving"
        machine.upkept.add(wave)
        machine.pool = body.get("pool", machine.pool)
        delay = MAINTENANCE_SECONDS if wave else MIGRATE_SECONDS
        asyncio.get_running_loop().call_later(delay, self.begin_life, machine)
        return web.json_response({})

    async def _serve_hint(self, request: web.Request) -> web.Response:
        body = await request.json()
        await asyncio.sleep(0.05)
        return web.json_response({"good": [[id, "t" + id] for id in body["workers"]]})

    # -- operator and settings

    def configure(self, routes: list[dict], pools: list[str]) -> None:
        """Write the next version of the configuration, and record it."""
        self.version += 3
        services = [{"name": pool, "admission_control": False} for pool in pools]
        fields = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"body_bytes": 262144},
        }
        self.store.put_json("op", "config", fields)
        names = {route["path_prefix"]: route["service"] for route in routes}
        self.record.add("configuration", version=self.version, routes=names)

    def write_settings(self, daemon: Daemon, extra: dict) -> str:
        """Return the settings of a daemon, in the form of the pages."""
        fields = {
            "node_name": daemon.name,
            "role": "daemon",
            "machine_class": "front",
            "serves": "front",
            "ip": daemon.ip,
            "zone": "hall",
            "region": "town",
            "zones.hall": "town",
            "listen_addrs.frontend": f"{daemon.ip}:{daemon.port}",
            "listen_addrs.ready": f"{daemon.ip}:{daemon.ready_port}",
            "port_range": "7060,7075",
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "heartbeat_ms": "1500",
            "policies": "base,drain,config,cost,recover,sched,platform,upkeep",
            "fault_tolerance.machines": "1",
            "parameters.contact_ms": "3000",
            "parameters.ack_ms": "4000",
            "parameters.drain_ms": "2000",
            "parameters.grace_s": "6",
            "parameters.config_apply_ms": "2000",
            "parameters.skew_max_ms": "5000",
            "parameters.hold_max_ms": "10000",
            "parameters.kill_grace_ms": "200",
            "parameters.gang_wait_ms": "3000",
            "parameters.cancel_ms": "3000",
            "parameters.visible_ms": "3000",
            "parameters.finish_s": "14",
            "parameters.status_s": "120",
            "parameters.save_s": "2",
            "parameters.restore_ms": "250",
            "parameters.notice_ms": "4500",
            "parameters.migrate_s": "1.5",
            "parameters.maintenance_s": "2",
            "parameters.require_fencing": "true",
            "parameters.lease_ms": "3000",
            "control_mode": "push",
            "hint": f"{self.host}:{self.hint_port}",
            "platform.address": f"{self.host}:{self.store_port}",
            "platform.form": "table",
            "platform.writes_per_s": "800",
            "platform.reads_per_s": "2000",
            "platform.tx_ms": "4.0",
            "platform.part_writes_per_s": "250",
            "platform.row_bytes": str(ROW_BYTES),
            "platform.across": "true",
            "platform.history_s": "20",
            "cloud_api.address": f"{self.host}:{self.cloud_port}",
            "cloud_api.duty_per_s": "64.0",
            **extra,
        }
        return "".join(f"{key}={value}\n" for key, value in fields.items())


def route(name: str, pool: str, **extra: object) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": f"{name}.example",
        "path_prefix": f"/{name}/",
        "service": pool,
        "priority": 0,
        "max_attempts": 3,
        "stretch": 2.0,
        "slo_ms": 600,
        "timeout_ms": 3000,
        **extra,
    }
