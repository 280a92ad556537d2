"""Messages to the task that owns a daemon's claims."""

from typing import NamedTuple

import anyio.abc

from wigeonhitch.idempotency import decision, record
from wigeonhitch.platform import table

__all__ = ["Ask", "Committed", "Leave", "Looked", "Message", "Settle", "Share"]


class Ask(NamedTuple):
    """Message: a request wants to be sent."""

    number: int
    row: str
    fingerprint: str
    deadline: float
    reply: anyio.abc.ObjectSendStream[decision.Decision]


class Leave(NamedTuple):
    """Message: the caller of a request has left."""

    number: int


class Settle(NamedTuple):
    """Message: a claim has ended."""

    ticket: int
    state: record.State
    answer: record.KeptAnswer | None = None
    body_object: str = ""


class Committed(NamedTuple):
    """Message: result of a table write."""

    batch: int
    result: table.CommitResult


class Looked(NamedTuple):
    """Message: result of a read."""

    result: table.ReadResult


class Share(NamedTuple):
    """Message: how many daemons share the table."""

    daemons: int


Message = Ask | Leave | Settle | Committed | Looked | Share
