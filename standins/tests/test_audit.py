import pathlib

import pytest

from standins.demo import audit, caller
from wigeonhitch.configuration import check

EXAMPLE = pathlib.Path(__file__).parents[2] / "examples" / "altiplano.yaml"


@pytest.fixture
def intended():
    return check.check_text(EXAMPLE.read_text(encoding="utf-8")).intended


def make_outcome(name="1", verdict="ran", keyed=True, status=200, is_complete=True):
    return caller.Outcome(name, "s", keyed, status, verdict, "", is_complete, 0.1)


def make_run(name="1", outcome="done"):
    return {"key": name, "outcome": outcome}


def make_commit(revision, *states):
    writes = [
        [f"vm/w{index}", {"pool": "order-lookup", "state": state}]
        for index, state in enumerate(states)
    ]
    return {"revision": revision, "time": float(revision), "writes": writes}


def test_run_without_violation_is_clean(intended):
    history = [make_commit(1, *["up"] * 6), make_commit(2, "draining", *["up"] * 5)]
    findings = audit.audit([make_outcome()], [make_run()], history, intended)
    assert findings.is_clean
    assert findings.answered == 1


@pytest.mark.parametrize(
    ("field", "outcomes", "runs"),
    [
        ("run_twice", [make_outcome()], [make_run(), make_run()]),
        (
            "not_run_but_ran",
            [make_outcome(verdict="not run", status=503)],
            [make_run()],
        ),
        ("incomplete", [make_outcome(is_complete=False)], [make_run()]),
        ("interrupted", [make_outcome()], [make_run(outcome="cut off")]),
    ],
)
def test_violation_is_found(field, outcomes, runs, intended):
    findings = audit.audit(outcomes, runs, [], intended)
    assert getattr(findings, field) == 1
    assert not findings.is_clean


def test_stop_below_budget_is_found(intended):
    history = [
        make_commit(1, *["up"] * 6),
        make_commit(2, "draining", "draining", *["up"] * 4),
    ]
    assert len(audit.find_budget_violations(history, intended)) == 1


def test_rollout_and_moves_are_read_from_the_history():
    moved = make_commit(9, "up")
    moved["writes"][0][1]["pool"] = "member-portal"
    history = [make_commit(1, "up"), make_commit(3, "draining"), make_commit(8, "up")]
    assert audit.measure_rollout(history) == 5.0
    assert audit.count_moves([*history, moved]) == 1
