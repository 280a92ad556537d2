"""Who goes first, where to, and what is moved off VMs that go away."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers
from wigeonhitch.pool import core, pacing, priority, view, vm

NOW = 100.0


def step(count=1, cpu=1000, **fields):
    return model.Step(count, model.Room(cpu, 100), **{"estimate": 1.0, **fields})


def list_started(orders):
    return [(one.run.task.job, one.run.vm.id) for one in orders]


def test_a_burst_beyond_the_pool_serves_the_cheapest_worth_first(bench):
    """Five times what the pool holds: small jobs are worth more a core-second."""
    bench.add_vm(cpu=8000)
    bench.add_job("large", step(8, 2000, estimate=2.0))
    for number in range(4):
        bench.add_job(f"small{number}", step(2, 1000))

    started = {job for job, _ in list_started(bench.plan())}

    assert started == {"small0", "small1", "small2", "small3"}


def test_jobs_that_can_not_be_in_time_come_after_those_that_can(bench):
    bench.add_vm(cpu=1000)
    bench.add_job("late", step(), accepted=NOW - 5)
    bench.add_job("in-time", step(estimate=1.2), accepted=NOW)

    assert list_started(bench.plan()) == [("in-time", "w1")]


def test_a_late_job_uses_idle_room(bench):
    bench.add_vm()
    bench.add_job("late", step(), accepted=NOW - 50)

    assert list_started(bench.plan()) == [("late", "w1")]


def test_lasting_tasks_go_before_all_others(bench):
    bench.add_vm(cpu=1000)
    bench.add_job("batch", step(), accepted=NOW - 1)
    bench.add_job("lasting", step(lasting=True), accepted=NOW)

    assert list_started(bench.plan()) == [("lasting", "w1")]


def test_worth_is_bounded_by_four_times_the_mean():
    assert priority.compute_value(1000.0, 1.0) == priority.MAX_JOB_VALUE
    assert priority.compute_value(0.0, 1.0) == priority.BASE_VALUE
    assert priority.compute_value(5.0, 0.0) == 1.0


def test_tasks_of_a_step_stay_apart_as_asked(bench):
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j", step(3, spread=1))

    assert sorted(one.run.vm.id for one in bench.plan()) == ["w1", "w2"]


def test_a_label_and_the_datas_rack_decide(bench):
    bench.add_vm("w1", labels=("a", "r1"))
    bench.add_vm("w2", labels=("b", "r2"))
    bench.add_job("near", step(data_rack="r2"))
    bench.add_job("kind", step(label="a"))

    assert sorted(list_started(bench.plan())) == [("kind", "w1"), ("near", "w2")]


def test_a_gang_starts_whole_with_one_number_or_not_at_all(bench):
    bench.add_vm("w1", cpu=2000)
    bench.add_job("gang", step(3, gang=True))
    assert bench.plan() == []

    bench.add_vm("w2", cpu=2000)
    orders = bench.plan()
    assert len(orders) == 3
    assert len({one.run.number for one in orders}) == 1


def test_a_gang_of_one_rack_stays_in_it(bench):
    bench.add_vm("w1", cpu=2000, labels=("a", "r1"))
    bench.add_vm("w2", cpu=2000, labels=("a", "r2"))
    bench.add_vm("w3", cpu=2000, labels=("a", "r2"))
    bench.add_job("gang", step(4, gang=True, same_rack=True))

    assert {one.run.vm.rack for one in bench.plan()} == {"r2"}


def test_filling_tasks_take_no_processors_of_others(bench):
    bench.add_vm(cpu=1000)
    bench.add_job("fill", step(lasting=True, fills=True))
    bench.add_job("serve", step(lasting=True))

    assert len(bench.plan()) == 2


def test_nothing_is_started_on_vms_that_leave_or_are_vacated(bench):
    bench.add_vm("w1")
    leaving = bench.pool.vms["w1"].entry._replace(leaving=True)
    bench.pool.on_worker(leaving, NOW)
    bench.add_vm("w2")
    bench.pool.set_closed(frozenset({"w2"}), frozenset())
    bench.add_job("j")

    assert bench.plan() == []


def place_lasting(bench, count, max_unavailable):
    """Put the tasks of a lasting job on w1 and w2 and let them work."""
    bench.add_job(
        "j", step(count, 1000, lasting=True, max_unavailable=max_unavailable, spread=2)
    )
    return bench.start()


def work(bench, listed, now=NOW):
    for one in bench.pool.vms.values():
        runs = [listed(run) for run in one.runs.values()]
        bench.answer(one, runs, now=now)


def test_no_more_tasks_are_moved_at_once_than_the_step_allows(bench, listed):
    bench.add_vm("w1")
    bench.add_vm("w2")
    place_lasting(bench, 4, max_unavailable=1)
    bench.add_vm("w3")
    work(bench, listed)
    bench.pool.set_closed(frozenset({"w1"}), frozenset())

    assert len(bench.plan()) == 1
    assert bench.plan() == []


def test_tasks_away_for_another_cause_count_too(bench, listed):
    bench.add_vm("w1")
    bench.add_vm("w2")
    runs = place_lasting(bench, 4, max_unavailable=1)
    bench.add_vm("w3")
    work(bench, listed)
    away = next(run for run in runs if run.vm.id == "w2")
    away.work = 0.0
    bench.pool.set_closed(frozenset({"w1"}), frozenset())

    assert bench.plan() == []


@pytest.mark.parametrize(("spread", "vms"), [(1, 2), (2, 1)])
def test_lasting_tasks_that_must_be_apart_ask_for_vms_of_their_own(bench, spread, vms):
    """What could be seen: a lasting task that stays away beside VMs that are off.

    How: its pool lent VMs or lost some, the others have tasks of its step already, and
    a task's processors are a small part of a VM's. Cause: VMs were asked for by
    processors only, so for less than one.
    """
    for number in range(3):
        bench.add_vm(f"w{number}")
    step = model.Step(
        3 * spread + 2, model.Room(1000, 100), spread=spread, lasting=True
    )
    bench.add_job("j", step)

    assert len(bench.start()) == 3 * spread
    assert bench.planner.build_status(NOW, NOW).unmet == vms * 8000


def test_a_task_is_moved_only_when_there_is_room_elsewhere(bench, listed):
    bench.add_vm("w1")
    place_lasting(bench, 2, max_unavailable=1)
    work(bench, listed)
    bench.pool.set_closed(frozenset({"w1"}), frozenset())

    assert bench.plan() == []


def test_a_vacated_vm_shows_as_empty_only_once_nothing_runs_there(bench, listed, ended):
    one = bench.add_vm("w1")
    bench.add_job()
    (run,) = bench.start()
    bench.answer(one, [listed(run, 10)])
    bench.pool.set_closed(frozenset({"w1"}), frozenset())
    assert bench.planner.build_status(NOW, NOW).empty == ()

    bench.answer(one, ended=[ended(1, run)])
    assert bench.planner.build_status(NOW, NOW).empty == ("w1",)


def test_the_board_counts_jobs_that_have_not_begun(bench):
    bench.add_vm(cpu=1000)
    bench.add_job("first")
    bench.add_job("second")
    bench.start()

    assert bench.planner.build_status(NOW, NOW).waiting == {"q": 1}


def test_the_board_shows_what_jobs_in_time_miss(bench):
    bench.add_vm(cpu=1000)
    bench.add_job("j", step(9, 1000))
    bench.plan()

    assert bench.planner.build_status(NOW, NOW).unmet == 8000


def test_vms_that_fail_all_are_set_aside_but_never_most_of_a_pool(bench):
    for name in ("w1", "w2", "w3"):
        bench.add_vm(name)
    bench.pool.vms["w1"].quarantine(NOW)
    bench.add_job("j", step(4, 8000))
    assert sorted(one.run.vm.id for one in bench.plan()) == ["w2", "w3"]

    bench.pool.vms["w2"].quarantine(NOW)
    bench.pool.vms["w3"].quarantine(NOW)
    assert [one.run.vm.id for one in bench.plan()] == ["w1"]


def test_setting_aside_lasts_longer_each_time_and_a_done_end_resets_it():
    entry_vm = vm.Vm.__new__(vm.Vm)
    entry_vm.failures, entry_vm.quarantined_until = 0, 0.0
    entry_vm._quarantine_seconds = vm.QUARANTINE_SECONDS
    spans = []
    for _ in range(2):
        for _ in range(vm.MAX_CONSECUTIVE_FAILURES + 1):
            entry_vm.record_end(model.End.FAILED, NOW)
        spans.append(entry_vm.quarantined_until - NOW)
    entry_vm.record_end(model.End.DONE, NOW)
    entry_vm.quarantine(NOW)
    spans.append(entry_vm.quarantined_until - NOW)

    assert spans == [
        vm.QUARANTINE_SECONDS,
        2 * vm.QUARANTINE_SECONDS,
        vm.QUARANTINE_SECONDS,
    ]


@pytest.mark.parametrize(
    ("tail", "pace", "expected"),
    [(0.09, 100, 50), (0.2, 100, 25), (0.2, 20, 0), (0.05, 50, 65), (0.07, 50, 50)],
)
def test_filling_tasks_are_paced_by_the_tail_of_serving_ones(tail, pace, expected):
    run = vm.Run(model.Task("j", 0, 0, 0), 1, None, step(target=0.1), NOW)

    assert pacing.compute_pace(pace, [(tail, run)]) == expected


def test_a_task_that_may_have_come_to_work_since_counts_as_at_work(bench, listed):
    """Its figure is up to a hold old: a stop would meet it at work."""
    bench.add_vm("w1")
    bench.add_vm("w2")
    runs = place_lasting(bench, 4, max_unavailable=1)
    bench.add_vm("w3")
    work(bench, listed)
    for run in runs:
        run.work = 100.0 if run.vm.id == "w2" else 0.0
    bench.pool.set_closed(frozenset({"w1"}), frozenset())

    assert bench.plan() == []


def test_tasks_on_a_silent_vm_count_as_away(bench, listed):
    """They were at work when it last answered, and nobody knows of them since."""
    bench.add_vm("w1")
    bench.add_vm("w2")
    place_lasting(bench, 4, max_unavailable=1)
    bench.add_vm("w3")
    work(bench, listed)
    bench.pool.vms["w2"].is_silent = True
    bench.pool.set_closed(frozenset({"w1"}), frozenset())

    assert bench.plan() == []


def test_a_new_leader_does_not_count_on_runs_that_may_be_stopping(bench):
    """An earlier leader's stop may be under way: the run is listed until it ends."""
    for name in ("w1", "w2", "w3"):
        bench.add_vm(name, answers=False)
    job = step(4, 1000, lasting=True, max_unavailable=1)
    bench.add_job("j", job, version=5)
    for index, name in enumerate(("w1", "w1", "w2", "w2")):
        task = model.Task("j", 0, 0, index)
        entry = workers.Running(task, 0, "", 100, 0)
        listed = [
            workers.Running(run.task, run.number, "", 100, 0)
            for run in bench.pool.vms[name].runs.values()
        ]
        bench.answer(bench.pool.vms[name], [*listed, entry], now=NOW + 0.01)
    bench.answer(bench.pool.vms["w3"], now=NOW + 0.01)
    bench.pool.set_closed(frozenset({"w1"}), frozenset())
    assert bench.plan(NOW + 0.02) == []

    sure = NOW + 0.2 + core.ADOPTION_GRACE_SECONDS + 0.02
    for one in list(bench.pool.vms.values()):
        runs = [
            workers.Running(run.task, run.number, "", 100, 0)
            for run in one.runs.values()
        ]
        bench.answer(one, runs, now=sure)
    assert len(bench.plan(sure + 0.2)) == 1


