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
    """What callers send.

    Parameters
    ----------
    rate : float
        Requests a second over all daemons.
    work : float
        Mean seconds of work of a request.
    share_keyed : float
        Share that is non-idempotent and carries an idempotency key.
    share_repeated : float
        Share of the keyed ones that are sent again at another daemon at once.
    deadline : float
        Seconds that callers give their requests.
    seed : int
    """

    rate: float = 40.0
    work: float = 0.03
    share_keyed: float = 0.4
    share_repeated: float = 0.1
    deadline: float = 10.0
    seed: int = 1


class Outcome(NamedTuple):
    """What one caller got.

    ``caller`` names the request; all repeats of a keyed request share it.
    ``verdict`` is empty when no answer came at all.
    """

    caller: str
    service: str
    keyed: bool
    status: int
    verdict: str
    reason: str
    whole: bool
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
    began = time.monotonic()
    try:
        answer = await client.request(
            "POST" if request.keyed else "GET",
            f"{url}/{request.service}/task?work={request.work:.4f}",
            headers=headers,
            content=body if request.keyed else b"",
            timeout=deadline + 5,
        )
    except httpx.HTTPError as error:
        took = time.monotonic() - began
        name = type(error).__name__
        return Outcome(
            request.caller, request.service, request.keyed, 0, "", name, False, took
        )
    whole = False
    if answer.status_code == 200:
        given = answer.json()
        whole = given["caller"] == request.caller and (
            not request.keyed or given["echo"] == body.decode()
        )
    return Outcome(
        request.caller,
        request.service,
        request.keyed,
        answer.status_code,
        answer.headers.get(reply.VERDICT_HEADER, ""),
        answer.headers.get(reply.REASON_HEADER, ""),
        whole,
        time.monotonic() - began,
    )


async def send_load(at: site.Site, load: Load, stopped: anyio.Event) -> list[Outcome]:
    """Send requests at the load's rate until ``stopped``; return all outcomes."""
    rng = random.Random(load.seed)
    services = [one.name for one in at.intended.services]
    urls = [f"http://127.0.0.1:{one.callers}" for one in at.daemons.values()]
    outcomes: list[Outcome] = []

    async def run(client: httpx.AsyncClient, url: str, request: _Request) -> None:
        outcomes.append(await send(client, url, request, load.deadline))

    async with (
        httpx.AsyncClient(trust_env=False) as client,
        anyio.create_task_group() as group,
    ):
        number = 0
        while not stopped.is_set():
            number += 1
            request = _Request(
                f"{load.seed}-{number}",
                rng.choice(services),
                rng.random() < load.share_keyed,
                rng.expovariate(1 / load.work),
            )
            group.start_soon(run, client, rng.choice(urls), request)
            if request.keyed and rng.random() < load.share_repeated:
                group.start_soon(run, client, rng.choice(urls), request)
            await anyio.sleep(rng.expovariate(load.rate))
    return outcomes
