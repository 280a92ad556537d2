"""Planned stops of VMs under traffic of long requests, while daemons and links fail."""

import signal
import time

import httpx
import pytest

from standins.demo import checks, traffic

SERVICES = ("order-lookup", "invoice-pairing", "warehouse-receipts", "member-portal")
WAVE_POOLS = [*SERVICES, "batch-pairing"]
WORK = (0.05, 1.0, 4.0)

# Time after the start of a drain in which work may still start: two reads of the
# fleet signal and a few round trips, with a margin for a busy machine.
MAX_START_DELAY_SECONDS = 5.0
WAVE_LIMIT_SECONDS = 100.0


@pytest.fixture(scope="module")
def site(open_site):
    return open_site(daemons=5, uses_relay=True, vm_lag=1.0)


def read_wave(site):
    for name in site.daemons:
        try:
            answer = site.request("GET", "/waves/monthly", daemon=name)
        except httpx.HTTPError:
            continue
        if answer.status_code == 200:
            return answer.json()
    return {"done": 0, "status": "unknown", "waiting": []}


def wait_for_done(site, count, limit=WAVE_LIMIT_SECONDS):
    """Wait until the wave has done ``count`` VMs; return its description."""
    deadline = time.monotonic() + limit
    while (shown := read_wave(site))["done"] < count:
        assert time.monotonic() < deadline, shown
        time.sleep(0.3)
    return shown


@pytest.mark.processes
def test_no_planned_stop_cuts_a_request_off(site, open_traffic):
    """A wave, while daemons are stopped, killed and cut off in turn."""
    calls = open_traffic(site, seed=41)
    stopped, killed, cut, isolated, _ = site.daemons
    calls.start(20, traffic.Mix(SERVICES, WORK, abandon_after=10.0))
    calls.wait_for(20, lambda outcome: outcome.verdict == "ran")
    began = time.monotonic()
    assert site.request("POST", "/waves/monthly/start", {}).status_code == 200
    wait_for_done(site, 1)
    site.children[stopped].signal(signal.SIGSTOP)
    time.sleep(5.0)
    site.children[stopped].signal(signal.SIGCONT)
    site.switch(cut=[cut])
    site.isolate(isolated, "cut")
    wait_for_done(site, 5)
    site.isolate(cut, "frozen")
    time.sleep(8.0)
    site.isolate(cut, "open")
    site.isolate(isolated, "open")
    site.switch(cut=[])
    site.children[killed].signal(signal.SIGKILL)
    entry = f"entry-{list(site.daemons).index(killed)}"
    site.change_fleet(remove=entry)
    site.daemons.pop(killed)
    site.switch(down=True)
    time.sleep(4.0)
    site.switch(down=False)
    shown = wait_for_done(site, 9)
    outcomes = calls.stop()
    runs = site.read_logs()
    drains = checks.find_drains(site.read_history())
    latest, late = checks.find_late_starts(drains, runs, MAX_START_DELAY_SECONDS)
    print(f"{len(drains)} VMs stopped; last start {latest:.2f} s after a drain began")
    print(f"wave: {shown['done']} done in {time.monotonic() - began:.1f} s")
    assert len(drains) >= 9
    assert checks.find_interrupted_requests(runs) == []
    assert late == []
    assert checks.find_wrong_answers(outcomes) == []
    assert checks.find_false_refusals(outcomes, runs) == []
    assert checks.find_duplicate_runs(outcomes, runs) == []
    assert checks.find_missing_verdicts(outcomes, {killed}) == []
