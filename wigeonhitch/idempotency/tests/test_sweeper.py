"""Tests of the sweeper with a fake platform."""

import pytest

from standins import fake
from wigeonhitch.idempotency import record, sweep, sweeper
from wigeonhitch.platform import table

DUTY = table.Condition("duty/claims", 1)


@pytest.fixture
def platform():
    platform_fake = fake.Fake(now=1_000_000.0)
    duty = [table.Condition("duty/claims", 0)], [table.Write("duty/claims", {})]
    fake.run(platform_fake.table.commit(*duty, purpose="duty"))
    for index, age in enumerate([0.0, sweep.RETENTION_SECONDS + 1.0]):
        answered = record.Record(
            record.State.ANSWERED, "print", "d1/1", "d1", platform_fake.now - age
        )
        row = f"{sweep.build_prefix('s', 7)}{index}"
        write = [table.Condition(row, 0)], [table.Write(row, record.encode(answered))]
        fake.run(platform_fake.table.commit(*write, purpose="claim"))
    return platform_fake


def count_rows(platform):
    return len(fake.run(platform.table.scan("claim/", purpose="test")).rows)


@pytest.mark.parametrize(
    ("duty", "left"), [(DUTY, 1), (None, 2), (DUTY._replace(version=9), 2)]
)
def test_only_the_holder_of_the_duty_deletes_expired_records(platform, duty, left):
    duty_sweeper = sweeper.Sweeper(platform.table, lambda: ["s"], lambda: duty)
    fake.run(duty_sweeper.sweep("s", 7))
    assert count_rows(platform) == left
    assert duty_sweeper.deleted == 2 - left


def test_the_sweep_visits_one_bucket_per_interval(platform):
    class StopSweepError(Exception):
        pass

    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) == 10:
            raise StopSweepError

    duty_sweeper = sweeper.Sweeper(
        platform.table, lambda: ["s"], lambda: DUTY, sleep=sleep
    )
    with pytest.raises(StopSweepError):
        fake.run(duty_sweeper.run())
    assert duty_sweeper.deleted == 1
    assert sum(pauses) == pytest.approx(
        10 * sweep.SWEEP_PERIOD_SECONDS / sweep.BUCKET_COUNT
    )
