"""Leader electors on an in-process store, and histories without a mechanism."""

import pytest

from standins import rowstore
from wigeonhitch.leadership import core, record, task
from wigeonhitch.leadership.tests import history
from wigeonhitch.platform import http


@pytest.fixture
def store():
    return rowstore.RowStore()


def put_owner(store, owner):
    value = record.write_owner(owner)
    store.put(record.OWNER_TABLE, owner.pool, record.OWNER_KEY, value)


def read_leader(store, pool):
    row = store.get(record.OWNER_TABLE, pool, record.OWNER_KEY)
    return record.read_owner(pool, row, 1).name


@pytest.fixture
def elector(store):
    """An elector whose daemon leads the pool "p"."""
    owner = record.Owner("p", "a", "life", 1, 0)
    store.put(record.OWNER_TABLE, "p", record.OWNER_KEY, record.write_owner(owner))
    leadership = core.Leadership("a", "life", 100.0)
    leadership.is_candidate = True
    leadership.on_owner(owner._replace(version=store.version))
    return task.LeaderElector(
        leadership, store, lambda: ["p"], lambda _: None, lambda _: None, lambda _: 1.0
    )


@pytest.fixture
def lapsed_elector(store):
    """An elector that led "p" until its lease expired, and its events."""
    events = []
    owner = record.Owner("p", "a", "life", 1, 0)
    store.put(record.OWNER_TABLE, "p", record.OWNER_KEY, record.write_owner(owner))
    leadership = core.Leadership("a", "life", http.read_clock() - 60)
    leadership.is_candidate = True
    leadership.on_owner(owner._replace(version=store.version))
    elector = task.LeaderElector(
        leadership,
        store,
        lambda: ["p"],
        lambda owner: events.append(("led", owner.epoch)),
        lambda pool: events.append(("lost", pool)),
        lambda _: 1.0,
    )
    return elector, events


@pytest.fixture(
    params=[
        ("member_row_condition", "expiry_confirmation"),
        ("lapse_ends_leadership",),
        ("lease_check",),
        ("term_end",),
    ],
    ids="-".join,
)
def mechanisms_in_force(request):
    """Return the mechanisms of a history without some of them."""
    return history.Mechanisms()._replace(**dict.fromkeys(request.param, False))
