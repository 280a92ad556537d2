"""A table is read, then followed, and read anew when its history is dropped."""

import anyio
import pytest

from standins import rowstore
from wigeonhitch import feed
from wigeonhitch.platform import rows, table

pytestmark = pytest.mark.anyio

TIMES = feed.FollowTiming(wait=0.05, timeout=0.2, retry=0.01)


class Reader:
    """Keeps what it was given of the table "t"."""

    def __init__(self):
        self.store = rowstore.RowStore()
        self.store.put("t", "a", "k", b"1")
        self.reads = 0
        self.taken = []
        self.is_enabled = True

    async def read_all(self):
        self.reads += 1
        read = await self.store.read("t", "a", timeout=1.0)
        return read.version

    def take(self, found):
        self.taken.extend(row.value for row in found)

    async def run(self):
        await feed.follow(
            self.store, "t", self.read_all, self.take, TIMES, lambda: self.is_enabled
        )


@pytest.fixture
async def reader():
    made = Reader()
    async with anyio.create_task_group() as group:
        group.start_soon(made.run)
        await anyio.sleep(0.02)
        yield made
        group.cancel_scope.cancel()


async def wait_for(condition):
    with anyio.fail_after(2):
        while not condition():
            await anyio.sleep(0.01)


async def test_changes_after_the_reading_are_taken_once(reader):
    reader.store.put("t", "a", "k", b"2")
    reader.store.put("t", "a", "k", b"3")
    await anyio.sleep(0.1)

    assert (reader.reads, reader.taken) == (1, [b"2", b"3"])


async def test_a_dropped_history_is_read_anew(reader):
    reader.store.is_down = True
    await anyio.sleep(0.1)
    reader.store.put("t", "a", "k", b"2")
    reader.store.forget_history()
    reader.store.is_down = False

    await wait_for(lambda: reader.reads == 2)


async def test_calls_go_on_after_an_outage_from_where_they_were(reader):
    reader.store.is_down = True
    await anyio.sleep(0.1)
    reader.store.put("t", "a", "k", b"2")
    reader.store.is_down = False

    await wait_for(lambda: reader.taken == [b"2"])
    assert reader.reads == 1


async def test_what_is_wanted_again_is_read_anew(reader):
    reader.is_enabled = False
    await anyio.sleep(0.1)
    reader.is_enabled = True

    await wait_for(lambda: reader.reads == 2)


async def test_parts_are_followed_from_the_oldest_and_from_none_if_one_fails():
    async def read_part(name):
        done = name != "bad"
        outcome = table.Outcome.DONE if done else table.Outcome.UNKNOWN
        return rows.Range(outcome, version=len(name))

    assert await feed.read_parts(read_part, ["four", "two", "seven"]) == 3
    assert await feed.read_parts(read_part, ["four", "bad"]) == 0
    assert await feed.read_parts(read_part, []) == 0
