"""Tasks and jobs that can't go on now, and what lets them go on later.

Each is left out of what is to be done. The tests hold that the event, or the time,
that makes it possible is enough to bring it back.
"""

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import workers
from wigeonhitch.pool import compaction, core, stopping

NOW = 100.0
LOCATION = compaction.RowLocation("job00", "~job.0")


def step(count=1, cpu=8000, **fields):
    return model.Step(count, model.Room(cpu, 100), 1.0, **fields)


def test_step_that_found_no_room_starts_once_a_vm_joins(bench):
    bench.add_vm("w1")
    bench.add_job("j", step(3))
    assert len(bench.start()) == 1
    assert bench.plan() == []

    bench.add_vm("w2")

    assert [order.run.vm.id for order in bench.plan()] == ["w2"]


def test_step_that_found_no_room_starts_once_a_vm_is_open_again(bench):
    bench.add_vm("w1")
    bench.pool.set_closed(frozenset({"w1"}), {})
    bench.add_job("j", step())
    assert bench.plan() == []

    bench.pool.set_closed(frozenset(), {})

    assert len(bench.plan()) == 1


def test_gang_that_found_no_room_starts_once_a_vm_joins(bench):
    bench.add_vm("w1")
    bench.add_job("j", step(2, gang=True))
    assert bench.plan() == []

    bench.add_vm("w2")

    assert len(bench.plan()) == 2


def test_refused_start_is_repeated_by_time_alone(bench):
    bench.add_vm("w1")
    bench.add_job("j", step())
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(workers.Verdict.NO_ROOM), NOW)
    assert bench.plan(NOW + 0.1) == []

    assert len(bench.plan(NOW + core.START_RETRY_DELAY_SECONDS)) == 1


def test_occurrence_starts_by_time_alone(bench):
    bench.add_vm("w1")
    bench.add_job("j", step(), times=2, first_due=NOW + 1, interval=1.0)
    assert bench.plan(NOW) == []

    assert len(bench.plan(NOW + 1)) == 1


def test_task_that_failed_on_the_only_vm_is_repeated_there(bench, ended):
    machine = bench.add_vm("w1")
    bench.add_job("j", step())
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(1, run, model.End.FAILED)])
    bench.commit()

    (order,) = bench.plan()

    assert order.run.vm is machine


def test_cancelled_job_is_final_once_the_last_vm_is_resolved(bench):
    """Its tasks may run on a VM that hasn't answered yet."""
    bench.pool.on_roster("w1", "w1:1", 5, NOW)
    state = bench.add_job("j", step(), version=1)
    cancelled = record.JobRecord(state.job, NOW, True)
    bench.pool.on_job("j", cancelled, 2, LOCATION)
    bench.plan()
    assert state.final is None

    bench.answer(bench.pool.vms["w1"])
    bench.plan()

    assert state.final is model.JobState.CANCELLED


def test_unanswered_stop_is_repeated_until_the_end_is_listed(bench, listed):
    machine = bench.add_vm("w1")
    state = bench.add_job("j", step())
    (run,) = bench.start()
    bench.pool.on_job("j", record.JobRecord(state.job, NOW, True), 30, LOCATION)
    assert len(bench.plan()) == 1
    later = NOW + stopping.STOP_RETRY_SECONDS + stopping.SCAN_PERIOD_SECONDS
    bench.answer(machine, [listed(run, 10)], now=later)

    (stop,) = bench.plan(later)

    assert (stop.task, stop.number) == (run.task, run.number)
