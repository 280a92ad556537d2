"""Single decisions of the core, and the records it writes."""

import random

import pytest

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, core, decision, record, sweep
from wigeonhitch.platform import table

DOWN = table.ReadResult(table.Outcome.NOT_DONE, reason="down")
UP = table.ReadResult(table.Outcome.DONE, time=1000.0)


@pytest.fixture
def claims():
    """Return a core that knows the table's clock."""
    made = core.Core("d1", rng=random.Random(1), limits=batch.Limits(10.0, 2.0, 3, 2))
    assert made.step(0.0) == [decision.Read(())]
    made.on_read(UP, 0.0)
    return made


def find_commits(actions):
    return [action for action in actions if isinstance(action, batch.Commit)]


def test_nothing_is_written_before_the_clock_of_the_table_is_known():
    made = core.Core("d1", rng=random.Random(1))
    made.acquire("claim/s/a", "print", 0.0, 9.0)
    assert made.step(0.0) == [decision.Read(())]
    made.on_read(UP, 0.1)
    (commit,) = made.step(0.1)
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
    claims.on_read(DOWN, 0.6)
    assert claims.next_wake(0.6) == pytest.approx(1.1)


def test_writes_keep_to_their_rate_and_batches_grow_meanwhile(claims):
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


def test_a_row_that_cannot_be_read_is_never_free():
    found = record.decode({"state": "nonsense"})
    assert decision.judge(found, "a", "", False) is decision.Judgement.DOUBTFUL


def test_the_sweep_takes_only_expired_records_in_small_batches():
    def build(index, at):
        state = record.State.ANSWERED
        kept = record.Record(state, "print", "d1/1", "d1", at)
        return table.Row(f"claim/s/{index}", record.encode(kept), index)

    rows = [build(index, 0.0) for index in range(1, sweep.MAX_DELETES + 2)]
    rows.append(build(500, 10.0))
    commits = sweep.pick(rows, sweep.RETENTION + 5.0)
    assert [len(writes) for _, writes in commits] == [sweep.MAX_DELETES, 1]
    assert commits[0][0][0] == table.Condition("claim/s/1", 1)


def count_writes(daemons, share=True):
    """Return the table writes a second of one daemon under a constant load."""
    claims = core.Core("d1", rng=random.Random(1))
    claims.step(0.0)
    claims.on_read(UP, 0.0)
    if share:
        claims.budget.set_daemon_count(daemons)
    written = records = 0
    for index in range(20 * 100):
        now = index * 0.01
        claims.acquire(f"claim/s/{index}", "print", now, now + 9.0)
        for commit in find_commits(claims.step(now)):
            written += 1
            records += len(commit.writes)
            done = table.CommitResult(table.Outcome.DONE, index + 1, time=1000.0)
            claims.on_commit(commit.batch, done, now)
    assert records > 0.9 * 2000
    return written / 20.0


@pytest.mark.parametrize("daemons", [9, 30, 220])
def test_all_daemons_together_keep_to_the_total_of_table_writes(daemons):
    burst = batch.DEFAULT_LIMITS.burst / 20.0
    written = daemons * (count_writes(daemons) - burst)
    assert written <= batch.DEFAULT_LIMITS.total_rate


def test_without_a_share_many_daemons_exceed_the_total():
    assert 220 * count_writes(220, share=False) > 10 * batch.DEFAULT_LIMITS.total_rate


def test_a_lone_callers_claims_go_out_at_once_also_at_a_small_share():
    claims = core.Core("d1", rng=random.Random(1))
    claims.step(0.0)
    claims.on_read(UP, 0.0)
    claims.budget.set_daemon_count(220)
    for now in (0.01, 0.04, 0.07, 0.1):
        claims.acquire(f"claim/s/{now}", "print", now, now + 9.0)
        (commit,) = find_commits(claims.step(now))
        done = table.CommitResult(table.Outcome.DONE, 1, time=1000.0)
        claims.on_commit(commit.batch, done, now)
