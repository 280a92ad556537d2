"""Orders of events in which a crash of a VM isn't counted, or is for the wrong task.

Each test forces one order, over leaders of which each reads only what its predecessors
have committed. A guilty task crashes each VM that starts it, and may crash five.
"""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import workers
from wigeonhitch.pool import compaction, vm
from wigeonhitch.pool import record as pool_record

NOW = 100.0
CLOCK = 5000.0
LOCATION = compaction.RowLocation("job00", "p.0")
MAX_CRASHED_VMS = 5
"""Most VMs that one task may crash: the platform's rules allow fewer than three
starts after three crashes."""

LEASE_SECONDS = 3.8
MAX_ROUNDS = 80
JOBS_PER_BATCH = 20


def step(count=1, cpu=1000, **fields):
    return model.Step(count, model.Room(cpu, 100), **{"estimate": 1.0, **fields})


class Succession:
    """Leaders of one pool that follow each other, its rows and its VMs.

    Each leader counts time from `NOW`. A VM that has crashed is replaced at once by
    another incarnation in its rack.
    """

    def __init__(
        self, make_bench, count=4, *, racks=("r1", "r2"), leaders_overlap=False
    ):
        self._make_bench = make_bench
        self._leaders_overlap = leaders_overlap
        self._epoch = 0
        self._count = 0
        self.bench = None
        self.jobs = {}
        self.racks = {}
        """Racks of the VMs that run."""
        self.unreachable = set()
        """Listed VMs that don't answer."""
        self.ended = {}
        self.crashed = []
        for number in range(count):
            self._replace(racks[number % len(racks)])
        self.lead()

    # -- leaders and jobs

    def lead(self):
        """Replace the leader; what it hasn't committed is lost."""
        former, self.now = self.bench, NOW
        version = former.version + 1 if former else 1000
        self._epoch += 1
        self.bench = self._make_bench(fence=version, epoch=self._epoch)
        self.bench.version = version
        self.bench.rows = dict(former.rows) if former else {}
        pool = self.bench.pool
        pool.times = pool.times._replace(leaders_overlap=self._leaders_overlap)
        for id, (job, accepted, row_version) in self.jobs.items():
            row = record.JobRecord(job, accepted, False)
            pool.on_job(id, row, row_version, LOCATION)
        for id, value, row_version in self._list_rows(pool_record.PROGRESS_TABLE):
            pool.on_progress(id, value, row_version)
        for id, value, row_version in self._list_rows(pool_record.ROSTER_TABLE):
            pool.on_roster(id, pool_record.read_roster(value), row_version, NOW)
        pool.set_closed(frozenset(self.ended), dict(self.ended), version)
        for id in self.racks:
            self._join(id)
        self.bench.commit()
        self.advance(0.0)

    def _list_rows(self, table):
        listed = [(k, *row) for (t, k), row in self.bench.rows.items() if t == table]
        return [row for row in listed if row[1] is not None]

    def submit(self, id, *steps, version=0):
        self.bench.version += 1
        version = version or self.bench.version
        state = self.bench.add_job(id, *(steps or (step(),)), version=version)
        self.jobs[id] = (state.job, state.accepted, version)
        return state

    def get_final(self, id="bad"):
        """Return a job's final state; the leader forgets it once that is durable."""
        if id in self.bench.pool.jobs:
            return self.bench.pool.jobs[id].final
        return record.read_final(self.bench.rows[pool_record.PROGRESS_TABLE, id][0])

    # -- VMs

    def _replace(self, rack):
        id = f"w{self._count}"
        self._count += 1
        self.racks[id] = rack
        return id

    def _join(self, id):
        labels = ("a", self.racks[id])
        machine = self.bench.add_vm(id, labels=labels, answers=False)
        machine.is_silent = id in self.unreachable
        return machine

    def answer(self, machine, ended=()):
        listed = [
            workers.Running(run.task, run.number, "", 50, 0)
            for run in machine.runs.values()
            if run.state is vm.RunState.RUNNING
            and run.task not in [end.task for end in ended]
        ]
        self.bench.answer(machine, listed, ended, now=self.now)

    def list_reachable(self):
        return [
            machine
            for id, machine in list(self.bench.pool.vms.items())
            if id in self.racks and id not in self.unreachable
        ]

    def advance(self, seconds=0.5):
        """Let time pass, with an answer of each VM that can be reached."""
        self.now += seconds
        for machine in self.list_reachable():
            deadline = machine.compute_deadline(self.now, LEASE_SECONDS)
            machine.record_lease_deadline(deadline)
            self.answer(machine)
        self.bench.pool.expire_leases(self.now)

    def start(self, id="bad", *, sent=True, answered=True):
        """Let rounds pass until a task of the job starts; return its runs."""
        for _ in range(MAX_ROUNDS):
            if sent:
                started = self.bench.start(self.now, answered=answered)
            else:
                orders = self.bench.plan(self.now)
                started = [order.run for order in orders if hasattr(order, "run")]
            if runs := [run for run in started if run.task.job == id]:
                return runs
            self.bench.commit()
            if self.get_final(id) is not None:
                return []
            self.advance()
        return []

    def work(self, seconds):
        """Let the VMs list their runs for some seconds."""
        while seconds > 0:
            self.advance(min(0.25, seconds))
            seconds -= 0.25

    def crash(self, id, *, seen=True, way=vm.VmEnd.LOST):
        """Crash a VM; unless it is seen, the leader learns nothing of it."""
        rack = self.racks.pop(id)
        self.crashed.append(id)
        self.ended[id] = way
        successor = self._replace(rack)
        if seen:
            self.tell_closings()
            self._join(successor)
            self.advance(0.0)

    def tell_closings(self, closed=()):
        """Tell the leader which VMs have ended, and which others are closed."""
        ids = frozenset(self.ended) | set(closed)
        self.bench.version += 1
        self.bench.pool.set_closed(ids, dict(self.ended), self.bench.version)

    def crash_until_given_up(self, seconds=0.0):
        """Let each VM crash in sight of the leader until the task isn't started."""
        while len(self.crashed) <= MAX_CRASHED_VMS and (runs := self.start()):
            self.work(seconds)
            self.crash(runs[0].vm.id)
            self.bench.commit()


