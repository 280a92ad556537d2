"""Decide what became of a call whose answer may have been lost. No I/O.

A commit is resolved by two facts. Its conditions are on versions, so once a
conditioned row has moved, no copy of the commit can apply any more. And each
row keeps the token of its last writer, so a written row with our token proves
that it did apply.

Made for a store whose answers are lost after the write took effect, and whose
connections deliver a request late. The harm it prevents: calling a commit
"not done" that took effect or still may, and applying one commit twice.
"""

import enum
from collections.abc import Sequence
from typing import Any, NamedTuple

from wigeonhitch.platform import table

__all__ = [
    "LOST_REVISION",
    "MAX_TRIES",
    "Reply",
    "ReplyKind",
    "Resolution",
    "Step",
    "compute_backoff",
    "compute_try_timeout",
    "classify_idempotent",
]

MAX_TRIES = 4
"""Tries per call, reading back included: a store that is down for long gets at
most this multiple of the usual load, and each try still gets a useful share of
the deadline."""
MIN_TRY = 0.05
"""Seconds below which another try is not worth its load: some tens of round
trips inside one region."""
PAUSE_BASE = 0.05
"""Mean pause before the first repeat is half of this, in seconds; it doubles
with each try, so that daemons do not return to a recovering store at once."""


LOST_REVISION = -1
"""Revision of a commit that took effect, but whose written rows others have
changed since, so that only a deleted row proves it. No row has this version, so
a later commit that is conditioned on it conflicts and reads anew."""


class ReplyKind(enum.Enum):
    """What came back for one try."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Certainly without effect: not connected, or refused by the platform."""
    LOST = "lost"
    """Without answer; the effect may have happened or may yet happen."""


class Reply(NamedTuple):
    """Result of one try; ``body`` is decoded JSON, or bytes for an object."""

    kind: ReplyKind
    status: int = 0
    body: Any = None


class Step(enum.Enum):
    """What to do next about a commit."""

    SEND = "send"
    READ = "read"
    FINISH = "finish"


