"""Following the changes of a table in the platform's store."""

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio

from wigeonhitch.platform import rows, table

__all__ = ["FollowTiming", "follow", "read_parts"]


class FollowTiming(NamedTuple):
    """Waits and timeouts of one follower, in seconds."""

    wait: float
    """Time that a call waits for changes; a dead connection is detected after it."""
    margin: float
    """Time beyond the wait after which a call without an answer counts as failed."""
    retry: float
    """Delay before a failed call is retried."""
    pause: float = 0.0
    """Delay between an answer and the next call."""


def _always() -> bool:
    return True


def _ignore_version(version: int) -> None:
    pass


def _ignore_answer(answer: rows.Feed) -> None:
    pass


async def follow(
    store: rows.RowStore,
    table_name: str,
    read_snapshot: Callable[[], Awaitable[int]],
    on_rows: Callable[[tuple[rows.Row, ...]], None],
    timing: FollowTiming,
    is_enabled: Callable[[], bool] = _always,
    on_version: Callable[[int], None] = _ignore_version,
    on_answer: Callable[[rows.Feed], None] = _ignore_answer,
    get_wait: Callable[[], float] | None = None,
    after: int = 0,
) -> None:
    """Read a table, then follow its changes, until cancelled.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    table_name : str
        The table.
    read_snapshot : callable
        Reads the current rows; returns the version to follow from, or 0 when the
        read failed. Called again when the store has dropped its history.
    on_rows : callable
        Receives the changed rows of each answer, also when there are none.
    timing : FollowTiming
        Waits and timeouts.
    is_enabled : callable
        Whether to read at all; a new snapshot is read once it is enabled again.
    on_version : callable
        Receives, after each answer, the store's version up to which all changes
        are known.
    on_answer : callable
        Receives the outcome of each call to the feed, before its rows are applied.
    get_wait : callable, optional
        Returns the wait of the next call, instead of that of ``timing``. Isn't called
        before a call that doesn't wait.
    after : int
        Version to follow from; 0 reads a snapshot first.

    Notes
    -----
    A lost call is noticed only after its wait. The next one asks the store to answer at
    once, so that the loss of that one too is noticed after the margin.
    """
    after_version = after
    is_lost = False
    while True:
        if not is_enabled():
            after_version = 0
            await anyio.sleep(timing.retry)
            continue
        if not after_version:
            after_version = await read_snapshot()
            if not after_version:
                await anyio.sleep(timing.retry)
            continue
        wait = 0.0
        if not is_lost:
            wait = timing.wait if get_wait is None else get_wait()
        feed = await store.follow(
            table_name, after_version, wait=wait, timeout=wait + timing.margin
        )
        is_lost = feed.outcome is table.Outcome.UNKNOWN
        on_answer(feed)
        if feed.expired:
            after_version = 0
        elif feed.outcome is table.Outcome.DONE:
            after_version = max(after_version, feed.version)
            on_rows(feed.rows)
            on_version(after_version)
            await anyio.sleep(timing.pause)
        else:
            await anyio.sleep(timing.retry)


async def read_parts(
    read_part: Callable[[str], Awaitable[rows.Range]], parts: Iterable[str]
) -> int:
    """Read parts one after the other; return the lowest version, or 0.

    0 means that a part couldn't be read or that there are no parts.
    """
    versions = []
    for part in parts:
        part_range = await read_part(part)
        if part_range.outcome is not table.Outcome.DONE:
            return 0
        versions.append(part_range.version)
    return min(versions, default=0)
