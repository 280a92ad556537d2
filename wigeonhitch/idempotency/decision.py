"""Decisions about keyed requests, and their counters. No I/O."""

import collections
import enum
import random
from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, record

__all__ = [
    "Action",
    "Decision",
    "DecisionQueue",
    "RowStatus",
    "Kind",
    "Read",
    "classify_row",
]

MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS = 1.0, 4.0
"""Bounds in seconds of the random retry delay given to a refused caller. The
delay is spread so that retries do not reach a recovering store all at once."""


class Kind(enum.Enum):
    """How a request for a claim was decided; see `store.Acquired`."""

    GRANTED = "granted"
    REPLAYED = "replayed"
    REFUSED = "refused"


class Decision(NamedTuple):
    """Action: deliver the decision for a ticket.

    ``caller_verdict`` is set unless the request is granted, and ``kept_record``
    holds the kept answer of a replay. A granted request may be sent until
    ``send_before``, in seconds on the clock that includes time in suspension.
    """

    ticket: int
    kind: Kind
    caller_verdict: verdict.Verdict | None = None
    kept_record: record.Record | None = None
    send_before: float = 0.0


class Read(NamedTuple):
    """Action: read these rows, then call `core.Core.on_read`."""

    keys: tuple[str, ...]


Action = Decision | Read | batch.Commit
"""Any action that `core.Core.step` returns."""


class RowStatus(enum.Enum):
    """Status of a row from the view of an attempt that tries to claim it."""

    OWN = "claimed by this attempt"
    FREE = "nobody sent the request"
    REUSED = "the key belongs to a different request"
    ANSWERED = "the answer is kept"
    IN_PROGRESS = "another attempt may send or have sent it"
    OUTCOME_UNKNOWN = "it was sent and its fate is not known"


def classify_row(
    row_record: record.Record | None, attempt: str, fingerprint: str, is_given_up: bool
) -> RowStatus:
    """Return the status of a row for an attempt.

    Parameters
    ----------
    row_record : record.Record or None
        The row's record, or None if the row does not exist.
    attempt, fingerprint : str
        Name and request hash of the attempt that tries to claim the row.
    is_given_up : bool
        Whether the attempt in the record is known not to have sent the request and
        never to send it.
    """
    if row_record is None or row_record.state is record.State.RELEASED:
        return RowStatus.FREE
    if row_record.state is record.State.CLAIMED:
        if row_record.attempt == attempt:
            return RowStatus.OWN
        if is_given_up:
            return RowStatus.FREE
    if row_record.fingerprint != fingerprint:
        return RowStatus.REUSED
    if row_record.state is record.State.ANSWERED:
        return RowStatus.ANSWERED
    if row_record.state is record.State.CLAIMED:
        return RowStatus.IN_PROGRESS
    return RowStatus.OUTCOME_UNKNOWN


class DecisionQueue:
    """Decisions that the task has not fetched yet, and counters of all decisions.

    Parameters
    ----------
    rng : random.Random
        Random source of retry delays.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pending: list[Decision] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def __bool__(self) -> bool:
        """Return whether any decision is pending."""
        return bool(self._pending)

    def take_all(self) -> list[Decision]:
        """Return the decisions since the last call."""
        taken, self._pending = self._pending, []
        return taken

    def grant(self, ticket: int, send_before: float) -> None:
        """Permit the request to be sent until ``send_before``, in seconds."""
        decided = Decision(ticket, Kind.GRANTED, send_before=send_before)
        self._add(decided, "granted")

    def replay(self, ticket: int, kept_record: record.Record) -> None:
        """Return the kept answer of an earlier attempt."""
        caller_verdict = verdict.ran(verdict.Reason.REPLAYED)
        self._add(
            Decision(ticket, Kind.REPLAYED, caller_verdict, kept_record), "replayed"
        )

    def refuse_claimed(self, ticket: int) -> None:
        """Refuse the request because an earlier attempt may have run."""
        retry_after = self._rng.uniform(
            MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
        )
        caller_verdict = verdict.may_have_run(verdict.Reason.CLAIMED, retry_after)
        self._add(Decision(ticket, Kind.REFUSED, caller_verdict), "may have run")

    def refuse(self, ticket: int, reason: verdict.Reason) -> None:
        """Refuse the request; this attempt did not run and never will."""
        retry_after = 0.0
        if reason is not verdict.Reason.KEY_REUSED:
            retry_after = self._rng.uniform(
                MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS
            )
        caller_verdict = verdict.not_run(reason, retry_after)
        self._add(
            Decision(ticket, Kind.REFUSED, caller_verdict), f"refused: {reason.value}"
        )

    def _add(self, decided: Decision, counter: str) -> None:
        self._pending.append(decided)
        self.counts[counter] += 1
