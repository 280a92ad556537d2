"""Which incarnation of a worker is the later one, as the leader of its pool finds out.

A worker reports the time of its start by a clock that may be set back, and an entry may
be read late or come from another writer. Only an answer to a call is proof.
"""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import workers
from wigeonhitch.pool import compaction, core, message, vm

NOW = 100.0
CLOCK = 5000.0
NEW_CLOCK = 0.5
START = 60_000
STARTS = pytest.mark.parametrize("start_ms", [0, 57_000, 61_000, 10**15])


@pytest.fixture
def machine(bench):
    return bench.add_vm(start_ms=START)


@pytest.fixture
def run(bench, machine, listed):
    """Run a task on the worker."""
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, [listed(run)])
    return run


@pytest.fixture
def read_entry(bench, machine):
    """Read an entry of the worker that differs from its first one; return its VM."""

    def read(now=NOW + 1, **fields):
        entry = machine.entry._replace(**fields)
        bench.pool.on_worker(entry, now)
        return bench.pool.vms.get(entry.incarnation)

    return read


@STARTS
def test_entry_of_another_incarnation_ends_no_run(
    bench, machine, run, read_entry, start_ms
):
    """Guards against two runs of a task, as a live worker is taken for restarted."""
    other = read_entry(start_ms=start_ms)

    assert other is not machine
    assert bench.pool.live == {run.task: run}
    assert not machine.is_open(NOW + 1)
    assert not other.is_open(NOW + 1)


@STARTS
def test_incarnation_that_answers_afterwards_refutes_an_entry(
    bench, machine, run, read_entry, start_ms, listed
):
    """Guards against a VM that isn't used any more because of an entry read late."""
    other = read_entry(start_ms=start_ms)

    bench.answer(machine, [listed(run)], now=NOW + 1.1)

    assert other.gone
    assert list(bench.pool.vms.values()) == [machine]
    assert machine.is_open(NOW + 1.1)
    assert read_entry(start_ms=start_ms) is None


def test_answer_to_an_earlier_call_refutes_no_entry(bench, machine, run, read_entry):
    """Guards against a restarted worker that is taken for one that ended before."""
    other = read_entry(start_ms=57_000)

    bench.answer(machine, now=NOW + 1.1, sent=NOW + 0.9)

    assert not other.gone
    assert not machine.gone
    assert machine.is_contested


def test_ends_in_a_late_answer_of_the_first_incarnation_count(
    bench, machine, run, read_entry, ended
):
    """Guards against tasks that are run again after they were done."""
    read_entry(start_ms=57_000)

    bench.answer(machine, ended=[ended(1, run)], now=NOW + 1.1, sent=NOW + 0.9)

    assert bench.pool.jobs["j"].is_done(run.task)


def test_entries_that_alternate_end_no_run(bench, machine, run, read_entry):
    """Guards against two runs of a task, as a late entry follows that of a live worker.

    The worker's own entry is written again with its next heartbeat.
    """
    other = read_entry(start_ms=57_000)
    read_entry(NOW + 2)

    assert machine.listed
    assert not other.listed
    assert bench.pool.live == {run.task: run}


def test_known_incarnations_are_called_in_turn(bench, machine, read_entry):
    """Guards against a restarted worker that isn't called at its new address."""
    other = read_entry(start_ms=57_000, address="w1:2")
    called = []
    for number in range(4):
        selected = bench.pool.roster.select_for_renewal("w1")
        selected.called_at = NOW + 1 + number
        called.append(selected)

    assert called == [other, machine, other, machine]


def test_address_of_an_entry_at_which_another_worker_answers_ends_no_run(
    bench, machine, run, read_entry
):
    """Guards against two runs of a task, as an entry names the address of another."""
    other = read_entry(start_ms=57_000, address="w1:2")

    bench.pool.on_hold(other, workers.HoldReply(workers.Verdict.GONE), NOW + 1.1)

    assert other.gone
    assert not machine.gone
    assert bench.pool.live == {run.task: run}


