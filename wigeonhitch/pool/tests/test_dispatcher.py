"""What a leader that gives a pool up passes on of its workers' leases."""

import pytest

from wigeonhitch.platform import http, workers
from wigeonhitch.pool import core, dependencies, dispatcher, view, vm
from wigeonhitch.telemetry import metric

GRACE = 0.2


@pytest.fixture
def clock(monkeypatch):
    """Set this daemon's time; begins at 100 s."""

    class Clock:
        now = 100.0

    monkeypatch.setattr(http, "read_clock", lambda: Clock.now)
    return Clock


@pytest.fixture
def make_caller(clock):
    """Make the caller of a leader that takes over now."""

    def make(predecessors_lease):
        times = view.TimeBounds(predecessors_lease, GRACE)
        pool = core.Pool("p", 10, 2, times, clock.now, lambda what, **fields: None)
        return dispatcher.Dispatcher(pool, None, list, lambda: None, None)

    return make


def test_what_a_leader_before_granted_is_passed_on_as_well(make_caller, clock):
    """What could be seen: one task run twice at the same time, two hand-overs on.

    How: during an outage of the store the first leader granted 6.5 s and gave the
    pool up; the second gave it up 0.3 s later and passed on its own 3.8 s. The third
    waited that long for a VM that it couldn't reach, and started its tasks elsewhere
    while they ran on for 2 s.

    Cause: the figure told what this leader had granted, and was taken for all that
    may still last. It now holds the rest of what the one before granted.
    """
    one = make_caller(dispatcher.OUTAGE_LEASE)
    clock.now += 0.3

    assert one.compute_max_granted_lease() >= dispatcher.OUTAGE_LEASE - 0.3


def test_an_earlier_lease_is_passed_on_by_the_slowest_clock(make_caller, clock):
    one = make_caller(dispatcher.OUTAGE_LEASE)
    clock.now += 2.0

    passed = 2.0 * (1 - vm.MAX_CLOCK_DRIFT)
    assert one.compute_max_granted_lease() == pytest.approx(
        dispatcher.OUTAGE_LEASE - passed
    )


def test_what_has_run_out_is_not_passed_on_again(make_caller, clock):
    one = make_caller(dispatcher.OUTAGE_LEASE)
    clock.now += dispatcher.OUTAGE_LEASE

    assert one.compute_max_granted_lease() == dispatcher.WORKER_LEASE


class Calls:
    """Counts the starts that leave."""

    def __init__(self):
        self.starts = 0

    async def start(self, address, worker, order, *, timeout):
        self.starts += 1
        return workers.OrderReply(workers.Verdict.DONE)


@pytest.mark.anyio
async def test_a_leader_that_a_worker_has_deposed_starts_nothing_more(bench):
    """What could be seen: one task run twice at the same time.

    How: a worker answered that it has seen a higher token, in the moment in which a
    start had been decided. The start still left for another VM, that had not heard of
    the successor yet.

    Cause: the right to order was asked of the lease and the term, not of what is known
    of the successor. An order leaves only while nobody has deposed its leader.
    """
    calls = Calls()
    deps = dependencies.Dependencies(
        None, calls, None, metric.Instruments(), lambda: True, None, None, 60.0, None
    )
    one = dispatcher.Dispatcher(bench.pool, deps, list, lambda: None, None)
    bench.add_vm()
    bench.add_job()
    (start,) = bench.plan()
    bench.pool.deposed = True

    await one.send_start(start)

    assert calls.starts == 0
