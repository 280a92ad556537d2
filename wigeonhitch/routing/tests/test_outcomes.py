"""What callers get under the loads and failures that routing is designed for."""

import collections

import pytest

from benchmarks import routing_loop, routing_waits
from wigeonhitch import verdict
from wigeonhitch.routing import event, link, outlier, peer

SLOTS = 48
CAPACITY = SLOTS / 0.05
CLASSES = (event.Urgency("urgent", 1.7), event.Urgency("bulk", 3600.0))


def select(loop, urgency="urgent", ran=verdict.Ran.YES, since=0.0, until=1e9):
    return [
        done
        for done in loop.completed.values()
        if done.urgency == urgency
        and done.verdict.ran is ran
        and since <= done.arrived_at < until
    ]


def compute_p99_latency(requests):
    return routing_waits.quantile(
        [done.answered_at - done.arrived_at for done in requests], 0.99
    )


def compute_p99_wait(requests):
    return routing_waits.quantile([done.wait for done in requests], 0.99)


def offer_mixed(loop, load, end, urgent=0.2):
    for name in loop.names:
        loop.deliver(name, event.UrgenciesChanged(CLASSES))
    rate = load * CAPACITY
    loop.offer_load(urgent * rate, 0.0, end, timeout=2.0)
    bulk = {"urgency": "bulk", "team": "closing", "timeout": 5.0}
    loop.offer_load((1.0 - urgent) * rate, 0.0, end, **bulk)


def test_twice_the_capacity_keeps_goodput_and_urgent_answers():
    half, twice = routing_loop.EventLoop(), routing_loop.EventLoop()
    offer_mixed(half, 0.5, 6.0)
    half.run(20.0)
    offer_mixed(twice, 2.0, 12.0)
    twice.run(12.0)
    busy = sum(worker.busy_seconds for worker in twice.workers.values())
    twice.run(30.0)
    assert busy > 0.95 * SLOTS * 12.0
    assert compute_p99_latency(select(twice)) <= 2.0 * compute_p99_latency(select(half))
    refused = select(twice, "bulk", verdict.Ran.NO)
    assert refused
    assert max(done.answered_at - done.arrived_at for done in refused) < 0.1
    assert not select(twice, "bulk", verdict.Ran.MAYBE)
    times = [done.verdict.retry_after for done in refused]
    assert max(times) > 1.5 * min(times) > 0.0


def test_bulk_is_not_starved_by_urgent_work_alone_above_capacity(loop):
    offer_mixed(loop, 2.0, 8.0, urgent=0.75)
    loop.run(20.0)
    begun = [
        done.started_at for done in select(loop, "bulk") if 3.0 < done.started_at < 8.0
    ]
    assert len(begun) > 0.05 * CAPACITY * 5.0


def test_waits_are_normal_soon_after_a_burst(loop):
    loop.offer_load(0.5 * CAPACITY, 0.0, 8.0)
    loop.offer_load(5.0 * CAPACITY, 2.0, 2.2)
    loop.run(20.0)
    assert compute_p99_wait(select(loop, until=1.9)) < 0.02
    assert compute_p99_wait(select(loop, since=2.0, until=2.2)) > 0.2
    # The burst brings 1 s of work, half the capacity is free for it: 2 s.
    assert compute_p99_wait(select(loop, since=4.7)) < 0.02
    assert not select(loop, ran=verdict.Ran.NO)


def test_recovers_after_full_saturation(loop):
    loop.offer_load(0.5 * CAPACITY, 0.0, 12.0, timeout=1.0)
    loop.offer_load(3.0 * CAPACITY, 1.0, 5.0, timeout=1.0)
    loop.run(20.0)
    assert select(loop, ran=verdict.Ran.NO, since=1.0, until=5.0)
    # At 5 s some 0.5 s of work waits; half the capacity is free for it, so
    # 1 s, and the last of it runs for 0.3 s.
    assert compute_p99_wait(select(loop, since=6.3)) < 0.02
    assert not select(loop, ran=verdict.Ran.NO, since=5.5)


def test_skewed_demand_waits_no_longer(loop):
    loop.offer_load(0.7 * CAPACITY, 0.0, 8.0, weights=[10.0] + [1.0] * 8)
    loop.run(20.0)
    assert compute_p99_wait(select(loop)) < 0.03
    assert loop.counts["refusals"] == 0


def test_slow_worker_is_selected_last(loop):
    loop.workers["vm0"].slowdown = 4.0
    loop.offer_load(0.6 * CAPACITY, 0.0, 8.0)
    loop.run(20.0)
    begun = {vm: len(worker.start_times) for vm, worker in loop.workers.items()}
    assert begun["vm0"] < 0.25 * max(begun.values())
    assert compute_p99_wait(select(loop)) < 0.03


