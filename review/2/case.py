"""A worker is lost for good, and a gang that needs its room waits for it.

Exits with 1 if the rule LOST was broken, 0 if it held and 2 if the case couldn't run.
"""

import asyncio
import json
import pathlib
import time

from review.support import caller, case, checks, site

BEFORE_SECONDS, AFTER_SECONDS = 12.0, 12.0
GANG_AT_SECONDS = 8.0
GANG_TASKS, GANG_CPU = 98, 500
GANG_MS, GANG_ESTIMATE_MS = 12_000, 30_000
WATCH_SECONDS = 4.0

GANG = {
    "spec": json.dumps({"ms": GANG_MS, "gang": GANG_TASKS}),
    "steps": [
        {
            "count": GANG_TASKS,
            "cpu": GANG_CPU,
            "mem_mb": 256,
            "estimate_ms": GANG_ESTIMATE_MS,
            "gang": True,
        }
    ],
}
"""It fits on seven workers of 8,000 millicores each, and not on six."""


async def disturb(deployment: site.Site, crashes: list[case.Crash]) -> None:
    """Lose one worker for good."""
    await asyncio.sleep(BEFORE_SECONDS)
    lost = deployment.workers[-1]
    crashes.append(case.Crash(time.time(), lost.id, lost.born))
    await lost.close()


async def submit_gang(callers: caller.Callers) -> None:
    """Submit the gang's job to the queue with the higher priority."""
    await asyncio.sleep(GANG_AT_SECONDS)
    await callers.submit_one(GANG, site.FIRST_PREFIX, seconds=1.0)


async def play(folder: pathlib.Path, has_trouble: bool) -> case.Play:
    """Play the case."""
    return await case.play(
        folder,
        BEFORE_SECONDS + AFTER_SECONDS,
        disturb if has_trouble else None,
        WATCH_SECONDS,
        submit_gang,
        parameters=case.ALTIPLANO,
        tolerated=1,
        are_workers_local=True,
    )


def check(played: case.Play) -> list[str]:
    """Return the breaches of LOST."""
    return checks.check_idle(played)


if __name__ == "__main__":
    case.run(__file__, play, check)
