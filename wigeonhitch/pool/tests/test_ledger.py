"""Writes of a leader, with lost answers and conflicts."""

import pytest

from standins import rowstore
from wigeonhitch.jobs import model, record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import ledger

NOW = 100.0
DONE = rows.Change(table.Outcome.DONE, 77)
UNKNOWN = rows.Change(table.Outcome.UNKNOWN, reason="timeout")


@pytest.fixture
def pool_ledger():
    return ledger.Ledger("p", 10)


def collect(pool_ledger, jobs, vms=None):
    return pool_ledger.collect(jobs, vms or {})


def conflict(*conflicting):
    return rows.Change(table.Outcome.NOT_DONE, 0, conflicting, "conflict")


def test_writes_are_conditional_on_the_owner_and_the_replaced_row(
    pool_ledger, make_state
):
    state = make_state(model.Step(1))
    pool_ledger.versions["j"] = 33
    pool_ledger.mark_dirty("j")

    conditions = collect(pool_ledger, {"j": state}).transaction.conditions

    assert {(condition.table, condition.version) for condition in conditions} == {
        ("owner", 10),
        ("progress", 33),
    }


def test_final_state_of_an_unanswered_write_is_not_written_again(
    pool_ledger, make_state
):
    """A new version would order the end after a cancellation that came later."""
    state = make_state(model.Step(1))
    state.final = model.JobState.COMPLETED
    pool_ledger.mark_dirty("j")
    batch = collect(pool_ledger, {"j": state})
    pool_ledger.on_result(batch, UNKNOWN)
    again = collect(pool_ledger, {"j": state})
    row = rows.Row("progress", "p", "j", record.write_progress(state), 40)

    result = pool_ledger.on_result(again, conflict(row))

    assert result.durable_finals == ("j",)
    assert pool_ledger.versions["j"] == 40
    assert not pool_ledger.has_work


def test_failed_writes_are_scheduled_again(pool_ledger, make_state):
    jobs = {"j": make_state(model.Step(1))}
    pool_ledger.mark_dirty("j")
    batch = collect(pool_ledger, jobs)
    assert not pool_ledger.has_work

    assert not pool_ledger.on_result(batch, UNKNOWN).done
    assert collect(pool_ledger, jobs).jobs == ("j",)


def test_version_of_an_unanswered_write_is_learned(pool_ledger, make_state):
    jobs = {"j": make_state(model.Step(1))}
    pool_ledger.mark_dirty("j")
    batch = collect(pool_ledger, jobs)
    pool_ledger.on_result(batch, UNKNOWN)
    again = collect(pool_ledger, jobs)

    pool_ledger.on_result(again, conflict(rows.Row("progress", "p", "j", b"{}", 40)))

    conditions = collect(pool_ledger, jobs).transaction.conditions
    assert conditions[1].version == 40


def test_conflict_with_another_owner_deposes(pool_ledger, make_state):
    jobs = {"j": make_state(model.Step(1))}
    pool_ledger.mark_dirty("j")
    batch = collect(pool_ledger, jobs)

    result = pool_ledger.on_result(
        batch, conflict(rows.Row("owner", "p", "owner", b"", 11))
    )

    assert result.deposed


def test_a_final_state_is_durable_with_the_progress_row_alone(pool_ledger, make_state):
    state = make_state(model.Step(1))
    state.final = model.JobState.COMPLETED
    pool_ledger.versions["j"] = 33
    pool_ledger.mark_dirty("j")

    batch = collect(pool_ledger, {"j": state})

    (write,) = batch.transaction.writes
    assert (write.table, write.part) == ("progress", "p")
    assert record.read_final(write.value) is model.JobState.COMPLETED
    assert batch.final_jobs == ("j",)


def test_dropped_progress_row_is_removed(pool_ledger, make_state):
    pool_ledger.mark_dirty("j")
    pool_ledger.on_result(collect(pool_ledger, {"j": make_state(model.Step(1))}), DONE)
    pool_ledger.drop_progress(["j", "unknown"])

    batch = collect(pool_ledger, {})

    assert batch.dropped == ("j",)
    assert batch.transaction.conditions[1].version == DONE.version
    pool_ledger.on_result(batch, DONE)
    assert not pool_ledger.has_work


