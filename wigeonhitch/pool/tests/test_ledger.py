"""What a leader writes, and what it makes of lost answers and conflicts."""

import pytest

from standins import rowstore
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
    book.mark_dirty("j")

    conditions = collect(book, {"j": state}).transaction.conditions

    assert {(one.table, one.version) for one in conditions} == {
        ("owner", 10),
        ("progress", 33),
    }


def test_a_final_state_that_was_done_without_an_answer_is_not_written_again(
    book, make_state
):
    """A later version would put the end behind a cancellation that came after it."""
    state = make_state(model.Step(1))
    state.final = model.JobState.COMPLETED
    book.mark_dirty("j")
    batch = collect(book, {"j": state})
    book.on_result(batch, UNKNOWN)
    again = collect(book, {"j": state})
    row = rows.Row("progress", "p", "j", record.write_progress(state), 40)

    result = book.on_result(again, conflict(row))

    assert result.durable_finals == ("j",)
    assert book.versions["j"] == 40
    assert not book.has_work


def test_what_was_not_done_is_written_again(book, make_state):
    jobs = {"j": make_state(model.Step(1))}
    book.mark_dirty("j")
    batch = collect(book, jobs)
    assert not book.has_work

    assert not book.on_result(batch, UNKNOWN).done
    assert collect(book, jobs).jobs == ("j",)


def test_a_write_that_was_done_without_an_answer_is_recognised(book, make_state):
    jobs = {"j": make_state(model.Step(1))}
    book.mark_dirty("j")
    batch = collect(book, jobs)
    book.on_result(batch, UNKNOWN)
    again = collect(book, jobs)

    book.on_result(again, conflict(rows.Row("progress", "p", "j", b"{}", 40)))

    conditions = collect(book, jobs).transaction.conditions
    assert conditions[1].version == 40


def test_another_owner_deposes(book, make_state):
    jobs = {"j": make_state(model.Step(1))}
    book.mark_dirty("j")
    batch = collect(book, jobs)

    result = book.on_result(batch, conflict(rows.Row("owner", "p", "owner", b"", 11)))

    assert result.deposed


def test_a_final_state_is_durable_with_the_progress_row_alone(book, make_state):
    state = make_state(model.Step(1))
    state.final = model.JobState.COMPLETED
    book.versions["j"] = 33
    book.mark_dirty("j")

    batch = collect(book, {"j": state})

    (write,) = batch.transaction.writes
    assert (write.table, write.part) == ("progress", "p")
    assert record.read_final(write.value) is model.JobState.COMPLETED
    assert batch.finals == ("j",)


def test_a_progress_row_goes_once_it_is_spent(book, make_state):
    book.mark_dirty("j")
    book.on_result(collect(book, {"j": make_state(model.Step(1))}), DONE)
    book.drop_progress(["j", "unknown"])

    batch = collect(book, {})

    assert batch.dropped == ("j",)
    assert batch.transaction.conditions[1].version == DONE.version
    book.on_result(batch, DONE)
    assert not book.has_work


def test_ends_are_told_only_with_the_batch_that_holds_them_all(book, make_state):
    jobs = {}
    for number in range(ledger.MAX_JOBS_PER_BATCH + 1):
        jobs[f"j{number}"] = make_state(model.Step(1))
        book.mark_dirty(f"j{number}")

    class Seen:
        id, processed_end = "w1", 4

    assert collect(book, jobs, {"w1": Seen}).processed_ends == {}
    assert collect(book, jobs, {"w1": Seen}).processed_ends == {"w1": 4}


def test_jobs_that_are_gone_are_not_waited_for(book):
    book.mark_dirty("forgotten")
    collect(book, {})

    assert not book.has_work


def test_a_removal_that_was_done_without_an_answer_holds_nothing_up(book, make_state):
    """The row is gone, so the answer to the next try can't list it."""
    jobs = {"j": make_state(model.Step(1))}
    book.versions["old"] = 33
    book.drop_progress(["old"])
    book.on_result(collect(book, jobs), UNKNOWN)
    book.mark_dirty("j")
    owner = rows.Row("owner", "p", "owner", b"", 10)

    book.on_result(collect(book, jobs), conflict(owner))

    batch = collect(book, jobs)
    assert batch.jobs == ("j",)
    assert {one.version for one in batch.transaction.conditions} == {0, 10}
    assert not batch.dropped


def test_a_row_that_is_not_listed_stays_as_it_is_while_another_explains(book):
    book.versions.update(old=33, other=34)
    book.drop_progress(["old", "other"])

    found = rows.Row("progress", "p", "other", b"{}", 40)
    book.on_result(collect(book, {}), conflict(found))

    conditions = collect(book, {}).transaction.conditions
    assert {one.version for one in conditions} == {10, 33, 40}


OWNER = ("owner", "p", "owner")
ROSTER = ("roster", "p", "w1")


@pytest.fixture
def store():
    """Hold the owner row under which the ledger writes."""
    made = rowstore.RowStore()
    made.put(*OWNER, b"{}")
    return made


