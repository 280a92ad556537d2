"""Estimates learned from the progress and the ends of tasks."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers
from wigeonhitch.pool import estimate, planner, priority

NOW = 100.0


def step(count=1, seconds=1.0, **fields):
    return model.Step(count, model.Room(1000, 100), seconds, **fields)


def run_job(bench, *steps, cpu=8000):
    machine = bench.add_vm(cpu=cpu)
    bench.add_job("j", *steps)
    return machine, bench.start()


def report(bench, listed, machine, work, now):
    bench.answer(machine, [listed(run, work) for run in machine.runs.values()], now=now)


def end_runs(bench, ended, runs, now):
    ends = [ended(number, run) for number, run in enumerate(runs, 1)]
    bench.answer(runs[0].vm, ended=ends, now=now)


def get_estimates(bench):
    return bench.pool.estimates.compute_estimates(bench.pool.jobs["j"].job)


def get_inputs(bench):
    return bench.pool.get_sort_inputs(bench.pool.jobs["j"])


def get_submitted_inputs(bench):
    state = bench.pool.jobs["j"]
    queue = bench.pool.queues["q"]
    return priority.compute_sort_inputs(state, queue, state.job.estimates)


def get_group(inputs, now):
    return priority.compute_sort_key(inputs, now, 0.0).group


def test_job_estimated_at_a_tenth_is_not_taken_for_late(bench, listed, ended):
    """Its second step would count as late 0.3 s after the end of its first one."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", objective=0.5)])
    steps = (step(4, 0.2), step(4, 0.2, after=(0,)))
    machine, runs = run_job(bench, *steps)
    report(bench, listed, machine, 20, NOW + 0.4)

    assert get_inputs(bench).due == pytest.approx(NOW + 4.5)

    end_runs(bench, ended, runs, NOW + 2.0)
    inputs = get_inputs(bench)

    assert get_group(get_submitted_inputs(bench), NOW + 2.0) != priority.ON_TIME
    assert get_group(inputs, NOW + 2.0) == priority.ON_TIME
    assert inputs.due == pytest.approx(NOW + 4.5)
    assert inputs.critical_path_left == pytest.approx(2.0)