def test_ends_are_acknowledged_only_with_the_batch_that_holds_them_all(
    pool_ledger, make_state
):
    jobs = {}
    for number in range(ledger.MAX_JOBS_PER_BATCH + 1):
        jobs[f"j{number}"] = make_state(model.Step(1))
        pool_ledger.mark_dirty(f"j{number}")

    class Machine:
        id, processed_end = "w1", 4

    assert collect(pool_ledger, jobs, {"w1": Machine}).processed_ends == {}
    assert collect(pool_ledger, jobs, {"w1": Machine}).processed_ends == {"w1": 4}


def test_forgotten_jobs_leave_no_pending_write(pool_ledger):
    pool_ledger.mark_dirty("forgotten")
    collect(pool_ledger, {})

    assert not pool_ledger.has_work


def test_unanswered_removal_blocks_no_later_write(pool_ledger, make_state):
    """The row is gone, so that the answer to the next attempt can't list it."""
    jobs = {"j": make_state(model.Step(1))}
    pool_ledger.versions["old"] = 33
    pool_ledger.drop_progress(["old"])
    pool_ledger.on_result(collect(pool_ledger, jobs), UNKNOWN)
    pool_ledger.mark_dirty("j")
    owner = rows.Row("owner", "p", "owner", b"", 10)

    pool_ledger.on_result(collect(pool_ledger, jobs), conflict(owner))

    batch = collect(pool_ledger, jobs)
    assert batch.jobs == ("j",)
    assert {condition.version for condition in batch.transaction.conditions} == {0, 10}
    assert not batch.dropped


def test_unlisted_row_keeps_its_version_if_another_row_conflicts(pool_ledger):
    pool_ledger.versions.update(old=33, other=34)
    pool_ledger.drop_progress(["old", "other"])

    conflicting = rows.Row("progress", "p", "other", b"{}", 40)
    pool_ledger.on_result(collect(pool_ledger, {}), conflict(conflicting))

    conditions = collect(pool_ledger, {}).transaction.conditions
    assert {condition.version for condition in conditions} == {10, 33, 40}


OWNER = ("owner", "p", "owner")
ROSTER = ("roster", "p", "w1")


@pytest.fixture
def store():
    """Make a store with the owner row on which the ledger's writes depend."""
    row_store = rowstore.RowStore()
    row_store.put(*OWNER, b"{}")
    return row_store


@pytest.fixture
def stored_ledger(store):
    return ledger.Ledger("p", store.version)


async def commit(pool_ledger, store):
    batch = collect(pool_ledger, {})
    return pool_ledger.on_result(
        batch, await store.commit(batch.transaction, timeout=1.0)
    )


async def add_and_remove(stored_ledger, store):
    """Write a VM's roster row, and drop the VM without writing that."""
    stored_ledger.add_vm("w1", "w1:1")
    await commit(stored_ledger, store)
    stored_ledger.remove_vm("w1")


async def remove_without_answer(stored_ledger, store):
    """Write a VM's roster row, and remove it without an answer."""
    await add_and_remove(stored_ledger, store)
    store.lost_answers = 1
    await commit(stored_ledger, store)


@pytest.mark.anyio
async def test_late_removal_keeps_the_row_of_a_returned_vm(stored_ledger, store):
    """Guards against two concurrent runs of a task after a takeover.

    The removal of a VM's roster row was not answered and was retried; the VM came back
    and took tasks. Then the first attempt was applied, so that the next leader didn't
    know the VM and restarted its tasks elsewhere. Rows must be replaced and removed at
    their last known version, not only under the owner row.
    """
    await add_and_remove(stored_ledger, store)
    store.deferred_commits = 1
    await commit(stored_ledger, store)
    await commit(stored_ledger, store)
    stored_ledger.add_vm("w1", "w1:1")
    assert (await commit(stored_ledger, store)).done

    store.apply_deferred()

    assert store.get(*ROSTER) is not None


