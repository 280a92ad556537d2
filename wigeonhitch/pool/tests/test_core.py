"""Leader's view of runs whose state is uncertain."""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table, workers
from wigeonhitch.pool import compaction, core, view, vm

NOW = 100.0
CLOCK = 5000.0
LOCATION = compaction.RowLocation("job00", "p.0")


def lose_answer(bench, run, now=NOW):
    reply = workers.OrderReply(workers.Verdict.UNKNOWN)
    bench.pool.on_start(run, reply, now)


def fail_run(bench, ended, machine, number):
    """Start a task on a VM, and let the VM list its failure as an end's number."""
    now = NOW + number
    machine.last_answer = now
    (run,) = bench.start(now)
    bench.answer(machine, ended=[ended(number, run, model.End.FAILED)], now=now + 0.5)


def test_job_keeps_its_max_attempts_when_its_queue_is_removed(bench, ended):
    machine = bench.add_vm()
    state = bench.add_job(attempts=2)
    bench.pool.on_queues([])
    finals = []
    for number in (1, 2):
        fail_run(bench, ended, machine, number)
        finals.append(state.final)

    assert finals == [None, model.JobState.FAILED]


def test_older_entry_does_not_set_a_workers_clock_back(bench):
    """A new leader reads the entries while its first answers arrive.

    A start whose deadline counts from an entry that is 1.4 s old arrives late.
    """
    machine = bench.add_vm()
    bench.answer(machine, now=NOW + 1)
    older = machine.entry._replace(clock=CLOCK + 1 - 1.4)

    bench.pool.on_worker(older, NOW + 1.1)

    assert machine.compute_deadline(NOW + 1.1, 1.2) == pytest.approx(CLOCK + 2.3)


def test_worker_clock_far_behind_this_daemons_clock_is_accepted(bench):
    machine = bench.add_vm(clock=0.5, answers=False)

    assert machine.knows_clock
    assert machine.compute_deadline(NOW, 1.2) == pytest.approx(1.7)


def test_lasting_job_goes_first_even_if_its_queue_was_removed(bench):
    lasting = model.Step(1, model.Room(8000, 100), 1.0, lasting=True)
    bench.add_vm(cpu=8000)
    bench.add_job("other", model.Step(1, model.Room(8000, 100), 1.0))
    bench.add_job("l", lasting, queue="removed")

    (run,) = bench.start()

    assert run.task.job == "l"


def test_unanswered_start_is_not_repeated_before_its_deadline(bench):
    machine = bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.answer(machine, now=NOW + 1.0)
    assert bench.plan(NOW + 1.0) == []

    bench.answer(machine, now=NOW + 1.3)
    assert [order.run.number for order in bench.plan(NOW + 1.3)] == [run.number + 1]


def test_unanswered_start_counts_as_running_once_listed(bench, listed):
    machine = bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.answer(machine, [listed(run)], now=NOW + 2.0)

    assert run.state is vm.RunState.RUNNING


def test_end_of_an_unanswered_start_counts(bench, ended):
    machine = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.answer(machine, ended=[ended(1, run)], now=NOW + 2.0)

    assert state.final is model.JobState.COMPLETED


def test_progress_row_of_a_compacted_job_is_removed_at_takeover(bench):
    """Guards against progress rows that are never removed.

    They were left behind if a leader ended after compacting a job's row.
    """
    bench.pool.on_progress("gone", b'{"final":"completed"}', 33)

    batch = bench.pool.ledger.collect(bench.pool.jobs, {})

    assert rows.Write("progress", "p", "gone", None) in batch.transaction.writes
    assert rows.Condition("progress", "p", "gone", 33) in batch.transaction.conditions


def test_tasks_of_a_removed_queue_still_need_tickets(bench):
    """Guards against an accepted job that never runs.

    The queue's policy requires tickets and the queue was removed from the
    configuration; its tasks were started without tickets, and each start was refused.
    """
    bench.add_vm()
    bench.add_job(queue="gone", is_advised=True)

    assert bench.start() == []
    assert bench.pool.tickets.pop_requested() is not None


def test_cancellation_after_the_end_schedules_no_write(bench, ended):
    machine = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(1, run)])
    bench.pool.ledger.collect(bench.pool.jobs, bench.pool.vms)

    bench.pool.on_job("j", record.JobRecord(state.job, NOW, True), 30, LOCATION)

    assert not bench.pool.ledger.collect(bench.pool.jobs, {}).jobs