def test_job_estimated_at_ten_times_goes_earlier(bench, listed):
    """It would wait behind a job of the same queue that takes six times as long."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", objective=50.0)])
    machine, _ = run_job(bench, step(20, 10.0), cpu=4000)
    bench.add_job("other", step(20, 6.0))
    assert bench.planner.plan(NOW, NOW) == []
    before = get_inputs(bench)
    key = bench.planner._get_key

    assert key("other", NOW) < key("j", NOW)

    report(bench, listed, machine, 50, NOW + 0.5)
    bench.plan(NOW + 0.5)

    assert get_inputs(bench).work_left == pytest.approx(before.work_left / 10)
    assert key("j", NOW) < key("other", NOW)


def test_right_estimates_change_nothing(bench, listed, ended):
    """Up to the rounding of progress to whole percents."""
    machine, runs = run_job(bench, step(8), step(2, 0.4, after=(0,)))
    submitted = get_submitted_inputs(bench)
    for percent in (5.9, 10.9, 25.9, 60.9, 99.9):
        report(bench, listed, machine, int(percent), NOW + percent / 100)
        rounding = percent / int(percent) - 1
        inputs = get_inputs(bench)
        assert inputs[:3] == submitted[:3]
        assert inputs[5:7] == pytest.approx(submitted[5:7], rel=rounding + 1e-9)
        end = inputs.critical_path_left + percent / 100
        assert end == pytest.approx(submitted[7], rel=rounding + 1e-9, abs=0.01)
        for learned, expected in zip(inputs[3:5], submitted[3:5], strict=True):
            limit = (expected - NOW) * rounding
            assert learned == pytest.approx(expected, abs=limit + 1e-9)

    end_runs(bench, ended, runs, NOW + 1.0)

    assert get_inputs(bench) == pytest.approx(get_submitted_inputs(bench))


@pytest.mark.parametrize(("observed", "expected"), [(1, 2.0), (2, 3.0), (3, 3.0)])
def test_few_observations_are_mixed_with_the_submitted_estimate(
    bench, ended, observed, expected
):
    """Guards against one unusual task that decides on its whole step."""
    _, runs = run_job(bench, step(8))
    end_runs(bench, ended, runs[:observed], NOW + 3.0)

    assert get_estimates(bench) == pytest.approx((expected,))


@pytest.mark.parametrize(("seconds", "expected"), [(0.01, 0.1), (30.0, 10.0)])
def test_correction_is_bounded(bench, ended, seconds, expected):
    """Guards against a run that stood still and makes all others late."""
    _, runs = run_job(bench, step(4))
    end_runs(bench, ended, runs, NOW + seconds)

    assert get_estimates(bench) == pytest.approx((expected,))


def test_first_percents_are_not_observed(bench, listed):
    """The time of the start is known to some tens of milliseconds only."""
    machine, _ = run_job(bench, step(4))
    report(bench, listed, machine, 50, NOW + 0.1)
    report(bench, listed, machine, 9, NOW + 0.9)

    assert get_estimates(bench) == (1.0,)


@pytest.mark.parametrize("fields", [{"gang": True}, {"fills": True}, {"lasting": True}])
def test_tasks_that_others_pace_are_not_observed(bench, listed, fields):
    """Guards against learning the time for which a task is to run, or is held."""
    machine, _ = run_job(bench, step(4, **fields))
    report(bench, listed, machine, 50, NOW + 5.0)

    assert get_estimates(bench) == (1.0,)


@pytest.mark.parametrize("cause", ["resumed", "paced", "quarantined"])
def test_runs_that_do_not_show_the_run_time_are_ignored(bench, listed, ended, cause):
    """Also after the pace is raised again or the quarantine has ended."""
    machine = bench.add_vm()
    state = bench.add_job("j", step(4, checkpoint=True))
    if cause == "resumed":
        for index in range(4):
            state.record_checkpoint(model.Task("j", 0, 0, index), "c")
    runs = bench.start()
    report(bench, listed, machine, 30, NOW + 0.3)
    if cause == "paced":
        for run in runs:
            run.pace = 50
    if cause == "quarantined":
        machine.quarantine(NOW + 0.3)
    report(bench, listed, machine, 35, NOW + 1.0)

    assert get_estimates(bench) == (1.0,)

    for run in runs:
        run.pace = 100
    machine.quarantined_until = 0.0
    report(bench, listed, machine, 40, NOW + 1.6)
    end_runs(bench, ended, runs, NOW + 4.0)

    assert get_estimates(bench) == (1.0,)


def test_projection_is_dropped_with_its_run(bench, listed, ended):
    """A failed or stopped task starts anew, maybe on a faster VM."""
    machine, runs = run_job(bench, step(4))
    report(bench, listed, machine, 20, NOW + 1.0)
    assert get_estimates(bench) == pytest.approx((5.0,))

    ends = [ended(number, run, model.End.STOPPED) for number, run in enumerate(runs, 1)]
    bench.answer(machine, ended=ends, now=NOW + 1.1)

    assert get_estimates(bench) == (1.0,)


def test_steps_without_observation_follow_the_others(bench, listed, ended):
    """Guards against a job that is judged by wrong estimates of later steps."""
    steps = step(4), step(4), step(4, 0.3, after=(0, 1)), step(1, 7.0, lasting=True)
    machine, runs = run_job(bench, *steps, cpu=16000)
    ends = [ended(number, run) for number, run in enumerate(runs[:4], 1)]
    bench.answer(machine, [listed(run, 50) for run in runs[4:8]], ends, now=NOW + 2.0)

    assert get_estimates(bench) == pytest.approx((2.0, 4.0, 0.9, 7.0))


def test_successor_learns_from_adopted_runs(make_bench, ended):
    """Their age isn't known, so only the progress since the first list counts."""
    bench = make_bench(epoch=2)
    machine = bench.add_vm(answers=False)
    bench.add_job("j", step(4), version=5)

    def list_runs(work, now):
        tasks = [model.Task("j", 0, 0, index) for index in range(4)]
        running = [workers.Running(task, 1, "", work, 0) for task in tasks]
        bench.answer(machine, running, now=now)

    list_runs(50, NOW)
    list_runs(59, NOW + 0.45)
    assert get_estimates(bench) == (1.0,)

    list_runs(62, NOW + 0.6)
    assert get_estimates(bench) == pytest.approx((5.0,))

    end_runs(bench, ended, list(machine.runs.values()), NOW + 2.0)
    assert get_estimates(bench) == pytest.approx((4.0,))


