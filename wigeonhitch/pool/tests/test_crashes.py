"""Tasks that crash the VMs that start them."""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import workers
from wigeonhitch.pool import status, suspect, vm

NOW = 100.0
CLOCK = 5000.0
MAX_CRASHED_VMS = 5
"""Most VMs that one task may crash: the platform's rules allow fewer than three
starts after three crashes."""


def step(count=1, cpu=1000, **fields):
    return model.Step(count, model.Room(cpu, 100), **{"estimate": 1.0, **fields})


class Site:
    """VMs of a pool, each replaced by a new incarnation after it has crashed."""

    def __init__(self, bench, count=4, racks=("r1", "r2")):
        self.bench = bench
        self.now = NOW
        self.racks = {f"w{n}": racks[n % len(racks)] for n in range(count)}
        self.crashed = []
        self.vms = [self._add(id) for id in self.racks]

    @property
    def pool(self):
        return self.bench.pool

    def take_over(self, bench):
        """Let a new leader read the rows that were committed."""
        former, self.bench = self.bench, bench
        for id, state in former.pool.jobs.items():
            job = record.JobRecord(state.job, state.accepted, state.cancelled)
            bench.pool.on_job(id, job, state.version, former.pool.job_locations[id])
        for (table, key), (value, version) in former.rows.items():
            if table == "progress" and value is not None:
                bench.pool.on_progress(key, value, version)
        bench.rows = dict(former.rows)
        self.vms = [self._add(machine.id) for machine in self.vms]

    def _add(self, id):
        clock = CLOCK + self.now - NOW
        labels = ("a", self.racks[id])
        machine = self.bench.add_vm(id, clock=clock, labels=labels, answers=False)
        self.bench.answer(machine, now=self.now)
        return machine

    def answer(self, machine, ended=()):
        listed = [
            workers.Running(run.task, run.number, "", 100, 0)
            for run in machine.runs.values()
            if run.state is vm.RunState.RUNNING
            and run.task not in [end.task for end in ended]
        ]
        self.bench.answer(machine, listed, ended, now=self.now)

    def advance(self, seconds=0.5):
        """Let time pass, with an answer of each VM that lists its runs."""
        self.now += seconds
        for machine in self.vms:
            machine.record_lease_deadline(machine.compute_deadline(self.now, 3.8))
            self.answer(machine)

    def start(self):
        """Plan rounds until tasks start; return their runs."""
        for _ in range(40):
            if runs := self.bench.start(self.now):
                return runs
            self.bench.commit()
            self.advance()
        return []

    def finish(self, run):
        """Let a run end as done."""
        end = workers.Ended(
            run.vm.processed_end + 1, run.task, run.number, model.End.DONE, ""
        )
        self.answer(run.vm, [end])

    def crash(self, machine, way=vm.VmEnd.LOST):
        """End a VM's incarnation; the leader learns of it in one of four ways."""
        self.vms.remove(machine)
        self.crashed.append(machine.id)
        gone = workers.Verdict.GONE
        if way is vm.VmEnd.REPLACED:
            self.pool.on_hold(machine, workers.HoldReply(gone), self.now)
        elif way is vm.VmEnd.EXPIRED:
            machine.is_silent = True
            self.pool.on_worker_removed(machine.id)
            for _ in range(20):
                self.advance()
                self.pool.expire_leases(self.now)
        elif way is None:
            run = next(iter(machine.runs.values()))
            self.pool.on_start(run, workers.OrderReply(gone), self.now)
        else:
            self.report(machine, way)
        assert machine.gone
        id = f"w{len(self.racks)}"
        self.racks[id] = machine.rack
        self.vms.append(self._add(id))

    def report(self, machine, way):
        """Let the fleet's leader report the end of a VM."""
        self.pool.set_closed(frozenset({machine.id}), {machine.id: way}, 1000)


@pytest.fixture
def make_site():
    return Site


@pytest.fixture
def site(bench):
    return Site(bench)


@pytest.mark.parametrize(
    "way",
    [vm.VmEnd.LOST, vm.VmEnd.REPLACED, vm.VmEnd.EXPIRED, None],
    ids=["listed", "replaced", "expired", "start"],
)
def test_task_that_crashes_each_vm_is_given_up(bench, make_site, way):
    """Guards against a task that is started for ever and takes down VM after VM.

    A VM that crashes lists no end of its runs, and only listed ends counted.
    """
    site = make_site(bench)
    state = bench.add_job()
    while len(site.crashed) <= MAX_CRASHED_VMS and (runs := site.start()):
        site.crash(runs[0].vm, way)

    assert len(site.crashed) <= MAX_CRASHED_VMS
    assert state.final is model.JobState.FAILED


