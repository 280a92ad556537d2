"""How often a daemon reads the VM list."""

import pytest

from standins import fake
from wigeonhitch.daemon import workers
from wigeonhitch.fleet import state, view
from wigeonhitch.platform import table

COUNT = 800


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
        for number in range(COUNT)
    ]
    fake_platform = fake.Fake(vms)
    for number in range(COUNT - 1):
        write_row(fake_platform, f"w{number}", "up")
    return fake_platform


@pytest.fixture
def followed(platform):
    return workers.Workers(
        view.Follower(platform.table),
        platform.client,
        lambda: None,
        lambda _: None,
        lambda _: 0,
    )


@pytest.fixture
def follow(platform, followed):
    """A function that runs a daemon's readings and returns how many lists."""
    worker_view = followed
    start = platform.now

    def run(seconds):
        before = platform.engine.counters["reads"][workers.PURPOSE]
        for _ in range(seconds):
            fake.run(worker_view.read(platform.now - start))
            platform.advance(1.0)
        return platform.engine.counters["reads"][workers.PURPOSE] - before

    return run


def test_the_list_is_read_seldom_while_the_rows_tell_nothing_new(follow):
    period = workers.compute_list_period(COUNT)
    assert follow(int(3 * period)) <= 4


@pytest.mark.parametrize("vm", ["w7", f"w{COUNT - 1}"])
def test_a_vm_that_comes_up_makes_the_list_be_read_soon(platform, followed, follow, vm):
    soon = int(workers.compute_list_period(COUNT, has_changes=True)) + 2
    follow(soon)
    assert follow(soon) == 0
    if vm == "w7":
        write_row(platform, vm, "down")
        followed.mark_rows_stale()
        assert follow(3) == 0
    write_row(platform, vm, "up")
    followed.mark_rows_stale()
    assert follow(soon) == 1
    assert follow(soon) == 0


def count_row_reads(platform):
    return platform.engine.counters["reads"]["fleet"]


def test_rows_are_read_when_the_signal_moves_and_seldom_otherwise(
    platform, followed, follow
):
    follow(1)
    before = count_row_reads(platform)
    follow(60)
    assert count_row_reads(platform) - before <= 60 / workers.ROWS_PERIOD_SECONDS + 1
    write_row(platform, "w3", "draining")
    followed.mark_rows_stale()
    follow(1)
    assert followed.describe().unusable == ("w3",)


def test_rows_that_could_not_be_read_are_tried_again_soon(platform, followed, follow):
    follow(1)
    write_row(platform, "w3", "draining")
    followed.mark_rows_stale()
    platform.switch(down=True)
    follow(1)
    platform.switch(down=False)
    follow(3)
    assert followed.describe().unusable == ("w3",)
