"""Decisions on submissions, approvals and rejections, without I/O.

Each function takes the rows as they were read and returns either the result
or one commit to try; `store` reads and commits, and calls it again after every
commit that was not done.

Sized for some 520 changes a day by a handful of concurrent operators. One
submission never becomes two versions, a version is based on the one that its
author saw, and a document comes into force only with the approvals given for
exactly its content:

- each commit of a submission or an approval is conditional on
  ``configuration/current`` being unchanged since it was read, so one of several
  concurrent submissions wins and the others get the version to rebase on;
- each commit is conditional on the proposal's own row, so that a commit that is
  retried after a lost answer cannot take effect twice;
- the version row, the current row, the proposal and the signal row change in
  one commit, so that no reader sees only some of them.
"""

import enum
from typing import NamedTuple

from wigeonhitch.configuration import approval, proposal
from wigeonhitch.platform import table

__all__ = [
    "Commit",
    "Result",
    "Status",
    "decide_approval",
    "decide_rejection",
    "decide_submission",
]


class Status(enum.Enum):
    """Outcome of an operator's request, returned rather than raised."""

    ACCEPTED = "accepted"
    WAITING = "waiting for approval"
    UNCHANGED = "already in force"
    CONFLICT = "conflict: another version is in force"
    REUSED = "submission id was used for something else"
    OTHER_CONTENT = "the proposal holds other content"
    OWN = "an author never approves their own change"
    NO_ROLE = "none of the operator's roles is asked for"
    REJECTED = "rejected"
    MISSING = "no such proposal or version"
    INVALID = "document is not valid"
    STORE_DOWN = "not done: the platform's store cannot be reached"
    UNKNOWN = "unknown: the store's answer was lost"


class Result(NamedTuple):
    """Answer to an operator's request.

    Parameters
    ----------
    status : Status
        Outcome of the request.
    version : int
        The version now in force as far as is known: the new one when
        accepted, the one to rebase on after a conflict.
    stored : proposal.Proposal or None
        The proposal as stored after the request.
    reason : str
        Human-readable details.
    """

    status: Status
    version: int = 0
    stored: proposal.Proposal | None = None
    reason: str = ""


class Commit(NamedTuple):
    """One commit to try, and the result to return once it is done."""

    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]
    result: Result


def decide_submission(
    current: proposal.Current,
    stored: proposal.Proposal | None,
    submitted: proposal.Proposal,
) -> Result | Commit:
    """Decide about a submission.

    Parameters
    ----------
    current : Current
        The version in force.
    stored : Proposal or None
        The proposal stored under the submission's id, if there is one: the
        request is a retry after a lost answer, or the id is being reused.
    submitted : Proposal
        The submission, with the approvals that the rules in force require.
    """
    if stored is not None:
        return resolve_repeat(current, stored, submitted)
    if current.version != submitted.base:
        return build_conflict(current, None)
    if current.hash == submitted.hash:
        return Result(Status.UNCHANGED, current.version)
    if submitted.missing:
        writes = (proposal.write_proposal(submitted),)
        result = Result(Status.WAITING, current.version, submitted)
        return Commit((submitted.condition, current.condition), writes, result)
    return build_acceptance(current, submitted, submitted.author, submitted.submitted)


def resolve_repeat(
    current: proposal.Current,
    stored: proposal.Proposal,
    submitted: proposal.Proposal,
) -> Result:
    """Return the result of a submission whose id is already stored."""
    identity = (stored.base, stored.hash, stored.author)
    if identity != (submitted.base, submitted.hash, submitted.author):
        reason = f"it holds {stored.hash[:12]} by {stored.author} on {stored.base}"
        return Result(Status.REUSED, current.version, stored, reason)
    return build_result(current, stored)


