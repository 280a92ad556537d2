"""State of a pool's leader, and how answers of workers change it.

No I/O and no clock: `runner` feeds in rows, answers of workers and times.
Invariants:

- At most one run of a task at a time. A run whose start got no answer may begin
  until its start deadline on the worker's clock; it counts as not started only
  when an answer with a later clock doesn't list it and, where workers are restarted
  under their ids, when that answer's call was sent after the start can't be on its
  way any more. A VM that doesn't answer counts as empty only when its clock has
  certainly passed every deadline that it was given.
- After a takeover, a task that an earlier leader may have started waits until
  every VM of the roster has answered under the new fencing token or, if it is
  unreachable, the longest lease has expired.
- Run numbers increase from leader to leader: each leader has its own range.
"""

from wigeonhitch.jobs import model, progress
from wigeonhitch.platform import advice, workers
from wigeonhitch.pool import priority, transfer, view, vm

__all__ = ["Pool"]

MAX_ENDS_PER_REPLY = 500
"""Largest number of ends in one answer of a worker; an answer with that many may
leave out further ones."""

START_RETRY_DELAY_SECONDS = 0.25
"""Seconds before a refused start is retried: a fifth of the run time of a small
task, so that a faulty VM doesn't attract all starts."""

SHORT_RUN_SECONDS = 1.5
"""Run time in seconds below which the end of a lasting task counts against its VM:
lasting tasks are ready in well under a second and run for many."""


FOREIGN_RUN_HOLD_SECONDS = 2.5
"""Seconds, beyond the interval of repeated stops, for which a run of another pool's job
isn't stopped: an entry by another process that names this pool is overwritten by the
worker's next heartbeat, in 1.5 s."""

ADOPTION_GRACE_SECONDS = 0.5
"""Seconds, beyond the time that a stop takes, after which an adopted run that is
still listed is not being stopped: the last orders of an earlier leader are in
flight for up to 0.25 s on a slow link."""


