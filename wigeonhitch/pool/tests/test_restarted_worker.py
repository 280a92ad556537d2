"""Workers that are restarted under their ids, as the leader of their pool sees them.

A worker then knows nothing of before: its clock and the numbers of its ends start anew.
"""

import anyio
import pytest

from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import entries, http, workers
from wigeonhitch.pool import dependencies, message, runner, transfer, view, vm
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import metric

NOW = 100.0
CLOCK = 5000.0
FIRST_START = 60_000
NEW_CLOCK = 0.5
"""Clock of the worker in its second incarnation, at `NOW`."""

DONE = workers.Verdict.DONE
UNKNOWN = workers.Verdict.UNKNOWN


@pytest.fixture(params=[61_000, 57_000], ids=["later", "earlier"])
def second_start(request):
    """Return the start that the second incarnation reports; clocks may be set back."""
    return request.param


@pytest.fixture
def machine(bench):
    return bench.add_vm(start_ms=FIRST_START)


@pytest.fixture
def restart(bench, machine, second_start):
    """Restart the worker; return the VM of its second incarnation.

    Its entry is read, and it answers a renewal that was sent to the one before.
    """

    def start_worker(now=NOW):
        former = bench.pool.roster.find_by_worker(machine.entry.id)
        clock = NEW_CLOCK + now - NOW
        entry = machine.entry._replace(start_ms=second_start, clock=clock)
        bench.pool.on_worker(entry, now)
        successor = next(m for m in bench.pool.vms.values() if m.entry == entry)
        successor.recorded = True
        if former is not None:
            bench.answer(former, now=now, start_ms=second_start, clock=clock)
        return successor

    return start_worker


@pytest.fixture
def answer_again(bench, second_start):
    """Let the second incarnation of the worker answer a renewal."""

    def answer(successor, running=(), ended=(), *, now=NOW):
        clock = NEW_CLOCK + now - NOW
        bench.answer(
            successor, running, ended, now=now, start_ms=second_start, clock=clock
        )

    return answer


def lose_answer(bench, run):
    bench.pool.on_start(run, workers.OrderReply(UNKNOWN), NOW)


def confirm_stop(bench, run, clock):
    reply = workers.OrderReply(DONE, clock)
    bench.pool.on_stop(run.vm, run.task, run.number, reply)


def list_live(bench):
    return [(run.task.job, run.vm.id) for run in bench.pool.live.values()]


def test_ends_of_the_second_incarnation_count(
    bench, machine, ended, restart, answer_again
):
    """Guards against tasks that are run again after they were done.

    The ends of a worker's second incarnation were ignored while their numbers were not
    above those of the first, and their runs were taken for vanished.
    """
    bench.add_job("first")
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(40, run)], start_ms=FIRST_START)
    successor = restart()
    answer_again(successor)
    state = bench.add_job("second")
    (run,) = bench.start()

    answer_again(successor, ended=[ended(1, run)], now=NOW + 1)

    assert run.vm is successor
    assert state.final is model.JobState.COMPLETED


def test_ends_of_the_second_incarnation_are_not_acknowledged_by_a_commit_of_the_first(
    bench, machine, ended, restart, answer_again
):
    """Guards against ends that a worker forgets before they are recorded."""
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(40, run)], start_ms=FIRST_START)
    batch = bench.pool.ledger.collect(bench.pool.jobs, bench.pool.vms)
    successor = restart()
    answer_again(successor)

    bench.pool.on_ends_durable(batch.processed_ends)

    assert successor.committed_end == 0


def test_no_end_is_acknowledged_to_a_worker_that_may_have_been_restarted(
    bench, machine, ended
):
    """Guards against ends of the second incarnation that the worker forgets.

    It may have executed a start that was sent to the first one, and a renewal with the
    numbers of the first would acknowledge its end.
    """
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(40, run)], start_ms=FIRST_START)
    bench.commit()
    assert machine.compute_acknowledged_end(NOW) == 40

    machine.is_silent = True
    assert machine.compute_acknowledged_end(NOW) == 0


