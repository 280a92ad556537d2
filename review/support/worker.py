"""Worker stand-in, as a process of its own or within another one.

It follows PROTOCOL.md and the page of the deployment: a lower fencing token has no
effect, a start after its deadline is refused, all runs end when the lease expires, and
ends are listed until ``last_seen`` reaches them. Each event is appended to a file,
which is what a case is judged by. The process may be killed and started again with the
same ``--id``: it then knows nothing of before, and its clock and the numbers of its
ends start anew.

The text of a task is JSON: ``{"ms": 300}`` is its run time, and ``{"gang": 8}`` tells
that it works only together with the others of a step of eight tasks. The members of a
gang have to run on workers of one process. ``{"advised": true}`` tells that its queue
needs tickets of the advice service.
"""

import argparse
import asyncio
import json
import signal
import time
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

from review.support import advice

MAX_LEASE_MS = 10_000
HEARTBEAT_SECONDS = 1.5
STEP_SECONDS = 0.01
MAX_WAIT_MS = 2_000
MAX_ENDS = 500


class Config(NamedTuple):
    """What a worker is told at its start."""

    id: str
    pool: str
    zone: str
    rack: str
    store: str
    events: str
    host: str
    port: int
    cpu: int = 8000
    gang_wait_seconds: float = 4.0


class Gang:
    """One run of a gang: its members work from when all of them are present."""

    def __init__(self, size: int, wait_seconds: float) -> None:
        self.size = size
        self.wait_seconds = wait_seconds
        self.members: set[str] = set()
        self.begun_at: float | None = None
        self.is_broken = False

    def join(self, task: str) -> None:
        """Add a member that has been started."""
        self.members.add(task)
        if len(self.members) == self.size:
            self.begun_at = time.monotonic()


class Run:
    """One run of a task."""

    def __init__(self, task: str, number: int, work_ms: int, gang: Gang | None) -> None:
        self.task = task
        self.number = number
        self.gang = gang
        self._started_at = time.monotonic()
        self._work_seconds = work_ms / 1000

    def find_end(self) -> str:
        """Return how the run ends now by itself, or an empty text."""
        now = time.monotonic()
        if self.gang is None:
            return "done" if now >= self._started_at + self._work_seconds else ""
        if self.gang.is_broken:
            return "broken"
        if self.gang.begun_at is None:
            has_waited = now - self._started_at > self.gang.wait_seconds
            return "alone" if has_waited else ""
        return "done" if now >= self.gang.begun_at + self._work_seconds else ""

    def compute_percent(self) -> int:
        """Return the progress."""
        begun_at = self._started_at if self.gang is None else self.gang.begun_at
        if begun_at is None:
            return 0
        passed = time.monotonic() - begun_at
        return min(100, int(100 * passed / max(0.001, self._work_seconds)))


