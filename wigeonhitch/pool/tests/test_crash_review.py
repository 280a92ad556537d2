"""Orders of events around the records of crashes that a review has found.

Each test forces one order. A guilty task crashes each VM that starts it, and may crash
five; a task that does no harm must start, and must not be given up.
"""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import workers
from wigeonhitch.pool import vm
from wigeonhitch.pool.tests import test_uncounted_crashes as crashes

MAX_ROW_BYTES = 65536
MAX_RUNS = 600
"""Runs of a pool of 40 VMs."""

MAX_CRASHED_VMS = crashes.MAX_CRASHED_VMS
NOW = crashes.NOW
step = crashes.step


@pytest.fixture
def make_succession(make_bench):
    def make(count=4, **fields):
        return crashes.Succession(make_bench, count, **fields)

    return make


@pytest.fixture
def succession(make_succession):
    return make_succession()


def end(succession, run, how=model.End.DONE):
    """Let a run's VM list its end."""
    ended = workers.Ended(run.vm.processed_end + 1, run.task, run.number, how, "")
    succession.answer(run.vm, [ended])


def fill(succession, machine):
    """Let a lasting task run on a VM, so that no large task fits there any more."""
    id = f"lasting-{machine.id}"
    succession.submit(id, step(lasting=True))
    run = vm.Run(model.Task(id, 0, 0, 0), 1, machine, step(lasting=True), NOW)
    run.state = vm.RunState.RUNNING
    machine.runs[run.task] = succession.bench.pool.live[run.task] = run


def test_step_that_is_opened_by_an_end_that_is_lost_with_the_leader(succession):
    """Guards against crashes of a second step that no later leader can know of.

    It is started in the round of the first step's end. The end is lost with the VM and
    the leader, so that the successor takes the second step for one that never began.
    """
    succession.submit("bad", step(), step(after=(0,)))
    for _ in range(2):
        (first,) = succession.start()
        end(succession, first)
        (second,) = succession.start()
        assert second.task.step == 1
        assert second.vm is first.vm
        succession.crash(second.vm.id, seen=False)
        succession.lead()
    (first,) = succession.start()
    end(succession, first)
    succession.bench.commit()

    succession.crash_until_given_up()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_start_before_the_withdrawal_of_a_crash_is_durable(succession):
    """Guards against an unrecorded start of a task that its row shows as a suspect.

    A VM answers after its leases have lapsed; the withdrawn crash is still in the row,
    so that the successor takes each of the task's starts for recorded.
    """
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        (earlier,) = runs
        succession.unreachable = {earlier.vm.id}
        earlier.vm.is_silent = True
        for _ in range(20):
            succession.advance()
            succession.bench.commit()
        succession.unreachable.clear()
        earlier.vm.is_silent = False
        succession.answer(earlier.vm)
        earlier.vm.quarantine(succession.now)
        runs = succession.start()
        succession.crash(runs[0].vm.id, seen=False)
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_end_of_an_earlier_run_keeps_what_a_leader_inherits(succession):
    """Guards against a late end of an earlier run that withdraws an inherited record.

    The task was started on its recorded VM, which was lost with the leader; another VM
    lists the end of an earlier run to the successor first.
    """
    succession.submit("bad")
    succession.crash(succession.start()[0].vm.id)
    succession.bench.commit()
    for _ in range(8):
        if len(succession.crashed) > MAX_CRASHED_VMS or not (
            runs := succession.start()
        ):
            break
        (earlier,) = runs
        succession.unreachable = {earlier.vm.id}
        succession.lead()
        runs = succession.start()
        if not runs:
            break
        lost = runs[0].vm.id
        succession.crash(lost, seen=False)
        del succession.ended[lost]
        succession.racks[lost], succession.unreachable = "r1", {lost}
        succession.lead()
        machine = succession.bench.pool.vms[earlier.vm.id]
        lapsed = workers.Ended(1, earlier.task, earlier.number, model.End.LAPSED, "")
        succession.answer(machine, [lapsed])
        succession.bench.commit()
        del succession.racks[lost]
        succession.unreachable.clear()
        succession.ended[lost] = vm.VmEnd.LOST
        succession.tell_closings()
        succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_crash_of_a_vm_that_is_leaving_after_the_start(succession):
    """Guards against a crash that counts as planned, as the VM was to leave later."""
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        machine = runs[0].vm
        machine.entry = machine.entry._replace(leaving=True, remaining=60.0)
        succession.crash(machine.id)
        succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_late_crash_beside_the_ordered_end_of_a_vm_of_the_rack(succession):
    """Guards against an ordered end that makes a crash look like the loss of a rack.

    The same list shows both VMs of the rack as ended, one of them by an order.
    """
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        succession.work(2.5)
        crashed = runs[0].vm
        (peer,) = (
            id
            for id, rack in succession.racks.items()
            if rack == crashed.rack and id != crashed.id
        )
        succession.racks.pop(peer)
        succession.ended[peer] = vm.VmEnd.ORDERED
        successor = succession._replace(crashed.rack)
        succession.crash(crashed.id)
        succession._join(successor)
        succession.advance(0.0)
        succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_two_tasks_that_crash_both_vms_of_a_rack_after_some_seconds(make_succession):
    """Guards against two guilty tasks whose crashes look like a loss of their rack."""
    succession = make_succession(2, racks=("r1",))
    succession.submit("bad", step(2, spread=1))
    for _ in range(8):
        runs = succession.start()
        if not runs:
            break
        for _ in range(4):
            if len(succession.bench.pool.live) < 2:
                succession.bench.commit()
                succession.advance(0.1)
                runs += succession.bench.start(succession.now)
        succession.work(2.5)
        crashed = {run.vm.id for run in runs if not run.vm.gone}
        for id in crashed:
            succession.crash(id, seen=False)
        succession.tell_closings()
        for id in succession.racks:
            succession._join(id)
        succession.advance(0.0)
        succession.bench.commit()

    assert len(succession.crashed) <= 2 * MAX_CRASHED_VMS


