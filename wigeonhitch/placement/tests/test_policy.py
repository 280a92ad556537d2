"""Placement with wrong sizes, failing workers, drains and mass cancellation."""

import collections

import pytest

from wigeonhitch.placement import job, quarantine, reconciliation, size

S = job.JobState


def count_states(world, names, team="coffee"):
    return collections.Counter(world.read_job(name, team).state for name in names)


def test_a_job_that_can_never_run_is_refused_and_blocks_nobody(world):
    world.submit("huge", cores=40.0, deadline=30.0)
    world.submit("over", cores=30.0, memory=300.0)
    world.submit("lost", pool="nowhere")
    world.submit("small")
    world.play("d1", 3)
    assert world.read_job("huge").reason == "needs 40 cores, a VM of pool batch has 32"
    assert world.read_job("over").state is S.REFUSED
    assert world.read_job("small").state is S.RUNNING


def test_a_job_whose_pool_is_removed_after_its_first_attempt_is_refused(make_world):
    """Guards against a job that waits for ever in a pool that doesn't exist.

    The pool was removed within the time for which a job may name an unknown pool. Once
    that had passed, only jobs in their first attempt were considered again.
    """
    world = make_world(vms=2)
    world.take_duty("d1")
    world.submit("one", work={"duration": 300.0})
    world.play("d1", 3)
    world.fake.change_fleet(failing=[world.read_job("one").vm])
    world.unusable = {"w0", "w1"}
    world.play("d1", 12)
    waiting = world.read_job("one")
    assert (waiting.state, waiting.attempt) == (S.QUEUED, 2)
    pools = tuple(pool._replace(name="other") for pool in world.document.pools)
    world.document = world.document._replace(pools=pools)

    world.play("d1", reconciliation.POLICY_GRACE_SECONDS)

    assert world.read_job("one").state is S.REFUSED


def test_a_job_that_fails_everywhere_is_refused_and_quarantines_no_worker(world):
    bad = [f"bad{number}" for number in range(6)]
    for name in bad:
        world.submit(name, work={"duration": 4.0, "fails": True})
    world.submit("good", work={"duration": 300.0})
    world.play("d1", 120)
    assert count_states(world, bad) == {S.REFUSED: 6}
    assert "failed on 3 healthy workers" in world.read_job("bad0").reason
    assert world.read_job("good").state is S.RUNNING
    worker_quarantine = world.get_controller("d1").core.state.quarantine
    assert not any(worker_quarantine.is_on_trial(f"w{number}") for number in range(4))


def test_a_worker_that_fails_everything_is_quarantined_and_tried_again(world):
    world.fake.change_fleet(failing=["w0"])
    names = [f"j{number}" for number in range(24)]
    for name in names:
        world.submit(name, work={"duration": 10.0})
    world.play("d1", 150)
    assert count_states(world, names) == {S.FINISHED: 24}
    failed = [run for run in world.fake.engine.tasks.log() if run["vm"] == "w0"]
    assert 3 <= len(failed) <= 10
    world.fake.change_fleet(failing=[])
    worker_quarantine = world.get_controller("d1").core.state.quarantine
    for number in range(8):
        world.submit(f"later{number}", work={"duration": 10.0})
    world.play("d1", 200)
    for number in range(8):
        world.submit(f"last{number}", work={"duration": 10.0})
    world.play("d1", 30)
    assert not worker_quarantine.is_on_trial("w0")


def test_only_a_share_of_a_pool_is_ever_quarantined():
    worker_quarantine = quarantine.Quarantine()
    pool = [f"w{number}" for number in range(10)]
    for vm in pool:
        for name in ("a", "b", "c", "d"):
            worker_quarantine.record_failure(vm, name, pool, 0.0)
    assert sum(worker_quarantine.is_quarantined(vm, 1.0) for vm in pool) == 2


