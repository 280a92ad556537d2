"""What a leader believes of runs whose fate isn't plain."""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table, workers
from wigeonhitch.pool import compaction, core, view, vm

NOW = 100.0
CLOCK = 5000.0
PLACE = compaction.RowLocation("job00", "p.0")


def lose_answer(bench, run, now=NOW):
    reply = workers.OrderReply(workers.Verdict.UNKNOWN)
    bench.pool.on_start(run, reply, now)


def test_a_job_keeps_its_attempts_when_its_queue_is_removed(bench, ended):
    one = bench.add_vm()
    state = bench.add_job(attempts=2)
    bench.pool.on_queues([])
    finals = []
    for number in (1, 2):
        now = NOW + number
        one.last_answer = now
        (run,) = bench.start(now)
        bench.answer(one, ended=[ended(number, run, model.End.FAILED)], now=now + 0.5)
        finals.append(state.final)

    assert finals == [None, model.JobState.FAILED]


def test_an_older_entry_does_not_put_a_workers_clock_back(bench):
    """A new leader reads all entries while its first answers come in.

    A start whose deadline counts from an entry 1.4 s old is late on arrival.
    """
    one = bench.add_vm()
    bench.answer(one, now=NOW + 1)
    older = one.entry._replace(clock=CLOCK + 1 - 1.4)

    bench.pool.on_worker(older, NOW + 1.1)

    assert one.compute_deadline(NOW + 1.1, 1.2) == pytest.approx(CLOCK + 2.3)


def test_a_clock_that_began_long_after_this_daemons_is_learned(bench):
    one = bench.add_vm(clock=0.5, answers=False)

    assert one.knows_clock
    assert one.compute_deadline(NOW, 1.2) == pytest.approx(1.7)


def test_a_lasting_job_goes_first_also_when_its_queue_is_removed(bench):
    lasting = model.Step(1, model.Room(8000, 100), 1.0, lasting=True)
    bench.add_vm(cpu=8000)
    bench.add_job("other", model.Step(1, model.Room(8000, 100), 1.0))
    bench.add_job("l", lasting, queue="removed")

    (run,) = bench.start()

    assert run.task.job == "l"


def test_a_start_without_an_answer_is_not_repeated_before_its_deadline(bench):
    one = bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.answer(one, now=NOW + 1.0)
    assert bench.plan(NOW + 1.0) == []

    bench.answer(one, now=NOW + 1.3)
    assert [order.run.number for order in bench.plan(NOW + 1.3)] == [run.number + 1]


def test_a_start_without_an_answer_is_taken_as_running_once_listed(bench, listed):
    one = bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.answer(one, [listed(run)], now=NOW + 2.0)

    assert run.state is vm.RunState.RUNNING


def test_a_start_without_an_answer_that_has_ended_counts_its_end(bench, ended):
    one = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.answer(one, ended=[ended(1, run)], now=NOW + 2.0)

    assert state.final is model.JobState.COMPLETED


def test_progress_of_a_job_that_is_done_with_is_removed_at_the_takeover(bench):
    """Rows stayed for good where a leader ended after it had shrunk a job's row.

    Each later leader read them all, and left them.
    """
    bench.pool.on_progress("gone", b'{"final":"completed"}', 33)

    batch = bench.pool.ledger.collect(bench.pool.jobs, {})

    assert rows.Write("progress", "p", "gone", None) in batch.transaction.writes
    assert rows.Condition("progress", "p", "gone", 33) in batch.transaction.conditions


def test_tasks_of_a_queue_that_is_gone_still_wait_for_their_tickets(bench):
    """What could be seen: an accepted job that never runs.

    How: its queue's policy asks for tickets, and the configuration dropped the queue.
    Its tasks were started without, and each start was refused. Cause: what the policy
    asks for was known only by the configuration in force.
    """
    bench.add_vm()
    bench.add_job(queue="gone", is_advised=True)

    assert bench.start() == []
    assert bench.pool.tickets.pop_requested() is not None


def test_a_cancellation_after_the_end_writes_nothing_anew(bench, ended):
    one = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start()
    bench.answer(one, ended=[ended(1, run)])
    bench.pool.ledger.collect(bench.pool.jobs, bench.pool.vms)

    bench.pool.on_job("j", record.JobRecord(state.job, NOW, True), 30, PLACE)

    assert not bench.pool.ledger.collect(bench.pool.jobs, {}).jobs


