"""Documents of concurrent operators come into force while daemons fail."""

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

IN_FORCE_LIMIT_SECONDS = 60.0


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


class StatusSampler:
    """Samples readiness and version of every daemon in a thread."""

    def __init__(self, site):
        self.site = site
        self.samples = []
        self.stopped = threading.Event()
        self.threads = []

    def __enter__(self):
        for name in list(self.site.daemons):
            self.start_thread(name)
        return self

    def __exit__(self, *error):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def start_thread(self, name):
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

    def wait_for(self, name, version, limit=IN_FORCE_LIMIT_SECONDS):
        """Wait until a daemon is ready at a version."""
        deadline = time.monotonic() + limit
        while not any(
            sample.daemon == name and sample.is_ready and sample.version >= version
            for sample in list(self.samples)
        ):
            assert time.monotonic() < deadline, (name, self.samples[-4:])
            time.sleep(0.05)

    def wait_for_unready(self, name, limit=IN_FORCE_LIMIT_SECONDS):
        """Wait until a daemon reports that it isn't ready."""
        deadline = time.monotonic() + limit
        while not any(
            sample.daemon == name and not sample.is_ready
            for sample in list(self.samples)
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
def test_concurrent_operators_get_one_winner_and_a_conflict(site):
    base = read_version(site)
    first, second, *_ = site.daemons
    daemons = {"one": first, "two": second}
    with futures.ThreadPoolExecutor(2) as pool:
        proposals = {
            name: pool.submit(propose, site, daemons[name], weight, base, name)
            for name, weight in (("one", 3), ("two", 4))
        }
        answers = {name: future.result() for name, future in proposals.items()}
        approvals = {
            name: pool.submit(
                approve, site, daemons[name], name, answer.json()["proposal"]["hash"]
            )
            for name, answer in answers.items()
            if answer.status_code == 202
        }
        answers |= {name: future.result() for name, future in approvals.items()}
    print({name: (answer.status_code, answer.text) for name, answer in answers.items()})
    assert sorted(answer.status_code for answer in answers.values()) == [200, 409]
    (lost,) = [answer for answer in answers.values() if answer.status_code == 409]
    assert str(base + 1) in lost.text
    assert read_version(site) == base + 1


@pytest.mark.processes
def test_version_comes_into_force_everywhere_and_never_reverts(site):
    """Meanwhile one daemon is stopped and another is cut off from the store."""
    base = read_version(site)
    _, stopped, cut, last = site.daemons
    with StatusSampler(site) as sampler:
        site.children[stopped].signal(signal.SIGSTOP)
        site.switch(cut=[cut])
        began = time.monotonic()
        site.submit(change_document(site, 5), base, "while-two-fail")
        for name in (last, cut):
            sampler.wait_for(name, base + 1)
            print(f"{name}: in force after {time.monotonic() - began:.2f} s")
        site.children[stopped].signal(signal.SIGCONT)
        began = time.monotonic()
        sampler.wait_for(stopped, base + 1)
        print(f"{stopped}: {time.monotonic() - began:.2f} s after it went on")
        site.switch(cut=[])
    assert checks.find_version_regressions(sampler.samples) == []


@pytest.mark.processes
def test_daemon_that_cannot_confirm_its_version_is_not_ready(site):
    """One daemon is cut off from the store and from all peers."""
    base = read_version(site)
    _, _, alone, last = site.daemons
    with StatusSampler(site) as sampler:
        site.switch(cut=[alone])
        site.isolate(alone, "cut")
        began = time.monotonic()
        sampler.wait_for_unready(alone)
        print(f"{alone}: not ready {time.monotonic() - began:.1f} s after the cut")
        site.submit(change_document(site, 7), base, "while-one-is-alone")
        sampler.wait_for(last, base + 1)
        site.switch(cut=[])
        site.isolate(alone, "open")
        sampler.wait_for(alone, base + 1)
    assert checks.find_version_regressions(sampler.samples) == []
    accepted = [sample.time for sample in sampler.samples if sample.version > base][0]
    late = [
        sample
        for sample in sampler.samples
        if sample.daemon == alone and sample.is_ready and sample.time > accepted
    ]
    assert all(sample.version > base for sample in late)


@pytest.mark.processes
def test_daemons_restarted_in_an_outage_do_not_revert(site):
    base = read_version(site)
    site.submit(change_document(site, 6), base, "before-the-outage")
    site.switch(down=True)
    for name in list(site.daemons):
        site.children[name].signal(signal.SIGKILL)
        site.daemons.pop(name)
    for number in range(4):
        site.start_daemon(number, "b")
    site.wait_for_operators()
    with StatusSampler(site) as sampler:
        time.sleep(3.0)
        during = list(sampler.samples)
        site.switch(down=False)
        began = time.monotonic()
        for name in site.daemons:
            sampler.wait_for(name, base + 1)
        print(f"all ready {time.monotonic() - began:.1f} s after the outage")
    assert during
    assert not any(sample.is_ready for sample in during)
    older = [
        sample
        for sample in sampler.samples
        if sample.is_ready and sample.version <= base
    ]
    assert older == []
