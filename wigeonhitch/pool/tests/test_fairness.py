"""Weighted fair queueing of teams."""

import itertools
import math
import types

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from wigeonhitch.jobs import model
from wigeonhitch.pool import fairness, priority, record
from wigeonhitch.pool.tests import conftest

KEYS = frozenset({b"digest"})
ONE_CORE = model.Room(1000, 100)
BUCKET_SECONDS = fairness.BUCKET_MICROSECONDS / fairness.MICROSECONDS


def make_teams(**weights):
    return [model.Team(name, KEYS, weight) for name, weight in weights.items()]


class Server:
    """A pool of one core that is always full: it runs one job at a time."""

    def __init__(self, teams):
        self.logged = []
        self.queue = fairness.FairQueue(lambda event, **fields: self.log(event, fields))
        self.queue.on_teams(teams)
        self.waiting = {}
        self.numbers = itertools.count()

    def log(self, event, fields):
        self.logged.append((event, fields["team"]))

    def add(self, team, seconds=1.0, group=priority.ON_TIME):
        number = next(self.numbers)
        steps = (model.Step(1, ONE_CORE, seconds),)
        job = model.Job(f"{team}{number:06}", "q", "", steps, team=team)
        self.queue.on_job(job, ONE_CORE)
        self.waiting[job.id] = priority.SortKey(group, 0, 0, seconds, number)
        return job.id

    def serve(self):
        """Run the first job to its end; return its id."""
        before = self.queue.virtual_time
        buckets = self.queue.compute_buckets(self.waiting)
        assert self.queue.virtual_time >= before
        _, id = min(
            (key._replace(bucket=buckets[id]), id) for id, key in self.waiting.items()
        )
        del self.waiting[id]
        self.queue.on_job_ended(id)
        return id


def test_weights_share_a_full_pool():
    """Guards against weights that have no effect, or no more than on the average."""
    server = Server(make_teams(a=1, b=3))
    for _ in range(100):
        server.add("a")
        server.add("b")

    served = ""
    for count in range(1, 101):
        served += server.serve()[0]
        assert abs(served.count("a") - count / 4) <= 1


def test_large_weights_order_as_small_ones_do():
    """Guards against buckets that hold a whole burst as weights are above 1."""
    orders = []
    for factor in (1, 86):
        server = Server(make_teams(a=factor, b=3 * factor))
        for team in "aaabbb":
            server.add(team)
        orders.append([server.serve() for _ in range(6)])

    assert orders[0] == orders[1]


def test_large_job_waits_for_no_more_small_ones_than_its_tag_says():
    """Guards against a large job that starves behind its team's own small ones.

    Its tag at its arrival is its cost ahead of the virtual time. Small jobs with that
    cost in all, 10 s of the pool more, and those of one bucket may go before it.
    """
    server = Server(make_teams(a=1))
    large = server.add("a", 10.0)
    served = []
    while large not in served and len(served) < 1000:
        server.add("a", 0.1)
        server.add("a", 0.1)
        served.append(server.serve())

    most = 10.0 + fairness.MAX_OVERTAKING_SECONDS + BUCKET_SECONDS
    assert 100 < len(served) <= most / 0.1 + 1


def test_cheap_job_is_not_behind_a_large_one_of_its_team():
    """Guards against a cheap job that gets the late tag of its team's large job."""
    server = Server(make_teams(a=1, b=1))
    server.add("a", 50.0)
    for _ in range(20):
        server.add("b")
    cheap = server.add("a", 0.1)

    assert server.serve() == cheap


def test_quiet_team_waits_for_one_bucket():
    """Guards against a team that waits for the whole backlog of another's burst."""
    server = Server(make_teams(a=1, b=1))
    for _ in range(1000):
        server.add("a", 0.01)
    for _ in range(300):
        server.serve()
    quiet = server.add("b", 0.01)
    served = list(iter(server.serve, quiet))

    assert 0.01 * len(served) <= BUCKET_SECONDS


def test_expired_job_gives_other_teams_no_credit():
    """Guards against a virtual time that stands still with a job that never runs."""
    server = Server(make_teams(a=1, b=1, c=1))
    server.add("a", group=priority.EXPIRED)
    for _ in range(20):
        server.add("b")
    for _ in range(10):
        server.serve()
    for _ in range(10):
        server.add("c")

    assert [server.serve()[0] for _ in range(10)].count("b") >= 4


