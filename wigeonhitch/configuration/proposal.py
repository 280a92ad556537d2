"""Rows of the platform's table that acceptance reads and writes.

`Current` is the row that determines the version in force. A `Proposal` is one
submission; its row is kept under the submission's id for good, which makes a
retry with the same id safe.
"""

import enum
import re
from collections.abc import Mapping
from typing import Any, NamedTuple

from wigeonhitch.configuration import approval, canonical
from wigeonhitch.platform import table

__all__ = [
    "CURRENT",
    "PROPOSALS",
    "SIGNAL",
    "Current",
    "Proposal",
    "State",
    "is_submission_id",
    "get_object_name",
    "get_proposal_key",
    "get_version_key",
    "read_current",
    "read_proposal",
    "write_proposal",
]

CURRENT = "configuration/current"
SIGNAL = "signal/configuration"
PROPOSALS = "configuration/proposal/"
ID_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9-]{0,63}")


class State(enum.Enum):
    """State of a proposal; only ``WAITING`` is not final."""

    WAITING = "waiting"
    ACCEPTED = "accepted"
    REJECTED = "rejected"


class Current(NamedTuple):
    """The version in force; ``version`` is 0 before the first.

    ``row`` is the version of the table row, used in conditions.
    """

    version: int = 0
    hash: str = ""
    submission: str = ""
    author: str = ""
    row: int = 0

    @property
    def condition(self) -> table.Condition:
        """Condition that this version is still in force."""
        return table.Condition(CURRENT, self.row)


class Proposal(NamedTuple):
    """One submission.

    Parameters
    ----------
    id : str
        Submission id, chosen by the operator's client.
    base : int
        Version in force that the document is based on.
    hash : str
        Content hash of the proposed document.
    author : str
        Operator who submitted it.
    note : str
        The author's reason for the change.
    needs : tuple of approval.Need
        Approvals that the rules in force at ``base`` require.
    given : tuple of approval.Given
        Approvals given so far.
    state : State
        State of the proposal.
    version : int
        The version assigned when it was accepted.
    submitted, decided : float
        Times by the table's clock, seconds since the Unix epoch.
    decider, reason : str
        Who accepted or rejected it, and why it was rejected.
    row : int
        Version of the table row; 0 before it is written.
    """

    id: str
    base: int
    hash: str
    author: str
    note: str = ""
    needs: tuple[approval.Need, ...] = ()
    given: tuple[approval.Given, ...] = ()
    state: State = State.WAITING
    version: int = 0
    submitted: float = 0.0
    decided: float = 0.0
    decider: str = ""
    reason: str = ""
    row: int = 0

    @property
    def condition(self) -> table.Condition:
        """Condition that the proposal's row is unchanged."""
        return table.Condition(get_proposal_key(self.id), self.row)

    @property
    def missing(self) -> tuple[approval.Need, ...]:
        """Approvals still missing."""
        return approval.list_missing(
            self.needs, self.given, self.author, self.hash, self.base
        )


def is_submission_id(text: str) -> bool:
    """Return whether a text is a valid submission id."""
    return ID_PATTERN.fullmatch(text) is not None


def get_object_name(content_hash: str) -> str:
    """Return the name under which a document is in the object store."""
    return f"configuration/{content_hash}"


def get_proposal_key(submission_id: str) -> str:
    """Return the row key of a proposal."""
    return f"{PROPOSALS}{submission_id}"


def get_version_key(version: int) -> str:
    """Return the row key of an accepted version."""
    return f"configuration/version/{version}"


def read_current(row: table.Row) -> Current:
    """Return the version in force from its row."""
    if row.value is None:
        return Current(row=row.version)
    value = row.value
    return Current(
        value["version"],
        value["hash"],
        value["submission"],
        value["author"],
        row.version,
    )


def read_proposal(row: table.Row) -> Proposal | None:
    """Return the proposal of a row, or None when the row is absent."""
    if row.value is None:
        return None
    value = dict(row.value)
    value["state"] = State(value["state"])
    value["needs"] = tuple(read_need(need) for need in value["needs"])
    value["given"] = tuple(read_given(given) for given in value["given"])
    return Proposal(**value, row=row.version)


def read_need(value: Mapping[str, Any]) -> approval.Need:
    """Return a required approval from its stored form."""
    return approval.Need(value["change"], value["approvals"], tuple(value["roles"]))


def read_given(value: Mapping[str, Any]) -> approval.Given:
    """Return a given approval from its stored form."""
    return approval.Given(
        value["operator"],
        tuple(value["roles"]),
        value["hash"],
        value["base"],
        value["time"],
    )


def write_proposal(proposal: Proposal) -> table.Write:
    """Return the write that stores a proposal."""
    value = canonical.to_plain(proposal._replace(state=proposal.state.value))
    del value["row"]
    return table.Write(get_proposal_key(proposal.id), value)
