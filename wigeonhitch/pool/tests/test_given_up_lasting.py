"""Lasting jobs of which a task is given up while others are at work."""

import pytest

from wigeonhitch.jobs import model, record
from wigeonhitch.platform import workers
from wigeonhitch.pool import message, vm
from wigeonhitch.pool.tests import test_crashes as crashes

GUILTY = model.Task("l", 0, 0, 0)

SERVICE = crashes.step(5, lasting=True, spread=1, max_unavailable=1)


@pytest.fixture
def site(bench):
    return crashes.Site(bench, 8, racks=("r1", "r2", "r3", "r4"))


class Rounds:
    """Rounds of a pool in which the guilty task crashes each VM that starts it.

    Attributes
    ----------
    stops : list of message.Stop
        Orders to stop a run.
    starts : list of model.Task
        Tasks that were started.
    """

    def __init__(self, site):
        self.site = site
        self.stops = []
        self.starts = []

    def plan(self):
        """Plan one round, and let the workers confirm its starts."""
        for order in self.site.bench.plan(self.site.now):
            if isinstance(order, message.Stop):
                self.stops.append(order)
            elif isinstance(order, message.Start):
                self._start(order.run)

    def play(self, count):
        site = self.site
        for _ in range(count):
            self.plan()
            guilty = site.pool.live.get(GUILTY)
            if guilty is not None:
                site.crash(guilty.vm)
            site.bench.commit()
            site.advance()

    def _start(self, run):
        site = self.site
        self.starts.append(run.task)
        run.deadline = run.vm.compute_deadline(site.now, 1.2)
        clock = crashes.CLOCK + site.now - crashes.NOW
        reply = workers.OrderReply(workers.Verdict.DONE, clock, site.now, site.now)
        site.pool.on_start(run, reply, site.now)

    def list_at_work(self):
        return {run.task.index for run in self.site.pool.live.values()}


@pytest.fixture
def rounds(site):
    site.bench.add_job("l", SERVICE)
    return Rounds(site)


def test_tasks_at_work_are_not_stopped_as_another_of_their_job_is_given_up(rounds):
    """Guards against a service that loses all its tasks since one of them crashes VMs.

    The job was final then, and what still ran of it was stopped at once.
    """
    rounds.play(100)

    state = rounds.site.pool.jobs["l"]
    assert rounds.starts.count(GUILTY) <= crashes.MAX_CRASHED_VMS
    assert state.state is model.JobState.FAILED
    assert rounds.stops == []
    assert rounds.list_at_work() == {1, 2, 3, 4}


def test_successor_keeps_the_other_tasks_of_a_job_with_a_given_up_one(
    rounds, make_bench
):
    """Guards against the same at a change of leaders, which read the job as final."""
    rounds.play(100)
    site = rounds.site
    former, bench = site.bench, make_bench(epoch=2)
    state = former.pool.jobs["l"]
    job = record.JobRecord(state.job, state.accepted, False)
    bench.pool.on_job("l", job, state.version, former.pool.job_locations["l"])
    bench.pool.on_progress("l", *former.rows["progress", "l"])
    vms = [
        (machine, bench.add_vm(machine.id, labels=machine.entry.labels, answers=False))
        for machine in site.vms
    ]
    for machine, adopted in vms:
        listed = [
            workers.Running(run.task, run.number, "", 100, 0)
            for run in machine.runs.values()
        ]
        bench.answer(adopted, listed, now=site.now)
    site.bench, site.vms = bench, [adopted for _, adopted in vms]
    successor = Rounds(site)

    successor.play(40)

    assert successor.starts == successor.stops == []
    assert successor.list_at_work() == {1, 2, 3, 4}
    assert site.pool.jobs["l"].state is model.JobState.FAILED


def test_ended_task_of_a_job_with_a_given_up_one_is_started_again(rounds):
    """Guards against a service that shrinks until its caller has acted."""
    rounds.play(100)
    site = rounds.site
    run = site.pool.live[GUILTY._replace(index=3)]
    site.crash(run.vm)

    rounds.play(20)

    assert 3 in rounds.list_at_work()
    assert rounds.stops == []


def test_job_of_which_all_tasks_are_given_up_is_final(site):
    """Guards against a job without any task left that stays open for ever."""
    site.bench.add_job("l", crashes.step(1, lasting=True))
    rounds = Rounds(site)

    rounds.play(100)

    assert rounds.starts.count(GUILTY) <= crashes.MAX_CRASHED_VMS
    value, _ = site.bench.rows["progress", "l"]
    assert record.read_final(value) is model.JobState.FAILED


def test_cancelling_stops_what_a_job_with_a_given_up_task_has_left(rounds):
    """Guards against tasks that nobody can stop, since their job counts as failed."""
    rounds.play(100)
    state = rounds.site.pool.jobs["l"]
    state.cancelled = True
    rounds.site.pool.must_scan = True

    rounds.play(1)

    assert {stop.task.index for stop in rounds.stops} == {1, 2, 3, 4}


def test_lasting_tasks_are_not_stopped_as_a_batch_task_is_out_of_attempts(site):
    """Guards against the same for a job that also has a step of batch work."""
    site.bench.add_job("l", crashes.step(), SERVICE)
    rounds = Rounds(site)
    failed = 0
    for _ in range(20):
        rounds.plan()
        batch = site.pool.live.get(GUILTY)
        if batch is not None and batch.state is vm.RunState.RUNNING:
            number = batch.vm.processed_end + 1
            end = workers.Ended(number, GUILTY, batch.number, model.End.FAILED, "")
            site.answer(batch.vm, [end])
            failed += 1
        site.bench.commit()
        site.advance()

    assert failed == 2
    assert rounds.stops == []
    assert len(rounds.list_at_work()) == 5
    assert site.pool.jobs["l"].state is model.JobState.FAILED