@pytest.mark.parametrize("takeovers", [False, True])
def test_crashes_count_over_leaders_and_restarts(make_bench, make_site, takeovers):
    """Guards against a count that is lost with the leader's memory."""
    site = make_site(make_bench())
    site.bench.add_job(version=5)
    starts = 0
    for epoch in range(2, 9):
        runs = site.start()
        starts += len(runs)
        if not runs:
            break
        site.crash(runs[0].vm)
        site.bench.commit()
        if takeovers:
            site.take_over(make_bench(epoch=epoch))

    assert starts == 4
    value, _ = site.bench.rows["progress", "j"]
    assert record.read_final(value) is model.JobState.FAILED


def test_task_is_not_started_again_before_its_crash_is_recorded(site):
    """Guards against crashes that count for nothing while the store is away."""
    site.bench.add_job()
    (run,) = site.start()

    site.crash(run.vm)

    assert site.bench.start(site.now) == []
    site.bench.commit()
    assert len(site.bench.start(site.now)) == 1


def test_crash_that_is_reported_twice_counts_once(site):
    """Guards against a job that fails early, as a crash was reported twice."""
    state = site.bench.add_job()
    (run,) = site.start()
    site.crash(run.vm, vm.VmEnd.REPLACED)

    site.report(run.vm, vm.VmEnd.LOST)
    site.pool.drop_vm(run.vm, vm.VmEnd.EXPIRED)

    assert state.count_crashes(run.task) == 1


@pytest.mark.parametrize("planned", ["order", "closed", "leaving"])
def test_planned_end_of_a_vm_is_no_crash(site, planned):
    """Guards against jobs that fail because their VMs were moved or taken away."""
    state = site.bench.add_job()
    (run,) = site.start()
    if planned == "closed":
        site.pool.set_closed(frozenset({run.vm.id}), {}, 900)
    if planned == "leaving":
        site.pool.on_worker(run.vm.entry._replace(leaving=True), site.now)

    site.crash(run.vm, vm.VmEnd.ORDERED if planned == "order" else vm.VmEnd.REPLACED)

    assert state.count_crashes(run.task) == 0


def test_vm_that_answers_again_has_not_crashed(site):
    """Guards against partitions that count against the tasks of a VM that goes on."""
    state = site.bench.add_job()
    (run,) = site.start()
    machine = run.vm
    machine.is_silent = True
    site.vms.remove(machine)
    for _ in range(20):
        site.advance()
        site.pool.expire_leases(site.now)
    assert state.count_crashes(run.task) == 1

    machine.is_silent = False
    site.answer(machine)

    assert state.count_crashes(run.task) == 0


def crash_under(site, ids, *, rounds=60):
    """Crash each VM that starts a task of the jobs; all other tasks end as done."""
    for _ in range(rounds):
        site.bench.start(site.now)
        for machine in list(site.vms):
            if any(task.job in ids for task in machine.runs):
                site.crash(machine)
        site.bench.commit()
        site.advance()
        for machine in list(site.vms):
            for run in list(machine.runs.values()):
                if run.state is vm.RunState.RUNNING and not run.step.lasting:
                    site.finish(run)


@pytest.mark.parametrize("count", [1, 2, 4])
def test_tasks_beside_those_that_crash_vms_are_completed(bench, make_site, count):
    """Guards against jobs that are given up for a crash that another one caused."""
    site = make_site(bench, 4)
    guilty = {f"bad{number}" for number in range(count)}
    bad = [bench.add_job(id) for id in sorted(guilty)]
    innocent = [bench.add_job(f"j{number}", step(4)) for number in range(10)]
    lasting = bench.add_job("l", step(2, lasting=True, spread=1))

    crash_under(site, guilty)

    assert {job.final for job in bad} == {model.JobState.FAILED}
    assert {job.final for job in innocent} == {model.JobState.COMPLETED}
    assert lasting.final is None
    assert len(site.crashed) <= 4 * count


def test_racks_that_are_lost_one_after_the_other_fail_no_job(site):
    """Guards against jobs that are given up because of losses of power."""
    jobs = [site.bench.add_job(f"j{number}", step(2)) for number in range(4)]
    for rack in ("r1", "r2", "r1"):
        site.start()
        lost = [machine for machine in site.vms if machine.rack == rack]
        for machine in lost:
            machine.is_silent = True
        for machine in lost:
            site.crash(machine)
        site.bench.commit()
        site.advance()

    assert [job.final for job in jobs] == [None] * 4


