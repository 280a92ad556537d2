"""Determine the outcome of a call whose answer may have been lost. No I/O.

Two facts resolve a commit. Its conditions are on versions, so once a
conditioned row has changed, no copy of the commit can apply any more. Each row
keeps the token of its last writer, so a written row with this commit's token
proves that the commit was applied.

The store may lose an answer after the write took effect, and its connections
may deliver a request late. The module prevents reporting a commit that took
effect or still may as "not done", and applying one commit twice.
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
"""Maximum number of tries per call, reads back included. It bounds the load on
a store that is down to this multiple of the usual load, and leaves each try a
useful share of the deadline."""
MIN_TRY_SECONDS = 0.05
"""Minimum time for a try, some tens of round trips inside one region; a shorter
one is unlikely to succeed and only adds load."""
BACKOFF_BASE_SECONDS = 0.05
"""Upper bound of the jittered pause before the first repeat; it doubles with
each try, so that daemons do not all return to a recovering store at once."""


LOST_REVISION = -1
"""Revision of a commit that took effect but whose written rows were changed by
others since, so that only a deleted row proves it. No row has this version, so
a later commit that is conditioned on it conflicts and reads the rows again."""


class ReplyKind(enum.Enum):
    """How one try ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Without effect: the connection failed, or the platform refused the call."""
    LOST = "lost"
    """Without an answer; the call may have taken effect or may still do so."""


class Reply(NamedTuple):
    """Result of one try; ``body`` is decoded JSON, or bytes for an object."""

    kind: ReplyKind
    status: int = 0
    body: Any = None


class Step(enum.Enum):
    """Next step in resolving a commit."""

    SEND = "send"
    READ = "read"
    FINISH = "finish"


class Resolution:
    """Resolves one commit from its first try to its outcome.

    Parameters
    ----------
    conditions, writes : sequence
        Conditions and writes, as for `table.Table.commit`.
    token : str
        Unique text that marks the rows this commit writes.
    max_tries : int
        Maximum number of sends and reads together.

    Notes
    -----
    A commit is repeated only if one of its conditions is on a row that it
    writes, so that a second application fails. Any other commit is sent once
    and then only read back.

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
        self._written_keys = tuple(write.key for write in writes)
        self._token = token
        self._tries_left = max_tries
        self._may_apply = False
        self._can_apply = True
        self._step = Step.SEND
        self._result = table.CommitResult(table.Outcome.NOT_DONE, reason="timeout")
        deletes_all = all(write.value is None for write in writes)
        self._deleted_revision = 0 if deletes_all else LOST_REVISION
        conditioned = {condition.key for condition in self._conditions}
        self._is_repeatable = not conditioned.isdisjoint(self._written_keys)

    @property
    def keys(self) -> tuple[str, ...]:
        """Keys to read back: all written and conditioned rows."""
        names = [condition.key for condition in self._conditions]
        return tuple(dict.fromkeys([*self._written_keys, *names]))

    def next(self) -> Step:
        """Return the next step."""
        return Step.FINISH if self._tries_left <= 0 else self._step

    def result(self) -> table.CommitResult:
        """Return the result so far; final once `next` returns ``FINISH``."""
        return self._result

    def on_commit(self, reply: Reply) -> None:
        """Process the reply to a send of the commit."""
        self._tries_left -= 1
        if reply.kind is ReplyKind.REFUSED:
            if not self._may_apply:
                self._result = table.CommitResult(table.Outcome.NOT_DONE, reason="down")
            return
        if reply.kind is ReplyKind.LOST:
            self._may_apply = True
            self._result = table.CommitResult(table.Outcome.UNKNOWN, reason="timeout")
            self._step = Step.SEND if self._is_repeatable else Step.READ
            return
        if reply.status == 200:
            self._finish(table.Outcome.DONE, reply.body["time"], reply.body["revision"])
        elif reply.status == 409:
            rows = tuple(table.Row(*row) for row in reply.body["conflicts"])
            self._on_conflict(rows, reply.body["time"])
        else:
            self._reject(reply)

    def on_read(self, reply: Reply) -> None:
        """Process the reply to a read of `keys`."""
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
        if self._finish_if_applied(rows.values(), now):
            return
        if conflicts and self._never_applied(rows):
            self._finish(table.Outcome.NOT_DONE, now, 0, conflicts, "conflict")
        elif conflicts:
            self._finish(table.Outcome.UNKNOWN, now, 0, conflicts, "conflict")
        elif self._is_repeatable:
            self._step = Step.SEND

    def _on_conflict(self, rows: tuple[table.Row, ...], now: float) -> None:
        if self._finish_if_applied(rows, now):
            return
        if not self._may_apply:
            self._finish(table.Outcome.NOT_DONE, now, 0, rows, "conflict")
            return
        self._result = table.CommitResult(
            table.Outcome.UNKNOWN, 0, rows, "conflict", now
        )
        self._step = Step.READ

    def _finish_if_applied(self, rows, now: float) -> bool:
        own = [
            row
            for row in rows
            if row.key in self._written_keys and row.token == self._token
        ]
        if own:
            version = max(row.version for row in own)
            revision = version or self._deleted_revision
            self._finish(table.Outcome.DONE, now, revision)
        return bool(own)

    def _never_applied(self, rows: dict[str, table.Row]) -> bool:
        """Return whether a written row proves that no copy has taken effect yet.

        A row last written at or before the newest conditioned version was not
        written by this commit, whose revision would be later; nor was a row
        that was never written.
        """
        newest_version = max(condition.version for condition in self._conditions)
        for key in self._written_keys:
            row = rows[key]
            if 0 < row.version <= newest_version:
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
    """Return the outcome of an idempotent call.

    Parameters
    ----------
    reply : Reply
        Reply to the last try.
    lost_before : bool
        Whether an earlier try was lost and so may have taken effect.
    """
    if reply.kind is ReplyKind.ANSWERED and reply.status == 200:
        return table.Outcome.DONE
    if lost_before or reply.kind is ReplyKind.LOST:
        return table.Outcome.UNKNOWN
    return table.Outcome.NOT_DONE


def compute_try_timeout(left: float) -> float:
    """Return the timeout of the next try in seconds, 0 for no more tries.

    A try gets half of the time left: a slow store still gets one long try, and
    time remains to read its outcome back.
    """
    return 0.0 if left < MIN_TRY_SECONDS else max(MIN_TRY_SECONDS, left / 2)


def compute_backoff(tries: int, left: float, random_draw: float) -> float:
    """Return the pause before a repeat in seconds.

    Parameters
    ----------
    tries : int
        Tries made so far, at least 1.
    left : float
        Seconds left to the deadline; a pause takes at most a quarter of them.
    random_draw : float
        Random number between 0 and 1.
    """
    return (
        min(BACKOFF_BASE_SECONDS * 2 ** (tries - 1), max(0.0, left) / 4) * random_draw
    )