def test_answer_of_the_second_incarnation_ends_the_first_one(
    bench, machine, listed, second_start
):
    """Guards against runs that wait for their leases, as the entry is read later."""
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, [listed(run)], start_ms=FIRST_START)

    bench.answer(machine, now=NOW + 1, start_ms=second_start, clock=NEW_CLOCK)

    assert machine.gone
    assert run.task not in bench.pool.live
    successor = bench.pool.roster.find_by_worker("w1")
    assert not successor.listed  # what it has room for isn't known yet
    assert successor.processed_end == 0


def test_deadlines_count_from_the_clock_of_the_second_incarnation(
    bench, machine, restart, answer_again
):
    """Guards against starts that stay valid for as long as the first one lasted."""
    successor = restart()
    answer_again(successor)

    assert successor.compute_deadline(NOW, 1.2) == pytest.approx(NEW_CLOCK + 1.2)


def test_a_renewal_for_the_first_incarnation_may_have_extended_the_leases_of_the_second(
    bench, machine, restart, answer_again
):
    """Guards against a task that is restarted while its worker still holds a lease."""
    successor = restart()
    answer_again(successor)

    assert successor.lease_deadline >= NEW_CLOCK + bench.pool.times.max_lease


def test_entry_of_the_first_incarnation_is_ignored_after_the_second(
    bench, machine, restart
):
    """Guards against a VM that is dropped for an entry that is read late."""
    successor = restart()

    bench.pool.on_worker(machine.entry, NOW + 1)

    assert list(bench.pool.vms.values()) == [successor]


def test_delayed_answer_of_the_first_incarnation_is_ignored(
    bench, machine, restart, answer_again, ended
):
    """Guards against ends of the first incarnation that hide those of the second."""
    bench.add_job()
    (run,) = bench.start()
    successor = restart()
    answer_again(successor)

    end = ended(40, run)
    bench.answer(successor, (), [end], now=NOW + 1, sent=NOW, start_ms=FIRST_START)

    assert successor.processed_end == 0


def test_listed_run_of_the_first_incarnation_has_ended_with_it(
    bench, machine, listed, restart
):
    """Guards against tasks that wait for an answer although nothing runs them."""
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, [listed(run)], start_ms=FIRST_START)

    restart()

    assert run.task not in bench.pool.live


def test_unanswered_start_is_not_repeated_until_the_worker_refuses_it(
    bench, machine, restart, answer_again
):
    """Guards against two runs of a task.

    An order names the worker's id only. One that was sent to its first incarnation may
    be executed by the second, on whose clock its deadline is far off.
    """
    bench.add_vm("w2")
    bench.add_job()
    (run,) = bench.start(answered=False)
    assert run.vm is machine
    lose_answer(bench, run)
    successor = restart()
    answer_again(successor, now=NOW + 0.1)

    (stop,) = bench.plan(NOW + 2)
    assert stop == message.Stop(successor, run.task, run.number)
    answer_again(successor, now=NOW + 2.1)
    assert run.task in bench.pool.live

    confirm_stop(bench, run, NEW_CLOCK + 2.2)
    answer_again(successor, now=NOW + 2.3)
    assert run.task not in bench.pool.live


def test_transferred_start_does_not_lapse_before_the_longest_lease(
    bench, machine, restart
):
    """Guards against two runs of a task.

    No lease of the second incarnation is known when it takes over the run, so that the
    run would count as lapsed at once.
    """
    bench.pool.expire_leases(NOW)
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)
    bench.pool._takeover_time = NOW - 60
    restart()

    bench.pool.expire_leases(NOW + bench.pool.times.max_lease)
    assert run.task in bench.pool.live

    bench.pool.expire_leases(NOW + bench.pool.times.max_lease + 3)
    assert run.task not in bench.pool.live


