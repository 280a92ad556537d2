"""Checks of a finished run against the ground truth.

The ground truth is the workers' logs and the history of the platform's table;
reports of the daemons about themselves aren't used.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from standins.demo import caller
from wigeonhitch.configuration import document
from wigeonhitch.fleet import budget

__all__ = ["Findings", "audit", "find_budget_violations", "measure_rollout"]


class Findings(NamedTuple):
    """Counts of one run; ``run_twice`` and all fields after it must be 0.

    Parameters
    ----------
    answered, refused, uncertain : int
        Callers that got a worker's answer, "not run", and "may have run".
    unanswered : int
        Callers that got no answer from any daemon.
    run_twice : int
        Keyed requests that ran more than once.
    not_run_but_ran : int
        Requests that ran although all their callers were told "not run".
    incomplete : int
        Answers that were truncated or belong to another request.
    interrupted : int
        Requests that a planned stop interrupted.
    budget_violations : int
        Commits whose planned stops left a pool below its budget.
    """

    answered: int
    refused: int
    uncertain: int
    unanswered: int
    run_twice: int
    not_run_but_ran: int
    incomplete: int
    interrupted: int
    budget_violations: int

    @property
    def is_clean(self) -> bool:
        """Whether the run violated no guarantee."""
        return not any(self[4:])


def audit(
    outcomes: Sequence[caller.Outcome],
    runs: Sequence[Mapping[str, Any]],
    history: Sequence[Mapping[str, Any]],
    intended: document.Document,
) -> Findings:
    """Compare the callers' outcomes with the workers' logs and the table history."""
    verdicts = collections.Counter(outcome.verdict for outcome in outcomes)
    run_counts = collections.Counter(run["key"] for run in runs)
    keyed = {outcome.caller for outcome in outcomes if outcome.keyed}
    verdicts_by_caller: dict[str, set[str]] = collections.defaultdict(set)
    for outcome in outcomes:
        verdicts_by_caller[outcome.caller].add(outcome.verdict)
    return Findings(
        answered=verdicts["ran"],
        refused=verdicts["not run"],
        uncertain=verdicts["may have run"],
        unanswered=verdicts[""],
        run_twice=sum(1 for name in keyed if run_counts[name] > 1),
        not_run_but_ran=sum(
            1
            for name, received in verdicts_by_caller.items()
            if received == {"not run"} and run_counts[name]
        ),
        incomplete=sum(
            1
            for outcome in outcomes
            if outcome.status == 200 and not outcome.is_complete
        ),
        interrupted=sum(1 for run in runs if run["outcome"] == "cut off"),
        budget_violations=len(find_budget_violations(history, intended)),
    )


def find_budget_violations(
    history: Iterable[Mapping[str, Any]], intended: document.Document
) -> list[str]:
    """Return the commits after which planned stops leave a pool below its budget.

    A VM counts as stopped unless its row is in the state ``up``. Unplanned losses
    aren't recorded in the rows; the tests of the fleet's runner cover them.
    """
    pools = {pool.name: pool for pool in intended.pools}
    rows: dict[str, Mapping[str, Any]] = {}
    violations = []
    for commit in history:
        changed = set()
        for key, value in commit["writes"]:
            if key.startswith("vm/") and value is not None:
                rows[key] = value
                changed.add(value["pool"])
        for name in changed & pools.keys():
            members = [row for row in rows.values() if row["pool"] == name]
            up = sum(1 for row in members if row["state"] == "up")
            required = budget.required(pools[name])
            if up < required and up < len(members):
                violations.append(f"revision {commit['revision']}: {name} has {up} up")
    return violations


def measure_rollout(history: Iterable[Mapping[str, Any]]) -> float:
    """Return the seconds from the first planned stop to the last return."""
    first = last = 0.0
    for commit in history:
        for key, value in commit["writes"]:
            if key.startswith("vm/") and value is not None:
                if value["state"] != "up":
                    first = first or commit["time"]
                elif first:
                    last = commit["time"]
    return max(0.0, last - first)


def count_moves(history: Iterable[Mapping[str, Any]]) -> int:
    """Return how often a VM changed its pool after its first assignment."""
    pools: dict[str, str] = {}
    moves = 0
    for commit in history:
        for key, value in commit["writes"]:
            if key.startswith("vm/") and value is not None:
                moves += pools.get(key, value["pool"]) != value["pool"]
                pools[key] = value["pool"]
    return moves