def test_room_that_nobody_else_wanted_is_not_held_against_a_team():
    """Guards against a team that is stopped for what it used in a half-empty pool."""
    server = Server(make_teams(a=1, b=1))
    server.add("b", 100.0)
    for _ in range(30):
        server.add("a")
        assert server.serve()[0] == "a"
    assert server.queue.export_lag() == (("a", 60.0),)
    server.queue.on_no_waiting()
    assert server.queue.export_lag() == ()

    for _ in range(4):
        server.add("a", 0.5)
        server.add("b", 0.5)
    assert [server.serve()[0] for _ in range(4)].count("a") == 2


def test_quiet_time_is_no_credit():
    """Guards against a team that takes the whole pool after a time of rest."""
    server = Server(make_teams(a=1, b=1))
    server.add("b")
    for _ in range(100):
        server.add("a")
    for _ in range(50):
        server.serve()
    for _ in range(50):
        server.add("b")

    served = ""
    for count in range(1, 21):
        served += server.serve()[0]
        assert abs(served.count("a") - count / 2) <= 0.5


def test_cancelled_job_that_never_ran_costs_nothing():
    """Guards against a team that falls behind by what it has withdrawn."""
    server = Server(make_teams(a=1, b=1))
    for _ in range(9):
        server.add("b")
    for _ in range(10):
        id = server.add("a", 10.0)
        del server.waiting[id]
        server.queue.on_job_ended(id, is_unused=True)
    server.add("a")

    assert {server.serve()[0], server.serve()[0]} == {"a", "b"}


arrivals = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abc"),
        strategies.sampled_from((0.1, 0.5, 1.0, 4.0)),
        strategies.integers(0, 3),
    ),
    min_size=1,
    max_size=60,
)
weights = strategies.sampled_from((0.5, 1.0, 3.0))


@hypothesis.given(arrivals, strategies.tuples(weights, weights, weights))
@hypothesis.settings(max_examples=200, deadline=None)
def test_no_waiting_team_falls_below_its_share(jobs, team_weights):
    """Over any time in which a team waits, each other team gets at most its own share
    relative to it, and one largest job of each and a bucket more."""
    weight = dict(zip("abc", team_weights, strict=True))
    server = Server(make_teams(**weight))
    served = dict.fromkeys("abc", 0.0)
    lowest = {}
    largest = 0.0

    def check():
        for one, other in itertools.permutations("abc", 2):
            ahead = served[other] / weight[other] - served[one] / weight[one]
            if not any(id[0] == one for id in server.waiting):
                lowest.pop((one, other), None)
                continue
            lowest[one, other] = min(lowest.get((one, other), math.inf), ahead)
            bound = largest / weight[one] + largest / weight[other]
            bound += BUCKET_SECONDS * 1.01 / sum(weight.values())
            assert ahead - lowest[one, other] <= bound + 1e-6

    def serve():
        seconds = {id: key.cost for id, key in server.waiting.items()}
        id = server.serve()
        served[id[0]] += seconds[id]
        check()

    for team, seconds, count in jobs:
        server.add(team, seconds)
        largest = max(largest, seconds)
        check()
        for _ in range(min(count, len(server.waiting))):
            serve()
    while server.waiting:
        serve()


@pytest.mark.parametrize(
    "weight", [0, -1, math.nan, math.inf, "3", None, 1e308, 1e-300]
)
def test_malformed_weight_loses_no_job(weight):
    """Guards against a pool that stops for one wrong number of the configuration."""
    server = Server(make_teams(a=weight, b=1))
    server.queue.on_teams(make_teams(a=weight, b=1))
    for team in ("a", "b", "gone", "gone", ""):
        server.add(team)

    assert {server.serve() for _ in range(5)} and not server.waiting
    assert len([team for _, team in server.logged if team == "a"]) == 1
    assert len([team for _, team in server.logged if team == "gone"]) == 1


def test_job_before_the_configuration_gets_its_tag_later():
    """Guards against jobs of a takeover that are ordered before all others for good."""
    server = Server([])
    for team in "aaabbb":
        server.add(team)
    assert server.queue.compute_buckets(server.waiting) == {}
    server.queue.on_teams(make_teams(a=1, b=1))

    assert {server.serve()[0], server.serve()[0]} == {"a", "b"}


