"""Requests through real daemons, while workers, daemons and the store fail."""

import collections
import signal
import time

import pytest

from standins.demo import checks, traffic

SERVICES = ("order-lookup", "invoice-pairing", "warehouse-receipts")

# Time for which a daemon is stopped: longer than its right to send.
PAUSE_SECONDS = 6.0


@pytest.fixture(scope="module")
def site(open_site):
    return open_site()


def check(site, outcomes, excused=()):
    """Check the guarantees about requests against the workers' logs."""
    counts = collections.Counter(
        (outcome.ended, outcome.verdict, outcome.reason) for outcome in outcomes
    )
    print(*sorted(counts.items()), sep="\n")
    runs = site.read_logs()
    breaches = [
        *checks.find_wrong_answers(outcomes),
        *checks.find_missing_verdicts(outcomes, excused),
        *checks.find_false_refusals(outcomes, runs),
        *checks.find_duplicate_runs(outcomes, runs),
    ]
    assert breaches == []


class StageTimer:
    """Prints the duration of each stage of a scenario."""

    def __init__(self):
        self.started_at = time.monotonic()

    def print_stage(self, stage):
        print(f"{stage}: {time.monotonic() - self.started_at:.1f} s")
        self.started_at = time.monotonic()


def has_reason(reason):
    return lambda outcome: outcome.reason == reason


def has_run(outcome):
    return outcome.verdict == "ran"


@pytest.mark.processes
def test_each_caller_gets_the_whole_answer_to_its_own_request(site, open_traffic):
    calls = open_traffic(site, seed=11)
    late, slow, *_ = site.list_members(SERVICES[0])
    partial, *_ = site.list_members(SERVICES[1])
    site.switch_worker(late, late=0.15)
    site.switch_worker(slow, slow=4.0)
    site.switch_worker(partial, partial=True)
    calls.start(12, traffic.Mix(SERVICES, abandoned_share=0.15, max_requests=40))
    outcomes = calls.finish()
    for vm in (late, slow, partial):
        site.switch_worker(vm)
    check(site, outcomes)
    assert sum(map(has_run, outcomes)) > 200
    assert any(outcome.ended == traffic.ABANDONED for outcome in outcomes)
    assert any(outcome.verdict == "may have run" for outcome in outcomes)


def make_posts(site, label, count, work, deadline, keyed_every):
    """Return POST requests for one service, spread over all daemons."""
    names = list(site.daemons)
    return [
        traffic.Attempt(
            f"{label}-{index}",
            0,
            names[index % len(names)],
            "POST",
            SERVICES[0],
            work,
            key=f"key-{label}-{index}" if index % keyed_every == 0 else "",
            deadline=deadline,
        )
        for index in range(count)
    ]


@pytest.mark.processes
def test_not_run_means_no_run_while_workers_are_full_or_frozen(site, open_traffic):
    calls = open_traffic(site, seed=12)
    frozen, *_ = site.list_members(SERVICES[0])
    site.switch_worker(frozen, frozen=True)
    outcomes = calls.send_and_wait(make_posts(site, "12", 150, 1.0, 1.5, 4))
    site.switch_worker(frozen)
    check(site, outcomes)
    assert any(map(has_run, outcomes))
    assert any(outcome.verdict == "may have run" for outcome in outcomes)
    assert any(outcome.verdict == "not run" for outcome in outcomes)