def test_start_that_the_second_incarnation_executed_goes_on(
    bench, machine, listed, restart, answer_again
):
    """Guards against two runs of a task, one of them on a VM that lists it."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)
    successor = restart()

    answer_again(successor, [listed(run)], now=NOW + 0.1)

    assert run.state is vm.RunState.RUNNING
    assert list_live(bench) == [("j", successor.id)]
    assert bench.pool.suspects.count(run.task) == 0
    assert bench.plan(NOW + 2) == []


def test_start_that_the_first_incarnation_has_answered_ended_with_it(
    bench, machine, restart
):
    """Guards against tasks that wait for an answer although nothing runs them."""
    bench.add_job()
    (run,) = bench.start()

    restart()

    assert run.task not in bench.pool.live


def test_start_that_was_answered_by_another_clock_waits_for_the_next_list(
    bench, machine, restart, answer_again
):
    """Guards against two runs of a task.

    The answer to a start doesn't name the incarnation. One whose clock shows less time
    than has passed since the first incarnation's last answer may be the second's.
    """
    bench.add_job()
    (run,) = bench.start(answered=False)
    reply = workers.OrderReply(DONE, NEW_CLOCK, NOW + 0.1, NOW + 0.6)
    bench.pool.on_start(run, reply, NOW + 0.6)
    successor = restart(NOW + 0.7)
    assert bench.plan(NOW + 0.8) == []

    answer_again(successor, now=NOW + 0.9)

    assert run.task not in bench.pool.live


def test_late_answer_to_a_transferred_start_sets_no_clock(
    bench, machine, restart, answer_again
):
    """Guards against leases that are counted on the clock of the first incarnation."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    successor = restart()
    answer_again(successor)

    bench.pool.on_start(run, workers.OrderReply(DONE, CLOCK, NOW, NOW + 0.1), NOW + 0.1)

    assert successor.compute_clock(NOW) == pytest.approx(NEW_CLOCK)
    assert run.state is vm.RunState.UNKNOWN