def test_tasks_of_a_silent_vm_are_restarted_only_after_its_leases_lapse(bench):
    machine = bench.add_vm("w1")
    bench.add_job()
    bench.start()
    machine.record_lease_deadline(machine.compute_deadline(NOW, 6.5))
    machine.is_silent = True
    bench.add_vm("w2")

    lapse = 6.5 / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN_SECONDS
    assert bench.plan(NOW + lapse - 0.1) == []
    assert machine.runs

    bench.pool.vms["w2"].last_answer = NOW + lapse
    assert bench.plan(NOW + lapse + 0.2) == []
    bench.commit()  # the VM may have crashed: recorded before the next start
    assert [order.run.vm.id for order in bench.plan(NOW + lapse + 0.2)] == ["w2"]


def test_stale_entry_does_not_make_runs_lapse_under_a_new_leader(bench, listed):
    """An entry may be seconds old, so that its clock is far behind the worker's."""
    machine = bench.add_vm(clock=CLOCK - 5.0, answers=False)
    bench.add_job(version=5)
    machine.record_lease_deadline(machine.compute_deadline(NOW, 3.6))
    task = model.Task("j", 0, 0, 0)

    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.answer(machine, [workers.Running(task, 0, "", 50, 0)], now=NOW + 0.01)

    assert bench.plan(NOW + 0.1) == []
    assert task in machine.runs


def test_tasks_of_older_jobs_wait_for_every_vm_of_the_roster(bench):
    bench.pool.on_roster("gone", "gone:1", 3, NOW)
    bench.add_vm("w1")
    bench.add_job("old", version=5)
    bench.add_job("new", version=20)

    assert [order.run.task.job for order in bench.plan()] == ["new"]

    waited = 6.5 * (1 + vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN_SECONDS + 0.01
    bench.pool.vms["w1"].last_answer = NOW + waited
    assert bench.plan(NOW + waited) == []
    bench.commit()  # the VM may have crashed: the next VM is recorded first
    assert [o.run.task.job for o in bench.plan(NOW + waited)] == ["old"]


def test_a_vm_ended_by_an_order_is_not_waited_for(bench):
    bench.pool.on_roster("gone", "gone:1", 3, NOW)
    bench.add_vm("w1")
    bench.add_job("old", version=5)

    bench.pool.set_closed(frozenset({"gone"}), {"gone": vm.VmEnd.ORDERED})

    assert [order.run.task.job for order in bench.plan()] == ["old"]


def test_entry_of_a_vm_ended_by_an_order_is_ignored(bench):
    machine = bench.add_vm("w1")
    bench.pool.set_closed(frozenset({"w1"}), {"w1": vm.VmEnd.ORDERED})

    bench.pool.on_worker(machine.entry, NOW + 1.0)

    assert bench.pool.vms == {}


def test_new_incarnation_at_the_address_ends_all_runs_at_once(bench):
    machine = bench.add_vm("w1")
    bench.add_job()
    bench.start()

    bench.pool.on_hold(machine, workers.HoldReply(workers.Verdict.GONE), NOW + 1.0)
    bench.add_vm("w2")

    assert bench.plan(NOW + 1.0) == []
    bench.commit()  # the crash is recorded before the next start
    assert [order.run.vm.id for order in bench.plan(NOW + 1.0)] == ["w2"]


def test_nothing_is_started_beside_orphaned_runs(bench):
    machine = bench.add_vm()
    stray = workers.Running(model.Task("other", 0, 0, 0), 3, "", 50, 0)
    bench.answer(machine, [stray])
    bench.add_job()

    orders = bench.plan()
    assert [(order.task, order.number) for order in orders] == [(stray.task, 3)]

    bench.answer(machine)
    assert len(bench.plan()) == 1


def test_a_higher_token_at_a_worker_deposes(bench):
    machine = bench.add_vm()

    bench.pool.on_hold(machine, workers.HoldReply(workers.Verdict.FENCED), NOW)

    assert bench.pool.deposed


def test_run_numbers_increase_from_leader_to_leader(make_bench):
    numbers = []
    for epoch in (1, 2, 3):
        bench = make_bench(epoch=epoch)
        bench.add_vm()
        bench.add_job()
        numbers.extend(run.number for run in bench.start())

    assert numbers == sorted(set(numbers))
    assert numbers[0] == 1


def test_end_is_not_acknowledged_before_its_commit(bench, ended):
    machine = bench.add_vm()
    bench.add_job()
    (run,) = bench.start()

    bench.answer(machine, ended=[ended(1, run)], now=NOW + 1)

    assert (machine.processed_end, machine.committed_end) == (1, 0)


def test_job_fails_once_a_task_has_used_up_its_attempts(bench, ended):
    machine = bench.add_vm()
    state = bench.add_job()
    for number in (1, 2):
        fail_run(bench, ended, machine, number)

    assert state.final is model.JobState.FAILED
    assert bench.plan(NOW + 3) == []


def test_task_that_failed_on_a_vm_is_retried_on_another(bench, ended):
    first = bench.add_vm("w1")
    second = bench.add_vm("w2")
    bench.add_job()
    (run,) = bench.start()
    failed = run.vm
    bench.answer(failed, ended=[ended(1, run, model.End.FAILED)])

    (again,) = bench.start()

    assert again.vm is (second if failed is first else first)


def test_end_that_an_earlier_leader_did_not_commit_counts(bench):
    machine = bench.add_vm(answers=False)
    state = bench.add_job(version=5)
    task = model.Task("j", 0, 0, 0)

    end = workers.Ended(7, task, 0, model.End.DONE, "")
    bench.answer(machine, ended=[end])

    assert state.final is model.JobState.COMPLETED


def test_end_of_a_lapsed_run_does_not_count(bench, ended):
    """Its task may have been restarted, as the worker's lease had expired."""
    machine = bench.add_vm("w1")
    state = bench.add_job()
    (run,) = bench.start()
    machine.is_silent = True
    bench.plan(NOW + 20.0)
    assert not machine.runs

    bench.answer(machine, ended=[ended(1, run)], now=NOW + 21.0)

    assert state.final is None


@pytest.mark.parametrize(
    "verdict", [workers.Verdict.LATE, workers.Verdict.NO_ROOM, workers.Verdict.OLD]
)
def test_refused_start_is_retried_with_a_higher_number(bench, verdict):
    bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(verdict), NOW)

    assert bench.plan(NOW) == []
    (again,) = bench.start(NOW + core.START_RETRY_DELAY_SECONDS)
    assert again.number == run.number + 1


