"""Scenarios for the mechanisms that prevent a task from running twice."""

import pytest

from wigeonhitch.placement import attempt, calls, job, reconciliation
from wigeonhitch.platform import table

S = job.JobState


def log(world):
    return world.fake.engine.tasks.log()


def list_no_tasks(world, monkeypatch):
    """Let the platform list no tasks, as for a worker that it can't reach."""
    scheduler = world.fake.engine.tasks
    monkeypatch.setattr(scheduler, "list_tasks", lambda vms, now: [])


def test_a_submitted_job_is_placed_runs_and_finishes(world):
    assert world.submit("one").status == 202
    world.play("d1", 2)
    running = world.read_job("one")
    assert running.state is S.RUNNING
    world.play("d1", 40)
    assert world.read_job("one").state is S.FINISHED
    assert world.fake.engine.store.read([f"reservation/{running.vm}"])[0].value is None
    assert [run["task"] for run in log(world)] == ["coffee/one/1"]


def test_a_lost_start_answer_is_resolved_under_the_same_name(world):
    world.submit("one")
    world.fake.switch(lose={"prefix": "/tasks", "next": 8})
    world.play("d1", 40)
    assert world.read_job("one").state is S.FINISHED
    assert [run["task"] for run in log(world)] == ["coffee/one/1"]


def test_a_delayed_start_does_not_run_beside_another(world):
    world.submit("one", work={"duration": 300.0})
    world.fake.switch(late={"prefix": "/tasks", "next": 12, "seconds": 20.0})
    world.step("d1")
    vm = world.read_job("one").vm
    world.fake.switch(late=None)
    world.fake.engine.fleet.reboot(vm, 0, world.fake.now)
    world.play("d1", 60)
    assert len(log(world)) == 1
    assert world.read_job("one").state is S.RUNNING
    assert world.read_job("one").vm == log(world)[0]["vm"] != vm


def test_a_start_refused_after_a_lost_answer_keeps_the_task_name(world):
    world.submit("one", work={"duration": 300.0})
    world.stale_view = world.fleet()
    world.fake.switch(late={"prefix": "/tasks", "next": 12, "seconds": 30.0})
    world.step("d1")
    vm = world.read_job("one").vm
    world.fake.switch(late=None)
    world.fake.engine.fleet.reboot(vm, 0, world.fake.now)
    world.play("d1", 4)
    world.fake.advance(60.0)
    assert [run["task"] for run in log(world)] == ["coffee/one/1"]


def test_a_start_refused_as_the_lease_lapsed_is_repeated(make_world, monkeypatch):
    """Guards against a job that stays STARTING for ever on a usable worker.

    The holder learned of the refusal in a step in which its lease lapsed, so that it
    dropped the call and placed nothing. The lease was renewed, no other worker had
    room, and the start was allowed again without being put back among the calls.
    """
    world = make_world(vms=1)
    world.take_duty("d1")
    world.submit("one")
    world.step("d1", calls=False)
    world.take_duty("d2")
    world.pending_calls["d1"].clear()
    scheduler = world.fake.engine.tasks
    with monkeypatch.context() as patch:
        patch.setattr(scheduler, "start", lambda *args: "room")
        world.step("d2")
    shard_controller = world.get_controller("d2")
    leases = shard_controller._platform.leases
    refresh = shard_controller._refresh

    async def lapse_after_refresh():
        refreshed = await refresh()
        lapsed.update(leases.held)
        leases.held.clear()
        return refreshed

    lapsed = {}
    with monkeypatch.context() as patch:
        patch.setattr(shard_controller, "_refresh", lapse_after_refresh)
        world.step("d2")
    leases.held.update(lapsed)

    world.play("d2", 60)

    assert world.read_job("one").state is S.FINISHED


def test_a_holder_whose_lease_lapsed_makes_no_call(world):
    world.submit("one")
    world.step("d1", calls=False)
    world.get_controller("d1")._platform.leases.held.clear()
    world.make_calls("d1")
    assert log(world) == []
    world.take_duty("d2")
    world.play("d2", 40)
    assert world.read_job("one").state is S.FINISHED


def test_a_resumed_stale_holder_starts_no_task(world):
    world.submit("one")
    world.submit("two")
    world.step("d1", calls=False)
    world.take_duty("d2", freeze_others=True)
    world.play("d2", 3)
    world.make_calls("d1")
    world.submit("three")
    world.play("d1", 3)
    assert world.read_job("three").state is S.QUEUED
    world.play("d2", 60)
    assert sorted(run["task"] for run in log(world)) == [
        "coffee/one/1",
        "coffee/three/1",
        "coffee/two/1",
    ]
    fences = {run["fence"] for run in log(world)}
    assert fences == {world.get_controller("d2").fence}