@pytest.mark.anyio
async def test_vm_back_before_its_row_is_removed_is_written_again(stored_ledger, store):
    """Guards against a VM that is never used: its row was about to be removed."""
    await add_and_remove(stored_ledger, store)
    stored_ledger.add_vm("w1", "w1:2")

    batch = collect(stored_ledger, {})

    assert (batch.vms, batch.removed_vms) == (("w1",), ())


def test_full_batch_respects_the_transaction_limit(pool_ledger, make_state):
    """The store would refuse a larger transaction again and again."""
    jobs = {f"j{number}": make_state(model.Step(1)) for number in range(50)}
    for id in jobs:
        pool_ledger.mark_dirty(id)
    for number in range(40):
        pool_ledger.on_roster_row(f"old{number}", 5)
        pool_ledger.remove_vm(f"old{number}")
        pool_ledger.add_vm(f"new{number}", "new:1")
        pool_ledger.versions[f"spent{number}"] = 6
    pool_ledger.drop_progress([f"spent{number}" for number in range(40)])

    batch = collect(pool_ledger, jobs)

    assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100


@pytest.mark.anyio
async def test_unanswered_addition_is_written_again(stored_ledger, store):
    stored_ledger.add_vm("w1", "w1:1")
    store.lost_answers = 1
    await commit(stored_ledger, store)

    assert not (await commit(stored_ledger, store)).done
    assert (await commit(stored_ledger, store)).done
    assert not stored_ledger.has_work


@pytest.mark.anyio
async def test_unanswered_removal_of_a_roster_row_blocks_no_later_write(
    stored_ledger, store
):
    await remove_without_answer(stored_ledger, store)

    await commit(stored_ledger, store)

    assert not stored_ledger.has_work
    assert store.get(*ROSTER) is None


@pytest.mark.anyio
async def test_vm_back_after_an_unanswered_removal_is_written(stored_ledger, store):
    await remove_without_answer(stored_ledger, store)
    stored_ledger.add_vm("w1", "w1:1")

    assert not (await commit(stored_ledger, store)).done
    assert (await commit(stored_ledger, store)).done
    assert store.get(*ROSTER) is not None


@pytest.mark.anyio
async def test_versions_of_several_conflicts_are_all_learned(
    stored_ledger, store, make_state
):
    """An addition, a removal and a progress write were applied but not answered."""
    jobs = {"j": make_state(model.Step(1))}
    await add_and_remove(stored_ledger, store)
    stored_ledger.add_vm("w2", "w2:1")
    stored_ledger.mark_dirty("j")
    store.lost_answers = 1
    batch = collect(stored_ledger, jobs)
    stored_ledger.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    for _ in range(3):
        batch = collect(stored_ledger, jobs)
        stored_ledger.on_result(
            batch, await store.commit(batch.transaction, timeout=1.0)
        )

    assert not stored_ledger.has_work
    assert store.get(*ROSTER) is None
    assert store.get("roster", "p", "w2") is not None


@pytest.mark.anyio
async def test_two_unanswered_removals_block_no_later_write(stored_ledger, store):
    for id in ("w1", "w2"):
        stored_ledger.add_vm(id, f"{id}:1")
    await commit(stored_ledger, store)
    for id in ("w1", "w2"):
        stored_ledger.remove_vm(id)
    store.lost_answers = 1
    await commit(stored_ledger, store)

    await commit(stored_ledger, store)

    assert not stored_ledger.has_work


@pytest.mark.anyio
async def test_vm_dropped_while_it_is_written_has_its_row_removed(stored_ledger, store):
    stored_ledger.add_vm("w1", "w1:1")
    batch = collect(stored_ledger, {})
    stored_ledger.remove_vm("w1")
    stored_ledger.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    await commit(stored_ledger, store)

    assert store.get(*ROSTER) is None