def test_worker_whose_entry_names_another_pool_keeps_its_runs_until_they_lapse(
    bench, machine, run, read_entry
):
    """Guards against two runs of a task, as the entry may be read late.

    A call to a worker that has joined another pool would carry this pool's token.
    """
    bench.pool._takeover_time = NOW - 60

    read_entry(start_ms=57_000, pool="other")

    assert bench.pool.roster.select_for_renewal("w1") is None
    bench.pool.expire_leases(NOW + bench.pool.times.longest_lease)
    assert run.task in bench.pool.live
    bench.pool.expire_leases(NOW + bench.pool.times.longest_lease + 1)
    assert run.task not in bench.pool.live


def test_vm_is_called_after_an_entry_of_another_pool_where_no_starts_are_reported(
    bench,
):
    """Guards against leases that aren't renewed where each worker has its own id."""
    machine = bench.add_vm("w2")

    bench.pool.on_worker(machine.entry._replace(pool="other"), NOW)

    assert not machine.listed
    assert bench.pool.roster.select_for_renewal("w2") is machine


def test_worker_is_used_again_after_an_entry_that_named_another_pool(
    bench, machine, run, read_entry
):
    """Guards against a VM that is lost to its pool by an entry of another writer."""
    read_entry(start_ms=57_000, pool="other")

    read_entry(NOW + 1.5)

    assert bench.pool.roster.select_for_renewal("w1") is machine
    assert machine.is_open(NOW + 1.5)


def test_two_incarnations_may_report_the_same_start(bench, machine, run, ended):
    """Guards against tasks that are run again after they were done.

    The worker's clock was set back to the time of its first start. Its steady clock,
    which starts anew, shows the restart.
    """
    bench.answer(machine, ended=[ended(40, run)], now=NOW + 1)
    bench.commit()

    bench.answer(machine, now=NOW + 2, clock=NEW_CLOCK)
    successor = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(machine.entry._replace(clock=NEW_CLOCK), NOW + 2.1)
    bench.commit()
    bench.answer(successor, now=NOW + 2.2, clock=NEW_CLOCK + 0.2)
    state = bench.add_job("second")
    (run,) = bench.start(NOW + 2.2)
    bench.answer(successor, ended=[ended(1, run)], now=NOW + 3, clock=NEW_CLOCK + 1)

    assert machine.gone
    assert run.vm is successor
    assert state.is_done(run.task)
    assert successor.processed_end == 1


def test_third_incarnation_may_report_the_start_of_the_first(bench, machine, run):
    """Guards against a worker that is never used again, as its clock was set back."""
    bench.answer(machine, now=NOW + 1, start_ms=57_000, clock=NEW_CLOCK)
    second = bench.pool.roster.find_by_worker("w1")
    bench.pool.on_worker(second.entry, NOW + 1.5)

    bench.answer(second, now=NOW + 2, start_ms=START, clock=NEW_CLOCK)
    bench.pool.on_worker(machine.entry._replace(clock=NEW_CLOCK), NOW + 2.1)
    third = bench.pool.roster.find_by_worker("w1")
    bench.commit()
    bench.answer(third, now=NOW + 2.2, clock=NEW_CLOCK + 0.2)

    assert machine.gone
    assert second.gone
    assert list(bench.pool.vms.values()) == [third]
    assert third.is_open(NOW + 2.2)


def test_row_of_a_second_incarnation_with_the_same_start_names_its_worker(make_bench):
    """Guards against a takeover that calls a worker by the name of its incarnation."""
    bench = make_bench(fence=50, epoch=2)

    bench.pool.on_roster(f"w1@{START}.1", "w1:1", 30, NOW, start_ms=START)

    assert bench.pool.roster.find_by_worker("w1").id == f"w1@{START}.1"


def test_first_answer_at_a_takeover_tells_which_recorded_vm_is_left(make_bench):
    """Guards against ended VMs that are waited for, and live ones that are dropped."""
    bench = make_bench(fence=50, epoch=3)
    for version, start_ms in enumerate((61_000, 57_000, 59_000), start=30):
        name = f"w1@{start_ms}"
        bench.pool.on_roster(name, "w1:1", version, NOW, start_ms=start_ms)

    called = bench.pool.roster.select_for_renewal("w1")
    bench.answer(called, start_ms=57_000, clock=NEW_CLOCK)

    assert list(bench.pool.vms) == ["w1@57000"]
    assert bench.pool.roster.unseen_ends == {"w1@61000", "w1@59000"}