@pytest.fixture
def make_succession(make_bench):
    def make(count=4, **fields):
        return Succession(make_bench, count, **fields)

    return make


@pytest.fixture
def succession(make_succession):
    return make_succession()


# -- crashes that aren't counted


@pytest.mark.parametrize("losses", [0, 1])
def test_succession_itself_keeps_to_the_limit(succession, losses):
    """Guards against a `Succession` that shows faults of its own."""
    succession.submit("bad")
    for _ in range(losses):
        succession.crash(succession.start()[0].vm.id, seen=False)
        succession.lead()

    succession.crash_until_given_up()

    assert len(succession.crashed) == 4 + losses
    assert succession.get_final() is model.JobState.FAILED


def test_crash_before_two_changes_of_leaders(succession):
    """Guards against crashes without end where two leaders are lost in a row.

    The second one drops the VM's roster row, and is lost before it records a start.
    """
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        succession.crash(runs[0].vm.id, seen=False)
        succession.lead()
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_two_crashes_before_two_changes_of_leaders_each(succession):
    """Guards against a sixth crash where only two crashes were lost."""
    succession.submit("bad")
    for _ in range(2):
        succession.crash(succession.start()[0].vm.id, seen=False)
        succession.lead()
        succession.lead()

    succession.crash_until_given_up()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_refused_start_keeps_the_record_of_an_unseen_end(succession):
    """Guards against crashes without end where a recorded start was refused.

    That withdraws the VM, and the next leader knows nothing of the one that ended.
    """
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        succession.crash(runs[0].vm.id, seen=False)
        succession.lead()
        for run in succession.start(answered=False):
            refusal = workers.OrderReply(workers.Verdict.NOT_DONE)
            succession.bench.pool.on_start(run, refusal, succession.now)
        succession.bench.commit()
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_roster_row_is_not_removed_before_the_count_is_durable(succession):
    """Guards against a count that waits behind 20 jobs while its VM's row goes."""
    succession.submit("bad")
    for number in range(6):
        (run,) = succession.start()
        others = [f"j{number}-{index}" for index in range(JOBS_PER_BATCH)]
        for id in others:
            succession.submit(id, step(cpu=100))
        succession.bench.start(succession.now)
        succession.bench.commit()
        for machine in succession.list_reachable():
            done = [task for task in machine.runs if task.job != "bad"]
            first = machine.processed_end + 1
            ends = [
                workers.Ended(
                    first + index, t, machine.runs[t].number, model.End.DONE, ""
                )
                for index, t in enumerate(done)
            ]
            succession.answer(machine, ends)
        succession.crash(run.vm.id)
        succession.bench.commit()  # one batch, of which the count is no part
        for id in others:
            del succession.jobs[id]
        succession.lead()
        if succession.get_final() is not None:
            break

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_gang_whose_leader_is_lost_with_each_crash(succession):
    """Guards against a gang that is started for ever, as its VMs aren't recorded."""
    succession.submit("bad", step(2, gang=True))
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        crashed = runs[0].vm.id
        succession.crash(crashed, seen=False)
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


