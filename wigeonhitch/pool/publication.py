"""Publication of a pool's status in the row that other daemons read.

No I/O and no clock: `runner` sends the transactions and feeds back the answers. An
attempt without an answer may be applied seconds later. Each attempt therefore expects
the version of the row that it replaces, and the status is written again until an answer
confirms it, also if it equals the one that was confirmed last: every unanswered attempt
is void from then on.
"""

from collections.abc import Callable

from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import record

__all__ = ["Publication"]


class Publication:
    """The status row of one leader's pool.

    Parameters
    ----------
    owner : record.Owner
        Row of the leadership under which the status is written.
    log_event : callable
        Writes a log line; takes the text and the fields.
    """

    def __init__(
        self, owner: leader_record.Owner, log_event: Callable[..., None]
    ) -> None:
        self._owner = owner
        self._log_event = log_event
        self._location = (record.STATUS_TABLE, owner.pool, record.STATUS_TABLE)
        self._version = 0
        """Version of the row as last known, 0 for none."""
        self._confirmed: record.PoolStatus | None = None
        """Status in the row, None if another one may be there by now or later."""

    def on_row(self, version: int) -> None:
        """Record the version of the row as read at the takeover."""
        self._version = version

    def build_transaction(
        self, status: record.PoolStatus, wall_time: float
    ) -> rows.Transaction | None:
        """Return the transaction that publishes a status at a Unix time, if needed."""
        if status == self._confirmed:
            return None
        owner = leader_record.expect_owner(self._owner.pool, self._owner.version)
        own_version = rows.Condition(*self._location, self._version)
        write = rows.Write(*self._location, record.write_status(status, wall_time))
        return rows.Transaction((owner, own_version), (write,))

    def on_result(self, status: record.PoolStatus, change: rows.Change) -> bool:
        """Apply the answer to an attempt; return whether to repeat it at once."""
        if change.outcome is table.Outcome.DONE:
            self._version = change.version
            self._confirmed = status
            return False
        if change.outcome is table.Outcome.UNKNOWN:
            self._confirmed = None
        if change.reason != "conflict":
            return False
        found = self._find_version(change.conflicts)
        if found == self._version:
            return False  # the owner's row has changed
        self._log_event("status row changed", expected=self._version, found=found)
        self._version = found
        self._confirmed = None
        return True

    def _find_version(self, conflicts: tuple[rows.Row, ...]) -> int:
        """Return the version of the row as a conflict lists it."""
        return next((row.version for row in conflicts if row[:3] == self._location), 0)
