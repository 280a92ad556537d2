"""Rows of final jobs are compacted, then removed; nothing else is touched."""

import pytest

from standins import rowstore
from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import compaction
from wigeonhitch.pool import record as pool_record

LOCATION = compaction.RowLocation("job00", "p.0")
OTHER_LOCATION = compaction.RowLocation("job00", "p.1")
DONE = rows.Change(table.Outcome.DONE, 9)
RETENTION = 120.0


@pytest.fixture
def compactor():
    compactor = compaction.Compactor("p")
    compactor.add("a", LOCATION, model.JobState.COMPLETED, 3)
    compactor.add("b", OTHER_LOCATION, model.JobState.FAILED, 4)
    return compactor


def test_rows_of_one_part_are_compacted_at_their_version(compactor):
    work = compactor.collect(50.0, RETENTION)

    assert work.ids == ("a",)
    assert work.transaction.conditions == (rows.Condition(*LOCATION, "a", 3),)
    read = record.read_job("a", work.transaction.writes[0].value)
    assert (read.final, read.finished) == (model.JobState.COMPLETED, 50.0)


@pytest.mark.parametrize(
    ("recorded_at", "state"),
    [(7, model.JobState.COMPLETED), (9, model.JobState.CANCELLED)],
    ids=["after", "before"],
)
def test_job_cancelled_before_its_end_was_durable_stays_cancelled(recorded_at, state):
    compactor = compaction.Compactor("p")
    compactor.add("a", LOCATION, model.JobState.COMPLETED, 3, recorded_at)
    work = compactor.collect(50.0, RETENTION)
    job = model.Job("a", "q", "", (model.Step(1),))
    value = record.write_job(job, "p", 1.0, cancelled=True)
    row = rows.Row(*LOCATION, "a", value, 8)
    compactor.on_result(
        work, rows.Change(table.Outcome.NOT_DONE, 0, (row,), "conflict")
    )

    work = compactor.collect(50.0, RETENTION)

    assert record.read_job("a", work.transaction.writes[0].value).final is state


def test_progress_row_may_be_removed_after_the_job_row_is_compacted(compactor):
    work = compactor.collect(50.0, RETENTION)

    assert compactor.on_result(work, rows.Change(table.Outcome.UNKNOWN)) == ()
    assert compactor.is_waiting("a")
    assert compactor.on_result(work, DONE) == ("a",)
    assert not compactor.is_waiting("a")


def test_row_cancelled_meanwhile_is_compacted_at_its_new_version(compactor):
    work = compactor.collect(50.0, RETENTION)
    row = rows.Row(*LOCATION, "a", b"{}", 8)
    change = rows.Change(table.Outcome.NOT_DONE, 0, (row,), "conflict")
    compactor.on_result(work, change)

    assert compactor.collect(50.0, RETENTION).transaction.conditions[0].version == 8


def test_compacted_row_is_removed_after_the_retention_time():
    compactor = compaction.Compactor("p")
    compactor.on_final_row("a", LOCATION, 7, 10.0)

    assert compactor.collect(129.0, RETENTION) is None
    work = compactor.collect(131.0, RETENTION)
    assert work.removes
    assert work.transaction.writes == (
        rows.Write(*LOCATION, "a", None),
        rows.Write(pool_record.HOLDER_TABLE, LOCATION.part, "a", None),
    )
    compactor.on_result(work, DONE)
    assert compactor.collect(999.0, RETENTION) is None


def test_rows_are_removed_while_others_wait_to_be_compacted(compactor):
    """Guards against a pool that is always busy and never removes a row."""
    compactor.on_final_row("old", LOCATION, 7, 10.0)
    works = [compactor.collect(200.0, RETENTION) for _ in range(4)]

    assert [work.removes for work in works] == [True, False, True, False]


def test_expired_rows_of_one_part_are_removed_together():
    """Guards against rows that come faster than single removals take them away."""
    compactor = compaction.Compactor("p")
    for number in range(30):
        location = (LOCATION, OTHER_LOCATION)[number % 3 == 0]
        compactor.on_final_row(f"r{number}", location, 7 + number, 10.0 + number)
    work = compactor.collect(131.0 + 27, RETENTION)
    expected = tuple(f"r{number}" for number in range(28) if number % 3 == 0)

    assert work.ids == expected
    assert len(work.transaction.writes) == 2 * len(expected)
    compactor.on_result(work, DONE)
    assert len(compactor.collect(999.0, RETENTION).ids) == 20