@pytest.mark.parametrize("changes", [1, 6])
def test_task_that_was_seen_at_work_is_excused_once(succession, changes):
    """Guards against a task that each leader excuses anew for having worked 0.5 s."""
    succession.submit("bad")
    for _ in range(changes):
        if runs := succession.start():
            succession.work(0.5)
            succession.crash(runs[0].vm.id)
            succession.bench.commit()
            succession.lead()

    if len(succession.crashed) <= MAX_CRASHED_VMS:
        succession.crash_until_given_up(0.5)

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_excuse_after_a_crash_that_no_leader_saw(succession):
    """Guards against a sixth crash where one was unseen and another was excused."""
    succession.submit("bad")
    succession.crash(succession.start()[0].vm.id, seen=False)
    succession.lead()

    succession.crash_until_given_up(0.5)

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_list_of_runs_that_is_processed_late_excuses_no_task(succession):
    """Guards against a task that counts as seen at work as its leader was slow.

    The list was made 20 ms after the start, and processed 0.5 s later.
    """
    succession.submit("bad")
    succession.crash(succession.start()[0].vm.id, seen=False)
    succession.lead()
    for _ in range(5):
        if runs := succession.start():
            (run,), now = runs, succession.now
            clock = CLOCK + now - NOW + 0.02
            listed = (workers.Running(run.task, run.number, "", 1, 0),)
            reply = workers.HoldReply(
                workers.Verdict.DONE, clock, now, now + 0.03, listed
            )
            succession.bench.pool.on_hold(run.vm, reply, now + 0.5)
            succession.crash(run.vm.id)
            succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_assigned_vm_is_kept_while_the_task_works_there(succession):
    """Guards against a task that crashes its VM after 2 s, each time with the leader.

    Its recorded VM is withdrawn after 2 s, so that the successor counts nothing.
    """
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        succession.work(2.5)
        succession.bench.commit()
        succession.crash(runs[0].vm.id, seen=False)
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_lasting_task_that_crashes_each_vm_after_some_seconds(succession):
    """Guards against a lasting task that crashes VMs without end after 2 s of work."""
    succession.submit("bad", step(lasting=True))

    succession.crash_until_given_up(2.5)

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_late_crash_beside_a_silent_vm_is_no_loss_of_power(succession):
    """Guards against a task that crashes VMs without end after 2 s of work.

    The only other VM of the rack is silent, so that each crash counts as a rack's.
    """
    succession.submit("bad")
    succession.unreachable = {"w2", "w3"}
    for id in succession.unreachable:
        succession.bench.pool.vms[id].is_silent = True

    succession.crash_until_given_up(2.5)

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_vm_that_never_answered_is_no_loss_of_power(bench):
    """Guards against a crash that is withdrawn for the loss of a VM that came later.

    The last call that such a VM answered is unknown, and isn't a call before the crash.
    """
    bench.add_job("bad")
    for id, now in (("w1", NOW), ("w2", NOW + 6)):
        machine = bench.add_vm(id, answers=False)
        machine.joined_at = machine.last_contact = now
        runs = []
        while not runs:  # a suspect is recorded for a VM before its start
            now += 0.1
            bench.answer(machine, now=now)
            runs = bench.start(now)
            bench.commit()
        (run,) = runs
        for _ in range(7):
            now += 0.5
            listed = workers.Running(run.task, run.number, "", 10.0, 100.0)
            bench.answer(machine, [listed], now=now)
        bench.pool.latest_time = now + 0.5
        bench.pool.drop_vm(machine, vm.VmEnd.LOST)
    crashes = bench.pool.suspects.count(run.task)
    late = bench.add_vm("w3", answers=False)
    late.joined_at = late.last_contact = bench.pool.latest_time = NOW + 18
    bench.pool.drop_vm(late, vm.VmEnd.LOST)

    assert crashes == bench.pool.suspects.count(run.task) == 1