def test_tasks_of_a_silent_vm_start_elsewhere_only_after_all_its_leases(bench):
    one = bench.add_vm("w1")
    bench.add_job()
    bench.start()
    one.record_lease_deadline(one.compute_deadline(NOW, 6.5))
    one.is_silent = True
    bench.add_vm("w2")

    lapse = 6.5 / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN
    assert bench.plan(NOW + lapse - 0.1) == []
    assert one.runs

    bench.pool.vms["w2"].last_answer = NOW + lapse
    assert [order.run.vm.id for order in bench.plan(NOW + lapse + 0.2)] == ["w2"]


def test_a_stale_entry_does_not_make_a_new_leader_take_runs_as_lapsed(bench, listed):
    """An entry may be seconds old, so its clock is far behind the worker's."""
    one = bench.add_vm(clock=CLOCK - 5.0, answers=False)
    bench.add_job(version=5)
    one.record_lease_deadline(one.compute_deadline(NOW, 3.6))
    task = model.Task("j", 0, 0, 0)

    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.answer(one, [workers.Running(task, 0, "", 50, 0)], now=NOW + 0.01)

    assert bench.plan(NOW + 0.1) == []
    assert task in one.runs


def test_an_older_jobs_tasks_wait_for_every_vm_of_the_roster(bench):
    bench.pool.on_roster("gone", "gone:1", 3, NOW)
    bench.add_vm("w1")
    bench.add_job("old", version=5)
    bench.add_job("new", version=20)

    assert [order.run.task.job for order in bench.plan()] == ["new"]

    waited = 6.5 * (1 + vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN + 0.01
    bench.pool.vms["w1"].last_answer = NOW + waited
    assert [o.run.task.job for o in bench.plan(NOW + waited)] == ["old"]


def test_a_vm_ended_by_an_order_is_not_waited_for(bench):
    bench.pool.on_roster("gone", "gone:1", 3, NOW)
    bench.add_vm("w1")
    bench.add_job("old", version=5)

    bench.pool.set_closed(frozenset({"gone"}), frozenset({"gone"}))

    assert [order.run.task.job for order in bench.plan()] == ["old"]


def test_an_entry_of_a_vm_ended_by_an_order_does_not_bring_it_back(bench):
    one = bench.add_vm("w1")
    bench.pool.set_closed(frozenset({"w1"}), frozenset({"w1"}))

    bench.pool.on_worker(one.entry, NOW + 1.0)

    assert bench.pool.vms == {}


def test_another_life_at_the_address_ends_all_runs_at_once(bench):
    one = bench.add_vm("w1")
    bench.add_job()
    bench.start()

    bench.pool.on_hold(one, workers.HoldReply(workers.Verdict.GONE), NOW + 1.0)
    bench.add_vm("w2")

    assert [order.run.vm.id for order in bench.plan(NOW + 1.0)] == ["w2"]


def test_nothing_is_started_beside_runs_that_nobody_knows(bench):
    one = bench.add_vm()
    stray = workers.Running(model.Task("other", 0, 0, 0), 3, "", 50, 0)
    bench.answer(one, [stray])
    bench.add_job()

    orders = bench.plan()
    assert [(order.task, order.number) for order in orders] == [(stray.task, 3)]

    bench.answer(one)
    assert len(bench.plan()) == 1


def test_a_higher_token_at_a_worker_deposes(bench):
    one = bench.add_vm()

    bench.pool.on_hold(one, workers.HoldReply(workers.Verdict.FENCED), NOW)

    assert bench.pool.deposed


def test_numbers_of_runs_rise_over_leaders(make_bench):
    numbers = []
    for epoch in (1, 2, 3):
        bench = make_bench(epoch=epoch)
        bench.add_vm()
        bench.add_job()
        numbers.extend(run.number for run in bench.start())

    assert numbers == sorted(set(numbers))
    assert numbers[0] == 1


def test_an_end_is_not_noted_before_its_commit(bench, ended):
    one = bench.add_vm()
    bench.add_job()
    (run,) = bench.start()

    bench.answer(one, ended=[ended(1, run)], now=NOW + 1)

    assert (one.processed_end, one.committed_end) == (1, 0)


def test_a_job_fails_when_one_task_has_failed_too_often(bench, ended):
    one = bench.add_vm()
    state = bench.add_job()
    for number in (1, 2):
        now = NOW + number
        one.last_answer = now
        (run,) = bench.start(now)
        bench.answer(one, ended=[ended(number, run, model.End.FAILED)], now=now + 0.5)

    assert state.final is model.JobState.FAILED
    assert bench.plan(NOW + 3) == []


def test_a_task_that_failed_on_a_vm_tries_another(bench, ended):
    first = bench.add_vm("w1")
    second = bench.add_vm("w2")
    bench.add_job()
    (run,) = bench.start()
    failed = run.vm
    bench.answer(failed, ended=[ended(1, run, model.End.FAILED)])

    (again,) = bench.start()

    assert again.vm is (second if failed is first else first)


def test_an_end_that_an_earlier_leader_did_not_note_counts(bench):
    one = bench.add_vm(answers=False)
    state = bench.add_job(version=5)
    task = model.Task("j", 0, 0, 0)

    end = workers.Ended(7, task, 0, model.End.DONE, "")
    bench.answer(one, ended=[end])

    assert state.final is model.JobState.COMPLETED


def test_the_end_of_a_run_taken_for_lapsed_does_not_count(bench, ended):
    """Its worker's lease had run out, so that the end doesn't stand."""
    one = bench.add_vm("w1")
    state = bench.add_job()
    (run,) = bench.start()
    one.is_silent = True
    bench.plan(NOW + 20.0)
    assert not one.runs

    bench.answer(one, ended=[ended(1, run)], now=NOW + 21.0)

    assert state.final is None


@pytest.mark.parametrize(
    "verdict", [workers.Verdict.LATE, workers.Verdict.NO_ROOM, workers.Verdict.OLD]
)
def test_a_refused_start_is_tried_again_with_a_higher_number(bench, verdict):
    bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(verdict), NOW)

    assert bench.plan(NOW) == []
    (again,) = bench.start(NOW + core.RETRY_PAUSE)
    assert again.number == run.number + 1