def test_size_of_the_largest_job_stands_for_an_unknown_pool():
    """Guards against a division by the capacity of a pool without VMs."""
    queue = fairness.FairQueue(lambda event, **fields: None)
    queue.on_teams(make_teams(a=1))
    keys = {}
    for id, count in (("j", 4), ("k", 0)):
        steps = (model.Step(count, ONE_CORE, 2.0),)
        queue.on_job(model.Job(id, "q", "", steps, team="a"), model.Room())
        keys[id] = priority.SortKey(priority.ON_TIME, 0, 0, 1.0, 0.0)

    assert queue.compute_buckets(keys)["j"] * BUCKET_SECONDS == 2.0


# -- takeovers


def test_takeover_gives_no_team_a_second_share():
    """Guards against a burst that is served anew by each leader."""
    server = Server(make_teams(a=1, b=1))
    server.add("b", 20.0)
    for _ in range(10):
        server.add("a")
        server.serve()
    status = record.PoolStatus({}, lag=server.queue.export_lag())
    row = record.write_status(status, 100.0)
    assert record.read_status(row) == status

    successor = Server(make_teams(a=1, b=1))
    successor.add("a")
    lag, is_readable = record.read_lag(row, 101.0)
    successor.queue.restore_lag(lag)
    for _ in range(9):
        successor.add("b")
    successor.add("a")

    assert is_readable and lag == (("a", status.lag[0][1] - 1.0),)
    assert [successor.serve()[0] for _ in range(8)] == ["b"] * 8


def test_second_takeover_keeps_the_lag_of_a_team_that_has_not_returned():
    """Guards against a team that waits for two takeovers and then has a new share."""
    lag = (("a", 9.0),)
    for _ in range(2):
        successor = Server(make_teams(a=1, b=1))
        successor.queue.restore_lag(lag)
        successor.add("b")
        successor.queue.compute_buckets(successor.waiting)
        lag = successor.queue.export_lag()

    assert lag == (("a", 9.0),)


def test_takeover_charges_no_waiting_job_twice():
    """Guards against a lag that holds jobs which the successor reads again."""
    server = Server(make_teams(a=1, b=1))
    server.add("b")
    for _ in range(10):
        server.add("a")
    server.queue.compute_buckets(server.waiting)

    assert server.queue.export_lag() == ()


@pytest.mark.parametrize(
    ("lag", "kept"),
    [
        ([1], []),
        ("x", []),
        (7, []),
        ({"a": -1, "b": 2}, ["b"]),
        ({"a": None, "b": "2"}, []),
        ({"a": 1e300, "b": True, "c": [], "gone": 3}, ["gone"]),
        ({f"t{number}": 1 for number in range(60)}, [f"t{n}" for n in range(60)]),
    ],
)
def test_malformed_lag_counts_as_none(lag, kept):
    """Guards against a pool without a leader as each one fails on the same row."""
    row = orjson.dumps({"waiting": {}, "lag": lag, "lag_time": 100.0})
    entries, is_readable = record.read_lag(row, 100.0)
    server = Server(make_teams(a=1, b=1))
    server.queue.restore_lag(entries)
    server.add("a")

    assert [team for team, _ in entries] == sorted(kept)[: fairness.MAX_LAGS]
    assert is_readable == (len(kept) == 60)
    assert record.read_status(row).waiting == {}
    assert server.serve()


@pytest.mark.parametrize(
    "row",
    [
        b"",
        b"[]",
        b'{"waiting": {}, "lag": {"a": NaN}}',
        b'{"lag": {"a": 2}, "lag_time": "x"}',
        b"\xff\x00",
    ],
)
def test_unreadable_status_counts_as_no_lag(row):
    """Guards against a takeover that fails at a row of another form."""
    assert record.read_lag(row, 100.0) == ((), False)


def test_missing_status_is_no_fault():
    """Guards against a warning at each first start and after each upgrade."""
    assert record.read_lag(None, 100.0) == ((), True)
    assert record.read_lag(b'{"waiting": {}}', 100.0) == ((), True)


# -- in a pool