def test_urgent_work_starts_although_bulk_fills_every_worker(world):
    for number in range(4):
        fields = {"cores": 32.0, "memory": 16.0, "work": {"duration": 400.0}}
        team = "coffee" if number < 2 else "cardamom"
        world.submit(f"bulk{number}", team=team, deadline=9000.0, **fields)
    world.play("d1", 10)
    world.submit("now", team="coffee", urgency="urgent", kind="lookup")
    assert world.read_job("now").state is S.QUEUED
    world.play("d1", 1.5)
    assert world.read_job("now").state is S.QUEUED  # the quota of its team is used up
    world.ask(world.jobs.cancel, team="coffee", job="bulk0")
    world.ask(world.jobs.cancel, team="coffee", job="bulk1")
    world.play("d1", 8)
    assert world.read_job("now").state in (S.RUNNING, S.FINISHED)


def test_bulk_is_checkpointed_for_urgent_work_and_resumed(make_world):
    world = make_world(quota=(256.0, 512.0))
    world.take_duty("d1")
    for number in range(4):
        fields = {"cores": 32.0, "memory": 16.0, "work": {"duration": 60.0}}
        world.submit(f"bulk{number}", deadline=9000.0, **fields)
    world.play("d1", 10)
    world.submit("now", urgency="urgent", kind="lookup", work={"duration": 10.0})
    start = world.fake.now
    world.play("d1", 2)
    runs = {run["task"]: run for run in world.fake.engine.tasks.log()}
    assert runs["coffee/now/1"]["started"] <= start + 1.7
    world.play("d1", 120)
    assert world.read_job("now").state is S.FINISHED
    assert count_states(world, [f"bulk{n}" for n in range(4)]) == {S.FINISHED: 4}
    assert len(world.fake.engine.tasks.log()) == 5


def test_no_job_starts_on_a_draining_worker_and_bulk_leaves_it(world):
    world.submit("long", work={"duration": 3000.0}, duration=3000.0)
    world.play("d1", 5)
    vm = world.read_job("long").vm
    world.unusable = {vm}
    for number in range(12):
        world.submit(f"j{number}", work={"duration": 5.0})
    world.play("d1", 90)
    runs = [run for run in world.fake.engine.tasks.log() if run["vm"] == vm]
    assert [run["task"] for run in runs] == ["coffee/long/1"]
    assert world.read_job("long").vm != vm
    assert world.fake.engine.store.read([f"reservation/{vm}"])[0].value is None


def test_a_job_killed_for_memory_gets_more_and_its_kind_is_estimated(world):
    actual_usage = {"duration": 10.0, "memory": 30.0}
    for number in range(12):
        world.submit(f"j{number}", memory=4.0, work=actual_usage)
    world.play("d1", 300)
    assert count_states(world, [f"j{n}" for n in range(12)]) == {S.FINISHED: 12}
    world.submit("late", memory=4.0, work=actual_usage)
    world.play("d1", 30)
    assert world.read_job("late").attempt == 1
    assert 30.0 <= world.read_job("late").memory <= 64.0


def test_the_reservation_of_a_running_job_is_reduced_to_its_usage(make_world):
    world = make_world(quota=(256.0, 512.0))
    world.take_duty("d1")
    work = {"duration": 200.0, "cores": 2.0, "memory": 4.0}
    for number in range(8):
        world.submit(f"j{number}", cores=32.0, memory=56.0, work=work)
    world.play("d1", 90)
    assert count_states(world, [f"j{n}" for n in range(8)])[S.RUNNING] == 4
    world.play("d1", 40)
    assert count_states(world, [f"j{n}" for n in range(8)])[S.RUNNING] == 8


def test_room_taken_by_another_urgent_job_is_made_again(make_world):
    world = make_world(vms=1, quota=(256.0, 512.0))
    world.take_duty("d1")
    for number in range(8):
        work = {"duration": 400.0}
        world.submit(f"bulk{number}", memory=7.0, deadline=9000.0, work=work)
    world.play("d1", 10)
    start = world.fake.now
    fields = {"urgency": "urgent", "kind": "lookup", "memory": 7.0}
    world.submit("u1", deadline=60.0, **fields)
    world.step("d1")
    world.submit("u0", deadline=30.0, **fields)
    world.fake.advance(0.5)
    world.play("d1", 2)
    runs = {run["task"]: run for run in world.fake.engine.tasks.log()}
    assert runs["coffee/u0/1"]["started"] <= start + 1.7
    assert runs["coffee/u1/1"]["started"] <= start + 1.7


