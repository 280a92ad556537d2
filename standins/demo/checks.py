"""Checkers of a run: what callers saw against what the workers truly ran.

Pure functions; each returns a line of text for every breach it finds.
"""

import collections
from collections.abc import Collection, Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from standins.demo import traffic

__all__ = [
    "Drain",
    "Sample",
    "find_interrupted_requests",
    "find_false_refusals",
    "find_drains",
    "find_late_starts",
    "find_version_regressions",
    "find_duplicate_runs",
    "find_missing_verdicts",
    "find_wrong_answers",
]

Run = Mapping[str, Any]


class Drain(NamedTuple):
    """A VM's row from ``draining`` until it asks for the reboot (epoch s)."""

    vm: str
    began: float
    rebooted: float


class Sample(NamedTuple):
    """Readiness and version in force of a daemon at a time (s)."""

    time: float
    daemon: str
    is_ready: bool
    version: int


def find_wrong_answers(outcomes: Iterable[traffic.Outcome]) -> list[str]:
    """Find answers that are not the whole answer to the caller's own request."""
    found = []
    for one in outcomes:
        if one.verdict != "ran" or one.status >= 500:
            continue
        echo, caller = one.answer.get("echo"), str(one.answer.get("caller", ""))
        is_own = caller == one.sent.name
        if one.reason == "kept answer of an earlier request":
            is_own = caller.rpartition("/")[0] == one.sent.request
        expected = one.sent.body
        if echo != expected or not is_own:
            found.append(f"{one.sent.name}: got {dict(one.answer)}")
    return found


def find_missing_verdicts(
    outcomes: Iterable[traffic.Outcome], excused: Collection[str] = ()
) -> list[str]:
    """Find answers without a verdict, and connections broken by a daemon.

    Parameters
    ----------
    outcomes : iterable of traffic.Outcome
    excused : collection of str
        Daemons that were killed.
    """
    found = []
    for one in outcomes:
        is_broken = one.ended == traffic.BROKEN and one.sent.daemon not in excused
        is_mute = one.ended == traffic.ANSWERED and one.verdict not in (
            "ran",
            "not run",
            "may have run",
        )
        if is_broken or is_mute:
            found.append(f"{one.sent.name}: {one.ended} {one.status} {one.verdict!r}")
    return found


def find_false_refusals(
    outcomes: Iterable[traffic.Outcome], runs: Iterable[Run]
) -> list[str]:
    """Find attempts that heard "not run" and ran."""
    ran = {run["key"]: run for run in runs}
    return [
        f"{one.sent.name}: not run ({one.reason}), yet ran on {ran[one.sent.name]}"
        for one in outcomes
        if one.verdict == "not run" and one.sent.name in ran
    ]


def find_duplicate_runs(
    outcomes: Iterable[traffic.Outcome], runs: Iterable[Run]
) -> list[str]:
    """Find requests that are not idempotent and ran more than once."""
    posted = {one.sent.request for one in outcomes if one.sent.method == "POST"}
    counts: dict[str, list[str]] = collections.defaultdict(list)
    for run in runs:
        request, _, attempt = run["key"].rpartition("/")
        counts[request].append(f"{attempt} on {run['worker']}")
    return [
        f"{request} ran {len(counts[request])} times: {counts[request]}"
        for request in sorted(posted)
        if len(counts[request]) > 1
    ]


def find_interrupted_requests(runs: Iterable[Run]) -> list[str]:
    """Find requests that a reboot cut off."""
    return [
        f"{run['key']} cut off on {run['worker']}"
        for run in runs
        if run["outcome"] == "cut off"
    ]


def find_drains(history: Iterable[Mapping[str, Any]]) -> list[Drain]:
    """Return the drains in the platform's table history, in order."""
    began: dict[str, float] = {}
    found = []
    for entry in history:
        for key, value in entry["writes"]:
            vm = key.removeprefix("vm/")
            if vm == key or value is None:
                continue
            if value["state"] == "draining":
                began.setdefault(vm, entry["time"])
            elif value["state"] == "rebooting" and vm in began:
                found.append(Drain(vm, began.pop(vm), entry["time"]))
            elif value["state"] == "up":
                began.pop(vm, None)
    return found


def find_late_starts(
    drains: Sequence[Drain], runs: Iterable[Run], limit: float
) -> tuple[float, list[str]]:
    """Return the latest start of work after a drain began, and those too late.

    Parameters
    ----------
    drains : sequence of Drain
    runs : iterable of mapping
    limit : float
        Seconds after the drain's beginning in which work may still start.
    """
    latest = 0.0
    found = []
    for run in runs:
        for drain in drains:
            if run["worker"] != drain.vm:
                continue
            after = run["started"] - drain.began
            if 0 < after < drain.rebooted - drain.began:
                latest = max(latest, after)
                if after > limit:
                    found.append(f"{run['key']} on {drain.vm} {after:.2f} s after")
    return latest, found


def find_version_regressions(samples: Iterable[Sample]) -> list[str]:
    """Find daemons that went back, and ready ones older than one seen ready."""
    highest: dict[str, int] = {}
    found = []
    for one in sorted(samples):
        if one.is_ready and one.version < highest.get(one.daemon, 0):
            found.append(f"{one.daemon} went back to {one.version}")
        if one.is_ready:
            highest[one.daemon] = max(one.version, highest.get(one.daemon, 0))
    return found
