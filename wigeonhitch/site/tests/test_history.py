"""A job stays one job in one pool, checked over seeded histories.

Each mechanism is also switched off: the check must then find a fault, or it would
prove nothing.
"""

import pytest

from wigeonhitch.site.tests import history

SEEDS = [*range(30), 24263]
"""The last once failed: an end and a cancellation came while a state was read."""

WITHIN = 30
"""Seeds of which one must fail with a mechanism off."""

SECONDS = 20.0


@pytest.mark.parametrize("seed", SEEDS)
def test_a_job_stays_in_one_pool_and_is_found_there(seed):
    """What was seen: a job of a queue that had moved was accepted in two pools.

    How: it came again at a daemon that had restarted since the move, or its first write
    was done after the second daemon's look. Both leaders then started its tasks. Cause:
    whether it was accepted was known by pool, and former pools by who had seen them.
    """
    world = history.World(seed)

    assert world.play(SECONDS) == []
    assert sum(job.is_accepted for job in world.jobs.values()) > 2


@pytest.mark.parametrize("mechanism", ["condition", "holder", "removal"])
def test_a_history_goes_wrong_without(mechanism):
    worlds = (history.World(seed, off=mechanism) for seed in range(WITHIN))

    assert any(world.play(SECONDS) for world in worlds)
