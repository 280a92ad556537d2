import pytest

from standins import fake
from wigeonhitch.placement import job, retention


def read_rows(world):
    rows = world.fake.engine.store.scan("", 0)
    return [row.key for row in rows if row.key.startswith(("job/", "ended/"))]


def advance_days(world, days):
    """Take several steps each hour, so that all batches are deleted."""
    for _ in range(24 * days):
        world.fake.advance(3600.0)
        for _ in range(4):
            world.step("d1")


@pytest.fixture
def ended(world):
    """One finished job and 250 that were cancelled while queued."""
    world.submit("finished")
    names = [f"j{number}" for number in range(250)]
    world.play("d1", 40)
    for name in names:
        world.submit(name)
    world.ask(world.jobs.cancel_many, {"jobs": names}, team="coffee")
    assert len(read_rows(world)) == 2 * 251
    return world


def test_ended_jobs_are_deleted_after_the_retention_and_live_ones_kept(ended):
    advance_days(ended, 6)
    assert len(read_rows(ended)) == 2 * 251
    ended.unusable = {"w0", "w1", "w2", "w3"}
    ended.submit("waiting")
    advance_days(ended, 3)
    assert read_rows(ended) == ["job/coffee/waiting"]
    assert ended.read_job("waiting").state is job.JobState.QUEUED


def test_a_holder_that_was_replaced_deletes_nothing(ended):
    replaced_retention = retention.Retention(
        ended.get_controller("d1")._platform.table, 0
    )
    held = ended.get_controller("d1")._platform.leases.current("placement/0")
    ended.fake.advance(9 * retention.DAY_SECONDS)
    ended.take_duty("d2", freeze_others=True)
    for _ in range(60):
        now = ended.fake.now
        replaced_retention.is_due(now)
        assert fake.run(replaced_retention.sweep(held, now)) == 0
        ended.fake.advance(1800.0)
    assert len(read_rows(ended)) == 2 * 251
