"""What a caller is told about its key, and the counts of it. No I/O."""

import collections
import enum
import random
from typing import NamedTuple

from wigeonhitch import verdict
from wigeonhitch.idempotency import batch, record

__all__ = ["Action", "Decision", "Decisions", "Judgement", "Kind", "Read", "judge"]

RETURN_FROM, RETURN_UNTIL = 1.0, 4.0
"""Seconds after which a refused caller is asked back: spread, so that the
returns do not meet the recovering store all at once."""


class Kind(enum.Enum):
    """What the caller of `core.Core.acquire` shall do."""

    GRANTED = "granted"
    REPLAYED = "replayed"
    REFUSED = "refused"


class Decision(NamedTuple):
    """Action: answer a ticket.

    ``kept`` holds the kept answer when replayed; ``caller_verdict`` is returned to
    the caller unless granted; a granted request may be sent until ``send_before``,
    in seconds on the clock that counts suspension.
    """

    ticket: int
    kind: Kind
    caller_verdict: verdict.Verdict | None = None
    kept: record.Record | None = None
    send_before: float = 0.0


class Read(NamedTuple):
    """Action: read these rows and report by `core.Core.on_read`."""

    keys: tuple[str, ...]


Action = Decision | Read | batch.Commit
"""What `core.Core.step` asks for."""


class Judgement(enum.Enum):
    """What a row means to an attempt that wants to claim it."""

    OWN = "claimed by this attempt"
    FREE = "nobody sent the request"
    REUSED = "the key belongs to a different request"
    ANSWERED = "the answer is kept"
    UNDER_WAY = "another attempt may send or have sent it"
    DOUBTFUL = "it was sent and its fate is not known"


def judge(
    found: record.Record | None, attempt: str, fingerprint: str, is_given_up: bool
) -> Judgement:
    """Return what a row means to an attempt.

    Parameters
    ----------
    found : record.Record or None
        The row's record, None when absent.
    attempt, fingerprint : str
        Of the attempt that asks.
    is_given_up : bool
        Whether the record's attempt is known to never have sent nor ever to
        send.
    """
    if found is None or found.state is record.State.RELEASED:
        return Judgement.FREE
    if found.state is record.State.CLAIMED:
        if found.attempt == attempt:
            return Judgement.OWN
        if is_given_up:
            return Judgement.FREE
    if found.fingerprint != fingerprint:
        return Judgement.REUSED
    if found.state is record.State.ANSWERED:
        return Judgement.ANSWERED
    if found.state is record.State.CLAIMED:
        return Judgement.UNDER_WAY
    return Judgement.DOUBTFUL


class Decisions:
    """Decisions not yet taken by the task, and counts of all.

    Parameters
    ----------
    rng : random.Random
        Source of the spread of returns.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._waiting: list[Decision] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def __bool__(self) -> bool:
        """Whether any decision waits."""
        return bool(self._waiting)

    def take(self) -> list[Decision]:
        """Return the decisions since the last call."""
        taken, self._waiting = self._waiting, []
        return taken

    def grant(self, ticket: int, send_before: float) -> None:
        """Let the request be sent until ``send_before``, in seconds."""
        made = Decision(ticket, Kind.GRANTED, send_before=send_before)
        self._add(made, "granted")

    def replay(self, ticket: int, kept: record.Record) -> None:
        """Give the kept answer."""
        told = verdict.ran(verdict.Reason.REPLAYED)
        self._add(Decision(ticket, Kind.REPLAYED, told, kept), "replayed")

    def tell_claimed(self, ticket: int) -> None:
        """Say that an earlier attempt may have run."""
        retry_after = self._rng.uniform(RETURN_FROM, RETURN_UNTIL)
        told = verdict.may_have_run(verdict.Reason.CLAIMED, retry_after)
        self._add(Decision(ticket, Kind.REFUSED, told), "may have run")

    def refuse(self, ticket: int, reason: verdict.Reason) -> None:
        """Say that this attempt did not run and never will."""
        retry_after = 0.0
        if reason is not verdict.Reason.KEY_REUSED:
            retry_after = self._rng.uniform(RETURN_FROM, RETURN_UNTIL)
        told = verdict.not_run(reason, retry_after)
        self._add(Decision(ticket, Kind.REFUSED, told), f"refused: {reason.value}")

    def _add(self, made: Decision, name: str) -> None:
        self._waiting.append(made)
        self.counts[name] += 1