class Pool(view.PoolView):
    """One leader's view of its pool, updated by the answers of workers."""

    def on_hold(self, machine: vm.Vm, reply: workers.HoldReply, now: float) -> None:
        """Apply the answer to a renewal, unless the VM is gone by now."""
        if machine.is_unattributable(reply):
            return
        is_other = machine.is_of_other_incarnation(reply)
        if is_other:
            self._log_other_incarnation(machine, reply)
        if machine.gone:
            return
        self.latest_time = now
        if reply.verdict is workers.Verdict.FENCED:
            self._depose(machine)
        if reply.verdict is workers.Verdict.GONE:
            self.drop_vm(machine, vm.VmEnd.REPLACED)
        if reply.verdict is not workers.Verdict.DONE:
            return
        if is_other:
            self._on_other_incarnation(machine, reply, now)
            return
        if machine.is_placeholder:
            return
        if machine.is_contested:
            self._end_others(machine, reply.sent)
        machine.expected_clock = _compute_expected_clock(machine, reply)
        if machine.entry.start_ms and not machine.answered:
            machine.reset_clock(reply.clock, reply.received)
        machine.update_clock(reply.clock, reply.received)
        self.suspects.on_vm_answered(machine.id)
        machine.last_answer = machine.last_contact = now
        machine.alive_at = reply.sent
        machine.reported_clock, machine.reported_at = reply.clock, reply.received
        if not machine.answered:
            machine.answered = True
            # An earlier leader may have granted the longest lease just before this.
            lease = self.times.longest_lease
            if machine.entry.start_ms and reply.clock < self.times.max_lease:
                # So may a renewal for the incarnation before, by that one's clock.
                flight = transfer.ORDER_FLIGHT_SECONDS
                lease = max(lease, self.times.max_lease + flight)
            machine.record_lease_deadline(reply.clock + lease)
            machine.knows_next_end = self._has_started_in_term(reply)
            self.log_event(
                "VM answers",
                vm=machine.id,
                running=len(reply.running),
                start_ms=reply.start_ms,
                clock=reply.clock,
            )
        for end in reply.ended:
            if end.number > machine.processed_end:
                self._check_end_number(machine, end.number)
                self._apply_end(machine, end, now)
                machine.processed_end = end.number
        self._find_foreign_end(machine, reply)
        if len(reply.ended) < MAX_ENDS_PER_REPLY:
            self._reconcile(machine, reply, now)
            self.suspects.on_vm_listed(machine.id)
            # Only a complete answer tells which runs are there and which have ended.
            machine.reconciled = True
            self.unresolved.discard(machine.id)

    def on_start(self, run: vm.Run, reply: workers.OrderReply, now: float) -> None:
        """Apply the answer to a start."""
        if run.vm.runs.get(run.task) is not run:
            return
        verdict = reply.verdict
        if verdict is workers.Verdict.UNKNOWN:
            flight_ends_at = (reply.sent or now) + transfer.ORDER_FLIGHT_SECONDS
            run.flight_ends_at = min(run.flight_ends_at, flight_ends_at)
        elif verdict is workers.Verdict.DONE:
            run.flight_ends_at = 0.0
        if run.transferred_from:
            self._on_transferred_start(run, reply)
        elif verdict is workers.Verdict.DONE:
            run.is_confirmed = run.vm.is_own_clock(reply.clock, reply.received)
            run.vm.update_clock(reply.clock, reply.received)
            self._confirm_start(run, reply.clock, now)
        elif verdict is workers.Verdict.UNKNOWN:
            run.state = vm.RunState.UNKNOWN
            self.log_event("start without an answer", **view.describe_run(run))
        elif verdict is workers.Verdict.FENCED:
            self._depose(run.vm)
        elif verdict is workers.Verdict.GONE:
            if run.state is vm.RunState.STARTING:
                self.remove_run(run)  # the start met the VM's next incarnation only
            self.drop_vm(run.vm, vm.VmEnd.REPLACED)
        else:
            self._handle_refusal(run, verdict, now)

    def on_renewal_lost(self, machine: vm.Vm, sent: float) -> None:
        """Record that a renewal which acknowledged ends got no answer."""
        worker = machine.entry.id
        if not machine.entry.start_ms:
            return
        self.transfers.on_renewal_lost(worker, sent)
        opening = self.transfers.compute_opening(worker)
        for other in self.roster.list_by_worker(worker):
            if other is not machine:
                other.opens_at = max(other.opens_at, opening)

    def on_stop(
        self, machine: vm.Vm, task: model.Task, number: int, reply: workers.OrderReply
    ) -> None:
        """Apply the answer to a stop: the run doesn't start there any more."""
        run = machine.runs.get(task)
        if run is None or run.number != number or not run.transferred_from:
            return
        if reply.verdict is workers.Verdict.DONE:
            run.deadline = min(run.deadline, reply.clock)

    # -- internals

    def _find_foreign_end(self, machine: vm.Vm, reply: workers.HoldReply) -> None:
        """Find the first listed end that the leader of another pool has to record.

        A worker may have been restarted into this pool while an order of its former
        pool was on its way, or an entry by another process names the wrong pool.
        """
        number = min(
            (end.number for end in reply.ended if not self._knows_job(end.task.job)),
            default=0,
        )
        if number and not machine.foreign_end:
            self.log_event("end of another pool's job", vm=machine.id, number=number)
        machine.foreign_end = number if machine.entry.start_ms else 0

    def _knows_job(self, id: str) -> bool:
        """Return whether a job is or was one of this pool."""
        return id in self.jobs or self.compactor.knows(id)

    def _has_started_in_term(self, reply: workers.HoldReply) -> bool:
        """Return whether a worker has certainly started after the takeover."""
        started_at = reply.sent - reply.clock / (1 - vm.MAX_CLOCK_DRIFT)
        return started_at > self._takeover_time

    def _check_end_number(self, machine: vm.Vm, number: int) -> None:
        """Log ends that the worker has forgotten before this leader processed them.

        An incarnation numbers its ends from 1 without gaps. An earlier leader may have
        processed those before the first one that a worker older than this term lists.
        """
        count = number - machine.processed_end - 1
        if count and machine.knows_next_end:
            self.log_event(
                "ends missing",
                vm=machine.id,
                start_ms=machine.entry.start_ms,
                processed_end=machine.processed_end,
                first_end=number,
                count=count,
                acknowledged=self.renewals.get_acknowledged(machine.entry.id),
            )
        machine.knows_next_end = True

    def _log_other_incarnation(self, machine: vm.Vm, reply: workers.HoldReply) -> None:
        """Log the first answer to calls of a VM that another incarnation has given."""
        if machine.other_start_ms == reply.start_ms:
            return
        machine.other_start_ms = reply.start_ms
        called = "earlier" if machine.entry.start_ms else "unknown"
        if self.roster.has_ended(machine.entry.id, reply.start_ms, reply.sent):
            called = "later"
        sent = self.renewals.get_last(machine.entry.id)
        self.log_event(
            "answer of another incarnation",
            vm=machine.id,
            called=called,
            start_ms=machine.entry.start_ms,
            answered_start_ms=reply.start_ms,
            clock=reply.clock,
            expected_clock=_compute_expected_clock(machine, reply),
            acknowledged=sent.acknowledged,
            lease=sent.deadline and round(sent.deadline, 3),
            ends=len(reply.ended),
        )

    def _on_other_incarnation(
        self, machine: vm.Vm, reply: workers.HoldReply, now: float
    ) -> None:
        """Apply the answer of another incarnation of a worker than the one called.

        The one called was known before, so it has ended.
        """
        worker = machine.entry.id
        if self.roster.has_ended(worker, reply.start_ms, reply.sent):
            return
        is_pending = any(
            run.may_reach_next_incarnation for run in machine.runs.values()
        )
        is_empty = machine.closed and not machine.runs
        if is_empty or (machine.is_suspended and not is_pending):
            # The VM may have been moved to another pool, whose leader it belongs to.
            if reply.start_ms != machine.entry.start_ms:
                self.roster.on_replaced(machine, now)
            self.drop_vm(machine, vm.VmEnd.REPLACED)
            return
        successor = self.roster.find_incarnation(worker, reply.start_ms)
        if successor is None or successor is machine:
            successor = self.roster.add_assumed(machine, reply, now)
            successor.opens_at = self.transfers.compute_opening(worker)
        self._end_others(successor, reply.sent)

    def _end_others(self, machine: vm.Vm, sent: float) -> None:
        """End the other incarnations of the worker of a VM that has answered a call.

        Those that were known when the call was sent had started before, and only one
        incarnation runs at a time. Which start they report proves nothing: clocks are
        set back.
        """
        for other in self.roster.list_by_worker(machine.entry.id):
            if other is machine or other.joined_at > sent:
                continue
            if not machine.is_assumed:
                machine.listed = machine.listed or other.listed
            self.replace_vm(other, machine)

    def _on_transferred_start(self, run: vm.Run, reply: workers.OrderReply) -> None:
        """Apply the answer to a start that was sent to an ended incarnation."""
        verdict = reply.verdict
        if verdict is workers.Verdict.DONE:
            # Answers with a later clock list it, if this incarnation has executed it.
            run.deadline = min(run.deadline, reply.clock)
        elif verdict is workers.Verdict.FENCED:
            self._depose(run.vm)
        elif verdict is not workers.Verdict.UNKNOWN:
            self.remove_run(run)

    def _confirm_start(self, run: vm.Run, clock: float, now: float) -> None:
        if run.state is not vm.RunState.STOPPING:
            run.state = vm.RunState.RUNNING
        run.started_at, run.started_clock = now, clock
        run.started_work = 0.0
        run.last_progress_clock = run.rate_start_clock = run.vm.compute_clock(now)
        state = self.jobs.get(run.task.job)
        if state is not None and not state.started:
            state.started = True
            self.log_event(
                "job started",
                job=run.task.job,
                vm=run.vm.id,
                run=run.number,
                waited=self._compute_age(state),
            )

    def _handle_refusal(
        self, run: vm.Run, verdict: workers.Verdict, now: float
    ) -> None:
        self.remove_run(run)
        self.suspects.release(run.task)
        self.not_before[run.task] = now + START_RETRY_DELAY_SECONDS
        if verdict is workers.Verdict.UNHEALTHY:
            run.vm.quarantine(now)
        if verdict is workers.Verdict.NOT_DONE:
            run.vm.last_answer = 0.0
        if verdict is workers.Verdict.BAD_TICKET:
            self.tickets.drop(advice.StepName(*run.task[:3]))
        self.log_event("start refused", reason=verdict.value, **view.describe_run(run))

    def _depose(self, machine: vm.Vm) -> None:
        if not self.deposed:
            self.log_event(
                "deposed: worker has a higher fencing token",
                vm=machine.id,
                fence=self.fence,
            )
        self.deposed = True

    def _apply_end(self, machine: vm.Vm, end: workers.Ended, now: float) -> None:
        run = machine.runs.get(end.task)
        is_own_run = run is not None and run.number == end.run
        if is_own_run:
            self.remove_run(run)
        elif end.run > self.run_number_base and end.task in self.run_numbers:
            # A run of this leader that was already dropped, for example as lapsed.
            self.log_event(
                "end of a dropped run",
                job=end.task.job,
                task=end.task[1:],
                run=end.run,
                how=end.end.value,
                number=end.number,
                vm=machine.id,
            )
            has_lapsed = end.run in self.lapsed_runs.get(end.task, ())
            if has_lapsed or end.end is not model.End.DONE:
                return
        state = self.jobs.get(end.task.job)
        if state is None or state.final is not None or not state.has_task(end.task):
            return
        self.changed_jobs.add(end.task.job)
        if state.assigned_vms.get(end.task) == machine.id:
            self.suspects.release(end.task)
        step = state.job.steps[end.task.step]
        run_seconds = now - run.started_at if is_own_run else SHORT_RUN_SECONDS
        if (not step.lasting or run_seconds < SHORT_RUN_SECONDS) and machine.record_end(
            end.end, now
        ):
            self.log_event(
                "VM set aside",
                vm=machine.id,
                until=round(machine.quarantined_until, 2),
            )
        if step.lasting:
            return
        if end.end is model.End.DONE:
            if is_own_run and not state.is_done(end.task):
                self.estimates.on_run_done(run, now)
            self._record_done(state, end.task)
        elif end.end is model.End.FAILED:
            self._record_failed(state, end, machine)
        else:
            state.record_checkpoint(end.task, end.checkpoint)
            self.ledger.mark_dirty(end.task.job)

    def _record_done(self, state: progress.Progress, task: model.Task) -> None:
        state.record_done(task)
        if task in self.live:
            self.must_scan = True  # it was started again, as this run was dropped
        if state.is_step_done(task.occurrence, task.step):
            self.estimates.on_step_done(state.job, task.step)
        state.started = True
        self.ledger.mark_dirty(task.job)
        if state.is_complete() and not state.cancelled:
            state.final = model.JobState.COMPLETED
            self.log_event(
                "job complete",
                job=task.job,
                took=self._compute_age(state),
                objective=self._compute_objective(state),
                failed_runs=sum(map(len, state.failed_runs.values())),
            )

    def _record_failed(
        self, state: progress.Progress, end: workers.Ended, machine: vm.Vm
    ) -> None:
        if state.is_done(end.task):
            return
        state.record_failed(end.task, end.run)
        state.started = True
        self.failed_on[end.task] = machine.id
        self.ledger.mark_dirty(end.task.job)
        self.log_event("run failed", job=end.task.job, task=end.task[1:], vm=machine.id)
        if state.is_exhausted(end.task, self.get_max_attempts(state)):
            self.fail_job(state, end.task, reason="attempts used up", vm=machine.id)

    def _compute_age(self, state: progress.Progress) -> float:
        return round(self.wall_time - state.accepted, 3)

    def _compute_objective(self, state: progress.Progress) -> float:
        queue = self.queues.get(state.job.queue)
        if queue is None:
            return 0.0
        spans = self.estimates.compute_spans(state.job)
        return round(priority.compute_due(state.job, queue, 0.0, spans), 3)

    def _reconcile(self, machine: vm.Vm, reply: workers.HoldReply, now: float) -> None:
        listed = {(entry.task, entry.run): entry for entry in reply.running}
        for run in list(machine.runs.values()):
            entry = listed.pop((run.task, run.number), None)
            if entry is not None:
                self._update_running(run, entry, now)
            elif run.state in (vm.RunState.STARTING, vm.RunState.UNKNOWN):
                if reply.clock <= run.deadline:
                    continue
                if transfer.may_be_on_its_way(run, reply.sent, now):
                    run.is_past_deadline = True
                    continue
                self._log_unlisted("start did not take place", run, reply)
                self.remove_run(run)
            elif run.started_at < reply.sent:
                self._log_unlisted("run no longer listed", run, reply)
                self.remove_run(run)
        orphaned = [e for e in listed.values() if not self._adopt(machine, e, now)]
        for entry in orphaned:
            if (entry.task, entry.run) not in machine.orphans:
                self._log_orphan(machine, entry)
        machine.orphans = {
            (entry.task, entry.run): machine.orphans.get(
                (entry.task, entry.run), self._compute_stop_hold(machine, entry, now)
            )
            for entry in orphaned
        }

    def _compute_stop_hold(
        self, machine: vm.Vm, entry: workers.Running, now: float
    ) -> float:
        """Return the time until which an orphaned run isn't stopped."""
        is_foreign = machine.entry.start_ms and not self._knows_job(entry.task.job)
        return now + FOREIGN_RUN_HOLD_SECONDS if is_foreign else 0.0

    def _log_unlisted(self, event: str, run: vm.Run, reply: workers.HoldReply) -> None:
        """Log a run that its VM doesn't list and of which no end has come.

        A worker forgets an end only once it is acknowledged, so the numbers tell who
        may have done so, also for a run of which it isn't known whether it started.
        """
        machine = run.vm
        numbers = [end.number for end in reply.ended] or [0]
        self.log_event(
            event,
            age=self._compute_run_age(run),
            start_ms=machine.entry.start_ms,
            acknowledged=self.renewals.get_acknowledged(machine.entry.id),
            processed_end=machine.processed_end,
            committed_end=machine.committed_end,
            first_end=numbers[0],
            last_end=numbers[-1],
            clock=reply.clock,
            expected_clock=machine.expected_clock,
            **view.describe_run(run),
        )

    def _log_orphan(self, machine: vm.Vm, entry: workers.Running) -> None:
        """Log an orphaned run; with a live run of its task, the task runs twice."""
        own_run = self.live.get(entry.task)
        self.log_event(
            "run listed that nobody wants",
            job=entry.task.job,
            task=entry.task[1:],
            run=entry.run,
            vm=machine.id,
            beside=own_run.number if own_run else 0,
            beside_vm=own_run.vm.id if own_run else "",
        )

    def _update_running(self, run: vm.Run, entry: workers.Running, now: float) -> None:
        if run.state in (vm.RunState.STARTING, vm.RunState.UNKNOWN):
            self._confirm_start(run, run.vm.reported_clock, now)
            run.started_work = entry.work  # it may have started long before
        if run.transferred_from:
            self.suspects.withdraw_crash(run.task, run.transferred_from)
            run.transferred_from = ""
            self.transfers.forget(run)
        run.record_work(entry.work, run.vm.reported_clock)
        run.load = entry.load
        run.listed_at, run.listed_clock = now, run.vm.reported_clock
        self.suspects.on_run_listed(run)
        if run.task.job in self.jobs:
            self.estimates.on_run_listed(run, now)
        if entry.checkpoint and run.task.job in self.jobs:
            self.jobs[run.task.job].record_checkpoint(run.task, entry.checkpoint)

    def _adopt(self, machine: vm.Vm, entry: workers.Running, now: float) -> bool:
        """Adopt an earlier leader's run; return whether it is still wanted."""
        state = self.jobs.get(entry.task.job)
        wanted = (
            state is not None
            and state.final is None
            and not state.cancelled
            and state.has_task(entry.task)
            and not state.is_done(entry.task)
            and entry.task not in self.live
            and entry.run <= self.run_number_base
        )
        if not wanted:
            return False
        step = state.job.steps[entry.task.step]
        run = machine.adopt(entry, step, now)
        run.load = entry.load
        run.confirmed_from = now + self.times.stop_grace + ADOPTION_GRACE_SECONDS
        self.live[entry.task] = run
        self.quotas.add(state.job.team, run)
        state.started = True
        run.shows_run_time = not state.get_checkpoint(entry.task)
        state.record_checkpoint(entry.task, entry.checkpoint)
        return True


def _compute_expected_clock(machine: vm.Vm, reply: workers.HoldReply) -> float | None:
    """Return the time that a worker's clock has reached by an answer, if known."""
    if not machine.knows_clock:
        return None
    return round(machine.compute_clock(reply.received), 3)
