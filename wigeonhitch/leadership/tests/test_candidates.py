"""Selection of a bounded number of candidates among many daemons.

Runs the histories of `test_history` with ten daemons of which three hold a lease. All
candidates are also killed at once.
"""

import pytest

from wigeonhitch.leadership import candidacy, core, record
from wigeonhitch.leadership.tests import history

DAEMONS = 10
TARGET_COUNT = 3
SEEDS = range(12)
MAX_SEEDS = 40
"""Number of seeds of which at least one must fail with a mechanism off."""

MAX_UNLED_SECONDS = core.LEASE_SECONDS + 0.45 + 2 * core.CLAIM_STAGGER_SECONDS
"""Maximum time that a pool may have no leader when all candidates are lost: a lease, a
poll of members each 0.45 s, and the staggered claims of the candidates."""


def play(seed, mechanisms_in_force=None, seconds=40.0):
    world = history.World(seed, mechanisms_in_force, DAEMONS, TARGET_COUNT)
    world.run(seconds)
    return world


@pytest.fixture(scope="module", params=SEEDS)
def world(request):
    world = play(request.param)
    world.run_calm(history.CALM_SECONDS)
    return world


def test_only_leader_named_by_store_may_order(world):
    assert world.violations == []
    assert world.count("leadership claimed") > 5
    assert world.count("candidate now") >= TARGET_COUNT


def test_number_of_leases_is_independent_of_number_of_daemons(world):
    assert len(world.list_candidates()) == TARGET_COUNT


def test_each_pool_is_led_again_after_faults_end(world):
    assert max(world.unled.values()) <= history.MAX_UNLED_SECONDS


@pytest.mark.parametrize("seed", SEEDS)
def test_all_candidates_lost_at_once_are_replaced_as_fast_as_one(seed):
    world = history.World(seed, None, DAEMONS, TARGET_COUNT)
    world.run_calm(history.CALM_SECONDS)

    world.run_without_candidates(6.0)

    assert world.violations == []
    assert max(world.unled.values()) <= MAX_UNLED_SECONDS


def test_history_with_few_candidates_fails_without_mechanism(mechanisms_in_force):
    assert any(play(seed, mechanisms_in_force).violations for seed in range(MAX_SEEDS))


def make_daemon(name, members, *, cores=1.0, now=100.0):
    leadership = core.Leadership(name, f"life-{name}", now - 10.0, cores)
    leadership.clock.update(now, now, now)
    leadership.on_members(members, 50, now)
    return leadership


def make_members(count, *, cores=1.0, until=102.0):
    return [
        record.Member(f"m{number:02}", "life", until, cores=cores)
        for number in range(count)
    ]


def test_daemon_does_not_join_enough_candidates():
    leadership = make_daemon("x", make_members(candidacy.MIN_CANDIDATES))

    assert not leadership.consider_joining(5, 100.0)
    assert not leadership.consider_joining(5, 101.0)


def test_daemons_with_more_cores_join_first():
    """Daemons with two cores wait four times less than those with half a core."""
    waits = [
        [candidacy.compute_join_backoff(f"d{n}", 50, cores) for n in range(100)]
        for cores in (2.0, 0.5)
    ]

    assert max(waits[0]) <= candidacy.MAX_JOIN_BACKOFF_SECONDS / 2
    assert sum(waits[1]) > 3 * sum(waits[0])


def test_sole_survivor_joins_within_its_backoff():
    leadership = make_daemon("x", [])

    assert not leadership.consider_joining(5, 100.0)
    wait = leadership.compute_poll_delay(100.0)
    assert wait <= candidacy.MAX_JOIN_BACKOFF_SECONDS + core.RECONNECT_DELAY_SECONDS
    leadership.on_members([], 51, 100.0 + wait + 0.001)
    assert leadership.consider_joining(5, 100.0 + wait + 0.001)


def test_after_outage_previous_candidates_come_first():
    """Backoffs that began before the outage do not count.

    When they did, 25 of 97 daemons joined where two candidates were missing.
    """
    leadership = make_daemon("x", [])
    leadership.consider_joining(5, 100.0)
    leadership.on_members([], 60, 105.0)

    assert not leadership.consider_joining(5, 105.0)
    assert leadership.compute_poll_delay(105.0) >= core.RECONNECT_DELAY_SECONDS
    leadership.on_members(make_members(8, until=107.0), 61, 105.4)
    assert not leadership.consider_joining(5, 105.4)


def test_next_poll_is_when_first_lease_expires():
    leadership = make_daemon("x", [*make_members(8), record.Member("m", "life", 100.5)])

    assert leadership.compute_poll_delay(100.0) == pytest.approx(
        0.5 + core.LEASE_MARGIN_SECONDS + core.POLL_DELAY_SECONDS
    )


def make_candidate(name, members, *, cores):
    leadership = make_daemon(name, members, cores=cores)
    leadership.is_candidate = True
    leadership.on_renewed(record.Member(name, f"life-{name}", 102.2, cores=cores))
    return leadership


@pytest.mark.parametrize(("cores", "stays"), [(0.5, False), (2.0, True)])
def test_weakest_surplus_candidate_steps_down(cores, stays):
    leadership = make_candidate(
        "x", make_members(candidacy.MIN_CANDIDATES, until=110.0), cores=cores
    )

    assert not leadership.consider_stepping_down(5, 100.0)
    leadership.on_renewed(record.Member("x", "life-x", 105.3, cores=cores))
    assert (
        leadership.consider_stepping_down(5, 100.1 + core.HANDOVER_INTERVAL_SECONDS)
        is not stays
    )
    assert leadership.is_candidate is stays
    assert leadership.is_lease_valid(100.1 + core.HANDOVER_INTERVAL_SECONDS) is stays


def test_leader_does_not_step_down():
    leadership = make_candidate(
        "x", make_members(candidacy.MIN_CANDIDATES, until=110.0), cores=0.5
    )
    leadership.on_owner(record.Owner("p", "x", "life-x", 1, 10))

    for now in (100.0, 100.1 + core.HANDOVER_INTERVAL_SECONDS):
        assert not leadership.consider_stepping_down(5, now)


def test_restarted_daemon_claims_its_former_pools_at_once():
    """Its former process gives no orders, so nobody has to wait for that lease."""
    leadership = make_candidate("x", make_members(8), cores=1.0)
    leadership.on_owner(record.Owner("p", "x", "a former life", 1, 10))

    assert leadership.list_pools_to_claim(["p"], 100.0) == ["p"]
    assert leadership.explain_claim("p", 100.0).reason is core.VacancyReason.RESTARTED
