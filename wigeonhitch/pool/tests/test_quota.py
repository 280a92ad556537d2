"""Shares of a team's ceiling: taken, returned, handed over and never exceeded."""

import itertools

import anyio
import pytest

from standins import rowstore
from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import dependencies, quota, view, vm
from wigeonhitch.pool import runner as pool_runner
from wigeonhitch.pool.tests import conftest, history
from wigeonhitch.telemetry import metric

TASK = model.Room(1000, 2000)
CEILING = model.Room(16000, 32000)


class Leader:
    """The shares of one pool's leader, against rows that leaders share."""

    def __init__(self, store, pool="a", epoch=1, ceiling=CEILING, configuration=1):
        self.store = store
        self.quotas = quota.Quotas(pool, epoch, lambda *a, **k: None)
        self.now = 0.0
        self.runs = []
        self.configure(ceiling, configuration)

    def configure(self, ceiling, configuration):
        self.quotas.on_teams(configuration, [model.Team("t", ceiling=ceiling)])

    def round(self, tasks=0, *, is_certain=True, size=TASK):
        """Start as many of the tasks as are admitted; return how many."""
        self.quotas.begin_round(is_certain=is_certain)
        started = 0
        for _ in range(tasks):
            if self.quotas.admits("t", size):
                self.add(size)
                started += 1
            else:
                self.quotas.request("t", size)
        self.quotas.end_round()
        return started

    def add(self, size=TASK, *, adopted=False):
        step = model.Step(1, size)
        run = vm.Run(model.Task("j", 0, 0, len(self.runs)), 1, None, step, 0.0)
        run.adopted = adopted
        self.quotas.add("t", run)
        self.runs.append(run)

    def end(self, count):
        for _ in range(count):
            self.quotas.remove(self.runs.pop())

    def sync(self, *, outcome=None):
        """Write what is to be written; an outcome replaces the store's answer."""
        self.now += 0.2
        transaction = self.quotas.collect(self.now)
        if transaction is not None:
            change = self.store.commit(transaction) if outcome is None else None
            self.quotas.on_result(change or rows.Change(outcome))
        elif self.quotas.must_read(self.now):
            listed = self.store.list_rows(quota.QUOTA_TABLE)
            place = (quota.QUOTA_TABLE, quota.QUOTA_PART)
            self.quotas.on_rows([rows.Row(*place, *row) for row in listed])
        return transaction

    def run(self, tasks):
        """Start tasks, with as many writes as that takes; return how many run."""
        for _ in range(4):
            tasks -= self.round(tasks)
            self.sync()
        tasks -= self.round(tasks)
        return len(self.runs)

    def idle(self):
        """Let the windows pass after which unused shares are returned."""
        for _ in range(6):
            self.round()
            self.sync()


@pytest.fixture
def store():
    return history.Store()


def test_two_pools_stay_within_a_ceiling_together(store):
    """Guards against leaders that each use a team's whole ceiling."""
    one, other = Leader(store), Leader(store, "b")

    assert one.run(10) == 10
    assert other.run(10) == 6


def test_ceiling_moves_with_the_demand_from_pool_to_pool(store):
    """Pattern: queues ask for several times their mean by turns."""
    one, other = Leader(store), Leader(store, "b")
    assert one.run(16) == 16

    one.end(16)
    one.idle()

    assert other.run(16) == 16


def test_scarce_memory_keeps_no_processors_from_other_pools(store):
    """Guards against a pool that takes all processors of a team whose memory is used.

    Pattern: lasting tasks that hold most of a team's memory beside small batch tasks.
    """
    one, other = Leader(store), Leader(store, "b")
    lean = model.Room(1000, 0)

    one.round(20, size=model.Room(500, 7000))
    one.sync()
    one.sync()

    assert one.round(20, size=model.Room(500, 7000)) == 4
    other.round(12, size=lean)
    other.sync()
    other.sync()
    assert other.round(12, size=lean) == 12


@pytest.mark.parametrize("is_forgotten", [False, True])
def test_successor_counts_what_its_predecessor_may_still_run(store, is_forgotten):
    """Guards against a ceiling that is used again while a cut off VM runs on.

    With the mechanism off, the check finds the fault.
    """
    Leader(store).run(12)
    successor = Leader(store, epoch=2)

    for _ in range(8):
        successor.round(16, is_certain=is_forgotten)
        successor.sync()

    assert len(successor.runs) == (16 if is_forgotten else 4)


