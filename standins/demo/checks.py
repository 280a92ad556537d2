"""Checks of the callers' outcomes against the workers' logs.

Pure functions; each returns one line of text for every violation.
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
    """Drain of a VM: start, and request of the reboot (seconds since the epoch)."""

    vm: str
    started: float
    rebooted: float


class Sample(NamedTuple):
    """Readiness and active version of a daemon at a time in seconds."""

    time: float
    daemon: str
    is_ready: bool
    version: int


def find_wrong_answers(outcomes: Iterable[traffic.Outcome]) -> list[str]:
    """Find answers that are truncated or belong to another request."""
    violations = []
    for outcome in outcomes:
        if outcome.verdict != "ran" or outcome.status >= 500:
            continue
        echo, caller = outcome.answer.get("echo"), str(outcome.answer.get("caller", ""))
        is_own = caller == outcome.sent.name
        if outcome.reason == "kept answer of an earlier request":
            is_own = caller.rpartition("/")[0] == outcome.sent.request
        expected = outcome.sent.body
        if echo != expected or not is_own:
            violations.append(f"{outcome.sent.name}: got {dict(outcome.answer)}")
    return violations


def find_missing_verdicts(
    outcomes: Iterable[traffic.Outcome], killed_daemons: Collection[str] = ()
) -> list[str]:
    """Find answers without a verdict, and connections that a daemon broke.

    Parameters
    ----------
    outcomes : iterable of traffic.Outcome
    killed_daemons : collection of str
        Names of the daemons that were killed; their connections may break.
    """
    violations = []
    for outcome in outcomes:
        is_broken = (
            outcome.ended == traffic.BROKEN
            and outcome.sent.daemon not in killed_daemons
        )
        lacks_verdict = outcome.ended == traffic.ANSWERED and outcome.verdict not in (
            "ran",
            "not run",
            "may have run",
        )
        if is_broken or lacks_verdict:
            violations.append(
                f"{outcome.sent.name}: {outcome.ended} {outcome.status} "
                f"{outcome.verdict!r}"
            )
    return violations


def find_false_refusals(
    outcomes: Iterable[traffic.Outcome], runs: Iterable[Run]
) -> list[str]:
    """Find attempts that ran although their caller was told "not run"."""
    ran = {run["key"]: run for run in runs}
    return [
        f"{outcome.sent.name}: not run ({outcome.reason}), "
        f"yet ran on {ran[outcome.sent.name]}"
        for outcome in outcomes
        if outcome.verdict == "not run" and outcome.sent.name in ran
    ]


def find_duplicate_runs(
    outcomes: Iterable[traffic.Outcome], runs: Iterable[Run]
) -> list[str]:
    """Find non-idempotent requests that ran more than once."""
    posted = {
        outcome.sent.request for outcome in outcomes if outcome.sent.method == "POST"
    }
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
    """Find requests that a reboot interrupted."""
    return [
        f"{run['key']} cut off on {run['worker']}"
        for run in runs
        if run["outcome"] == "cut off"
    ]


def find_drains(history: Iterable[Mapping[str, Any]]) -> list[Drain]:
    """Return the drains in the platform's table history, in order."""
    started: dict[str, float] = {}
    drains = []
    for commit in history:
        for key, value in commit["writes"]:
            vm = key.removeprefix("vm/")
            if vm == key or value is None:
                continue
            if value["state"] == "draining":
                started.setdefault(vm, commit["time"])
            elif value["state"] == "rebooting" and vm in started:
                drains.append(Drain(vm, started.pop(vm), commit["time"]))
            elif value["state"] == "up":
                started.pop(vm, None)
    return drains


def find_late_starts(
    drains: Sequence[Drain], runs: Iterable[Run], max_delay: float
) -> tuple[float, list[str]]:
    """Return the largest delay of a start after its VM's drain began, and late starts.

    Parameters
    ----------
    drains : sequence of Drain
    runs : iterable of mapping
    max_delay : float
        Seconds after the beginning of a drain in which requests may still start.
    """
    latest = 0.0
    violations = []
    for run in runs:
        for drain in drains:
            if run["worker"] != drain.vm:
                continue
            delay = run["started"] - drain.started
            if 0 < delay < drain.rebooted - drain.started:
                latest = max(latest, delay)
                if delay > max_delay:
                    violations.append(f"{run['key']} on {drain.vm} {delay:.2f} s after")
    return latest, violations


def find_version_regressions(samples: Iterable[Sample]) -> list[str]:
    """Find ready daemons whose version is older than when they were ready before."""
    highest: dict[str, int] = {}
    violations = []
    for sample in sorted(samples):
        if sample.is_ready and sample.version < highest.get(sample.daemon, 0):
            violations.append(f"{sample.daemon} went back to {sample.version}")
        if sample.is_ready:
            highest[sample.daemon] = max(sample.version, highest.get(sample.daemon, 0))
    return violations