def list_twice(bench):
    """Let two VMs list a run of one task, and the one taken over fail."""
    first, second = bench.add_vm("w1"), bench.add_vm("w2")
    bench.add_vm("w3")
    bench.add_job("j", step(), version=5)
    entry = workers.Running(model.Task("j", 0, 0, 0), 0, "", 50, 0)
    bench.answer(first, [entry])
    bench.answer(second, [entry])
    (run,) = first.runs.values()
    end = workers.Ended(1, run.task, run.number, model.End.FAILED, "")
    bench.answer(first, ended=[end], now=NOW + 0.1)
    return second


def test_a_task_is_not_begun_while_a_vm_lists_a_run_of_it(bench):
    """What could be seen: one task run twice at the same time.

    How: a run that isn't the leader's own is listed and ordered to be stopped, which
    takes up to 0.2 s; meanwhile the leader's own run failed, and the task was begun
    again elsewhere beside the listed one.

    Cause: that a stop was ordered stood for the end of the run. A task isn't begun
    while some VM lists a run of it, wanted or not.
    """
    list_twice(bench)

    assert bench.start(NOW + 0.1) == []


def test_a_task_is_begun_once_the_run_elsewhere_is_listed_no_more(bench):
    second = list_twice(bench)

    bench.answer(second, now=NOW + 0.3)

    assert len(bench.start(NOW + 0.3)) == 1


def test_a_gang_waits_for_a_run_of_one_of_its_members(bench):
    one = bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("g", step(2, gang=True))
    entry = workers.Running(model.Task("g", 0, 0, 1), 3, "", 50, 0)
    bench.answer(one, [entry])
    assert bench.start() == []

    bench.answer(one)

    assert len(bench.start()) == 2


def test_a_silent_vm_holds_a_task_up_until_its_leases_are_over(bench):
    second = list_twice(bench)
    second.is_silent = True
    lapse = 6.5 / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN
    bench.pool.vms["w3"].last_answer = NOW + lapse

    assert bench.start(NOW + lapse - 0.1) == []
    assert [run.vm.id for run in bench.start(NOW + lapse + 0.1)] == ["w3"]


def test_a_vm_that_is_gone_holds_no_task_up(bench):
    second = list_twice(bench)

    bench.pool.drop_vm(second, "another life of the VM answers")

    assert len(bench.start(NOW + 0.1)) == 1
