"""Which runs are stopped so that more urgent tasks can start, and when VMs empty."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import advice, workers
from wigeonhitch.pool import message, preemption

NOW = 100.0
LATE = NOW - 6
"""Acceptance of a job of 4 s that is late at `NOW` and still has some value."""


def step(count=1, *, cpu=1000, estimate=4.0, checkpoint=True, **fields):
    room = model.Room(cpu, 100)
    return model.Step(count, room, estimate, checkpoint=checkpoint, **fields)


@pytest.fixture
def start_late(bench):
    """Let a job that can't be on time fill a VM of four cores."""

    def start(*, vm="w1", **fields):
        bench.add_vm(vm, cpu=4000)
        bench.add_job("late", step(4, **fields), accepted=LATE)
        return bench.start(NOW)

    return start


def list_stopped(orders):
    return [order.task for order in orders if isinstance(order, message.Stop)]


def list_started(orders):
    return [order.run.task.job for order in orders if isinstance(order, message.Start)]


def end_stopped(bench, machine, now):
    """Let a worker list the ends of the runs that it was told to stop."""
    ended, running = [], []
    for run in machine.runs.values():
        if run.stop_sent_at:
            number = machine.processed_end + len(ended) + 1
            end = model.End.STOPPED
            ended.append(workers.Ended(number, run.task, run.number, end, "c1"))
        else:
            running.append(workers.Running(run.task, run.number, "", 10, 0.0))
    bench.answer(machine, tuple(running), tuple(ended), now=now)


def start_beside_short_tasks(bench, long_step):
    """Start a long task on one VM, and four short ones on another."""
    bench.add_vm("w1", cpu=1000)
    bench.add_job("long", long_step)
    bench.start()
    bench.add_vm("w2", cpu=4000)
    bench.add_job("short", step(4, estimate=0.4, checkpoint=False))
    bench.start()


def test_late_runs_make_room_for_tasks_on_time(bench, start_late):
    """Half of a full pool ran jobs without value while others became late."""
    start_late()
    bench.add_job("urgent", step(2, estimate=2.0))

    assert len(list_stopped(bench.plan())) == 2


@pytest.mark.parametrize(
    "fields", [{"checkpoint": False}, {"gang": True}, {"fills": True}]
)
def test_runs_that_would_lose_work_are_not_stopped(bench, start_late, fields):
    """Guards against a stop without a checkpoint, or of one member of a gang."""
    start_late(**fields)
    bench.add_job("urgent", step(2, estimate=2.0))

    assert not list_stopped(bench.plan())


def test_runs_of_jobs_on_time_are_not_stopped_for_their_equals(bench):
    """Each stop would delay one job to speed up another."""
    bench.add_vm(cpu=4000)
    bench.add_job("first", step(4))
    bench.start()
    bench.add_job("second", step(2, estimate=2.0))

    assert not list_stopped(bench.plan())


def test_a_queue_with_precedence_preempts_jobs_on_time(bench):
    """Guards against a queue of priority 0 that waits for one of priority 1."""
    queues = [
        model.Queue("q", "h", "/q/", "p", priority=1),
        model.Queue("first", "h", "/f/", "p", priority=0),
    ]
    bench.pool.on_queues(queues)
    bench.add_vm(cpu=4000)
    bench.add_job("other", step(4))
    bench.start()
    bench.add_job("urgent", step(3, estimate=2.0), queue="first")

    assert len(list_stopped(bench.plan())) == 3


def test_no_further_runs_are_stopped_while_stops_are_under_way(bench, start_late):
    """A stop takes up to half a second, in which some fifty rounds are planned."""
    start_late()
    bench.add_job("urgent", step(2, estimate=2.0))
    bench.plan()

    assert not list_stopped(bench.plan(NOW + 0.2))


def test_a_stop_that_leaves_too_little_room_is_not_made(bench, start_late):
    """Guards against stops that help no task that waits."""
    start_late()
    bench.add_job("urgent", step(1, cpu=5000, estimate=2.0))

    assert not list_stopped(bench.plan())


def test_preempted_tasks_resume_from_their_checkpoint_after_the_urgent_ones(
    bench, start_late
):
    """Guards against lost work, and a task that takes its room back at once."""
    machine = start_late()[0].vm
    bench.add_job("urgent", step(2, estimate=2.0))
    bench.plan()
    end_stopped(bench, machine, NOW + 0.2)

    assert list_started(bench.plan(NOW + 0.21)) == ["urgent", "urgent"]

    bench.add_vm("w2", cpu=4000)
    assert not list_started(bench.plan(NOW + 0.5))
    bench.answer(bench.pool.vms["w2"], now=NOW + 1.3)
    starts = bench.plan(NOW + 1.3)
    assert list_started(starts) == ["late", "late"]
    assert {start.order.checkpoint for start in starts} == {"c1"}


