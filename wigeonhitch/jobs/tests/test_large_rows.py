"""Rows of progress that would be larger than the store accepts.

Guards against a job whose row the store refuses: no end of the whole pool was recorded
any more, and other jobs stood still.
"""

import hypothesis
import pytest
from hypothesis import strategies as st

from wigeonhitch.jobs import model, progress, record

MAX_BYTES = 65536

CHECKPOINT = "00000bb87a21d94b"


def make_state(*steps, **fields):
    job = model.Job("00000000000000ff", "q", "spec", steps, **fields)
    return progress.Progress(job, 1, 100.0)


@pytest.fixture
def wide():
    """Return the state of a job with the largest number of tasks."""
    return make_state(model.Step(model.MAX_OPEN_TASKS, checkpoint=True))


def list_tasks(state):
    return [
        model.Task(state.job.id, 0, 0, index) for index in range(state.job.steps[0][0])
    ]


def read_back(state, value):
    copy = progress.Progress(state.job, 1, 100.0)
    record.read_progress(copy, value)
    return copy


def test_checkpoints_and_failed_runs_of_done_tasks_are_left_out(wide):
    for task in list_tasks(wide):
        wide.record_checkpoint(task, CHECKPOINT)
        wide.record_failed(task, 1_000_001)
        wide.record_done(task)
    wide.done[0, 0].discard(7)
    value = record.write_progress(wide)
    copy = read_back(wide, value)

    assert len(value) < MAX_BYTES / 20
    assert list(copy.checkpoints) == list(copy.failed_runs) == [list_tasks(wide)[7]]


def test_a_small_row_does_not_depend_on_the_limit(wide):
    """Guards against rows that a daemon of the version before can't read."""
    for task in list_tasks(wide)[:100]:
        wide.record_checkpoint(task, CHECKPOINT)
        wide.record_failed(task, 1_000_001)
        wide.record_crash(task, "i-1:1")

    assert record.write_progress(wide, MAX_BYTES) == record.write_progress(wide)


def test_as_many_checkpoints_are_kept_as_fit(wide):
    for task in list_tasks(wide):
        wide.record_checkpoint(task, CHECKPOINT)
    assert len(record.write_progress(wide)) > MAX_BYTES
    value = record.write_progress(wide, MAX_BYTES)
    copy = read_back(wide, value)

    assert 0.95 * MAX_BYTES < len(value) <= MAX_BYTES
    assert copy.checkpoints.items() <= wide.checkpoints.items()


def test_failures_and_crashes_of_all_tasks_fit(wide):
    """Guards against a hopeless job, or lost VMs with many tasks, that stop a pool."""
    for task in list_tasks(wide):
        wide.record_failed(task, 1_000_001 + task.index % 2)
        wide.record_crash(task, f"i-0123456789:{task.index % 20}", is_test=True)
        wide.record_checkpoint(task, CHECKPOINT)
        wide.assign_vm(task, f"i-9876543210:{task.index % 2}")
    wide.record_uncounted(list_tasks(wide))
    wide.give_up(list_tasks(wide)[3])
    value = record.write_progress(wide, MAX_BYTES)
    copy = read_back(wide, value)

    assert len(value) <= MAX_BYTES
    assert copy.failed_runs == wide.failed_runs
    assert copy.crashed_vms == wide.crashed_vms
    assert copy.assigned_vms == wide.assigned_vms
    assert (copy.given_up, copy.maybe_uncounted) == (
        wide.given_up,
        wide.maybe_uncounted,
    )


def test_crashes_on_hundreds_of_vms_are_left_out_before_what_is_done(wide):
    for task in list_tasks(wide):
        wide.record_crash(task, f"i-{task.index % 400}:1", is_test=True)
        if task.index % 2:
            wide.record_done(task)
    value = record.write_progress(wide, MAX_BYTES)
    copy = read_back(wide, value)

    assert len(value) <= MAX_BYTES
    assert (copy.done, copy.crashed_vms) == (wide.done, {})


def test_thousands_of_complete_occurrences_fit():
    step = model.Step(2)
    state = make_state(step, step._replace(after=(0,)), times=20_000, interval=1.0)
    for occurrence in range(10_000):
        for number, index in ((0, 0), (0, 1), (1, 0), (1, 1)):
            if (occurrence, number, index) not in ((500, 1, 1), (9_999, 0, 0)):
                state.record_done(model.Task(state.job.id, occurrence, number, index))
    value = record.write_progress(state, MAX_BYTES)

    assert len(value) < 1000
    assert read_back(state, value).done == state.done


TASKS = st.builds(
    model.Task,
    st.just("00000000000000ff"),
    st.integers(0, 3),
    st.integers(0, 1),
    st.integers(0, 5),
)
VMS = st.sampled_from(["i-1:1", "i-2:1", "i-2:2"])


@hypothesis.given(
    st.lists(TASKS),
    st.lists(st.tuples(TASKS, st.integers(1, 3))),
    st.lists(st.tuples(TASKS, VMS, st.booleans())),
    st.lists(TASKS),
    st.integers(0, 400),
)
def test_what_must_last_is_in_each_form_of_the_row(
    done, failed, crashes, uncounted, max_bytes
):
    """Guards against a task that is done and started again after a takeover."""
    steps = (model.Step(6), model.Step(6, gang=True))
    state = make_state(*steps, times=4, interval=1.0)
    for task in done:
        state.record_done(task)
    for task, run in failed:
        state.record_failed(task, run)
    for task, vm, is_test in crashes:
        state.record_crash(task, vm, is_test=is_test)
    state.record_uncounted(uncounted)
    copy = read_back(state, record.write_progress(state, max_bytes))

    assert copy.done == {key: tasks for key, tasks in state.done.items() if tasks}
    assert copy.maybe_uncounted == state.maybe_uncounted
    for task, runs in state.failed_runs.items():
        assert state.is_done(task) or copy.failed_runs[task] == runs
    assert copy.crashed_vms in (state.crashed_vms, {})