class Worker:
    """State of one life of the worker."""

    def __init__(
        self, config: Config, gangs: dict[tuple[str, int], Gang] | None = None
    ) -> None:
        self.config = config
        self.id = config.id
        self._gangs = {} if gangs is None else gangs
        self.born_ms = int(time.time() * 1000)
        self._started = time.monotonic()
        self._fence = 0
        self._deadline_ms = 0
        self._lapses = 0
        self._is_lapsed = False
        self._runs: dict[str, Run] = {}
        self._refused: dict[str, int] = {}
        self._ends: list[tuple[int, str, int, str, str]] = []
        self._lapses_at_end: dict[int, int] = {}
        self._last_end = 0
        self._sequence = 0
        self._changed = asyncio.Event()
        self._events = open(config.events, "a", buffering=1)  # noqa: SIM115

    def crash(self) -> None:
        """End this life without a word: gangs with a member here are broken."""
        for run in self._runs.values():
            if run.gang is not None:
                run.gang.is_broken = True
        self._runs.clear()

    def read_clock(self) -> int:
        """Return the worker's own clock in milliseconds, from 1 at its start."""
        return 1 + int((time.monotonic() - self._started) * 1000)

    def record(self, event: str, task: str, run: int, how: str = "") -> None:
        """Append one event to the file of events."""
        fields = {"t": time.time(), "worker": self.id, "born": self.born_ms}
        fields |= {"event": event, "task": task, "run": run, "how": how}
        self._events.write(json.dumps(fields) + "\n")

    def describe(self) -> dict[str, Any]:
        """Return the worker's report about itself."""
        self._sequence += 1
        return {
            "service": self.config.pool,
            "address": f"{self.config.host}:{self.config.port}",
            "zone": self.config.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_ms": 0,
            "capacity": {"cpu": self.config.cpu, "mem_mb": 65536, "gpus": 0},
            "labels": ["a", self.config.rack],
            "clock_ms": self.read_clock(),
            "sequence": self._sequence,
            "born": self.born_ms,
        }

    async def advance(self) -> None:
        """End runs that are complete, and all runs when the lease expires."""
        while True:
            clock = self.read_clock()
            is_lapsed = clock > self._deadline_ms
            self._lapses += is_lapsed and not self._is_lapsed
            self._is_lapsed = is_lapsed
            for run in list(self._runs.values()):
                if how := run.find_end():
                    self._end(run, how)
                elif is_lapsed:
                    self._end(run, "lapsed")
            await asyncio.sleep(STEP_SECONDS)

    async def register(self) -> None:
        """Write the worker's entry into the store at each heartbeat."""
        url = f"http://{self.config.store}/standin/entry/{self.id}"
        async with aiohttp.ClientSession() as session:
            while True:
                try:
                    await session.post(url, json=self.describe())
                except aiohttp.ClientError:
                    await asyncio.sleep(0.1)
                    continue
                await asyncio.sleep(HEARTBEAT_SECONDS)

    async def answer(self, request: web.Request) -> web.Response:
        """Answer one call."""
        if request.headers.get("Target-Instance") != self.id:
            return web.json_response({"clock_ms": self.read_clock()}, status=421)
        body = await request.json()
        fence = body.get("fencing_token", 0)
        if fence < self._fence:
            return self._refuse("fence")
        self._fence = fence
        if request.path == "/v1/run-start":
            return self._start(body)
        if request.path == "/v1/run-stop":
            return self._stop(body)
        if request.path == "/v1/hold":
            return await self._hold(body)
        return web.json_response({"clock_ms": self.read_clock()})

    def _refuse(self, reason: str) -> web.Response:
        body = {"clock_ms": self.read_clock(), "reason": reason}
        return web.json_response(body, status=409)

    def _extend(self, deadline_ms: int) -> None:
        latest = self.read_clock() + MAX_LEASE_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _start(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._extend(body["deadline_ms"])
        current = self._runs.get(task)
        if current is not None and current.number == number:
            return web.json_response({"clock_ms": self.read_clock()})
        if body["deadline_ms"] < self.read_clock():
            return self._refuse("late")
        if current is not None or number <= self._refused.get(task, 0):
            return self._refuse("old")
        spec = json.loads(body["spec"])
        step = task.rpartition(".")[0]
        ticket = body.get("ticket", "")
        if spec.get("advised") and not advice.check_ticket(
            ticket, step, self.id, self.born_ms
        ):
            return self._refuse("ticket")
        gang = None
        if size := spec.get("gang"):
            key = step, number
            wait = self.config.gang_wait_seconds
            gang = self._gangs.setdefault(key, Gang(size, wait))
            gang.join(task)
        self._runs[task] = Run(task, number, spec["ms"], gang)
        self.record("start", task, number)
        return web.json_response({"clock_ms": self.read_clock()})

    def _stop(self, body: dict[str, Any]) -> web.Response:
        task, number = body["task"], body["run"]
        self._refused[task] = max(number, self._refused.get(task, 0))
        current = self._runs.get(task)
        if current is not None and current.number <= number:
            self._end(current, "stopped")
        return web.json_response({"clock_ms": self.read_clock()})

    async def _hold(self, body: dict[str, Any]) -> web.Response:
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        for number, task, run, how, _ in self._ends:
            if number <= body["last_seen"]:
                is_late = self._lapses_at_end[number] != self._lapses
                self.record("noted late" if is_late else "noted", task, run, how)
        self._ends = [end for end in self._ends if end[0] > body["last_seen"]]
        wait = min(MAX_WAIT_MS, body.get("wait_ms", 0)) / 1000
        until = time.monotonic() + wait
        while not self._ends and (left := until - time.monotonic()) > 0:
            self._changed.clear()
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        running = [
            [run.task, run.number, "", run.compute_percent(), 0]
            for run in self._runs.values()
        ]
        lists = {"running": running, "finished": self._ends[:MAX_ENDS]}
        about = {"clock_ms": self.read_clock(), "born": self.born_ms}
        return web.json_response(about | lists)

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        if run.gang is not None and how != "done":
            run.gang.is_broken = True
        self._last_end += 1
        self._ends.append((self._last_end, run.task, run.number, how, ""))
        self._lapses_at_end[self._last_end] = self._lapses
        self._refused[run.task] = max(run.number, self._refused.get(run.task, 0))
        self.record("end", run.task, run.number, how)
        self._changed.set()


class Server:
    """One life of a worker, with its listening address."""

    def __init__(self, worker: Worker) -> None:
        self._worker = worker
        application = web.Application()
        application.router.add_get("/health", _answer_health)
        application.router.add_post("/v1/{name}", worker.answer)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        self._tasks: list[asyncio.Task[None]] = []

    async def open(self) -> None:
        """Listen, run tasks and write the worker's entry."""
        await self._runner.setup()
        config = self._worker.config
        await web.TCPSite(self._runner, config.host, config.port).start()
        self._tasks.append(asyncio.create_task(self._worker.advance()))
        self._tasks.append(asyncio.create_task(self._worker.register()))

    async def close(self) -> None:
        """End this life at once."""
        for task in self._tasks:
            task.cancel()
        self._worker.crash()
        await self._runner.cleanup()


async def _answer_health(_: web.Request) -> web.Response:
    return web.Response()


async def serve(config: Config) -> None:
    """Serve one worker until SIGTERM."""
    server = Server(Worker(config))
    await server.open()
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    await server.close()


def run() -> None:
    """Read the arguments and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    for name in ("id", "pool", "zone", "rack", "store", "events", "host"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--port", type=int, required=True)
    asyncio.run(serve(Config(**vars(parser.parse_args()))))


if __name__ == "__main__":
    run()
