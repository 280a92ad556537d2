"""Claims of vacant pools, expiry of leases and hand-overs."""

import pytest

from wigeonhitch.leadership import core, record


def make_leadership(name, members, *, now=100.0, cores=1.0):
    leadership = core.Leadership(name, f"life-{name}", now - 10.0, cores)
    leadership.clock.update(now, now, now)
    leadership.on_members(members, 50, now)
    leadership.on_renewed(make_member(name, now + core.LEASE_SECONDS, cores=cores))
    return leadership


def make_member(name, until, *, leaving=False, cores=1.0):
    return record.Member(name, f"life-{name}", until, leaving, cores)


def make_owner(pool, name, version=10):
    return record.Owner(pool, name, f"life-{name}", 1, version)


@pytest.fixture
def three_members():
    return [make_member(name, 102.0) for name in ("a", "b", "c")]


def test_exactly_one_of_three_claims_a_vacant_pool_at_first(three_members):
    claims = [
        make_leadership(name, three_members).list_pools_to_claim(["p"], 100.0)
        for name in "abc"
    ]

    assert sorted(claims) == [[], [], ["p"]]


def test_next_candidate_claims_when_first_does_not(three_members):
    leaderships = [make_leadership(name, three_members) for name in "abc"]
    for leadership in leaderships:
        leadership.list_pools_to_claim(["p"], 100.0)

    later = [
        leadership.list_pools_to_claim(["p"], 100.01 + core.CLAIM_STAGGER_SECONDS)
        for leadership in leaderships
    ]

    assert sum(bool(claims) for claims in later) == 2


def test_pools_of_dead_leader_go_to_least_loaded_members(three_members):
    leadership = make_leadership("a", three_members)
    leadership.on_owner(make_owner("p1", "a"))
    leadership.on_owner(make_owner("p2", "gone"))

    assert leadership.list_pools_to_claim(["p2"], 100.0) == []


@pytest.mark.parametrize(("led", "claims"), [(0, True), (3, True), (4, False)])
def test_daemon_with_more_cores_leads_four_pools_before_weak_one_leads(led, claims):
    """The weak daemon leads its first pool when the strong one would lead its fifth."""
    members = [make_member("a", 102.0, cores=2.1), make_member("b", 102.0, cores=0.5)]
    leadership = make_leadership("a", members, cores=2.1)
    for number in range(led):
        leadership.on_owner(make_owner(f"p{number}", "a"))

    assert bool(leadership.list_pools_to_claim(["p"], 100.0)) is claims


def test_an_owner_newer_than_the_known_members_counts_as_alive(three_members):
    leadership = make_leadership("a", three_members)
    leadership.on_owner(make_owner("p", "newcomer", version=51))

    assert leadership.list_pools_to_claim(["p"], 105.0) == []


def test_former_process_of_same_daemon_does_not_lead(three_members):
    leadership = make_leadership("a", three_members)
    leadership.on_owner(record.Owner("p", "a", "an earlier life", 1, 10))

    assert not leadership.is_leader("p")
    assert not leadership.is_member_alive("a", "an earlier life", 100.0)


def test_a_lease_ends_for_its_holder_before_it_ends_for_others(three_members):
    holder = make_leadership("a", three_members)
    other = make_leadership("b", [make_member("a", 102.2)])
    last = max(t / 100 for t in range(10000, 10400) if holder.is_lease_valid(t / 100))

    assert other.is_member_alive("a", "life-a", last)
    assert not other.is_member_alive(
        "a", "life-a", last + 2 * core.LEASE_MARGIN_SECONDS + 0.02
    )


def test_paused_daemon_claims_nothing_and_has_no_valid_lease(three_members):
    leadership = make_leadership("a", three_members)

    assert not leadership.is_lease_valid(100.0 + core.LEASE_SECONDS)
    assert leadership.list_pools_to_claim(["p"], 100.0 + core.LEASE_SECONDS) == []


def test_late_renewal_does_not_extend_lease(three_members):
    leadership = make_leadership("a", three_members)
    planned = leadership.plan_renewal(100.0)
    leadership.on_renewed(planned)

    assert leadership.lease_until == pytest.approx(100.0 + core.LEASE_SECONDS)


