"""What the leader of a pool believes, and how events change it.

No I/O and no clock: `task` feeds in rows, answers of workers and times. The
promises kept here:

- One run of a task at a time. A run whose start got no answer may begin until
  its own short deadline on the worker's clock; it is taken for not begun only
  when an answer with a later clock doesn't list it. A VM that doesn't answer
  is taken for empty only when its clock has certainly passed every deadline
  that it was given.
- After a takeover, a task that an earlier leader may have started waits until
  every VM of the roster has answered under the new token or, unreachable, has
  had the longest lease run out.
- Numbers of runs rise over leaders: each leader has a range of its own.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import advice, entries, workers
from wigeonhitch.pool import ledger, order, ticket, tidy, vm

__all__ = ["Pool", "Times"]

RUNS_PER_LEADER = 1 << 20
"""Starts of one task that a leader may number before the next one's range."""

ENDS_A_REPLY = 500
"""Most ends in one answer of a worker; with so many, more may be missing."""

LAPSE_MARGIN = 0.25
"""Seconds beyond a lease's end, its drift and the time to stop: answers' times
are in whole milliseconds and a worker's own timer may fire late."""

RETRY_PAUSE = 0.25
"""Seconds before a refused start is tried again: a fifth of the time that a
small task takes, so that a bad VM doesn't take all starts."""

SHORT_LIFE = 1.5
"""Seconds of life below which the end of a lasting task speaks against its VM:
they come to work in well under a second and last for many."""


class Times(NamedTuple):
    """Times in seconds.

    ``longest_lease`` is the longest that any leader grants, and ``stop_grace``
    what a worker takes to end a task.
    """

    longest_lease: float
    stop_grace: float