@pytest.mark.anyio
@pytest.mark.parametrize("dropped", ["during", "after"])
@pytest.mark.parametrize("is_applied", [False, True], ids=["lost", "applied"])
async def test_vm_dropped_with_its_addition_unanswered_leaves_no_row(
    stored_ledger, store, dropped, is_applied
):
    """Guards against a leader that waits for a VM that is gone.

    The roster row of the VM was written, but the answer was lost, and the VM was
    dropped. The removal was left out as no row was known, so that the next leader
    waited for the VM's longest lease.
    """
    stored_ledger.add_vm("w1", "w1:1")
    store.lost_answers = int(is_applied)
    store.deferred_commits = int(not is_applied)
    batch = collect(stored_ledger, {})
    if dropped == "during":
        stored_ledger.remove_vm("w1")
    change = await store.commit(batch.transaction, timeout=1.0)
    stored_ledger.on_result(batch, change)
    stored_ledger.remove_vm("w1")

    for _ in range(3):
        await commit(stored_ledger, store)

    assert not stored_ledger.has_work
    assert store.get(*ROSTER) is None


@pytest.mark.anyio
async def test_vm_back_after_an_unanswered_addition_keeps_its_row(stored_ledger, store):
    stored_ledger.add_vm("w1", "w1:1")
    store.lost_answers = 1
    await commit(stored_ledger, store)
    stored_ledger.remove_vm("w1")
    stored_ledger.add_vm("w1", "w1:2")

    for _ in range(3):
        await commit(stored_ledger, store)

    assert not stored_ledger.has_work
    assert b"w1:2" in store.get(*ROSTER)


@pytest.mark.anyio
async def test_vm_back_while_its_row_is_removed_is_written(stored_ledger, store):
    await add_and_remove(stored_ledger, store)
    batch = collect(stored_ledger, {})
    stored_ledger.add_vm("w1", "w1:1")
    stored_ledger.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    assert (await commit(stored_ledger, store)).done
    assert store.get(*ROSTER) is not None


@pytest.mark.anyio
async def test_row_that_is_already_gone_is_not_removed_again(stored_ledger, store):
    """The VM came back after an unanswered removal and was dropped once more.

    How the store handles the removal of a row that doesn't exist is unspecified.
    """
    await remove_without_answer(stored_ledger, store)
    stored_ledger.add_vm("w1", "w1:1")
    batch = collect(stored_ledger, {})
    stored_ledger.remove_vm("w1")

    stored_ledger.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    assert not stored_ledger.has_work


def test_vm_is_removed_from_the_roster_after_all_new_ones_are_recorded():
    """Guards against a takeover that asks neither of two incarnations of a worker.

    A run of the earlier one may have been transferred to the later one.
    """
    writer = ledger.Ledger("p", 10)
    writer.on_roster_row("w1@1", 5)
    for number in range(ledger.MAX_ROWS_PER_KIND + 1):
        writer.add_vm(f"w{number}@2", "a:1", 2)
    writer.remove_vm("w1@1")

    first = writer.collect({}, {})
    assert first.removed_vms == ()
    writer.on_result(first, rows.Change(table.Outcome.DONE, 20))

    assert writer.collect({}, {}).removed_vms == ("w1@1",)


@pytest.mark.anyio
async def test_a_job_of_many_tasks_does_not_keep_others_from_being_recorded(
    stored_ledger, store, make_state
):
    """Guards against a row that the store refuses, with those of all other jobs.

    The leader repeated the transaction unchanged, and no end of the pool was recorded.
    """
    store.max_row_bytes, store.max_call_bytes = 65536, 750_000
    stored_ledger.max_row_bytes = store.max_row_bytes
    step = model.Step(model.MAX_OPEN_TASKS, checkpoint=True)
    jobs = {}
    for number in range(20):
        state = make_state(step if number < 19 else model.Step(1))
        for index in range(state.job.steps[0].count):
            task = model.Task(state.job.id, 0, 0, index)
            state.record_checkpoint(task, "00000bb87a21d94b")
        jobs[f"j{number}"] = state
        stored_ledger.mark_dirty(f"j{number}")
    large = {}
    for _ in range(3):
        batch = collect(stored_ledger, jobs)
        large |= batch.large_rows
        change = await store.commit(batch.transaction, timeout=1.0)
        stored_ledger.on_result(batch, change)

    assert not stored_ledger.has_work
    assert large.keys() == jobs.keys() - {"j19"}
    assert stored_ledger.versions.keys() == jobs.keys()