def test_adopted_runs_are_not_counted_twice(store):
    """Guards against a successor that counts a run in the inherited share as well."""
    former = Leader(store)
    assert former.run(12) == 12
    successor = Leader(store, epoch=2)
    successor.sync()

    for _ in range(12):
        successor.add(adopted=True)
    assert successor.run(4) == 16


def test_deposed_leader_neither_writes_nor_starts(store):
    """Guards against a paused leader that shrinks the share of its successor."""
    former = Leader(store)
    former.run(12)
    former.end(8)
    successor = Leader(store, epoch=2)
    successor.sync()
    successor.sync()
    version = store.version

    former.idle()

    assert store.version == version
    assert former.round(4) == 0


def test_lowered_ceiling_stops_starts_at_once_and_binds_older_configurations(store):
    """Guards against a share that is raised by a configuration that was replaced."""
    one, other = Leader(store), Leader(store, "b")
    assert (one.run(6), other.run(2)) == (6, 2)
    lowered = model.Room(4000, 8000)

    one.configure(lowered, 2)
    assert one.round(1) == 0
    one.sync()
    assert one.run(1) == 6
    other.run(10)  # it knows only the former configuration

    assert len(other.runs) == 2
    one.end(5)
    one.idle()
    assert other.run(10) == 3
    one.configure(model.Room(), 3)
    assert one.run(20) == 21


def test_shares_above_a_lowered_ceiling_are_returned_while_tasks_wait(store):
    """Two pools kept more than the new ceiling together, and one started nothing.

    With tasks waiting in both, no part of a share counted as unused, so that 6 of 16
    tasks were in use until the other pool ran out of work.
    """
    one, other = Leader(store), Leader(store, "b")
    assert (one.run(12), other.run(8)) == (12, 4)
    lowered = model.Room(10000, 20000)
    for leader in (one, other):
        leader.configure(lowered, 2)
        leader.round(4)
        leader.sync()

    one.end(12)
    other.end(4)
    for _ in range(4):
        for leader in (one, other):
            leader.round(8)
            leader.sync()

    assert (len(one.runs), len(other.runs)) == (6, 4)


def test_pools_keep_equal_parts_of_a_lowered_ceiling(store):
    """The pool that wrote last kept all, and the other one started nothing for 12 s."""
    one, other = Leader(store), Leader(store, "b")
    assert (one.run(8), other.run(8)) == (8, 8)
    for leader in (one, other):
        leader.configure(model.Room(4000, 8000), 2)
    one.end(8)
    other.end(8)
    for _ in range(4):
        for leader in (one, other):
            leader.round(8)
            leader.sync()

    assert (len(one.runs), len(other.runs)) == (2, 2)


def test_ceiling_of_one_resource_leaves_the_other_unlimited(store):
    """Shares of the unlimited resource must not be rewritten with each start."""
    one = Leader(store, ceiling=model.Room(16000, 0))

    assert one.run(16) == 16
    assert one.sync() is None


@pytest.mark.parametrize("outcome", [table.Outcome.UNKNOWN, table.Outcome.NOT_DONE])
@pytest.mark.parametrize("is_trusted", [False, True])
def test_no_start_goes_by_a_share_that_an_unanswered_write_may_have_lowered(
    store, outcome, is_trusted
):
    """Guards against a lower share that is applied after its writer counts on more.

    With the mechanism off, the check finds the fault.
    """
    leader = Leader(store)
    leader.run(12)
    leader.end(12)
    while (late := leader.sync(outcome=table.Outcome.UNKNOWN)) is None:
        leader.round()
    leader.round()
    leader.quotas.collect(leader.now)
    leader.quotas.on_result(rows.Change(outcome))
    if is_trusted:
        leader.quotas._teams["t"].doubtful = None

    leader.round(12)
    store.commit(late)
    other = Leader(store, "b")
    running = other.run(16) + leader.run(12)

    assert running > 16 if is_trusted else running == 16


def test_rows_of_teams_are_read_as_written():
    """Guards against a successor that reads another share than was written."""
    shares = {"a": quota.Share(3, model.Room(1, 2, 3))}
    allotment = quota.Allotment(7, CEILING, shares)

    assert quota.read_allotment(quota.write_allotment(allotment)) == allotment


