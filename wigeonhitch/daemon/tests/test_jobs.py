import contextlib
import itertools
import pathlib
import random
import signal
import time

import httpx
import pytest
import yaml

from standins.demo import process, site
from wigeonhitch.placement import view

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"
POOL = "batch-pairing"
ENDED = ("finished", "failed", "refused", "cancelled")
END_LIMIT_SECONDS = 60.0
LONG_JOB_SECONDS = 900.0  # for jobs that are cancelled before they end
URGENT = {"urgency": "urgent", "seconds": 1.0}

pytestmark = pytest.mark.processes


@pytest.fixture
def jobs(tmp_path):
    with contextlib.ExitStack() as stack:
        opened_site = site.open_site(stack, tmp_path, process.Ports(), EXAMPLE)
        opened_site.wait_until_serving()
        opened_site.submit(
            yaml.safe_load(EXAMPLE.read_text(encoding="utf-8")), 0, "first"
        )
        for name in opened_site.daemons:
            opened_site.wait_until_ready(name)
        yield Jobs(opened_site)


class Jobs:
    """Submits jobs at a site and records when each was submitted."""

    def __init__(self, opened_site):
        self.site = opened_site
        self.daemons = list(opened_site.daemons)
        self.turns = itertools.count()
        self.submitted = {}

    def submit(self, name, team="coffee", seconds=2.0, **fields):
        body = {"team": team, "id": name, "pool": POOL, "cores": 4.0, "memory": 8.0}
        body |= {"duration": seconds, "deadline": 600.0, "work": {"duration": seconds}}
        daemon = self.daemons[next(self.turns) % len(self.daemons)]
        self.submitted[f"{team}/{name}"] = time.time()
        answer = self.site.request("POST", "/jobs", body | fields, daemon=daemon)
        assert answer.status_code == 202, answer.text

    def show(self, name):
        answer = self.site.request("GET", f"/jobs/{name}", daemon=self.daemons[0])
        return answer.json()

    def list_states(self):
        answer = self.site.request("GET", "/jobs", daemon=self.daemons[0])
        listed = answer.json().get("jobs", ())
        return {f"{job['team']}/{job['id']}": job["state"] for job in listed}

    def wait(self, names, states=ENDED, limit=END_LIMIT_SECONDS):
        """Wait until all named jobs have one of the states; return their states."""
        deadline = time.monotonic() + limit
        while True:
            found_states = {name: self.list_states().get(name) for name in names}
            if all(state in states for state in found_states.values()):
                return found_states
            assert time.monotonic() < deadline, found_states
            time.sleep(0.2)

    def read_log(self):
        answer = httpx.get(f"{self.site.platform_url}/tasks/log", trust_env=False)
        return answer.json()

    def check_ran_once(self, names):
        """Assert that every job finished in its first attempt, which ran once."""
        assert set(self.wait(names).values()) == {"finished"}
        ran = sorted(run["task"] for run in self.read_log())
        assert ran == sorted(f"{name}/1" for name in names)
        assert {run["state"] for run in self.read_log()} == {"finished"}

    def find_holder(self):
        key = f"duty/{view.duty_name(view.find_shard(POOL))}"
        url = f"{self.site.platform_url}/table/read"
        answer = httpx.post(url, json={"keys": [key]}, trust_env=False)
        return answer.json()["rows"][0][1]["holder"]


def test_jobs_of_several_teams_submitted_at_any_daemon_run_once(jobs):
    rng = random.Random(5)
    pools = [pool.name for pool in jobs.site.intended.pools]
    for number in range(24):
        team = rng.choice(("coffee", "cardamom", "textile"))
        jobs.submit(f"j{number}", team, pool=rng.choice(pools))
    jobs.check_ran_once(jobs.submitted)


def test_a_job_larger_than_any_worker_is_refused_and_blocks_no_other(jobs):
    jobs.submit("impossible", cores=33.0)
    jobs.submit("possible")
    ended_states = jobs.wait(jobs.submitted)
    assert ended_states == {
        "coffee/impossible": "refused",
        "coffee/possible": "finished",
    }
    assert "33" in jobs.show("coffee/impossible")["reason"]
    assert [run["task"] for run in jobs.read_log()] == ["coffee/possible/1"]