@pytest.mark.processes
def test_daemon_stopped_between_claim_and_dispatch_sends_nothing(site, open_traffic):
    """Keyed requests are claimed and queued, then their daemon is stopped."""
    calls = open_traffic(site, seed=16)
    stopped, other, *_ = site.daemons
    fill = [
        attempt._replace(daemon=other)
        for attempt in make_posts(site, "16-fill", 48, 5.0, 8.0, 99)
    ]
    filling = calls.send(fill)
    time.sleep(1.0)
    began = time.time()
    queued = [
        attempt._replace(daemon=stopped, abandon_after=14.0)
        for attempt in make_posts(site, "16", 12, 0.05, 7.5, 1)
    ]
    waiting = calls.send(queued)
    time.sleep(1.0)
    site.children[stopped].signal(signal.SIGSTOP)
    claimed = [
        key
        for entry in site.read_history()
        for key, _ in entry["writes"]
        if entry["daemon"] == stopped
        and entry["time"] > began
        and key.startswith("claim/")
    ]
    repeats = [
        attempt._replace(attempt=1, daemon=other, abandon_after=0.0)
        for attempt in queued
    ]
    during = calls.send_and_wait(repeats)
    time.sleep(PAUSE_SECONDS)
    site.children[stopped].signal(signal.SIGCONT)
    outcomes = [future.result() for future in (*filling, *waiting)] + during
    after = calls.send_and_wait(attempt._replace(attempt=2) for attempt in repeats)
    check(site, outcomes + after)
    assert claimed
    assert not any(map(has_run, during))


@pytest.mark.processes
def test_same_key_at_all_daemons_at_once_runs_once(site, open_traffic):
    calls = open_traffic(site, seed=13)
    attempts = [
        traffic.Attempt(f"13-{index}", number, name, "POST", SERVICES[0], 0.05, key)
        for index in range(30)
        for number, name in enumerate(site.daemons)
        for key in (f"13-key-{index}",)
    ]
    outcomes = calls.send_and_wait(attempts)
    check(site, outcomes)
    assert sum(map(has_run, outcomes)) >= 30


@pytest.mark.processes
def test_verdicts_are_correct_while_the_store_fails(site, open_traffic):
    calls = open_traffic(site, seed=14)
    calls.start(9, traffic.Mix(SERVICES))
    calls.wait_for(40, has_run)
    commits = {"prefix": "/table/commit"}
    site.switch(lose=commits | {"every": 3})
    calls.wait_for(80, has_run)
    site.switch(lose=None, late=commits | {"every": 4, "seconds": 0.6})
    calls.wait_for(80, has_run)
    site.switch(late=None, down=True)
    calls.wait_for(10, has_reason("idempotency record cannot be written"))
    site.switch(down=False, hang=True)
    calls.wait_for(10, has_reason("idempotency record cannot be written"))
    site.switch(hang=False, slow=0.2)
    calls.wait_for(40, has_run)
    site.switch(slow=0)
    calls.wait_for(40, lambda outcome: has_run(outcome) and outcome.sent.key)
    check(site, calls.stop())


@pytest.mark.processes
def test_all_failures_in_one_run(site, open_traffic):
    calls = open_traffic(site, seed=15)
    names = list(site.daemons)
    timer = StageTimer()
    calls.start(9, traffic.Mix(SERVICES, abandon_after=0.7))
    calls.wait_for(40, has_run)
    timer.print_stage("quiet")
    site.switch(lose={"prefix": "/table/commit", "every": 4})
    site.children[names[1]].signal(signal.SIGSTOP)
    calls.wait_for(60, has_run)
    timer.print_stage("one stopped, answers of commits lost")
    site.switch(late={"prefix": "/table/commit", "every": 5, "seconds": 0.5})
    site.children[names[2]].signal(signal.SIGKILL)
    calls.wait_for(60, has_run)
    timer.print_stage("one killed, commits late")
    site.switch(down=True)
    time.sleep(PAUSE_SECONDS)
    timer.print_stage("platform down")
    site.children[names[1]].signal(signal.SIGCONT)
    time.sleep(1.0)
    site.switch(down=False, lose=None, late=None)
    calls.wait_for(
        5, lambda outcome: has_run(outcome) and outcome.sent.daemon == names[1]
    )
    timer.print_stage("the stopped one serves again")
    killed = site.daemons.pop(names[2])
    check(site, calls.stop(), excused={killed.name})
