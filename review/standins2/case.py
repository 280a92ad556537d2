"""What all cases share: the start of a site, and the status of the script."""

import asyncio
import os
import pathlib
import signal
from collections.abc import Awaitable, Callable

from review.standins2 import caller as callers
from review.standins2 import site as sites

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

SETTLE_SECONDS = 4.0
"""Time from the readiness of all daemons to the first call: the pools are led."""

STATUS_TEXTS = {
    HELD: "the rule held",
    BROKEN: "the rule was broken",
    COULD_NOT_RUN: "the case couldn't run",
}

Play = Callable[[sites.Site, callers.Caller, bool], Awaitable[int]]


def has_trouble() -> bool:
    """Return whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(
    folder: pathlib.Path,
    make_site: Callable[[sites.Record], sites.Site],
    routes: list[dict],
    play_case: Play,
) -> int:
    """Play a case and return the status of the script.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, which gets the record.
    make_site : callable
        Makes the site.
    routes : list of dict
        Routes of the first configuration.
    play_case : callable
        Plays and judges the case; takes the site, a caller, and whether the
        disruption is played.
    """
    record = sites.Record(folder / "record.txt")
    try:
        status = asyncio.run(_run(make_site(record), routes, play_case))
    except (OSError, asyncio.CancelledError) as error:
        record.add("couldn't run", error=repr(error))
        status = COULD_NOT_RUN
    record.add("ended", status=status)
    record.close()
    print(STATUS_TEXTS[status])
    return status


async def _run(site: sites.Site, routes: list[dict], play_case: Play) -> int:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    async with site:
        pools = list(dict.fromkeys(machine.pool for machine in site.machines))
        site.configure(routes, pools)
        for daemon in site.daemons:
            daemon.start()
        caller = callers.Caller(site)
        try:
            if not await caller.await_ready():
                return COULD_NOT_RUN
            await asyncio.sleep(SETTLE_SECONDS)
            return await play_case(site, caller, has_trouble())
        finally:
            await caller.close()
