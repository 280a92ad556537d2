"""Test that two daemons never hold a lease of the same duty at the same time.

Daemons are paused, and calls to the store are lost, delayed or refused.
"""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from standins import fake
from wigeonhitch.membership import duty, view
from wigeonhitch.platform import table

NAMES = ("d1", "d2", "d3")
NODE_NAMES = st.sampled_from(NAMES)
FATES = st.sampled_from(
    ["done", "done", "done", "lost", "late", "down", "held", "slow"]
)


class Node:
    """One daemon: its duty state machine and its calls in flight."""

    def __init__(self, platform, name, limits):
        self.platform = platform
        self.duties = duty.Duties(name, limits)
        self.duties.want("fleet")
        self.results = []
        self.rows_read = 0

    def step(self, fate="done"):
        """Make a step and let its calls reach the store.

        With ``held`` the results are delivered at the next step; with ``slow`` the
        calls reach the store only then.
        """
        self.deliver()
        sent = self.platform.now
        for action in self.duties.step(sent):
            result = None if fate == "slow" else self.call(action, fate)
            self.results.append((action, result, sent))
        if fate not in ("held", "slow"):
            self.deliver()

    def call(self, action, fate):
        store = self.platform.engine.store
        now = self.platform.now
        if isinstance(action, duty.FullRead | duty.HolderRead):
            if fate == "down":
                failed = table.ReadResult(table.Outcome.NOT_DONE)
                return failed, failed
            if isinstance(action, duty.FullRead):
                daemons = store.scan("daemon/", action.since)
            else:
                daemons = store.read([f"daemon/{name}" for name in action.holders])
            self.rows_read += len(daemons)
            return tuple(
                table.ReadResult(table.Outcome.DONE, tuple(rows), store.revision, now)
                for rows in (daemons, store.scan("duty/", action.since))
            )
        if fate == "down":
            return table.CommitResult(table.Outcome.NOT_DONE, reason="down")
        if fate == "late":
            self.platform.late_commits.append(action)
            return table.CommitResult(table.Outcome.UNKNOWN)
        conflicts = store.commit(action.conditions, action.writes, "t", now)
        if fate == "lost":
            return table.CommitResult(table.Outcome.UNKNOWN)
        outcome = table.Outcome.NOT_DONE if conflicts else table.Outcome.DONE
        return table.CommitResult(outcome, store.revision, conflicts, "", now)

    def deliver(self):
        results, self.results = self.results, []
        for action, result, sent in results:
            result = result or self.call(action, "done")
            if isinstance(action, duty.FullRead):
                self.duties.on_full_read(*result, sent)
            elif isinstance(action, duty.HolderRead):
                self.duties.on_holder_read(*result, sent)
            else:
                now = self.platform.now
                self.duties.on_commit(action.purpose, result, sent, now)

    @property
    def lease(self):
        return self.duties.current("fleet", self.platform.now)


class Cluster(stateful.RuleBasedStateMachine):
    names = NAMES
    limits = duty.DEFAULT_LIMITS

    def __init__(self):
        super().__init__()
        self.platform = fake.Fake()
        self.platform.late_commits = []
        self.nodes = {
            name: Node(self.platform, name, self.limits) for name in self.names
        }

    @stateful.rule(which=NODE_NAMES, fate=FATES)
    def step(self, which, fate="done"):
        self.nodes[which].step(fate)

    @stateful.rule(which=NODE_NAMES)
    def deliver(self, which):
        self.nodes[which].deliver()

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 5.0, 13.0]))
    def pass_time(self, seconds):
        """Advance the clock; daemons are paused unless they step."""
        self.platform.advance(seconds)

    @stateful.rule(seconds=st.sampled_from([1, 5, 20]), without=NODE_NAMES)
    def run_without(self, seconds, without):
        """Run all daemons except ``without``."""
        for _ in range(2 * seconds):
            for name, node in self.nodes.items():
                if name != without:
                    node.step()
            self.platform.advance(0.5)
            self.one_lease()

    @stateful.precondition(lambda self: self.platform.late_commits)
    @stateful.rule()
    def land(self):
        action = self.platform.late_commits.pop(0)
        self.platform.engine.store.commit(
            action.conditions, action.writes, "late", self.platform.now
        )

    @stateful.rule(which=NODE_NAMES, fate=FATES)
    def hand_back(self, which, fate):
        self.nodes[which].duties.unwant("fleet")
        self.nodes[which].step(fate)
        self.nodes[which].duties.want("fleet")

    @stateful.invariant()
    def one_lease(self):
        holders = [node.lease for node in self.nodes.values() if node.lease]
        assert len(holders) <= 1, holders


