"""Callers of one site: seeded, mixed traffic with every outcome recorded."""

import json
import random
import time
from typing import NamedTuple

import anyio
import httpx

from standins.demo import site
from wigeonhitch.front import reply

__all__ = ["Load", "Outcome", "send", "send_load"]


class Load(NamedTuple):
    """Parameters of the callers' requests.

    Parameters
    ----------
    rate : float
        Requests per second over all daemons.
    mean_work : float
        Mean duration of a request's work, in seconds.
    keyed_share : float
        Share of requests that aren't idempotent and carry an idempotency key.
    duplicate_share : float
        Share of keyed requests that are sent twice at the same time.
    deadline : float
        Deadline of each request, in seconds.
    seed : int
    """

    rate: float = 40.0
    mean_work: float = 0.03
    keyed_share: float = 0.4
    duplicate_share: float = 0.1
    deadline: float = 10.0
    seed: int = 1


class Outcome(NamedTuple):
    """Outcome of one request as its caller saw it.

    ``caller`` identifies the request; duplicates of a keyed request share it.
    ``verdict`` is empty if no answer arrived.
    """

    caller: str
    service: str
    keyed: bool
    status: int
    verdict: str
    reason: str
    is_complete: bool
    seconds: float


class _Request(NamedTuple):
    caller: str
    service: str
    keyed: bool
    work: float


async def send(
    client: httpx.AsyncClient, url: str, request: _Request, deadline: float
) -> Outcome:
    """Send one request and record its outcome."""
    headers = {"x-caller-id": request.caller, "wigeonhitch-deadline": str(deadline)}
    body = json.dumps({"of": request.caller}).encode()
    if request.keyed:
        headers["idempotency-key"] = request.caller
    started = time.monotonic()
    try:
        answer = await client.request(
            "POST" if request.keyed else "GET",
            f"{url}/{request.service}/task?work={request.work:.4f}",
            headers=headers,
            content=body if request.keyed else b"",
            timeout=deadline + 5,
        )
    except httpx.HTTPError as error:
        elapsed = time.monotonic() - started
        name = type(error).__name__
        return Outcome(
            request.caller, request.service, request.keyed, 0, "", name, False, elapsed
        )
    is_complete = False
    if answer.status_code == 200:
        echoed = answer.json()
        is_complete = echoed["caller"] == request.caller and (
            not request.keyed or echoed["echo"] == body.decode()
        )
    return Outcome(
        request.caller,
        request.service,
        request.keyed,
        answer.status_code,
        answer.headers.get(reply.VERDICT_HEADER, ""),
        answer.headers.get(reply.REASON_HEADER, ""),
        is_complete,
        time.monotonic() - started,
    )


async def send_load(
    target: site.Site, load: Load, stopped: anyio.Event
) -> list[Outcome]:
    """Send requests at the load's rate until ``stopped``; return all outcomes."""
    rng = random.Random(load.seed)
    services = [service.name for service in target.intended.services]
    outcomes: list[Outcome] = []

    async def run(client: httpx.AsyncClient, url: str, request: _Request) -> None:
        outcomes.append(await send(client, url, request, load.deadline))

    async with (
        httpx.AsyncClient(trust_env=False) as client,
        anyio.create_task_group() as group,
    ):
        request_count = 0
        while not stopped.is_set():
            request_count += 1
            request = _Request(
                f"{load.seed}-{request_count}",
                rng.choice(services),
                rng.random() < load.keyed_share,
                rng.expovariate(1 / load.mean_work),
            )
            urls = [
                f"http://127.0.0.1:{daemon.callers}"
                for daemon in target.daemons.values()
            ]
            group.start_soon(run, client, rng.choice(urls), request)
            if request.keyed and rng.random() < load.duplicate_share:
                group.start_soon(run, client, rng.choice(urls), request)
            await anyio.sleep(rng.expovariate(load.rate))
    return outcomes
