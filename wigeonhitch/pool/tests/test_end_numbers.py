"""Log lines that tell why a run left the list of its worker without an end.

A worker forgets an end only once its number is acknowledged. The lines name the numbers
and the incarnations, so that the causes of a task that ran again can be told apart.
"""

import anyio
import pytest

from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import http, workers
from wigeonhitch.pool import dependencies, renewal, reporter, runner, view
from wigeonhitch.telemetry import metric

NOW = 100.0
CLOCK = 5000.0
FIRST_START, SECOND_START = 1_000, 61_000
NEW_CLOCK = 0.5
"""Clock of a worker that has just started."""
DONE = workers.Verdict.DONE


@pytest.fixture
def lines(bench):
    """Record the events of the pool with their fields."""
    recorded = []

    def record(event, **fields):
        recorded.append((event, fields))

    bench.pool.log_event = bench.pool.roster._log_event = record
    return recorded


@pytest.fixture
def machine(bench, lines):
    machine = bench.add_vm(start_ms=FIRST_START, answers=False)
    bench.answer(machine, start_ms=FIRST_START)
    return machine


@pytest.fixture
def new_machine(bench, lines):
    """Add a VM whose worker starts after the takeover."""
    machine = bench.add_vm(start_ms=SECOND_START, clock=NEW_CLOCK, answers=False)
    answer_new(bench, machine, now=NOW + 1)
    return machine


def answer_new(bench, machine, ended=(), *, now):
    clock = NEW_CLOCK + now - NOW - 1
    bench.answer(machine, (), ended, now=now, start_ms=SECOND_START, clock=clock)


def find_fields(lines, event):
    return [fields for name, fields in lines if name == event]


def build_end(number):
    task = model.Task("other", 0, 0, number)
    return workers.Ended(number, task, 1, model.End.DONE, "")


def test_line_of_an_unlisted_run_names_the_numbers_and_the_incarnation(
    bench, lines, machine
):
    """Guards against a lost run of which it isn't known who acknowledged its end."""
    bench.add_job()
    (run,) = bench.start()
    sent = renewal.Renewal(machine.id, 40, CLOCK + 3.8)
    bench.pool.renewals.record(machine.entry.id, sent)
    machine.processed_end, machine.committed_end = 41, 40

    ends = [build_end(40), build_end(41)]
    bench.answer(machine, ended=ends, now=NOW + 1, start_ms=FIRST_START)

    (fields,) = find_fields(lines, "run no longer listed")
    assert fields["job"] == "j"
    assert fields["start_ms"] == FIRST_START
    assert fields["acknowledged"] == {machine.id: 40}
    assert (fields["processed_end"], fields["committed_end"]) == (41, 40)
    assert (fields["first_end"], fields["last_end"]) == (40, 41)
    assert fields["clock"] == CLOCK + 1
    assert fields["expected_clock"] == pytest.approx(CLOCK + 0.98)


def test_line_of_a_start_that_did_not_take_place_names_the_same(bench, lines, machine):
    """Guards against a run whose end was forgotten and that counts as not started.

    Its start got no answer, or was sent to the incarnation before.
    """
    bench.add_job()
    (run,) = bench.start(answered=False)
    bench.pool.on_start(run, workers.OrderReply(workers.Verdict.UNKNOWN), NOW)
    sent = renewal.Renewal(machine.id, 40, CLOCK + 3.8)
    bench.pool.renewals.record(machine.entry.id, sent)

    bench.answer(machine, now=NOW + 2, start_ms=FIRST_START)

    (fields,) = find_fields(lines, "start did not take place")
    assert fields["job"] == "j"
    assert fields["start_ms"] == FIRST_START
    assert fields["acknowledged"] == {machine.id: 40}
    assert (fields["first_end"], fields["last_end"]) == (0, 0)


def test_listed_end_writes_no_line(bench, lines, machine, ended):
    """Guards against a line per task in the normal course."""
    bench.add_job()
    (run,) = bench.start()
    lines.clear()

    bench.answer(machine, ended=[ended(40, run)], now=NOW + 1, start_ms=FIRST_START)

    assert [event for event, _ in lines] == ["job complete"]