class Resolution:
    """One commit from its first try to its outcome.

    Parameters
    ----------
    conditions, writes : sequence
        As given to `table.Table.commit`.
    token : str
        Unique text that marks the rows this commit writes.
    max_tries : int
        Bound on sends and reads together.

    Notes
    -----
    A commit is repeated only if it guards itself: one of its conditions is on
    a row that it writes, so a second application fails. One that does not is
    sent once and then only read back.

    Examples
    --------
    >>> commit = Resolution(
    ...     [table.Condition("a", 0)], [table.Write("a", {})], "t")
    >>> commit.on_commit(Reply(ReplyKind.LOST))
    >>> commit.next()
    <Step.SEND: 'send'>
    >>> row = {"conflicts": [["a", {}, 7, "t"]], "time": 1.0}
    >>> commit.on_commit(Reply(ReplyKind.ANSWERED, 409, row))
    >>> commit.result().outcome, commit.result().revision
    (<Outcome.DONE: 'done'>, 7)
    """

    def __init__(
        self,
        conditions: Sequence[table.Condition],
        writes: Sequence[table.Write],
        token: str,
        max_tries: int = MAX_TRIES,
    ) -> None:
        self._conditions = tuple(conditions)
        self._written = tuple(write.key for write in writes)
        self._token = token
        self._tries_left = max_tries
        self._may_apply = False
        self._can_apply = True
        self._step = Step.SEND
        self._result = table.CommitResult(table.Outcome.NOT_DONE, reason="timeout")
        deletes_all = all(write.value is None for write in writes)
        self._deleted_revision = 0 if deletes_all else LOST_REVISION
        guarded = {condition.key for condition in self._conditions}
        self._repeatable = not guarded.isdisjoint(self._written)

    @property
    def keys(self) -> tuple[str, ...]:
        """Rows to read back: all that are written or conditioned."""
        names = [condition.key for condition in self._conditions]
        return tuple(dict.fromkeys([*self._written, *names]))

    def next(self) -> Step:
        """Return what to do next."""
        return Step.FINISH if self._tries_left <= 0 else self._step

    def result(self) -> table.CommitResult:
        """Return what is known now; final once `next` says ``FINISH``."""
        return self._result

    def on_commit(self, reply: Reply) -> None:
        """Take the result of sending the commit."""
        self._tries_left -= 1
        if reply.kind is ReplyKind.REFUSED:
            if not self._may_apply:
                self._result = table.CommitResult(table.Outcome.NOT_DONE, reason="down")
            return
        if reply.kind is ReplyKind.LOST:
            self._may_apply = True
            self._result = table.CommitResult(table.Outcome.UNKNOWN, reason="timeout")
            self._step = Step.SEND if self._repeatable else Step.READ
            return
        if reply.status == 200:
            self._finish(table.Outcome.DONE, reply.body["time"], reply.body["revision"])
        elif reply.status == 409:
            rows = tuple(table.Row(*row) for row in reply.body["conflicts"])
            self._on_conflict(rows, reply.body["time"])
        else:
            self._reject(reply)

    def on_read(self, reply: Reply) -> None:
        """Take the result of reading `keys` back."""
        self._tries_left -= 1
        if reply.kind is not ReplyKind.ANSWERED or reply.status != 200:
            return
        rows = {row[0]: table.Row(*row) for row in reply.body["rows"]}
        now = reply.body["time"]
        conflicts = tuple(
            rows[condition.key]
            for condition in self._conditions
            if rows[condition.key].version != condition.version
        )
        if self._find_own(rows.values(), now):
            return
        if conflicts and self._never_applied(rows):
            self._finish(table.Outcome.NOT_DONE, now, 0, conflicts, "conflict")
        elif conflicts:
            self._finish(table.Outcome.UNKNOWN, now, 0, conflicts, "conflict")
        elif self._repeatable:
            self._step = Step.SEND

    def _on_conflict(self, rows: tuple[table.Row, ...], now: float) -> None:
        if self._find_own(rows, now):
            return
        if not self._may_apply:
            self._finish(table.Outcome.NOT_DONE, now, 0, rows, "conflict")
            return
        self._result = table.CommitResult(
            table.Outcome.UNKNOWN, 0, rows, "conflict", now
        )
        self._step = Step.READ

    def _find_own(self, rows, now: float) -> bool:
        own = [
            row for row in rows if row.key in self._written and row.token == self._token
        ]
        if own:
            version = max(row.version for row in own)
            revision = version or self._deleted_revision
            self._finish(table.Outcome.DONE, now, revision)
        return bool(own)

    def _never_applied(self, rows: dict[str, table.Row]) -> bool:
        """Whether a written row shows that no copy took effect so far.

        A row last written at or before the newest conditioned version was not
        written by this commit, which would have a later revision; nor was one
        that nobody ever wrote.
        """
        newest = max(condition.version for condition in self._conditions)
        for key in self._written:
            row = rows[key]
            if 0 < row.version <= newest:
                return True
            if row.version == 0 and not row.token:
                return True
        return False

    def _reject(self, reply: Reply) -> None:
        outcome = table.Outcome.NOT_DONE
        if self._may_apply:
            outcome = table.Outcome.UNKNOWN
        self._finish(outcome, 0.0, 0, (), f"status {reply.status}")

    def _finish(
        self,
        outcome: table.Outcome,
        now: float,
        revision: int = 0,
        conflicts: tuple[table.Row, ...] = (),
        reason: str = "",
    ) -> None:
        self._step = Step.FINISH
        self._result = table.CommitResult(outcome, revision, conflicts, reason, now)


def classify_idempotent(reply: Reply, lost_before: bool) -> table.Outcome:
    """Return the outcome of a call that may be repeated freely.

    Parameters
    ----------
    reply : Reply
        Result of the last try.
    lost_before : bool
        Whether an earlier try was lost and so may have taken effect.
    """
    if reply.kind is ReplyKind.ANSWERED and reply.status == 200:
        return table.Outcome.DONE
    if lost_before or reply.kind is ReplyKind.LOST:
        return table.Outcome.UNKNOWN
    return table.Outcome.NOT_DONE


def compute_try_timeout(left: float) -> float:
    """Return the seconds that the next try may take, 0 for no more tries.

    Half of what is left: a slow store still gets one long try, and time stays
    to find out what became of it.
    """
    return 0.0 if left < MIN_TRY else max(MIN_TRY, left / 2)


def compute_backoff(tries: int, left: float, draw: float) -> float:
    """Return the seconds to pause before a repeat.

    Parameters
    ----------
    tries : int
        Tries made so far, at least 1.
    left : float
        Seconds left to the deadline; at most a quarter is spent on a pause.
    draw : float
        Random number between 0 and 1.
    """
    return min(PAUSE_BASE * 2 ** (tries - 1), max(0.0, left) / 4) * draw
