"""Tests of distribution over three daemons.

Versions never decrease and have the right content, and no ready daemon is stale.
"""

import random

import hypothesis
import hypothesis.stateful
import pytest
from hypothesis import strategies

from standins import fake
from wigeonhitch.configuration import (
    canonical,
    check,
    distribution,
    message,
    quorum,
    store,
    watcher,
)

Readiness = distribution.Readiness
LIMITS = distribution.Limits()
NAMES = ("a", "b", "c")


def make_document_data(number):
    """Return the canonical bytes of a valid document, different for each number."""
    plain = {
        "fleet": f"f{number}",
        "data_centres": [{"name": "a", "region": "r"}],
        "kinds": [{"name": "k", "cores": 1, "memory": 1}],
        "pools": [{"name": "p", "kind": "k", "size": 2, "must_be_up": {"number": 1}}],
        "services": [],
        "urgencies": [{"name": "urgent", "deadline": 1, "start_within": 1}],
    }
    return canonical.encode(check.check_plain(plain).intended)


DATA = {n: make_document_data(n) for n in range(1, 30)}
HASHES = {n: canonical.hash_bytes(data) for n, data in DATA.items()}
OBJECTS = {HASHES[n]: data for n, data in DATA.items()}


class SimulatedNet:
    """A store, three daemons, and the actions in flight between them."""

    def __init__(self):
        self.now = 100.0
        self.accepted = [0.0]
        self.store_up = True
        self.without_store = set()
        self.partitioned = set()
        self.cores = {}
        self.in_flight = []
        self.stale_since = {}
        for name in NAMES:
            self.start(name)

    @property
    def version(self):
        return len(self.accepted) - 1

    def accept(self, name="c"):
        """Accept the next version through one daemon."""
        self.accepted.append(self.now)
        version = self.version
        tell = message.Tell(version, HASHES[version])
        self.deliver(name, message.Received("", tell))
        self.deliver(name, message.Fetched(HASHES[version], DATA[version]))

    def is_stale(self, name):
        """Return whether a newer version is reachable, or exists beyond a partition."""
        version = self.cores[name].version
        if name in self.partitioned or (
            self.store_up and name not in self.without_store
        ):
            return version < self.version
        reachable = [
            core.version for n, core in self.cores.items() if n not in self.partitioned
        ]
        return version < max(reachable)

    def record_staleness(self):
        for name in NAMES:
            if self.is_stale(name):
                self.stale_since.setdefault(name, self.now)
            else:
                self.stale_since.pop(name, None)

    def start(self, name):
        self.in_flight = [entry for entry in self.in_flight if entry[0] != name]
        core = distribution.Distribution(LIMITS, random.Random(name))
        peers = tuple(other for other in NAMES if other != name)
        core.handle(message.PeersChanged(peers), self.now)
        self.cores[name] = core

    def tick(self, name):
        self.deliver(name, message.Tick())

    def deliver(self, name, event):
        for action in self.cores[name].handle(event, self.now):
            self.in_flight.append((name, action, self.now))

    def complete_action(self, index, lost=False):
        name, action, started = self.in_flight.pop(index)
        store_reachable = (
            self.store_up
            and not lost
            and name not in self.without_store | self.partitioned
        )
        match action:
            case message.Poll():
                signal = self.version if store_reachable else None
                self.deliver(name, message.Polled(started, signal))
            case message.ReadCurrent():
                version = self.version if store_reachable else None
                content_hash = HASHES.get(version, "")
                read = message.CurrentRead(started, self.version, version, content_hash)
                self.deliver(name, read)
            case message.FetchObject():
                data = OBJECTS.get(action.hash) if store_reachable else None
                self.deliver(name, message.Fetched(action.hash, data))
            case message.SendPeer():
                if not lost and not {name, action.peer} & self.partitioned:
                    self.deliver(action.peer, message.Received(name, action.message))

    def run_for(self, seconds):
        """Advance the clock, completing all actions at once and in order."""
        end = self.now + seconds
        while self.now < end:
            for name in NAMES:
                self.tick(name)
            completed = 0
            while self.in_flight:
                self.complete_action(0)
                completed += 1
                assert completed < 500, "daemons keep one another busy for ever"
            self.now += 0.5
            self.record_staleness()

    def readiness(self):
        return [core.readiness(self.now) for core in self.cores.values()]


class DistributionMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Messages are reordered, lost or delayed; daemons restart, pause, are cut off."""

    def __init__(self):
        super().__init__()
        self.net = SimulatedNet()
        self.highest_versions = dict.fromkeys(NAMES, 0)

    @hypothesis.stateful.rule(name=strategies.sampled_from(NAMES))
    def accept(self, name):
        store_reachable = (
            self.net.store_up
            and name not in self.net.without_store | self.net.partitioned
        )
        if store_reachable and self.net.version < max(DATA):
            self.net.accept(name)

    @hypothesis.stateful.rule(name=strategies.sampled_from(NAMES))
    def tick(self, name):
        self.net.tick(name)

    @hypothesis.stateful.precondition(lambda self: self.net.in_flight)
    @hypothesis.stateful.rule(data=strategies.data(), lost=strategies.booleans())
    def complete_action(self, data, lost):
        last = len(self.net.in_flight) - 1
        self.net.complete_action(data.draw(strategies.integers(0, last)), lost)

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([0.3, 1.0, 5.0, 30.0]))
    def pause_all(self, seconds):
        self.net.now += seconds

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([2.0, 8.0, 15.0]))
    def run_for(self, seconds):
        self.net.run_for(seconds)

    @hypothesis.stateful.rule()
    def switch_store(self):
        self.net.store_up = not self.net.store_up

    @hypothesis.stateful.rule(name=strategies.sampled_from(NAMES))
    def silence_store(self, name):
        self.net.without_store ^= {name}

    @hypothesis.stateful.rule(name=strategies.sampled_from([None, *NAMES]))
    def isolate_daemon(self, name):
        self.net.partitioned = {name} - {None}

    @hypothesis.stateful.rule(names=strategies.sampled_from([NAMES, *NAMES]))
    def restart(self, names):
        for name in names:
            self.net.start(name)
            self.highest_versions[name] = 0

    @hypothesis.stateful.invariant()
    def check_versions_never_decrease_and_match(self):
        for name, core in self.net.cores.items():
            assert core.version >= self.highest_versions[name], "a daemon went back"
            assert core.version <= self.net.version
            self.highest_versions[name] = core.version
            if core.version:
                assert core.data == DATA[core.version], "content is not the hash's"

    @hypothesis.stateful.invariant()
    def check_ready_daemons_are_not_stale(self):
        self.net.record_staleness()
        for name, since in self.net.stale_since.items():
            if self.net.now - since > 2 * LIMITS.max_staleness:
                readiness = self.net.cores[name].readiness(self.net.now)
                assert readiness is not Readiness.READY, f"{name} serves an old version"


def test_versions_under_faults():
    hypothesis.stateful.run_state_machine_as_test(
        DistributionMachine,
        settings=hypothesis.settings(
            max_examples=300,
            stateful_step_count=50,
        ),
    )


@pytest.fixture
def net():
    """Three daemons with version 1 in force."""
    net = SimulatedNet()
    net.accept()
    net.run_for(3.0)
    assert net.readiness() == [Readiness.READY] * 3
    return net


def versions(net):
    return [core.version for core in net.cores.values()]


def test_connected_daemons_stay_ready_in_a_store_outage(net):
    net.store_up = False
    net.run_for(60.0)
    assert net.readiness() == [Readiness.READY] * 3


def test_daemon_started_in_an_outage_gets_the_version_from_peers(net):
    net.store_up = False
    net.run_for(20.0)
    net.start("a")
    assert net.cores["a"].readiness(net.now) is Readiness.STARTING
    net.run_for(5.0)
    assert versions(net) == [1, 1, 1]
    assert net.readiness() == [Readiness.READY] * 3


def test_daemons_all_restarted_in_an_outage_are_not_ready_until_it_ends(net):
    net.store_up = False
    for name in NAMES:
        net.start(name)
    net.run_for(60.0)
    assert net.readiness() == [Readiness.STARTING] * 3
    net.store_up = True
    net.run_for(3.0)
    assert versions(net) == [1, 1, 1]


def test_partitioned_daemon_stops_serving_and_its_old_version_does_not_spread(net):
    net.partitioned = {"a"}
    net.run_for(7.0)
    assert net.cores["a"].readiness(net.now) is Readiness.CUT_OFF
    net.accept()
    net.run_for(3.0)
    net.store_up = False
    net.start("b")
    net.start("c")
    net.partitioned = set()
    net.run_for(30.0)
    assert Readiness.READY not in net.readiness()
    assert versions(net) == [1, 0, 0]


def test_version_accepted_right_before_an_outage_comes_into_force(net):
    net.accept("b")
    net.store_up = False
    net.run_for(3.0)
    assert versions(net) == [2, 2, 2]


def test_daemon_without_store_follows_its_peers(net):
    net.without_store = {"a"}
    net.accept()
    net.run_for(3.0)
    assert versions(net) == [2, 2, 2]
    net.run_for(20.0)
    assert net.readiness() == [Readiness.READY] * 3


def test_paused_daemon_does_not_treat_buffered_answers_as_recent(net):
    core = net.cores["a"]
    net.store_up = False
    net.run_for(5.0)
    net.tick("a")
    for _ in range(len(net.in_flight)):
        net.complete_action(0)
    answers = [
        entry for entry in net.in_flight if isinstance(entry[1], message.SendPeer)
    ]
    assert answers
    net.now += 30.0
    while net.in_flight:
        net.complete_action(0)
    assert core.readiness(net.now) is Readiness.CUT_OFF


def test_quorum_needs_a_majority_of_the_peers_asked():
    peer_quorum = quorum.PeerQuorum(6.0, 1.0)
    numbers = [peer_quorum.add_question(peer, 0.0) for peer in "bcde"]
    peer_quorum.record_answer(numbers[0], "b", True)
    assert peer_quorum.has_quorum(0.5)
    assert not peer_quorum.has_quorum(1.0)
    peer_quorum.record_answer(numbers[1], "c", True)
    assert peer_quorum.has_quorum(1.0)
    assert not peer_quorum.has_quorum(6.1)


def test_unanswered_fetch_is_retried_from_another_source(net):
    core = net.cores["a"]
    tell = message.Received("b", message.Tell(2, HASHES[2]))
    first_actions = core.handle(tell, net.now)
    assert first_actions == [message.FetchObject(HASHES[2])]
    retry_actions = core.handle(message.Tick(), net.now + LIMITS.fetch_retry_interval)
    assert message.SendPeer("b", message.Want(HASHES[2])) in retry_actions


def test_paused_daemon_does_not_treat_an_old_poll_as_recent(net):
    net.now += 1.5
    net.tick("a")
    net.now += 30.0
    net.complete_action(0)
    assert net.cores["a"].readiness(net.now) is Readiness.CUT_OFF


@pytest.mark.parametrize("without_store", [set(), {"a"}])
def test_daemon_that_cannot_fetch_a_version_becomes_not_ready(net, without_store):
    net.without_store = without_store
    core = net.cores["a"]
    core.handle(message.Received("b", message.Tell(2, "0" * 64)), net.now)
    net.run_for(4.0)
    assert core.readiness(net.now) is Readiness.READY
    net.run_for(4.0)
    assert core.readiness(net.now) is Readiness.BEHIND


def test_content_that_does_not_match_its_hash_is_refused(net):
    net.accept()
    core = net.cores["a"]
    core.handle(message.Received("b", message.Tell(2, HASHES[2])), net.now)
    core.handle(message.Fetched(HASHES[2], DATA[1]), net.now)
    assert core.version == 1
    assert core.counts["content does not match its hash"] == 1


def test_store_restored_to_an_older_version_is_not_followed(net):
    net.accept()
    net.run_for(3.0)
    net.accepted.pop()
    net.run_for(20.0)
    assert versions(net) == [2, 2, 2]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"kind": "Tell"}', b'{"kind": "Ask", "number": "1"}']
)
def test_undecodable_message_is_dropped(data):
    assert message.decode(data) is None


@pytest.mark.anyio
async def test_watcher_puts_accepted_versions_in_force(altiplano):
    platform = fake.Fake(suspends=True)
    documents = store.Store(platform.table, platform.objects)
    installed = []
    fleet = []
    watcher_task = watcher.Watcher(
        distribution.Distribution(LIMITS, random.Random(1)),
        platform.table,
        platform.objects,
        None,
        lambda: platform.now,
        install=lambda version, intended: installed.append((version, intended)),
        on_fleet_change=fleet.append,
    )
    without_rules = altiplano._replace(approvals=())
    await documents.submit(store.Submission("s", 0, without_rules, "ana"))
    write = watcher.table.Write(watcher.FLEET_SIGNAL, {})
    condition = watcher.table.Condition(watcher.FLEET_SIGNAL, 0)
    await platform.table.commit([condition], [write], purpose="test")
    async with watcher.anyio.create_task_group() as tasks:
        tasks.start_soon(watcher_task.run)
        while not installed:
            await watcher.anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    assert installed == [(1, without_rules)]
    assert len(fleet) == 1
    assert watcher_task.readiness is Readiness.READY