def test_an_unlisted_task_is_restarted_only_after_its_lease_lapsed(world, monkeypatch):
    world.submit("one", work={"duration": 500.0})
    world.play("d1", 10)
    list_no_tasks(world, monkeypatch)
    world.play("d1", attempt.TASK_LEASE_SECONDS - 20)
    assert len(log(world)) == 1
    world.play("d1", 60)
    first, second = log(world)
    assert second["started"] >= first["ended"] + attempt.LEASE_MARGIN_SECONDS - 1


def test_a_lease_is_not_lapsed_before_the_platform_has_the_fencing_token(
    world, monkeypatch
):
    world.submit("one", work={"duration": 500.0})
    world.play("d1", 10)
    world.take_duty("d2", freeze_others=True)
    list_no_tasks(world, monkeypatch)
    stale_controller = world.get_controller("d1")
    task = log(world)[0]["task"]
    delay_renewals = {"prefix": "/tasks/renew", "every": 1, "seconds": 10_000.0}
    for _ in range(20):
        world.fake.switch(late=delay_renewals)
        world.make_calls("d2")
        world.fake.switch(late=None)
        stale_controller._spawn(
            stale_controller._renew_tasks, stale_controller.fence, (task,)
        )
        world.make_calls("d1")
        world.step("d2", calls=False)
        world.fake.advance(10.0)
    assert len(log(world)) == 1


def test_a_start_follows_only_a_committed_row(world, monkeypatch):
    world.submit("one")
    client = world.get_controller("d1")._platform.table
    commit = client.commit

    async def cancel_before_commit(conditions, writes, **fields):
        monkeypatch.setattr(client, "commit", commit)
        world.ask(world.jobs.cancel, team="coffee", job="one")
        return await commit(conditions, writes, **fields)

    monkeypatch.setattr(client, "commit", cancel_before_commit)
    world.play("d1", 10)
    assert world.read_job("one").state is S.CANCELLED
    assert log(world) == []


def test_a_quota_conflict_prevents_the_start(world, monkeypatch):
    world.submit("one")
    client = world.get_controller("d1")._platform.table
    commit = client.commit
    store = world.fake.engine.store

    async def use_quota_before_commit(conditions, writes, **fields):
        monkeypatch.setattr(client, "commit", commit)
        used = table.Write("quota/coffee", {"pools": {"portal": [62.0, 8.0]}})
        store.commit([table.Condition("quota/coffee", 0)], [used], "", 0.0)
        return await commit(conditions, writes, **fields)

    monkeypatch.setattr(client, "commit", use_quota_before_commit)
    world.play("d1", 10)
    assert world.read_job("one").state is S.QUEUED
    assert log(world) == []


def test_a_commit_with_unknown_outcome_is_read_back(world):
    world.submit("one")
    world.step("d1")
    world.submit("two")
    world.fake.switch(lose={"prefix": "/table/commit", "next": 9})
    world.play("d1", 60)
    assert world.read_job("two").state is S.FINISHED
    assert len(log(world)) == 2


def test_usage_of_other_shards_counts_towards_the_quota(world):
    store = world.fake.engine.store
    used = table.Write("quota/coffee", {"pools": {"portal": [62.0, 8.0]}})
    store.commit([table.Condition("quota/coffee", 0)], [used], "", world.fake.now)
    world.submit("one")
    world.play("d1", 10)
    assert world.read_job("one").state is S.QUEUED
    row = store.read(["quota/coffee"])[0]
    freed = table.Write("quota/coffee", None)
    store.commit([table.Condition("quota/coffee", row.version)], [freed], "", 0.0)
    world.play("d1", 10)
    assert world.read_job("one").state is S.RUNNING


def test_sizes_of_bulk_are_not_learned_for_urgent_jobs_without_a_kind(world):
    for number in range(5):
        world.submit(f"bulk{number}", cores=16.0)
    world.play("d1", 120)
    assert world.read_job("bulk4").state is S.FINISHED
    world.submit("urgent", urgency="urgent")
    world.play("d1", 2)
    assert world.read_job("urgent").cores == 4.0


