"""Tests of concurrent operators, and of commits that are lost or delayed.

Each version has exactly one submission, and no submission becomes two versions.
"""

import types

import hypothesis
import hypothesis.stateful
import pytest
from hypothesis import strategies

from standins import fake
from wigeonhitch.configuration import (
    acceptance,
    approval,
    check,
    document,
    proposal,
    store,
)

Status = acceptance.Status
STEPS = strategies.sampled_from([1, 2, 3, 4, 99, 99, 99])
OWNER = frozenset({"owner"})

BASE = check.check_plain(
    {
        "fleet": "small",
        "data_centres": [{"name": "a", "region": "r"}],
        "kinds": [{"name": "k", "cores": 1, "memory": 1}],
        "pools": [{"name": "p", "kind": "k", "size": 2, "must_be_up": {"number": 1}}],
        "services": [],
        "urgencies": [{"name": "urgent", "deadline": 1, "start_within": 1}],
        "approvals": [{"change": "weights", "approvals": 2, "roles": ["owner"]}],
    }
).intended


@types.coroutine
def suspend():
    """Suspend until the state machine takes the next step."""
    yield


class SteppingClient:
    """Platform client that suspends before each call."""

    def __init__(self, client):
        self.client = client

    def __getattr__(self, name):
        async def call(*arguments, **named):
            await suspend()
            return await getattr(self.client, name)(*arguments, **named)

        return call


async def skip_sleep(seconds):
    """Return at once."""


class RacingConsolesMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Operators submit, approve and reject concurrently through four daemons."""

    def __init__(self):
        super().__init__()
        self.platform = fake.Fake()
        self.stores = []
        for number in range(4):
            client = SteppingClient(self.platform.build_client(f"d{number}"))
            self.stores.append(store.Store(client, client, skip_sleep))
        self.calls_in_progress = []
        self.submissions = {}
        self.requests_per_submission = {}
        self.not_done_submissions = set()
        self.accepted_versions = {}
        self.version_rows = {}
        self.decided_proposals = {}
        self.given = {}
        self.version = 0
        first = store.Submission("s", 0, BASE._replace(approvals=()), "o0")
        assert self.run_to_end(0, first).version == 1
        rules = store.Submission("t", 1, BASE, "o0")
        assert self.run_to_end(0, rules).version == 2

    def run_to_end(self, console, submission):
        call = self.stores[console].submit(submission)
        while True:
            try:
                call.send(None)
            except StopIteration as stop:
                return stop.value

    def start_call(self, submission_id, call, steps):
        self.requests_per_submission[submission_id] = (
            self.requests_per_submission.get(submission_id, 0) + 1
        )
        self.calls_in_progress.append((submission_id, call))
        self.advance_call(len(self.calls_in_progress) - 1, steps)

    def advance_call(self, index, steps):
        submission_id, call = self.calls_in_progress[index]
        try:
            for _ in range(steps):
                call.send(None)
        except StopIteration as stop:
            self.calls_in_progress.pop(index)
            self.record_result(submission_id, stop.value)

    @hypothesis.stateful.precondition(lambda self: len(self.calls_in_progress) < 4)
    @hypothesis.stateful.rule(
        who=strategies.integers(0, 3),
        weight=strategies.sampled_from([1.0, 1.0, 2.0]),
        size=strategies.integers(2, 9),
        steps=STEPS,
        behind=strategies.sampled_from([0, 0, 0, 1]),
    )
    def submit(self, who, weight, size, behind, steps):
        base = max(self.version - behind, 0)
        pools = (BASE.pools[0]._replace(size=size),)
        weights = document.Weights(moves=weight)
        intended = BASE._replace(pools=pools, weights=weights)
        submission_id = f"s{len(self.submissions)}"
        submission = store.Submission(submission_id, base, intended, f"o{who}")
        self.submissions[submission_id] = submission
        self.start_call(submission_id, self.stores[who].submit(submission), steps)

    @hypothesis.stateful.precondition(
        lambda self: self.submissions and len(self.calls_in_progress) < 4
    )
    @hypothesis.stateful.rule(
        data=strategies.data(),
        steps=STEPS,
        who=strategies.integers(0, 3),
        action=strategies.sampled_from(
            ["again", "approve", "approve", "approve", "reject"]
        ),
    )
    def act_on_submission(self, data, who, action, steps):
        recent = list(self.submissions)[-3:]
        submission_id = data.draw(strategies.sampled_from(recent))
        submission = self.submissions[submission_id]
        if action == "again":
            call = self.stores[who].submit(submission)
        elif action == "approve":
            content_hash = store.canonical.hash_bytes(
                store.canonical.encode(submission.intended)
            )
            call = self.stores[who].approve(
                submission_id, f"o{who}", OWNER, content_hash
            )
        else:
            call = self.stores[who].reject(submission_id, f"o{who}", "no")
        self.start_call(submission_id, call, steps)

    @hypothesis.stateful.precondition(lambda self: self.calls_in_progress)
    @hypothesis.stateful.rule(data=strategies.data(), steps=STEPS)
    def step(self, data, steps):
        self.advance_call(
            data.draw(strategies.integers(0, len(self.calls_in_progress) - 1)), steps
        )

    def record_result(self, submission_id, result):
        if result.status is Status.ACCEPTED:
            self.accepted_versions[submission_id] = result.version
        if result.status in (Status.STORE_DOWN, Status.CONFLICT):
            self.not_done_submissions.add(submission_id)

    @hypothesis.stateful.rule(
        switches=strategies.sampled_from(
            [
                {"down": True, "lose": None, "late": None},
                {"down": False},
                {"down": False},
                {"down": False},
                {"lose": {"prefix": "/table/commit", "next": 1}},
                {"lose": {"prefix": "/table", "next": 40}},
                {"lose": None, "late": None},
                {"late": {"prefix": "/table/commit", "next": 2, "seconds": 5.0}},
            ]
        )
    )
    def stress_store(self, switches):
        self.platform.switch(**switches)

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([1.0, 10.0]))
    def advance(self, seconds):
        self.platform.advance(seconds)

    def rows(self, prefix):
        rows = self.platform.engine.store
        return read_rows(rows, prefix)

    @hypothesis.stateful.invariant()
    def check_one_submission_per_version(self):
        rows_by_key = self.rows("configuration/version/")
        numbers = sorted(value["version"] for value in rows_by_key.values())
        assert numbers == list(range(1, len(numbers) + 1))
        winners = [value["submission"] for value in rows_by_key.values()]
        assert len(set(winners)) == len(winners), "a submission became two versions"
        for key, value in self.version_rows.items():
            assert rows_by_key[key] == value, "an accepted version changed"
        self.version_rows = rows_by_key
        current = self.rows(proposal.CURRENT).get(proposal.CURRENT, {"version": 0})
        assert current["version"] == len(numbers) >= self.version, "went back"
        self.version = current["version"]

    @hypothesis.stateful.invariant()
    def check_results_match_store(self):
        rows_by_key = self.rows("configuration/version/")
        by_submission = {v["submission"]: v["version"] for v in rows_by_key.values()}
        for submission_id, version in self.accepted_versions.items():
            assert by_submission[submission_id] == version
        for submission_id in self.not_done_submissions:
            if self.requests_per_submission[submission_id] == 1:
                assert submission_id not in by_submission, "said not done, but was"

    @hypothesis.stateful.invariant()
    def check_approvals_are_kept_and_sufficient(self):
        for key, value in self.rows(proposal.PROPOSALS).items():
            assert self.decided_proposals.get(key, value) == value, "a decision changed"
            if value["state"] != "waiting":
                self.decided_proposals[key] = value
            given = {entry["operator"] for entry in value["given"]}
            assert given >= self.given.get(key, set()), "an approval vanished"
            self.given[key] = given
            if value["state"] == "accepted":
                for need in value["needs"]:
                    assert len(given - {value["author"]}) >= need["approvals"]

    def teardown(self):
        for _, call in self.calls_in_progress:
            call.close()


def read_rows(rows, prefix):
    """Return the existing rows under a prefix, read without a client."""
    return {
        row.key: dict(row.value)
        for row in rows.scan(prefix, 0)
        if row.value is not None
    }


def test_racing_operators():
    hypothesis.stateful.run_state_machine_as_test(
        RacingConsolesMachine,
        settings=hypothesis.settings(
            max_examples=200,
            stateful_step_count=60,
        ),
    )


@pytest.fixture
def consoles():
    """Two stores on one platform, with a waiting submission by o0."""
    platform = fake.Fake()
    stores = []
    for name in ("d0", "d1"):
        client = SteppingClient(platform.build_client(name))
        stores.append(store.Store(client, client, skip_sleep))
    submit(stores[0], "first", 0, BASE._replace(approvals=()))
    submit(stores[0], "rules", 1, BASE)
    submit(stores[0], "s", 2)
    return stores


CHANGED = BASE._replace(weights=document.Weights(moves=2.0))
CONTENT = store.canonical.hash_bytes(store.canonical.encode(CHANGED))


def submit(console, submission_id, base, intended=CHANGED):
    return run_call(
        console.submit(store.Submission(submission_id, base, intended, "o0"))
    )


def run_call(call, steps=None):
    """Run a call to its end, or for a number of steps."""
    try:
        while steps != 0:
            call.send(None)
            steps = None if steps is None else steps - 1
    except StopIteration as stop:
        return stop.value
    return call


def approve(console, who):
    return console.approve("s", who, OWNER, CONTENT)


def test_concurrent_approvals_are_both_kept(consoles):
    suspended_call = run_call(approve(consoles[0], "o1"), 2)
    assert run_call(approve(consoles[1], "o2")).status is Status.WAITING
    assert run_call(suspended_call).status is Status.ACCEPTED


def test_rejection_wins_over_a_concurrent_approval(consoles):
    run_call(approve(consoles[1], "o1"))
    suspended_call = run_call(approve(consoles[0], "o2"), 2)
    assert run_call(consoles[1].reject("s", "o3", "no")).status is Status.REJECTED
    assert run_call(suspended_call).status is Status.REJECTED
    assert run_call(consoles[0].read_document()).version == 2


def test_acceptance_wins_over_a_concurrent_rejection(consoles):
    run_call(approve(consoles[1], "o1"))
    suspended_call = run_call(consoles[0].reject("s", "o3", "no"), 2)
    assert run_call(approve(consoles[1], "o2")).version == 3
    assert run_call(suspended_call).status is Status.ACCEPTED


def test_retried_submission_does_not_undo_a_rejection(consoles):
    submission = store.Submission("u", 2, CHANGED, "o0")
    suspended_call = run_call(consoles[0].submit(submission), 3)
    assert submit(consoles[1], "u", 2).status is Status.WAITING
    run_call(consoles[1].reject("u", "o3", "no"))
    assert run_call(suspended_call).status is Status.REJECTED


def test_approvals_count_per_content_base_and_operator():
    need = approval.Need("any", 2, ("owner", "auditor"))
    valid_approval = approval.Given("ben", ("owner",), "h", 1)

    def count(*given):
        return approval.count_approvals(need, given, "ana", "h", 1)

    assert count(valid_approval, valid_approval._replace(operator="eva")) == 2
    for other in (
        valid_approval,
        valid_approval._replace(operator="ana"),
        valid_approval._replace(operator="eva", hash="other"),
        valid_approval._replace(operator="eva", base=2),
        valid_approval._replace(operator="eva", roles=("clerk",)),
    ):
        assert count(valid_approval, other) == 1


def test_change_of_rules_is_checked_against_the_rules_in_force():
    loose = BASE._replace(approvals=())
    strict = BASE._replace(approvals=(document.Approval("approvals", 1, ("owner",)),))
    assert approval.find_needs(strict, loose)
    assert not approval.find_needs(loose, strict)
    assert not approval.find_needs(None, loose)
    assert approval.find_needs(None, strict)
