"""Degraded VMs, whose tasks are stuck or slow although they answer."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers
from wigeonhitch.pool import health, vm
from wigeonhitch.pool.tests import conftest

NOW = 100.0


@pytest.fixture
def step():
    return model.Step(1, model.Room(1000, 100), 1.0)


def start_task(bench, step):
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j", step)
    (run,) = bench.start()
    return run


def start_pair(bench, listed, *, peer_work):
    """Run two tasks of a step on separate VMs, one of them slowly."""
    bench.add_vm("w1")
    bench.add_vm("w2")
    bench.add_job("j", model.Step(2, model.Room(1000, 100), 1.0, spread=1))
    run, peer = bench.start()
    bench.add_vm("w3")
    bench.answer(peer.vm, [listed(peer, peer_work)], now=NOW + 0.8)
    report_work(bench, run, listed, 12, NOW + 0.9)
    return run, peer


def report_work(bench, run, listed, work, now):
    bench.answer(run.vm, [listed(run, work)], now=now)
    for machine in bench.pool.vms.values():
        machine.last_answer = now


def test_stuck_task_is_restarted_elsewhere(bench, listed, ended, step):
    run = start_task(bench, step)
    report_work(bench, run, listed, 60, NOW + 0.3)
    report_work(bench, run, listed, 60, NOW + 1.2)
    assert bench.plan(NOW + 1.2) == []

    report_work(bench, run, listed, 60, NOW + 1.5)
    (stop,) = bench.plan(NOW + 1.5)
    assert stop.task == run.task

    end = ended(1, run, model.End.STOPPED)
    bench.answer(run.vm, ended=[end], now=NOW + 1.6)
    (again,) = bench.start(NOW + 1.6)
    assert again.vm is not run.vm


def test_task_with_progress_is_left_alone(bench, listed, step):
    run = start_task(bench, step)
    for tenth in range(1, 15):
        now = NOW + tenth / 10
        report_work(bench, run, listed, 6 * tenth, now)
        assert bench.plan(now) == []


def test_task_on_slow_vm_is_restarted_elsewhere_once(bench, listed, ended):
    """The step's other task, on another VM, progresses as estimated."""
    run, peer = start_pair(bench, listed, peer_work=60)

    (stop,) = bench.plan(NOW + 0.9)
    end = ended(1, run, model.End.STOPPED)
    bench.answer(run.vm, ended=[end], now=NOW + 1.0)
    bench.answer(peer.vm, ended=[ended(1, peer)], now=NOW + 1.0)
    (again,) = bench.start(NOW + 1.0)
    report_work(bench, again, listed, 12, NOW + 2.0)

    assert stop.number == run.number
    assert bench.plan(NOW + 2.0) == []


def test_task_that_is_slow_on_all_vms_is_left_alone(bench, listed):
    """The estimate is off by nine tenths, so all tasks of the step are slow."""
    run, _ = start_pair(bench, listed, peer_work=12)

    assert bench.plan(NOW + 0.9) == []
    assert not run.vm.is_quarantined(NOW + 0.9)


def test_vm_with_slow_tasks_of_several_jobs_is_degraded(bench, listed, step):
    """No other VM runs their steps, so there are no peers to compare with."""
    machine = bench.add_vm("w1")
    bench.add_job("j", step)
    bench.add_job("k", step)
    runs = bench.start()
    other = bench.add_vm("w2")
    bench.answer(machine, [listed(run, 12) for run in runs], now=NOW + 0.9)
    other.last_answer = NOW + 0.9

    assert bench.plan(NOW + 0.9)


def test_nearly_done_task_is_left_alone(bench, listed, step):
    run = start_task(bench, step)
    report_work(bench, run, listed, 85, NOW + 3.5)

    assert bench.plan(NOW + 3.5) == []


def test_task_is_left_alone_without_another_vm(bench, listed, step):
    bench.add_vm("w1")
    bench.add_job("j", step)
    (run,) = bench.start()
    report_work(bench, run, listed, 20, NOW + 0.1)
    report_work(bench, run, listed, 20, NOW + 2.0)

    assert bench.plan(NOW + 2.0) == []


def test_vm_with_two_stuck_runs_is_quarantined(bench, listed):
    step = model.Step(4, model.Room(1000, 100), 1.0)
    first = start_one_step(bench, step)
    bench.answer(first, [listed(run, 20) for run in first.runs.values()], now=NOW + 0.1)
    bench.answer(first, [listed(run, 20) for run in first.runs.values()], now=NOW + 1.5)
    bench.pool.vms["w2"].last_answer = NOW + 1.5

    bench.plan(NOW + 1.5)

    assert first.is_quarantined(NOW + 1.6)


def start_one_step(bench, step):
    machine = bench.add_vm("w1")
    bench.add_job("j", step)
    bench.start()
    bench.add_vm("w2")
    return machine


@pytest.mark.parametrize("fields", [{"gang": True}, {"fills": True}])
def test_runs_paced_by_other_tasks_are_left_alone(make_state, fields):
    class Stub:
        last_answer = reported_clock = NOW + 9

    step = model.Step(1, model.Room(1, 1), 1.0, **fields)
    run = vm.Run(model.Task("j", 0, 0, 0), 1, Stub, step, NOW)
    run.state = vm.RunState.RUNNING

    assert not health.is_stuck(run)
    assert not health.is_slow(run, NOW + 9)


def answer_from_other_vm(bench, run, now):
    """Let the other VM answer, so that the task could be restarted there."""
    (other,) = [machine for machine in bench.pool.vms.values() if machine is not run.vm]
    bench.answer(other, now=now)


def test_pause_of_the_leader_does_not_count_as_missing_progress(bench, listed):
    """Guards against stopping more tasks of a lasting step than may be unavailable.

    A leader that was paused for two seconds while tasks started up resumed within its
    lease, saw no progress by its own clock and restarted three of them. Progress must
    be judged by the worker's clock in its answers.
    """
    run = start_task(bench, model.Step(1, model.Room(1000, 100), 1.0, lasting=True))
    report_work(bench, run, listed, 0, NOW + 0.1)
    answer_from_other_vm(bench, run, NOW + 2.5)

    assert bench.plan(NOW + 2.5) == []

    report_work(bench, run, listed, 0, NOW + 2.6)
    (stop,) = bench.plan(NOW + 2.6)
    assert stop.task == run.task


def test_late_answer_after_a_pause_does_not_count_as_missing_progress(
    bench, listed, step
):
    run = start_task(bench, step)
    report_work(bench, run, listed, 60, NOW + 0.3)
    timing = (conftest.CLOCK + 0.4, NOW + 0.3, NOW + 2.4, (listed(run, 60),))
    late = workers.HoldReply(workers.Verdict.DONE, *timing)
    bench.pool.on_hold(run.vm, late, NOW + 2.4)
    answer_from_other_vm(bench, run, NOW + 2.4)

    assert bench.plan(NOW + 2.4) == []