def test_a_leaving_daemon_claims_nothing(three_members):
    leadership = make_leadership("a", three_members)
    leadership.leaving = True

    assert leadership.list_pools_to_claim(["p"], 110.0) == []


def test_member_and_owner_rows_round_trip():
    member = record.Member("a", "l", 12.345, True, 0.5, 98)
    owner = record.Owner("p", "a", "l", 3, 99, 3.6)

    assert record.read_member("a", record.write_member(member), 98) == member
    assert record.read_owner("p", record.write_owner(owner), 99) == owner


def test_daemon_back_from_outage_claims_nothing_by_stale_members(three_members):
    """All leases that it knows look expired, though their holders renewed them."""
    leadership = make_leadership("a", three_members)
    leadership.on_owner(make_owner("p", "b"))
    leadership.clock.update(109.0, 109.0, 109.0)
    leadership.on_renewed(make_member("a", 109.0 + core.LEASE_SECONDS))

    assert leadership.list_pools_to_claim(["p"], 109.0) == []

    leadership.on_members([make_member("b", 110.0)], 60, 109.1)
    assert leadership.list_pools_to_claim(["p"], 109.1) == []


def test_after_lapse_pool_is_led_only_by_new_claim(three_members):
    """Another daemon may have claimed it meanwhile and started newly accepted jobs."""
    leadership = make_leadership("a", three_members)
    leadership.on_owner(make_owner("p", "a", version=60))
    assert leadership.is_leader("p")

    leadership.on_lapsed(70)

    assert not leadership.is_leader("p")
    assert leadership.list_pools_to_claim(["p"], 100.0) == ["p"]
    leadership.on_owner(make_owner("p", "a", version=71))
    assert leadership.is_leader("p")
    assert leadership.list_pools_to_claim(["p"], 100.0) == []


def test_pool_claimed_by_another_during_lapse_is_not_claimed_back(three_members):
    leadership = make_leadership("a", three_members)
    leadership.on_owner(make_owner("p", "a", version=40))
    leadership.on_lapsed(70)
    leadership.on_owner(make_owner("p", "b", version=45))

    assert leadership.list_pools_to_claim(["p"], 100.0) == []


def test_members_expire_long_after_their_leases(three_members):
    leadership = make_leadership("a", three_members)
    leadership.clock.update(155.0, 155.0, 155.0)
    assert leadership.list_expired_members(155.0) == []

    leadership.clock.update(163.0, 163.0, 163.0)
    assert leadership.list_expired_members(163.0) == ["b", "c"]
    leadership.remove_member("b")
    assert leadership.list_expired_members(163.0) == ["c"]


def make_weak_leader(*, steady):
    """Return a leader with half a core, beside a member with two that renews."""
    leadership = make_leadership("a", [make_member("a", 102.0, cores=0.5)], cores=0.5)
    leadership.on_owner(make_owner("p", "a"))
    for number in range(8):
        now = 100.0 + number * 0.5
        if steady or number != 4:
            member = make_member("b", now + (1.0 if steady else 0.4), cores=2.0)
            leadership.clock.update(now, now, now)
            leadership.on_members([member], 60 + number, now)
    leadership.on_renewed(make_member("a", 106.0, cores=0.5))
    return leadership


def test_weak_leader_hands_over_to_stable_member_with_more_cores():
    leadership = make_weak_leader(steady=True)

    assert leadership.find_pool_to_hand_over(103.6) == "p"
    assert leadership.find_pool_to_hand_over(103.7) == ""


def test_nothing_is_handed_over_to_unstable_member():
    assert make_weak_leader(steady=False).find_pool_to_hand_over(103.6) == ""


def test_equal_members_keep_their_pools():
    leadership = make_leadership(
        "a", [make_member(name, 106.0) for name in "abc"], now=95.0
    )
    for number in range(2):
        leadership.on_owner(make_owner(f"p{number}", "a"))
    leadership.on_members([make_member(name, 106.0) for name in "bc"], 60, 103.5)
    leadership.on_renewed(make_member("a", 106.0))

    assert leadership.find_pool_to_hand_over(103.6) == ""
