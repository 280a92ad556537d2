"""One task ran twice at the same time, under a pool's first and second leader.

What was seen: run 1 of a task, ordered by one daemon, and 52 ms later its first run
under the pool's second leader, on another VM; the older one was stopped 126 ms after
the newer had begun. Both had taken the job for one that only they could have started.

How it came about: a first leader ordered after a second one's claim; each test is one
way to that. Cause: what a leader may do rested on a time or a copy that it judged by,
and not on the leadership itself. Proof: each test shows two runs, or an order after the
end, where its mechanism is left out; the first did so on the code that the incident was
seen on, with the same numbers of runs, and days of that site did so too.
"""

import anyio
import pytest

from standins import history
from wigeonhitch.jobs import model
from wigeonhitch.jobs import record as jobs
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import http
from wigeonhitch.pool import compaction
from wigeonhitch.pool import runner as pool_runner

pytestmark = pytest.mark.anyio

NEWS_LATE = 1.4
"""Seconds that an answer may be on its way and is still taken."""

OWNERS_LATE = 0.3
"""Seconds that the news of a claim takes to the leader before."""


def check(site):
    """Return what went wrong with runs, as the workers saw them."""
    return history.check_runs(site.calls.events, lambda _: 1000, 8000)


async def open_pair(ones, site):
    """Return the leader and the other, once both could lead.

    Each reaches one VM of its own, so that no worker tells the leader of its
    successor.
    """
    leader = site.find_leader(ones)
    (other,) = [one for one in ones if one is not leader]
    await anyio.sleep(core.CLAIM_STARTUP_DELAY_SECONDS + 0.5)
    site.reach[other.settings.name].cut.add("w1")
    site.reach[leader.settings.name].cut.add("w2")
    site.links[leader.settings.name].slow[record.OWNER_TABLE] = OWNERS_LATE
    return leader, other


def leads(one):
    return "p" in one._runners


async def test_a_leader_back_from_an_outage_starts_nothing_beside_its_successor(site):
    """Its lease ran out, another claimed, and it renewed before it heard of that.

    It took its lease for its leadership. What it led before a lapse is now lost with
    the renewal that ends it.
    """
    async with site.run("ab") as ones:
        leader, other = await open_pair(ones, site)
        link = site.links[leader.settings.name]
        link.is_cut = True
        await site.wait_for(lambda: leads(other))
        link.is_cut = False
        await site.wait_for(leader._elector.may_order)
        await site.submit(other, "j0")
        await site.wait_until(other, ["j0"])

    assert check(site) == []


async def hand_in_beside_late_news(site):
    """Have the leader's renewals be late news to the other; then hand a job in."""
    async with site.run("ab") as ones:
        leader, other = await open_pair(ones, site)
        site.links[other.settings.name].slow[record.MEMBER_TABLE] = NEWS_LATE
        with anyio.move_on_after(6.0):
            await site.wait_for(lambda: leads(other))
        await site.submit(other, "j0")
        await site.wait_until(other, ["j0"])


async def test_a_leader_whose_renewals_are_late_news_is_not_replaced(site):
    """It renews all the while; the other hears of that more than a lease later.

    The other then claimed, since a claim depended on the owner's row only, and took
    the next job for one that nobody could have started before. Both started it. With
    the leader's lease among the claim's conditions the claim fails.
    """
    await hand_in_beside_late_news(site)

    assert check(site) == []


async def test_leaders_that_may_overlap_start_nothing_twice(site):
    """The same where the store takes no transaction across parts.

    The claim can't depend on the leader's lease there, so a new leader waits with
    each job until every VM has seen its token.
    """
    site.across = False
    await hand_in_beside_late_news(site)

    assert check(site) == []


async def test_a_leadership_that_is_over_starts_nothing_more(site):
    """News of a job and the loss of the pool come in the same moment.

    A task whose wait has just ended isn't cancelled before its next step, which made
    a round and sent its starts: the daemon's lease, the only thing asked before an
    order, had just been renewed. The right to order now ends with the leadership.
    """
    async with site.run("a") as (one,):
        runner = one._runners["p"]
        await site.wait_for(lambda: all_open(runner))
        job = model.Job("j0", "q", "", (model.Step(1, model.Room(1000, 10), 0.2),))
        row = jobs.JobRecord(job, 0.0, False)
        place = compaction.RowLocation("job00", "p.0")
        await anyio.sleep(pool_runner.MIN_ROUND_INTERVAL * 3)
        runner.pool.on_job("j0", row, site.store.version + 1, place)
        runner.on_queues(one._get_queues())
        one._on_leadership_lost("p")
        await anyio.sleep(0.2)

    assert site.count_starts() == 0


def all_open(runner):
    vms = runner.pool.vms.values()
    return len(vms) == 2 and all(one.is_open(http.read_clock()) for one in vms)