def test_excuse_is_withdrawn_when_its_vm_answers(succession):
    """Guards against a partition that counts as a crash that was left out."""
    state = succession.submit("good")
    (run,) = succession.start("good")
    succession.work(0.5)
    succession.unreachable = {run.vm.id}
    run.vm.is_silent = True
    for _ in range(20):
        succession.advance()
    succession.unreachable.clear()
    run.vm.is_silent = False
    succession.answer(run.vm)

    assert not state.is_suspect(run.task)


def test_task_is_not_given_up_while_vms_of_its_count_may_answer(make_succession):
    """Guards against a job that fails while VMs of its count are only cut off."""
    succession = make_succession(12)
    succession.submit("good")
    cut_off = []
    while len(cut_off) < 3 and (runs := succession.start("good")):
        machine = runs[0].vm
        succession.unreachable.add(machine.id)
        machine.is_silent = True
        cut_off.append(machine)
    for run in succession.start("good"):
        succession.crash(run.vm.id)
        succession.bench.commit()
    for machine in cut_off:
        succession.unreachable.discard(machine.id)
        machine.is_silent = False
        succession.answer(machine)

    assert succession.get_final("good") is None


def test_done_task_is_not_given_up(succession):
    """Guards against a job that fails for a task that has completed.

    It completed on a VM that was counted as crashed; the end of another VM of its
    count is told afterwards.
    """
    state = succession.submit("good", step(), step(after=(0,)))
    task = model.Task("good", 0, 0, 0)
    machines = list(succession.bench.pool.vms.values())
    for machine in machines[:3]:
        state.record_crash(task, machine.id, is_test=machine is not machines[0])
    succession.bench.pool.suspects.on_progress_read(state)
    done = workers.Ended(1, task, 1, model.End.DONE, "")
    succession.answer(machines[0], [done])
    assert state.is_done(task)
    succession.crash(machines[1].id)

    assert succession.get_final("good") is None