class Pool:
    """Belief of one leader about its pool.

    Parameters
    ----------
    name : str
        The pool.
    fence : int
        Version of the owner row: fencing token, and bound of older rows.
    epoch : int
        Number of this leader among those of the pool, from 1.
    times : Times
        Longest lease and longest stop of the workers.
    now : float
        This daemon's time at the takeover.
    tell : callable
        Takes a line for the log: what happened, and fields.
    """

    def __init__(
        self,
        name: str,
        fence: int,
        epoch: int,
        times: Times,
        now: float,
        tell: Callable[..., None],
    ) -> None:
        self.name = name
        self.fence = fence
        self.times = times
        self.tell = tell
        self.jobs: dict[str, progress.Progress] = {}
        self.queues: dict[str, model.Queue] = {}
        self.vms: dict[str, vm.Vm] = {}
        self.live: dict[model.Task, vm.Run] = {}
        self.ledger = ledger.Ledger(name, fence)
        self.tidier = tidy.Tidier()
        self.places: dict[str, tidy.JobPlace] = {}
        """Where the rows of open jobs lie."""
        self.deposed = False
        self.unresolved: set[str] = set()
        """VMs that an earlier leader may have used and that haven't answered."""
        self.changed: set[str] = set()
        """Jobs whose open tasks must be computed anew."""
        self.must_scan = True
        """Whether runs may have to be stopped for what has just changed."""
        self.not_before: dict[model.Task, float] = {}
        self.failed_on: dict[model.Task, str] = {}
        self.tickets = ticket.Tickets()
        self.moved: set[model.Task] = set()
        """Tasks that were begun again elsewhere for their VM's sake."""
        self.wall = 0.0
        """Seconds since 1970 at the last round, for what is told of jobs."""
        self._closed: frozenset[str] = frozenset()
        self._ended: frozenset[str] = frozenset()
        self._taken_over = now
        self._base = (epoch - 1) * RUNS_PER_LEADER
        self._numbers: dict[model.Task, int] = {}
        self._mean_work: dict[str, tuple[float, int]] = {}

    # -- rows

    def on_job(
        self, id: str, row: record.JobRecord, version: int, place: tidy.JobPlace
    ) -> None:
        """Take a job row: a new job, a cancellation, or a final state."""
        if row.job is None:
            self.tidier.on_final_row(id, place, version, row.finished)
            return
        known = self.jobs.get(id)
        if known is None and self.tidier.is_waiting(id):
            return  # final already; its row is yet to be shrunk
        if known is None:
            known = progress.Progress(row.job, version, row.accepted)
            self.places[id] = place
            self.jobs[id] = known
            self._learn_work(row.job)
        if version < known.version:
            return
        known.version = version
        if row.cancelled and not known.cancelled:
            known.cancelled = True
            self.must_scan = True
            self.tell("job cancelled", job=id, version=version)
            self.ledger.mark(id)
        self.changed.add(id)

    def on_progress(self, id: str, value: bytes, version: int) -> None:
        """Take a progress row, read at the takeover."""
        state = self.jobs.get(id)
        if state is not None:
            record.read_progress(state, value)
            self.ledger.versions[id] = version
            self.changed.add(id)
            if state.final is not None:
                self.on_settled([id])

    def on_queues(self, queues: Iterable[model.Queue]) -> None:
        """Take the queues of the configuration in force."""
        self.queues = {one.name: one for one in queues}
        self.changed.update(self.jobs)

    def on_worker(self, entry: entries.WorkerEntry, now: float) -> None:
        """Take a worker's entry; one that is in another pool is left out."""
        known = self.vms.get(entry.id)
        if entry.id in self._ended:
            return  # what is left of it in the store lapses by itself
        if entry.pool != self.name:
            if known is not None:
                known.listed = False
            return
        if known is None:
            self.vms[entry.id] = vm.Vm(entry, now)
            self.vms[entry.id].closed = entry.id in self._closed
            self.ledger.add_vm(entry.id, entry.address)
            self.tell("VM joined", vm=entry.id, rack=self.vms[entry.id].rack)
            return
        if entry.leaving and not known.entry.leaving:
            self.must_scan = True
            self.tell("VM leaves", vm=entry.id, remaining=entry.remaining)
        known.entry = entry
        known.listed = True
        if entry.clock is not None:
            known.learn_clock(entry.clock, now)

    def set_closed(self, ids: frozenset[str], ended: frozenset[str]) -> None:
        """Take the workers that are to be vacated, and those ended by an order.

        All others are open.
        """
        self._closed, self._ended = ids, ended
        self.must_scan = True
        for id in ended & self.vms.keys():
            self.drop_vm(self.vms[id], "ended by an order")
        for one in self.vms.values():
            if one.closed != (one.id in ids):
                one.closed = not one.closed
                self.tell("VM to be vacated" if one.closed else "VM open", vm=one.id)

    def on_worker_removed(self, id: str) -> None:
        """Take note that a worker's entry has gone; its runs may go on."""
        known = self.vms.get(id)
        if known is not None and known.listed:
            known.listed = False
            self.tell("VM not listed any more", vm=id, runs=len(known.runs))

    def on_roster(self, id: str, address: str, version: int, now: float) -> None:
        """Take a roster row at the takeover: the VM may run tasks."""
        self.unresolved.add(id)
        self.ledger.on_roster_row(id, version)
        if id in self.vms:
            self.vms[id].recorded = True
            return
        entry = entries.WorkerEntry(id, self.name, address, "", False, model.Room(), ())
        unlisted = vm.Vm(entry, now)
        unlisted.listed = False
        unlisted.recorded = True
        self.vms[id] = unlisted

    # -- answers of workers

    def on_hold(self, one: vm.Vm, reply: workers.HoldReply, now: float) -> None:
        """Take the answer to a renewal."""
        if reply.verdict is workers.Verdict.FENCED:
            self._depose(one)
        if reply.verdict is workers.Verdict.GONE:
            self.drop_vm(one, "another life of the VM answers")
        if reply.verdict is not workers.Verdict.DONE:
            return
        one.learn_clock(reply.clock, reply.received)
        one.last_answer = now
        if not one.answered:
            one.answered = True
            # An earlier leader may have granted the longest lease just before.
            one.note_grant(reply.clock + self.times.longest_lease)
            self.unresolved.discard(one.id)
            self.tell("VM answers", vm=one.id, running=len(reply.running))
        for end in reply.ended:
            if end.number > one.seen:
                self._apply_end(one, end, now)
                one.seen = end.number
        if len(reply.ended) < ENDS_A_REPLY:
            self._reconcile(one, reply, now)

    def on_start(self, run: vm.Run, reply: workers.OrderReply, now: float) -> None:
        """Take the answer to a start."""
        if run.vm.runs.get(run.task) is not run:
            return
        verdict = reply.verdict
        if verdict is workers.Verdict.DONE:
            run.vm.learn_clock(reply.clock, reply.received)
            self._confirm(run, now)
        elif verdict is workers.Verdict.UNKNOWN:
            run.state = vm.RunState.UNKNOWN
            self.tell("start without an answer", **_describe(run))
        elif verdict is workers.Verdict.FENCED:
            self._depose(run.vm)
        elif verdict is workers.Verdict.GONE:
            self.drop_vm(run.vm, "another life of the VM answers")
        else:
            self._refuse(run, verdict, now)

    def drop_vm(self, one: vm.Vm, reason: str) -> None:
        """Take a life of a VM for ended: all that ran there has ended."""
        if one.gone:
            return
        one.gone = True
        self.unresolved.discard(one.id)
        self.tell("VM gone", vm=one.id, runs=len(one.runs), reason=reason)
        for run in list(one.runs.values()):
            self._remove(run)
        self.ledger.remove_vm(one.id)
        self.vms.pop(one.id, None)

    # -- time

    def expire(self, now: float) -> None:
        """Take for ended what has certainly lapsed."""
        waited = now - self._taken_over
        longest = self.times.longest_lease * (1 + vm.CLOCK_DRIFT)
        grace = self.times.stop_grace + LAPSE_MARGIN
        for one in list(self.vms.values()):
            lapsed = one.answered and one.is_lapsed(now, grace)
            if lapsed and one.runs:
                self._lapse(one)
            if not one.answered and waited > longest + grace:
                lapsed = True
                if one.id in self.unresolved:
                    self.unresolved.discard(one.id)
                    self.tell("VM waited out", vm=one.id, waited=round(waited, 2))
            if lapsed and not one.listed:
                self.drop_vm(one, "unlisted and lapsed")

    # -- questions

    def may_have_run(self, state: progress.Progress) -> bool:
        """Whether an earlier leader may have started tasks of the job."""
        return bool(self.unresolved) and state.version < self.fence

    def next_number(self, task: model.Task) -> int:
        """Return the number of the task's next run, above all before."""
        number = max(self._numbers.get(task, 0), self._base) + 1
        self._numbers[task] = number
        return number

    def next_gang_number(self, tasks: list[model.Task]) -> int:
        """Return one number for the next runs of all members of a gang."""
        number = max(self.next_number(task) for task in tasks)
        self._numbers.update(dict.fromkeys(tasks, number))
        return number

    def on_settled(self, ids: Iterable[str]) -> None:
        """Take note that final states are durable."""
        for id in ids:
            state = self.jobs.get(id)
            if state is not None and state.final is not None:
                state.settled = True
                self.changed.add(id)
                self.tidier.add(id, self.places[id], state.final, state.version)

    def note_sick(self, run: vm.Run, what: str, now: float) -> None:
        """Take note that a run stands still or is slow; its VM may be sick."""
        if run.is_sick:
            return
        run.is_sick = True
        self.tell("run is sick", reason=what, work=run.work, **_describe(run))
        if run.vm.note_sick(now):
            until = round(run.vm.set_aside_until, 2)
            self.tell("VM set aside", vm=run.vm.id, until=until, reason=what)

    def get_mean_work(self, queue: str) -> float:
        """Return the mean core-seconds of the queue's jobs seen so far."""
        total, count = self._mean_work.get(queue, (0.0, 0))
        return total / count if count else 0.0

    def count_away(self, job: str, step: int) -> int:
        """Return how many tasks of a lasting step are not at work."""
        state = self.jobs[job]
        at_work = 0
        for index in range(state.job.steps[step].count):
            run = self.live.get(model.Task(job, 0, step, index))
            if run is not None and run.is_at_work:
                at_work += 1
        return state.job.steps[step].count - at_work

    def is_wanted(self, run: vm.Run) -> bool:
        """Whether the run's job still wants it."""
        state = self.jobs.get(run.task.job)
        if state is None or state.cancelled or state.final is not None:
            return False
        return not state.is_done(run.task)

    def get_figures(self, state: progress.Progress) -> order.Figures:
        """Return what a job's sort key is made of; without a queue it is late."""
        queue = self.queues.get(state.job.queue)
        if queue is None:
            return order.Figures(False, 99, state.accepted, 0.0, 0.0, 1.0, 1.0, 0.0)
        return order.compute_figures(state, queue)

    def needs_ticket(self, state: progress.Progress) -> bool:
        """Whether the queue's policy allows only some VMs for each step."""
        queue = self.queues.get(state.job.queue)
        return queue is not None and queue.advice is not None

    def get_max_attempts(self, state: progress.Progress) -> int:
        """Return how many failed runs a task of the job may have."""
        queue = self.queues.get(state.job.queue)
        return queue.max_attempts if queue else 1

    # -- inside

    def _confirm(self, run: vm.Run, now: float) -> None:
        if run.state is not vm.RunState.STOPPING:
            run.state = vm.RunState.RUNNING
        run.since = run.moved = run.mark_at = now
        state = self.jobs.get(run.task.job)
        if state is not None and not state.started:
            state.started = True
            self.tell(
                "job started",
                job=run.task.job,
                vm=run.vm.id,
                run=run.number,
                waited=self._compute_age(state),
            )

    def _refuse(self, run: vm.Run, verdict: workers.Verdict, now: float) -> None:
        self._remove(run)
        self.not_before[run.task] = now + RETRY_PAUSE
        if verdict is workers.Verdict.UNHEALTHY:
            run.vm.set_aside(now)
        if verdict is workers.Verdict.NOT_DONE:
            run.vm.last_answer = 0.0
        if verdict is workers.Verdict.BAD_TICKET:
            self.tickets.drop(advice.StepName(*run.task[:3]))
        self.tell("start refused", reason=verdict.value, **_describe(run))

    def _depose(self, one: vm.Vm) -> None:
        if not self.deposed:
            self.tell("a worker has seen a higher token", vm=one.id, fence=self.fence)
        self.deposed = True

    def _lapse(self, one: vm.Vm) -> None:
        self.tell("leases lapsed", vm=one.id, runs=len(one.runs))
        for run in list(one.runs.values()):
            self._remove(run)

    def _remove(self, run: vm.Run) -> None:
        run.vm.runs.pop(run.task, None)
        if self.live.get(run.task) is run:
            del self.live[run.task]
        self.changed.add(run.task.job)

    def _apply_end(self, one: vm.Vm, end: workers.Ended, now: float) -> None:
        run = one.runs.get(end.task)
        known = run is not None and run.number == end.run
        if known:
            self._remove(run)
        elif end.run > self._base and end.task in self._numbers:
            return  # a run of ours that was taken for lapsed before
        state = self.jobs.get(end.task.job)
        if state is None or state.final is not None or not state.is_known(end.task):
            return
        self.changed.add(end.task.job)
        step = state.job.steps[end.task.step]
        lived = now - run.since if known else SHORT_LIFE
        if (not step.lasting or lived < SHORT_LIFE) and one.note_end(end.end, now):
            self.tell("VM set aside", vm=one.id, until=round(one.set_aside_until, 2))
        if step.lasting:
            return
        if end.end is model.End.DONE:
            self._note_done(state, end.task)
        elif end.end is model.End.FAILED:
            self._note_failed(state, end, one)
        else:
            state.note_checkpoint(end.task, end.checkpoint)
            self.ledger.mark(end.task.job)

    def _note_done(self, state: progress.Progress, task: model.Task) -> None:
        state.note_done(task)
        state.started = True
        self.ledger.mark(task.job)
        if state.is_complete() and not state.cancelled:
            state.final = model.JobState.COMPLETED
            self.tell(
                "job complete",
                job=task.job,
                took=self._compute_age(state),
                objective=self._compute_objective(state),
                failed_runs=sum(map(len, state.failed_runs.values())),
            )

    def _note_failed(
        self, state: progress.Progress, end: workers.Ended, one: vm.Vm
    ) -> None:
        if state.is_done(end.task):
            return
        state.note_failed(end.task, end.run)
        state.started = True
        self.failed_on[end.task] = one.id
        self.ledger.mark(end.task.job)
        self.tell("run failed", job=end.task.job, task=end.task[1:], vm=one.id)
        if state.is_exhausted(end.task, self.get_max_attempts(state)):
            state.final = model.JobState.FAILED
            self.must_scan = True
            self.tell("job failed", job=end.task.job, task=end.task[1:], vm=one.id)

    def _compute_age(self, state: progress.Progress) -> float:
        return round(self.wall - state.accepted, 3)

    def _compute_objective(self, state: progress.Progress) -> float:
        queue = self.queues.get(state.job.queue)
        if queue is None:
            return 0.0
        return round(order.compute_due(state.job, queue, 0.0), 3)

    def _reconcile(self, one: vm.Vm, reply: workers.HoldReply, now: float) -> None:
        listed = {(entry.task, entry.run): entry for entry in reply.running}
        for run in list(one.runs.values()):
            entry = listed.pop((run.task, run.number), None)
            if entry is not None:
                self._see_running(run, entry, now)
            elif run.state in (vm.RunState.STARTING, vm.RunState.UNKNOWN):
                if reply.clock > run.deadline:
                    self.tell("start has not happened", **_describe(run))
                    self._remove(run)
            elif run.since < reply.sent:
                self.tell("run not listed any more", **_describe(run))
                self._remove(run)
        strays = [e for e in listed.values() if not self._adopt(one, e, now)]
        one.strays = {
            (entry.task, entry.run): one.strays.get((entry.task, entry.run), 0.0)
            for entry in strays
        }

    def _see_running(self, run: vm.Run, entry: workers.Running, now: float) -> None:
        if run.state in (vm.RunState.STARTING, vm.RunState.UNKNOWN):
            self._confirm(run, now)
        run.note_work(entry.work, now)
        run.load = entry.load
        if entry.checkpoint and run.task.job in self.jobs:
            self.jobs[run.task.job].note_checkpoint(run.task, entry.checkpoint)

    def _adopt(self, one: vm.Vm, entry: workers.Running, now: float) -> bool:
        """Take over a listed run; return whether anybody wants it."""
        state = self.jobs.get(entry.task.job)
        wanted = (
            state is not None
            and state.final is None
            and not state.cancelled
            and state.is_known(entry.task)
            and not state.is_done(entry.task)
            and entry.task not in self.live
            and entry.run <= self._base
        )
        if not wanted:
            return False
        step = state.job.steps[entry.task.step]
        run = one.adopt(entry, step, now)
        run.load = entry.load
        self.live[entry.task] = run
        state.started = True
        state.note_checkpoint(entry.task, entry.checkpoint)
        return True

    def _learn_work(self, job: model.Job) -> None:
        total, count = self._mean_work.get(job.queue, (0.0, 0))
        self._mean_work[job.queue] = (total + job.compute_work(), count + 1)

    def forget_job(self, id: str) -> None:
        """Drop a job that is final and has no runs left."""
        state = self.jobs.pop(id, None)
        self.places.pop(id, None)
        self.changed.discard(id)
        if state is None:
            return
        self.tickets.forget_job(id)
        self.moved = {task for task in self.moved if task.job != id}
        for table in (self._numbers, self.not_before, self.failed_on):
            for task in [one for one in table if one.job == id]:
                del table[task]


def _describe(run: vm.Run) -> dict[str, object]:
    return {
        "job": run.task.job,
        "task": run.task[1:],
        "run": run.number,
        "vm": run.vm.id,
        "state": run.state.value,
    }