def test_ended_tasks_free_their_quota_for_urgent_work_within_a_second(world):
    world.submit("first", cores=32.0, work={"duration": 6.0})
    world.submit("second", cores=32.0, work={"duration": 6.0})
    world.play("d1", 5)
    world.submit("urgent", urgency="urgent")
    world.play("d1", 3)
    assert world.read_job("urgent").state is S.RUNNING


def test_a_non_repeatable_job_fails_when_its_worker_is_lost(world):
    world.submit("one", rerun=False, work={"duration": 500.0})
    world.submit("two", work={"duration": 500.0})
    world.play("d1", 10)
    for vm in {world.read_job(name).vm for name in ("one", "two")}:
        world.fake.engine.fleet.reboot(vm, 0, world.fake.now)
    world.play("d1", 20)
    assert world.read_job("one").state is S.FAILED
    assert world.read_job("one").reason == "may have run: vm lost"
    assert world.read_job("two").attempt == 2


def test_a_non_repeatable_job_blocks_a_drain_and_reports_the_reason(world):
    world.submit("one", rerun=False, work={"duration": 500.0})
    world.submit("two", work={"duration": 500.0})
    world.play("d1", 10)
    world.unusable = {world.read_job(name).vm for name in ("one", "two")}
    world.play("d1", reconciliation.DRAIN_GRACE_SECONDS + 20)
    assert (world.read_job("one").state, world.read_job("one").attempt) == (
        S.RUNNING,
        1,
    )
    assert world.read_job("one").reason == reconciliation.BLOCKS_DRAIN_REASON
    assert world.read_job("two").attempt == 2
    world.unusable = set()
    world.play("d1", 20)
    assert world.read_job("one").reason == ""


def report_usage(world, usage):
    """Report the usage of running tasks by job; return the calls that follow."""
    core = world.get_controller("d1").core
    tasks = []
    for name, (cores, memory) in usage.items():
        seen = core.state.jobs[f"coffee/{name}"].listed
        tasks.append(seen._replace(used_cores=cores, used_memory=memory))
    core.update_tasks(tasks, ["w0"], world.fake.now)
    return {(call.action, call.name) for call in core.next_calls(world.fake.now)}


@pytest.fixture
def shared_worker(make_world):
    """One worker that runs an urgent job, a bulk job and an excessive bulk job."""
    world = make_world(vms=1)
    world.take_duty("d1")
    for name, urgency in (("urgent", "urgent"), ("bulk", "bulk"), ("greedy", "bulk")):
        world.submit(name, urgency=urgency, work={"duration": 500.0})
    world.play("d1", 10)
    return world


def test_bulk_is_checkpointed_before_a_worker_is_out_of_memory(shared_worker):
    full = 64.0 * calls.MAX_MEMORY_SHARE
    below = {"urgent": (4, 8), "bulk": (4, 8), "greedy": (4, full - 17)}
    assert report_usage(shared_worker, below) == set()
    above = below | {"greedy": (4, full - 15)}
    assert report_usage(shared_worker, above) == {("checkpoint", "coffee/greedy")}


def test_bulk_is_throttled_while_it_takes_cores_from_urgent_work(shared_worker):
    assert (
        report_usage(
            shared_worker, {"urgent": (4, 8), "bulk": (4, 8), "greedy": (23, 8)}
        )
        == set()
    )
    busy = {"urgent": (4, 8), "bulk": (4, 8), "greedy": (25, 8)}
    assert report_usage(shared_worker, busy) == {("throttle", "coffee/greedy")}


def test_cancellation_during_the_start_reports_the_actual_state(world):
    world.submit("one", work={"duration": 500.0})
    world.step("d1", calls=False)
    assert world.ask(world.jobs.cancel, team="coffee", job="one").status == 202
    world.make_calls("d1")
    world.play("d1", 20)
    cancelled = world.read_job("one")
    ran = [run["state"] for run in log(world)]
    assert (cancelled.state, ran) == (S.CANCELLED, ["stopped"])
    assert cancelled.reason == "stopped after it began"


def test_leases_are_renewed_while_the_table_is_down(world):
    world.submit("one", work={"duration": 250.0})
    world.play("d1", 10)
    platform = world.get_controller("d1")._platform
    held, platform.leases.held = platform.leases.held, {}
    world.play("d1", 200)
    assert log(world)[0]["ended"] is None
    platform.leases.held = held
    world.play("d1", 100)
    assert world.read_job("one").state is S.FINISHED
