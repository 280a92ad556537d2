"""A lasting job that is cancelled, and accepted by the store after that."""

import asyncio
import pathlib
import random
import sys

from review.standins2 import caller as callers
from review.standins2 import case
from review.standins2 import site as sites

FOLDER = pathlib.Path(__file__).resolve().parent
POOL = "alpha"
LOST_SHARE = 0.3
"""Share of the store's writes that are done late, without an answer."""

LATE_SECONDS = (1.0, 6.0)
LOST_FOR_SECONDS = 4.5
JOBS = 60
CONTACT_SECONDS = 3.0
CANCEL_SECONDS = 3.0
KILL_GRACE_SECONDS = 0.2
ACK_SECONDS = 4.0


def make_job() -> dict:
    """Return a job of one small task that lasts until it is cancelled."""
    step = {"count": 1, "cpu": 500, "mem_mb": 100, "perpetual": True}
    return {"spec": "ledger", "steps": [step]}


def make_site(record: sites.Record) -> sites.Site:
    """Return the site; its tasks last."""
    site = sites.Site(record, {POOL: 6}, daemons=3)
    site.plan = lambda worker, run: (None, "")
    return site


async def play(site: sites.Site, caller: callers.Caller, has_trouble: bool) -> int:
    """Hand jobs in while the store loses answers; cancel each one that got none."""
    rng = random.Random(6)
    cancelled: dict[str, float] = {}
    accepted: list[str] = []

    def decide(body: dict) -> str | float:
        return rng.uniform(*LATE_SECONDS) if rng.random() < LOST_SHARE else ""

    async def use(number: int) -> None:
        id = f"{number:016x}"
        daemon = site.daemons[number % len(site.daemons)]
        status, _ = await caller.call("POST", daemon, "ledger", id, make_job())
        if status == 200:
            accepted.append(id)
            return
        if status not in (0, 502, 504):
            return
        # The client doesn't know whether the job was accepted, and gives it up.
        for other in (*site.daemons, *site.daemons):
            status, _ = await caller.call("DELETE", other, "ledger", id)
            if status in (200, 410):
                cancelled[id] = site.record.now()
                return
            await asyncio.sleep(0.3)

    if has_trouble:
        site.store.decide = decide
        site.record.add("store loses answers", share=LOST_SHARE)
    users = []
    for number in range(1, JOBS + 1):
        users.append(asyncio.ensure_future(use(number)))
        await asyncio.sleep(LOST_FOR_SECONDS / JOBS)
    site.store.decide = lambda body: ""
    stable_from = site.record.now() + CONTACT_SECONDS
    site.record.add("store answers again")
    await asyncio.gather(*users)
    # The last late write, the span after which machines are in touch, and some more.
    await asyncio.sleep(LATE_SECONDS[1] + CONTACT_SECONDS + ACK_SECONDS)
    return judge(site, cancelled, stable_from)


def judge(site: sites.Site, cancelled: dict[str, float], stable_from: float) -> int:
    """Return 1 if a cancelled job was started late, or runs on."""
    late, running = [], set()
    for event in site.record.events:
        id = event.get("task", "").partition(".")[0]
        if id not in cancelled:
            continue
        if event["what"] == "start":
            running.add(id)
            if event["t"] > max(cancelled[id] + CANCEL_SECONDS, stable_from):
                late.append(id)
        elif event["what"] == "end":
            running.discard(id)
    now = site.record.now()
    since = {id: max(at, stable_from) for id, at in cancelled.items()}
    bound = CANCEL_SECONDS + KILL_GRACE_SECONDS
    on = sorted(id for id in running if now > since[id] + bound)
    site.record.add(
        "judged", cancelled=len(cancelled), started_late=late, running_on=on
    )
    print(site.record.events[-1])
    return int(bool(late or on))


if __name__ == "__main__":
    sys.exit(case.play(FOLDER, make_site, [sites.route("ledger", POOL)], play))
