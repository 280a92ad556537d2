"""Late writes, callers that leave, and counts: their checks, and a short seeded run."""

import random

import pytest

from standins.soak import audit, caller, environment, latewrite, main, store, vmfleet

pytestmark = pytest.mark.anyio

QUEUE = environment.QUEUES[0]


def make_job(id="00000000000000aa", **fields):
    job = caller.SubmittedJob(id, QUEUE, {"spec": "", "steps": [{"count": 1}]})
    for name, value in fields.items():
        setattr(job, name, value)
    return job


def make_count(pending, status=200):
    return latewrite.Count(20.0, "daemon-0", QUEUE.name, status, pending)


def make_blocked_jobs(accepted=1.0, **fields):
    return [
        make_job(f"{n:016x}", is_blocked=True, accepted=accepted, **fields)
        for n in range(4)
    ]


@pytest.mark.parametrize(
    ("count", "jobs", "expected"),
    [
        (make_count(1), make_blocked_jobs(), 1),
        (make_count(2), make_blocked_jobs(), 0),
        (make_count(1), make_blocked_jobs(accepted=16.0), 0),
        (make_count(1), make_blocked_jobs(cancel_sent=15.0), 0),
        (make_count(0, status=503), [], 1),
    ],
    ids=["low", "half", "recent", "cancelled", "unanswered"],
)
def test_too_low_count_is_found(count, jobs, expected):
    assert len(latewrite.check_counts([count], jobs)) == expected


def make_call(method, sent, status):
    return caller.Call(
        "daemon-0", sent, sent + 0.1, method, "00000000000000aa", status, None
    )


def test_job_that_is_accepted_or_shown_after_410_is_found():
    job = make_job(cancel_sent=4.0, cancelled=5.0, was_told_missing=True)
    early, late = make_call("GET", 4.5, 200), make_call("GET", 6.0, 200)

    assert latewrite.check_missing([early], [job]) == []
    assert len(latewrite.check_missing([early, late], [job])) == 1
    job.accepted = 3.0
    assert len(latewrite.check_missing([], [job])) == 1


def test_job_that_runs_on_after_410_is_found():
    """Guards against a check that leaves out jobs whose acceptance nobody was told."""
    job = make_job(cancel_sent=4.0, cancelled=5.0, was_told_missing=True)
    fleet = vmfleet.VmFleet(None, random.Random(1))
    observed = audit.Observations([job], [], [], fleet, {}, 10.0, 100.0)
    assert audit.check(observed) == []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(audit, "_list_running", lambda *args: [job.id])
        violations = audit.check(observed)

    assert any("still runs" in line for line in violations)


async def test_late_writes_are_applied_without_an_answer_if_their_condition_holds():
    writes = store.Store()
    item = {"table": "t", "part": "p", "key": "k"}
    body = {"if_rev": [{**item, "ver": 0}], "writes": [{**item, "value": "eA=="}]}
    rng = random.Random(1)
    rng.random = lambda: 0.0
    rng.uniform = lambda low, high: 0.05
    writes._late_rngs.append(rng)
    answers = [
        await writes.answer("/v1/rows-tx", {}, {**body, "remove": []}) for _ in range(2)
    ]
    writes._late_rngs.clear()
    assert [answer.status for answer in answers] == [0, 0]
    assert writes.rows.get("t", "p", "k") is None
    await writes.delay_writes(rng, 0.0)

    assert (writes.rows.get("t", "p", "k"), writes.rows.version) == (b"x", 1)


@pytest.mark.processes
async def test_short_run_with_late_writes_has_no_violation(tmp_path):
    """Guards against old counts and against jobs that run after 410."""
    options = main.Options(seconds=8.0, late=True)
    result = await main.run_seed(1, tmp_path, options)

    assert result.violations == []
    kinds = [span.kind for span in result.spans]
    assert kinds.count(latewrite.KIND) == latewrite.SPANS + 1
    assert result.starts > 20
