"""A table is read, then followed, and read again when its history is dropped."""

import anyio
import pytest

from standins import rowstore
from wigeonhitch import feed
from wigeonhitch.platform import rows, table

pytestmark = pytest.mark.anyio

TIMES = feed.FollowTiming(wait=0.05, margin=0.15, retry=0.01)


class Reader:
    """Records the rows that it receives of the table "t"."""

    def __init__(self):
        self.store = rowstore.RowStore()
        self.store.put("t", "a", "k", b"1")
        self.reads = 0
        self.received = []
        self.is_enabled = True

    async def read_snapshot(self):
        self.reads += 1
        read = await self.store.read("t", "a", timeout=1.0)
        return read.version

    def on_rows(self, changed_rows):
        self.received.extend(row.value for row in changed_rows)

    async def run(self):
        await feed.follow(
            self.store,
            "t",
            self.read_snapshot,
            self.on_rows,
            TIMES,
            lambda: self.is_enabled,
        )


@pytest.fixture
async def reader():
    reader = Reader()
    async with anyio.create_task_group() as group:
        group.start_soon(reader.run)
        await anyio.sleep(0.02)
        yield reader
        group.cancel_scope.cancel()


async def wait_for(condition):
    with anyio.fail_after(2):
        while not condition():
            await anyio.sleep(0.01)


async def test_changes_after_the_snapshot_are_received_once(reader):
    reader.store.put("t", "a", "k", b"2")
    reader.store.put("t", "a", "k", b"3")
    await anyio.sleep(0.1)

    assert (reader.reads, reader.received) == (1, [b"2", b"3"])


async def test_a_table_is_read_again_when_its_history_is_dropped(reader):
    reader.store.is_down = True
    await anyio.sleep(0.1)
    reader.store.put("t", "a", "k", b"2")
    reader.store.expire_history()
    reader.store.is_down = False

    await wait_for(lambda: reader.reads == 2)


async def test_following_resumes_after_an_outage_at_the_same_version(reader):
    reader.store.is_down = True
    await anyio.sleep(0.1)
    reader.store.put("t", "a", "k", b"2")
    reader.store.is_down = False

    await wait_for(lambda: reader.received == [b"2"])
    assert reader.reads == 1


async def test_a_follower_that_is_enabled_again_reads_a_snapshot(reader):
    reader.is_enabled = False
    await anyio.sleep(0.1)
    reader.is_enabled = True

    await wait_for(lambda: reader.reads == 2)


async def test_read_parts_returns_the_lowest_version_or_0_if_a_part_fails():
    async def read_part(name):
        is_done = name != "bad"
        outcome = table.Outcome.DONE if is_done else table.Outcome.UNKNOWN
        return rows.Range(outcome, version=len(name))

    assert await feed.read_parts(read_part, ["four", "two", "seven"]) == 3
    assert await feed.read_parts(read_part, ["four", "bad"]) == 0
    assert await feed.read_parts(read_part, []) == 0


class SilentStore:
    """Loses the first calls of a feed and records how long each was to wait."""

    def __init__(self, lost_calls):
        self.lost_calls = lost_calls
        self.waits = []

    async def follow(self, table_name, after, *, wait, timeout):
        self.waits.append(wait)
        await anyio.sleep(0.001)
        if len(self.waits) <= self.lost_calls:
            return rows.Feed(table.Outcome.UNKNOWN, reason="timeout")
        return rows.Feed(table.Outcome.DONE, (), after)


async def test_call_after_a_lost_one_does_not_wait_for_changes():
    """Guards against a second lost call that is noticed only after the whole wait."""
    store = SilentStore(2)

    async def read_snapshot():
        return 1

    with anyio.move_on_after(0.2):
        await feed.follow(store, "t", read_snapshot, lambda changed: None, TIMES)

    assert store.waits[:5] == [TIMES.wait, 0.0, 0.0, TIMES.wait, TIMES.wait]