def test_runs_of_a_cancelled_job_are_stopped_before_it_is_final(bench, ended, listed):
    machine = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start()
    job = bench.pool.jobs["j"].job
    bench.pool.on_job("j", record.JobRecord(job, NOW, True), 30, LOCATION)
    (stop,) = bench.plan(NOW + 0.1)
    assert (stop.task, stop.number) == (run.task, run.number)
    assert state.final is None

    stopped = ended(1, run, model.End.STOPPED)
    bench.answer(machine, ended=[stopped], now=NOW + 0.3)
    bench.plan(NOW + 0.4)
    assert state.final is model.JobState.CANCELLED


def test_vm_is_not_reconciled_before_it_has_listed_all_its_ends(bench):
    """Guards against two concurrent runs of a task after a takeover.

    A VM had more ends than one answer holds, so that the new leader didn't reconcile
    its runs. The VM still counted as answered, and tasks of older jobs were restarted
    elsewhere beside their runs.
    """
    machine = bench.add_vm("w1", answers=False)
    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.add_vm("w2")
    bench.add_job("old", version=5)
    running = workers.Running(model.Task("old", 0, 0, 0), 0, "", 50, 0)
    other = model.Task("other", 0, 0, 0)
    ends = [
        workers.Ended(number, other, 0, model.End.DONE, "")
        for number in range(1, core.MAX_ENDS_PER_REPLY + 1)
    ]

    bench.answer(machine, [running], ends)

    assert bench.plan() == []

    bench.answer(machine, [running], now=NOW + 0.1)

    assert bench.plan(NOW + 0.1) == []
    assert [run.task for run in machine.runs.values()] == [running.task]


def list_max_ends(bench, machine, now=NOW):
    """Answer with as many ends as one answer holds, so that more may follow."""
    other = model.Task("other", 0, 0, 0)
    ends = [
        workers.Ended(machine.processed_end + number, other, 0, model.End.DONE, "")
        for number in range(1, core.MAX_ENDS_PER_REPLY + 1)
    ]
    bench.answer(machine, ended=ends, now=now)