def test_restart_shortly_after_the_start_shows_by_the_time_since_the_last_list(
    bench, listed
):
    """Guards against the ends of a young worker that count as those of the one before.

    The new clock is past the last one that was listed, but not past the time since.
    """
    machine = bench.add_vm(start_ms=START, clock=1.0, answers=False)
    bench.answer(machine, clock=1.0)

    bench.answer(machine, now=NOW + 4, clock=1.5)

    assert machine.gone
    assert bench.pool.roster.find_by_worker("w1").id == f"w1@{START}.1"


def test_late_entry_of_an_incarnation_with_the_same_start_sets_no_clock(
    bench, machine, run
):
    """Guards against leases that the leader takes for shorter than the worker does."""
    bench.answer(machine, now=NOW + 2, clock=NEW_CLOCK)
    bench.pool.on_worker(machine.entry._replace(clock=NEW_CLOCK), NOW + 2)
    successor = bench.pool.roster.find_by_worker("w1")
    bench.answer(successor, now=NOW + 2.1, clock=NEW_CLOCK + 0.1)

    bench.pool.on_worker(machine.entry._replace(clock=CLOCK + 2), NOW + 2.2)

    assert successor.compute_clock(NOW + 2.2) < 1.0


def test_closed_vm_whose_worker_reports_the_same_start_again_is_used(bench, machine):
    """Guards against a worker whose entries are ignored for as long as it lives."""
    bench.pool.set_closed(frozenset({machine.id}), {}, 1)
    bench.answer(machine, now=NOW + 1, clock=NEW_CLOCK)
    assert machine.gone

    bench.pool.set_closed(frozenset(), {}, 2)
    bench.pool.on_worker(machine.entry._replace(clock=NEW_CLOCK), NOW + 1.5)

    assert bench.pool.roster.find_by_worker("w1") is not None


def test_answer_that_names_no_incarnation_counts_for_nothing(bench, machine, run):
    """Guards against runs that are dropped for an answer which can't be attributed."""
    bench.answer(machine, now=NOW + 1, start_ms=0)

    assert bench.pool.live == {run.task: run}
    assert not machine.gone


def test_vm_that_is_lost_leaves_it_open_what_the_next_one_runs(make_bench, listed):
    """Guards against two runs of a task after a takeover.

    The next incarnation is known from its entry and may execute a start of an earlier
    leader; the first one is marked as ended before any has answered.
    """
    bench = make_bench(fence=50, epoch=2)
    bench.pool.on_roster(f"w1@{START}", "w1:1", 30, NOW, start_ms=START)
    state = bench.add_job(version=20)
    second = bench.add_vm(start_ms=61_000, clock=NEW_CLOCK, answers=False)
    bench.add_vm("w2")

    ended = {f"w1@{START}": vm.VmEnd.LOST}
    bench.pool.set_closed(frozenset(), ended, 5)

    assert bench.pool.may_have_run(state)
    bench.answer(second, clock=NEW_CLOCK)
    assert not bench.pool.may_have_run(state)


def test_pending_start_outlasts_an_entry_with_the_address_of_another_worker(
    bench, machine, read_entry
):
    """Guards against two runs of a task, as the next incarnation isn't known yet."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(workers.Verdict.UNKNOWN), NOW)
    other = read_entry(NOW + 0.2, start_ms=57_000, address="w1:2")
    bench.pool.drop_vm(machine, vm.VmEnd.LOST)

    bench.pool.on_hold(other, workers.HoldReply(workers.Verdict.GONE), NOW + 0.3)

    assert run.task in bench.pool.live


def test_pending_start_outlasts_the_leases_of_the_first_incarnation(
    bench, machine, read_entry
):
    """Guards against two runs of a task, as the next incarnation is silent for long.

    It may execute a start that was sent to the first one, under a lease by its clock.
    """
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(workers.Verdict.UNKNOWN), NOW)
    bench.pool._takeover_time = NOW - 60
    other = read_entry(NOW + 0.5, start_ms=57_000, clock=NEW_CLOCK)

    bench.pool.expire_leases(NOW + 8)
    assert run.vm is other
    assert run.task in bench.pool.live

    bench.pool.expire_leases(NOW + 8 + bench.pool.times.max_lease + 3)
    assert run.task not in bench.pool.live


# Workers that may be in another pool, whose leader gives orders with another token.


@pytest.fixture
def pending(bench, machine):
    """Start a task without an answer."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(workers.Verdict.UNKNOWN), NOW)
    return run


