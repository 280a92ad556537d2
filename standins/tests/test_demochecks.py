"""Each check finds the violation that it is meant for, and no other."""

import pytest

from standins.demo import checks, traffic


def make_outcome(name="r/0", **fields):
    request, _, attempt = name.rpartition("/")
    sent = traffic.Attempt(request, int(attempt), "d1", "POST", "s")
    answer = {"echo": sent.body, "caller": name}
    defaults = {"status": 200, "verdict": "ran", "reason": "answered", "answer": answer}
    return traffic.Outcome(sent, traffic.ANSWERED, 0.0, 0.1, **{**defaults, **fields})


def make_run(key="r/0", worker="w1", started=1.0, outcome="done"):
    return {"key": key, "worker": worker, "started": started, "outcome": outcome}


REFUSED = {"verdict": "not run", "status": 503, "answer": {}}
KEPT = "kept answer of an earlier request"


def test_run_without_violation_passes():
    outcomes = [
        make_outcome(),
        make_outcome("r/1", reason=KEPT, answer=make_outcome().answer),
        make_outcome("q/0", **REFUSED),
    ]
    runs = [make_run()]
    assert checks.find_wrong_answers(outcomes) == []
    assert checks.find_missing_verdicts(outcomes) == []
    assert checks.find_false_refusals(outcomes, runs) == []
    assert checks.find_duplicate_runs(outcomes, runs) == []
    assert checks.find_interrupted_requests(runs) == []


@pytest.mark.parametrize(
    "answer",
    [
        {},
        {"echo": "body of q", "caller": "r/0"},
        {"echo": "body of r", "caller": "q/0"},
        {"echo": "body of", "caller": "r/0"},
    ],
)
def test_foreign_or_truncated_answer_is_found(answer):
    assert checks.find_wrong_answers([make_outcome(answer=answer)])
    assert checks.find_wrong_answers([make_outcome(answer=answer, reason=KEPT)])


def test_broken_connection_and_missing_verdict_are_found():
    broken = make_outcome()._replace(ended=traffic.BROKEN, verdict="")
    assert checks.find_missing_verdicts([broken])
    assert checks.find_missing_verdicts([broken], {"d1"}) == []
    assert checks.find_missing_verdicts([make_outcome(verdict="")])


def test_refused_attempt_that_ran_is_found():
    outcomes = [make_outcome(**REFUSED)]
    assert checks.find_false_refusals(outcomes, [make_run()])
    assert checks.find_false_refusals(outcomes, [make_run("r/1")]) == []


def test_duplicate_run_of_another_attempt_is_found():
    outcomes = [make_outcome(), make_outcome("r/1")]
    assert checks.find_duplicate_runs(outcomes, [make_run(), make_run("r/1", "w2")])


def test_late_start_and_interrupted_request_are_found():
    def make_commit(state, time):
        return {"time": time, "writes": [["vm/w1", {"state": state}]]}

    drains = checks.find_drains(
        [
            make_commit("up", 1.0),
            make_commit("draining", 5.0),
            make_commit("rebooting", 30.0),
        ]
    )
    assert drains == [checks.Drain("w1", 5.0, 30.0)]
    runs = [make_run(started=started) for started in (4.0, 6.0, 20.0, 40.0)]
    latest, late = checks.find_late_starts(drains, runs, max_delay=5.0)
    assert latest == 15.0
    assert len(late) == 1
    assert checks.find_interrupted_requests([make_run(outcome="cut off")])


def test_version_regression_of_ready_daemon_is_found():
    samples = [
        checks.Sample(time, "d1", is_ready, version)
        for time, is_ready, version in ((1.0, True, 3), (2.0, False, 0), (3.0, True, 2))
    ]
    assert checks.find_version_regressions(samples) == ["d1 went back to 2"]
    assert checks.find_version_regressions(samples[:2]) == []
