"""Versions on three daemons: monotonic, of the right content, never stale."""

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
    hearing,
    message,
    store,
    watcher,
)

Readiness = distribution.Readiness
LIMITS = distribution.Limits()
NAMES = ("a", "b", "c")


def make_data(number):
    """Return the canonical bytes of one of many valid documents."""
    plain = {
        "fleet": f"f{number}",
        "data_centres": [{"name": "a", "region": "r"}],
        "kinds": [{"name": "k", "cores": 1, "memory": 1}],
        "pools": [{"name": "p", "kind": "k", "size": 2, "must_be_up": {"number": 1}}],
        "services": [],
        "urgencies": [{"name": "urgent", "deadline": 1, "start_within": 1}],
    }
    return canonical.encode(check.check_plain(plain).intended)


DATA = {n: make_data(n) for n in range(1, 30)}
HASHES = {n: canonical.hash_bytes(data) for n, data in DATA.items()}
OBJECTS = {HASHES[n]: data for n, data in DATA.items()}


class Net:
    """A store, three daemons, and everything that is under way between them."""

    def __init__(self):
        self.now = 100.0
        self.accepted = [0.0]
        self.up = True
        self.silent = set()
        self.cut = set()
        self.cores = {}
        self.under_way = []
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
        self.take(name, message.Received("", tell))
        self.take(name, message.Fetched(HASHES[version], DATA[version]))

    def is_stale(self, name):
        """Return whether a daemon could know better, or is cut off from knowing."""
        version = self.cores[name].version
        if name in self.cut or (self.up and name not in self.silent):
            return version < self.version
        reachable = [
            core.version for n, core in self.cores.items() if n not in self.cut
        ]
        return version < max(reachable)

    def note_stale(self):
        for name in NAMES:
            if self.is_stale(name):
                self.stale_since.setdefault(name, self.now)
            else:
                self.stale_since.pop(name, None)

    def start(self, name):
        self.under_way = [one for one in self.under_way if one[0] != name]
        core = distribution.Distribution(LIMITS, random.Random(name))
        peers = tuple(other for other in NAMES if other != name)
        core.handle(message.PeersChanged(peers), self.now)
        self.cores[name] = core

    def tick(self, name):
        self.take(name, message.Tick())

    def take(self, name, event):
        for action in self.cores[name].handle(event, self.now):
            self.under_way.append((name, action, self.now))

    def carry_out(self, index, lost=False):
        name, action, started = self.under_way.pop(index)
        hears = self.up and not lost and name not in self.silent | self.cut
        match action:
            case message.Poll():
                signal = self.version if hears else None
                self.take(name, message.Polled(started, signal))
            case message.ReadCurrent():
                version = self.version if hears else None
                content = HASHES.get(version, "")
                read = message.CurrentRead(started, self.version, version, content)
                self.take(name, read)
            case message.FetchObject():
                data = OBJECTS.get(action.hash) if hears else None
                self.take(name, message.Fetched(action.hash, data))
            case message.SendPeer():
                if not lost and not {name, action.peer} & self.cut:
                    self.take(action.peer, message.Received(name, action.message))

    def settle(self, seconds):
        """Let time pass with everything carried out at once, in order."""
        end = self.now + seconds
        while self.now < end:
            for name in NAMES:
                self.tick(name)
            carried = 0
            while self.under_way:
                self.carry_out(0)
                carried += 1
                assert carried < 500, "daemons keep one another busy for ever"
            self.now += 0.5
            self.note_stale()

    def readiness(self):
        return [core.readiness(self.now) for core in self.cores.values()]


