"""Checks of a well-formed document: names, references, sizes and windows."""

import math
from collections.abc import Iterable, Sequence
from typing import Any

from wigeonhitch.configuration import document, problem

__all__ = ["check_references", "compute_required_up"]

NAMED_SECTIONS = (
    "data_centres",
    "kinds",
    "pools",
    "services",
    "urgencies",
    "teams",
    "waves",
)


def compute_required_up(pool: document.Pool) -> int:
    """Return the number of VMs of a pool that must be up; a share is rounded up.

    Examples
    --------
    >>> budget = document.Budget(share=0.8)
    >>> compute_required_up(document.Pool("match", "large", 6, budget))
    5
    """
    budget = pool.must_be_up
    if budget.number is not None:
        return budget.number
    # The subtraction keeps 0.7 * 10 (7.000000000000001) from becoming 8.
    return math.ceil((budget.share or 0.0) * pool.size - 1e-9)


def check_references(intended: document.Document) -> list[problem.Problem]:
    """Return all problems of a document that conforms to the schema."""
    problems = list(check_names(intended))
    problems += check_pools(intended)
    problems += check_services(intended)
    problems += check_waves(intended)
    problems += check_approvals(intended)
    problems += check_urgencies(intended)
    return problems


def check_names(intended: document.Document) -> Iterable[problem.Problem]:
    """Find duplicate names, and empty sections that must not be empty."""
    for section in NAMED_SECTIONS:
        seen_names = set()
        for index, item in enumerate(getattr(intended, section)):
            if item.name in seen_names:
                yield build_problem(
                    (section, index, "name"), item.name, "a name not used yet"
                )
            seen_names.add(item.name)
    for section in ("data_centres", "kinds", "pools", "urgencies"):
        if not getattr(intended, section):
            yield build_problem((section,), [], "at least one entry")


def check_pools(intended: document.Document) -> Iterable[problem.Problem]:
    """Find unknown kinds and invalid budgets."""
    kinds = [kind.name for kind in intended.kinds]
    in_waves = {name for wave in intended.waves for name in wave.pools}
    for index, pool in enumerate(intended.pools):
        place = ("pools", index)
        if pool.kind not in kinds:
            yield build_problem((*place, "kind"), pool.kind, list_choices(kinds))
        yield from check_budget(pool, (*place, "must_be_up"), pool.name in in_waves)


def check_budget(
    pool: document.Pool, place: tuple, in_wave: bool
) -> Iterable[problem.Problem]:
    """Find a budget that is too large, or not exactly one of number and share.

    A pool in a wave must be able to spare one VM, or the wave could never stop
    one and would wait until its window had passed.
    """
    budget = pool.must_be_up
    if (budget.number is None) == (budget.share is None):
        given = {"number": budget.number, "share": budget.share}
        yield build_problem(place, given, "exactly one of number and share")
        return
    required = compute_required_up(pool)
    part = "number" if budget.number is not None else "share"
    value = getattr(budget, part)
    if required > pool.size:
        yield build_problem(
            (*place, part), value, f"at most the pool's size {pool.size}"
        )
    elif in_wave and pool.size and required == pool.size:
        expected = (
            f"less than all {pool.size} VMs, since a wave visits pool {pool.name}"
        )
        yield build_problem((*place, part), value, expected)


def check_services(intended: document.Document) -> Iterable[problem.Problem]:
    """Find services with an unknown pool or urgency."""
    pools = [pool.name for pool in intended.pools]
    urgencies = [urgency.name for urgency in intended.urgencies]
    for index, service in enumerate(intended.services):
        place = ("services", index)
        if service.pool not in pools:
            yield build_problem((*place, "pool"), service.pool, list_choices(pools))
        if service.urgency not in urgencies:
            yield build_problem(
                (*place, "urgency"), service.urgency, list_choices(urgencies)
            )


def check_waves(intended: document.Document) -> Iterable[problem.Problem]:
    """Find waves with unknown, repeated or no pools, or with an empty window."""
    pools = [pool.name for pool in intended.pools]
    for index, wave in enumerate(intended.waves):
        place = ("waves", index)
        if not wave.pools:
            yield build_problem((*place, "pools"), [], "at least one pool")
        for position, name in enumerate(wave.pools):
            pool_place = (*place, "pools", position)
            if name not in pools:
                yield build_problem(pool_place, name, list_choices(pools))
            elif name in wave.pools[:position]:
                yield build_problem(
                    pool_place, name, "a pool not named yet by this wave"
                )
        if wave.window.start >= wave.window.end:
            expected = f"a time after the start {wave.window.start}"
            yield build_problem((*place, "window", "end"), wave.window.end, expected)


def check_approvals(intended: document.Document) -> Iterable[problem.Problem]:
    """Find approval rules without roles or with the role ``viewer``."""
    for index, rule in enumerate(intended.approvals):
        place = ("approvals", index, "roles")
        if rule.approvals > 0 and not rule.roles:
            yield build_problem(
                place, [], "at least one role, since approvals are needed"
            )
        if "viewer" in rule.roles:
            expected = "roles that may change something; a viewer may not approve"
            yield build_problem(place, list(rule.roles), expected)


def check_urgencies(intended: document.Document) -> Iterable[problem.Problem]:
    """Find urgencies whose time to start exceeds their deadline."""
    for index, urgency in enumerate(intended.urgencies):
        if urgency.start_within > urgency.deadline:
            expected = f"at most the deadline {urgency.deadline}"
            place = ("urgencies", index, "start_within")
            yield build_problem(place, urgency.start_within, expected)


def build_problem(parts: tuple, value: Any, expected: str) -> problem.Problem:
    """Return a problem with the unit of its location."""
    place = problem.format_place(parts)
    return problem.Problem(place, value, expected, problem.find_unit(parts))


def list_choices(names: Sequence[str]) -> str:
    """Return the text that lists the valid names."""
    if not names:
        return "a known name, but none is defined"
    return "one of " + ", ".join(names)
