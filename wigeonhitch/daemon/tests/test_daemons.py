"""Daemons are started, stopped and killed under traffic."""

import signal
import time

import pytest

from standins.demo import checks, traffic

SERVICES = ("order-lookup", "invoice-pairing", "member-portal")
TAKEOVER_LIMIT_SECONDS = 60.0
STOP_LIMIT_SECONDS = 10.0  # `daemon.stop_within` of the settings


@pytest.fixture(scope="module")
def site(open_site):
    return open_site()


def find_holders(site):
    """Return the holder of each duty, from the table's history."""
    holders = {}
    for entry in site.read_history():
        for key, value in entry["writes"]:
            if key.startswith("duty/"):
                holders[key] = value and value.get("holder")
    return holders


def wait_for_holder(site, duty):
    """Wait until a running daemon holds a duty, and return it."""
    deadline = time.monotonic() + TAKEOVER_LIMIT_SECONDS
    while (holder := find_holders(site).get(duty)) not in site.daemons:
        assert time.monotonic() < deadline, f"{duty} is held by {holder!r}"
        time.sleep(0.2)
    return holder


def check(site, outcomes, excused=()):
    runs = site.read_logs()
    breaches = [
        *checks.find_wrong_answers(outcomes),
        *checks.find_missing_verdicts(outcomes, excused),
        *checks.find_false_refusals(outcomes, runs),
        *checks.find_duplicate_runs(outcomes, runs),
    ]
    assert breaches == []


@pytest.mark.processes
def test_daemon_stopped_under_traffic_completes_its_requests(site, open_traffic):
    calls = open_traffic(site, seed=51)
    leaving = list(site.daemons)[0]
    calls.start(
        12,
        traffic.Mix(SERVICES, (0.01, 0.3, 2.0), abandoned_share=0.0, abandon_after=9.0),
    )
    calls.wait_for(40, lambda outcome: outcome.verdict == "ran")
    began = time.monotonic()
    child = site.children[leaving]
    child.signal(signal.SIGTERM)
    status = child.popen.wait(STOP_LIMIT_SECONDS * 3)
    took = time.monotonic() - began
    site.daemons.pop(leaving)
    outcomes = calls.stop()
    print(f"ended {took:.2f} s after SIGTERM with status {status}")
    refused = [
        outcome for outcome in outcomes if outcome.reason == "daemon is stopping"
    ]
    assert all(outcome.verdict == "not run" for outcome in refused)
    assert any(
        outcome.sent.daemon == leaving and outcome.took > 1.0 for outcome in outcomes
    )
    check(site, outcomes)
    assert status == 0


@pytest.mark.processes
def test_replacement_daemon_joins_and_duties_are_taken_over(site, open_traffic):
    calls = open_traffic(site, seed=52)
    calls.start(6, traffic.Mix(SERVICES, max_pause=0.2))
    killed = wait_for_holder(site, "duty/fleet")
    held = [key for key, holder in find_holders(site).items() if holder == killed]
    began = time.monotonic()
    site.children[killed].signal(signal.SIGKILL)
    number = int(killed.split("-")[1])
    site.daemons.pop(killed)
    joined = site.start_daemon(number, "b").name
    print(f"{joined} ready after {site.wait_until_ready(joined):.1f} s")
    calls.wait_for(
        3, lambda outcome: outcome.sent.daemon == joined and outcome.verdict == "ran"
    )
    while any(find_holders(site)[key] == killed for key in held):
        assert time.monotonic() - began < TAKEOVER_LIMIT_SECONDS, find_holders(site)
        time.sleep(0.2)
    print(f"{held} taken over after {time.monotonic() - began:.1f} s")
    assert held
    check(site, calls.stop(), {killed})