def test_adopted_run_that_may_have_resumed_is_ignored(make_bench):
    """What percent a resumed run begins with isn't known to the successor."""
    bench = make_bench(epoch=2)
    machine = bench.add_vm(answers=False)
    state = bench.add_job("j", step(checkpoint=True), version=5)
    task = model.Task("j", 0, 0, 0)
    state.record_checkpoint(task, "c")
    for work, now in ((50, NOW), (62, NOW + 0.6)):
        bench.answer(machine, [workers.Running(task, 1, "d", work, 0)], now=now)

    assert get_estimates(bench) == (1.0,)


def test_start_without_an_answer_counts_from_the_first_list(bench, listed):
    """It may have begun up to a second before it is listed."""
    machine = bench.add_vm()
    bench.add_job("j", step(4))
    bench.start(answered=False)
    report(bench, listed, machine, 50, NOW + 0.5)
    report(bench, listed, machine, 75, NOW + 0.75)

    assert get_estimates(bench) == pytest.approx((1.0,))


def test_jobs_with_progress_only_are_recomputed_each_quarter_of_a_second(
    bench, listed, monkeypatch
):
    """With 600 runs, each of a hundred rounds a second has some progress."""
    machine, _ = run_job(bench, step(4))
    computed = []
    compute = bench.pool.get_sort_inputs
    monkeypatch.setattr(
        bench.pool,
        "get_sort_inputs",
        lambda state: computed.append(state) or compute(state),
    )
    bench.plan(NOW)
    computed.clear()

    for hundredth in range(1, 101):
        report(bench, listed, machine, hundredth // 2, NOW + hundredth / 100)
        bench.plan(NOW + hundredth / 100)

    assert 2 <= len(computed) <= 1 / planner.ESTIMATE_PERIOD_SECONDS

    bench.pool.changed_jobs.add("j")
    computed.clear()
    bench.plan(NOW + 1.001)
    assert computed


def test_observations_of_a_step_are_bounded(bench, ended):
    """Guards against memory and medians that grow with the number of tasks."""
    count = 2 * estimate.MAX_OBSERVATIONS
    _, runs = run_job(bench, step(count), cpu=1000 * count)
    end_runs(bench, ended, runs, NOW + 2.0)

    (observed,) = bench.pool.estimates._observed["j"].values()
    assert len(observed) == estimate.MAX_OBSERVATIONS

    bench.pool.forget_job("j")
    assert not bench.pool.estimates._observed


def test_mean_of_a_queue_follows_the_learned_work(bench, listed):
    """Otherwise the value of a job would be four times that of one of its size.

    All jobs of the queue are estimated at a tenth, so one that has shown its work seems
    to be ten times the mean, and goes before a job of a queue with right estimates.
    """
    queues = [model.Queue(name, "h", f"/{name}/", "p", objective=50.0) for name in "qr"]
    bench.pool.on_queues(queues)
    machine, _ = run_job(bench, step(4, 0.2), cpu=4000)
    bench.add_job("right", step(4, 1.0), queue="r")
    report(bench, listed, machine, 25, NOW + 0.5)
    bench.plan(NOW + 0.5)

    assert bench.pool.get_mean_work("q") == pytest.approx(8.0)
    key = bench.planner._get_key
    assert key("right", NOW) < key("j", NOW)


def run_uneven_jobs(bench, ended, count, *, seconds=1.0, longest=1.5):
    """Complete jobs of four tasks, the last of which takes ``longest``."""
    machine = bench.add_vm(cpu=8000)
    now, number = NOW, 0
    for job in range(count):
        bench.add_job(f"done{job}", step(4, seconds))
        runs = bench.start(now)
        for run, took in zip(runs, (1.0, 1.0, 1.0, longest), strict=True):
            run.started_clock = 5000.0 + now - NOW - took
        ends = [ended(number + n, run) for n, run in enumerate(runs, 1)]
        number += len(runs)
        bench.answer(machine, ended=ends, now=now)
        now += 0.1
    return now


def test_a_step_takes_as_long_as_its_longest_task(bench, ended):
    """Jobs counted as late half a second per step before they were."""
    now = run_uneven_jobs(bench, ended, estimate.MIN_STEPS)
    bench.add_job("j", step(4), step(4, after=(0,)), accepted=now)

    assert get_estimates(bench) == pytest.approx((1.0, 1.0))
    assert get_inputs(bench).critical_path_left == pytest.approx(3.0)


def test_complete_steps_correct_the_estimates_of_later_jobs_of_the_queue(bench, ended):
    """Without it, a job without a started task keeps its submitted estimates."""
    run_uneven_jobs(bench, ended, estimate.MIN_STEPS, seconds=0.5, longest=1.0)
    bench.add_job("j", step(4, 2.0))

    assert get_estimates(bench) == pytest.approx((4.0,))


def test_too_few_complete_steps_correct_nothing(bench, ended):
    """Guards against a queue that is judged by its first few steps."""
    run_uneven_jobs(bench, ended, estimate.MIN_STEPS - 1, seconds=0.5)
    bench.add_job("j", step(4, 2.0))

    assert get_estimates(bench) == (2.0,)
    assert get_inputs(bench).critical_path_left == pytest.approx(2.0)


def test_a_span_is_known_once_all_tasks_are_observed(bench, listed, ended):
    """Guards against the spread of a queue that is added to known run times."""
    now = run_uneven_jobs(bench, ended, estimate.MIN_STEPS, longest=3.0)
    bench.add_job("j", step(4), accepted=now)
    runs = bench.start(now)
    for run in runs:
        run.started_clock = 5000.0 + now - NOW
    bench.answer(runs[0].vm, [listed(run, 50) for run in runs], now=now + 0.5)

    assert bench.pool.estimates.compute_spans(bench.pool.jobs["j"].job) == (
        pytest.approx(1.0),
    )


def test_a_job_whose_last_tasks_are_nearly_done_is_on_time(bench, listed):
    """It counted as late from the time at which a whole step wouldn't end in time."""
    bench.pool.on_queues([model.Queue("q", "h", "/q/", "p", objective=0.5)])
    machine, _ = run_job(bench, step(4, 2.0))
    report(bench, listed, machine, 75, NOW + 1.5)

    inputs = get_inputs(bench)

    assert inputs.critical_path_left == pytest.approx(0.5)
    assert get_group(inputs, NOW + 1.9) == priority.ON_TIME


def test_a_step_with_a_task_that_is_not_running_takes_its_whole_time(bench, listed):
    """Guards against a step that counts as nearly done with a task yet to start."""
    machine, _ = run_job(bench, step(4, 2.0), cpu=3000)
    report(bench, listed, machine, 75, NOW + 1.5)

    assert get_inputs(bench).critical_path_left == pytest.approx(2.0)


def run_with_one_slow_task(bench, listed, ended, progress, seconds):
    """Return the spans of a job of which three tasks end in 1 s and one goes on.

    ``progress`` is what the worker lists of it after 1 s and after ``seconds``.
    """
    machine, runs = run_job(bench, step(4, 1.0))
    ends = [ended(number, run) for number, run in enumerate(runs[:3], 1)]
    bench.answer(machine, [listed(runs[3], progress[0])], ends, now=NOW + 1.0)
    bench.answer(machine, [listed(runs[3], progress[1])], now=NOW + seconds)
    return bench.pool.estimates.compute_spans(bench.pool.jobs["j"].job)


def test_span_is_bounded_with_a_run_that_stood_still(bench, listed, ended):
    """A job with one such run was due minutes later, and never counted as late."""
    assert run_with_one_slow_task(bench, listed, ended, (5, 10), 50.0) == (10.0,)


def test_a_task_that_takes_seven_times_as_long_counts_whole(bench, listed, ended):
    """Guards against jobs that count as late since one of their tasks is long."""
    assert run_with_one_slow_task(bench, listed, ended, (14, 50), 3.5) == (7.0,)