def test_end_of_an_earlier_run_keeps_the_assigned_vm(succession):
    """Guards against a late end of an earlier run that withdraws the recorded VM."""
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        (earlier,) = runs
        succession.unreachable = {earlier.vm.id}
        succession.lead()
        runs = succession.start()
        if not runs:
            break
        succession.unreachable.clear()
        machine = succession.bench.pool.vms[earlier.vm.id]
        end = workers.Ended(1, earlier.task, earlier.number, model.End.LAPSED, "")
        succession.answer(machine, [end])
        succession.bench.commit()
        succession.crash(runs[0].vm.id, seen=False)
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_job_of_an_overlapping_leader_is_recorded_before_its_start(make_succession):
    """Guards against two lost crashes of a job that is newer than its leader's claim.

    Without transactions across parts an earlier leader may have started such a job.
    """
    succession = make_succession(leaders_overlap=True)
    former = succession.bench
    succession.submit("bad", version=former.version + 10)  # newer than the next claim
    succession.crash(succession.start()[0].vm.id, seen=False)
    succession.lead()
    succession.crash(succession.start()[0].vm.id, seen=False)
    succession.bench.version += 20
    succession.lead()

    succession.crash_until_given_up()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_vm_that_was_waited_out_keeps_its_assigned_task(succession):
    """Guards against a count that is lost as the VM's entry outlives the wait for it.

    The task is withdrawn from the silent VM, whose end then counts for nothing.
    """
    succession.submit("bad")
    succession.crash(succession.start()[0].vm.id)
    succession.bench.commit()
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        lost = runs[0].vm.id
        rack = succession.racks[lost]
        succession.crash(lost, seen=False)
        del succession.ended[lost]
        succession.racks[lost], succession.unreachable = rack, {lost}
        succession.lead()
        runs = succession.start()
        del succession.racks[lost]
        succession.unreachable.clear()
        succession.ended[lost] = vm.VmEnd.LOST
        succession.tell_closings()
        succession.bench.commit()
        if runs and len(succession.crashed) <= MAX_CRASHED_VMS:
            succession.crash(runs[0].vm.id)
            succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_task_whose_vms_stay_listed_after_the_fourth_crash(make_succession):
    """Guards against a sixth crash where VMs fall silent and their entries remain."""
    succession = make_succession(8)
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        machine = runs[0].vm
        succession.crashed.append(machine.id)
        succession.unreachable.add(machine.id)
        machine.is_silent = True

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_crash_of_a_vm_that_is_closed_after_the_start(succession):
    """Guards against a crash that counts as planned, as the VM was to be emptied."""
    succession.submit("bad")
    for _ in range(2):
        (run,) = succession.start()
        succession.tell_closings([run.vm.id])
        succession.crash(run.vm.id)
        succession.bench.commit()

    succession.crash_until_given_up()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_crash_under_an_unanswered_start_before_an_order(succession):
    """Guards against crashes without end where each VM is moved by an order at once."""
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (
        runs := succession.start(answered=False)
    ):
        succession.crash(runs[0].vm.id, way=vm.VmEnd.ORDERED)
        succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


