"""Reasons of lateness, from daemons' lines as they write them."""

import json

import pytest

from benchmarks import losses


def tell(seconds, what, **fields):
    time = f"2026-01-31 10:00:{seconds:06.3f}".replace(".", ",")
    fields = {"daemon": "d", "pool": "p", **fields}
    return " 1.0 d " + json.dumps({"time": time, "change": what, **fields})


def end_late(at=20.0, took=4.0):
    return tell(at, "job complete", job="j", took=took, objective=2.5)


CLAIM = tell(1.0, "leadership claimed")


@pytest.mark.parametrize(
    ("lines", "reason"),
    [
        (
            [
                tell(17, "renewal of the lease lost", pool=""),
                tell(19, "renewal of the lease back", pool=""),
            ],
            losses.STORE_AWAY,
        ),
        ([tell(17, "leadership lapsed"), tell(18, "pool loaded")], losses.NO_LEADER),
        ([tell(17, "start", pool=""), tell(18, "pool loaded")], losses.NO_LEADER),
        ([tell(18, "leases lapsed")], losses.VM_LOST),
        (
            [
                tell(16.5, "move ordered"),
                tell(18, "VM joined"),
                tell(18, "job started", job="j", waited=2.0),
            ],
            losses.VMS_COMING,
        ),
        ([tell(18, "job started", job="j", waited=2.0)], losses.NO_VM_SENT),
        ([tell(16, "job started", job="j", waited=0.02)], losses.LATER),
        (
            [tell(17, "leadership given up"), tell(17.05, "pool loaded")],
            losses.LATER,
        ),
    ],
)
def test_a_late_job_has_the_reason_that_held_meanwhile(lines, reason):
    text = "\n".join([CLAIM, *lines, end_late()])

    (loss,) = losses.explain(losses.read_lines(text))

    assert loss == losses.Loss("p", reason, 1.5)


def test_jobs_in_time_and_other_text_are_left_out():
    text = "\n".join(["a table {of figures}", CLAIM, end_late(took=2.0), "{"])

    assert losses.explain(losses.read_lines(text)) == []


def test_what_held_before_the_job_or_for_another_pool_is_no_reason():
    lines = [
        tell(2.0, "leases lapsed"),
        tell(18.0, "leases lapsed", pool="other"),
    ]
    text = "\n".join([CLAIM, *lines, end_late()])

    (loss,) = losses.explain(losses.read_lines(text))

    assert loss.reason == losses.LATER
