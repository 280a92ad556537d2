"""Workers crash one at a time and are started again under the ids that they had.

Exits with 1 if the rule TWICE was broken, 0 if it held and 2 if the case couldn't run.
"""

import asyncio
import pathlib

from review.support import case, checks, site

BEFORE_SECONDS, AFTER_SECONDS = 12.0, 14.0
CRASHES, INTERVAL_SECONDS = 3, 3.0


async def disturb(deployment: site.Site, crashes: list[case.Crash]) -> None:
    """Crash three workers in turn; each is started again after half a second."""
    await asyncio.sleep(BEFORE_SECONDS)
    for worker in deployment.workers[:CRASHES]:
        crashes.append(case.crash_worker(deployment, worker))
        await asyncio.sleep(site.RESTART_SECONDS)
        worker.start()
        await asyncio.sleep(INTERVAL_SECONDS - site.RESTART_SECONDS)


async def play(folder: pathlib.Path, has_trouble: bool) -> case.Play:
    """Play the case."""
    seconds = BEFORE_SECONDS + CRASHES * INTERVAL_SECONDS + AFTER_SECONDS
    return await case.play(
        folder,
        seconds,
        disturb if has_trouble else None,
        parameters=case.TATRA,
        tolerated=2,
    )


def check(played: case.Play) -> list[str]:
    """Return the breaches of TWICE."""
    return checks.check_twice(played.deployment.read_events(), played.crashes)


if __name__ == "__main__":
    case.run(__file__, play, check)