class Distributing(hypothesis.stateful.RuleBasedStateMachine):
    """Messages in any order, lost, late; daemons restarted, paused, cut off."""

    def __init__(self):
        super().__init__()
        self.net = Net()
        self.seen = dict.fromkeys(NAMES, 0)

    @hypothesis.stateful.rule(name=strategies.sampled_from(NAMES))
    def accept(self, name):
        reaches = self.net.up and name not in self.net.silent | self.net.cut
        if reaches and self.net.version < max(DATA):
            self.net.accept(name)

    @hypothesis.stateful.rule(name=strategies.sampled_from(NAMES))
    def tick(self, name):
        self.net.tick(name)

    @hypothesis.stateful.precondition(lambda self: self.net.under_way)
    @hypothesis.stateful.rule(data=strategies.data(), lost=strategies.booleans())
    def carry_out(self, data, lost):
        last = len(self.net.under_way) - 1
        self.net.carry_out(data.draw(strategies.integers(0, last)), lost)

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([0.3, 1.0, 5.0, 30.0]))
    def pause_all(self, seconds):
        self.net.now += seconds

    @hypothesis.stateful.rule(seconds=strategies.sampled_from([2.0, 8.0, 15.0]))
    def settle(self, seconds):
        self.net.settle(seconds)

    @hypothesis.stateful.rule()
    def switch_store(self):
        self.net.up = not self.net.up

    @hypothesis.stateful.rule(name=strategies.sampled_from(NAMES))
    def silence_store(self, name):
        self.net.silent ^= {name}

    @hypothesis.stateful.rule(name=strategies.sampled_from([None, *NAMES]))
    def cut_off(self, name):
        self.net.cut = {name} - {None}

    @hypothesis.stateful.rule(names=strategies.sampled_from([NAMES, *NAMES]))
    def restart(self, names):
        for name in names:
            self.net.start(name)
            self.seen[name] = 0

    @hypothesis.stateful.invariant()
    def versions_only_rise_and_match(self):
        for name, core in self.net.cores.items():
            assert core.version >= self.seen[name], "a daemon went back"
            assert core.version <= self.net.version
            self.seen[name] = core.version
            if core.version:
                assert core.data == DATA[core.version], "content is not the hash's"

    @hypothesis.stateful.invariant()
    def ready_daemons_are_not_stale(self):
        self.net.note_stale()
        for name, since in self.net.stale_since.items():
            if self.net.now - since > 2 * LIMITS.cut_off:
                found = self.net.cores[name].readiness(self.net.now)
                assert found is not Readiness.READY, f"{name} serves an old version"


def test_versions_under_faults():
    hypothesis.stateful.run_state_machine_as_test(
        Distributing,
        settings=hypothesis.settings(
            max_examples=300,
            stateful_step_count=50,
            derandomize=True,
            deadline=None,
            database=None,
        ),
    )


@pytest.fixture
def net():
    """Three daemons that have version 1 in force."""
    net = Net()
    net.accept()
    net.settle(3.0)
    assert net.readiness() == [Readiness.READY] * 3
    return net


def versions(net):
    return [core.version for core in net.cores.values()]


def test_outage_keeps_daemons_that_hear_each_other_ready(net):
    net.up = False
    net.settle(60.0)
    assert net.readiness() == [Readiness.READY] * 3


def test_daemon_that_starts_in_an_outage_asks_peers(net):
    net.up = False
    net.settle(20.0)
    net.start("a")
    assert net.cores["a"].readiness(net.now) is Readiness.STARTING
    net.settle(5.0)
    assert versions(net) == [1, 1, 1]
    assert net.readiness() == [Readiness.READY] * 3


def test_all_restarted_in_an_outage_are_not_ready_until_it_ends(net):
    net.up = False
    for name in NAMES:
        net.start(name)
    net.settle(60.0)
    assert net.readiness() == [Readiness.STARTING] * 3
    net.up = True
    net.settle(3.0)
    assert versions(net) == [1, 1, 1]


def test_cut_off_daemon_stops_and_its_old_version_does_not_spread(net):
    net.cut = {"a"}
    net.settle(7.0)
    assert net.cores["a"].readiness(net.now) is Readiness.CUT_OFF
    net.accept()
    net.settle(3.0)
    net.up = False
    net.start("b")
    net.start("c")
    net.cut = set()
    net.settle(30.0)
    assert Readiness.READY not in net.readiness()
    assert versions(net) == [1, 0, 0]


def test_version_accepted_right_before_an_outage_comes_into_force(net):
    net.accept("b")
    net.up = False
    net.settle(3.0)
    assert versions(net) == [2, 2, 2]


def test_daemon_that_hears_only_peers_follows_them(net):
    net.silent = {"a"}
    net.accept()
    net.settle(3.0)
    assert versions(net) == [2, 2, 2]
    net.settle(20.0)
    assert net.readiness() == [Readiness.READY] * 3