def test_job_that_waits_for_its_team_is_logged_once_and_asks_for_no_vms(make_bench):
    """Guards against VMs that are moved in for tasks that may not be started."""
    bench = make_bench()
    bench.pool.quotas.on_teams(1, [model.Team("t", ceiling=model.Room(2000, 500))])
    bench.add_vm("w1", cpu=8000)
    for id in ("j1", "j2", "j3"):
        bench.add_job(id, model.Step(2, model.Room(1000, 100), 1.0), team="t")

    assert bench.start() == []
    change = bench.pool.quotas.collect(conftest.NOW)
    bench.pool.quotas.on_result(rows.Change(table.Outcome.DONE, 1))

    assert change is not None
    assert len(bench.start()) == 2
    bench.plan()
    assert bench.logged.count("job waits for its team's ceiling") == 2
    assert bench.planner.unmet == 0


def test_team_that_floods_a_full_pool_goes_after_the_others(make_bench):
    """Pattern: one team hands in far more than the others while its pool is full."""
    bench = make_bench()
    ceiling, keys = model.Room(16000, 160000), frozenset({b"digest"})
    teams = [model.Team(name, keys, ceiling=ceiling) for name in ("flood", "calm")]
    bench.pool.quotas.on_teams(1, teams)
    bench.pool.fair_queue.on_teams(teams)
    bench.add_vm("w1", cpu=8000)
    for number in range(7):
        bench.add_job(f"a{number}", team="flood")
    ended = bench.add_job("c1", team="calm")
    bench.start()
    bench.pool.quotas.collect(conftest.NOW)
    bench.pool.quotas.on_result(rows.Change(table.Outcome.DONE, 1))
    running = {run.task.job: run for run in bench.start()}
    bench.add_job("a7", team="flood")
    bench.add_job("c2", team="calm")

    assert len(running) == 8
    bench.pool.remove_run(running["c1"])
    ended.final = model.JobState.COMPLETED
    assert [run.task.job for run in bench.start()] == ["c2"]


@pytest.mark.anyio
async def test_team_hears_of_returned_shares_while_those_of_others_change():
    """Guards against a team that stands still for good beside a busy one.

    Pattern: in a pool's turn the shares of some teams are written all the time, while
    one waits for what it ran in the pool whose turn is over.
    """
    store = rowstore.RowStore()
    place = (quota.QUOTA_TABLE, quota.QUOTA_PART, "t")
    full = {"b": quota.Share(1, CEILING)}
    store.put(*place, quota.write_allotment(quota.Allotment(1, CEILING, full)))
    runner = make_runner(store)
    quotas = runner.pool.quotas
    busy = [f"busy{number}" for number in range(1000)]
    teams = [model.Team(name, ceiling=CEILING) for name in ("t", *busy)]
    quotas.on_teams(1, teams)
    async with anyio.create_task_group() as group:
        group.start_soon(runner._adjust_quotas)
        with anyio.fail_after(3):
            for number in itertools.count():
                quotas.begin_round(is_certain=True)
                quotas.request(busy[number], TASK)
                if quotas.admits("t", TASK):
                    break
                quotas.request("t", TASK)
                quotas.end_round()
                runner._wake_quotas.set()
                if number == 20:
                    row = (await store.read(*place[:2], timeout=1)).rows[0]
                    allotment = quota.read_allotment(row.value)
                    shares = allotment.shares | {"b": quota.Share(1, model.Room())}
                    returned = allotment._replace(shares=shares)
                    store.put(*place, quota.write_allotment(returned))
                await anyio.sleep(0.005)
        group.cancel_scope.cancel()


def make_runner(store):
    owner = leader_record.Owner("a", "daemon", "life", 1, 10)
    deps = dependencies.Dependencies(
        store,
        None,
        None,
        metric.Instruments(),
        lambda: True,
        http.read_clock,
        http.read_clock,
        120.0,
        view.TimeBounds(6.5, 0.2),
    )
    return pool_runner.Runner(owner, deps, http.read_clock())


def test_shares_are_returned_although_other_rows_change_all_the_time(store):
    """Guards against a team that stands still as no release of its share succeeds.

    Pattern: a pool whose turn is over returns the shares of many teams at once, and
    pools in their turn change some of these rows in each of its passes.
    """
    one = Leader(store)
    teams = [model.Team(name, ceiling=CEILING) for name in ("t", "u")]
    one.quotas.on_teams(1, teams)
    one.run(10)
    one.quotas.request("u", TASK)
    one.sync()
    one.end(10)
    place = (quota.QUOTA_TABLE, quota.QUOTA_PART, "u")

    for _ in range(4):
        one.round()
        one.now += 0.2
        value, version = store.rows[quota.QUOTA_TABLE, "u"]
        store.commit(rows.Transaction((), (rows.Write(*place, value),)))
        while (transaction := one.quotas.collect(one.now)) is not None:
            one.quotas.on_result(store.commit(transaction))

    assert Leader(store, "b").run(16) == 16
