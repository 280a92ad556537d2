"""Worker stand-in as a process: ``python -m standins.worker``.

One process serves many workers, each on its own port. A worker has eight slots;
it runs requests that take a given number of seconds, and logs all executions,
which is the ground truth of all checks. SIGTERM stops it.
"""

import argparse
import json
import time
import urllib.parse
from typing import Any, NamedTuple

import anyio

from standins import serving

__all__ = ["Application", "Switches", "Worker", "run"]

DEFAULT_SLOTS = 8  # requests that a worker runs concurrently
NOT_RUN = (b"wigeonhitch-verdict", b"not run")


class Switches(NamedTuple):
    """Faults of one worker, set by ``POST /standin/switch``.

    Parameters
    ----------
    slow : float
        Factor on the duration of the work.
    frozen : bool
        Requests start and continue only once this is switched off, as in a process
        that is stopped and continued.
    fail : bool
        Requests run and are answered with 500.
    late : float
        Delay between the end of the work and the answer, in seconds.
    partial : bool
        The connection is aborted in the middle of the answer.
    queue : bool
        Requests beyond the slots are queued in the worker instead of refused.
    """

    slow: float = 1.0
    frozen: bool = False
    fail: bool = False
    late: float = 0.0
    partial: bool = False
    queue: bool = False


class Run(NamedTuple):
    """One execution in the log; ``ended`` is 0 while it runs."""

    run: int
    key: str
    path: str
    worker: str
    started: float
    ended: float
    outcome: str


class Worker:
    """State of one worker."""

    def __init__(self, name: str, slots: int = DEFAULT_SLOTS) -> None:
        self.name = name
        self.switches = Switches()
        self.unfrozen = anyio.Event()
        self.slots = anyio.CapacityLimiter(slots)
        self.log: list[Run] = []
        self.scopes: dict[int, anyio.CancelScope] = {}
        self.rebooting_until = 0.0
        self.refused = 0
        self.connections: dict[Any, float] = {}

    def switch(self, switches: Switches) -> None:
        """Set the faults; frozen requests continue once ``frozen`` is switched off."""
        self.switches = switches
        if not switches.frozen:
            self.unfrozen.set()
            self.unfrozen = anyio.Event()

    @property
    def is_rebooting(self) -> bool:
        """Whether the VM is currently rebooting."""
        return time.monotonic() < self.rebooting_until

    def begin(self, key: str, path: str) -> int:
        """Log the start of an execution and return its number."""
        number = len(self.log)
        self.log.append(Run(number, key, path, self.name, time.time(), 0.0, "running"))
        return number

    def end(self, number: int, outcome: str) -> None:
        """Log the end of an execution."""
        run = self.log[number]
        if run.outcome == "running":
            self.log[number] = run._replace(ended=time.time(), outcome=outcome)

    def reboot(self, seconds: float) -> int:
        """Simulate a reboot; return the number of interrupted requests."""
        running = [run.run for run in self.log if run.outcome == "running"]
        for number in running:
            self.end(number, "cut off")
            self.scopes[number].cancel()
        self.rebooting_until = time.monotonic() + seconds
        return len(running)


class Application:
    """ASGI application that serves all workers of the process by port."""

    def __init__(self, workers: dict[int, Worker]) -> None:
        self._workers = workers

    async def __call__(self, scope: dict, receive: Any, send: Any) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            await serving.serve_lifespan(receive, send)
        if scope["type"] != "http":
            return
        worker = self._workers[scope["server"][1]]
        worker.connections[scope["client"]] = time.monotonic()
        body = await serving.read_body(receive)
        path = scope["path"]
        if path.startswith("/standin/"):
            await _answer_json(send, 200, _control(worker, path, body))
        elif worker.is_rebooting:
            await _answer_json(send, 503, {"error": "rebooting"}, (NOT_RUN,))
        elif path == "/health":
            await _answer_json(send, 200, {"worker": worker.name})
        else:
            await _serve_request(worker, scope, body, send)


async def _serve_request(worker: Worker, scope: dict, body: bytes, send: Any) -> None:
    switches = worker.switches
    if not switches.queue and worker.slots.available_tokens == 0:
        worker.refused += 1
        await _answer_json(send, 503, {"error": "all slots are taken"}, (NOT_RUN,))
        return
    headers = {key.lower(): value.decode() for key, value in scope["headers"]}
    async with worker.slots:
        number = worker.begin(headers.get(b"x-caller-id", ""), scope["path"])
        with anyio.CancelScope() as cancel:
            worker.scopes[number] = cancel
            try:
                await _run_work(worker, scope["query_string"])
            except anyio.get_cancelled_exc_class():
                worker.end(number, "left")
                raise
            finally:
                del worker.scopes[number]
        if cancel.cancelled_caught:
            raise ConnectionAbortedError("the VM is rebooting")
        worker.end(number, "failed" if switches.fail else "done")
    await anyio.sleep(switches.late)
    answer = {
        "worker": worker.name,
        "run": number,
        "caller": headers.get(b"x-caller-id", ""),
        "echo": body.decode("utf-8", "replace"),
    }
    if switches.partial:
        await _answer_partially(send, answer)
    await _answer_json(send, 500 if switches.fail else 200, answer)


async def _run_work(worker: Worker, query: bytes) -> None:
    fields = urllib.parse.parse_qs(query.decode())
    while worker.switches.frozen:
        await worker.unfrozen.wait()
    await anyio.sleep(float(fields.get("work", ["0"])[0]) * worker.switches.slow)


def _control(worker: Worker, path: str, body: bytes) -> Any:
    fields = json.loads(body or b"{}")
    if path == "/standin/switch":
        worker.switch(Switches(**fields))
    elif path == "/standin/reboot":
        return {"cut": worker.reboot(float(fields.get("seconds", 1.0)))}
    elif path == "/standin/log":
        return {
            "log": [run._asdict() for run in worker.log],
            "refused": worker.refused,
            "connections": len(worker.connections),
        }
    return {"worker": worker.name}


async def _answer_json(
    send: Any, status: int, value: Any, extra: tuple[tuple[bytes, bytes], ...] = ()
) -> None:
    data = json.dumps(value).encode()
    headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(data)).encode()),
        *extra,
    ]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": data})


async def _answer_partially(send: Any, value: Any) -> None:
    data = json.dumps(value).encode()
    headers = [(b"content-length", str(len(data)).encode())]
    await send({"type": "http.response.start", "status": 200, "headers": headers})
    half = data[: len(data) // 2]
    await send({"type": "http.response.body", "body": half, "more_body": True})
    raise ConnectionAbortedError(
        "connection aborted on purpose in the middle of an answer"
    )


def run() -> None:
    """Run the workers named as ``NAME=PORT`` on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("worker", nargs="+", help="NAME=PORT")
    parser.add_argument("--slots", type=int, default=DEFAULT_SLOTS)
    parsed = parser.parse_args()
    workers = {}
    for text in parsed.worker:
        name, port = text.split("=")
        workers[int(port)] = Worker(name, parsed.slots)
    anyio.run(serving.serve, Application(workers), list(workers))


if __name__ == "__main__":
    run()
