"""Why jobs were late, from the daemons' own log lines.

``python -m benchmarks.losses FILE...`` reads lines that hold a daemon's JSON,
with or without a prefix, and prints the late jobs and the seconds by which they
were late for each reason, the largest first. A job has one reason: the first of
`REASONS` whose mark lies between its acceptance and its end. Jobs that never
ended, and refused requests, leave no such line and aren't counted.
"""

import collections
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import defopt

from wigeonhitch.command import story

__all__ = ["REASONS", "Loss", "explain", "read_lines", "read_time"]

WAITED_LEAST = 0.3
"""Seconds until a job's first start from which on it counts as having waited: a
start takes some 30 ms where there is room."""

HELD_LEAST = 0.3
"""Seconds for which a reason must have held: a hand-over takes some 50 ms."""

STORE_AWAY = "the leader's store away"
NO_LEADER = "pool without a leader"
VM_LOST = "runs lost with a VM"
VMS_COMING = "waited while VMs were on their way"
NO_VM_SENT = "waited and no VM was sent"
LATER = "later steps waited, or ran longer than thought"
REASONS = (STORE_AWAY, NO_LEADER, VM_LOST, VMS_COMING, NO_VM_SENT, LATER)


class Loss(NamedTuple):
    """One late job: its pool, why, and by how many seconds."""

    pool: str
    reason: str
    late: float


class _Span(NamedTuple):
    begin: float
    end: float

    def overlaps(self, other: "_Span") -> bool:
        return self.begin < other.end and other.begin < self.end


def read_lines(text: str) -> Iterator[dict[str, Any]]:
    """Yield the fields of the daemons' lines in a text, others left out."""
    for line in story.read_lines(text.splitlines()):
        if line.time:
            yield line.fields


def explain(lines: Iterable[dict[str, Any]]) -> list[Loss]:
    """Return the late jobs of some daemons' lines, each with its reason."""
    found = list(lines)
    marks = _collect_marks(found)
    waits = {one["job"]: one["waited"] for one in found if _is(one, "job started")}
    losses = []
    for one in found:
        if not _is(one, "job complete") or one["took"] <= one["objective"]:
            continue
        end = read_time(one)
        span = _Span(end - one["took"], end)
        waited = waits.get(one["job"], 0.0)
        reason = _find_reason(marks, one["pool"], span, waited)
        losses.append(Loss(one["pool"], reason, one["took"] - one["objective"]))
    return losses


def _find_reason(
    marks: dict[tuple[str, str], list[_Span]], pool: str, span: _Span, waited: float
) -> str:
    for reason in (STORE_AWAY, NO_LEADER, VM_LOST):
        if any(span.overlaps(one) for one in marks[reason, pool]):
            return reason
    if waited < WAITED_LEAST:
        return LATER
    waiting = _Span(span.begin, span.begin + waited)
    coming = any(waiting.overlaps(one) for one in marks[VMS_COMING, pool])
    return VMS_COMING if coming else NO_VM_SENT


def _collect_marks(
    found: list[dict[str, Any]],
) -> dict[tuple[str, str], list[_Span]]:
    """Return by reason and pool the spans in which it held."""
    marks: dict[tuple[str, str], list[_Span]] = collections.defaultdict(list)
    leaders: dict[str, str] = {}
    since: dict[tuple[str, str], float] = {}

    def end(reason: str, pool: str, now: float) -> None:
        span = _Span(since.pop((reason, pool), now), now)
        if span.end - span.begin >= HELD_LEAST:
            marks[reason, pool].append(span)

    for one in found:
        pool, now, daemon = one.get("pool", ""), read_time(one), one.get("daemon")
        led = [name for name, leader in leaders.items() if leader == daemon]
        if _is(one, "renewal of the lease lost"):
            since.update({(STORE_AWAY, name): now for name in led})
        elif _is(one, "renewal of the lease back"):
            for name in led:
                end(STORE_AWAY, name, now)
        elif one["change"] in ("leadership given up", "leadership lapsed"):
            since[NO_LEADER, pool] = now
        elif _is(one, "leadership claimed"):
            leaders[pool] = daemon
        elif _is(one, "start"):
            since.update({(NO_LEADER, name): now for name in led})
        elif _is(one, "pool loaded"):
            end(NO_LEADER, pool, now)
        elif _is(one, "leases lapsed"):
            marks[VM_LOST, pool].append(_Span(now, now))
        elif _is(one, "move ordered"):
            since.setdefault((VMS_COMING, pool), now)
        elif _is(one, "VM joined"):
            end(VMS_COMING, pool, now)
    return marks


def _is(line: dict[str, Any], what: str) -> bool:
    return line["change"] == what


def read_time(line: dict[str, Any]) -> float:
    """Return the seconds of the day of a line."""
    hours, minutes, seconds = line["time"].split(" ")[1].replace(",", ".").split(":")
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)


def main(*files: pathlib.Path) -> None:
    """Print why jobs were late.

    Parameters
    ----------
    files : pathlib.Path
        Daemons' output.
    """
    counts: collections.Counter[str] = collections.Counter()
    late: collections.Counter[str] = collections.Counter()
    for file in files:
        for loss in explain(read_lines(file.read_text())):
            counts[loss.reason] += 1
            late[loss.reason] += loss.late
    for reason, seconds in late.most_common():
        print(f"{reason:48} {counts[reason]:5} jobs {seconds:8.1f} s late")


if __name__ == "__main__":
    defopt.run(main)