@pytest.mark.parametrize("other", [LOCATION, OTHER_LOCATION], ids=["one", "two"])
def test_unanswered_removal_blocks_no_later_one(other):
    """The row is gone, so that the answer to the next attempt can't list it.

    That attempt may also be to remove a row that has expired since, of the same part.
    """
    compactor = compaction.Compactor("p")
    compactor.on_final_row("a", LOCATION, 7, 10.0)
    compactor.on_final_row("b", other, 8, 11.0)
    work = compactor.collect(130.5, RETENTION)
    assert work.ids == ("a",)
    compactor.on_result(work, rows.Change(table.Outcome.UNKNOWN))
    work = compactor.collect(200.0, RETENTION)
    listed = tuple(rows.Row(*other, id, b"{}", 8) for id in work.ids if id == "b")
    conflict = rows.Change(table.Outcome.NOT_DONE, 0, listed, "conflict")

    assert compactor.on_result(work, conflict) == ()

    assert compactor.collect(200.0, RETENTION).ids == ("b",)


@pytest.mark.anyio
async def test_an_unanswered_removal_is_not_repeated_on_a_new_job():
    """Guards against the removal of an open job that was accepted under the same id.

    The first attempt is applied without an answer, and the id is submitted again.
    """
    job = model.Job("a", "q", "", (model.Step(1),))
    store = rowstore.RowStore()
    store.put(*LOCATION, "a", record.write_final(model.JobState.CANCELLED, "p", 10.0))
    compactor = compaction.Compactor("p")
    compactor.on_final_row("a", LOCATION, store.version, 10.0)

    async def remove():
        work = compactor.collect(200.0, RETENTION)
        if work is not None:
            change = await store.commit(work.transaction, timeout=1.0)
            compactor.on_result(work, change)

    store.lost_answers = 1
    await remove()
    accepted = record.write_job(job, "p", 1.0)
    store.put(*LOCATION, "a", accepted)
    await remove()
    await remove()

    assert store.get(*LOCATION, "a") == accepted


def test_row_that_is_gone_leaves_nothing_to_compact(compactor):
    conflict = rows.Change(table.Outcome.NOT_DONE, 0, (), "conflict")

    assert compactor.on_result(compactor.collect(50.0, RETENTION), conflict) == ("a",)

    assert compactor.collect(50.0, RETENTION).ids == ("b",)


def test_job_with_a_durable_final_state_is_handed_to_the_compactor(bench, ended):
    machine = bench.add_vm()
    bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(1, run)])
    bench.pool.on_finals_durable(["j"])
    bench.plan()

    assert bench.pool.jobs == {}
    assert bench.pool.compactor.is_waiting("j")


def test_older_row_of_a_final_job_is_ignored(bench, ended):
    machine = bench.add_vm()
    state = bench.add_job()
    (run,) = bench.start()
    bench.answer(machine, ended=[ended(1, run)])
    bench.pool.on_finals_durable(["j"])
    bench.plan()

    row = record.JobRecord(state.job, 100.0, True)
    bench.pool.on_job("j", row, 30, LOCATION)

    assert bench.pool.jobs == {}


def test_only_rows_older_than_the_compacted_one_belong_to_a_final_job(compactor):
    compactor.on_result(compactor.collect(50.0, RETENTION), DONE)

    assert compactor.is_final("a", DONE.version - 1)
    assert not compactor.is_final("a", DONE.version + 1)
    assert not compactor.is_final("unknown", 1)


def test_compacted_row_that_was_read_is_known_until_its_removal(compactor):
    compactor.on_result(compactor.collect(50.0, RETENTION), DONE)
    compactor.on_final_row("a", LOCATION, DONE.version, 50.0)
    assert compactor.is_final("a", 3)

    compactor.on_result(compactor.collect(51.0, RETENTION), DONE)
    compactor.on_result(compactor.collect(171.0, RETENTION), DONE)

    assert not compactor.is_final("a", 3)
