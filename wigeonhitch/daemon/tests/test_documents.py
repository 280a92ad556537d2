"""Documents of racing operators, in force on daemons that fail."""

import contextlib
import copy
import signal
import threading
import time
from concurrent import futures

import httpx
import pytest
import yaml

from standins.demo import checks

IN_FORCE_LIMIT = 60.0  # seconds


@pytest.fixture(scope="module")
def site(open_site):
    return open_site(daemons=4, uses_relay=True)


def change_document(site, weight):
    """Return the document with another weight of its first team."""
    text = site.example.read_text(encoding="utf-8")
    changed = copy.deepcopy(yaml.safe_load(text))
    changed["teams"][0]["weight"] = weight
    return changed


def read_status(site, name):
    """Return a daemon's status, or None while it doesn't answer."""
    with contextlib.suppress(httpx.HTTPError):
        answer = site.request("GET", "/status", daemon=name, timeout=0.5)
        if answer.status_code == 200:
            return answer.json()
    return None


class Watch:
    """Samples readiness and version of every daemon in a thread."""

    def __init__(self, site):
        self.site = site
        self.samples = []
        self.stopped = threading.Event()
        self.threads = []

    def __enter__(self):
        for name in list(self.site.daemons):
            self.follow(name)
        return self

    def __exit__(self, *error):
        self.stopped.set()
        for one in self.threads:
            one.join()

    def follow(self, name):
        self.threads.append(threading.Thread(target=self.run, args=(name,)))
        self.threads[-1].start()

    def run(self, name):
        while not self.stopped.wait(0.1):
            shown = read_status(self.site, name)
            if shown is not None:
                self.samples.append(
                    checks.Sample(
                        time.time(), name, shown["ready"], shown["document_version"]
                    )
                )

    def wait_for(self, name, version, limit=IN_FORCE_LIMIT):
        """Wait until a daemon is ready at a version."""
        deadline = time.monotonic() + limit
        while not any(
            one.daemon == name and one.is_ready and one.version >= version
            for one in list(self.samples)
        ):
            assert time.monotonic() < deadline, (name, self.samples[-4:])
            time.sleep(0.05)

    def wait_for_unready(self, name, limit=IN_FORCE_LIMIT):
        """Wait until a daemon says that it isn't ready."""
        deadline = time.monotonic() + limit
        while not any(
            one.daemon == name and not one.is_ready for one in list(self.samples)
        ):
            assert time.monotonic() < deadline, (name, self.samples[-4:])
            time.sleep(0.05)


def propose(site, daemon, weight, base, name):
    body = {"submission": name, "base": base}
    body["document"] = change_document(site, weight)
    return site.request("POST", "/proposals", body, daemon=daemon)


def approve(site, daemon, name, content):
    path = f"/proposals/{name}/approve"
    return site.request("POST", path, {"hash": content}, "ben", daemon=daemon)


def read_version(site):
    return site.request("GET", "/document").json()["version"]


@pytest.mark.processes
def test_racing_operators_get_one_winner_and_a_named_conflict(site):
    base = read_version(site)
    first, second, *_ = site.daemons
    daemons = {"one": first, "two": second}
    with futures.ThreadPoolExecutor(2) as pool:
        proposals = {
            name: pool.submit(propose, site, daemons[name], weight, base, name)
            for name, weight in (("one", 3), ("two", 4))
        }
        answers = {name: one.result() for name, one in proposals.items()}
        approvals = {
            name: pool.submit(
                approve, site, daemons[name], name, one.json()["proposal"]["hash"]
            )
            for name, one in answers.items()
            if one.status_code == 202
        }
        answers |= {name: one.result() for name, one in approvals.items()}
    print({name: (one.status_code, one.text) for name, one in answers.items()})
    assert sorted(one.status_code for one in answers.values()) == [200, 409]
    (lost,) = [one for one in answers.values() if one.status_code == 409]
    assert str(base + 1) in lost.text
    assert read_version(site) == base + 1


@pytest.mark.processes
def test_version_comes_into_force_everywhere_and_never_goes_back(site):
    """One daemon is stopped, another cut off from the store, meanwhile."""
    base = read_version(site)
    _, stopped, cut, last = site.daemons
    with Watch(site) as watch:
        site.children[stopped].signal(signal.SIGSTOP)
        site.switch(cut=[cut])
        began = time.monotonic()
        site.submit(change_document(site, 5), base, "while-two-fail")
        for name in (last, cut):
            watch.wait_for(name, base + 1)
            print(f"{name}: in force after {time.monotonic() - began:.2f} s")
        site.children[stopped].signal(signal.SIGCONT)
        began = time.monotonic()
        watch.wait_for(stopped, base + 1)
        print(f"{stopped}: {time.monotonic() - began:.2f} s after it went on")
        site.switch(cut=[])
    assert checks.find_version_regressions(watch.samples) == []


@pytest.mark.processes
def test_daemon_that_can_tell_no_version_is_not_ready(site):
    """One daemon is cut off from the store and from all peers."""
    base = read_version(site)
    _, _, alone, last = site.daemons
    with Watch(site) as watch:
        site.switch(cut=[alone])
        site.isolate(alone, "cut")
        began = time.monotonic()
        watch.wait_for_unready(alone)
        print(f"{alone}: not ready {time.monotonic() - began:.1f} s after the cut")
        site.submit(change_document(site, 7), base, "while-one-is-alone")
        watch.wait_for(last, base + 1)
        site.switch(cut=[])
        site.isolate(alone, "open")
        watch.wait_for(alone, base + 1)
    assert checks.find_version_regressions(watch.samples) == []
    accepted = [one.time for one in watch.samples if one.version > base][0]
    late = [
        one
        for one in watch.samples
        if one.daemon == alone and one.is_ready and one.time > accepted
    ]
    assert all(one.version > base for one in late)


@pytest.mark.processes
def test_all_daemons_restarted_in_an_outage_do_not_go_back(site):
    base = read_version(site)
    site.submit(change_document(site, 6), base, "before-the-outage")
    site.switch(down=True)
    for name in list(site.daemons):
        site.children[name].signal(signal.SIGKILL)
        site.daemons.pop(name)
    for number in range(4):
        site.start_daemon(number, "b")
    site.wait_for_operators()
    with Watch(site) as watch:
        time.sleep(3.0)
        during = list(watch.samples)
        site.switch(down=False)
        began = time.monotonic()
        for name in site.daemons:
            watch.wait_for(name, base + 1)
        print(f"all ready {time.monotonic() - began:.1f} s after the outage")
    assert during
    assert not any(one.is_ready for one in during)
    older = [one for one in watch.samples if one.is_ready and one.version <= base]
    assert older == []
