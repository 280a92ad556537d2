"""Which approvals a change needs, and which of those given count.

The customer's own rules decide, as the document in force states them: a
proposal that loosens the rules is itself judged by the present ones. Before
the first document there are none in force, so the first document is judged by
its own rules; a first document without rules needs no approval.
"""

from typing import NamedTuple

from wigeonhitch.configuration import difference, document

__all__ = ["Given", "Need", "count_approvals", "find_needs", "list_missing"]


class Need(NamedTuple):
    """So many different operators, each with one of the roles, must approve."""

    change: str
    approvals: int
    roles: tuple[str, ...]


class Given(NamedTuple):
    """One approval that an operator gave.

    Parameters
    ----------
    operator : str
        Who approved.
    roles : tuple of str
        Roles that the operator had at that moment.
    hash : str
        Content that was approved.
    base : int
        Version in force at that moment.
    time : float
        In the table's clock, seconds since the Unix epoch.
    """

    operator: str
    roles: tuple[str, ...]
    hash: str
    base: int
    time: float = 0.0


def find_needs(
    in_force: document.Document | None, proposed: document.Document
) -> tuple[Need, ...]:
    """Return every approval that replacing ``in_force`` needs.

    Parameters
    ----------
    in_force : Document or None
        Its rules apply; None before the first document.
    proposed : Document
        The document that is to come into force.
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

    An approval counts for the content and the base version that its operator
    saw and for no other; the author's own never counts; an operator counts
    once however often they approve.
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
    """Return the needs that are not met, each with the number still missing."""
    missing = []
    for need in needs:
        remaining = need.approvals - count_approvals(
            need, given, author, content_hash, base
        )
        if remaining > 0:
            missing.append(need._replace(approvals=remaining))
    return tuple(missing)
