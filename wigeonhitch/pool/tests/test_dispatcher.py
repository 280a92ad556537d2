"""Leases that a leader reports to its successor, and orders of a deposed leader."""

import anyio
import pytest

from wigeonhitch.jobs import model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import http, workers
from wigeonhitch.pool import core, dependencies, dispatcher, runner, view, vm
from wigeonhitch.telemetry import metric

GRACE = 0.2


@pytest.fixture
def clock(monkeypatch):
    """Control this daemon's time, which begins at 100 s."""

    class Clock:
        now = 100.0

    monkeypatch.setattr(http, "read_clock", lambda: Clock.now)
    return Clock


@pytest.fixture
def make_dispatcher(clock):
    """Make the dispatcher of a leader that takes over now."""

    def make(earlier_lease):
        times = view.TimeBounds(earlier_lease, GRACE)
        pool = core.Pool("p", 10, 2, times, clock.now, lambda event, **fields: None)
        return dispatcher.Dispatcher(pool, None, list, lambda: None, None)

    return make


def test_reported_lease_includes_that_of_the_earlier_leader(make_dispatcher, clock):
    """Guards against two concurrent runs of a task after two hand-overs.

    The first leader granted 6.5 s during a store outage and gave the pool up. The
    second gave it up 0.3 s later and reported only its own 3.8 s, so that the third
    restarted the tasks of an unreachable VM while they ran on for 2 s.
    """
    sender = make_dispatcher(dispatcher.OUTAGE_LEASE_SECONDS)
    clock.now += 0.3

    assert sender.compute_max_granted_lease() >= dispatcher.OUTAGE_LEASE_SECONDS - 0.3


def test_earlier_lease_is_counted_by_the_slowest_clock(make_dispatcher, clock):
    sender = make_dispatcher(dispatcher.OUTAGE_LEASE_SECONDS)
    clock.now += 2.0

    passed = 2.0 * (1 - vm.MAX_CLOCK_DRIFT)
    assert sender.compute_max_granted_lease() == pytest.approx(
        dispatcher.OUTAGE_LEASE_SECONDS - passed
    )


def test_expired_earlier_lease_is_not_reported(make_dispatcher, clock):
    sender = make_dispatcher(dispatcher.OUTAGE_LEASE_SECONDS)
    clock.now += dispatcher.OUTAGE_LEASE_SECONDS

    assert sender.compute_max_granted_lease() == dispatcher.WORKER_LEASE_SECONDS


class Calls:
    """Counts the starts that are sent."""

    def __init__(self):
        self.starts = 0

    async def start(self, address, worker, order, *, timeout):
        self.starts += 1
        return workers.OrderReply(workers.Verdict.DONE)


@pytest.mark.anyio
async def test_deposed_leader_sends_no_start(bench):
    """Guards against two concurrent runs of a task.

    A worker reported a higher fencing token just after a start had been planned. The
    start was still sent to another VM, which didn't know the successor yet, as only
    the lease and the term were checked before sending.
    """
    calls = Calls()
    deps = dependencies.Dependencies(
        None, calls, None, metric.Instruments(), lambda: True, None, None, 60.0, None
    )
    sender = dispatcher.Dispatcher(bench.pool, deps, list, lambda: None, None)
    bench.add_vm()
    bench.add_job()
    (start,) = bench.plan()
    bench.pool.deposed = True

    await sender.send_start(start)

    assert calls.starts == 0


class EndingWorker:
    """Lists one end that hasn't been committed with each renewal, at once."""

    def __init__(self, start_ms=0):
        self.renewals = 0
        self.start_ms = start_ms

    async def hold(self, address, worker, fence, deadline, last, *, wait, timeout):
        self.renewals += 1
        await anyio.sleep(0)
        now = http.read_clock()
        task = model.Task("other", 0, 0, 0)
        ends = (workers.Ended(1, task, 1, model.End.DONE, ""),)
        done = workers.Verdict.DONE
        return workers.HoldReply(done, now, now, now, (), ends, self.start_ms)


@pytest.mark.anyio
async def test_ends_are_noticed_while_a_commit_takes_long(bench):
    """With a slow store each step of a job waited 0.6 s for the commit of other ends.

    A commit took 0.7 s, and a VM with an end that wasn't committed was asked again only
    after 0.6 s; jobs of 1.2 s took 3.9 s.
    """
    worker = EndingWorker()
    clock = http.read_clock
    deps = dependencies.Dependencies(
        *(None, worker, None, metric.Instruments(), lambda: True, clock, clock),
        *(60.0, view.TimeBounds(6.5, 0.2)),
    )
    owner = leader_record.Owner("p", "daemon", "life", 1, 10)
    leader = runner.Runner(owner, deps, clock())
    leader.pool.on_worker(bench.add_vm(answers=False).entry, clock())
    with anyio.move_on_after(0.7):
        await leader._dispatcher.renew_until_gone("w1")

    assert 3 <= worker.renewals <= 5


@pytest.mark.anyio
async def test_renewals_pause_while_an_end_is_not_acknowledged(bench):
    """Guards against hundreds of calls in a second to one worker.

    It answers at once while it lists an end, which isn't acknowledged while the next
    incarnation of the worker may execute a start.
    """
    worker = EndingWorker(start_ms=60_000)
    clock = http.read_clock
    deps = dependencies.Dependencies(
        *(None, worker, None, metric.Instruments(), lambda: True, clock, clock),
        *(60.0, view.TimeBounds(6.5, 0.2)),
    )
    owner = leader_record.Owner("p", "daemon", "life", 1, 10)
    leader = runner.Runner(owner, deps, clock())
    entry = bench.add_vm(answers=False, start_ms=60_000).entry
    leader.pool.on_worker(entry, clock())
    machine = leader.pool.roster.find_by_worker("w1")
    machine.committed_end = 1
    step = model.Step(1, model.Room(1000, 100), 1.0)
    run = vm.Run(model.Task("j", 0, 0, 0), 1, machine, step, clock())
    run.deadline = 1.2
    machine.runs[run.task] = run
    with anyio.move_on_after(0.5):
        await leader._dispatcher.renew_until_gone("w1")

    assert 3 <= worker.renewals <= 8
