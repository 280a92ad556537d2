"""The leader's view of its pool's jobs and VMs, from stored rows and elapsed time.

Its VMs are kept by `roster`, the inputs of the jobs' order by `urgency`.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model, progress, record
from wigeonhitch.platform import entries, rows
from wigeonhitch.pool import (
    compaction,
    estimate,
    fairness,
    ledger,
    priority,
    quota,
    renewal,
    roster,
    suspect,
    ticket,
    transfer,
    urgency,
    vm,
)

__all__ = ["PoolView", "TimeBounds", "describe_run"]

RUN_NUMBERS_PER_LEADER = 1 << 20
"""Size of a leader's range of run numbers for each task; the ranges of successive
leaders don't overlap."""

LAPSE_MARGIN_SECONDS = 0.25
"""Seconds added to a lease's end, clock drift and stop time: times in answers are
rounded to milliseconds, and a worker's timer may fire late."""


class TimeBounds(NamedTuple):
    """Time bounds of earlier leaders and of workers, in seconds.

    ``longest_lease`` is the longest lease that any leader grants, ``stop_grace`` the
    time that a worker takes to end a task. With ``leaders_overlap`` an earlier
    leader may still give orders after this one's claim, until each worker has seen
    the new fencing token. ``move_seconds`` is the time that a VM takes to join from
    another pool, and ``max_lease`` the longest lease that a worker takes from any call.
    """

    longest_lease: float
    stop_grace: float
    leaders_overlap: bool = False
    move_seconds: float = 1.5
    max_lease: float = 10.0