class LargeCluster(Cluster):
    """A cluster that reads all daemon rows once a minute, like one of 240 daemons."""

    limits = duty.Limits(read_interval_per_daemon=20.0)


CLUSTERS = [Cluster, LargeCluster]


def search(examples, machine=Cluster):
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=30,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(machine, settings=settings)


@pytest.mark.parametrize("machine", CLUSTERS)
def test_two_leases_of_one_duty_never_overlap(machine):
    search(400, machine)


def trust_old_leases(monkeypatch):
    monkeypatch.setattr(duty.Duties, "is_live", lambda self, now: self._row_version > 0)


def take_over_without_the_holders_row(monkeypatch):
    original = view.View.find_vacancy

    def find_vacancy(self, name, daemon):
        conditions = original(self, name, daemon)
        return conditions and conditions[:1]

    monkeypatch.setattr(view.View, "find_vacancy", find_vacancy)


def believe_late_results(monkeypatch):
    original = duty.Duties._on_renewal

    def on_renewal(self, result, sent, now):
        kept, self._live_since = dict(self._held), float("-inf")
        original(self, result, sent, now)
        self._held, self._live_since = kept, float("-inf")

    monkeypatch.setattr(duty.Duties, "_on_renewal", on_renewal)


def forget_releases(monkeypatch):
    original = duty.Duties._release

    def release(self):
        actions = original(self)
        self._releasing.clear()
        return actions

    monkeypatch.setattr(duty.Duties, "_release", release)


@pytest.mark.parametrize("machine", CLUSTERS)
@pytest.mark.parametrize("switch_off", [trust_old_leases, forget_releases])
def test_the_search_finds_two_holders_without_the_mechanism(
    monkeypatch, switch_off, machine
):
    switch_off(monkeypatch)
    with pytest.raises(AssertionError):
        search(600, machine)


@pytest.fixture(params=CLUSTERS)
def cluster(request):
    settled = request.param()
    settled.run_without(40, "")
    return settled


def find_holder(cluster):
    holders = [name for name, node in cluster.nodes.items() if node.lease]
    assert len(holders) == 1
    return holders[0]


def commit_work(cluster, held):
    conditions = [held.condition, table.Condition("work", 0)]
    write = cluster.platform.table.commit(
        conditions, [table.Write("work", {})], purpose="test"
    )
    return fake.run(write).outcome


def renew_while_another_takes_over(cluster):
    """Decide on a takeover, renew the holder, then apply the takeover's commit."""
    holder = find_holder(cluster)
    other = next(name for name in NAMES if name != holder)
    cluster.platform.advance(16.0)
    cluster.step(other)
    cluster.step(other, "late")
    assert cluster.platform.late_commits
    for _ in range(4):
        cluster.step(holder)
        cluster.platform.advance(0.5)
    while cluster.platform.late_commits:
        cluster.land()
    for _ in range(12):
        cluster.step(other)
        cluster.one_lease()
        cluster.platform.advance(0.2)


def pause_in_a_slow_renewal(cluster):
    """Delay a renewal until it reaches the store after a takeover."""
    holder = find_holder(cluster)
    node = cluster.nodes[holder]
    node.duties.renew_soon(cluster.platform.now)
    node.step()
    for _ in range(22):
        node.step("down")
        cluster.platform.advance(0.5)
    node.step("slow")
    cluster.run_without(11, holder)
    node.deliver()
    assert find_holder(cluster) != holder