@pytest.mark.parametrize(
    "ordered", [{0, 1}, {0, 3}, {2, 3}, {0, 1, 2, 3, 4, 5}], ids=str
)
def test_crash_of_a_closed_vm_whose_end_is_told_as_ordered(succession, ordered):
    """Guards against crashes that no count shows, as VMs were closed after the start.

    The fleet's leader closes a VM for a move. It crashes under the answered start of a
    task before the order, and its end is told as ordered.
    """
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        id = runs[0].vm.id
        way = vm.VmEnd.LOST
        if len(succession.crashed) in ordered:
            way = vm.VmEnd.ORDERED
            succession.tell_closings([id])
        succession.crash(id, way=way)
        succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_crash_under_the_start_of_an_earlier_leader_before_an_order(succession):
    """Guards against crashes of recorded VMs that a successor takes for orders."""
    succession.submit("bad")
    succession.crash(succession.start()[0].vm.id)
    succession.bench.commit()
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        succession.crash(runs[0].vm.id, seen=False, way=vm.VmEnd.ORDERED)
        succession.lead()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


@pytest.mark.parametrize("is_noticed", [True, False])
def test_crash_of_a_vm_that_may_have_left_when_it_is_noticed(
    make_succession, is_noticed
):
    """Guards against crashes that count as a VM's announced end, which came later."""
    succession = make_succession(8)
    succession.submit("bad")
    while len(succession.crashed) <= MAX_CRASHED_VMS and (runs := succession.start()):
        machine = runs[0].vm
        machine.entry = machine.entry._replace(leaving=True, remaining=0.0)
        if is_noticed:
            succession.crash(machine.id)
        else:
            succession.crashed.append(machine.id)
            succession.unreachable.add(machine.id)
            machine.is_silent = True
        succession.bench.commit()

    assert len(succession.crashed) <= MAX_CRASHED_VMS


def test_ordered_end_under_a_task_that_was_seen_at_work(succession):
    """Guards against a job that fails because its VMs are moved while it works."""
    state = succession.submit("good")
    for _ in range(2 * MAX_CRASHED_VMS):
        (run,) = succession.start("good")
        succession.work(0.5)
        succession.tell_closings([run.vm.id])
        succession.crash(run.vm.id, way=vm.VmEnd.ORDERED)
        succession.bench.commit()

    assert not state.is_suspect(run.task)
    assert succession.get_final("good") is None


# -- crashes that are counted for a task that didn't cause them


@pytest.mark.parametrize("answer", ["successor", "unsent"])
def test_start_that_never_reached_its_vm_is_no_crash(succession, answer):
    """Guards against a job that fails for VMs that never got its start.

    The VM's next incarnation answered the start, or it wasn't sent yet.
    """
    succession.submit("good")
    for _ in range(4):
        for run in succession.start("good", sent=answer != "unsent", answered=False):
            if answer == "successor":
                gone = workers.OrderReply(workers.Verdict.GONE)
                succession.bench.pool.on_start(run, gone, succession.now)
            succession.crash(run.vm.id)
        succession.bench.commit()

    assert succession.get_final("good") is None


