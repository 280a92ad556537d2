"""Daemon and duty rows as a daemon saw them last. No I/O, no clock."""

import dataclasses
import hashlib
from collections.abc import Iterable

from wigeonhitch.platform import table

__all__ = ["DAEMON", "DUTY", "View", "find_first", "rank"]

DAEMON, DUTY = "daemon/", "duty/"
"""Prefixes of the rows."""


def rank(duty: str, daemon: str, daemons: Iterable[str]) -> int:
    """Return how many daemons come before ``daemon`` for a duty.

    Rendezvous hashing: duties spread evenly, and a daemon that comes or goes
    moves only its own share.

    Examples
    --------
    >>> sorted(rank("fleet", name, ["a", "b", "c"]) for name in "abc")
    [0, 1, 2]
    """
    own = _weigh(duty, daemon)
    return sum(_weigh(duty, other) > own for other in daemons)


def find_first(duty: str, daemons: Iterable[str]) -> str:
    """Return the daemon of rank 0; one hash for each, not one for each pair.

    Examples
    --------
    >>> first = find_first("fleet", ["a", "b", "c"])
    >>> rank("fleet", first, ["a", "b", "c"])
    0
    """
    return max(daemons, key=lambda name: _weigh(duty, name))


@dataclasses.dataclass
class View:
    """The rows by name, and the table's clock.

    ``time`` was the table's clock at some moment after the local ``sent``, so
    `estimate` is never behind the table. ``read`` has the table's clock when
    each daemon's row was read last, and ``unread`` the holders of whom it isn't
    known whether they have a row. ``listed`` is the local time at which all
    daemons were asked for.
    """

    daemons: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    duties: dict[str, table.Row] = dataclasses.field(default_factory=dict)
    revision: int = 0
    duties_revision: int = 0
    time: float = 0.0
    sent: float = 0.0
    listed: float = 0.0
    read: dict[str, float] = dataclasses.field(default_factory=dict)
    unread: set[str] = dataclasses.field(default_factory=set)

    def estimate(self, now: float) -> float:
        """Return the table's clock, or a little more; seconds."""
        return self.time + now - self.sent

    def merge(
        self, daemons: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Take rows changed since ``revision``, read after ``sent``."""
        _merge(self.daemons, daemons.rows, DAEMON)
        _merge(self.duties, duties.rows, DUTY)
        self.revision = min(daemons.revision, duties.revision)
        self.duties_revision = duties.revision
        self.time, self.sent, self.listed = daemons.time, sent, sent
        self.read = dict.fromkeys(self.daemons, daemons.time)
        self.unread = set()

    def merge_holders(
        self, holders: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Take the rows of some daemons, and duties changed since the last."""
        _merge(self.duties, duties.rows, DUTY)
        self.duties_revision = duties.revision
        self.time, self.sent = duties.time, sent
        names = {row.key.removeprefix(DAEMON) for row in holders.rows}
        _merge(self.daemons, holders.rows, DAEMON)
        self.read.update(dict.fromkeys(names, holders.time))
        self.unread = self.list_holders(self.duties) - names - self.daemons.keys()

    def list_holders(self, duties: Iterable[str]) -> set[str]:
        """Return the daemons that hold some of ``duties``."""
        return {self.get_holder(duty) for duty in duties} - {""}

    def note_holder(self, duty: str, holder: str, version: int) -> None:
        """Take what an own commit has written."""
        value = {"holder": holder}
        self.duties[duty] = table.Row(DUTY + duty, value, version)

    def get_holder(self, duty: str) -> str:
        """Return the holder of a duty, empty when there is none."""
        row = self.duties.get(duty)
        return row.value.get("holder", "") if row is not None and row.value else ""

    def get_age(self, daemon: str) -> float:
        """Return the seconds since a daemon's row expired, negative before.

        As of the last reading of the row: an old reading makes nobody look lost.
        """
        row = self.daemons.get(daemon)
        if row is None or row.value is None:
            return float("inf")
        return self.read.get(daemon, self.time) - row.value["expires"]

    def list_live(self) -> list[str]:
        """Return the daemons whose row had not expired when it was read."""
        return [name for name in self.daemons if self.get_age(name) <= 0]

    def list_doubtful(self, duties: Iterable[str], now: float) -> set[str]:
        """Return the holders whose row may have expired, going by what is known.

        A row that was read once holds until its own ``expires``, whatever became
        of its daemon: reading it before then could not show a vacancy.
        """
        return {
            holder
            for holder in self.list_holders(duties)
            if holder not in self.daemons
            or (self.daemons[holder].value or {})["expires"] <= self.estimate(now)
        }

    def find_vacancy(self, duty: str, daemon: str) -> list[table.Condition] | None:
        """Return the conditions under which ``daemon`` may take a duty.

        None when another one holds it and lives. The holder's own row is
        among the conditions, so that a renewal in time beats the takeover.
        """
        row = self.duties.get(duty)
        own = table.Condition(DUTY + duty, row.version if row is not None else 0)
        holder = self.get_holder(duty)
        if not holder:
            return [own]
        if holder == daemon or holder in self.unread or self.get_age(holder) <= 0:
            return None
        known = self.daemons.get(holder)
        version = known.version if known is not None else 0
        return [own, table.Condition(DAEMON + holder, version)]


def _weigh(duty: str, daemon: str) -> bytes:
    return hashlib.sha256(f"{duty}\0{daemon}".encode()).digest()


def _merge(known: dict[str, table.Row], rows: Iterable[table.Row], prefix: str) -> None:
    for row in rows:
        name = row.key.removeprefix(prefix)
        if row.value is None:
            known.pop(name, None)
        elif name not in known or row.version >= known[name].version:
            known[name] = row