def test_gap_in_the_ends_of_a_new_worker_is_logged_once(bench, lines, new_machine):
    """Guards against ends that are lost without a trace."""
    answer_new(bench, new_machine, [build_end(1)], now=NOW + 2)
    for number in (4, 5):
        answer_new(bench, new_machine, [build_end(number)], now=NOW + number)

    (fields,) = find_fields(lines, "ends missing")
    assert fields["vm"] == new_machine.id
    assert fields["start_ms"] == SECOND_START
    assert (fields["processed_end"], fields["first_end"]) == (1, 4)
    assert fields["count"] == 2


def test_first_end_of_a_new_worker_has_the_number_1(bench, lines, new_machine):
    """Guards against ends that are missing before the first one that is listed."""
    answer_new(bench, new_machine, [build_end(3)], now=NOW + 2)

    (fields,) = find_fields(lines, "ends missing")
    assert (fields["processed_end"], fields["count"]) == (0, 2)


def test_ends_that_an_earlier_leader_processed_are_not_missing(bench, lines, machine):
    """Guards against a line for each VM after each takeover."""
    for number in (40, 41):
        end = build_end(number)
        bench.answer(machine, (), [end], now=NOW + 1, start_ms=FIRST_START)
    assert not find_fields(lines, "ends missing")

    bench.answer(machine, (), [build_end(43)], now=NOW + 2, start_ms=FIRST_START)
    (fields,) = find_fields(lines, "ends missing")
    assert fields["count"] == 1


def test_no_clock_is_expected_of_a_worker_whose_clock_is_not_known(bench, lines):
    """Guards against a worker that seems restarted after each takeover."""
    bench.pool.on_roster("w1@1000", "w1:1", 30, NOW, start_ms=FIRST_START)
    (machine,) = bench.pool.vms.values()

    bench.answer(machine, now=NOW + 1, start_ms=SECOND_START, clock=NEW_CLOCK)

    (fields,) = find_fields(lines, "answer of another incarnation")
    assert fields["expected_clock"] is None


@pytest.mark.parametrize("is_gone", [False, True])
def test_answer_of_a_later_incarnation_names_what_the_call_acknowledged(
    bench, lines, machine, is_gone
):
    """Guards against a renewal that met another incarnation without a trace.

    The entry of the later incarnation may be read before the answer.
    """
    deadline = CLOCK + 3.8
    sent = renewal.Renewal(machine.id, 40, deadline)
    bench.pool.renewals.record(machine.entry.id, sent)
    if is_gone:
        entry = machine.entry._replace(start_ms=SECOND_START, clock=NEW_CLOCK)
        bench.pool.on_worker(entry, NOW + 1)

    for _ in range(2):
        bench.answer(machine, now=NOW + 1, start_ms=SECOND_START, clock=NEW_CLOCK)

    (fields,) = find_fields(lines, "answer of another incarnation")
    assert fields["called"] == "earlier"
    assert fields["acknowledged"] == 40
    assert fields["lease"] == deadline
    assert fields["start_ms"] == FIRST_START
    assert fields["answered_start_ms"] == SECOND_START
    assert fields["clock"] == NEW_CLOCK
    assert fields["expected_clock"] == pytest.approx(CLOCK + 0.98)


def test_answer_of_an_ended_incarnation_is_logged_once(bench, lines, machine):
    """Guards against a line per renewal that is answered by what counts as ended."""
    bench.answer(machine, now=NOW + 1, start_ms=SECOND_START, clock=NEW_CLOCK)
    successor = bench.pool.roster.find_by_worker("w1")
    lines.clear()

    for second in (2, 3):
        bench.answer(successor, now=NOW + second, sent=NOW, start_ms=FIRST_START)

    (fields,) = find_fields(lines, "answer of another incarnation")
    assert fields["called"] == "later"


def test_restart_with_the_same_start_is_logged(bench, lines, machine):
    """Guards against a restart without a trace, as the worker's clock was set back."""
    bench.answer(machine, now=NOW + 1, clock=NEW_CLOCK)

    (fields,) = find_fields(lines, "answer of another incarnation")
    assert fields["called"] == "earlier"
    assert fields["answered_start_ms"] == fields["start_ms"] == FIRST_START