def test_cancelled_jobs_are_stopped_and_then_final(bench, ended, listed):
    one = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start()
    job = bench.pool.jobs["j"].job
    bench.pool.on_job("j", record.JobRecord(job, NOW, True), 30, PLACE)
    (stop,) = bench.plan(NOW + 0.1)
    assert (stop.task, stop.number) == (run.task, run.number)
    assert state.final is None

    stopped = ended(1, run, model.End.STOPPED)
    bench.answer(one, ended=[stopped], now=NOW + 0.3)
    bench.plan(NOW + 0.4)
    assert state.final is model.JobState.CANCELLED


def test_a_vm_that_has_not_listed_all_its_ends_is_not_taken_for_known(bench):
    """What could be seen: one task run twice at the same time, over a takeover.

    How: a VM has more ends to tell than one answer holds, so the new leader doesn't
    compare what runs there with what it knows; but it took the VM for one that has
    answered, and began the older jobs' tasks elsewhere, beside what runs there.

    Cause: that a call was answered stood for what the answer must tell. A VM is known
    only once an answer told all that runs there and all that has ended.
    """
    one = bench.add_vm("w1", answers=False)
    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.add_vm("w2")
    bench.add_job("old", version=5)
    running = workers.Running(model.Task("old", 0, 0, 0), 0, "", 50, 0)
    other = model.Task("other", 0, 0, 0)
    ends = [
        workers.Ended(number, other, 0, model.End.DONE, "")
        for number in range(1, core.MAX_ENDS_PER_REPLY + 1)
    ]

    bench.answer(one, [running], ends)

    assert bench.plan() == []

    bench.answer(one, [running], now=NOW + 0.1)

    assert bench.plan(NOW + 0.1) == []
    assert [run.task for run in one.runs.values()] == [running.task]


def tell_ends(bench, one, now=NOW):
    """Answer with as many ends as one answer holds, so that more may be missing."""
    other = model.Task("other", 0, 0, 0)
    ends = [
        workers.Ended(one.processed_end + number, other, 0, model.End.DONE, "")
        for number in range(1, core.MAX_ENDS_PER_REPLY + 1)
    ]
    bench.answer(one, ended=ends, now=now)


