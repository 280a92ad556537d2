"""Approvals that a change requires, and which of those given count.

The rules are those of the document in force, so a proposal that loosens the
rules is itself checked against the present ones. The first document is checked
against its own rules, since none are in force before it; a first document
without rules needs no approval.
"""

from typing import NamedTuple

from wigeonhitch.configuration import difference, document

__all__ = ["Given", "Need", "count_approvals", "find_needs", "list_missing"]


class Need(NamedTuple):
    """Number of different operators, each with one of the roles, who must approve."""

    change: str
    approvals: int
    roles: tuple[str, ...]


class Given(NamedTuple):
    """One approval by an operator.

    Parameters
    ----------
    operator : str
        Name of the operator.
    roles : tuple of str
        Roles of the operator at the time of the approval.
    hash : str
        Content hash of the approved document.
    base : int
        Version in force at the time of the approval.
    time : float
        Time by the table's clock, seconds since the Unix epoch.
    """

    operator: str
    roles: tuple[str, ...]
    hash: str
    base: int
    time: float = 0.0


def find_needs(
    in_force: document.Document | None, proposed: document.Document
) -> tuple[Need, ...]:
    """Return the approvals required to replace ``in_force`` by ``proposed``.

    Parameters
    ----------
    in_force : Document or None
        The document whose rules apply; None before the first document.
    proposed : Document
        The proposed document.
    """
    changes = difference.compare(in_force, proposed)
    if not changes:
        return ()
    sections = difference.list_sections(changes)
    rules = proposed.approvals if in_force is None else in_force.approvals
    return tuple(
        Need(rule.change, rule.approvals, rule.roles)
        for rule in rules
        if rule.approvals and (rule.change == "any" or rule.change in sections)
    )


def count_approvals(
    need: Need, given: tuple[Given, ...], author: str, content_hash: str, base: int
) -> int:
    """Return how many approvals count towards one need.

    An approval counts only for the content and the base version for which it
    was given. The author's own approval never counts, and each operator counts
    once.
    """
    counted = {
        entry.operator
        for entry in given
        if entry.operator != author
        and entry.hash == content_hash
        and entry.base == base
        and set(entry.roles) & set(need.roles)
    }
    return len(counted)


def list_missing(
    needs: tuple[Need, ...],
    given: tuple[Given, ...],
    author: str,
    content_hash: str,
    base: int,
) -> tuple[Need, ...]:
    """Return the unmet needs, each with the number of approvals still missing."""
    missing = []
    for need in needs:
        remaining = need.approvals - count_approvals(
            need, given, author, content_hash, base
        )
        if remaining > 0:
            missing.append(need._replace(approvals=remaining))
    return tuple(missing)