def test_refused_transferred_start_is_repeated(bench, machine, restart, answer_again):
    """Guards against a task that is never started again after a refusal."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    answer_again(restart())

    refusal = workers.OrderReply(workers.Verdict.LATE, NEW_CLOCK)
    bench.pool.on_start(run, refusal, NOW + 0.1)

    assert run.task not in bench.pool.live


def test_crashes_of_one_worker_count_once_an_incarnation(
    bench, machine, restart, answer_again
):
    """Guards against a task that crashes the same worker without an end."""
    bench.add_job()
    (run,) = bench.start()
    successor = restart()
    answer_again(successor)
    bench.commit()
    bench.plan(NOW + 0.1)  # the VM of a suspect is recorded before its start
    bench.commit()
    (start,) = bench.plan(NOW + 0.1)
    start.run.deadline = NEW_CLOCK + 1.3
    lose_answer(bench, start.run)

    bench.pool.drop_vm(successor, vm.VmEnd.LOST)

    assert bench.pool.suspects.count(run.task) == 2


def test_end_of_the_first_incarnation_does_not_bar_the_second(bench, machine, restart):
    """Guards against workers that are never used again after they were listed as down.

    The worker's id was marked as ended, and each later entry of it was ignored.
    """
    ended = {machine.id: vm.VmEnd.LOST}
    bench.pool.set_closed(frozenset({machine.id}), ended, 1)

    successor = restart()

    assert list(bench.pool.vms.values()) == [successor]
    assert not successor.closed


@pytest.mark.parametrize("is_entry_first", [False, True])
def test_row_of_the_first_incarnation_that_is_read_after_a_restart(
    make_bench, is_entry_first, second_start
):
    """Guards against tasks of earlier leaders that are started beside a late start.

    The second incarnation may execute an order of the earlier leader until it has
    answered the new one.
    """
    bench = make_bench(fence=50, epoch=2)
    row = pool_record.RosterRow("w1:1", FIRST_START)
    id = entries.name_incarnation("w1", FIRST_START)
    room = model.Room(8000, 65536)
    entry = entries.WorkerEntry(
        "w1",
        "p",
        "w1:1",
        "dc",
        False,
        room,
        ("a", "r1"),
        NEW_CLOCK,
        start_ms=second_start,
    )
    steps = [
        lambda: bench.pool.on_worker(entry, NOW),
        lambda: bench.pool.on_roster(id, row.address, 30, NOW, start_ms=row.start_ms),
    ]
    for step in steps if is_entry_first else reversed(steps):
        step()
    assert bench.pool.unresolved == {id}

    bench.answer(bench.pool.vms[id], start_ms=entry.start_ms, clock=NEW_CLOCK)

    assert list(bench.pool.vms) == [entry.incarnation]
    assert bench.pool.unresolved == {entry.incarnation}
    assert bench.pool.roster.unseen_ends == {id}


def test_row_of_an_earlier_version_names_no_start(make_bench):
    """Guards against crashes that daemons of two versions count without cause."""
    bench = make_bench(fence=50, epoch=2)
    bench.pool.on_roster("w1", "w1:1", 30, NOW)
    machine = bench.add_vm(start_ms=FIRST_START, answers=False)
    assert bench.pool.unresolved == {"w1"}

    bench.answer(bench.pool.vms["w1"], start_ms=FIRST_START)

    assert list(bench.pool.vms.values()) == [machine]
    assert bench.pool.unresolved == {machine.id}
    assert not bench.pool.roster.unseen_ends


def test_roster_row_names_the_start():
    """Guards against a takeover that takes a restarted worker for the one recorded."""
    row = pool_record.RosterRow("w1:1", FIRST_START)

    assert pool_record.read_roster(pool_record.write_roster(row)) == row
    assert pool_record.read_roster(b'{"address":"w1:1"}').start_ms == 0


def test_vm_whose_worker_reports_no_start_has_the_id_of_its_worker(bench):
    """Guards against rows and calls that change where workers report no starts."""
    machine = bench.add_vm("w9")

    assert machine.id == machine.entry.id == "w9"
    assert pool_record.write_roster(pool_record.RosterRow("a")) == b'{"address":"a"}'


class WaitingWorker:
    """Answers renewals after a while; records how many are open at once."""

    def __init__(self):
        self.open = self.most = 0

    async def hold(self, address, worker, fence, deadline, last, *, wait, timeout):
        self.open += 1
        self.most = max(self.most, self.open)
        await anyio.sleep(0.05)
        self.open -= 1
        return workers.HoldReply(UNKNOWN)


@pytest.mark.anyio
async def test_second_start_is_renewed_after_the_last_call_to_the_first(
    bench, second_start
):
    """Guards against ends of the second incarnation that the worker forgets.

    ``last_seen`` of a renewal of the first incarnation would acknowledge them.
    """
    worker = WaitingWorker()
    clock = http.read_clock
    deps = dependencies.Dependencies(
        *(None, worker, None, metric.Instruments(), lambda: True, clock, clock),
        *(60.0, view.TimeBounds(6.5, 0.2)),
    )
    owner = leader_record.Owner("p", "daemon", "life", 1, 10)
    leader = runner.Runner(owner, deps, clock())
    entry = bench.add_vm(start_ms=FIRST_START, answers=False).entry
    leader.pool.on_worker(entry, clock())
    with anyio.move_on_after(0.4):
        async with anyio.create_task_group() as group:
            leader._run_round(group)
            await anyio.sleep(0.02)
            leader.pool.on_worker(entry._replace(start_ms=second_start), clock())
            for _ in range(10):
                leader._run_round(group)
                await anyio.sleep(0.02)

    assert worker.most == 1
    assert leader._dispatcher.renewing == set()


# The worker's second incarnation isn't known when the VM of the first is dropped.


def find_vm(bench):
    return bench.pool.roster.find_by_worker("w1")


@pytest.fixture
def pending(bench, machine):
    """Start a task without an answer, and lose its VM."""
    bench.add_vm("w2")
    bench.add_job()
    (run,) = bench.start(answered=False)
    assert run.vm is machine
    lose_answer(bench, run)
    bench.pool.drop_vm(machine, vm.VmEnd.LOST)
    return run


def test_unanswered_start_is_not_repeated_while_its_order_may_be_on_its_way(
    bench, machine, pending
):
    """Guards against two runs of a task: the next incarnation may execute the order.

    Whichever way the leader learns of the end of a VM, the order is on its way as long.
    """
    assert bench.plan(NOW + transfer.ORDER_FLIGHT_SECONDS) == []

    bench.plan(NOW + transfer.ORDER_FLIGHT_SECONDS + transfer.FIRST_ANSWER_SECONDS)

    assert pending.task not in bench.pool.live
    assert find_vm(bench) is None


def test_pending_start_is_transferred_when_the_second_incarnation_is_known(
    bench, pending, restart, answer_again, listed
):
    """Guards against a run that is stopped or repeated although it goes on."""
    successor = restart(NOW + 1)
    answer_again(successor, [listed(pending)], now=NOW + 1.1)

    assert list_live(bench) == [("j", successor.id)]
    assert pending.state is vm.RunState.RUNNING
    assert bench.pool.suspects.count(pending.task) == 0


def test_answer_of_the_second_incarnation_to_a_placeholder_makes_it_known(
    bench, pending, listed, second_start
):
    """Guards against a run that nobody knows, as its worker's entry is read late."""
    placeholder = find_vm(bench)
    assert placeholder.is_placeholder

    bench.answer(placeholder, now=NOW + 1, start_ms=second_start, clock=NEW_CLOCK)

    assert pending.vm is find_vm(bench)
    assert pending.vm.entry.start_ms == second_start


