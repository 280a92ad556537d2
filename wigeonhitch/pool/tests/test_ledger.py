"""What a leader writes, and what it makes of lost answers and conflicts."""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import ledger

NOW = 100.0
DONE = rows.Change(table.Outcome.DONE, 77)
UNKNOWN = rows.Change(table.Outcome.UNKNOWN, reason="timeout")


@pytest.fixture
def book():
    return ledger.Ledger("p", 10)


def collect(book, jobs, vms=None):
    return book.collect(jobs, vms or {})


def conflict(*found):
    return rows.Change(table.Outcome.NOT_DONE, 0, found, "conflict")


def test_every_write_depends_on_the_owner_and_on_the_row_it_replaces(book, make_state):
    state = make_state(model.Step(1))
    book.versions["j"] = 33
    book.mark("j")

    conditions = collect(book, {"j": state}).transaction.conditions

    assert {(one.table, one.version) for one in conditions} == {
        ("owner", 10),
        ("progress", 33),
    }


def test_what_was_not_done_is_written_again(book, make_state):
    jobs = {"j": make_state(model.Step(1))}
    book.mark("j")
    batch = collect(book, jobs)
    assert not book.has_work

    assert not book.on_result(batch, UNKNOWN).done
    assert collect(book, jobs).jobs == ("j",)


def test_a_write_that_was_done_without_an_answer_is_recognised(book, make_state):
    jobs = {"j": make_state(model.Step(1))}
    book.mark("j")
    batch = collect(book, jobs)
    book.on_result(batch, UNKNOWN)
    again = collect(book, jobs)

    book.on_result(again, conflict(rows.Row("progress", "p", "j", b"{}", 40)))

    conditions = collect(book, jobs).transaction.conditions
    assert conditions[1].version == 40


def test_another_owner_deposes(book, make_state):
    jobs = {"j": make_state(model.Step(1))}
    book.mark("j")
    batch = collect(book, jobs)

    result = book.on_result(batch, conflict(rows.Row("owner", "p", "owner", b"", 11)))

    assert result.deposed


def test_a_final_state_is_durable_with_the_progress_row_alone(book, make_state):
    state = make_state(model.Step(1))
    state.final = model.JobState.COMPLETED
    book.versions["j"] = 33
    book.mark("j")

    batch = collect(book, {"j": state})

    (write,) = batch.transaction.writes
    assert (write.table, write.part) == ("progress", "p")
    assert record.read_final(write.value) is model.JobState.COMPLETED
    assert batch.finals == ("j",)


def test_a_progress_row_goes_once_it_is_spent(book, make_state):
    book.mark("j")
    book.on_result(collect(book, {"j": make_state(model.Step(1))}), DONE)
    book.spend(["j", "unknown"])

    batch = collect(book, {})

    assert batch.spent == ("j",)
    assert batch.transaction.conditions[1].version == DONE.version
    book.on_result(batch, DONE)
    assert not book.has_work


def test_ends_are_told_only_with_the_batch_that_holds_them_all(book, make_state):
    jobs = {}
    for number in range(ledger.JOBS_A_BATCH + 1):
        jobs[f"j{number}"] = make_state(model.Step(1))
        book.mark(f"j{number}")

    class Seen:
        id, seen = "w1", 4

    assert collect(book, jobs, {"w1": Seen}).seen == {}
    assert collect(book, jobs, {"w1": Seen}).seen == {"w1": 4}


def test_jobs_that_are_gone_are_not_waited_for(book):
    book.mark("forgotten")
    collect(book, {})

    assert not book.has_work


def test_a_removal_that_was_done_without_an_answer_holds_nothing_up(book, make_state):
    """The row is gone, so the answer to the next try can't list it."""
    jobs = {"j": make_state(model.Step(1))}
    book.versions["old"] = 33
    book.spend(["old"])
    book.on_result(collect(book, jobs), UNKNOWN)
    book.mark("j")
    owner = rows.Row("owner", "p", "owner", b"", 10)

    book.on_result(collect(book, jobs), conflict(owner))

    batch = collect(book, jobs)
    assert batch.jobs == ("j",)
    assert {one.version for one in batch.transaction.conditions} == {0, 10}
    assert not batch.spent


def test_a_row_that_is_not_listed_stays_as_it_is_while_another_explains(book):
    book.versions.update(old=33, other=34)
    book.spend(["old", "other"])

    found = rows.Row("progress", "p", "other", b"{}", 40)
    book.on_result(collect(book, {}), conflict(found))

    conditions = collect(book, {}).transaction.conditions
    assert {one.version for one in conditions} == {10, 33, 40}
