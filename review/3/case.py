"""The workers that a queue's policy allows crash, and are back under new ids.

Exits with 1 if the rule LOST was broken, 0 if it held and 2 if the case couldn't run.
"""

import asyncio
import json
import pathlib
import random
import time
from typing import Any

from review.support import caller, case, checks, site

BEFORE_SECONDS, AFTER_SECONDS = 10.0, 12.0
DOWN_SECONDS = 2.0
WATCH_SECONDS = 4.0
WORKERS = 36
TASKS, TASK_MS = 2, 540


def make_body(rng: random.Random) -> dict[str, Any]:
    """Return a job of a queue with a policy."""
    step = {"count": TASKS, "cpu": 500, "mem_mb": 256, "estimate_ms": TASK_MS}
    return {"spec": json.dumps({"ms": TASK_MS, "advised": True}), "steps": [step]}


async def disturb(deployment: site.Site, crashes: list[case.Crash]) -> None:
    """Crash the allowed workers; they are back with new ids after two seconds."""
    await asyncio.sleep(BEFORE_SECONDS)
    allowed = deployment.workers[: site.ADVISED_MACHINES]
    for worker in allowed:
        crashes.append(case.Crash(time.time(), worker.id, worker.born))
        await worker.close()
    await asyncio.sleep(DOWN_SECONDS)
    for number, worker in enumerate(allowed):
        await worker.open(f"i-{0xC000 + number:04x}")


async def submit(callers: caller.Callers) -> None:
    """Submit one job a second to the queue with a policy."""
    seconds = BEFORE_SECONDS + DOWN_SECONDS + AFTER_SECONDS
    await callers.submit_for(seconds, 1.0, make_body, site.ADVISED_PREFIX)


async def play(folder: pathlib.Path, has_trouble: bool) -> case.Play:
    """Play the case."""
    return await case.play(
        folder,
        0.0,
        disturb if has_trouble else None,
        WATCH_SECONDS,
        submit,
        parameters=case.ALTIPLANO_GROWN,
        tolerated=2,
        are_workers_local=True,
        workers=WORKERS,
    )


def check(played: case.Play) -> list[str]:
    """Return the breaches of LOST."""
    return checks.check_idle(played)


if __name__ == "__main__":
    case.run(__file__, play, check)
