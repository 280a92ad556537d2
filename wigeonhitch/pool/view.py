"""What the leader of a pool believes of jobs and VMs, from rows and from time."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import entries
from wigeonhitch.pool import compaction, ledger, priority, ticket, vm

__all__ = ["PoolView", "TimeBounds", "describe_run"]

RUN_NUMBERS_PER_LEADER = 1 << 20
"""Starts of one task that a leader may number before the next one's range."""

LAPSE_MARGIN = 0.25
"""Seconds beyond a lease's end, its drift and the time to stop: answers' times
are in whole milliseconds and a worker's own timer may fire late."""


class TimeBounds(NamedTuple):
    """What bounds earlier leaders and workers; times in seconds.

    ``longest_lease`` is the longest that any leader grants, and ``stop_grace``
    what a worker takes to end a task. ``leaders_overlap``: an earlier leader may
    still order after this one's claim, until each worker has seen the new token.
    ``move_seconds`` is what a VM takes to come from another pool.
    """

    longest_lease: float
    stop_grace: float
    leaders_overlap: bool = False
    move_seconds: float = 1.5


class PoolView:
    """Belief of one leader about its pool; `core.Pool` adds workers' answers.

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
    log_event : callable
        Takes a line for the log: what happened, and fields.
    """

    def __init__(
        self,
        name: str,
        fence: int,
        epoch: int,
        times: TimeBounds,
        now: float,
        log_event: Callable[..., None],
    ) -> None:
        self.name = name
        self.fence = fence
        self.times = times
        self.log_event = log_event
        self.jobs: dict[str, progress.Progress] = {}
        self.queues: dict[str, model.Queue] = {}
        self.vms: dict[str, vm.Vm] = {}
        self.live: dict[model.Task, vm.Run] = {}
        self.ledger = ledger.Ledger(name, fence)
        self.compactor = compaction.Compactor(name)
        self.job_locations: dict[str, compaction.RowLocation] = {}
        """Where the rows of open jobs lie."""
        self.deposed = False
        self.unresolved: set[str] = set()
        """VMs that an earlier leader may have used and that haven't answered."""
        self.changed_jobs: set[str] = set()
        """Jobs whose open tasks must be computed anew."""
        self.submitted_work: list[float] = []
        """Core-seconds of jobs accepted under this leader, not yet counted."""
        self.must_scan = True
        """Whether runs may have to be stopped for what has just changed."""
        self.not_before: dict[model.Task, float] = {}
        self.failed_on: dict[model.Task, str] = {}
        self.tickets = ticket.Tickets()
        self.relocated: set[model.Task] = set()
        """Tasks that were begun again elsewhere for their VM's sake."""
        self.wall_time = 0.0
        """Seconds since 1970 at the last round, for what is told of jobs."""
        self.closings_version = 0
        """The store's version at which the closed VMs are known."""
        self._closed_workers: frozenset[str] = frozenset()
        self._ended_workers: frozenset[str] = frozenset()
        self._takeover_time = now
        self.run_number_base = (epoch - 1) * RUN_NUMBERS_PER_LEADER
        self.run_numbers: dict[model.Task, int] = {}
        self._mean_work: dict[str, tuple[float, int]] = {}

    # -- rows

    def on_job(
        self,
        id: str,
        row: record.JobRecord,
        version: int,
        place: compaction.RowLocation,
    ) -> None:
        """Take a job row: a new job, a cancellation, or a final state."""
        if row.job is None:
            self.compactor.on_final_row(id, place, version, row.finished)
            return
        known = self.jobs.get(id)
        if known is None and self.compactor.is_final(id, version):
            return  # done with; an answer may hold an older copy of its row
        if known is None:
            known = progress.Progress(row.job, version, row.accepted)
            self.job_locations[id] = place
            self.jobs[id] = known
            self._update_mean_work(row.job)
            if version > self.fence and not (row.job.is_lasting or row.job.times):
                self.submitted_work.append(row.job.compute_work())
        if version < known.version:
            return
        known.version = version
        if row.cancelled and not known.cancelled:
            known.cancelled = True
            self.must_scan = True
            self.log_event("job cancelled", job=id, version=version)
            if known.final is None:
                self.ledger.mark_dirty(id)
        self.changed_jobs.add(id)

    def on_progress(self, id: str, value: bytes, version: int) -> None:
        """Take a progress row, read at the takeover after all jobs.

        That of a job that isn't open has been left behind, and is removed.
        """
        state = self.jobs.get(id)
        self.ledger.versions[id] = version
        if state is None:
            self.ledger.drop_progress([id])
            return
        record.read_progress(state, value)
        self.changed_jobs.add(id)
        if state.final is not None:
            self.on_finals_durable([id])

    def on_queues(self, queues: Iterable[model.Queue]) -> None:
        """Take the queues of the configuration in force."""
        self.queues = {one.name: one for one in queues}
        self.changed_jobs.update(self.jobs)

    def on_worker(self, entry: entries.WorkerEntry, now: float) -> None:
        """Take a worker's entry; one that is in another pool is left out."""
        known = self.vms.get(entry.id)
        if entry.id in self._ended_workers:
            return  # what is left of it in the store lapses by itself
        if entry.pool != self.name:
            if known is not None:
                known.listed = False
            return
        if known is None:
            self.vms[entry.id] = vm.Vm(entry, now)
            self.vms[entry.id].closed = entry.id in self._closed_workers
            self.ledger.add_vm(entry.id, entry.address)
            self.log_event("VM joined", vm=entry.id, rack=self.vms[entry.id].rack)
            return
        if entry.leaving and not known.entry.leaving:
            self.must_scan = True
            self.log_event("VM leaves", vm=entry.id, remaining=entry.remaining)
        known.entry = entry
        known.listed = True
        if entry.clock is not None:
            known.update_clock(entry.clock, now)

    def set_closed(
        self, ids: frozenset[str], ended: frozenset[str], version: int = 0
    ) -> None:
        """Take the workers that are to be vacated, and those that have ended.

        All others are open. What is older, by the store's version, than what was
        taken before is left: it would open VMs that are shown as empty.
        """
        if version < self.closings_version:
            return
        self.closings_version = version
        self._closed_workers, self._ended_workers = ids, ended
        self.must_scan = True
        for id in ended & self.vms.keys():
            self.drop_vm(self.vms[id], "ended, as the leader of moves tells")
        for one in self.vms.values():
            if one.closed != (one.id in ids):
                one.closed = not one.closed
                self.log_event(
                    "VM to be vacated" if one.closed else "VM open", vm=one.id
                )

    def on_worker_removed(self, id: str) -> None:
        """Take note that a worker's entry has gone; its runs may go on."""
        known = self.vms.get(id)
        if known is not None and known.listed:
            known.listed = False
            self.log_event("VM not listed any more", vm=id, runs=len(known.runs))

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

    # -- time

    def expire_leases(self, now: float) -> None:
        """Take for ended what has certainly lapsed."""
        waited = now - self._takeover_time
        longest = self.times.longest_lease * (1 + vm.MAX_CLOCK_DRIFT)
        grace = self.times.stop_grace + LAPSE_MARGIN
        for one in list(self.vms.values()):
            # Also one that never answered may have heard a renewal of ours.
            lapsed = one.is_lapsed(now, grace)
            if not one.answered:
                lapsed = lapsed and waited > longest + grace
            if lapsed and (one.runs or one.orphans):
                self._remove_lapsed_runs(one)
            if lapsed and one.id in self.unresolved:
                self.unresolved.discard(one.id)
                self.log_event("VM waited out", vm=one.id, waited=round(waited, 2))
            if lapsed and not one.listed:
                self.drop_vm(one, "unlisted and lapsed")

    # -- questions

    def compute_remaining_earlier_lease(self, now: float) -> float:
        """Return what may last of the longest lease that an earlier leader granted.

        Counted on a worker's clock, of which less time may have passed.
        """
        passed = (now - self._takeover_time) * (1 - vm.MAX_CLOCK_DRIFT)
        return max(0.0, self.times.longest_lease - passed)

    def may_have_run(self, state: progress.Progress) -> bool:
        """Whether an earlier leader may have started tasks of the job."""
        is_older = state.version < self.fence or self.times.leaders_overlap
        return bool(self.unresolved) and is_older

    def list_orphaned_tasks(self) -> frozenset[model.Task]:
        """Return the tasks of which a VM lists a run that nobody wants.

        It goes on until its end is listed, or until its VM lapses or is gone.
        """
        return frozenset(task for one in self.vms.values() for task, _ in one.orphans)

    def next_run_number(self, task: model.Task) -> int:
        """Return the number of the task's next run, above all before."""
        number = max(self.run_numbers.get(task, 0), self.run_number_base) + 1
        self.run_numbers[task] = number
        return number

    def next_gang_run_number(self, tasks: list[model.Task]) -> int:
        """Return one number for the next runs of all members of a gang."""
        number = max(self.next_run_number(task) for task in tasks)
        self.run_numbers.update(dict.fromkeys(tasks, number))
        return number

    def on_finals_durable(self, ids: Iterable[str]) -> None:
        """Take note that final states are durable."""
        for id in ids:
            state = self.jobs.get(id)
            if state is not None and state.final is not None:
                state.is_final_durable = True
                self.changed_jobs.add(id)
                self._schedule_compaction(id, state, state.final)

    def _schedule_compaction(
        self, id: str, state: progress.Progress, noted: model.JobState
    ) -> None:
        """Have a final job's rows tidied."""
        noted_at = self.ledger.versions.get(id, 0)
        cancelled_at = state.version if state.cancelled else 0
        final = progress.resolve_final_state(noted, noted_at, cancelled_at)
        self.compactor.add(id, self.job_locations[id], final, state.version, noted_at)

    def record_degraded_run(self, run: vm.Run, what: str, now: float) -> None:
        """Take note that a run stands still or is slow; its VM may be sick."""
        if run.is_sick:
            return
        run.is_sick = True
        self.log_event("run is sick", reason=what, work=run.work, **describe_run(run))
        if run.vm.record_degraded_run(now):
            until = round(run.vm.quarantined_until, 2)
            self.log_event("VM set aside", vm=run.vm.id, until=until, reason=what)

    def get_mean_work(self, queue: str) -> float:
        """Return the mean core-seconds of the queue's jobs seen so far."""
        total, count = self._mean_work.get(queue, (0.0, 0))
        return total / count if count else 0.0

    def count_unavailable(self, job: str, step: int) -> int:
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

    def get_figures(self, state: progress.Progress) -> priority.SortInputs:
        """Return what a job's sort key is made of, also where its queue is gone."""
        queue = self.queues.get(state.job.queue)
        return priority.compute_sort_inputs(state, queue or state.job.terms)

    def needs_ticket(self, state: progress.Progress) -> bool:
        """Whether the queue's policy allows only some VMs for each step."""
        queue = self.queues.get(state.job.queue)
        return state.job.is_advised if queue is None else queue.advice is not None

    def get_max_attempts(self, state: progress.Progress) -> int:
        """Return how many failed runs a task of the job may have."""
        queue = self.queues.get(state.job.queue)
        return queue.max_attempts if queue else state.job.attempts

    def drop_vm(self, one: vm.Vm, reason: str) -> None:
        """Take a life of a VM for ended: all that ran there has ended."""
        if one.gone:
            return
        one.gone = True
        self.unresolved.discard(one.id)
        self.log_event("VM gone", vm=one.id, runs=len(one.runs), reason=reason)
        for run in list(one.runs.values()):
            self.remove_run(run)
        self.ledger.remove_vm(one.id)
        self.vms.pop(one.id, None)

    # -- inside

    def _remove_lapsed_runs(self, one: vm.Vm) -> None:
        self.log_event("leases lapsed", vm=one.id, runs=len(one.runs))
        for run in list(one.runs.values()):
            self.remove_run(run)
        one.orphans.clear()

    def remove_run(self, run: vm.Run) -> None:
        """Take a run for ended; its task may start again."""
        run.vm.runs.pop(run.task, None)
        if self.live.get(run.task) is run:
            del self.live[run.task]
        self.changed_jobs.add(run.task.job)

    def _update_mean_work(self, job: model.Job) -> None:
        total, count = self._mean_work.get(job.queue, (0.0, 0))
        self._mean_work[job.queue] = (total + job.compute_work(), count + 1)

    def forget_job(self, id: str) -> None:
        """Drop a job that is final and has no runs left."""
        state = self.jobs.pop(id, None)
        self.job_locations.pop(id, None)
        self.changed_jobs.discard(id)
        if state is None:
            return
        self.tickets.forget_job(id)
        self.relocated = {task for task in self.relocated if task.job != id}
        for table in (self.run_numbers, self.not_before, self.failed_on):
            for task in [one for one in table if one.job == id]:
                del table[task]


def describe_run(run: vm.Run) -> dict[str, object]:
    """Return the fields of a log line on a run."""
    return {
        "job": run.task.job,
        "task": run.task[1:],
        "run": run.number,
        "vm": run.vm.id,
        "state": run.state.value,
    }
