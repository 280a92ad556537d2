"""All workers of a rack crash, and are started again under the ids that they had.

Exits with 1 if the rule LOST was broken, 0 if it held and 2 if the case couldn't run.
"""

import asyncio
import pathlib

from review.support import case, checks, site

BEFORE_SECONDS, AFTER_SECONDS = 8.0, 12.0
DOWN_SECONDS = 4.0
WATCH_SECONDS = 4.0


async def disturb(deployment: site.Site, crashes: list[case.Crash]) -> None:
    """Crash all workers, which are in one rack; they are back after four seconds."""
    await asyncio.sleep(BEFORE_SECONDS)
    for worker in deployment.workers:
        crashes.append(case.crash_worker(deployment, worker))
    await asyncio.sleep(DOWN_SECONDS)
    for worker in deployment.workers:
        worker.start()


async def play(folder: pathlib.Path, has_trouble: bool) -> case.Play:
    """Play the case."""
    seconds = BEFORE_SECONDS + DOWN_SECONDS + AFTER_SECONDS
    return await case.play(
        folder,
        seconds,
        disturb if has_trouble else None,
        WATCH_SECONDS,
        parameters=case.TATRA,
        tolerated=2,
    )


def check(played: case.Play) -> list[str]:
    """Return the breaches of LOST."""
    return checks.check_idle(played)


if __name__ == "__main__":
    case.run(__file__, play, check)