def test_long_batch_task_is_no_suspect_when_its_rack_is_lost(site):
    """Guards against long jobs that are given up because of losses of power."""
    state = site.bench.add_job()
    (run,) = site.start()
    for _ in range(12):
        site.advance()
    peers = [other for other in site.vms if other.rack == run.vm.rack]
    for machine in peers:
        machine.is_silent = True

    for machine in peers:
        site.crash(machine)

    assert state.count_crashes(run.task) == 0


def prepare_test(site):
    """Let two VMs crash under a task; return its state and the VM of its test."""
    state = site.bench.add_job("bad")
    task = model.Task("bad", 0, 0, 0)
    for _ in range(2):
        while task not in site.pool.live:
            site.start()
        site.crash(site.pool.live[task].vm)
    site.bench.commit()
    site.bench.plan(site.now)
    assert task not in site.pool.live
    return state, state.assigned_vms[task]


def test_tested_task_runs_alone_on_a_recorded_vm(site):
    """Guards against an innocent task on the VM of a test, and a lost third crash."""
    state, id = prepare_test(site)
    assert site.bench.start(site.now) == []  # the VM isn't recorded yet

    site.bench.commit()
    site.bench.add_job("other", step(40))
    started = site.bench.start(site.now)

    assert {run.task.job for run in started if run.vm.id == id} == {"bad"}
    assert {run.vm.id for run in started if run.task.job == "bad"} == {id}
    assert b'"assigned":{"0.0.0":"' + id.encode() in record.write_progress(state)


def count_crashes(site, id, crashes):
    """Add a job under whose task VMs have crashed."""
    state = site.bench.add_job(id)
    for number in range(crashes):
        site.pool.suspects._count(model.Task(id, 0, 0, 0), f"gone{number}")
    site.bench.commit()
    return state


def test_tested_task_waits_until_others_have_left_its_vm(site):
    """Guards against a test that proves nothing, as other tasks run on its VM."""
    site.bench.add_job("other", step(28))
    site.bench.start(site.now)
    state = count_crashes(site, "bad", 2)
    site.bench.start(site.now)
    site.bench.commit()
    assert site.bench.start(site.now) == []
    (id,) = state.assigned_vms.values()

    for run in list(site.pool.vms[id].runs.values()):
        site.finish(run)

    assert [(r.task.job, r.vm.id) for r in site.bench.start(site.now)] == [("bad", id)]


def test_vm_that_a_suspect_waits_for_is_not_kept_for_a_test(make_bench, make_site):
    """Guards against a start beyond the room of a VM.

    A suspect waited for the record of its VM, the VM was then kept for a test, and the
    room that others had taken meanwhile was not looked at.
    """
    site = make_site(make_bench(), 1)
    first = count_crashes(site, "first", 1)
    assert site.bench.start(site.now) == []
    second = count_crashes(site, "second", 2)
    site.bench.start(site.now)
    assert set(first.assigned_vms.values()) == {"w0"}
    assert second.assigned_vms == {}


def test_only_some_vms_are_kept_for_tests(make_bench, make_site):
    """Guards against a pool that does nothing but test suspects."""
    site = make_site(make_bench(), 8)
    for number in range(6):
        count_crashes(site, f"bad{number}", 2)

    site.bench.start(site.now)

    assert len(site.pool.suspects.list_test_vms()) == 4


@pytest.mark.parametrize("do_others_wait", [True, False])
def test_tests_leave_a_vm_to_others_while_crashed_ones_are_away(
    make_bench, make_site, do_others_wait
):
    """Guards against a small pool that does nothing but test suspects.

    A VM that a test had crashed no longer counted as used by tests, and the next test
    took one of those that were left, until the pool had none for other tasks.
    """
    site = make_site(make_bench(), 3)
    for number in range(3):
        count_crashes(site, f"bad{number}", 2)
    if do_others_wait:
        site.bench.add_job("other", step(40))
    tested = [run.vm for run in site.start() if run.task.job != "other"]
    while len(tested) < 2:
        tested += [run.vm for run in site.start() if run.task.job != "other"]
    for machine in tested:
        site.vms.remove(machine)
        site.report(machine, vm.VmEnd.LOST)
    (left,) = site.vms
    for run in list(left.runs.values()):
        site.finish(run)
    site.bench.commit()

    started = site.bench.start(site.now)

    used = {left.id} - {run.vm.id for run in started}
    assert site.pool.suspects.list_test_vms() == used
    assert bool(started) == do_others_wait

    site.advance(suspect.TEST_LOSS_SECONDS)
    for run in started:
        site.finish(run)
    site.bench.start(site.now)
    assert site.pool.suspects.list_test_vms() == {left.id}


