"""Rows of members and of owners, as compact JSON."""

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


class Member(NamedTuple):
    """One daemon that takes part.

    ``life`` differs for each start of the process; ``until`` is the end of its
    lease on the store's steady clock in seconds; ``cores`` are the processors
    that the daemon may use; ``version`` is the row's, which rises with each renewal.
    ``since`` is when the lease began to last without a gap, 0 if that isn't told.
    """

    name: str
    life: str
    until: float
    leaving: bool = False
    cores: float = 1.0
    version: int = 0
    since: float = 0.0


class Owner(NamedTuple):
    """Who leads a pool; ``name`` is empty when it was given up.

    ``version`` is the row's version and the leader's fencing token; ``epoch``
    counts the leaders of the pool, from 1.
    """

    pool: str
    name: str
    life: str
    epoch: int
    version: int
    granted: float = 0.0
    """Longest lease in seconds that workers may still have of a leader that
    gave the pool up; 0: not known."""


def expect_owner(pool: str, version: int) -> rows.Condition:
    """Return the condition under which all of a leader's writes stand."""
    return rows.Condition(OWNER_TABLE, pool, OWNER_KEY, version)


def expect_member(name: str, version: int) -> rows.Condition:
    """Return the condition that a member hasn't renewed its lease since."""
    return rows.Condition(MEMBER_TABLE, name, name, version)


def write_member(member: Member) -> bytes:
    """Return a member's row."""
    row = {"life": member.life, "until": round(member.until, 3)}
    row["cores"] = round(member.cores, 3)
    row["since"] = round(member.since, 3)
    if member.leaving:
        row["leaving"] = True
    return orjson.dumps(row)


def read_member(key: str, value: bytes, version: int) -> Member:
    """Read a member's row."""
    row = orjson.loads(value)
    leaving, cores = row.get("leaving", False), row.get("cores", 1.0)
    since = row.get("since", 0.0)
    return Member(key, row["life"], row["until"], leaving, cores, version, since)


def write_owner(owner: Owner) -> bytes:
    """Return an owner's row."""
    row = {"name": owner.name, "life": owner.life, "epoch": owner.epoch}
    if owner.granted:
        row["granted"] = owner.granted
    return orjson.dumps(row)


def read_owner(pool: str, value: bytes, version: int) -> Owner:
    """Read an owner's row."""
    row = orjson.loads(value)
    granted = row.get("granted", 0.0)
    return Owner(pool, row["name"], row["life"], row["epoch"], version, granted)
