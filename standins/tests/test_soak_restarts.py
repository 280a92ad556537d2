"""Restarts of the soak's workers under their ids, their checks, and a short run."""

import random

import anyio
import orjson
import pytest

from standins import rowstore, siteworker
from standins.demo import process
from standins.soak import (
    caller,
    environment,
    fault,
    incarnation,
    main,
    relay,
    restartaudit,
    restartfault,
    vmfleet,
)
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, workers

pytestmark = pytest.mark.anyio

TASK = model.Task("00000000000000aa", 0, 0, 0)
SPEC = '{"seconds": 1.0}'


@pytest.fixture
def links():
    """Links to both addresses of a VM; they don't listen."""
    return [relay.Relay("127.0.0.1", port, "127.0.0.1", 1) for port in (11, 12)]


@pytest.fixture
def vm_fleet(links):
    """A VM whose worker is restarted under its id."""
    restarts = incarnation.Restarts(random.Random(1), {"vm": links[0]})
    restarts.spare_links["vm"] = links[1]
    created = vmfleet.VmFleet(rowstore.RowStore(), random.Random(1), restarts)
    created.add(vmfleet.Vm("vm", "alpha", 1, links[0].address))
    return created


def restart(vm_fleet, **changes):
    """Restart the worker of the VM, and return the entries before and after it."""
    vm = vm_fleet.vms["vm"]
    id = vm.worker.registered_id
    former = read_entry(vm_fleet, id)
    vm_fleet.restart(vm, 0.0, **changes)
    vm_fleet._advance(vm, vm.returns_at)
    assert vm.worker.registered_id == id
    return former, read_entry(vm_fleet, id)


def read_entry(vm_fleet, id):
    return orjson.loads(vm_fleet.rows.get(entries.WORKER_TABLE, "", id))


async def test_restarted_worker_begins_anew_under_its_id(vm_fleet):
    """Guards against a stand-in whose incarnations can be told apart by their ids, or
    whose counts and clock go on."""
    former, entry = restart(vm_fleet)

    assert [former["sequence"], entry["sequence"]] == [1, 1]
    assert entry["clock_ms"] < 1000
    first, second = vm_fleet.restarts.incarnations
    assert first.registered_id == second.registered_id
    assert first.worker != second.worker


@pytest.mark.parametrize(("offset", "sign"), [(-5.0, -1), (0.0, 0), (5.0, 1)])
async def test_start_follows_the_clock_of_the_vm(vm_fleet, offset, sign):
    """Guards against runs in which a later incarnation always reports a later start."""
    vm_fleet.restarts.wall_offsets["vm"] = offset

    former, entry = restart(vm_fleet, repeats_start=not sign)

    difference = entry["born"] - former["born"]
    assert (difference > 0) - (difference < 0) == sign


async def test_restart_elsewhere_refuses_calls_at_the_former_address(vm_fleet, links):
    """Guards against calls to the former address that reach the next incarnation."""
    former, entry = restart(vm_fleet, relocates=True)

    assert [former["address"], entry["address"]] == [link.address for link in links]
    assert [link.is_refusing for link in links] == [True, False]


async def test_list_of_vms_shows_some_restarts_and_hides_others(vm_fleet):
    """Guards against a list that always shows an ended worker as down, or never."""
    vm = vm_fleet.vms["vm"]
    shown = set()
    for _ in range(20):
        vm_fleet.restart(vm, 0.0)
        [row] = vm_fleet.list_vms().body["machines"]
        shown.add((row["state"], row["id"]))
        vm_fleet._advance(vm, vm.returns_at)

    assert shown == {("up", vm.worker.registered_id), ("down", "")}


async def test_worker_without_restarts_has_a_new_id_and_reports_no_start():
    """Guards against runs of other plans that change with this one."""
    created = vmfleet.VmFleet(rowstore.RowStore(), random.Random(1))
    vm = vmfleet.Vm("vm", "alpha", 1, "127.0.0.1:1")
    created.add(vm)
    fields = read_entry(created, vm.worker.id)
    created.crash(vm, 0.0)
    created._advance(vm, vm.returns_at)

    assert vm.worker.registered_id == "life0002"
    assert not {"born", "sequence"} & set(fields)


class Site:
    """The parts of a site that faults of workers and entries need."""

    def __init__(self, vm_fleet):
        self.vm_fleet = vm_fleet
        self.store = self
        self.rows = vm_fleet.rows


@pytest.fixture
def injector(vm_fleet):
    rng = random.Random(1)
    return restartfault.Injector(Site(vm_fleet), rng, rng)


@pytest.mark.parametrize(
    ("kind", "is_expected"),
    [
        ("entry without start", lambda start, own: start is None),
        ("entry with later start", lambda start, own: start > own),
        ("entry with earlier start", lambda start, own: start < own),
        ("entry with unreadable start", lambda start, own: start == str(own)),
    ],
)
async def test_foreign_entry_stays_until_the_next_heartbeat(
    vm_fleet, injector, kind, is_expected, monkeypatch
):
    """Guards against foreign entries that aren't written, or that stay for good."""
    monkeypatch.setattr(vmfleet, "HEARTBEAT_SECONDS", 0.0)
    vm = vm_fleet.vms["vm"]
    id, own = vm.worker.registered_id, vm.worker.start_ms

    await injector._inject(fault.Fault(0.0, kind, 0.5, 1.0))
    foreign = read_entry(vm_fleet, id).get("born")
    vm_fleet._advance(vm, 1e9)

    assert is_expected(foreign, own)
    assert read_entry(vm_fleet, id)["born"] == own


