"""Seeded traffic of callers over all daemons, with every outcome recorded.

The callers run in a separate thread, so that a test can inject faults meanwhile.
Each caller has its own client and sends a bounded number of requests. An attempt
is identified by ``REQUEST/ATTEMPT`` in ``X-Caller-Id``, which the workers log, so
that executions can be attributed to attempts.
"""

import contextlib
import random
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from concurrent import futures
from typing import Any, NamedTuple

import anyio
import anyio.from_thread
import httpx

__all__ = [
    "ANSWERED",
    "BROKEN",
    "ABANDONED",
    "UNCONNECTED",
    "Attempt",
    "Mix",
    "Outcome",
]
__all__ += ["Traffic", "open_traffic"]

ANSWERED = "answered"
BROKEN = "broken"  # the connection ended before the answer was complete
ABANDONED = "left"  # the caller left before the answer
UNCONNECTED = "unconnected"  # no byte was sent

ANSWER_TIMEOUT_SECONDS = 30.0


class Attempt(NamedTuple):
    """One attempt to send a request.

    Parameters
    ----------
    request : str
        Identifies the request; all its attempts share it.
    attempt : int
    daemon : str
        Name of the daemon that the attempt is sent to.
    method, service : str
    work : float
        Seconds that the worker takes for the request.
    key : str
        Idempotency key; empty for a request without one.
    abandon_after : float
        Seconds after which the caller disconnects; 0 for never.
    deadline : float
        Seconds; 0 for the deadline of the service.
    """

    request: str
    attempt: int
    daemon: str
    method: str
    service: str
    work: float = 0.0
    key: str = ""
    abandon_after: float = 0.0
    deadline: float = 0.0

    @property
    def name(self) -> str:
        """Identifier of the attempt in the workers' logs."""
        return f"{self.request}/{self.attempt}"

    @property
    def body(self) -> str:
        """Body that is unique to this request."""
        return f"body of {self.request}"


class Outcome(NamedTuple):
    """Outcome of an attempt as its caller saw it.

    ``began`` is in seconds since the epoch, ``took`` in seconds.
    """

    sent: Attempt
    ended: str
    began: float
    took: float
    status: int = 0
    verdict: str = ""
    reason: str = ""
    answer: Mapping[str, Any] = {}


class Mix(NamedTuple):
    """Distribution of the requests of a caller.

    Parameters
    ----------
    services : sequence of str
    works : sequence of float
        Seconds of work, drawn uniformly.
    keyed_share : float
        Share of requests that are POST with a key; half of the others are GET.
    duplicate_share : float
        Share of keyed requests that are sent twice at the same time.
    abandoned_share : float
        Share of requests whose caller disconnects within 50 ms.
    max_pause : float
        Maximum pause between requests, in seconds.
    max_requests : int
        Maximum number of requests of one caller.
    abandon_after : float
        Seconds after which the caller of any other request disconnects.
    """

    services: Sequence[str]
    works: Sequence[float] = (0.0, 0.01, 0.05)
    keyed_share: float = 0.4
    duplicate_share: float = 0.3
    abandoned_share: float = 0.05
    max_pause: float = 0.02
    max_requests: int = 400
    abandon_after: float = 3.0


