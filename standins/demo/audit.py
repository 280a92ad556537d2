"""Checks of a finished run against the ground truth.

The truth is what the workers logged and what the platform's table recorded;
nothing that a daemon says of itself counts.
"""

import collections
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from standins.demo import caller
from wigeonhitch.configuration import document
from wigeonhitch.fleet import budget

__all__ = ["Findings", "audit", "find_broken_budgets", "measure_rollout"]


class Findings(NamedTuple):
    """Counts; every one from ``run_twice`` on must be 0.

    Parameters
    ----------
    answered, refused, uncertain : int
        Callers who got a worker's answer, "not run", and "may have run".
    unanswered : int
        Callers who got no answer of a daemon at all.
    run_twice : int
        Keyed requests that ran more than once.
    not_run_but_ran : int
        Requests whose every sender was told "not run" and that ran.
    not_whole : int
        Answers that were not the whole answer to the caller's own request.
    cut_off : int
        Requests in progress that a planned stop cut off.
    broken_budgets : int
        Commits of planned stops that left a pool under its budget.
    """

    answered: int
    refused: int
    uncertain: int
    unanswered: int
    run_twice: int
    not_run_but_ran: int
    not_whole: int
    cut_off: int
    broken_budgets: int

    @property
    def is_clean(self) -> bool:
        """Whether nothing happened that must never happen."""
        return not any(self[4:])


def audit(
    outcomes: Sequence[caller.Outcome],
    runs: Sequence[Mapping[str, Any]],
    history: Sequence[Mapping[str, Any]],
    intended: document.Document,
) -> Findings:
    """Compare what callers were told with what truly happened."""
    verdicts = collections.Counter(one.verdict for one in outcomes)
    ran = collections.Counter(run["key"] for run in runs)
    keyed = {one.caller for one in outcomes if one.keyed}
    told: dict[str, set[str]] = collections.defaultdict(set)
    for one in outcomes:
        told[one.caller].add(one.verdict)
    return Findings(
        answered=verdicts["ran"],
        refused=verdicts["not run"],
        uncertain=verdicts["may have run"],
        unanswered=verdicts[""],
        run_twice=sum(1 for name in keyed if ran[name] > 1),
        not_run_but_ran=sum(
            1 for name, heard in told.items() if heard == {"not run"} and ran[name]
        ),
        not_whole=sum(1 for one in outcomes if one.status == 200 and not one.whole),
        cut_off=sum(1 for run in runs if run["outcome"] == "cut off"),
        broken_budgets=len(find_broken_budgets(history, intended)),
    )


def find_broken_budgets(
    history: Iterable[Mapping[str, Any]], intended: document.Document
) -> list[str]:
    """Return the commits after which planned stops leave a pool too small.

    A VM counts as stopped while its row says anything but ``up``. Unplanned
    losses are not in the rows; the runner's own tests count those.
    """
    pools = {pool.name: pool for pool in intended.pools}
    rows: dict[str, Mapping[str, Any]] = {}
    broken = []
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
                broken.append(f"revision {commit['revision']}: {name} has {up} up")
    return broken


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