def test_incarnation_without_an_entry_is_not_called(bench, machine, pending):
    """Guards against leaders of two pools that depose each other by their tokens."""
    bench.answer(machine, now=NOW + 1, start_ms=57_000, clock=NEW_CLOCK)

    assert pending.vm.id == "w1@57000"
    assert bench.pool.roster.select_for_renewal("w1") is None


def test_start_that_a_worker_in_another_pool_may_execute_is_not_repeated(
    bench, machine, pending, read_entry
):
    """Guards against two runs of a task, as an order of the former pool is late."""
    bench.answer(machine, now=NOW + 0.1, start_ms=57_000, clock=NEW_CLOCK)
    bench.pool._takeover_time = NOW - 60

    read_entry(start_ms=57_000, pool="other")

    assert bench.pool.roster.select_for_renewal("w1") is None
    bench.pool.expire_leases(NOW + bench.pool.times.max_lease)
    assert pending.task in bench.pool.live
    bench.pool.expire_leases(NOW + bench.pool.times.max_lease + 3)
    assert pending.task not in bench.pool.live


def test_pending_start_of_a_lost_vm_waits_for_a_worker_in_another_pool(
    bench, machine, pending, read_entry
):
    """Guards against two runs of a task, as the next incarnation can't be asked."""
    read_entry(NOW, start_ms=57_000, pool="other")
    bench.pool.drop_vm(machine, vm.VmEnd.LOST)

    bench.pool.expire_leases(NOW + bench.pool.times.max_lease)
    assert pending.task in bench.pool.live
    bench.pool.expire_leases(NOW + bench.pool.times.max_lease + 3)
    assert pending.task not in bench.pool.live


def test_recorded_vm_whose_worker_is_in_another_pool_is_not_called(make_bench):
    """Guards against a new leader that acknowledges ends of another pool."""
    bench = make_bench(fence=50, epoch=2)
    machine = bench.add_vm(start_ms=START, answers=False)
    bench = make_bench(fence=60, epoch=3)
    bench.pool.on_worker(machine.entry._replace(pool="other"), NOW)

    bench.pool.on_roster(machine.id, "w1:1", 55, NOW, start_ms=START)

    assert bench.pool.roster.select_for_renewal("w1") is None
    assert bench.pool.unresolved == {machine.id}


def test_worker_whose_own_entry_names_another_pool_is_not_called(
    bench, machine, run, read_entry
):
    """Guards against leaders of two pools that depose each other by their tokens."""
    read_entry(pool="other")
    assert bench.pool.roster.select_for_renewal("w1") is None

    read_entry(NOW + 1.5)
    assert bench.pool.roster.select_for_renewal("w1") is machine
    assert machine.is_open(NOW + 1.5)


@pytest.fixture
def foreign():
    """Return the end of a run of a job of another pool."""
    task = model.Task("other", 0, 0, 0)
    return workers.Ended(41, task, 7, model.End.DONE, "")


def test_end_of_a_job_of_another_pool_is_not_acknowledged(
    bench, machine, run, ended, foreign
):
    """Guards against an end that is forgotten before its pool's leader records it."""
    own = [ended(40, run), ended(42, run)]
    bench.answer(machine, ended=[own[0], foreign, own[1]])
    bench.commit()
    assert machine.processed_end == machine.committed_end == 42
    assert machine.compute_acknowledged_end(NOW) == 40

    bench.answer(machine, ended=[own[1]], now=NOW + 0.1)
    assert machine.compute_acknowledged_end(NOW + 0.1) == 42


def test_end_of_a_job_that_was_final_before_is_acknowledged(bench, machine, foreign):
    """Guards against ends that are listed for good, as their job is forgotten."""
    location = compaction.RowLocation("job00", "p.0")
    bench.pool.compactor.on_final_row("other", location, 20, 1.0)

    bench.answer(machine, ended=[foreign])
    bench.commit()

    assert machine.compute_acknowledged_end(NOW) == 41