@pytest.mark.parametrize(
    ("scenario", "switch_off"),
    [
        (renew_while_another_takes_over, take_over_without_the_holders_row),
        (pause_in_a_slow_renewal, believe_late_results),
    ],
)
def test_a_takeover_that_crosses_a_renewal(cluster, monkeypatch, scenario, switch_off):
    scenario(cluster)
    switch_off(monkeypatch)
    fresh_cluster = type(cluster)()
    fresh_cluster.run_without(40, "")
    with pytest.raises(AssertionError):
        scenario(fresh_cluster)


def test_a_dead_holder_is_replaced_within_the_lease_and_one_read(cluster):
    dead = find_holder(cluster)
    cluster.run_without(22, dead)
    assert find_holder(cluster) != dead


def test_a_holder_that_was_paused_cannot_commit(cluster):
    paused = find_holder(cluster)
    held = cluster.nodes[paused].lease
    cluster.run_without(22, paused)
    assert cluster.nodes[paused].lease is None
    assert commit_work(cluster, held) is table.Outcome.NOT_DONE
    successor = cluster.nodes[find_holder(cluster)].lease
    assert commit_work(cluster, successor) is table.Outcome.DONE
    assert successor.fence > held.fence


def test_a_lost_renewal_answer_does_not_lose_the_lease(cluster):
    holder = find_holder(cluster)
    fence = cluster.nodes[holder].lease.fence
    for _ in range(20):
        cluster.nodes[holder].step("lost")
        cluster.nodes[holder].step()
        cluster.run_without(1, "")
    assert cluster.nodes[holder].lease.fence == fence


def test_a_leaving_daemon_is_replaced_at_once(cluster):
    leaving = find_holder(cluster)
    cluster.nodes[leaving].duties.leave()
    for _ in range(3):
        cluster.nodes[leaving].step()
    assert cluster.nodes[leaving].duties.has_left
    cluster.run_without(8, leaving)
    assert find_holder(cluster) != leaving


def test_a_failed_takeover_is_not_repeated_at_every_event(cluster):
    leaving = find_holder(cluster)
    cluster.nodes[leaving].duties.leave()
    for _ in range(3):
        cluster.nodes[leaving].step()
    node = next(node for name, node in cluster.nodes.items() if name != leaving)
    failed = table.CommitResult(table.Outcome.NOT_DONE, reason="conflict")
    takes = []
    for _ in range(100):
        now = cluster.platform.now
        for action in node.duties.step(now):
            verb = getattr(action, "purpose", duty.Purpose(duty.Verb.RENEW)).verb
            if verb is duty.Verb.TAKE_OVER:
                takes.append(now)
                node.duties.on_commit(action.purpose, failed, now, now)
            else:
                node.results.append((action, None, now))
        node.deliver()
        cluster.platform.advance(0.1)
    assert takes
    assert len(takes) <= 10


def test_duties_spread_over_daemons_that_start_late():
    cluster = Cluster()
    duties = [f"pool-{index}" for index in range(12)]
    for node in cluster.nodes.values():
        node.duties.unwant("fleet")
        for name in duties:
            node.duties.want(name)
    for _ in range(20):
        cluster.nodes["d1"].step()
        cluster.platform.advance(0.5)
    cluster.run_without(300, "")
    for name, node in cluster.nodes.items():
        now = cluster.platform.now
        held = sum(node.duties.current(item, now) is not None for item in duties)
        first = sum(view.rank(item, name, NAMES) == 0 for item in duties)
        assert held == first


def make_system(count, period):
    """Return a settled cluster and the rows that each daemon reads in a minute."""
    named = {"names": [f"d{index}" for index in range(count)]}
    system = type(
        "System",
        (Cluster,),
        named | {"limits": duty.Limits(read_interval_per_daemon=period)},
    )()
    system.run_without(40, "")
    before = sum(node.rows_read for node in system.nodes.values())
    system.run_without(60, "")
    after = sum(node.rows_read for node in system.nodes.values())
    return system, (after - before) / count


def test_rows_read_per_daemon_hardly_grow_with_the_number_of_daemons():
    (_, small), (large, rows) = make_system(20, 0.25), make_system(80, 0.25)
    assert rows <= small * 1.4
    dead = find_holder(large)
    large.run_without(26, dead)
    assert find_holder(large) != dead
    assert make_system(80, 0.0)[1] > 3 * small