def test_gang_that_lost_one_recorded_vm_gives_the_others_back(make_succession):
    """Guards against a VM that is held for ever for one member of a gang.

    The other member's VM has ended and has no room any more; a job that needs the held
    VM comes first in each round.
    """
    succession = make_succession(2, racks=("r1",))
    pool = succession.bench.pool
    state = succession.submit("gang", step(2, cpu=8000, gang=True))
    pool.suspects.on_unseen_ends([state], NOW)
    succession.bench.commit()
    succession.bench.plan(succession.now)
    assert len(state.assigned_vms) == 2
    lost = state.assigned_vms[model.Task("gang", 0, 0, 0)]
    succession.crash(lost)
    assert len(state.assigned_vms) == 1
    (fresh,) = (
        machine
        for machine in pool.vms.values()
        if machine.id not in state.assigned_vms.values()
    )
    fill(succession, fresh)
    succession.submit("first", step(cpu=8000))
    started = []
    for _ in range(10):
        started += [run.task.job for run in succession.bench.start(succession.now)]
        succession.bench.commit()
        succession.advance()

    assert started


def test_done_task_holds_no_vm(make_succession):
    """Guards against room that stays reserved for a task that has completed.

    An earlier run completes while the start of a later one gets no answer.
    """
    succession = make_succession(2, racks=("r1",))
    state = succession.submit("good", step(cpu=8000), step(cpu=8000, after=(0,)))
    (earlier,) = succession.start("good")
    succession.unreachable = {earlier.vm.id}
    succession.lead()
    state = succession.bench.pool.jobs["good"]
    (later,) = succession.start("good", answered=False)
    assert later.vm.id != earlier.vm.id
    later.state = vm.RunState.UNKNOWN
    succession.unreachable.clear()
    machine = succession.bench.pool.vms[earlier.vm.id]
    machine.is_silent = False
    done = workers.Ended(1, earlier.task, earlier.number, model.End.DONE, "")
    succession.answer(machine, [done])
    assert state.is_done(earlier.task)
    succession.bench.commit()
    fill(succession, machine)

    assert [run.task.step for run in succession.start("good")] == [1]


@pytest.mark.parametrize("unseen", [False, True])
def test_spread_task_that_may_have_crashed_a_vm_shows_as_demand(succession, unseen):
    """Guards against a lasting task that waits for ever, as no VM is asked for."""
    succession.submit("good", step(5, lasting=True, spread=1))
    if unseen:
        succession.crash(next(iter(succession.racks)), seen=False)
        succession.lead()
    for _ in range(4):
        succession.bench.start(succession.now)
        succession.bench.commit()
        succession.advance(0.1)
    assert len(succession.bench.pool.live) == 4

    assert succession.bench.planner.unmet > 0


def test_progress_row_of_a_large_job_fits_into_the_store(succession):
    """Guards against a row that the store refuses, with each batch that holds it."""
    state = succession.submit("good", step(model.MAX_OPEN_TASKS, cpu=1))
    succession.bench.pool.suspects.on_unseen_ends([state], NOW)
    sizes = [len(record.write_progress(state))]
    for index in range(MAX_RUNS):
        state.assign_vm(model.Task("good", 0, 0, index), "0123456789abcdef")
    sizes.append(len(record.write_progress(state)))

    assert max(sizes) <= MAX_ROW_BYTES, sizes


def test_excuse_is_kept_when_a_vm_of_an_earlier_one_answers(succession):
    """Guards against a crash that is lost from the count, so that a sixth VM crashes.

    A task was excused for a silent VM, cleared by its work elsewhere, and excused again
    for a VM that crashed. Then the silent one answers.
    """
    state = succession.submit("l", step(lasting=True))
    (run,) = succession.start("l")
    suspects = succession.bench.pool.suspects
    suspects._excuse(run.task, "silent")
    state.clear_crashes(run.task)
    suspects._excuse(run.task, "crashed")

    suspects.on_vm_answered("silent")

    assert state.is_suspect(run.task)
