"""Who claims a vacant pool, and when a daemon stops believing in its lease."""

import pytest

from wigeonhitch.leadership import core, record


def make_leadership(name, members, *, now=100.0, cores=1.0):
    one = core.Leadership(name, f"life-{name}", now - 10.0, cores)
    one.clock.update(now, now, now)
    one.on_members(members, 50, now)
    one.on_renewed(make_member(name, now + core.LEASE_SECONDS, cores=cores))
    return one


def make_member(name, until, *, leaving=False, cores=1.0):
    return record.Member(name, f"life-{name}", until, leaving, cores)


def own(pool, name, version=10):
    return record.Owner(pool, name, f"life-{name}", 1, version)


@pytest.fixture
def three():
    return [make_member(name, 102.0) for name in ("a", "b", "c")]


def test_exactly_one_of_three_claims_a_vacant_pool_at_first(three):
    claims = [
        make_leadership(name, three).list_pools_to_claim(["p"], 100.0) for name in "abc"
    ]

    assert sorted(claims) == [[], [], ["p"]]


def test_the_next_candidate_claims_when_the_first_does_not(three):
    ones = [make_leadership(name, three) for name in "abc"]
    for one in ones:
        one.list_pools_to_claim(["p"], 100.0)

    later = [
        one.list_pools_to_claim(["p"], 100.01 + core.CLAIM_STAGGER_SECONDS)
        for one in ones
    ]

    assert sum(bool(claims) for claims in later) == 2


def test_pools_of_a_dead_leader_go_to_those_that_lead_least(three):
    one = make_leadership("a", three)
    one.on_owner(own("p1", "a"))
    one.on_owner(own("p2", "gone"))

    assert one.list_pools_to_claim(["p2"], 100.0) == []


@pytest.mark.parametrize(("led", "claims"), [(0, True), (3, True), (4, False)])
def test_a_strong_daemon_leads_four_pools_before_a_weak_one_leads(led, claims):
    """A weak one leads its first when a strong one would lead its fifth."""
    members = [make_member("a", 102.0, cores=2.1), make_member("b", 102.0, cores=0.5)]
    one = make_leadership("a", members, cores=2.1)
    for number in range(led):
        one.on_owner(own(f"p{number}", "a"))

    assert bool(one.list_pools_to_claim(["p"], 100.0)) is claims


def test_an_owner_newer_than_the_known_members_counts_as_alive(three):
    one = make_leadership("a", three)
    one.on_owner(own("p", "newcomer", version=51))

    assert one.list_pools_to_claim(["p"], 105.0) == []


def test_another_life_of_the_same_daemon_does_not_lead(three):
    one = make_leadership("a", three)
    one.on_owner(record.Owner("p", "a", "an earlier life", 1, 10))

    assert not one.is_leader("p")
    assert not one.is_member_alive("a", "an earlier life", 100.0)


def test_a_lease_ends_for_its_holder_before_it_ends_for_others(three):
    holder = make_leadership("a", three)
    other = make_leadership("b", [make_member("a", 102.2)])
    last = max(t / 100 for t in range(10000, 10400) if holder.is_lease_valid(t / 100))

    assert other.is_member_alive("a", "life-a", last)
    assert not other.is_member_alive(
        "a", "life-a", last + 2 * core.LEASE_MARGIN_SECONDS + 0.02
    )


def test_a_paused_daemon_claims_nothing_and_orders_nothing(three):
    one = make_leadership("a", three)

    assert not one.is_lease_valid(100.0 + core.LEASE_SECONDS)
    assert one.list_pools_to_claim(["p"], 100.0 + core.LEASE_SECONDS) == []


def test_a_late_write_of_the_lease_does_not_lengthen_it(three):
    one = make_leadership("a", three)
    planned = one.plan_renewal(100.0)
    one.on_renewed(planned)

    assert one.lease_until == pytest.approx(100.0 + core.LEASE_SECONDS)


def test_a_leaving_daemon_claims_nothing(three):
    one = make_leadership("a", three)
    one.leaving = True

    assert one.list_pools_to_claim(["p"], 110.0) == []


def test_rows_keep_members_and_owners():
    member = record.Member("a", "l", 12.345, True, 0.5, 98)
    owner = record.Owner("p", "a", "l", 3, 99, 3.6)

    assert record.read_member("a", record.write_member(member), 98) == member
    assert record.read_owner("p", record.write_owner(owner), 99) == owner


def test_a_daemon_back_from_an_outage_claims_nothing_by_what_it_knew(three):
    """All leases that it knows of have run out, though their holders renewed."""
    one = make_leadership("a", three)
    one.on_owner(own("p", "b"))
    one.clock.update(109.0, 109.0, 109.0)
    one.on_renewed(make_member("a", 109.0 + core.LEASE_SECONDS))

    assert one.list_pools_to_claim(["p"], 109.0) == []

    one.on_members([make_member("b", 110.0)], 60, 109.1)
    assert one.list_pools_to_claim(["p"], 109.1) == []


def test_after_a_lapse_nothing_is_led_but_by_a_new_claim(three):
    """Another may have claimed meanwhile, and started what was accepted since."""
    one = make_leadership("a", three)
    one.on_owner(own("p", "a", version=60))
    assert one.is_leader("p")

    one.on_lapsed(70)

    assert not one.is_leader("p")
    assert one.list_pools_to_claim(["p"], 100.0) == ["p"]
    one.on_owner(own("p", "a", version=71))
    assert one.is_leader("p")
    assert one.list_pools_to_claim(["p"], 100.0) == []


def test_what_another_claimed_during_a_lapse_is_not_claimed_back(three):
    one = make_leadership("a", three)
    one.on_owner(own("p", "a", version=40))
    one.on_lapsed(70)
    one.on_owner(own("p", "b", version=45))

    assert one.list_pools_to_claim(["p"], 100.0) == []


def test_members_are_forgotten_long_after_their_leases(three):
    one = make_leadership("a", three)
    one.clock.update(155.0, 155.0, 155.0)
    assert one.list_expired_members(155.0) == []

    one.clock.update(163.0, 163.0, 163.0)
    assert one.list_expired_members(163.0) == ["b", "c"]
    one.remove_member("b")
    assert one.list_expired_members(163.0) == ["c"]


def make_weak_leader(*, steady):
    """A daemon with half a core that leads, and a strong one that renews."""
    one = make_leadership("a", [make_member("a", 102.0, cores=0.5)], cores=0.5)
    one.on_owner(own("p", "a"))
    for number in range(8):
        now = 100.0 + number * 0.5
        if steady or number != 4:
            member = make_member("b", now + (1.0 if steady else 0.4), cores=2.0)
            one.clock.update(now, now, now)
            one.on_members([member], 60 + number, now)
    one.on_renewed(make_member("a", 106.0, cores=0.5))
    return one


def test_a_weak_leader_hands_over_to_a_strong_member_that_stays():
    one = make_weak_leader(steady=True)

    assert one.find_pool_to_hand_over(103.6) == "p"
    assert one.find_pool_to_hand_over(103.7) == ""


def test_nothing_is_handed_over_to_a_member_that_comes_and_goes():
    assert make_weak_leader(steady=False).find_pool_to_hand_over(103.6) == ""


def test_equal_members_keep_what_they_lead():
    one = make_leadership("a", [make_member(name, 106.0) for name in "abc"], now=95.0)
    for number in range(2):
        one.on_owner(own(f"p{number}", "a"))
    one.on_members([make_member(name, 106.0) for name in "bc"], 60, 103.5)
    one.on_renewed(make_member("a", 106.0))

    assert one.find_pool_to_hand_over(103.6) == ""