def test_vm_that_has_not_listed_all_its_ends_is_not_published_as_empty(bench):
    machine = bench.add_vm("w1", answers=False)
    bench.pool.set_closed(frozenset({"w1"}), {})

    list_max_ends(bench, machine)

    assert bench.planner.build_status(NOW, NOW).empty == ()


def test_nothing_is_started_on_a_vm_that_has_not_listed_all_its_ends(bench):
    """Its runs aren't counted yet, so that its free room isn't known."""
    machine = bench.add_vm("w1", answers=False)
    bench.add_job()

    list_max_ends(bench, machine)

    assert bench.plan() == []


def test_vm_that_falls_silent_before_listing_all_its_ends_is_waited_out(bench):
    """The wait doesn't begin at the takeover: each answer extended the leases."""
    machine = bench.add_vm("w1", answers=False)
    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.add_vm("w2")
    bench.add_job("old", version=5)
    list_max_ends(bench, machine, NOW + 6.0)
    machine.is_silent = True
    lapse = 6.0 + 6.5 / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN_SECONDS
    bench.pool.vms["w2"].last_answer = NOW + lapse

    assert bench.plan(NOW + lapse - 0.1) == []
    assert bench.pool.unresolved
    assert bench.plan(NOW + lapse + 0.1) == []
    bench.commit()  # the VM may have crashed: the next VM is recorded first
    assert [order.run.vm.id for order in bench.plan(NOW + lapse + 0.1)] == ["w2"]


def test_vm_is_not_waited_out_while_a_lease_of_this_leader_may_be_valid(bench):
    """Guards against two concurrent runs of a task after a takeover.

    The pool's rows were read slowly, so that the first calls were made seconds after
    the takeover. A VM received its first call, which renewed its leases, but the
    answer was lost. The wait was counted from the takeover only, and its tasks were
    restarted elsewhere while they ran on.
    """
    machine = bench.add_vm("w1", answers=False)
    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.add_vm("w2")
    bench.add_job("old", version=5)
    machine.record_lease_deadline(machine.compute_deadline(NOW + 5.0, 3.8))
    machine.is_silent = True
    lapse = 5.0 + 3.8

    bench.pool.vms["w2"].last_answer = NOW + lapse
    assert bench.plan(NOW + lapse) == []
    assert bench.pool.unresolved

    sure = lapse / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN_SECONDS + 0.1
    bench.pool.vms["w2"].last_answer = NOW + sure
    assert bench.plan(NOW + sure) == []
    bench.commit()  # the VM may have crashed: the next VM is recorded first
    assert [run.vm.id for run in bench.start(NOW + sure)] == ["w2"]


def test_final_job_is_not_restarted_by_an_older_copy_of_its_row(bench, ended):
    """Guards against running a completed job again.

    The job feed had expired and the rows were read again. While the answer was in
    flight, a job in it was completed, compacted and forgotten, so that its older row
    in the answer looked like that of a new job.
    """
    machine = bench.add_vm()
    state = bench.add_job(version=20)
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(1, run)], now=NOW + 0.5)
    assert state.final is model.JobState.COMPLETED
    bench.pool.on_finals_durable(["j"])
    bench.plan(NOW + 0.5)
    work = bench.pool.compactor.collect(NOW + 0.6, 60.0)
    done = rows.Change(table.Outcome.DONE, 40)
    bench.pool.compactor.on_result(work, done)

    bench.pool.on_job("j", record.JobRecord(state.job, NOW, False), 20, LOCATION)

    assert bench.plan(NOW + 1.0) == []


def test_answer_of_a_vm_that_is_gone_adopts_no_run(bench):
    """Guards against a task that its leader never restarts.

    A VM was dropped while its answer to a renewal was in flight. The answer listed a
    run of an earlier leader, which was adopted on a VM that is no longer monitored.
    """
    machine = bench.add_vm("w1", answers=False)
    bench.add_job("old", version=5)
    running = workers.Running(model.Task("old", 0, 0, 0), 0, "", 50, 0)
    bench.pool.drop_vm(machine, vm.VmEnd.ORDERED)

    bench.answer(machine, [running])

    assert bench.pool.live == {}
