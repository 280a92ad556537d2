"""Rows of final jobs are shrunk, then removed; nothing else is touched."""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import compaction
from wigeonhitch.pool import record as pool_record

PLACE = compaction.RowLocation("job00", "p.0")
OTHER = compaction.RowLocation("job00", "p.1")
DONE = rows.Change(table.Outcome.DONE, 9)
KEPT = 120.0


@pytest.fixture
def compactor():
    made = compaction.Compactor("p")
    made.add("a", PLACE, model.JobState.COMPLETED, 3)
    made.add("b", OTHER, model.JobState.FAILED, 4)
    return made


def test_rows_of_one_part_are_shrunk_at_the_version_they_had(compactor):
    work = compactor.collect(50.0, KEPT)

    assert work.ids == ("a",)
    assert work.transaction.conditions == (rows.Condition(*PLACE, "a", 3),)
    read = record.read_job("a", work.transaction.writes[0].value)
    assert (read.final, read.finished) == (model.JobState.COMPLETED, 50.0)


@pytest.mark.parametrize(
    ("noted", "state"),
    [(7, model.JobState.COMPLETED), (9, model.JobState.CANCELLED)],
    ids=["after", "before"],
)
def test_a_job_that_was_cancelled_before_its_end_was_noted_stays_cancelled(
    noted, state
):
    compactor = compaction.Compactor("p")
    compactor.add("a", PLACE, model.JobState.COMPLETED, 3, noted)
    work = compactor.collect(50.0, KEPT)
    job = model.Job("a", "q", "", (model.Step(1),))
    value = record.write_job(job, "p", 1.0, cancelled=True)
    row = rows.Row(*PLACE, "a", value, 8)
    compactor.on_result(
        work, rows.Change(table.Outcome.NOT_DONE, 0, (row,), "conflict")
    )

    work = compactor.collect(50.0, KEPT)

    assert record.read_job("a", work.transaction.writes[0].value).final is state


def test_the_progress_row_may_go_after_the_jobs_row_was_shrunk(compactor):
    work = compactor.collect(50.0, KEPT)

    assert compactor.on_result(work, rows.Change(table.Outcome.UNKNOWN)) == ()
    assert compactor.is_waiting("a")
    assert compactor.on_result(work, DONE) == ("a",)
    assert not compactor.is_waiting("a")


def test_a_row_that_was_cancelled_meanwhile_is_shrunk_at_its_new_version(compactor):
    work = compactor.collect(50.0, KEPT)
    row = rows.Row(*PLACE, "a", b"{}", 8)
    change = rows.Change(table.Outcome.NOT_DONE, 0, (row,), "conflict")
    compactor.on_result(work, change)

    assert compactor.collect(50.0, KEPT).transaction.conditions[0].version == 8


def test_a_shrunk_row_is_removed_after_it_was_kept_long_enough():
    compactor = compaction.Compactor("p")
    compactor.on_final_row("a", PLACE, 7, 10.0)

    assert compactor.collect(129.0, KEPT) is None
    work = compactor.collect(131.0, KEPT)
    assert work.removes
    assert work.transaction.writes == (
        rows.Write(*PLACE, "a", None),
        rows.Write(pool_record.HOLDER_TABLE, PLACE.part, "a", None),
    )
    compactor.on_result(work, DONE)
    assert compactor.collect(999.0, KEPT) is None


def test_a_removal_that_was_done_without_an_answer_holds_nothing_up():
    """The row is gone, so the answer to the next try can't list it."""
    compactor = compaction.Compactor("p")
    compactor.on_final_row("a", PLACE, 7, 10.0)
    compactor.on_final_row("b", PLACE, 8, 11.0)
    compactor.on_result(
        compactor.collect(200.0, KEPT), rows.Change(table.Outcome.UNKNOWN)
    )
    conflict = rows.Change(table.Outcome.NOT_DONE, 0, (), "conflict")

    assert compactor.on_result(compactor.collect(200.0, KEPT), conflict) == ()

    assert compactor.collect(200.0, KEPT).ids == ("b",)


def test_a_final_jobs_row_that_is_gone_leaves_nothing_to_shrink(compactor):
    conflict = rows.Change(table.Outcome.NOT_DONE, 0, (), "conflict")

    assert compactor.on_result(compactor.collect(50.0, KEPT), conflict) == ("a",)

    assert compactor.collect(50.0, KEPT).ids == ("b",)


def test_a_settled_job_is_handed_over_for_tidying(bench, ended):
    one = bench.add_vm()
    bench.add_job()
    (run,) = bench.start()
    bench.answer(one, ended=[ended(1, run)])
    bench.pool.on_finals_durable(["j"])
    bench.plan()

    assert bench.pool.jobs == {}
    assert bench.pool.compactor.is_waiting("j")


def test_the_row_of_a_final_job_does_not_bring_it_back(bench, ended):
    one = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start()
    bench.answer(one, ended=[ended(1, run)])
    bench.pool.on_finals_durable(["j"])
    bench.plan()

    row = record.JobRecord(state.job, 100.0, True)
    bench.pool.on_job("j", row, 30, PLACE)

    assert bench.pool.jobs == {}


def test_only_rows_older_than_the_final_one_are_of_a_final_job(compactor):
    compactor.on_result(compactor.collect(50.0, KEPT), DONE)

    assert compactor.is_final("a", DONE.version - 1)
    assert not compactor.is_final("a", DONE.version + 1)
    assert not compactor.is_final("unknown", 1)


def test_a_final_row_that_was_read_is_known_until_it_is_removed(compactor):
    compactor.on_result(compactor.collect(50.0, KEPT), DONE)
    compactor.on_final_row("a", PLACE, DONE.version, 50.0)
    assert compactor.is_final("a", 3)

    compactor.on_result(compactor.collect(51.0, KEPT), DONE)
    compactor.on_result(compactor.collect(171.0, KEPT), DONE)

    assert not compactor.is_final("a", 3)
