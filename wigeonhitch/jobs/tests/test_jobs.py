"""Progress of jobs and their durable rows."""

import hypothesis
import pytest
from hypothesis import strategies as st

from wigeonhitch.jobs import model, progress, record

ROOM = model.Room(1000, 100)


def make_state(*steps, **fields):
    job = model.Job("j", "q", "spec", steps, **fields)
    return progress.Progress(job, 1, 100.0)


@pytest.fixture
def chain():
    return make_state(model.Step(2, ROOM, 1.0), model.Step(1, ROOM, 2.0, after=(0,)))


def test_step_opens_once_all_earlier_steps_are_done(chain):
    assert [task.step for task in chain.list_open_tasks(0.0)] == [0, 0]

    chain.record_done(model.Task("j", 0, 0, 0))
    assert [task[1:] for task in chain.list_open_tasks(0.0)] == [(0, 0, 1)]

    chain.record_done(model.Task("j", 0, 0, 1))
    assert [task[1:] for task in chain.list_open_tasks(0.0)] == [(0, 1, 0)]


def test_completion_of_one_member_completes_the_gang():
    state = make_state(model.Step(4, ROOM, gang=True))

    state.record_done(model.Task("j", 0, 0, 2))

    assert state.is_complete()


def test_failed_run_counts_once(chain):
    task = model.Task("j", 0, 0, 0)
    for _ in range(3):
        chain.record_failed(task, 7)

    assert chain.count_failed_runs(task) == 1
    assert not chain.is_exhausted(task, 2)


def test_lasting_tasks_have_unlimited_attempts():
    state = make_state(model.Step(1, ROOM, lasting=True))
    task = model.Task("j", 0, 0, 0)
    for run in range(9):
        state.record_failed(task, run)

    assert not state.is_exhausted(task, 1)


def test_occurrences_open_when_due():
    step = model.Step(1, ROOM)
    state = make_state(step, times=3, first_due=50.0, interval=10.0)

    assert [task.occurrence for task in state.list_open_tasks(49.9)] == []
    assert [task.occurrence for task in state.list_open_tasks(60.0)] == [0, 1]
    assert state.compute_next_due(60.0) == 70.0


steps = st.builds(
    model.Step,
    count=st.integers(1, 70),
    room=st.builds(model.Room, *[st.integers(0, model.MAX_VALUE)] * 3),
    estimate=st.floats(0, 9),
    checkpoint=st.booleans(),
    lasting=st.booleans(),
    label=st.sampled_from(["", "a"]),
    max_unavailable=st.integers(0, 3),
    spread=st.integers(0, model.MAX_VALUE),
    after=st.just(()),
    target=st.floats(0, 9),
)


@hypothesis.given(st.lists(steps, min_size=1, max_size=4), st.data())
def test_rows_round_trip_a_job_and_its_progress(generated_steps, data):
    job = model.Job("j", "q", "spec", tuple(generated_steps), 2, 5.0, 1.0, 3)
    state = progress.Progress(job, 3, 9.5)
    for number, step in enumerate(generated_steps):
        index = data.draw(st.integers(0, step.count - 1))
        state.record_done(model.Task("j", 1, number, index))
        state.record_failed(model.Task("j", 0, number, index), 1 << 33)
        state.record_checkpoint(model.Task("j", 0, number, index), "c1")

    read = record.read_job("j", record.write_job(job, "p", 9.5, cancelled=True))
    restored = progress.Progress(read.job, 3, read.accepted)
    record.read_progress(restored, record.write_progress(state))

    assert read == record.JobRecord(job, 9.5, True, pool="p")
    assert restored.done == state.done
    assert restored.failed_runs == state.failed_runs
    assert restored.checkpoints == state.checkpoints


@pytest.mark.parametrize("is_advised", [False, True])
def test_job_row_keeps_whether_tasks_need_tickets(is_advised):
    job = model.Job("j", "q", "", (model.Step(1),), is_advised=is_advised)

    assert record.read_job("j", record.write_job(job, "p", 9.5)).job == job


def test_a_final_row_keeps_only_the_state():
    value = record.write_final(model.JobState.FAILED, "p", 12.25)

    read = record.read_job("j", value)

    assert (read.job, read.final, read.finished) == (
        None,
        model.JobState.FAILED,
        12.25,
    )


def test_progress_keeps_fields_of_a_newer_version():
    """Guards against records that are lost while daemons of two versions lead."""
    state = make_state(model.Step(1))
    record.read_progress(state, b'{"started":true,"later":{"0.0.0":["w1"]}}')

    assert b'"later":{"0.0.0":["w1"]}' in record.write_progress(state)


def test_progress_row_of_a_wide_step_stays_small():
    """Guards against rows beyond the store's limit where all tasks are marked."""
    state = make_state(model.Step(4000))
    tasks = set(state.list_open_tasks(0.0))
    state.record_uncounted(tasks)
    value = record.write_progress(state)
    restored = progress.Progress(state.job, 1, 0.0)
    record.read_progress(restored, value)

    assert len(value) < 2000
    assert restored.maybe_uncounted == tasks
