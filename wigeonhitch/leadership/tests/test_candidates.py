"""A bounded number of leases among many daemons, and what stands while they change.

The same histories as in `test_history`, with ten daemons of which three hold a lease;
all who hold one are killed at once, too.
"""

import pytest

from wigeonhitch.leadership import candidacy, core, record
from wigeonhitch.leadership.tests import history

DAEMONS = 10
WANTED = 3
SEEDS = range(12)
WITHIN = 40
"""Seeds of which one must fail with a mechanism off."""

TAKEOVER = core.LEASE_SECONDS + 0.45 + 2 * core.CLAIM_STAGGER_SECONDS
"""Seconds that a pool may stand without a leader when all candidates are lost: a
lease, and what news of members each 0.45 s and the ranks of candidates take."""


def play(seed, switches=None, seconds=40.0):
    world = history.World(seed, switches, DAEMONS, WANTED)
    world.run(seconds)
    return world


@pytest.fixture(scope="module", params=SEEDS)
def world(request):
    made = play(request.param)
    made.calm(history.CALM)
    return made


def test_only_the_leader_that_the_store_names_may_order(world):
    assert world.faults == []
    assert world.count("leadership claimed") > 5
    assert world.count("candidate now") >= WANTED


def test_leases_do_not_grow_with_the_daemons(world):
    assert len(world.list_candidates()) == WANTED


def test_each_pool_is_led_again_once_trouble_ends(world):
    assert max(world.unled.values()) <= history.BOUND


@pytest.mark.parametrize("seed", SEEDS)
def test_all_candidates_lost_at_once_are_followed_as_soon_as_one_was(seed):
    world = history.World(seed, None, DAEMONS, WANTED)
    world.calm(history.CALM)

    world.lose_candidates(6.0)

    assert world.faults == []
    assert max(world.unled.values()) <= TAKEOVER


@pytest.mark.parametrize(
    "mechanisms",
    [("member_row", "heard_end"), ("lapse_loses",), ("holder_lease",), ("term_ends",)],
    ids="-".join,
)
def test_a_history_of_few_candidates_goes_wrong_without(mechanisms):
    switches = history.Switches()._replace(**dict.fromkeys(mechanisms, False))

    assert any(play(seed, switches).faults for seed in range(WITHIN))


def make_daemon(name, members, *, cores=1.0, now=100.0):
    one = core.Leadership(name, f"life-{name}", now - 10.0, cores)
    one.clock.update(now, now, now)
    one.on_members(members, 50, now)
    return one


def make_members(count, *, cores=1.0, until=102.0):
    return [
        record.Member(f"m{number:02}", "life", until, cores=cores)
        for number in range(count)
    ]


def test_hundreds_of_daemons_leave_it_to_the_candidates():
    one = make_daemon("x", make_members(candidacy.MIN_CANDIDATES))

    assert not one.consider_joining(5, 100.0)
    assert not one.consider_joining(5, 101.0)


def test_the_strong_join_first_where_a_candidate_is_missing():
    """Half of the daemons are weak: a core of two lets them wait four times less."""
    waits = [
        [candidacy.compute_join_backoff(f"d{n}", 50, cores) for n in range(100)]
        for cores in (2.0, 0.5)
    ]

    assert max(waits[0]) <= candidacy.MAX_JOIN_BACKOFF_SECONDS / 2
    assert sum(waits[1]) > 3 * sum(waits[0])


def test_one_survivor_of_all_joins_within_its_backoff():
    one = make_daemon("x", [])

    assert not one.consider_joining(5, 100.0)
    wait = one.compute_poll_delay(100.0)
    assert wait <= candidacy.MAX_JOIN_BACKOFF_SECONDS + core.RECONNECT_DELAY_SECONDS
    one.on_members([], 51, 100.0 + wait + 0.001)
    assert one.consider_joining(5, 100.0 + wait + 0.001)


def test_after_an_outage_the_candidates_from_before_come_first():
    """25 of 97 daemons joined where two were missing: they had waited before it."""
    one = make_daemon("x", [])
    one.consider_joining(5, 100.0)
    one.on_members([], 60, 105.0)

    assert not one.consider_joining(5, 105.0)
    assert one.compute_poll_delay(105.0) >= core.RECONNECT_DELAY_SECONDS
    one.on_members(make_members(8, until=107.0), 61, 105.4)
    assert not one.consider_joining(5, 105.4)


def test_the_next_look_is_when_the_first_lease_has_run_out():
    one = make_daemon("x", [*make_members(8), record.Member("m", "life", 100.5)])

    assert one.compute_poll_delay(100.0) == pytest.approx(
        0.5 + core.LEASE_MARGIN_SECONDS + core.POLL_DELAY_SECONDS
    )


def make_candidate(name, members, *, cores):
    one = make_daemon(name, members, cores=cores)
    one.is_candidate = True
    one.on_renewed(record.Member(name, f"life-{name}", 102.2, cores=cores))
    return one


@pytest.mark.parametrize(("cores", "stays"), [(0.5, False), (2.0, True)])
def test_of_too_many_candidates_the_weakest_stands_down(cores, stays):
    one = make_candidate(
        "x", make_members(candidacy.MIN_CANDIDATES, until=110.0), cores=cores
    )

    assert not one.consider_stepping_down(5, 100.0)
    one.on_renewed(record.Member("x", "life-x", 105.3, cores=cores))
    assert (
        one.consider_stepping_down(5, 100.1 + core.HANDOVER_INTERVAL_SECONDS)
        is not stays
    )
    assert one.is_candidate is stays
    assert one.is_lease_valid(100.1 + core.HANDOVER_INTERVAL_SECONDS) is stays


def test_a_leader_does_not_stand_down():
    one = make_candidate(
        "x", make_members(candidacy.MIN_CANDIDATES, until=110.0), cores=0.5
    )
    one.on_owner(record.Owner("p", "x", "life-x", 1, 10))

    for now in (100.0, 100.1 + core.HANDOVER_INTERVAL_SECONDS):
        assert not one.consider_stepping_down(5, now)


def test_a_daemon_that_restarted_claims_what_its_former_life_led_at_once():
    """Its former life gives no orders; nobody needs to wait for its lease."""
    one = make_candidate("x", make_members(8), cores=1.0)
    one.on_owner(record.Owner("p", "x", "a former life", 1, 10))

    assert one.list_pools_to_claim(["p"], 100.0) == ["p"]
    assert one.explain_claim("p", 100.0).reason is core.VacancyReason.RESTARTED