def test_a_vm_that_has_not_listed_all_its_ends_is_not_shown_as_empty(bench):
    one = bench.add_vm("w1", answers=False)
    bench.pool.set_closed(frozenset({"w1"}), frozenset())

    tell_ends(bench, one)

    assert bench.planner.build_status(NOW, NOW).empty == ()


def test_nothing_is_started_on_a_vm_that_has_not_listed_all_its_ends(bench):
    """What runs there isn't counted yet, so its room isn't known."""
    one = bench.add_vm("w1", answers=False)
    bench.add_job()

    tell_ends(bench, one)

    assert bench.plan() == []


def test_a_vm_that_falls_silent_before_all_its_ends_are_listed_is_waited_out(bench):
    """Not from the takeover on: it was given more time with each answer."""
    one = bench.add_vm("w1", answers=False)
    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.add_vm("w2")
    bench.add_job("old", version=5)
    tell_ends(bench, one, NOW + 6.0)
    one.is_silent = True
    lapse = 6.0 + 6.5 / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN
    bench.pool.vms["w2"].last_answer = NOW + lapse

    assert bench.plan(NOW + lapse - 0.1) == []
    assert [one.run.vm.id for one in bench.plan(NOW + lapse + 0.1)] == ["w2"]


def test_a_vm_is_not_waited_out_while_a_lease_of_this_leader_may_last(bench):
    """What could be seen: one task run twice at the same time, over a takeover.

    How: the pool's rows were read slowly, so that the first calls went out seconds
    after the takeover. A VM took its first call, which renewed the leases of what runs
    there, and its answer was lost. It was waited for from the takeover on, and its
    tasks were begun elsewhere while they ran on.

    Cause: the wait was counted from the takeover only. It now lasts until every lease
    that this leader may have granted has run out as well.
    """
    one = bench.add_vm("w1", answers=False)
    bench.pool.on_roster("w1", "w1:1", 3, NOW)
    bench.add_vm("w2")
    bench.add_job("old", version=5)
    one.record_lease_deadline(one.compute_deadline(NOW + 5.0, 3.8))
    one.is_silent = True
    lapse = 5.0 + 3.8

    bench.pool.vms["w2"].last_answer = NOW + lapse
    assert bench.plan(NOW + lapse) == []

    sure = lapse / (1 - vm.MAX_CLOCK_DRIFT) + 0.2 + view.LAPSE_MARGIN + 0.1
    bench.pool.vms["w2"].last_answer = NOW + sure
    assert [run.vm.id for run in bench.start(NOW + sure)] == ["w2"]


def test_a_job_that_is_final_does_not_begin_anew_by_an_older_copy_of_its_row(
    bench, ended
):
    """What could be seen: a job run again after it was completed.

    How: the feed of jobs had expired and the rows were read anew; while the answer was
    on its way, a job in it was completed, shrunk to its final state and forgotten. By
    the older row in the answer it was taken for a new one.

    Cause: a job that wasn't known any more was taken for one that had not begun. A
    row older than the final one known is left out.
    """
    one = bench.add_vm()
    state = bench.add_job(version=20)
    (run,) = bench.start()
    bench.answer(one, ended=[ended(1, run)], now=NOW + 0.5)
    assert state.final is model.JobState.COMPLETED
    bench.pool.on_finals_durable(["j"])
    bench.plan(NOW + 0.5)
    work = bench.pool.compactor.collect(NOW + 0.6, 60.0)
    done = rows.Change(table.Outcome.DONE, 40)
    bench.pool.compactor.on_result(work, done)

    bench.pool.on_job("j", record.JobRecord(state.job, NOW, False), 20, PLACE)

    assert bench.plan(NOW + 1.0) == []


def test_an_answer_of_a_vm_that_is_gone_brings_no_run_back(bench):
    """What could be seen: a task that never runs again under its leader.

    How: a VM was told to have ended while its answer to a renewal was on its way. The
    answer listed a run of an earlier leader, which was taken over on a VM that nobody
    looks after any more.

    Cause: an answer was taken for news of a VM that is there. It is left out.
    """
    one = bench.add_vm("w1", answers=False)
    bench.add_job("old", version=5)
    running = workers.Running(model.Task("old", 0, 0, 0), 0, "", 50, 0)
    bench.pool.drop_vm(one, "ended by an order")

    bench.answer(one, [running])

    assert bench.pool.live == {}