def build_result(current: proposal.Current, stored: proposal.Proposal) -> Result:
    """Return the result that corresponds to the state of a stored proposal."""
    if stored.state is proposal.State.ACCEPTED:
        return Result(Status.ACCEPTED, stored.version, stored)
    if stored.state is proposal.State.REJECTED:
        reason = f"by {stored.decider}: {stored.reason}"
        return Result(Status.REJECTED, current.version, stored, reason)
    if stored.base != current.version:
        return build_conflict(current, stored)
    return Result(Status.WAITING, current.version, stored)


def build_conflict(
    current: proposal.Current, stored: proposal.Proposal | None
) -> Result:
    """Return the result that names the version to rebase on."""
    reason = f"rebase on version {current.version} by {current.author or 'nobody'}"
    return Result(Status.CONFLICT, current.version, stored, reason)


def decide_approval(
    current: proposal.Current,
    stored: proposal.Proposal | None,
    new_approval: approval.Given,
) -> Result | Commit:
    """Decide about an operator's approval of a proposal.

    Parameters
    ----------
    current : Current
        The version in force.
    stored : Proposal or None
        The proposal; None when there is none with that id.
    new_approval : approval.Given
        The approving operator, their roles and the hash of the content.
    """
    if stored is None:
        return Result(Status.MISSING, current.version)
    result = build_result(current, stored)
    if result.status is not Status.WAITING:
        return result
    if new_approval.hash != stored.hash:
        reason = f"it holds {stored.hash}"
        return Result(Status.OTHER_CONTENT, current.version, stored, reason)
    if new_approval.operator == stored.author:
        return Result(Status.OWN, current.version, stored)
    if any(entry.operator == new_approval.operator for entry in stored.given):
        return result
    requested_roles = {role for need in stored.needs for role in need.roles}
    if not requested_roles & set(new_approval.roles):
        reason = "asked for: " + ", ".join(sorted(requested_roles))
        return Result(Status.NO_ROLE, current.version, stored, reason)
    approved = stored._replace(given=(*stored.given, new_approval))
    if not approved.missing:
        return build_acceptance(
            current, approved, new_approval.operator, new_approval.time
        )
    return Commit(
        (stored.condition, current.condition),
        (proposal.write_proposal(approved),),
        Result(Status.WAITING, current.version, approved),
    )


def decide_rejection(
    current: proposal.Current,
    stored: proposal.Proposal | None,
    operator: str,
    reason: str,
    time: float,
) -> Result | Commit:
    """Decide about a rejection, by which an author may also withdraw."""
    if stored is None:
        return Result(Status.MISSING, current.version)
    if stored.state is not proposal.State.WAITING:
        return build_result(current, stored)
    rejected = stored._replace(
        state=proposal.State.REJECTED, decider=operator, reason=reason, decided=time
    )
    writes = (proposal.write_proposal(rejected),)
    return Commit((stored.condition,), writes, build_result(current, rejected))


def build_acceptance(
    current: proposal.Current, approved: proposal.Proposal, decider: str, time: float
) -> Commit:
    """Return the commit that puts a proposal in force as the next version."""
    version = current.version + 1
    accepted = approved._replace(
        state=proposal.State.ACCEPTED, version=version, decider=decider, decided=time
    )
    current_value = {
        "version": version,
        "hash": accepted.hash,
        "submission": accepted.id,
        "author": accepted.author,
    }
    approvals = [
        entry._asdict() | {"roles": list(entry.roles)} for entry in accepted.given
    ]
    version_value = current_value | {
        "base": accepted.base,
        "note": accepted.note,
        "given": approvals,
        "accepted": time,
    }
    conditions = (
        accepted.condition,
        current.condition,
        table.Condition(proposal.get_version_key(version), 0),
    )
    writes = (
        table.Write(proposal.CURRENT, current_value),
        table.Write(proposal.get_version_key(version), version_value),
        proposal.write_proposal(accepted),
        table.Write(proposal.SIGNAL, {}),
    )
    return Commit(conditions, writes, Result(Status.ACCEPTED, version, accepted))