def test_suspects_are_spread_over_the_vms(make_bench, make_site):
    """Guards against suspects that make each other suspect by sharing a VM."""
    site = make_site(make_bench(), 8)
    for number in range(8):
        count_crashes(site, f"bad{number}", 1)
    assert site.bench.start(site.now) == []
    site.bench.commit()

    runs = site.bench.start(site.now)

    assert len({run.vm.id for run in runs}) == len(runs) == 8


@pytest.mark.parametrize("vms", [1, 2, 6])
def test_suspects_do_not_wait_while_vms_are_idle(make_bench, make_site, vms):
    """Guards against accepted jobs that stand still beside free room.

    Suspects got a VM each on half of the pool, so that those of a small pool were
    started one after the other.
    """
    site = make_site(make_bench(), vms)
    for number in range(6):
        count_crashes(site, f"j{number}", 1)
    site.bench.start(site.now)
    site.bench.commit()

    assert len(site.bench.start(site.now)) == 6


@pytest.mark.parametrize("is_gone", [True, False])
def test_test_that_an_earlier_leader_began_counts(make_bench, make_site, is_gone):
    """Guards against a crash that no leader saw, as it was lost with its VM."""
    site = make_site(make_bench())
    state, id = prepare_test(site)
    site.bench.commit()
    assert len(site.bench.start(site.now)) == 1
    site.vms = [m for m in site.vms if m.id != id or not is_gone]

    site.take_over(make_bench(epoch=2))
    site.start()

    task = model.Task("bad", 0, 0, 0)
    state = site.pool.jobs["bad"]
    assert state.count_crashes(task) == (3 if is_gone else 2)
    assert state.final is None


def test_lasting_task_that_has_worked_is_no_suspect(site):
    """Guards against lasting jobs that fail for crashes that others cause."""
    lasting = site.bench.add_job("l", step(lasting=True))
    (run,) = site.start()
    for _ in range(12):
        site.advance()
    assert suspect.is_proven(run)

    site.crash(run.vm)

    assert lasting.count_crashes(run.task) == 0


def test_lasting_task_that_works_again_is_cleared(site):
    """Guards against lasting jobs that fail for crashes long ago."""
    lasting = site.bench.add_job("l", step(lasting=True))
    site.crash(site.start()[0].vm)
    (run,) = site.start()
    assert lasting.count_crashes(run.task) == 1

    for _ in range(12):
        site.advance()

    assert lasting.count_crashes(run.task) == 0


def test_cancelled_job_is_not_shown_as_failed(site):
    """Guards against two final states of a job cancelled as its VM crashes."""
    state = site.bench.add_job()
    (run,) = site.start()
    state.cancelled = True

    for number in range(5):
        site.pool.suspects._count(run.task, f"gone{number}")
    site.crash(run.vm)

    assert state.final is None


def test_member_of_a_gang_that_crashes_its_vms_is_given_up(bench, make_site):
    """Guards against a gang that is started for ever, as one member crashes its VM."""
    site = make_site(bench)
    state = bench.add_job("g", step(3, gang=True))
    while len(site.crashed) <= MAX_CRASHED_VMS and (runs := site.start()):
        site.crash(runs[0].vm)
        for run in runs[1:]:
            site.pool.remove_run(run)

    assert len(site.crashed) <= MAX_CRASHED_VMS
    assert state.final is model.JobState.FAILED


def test_vm_whose_capacity_has_shrunk_hides_no_room_of_others(site):
    """Guards against VMs that are moved in vain, or not, beside a shrunk one."""
    site.bench.add_job("first", step(8))
    (full,) = {run.vm for run in site.start()}
    before = status.compute_batch_capacity(site.pool)
    site.pool.on_worker(full.entry._replace(room=model.Room(2000, 65536)), site.now)

    published = site.bench.planner.build_status(site.now, site.now)

    assert published.idle == 3 * 8000
    assert before - status.compute_batch_capacity(site.pool) == 6000


def test_nothing_is_started_on_a_vm_whose_capacity_has_shrunk(site):
    """Guards against starts beyond a VM's room, which runs and stops still take."""
    (machine,) = site.vms[:1]
    for other in site.vms[1:]:
        site.pool.on_worker(other.entry._replace(leaving=True), site.now)
    site.bench.add_job("first", step(3))
    runs = site.start()
    room = model.Room(2500, 65536)
    site.pool.on_worker(machine.entry._replace(room=room), site.now)
    runs[0].state = vm.RunState.STOPPING
    site.bench.add_job("second", step(1, cpu=500))
    assert site.bench.start(site.now) == []

    site.pool.on_worker(machine.entry._replace(room=model.Room(4000, 65536)), site.now)

    assert [run.task.job for run in site.bench.start(site.now)] == ["second"]
