"""Last known daemon and duty rows of one daemon. No I/O, no clock."""

import dataclasses
import hashlib
from collections.abc import Iterable

from wigeonhitch.platform import table

__all__ = ["DAEMON_PREFIX", "DUTY_PREFIX", "View", "find_top_ranked", "rank"]

DAEMON_PREFIX, DUTY_PREFIX = "daemon/", "duty/"
"""Prefixes of the row keys."""


def rank(duty: str, daemon: str, daemons: Iterable[str]) -> int:
    """Return how many of ``daemons`` precede ``daemon`` for a duty.

    This is rendezvous hashing: duties are spread evenly, and a daemon that joins or
    leaves moves only its own share.

    Examples
    --------
    >>> sorted(rank("fleet", name, ["a", "b", "c"]) for name in "abc")
    [0, 1, 2]
    """
    own = _compute_weight(duty, daemon)
    return sum(_compute_weight(duty, other) > own for other in daemons)


def find_top_ranked(duty: str, daemons: Iterable[str]) -> str:
    """Return the daemon of rank 0 with one hash per daemon, not one per pair.

    Examples
    --------
    >>> first = find_top_ranked("fleet", ["a", "b", "c"])
    >>> rank("fleet", first, ["a", "b", "c"])
    0
    """
    return max(daemons, key=lambda name: _compute_weight(duty, name))


@dataclasses.dataclass
class View:
    """The rows by name, and the table's clock.

    ``time`` is the table's clock at some moment after the local ``read_sent_at``, so
    `estimate` is never behind the table. ``read_times`` has the table's clock at the
    last read of each daemon's row. ``unread_holders`` are the holders of which it is
    unknown whether they have a row. ``full_read_at`` is the local time at which the
    last read of all daemons was started.
    """

    daemons: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    duties: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    revision: int = 0
    duties_revision: int = 0
    time: float = 0.0
    read_sent_at: float = 0.0
    full_read_at: float = 0.0
    read_times: dict[str, float] = dataclasses.field(default_factory=dict)
    unread_holders: set[str] = dataclasses.field(default_factory=set)

    def estimate(self, now: float) -> float:
        """Return an upper estimate of the table's clock; seconds."""
        return self.time + now - self.read_sent_at

    def merge(
        self, daemons: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Merge rows changed since ``revision``; their read was sent at ``sent``."""
        _merge(self.daemons, daemons.rows, DAEMON_PREFIX)
        _merge(self.duties, duties.rows, DUTY_PREFIX)
        self.revision = min(daemons.revision, duties.revision)
        self.duties_revision = duties.revision
        self.time, self.read_sent_at, self.full_read_at = daemons.time, sent, sent
        self.read_times = dict.fromkeys(self.daemons, daemons.time)
        self.unread_holders = set()

    def merge_holders(
        self, holders: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Merge the rows of some daemons, and duties changed since the last read."""
        _merge(self.duties, duties.rows, DUTY_PREFIX)
        self.duties_revision = duties.revision
        self.time, self.read_sent_at = duties.time, sent
        names = {row.key.removeprefix(DAEMON_PREFIX) for row in holders.rows}
        _merge(self.daemons, holders.rows, DAEMON_PREFIX)
        self.read_times.update(dict.fromkeys(names, holders.time))
        self.unread_holders = (
            self.list_holders(self.duties) - names - self.daemons.keys()
        )

    def list_holders(self, duties: Iterable[str]) -> set[str]:
        """Return the daemons that hold any of ``duties``."""
        return {self.get_holder(duty) for duty in duties} - {""}

    def set_holder(self, duty: str, holder: str, version: int) -> None:
        """Record the holder that a commit of this daemon has written."""
        value = {"holder": holder}
        self.duties[duty] = table.Row(DUTY_PREFIX + duty, value, version)

    def get_holder(self, duty: str) -> str:
        """Return the holder of a duty, or an empty string if there is none."""
        row = self.duties.get(duty)
        return row.value.get("holder", "") if row is not None and row.value else ""

    def get_age(self, daemon: str) -> float:
        """Return the seconds since a daemon's row expired; negative if it has not.

        The time is that of the last read of the row, so a row that was read long ago
        does not make its daemon appear lost.
        """
        row = self.daemons.get(daemon)
        if row is None or row.value is None:
            return float("inf")
        return self.read_times.get(daemon, self.time) - row.value["expires"]

    def list_live(self) -> list[str]:
        """Return the daemons whose row had not expired when it was read."""
        return [name for name in self.daemons if self.get_age(name) <= 0]

    def list_possibly_expired(self, duties: Iterable[str], now: float) -> set[str]:
        """Return the holders whose row may have expired by now.

        A row that was read is valid until its ``expires`` even if its daemon is lost,
        so reading it again before then cannot show a vacancy.
        """
        return {
            holder
            for holder in self.list_holders(duties)
            if holder not in self.daemons
            or (self.daemons[holder].value or {})["expires"] <= self.estimate(now)
        }

    def find_vacancy(self, duty: str, daemon: str) -> list[table.Condition] | None:
        """Return the conditions under which ``daemon`` may take over a duty.

        None is returned if the holder is alive, may be, or is ``daemon`` itself. The
        row of an expired holder is among the conditions, so that its renewal in time
        makes the takeover fail.
        """
        row = self.duties.get(duty)
        own = table.Condition(DUTY_PREFIX + duty, row.version if row is not None else 0)
        holder = self.get_holder(duty)
        if not holder:
            return [own]
        if (
            holder == daemon
            or holder in self.unread_holders
            or self.get_age(holder) <= 0
        ):
            return None
        holder_row = self.daemons.get(holder)
        version = holder_row.version if holder_row is not None else 0
        return [own, table.Condition(DAEMON_PREFIX + holder, version)]


def _compute_weight(duty: str, daemon: str) -> bytes:
    return hashlib.sha256(f"{duty}\0{daemon}".encode()).digest()


def _merge(known: dict[str, table.Row], rows: Iterable[table.Row], prefix: str) -> None:
    for row in rows:
        name = row.key.removeprefix(prefix)
        if row.value is None:
            known.pop(name, None)
        elif name not in known or row.version >= known[name].version:
            known[name] = row
