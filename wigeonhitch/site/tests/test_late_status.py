"""Guards against counts of waiting jobs that late writes of the status bring back.

A store may apply a write seconds after its caller has stopped waiting. The leader's
writes of the status depended on the leadership only, and each one that was applied late
replaced a newer one.
"""

import anyio
import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import table
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import message

pytestmark = pytest.mark.anyio

STEPS = (model.Step(1, model.Room(1000, 10), label="none"),)
"""Steps that no worker may run, so that their jobs wait."""

PUBLISHING_SECONDS = 1.5
"""Time in which a leader publishes a changed status, and repeats a lost attempt."""


class Callers:
    """Callers whose jobs can't start, and ask how many wait."""

    def __init__(self, site, daemon):
        self.site = site
        self.daemon = daemon
        self.queue = daemon.handler.find_queue("h", "/q/j")

    async def submit(self, *ids):
        for id in ids:
            job = model.Job(id, "q", "", STEPS)
            answer = await self.daemon.handler.submit(self.queue, job)
            assert answer.verdict is message.Verdict.ACCEPTED

    async def cancel(self, *ids):
        for id in ids:
            await self.daemon.handler.cancel(self.queue, id)

    async def count(self):
        return (await self.daemon.handler.count(self.queue)).pending

    async def wait_for_count(self, pending):
        with anyio.fail_after(10):
            while await self.count() != pending:
                await anyio.sleep(0.02)

    async def lose_status_writes(self):
        """Defer all writes of the status until one has been made."""
        self.site.store.deferred_tables.add(pool_record.STATUS_TABLE)
        await self.site.wait_for(lambda: self.site.store.deferred)

    async def apply_late_writes(self):
        """Apply the writes that were deferred."""
        changes = self.site.store.apply_deferred()
        await anyio.sleep(PUBLISHING_SECONDS)
        return [change.outcome is table.Outcome.DONE for change in changes]


async def test_a_late_write_does_not_replace_a_newer_count(site):
    async with site.run("a") as (daemon,):
        callers = Callers(site, daemon)
        await callers.submit("j0")
        await callers.lose_status_writes()
        site.store.deferred_tables.clear()
        await callers.submit("j1", "j2", "j3")
        await callers.wait_for_count(4)

        assert not any(await callers.apply_late_writes())
        assert await callers.count() == 4


async def test_a_late_write_is_void_after_the_figures_have_gone_back(site):
    """The status equals the last confirmed one again, while an attempt is on its way.

    A leader that compares the two only doesn't write, and the attempt is applied.
    """
    async with site.run("a") as (daemon,):
        callers = Callers(site, daemon)
        await callers.submit("j0", "j1")
        await callers.wait_for_count(2)
        await anyio.sleep(PUBLISHING_SECONDS)
        site.store.deferred_tables.add(pool_record.STATUS_TABLE)
        await callers.cancel("j1")
        await callers.lose_status_writes()
        await callers.submit("j2")
        site.store.deferred_tables.clear()
        await anyio.sleep(PUBLISHING_SECONDS)

        assert not any(await callers.apply_late_writes())
        assert await callers.count() == 2


async def test_a_late_write_before_the_next_one_is_replaced(site):
    """Guards against a leader that never writes again on a version that it lost."""
    async with site.run("a") as (daemon,):
        callers = Callers(site, daemon)
        await callers.submit("j0")
        await callers.lose_status_writes()
        site.store.apply_deferred()
        site.store.deferred_tables.clear()
        await callers.submit("j1", "j2")
        await callers.wait_for_count(3)


async def test_a_late_write_of_a_former_leader_is_void(site):
    async with site.run("ab") as daemons:
        leader = site.find_leader(daemons)
        (other,) = [daemon for daemon in daemons if daemon is not leader]
        callers = Callers(site, other)
        await callers.submit("j0")
        await callers.lose_status_writes()
        site.kill(leader)
        leader._runners.clear()
        site.store.deferred_tables.clear()
        await site.wait_for(lambda: site.find_leader(daemons) is other)
        await callers.submit("j1")
        await callers.wait_for_count(2)

        assert not any(await callers.apply_late_writes())
        assert await callers.count() == 2
