"""Demand of a pool, estimated from arrivals and open jobs."""

import random

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.pool import demand

NOW = 100.0
SMALL = 27.0
"""Core-seconds of a small job: 10 tasks of 0.8 s on 3.5 cores."""
LARGE = 210.0


def record_jobs(arrivals, count, work, over, *, until=NOW):
    """Record the arrival of a number of jobs, evenly over some seconds."""
    for number in range(count):
        arrivals.record(work, until - over + number * over / count)


@pytest.fixture
def arrivals():
    return demand.Arrivals()


def test_burst_of_small_jobs_is_detected_within_half_a_second(arrivals):
    """20 jobs a second arrive from one moment on; a pool of six VMs has 384 cores."""
    record_jobs(arrivals, 8, SMALL, 0.4)

    assert arrivals.compute_rate(NOW) > 384


def test_burst_of_large_jobs_is_detected_within_a_second(arrivals):
    record_jobs(arrivals, 3, LARGE, 0.9)

    assert arrivals.compute_rate(NOW) > 384


@pytest.mark.parametrize("work", [SMALL, LARGE])
def test_jobs_that_coincide_by_chance_are_no_burst(arrivals, work):
    record_jobs(arrivals, 2, work, 0.1)

    assert arrivals.compute_rate(NOW) == 0


def test_end_of_a_burst_is_detected_within_a_second(arrivals):
    record_jobs(arrivals, 60, SMALL, 3.0)
    assert arrivals.compute_rate(NOW) == pytest.approx(20 * SMALL, rel=0.1)

    assert arrivals.compute_rate(NOW + 1.05) == 0


@pytest.mark.parametrize("cores", [16, 64])
@pytest.mark.parametrize("share", [0.5, 1.0, 5.0])
def test_rate_follows_a_constant_load(arrivals, cores, share):
    """A constant load of any level is estimated correctly, for VMs of any size."""
    work = share * cores / 10
    record_jobs(arrivals, 30, work, 3.0)

    assert arrivals.compute_rate(NOW) == pytest.approx(share * cores, rel=0.15)


def test_only_jobs_accepted_under_this_leader_count_as_arrivals(bench):
    bench.add_job("old", version=5)
    bench.add_job("new", version=20)
    bench.add_job("lasts", model.Step(1, model.Room(1000), lasting=True))

    assert len(bench.pool.submitted_work) == 1


def test_minimum_demand_is_less_than_peak_demand(bench):
    step = model.Step(10, model.Room(1000, 10), 1.0)
    queue = model.Queue("q", "h", "/q/", "p", stretch=1.6, objective=0.4)
    bench.pool.on_queues([queue])
    bench.add_job("j", step)
    bench.plan()

    status = bench.planner.build_status(NOW, NOW)

    assert (status.peak_demand, status.min_demand) == (8000, 4000)


def test_jobs_that_can_not_be_on_time_add_no_demand(bench):
    step = model.Step(10, model.Room(1000, 10), 1.0)
    bench.add_job("j", step, accepted=NOW - 10)
    bench.plan()

    assert bench.planner.build_status(NOW, NOW).peak_demand == 0


def test_batch_capacity_excludes_lasting_tasks_and_closed_vms(bench):
    bench.add_vm("w1", cpu=64000)
    bench.add_job("l", model.Step(1, model.Room(24000), lasting=True))
    bench.start()
    bench.add_vm("w2", cpu=64000)
    bench.pool.set_closed(frozenset({"w2"}), {})

    assert bench.planner.build_status(NOW, NOW).batch_capacity == 40000


RISING = (21, 46, 49, 69, 112, 96, 99, 68, 44, 20)
"""Jobs that arrive in each second of a burst of 125 callers."""
JOB_WORK = 46.0
"""Core-seconds of such a job: 1.6 steps of 8 tasks of 0.8 s on 4.5 cores."""
POOL_CPU = 1500.0
"""Processors of a pool of 60 VMs beside its lasting tasks."""


def measure_detection_time(arrivals, counts):
    """Return the seconds into a burst after which the rate exceeds the pool."""
    for second, count in enumerate(counts):
        for number in range(count):
            now = NOW + second + number / count
            arrivals.record(JOB_WORK, now)
            if arrivals.compute_rate(now) > POOL_CPU:
                return now - NOW
    return float(len(counts))


def test_rising_burst_is_detected_before_it_exceeds_its_pool():
    """VMs that arrive 1.8 s after the detection are there when the pool is full."""
    by_rate = measure_detection_time(demand.Arrivals(), RISING)
    by_rise = measure_detection_time(demand.Arrivals(1.5), RISING)

    assert by_rate > 1.0
    assert by_rise < by_rate - 0.5


def test_falling_burst_is_not_overestimated():
    arrivals = demand.Arrivals(1.5)
    for second, count in enumerate((100, 60, 20)):
        record_jobs(arrivals, count, JOB_WORK, 1.0, until=NOW + second)

    assert (
        arrivals.compute_rate(NOW + 2)
        <= demand.Arrivals().compute_rate(NOW) + 60 * JOB_WORK
    )


@pytest.mark.parametrize("rate", [4, 20, 60])
def test_constant_load_of_many_callers_rarely_counts_as_a_rise(rate):
    """With random arrivals the forecast rarely exceeds the rate."""
    rng = random.Random(rate)
    arrivals, without_forecast = demand.Arrivals(1.5), demand.Arrivals()
    now, rises, samples = NOW, 0, 2000
    for _ in range(samples):
        now += rng.expovariate(rate)
        arrivals.record(JOB_WORK, now)
        without_forecast.record(JOB_WORK, now)
        rises += arrivals.compute_rate(now) > without_forecast.compute_rate(now)

    assert rises < samples / 10
