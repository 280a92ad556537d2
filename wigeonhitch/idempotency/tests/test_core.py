"""Tests of single decisions of the core and of the records it writes."""

import random

import pytest

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, core, decision, record, sweep
from wigeonhitch.platform import table

UNAVAILABLE = table.ReadResult(table.Outcome.NOT_DONE, reason="down")
AVAILABLE = table.ReadResult(table.Outcome.DONE, time=1000.0)


@pytest.fixture
def claims():
    """Return a core that has read the table's clock."""
    claims_core = core.Core(
        "d1", rng=random.Random(1), limits=batch.Limits(10.0, 2.0, 3, 2)
    )
    assert claims_core.step(0.0) == [decision.Read(())]
    claims_core.on_read(AVAILABLE, 0.0)
    return claims_core


def find_commits(actions):
    return [action for action in actions if isinstance(action, batch.Commit)]


def test_nothing_is_written_before_the_time_of_the_table_is_known():
    claims_core = core.Core("d1", rng=random.Random(1))
    claims_core.acquire("claim/s/a", "print", 0.0, 9.0)
    assert claims_core.step(0.0) == [decision.Read(())]
    claims_core.on_read(AVAILABLE, 0.1)
    (commit,) = claims_core.step(0.1)
    assert record.decode(commit.writes[0].value).at == 1000.0


def test_claims_are_refused_at_once_while_the_store_fails(claims):
    claims.acquire("claim/s/a", "print", 0.0, 9.0)
    (commit,) = claims.step(0.0)
    failed = table.CommitResult(table.Outcome.NOT_DONE, reason="down")
    claims.on_commit(commit.batch, failed, 0.1)
    claims.step(0.1)
    claims.acquire("claim/s/b", "print", 0.2, 9.0)
    (refused,) = claims.step(0.2)
    assert refused.caller_verdict.reason is verdict.Reason.STORE_UNAVAILABLE
    assert claims.step(0.6) == [decision.Read(())]
    claims.on_read(UNAVAILABLE, 0.6)
    assert claims.next_wake(0.6) == pytest.approx(1.1)


def test_writes_keep_to_the_rate_limit_and_batches_grow(claims):
    sizes = []
    for index in range(40):
        now = index * 0.01
        claims.acquire(f"claim/s/{index}", "print", now, 9.0)
        for commit in find_commits(claims.step(now)):
            sizes.append(len(commit.writes))
            done = table.CommitResult(table.Outcome.DONE, index + 1, time=1000.0)
            claims.on_commit(commit.batch, done, now)
    assert len(sizes) <= 2 + 0.4 * 10 + 1
    assert sizes[:2] == [1, 1]
    assert max(sizes) == 3


def test_a_row_that_cannot_be_decoded_is_never_free():
    row_record = record.decode({"state": "nonsense"})
    assert (
        decision.classify_row(row_record, "a", "", False)
        is decision.RowStatus.OUTCOME_UNKNOWN
    )


def test_the_sweep_deletes_only_expired_records_in_small_batches():
    def build(index, at):
        state = record.State.ANSWERED
        answered = record.Record(state, "print", "d1/1", "d1", at)
        return table.Row(f"claim/s/{index}", record.encode(answered), index)

    rows = [build(index, 0.0) for index in range(1, sweep.MAX_DELETES_PER_COMMIT + 2)]
    rows.append(build(500, 10.0))
    commits = sweep.plan_deletions(rows, sweep.RETENTION_SECONDS + 5.0)
    assert [len(writes) for _, writes in commits] == [sweep.MAX_DELETES_PER_COMMIT, 1]
    assert commits[0][0][0] == table.Condition("claim/s/1", 1)


def count_writes(daemons, share=True):
    """Return one daemon's table writes a second under a constant load."""
    claims = core.Core("d1", rng=random.Random(1))
    claims.step(0.0)
    claims.on_read(AVAILABLE, 0.0)
    if share:
        claims.budget.set_daemon_count(daemons)
    write_count = record_count = 0
    for index in range(20 * 100):
        now = index * 0.01
        claims.acquire(f"claim/s/{index}", "print", now, now + 9.0)
        for commit in find_commits(claims.step(now)):
            write_count += 1
            record_count += len(commit.writes)
            done = table.CommitResult(table.Outcome.DONE, index + 1, time=1000.0)
            claims.on_commit(commit.batch, done, now)
    assert record_count > 0.9 * 2000
    return write_count / 20.0


@pytest.mark.parametrize("daemons", [9, 30, 220])
def test_all_daemons_together_stay_within_the_total_write_rate(daemons):
    burst = batch.DEFAULT_LIMITS.burst / 20.0
    write_count = daemons * (count_writes(daemons) - burst)
    assert write_count <= batch.DEFAULT_LIMITS.total_rate


def test_many_daemons_exceed_the_total_rate_without_shares():
    assert 220 * count_writes(220, share=False) > 10 * batch.DEFAULT_LIMITS.total_rate


def test_claims_of_a_single_caller_are_written_at_once_at_a_small_share():
    claims = core.Core("d1", rng=random.Random(1))
    claims.step(0.0)
    claims.on_read(AVAILABLE, 0.0)
    claims.budget.set_daemon_count(220)
    for now in (0.01, 0.04, 0.07, 0.1):
        claims.acquire(f"claim/s/{now}", "print", now, now + 9.0)
        (commit,) = find_commits(claims.step(now))
        done = table.CommitResult(table.Outcome.DONE, 1, time=1000.0)
        claims.on_commit(commit.batch, done, now)
