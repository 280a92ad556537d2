"""Following of one table in the platform's store."""

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio

from wigeonhitch.platform import rows, table

__all__ = ["FollowTiming", "follow", "read_parts"]


class FollowTiming(NamedTuple):
    """Seconds of one follower."""

    wait: float
    """For which a feed waits; a silent connection is found after it."""
    timeout: float
    """After which a feed's call counts as lost."""
    retry: float
    """Between tries of a call that failed."""
    pause: float = 0.0
    """Between an answer and the next call."""


def _always() -> bool:
    return True


def _leave(version: int) -> None:
    pass


async def follow(
    store: rows.RowStore,
    name: str,
    read_all: Callable[[], Awaitable[int]],
    take: Callable[[tuple[rows.Row, ...]], None],
    times: FollowTiming,
    is_wanted: Callable[[], bool] = _always,
    note: Callable[[int], None] = _leave,
) -> None:
    """Read a table, then follow its changes, until cancelled.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    name : str
        The table.
    read_all : callable
        Reads what is there; returns the version to follow from, or 0 when it
        couldn't be read. Called again when the store's history is dropped.
    take : callable
        Takes the changed rows of each answer, also when there are none.
    times : Times
        Waits and timeouts.
    is_wanted : callable
        Whether to read at all; what was read before is read anew afterwards.
    note : callable
        Takes, after each answer, the store's version up to which all is known.
    """
    after = 0
    while True:
        if not is_wanted():
            after = 0
            await anyio.sleep(times.retry)
            continue
        if not after:
            after = await read_all()
            if not after:
                await anyio.sleep(times.retry)
            continue
        feed = await store.follow(name, after, wait=times.wait, timeout=times.timeout)
        if feed.expired:
            after = 0
        elif feed.outcome is table.Outcome.DONE:
            after = max(after, feed.version)
            take(feed.rows)
            note(after)
            await anyio.sleep(times.pause)
        else:
            await anyio.sleep(times.retry)


async def read_parts(
    read_part: Callable[[str], Awaitable[rows.Range]], parts: Iterable[str]
) -> int:
    """Read parts one after the other; return the oldest version, or 0.

    0 says that a part couldn't be read, or that there is none.
    """
    versions = []
    for part in parts:
        read = await read_part(part)
        if read.outcome is not table.Outcome.DONE:
            return 0
        versions.append(read.version)
    return min(versions, default=0)
