"""Entries of workers, in the order in which this daemon reads them."""

import orjson
import pytest

from standins import rowstore
from wigeonhitch.platform import entries, rows
from wigeonhitch.site import registry
from wigeonhitch.telemetry import metric

FIRST_START, SECOND_START = 1_000, 61_000


@pytest.fixture
def applied():
    """Receive the entries that the registry passes on."""
    return []


@pytest.fixture
def instruments():
    return metric.Instruments()


@pytest.fixture
def workers(applied, instruments):
    return registry.WorkerRegistry(
        *(rowstore.RowStore(), lambda: True, applied.append, lambda id: None),
        instruments,
    )


def make_row(start_ms, *, version=1, **fields):
    entry = {"service": "p", "address": "w:1", "state": "ready", "capacity": {}}
    value = orjson.dumps(entry | {"born": start_ms} | fields)
    return rows.Row(entries.WORKER_TABLE, "", "w", value, version)


@pytest.mark.parametrize("starts", [(1_000, 61_000), (61_000, 1_000)])
def test_older_version_of_an_entry_is_ignored(workers, applied, starts):
    """Guards against a VM that is dropped for an entry that is read late.

    A snapshot may be answered after a change that the feed has told already. The order
    is that of the row's versions: a worker's clock may be set back over a restart.
    """
    former, later = starts
    changed = (make_row(later, version=2), make_row(former, version=1))
    workers._apply_rows(changed)

    assert [worker.entry.start_ms for worker in applied] == [later]
    assert workers.workers["w"].entry.start_ms == later


@pytest.mark.parametrize("start_ms", ["61000", 1.5, True, None])
def test_entry_whose_start_is_no_whole_number_names_no_worker(
    workers, applied, start_ms
):
    workers._apply_rows((make_row(start_ms),))

    assert applied == []


def test_starts_may_be_reported_until_a_worker_without_one_is_known(workers):
    """Guards against calls to the store for entries that tell nothing new."""
    assert workers.may_report_starts
    workers._apply_rows((make_row(0),))
    assert not workers.may_report_starts
    workers._apply_rows((make_row(FIRST_START),))
    assert workers.may_report_starts


def test_invalid_entry_is_counted_once_a_version_and_hides_no_other(
    workers, applied, instruments
):
    """Guards against entries of another writer that nobody notices, or that all see."""
    row = make_row(FIRST_START, address="a..b:80")
    right = make_row(FIRST_START)._replace(key="w2")
    for changed in ((row, right), (row,), (row._replace(version=2),)):
        workers._apply_rows(changed)

    assert [worker.entry.id for worker in applied] == ["w2"]
    assert instruments.read("invalid_worker_entries_total", {}) == 2