def test_end_of_a_lapsed_run_is_logged(bench, lines, machine, ended):
    """Guards against a task that is repeated although its end was received."""
    bench.add_job()
    (run,) = bench.start()
    bench.pool._remove_lapsed_runs(machine, NOW + 9)

    bench.answer(machine, ended=[ended(7, run)], now=NOW + 9, start_ms=FIRST_START)

    (fields,) = find_fields(lines, "end of a dropped run")
    assert (fields["job"], fields["task"]) == ("j", run.task[1:])
    assert (fields["run"], fields["number"]) == (run.number, 7)
    assert (fields["how"], fields["vm"]) == ("done", machine.id)


def test_task_whose_dropped_run_was_done_is_not_run_again(bench, machine, ended):
    """Guards against a task that is repeated although its end was received.

    An order that was on its way longer than any order should be was executed by the
    next incarnation of the worker, on whose clock the deadline was far off.
    """
    state = bench.add_job()
    (run,) = bench.start(answered=False)
    bench.answer(machine, now=NOW + 1.5)
    bench.answer(machine, now=NOW + 3.5)  # the start didn't take place
    (second,) = bench.start(NOW + 3.5)
    bench.answer(machine, now=NOW + 4, start_ms=SECOND_START, clock=NEW_CLOCK)
    successor = bench.pool.roster.find_by_worker("w1")

    end = ended(1, run)
    bench.answer(successor, (), [end], now=NOW + 4.1, clock=NEW_CLOCK + 0.1)

    assert second.number > run.number
    assert state.final is model.JobState.COMPLETED


def test_lines_of_a_new_vm_name_its_start(bench, lines, machine):
    """Guards against a worker with two starts that can't be found in the log."""
    for event in ("VM joined", "VM answers"):
        (fields,) = find_fields(lines, event)
        assert (fields["start_ms"], fields["clock"]) == (FIRST_START, CLOCK)


def test_numbers_of_earlier_incarnations_are_kept():
    """Guards against a late renewal whose number isn't known any more."""
    renewals = renewal.SentRenewals()
    for id, number in (("w1@1", 40), ("w1@2", 0), ("w1@2", 3)):
        renewals.record("w1", renewal.Renewal(id, number))

    assert renewals.get_acknowledged("w1") == {"w1@1": 40, "w1@2": 3}
    assert renewals.get_last("w1") == renewal.Renewal("w1@2", 3)


def test_renewals_of_few_workers_are_kept(monkeypatch):
    """Guards against memory that grows with each worker that was ever met."""
    monkeypatch.setattr(renewal, "MAX_WORKERS", 2)
    renewals = renewal.SentRenewals()
    for worker in ("w1", "w2", "w1", "w3"):
        renewals.record(worker, renewal.Renewal(worker, 1))

    assert renewals.get_acknowledged("w1") == {"w1": 1}
    assert renewals.get_acknowledged("w2") == {}
    assert renewals.get_last("w2") == renewal.Renewal()


class LosingWorker:
    """Started with the leader's term; has forgotten its first two ends."""

    async def hold(self, address, worker, fence, deadline, last, *, wait, timeout):
        now = http.read_clock()
        ends = (build_end(3),)
        return workers.HoldReply(DONE, 0.01, now, now, (), ends, FIRST_START)


@pytest.mark.anyio
async def test_missing_ends_are_counted(bench):
    """Guards against lost ends that only a reader of the log would notice."""
    clock = http.read_clock
    instruments = metric.Instruments()
    deps = dependencies.Dependencies(
        *(None, LosingWorker(), None, instruments, lambda: True, clock, clock),
        *(60.0, view.TimeBounds(6.5, 0.2)),
    )
    owner = leader_record.Owner("p", "daemon", "life", 1, 10)
    leader = runner.Runner(owner, deps, clock() - 1)
    machine = bench.add_vm(start_ms=FIRST_START, clock=0.01, answers=False)
    leader.pool.on_worker(machine.entry, clock())
    with anyio.move_on_after(0.05):
        await leader._dispatcher.renew_until_gone(machine.entry.id)

    assert instruments.read("ends_missing_total", {}) == 2
    assert leader.pool.renewals.get_last(machine.entry.id).vm == machine.id


def test_unlisted_runs_are_counted():
    """Guards against lost runs that only a reader of the log would notice."""
    assert "run no longer listed" in reporter.COUNTED_EVENTS