@pytest.fixture
def led(store):
    return ledger.Ledger("p", store.version)


async def commit(book, store):
    batch = collect(book, {})
    return book.on_result(batch, await store.commit(batch.transaction, timeout=1.0))


@pytest.mark.anyio
async def test_a_removal_that_is_done_late_keeps_a_vm_that_came_back(led, store):
    """What could be seen: one task run twice at the same time, over a takeover.

    How: a VM was gone and its roster row removed, without an answer; the removal was
    tried again, and the VM came back and took tasks. Then the first try was done, so
    the next leader didn't know the VM, didn't wait for it, and started its tasks
    elsewhere.

    Cause: the rows stood under the owner's row only, by the order in which they were
    sent. Each is now replaced and removed at the version last seen of it.
    """
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    store.holds_back = 1
    await commit(led, store)
    await commit(led, store)
    led.add_vm("w1", "w1:1")
    assert (await commit(led, store)).done

    store.apply_late()

    assert store.get(*ROSTER) is not None


@pytest.mark.anyio
async def test_a_vm_that_is_back_before_its_row_is_removed_is_noted_anew(led, store):
    """It counted as noted by the row that was about to go, and was never used."""
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    led.add_vm("w1", "w1:2")

    batch = collect(led, {})

    assert (batch.vms, batch.removed_vms) == (("w1",), ())


def test_a_transaction_of_everything_keeps_to_what_a_call_holds(book, make_state):
    """More than the store takes would be refused again and again."""
    jobs = {f"j{number}": make_state(model.Step(1)) for number in range(50)}
    for id in jobs:
        book.mark_dirty(id)
    for number in range(40):
        book.on_roster_row(f"old{number}", 5)
        book.remove_vm(f"old{number}")
        book.add_vm(f"new{number}", "new:1")
        book.versions[f"spent{number}"] = 6
    book.drop_progress([f"spent{number}" for number in range(40)])

    batch = collect(book, jobs)

    assert len(batch.transaction.conditions) + len(batch.transaction.writes) <= 100


@pytest.mark.anyio
async def test_an_addition_that_was_done_without_an_answer_is_written_over(led, store):
    led.add_vm("w1", "w1:1")
    store.loses = 1
    await commit(led, store)

    assert not (await commit(led, store)).done
    assert (await commit(led, store)).done
    assert not led.has_work


@pytest.mark.anyio
async def test_a_roster_row_that_went_without_an_answer_holds_nothing_up(led, store):
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    store.loses = 1
    await commit(led, store)

    await commit(led, store)

    assert not led.has_work
    assert store.get(*ROSTER) is None


@pytest.mark.anyio
async def test_a_vm_back_after_a_removal_without_an_answer_is_noted(led, store):
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    store.loses = 1
    await commit(led, store)
    led.add_vm("w1", "w1:1")

    assert not (await commit(led, store)).done
    assert (await commit(led, store)).done
    assert store.get(*ROSTER) is not None


@pytest.mark.anyio
async def test_several_conflicts_at_once_are_all_learned(led, store, make_state):
    """An addition done and a removal done, a progress row written, none answered."""
    jobs = {"j": make_state(model.Step(1))}
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    led.add_vm("w2", "w2:1")
    led.mark_dirty("j")
    store.loses = 1
    batch = collect(led, jobs)
    led.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    for _ in range(3):
        batch = collect(led, jobs)
        led.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    assert not led.has_work
    assert store.get(*ROSTER) is None
    assert store.get("roster", "p", "w2") is not None


@pytest.mark.anyio
async def test_two_removals_without_an_answer_hold_nothing_up(led, store):
    for id in ("w1", "w2"):
        led.add_vm(id, f"{id}:1")
    await commit(led, store)
    for id in ("w1", "w2"):
        led.remove_vm(id)
    store.loses = 1
    await commit(led, store)

    await commit(led, store)

    assert not led.has_work


@pytest.mark.anyio
async def test_a_vm_that_goes_while_it_is_noted_has_its_row_removed(led, store):
    led.add_vm("w1", "w1:1")
    batch = collect(led, {})
    led.remove_vm("w1")
    led.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    await commit(led, store)

    assert store.get(*ROSTER) is None


@pytest.mark.anyio
async def test_a_vm_that_is_back_while_its_row_is_removed_is_noted(led, store):
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    batch = collect(led, {})
    led.add_vm("w1", "w1:1")
    led.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    assert (await commit(led, store)).done
    assert store.get(*ROSTER) is not None


@pytest.mark.anyio
async def test_a_row_that_is_gone_already_is_not_removed_again(led, store):
    """The VM came back after a removal without an answer, and went once more.

    What a store makes of removing a row that doesn't exist isn't known.
    """
    led.add_vm("w1", "w1:1")
    await commit(led, store)
    led.remove_vm("w1")
    store.loses = 1
    await commit(led, store)
    led.add_vm("w1", "w1:1")
    batch = collect(led, {})
    led.remove_vm("w1")

    led.on_result(batch, await store.commit(batch.transaction, timeout=1.0))

    assert not led.has_work