def test_entry_and_answer_of_the_first_incarnation_do_not_end_a_placeholder(
    bench, machine, pending
):
    """Guards against two runs of a task, as what was written before is read late."""
    placeholder = find_vm(bench)

    bench.pool.on_worker(machine.entry, NOW + 0.5)
    bench.answer(placeholder, now=NOW + 0.6, start_ms=FIRST_START)
    bench.pool.set_closed(
        frozenset({placeholder.id}), {placeholder.id: vm.VmEnd.LOST}, 1
    )

    assert find_vm(bench) is placeholder
    assert pending.task in bench.pool.live


def test_placeholder_is_recorded_for_later_leaders(bench, pending):
    """Guards against two runs of a task after a takeover.

    The next leader asks the VMs that are recorded, and that of the first incarnation
    isn't any more.
    """
    bench.commit()

    assert bench.rows[pool_record.ROSTER_TABLE, "w1"][0]


def test_placeholder_hides_no_loss_of_a_rack(bench, machine, pending):
    """Guards against tasks that count as the cause of a loss of power."""
    lost = bench.pool.vms["w2"]
    lost.last_contact = NOW + 0.5
    assert find_vm(bench).joined_at <= lost.last_contact

    assert bench.pool.suspects._is_mass_loss(lost)


def test_no_task_waits_for_a_worker_of_another_id(bench, machine):
    """Guards against delays where the next worker refuses the order."""
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    reply = workers.HoldReply(workers.Verdict.GONE)
    bench.pool.on_hold(machine, reply, NOW)

    assert run.task not in bench.pool.live


def test_no_task_waits_where_workers_report_no_starts(bench):
    """Guards against delays where each worker has an id of its own."""
    machine = bench.add_vm("w1")
    bench.add_job()
    (run,) = bench.start(answered=False)
    lose_answer(bench, run)

    bench.pool.drop_vm(machine, vm.VmEnd.LOST)

    assert run.task not in bench.pool.live
    assert find_vm(bench) is None


def test_nothing_starts_while_a_lost_renewal_may_reach_the_second_incarnation(
    bench, machine, restart, answer_again
):
    """Guards against ends that the worker forgets before they are recorded.

    The renewal acknowledges ends by the numbers of the first incarnation.
    """
    bench.pool.on_renewal_lost(machine, NOW - 0.5)
    successor = restart()
    bench.add_job()
    answer_again(successor, now=NOW + 1.4)
    assert bench.plan(NOW + 1.4) == []

    assert len(bench.plan(NOW + 1.5)) == 1


def test_moved_vm_is_not_taken_back_by_its_former_pool(bench, machine, second_start):
    """Guards against a leader whose fencing token stops that of the VM's new pool.

    The VM was drained for a move, and its worker has the same id in the new pool.
    """
    bench.pool.set_closed(frozenset({machine.id}), {})

    bench.answer(machine, now=NOW + 2, start_ms=second_start, clock=NEW_CLOCK)

    assert find_vm(bench) is None


def test_worker_whose_entry_names_another_pool_is_dropped(bench, machine, second_start):
    """Guards against calls to a worker that never belonged to the pool."""
    bench.answer(machine, now=NOW + 2, start_ms=second_start, clock=NEW_CLOCK)
    entry = find_vm(bench).entry._replace(pool="other")

    bench.pool.on_worker(entry, NOW + 2.1)

    assert find_vm(bench) is None
