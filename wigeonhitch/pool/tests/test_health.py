"""VMs on which tasks stand still or crawl while they answer as ever."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers
from wigeonhitch.pool import health, vm
from wigeonhitch.pool.tests import conftest

NOW = 100.0


@pytest.fixture
def step():
    return model.Step(1, model.Room(1000, 100), 1.0)


def start_one(bench, step):
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j", step)
    (run,) = bench.start()
    return run


def start_pair(bench, listed, *, peer_work):
    """Run both tasks of a step on VMs of their own, one of them slowly."""
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j", model.Step(2, model.Room(1000, 100), 1.0, spread=1))
    run, peer = bench.start()
    bench.add_vm("w3")
    bench.answer(peer.vm, [listed(peer, peer_work)], now=NOW + 0.8)
    show(bench, run, listed, 12, NOW + 0.9)
    return run, peer


def show(bench, run, listed, work, now):
    bench.answer(run.vm, [listed(run, work)], now=now)
    for one in bench.pool.vms.values():
        one.last_answer = now


def test_a_task_that_stands_still_begins_again_elsewhere(bench, listed, ended, step):
    run = start_one(bench, step)
    show(bench, run, listed, 60, NOW + 0.3)
    show(bench, run, listed, 60, NOW + 1.2)
    assert bench.plan(NOW + 1.2) == []

    show(bench, run, listed, 60, NOW + 1.5)
    (stop,) = bench.plan(NOW + 1.5)
    assert stop.task == run.task

    end = ended(1, run, model.End.STOPPED)
    bench.answer(run.vm, ended=[end], now=NOW + 1.6)
    (again,) = bench.start(NOW + 1.6)
    assert again.vm is not run.vm


def test_a_task_that_moves_is_left_alone(bench, listed, step):
    run = start_one(bench, step)
    for tenth in range(1, 15):
        now = NOW + tenth / 10
        show(bench, run, listed, 6 * tenth, now)
        assert bench.plan(now) == []


def test_a_task_on_a_slow_vm_begins_again_elsewhere_once(bench, listed, ended):
    """Its step's other task, on another VM, gets on as the estimate says."""
    run, peer = start_pair(bench, listed, peer_work=60)

    (stop,) = bench.plan(NOW + 0.9)
    end = ended(1, run, model.End.STOPPED)
    bench.answer(run.vm, ended=[end], now=NOW + 1.0)
    bench.answer(peer.vm, ended=[ended(1, peer)], now=NOW + 1.0)
    (again,) = bench.start(NOW + 1.0)
    show(bench, again, listed, 12, NOW + 2.0)

    assert stop.number == run.number
    assert bench.plan(NOW + 2.0) == []


def test_a_job_that_is_long_by_itself_is_left_alone(bench, listed):
    """The load: estimates off by nine tenths; all tasks of the step are long."""
    run, _ = start_pair(bench, listed, peer_work=12)

    assert bench.plan(NOW + 0.9) == []
    assert not run.vm.is_quarantined(NOW + 0.9)


def test_tasks_of_several_jobs_that_crawl_on_one_vm_are_its_doing(bench, listed, step):
    """No other VM runs their steps, so there is nothing to compare them with."""
    one = bench.add_vm("w1")
    bench.add_job("j", step)
    bench.add_job("k", step)
    runs = bench.start()
    other = bench.add_vm("w2")
    bench.answer(one, [listed(run, 12) for run in runs], now=NOW + 0.9)
    other.last_answer = NOW + 0.9

    assert bench.plan(NOW + 0.9)


def test_a_task_that_is_nearly_done_stays_where_it_is(bench, listed, step):
    run = start_one(bench, step)
    show(bench, run, listed, 85, NOW + 3.5)

    assert bench.plan(NOW + 3.5) == []


def test_nothing_is_moved_where_there_is_no_other_vm(bench, listed, step):
    bench.add_vm("w1")
    bench.add_job("j", step)
    (run,) = bench.start()
    show(bench, run, listed, 20, NOW + 0.1)
    show(bench, run, listed, 20, NOW + 2.0)

    assert bench.plan(NOW + 2.0) == []


def test_a_vm_with_two_sick_runs_is_set_aside(bench, listed):
    step = model.Step(4, model.Room(1000, 100), 1.0)
    first = start_one_step(bench, step)
    bench.answer(first, [listed(run, 20) for run in first.runs.values()], now=NOW + 0.1)
    bench.answer(first, [listed(run, 20) for run in first.runs.values()], now=NOW + 1.5)
    bench.pool.vms["w2"].last_answer = NOW + 1.5

    bench.plan(NOW + 1.5)

    assert first.is_quarantined(NOW + 1.6)


def start_one_step(bench, step):
    one = bench.add_vm("w1")
    bench.add_job("j", step)
    bench.start()
    bench.add_vm("w2")
    return one


@pytest.mark.parametrize("fields", [{"gang": True}, {"fills": True}])
def test_runs_whose_pace_is_others_doing_are_left_alone(make_state, fields):
    class Stub:
        last_answer = reported_clock = NOW + 9

    step = model.Step(1, model.Room(1, 1), 1.0, **fields)
    run = vm.Run(model.Task("j", 0, 0, 0), 1, Stub, step, NOW)
    run.state = vm.RunState.RUNNING

    assert not health.is_stuck(run)
    assert not health.is_slow(run, NOW + 9)


def answer_elsewhere(bench, run, now):
    """Let the other VM answer, so that the task could begin again there."""
    (other,) = [one for one in bench.pool.vms.values() if one is not run.vm]
    bench.answer(other, now=now)


def test_a_lasting_task_is_not_judged_by_the_leaders_own_pause(bench, listed):
    """What could be seen: an order ends more of a lasting step than it may miss.

    How: a daemon was paused for two seconds as its tasks were starting up. It went on
    within its lease, saw no progress since, and began three tasks of one step again
    elsewhere, though their VM answered in time.

    Cause: the leader's own time stood for the time that a VM had told of. Progress is
    judged by the worker's clock in its answers.
    """
    run = start_one(bench, model.Step(1, model.Room(1000, 100), 1.0, lasting=True))
    show(bench, run, listed, 0, NOW + 0.1)
    answer_elsewhere(bench, run, NOW + 2.5)

    assert bench.plan(NOW + 2.5) == []

    show(bench, run, listed, 0, NOW + 2.6)
    (stop,) = bench.plan(NOW + 2.6)
    assert stop.task == run.task


def test_a_task_is_not_judged_by_an_answer_from_before_its_leaders_pause(
    bench, listed, step
):
    run = start_one(bench, step)
    show(bench, run, listed, 60, NOW + 0.3)
    told = (conftest.CLOCK + 0.4, NOW + 0.3, NOW + 2.4, (listed(run, 60),))
    late = workers.HoldReply(workers.Verdict.DONE, *told)
    bench.pool.on_hold(run.vm, late, NOW + 2.4)
    answer_elsewhere(bench, run, NOW + 2.4)

    assert bench.plan(NOW + 2.4) == []