class PoolView:
    """One leader's view of its pool; `core.Pool` adds the answers of workers.

    Parameters
    ----------
    name : str
        The pool.
    fence : int
        Version of the owner row: the fencing token; rows with a lower version were
        written before the takeover.
    epoch : int
        Number of this leader among the pool's leaders, from 1.
    times : TimeBounds
        Bounds of leases and of the time to stop a task.
    now : float
        This daemon's time at the takeover.
    log_event : callable
        Writes a log line; takes the text and the fields.
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
        self.transfers = transfer.Transfers(times.max_lease)
        self.renewals = renewal.SentRenewals()
        self.ledger = ledger.Ledger(name, fence)
        self.roster = roster.Roster(name, self.vms, self.ledger, log_event)
        self.unresolved = self.roster.unresolved
        """VMs that an earlier leader may have used and that aren't reconciled yet."""
        self.suspects = suspect.Suspects(
            self.jobs, self.vms, self.live, self.ledger, log_event
        )
        self.quotas = quota.Quotas(name, epoch, log_event)
        self.estimates = estimate.RunTimeEstimates()
        self.urgency = urgency.JobUrgency(self.live, self.queues, self.estimates)
        self.fair_queue = fairness.FairQueue(log_event)
        self.compactor = compaction.Compactor(name)
        self.job_locations: dict[str, compaction.RowLocation] = {}
        """Locations of the rows of open jobs."""
        self.deposed = False
        self.changed_jobs: set[str] = set()
        """Jobs whose open tasks must be recomputed."""
        self.submitted_work: list[float] = []
        """Core-seconds of each job accepted under this leader and not yet counted as an
        arrival."""
        self.must_scan = True
        """Whether the last changes may require runs to be stopped."""
        self.not_before: dict[model.Task, float] = {}
        self.failed_on: dict[model.Task, str] = {}
        self.tickets = ticket.Tickets()
        self.relocated: set[model.Task] = set()
        """Tasks that were restarted on another VM because their VM was degraded."""
        self.wall_time = 0.0
        """Unix time of the last round, for the ages of jobs in the log."""
        self.latest_time = now
        """This daemon's time of the last round or answer."""
        self._takeover_time = now
        self.run_number_base = (epoch - 1) * RUN_NUMBERS_PER_LEADER
        self.run_numbers: dict[model.Task, int] = {}
        self.lapsed_runs: dict[model.Task, set[int]] = {}
        """Numbers of the runs of each task that ended with their leases."""

    # -- rows

    def on_job(
        self,
        id: str,
        row: record.JobRecord,
        version: int,
        location: compaction.RowLocation,
    ) -> None:
        """Apply a job row: a new job, a cancellation, or a final state."""
        if row.job is None:
            self.compactor.on_final_row(id, location, version, row.finished)
            return
        job_state = self.jobs.get(id)
        if job_state is None and self.compactor.is_final(id, version):
            return  # the row is an older copy, from a read that began earlier
        if job_state is None:
            job_state = progress.Progress(row.job, version, row.accepted, row.path)
            self.job_locations[id] = location
            self.jobs[id] = job_state
            self.urgency.add_job(row.job)
            if not row.cancelled:
                self.fair_queue.on_job(row.job, self.compute_capacity())
            if version > self.fence and not (row.job.is_lasting or row.job.times):
                self.submitted_work.append(row.job.compute_work())
        if version < job_state.version:
            return
        job_state.version = version
        if row.cancelled and not job_state.cancelled:
            job_state.cancelled = True
            self.must_scan = True
            self.log_event("job cancelled", job=id, version=version)
            if job_state.final is None:
                self.ledger.mark_dirty(id)
        self.changed_jobs.add(id)

    def on_progress(self, id: str, value: bytes, version: int) -> None:
        """Apply a progress row; at the takeover they are read after all jobs.

        The row of a job that isn't open is a leftover of an earlier leader and is
        removed.
        """
        state = self.jobs.get(id)
        self.ledger.versions[id] = version
        if state is None:
            self.ledger.drop_progress([id])
            return
        record.read_progress(state, value)
        self.suspects.on_progress_read(state)
        self.changed_jobs.add(id)
        if state.final is not None:
            self.on_finals_durable([id])

    def on_queues(self, queues: Iterable[model.Queue]) -> None:
        """Apply the queues of the configuration in force."""
        in_force = {queue.name: queue for queue in queues}
        # The mapping is shared with the sort inputs, so it is changed in place.
        self.queues.clear()
        self.queues.update(in_force)
        self.tickets.on_queues(in_force)
        self.changed_jobs.update(self.jobs)

    def on_worker(self, entry: entries.WorkerEntry, now: float) -> None:
        """Apply a worker's entry; workers of other pools are ignored."""
        if self.roster.has_ended(entry.id, entry.start_ms):
            return  # it was read late, or written by another process
        known = self.roster.find_incarnation(entry.id, entry.start_ms)
        is_elsewhere = entry.pool != self.name
        if known is not None and known.is_assumed and is_elsewhere and not known.runs:
            self._drop_unnamed(known, None)  # it never belonged to this pool
        if self.roster.on_worker(entry, now):
            self.must_scan = True
        machine = self.vms.get(entry.incarnation)
        if known is None and machine is not None and entry.start_ms:
            machine.opens_at = self.transfers.compute_opening(entry.id)

    def set_closed(
        self,
        ids: frozenset[str],
        ended: Mapping[str, vm.VmEnd],
        version: int = 0,
    ) -> None:
        """Set the workers that are closed, and those that have ended, with the cause.

        All others are open. A set with an older store version than the last one is
        ignored: it would reopen VMs that are already published as empty.
        """
        if version < self.roster.closings_version:
            return
        self.must_scan = True
        for machine in self.roster.set_closed(ids, ended, version):
            self.drop_vm(machine, ended[machine.id])
        self.roster.update_closed()

    def get_end(self, id: str) -> vm.VmEnd | None:
        """Return how a worker has ended, as far as the fleet's leader has told."""
        return self.roster.get_end(id)

    def on_worker_removed(self, worker: str) -> None:
        """Record that a worker's entry was removed; its runs may go on."""
        self.roster.on_worker_removed(worker)

    def on_roster(
        self, id: str, address: str, version: int, now: float, start_ms: int = 0
    ) -> None:
        """Apply a roster row at the takeover: the VM may run tasks."""
        self.roster.on_row(id, address, version, now, start_ms)

    # -- commits

    def on_commit(self, batch: ledger.Batch, change: rows.Change) -> ledger.Result:
        """Apply the answer to a transaction of the ledger."""
        result = self.ledger.on_result(batch, change)
        if result.deposed:
            self.deposed = True
        if not result.done:
            self.on_finals_durable(result.durable_finals)
            return result
        for id in batch.vms:
            if id in self.vms:
                self.vms[id].recorded = True
        for id, revision in batch.crash_revisions.items():
            if id in self.jobs:
                self.jobs[id].recorded_crash_revision = revision
        self.on_finals_durable(batch.final_jobs)
        self.on_ends_durable(batch.processed_ends)
        return result

    def on_ends_durable(self, processed_ends: Mapping[str, int]) -> None:
        """Record up to which number the ends of each VM are durable."""
        for id, number in processed_ends.items():
            machine = self.vms.get(id)
            if machine is not None:
                machine.committed_end = max(machine.committed_end, number)

    # -- time

    def expire_leases(self, now: float) -> None:
        """Drop the runs and VMs whose leases have certainly expired."""
        seconds_waited = now - self._takeover_time
        longest = self.times.longest_lease * (1 + vm.MAX_CLOCK_DRIFT)
        grace = self.times.stop_grace + LAPSE_MARGIN_SECONDS
        for machine in list(self.vms.values()):
            if machine.is_placeholder:
                if now >= machine.expires_at and not machine.is_suspended:
                    self._drop_unnamed(machine, self._find_other(machine))
                if machine.is_suspended and machine.is_lapsed(now, grace):
                    self._drop_unnamed(machine, self._find_other(machine))
                continue
            # A VM that never answered may still have received a renewal of ours.
            lapsed = machine.is_lapsed(now, grace)
            lapsed = lapsed and not self._may_reach_unknown_incarnation(machine, now)
            if not machine.answered:
                lapsed = lapsed and seconds_waited > longest + grace
            if lapsed and (machine.runs or machine.orphans):
                self._remove_lapsed_runs(machine, now)
            if lapsed and machine.id in self.unresolved:
                self.unresolved.discard(machine.id)
                self.suspects.on_leases_lapsed(machine, now)
                self.roster.unseen_ends.add(machine.id)
                self.log_event(
                    "VM waited out",
                    vm=machine.id,
                    waited=round(seconds_waited, 2),
                )
            if lapsed and not machine.listed:
                self.drop_vm(machine, vm.VmEnd.EXPIRED)

    # -- questions

    def compute_remaining_earlier_lease(self, now: float) -> float:
        """Return the most that may remain of an earlier leader's longest lease.

        It is counted by the slowest worker clock.
        """
        passed = (now - self._takeover_time) * (1 - vm.MAX_CLOCK_DRIFT)
        return max(0.0, self.times.longest_lease - passed)

    def may_have_run(self, state: progress.Progress) -> bool:
        """Return whether an earlier leader may have started tasks of the job."""
        return bool(self.unresolved) and self._is_older(state)

    def must_record_start(self, state: progress.Progress, task: model.Task) -> bool:
        """Return whether a task is started only on a VM that is recorded before.

        These are the tasks under which a VM has crashed, and those of which an earlier
        leader may have seen that without recording it. The VMs of a gang are
        recorded together when it is placed.
        """
        return state.is_suspect(task) and not state.job.steps[task.step].gang

    def list_orphaned_tasks(self) -> frozenset[model.Task]:
        """Return the tasks of which a VM lists an orphaned run.

        Such a run goes on until its end is listed, its VM's leases lapse or its VM is
        gone.
        """
        return frozenset(
            task for machine in self.vms.values() for task, _ in machine.orphans
        )

    def next_run_number(self, task: model.Task) -> int:
        """Return the number of the task's next run, higher than all earlier ones."""
        number = max(self.run_numbers.get(task, 0), self.run_number_base) + 1
        self.run_numbers[task] = number
        return number

    def next_gang_run_number(self, tasks: list[model.Task]) -> int:
        """Return one number for the next runs of all members of a gang."""
        number = max(self.next_run_number(task) for task in tasks)
        self.run_numbers.update(dict.fromkeys(tasks, number))
        return number

    def on_finals_durable(self, ids: Iterable[str]) -> None:
        """Record that the final states of jobs are durable."""
        for id in ids:
            state = self.jobs.get(id)
            if state is not None and state.final is not None:
                state.is_final_durable = True
                self.changed_jobs.add(id)
                self._schedule_compaction(id, state, state.final)

    def _schedule_compaction(
        self, id: str, state: progress.Progress, recorded: model.JobState
    ) -> None:
        """Hand the rows of a final job to the compactor."""
        recorded_at = self.ledger.versions.get(id, 0)
        cancelled_at = state.version if state.cancelled else 0
        final = progress.resolve_final_state(recorded, recorded_at, cancelled_at)
        self.compactor.add(
            id, self.job_locations[id], final, state.version, recorded_at
        )

    def record_unseen_ends(self, wall_time: float) -> None:
        """Record which tasks may have run on VMs that ended before this term.

        It waits until it is known what runs on the other VMs. Until then the ended VMs
        stay on the roster, so that a successor finds them too.
        """
        if self.unresolved or not self.roster.unseen_ends:
            return
        older = [state for state in self.jobs.values() if self._is_older(state)]
        self.suspects.on_unseen_ends(older, wall_time)
        self.roster.clear_unseen_ends()

    def record_degraded_run(self, run: vm.Run, reason: str, now: float) -> None:
        """Record that a run is stuck or slow; its VM may be quarantined for it."""
        if run.is_degraded:
            return
        run.is_degraded = True
        self.log_event(
            "run degraded", reason=reason, work=run.work, **describe_run(run)
        )
        if run.vm.record_degraded_run(now):
            until = round(run.vm.quarantined_until, 2)
            self.log_event("VM set aside", vm=run.vm.id, until=until, reason=reason)

    def compute_capacity(self) -> model.Room:
        """Return the resources of all VMs that take tasks."""
        capacity = model.Room()
        for machine in self.vms.values():
            if machine.listed and not machine.closed and not machine.entry.leaving:
                capacity = capacity.plus(machine.entry.room)
        return capacity

    def get_mean_work(self, queue: str) -> float:
        """Return the mean core-seconds of the queue's jobs seen so far."""
        return self.urgency.get_mean_work(queue)

    def count_unavailable(self, job: str, step: int) -> int:
        """Return how many tasks of a lasting step are unavailable."""
        state = self.jobs[job]
        at_work = 0
        for index in range(state.job.steps[step].count):
            run = self.live.get(model.Task(job, 0, step, index))
            if run is not None and run.is_at_work:
                at_work += 1
        return state.job.steps[step].count - at_work

    def is_wanted(self, run: vm.Run) -> bool:
        """Return whether the run's task still has to be run."""
        state = self.jobs.get(run.task.job)
        if state is None or state.cancelled or state.final is not None:
            return False
        return not state.is_done(run.task)

    def get_sort_inputs(self, state: progress.Progress) -> priority.SortInputs:
        """Return the inputs of a job's sort key."""
        return self.urgency.get_sort_inputs(state, self.latest_time)

    def compute_remaining(self, run: vm.Run) -> float:
        """Return the seconds until a run of a batch task ends by itself."""
        return self.urgency.compute_remaining(run, self.latest_time)

    def needs_ticket(self, state: progress.Progress) -> bool:
        """Return whether the job's tasks need a ticket of the advice service."""
        queue = self.queues.get(state.job.queue)
        return state.job.is_advised if queue is None else queue.advice is not None

    def get_max_attempts(self, state: progress.Progress) -> int:
        """Return the number of failed runs after which a task isn't retried."""
        queue = self.queues.get(state.job.queue)
        return queue.max_attempts if queue else state.job.attempts

    def replace_vm(self, former: vm.Vm, successor: vm.Vm) -> None:
        """Remove a VM of whose worker a later incarnation has answered a call.

        Runs that the later one may be executing are transferred to it.
        """
        if former.id in self.unresolved:
            self.unresolved.add(successor.id)
        self.log_event(
            "worker restarted" if former.answered else "incarnation has ended",
            vm=former.id,
            by=successor.id,
            processed_end=former.processed_end,
            runs=len(former.runs),
        )
        if former.entry.start_ms != successor.entry.start_ms:
            self.roster.on_replaced(former, self.latest_time)
        if former.entry.start_ms:
            self.drop_vm(former, vm.VmEnd.REPLACED, successor)
        else:
            self._drop_unnamed(former, successor)

    def drop_vm(
        self, machine: vm.Vm, end: vm.VmEnd, successor: vm.Vm | None = None
    ) -> None:
        """Remove a VM that has ended, and with it all its runs.

        Runs that the next incarnation of its worker may be executing are transferred to
        ``successor``, the VM of that one, or to a placeholder if it isn't known. A VM
        that was replaced without a successor has a worker of another id or pool.
        """
        if machine.gone:
            return
        if machine.is_placeholder:
            if end is vm.VmEnd.REPLACED:
                self._drop_unnamed(machine, None)
            return
        machine.gone = True
        other = self._find_other(machine)
        if other is not None and machine.id in self.unresolved:
            self.unresolved.add(other.id)  # it may execute a start by an earlier leader
        self.roster.on_ended(machine.id, end)
        self.log_event(
            "VM gone",
            vm=machine.id,
            rack=machine.rack,
            runs=len(machine.runs),
            reason=end.value,
        )
        missed = machine.remove_missed_runs()
        exhausted = self.suspects.on_vm_ended(machine, end, self.latest_time)
        machine.runs.update(missed)
        if successor is not None or end is not vm.VmEnd.REPLACED:
            self._transfer_runs(machine, successor)
        for run in list(machine.runs.values()):
            self.log_event(
                "run ended with its VM",
                age=self._compute_run_age(run),
                **describe_run(run),
            )
            self.remove_run(run)
        self.roster.remove(machine.id)
        for task in exhausted:
            self.give_up(task)

    def _transfer_runs(self, machine: vm.Vm, successor: vm.Vm | None) -> None:
        """Transfer the runs that the next incarnation of a worker may be executing."""
        if not machine.entry.start_ms:
            return  # the next incarnation has another id, and refuses the orders
        now = self.latest_time
        runs = list(machine.runs.values())
        if successor is not None or self._find_other(machine) is not None:
            pending = [run for run in runs if run.may_reach_next_incarnation]
        else:
            pending = self.transfers.list_pending(runs, now)
        if pending and successor is None:
            successor = self.roster.add_placeholder(machine, now)
        for run in pending:
            self.log_event("run transferred", to=successor.id, **describe_run(run))
            self.transfers.transfer(run, successor, now)

    def _may_reach_unknown_incarnation(self, machine: vm.Vm, now: float) -> bool:
        """Return whether an incarnation that isn't known may execute a VM's starts.

        The leases of the known one don't tell when such a run ends.
        """
        if not machine.entry.start_ms or self._find_other(machine) is not None:
            return False
        return bool(self.transfers.list_pending(machine.runs.values(), now))

    def _find_other(self, machine: vm.Vm) -> vm.Vm | None:
        """Return the incarnation of a VM's worker that was learned last, but itself."""
        known = self.roster.list_by_worker(machine.entry.id)
        return next((other for other in reversed(known) if other is not machine), None)

    def _drop_unnamed(self, machine: vm.Vm, successor: vm.Vm | None) -> None:
        """Drop a VM of which no incarnation is known.

        It is a placeholder, or an earlier version of this program has recorded it.
        """
        machine.gone = True
        for run in list(machine.runs.values()):
            if successor is None:
                self.log_event("start did not take place", **describe_run(run))
                self.remove_run(run)
            else:
                self.transfers.transfer(run, successor, self.latest_time)
        self.unresolved.discard(machine.id)
        self.roster.remove(machine.id)

    def give_up(self, task: model.Task) -> None:
        """Fail the job of a task under which too many VMs have crashed."""
        state = self.jobs[task.job]
        vms = sorted(state.crashed_vms.get(task, ()))
        self.fail_job(state, task, reason="VMs crashed", vms=vms)

    def fail_job(
        self, state: progress.Progress, task: model.Task, **fields: object
    ) -> None:
        """Let a job fail because of one of its tasks.

        The task is never started again. A job without lasting tasks is final, and what
        it runs is stopped. Otherwise its lasting tasks are kept until it is cancelled:
        callers of a service lose no more than the task that has failed, and stopping
        the others would exceed what the service may miss.
        """
        if state.final is not None or task in state.given_up:
            return
        event = "task given up" if state.given_up else "job failed"
        state.give_up(task)
        self.suspects.release(task)
        if not state.can_serve:
            state.final = model.JobState.FAILED
            self.must_scan = True
        self.changed_jobs.add(task.job)
        self.ledger.mark_dirty(task.job)
        is_kept = state.final is None
        self.log_event(event, job=task.job, task=task[1:], kept=is_kept, **fields)

    # -- internals

    def _is_older(self, state: progress.Progress) -> bool:
        """Return whether an earlier leader may have known a job."""
        return state.version < self.fence or self.times.leaders_overlap

    def _compute_run_age(self, run: vm.Run) -> float:
        """Return the seconds from a run's start to the last event of the pool."""
        return round(self.latest_time - run.started_at, 3)

    def _remove_lapsed_runs(self, machine: vm.Vm, now: float) -> None:
        self.log_event("leases lapsed", vm=machine.id, runs=len(machine.runs))
        other = self._find_other(machine)
        if other is not None:
            # The clock of the other incarnation isn't that of these leases.
            for run in list(machine.runs.values()):
                if run.may_reach_next_incarnation and not run.transferred_from:
                    self.transfers.transfer(run, other, now)
        missed = machine.remove_missed_runs()
        self.suspects.on_leases_lapsed(machine, now)
        machine.runs.update(missed)
        for run in list(machine.runs.values()):
            self.lapsed_runs.setdefault(run.task, set()).add(run.number)
            self.log_event(
                "run lapsed", age=self._compute_run_age(run), **describe_run(run)
            )
            self.remove_run(run)
        machine.orphans.clear()

    def remove_run(self, run: vm.Run) -> None:
        """Take a run for ended; its task may start again."""
        run.vm.runs.pop(run.task, None)
        self.transfers.forget(run)
        self.estimates.on_run_removed(run)
        if self.live.get(run.task) is run:
            del self.live[run.task]
            self.quotas.remove(run)
        self.changed_jobs.add(run.task.job)

    def forget_job(self, id: str) -> None:
        """Drop a job that is final and has no runs left."""
        state = self.jobs.pop(id, None)
        self.job_locations.pop(id, None)
        self.changed_jobs.discard(id)
        if state is None:
            return
        self.urgency.forget_job(state.job)
        self.estimates.forget_job(id)
        self.tickets.forget_job(id)
        self.suspects.forget_job(id)
        self.quotas.forget_job(id)
        self.fair_queue.on_job_ended(id)
        self.relocated = {task for task in self.relocated if task.job != id}
        tables = (self.run_numbers, self.not_before, self.failed_on, self.lapsed_runs)
        for table in tables:
            for task in [task for task in table if task.job == id]:
                del table[task]


def describe_run(run: vm.Run) -> dict[str, object]:
    """Return the log fields that identify a run."""
    return {
        "job": run.task.job,
        "task": run.task[1:],
        "run": run.number,
        "vm": run.vm.id,
        "state": run.state.value,
    }
