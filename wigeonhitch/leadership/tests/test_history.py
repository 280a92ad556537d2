"""No two leaderships of a pool order at once, checked over seeded histories.

Each mechanism is also switched off: the check must then find a fault, or it would
prove nothing. The holder's margin isn't among them: it covers late timers and rounded
times, which these histories don't have.
"""

import pytest

from wigeonhitch.leadership.tests import history

SEEDS = [*range(20), 223, 296, 1489]
"""The last three once failed: a claim led by after a lapse, a row given up that was
another's, and the row of a member removed that was back."""

WITHIN = 40
"""Seeds of which one must fail with a mechanism off."""


def play(seed, switches=None, seconds=40.0):
    world = history.World(seed, switches)
    world.run(seconds)
    return world


@pytest.fixture(scope="module", params=SEEDS)
def world(request):
    """A world after its trouble, in which one daemon was then killed."""
    made = play(request.param)
    made.calm(history.CALM)
    return made


def test_only_the_leader_that_the_store_names_may_order(world):
    assert world.faults == []
    assert world.count("leadership claimed") > 5
    assert world.count("owner row") > 5


def test_each_pool_is_led_again_once_trouble_ends(world):
    assert max(world.unled.values()) <= history.BOUND


def test_leaders_stay_once_trouble_has_ended(world):
    assert world.now - world.changed_at > history.STEADY


@pytest.mark.parametrize(
    "mechanisms",
    [("member_row", "heard_end"), ("lapse_loses",), ("holder_lease",), ("term_ends",)],
    ids="-".join,
)
def test_a_history_goes_wrong_without(mechanisms):
    switches = history.Switches()._replace(**dict.fromkeys(mechanisms, False))

    assert any(play(seed, switches).faults for seed in range(WITHIN))
