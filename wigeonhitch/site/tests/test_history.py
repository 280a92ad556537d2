"""Checks over seeded histories that a job stays one job in one pool.

Each mechanism is also disabled once: the check must then find a violation, which shows
that it can fail.
"""

import pytest

from wigeonhitch.site import message
from wigeonhitch.site.tests import history, withdrawalhistory

SEEDS = [*range(30), 24263]
"""The last seed failed when a job ended and was cancelled while its state was read."""

MAX_SEEDS = 30
"""Number of seeds of which at least one must fail with a mechanism disabled."""

HISTORY_SECONDS = 20.0

CANCELLATION_SECONDS = 40.0
"""Length of histories in which rows are removed before the faults end."""


@pytest.mark.parametrize("seed", SEEDS)
def test_a_job_stays_in_one_pool_and_is_found_there(seed):
    """Guards against a job of a moved queue that is accepted in two pools.

    The job was repeated at a daemon that had restarted since the move, or its first
    write was applied after the second daemon's read. Both leaders then started its
    tasks. Acceptance was recorded per pool, and only daemons that had seen the former
    pools knew of them.
    """
    world = history.World(seed)

    assert world.run(HISTORY_SECONDS) == []
    assert sum(job.is_accepted for job in world.jobs.values()) > 2


@pytest.mark.parametrize("mechanism", ["condition", "holder", "removal"])
def test_a_history_fails_without(mechanism):
    worlds = (history.World(seed, disabled=mechanism) for seed in range(MAX_SEEDS))

    assert any(world.run(HISTORY_SECONDS) for world in worlds)


@pytest.mark.parametrize("seed", [*range(MAX_SEEDS), 1065, 2823])
def test_a_job_is_not_accepted_after_its_cancellation_was_acknowledged(seed):
    """Guards against jobs that run after their caller was told that there are none.

    The caller had left its submission, which was applied after the cancellation, or
    after the removal of the rows by which that was acknowledged. With the last two
    seeds, a submission that was applied after the removal was told to be refused.
    """
    world = withdrawalhistory.World(seed)

    assert world.run(CANCELLATION_SECONDS) == []


def test_callers_that_leave_meet_accepted_jobs_and_others():
    """Guards against histories in which each submission is settled the same way."""
    world = withdrawalhistory.World(1)
    world.run(HISTORY_SECONDS)

    assert {job.told for job in world.leaving} == {
        message.Verdict.ACCEPTED,
        message.Verdict.MISSING,
    }


@pytest.mark.parametrize(
    "mechanism", ["withdrawal", "renewal", "refusal", "condition", "removal"]
)
def test_a_history_of_cancellations_fails_without(mechanism):
    worlds = (
        withdrawalhistory.World(seed, disabled=mechanism) for seed in range(MAX_SEEDS)
    )

    assert any(world.run(CANCELLATION_SECONDS) for world in worlds)
