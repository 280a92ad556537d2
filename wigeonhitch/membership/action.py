"""What the decisions on duties take and return: limits and actions."""

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
        After this time without renewal others take over. Fifteen seconds
        outlast a short outage of the store and a pause of some seconds.
    margin : float
        The holder stops this much before the lease ends: room for drift of
        clocks and for an action begun just before.
    rank_delay : float
        A vacant duty is taken by the daemon that ranks first at once, by the
        next ones this much later each, so that they do not collide.
    min_renewal_interval : float
        Shortest time between renewals, also when hurried.
    row_retention : float
        A daemon row that expired this long ago is deleted: longer than any
        request, so that its absence proves that nothing is in flight.
    read_interval_per_daemon : float
        All daemon rows are read again after this time for each daemon, but
        not before a third of the lease. Every row has changed by then, so the
        reading grows with the daemons and its period must grow with them: at
        220 daemons of 200 bytes every 55 s, 0.8 KB/s instead of 9 KB/s.
    """

    lease: float = 15.0
    margin: float = 3.0
    rank_delay: float = 1.0
    min_renewal_interval: float = 0.5
    row_retention: float = 600.0
    read_interval_per_daemon: float = 0.25


DEFAULT_LIMITS = Limits()


class Verb(enum.Enum):
    """What a commit is for."""

    RENEW = "renew the own daemon row"
    TAKE = "take a duty over"
    RELEASE = "release a duty"
    FORGET = "delete a daemon row"


class Purpose(NamedTuple):
    """What a commit is for, and the duty or daemon it names."""

    verb: Verb
    name: str = ""


class Commit(NamedTuple):
    """Action: commit, then report by `duty.Duties.on_commit`."""

    purpose: Purpose
    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]


class FullRead(NamedTuple):
    """Action: scan daemons and duties since a revision.

    Report by `duty.Duties.on_full_read`.
    """

    since: int


class HolderRead(NamedTuple):
    """Action: read the rows of some holders by key, then scan the duties.

    Report by `duty.Duties.on_holder_read`. The holders are read first: a takeover in
    between then shows a holder that was not read, which counts as live.
    """

    since: int
    holders: tuple[str, ...]