@pytest.mark.parametrize(("crashes", "is_crashed"), [(1, True), (2, False)])
async def test_task_is_spared_after_it_has_lost_two_workers(
    vm_fleet, injector, crashes, is_crashed
):
    """Guards against tasks that are given up for the crashes of these faults."""
    vm = vm_fleet.vms["vm"]
    worker = vm.worker
    vm_fleet.events.extend(
        siteworker.Event(1.0, "end", f"v{number}", TASK, number, "crashed")
        for number in range(crashes)
    )
    worker.runs[TASK] = siteworker._Run(TASK, 9, 1e9, model.End.DONE)
    planned = fault.Fault(0.0, "worker restarts", 0.5, 0.0)

    async with anyio.create_task_group() as group:
        group.start_soon(injector._inject, planned)
        await anyio.wait_all_tasks_blocked()
        group.cancel_scope.cancel()

    assert worker.alive is not is_crashed


def make_worker(id="w"):
    worker = incarnation.Worker(id, [], random.Random(1))
    worker.reset_clock(0.0)
    return worker


def end_run(worker):
    """Let a worker run a task to its end, without listing it."""
    worker.start(workers.Start(TASK, 1, SPEC, 100.0, 1), 1.0)
    worker.advance(3.0)


@pytest.mark.parametrize(("listed", "count"), [(False, 1), (True, 0)])
def test_acknowledgement_of_an_end_that_was_never_listed_is_found(listed, count):
    """Guards against numbers of a former incarnation's ends that acknowledge those of
    the next one."""
    worker = make_worker()
    end_run(worker)
    if listed:
        worker.hold(1, None, 0, 4.0)
    worker.hold(1, None, 57, 5.0)

    assert len(restartaudit.check_forgotten([worker])) == count


def test_acknowledgement_that_the_worker_refuses_is_not_found():
    """Guards against findings by calls of a former leader, which have no effect."""
    worker = make_worker()
    end_run(worker)
    worker.hold(0, None, 57, 5.0)

    assert restartaudit.check_forgotten([worker]) == []


@pytest.mark.parametrize(("time", "count"), [(10.9, 0), (11.1, 1)])
def test_start_after_a_job_was_shown_as_completed_is_found(time, count):
    """Guards against starts of tasks whose ends no worker knows any more."""
    call = caller.Call("d", 9.0, 10.0, "GET", TASK.job, 200, {"state": "completed"})
    start = siteworker.Event(time, "start", "w", TASK, 2)

    assert len(restartaudit.check_completed([call], [start])) == count


@pytest.mark.parametrize(
    ("used", "last_start", "count"),
    [(("v",), 12.1, 1), (("v", "w"), 12.1, 0), (("v",), 11.9, 0)],
)
def test_worker_that_is_idle_while_tasks_wait_is_found(
    vm_fleet, used, last_start, count
):
    """Guards against a restarted worker that is listed and gets no task any more."""
    vm_fleet.vms["vm"].worker.id = "w"
    job = caller.SubmittedJob(TASK.job, environment.QUEUES[0], {})
    vm_fleet.events.extend(
        siteworker.Event(time, "start", worker, TASK, 1)
        for worker in used
        for time in (10.5, last_start)
    )
    probe = restartaudit.Probe(10.0, job, ("v", "w"))

    assert len(restartaudit.check_idle([probe], vm_fleet)) == count


async def test_worker_that_leaves_is_not_found_idle(vm_fleet):
    """Guards against findings by workers that no task may be started on."""
    worker = vm_fleet.vms["vm"].worker
    job = caller.SubmittedJob(TASK.job, environment.QUEUES[0], {})
    vm_fleet.events.append(siteworker.Event(15.0, "start", "v", TASK, 1))
    vm_fleet.drain(vm_fleet.vms["vm"])

    probe = restartaudit.Probe(10.0, job, (worker.id,))

    assert restartaudit.check_idle([probe], vm_fleet) == []


@pytest.mark.parametrize(
    ("begun", "expected"), [((), True), ((1,), True), ((1, 2), False)]
)
def test_vm_awaits_each_maintenance_that_has_not_begun(begun, expected):
    """Guards against findings by VMs that are closed for their maintenance, and against
    VMs that are left out after it."""
    site = environment.Environment(random.Random(1))
    for number in (1, 2):
        site.order_wave(number, ["a"], 20.0)
    site.vm_fleet.orders.extend(
        vmfleet.Order(1.0, "a", number, "x", 7) for number in begun
    )

    assert site.awaits_maintenance("a") is expected
    assert not site.awaits_maintenance("b")


async def test_refusing_link_resets_new_connections():
    """Guards against a worker that is gone and whose address still takes calls."""
    ports = process.Ports()
    target, port = ports.allocate(2)
    link = relay.Relay("127.0.0.1", port, "127.0.0.1", target)
    link.is_refusing = True
    try:
        async with anyio.create_task_group() as group:
            await group.start(link.run)
            with pytest.raises((OSError, anyio.BrokenResourceError, anyio.EndOfStream)):
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    await stream.receive()
            group.cancel_scope.cancel()
    finally:
        ports.close()


@pytest.mark.processes
async def test_short_run_with_restarts_has_no_violation(tmp_path):
    """Guards against tasks that run twice, or are lost, as workers are restarted under
    their ids by clocks that were set back."""
    options = main.Options(
        seconds=5.0, rate=8.0, restarts=True, restart_kinds="set back|same time"
    )
    result = await main.run_seed(79, tmp_path, options)

    assert result.violations == []
    assert {span.kind for span in result.spans} & set(restartfault.KINDS)
    assert result.starts > 20
