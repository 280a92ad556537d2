"""Counts of waiting jobs after writes that the store has done late."""

import asyncio
import pathlib
import random
import sys

from review.standins2 import caller as callers
from review.standins2 import case
from review.standins2 import site as sites

FOLDER = pathlib.Path(__file__).resolve().parent
POOLS = {"alpha": 2, "beta": 2, "gamma": 2, "delta": 2, "epsilon": 2}
LOST_SHARE = 0.35
"""Share of the store's writes that are done late, without an answer."""

LATE_SECONDS = (1.0, 6.0)
LOST_FOR_SECONDS = 4.5
EARLY_JOBS = 5
"""Jobs of each queue that come one after the other while answers are lost."""

EARLY_AFTER_SECONDS = 1.2
EARLY_PAUSE_SECONDS = 0.5
BURST_JOBS = 8
"""Jobs of each queue that come together at the end of that time."""

VISIBLE_SECONDS = 3.0 + 2.0
"""`visible_ms` and 2 s."""

ASKED_AFTER_SECONDS = 14.0
"""Time from the first lost answer to the question: the last late write was done 3.5 s
before, and the store has been stable for 9.5 s."""


def make_job() -> dict:
    """Return a job of one task that takes a whole worker until it is cancelled."""
    step = {"count": 1, "cpu": 32000, "mem_mb": 1000, "perpetual": True}
    return {"spec": "night", "steps": [step]}


def make_site(record: sites.Record) -> sites.Site:
    """Return the site; its tasks last."""
    site = sites.Site(record, POOLS, daemons=3)
    site.plan = lambda worker, run: (None, "")
    return site


async def play(site: sites.Site, caller: callers.Caller, has_trouble: bool) -> int:
    """Fill the pools, let the store lose answers, hand jobs in, and ask for counts."""
    rng = random.Random()
    ids: dict[str, list[str]] = {pool: [] for pool in POOLS}
    numbers = iter(range(1, 10_000))

    async def submit(pool: str) -> None:
        id = f"{next(numbers):016x}"
        if await caller.submit(f"q-{pool}", id, make_job(), tries=8) == 200:
            ids[pool].append(id)

    await asyncio.gather(*(submit(pool) for pool in POOLS for _ in range(2)))
    await asyncio.sleep(3.0)
    if has_trouble:
        site.store.decide = lambda body: (
            rng.uniform(*LATE_SECONDS) if rng.random() < LOST_SHARE else ""
        )
        site.record.add("store loses answers", share=LOST_SHARE)
    began = site.record.now()
    users = []
    await asyncio.sleep(EARLY_AFTER_SECONDS)
    for _ in range(EARLY_JOBS):
        await asyncio.sleep(EARLY_PAUSE_SECONDS)
        users.extend(asyncio.ensure_future(submit(pool)) for pool in POOLS)
    await asyncio.sleep(LOST_FOR_SECONDS - (site.record.now() - began))
    users.extend(
        asyncio.ensure_future(submit(p)) for p in POOLS for _ in range(BURST_JOBS)
    )
    site.store.decide = lambda body: ""
    site.record.add("store answers again")
    await asyncio.gather(*users)
    accepted = site.record.now()
    await asyncio.sleep(ASKED_AFTER_SECONDS - (site.record.now() - began))
    if site.record.now() - accepted < VISIBLE_SECONDS:
        return case.COULD_NOT_RUN
    return await judge(site, caller, ids)


async def judge(
    site: sites.Site, caller: callers.Caller, ids: dict[str, list[str]]
) -> int:
    """Return 1 if a daemon shows under half of the jobs that wait."""
    started = {
        event["task"].partition(".")[0]
        for event in site.record.events
        if event["what"] == "start"
    }
    broken = False
    for pool in POOLS:
        waiting = len(set(ids[pool]) - started)
        for daemon in site.daemons:
            status, body = await caller.call("GET", daemon, f"q-{pool}")
            is_short = status == 200 and body["pending"] < waiting / 2
            broken = broken or is_short
            site.record.add(
                "judged",
                daemon=daemon.name,
                queue=f"q-{pool}",
                pending=body.get("pending"),
                waiting=waiting,
                broken=is_short,
            )
    return int(broken)


if __name__ == "__main__":
    sys.exit(
        case.play(
            FOLDER, make_site, [sites.route(f"q-{pool}", pool) for pool in POOLS], play
        )
    )