def test_the_estimator_evicts_the_least_recently_used_kinds():
    estimator = size.SizeEstimator()
    for number in range(size.MAX_KINDS + 10):
        estimator.add_memory(f"kind{number}", 1.0)
    assert estimator.estimate("kind0", 8.0, 8.0) == (8.0, 8.0)
    assert len(estimator._peaks) == size.MAX_KINDS


@pytest.mark.parametrize(
    ("usable_cores", "min_cores", "max_cores"), [(16.0, 16.0, 24.0), (0, 2, 3)]
)
def test_cores_grow_only_while_jobs_get_faster(
    world, usable_cores, min_cores, max_cores
):
    work = {"duration": 10.0} | ({"cores": usable_cores} if usable_cores else {})
    for number in range(100):
        sizes = {"cores": 2.0, "memory": 2.0, "duration": 10.0, "kind": "even"}
        world.submit(f"j{number}", work={**work, "memory": 1.0}, **sizes)
    world.play("d1", 700)
    assert world.read_job("j99").state is S.FINISHED
    estimator = world.get_controller("d1").core.state.estimator
    assert min_cores <= estimator.estimate("even", 2.0, 2.0)[0] <= max_cores


def test_late_bulk_is_not_starved_by_a_stream_of_urgent_work(make_world):
    world = make_world(vms=1, quota=(32.0, 64.0))
    world.take_duty("d1")
    world.submit("closing", deadline=25.0, duration=20.0, cores=8.0)
    fields = {"urgency": "urgent", "cores": 16.0, "kind": "lookup"}
    for number in range(80):
        team = ("coffee", "cardamom")[number % 2]
        world.submit(f"u{number}", team=team, work={"duration": 2.0}, **fields)
    world.play("d1", 60)
    assert world.read_job("closing").state is S.FINISHED


def test_a_worker_is_kept_free_for_a_large_job(make_world):
    world = make_world(vms=2, quota=(64.0, 128.0))
    world.take_duty("d1")
    names = [f"s{number}" for number in range(220)]
    for number, name in enumerate(names):
        work = {"duration": 8.0 + 7 * number % 60, "cores": 3.0, "memory": 3.0}
        world.submit(name, team="cardamom", cores=4.0, memory=4.0, work=work)
    world.play("d1", 3)
    world.submit("whole", cores=32.0, kind="whole", deadline=5000.0)
    world.play("d1", 180)
    assert world.read_job("whole").state in (S.RUNNING, S.FINISHED)
    assert count_states(world, names, "cardamom")[S.QUEUED] > 0


def test_a_group_is_spread_over_racks(world):
    for number in range(4):
        fields = {"spread": "closing", "work": {"duration": 300.0}}
        world.submit(f"j{number}", team="coffee", **fields)
    world.play("d1", 3)
    racks = collections.Counter(
        world.get_controller("d1").core.state.failure_domain(world.read_job(f"j{n}").vm)
        for n in range(4)
    )
    assert racks == {"r0": 2, "r1": 2}


def test_mass_cancellation_does_not_delay_an_urgent_start(make_world):
    world = make_world(quota=(60.0, 256.0))
    world.take_duty("d1")
    names = [f"j{number}" for number in range(2000)]
    for name in names:
        world.submit(name, cores=30.0, work={"duration": 900.0})
    world.play("d1", 5)
    reads = (
        world.counters.copy(),
        world.get_controller("d1")._platform.table.reads.copy(),
    )
    for start in range(0, 2000, 1000):
        body = {"jobs": names[start : start + 1000]}
        world.ask(world.jobs.cancel_many, body, team="coffee")
    world.submit("now", team="cardamom", urgency="urgent", kind="lookup")
    world.step("d1")
    assert len(world.fake.engine.tasks.log()) == 3
    world.play("d1", 10)
    assert count_states(world, names) == {S.CANCELLED: 2000}
    reads_during = world.get_controller("d1")._platform.table.reads - reads[1]
    assert reads_during["placement"] < 60
    assert world.counters["changes"] - reads[0]["changes"] < 20