class Traffic:
    """Callers in a thread, created by `open_traffic`.

    Parameters
    ----------
    portal : anyio.from_thread.BlockingPortal
    find_ports : callable
        Returns the current callers' port of every daemon, by name.
    seed : int
    """

    def __init__(
        self, portal: Any, find_ports: Callable[[], Mapping[str, int]], seed: int
    ) -> None:
        self._portal = portal
        self._find_ports = find_ports
        self._seed = seed
        self._stopped = False
        self._running: list[futures.Future] = []
        self.outcomes: list[Outcome] = []

    def start(self, callers: int, mix: Mix) -> None:
        """Start callers that draw their requests from ``mix``."""
        for _ in range(callers):
            number = len(self._running)
            self._running.append(
                self._portal.start_task_soon(self._run_caller, number, mix)
            )

    def send(self, attempts: Iterable[Attempt]) -> list[futures.Future]:
        """Send all attempts concurrently, each by a separate caller."""
        return [
            self._portal.start_task_soon(self._send_alone, attempt)
            for attempt in attempts
        ]

    def send_and_wait(self, attempts: Iterable[Attempt]) -> list[Outcome]:
        """Send all attempts concurrently and return their outcomes."""
        return [future.result() for future in self.send(attempts)]

    def stop(self) -> list[Outcome]:
        """Stop the callers after their current requests; return all outcomes."""
        self._stopped = True
        return self.finish()

    def finish(self) -> list[Outcome]:
        """Wait until the callers have sent all their requests; return all outcomes."""
        for future in self._running:
            future.result()
        return list(self.outcomes)

    def wait_for(self, count: int, matching: Callable[[Outcome], bool]) -> None:
        """Wait until ``count`` more outcomes match, up to `ANSWER_TIMEOUT_SECONDS`."""
        before = len(self.outcomes)
        deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
        while (
            sum(bool(matching(outcome)) for outcome in self.outcomes[before:]) < count
        ):
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"not {count} matching outcomes in {ANSWER_TIMEOUT_SECONDS} s"
                )
            time.sleep(0.02)

    async def _run_caller(self, number: int, mix: Mix) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        async with _open_client() as client:
            for index in range(mix.max_requests):
                if self._stopped:
                    return
                await self._run_request(client, rng, mix, f"{number}-{index}")
                await anyio.sleep(rng.uniform(0, mix.max_pause))

    async def _run_request(
        self, client: httpx.AsyncClient, rng: random.Random, mix: Mix, name: str
    ) -> None:
        is_keyed = rng.random() < mix.keyed_share
        first = Attempt(
            f"{self._seed}-{name}",
            0,
            rng.choice(sorted(self._find_ports())),
            "POST" if is_keyed or rng.random() < 0.5 else "GET",
            rng.choice(mix.services),
            rng.choice(mix.works),
            key=f"key-{self._seed}-{name}" if is_keyed else "",
            abandon_after=rng.uniform(0.001, 0.05)
            if rng.random() < mix.abandoned_share
            else mix.abandon_after,
        )
        attempts = [first]
        if is_keyed and rng.random() < mix.duplicate_share:
            other = rng.choice(sorted(self._find_ports()))
            attempts.append(
                first._replace(attempt=1, daemon=other, abandon_after=mix.abandon_after)
            )
        outcomes: list[Outcome] = []
        async with anyio.create_task_group() as group:
            for attempt in attempts:
                group.start_soon(self._send_and_record, client, attempt, outcomes)
        if is_keyed and not any(outcome.verdict == "ran" for outcome in outcomes):
            other = rng.choice(sorted(self._find_ports()))
            repeat = first._replace(
                attempt=len(attempts), daemon=other, abandon_after=mix.abandon_after
            )
            await self._send_and_record(client, repeat, outcomes)

    async def _send_and_record(
        self, client: httpx.AsyncClient, attempt: Attempt, outcomes: list[Outcome]
    ) -> None:
        port = self._find_ports().get(attempt.daemon)
        if port is None:  # removed since the caller chose it
            outcome = Outcome(attempt, UNCONNECTED, time.time(), 0.0)
        else:
            outcome = await send(client, port, attempt)
        outcomes.append(outcome)
        self.outcomes.append(outcome)

    async def _send_alone(self, attempt: Attempt) -> Outcome:
        outcomes: list[Outcome] = []
        async with _open_client() as client:
            await self._send_and_record(client, attempt, outcomes)
        return outcomes[0]


@contextlib.contextmanager
def open_traffic(
    find_ports: Callable[[], Mapping[str, int]], seed: int
) -> Iterator[Traffic]:
    """Run callers until the context exits."""
    with anyio.from_thread.start_blocking_portal() as portal:
        traffic = Traffic(portal, find_ports, seed)
        try:
            yield traffic
        finally:
            traffic.stop()


async def send(client: httpx.AsyncClient, port: int, attempt: Attempt) -> Outcome:
    """Send one attempt and return its outcome."""
    headers = {"X-Caller-Id": attempt.name}
    if attempt.key:
        headers["Idempotency-Key"] = attempt.key
    if attempt.deadline:
        headers["Wigeonhitch-Deadline"] = str(attempt.deadline)
    url = f"http://127.0.0.1:{port}/{attempt.service}/run?work={attempt.work}"
    began, start = time.time(), time.monotonic()
    ended, fields = ABANDONED, {}
    try:
        with anyio.move_on_after(attempt.abandon_after or ANSWER_TIMEOUT_SECONDS):
            response = await client.request(
                attempt.method, url, headers=headers, content=attempt.body
            )
            ended, fields = ANSWERED, _read(response)
    except (httpx.ConnectError, httpx.ConnectTimeout):
        ended = UNCONNECTED
    except httpx.HTTPError:
        ended = BROKEN
    return Outcome(attempt, ended, began, time.monotonic() - start, **fields)


def _read(response: httpx.Response) -> dict[str, Any]:
    try:
        answer = response.json()
    except ValueError:
        answer = {}
    return {
        "status": response.status_code,
        "verdict": response.headers.get("Wigeonhitch-Verdict", ""),
        "reason": response.headers.get("Wigeonhitch-Reason", ""),
        "answer": answer,
    }


def _open_client() -> httpx.AsyncClient:
    return httpx.AsyncClient(
        trust_env=False, verify=False, timeout=ANSWER_TIMEOUT_SECONDS
    )
