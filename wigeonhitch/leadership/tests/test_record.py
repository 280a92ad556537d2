"""Member rows of older, newer and faulty daemons."""

import orjson
import pytest

from wigeonhitch.leadership import core, record

OLD = {"life": "l", "until": 5.0, "cores": 2.0, "since": 1.0}


@pytest.mark.parametrize(
    "fields",
    [
        {},
        {"address": None, "data_centre": 3},
        {"address": 7100, "data_centre": "dc"},
        {"address": ["10.0.0.1:7100"]},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:7100/path"},
        {"address": "user@host:7100 "},
        {"address": "a..b:7100"},
        {"address": f"{'x' * 64}:7100"},
        {"address": "[::::]:7100"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
    ],
)
def test_row_without_a_usable_address_names_no_peer(fields):
    """Guards against a follower that ends, or calls an address that isn't one."""
    member = record.read_member("b", orjson.dumps({**OLD, **fields}), 7)

    assert member[:7] == ("b", "l", 5.0, False, 2.0, 7, 1.0)
    leadership = core.Leadership("a", "life", 0.0)
    leadership.on_member(member, 0.0)
    assert leadership.list_peers() == []


@pytest.mark.parametrize(
    "address", ["10.0.0.1:7100", "entry-1.site:1", "[fd00::1]:65535"]
)
def test_usable_addresses_name_a_peer(address):
    """Guards against a check that drops peers."""
    row = orjson.dumps({**OLD, "address": address})

    assert record.read_member("b", row, 7).address == address


def test_renewal_names_the_address_only_where_calls_are_relayed():
    """Guards against rows that change where the part is inactive."""
    plain = core.Leadership("a", "life", 0.0).plan_renewal(0.0)
    relaying = core.Leadership("a", "life", 0.0, 1.0, True, "10.0.0.1:7100", "dc")
    written = record.write_member(relaying.plan_renewal(0.0))

    assert set(orjson.loads(record.write_member(plain))) == set(OLD)
    member = record.read_member("a", written, 1)
    assert (member.address, member.data_centre) == ("10.0.0.1:7100", "dc")


def test_members_that_leave_and_this_daemon_are_no_peers():
    """Guards against calls to a daemon that is stopping, or to oneself."""
    leadership = core.Leadership("a", "life", 0.0)
    for name, leaving in (("a", False), ("b", False), ("c", True)):
        member = record.Member(name, "l", 5.0, leaving, address=f"{name}:1")
        leadership.on_member(member, 0.0)

    assert [member.name for member in leadership.list_peers()] == ["b"]
