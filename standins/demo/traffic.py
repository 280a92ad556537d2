"""Seeded traffic of callers over all daemons, with every outcome recorded.

The callers run in a thread of their own, so that a scenario may stop, kill and
switch meanwhile. Each caller has a client of its own and a bounded number of
requests. An attempt is named ``REQUEST/ATTEMPT`` in ``X-Caller-Id``, which the
workers log: what ran is known for each attempt.
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
BROKEN = "broken"  # the connection ended before a whole answer
ABANDONED = "left"  # the caller left before the answer
UNCONNECTED = "unconnected"  # no byte was sent

ANSWER_TIMEOUT_SECONDS = 30.0  # seconds after which a caller gives up


class Attempt(NamedTuple):
    """One sending of a request.

    Parameters
    ----------
    request : str
        Names the request; all attempts of one share it.
    attempt : int
    daemon : str
        The daemon that receives it.
    method, service : str
    work : float
        Seconds of work asked of the worker.
    key : str
        Idempotency key; empty without.
    abandon_after : float
        Seconds after which the caller leaves; 0 for never.
    deadline : float
        Seconds; 0 for that of the service.
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
        """The name that the workers log."""
        return f"{self.request}/{self.attempt}"

    @property
    def body(self) -> str:
        """A body that belongs to this request alone."""
        return f"body of {self.request}"


class Outcome(NamedTuple):
    """What the caller of an attempt saw; times in seconds since the epoch."""

    sent: Attempt
    ended: str
    began: float
    took: float
    status: int = 0
    verdict: str = ""
    reason: str = ""
    answer: Mapping[str, Any] = {}


class Mix(NamedTuple):
    """What a caller sends.

    Parameters
    ----------
    services : sequence of str
    works : sequence of float
        Seconds of work, drawn evenly.
    keyed_share : float
        Share of requests that are POST with a key; half of the others are GET.
    duplicate_share : float
        Share of the keyed ones that are sent to two daemons at once.
    abandoned_share : float
        Share of all whose caller leaves early.
    max_pause : float
        Longest pause between requests, seconds.
    max_requests : int
        Most requests of one caller.
    abandon_after : float
        Seconds after which a caller leaves in any case.
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
    """Callers in a thread; `open_traffic` makes it.

    Parameters
    ----------
    portal : anyio.from_thread.BlockingPortal
    find_ports : callable
        Returns the callers' port of every daemon by name, as they are now.
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
        """Send all attempts at once, each as a caller of its own."""
        return [self._portal.start_task_soon(self._send_alone, one) for one in attempts]

    def send_and_wait(self, attempts: Iterable[Attempt]) -> list[Outcome]:
        """Send all attempts at once and return their outcomes."""
        return [one.result() for one in self.send(attempts)]

    def stop(self) -> list[Outcome]:
        """Let the callers finish what they sent; return all outcomes so far."""
        self._stopped = True
        return self.finish()

    def finish(self) -> list[Outcome]:
        """Let the callers send all they were asked; return all outcomes."""
        for one in self._running:
            one.result()
        return list(self.outcomes)

    def wait_for(self, count: int, matching: Callable[[Outcome], bool]) -> None:
        """Wait until ``count`` more outcomes match; bounded by `ANSWER_LIMIT`."""
        before = len(self.outcomes)
        deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
        while sum(bool(matching(one)) for one in self.outcomes[before:]) < count:
            if time.monotonic() > deadline:
                raise RuntimeError(
                    f"no {count} such outcomes in {ANSWER_TIMEOUT_SECONDS} s"
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
        made: list[Outcome] = []
        async with anyio.create_task_group() as group:
            for one in attempts:
                group.start_soon(self._keep, client, one, made)
        if is_keyed and not any(one.verdict == "ran" for one in made):
            other = rng.choice(sorted(self._find_ports()))
            repeat = first._replace(
                attempt=len(attempts), daemon=other, abandon_after=mix.abandon_after
            )
            await self._keep(client, repeat, made)

    async def _keep(
        self, client: httpx.AsyncClient, one: Attempt, made: list[Outcome]
    ) -> None:
        port = self._find_ports().get(one.daemon)
        if port is None:  # taken out since the caller chose it
            outcome = Outcome(one, UNCONNECTED, time.time(), 0.0)
        else:
            outcome = await send(client, port, one)
        made.append(outcome)
        self.outcomes.append(outcome)

    async def _send_alone(self, one: Attempt) -> Outcome:
        made: list[Outcome] = []
        async with _open_client() as client:
            await self._keep(client, one, made)
        return made[0]


@contextlib.contextmanager
def open_traffic(
    find_ports: Callable[[], Mapping[str, int]], seed: int
) -> Iterator[Traffic]:
    """Run callers until the context ends."""
    with anyio.from_thread.start_blocking_portal() as portal:
        traffic = Traffic(portal, find_ports, seed)
        try:
            yield traffic
        finally:
            traffic.stop()


async def send(client: httpx.AsyncClient, port: int, one: Attempt) -> Outcome:
    """Send one attempt and return what its caller saw."""
    headers = {"X-Caller-Id": one.name}
    if one.key:
        headers["Idempotency-Key"] = one.key
    if one.deadline:
        headers["Wigeonhitch-Deadline"] = str(one.deadline)
    url = f"http://127.0.0.1:{port}/{one.service}/run?work={one.work}"
    began, start = time.time(), time.monotonic()
    ended, found = ABANDONED, {}
    try:
        with anyio.move_on_after(one.abandon_after or ANSWER_TIMEOUT_SECONDS):
            response = await client.request(
                one.method, url, headers=headers, content=one.body
            )
            ended, found = ANSWERED, _read(response)
    except (httpx.ConnectError, httpx.ConnectTimeout):
        ended = UNCONNECTED
    except httpx.HTTPError:
        ended = BROKEN
    return Outcome(one, ended, began, time.monotonic() - start, **found)


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
