"""Counts of waiting jobs after a configuration has sent their queue elsewhere."""

import asyncio
import pathlib
import sys

from review.standins2 import caller as callers
from review.standins2 import case
from review.standins2 import site as sites

FOLDER = pathlib.Path(__file__).resolve().parent
POOLS = {"alpha": 2, "beta": 2}
WAITING_JOBS = 12
VISIBLE_SECONDS = 3.0 + 2.0
"""`visible_ms` and 2 s."""

MOVED_AFTER_SECONDS = 6.5
ASKED_AFTER_SECONDS = 9.2


def make_job(seconds: float) -> dict:
    """Return a job of one task that takes a whole worker."""
    step = {
        "count": 1,
        "cpu": 32000,
        "mem_mb": 1000,
        "estimate_ms": int(seconds * 1000),
    }
    return {"spec": f"{seconds}", "steps": [step]}


def make_site(record: sites.Record) -> sites.Site:
    """Return the site; a job's text tells how long its task takes."""
    site = sites.Site(record, POOLS, daemons=3)
    site.plan = lambda worker, run: (float(run.body["spec"]), "done")
    return site


async def play(site: sites.Site, caller: callers.Caller, has_trouble: bool) -> int:
    """Ask for the count, hand jobs in, change the configuration, and ask again."""
    for daemon in site.daemons:
        status, _ = await caller.call("GET", daemon, "match")
        if status != 200:
            return 2
    began = site.record.now()
    ids = [f"{number:016x}" for number in range(1, WAITING_JOBS + 1)]
    for id in ids:
        if await caller.submit("match", id, make_job(30.0)) != 200:
            return 2
    accepted = site.record.now()
    await asyncio.sleep(MOVED_AFTER_SECONDS - (site.record.now() - began))
    if has_trouble:
        routes = [sites.route("match", "beta"), sites.route("peek", "beta")]
        site.configure(routes, list(POOLS))
    await asyncio.sleep(ASKED_AFTER_SECONDS - (site.record.now() - began))
    broken = False
    for daemon in site.daemons:
        status, body = await caller.call("GET", daemon, "match")
        started = {
            event["task"].partition(".")[0]
            for event in site.record.events
            if event["what"] == "start"
        }
        waiting = len(set(ids) - started)
        is_old = site.record.now() - accepted > VISIBLE_SECONDS
        is_short = status == 200 and body["pending"] < waiting / 2
        site.record.add(
            "judged",
            daemon=daemon.name,
            pending=body.get("pending"),
            waiting=waiting,
            broken=is_old and is_short,
        )
        broken = broken or (is_old and is_short)
    return int(broken)


if __name__ == "__main__":
    sys.exit(
        case.play(
            FOLDER,
            make_site,
            [sites.route("match", "alpha"), sites.route("peek", "beta")],
            play,
        )
    )
