"""Causes of late jobs, from the daemons' log lines.

``python -m benchmarks.losses FILE...`` reads lines that hold a daemon's JSON,
with or without a prefix, and prints per reason the number of late jobs and their
total lateness, the largest first. A job has one reason: the first of `REASONS`
that held between its acceptance and its end. Jobs that never ended and refused
requests log no completion and are not counted.
"""

import collections
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import defopt

from wigeonhitch.command import story

__all__ = ["REASONS", "Loss", "explain", "read_lines", "read_time"]

MIN_WAIT_SECONDS = 0.3
"""A job counts as having waited from this time to its first start on: a start
takes about 30 ms where there is capacity."""

MIN_SPAN_SECONDS = 0.3
"""Shorter spans are ignored: a normal leader hand-over takes about 50 ms."""

STORE_UNREACHABLE = "leader's store unreachable"
NO_LEADER = "pool without a leader"
VM_LOST = "runs lost with a VM"
VMS_ARRIVING = "waited while VMs were arriving"
NO_VM_SENT = "waited and no VM was moved"
LATER_STEPS = "later steps waited or ran longer than estimated"
REASONS = (STORE_UNREACHABLE, NO_LEADER, VM_LOST, VMS_ARRIVING, NO_VM_SENT, LATER_STEPS)


class Loss(NamedTuple):
    """One late job: its pool, the reason and its lateness."""

    pool: str
    reason: str
    seconds_late: float


class _Span(NamedTuple):
    begin: float
    end: float

    def overlaps(self, other: "_Span") -> bool:
        return self.begin < other.end and other.begin < self.end


def read_lines(text: str) -> Iterator[dict[str, Any]]:
    """Yield the fields of the daemons' lines in a text; skip other lines."""
    for line in story.read_lines(text.splitlines()):
        if line.time:
            yield line.fields


def explain(lines: Iterable[dict[str, Any]]) -> list[Loss]:
    """Return the late jobs in daemons' log lines, each with its reason."""
    collected = list(lines)
    spans_by_reason = _collect_spans(collected)
    waits = {
        line["job"]: line["waited"]
        for line in collected
        if _has_change(line, "job started")
    }
    losses = []
    for line in collected:
        if not _has_change(line, "job complete") or line["took"] <= line["objective"]:
            continue
        end = read_time(line)
        span = _Span(end - line["took"], end)
        waited = waits.get(line["job"], 0.0)
        reason = _classify(spans_by_reason, line["pool"], span, waited)
        losses.append(Loss(line["pool"], reason, line["took"] - line["objective"]))
    return losses


def _classify(
    spans_by_reason: dict[tuple[str, str], list[_Span]],
    pool: str,
    span: _Span,
    waited: float,
) -> str:
    for reason in (STORE_UNREACHABLE, NO_LEADER, VM_LOST):
        if any(span.overlaps(held) for held in spans_by_reason[reason, pool]):
            return reason
    if waited < MIN_WAIT_SECONDS:
        return LATER_STEPS
    waiting = _Span(span.begin, span.begin + waited)
    arriving = any(
        waiting.overlaps(held) for held in spans_by_reason[VMS_ARRIVING, pool]
    )
    return VMS_ARRIVING if arriving else NO_VM_SENT


def _collect_spans(
    lines: list[dict[str, Any]],
) -> dict[tuple[str, str], list[_Span]]:
    """Return the time spans in which each reason held, by reason and pool."""
    spans_by_reason: dict[tuple[str, str], list[_Span]] = collections.defaultdict(list)
    leaders: dict[str, str] = {}
    opened_at: dict[tuple[str, str], float] = {}

    def close_span(reason: str, pool: str, now: float) -> None:
        span = _Span(opened_at.pop((reason, pool), now), now)
        if span.end - span.begin >= MIN_SPAN_SECONDS:
            spans_by_reason[reason, pool].append(span)

    for line in lines:
        pool, now, daemon = line.get("pool", ""), read_time(line), line.get("daemon")
        led_pools = [name for name, leader in leaders.items() if leader == daemon]
        if _has_change(line, "renewal of the lease lost"):
            opened_at.update({(STORE_UNREACHABLE, name): now for name in led_pools})
        elif _has_change(line, "renewal of the lease back"):
            for name in led_pools:
                close_span(STORE_UNREACHABLE, name, now)
        elif line["change"] in ("leadership given up", "leadership lapsed"):
            opened_at[NO_LEADER, pool] = now
        elif _has_change(line, "leadership claimed"):
            leaders[pool] = daemon
        elif _has_change(line, "start"):
            opened_at.update({(NO_LEADER, name): now for name in led_pools})
        elif _has_change(line, "pool loaded"):
            close_span(NO_LEADER, pool, now)
        elif _has_change(line, "leases lapsed"):
            spans_by_reason[VM_LOST, pool].append(_Span(now, now))
        elif _has_change(line, "move ordered"):
            opened_at.setdefault((VMS_ARRIVING, pool), now)
        elif _has_change(line, "VM joined"):
            close_span(VMS_ARRIVING, pool, now)
    return spans_by_reason


def _has_change(line: dict[str, Any], change: str) -> bool:
    return line["change"] == change


def read_time(line: dict[str, Any]) -> float:
    """Return the time of a line in seconds since midnight."""
    hours, minutes, seconds = line["time"].split(" ")[1].replace(",", ".").split(":")
    return 3600 * int(hours) + 60 * int(minutes) + float(seconds)


def main(*files: pathlib.Path) -> None:
    """Print the reasons for late jobs.

    Parameters
    ----------
    files : pathlib.Path
        Daemons' output.
    """
    counts: collections.Counter[str] = collections.Counter()
    seconds_late: collections.Counter[str] = collections.Counter()
    for file in files:
        for loss in explain(read_lines(file.read_text())):
            counts[loss.reason] += 1
            seconds_late[loss.reason] += loss.seconds_late
    for reason, seconds in seconds_late.most_common():
        print(f"{reason:48} {counts[reason]:5} jobs {seconds:8.1f} s late")


if __name__ == "__main__":
    defopt.run(main)
