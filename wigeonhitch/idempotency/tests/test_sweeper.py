"""The sweep against the fake platform."""

import pytest

from standins import fake
from wigeonhitch.idempotency import record, sweep, sweeper
from wigeonhitch.platform import table

DUTY = table.Condition("duty/claims", 1)


@pytest.fixture
def platform():
    made = fake.Fake(now=1_000_000.0)
    duty = [table.Condition("duty/claims", 0)], [table.Write("duty/claims", {})]
    fake.run(made.table.commit(*duty, purpose="duty"))
    for index, age in enumerate([0.0, sweep.RETENTION + 1.0]):
        kept = record.Record(
            record.State.ANSWERED, "print", "d1/1", "d1", made.now - age
        )
        row = f"{sweep.build_prefix('s', 7)}{index}"
        write = [table.Condition(row, 0)], [table.Write(row, record.encode(kept))]
        fake.run(made.table.commit(*write, purpose="claim"))
    return made


def count_rows(platform):
    return len(fake.run(platform.table.scan("claim/", purpose="test")).rows)


@pytest.mark.parametrize(
    ("duty", "left"), [(DUTY, 1), (None, 2), (DUTY._replace(version=9), 2)]
)
def test_only_the_holder_of_the_duty_deletes_expired_records(platform, duty, left):
    sweeping = sweeper.Sweeper(platform.table, lambda: ["s"], lambda: duty)
    fake.run(sweeping.sweep("s", 7))
    assert count_rows(platform) == left
    assert sweeping.deleted == 2 - left


def test_a_round_looks_at_every_piece(platform):
    class EndError(Exception):
        pass

    pauses = []

    async def sleep(seconds):
        pauses.append(seconds)
        if len(pauses) == 10:
            raise EndError

    sweeping = sweeper.Sweeper(platform.table, lambda: ["s"], lambda: DUTY, sleep=sleep)
    with pytest.raises(EndError):
        fake.run(sweeping.run())
    assert sweeping.deleted == 1
    assert sum(pauses) == pytest.approx(10 * sweep.ROUND / sweep.BUCKETS)
