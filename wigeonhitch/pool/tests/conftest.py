"""A pool's leader with some VMs, for the tests of its decisions."""

import pytest

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import entries, rows, table, workers
from wigeonhitch.pool import compaction, core, planner, view

NOW = 100.0
CLOCK = 5000.0
"""The workers' clocks at `NOW`."""
LOCATION = compaction.RowLocation("job00", "p.0")


class Bench:
    """A pool and its planner, with shorthands for the events of a test."""

    def __init__(self, *, fence=10, epoch=1):
        self.logged = []
        self.version = 1000
        self.rows = {}
        self.pool = core.Pool(
            "p",
            fence,
            epoch,
            view.TimeBounds(6.5, 0.2),
            NOW,
            lambda event, **fields: self.logged.append(event),
        )
        self.pool.on_queues([model.Queue("q", "h", "/q/", "p", max_attempts=2)])
        self.planner = planner.Planner(self.pool)

    def add_vm(
        self,
        id="w1",
        *,
        cpu=8000,
        labels=("a", "r1"),
        clock=CLOCK,
        answers=True,
        start_ms=0,
    ):
        room = model.Room(cpu, 65536)
        entry = entries.WorkerEntry(
            id, "p", f"{id}:1", "dc", False, room, labels, clock, start_ms=start_ms
        )
        self.pool.on_worker(entry, NOW)
        machine = next(m for m in self.pool.vms.values() if m.entry == entry)
        machine.recorded = True
        if answers:
            self.answer(machine)
        return machine

    def answer(
        self,
        machine,
        running=(),
        ended=(),
        *,
        now=NOW,
        sent=None,
        start_ms=None,
        clock=None,
    ):
        start_ms = machine.entry.start_ms if start_ms is None else start_ms
        clock = CLOCK + now - NOW if clock is None else clock
        sent = now if sent is None else sent
        verdict = workers.Verdict.DONE
        reply = workers.HoldReply(verdict, clock, sent, now, running, ended, start_ms)
        self.pool.on_hold(machine, reply, now)

    def add_job(self, id="j", *steps, version=20, accepted=NOW, queue="q", **fields):
        steps = steps or (model.Step(1, model.Room(1000, 100), 1.0),)
        job = model.Job(id, queue, "", steps, **fields)
        row = record.JobRecord(job, accepted, False)
        self.pool.on_job(id, row, version, LOCATION)
        return self.pool.jobs[id]

    def commit(self):
        """Write what is pending, and apply the answer."""
        batch = self.pool.ledger.collect(self.pool.jobs, self.pool.vms)
        self.version += 1
        change = rows.Change(table.Outcome.DONE, self.version)
        self.pool.on_commit(batch, change)
        for write in batch.transaction.writes:
            self.rows[write.table, write.key] = (write.value, self.version)

    def plan(self, now=NOW):
        return self.planner.plan(now, now)

    def start(self, now=NOW, *, answered=True):
        """Plan a round, and let the workers confirm the starts."""
        runs = [order.run for order in self.plan(now) if hasattr(order, "run")]
        for run in runs:
            run.deadline = run.vm.compute_deadline(now, 1.2)
            run.vm.record_lease_deadline(run.deadline)
            if answered:
                verdict = workers.Verdict.DONE
                reply = workers.OrderReply(verdict, CLOCK + now - NOW, now, now)
                self.pool.on_start(run, reply, now)
        return runs


def list_run(run, work=100, load=0.0):
    return workers.Running(run.task, run.number, "", work, load)


def end_run(number, run, end=model.End.DONE):
    return workers.Ended(number, run.task, run.number, end, "")


@pytest.fixture
def bench():
    return Bench()


@pytest.fixture
def make_bench():
    return Bench


@pytest.fixture
def make_state():
    def make(*steps, accepted=NOW):
        job = model.Job("j", "q", "", steps)
        return progress.Progress(job, 1, accepted)

    return make


@pytest.fixture
def listed():
    return list_run


@pytest.fixture
def ended():
    return end_run
