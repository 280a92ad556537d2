"""Starts without an answer that the next incarnation of a worker may yet execute.

The next incarnation's clock starts anew, so that an order which is late by the clock of
the former one isn't late by its own.
"""

import pytest

from wigeonhitch.platform import workers
from wigeonhitch.pool import message, transfer, vm

NOW = 100.0
CLOCK = 5000.0
START = 60_000
SECOND_START = 61_000
NEW_CLOCK = 0.1
"""Clock of the next incarnation at its first answer."""

PAST_DEADLINE = NOW + 1.3
FLIGHT_END = NOW + transfer.ORDER_FLIGHT_SECONDS
LAST_ANSWER = FLIGHT_END + transfer.FIRST_ANSWER_SECONDS


def lose_answer(bench, run, now=NOW):
    """Tell the pool that a start which was sent at `NOW` got no answer."""
    reply = workers.OrderReply(workers.Verdict.UNKNOWN, 0.0, NOW, now)
    bench.pool.on_start(run, reply, now)


@pytest.fixture
def machine(bench):
    return bench.add_vm(start_ms=START)


@pytest.fixture
def run(bench, machine):
    """Start a task without an answer."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run, NOW + 0.7)
    return run


@pytest.fixture
def missed(bench, machine, run):
    """Let the worker list no run after the start's deadline."""
    bench.answer(machine, now=PAST_DEADLINE)
    return run


def test_start_past_its_deadline_is_not_repeated_while_it_may_be_on_its_way(
    bench, machine, missed
):
    """Guards against two runs of a task, as the worker is restarted after its list."""
    bench.add_vm("w2")
    assert missed.task in bench.pool.live
    assert bench.plan(PAST_DEADLINE) == []

    bench.answer(machine, now=FLIGHT_END)

    assert missed.task not in bench.pool.live
    (start,) = bench.plan(FLIGHT_END)
    assert start.run.task == missed.task


def test_list_from_before_the_last_arrival_proves_nothing_afterwards(
    bench, machine, missed
):
    """Guards against two runs of a task, as the list is older than the restart."""
    bench.answer(machine, now=FLIGHT_END + 0.5, sent=FLIGHT_END - 0.1)

    assert missed.task in bench.pool.live


def test_start_past_its_deadline_is_transferred_to_the_next_incarnation(
    bench, machine, missed, listed
):
    """Guards against two runs of a task, one of them on a restarted worker."""
    now = NOW + 1.8
    bench.answer(machine, now=now, start_ms=SECOND_START, clock=NEW_CLOCK)
    successor = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(successor.entry, now)
    assert missed.vm is successor

    clock = NEW_CLOCK + 0.1
    bench.answer(successor, [listed(missed)], now=now + 0.1, clock=clock)

    assert missed.state is vm.RunState.RUNNING
    assert bench.pool.live == {missed.task: missed}


def test_start_past_its_deadline_is_stopped_on_the_next_incarnation(
    bench, machine, missed
):
    """Guards against an order that is executed after its task was given to another."""
    now = NOW + 1.8
    bench.answer(machine, now=now, start_ms=SECOND_START, clock=NEW_CLOCK)
    successor = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(successor.entry, now)
    bench.answer(successor, now=FLIGHT_END, clock=NEW_CLOCK + 0.2)

    assert missed.task in bench.pool.live
    (stop,) = bench.plan(FLIGHT_END)
    assert stop == message.Stop(successor, missed.task, missed.number)


@pytest.mark.parametrize("end", [vm.VmEnd.LOST, vm.VmEnd.ORDERED, vm.VmEnd.EXPIRED])
def test_start_past_its_deadline_outlasts_its_vm(bench, machine, missed, end):
    """Guards against two runs of a task, as the next incarnation isn't known yet."""
    bench.pool.drop_vm(machine, end)

    bench.pool.expire_leases(LAST_ANSWER - 0.1)
    assert missed.task in bench.pool.live

    bench.pool.expire_leases(LAST_ANSWER)
    assert missed.task not in bench.pool.live


def test_start_past_its_deadline_ends_with_a_vm_of_another_worker(
    bench, machine, missed
):
    """Guards against delays where the next worker refuses the order."""
    bench.pool.on_hold(machine, workers.HoldReply(workers.Verdict.GONE), NOW + 1.4)

    assert missed.task not in bench.pool.live


def test_drained_vm_is_not_left_to_another_pool_with_a_start_on_its_way(
    bench, machine, missed
):
    """Guards against two runs of a task, as its VM counts as drained and is moved."""
    bench.pool.set_closed(frozenset({machine.id}), {})

    now = NOW + 1.8
    bench.answer(machine, now=now, start_ms=SECOND_START, clock=NEW_CLOCK)

    assert missed.task in bench.pool.live
    assert missed.vm.entry.start_ms == SECOND_START


def test_lapsed_leases_do_not_end_a_start_that_is_on_its_way(bench):
    """Guards against two runs of a task, as its deadline was the VM's last lease.

    The VM was silent until its leases had lapsed, and the leader may give no order soon
    after the start.
    """
    machine = bench.add_vm(start_ms=START)
    bench.pool._takeover_time = NOW - 60
    silent_until = NOW + 20
    bench.pool.expire_leases(silent_until)
    bench.answer(machine, now=silent_until)
    bench.add_job()
    (run,) = bench.start(silent_until, answered=False)
    reply = workers.OrderReply(workers.Verdict.UNKNOWN, 0.0, silent_until)
    bench.pool.on_start(run, reply, silent_until + 0.7)

    bench.pool.expire_leases(silent_until + 1.9)
    assert run.task in bench.pool.live

    passed = transfer.ORDER_FLIGHT_SECONDS + transfer.FIRST_ANSWER_SECONDS
    bench.pool.expire_leases(silent_until + passed)
    assert run.task not in bench.pool.live


