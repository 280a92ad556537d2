"""Guards against one task running twice at once, under a pool's two leaders.

In the incident, run 1 of a task was ordered by one daemon, and 52 ms later its first
run under the pool's second leader began on another VM; the older run was stopped 126 ms
after the newer one had begun. Both leaders assumed that only they could have started
the job.

The first leader gave orders after the second one's claim; each test shows one way to
that. The right to give orders depended on a time or a copy held by the leader and not
on the leadership itself. Without its mechanism, each test shows two runs or an order
after the end of the leadership; the first one did so on the code of the incident, with
the same numbers of runs, and so did days of that site.
"""

import anyio
import pytest

from standins import taskhistory
from wigeonhitch.jobs import model
from wigeonhitch.jobs import record as jobs
from wigeonhitch.leadership import core, record
from wigeonhitch.platform import http
from wigeonhitch.pool import compaction
from wigeonhitch.pool import runner as pool_runner

pytestmark = pytest.mark.anyio

RENEWAL_DELAY_SECONDS = 1.4
"""Longest delay of an answer that is still accepted, in seconds."""

CLAIM_FEED_DELAY_SECONDS = 0.3
"""Delay of the previous leader's feed of claims, in seconds."""


def find_violations(site):
    """Return the violations in the runs that the workers recorded."""
    return taskhistory.check_task_runs(site.calls.events, lambda _: 1000, 8000)


async def prepare_pair(daemons, site):
    """Return the leader and the other daemon, once both are able to lead.

    Each reaches one VM of its own, so that no worker informs the leader of its
    successor.
    """
    leader = site.find_leader(daemons)
    (other,) = [daemon for daemon in daemons if daemon is not leader]
    await anyio.sleep(core.CLAIM_STARTUP_DELAY_SECONDS + 0.5)
    site.reachability[other.settings.name].unreachable.add("w1")
    site.reachability[leader.settings.name].unreachable.add("w2")
    site.links[leader.settings.name].read_delays[record.OWNER_TABLE] = (
        CLAIM_FEED_DELAY_SECONDS
    )
    return leader, other


def is_leading(daemon):
    return "p" in daemon._runners


async def test_a_leader_back_from_an_outage_starts_nothing_its_successor_runs(site):
    """A leader renews its lapsed lease before it learns of another daemon's claim.

    It took its renewed lease for its leadership. The renewal that ends a lapse now also
    ends all leaderships from before the lapse.
    """
    async with site.run("ab") as daemons:
        leader, other = await prepare_pair(daemons, site)
        link = site.links[leader.settings.name]
        link.is_cut = True
        await site.wait_for(lambda: is_leading(other))
        link.is_cut = False
        await site.wait_for(leader._elector.may_order)
        await site.submit(other, "j0")
        await site.wait_until(other, ["j0"])

    assert find_violations(site) == []


async def submit_with_delayed_renewals(site):
    """Delay the leader's renewals on their way to the other; then submit a job."""
    async with site.run("ab") as daemons:
        leader, other = await prepare_pair(daemons, site)
        site.links[other.settings.name].read_delays[record.MEMBER_TABLE] = (
            RENEWAL_DELAY_SECONDS
        )
        with anyio.move_on_after(6.0):
            await site.wait_for(lambda: is_leading(other))
        await site.submit(other, "j0")
        await site.wait_until(other, ["j0"])


async def test_a_leader_whose_renewals_arrive_late_is_not_replaced(site):
    """The leader keeps renewing; the other learns of it more than a lease later.

    The other then claimed, since a claim depended on the owner's row only, and assumed
    that nobody could have started the next job before. Both started it. With the
    leader's lease among the conditions of the claim, the claim fails.
    """
    await submit_with_delayed_renewals(site)

    assert find_violations(site) == []


async def test_leaders_that_may_overlap_start_nothing_twice(site):
    """The same with a store that doesn't support transactions across parts.

    The claim can't depend on the leader's lease there, so a new leader delays each job
    until every VM has seen its fencing token.
    """
    site.across = False
    await submit_with_delayed_renewals(site)

    assert find_violations(site) == []


async def test_a_leadership_that_has_ended_starts_nothing(site):
    """A new job and the loss of the pool are handled at the same moment.

    A task whose wait has just ended isn't cancelled before its next step, which ran a
    scheduling round and sent its starts: only the daemon's lease was checked before an
    order, and it had just been renewed. The right to give orders now ends with the
    leadership.
    """
    async with site.run("a") as (daemon,):
        runner = daemon._runners["p"]
        await site.wait_for(lambda: are_all_vms_open(runner))
        job = model.Job("j0", "q", "", (model.Step(1, model.Room(1000, 10), 0.2),))
        row = jobs.JobRecord(job, 0.0, False)
        location = compaction.RowLocation("job00", "p.0")
        await anyio.sleep(pool_runner.MIN_ROUND_INTERVAL_SECONDS * 3)
        runner.pool.on_job("j0", row, site.store.version + 1, location)
        runner.on_queues(daemon._get_queues())
        daemon._on_leadership_lost("p")
        await anyio.sleep(0.2)

    assert site.count_starts() == 0


def are_all_vms_open(runner):
    vms = runner.pool.vms.values()
    return len(vms) == 2 and all(vm.is_open(http.read_clock()) for vm in vms)