def test_a_task_is_preempted_a_bounded_number_of_times(start_late):
    """A late job must end at some time, however many bursts follow one another."""
    run = start_late()[0]
    preemptor = preemption.Preemptor({})
    for _ in range(preemption.MAX_PREEMPTIONS):
        assert preemptor.is_preemptible(run, 4.0)
        preemptor.record(run, NOW, is_delayed=True)

    assert not preemptor.is_preemptible(run, 4.0)


def test_runs_that_are_about_to_end_are_not_stopped(bench, start_late, listed):
    """Jobs lost seconds when runs were stopped that had done 70 to 99 percent."""
    machine = start_late()[0].vm
    bench.answer(machine, [listed(run, 90) for run in machine.runs.values()])
    bench.add_job("urgent", step(2, estimate=2.0))

    assert not list_stopped(bench.plan())


def test_late_runs_leave_a_closed_vm_at_once(bench, start_late):
    """VMs moved to a burst arrived 3 s late, as each waited for its last task."""
    start_late()
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)

    assert len(list_stopped(bench.plan())) == 4


def test_runs_on_time_leave_a_closed_vm_only_for_room_elsewhere(bench):
    """Guards against runs that are stopped and then wait."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", stretch=2.0)])
    bench.add_vm("w1", cpu=4000)
    bench.add_job("j", step(4))
    bench.start()
    bench.add_vm("w2", cpu=2000)
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)

    assert len(list_stopped(bench.plan())) == 2


def test_runs_that_a_restart_would_make_late_stay_on_a_closed_vm(bench):
    """Guards against a move of a VM that makes a job late."""
    bench.add_vm("w1", cpu=4000)
    bench.add_job("j", step(4))
    bench.start()
    bench.add_vm("w2", cpu=4000)
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)

    assert not list_stopped(bench.plan())


def test_the_vm_that_is_empty_first_is_given_away_first(bench):
    """A VM with many short tasks empties before one with a single long one."""
    start_beside_short_tasks(bench, step(1, checkpoint=False))

    assert bench.planner.build_status(NOW, NOW).light == ("w2", "w1")


def test_waiting_late_tasks_have_no_runs_stopped_for_them(bench, start_late):
    """One urgent task had a run stopped for each late task that waited too."""
    start_late()
    bench.add_job("backlog", step(50), accepted=LATE)
    bench.add_job("urgent", step(1, estimate=2.0))

    assert len(list_stopped(bench.plan())) == 1


def test_stops_on_closed_vms_do_not_count_for_waiting_tasks(bench, start_late):
    """Their room was awaited although no task starts on a closed VM."""
    start_late()
    bench.add_vm("w2", cpu=4000)
    bench.add_job("late too", step(4), accepted=LATE)
    bench.start()
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)
    assert len(list_stopped(bench.plan(NOW + 0.2))) == 4
    bench.add_job("urgent", step(2, estimate=2.0), accepted=NOW + 0.4)

    stopped = list_stopped(bench.plan(NOW + 0.4))
    assert [task.job for task in stopped] == ["late too"] * 2


def test_tasks_without_a_ticket_have_no_runs_stopped_for_them(bench, start_late):
    """They can't start on the room that a stop frees."""
    timing = model.Advice(0.02, 0.001, 3.0)
    queues = [
        model.Queue("q", "h", "/q/", "p"),
        model.Queue("advised", "h", "/a/", "p", objective=1.0, advice=timing),
    ]
    bench.pool.on_queues(queues)
    start_late()
    bench.add_job("urgent", step(2, estimate=2.0), queue="advised")
    assert not list_stopped(bench.plan())

    name = advice.StepName("urgent", 0, 0)
    bench.pool.tickets.on_advice(name, advice.AdviceReply({"w1": "t"}, 3.0), NOW)
    assert len(list_stopped(bench.plan(NOW + 0.2))) == 2


def test_tasks_above_a_ceiling_have_no_runs_stopped_for_them(bench, start_late):
    """They can't start on the room that a stop frees."""
    ceiling = model.Room(500, 100000)
    bench.pool.quotas.on_teams(1, [model.Team("t", ceiling=ceiling)])
    start_late()
    bench.add_job("urgent", step(2, estimate=2.0), team="t")

    assert not list_stopped(bench.plan())


def test_runs_that_stay_on_a_closed_vm_reserve_no_room_elsewhere(bench):
    """Each scan held back the free room of the other VMs from waiting tasks."""
    bench.add_vm("w1", cpu=4000)
    bench.add_job("j", step(4))
    bench.start()
    bench.add_vm("w2", cpu=4000)
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)
    bench.add_job("next", step(4))

    assert list_started(bench.plan()) == ["next"] * 4


def test_later_occurrences_of_a_job_are_not_taken_for_late(bench):
    """The due time of its first occurrence was applied to all of them."""
    bench.add_vm(cpu=4000)
    bench.add_job("j", step(4), times=3, interval=100.0, accepted=NOW - 100)
    bench.pool.jobs["j"].done[0, 0] = set(range(4))
    bench.start()
    bench.add_job("urgent", step(2, estimate=2.0))

    assert not list_stopped(bench.plan())