def test_urgent_jobs_start_while_a_wave_drains_workers(jobs):
    rng = random.Random(6)
    wave = jobs.site.intended.waves[0].name
    jobs.site.request("POST", f"/waves/{wave}/start").raise_for_status()
    deadline = time.monotonic() + END_LIMIT_SECONDS
    urgent = []
    done = 0
    for number in itertools.count():
        jobs.submit(f"bulk{number}", "month-end", seconds=6.0, cores=16.0)
        jobs.submit(f"urgent{number}", rng.choice(("coffee", "textile")), **URGENT)
        urgent.append(list(jobs.submitted)[-1])
        done = jobs.site.request("GET", f"/waves/{wave}").json().get("done", 0)
        if (done >= 10 and number >= 40) or time.monotonic() > deadline:
            break
        time.sleep(0.4)
    assert done >= 10
    assert set(jobs.wait(urgent).values()) == {"finished"}
    log = {run["task"]: run for run in jobs.read_log()}
    waits = sorted(log[f"{n}/1"]["started"] - jobs.submitted[n] for n in urgent)
    text = f"p50 {waits[len(waits) // 2]:.2f} s, longest {waits[-1]:.2f} s"
    print(f"{len(waits)} urgent jobs, {done} workers rebooted: {text} to start")


def test_tasks_and_starts_in_flight_survive_the_loss_of_their_shard_holder(jobs):
    for number in range(6):
        jobs.submit(f"running{number}", seconds=25.0)
    jobs.wait(jobs.submitted, ("running",))
    jobs.site.switch(late={"prefix": "/tasks", "next": 20, "seconds": 20.0})
    for number in range(3):
        jobs.submit(f"starting{number}", "textile")
    starting = [name for name in jobs.submitted if "starting" in name]
    jobs.wait(starting, ("starting",))
    holder = jobs.find_holder()
    jobs.site.children[holder].signal(signal.SIGKILL)
    killed = time.time()
    jobs.daemons.remove(holder)
    jobs.site.switch(late=None)
    jobs.check_ran_once(jobs.submitted)
    assert jobs.find_holder() != holder
    started_at = {run["task"]: run["started"] for run in jobs.read_log()}
    waits = [started_at[f"{name}/1"] - killed for name in starting]
    print(f"starts in flight began {max(waits):.1f} s after the kill at the latest")


def test_many_jobs_are_cancelled_at_once_and_free_their_quota(jobs):
    names = [f"many{number}" for number in range(150)]
    for name in names:
        jobs.submit(name, "cardamom", seconds=LONG_JOB_SECONDS)
    deadline = time.monotonic() + END_LIMIT_SECONDS
    while sum(s == "running" for s in jobs.list_states().values()) < 16:
        assert time.monotonic() < deadline
        time.sleep(0.2)
    path = "/jobs/cardamom/cancel"
    response = jobs.site.request(
        "POST", path, {"jobs": names}, daemon=jobs.daemons[1]
    ).json()
    assert set(response["jobs"].values()) == {"cancelled", "stopping"}
    cancelled = list(jobs.submitted)
    assert set(jobs.wait(cancelled).values()) == {"cancelled"}
    assert len(jobs.read_log()) == 16
    assert {run["state"] for run in jobs.read_log()} == {"stopped"}
    jobs.submit("after", "cardamom", cores=32.0)
    assert jobs.wait(["cardamom/after"]) == {"cardamom/after": "finished"}


def test_starts_survive_lost_answers_and_an_outage_of_the_platform(jobs):
    jobs.site.switch(lose={"prefix": "/tasks", "next": 8})
    for number in range(8):
        jobs.submit(f"j{number}", seconds=8.0)
    deadline = time.monotonic() + END_LIMIT_SECONDS
    while not jobs.read_log():
        assert time.monotonic() < deadline
        time.sleep(0.02)
    jobs.site.switch(down=True)
    time.sleep(6.0)
    jobs.site.switch(down=False, lose=None)
    jobs.check_ran_once(jobs.submitted)
