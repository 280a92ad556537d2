"""Limits and actions of the duty state machine."""

import enum
from typing import NamedTuple

from wigeonhitch.platform import table

__all__ = [
    "DEFAULT_LIMITS",
    "Commit",
    "HolderRead",
    "Limits",
    "FullRead",
    "Purpose",
    "Verb",
]


class Limits(NamedTuple):
    """Times in seconds.

    Parameters
    ----------
    lease : float
        Duration of a lease; without renewal others take over after it. Fifteen
        seconds outlast a short outage of the store and a pause of some seconds.
    margin : float
        The holder stops acting this long before the lease ends. It allows for
        clock drift and for an action that began just before.
    rank_delay : float
        The daemon that ranks first takes over a vacant duty at once; each next rank
        waits this much longer, so that their commits do not conflict.
    min_renewal_interval : float
        Minimum time between renewals, including early ones.
    row_retention : float
        A daemon row that expired this long ago is deleted. This is longer than any
        request, so the absence of a row proves that nothing is in flight.
    read_interval_per_daemon : float
        Interval between reads of all daemon rows, multiplied by the number of
        daemons; at least a third of the lease. Every row has changed by the next
        read, so its size grows with the number of daemons, and its interval must
        grow too: 220 rows of 200 bytes every 55 s are 0.8 KB/s instead of 9 KB/s.
    """

    lease: float = 15.0
    margin: float = 3.0
    rank_delay: float = 1.0
    min_renewal_interval: float = 0.5
    row_retention: float = 600.0
    read_interval_per_daemon: float = 0.25


DEFAULT_LIMITS = Limits()


class Verb(enum.Enum):
    """Operation of a commit."""

    RENEW = "renew the own daemon row"
    TAKE_OVER = "take a duty over"
    RELEASE = "release a duty"
    DELETE = "delete a daemon row"


class Purpose(NamedTuple):
    """Operation of a commit, and the name of its duty or daemon."""

    verb: Verb
    name: str = ""


class Commit(NamedTuple):
    """Action: commit, then call `duty.Duties.on_commit`."""

    purpose: Purpose
    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]


class FullRead(NamedTuple):
    """Action: scan the rows of daemons and duties changed since a revision.

    The result goes to `duty.Duties.on_full_read`.
    """

    since: int


class HolderRead(NamedTuple):
    """Action: read the rows of some holders by key, then scan the duties.

    The result goes to `duty.Duties.on_holder_read`. The holders are read first: a
    takeover between the two reads then shows a holder whose row was not read, which
    counts as live.
    """

    since: int
    holders: tuple[str, ...]