def test_run_of_a_job_of_another_pool_is_not_stopped_at_once(bench, machine):
    """Guards against work that is lost, as an entry names the wrong pool once."""
    entry = workers.Running(model.Task("other", 0, 0, 0), 7, "", 50, 0)
    bench.answer(machine, [entry])
    assert bench.plan(NOW + core.FOREIGN_RUN_HOLD_SECONDS) == []

    bench.answer(machine, [entry], now=NOW + 3)
    (stop,) = bench.plan(NOW + 4)
    assert stop == message.Stop(machine, entry.task, 7)


# Acknowledgements that may reach the next incarnation.


@pytest.fixture
def commit_end(bench, machine, run, ended):
    """Record an end of the first incarnation, which a renewal may acknowledge."""
    bench.answer(machine, ended=[ended(40, run)])
    bench.commit()
    assert machine.compute_acknowledged_end(NOW) == 40


def test_no_end_is_acknowledged_long_after_the_last_answer(machine, commit_end):
    """Guards against ends that a restarted worker forgets before they are recorded.

    A leader that was paused or without a lease may have called last before the restart.
    """
    later = NOW + vm.ACKNOWLEDGE_WITHIN_SECONDS + 0.1

    assert machine.compute_acknowledged_end(later) == 0


def test_no_end_is_acknowledged_while_an_entry_names_another_incarnation(
    machine, commit_end, read_entry
):
    """Guards against ends that a restarted worker forgets before they are recorded."""
    read_entry(NOW, start_ms=57_000)

    assert machine.compute_acknowledged_end(NOW) == 0


def test_no_end_is_acknowledged_after_an_answer_that_has_waited(
    bench, machine, commit_end
):
    """Guards against ends that a restarted worker forgets before they are recorded.

    The leader was paused, and processes an answer from before the restart only now.
    """
    bench.answer(machine, now=NOW + 6, sent=NOW + 0.1)

    assert machine.compute_acknowledged_end(NOW + 6) == 0


def test_commit_for_a_former_vm_of_the_same_name_acknowledges_nothing(
    bench, machine, run, ended
):
    """Guards against ends that a worker forgets before they are recorded."""
    bench.answer(machine, ended=[ended(40, run)])
    batch = bench.pool.ledger.collect(bench.pool.jobs, bench.pool.vms)
    bench.pool.on_hold(machine, workers.HoldReply(workers.Verdict.GONE), NOW + 0.1)
    again = bench.add_vm(start_ms=START)

    bench.pool.on_ends_durable(batch.processed_ends)

    assert again.compute_acknowledged_end(NOW) == 0


def test_no_end_is_acknowledged_while_the_next_incarnation_may_execute_a_start(
    bench, machine, commit_end, listed
):
    """Guards against ends that a restarted worker forgets before they are recorded."""
    bench.add_job("second")
    (run,) = bench.start(answered=False)
    assert machine.compute_acknowledged_end(NOW) == 0

    bench.answer(machine, [listed(run)])
    assert machine.compute_acknowledged_end(NOW) == 40


def test_ends_are_acknowledged_at_any_time_where_workers_report_no_starts(bench, ended):
    """Guards against renewals that change where each worker has an id of its own."""
    machine = bench.add_vm()
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(40, run)])
    bench.commit()
    machine.is_silent = True

    assert machine.compute_acknowledged_end(NOW + 60) == 40


def test_nothing_starts_while_a_renewal_that_was_on_its_way_is_lost(
    bench, machine, read_entry
):
    """Guards against ends that a restarted worker forgets before they are recorded.

    Its entry was read while a renewal with the numbers of the first one was on its way.
    """
    successor = read_entry(NOW, start_ms=57_000)
    successor.recorded = True

    bench.pool.on_renewal_lost(machine, NOW - 0.2)
    bench.answer(machine, now=NOW + 0.1, start_ms=57_000, clock=NEW_CLOCK)
    bench.answer(successor, now=NOW + 0.2, clock=NEW_CLOCK + 0.1)

    assert not successor.is_open(NOW + 1.7)
    assert successor.is_open(NOW + 1.8)