@pytest.fixture
def pool():
    """A pool of one VM of 20 cores."""

    def make(*names):
        bench = conftest.Bench()
        bench.pool.fair_queue.on_teams([model.Team(name, KEYS) for name in names])
        machine = bench.add_vm("w1", cpu=20000)
        return types.SimpleNamespace(bench=bench, machine=machine)

    return make


def run_until_empty(bench):
    """Run all waiting jobs, in rounds of a second; return the starts of each round."""
    rounds = []
    while runs := bench.start():
        rounds.append([run.task.job for run in runs])
        for run in runs:
            bench.pool.remove_run(run)
            bench.pool.jobs[run.task.job].final = model.JobState.COMPLETED
    return rounds


@pytest.mark.parametrize("jobs", [1, 7])
def test_burst_of_one_team_keeps_no_other_waiting(pool, jobs):
    """Pattern: one of twenty teams sends seven times the jobs of each other.

    Each of the others starts a job in each round as without the burst, and the burst's
    own jobs start in the order of their value.
    """
    others = [f"t{number:02}" for number in range(19)]
    bench = pool("flood", *others).bench
    for batch in range(4):
        for number in range(jobs):
            count = 1 + (7 * batch + number) % 3
            step = model.Step(1, model.Room(1000, 100), float(count))
            bench.add_job(f"flood-{batch}{number}", step, team="flood")
        for team in others:
            bench.add_job(f"{team}-{batch}", team=team)
    rounds = run_until_empty(bench)

    started = ""
    for number in range(4):
        started += " ".join(rounds[number])
        assert min(started.count(team) for team in others) >= number + 1
    order = [id for ids in rounds for id in ids if id[0] == "f"]
    sizes = [bench.pool.jobs[id].job.compute_work() for id in order]
    assert sizes == sorted(sizes)


def test_started_job_is_not_overtaken_by_later_ones(pool):
    """Guards against a job that falls back because its first step runs or has run."""
    bench = pool("a", "b").bench
    steps = (model.Step(20, ONE_CORE, 1.0), model.Step(20, ONE_CORE, 1.0, (0,)))
    bench.add_job("first", *steps, team="a")
    runs = bench.start()
    for number in range(5):
        bench.add_job(f"later{number}", *steps, team="b")
    bench.plan()
    for number, run in enumerate(runs, 1):
        bench.answer(run.vm, (), (conftest.end_run(number, run),))

    assert [run.task.job for run in bench.start()] == ["first"] * 20


def test_use_in_advance_counts_only_while_tasks_wait(pool):
    """Guards against a lag that is forgotten in a full pool, or kept in a half-empty
    one, and against jobs that are open for good."""
    bench = pool("a", "b").bench
    bench.add_job("long", model.Step(1, ONE_CORE, 10.0), team="b")
    for number in range(39):
        bench.add_job(f"j{number:02}", team="a")
    lags = []
    for _ in range(3):
        bench.start()
        lags.append(dict(bench.pool.fair_queue.export_lag()))
        for run in list(bench.pool.live.values()):
            if run.task.job != "long":
                bench.pool.remove_run(run)
                bench.pool.jobs[run.task.job].final = model.JobState.COMPLETED

    assert lags == [{}, {"a": 1.9}, {}]


def test_takeover_keeps_the_lag_until_jobs_may_start(pool):
    """Guards against a lag that is forgotten as no task is placed at first."""
    bench = pool("a", "b").bench
    bench.pool.on_roster("w2", "w2:1", 1, conftest.NOW)
    bench.pool.fair_queue.restore_lag([("a", 3.0)])
    for team in "ab":
        bench.add_job(f"{team}1", team=team, version=5)

    assert bench.start() == []
    assert bench.pool.fair_queue.export_lag() == (("a", 3.0),)


def test_order_without_teams_is_that_of_values(pool):
    """Guards against a part that acts although no team has a key."""
    bench = pool().bench
    bench.pool.fair_queue.on_teams([model.Team("a", weight=5.0), model.Team("b")])
    for number in range(30):
        step = model.Step(20, ONE_CORE, 1.0 + number % 4)
        bench.add_job(f"j{number:02}", step, team="ab"[number % 2])
    order = [ids[0] for ids in run_until_empty(bench)]

    assert order == sorted(order, key=lambda id: (int(id[1:]) % 4, id))
    assert b"lag" not in record.write_status(bench.planner.build_status(0.0, 0.0))
