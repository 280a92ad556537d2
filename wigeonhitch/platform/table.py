"""Protocols and records of the transactional table service and object store.

A row is a JSON object under a string key. Its ``version`` is the table's
global revision at the row's last change, so versions of different rows can be
compared; 0 means the row is absent. A commit is atomic over several rows.
"""

import enum
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple, Protocol

__all__ = [
    "CommitResult",
    "Condition",
    "ObjectStore",
    "Outcome",
    "ReadResult",
    "Row",
    "Table",
    "Write",
]


class Outcome(enum.Enum):
    """Known effect of a call to the platform."""

    DONE = "done"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"


class Row(NamedTuple):
    """One row as read; ``value`` is None and ``version`` is 0 if it is absent."""

    key: str
    value: Mapping[str, Any] | None
    version: int
    token: str = ""


class Condition(NamedTuple):
    """Requires that the row still has this version (0: that it is absent)."""

    key: str
    version: int


class Write(NamedTuple):
    """Sets a row, or deletes it if ``value`` is None."""

    key: str
    value: Mapping[str, Any] | None


class ReadResult(NamedTuple):
    """Rows read, or the reason of the failure.

    Parameters
    ----------
    outcome : Outcome
        ``DONE`` when ``rows`` is complete; else ``NOT_DONE``.
    rows : tuple of Row
        For a read by keys: one per key, in order. For a scan: by key order.
    revision : int
        The table's global revision at the time of the read.
    time : float
        The table's own clock, seconds since the Unix epoch.
    reason : str
        Why the read failed; empty when it did not.
    """

    outcome: Outcome
    rows: tuple[Row, ...] = ()
    revision: int = 0
    time: float = 0.0
    reason: str = ""


class CommitResult(NamedTuple):
    """Effect of a commit.

    Parameters
    ----------
    outcome : Outcome
        ``NOT_DONE``: no row was changed and none will be.
        ``UNKNOWN``: the commit may have taken effect or may still do so.
    revision : int
        New version of all written rows, if done.
    conflicts : tuple of Row
        Current rows whose conditions failed, if that is why it was not done.
    reason : str
        ``"conflict"``, ``"down"``, ``"timeout"``, ``"status N"`` or empty.
    time : float
        The table's own clock, seconds since the Unix epoch, if answered.
    """

    outcome: Outcome
    revision: int = 0
    conflicts: tuple[Row, ...] = ()
    reason: str = ""
    time: float = 0.0


class Table(Protocol):
    """The transactional table service."""

    async def read(
        self, keys: Sequence[str], *, purpose: str, timeout: float = 2.0
    ) -> ReadResult:
        """Read rows by key; ``timeout`` in seconds covers all tries."""
        ...

    async def scan(
        self, prefix: str, *, purpose: str, since: int = 0, timeout: float = 5.0
    ) -> ReadResult:
        """Read rows under a prefix that changed after revision ``since``.

        With ``since`` above 0, deleted rows come back with value None.
        """
        ...

    async def commit(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        *,
        purpose: str,
        timeout: float = 2.0,
    ) -> CommitResult:
        """Commit all writes if every condition holds; at least one condition.

        A lost answer is resolved by reading back within ``timeout``;
        ``UNKNOWN`` is returned only if that did not succeed either.
        """
        ...


class ObjectStore(Protocol):
    """The object store; objects are immutable and named by content hash."""

    async def put(self, name: str, data: bytes, *, purpose: str) -> Outcome:
        """Store ``data`` under ``name``."""
        ...

    async def get(self, name: str, *, purpose: str) -> bytes | None:
        """Return the object, or None when absent or unreachable."""
        ...