def lose_rack(succession, rack, *, first=""):
    """Crash all VMs of a rack at once; ``first`` is listed before the others."""
    lost = [id for id, other in succession.racks.items() if other == rack]
    for id in sorted(lost, key=lambda id: id != first):
        succession.crash(id, seen=False)
        if id == first:
            succession.tell_closings()
    succession.tell_closings()
    for id, other in succession.racks.items():
        if other == rack:
            succession._join(id)
    succession.bench.commit()
    succession.advance(0.0)


def test_rack_of_which_one_vm_is_listed_first_is_a_loss_of_power(succession):
    """Guards against a long job that fails as its rack's other VMs are listed later."""
    succession.submit("good")
    for _ in range(6):
        if runs := succession.start("good"):
            succession.work(3.0)
            lose_rack(succession, runs[0].vm.rack, first=runs[0].vm.id)

    assert succession.get_final("good") is None


def test_rack_whose_vms_answer_in_turn_is_a_loss_of_power(succession):
    """Guards against a long job that fails as idle VMs of its rack answer less often.

    The last answer of the idle one is 1.75 s older when both lose power.
    """
    succession.submit("good")
    for _ in range(6):
        if runs := succession.start("good"):
            rack = runs[0].vm.rack
            succession.work(2.0)
            others = {id for id, other in succession.racks.items() if other == rack}
            succession.unreachable = others - {runs[0].vm.id}
            succession.work(1.75)
            succession.unreachable.clear()
            lose_rack(succession, rack)

    assert succession.get_final("good") is None


def test_rack_that_one_list_shows_as_lost_is_a_loss_of_power(make_succession):
    """Guards against a long job that fails as its rack is dropped VM by VM.

    The VMs that the same list shows as lost count as working until their turn.
    """
    succession = make_succession(3, racks=("r1",))
    succession.submit("good", step(3, spread=1))
    for _ in range(20):
        if succession.start("good"):
            succession.work(3.0)
            lose_rack(succession, "r1")

    assert succession.get_final("good") is None


def test_task_that_has_just_started_as_its_rack_is_lost(make_succession):
    """Guards against a short job that fails for four losses of power.

    Each takes four VMs at once, of which the task was on one.
    """
    succession = make_succession(8)
    succession.submit("good")
    for _ in range(4):
        if runs := succession.start("good"):
            lose_rack(succession, runs[0].vm.rack)

    assert succession.get_final("good") is None


def test_long_task_of_an_earlier_leader_as_its_rack_is_lost(succession):
    """Guards against a long job whose time at work is forgotten with its leader."""
    succession.submit("good")
    for _ in range(4):
        for run in succession.start("good"):
            succession.work(30.0)
            succession.bench.commit()
            succession.unreachable = {run.vm.id}  # until it lists its run
            succession.lead()
            succession.unreachable.clear()
            machine = succession.bench.pool.vms[run.vm.id]
            listed = [workers.Running(run.task, run.number, "", 50, 0)]
            succession.bench.answer(machine, listed, now=succession.now)
            assert run.task in succession.bench.pool.live
            for peer in succession.list_reachable():
                peer.is_silent = peer.rack == machine.rack
            lose_rack(succession, machine.rack)

    assert succession.get_final("good") is None


def test_gang_beside_tasks_that_crash_their_vms(make_succession):
    """Guards against a gang that fails for four other jobs, since it isn't tested."""
    succession = make_succession(2)
    succession.submit("good", step(2, gang=True, spread=1))
    for number in range(4):
        runs = succession.start("good")
        if not runs:
            break
        id = f"bad{number}"
        succession.submit(id, step(cpu=7000))
        (guilty,) = succession.start(id)
        assert guilty.vm in [run.vm for run in runs]
        succession.crash(guilty.vm.id)
        for run in runs:
            succession.bench.pool.remove_run(run)
        del succession.jobs[id]
        succession.bench.pool.jobs[id].cancelled = True
        succession.bench.commit()

    assert succession.get_final("good") is None
