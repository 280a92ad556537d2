"""What a pool could use, seen from what is handed in and what is under way."""

import random

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.pool import demand

NOW = 100.0
SMALL = 27.0
"""Core-seconds of a small job: 10 tasks of 0.8 s on 3.5 cores."""
LARGE = 210.0


def hand_in(arrivals, count, work, over, *, until=NOW):
    """Hand in so many jobs, evenly over some seconds."""
    for number in range(count):
        arrivals.record(work, until - over + number * over / count)


@pytest.fixture
def arrivals():
    return demand.Arrivals()


def test_a_burst_of_small_jobs_shows_within_half_a_second(arrivals):
    """20 jobs a second begin at once; a pool of six VMs holds 384 cores."""
    hand_in(arrivals, 8, SMALL, 0.4)

    assert arrivals.compute_rate(NOW) > 384


def test_a_burst_of_large_jobs_shows_within_a_second(arrivals):
    hand_in(arrivals, 3, LARGE, 0.9)

    assert arrivals.compute_rate(NOW) > 384


@pytest.mark.parametrize("work", [SMALL, LARGE])
def test_jobs_that_meet_by_chance_between_turns_are_no_turn(arrivals, work):
    hand_in(arrivals, 2, work, 0.1)

    assert arrivals.compute_rate(NOW) == 0


def test_the_end_of_a_burst_shows_within_a_second(arrivals):
    hand_in(arrivals, 60, SMALL, 3.0)
    assert arrivals.compute_rate(NOW) == pytest.approx(20 * SMALL, rel=0.1)

    assert arrivals.compute_rate(NOW + 1.05) == 0


@pytest.mark.parametrize("cores", [16, 64])
@pytest.mark.parametrize("share", [0.5, 1.0, 5.0])
def test_the_rate_follows_any_load_without_a_period(arrivals, cores, share):
    """Flat load of any height is seen as it is, for VMs of any size."""
    work = share * cores / 10
    hand_in(arrivals, 30, work, 3.0)

    assert arrivals.compute_rate(NOW) == pytest.approx(share * cores, rel=0.15)


def test_only_jobs_accepted_under_this_leader_count_as_handed_in(bench):
    bench.add_job("old", version=5)
    bench.add_job("new", version=20)
    bench.add_job("lasts", model.Step(1, model.Room(1000), lasting=True))

    assert len(bench.pool.submitted_work) == 1


def test_room_to_be_just_in_time_is_less_than_room_for_all_at_once(bench):
    step = model.Step(10, model.Room(1000, 10), 1.0)
    queue = model.Queue("q", "h", "/q/", "p", stretch=1.6, objective=0.4)
    bench.pool.on_queues([queue])
    bench.add_job("j", step)
    bench.plan()

    board = bench.planner.build_status(NOW, NOW)

    assert (board.peak_demand, board.min_demand) == (8000, 4000)


def test_what_can_not_be_in_time_any_more_needs_no_vms(bench):
    step = model.Step(10, model.Room(1000, 10), 1.0)
    bench.add_job("j", step, accepted=NOW - 10)
    bench.plan()

    assert bench.planner.build_status(NOW, NOW).peak_demand == 0


def test_room_for_batch_work_leaves_out_lasting_tasks_and_vacated_vms(bench):
    bench.add_vm("w1", cpu=64000)
    bench.add_job("l", model.Step(1, model.Room(24000), lasting=True))
    bench.start()
    bench.add_vm("w2", cpu=64000)
    bench.pool.set_closed(frozenset({"w2"}), frozenset())

    assert bench.planner.build_status(NOW, NOW).batch_capacity == 40000


RISING = (21, 46, 49, 69, 112, 96, 99, 68, 44, 20)
"""Jobs handed in in each second of a burst of 125 callers."""
JOB = 46.0
"""Core-seconds of such a job: 1.6 steps of 8 tasks of 0.8 s on 4.5 cores."""
POOL = 1500.0
"""Processors of a pool of 60 VMs beside its lasting tasks."""


def find_seen(arrivals, counts):
    """Return the seconds into a burst after which it is seen to exceed the pool."""
    for second, count in enumerate(counts):
        for number in range(count):
            now = NOW + second + number / count
            arrivals.record(JOB, now)
            if arrivals.compute_rate(now) > POOL:
                return now - NOW
    return float(len(counts))


def test_a_burst_that_rises_over_seconds_is_seen_before_it_exceeds_its_pool():
    """VMs that come 1.8 s after the look are there when the pool is full."""
    by_rate = find_seen(demand.Arrivals(), RISING)
    by_rise = find_seen(demand.Arrivals(1.5), RISING)

    assert by_rate > 1.0
    assert by_rise < by_rate - 0.5


def test_a_burst_that_falls_is_not_seen_as_more_than_it_is():
    arrivals = demand.Arrivals(1.5)
    for second, count in enumerate((100, 60, 20)):
        hand_in(arrivals, count, JOB, 1.0, until=NOW + second)

    assert (
        arrivals.compute_rate(NOW + 2) <= demand.Arrivals().compute_rate(NOW) + 60 * JOB
    )


@pytest.mark.parametrize("rate", [4, 20, 60])
def test_a_level_load_of_many_callers_is_mostly_no_rise(rate):
    """Jobs that come by chance: the forecast exceeds the rate in few looks."""
    rng = random.Random(rate)
    arrivals, plain = demand.Arrivals(1.5), demand.Arrivals()
    now, rises, looks = NOW, 0, 2000
    for _ in range(looks):
        now += rng.expovariate(rate)
        arrivals.record(JOB, now)
        plain.record(JOB, now)
        rises += arrivals.compute_rate(now) > plain.compute_rate(now)

    assert rises < looks / 10