def test_team_with_many_requests_does_not_delay_the_others(loop):
    loop.offer_load(2.0 * CAPACITY, 0.0, 6.0, team="a-many", timeout=3.0)
    loop.offer_load(0.1 * CAPACITY, 0.0, 6.0, team="few", timeout=3.0)
    loop.run(20.0)
    few = [done for done in select(loop) if done.team == "few"]
    many = [done for done in select(loop) if done.team == "a-many"]
    assert not [d for d in select(loop, ran=verdict.Ran.NO) if d.team == "few"]
    assert compute_p99_wait(few) < 0.2 * compute_p99_wait(many)


@pytest.mark.parametrize("mode", ["down", "refuse"])
@pytest.mark.parametrize("policy", list(link.Policy))
def test_total_outage_is_not_multiplied(mode, policy):
    loop = routing_loop.EventLoop(policy=policy)
    loop.offer_load(0.5 * CAPACITY, 0.0, 14.0, idempotent=True, timeout=5.0)
    loop.run(2.0)
    for worker in loop.workers.values():
        worker.mode = mode
    before, arrived = loop.counts["sends"], loop.count_arrived()
    loop.run(14.0)
    assert loop.counts["sends"] - before < 1.1 * (loop.count_arrived() - arrived)
    loop.run(30.0)
    refused = select(loop, ran=verdict.Ran.NO, since=2.1)
    assert len(refused) > 0.99 * 0.5 * CAPACITY * 11.0
    assert compute_p99_latency(refused) < 0.5


def test_worker_that_fails_all_requests_is_ejected_and_returns(loop):
    failing = loop.workers["vm0"]
    failing.mode = "fail"
    loop.offer_load(0.75 * CAPACITY, 0.0, 20.0)
    loop.run(10.0)
    assert len(failing.start_times) < 0.01 * sum(
        len(w.start_times) for w in loop.workers.values()
    )
    failing.mode = "ok"
    loop.run(20.0)
    later = [when for when in failing.start_times if when > 18.0]
    assert len(later) > 100


def test_no_more_than_the_maximum_share_is_ejected(loop):
    for worker in loop.workers.values():
        worker.mode = "fail"
    loop.offer_load(0.3 * CAPACITY, 0.0, 5.0)
    loop.run(5.0)
    used = [vm for vm, w in loop.workers.items() if any(t > 4.0 for t in w.start_times)]
    assert len(used) >= len(loop.workers) * (1.0 - outlier.MAX_EJECTED_SHARE)


@pytest.mark.parametrize("fault", ["kill", "pause", "cut"])
def test_loss_of_the_owner_delays_requests_only_briefly(loop, fault):
    owner = loop.find_owner()
    weights = [0.0 if name == owner else 1.0 for name in loop.names]
    loop.offer_load(0.7 * CAPACITY, 0.0, 6.0, weights=weights)
    loop.call_at(
        2.0, getattr(loop, fault) if fault != "cut" else loop.partitioned.add, owner
    )
    loop.run(20.0)
    assert len(loop.completed) == loop.count_arrived()
    assert not select(loop, ran=verdict.Ran.MAYBE)
    detection_seconds = link.OWNER_TIMEOUT_SECONDS + 0.1
    assert (
        compute_p99_wait(select(loop, since=2.0, until=2.3)) < 2.0 * detection_seconds
    )
    assert compute_p99_wait(select(loop, since=2.5)) < 0.05


def test_caller_that_disconnects_frees_its_place(loop):
    daemon = next(name for name in loop.names if name != loop.find_owner())
    numbers = [loop.submit(daemon, 1.0) for _ in range(200)]
    loop.run(0.5)
    waiting = sum(loop.cores[daemon].count_waiting().values())
    assert waiting == 200 - SLOTS
    grants = []

    def watch(tell):
        grants.extend(m for m in tell.messages if isinstance(m, peer.Grant))

    loop.on_message = watch
    for number in numbers:
        loop.deliver(daemon, event.Cancelled(number))
    later = loop.submit(daemon, 0.01)
    loop.run(1.2)
    assert loop.completed[later].verdict == verdict.ran()
    assert len(grants) == 1
    ran = collections.Counter(done.verdict.ran for done in loop.completed.values())
    assert ran[verdict.Ran.NO] == waiting
    assert sum(loop.runs.values()) == SLOTS + 1


def test_requests_shorter_than_the_mean_are_still_tried(loop):
    for _ in range(20):
        loop.submit("d0", 3.0)
    loop.run(4.0)
    numbers = [loop.submit("d0", 0.02, timeout=1.0) for _ in range(20)]
    loop.run(6.0)
    assert {loop.completed[number].verdict for number in numbers} == {verdict.ran()}
