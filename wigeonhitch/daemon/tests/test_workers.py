"""How often a daemon reads the VM list and the fleet rows."""

import pytest

from standins import fake
from wigeonhitch.daemon import workers
from wigeonhitch.fleet import state, view
from wigeonhitch.platform import table

VM_COUNT = 800


def write_row(platform, vm, row_state):
    (row,) = fake.run(platform.table.read([f"vm/{vm}"], purpose="test")).rows
    value = {"pool": "a", "state": row_state, "wave": "", "since": 0.0}
    writes = [table.Write(row.key, value), table.Write(state.SIGNAL, {})]
    conditions = [table.Condition(row.key, row.version)]
    fake.run(platform.table.commit(conditions, writes, purpose="test"))


@pytest.fixture
def platform():
    vms = [
        {
            "vm": f"w{number}",
            "kind": "worker",
            "address": f"h:{number}",
            "rack": "r",
            "data_centre": "dc",
            "role": "worker",
        }
        for number in range(VM_COUNT)
    ]
    fake_platform = fake.Fake(vms)
    for number in range(VM_COUNT - 1):
        write_row(fake_platform, f"w{number}", "up")
    return fake_platform


@pytest.fixture
def worker_view(platform):
    return workers.Workers(
        view.Follower(platform.table),
        platform.client,
        lambda: None,
        lambda _: None,
        lambda _: 0,
    )


@pytest.fixture
def count_list_reads(platform, worker_view):
    """Return a function that runs the reads and returns the number of list reads."""
    view_under_test = worker_view
    start = platform.now

    def run(seconds):
        before = platform.engine.counters["reads"][workers.PURPOSE]
        for _ in range(seconds):
            fake.run(view_under_test.read(platform.now - start))
            platform.advance(1.0)
        return platform.engine.counters["reads"][workers.PURPOSE] - before

    return run


def test_list_is_read_rarely_while_the_rows_show_no_change(count_list_reads):
    period = workers.compute_list_period(VM_COUNT)
    assert count_list_reads(int(3 * period)) <= 4


@pytest.mark.parametrize("vm", ["w7", f"w{VM_COUNT - 1}"])
def test_list_is_read_soon_after_a_vm_comes_up(
    platform, worker_view, count_list_reads, vm
):
    soon = int(workers.compute_list_period(VM_COUNT, has_changes=True)) + 2
    count_list_reads(soon)
    assert count_list_reads(soon) == 0
    if vm == "w7":
        write_row(platform, vm, "down")
        worker_view.mark_rows_stale()
        assert count_list_reads(3) == 0
    write_row(platform, vm, "up")
    worker_view.mark_rows_stale()
    assert count_list_reads(soon) == 1
    assert count_list_reads(soon) == 0


def count_row_reads(platform):
    return platform.engine.counters["reads"]["fleet"]


def test_rows_are_read_when_the_signal_changes_and_rarely_otherwise(
    platform, worker_view, count_list_reads
):
    count_list_reads(1)
    before = count_row_reads(platform)
    count_list_reads(60)
    assert count_row_reads(platform) - before <= 60 / workers.ROWS_PERIOD_SECONDS + 1
    write_row(platform, "w3", "draining")
    worker_view.mark_rows_stale()
    count_list_reads(1)
    assert worker_view.describe().unusable == ("w3",)


def test_failed_read_of_the_rows_is_retried_soon(
    platform, worker_view, count_list_reads
):
    count_list_reads(1)
    write_row(platform, "w3", "draining")
    worker_view.mark_rows_stale()
    platform.switch(down=True)
    count_list_reads(1)
    platform.switch(down=False)
    count_list_reads(3)
    assert worker_view.describe().unusable == ("w3",)
