"""Row formats of members and owners, as compact JSON."""

import ipaddress
import re
from typing import NamedTuple

import orjson

from wigeonhitch.platform import rows

__all__ = [
    "MEMBER_TABLE",
    "OWNER_KEY",
    "OWNER_TABLE",
    "Member",
    "Owner",
    "expect_member",
    "expect_owner",
    "read_member",
    "read_owner",
    "write_member",
    "write_owner",
]

MEMBER_TABLE = "member"
OWNER_TABLE = "owner"
OWNER_KEY = "owner"

ADDRESS_PATTERN = re.compile(
    r"(?:\[(?P<ipv6>[0-9A-Fa-f:.]+)\]|(?=.{1,253}:)[A-Za-z0-9-]{1,63}"
    r"(?:\.[A-Za-z0-9-]{1,63})*):(?P<port>[0-9]{1,5})"
)
"""Form of the address of a peer. A call to another text would fail without an answer,
though nothing was sent; the encoding of a host with an empty or long label raises an
error that isn't one of the network."""


class Member(NamedTuple):
    """One daemon that holds a lease.

    ``life`` identifies one incarnation of the daemon; ``until`` is the end of the
    lease on the store's monotonic clock in seconds; ``cores`` are the processor cores
    that the daemon may use; ``version`` is the row's version, which rises with each
    renewal. ``since`` is the time since which the lease has been held without a gap,
    0 if unknown. ``address`` is where the daemon relays store calls of others, empty
    if it doesn't.
    """

    name: str
    life: str
    until: float
    leaving: bool = False
    cores: float = 1.0
    version: int = 0
    since: float = 0.0
    address: str = ""
    data_centre: str = ""


class Owner(NamedTuple):
    """The leader of a pool; ``name`` is empty after the pool was given up.

    ``version`` is the row's version and the leader's fencing token; ``epoch``
    counts the leaders of the pool, from 1.
    """

    pool: str
    name: str
    life: str
    epoch: int
    version: int
    granted: float = 0.0
    """Longest lease in seconds that workers may still hold from the leader that
    gave the pool up; 0 if unknown."""


def expect_owner(pool: str, version: int) -> rows.Condition:
    """Return the condition that all writes of a leader carry."""
    return rows.Condition(OWNER_TABLE, pool, OWNER_KEY, version)


def expect_member(name: str, version: int) -> rows.Condition:
    """Return the condition that a member has not renewed its lease since."""
    return rows.Condition(MEMBER_TABLE, name, name, version)


def write_member(member: Member) -> bytes:
    """Encode a member as a row value."""
    row = {"life": member.life, "until": round(member.until, 3)}
    row["cores"] = round(member.cores, 3)
    row["since"] = round(member.since, 3)
    if member.leaving:
        row["leaving"] = True
    if member.address:
        row["address"] = member.address
        row["data_centre"] = member.data_centre
    return orjson.dumps(row)


def read_member(key: str, value: bytes, version: int) -> Member:
    """Decode a member's row."""
    row = orjson.loads(value)
    leaving, cores = row.get("leaving", False), row.get("cores", 1.0)
    since = row.get("since", 0.0)
    address, data_centre = row.get("address"), row.get("data_centre")
    if not isinstance(address, str) or not _is_address(address):
        address = ""
    if not isinstance(data_centre, str):
        data_centre = ""
    return Member(
        key,
        row["life"],
        row["until"],
        leaving,
        cores,
        version,
        since,
        address,
        data_centre,
    )


def _is_address(text: str) -> bool:
    match = ADDRESS_PATTERN.fullmatch(text)
    if match is None or not 0 < int(match["port"]) < 65536:
        return False
    try:
        return match["ipv6"] is None or bool(ipaddress.IPv6Address(match["ipv6"]))
    except ValueError:
        return False


def write_owner(owner: Owner) -> bytes:
    """Encode an owner as a row value."""
    row = {"name": owner.name, "life": owner.life, "epoch": owner.epoch}
    if owner.granted:
        row["granted"] = owner.granted
    return orjson.dumps(row)


def read_owner(pool: str, value: bytes, version: int) -> Owner:
    """Decode an owner's row."""
    row = orjson.loads(value)
    granted = row.get("granted", 0.0)
    return Owner(pool, row["name"], row["life"], row["epoch"], version, granted)