def test_paused_daemon_does_not_take_buffered_answers_for_news(net):
    core = net.cores["a"]
    net.up = False
    net.settle(5.0)
    net.tick("a")
    for _ in range(len(net.under_way)):
        net.carry_out(0)
    answers = [one for one in net.under_way if isinstance(one[1], message.SendPeer)]
    assert answers
    net.now += 30.0
    while net.under_way:
        net.carry_out(0)
    assert core.readiness(net.now) is Readiness.CUT_OFF


def test_majority_is_needed_of_those_asked():
    heard = hearing.Hearing(6.0, 1.0)
    numbers = [heard.ask(peer, 0.0) for peer in "bcde"]
    heard.note_answer(numbers[0], "b", True)
    assert heard.hears_most(0.5)
    assert not heard.hears_most(1.0)
    heard.note_answer(numbers[1], "c", True)
    assert heard.hears_most(1.0)
    assert not heard.hears_most(6.1)


def test_fetch_without_answer_is_tried_elsewhere(net):
    core = net.cores["a"]
    told = message.Received("b", message.Tell(2, HASHES[2]))
    first = core.handle(told, net.now)
    assert first == [message.FetchObject(HASHES[2])]
    again = core.handle(message.Tick(), net.now + LIMITS.retry)
    assert message.SendPeer("b", message.Want(HASHES[2])) in again


def test_paused_daemon_does_not_take_an_old_poll_for_news(net):
    net.now += 1.5
    net.tick("a")
    net.now += 30.0
    net.carry_out(0)
    assert net.cores["a"].readiness(net.now) is Readiness.CUT_OFF


@pytest.mark.parametrize("silent", [set(), {"a"}])
def test_daemon_that_cannot_fetch_a_version_stops(net, silent):
    net.silent = silent
    core = net.cores["a"]
    core.handle(message.Received("b", message.Tell(2, "0" * 64)), net.now)
    net.settle(4.0)
    assert core.readiness(net.now) is Readiness.READY
    net.settle(4.0)
    assert core.readiness(net.now) is Readiness.BEHIND


def test_content_that_does_not_match_is_not_taken(net):
    net.accept()
    core = net.cores["a"]
    core.handle(message.Received("b", message.Tell(2, HASHES[2])), net.now)
    core.handle(message.Fetched(HASHES[2], DATA[1]), net.now)
    assert core.version == 1
    assert core.counts["content does not match its hash"] == 1


def test_store_that_was_set_back_is_not_followed(net):
    net.accept()
    net.settle(3.0)
    net.accepted.pop()
    net.settle(20.0)
    assert versions(net) == [2, 2, 2]


@pytest.mark.parametrize(
    "data", [b"", b"[]", b"{}", b'{"kind": "Tell"}', b'{"kind": "Ask", "number": "1"}']
)
def test_message_that_cannot_be_read_is_dropped(data):
    assert message.decode(data) is None


@pytest.mark.anyio
async def test_watcher_puts_accepted_versions_in_force(altiplano):
    platform = fake.Fake(suspends=True)
    documents = store.Store(platform.table, platform.objects)
    installed = []
    fleet = []
    watching = watcher.Watcher(
        distribution.Distribution(LIMITS, random.Random(1)),
        platform.table,
        platform.objects,
        None,
        lambda: platform.now,
        install=lambda version, intended: installed.append((version, intended)),
        on_fleet_change=fleet.append,
    )
    free = altiplano._replace(approvals=())
    await documents.submit(store.Submission("s", 0, free, "ana"))
    write = watcher.table.Write(watcher.FLEET_SIGNAL, {})
    condition = watcher.table.Condition(watcher.FLEET_SIGNAL, 0)
    await platform.table.commit([condition], [write], purpose="test")
    async with watcher.anyio.create_task_group() as tasks:
        tasks.start_soon(watching.run)
        while not installed:
            await watcher.anyio.lowlevel.checkpoint()
        tasks.cancel_scope.cancel()
    assert installed == [(1, free)]
    assert len(fleet) == 1
    assert watching.readiness is Readiness.READY