def test_transferred_start_may_reach_the_incarnation_after_the_next(
    bench, machine, run, listed
):
    """Guards against two runs of a task, as its worker is restarted twice in a row.

    The second incarnation has confirmed the stop, and the third one knows of none.
    """
    bench.answer(machine, now=NOW + 0.8, start_ms=SECOND_START, clock=NEW_CLOCK)
    second = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(second.entry, NOW + 0.8)
    bench.answer(second, now=NOW + 0.9, clock=NEW_CLOCK + 0.1)
    stopped = workers.OrderReply(workers.Verdict.DONE, NEW_CLOCK + 0.2)
    bench.pool.on_stop(second, run.task, run.number, stopped)
    bench.answer(second, now=NOW + 1.1, clock=NEW_CLOCK + 0.3)
    assert run.task in bench.pool.live

    bench.answer(second, now=NOW + 1.8, start_ms=62_000, clock=NEW_CLOCK)
    third = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(third.entry, NOW + 1.8)
    bench.answer(third, [listed(run)], now=NOW + 1.9, clock=NEW_CLOCK + 0.1)

    assert bench.pool.live == {run.task: run}
    assert run.vm is third


def test_transferred_start_that_was_answered_does_not_wait(bench, machine):
    """Guards against delays where the order can't be executed any more."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.answer(machine, now=NOW + 0.3, start_ms=SECOND_START, clock=NEW_CLOCK)
    second = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(second.entry, NOW + 0.3)
    done = workers.OrderReply(workers.Verdict.DONE, NEW_CLOCK, NOW, NOW + 0.4)
    bench.pool.on_start(run, done, NOW + 0.4)

    bench.answer(second, now=NOW + 0.5, clock=NEW_CLOCK + 0.2)

    assert run.task not in bench.pool.live


def test_start_whose_answer_is_pending_past_its_deadline_is_kept(
    bench, machine, listed
):
    """Guards against two runs of a task, as its daemon was paused after the sending.

    The time of the sending isn't known until the call has ended.
    """
    bench.add_job()
    (run,) = bench.start(answered=False)

    bench.answer(machine, now=PAST_DEADLINE)
    assert run.task in bench.pool.live

    lose_answer(bench, run, PAST_DEADLINE + 0.1)
    bench.answer(machine, now=FLIGHT_END)
    assert run.task not in bench.pool.live


def test_start_whose_answer_never_comes_is_dropped(bench, machine):
    """Guards against a task that waits for good, as its call has no end."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.answer(machine, now=PAST_DEADLINE)

    bench.answer(machine, now=PAST_DEADLINE + transfer.ORDER_FLIGHT_SECONDS)

    assert run.task not in bench.pool.live


def test_planned_start_that_was_not_sent_is_dropped_at_once(bench, machine):
    """Guards against delays of starts that no worker can have received."""
    bench.add_job()
    (start,) = bench.plan()

    bench.answer(machine, now=NOW + 0.1)

    assert start.run.task not in bench.pool.live


def test_refused_start_is_dropped_at_once(bench, machine, run):
    """Guards against delays of starts that no incarnation executes any more."""
    bench.add_job("second")
    (second,) = bench.start(answered=False)
    refusal = workers.OrderReply(workers.Verdict.LATE, CLOCK + 0.1, NOW, NOW + 0.1)

    bench.pool.on_start(second, refusal, NOW + 0.1)

    assert second.task not in bench.pool.live


def test_start_past_its_deadline_is_dropped_where_workers_report_no_starts(bench):
    """Guards against delays where each worker has an id of its own."""
    machine = bench.add_vm()
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run, NOW + 0.7)

    bench.answer(machine, now=PAST_DEADLINE)

    assert run.task not in bench.pool.live


@pytest.mark.parametrize("end", [vm.VmEnd.LOST, vm.VmEnd.ORDERED])
def test_vm_has_not_crashed_under_a_start_that_it_has_missed(
    bench, machine, missed, end
):
    """Guards against tasks that are given up for crashes that they didn't cause.

    A list after the deadline shows that the VM hasn't executed the start.
    """
    bench.pool.drop_vm(machine, end)

    assert bench.pool.suspects.count(missed.task) == 0
    assert not bench.pool.jobs["j"].is_suspect(missed.task)


def test_lapsed_leases_count_for_no_start_that_the_vm_has_missed(
    bench, machine, missed
):
    """Guards against tasks that are given up for crashes that they didn't cause.

    The VM is silent after the list, until its leases have lapsed.
    """
    bench.pool._takeover_time = NOW - 60

    bench.pool.expire_leases(NOW + 60)

    assert missed.task not in bench.pool.live
    assert bench.pool.suspects.count(missed.task) == 0


def test_end_of_a_start_that_the_vm_has_executed_counts(bench, machine, run, ended):
    """Guards against tasks that run again after they were done without an answer."""
    bench.answer(machine, ended=[ended(1, run)], now=PAST_DEADLINE)

    assert bench.pool.jobs["j"].is_done(run.task)
    assert run.task not in bench.pool.live
