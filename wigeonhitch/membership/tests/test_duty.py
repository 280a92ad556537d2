"""Two holders of one duty never act at once, whatever is lost or paused."""

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from standins import fake
from wigeonhitch.membership import duty, view
from wigeonhitch.platform import table

NAMES = ("d1", "d2", "d3")
WHICH = st.sampled_from(NAMES)
FATES = st.sampled_from(
    ["done", "done", "done", "lost", "late", "down", "held", "slow"]
)


class Node:
    """One daemon: its decisions, and the calls it has under way."""

    def __init__(self, platform, name, limits):
        self.platform = platform
        self.duties = duty.Duties(name, limits)
        self.duties.want("fleet")
        self.results = []
        self.rows_read = 0

    def step(self, fate="done"):
        """Decide, and let the calls reach the store.

        Held results wait for the next step; slow calls reach the store then.
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

    @stateful.rule(which=WHICH, fate=FATES)
    def step(self, which, fate="done"):
        self.nodes[which].step(fate)

    @stateful.rule(which=WHICH)
    def deliver(self, which):
        self.nodes[which].deliver()

    @stateful.rule(seconds=st.sampled_from([0.5, 1.0, 5.0, 13.0]))
    def pass_time(self, seconds):
        """Every daemon is paused meanwhile, unless it steps."""
        self.platform.advance(seconds)

    @stateful.rule(seconds=st.sampled_from([1, 5, 20]), without=WHICH)
    def run_without(self, seconds, without):
        """Let all daemons but one run."""
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

    @stateful.rule(which=WHICH, fate=FATES)
    def hand_back(self, which, fate):
        self.nodes[which].duties.unwant("fleet")
        self.nodes[which].step(fate)
        self.nodes[which].duties.want("fleet")

    @stateful.invariant()
    def one_lease(self):
        holders = [node.lease for node in self.nodes.values() if node.lease]
        assert len(holders) <= 1, holders


class LargeCluster(Cluster):
    """Reads all daemon rows once a minute, as a system of 240 daemons does."""

    limits = duty.Limits(read_interval_per_daemon=20.0)


CLUSTERS = [Cluster, LargeCluster]


def search(examples, made=Cluster):
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=30,
        derandomize=True,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(made, settings=settings)


@pytest.mark.parametrize("made", CLUSTERS)
def test_two_leases_of_one_duty_never_overlap(made):
    search(400, made)


def trust_old_leases(monkeypatch):
    monkeypatch.setattr(duty.Duties, "is_live", lambda self, now: self._version > 0)


def take_over_without_the_holders_row(monkeypatch):
    plain = view.View.find_vacancy

    def find_vacancy(self, name, daemon):
        conditions = plain(self, name, daemon)
        return conditions and conditions[:1]

    monkeypatch.setattr(view.View, "find_vacancy", find_vacancy)


def believe_late_results(monkeypatch):
    plain = duty.Duties._on_renewal

    def on_renewal(self, result, sent, now):
        kept, self._live_since = dict(self._held), float("-inf")
        plain(self, result, sent, now)
        self._held, self._live_since = kept, float("-inf")

    monkeypatch.setattr(duty.Duties, "_on_renewal", on_renewal)


def forget_releases(monkeypatch):
    plain = duty.Duties._release

    def release(self):
        actions = plain(self)
        self._releasing.clear()
        return actions

    monkeypatch.setattr(duty.Duties, "_release", release)


@pytest.mark.parametrize("made", CLUSTERS)
@pytest.mark.parametrize("switch_off", [trust_old_leases, forget_releases])
def test_the_search_finds_two_holders_without_the_mechanism(
    monkeypatch, switch_off, made
):
    switch_off(monkeypatch)
    with pytest.raises(AssertionError):
        search(600, made)


@pytest.fixture(params=CLUSTERS)
def cluster(request):
    made = request.param()
    made.run_without(40, "")
    return made


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
    """Let a takeover be decided, then the holder renew, then it lands."""
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
    """Let a renewal reach the store only after a takeover."""
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
    ("happen", "switch_off"),
    [
        (renew_while_another_takes_over, take_over_without_the_holders_row),
        (pause_in_a_slow_renewal, believe_late_results),
    ],
)
def test_a_renewal_and_a_takeover_that_cross(cluster, monkeypatch, happen, switch_off):
    happen(cluster)
    switch_off(monkeypatch)
    again = type(cluster)()
    again.run_without(40, "")
    with pytest.raises(AssertionError):
        happen(again)


def test_a_dead_holder_is_replaced_within_the_lease_and_one_look(cluster):
    dead = find_holder(cluster)
    cluster.run_without(22, dead)
    assert find_holder(cluster) != dead


def test_a_paused_holder_that_continues_cannot_commit(cluster):
    paused = find_holder(cluster)
    held = cluster.nodes[paused].lease
    cluster.run_without(22, paused)
    assert cluster.nodes[paused].lease is None
    assert commit_work(cluster, held) is table.Outcome.NOT_DONE
    successor = cluster.nodes[find_holder(cluster)].lease
    assert commit_work(cluster, successor) is table.Outcome.DONE
    assert successor.fence > held.fence


def test_a_lost_renewal_answer_costs_nothing(cluster):
    holder = find_holder(cluster)
    fence = cluster.nodes[holder].lease.fence
    for _ in range(20):
        cluster.nodes[holder].step("lost")
        cluster.nodes[holder].step()
        cluster.run_without(1, "")
    assert cluster.nodes[holder].lease.fence == fence


def test_a_daemon_that_leaves_is_replaced_at_once(cluster):
    leaving = find_holder(cluster)
    cluster.nodes[leaving].duties.leave()
    for _ in range(3):
        cluster.nodes[leaving].step()
    assert cluster.nodes[leaving].duties.has_left
    cluster.run_without(8, leaving)
    assert find_holder(cluster) != leaving


def test_a_lost_race_is_not_repeated_at_every_event(cluster):
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
            if verb is duty.Verb.TAKE:
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
    """Return a settled cluster of daemons, and what each reads in a minute."""
    named = {"names": [f"d{index}" for index in range(count)]}
    made = type(
        "System",
        (Cluster,),
        named | {"limits": duty.Limits(read_interval_per_daemon=period)},
    )()
    made.run_without(40, "")
    before = sum(node.rows_read for node in made.nodes.values())
    made.run_without(60, "")
    after = sum(node.rows_read for node in made.nodes.values())
    return made, (after - before) / count


def test_the_rows_that_a_daemon_reads_hardly_grow_with_the_daemons():
    (_, small), (large, rows) = make_system(20, 0.25), make_system(80, 0.25)
    assert rows <= small * 1.4
    dead = find_holder(large)
    large.run_without(26, dead)
    assert find_holder(large) != dead
    assert make_system(80, 0.0)[1] > 3 * small
