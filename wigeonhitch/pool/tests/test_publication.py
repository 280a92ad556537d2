"""Publication of a pool's status."""

import pytest

from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import publication, record

OWNER = leader_record.Owner("p", "a", "life", 1, 7)


@pytest.fixture
def published():
    return publication.Publication(OWNER, lambda *args, **kwargs: None)


@pytest.mark.parametrize("outcome", list(table.Outcome))
def test_a_status_is_written_again_unless_it_is_confirmed(published, outcome):
    """Guards against an unanswered attempt that is taken for the row's content."""
    first, second = record.PoolStatus({"q": 1}), record.PoolStatus({"q": 2})
    done = rows.Change(table.Outcome.DONE, 9)
    assert not published.on_result(first, done)
    published.on_result(second, rows.Change(outcome, 10))
    is_written = published.build_transaction(first, 0.0) is not None

    assert is_written == (outcome is not table.Outcome.NOT_DONE)


def test_a_first_write_expects_that_there_is_no_row(published):
    """Guards against the first write of a pool's first leader replacing a newer one."""
    transaction = published.build_transaction(record.PoolStatus({}), 0.0)

    assert [condition.version for condition in transaction.conditions] == [7, 0]


def test_a_write_that_only_the_owner_refuses_is_not_repeated_at_once(published):
    """Guards against a deposed leader that writes again and again."""
    published.on_row(5)
    status_row = rows.Row("board", "p", "board", b"{}", 5)
    owner_row = rows.Row("owner", "p", "owner", b"{}", 8)
    refused = rows.Change(
        table.Outcome.NOT_DONE, 0, (owner_row, status_row), "conflict"
    )

    assert not published.on_result(record.PoolStatus({}), refused)
    assert published.on_result(
        record.PoolStatus({}),
        refused._replace(conflicts=(status_row._replace(version=6),)),
    )
