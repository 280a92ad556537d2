"""The promises of a pool's leader, checked over seeded histories.

Each mechanism is also switched off: the check must then find a fault, or it
would prove nothing.
"""

import pytest

from wigeonhitch.pool.tests import history

SEEDS = range(20)


def play(seed, switches=None, seconds=40.0):
    world = history.World(seed, switches or history.Switches())
    world.run(seconds)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_no_task_runs_twice_or_again_or_beyond_the_room(seed):
    world = play(seed)

    assert history.check(world.events) == []
    assert sum(1 for one in world.events if one.how == "done") > 10


@pytest.mark.parametrize("seed", range(5))
def test_all_jobs_become_final_once_trouble_ends(seed):
    world = play(seed)
    world.trouble = 0.0
    world._submit = lambda: None
    world.run(30.0)

    assert history.find_unfinished(world) == []
    assert history.check(world.events) == []


@pytest.mark.parametrize(
    "mechanism",
    [
        "fence",
        "wait_after_takeover",
        "own_deadline",
        "lapse_before_restart",
        "commit_before_noting",
        "rising_numbers",
    ],
)
def test_a_history_goes_wrong_without(mechanism):
    switches = history.Switches()._replace(**{mechanism: False})

    assert any(history.check(play(seed, switches).events) for seed in range(40))
