"""Reasons for late jobs, from daemons' log lines."""

import json

import pytest

from benchmarks import losses


def format_line(seconds, change, **fields):
    time = f"2026-01-31 10:00:{seconds:06.3f}".replace(".", ",")
    fields = {"daemon": "d", "pool": "p", **fields}
    return " 1.0 d " + json.dumps({"time": time, "change": change, **fields})


def format_late_completion(ended_at=20.0, took=4.0):
    return format_line(ended_at, "job complete", job="j", took=took, objective=2.5)


CLAIM = format_line(1.0, "leadership claimed")


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (
            [
                format_line(17, "renewal of the lease lost", pool=""),
                format_line(19, "renewal of the lease back", pool=""),
            ],
            losses.STORE_UNREACHABLE,
        ),
        (
            [format_line(17, "leadership lapsed"), format_line(18, "pool loaded")],
            losses.NO_LEADER,
        ),
        (
            [format_line(17, "start", pool=""), format_line(18, "pool loaded")],
            losses.NO_LEADER,
        ),
        ([format_line(18, "leases lapsed")], losses.VM_LOST),
        (
            [
                format_line(16.5, "move ordered"),
                format_line(18, "VM joined"),
                format_line(18, "job started", job="j", waited=2.0),
            ],
            losses.VMS_ARRIVING,
        ),
        ([format_line(18, "job started", job="j", waited=2.0)], losses.NO_VM_SENT),
        ([format_line(16, "job started", job="j", waited=0.02)], losses.LATER_STEPS),
        (
            [format_line(17, "leadership given up"), format_line(17.05, "pool loaded")],
            losses.LATER_STEPS,
        ),
    ],
)
def test_late_job_gets_the_reason_that_held_while_it_was_open(lines, reason):
    text = "\n".join([CLAIM, *lines, format_late_completion()])

    (loss,) = losses.explain(losses.read_lines(text))

    assert loss == losses.Loss("p", reason, 1.5)


def test_jobs_in_time_and_other_text_are_ignored():
    text = "\n".join(
        ["a table {of figures}", CLAIM, format_late_completion(took=2.0), "{"]
    )

    assert losses.explain(losses.read_lines(text)) == []


def test_reason_before_the_job_or_in_another_pool_does_not_count():
    lines = [
        format_line(2.0, "leases lapsed"),
        format_line(18.0, "leases lapsed", pool="other"),
    ]
    text = "\n".join([CLAIM, *lines, format_late_completion()])

    (loss,) = losses.explain(losses.read_lines(text))

    assert loss.reason == losses.LATER_STEPS