def test_preemptions_of_finished_jobs_are_forgotten(bench, start_late):
    """They were kept as long as the leader: forgetting the job is its last change."""
    start_late()
    bench.add_job("urgent", step(2, estimate=2.0))
    bench.plan()
    assert bench.planner._stops._preemptor._counts
    state = bench.pool.jobs["late"]
    for run in [run for run in bench.pool.live.values() if run.task.job == "late"]:
        bench.pool.remove_run(run)
    state.final, state.is_final_durable = model.JobState.COMPLETED, True
    bench.plan(NOW + 0.1)

    assert "late" not in bench.pool.jobs
    assert not bench.planner._stops._preemptor._counts


def test_run_that_resumed_is_not_stopped_while_it_keeps_to_its_time(bench, listed):
    """Its progress wasn't taken over: its job counted as late as time went by."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", objective=1.0)])
    machine = bench.add_vm(cpu=4000)
    state = bench.add_job("j", step(4))
    for index in range(4):
        state.record_checkpoint(model.Task("j", 0, 0, index), "c1")
    bench.start()
    for passed in (0.5, 1.0, 1.5, 2.0):
        now = NOW + passed
        runs = [listed(run, 25 * passed) for run in machine.runs.values()]
        bench.answer(machine, runs, now=now)
        bench.plan(now)
    bench.add_job("urgent", step(2, estimate=2.0), accepted=NOW + 2)

    assert not list_stopped(bench.plan(NOW + 2.1))


def test_room_of_a_run_that_leaves_a_closed_vm_is_kept_until_its_end(bench):
    """Another job's tasks took it in the next round, within the time of the stop."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", stretch=2.0)])
    machine = bench.add_vm("w1", cpu=4000)
    bench.add_job("j", step(4))
    bench.start()
    bench.add_vm("w2", cpu=4000)
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)
    bench.add_job("next", step(4, estimate=5.0))
    assert len(list_stopped(bench.plan())) == 4

    assert not list_started(bench.plan(NOW + 0.01))
    end_stopped(bench, machine, NOW + 0.3)
    assert list_started(bench.plan(NOW + 0.31)) == ["j"] * 4


def test_job_is_not_taken_for_late_while_its_worker_answers_late(bench, listed):
    """What was left of it stayed as it was last listed, as time went by."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", objective=1.0)])
    machine = bench.add_vm(cpu=4000)
    bench.add_job("j", step(4))
    runs = bench.start()
    for passed in (0.5, 1.0):
        work = 25 * passed
        bench.answer(machine, [listed(run, work) for run in runs], now=NOW + passed)
        bench.plan(NOW + passed)
    bench.plan(NOW + 2.1)
    bench.add_job("urgent", step(2, estimate=2.0), accepted=NOW + 2)

    assert not list_stopped(bench.plan(NOW + 2.2))


def test_several_small_runs_make_room_for_a_large_task(bench, start_late):
    """A job on time waited for late ones whose tasks were smaller than its own."""
    start_late()
    bench.add_job("urgent", step(1, cpu=3000, estimate=2.0))

    assert len(list_stopped(bench.plan())) == 3


def test_runs_stay_on_a_closed_vm_without_a_ticket_for_another(bench):
    """Their tasks waited for a ticket beside the free room."""
    timing = model.Advice(0.02, 0.001, 3.0)
    queue = model.Queue("q", "h", "/q/", "p", stretch=2.0, advice=timing)
    bench.pool.on_queues([queue])
    bench.add_vm("w1", cpu=4000)
    bench.add_job("j", step(4))
    name = advice.StepName("j", 0, 0)
    bench.pool.tickets.on_advice(name, advice.AdviceReply({"w1": "t"}, 3.0), NOW)
    bench.start()
    bench.add_vm("w2", cpu=4000)
    bench.pool.set_closed(frozenset({"w1"}), {}, 5)
    assert not list_stopped(bench.plan())

    tickets = advice.AdviceReply({"w2": "t"}, 3.0)
    bench.pool.tickets.on_advice(name, tickets, NOW)
    assert len(list_stopped(bench.plan(NOW + 0.2))) == 4


def test_members_of_gangs_count_for_the_time_until_a_vm_is_empty(bench):
    """They aren't preempted, so that their VM is empty only after their end."""
    start_beside_short_tasks(bench, step(1, gang=True))

    assert bench.planner.build_status(NOW, NOW).light == ("w2", "w1")


def test_time_until_a_vm_is_empty_follows_the_shown_run_times(bench, listed):
    """The VM with the longer task by its submitted estimate was empty first."""
    first = bench.add_vm("w1", cpu=1000)
    bench.add_job("long", step(1, estimate=1.0, checkpoint=False))
    bench.start()
    bench.add_vm("w2", cpu=1000)
    bench.add_job("short", step(1, estimate=3.0, checkpoint=False))
    bench.start()
    for passed in (0.5, 1.0):
        runs = [listed(run, 10 * passed * 2) for run in first.runs.values()]
        bench.answer(first, runs, now=NOW + passed)
        bench.plan(NOW + passed)

    assert bench.planner.build_status(NOW, NOW).light == ("w2", "w1")
