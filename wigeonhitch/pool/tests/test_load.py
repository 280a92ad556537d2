"""Load of a pool as shown to operators: what runs, what is idle and what waits."""

import anyio
import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import http
from wigeonhitch.pool import compaction, dependencies, load, runner, view
from wigeonhitch.telemetry import log, metric

NOW = 100.0


def step(count=1, cpu=1000, **fields):
    return model.Step(count, model.Room(cpu, 100), **{"estimate": 1.0, **fields})


def compute_load(bench, now=NOW):
    groups = bench.planner.list_groups(now)
    return load.compute_load(bench.pool, groups, now, now)


def test_processors_are_split_by_the_urgency_of_the_jobs_that_use_them(bench):
    """Guards against a late pool that can't be told from one that is just full."""
    bench.add_vm(cpu=10000)
    bench.add_job("lasting", step(2, lasting=True))
    bench.add_job("on-time", step(3), accepted=NOW)
    bench.add_job("late", step(), accepted=NOW - 2)
    bench.add_job("expired", step(1, 500), accepted=NOW - 50)
    bench.start()

    shown = compute_load(bench)

    assert shown.list_uses() == {
        "lasting": 2000,
        "on time": 3000,
        "late": 1000,
        "expired": 500,
        "closed": 0,
        "idle": 3500,
        "waiting on time": 0,
        "waiting late": 0,
    }
    assert (shown.on_time_jobs, shown.late_jobs, shown.expired_jobs) == (1, 1, 1)
    assert not shown.lacks_room


def test_idle_room_of_closed_and_leaving_vms_is_not_shown_as_idle(bench):
    """Guards against room that no task can use being taken for free room."""
    bench.add_vm("w1", cpu=8000)
    bench.add_job("j", step(2, 2000))
    bench.start()
    bench.pool.set_closed(frozenset({"w1"}), {})
    entry = bench.add_vm("w2", cpu=3000).entry
    bench.pool.on_worker(entry._replace(leaving=True), NOW)
    bench.add_vm("w3", cpu=500)

    shown = compute_load(bench)

    assert (shown.on_time, shown.closed, shown.idle) == (4000, 4000 + 3000, 500)
    assert (shown.open_vms, shown.closed_vms) == (1, 2)


def test_vm_that_takes_no_tasks_is_neither_idle_nor_closed(bench):
    """Guards against idle room on VMs that don't answer while tasks wait."""
    bench.add_vm("w1", answers=False)
    bench.add_job("j")
    bench.plan()

    shown = compute_load(bench)

    assert (shown.idle, shown.closed, shown.open_vms) == (0, 0, 0)
    assert shown.lacks_room


def test_waiting_tasks_are_those_whose_turn_has_come(bench):
    """Tasks of later steps don't wait for room yet; late ones are shown apart."""
    bench.add_vm(cpu=2000)
    bench.add_job("j", step(3), step(4, after=(0,)), accepted=NOW)
    bench.add_job("late", step(2), accepted=NOW - 50)
    bench.start()

    shown = compute_load(bench)

    assert (shown.on_time, shown.waiting_on_time, shown.waiting_late) == (
        2000,
        1000,
        2000,
    )
    assert shown.lacks_room


def test_run_of_a_cancelled_job_counts_as_without_value(bench):
    """Guards against uses that don't add up to the pool while runs are stopped."""
    bench.add_vm(cpu=1000)
    state = bench.add_job("j")
    bench.start()
    row = record.JobRecord(state.job, NOW, True)
    bench.pool.on_job("j", row, 30, compaction.RowLocation("job00", "p.0"))
    bench.plan()

    shown = compute_load(bench)

    assert (shown.expired, shown.idle, shown.on_time_jobs) == (1000, 0, 0)


@pytest.mark.parametrize(
    ("late_step", "lacks_room"),
    [
        (step(1, 500), False),
        (step(1, 2000), True),
        (step(1, 500, label="b"), True),
        (step(3, 500, gang=True), True),
        (step(2, 500, gang=True), False),
    ],
)
def test_waiting_lacks_room_only_where_no_vm_fits(bench, late_step, lacks_room):
    """Guards against `pool load` lines for tasks that wait for something else."""
    bench.add_vm(cpu=1000)
    bench.add_job("late", late_step, accepted=NOW - 50)
    bench.planner._refresh_jobs(NOW)  # nothing has been started yet

    assert compute_load(bench).lacks_room is lacks_room


@pytest.fixture
def lines(monkeypatch):
    """Log lines that are written while a test runs."""
    written = []
    monkeypatch.setattr(
        log, "log_change", lambda change, **fields: written.append((change, fields))
    )
    return written


def lead(bench):
    """Return a runner with the pool of a bench, and its instruments."""
    instruments = metric.Instruments()
    deps = dependencies.Dependencies(
        *(None, None, None, instruments, lambda: True, http.read_clock),
        *(http.read_clock, 120.0, view.TimeBounds(6.5, 0.2)),
    )
    owner = leader_record.Owner("p", "daemon", "life", 1, 10)
    led = runner.Runner(owner, deps, http.read_clock())
    led.pool, led.planner = bench.pool, bench.planner
    return led, instruments


def read_gauge(instruments, use):
    return instruments.read("pool_millicores", {"pool": "p", "use": use})


@pytest.mark.anyio
async def test_load_is_logged_only_while_tasks_wait_for_room(bench, lines, monkeypatch):
    """Guards against lines each 2 s of pools that lack nothing."""
    led, instruments = lead(bench)
    monkeypatch.setattr(http, "read_clock", lambda: NOW)
    monkeypatch.setattr(runner.time, "time", lambda: NOW)
    bench.add_vm(cpu=2000)
    bench.add_job("j", step(1, 1500))
    bench.start()

    led._report_load()
    assert read_gauge(instruments, "on time") == 1500
    assert lines == []

    bench.add_job("k", step(1, 1500))
    bench.start()
    led._report_load()
    ((change, fields),) = lines
    assert change == "pool load"
    assert (fields["pool"], fields["on_time"], fields["idle"]) == ("p", 1500, 500)
    assert fields["waiting_on_time"] == read_gauge(instruments, "waiting on time")
    assert fields["waiting_on_time"] == 1500


@pytest.mark.anyio
async def test_gauges_are_0_once_leadership_has_ended(bench, monkeypatch):
    """Guards against a pool that two daemons show at the same time."""
    led, instruments = lead(bench)
    monkeypatch.setattr(runner, "LOAD_REPORT_SECONDS", 0.01)
    bench.add_vm(cpu=2000, answers=False)
    bench.pool.set_closed(frozenset({"w1"}), {})
    async with anyio.create_task_group() as group:
        group.start_soon(led._report_loads)
        await anyio.sleep(0.1)
        assert read_gauge(instruments, "closed") == 2000
        group.cancel_scope.cancel()

    assert read_gauge(instruments, "closed") == 0
