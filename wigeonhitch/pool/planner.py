"""One scheduling round of a leader: which runs to stop, start and slow down.

A round follows each change, at most about a hundred times a second. Jobs are taken
in the order of `priority`, and `placement` chooses the VM of each task. A step whose
next task finds no room waits for the next round, so that a backlog costs one
placement attempt per step and not one per task.
"""

import collections
import math

from wigeonhitch.jobs import model, progress
from wigeonhitch.platform import advice, workers
from wigeonhitch.pool import (
    assignment,
    core,
    demand,
    health,
    message,
    pacing,
    placement,
    preemption,
    priority,
    status,
    view,
    vm,
)
from wigeonhitch.pool import record as pool_record

__all__ = ["Planner"]

STOP_RETRY_SECONDS = 1.2
"""Seconds after which a stop is sent again if the run is still listed; a stop takes
up to 0.9 s."""


SCAN_PERIOD_SECONDS = 0.1
"""Seconds between scans of all runs for those to be stopped, unless a job, a VM or a
closing has changed: a pool of 40 VMs has some 600 runs."""

ESTIMATE_PERIOD_SECONDS = 0.25
"""Seconds between two updates of the order of jobs whose tasks have only progressed:
with 600 runs, each round has progress of some of them."""


class Planner:
    """Plans the scheduling rounds of one pool.

    Parameters
    ----------
    pool : core.Pool
        State of the pool's leader.
    """

    def __init__(self, pool: core.Pool) -> None:
        self.pool = pool
        self.unmet = 0
        """Millicores that jobs which can still be on time lack."""
        self._arrivals = demand.Arrivals(pool.times.move_seconds)
        self._published_capacity = 0
        self._open_tasks: dict[str, list[model.Task]] = {}
        self._next_due: dict[str, float] = {}
        self._sort_inputs: dict[str, priority.SortInputs] = {}
        self._next_scan = 0.0
        self._next_estimates = 0.0
        self._has_waiting = False
        """Whether a task waits that could run if there was room or a share."""
        self._missing_vms = 0
        """Further VMs that lasting tasks need because of their spread limit."""
        self._orphaned_tasks: frozenset[model.Task] = frozenset()
        """Tasks of which a VM lists an orphaned run."""
        self._preemptor = preemption.Preemptor(pool.not_before)
        self._next_preemption = 0.0
        self._vacated: dict[model.Task, tuple[vm.Run, vm.Vm, float]] = {}
        """Runs that are being stopped to be continued elsewhere, with the VM on which
        room is reserved for them, and until when."""
        self._keys: dict[str, priority.SortKey] = {}
        """Sort keys of the open jobs in the current round."""
        self._waiting: list[preemption.WaitingTasks] = []
        """Tasks that found no room in the current round."""
        self._waiting_rooms: dict[str, model.Room] = {}
        """Resources of these tasks by team, for teams with a ceiling."""

    def plan(self, now: float, wall_time: float) -> list[message.Start | message.Stop]:
        """Return the orders to give now; the runs to start are recorded as starting.

        Parameters
        ----------
        now : float
            This daemon's monotonic time.
        wall_time : float
            Unix time.
        """
        self.pool.wall_time, self.pool.latest_time = wall_time, now
        self.pool.expire_leases(now)
        for work in self.pool.submitted_work:
            self._arrivals.record(work, now)
        self.pool.submitted_work.clear()
        self.pool.record_unseen_ends(wall_time)
        self._refresh_jobs(wall_time)
        self._refresh_estimates(now)
        orders: list[message.Start | message.Stop] = self._stop_orphans(now)
        suspects = self.pool.suspects
        placer = placement.Placer(
            self.pool.vms.values(),
            now,
            suspects.list_test_vms(),
            suspects.count_by_vm(),
            suspects.list_assigned(),
        )
        self._reserve_for_vacated(placer)
        orders.extend(self._plan_stops(placer, now))
        orphaned = self.pool.list_orphaned_tasks()
        self.pool.quotas.begin_round(is_certain=not (self.pool.unresolved or orphaned))
        orders.extend(self._plan_starts(placer, now, wall_time))
        self.pool.quotas.end_round()
        orders.extend(self._plan_preemptions(placer, now))
        return orders

    def plan_paces(self, machine: vm.Vm) -> list[message.Pace]:
        """Return the changes of pace for a VM's filling runs after its answer."""
        running = [r for r in machine.runs.values() if r.state is vm.RunState.RUNNING]
        filling = [run for run in running if run.step.fills]
        serving = [(run.load / 1000, run) for run in running if run.step.target]
        changes = []
        for run in filling:
            pace = pacing.compute_pace(run.pace, serving)
            if pace != run.pace:
                changes.append(message.Pace(run, pace))
        return changes

    def exceeds_published_capacity(self, now: float) -> bool:
        """Return whether arrivals exceed the capacity in the last status."""
        return 1000 * self._arrivals.compute_rate(now) > self._published_capacity

    def build_status(self, now: float, wall_time: float) -> pool_record.PoolStatus:
        """Return the status to publish to other daemons."""
        arriving = self._arrivals.compute_rate(now)
        demanded = demand.compute_demand(
            self._sort_inputs.values(), arriving, wall_time
        )
        published = status.build_status(self.pool, self.unmet, demanded)
        self._published_capacity = published.batch_capacity
        return published

    def count_empty_vms(self) -> int:
        """Return the number of closed VMs that run nothing any more."""
        return len(status.list_empty_vms(self.pool))

    # -- open tasks

    def _refresh_jobs(self, wall_time: float) -> None:
        """Recompute the open tasks of changed jobs, and finalize cancelled jobs."""
        due = [id for id, next_due in self._next_due.items() if next_due <= wall_time]
        changed, self.pool.changed_jobs = self.pool.changed_jobs | set(due), set()
        for id in changed:
            self._next_due.pop(id, None)
            self._open_tasks.pop(id, None)
            self._sort_inputs.pop(id, None)
            state = self.pool.jobs.get(id)
            if state is None:
                continue
            if state.cancelled or state.final is not None:
                self.pool.fair_queue.on_job_ended(id, is_unused=not state.started)
                self._finalize_cancelled(state)
                continue
            self._open_tasks[id] = list(state.list_open_tasks(wall_time))
            self._sort_inputs[id] = self.pool.get_sort_inputs(state)
            if state.job.times and (next_due := state.compute_next_due(wall_time)):
                self._next_due[id] = next_due

    def _refresh_estimates(self, now: float) -> None:
        """Recompute the sort inputs of the jobs with running tasks.

        Less of them is left as time passes, also while their workers are silent.
        """
        if now < self._next_estimates:
            return
        self._next_estimates = now + ESTIMATE_PERIOD_SECONDS
        running = {
            run.task.job for run in self.pool.live.values() if not run.step.lasting
        }
        for id in self.pool.estimates.pop_progressed_jobs() | running:
            if id in self._sort_inputs:
                self._sort_inputs[id] = self.pool.get_sort_inputs(self.pool.jobs[id])

    def _finalize_cancelled(self, state: progress.Progress) -> None:
        id = state.job.id
        if any(task.job == id for task in self.pool.live):
            return
        if state.is_final_durable:
            self.pool.forget_job(id)
            self._preemptor.forget_job(id)
            return
        if state.final is not None:
            return
        if self.pool.may_have_run(state):
            self.pool.changed_jobs.add(id)
            return
        state.final = model.JobState.CANCELLED
        self.pool.ledger.mark_dirty(id)

    # -- stops

    def _plan_stops(self, placer: placement.Placer, now: float) -> list[message.Stop]:
        if now < self._next_scan and not self.pool.must_scan:
            return []
        self.pool.must_scan = False
        self._next_scan = now + SCAN_PERIOD_SECONDS
        stops = []
        for run in list(self.pool.live.values()):
            if run.state is vm.RunState.STOPPING:
                if now - run.stop_sent_at > STOP_RETRY_SECONDS:
                    stops.append(self._stop(run, now))
            elif run.state is not vm.RunState.RUNNING:
                continue
            elif (
                not self.pool.is_wanted(run)
                or self._must_drain(run, placer)
                or self._must_restart_elsewhere(run, placer, now)
            ):
                stops.append(self._stop(run, now))
            elif self._may_vacate(run, placer):
                stops.append(self._preempt(run, now, "vacating", is_delayed=False))
        return stops

    def _may_vacate(self, run: vm.Run, placer: placement.Placer) -> bool:
        """Return whether a batch run should leave its VM, which is closed or leaving.

        If it is to be continued elsewhere, its room is reserved until its end.
        """
        machine = run.vm
        inputs = self._sort_inputs.get(run.task.job)
        if (
            inputs is None
            or not (machine.closed or machine.entry.leaving)
            or not self._is_preemptible(run)
        ):
            return False
        return self._preemptor.may_vacate(
            inputs,
            self.pool.wall_time,
            lambda: self._reserve_next_vm(run, placer),
        )

    def _reserve_next_vm(self, run: vm.Run, placer: placement.Placer) -> bool:
        """Return whether room was found elsewhere for a run, and reserve it."""
        state = self.pool.jobs[run.task.job]
        name = advice.StepName(*run.task[:3])
        allowed = self._list_allowed(state, name, self.pool.latest_time)
        chosen = placer.choose(run.task, run.step, allowed=allowed)
        if chosen is None:
            return False
        until = self.pool.latest_time + STOP_RETRY_SECONDS
        self._vacated[run.task] = run, chosen, until
        return True

    def _reserve_for_vacated(self, placer: placement.Placer) -> None:
        """Reserve room for the runs that are being stopped to be continued elsewhere.

        Tasks that wait would otherwise take it within the half second of a stop.
        """
        for task, (run, machine, until) in list(self._vacated.items()):
            if self.pool.live.get(task) is not run or self.pool.latest_time > until:
                del self._vacated[task]
            elif placer.has_room(machine):
                placer.reserve(machine, task, run.step)

    def _is_preemptible(self, run: vm.Run) -> bool:
        state = self.pool.jobs.get(run.task.job)
        return (
            state is not None
            and not state.has_suspects  # each start of theirs is recorded before
            and not state.job.times  # the sort key is that of the first occurrence
            and self._preemptor.is_preemptible(run, self.pool.compute_remaining(run))
        )

    def _plan_preemptions(
        self, placer: placement.Placer, now: float
    ) -> list[message.Stop]:
        """Stop less urgent runs for the tasks that found no room in this round."""
        if not self._waiting or now < self._next_preemption:
            return []
        self._next_preemption = now + SCAN_PERIOD_SECONDS
        candidates, stopping = [], []
        for run in self.pool.live.values():
            if run.state is vm.RunState.STOPPING:
                stopping.append(run)
            elif run.task.job in self._keys and self._is_preemptible(run):
                key = self._keys[run.task.job]
                candidates.append(preemption.Candidate(key, run))
        free = {machine.id: placer.free[machine.id] for machine in placer.vms}
        victims = self._preemptor.choose_victims(
            candidates, self._waiting, free, stopping
        )
        return [self._preempt(run, now, "late", is_delayed=True) for run in victims]

    def _preempt(
        self, run: vm.Run, now: float, reason: str, *, is_delayed: bool
    ) -> message.Stop:
        key = self._keys.get(run.task.job)
        self.pool.log_event(
            "run preempted",
            reason=reason,
            group=key.group if key else None,
            work=run.work,
            **view.describe_run(run),
        )
        self._preemptor.record(run, now, is_delayed=is_delayed)
        return self._stop(run, now)

    def _must_restart_elsewhere(
        self, run: vm.Run, placer: placement.Placer, now: float
    ) -> bool:
        """Return whether a run must be restarted elsewhere as its VM is degraded."""
        if run.task in self.pool.relocated:
            return False
        stuck = health.is_stuck(run)
        if not stuck and not self._is_slow(run, now):
            return False
        reason = "no progress" if stuck else "slow"
        self.pool.record_degraded_run(run, reason, now)
        elsewhere = placer.choose(run.task, run.step, avoid=run.vm.id)
        if elsewhere in (None, run.vm) and not (stuck and run.vm.is_quarantined(now)):
            return False
        self.pool.relocated.add(run.task)
        self.pool.failed_on[run.task] = run.vm.id
        return True

    def _is_slow(self, run: vm.Run, now: float) -> bool:
        """Return whether a run is slow because of its VM and not of its job."""
        if not health.is_slow(run, now):
            return False
        run.vm.record_slow_job(run.task.job, now)
        peers = [
            other for other in self.pool.live.values() if other.task[:3] == run.task[:3]
        ]
        slower = health.is_slower_than_peers(run, peers)
        return run.vm.is_slow(now) if slower is None else slower

    def _stop_orphans(self, now: float) -> list[message.Start | message.Stop]:
        stops: list[message.Start | message.Stop] = []
        for machine in self.pool.vms.values():
            for (task, number), sent in machine.orphans.items():
                if now - sent > STOP_RETRY_SECONDS:
                    machine.orphans[task, number] = now
                    stops.append(message.Stop(machine, task, number))
        return stops

    def _stop(self, run: vm.Run, now: float) -> message.Stop:
        run.state = vm.RunState.STOPPING
        run.stop_sent_at = now
        return message.Stop(run.vm, run.task, run.number)

    def _must_drain(self, run: vm.Run, placer: placement.Placer) -> bool:
        """Return whether a lasting run must leave its VM, which is closed or leaving.

        The step keeps to its ``max_unavailable``, whatever the cause of the missing
        tasks, unless the VM is leaving: there its tasks end in any case. Nothing is
        stopped before there is room for it elsewhere.
        """
        machine = run.vm
        if not run.step.lasting or not (machine.closed or machine.entry.leaving):
            return False
        unavailable = self.pool.count_unavailable(run.task.job, run.task.step)
        if not run.is_at_work:
            unavailable -= 1  # it may have become available since it was last listed
        if unavailable + 1 > run.step.max_unavailable and not machine.entry.leaving:
            return False
        return placer.choose(run.task, run.step) is not None

    # -- starts

    def _plan_starts(
        self, placer: placement.Placer, now: float, wall_time: float
    ) -> list[message.Start]:
        starts: list[message.Start] = []
        self.unmet = 0
        self._missing_vms = 0
        self._orphaned_tasks = self.pool.list_orphaned_tasks()
        for task in self.pool.suspects.list_given_up():
            if not self.pool.suspects.has_doubtful_crash(task):
                self.pool.give_up(task)
        self._place_tests(placer, now, starts)
        self._has_waiting = False
        keys = {
            id: self._get_key(id, wall_time)
            for id, tasks in self._open_tasks.items()
            if tasks
        }
        buckets = self.pool.fair_queue.compute_buckets(keys)
        keyed = [
            (key._replace(bucket=buckets.get(id, 0)), id) for id, key in keys.items()
        ]
        self._keys = {id: key for key, id in keyed}
        self._waiting = []
        self._waiting_rooms = {}
        for key, id in sorted(keyed):
            state = self.pool.jobs[id]
            if state.final is not None:
                continue
            if self.pool.may_have_run(state):
                self._has_waiting = True
                continue
            unmet = self._place_job(placer, state, now, starts)
            if key.group <= priority.ON_TIME:
                self.unmet += unmet
        self._place_tests(placer, now, starts, are_others_placed=True)
        self.unmet = max(self.unmet, self._missing_vms * self._get_largest_vm_cpu())
        if not self._has_waiting:
            self.pool.fair_queue.on_no_waiting()
        return starts

    def _place_tests(
        self,
        placer: placement.Placer,
        now: float,
        starts: list[message.Start],
        *,
        are_others_placed: bool = False,
    ) -> None:
        """Start the tests whose VM is recorded and ready, and assign VMs to others."""
        for task in self.pool.suspects.list_waiting_tests():
            state = self.pool.jobs[task.job]
            if not self._is_free(task) or self.pool.may_have_run(state):
                continue
            starts.extend(
                self._place_recorded(
                    placer, state, task, now, are_others_placed=are_others_placed
                )
            )

    def _get_largest_vm_cpu(self) -> int:
        """Return the millicores of the largest VM."""
        return max(
            (machine.entry.room.cpu for machine in self.pool.vms.values()), default=0
        )

    def _is_free(self, task: model.Task) -> bool:
        """Return whether a task has neither a live nor an orphaned run."""
        return task not in self.pool.live and task not in self._orphaned_tasks

    def _get_key(self, id: str, wall_time: float) -> priority.SortKey:
        mean_work = self.pool.get_mean_work(self.pool.jobs[id].job.queue)
        return priority.compute_sort_key(self._sort_inputs[id], wall_time, mean_work)

    def _place_job(
        self,
        placer: placement.Placer,
        state: progress.Progress,
        now: float,
        starts: list[message.Start],
    ) -> int:
        """Start the tasks that fit; return the millicores that the others lack."""
        unmet = 0
        full_steps: set[tuple[int, int, bool]] = set()
        unplaced: collections.Counter[int] = collections.Counter()
        startable: collections.Counter[tuple[int, int]] = collections.Counter()
        is_counted = now >= self._next_preemption
        held_back: set[tuple[int, int, bool]] = set()  # by the ceiling of the team
        waiting: collections.Counter[int] = collections.Counter()
        has_suspects = state.has_suspects
        for task in self._open_tasks[state.job.id]:
            step = state.job.steps[task.step]
            if not self._is_free(task):
                continue
            is_recorded = has_suspects and self.pool.must_record_start(state, task)
            if is_recorded and self.pool.suspects.must_be_tested(task):
                continue
            if is_recorded and task in state.assigned_vms:
                starts.extend(self._place_recorded(placer, state, task, now))
                continue
            if step.gang and self._holds_vms(state, task):
                if task.index == 0:
                    self._place_gang(placer, state, task, now, starts)
                continue
            is_suspect = has_suspects and state.count_crashes(task) > 0
            group = (task.occurrence, task.step, is_suspect)
            if group in full_steps or step.reserved.cpu > placer.max_free_cpu:
                unplaced[task.step] += 1
                unmet += 0 if is_suspect else step.reserved.cpu
                if is_counted and now >= self.pool.not_before.get(task, 0.0):
                    startable[task.occurrence, task.step] += 1
                continue
            if now < self.pool.not_before.get(task, 0.0):
                continue
            if not step.gang:
                if group not in held_back and not self._admits(state, step.room):
                    held_back.add(group)
                if group in held_back:
                    waiting[task.step] += 1
                    continue
            if is_recorded:
                self._place_recorded(placer, state, task, now)
                if task not in state.assigned_vms:
                    full_steps.add(group)
                    unplaced[task.step] += 1
                    unmet += 0 if is_suspect else step.reserved.cpu
                continue
            if step.gang:
                if task.index == 0:
                    self._place_gang(placer, state, task, now, starts)
                    self._has_waiting |= self._is_free(task)
                continue
            start = self._place_task(placer, state, task, now)
            if start is not None:
                starts.append(start)
                continue
            full_steps.add(group)
            unplaced[task.step] += 1
            startable[task.occurrence, task.step] += 1
            unmet += step.reserved.cpu
        self._has_waiting |= bool(unplaced or waiting)
        for number, count in waiting.items():
            self._request_quota(state, state.job.steps[number].room.times(count))
        self._record_missing_vms(state, unplaced)
        if is_counted:
            self._record_waiting(state, startable, now)
        return unmet

    def _admits(self, state: progress.Progress, room: model.Room) -> bool:
        """Return whether the ceiling of the job's team allows a start."""
        return self.pool.quotas.admits(state.job.team, room)

    def _request_quota(self, state: progress.Progress, room: model.Room) -> None:
        """Record that tasks of a job wait for the ceiling of its team."""
        self.pool.quotas.request(state.job.team, room)
        self.pool.quotas.note_waiting(state.job)

    def _holds_vms(self, state: progress.Progress, task: model.Task) -> bool:
        """Return whether VMs are recorded for some of a gang's members.

        The other members' VMs may have ended. The gang must then be visited even if it
        finds no room, so that it gives the rest back.
        """
        return any(task[:3] == other[:3] for other in state.assigned_vms)

    def _record_waiting(
        self,
        state: progress.Progress,
        unplaced: collections.Counter[tuple[int, int]],
        now: float,
    ) -> None:
        """Record the tasks that could start now on any VM with enough room.

        Those of an advised queue start only on VMs for which they have a ticket, and
        those of a team only as far as its ceiling allows.
        """
        if state.has_suspects:
            return
        for (occurrence, number), count in unplaced.items():
            step = state.job.steps[number]
            if step.lasting or step.spread or step.label or step.gang:
                continue
            name = advice.StepName(state.job.id, occurrence, number)
            allowed = self._list_allowed(state, name, now)
            admitted = self._count_admitted(state.job.team, step.room, count)
            if admitted and (allowed is None or allowed):
                key = self._keys[state.job.id]
                self._waiting.append(
                    preemption.WaitingTasks(key, step.reserved, admitted, allowed)
                )

    def _list_allowed(
        self, state: progress.Progress, step: advice.StepName, now: float
    ) -> frozenset[str] | None:
        """Return the VMs for which a step has tickets, or None if it needs none.

        Unlike `_get_tickets` it requests none.
        """
        if not self.pool.needs_ticket(state):
            return None
        return frozenset(self.pool.tickets.list_valid(step, now))

    def _count_admitted(self, team: str, room: model.Room, count: int) -> int:
        """Return how many of the waiting tasks the ceiling of a team allows.

        They count for the rest of the round.
        """
        if not self.pool.quotas.is_limited(team):
            return count
        counted = self._waiting_rooms.get(team, model.Room())
        while count and not self.pool.quotas.admits(
            team, counted.plus(room.times(count))
        ):
            count -= 1
        self._waiting_rooms[team] = counted.plus(room.times(count))
        return count

    def _record_missing_vms(
        self, state: progress.Progress, unplaced: collections.Counter[int]
    ) -> None:
        """Record how many further VMs a spread limit of lasting tasks requires.

        Jobs share VMs, so that the largest number required by a job suffices for all.
        """
        for number, count in unplaced.items():
            step = state.job.steps[number]
            if step.lasting and step.spread:
                vms = math.ceil(count / step.spread)
                self._missing_vms = max(self._missing_vms, vms)

    def _place_recorded(
        self,
        placer: placement.Placer,
        state: progress.Progress,
        task: model.Task,
        now: float,
        *,
        are_others_placed: bool = False,
    ) -> list[message.Start]:
        """Start a task that may crash its VM, once that VM is recorded."""
        if now < self.pool.not_before.get(task, 0.0):
            return []
        room = state.job.steps[task.step].room
        if not self._admits(state, room):
            self._request_quota(state, room)
            return []
        tickets = self._get_tickets(state, task, now)
        allowed = None if tickets is None else frozenset(tickets)
        chosen = assignment.find_vm(
            self.pool, placer, task, allowed, now, are_others_placed=are_others_placed
        )
        if chosen is None:
            return []
        number = self.pool.next_run_number(task)
        ticket = tickets[chosen.id] if tickets else ""
        return [self._start(state, task, number, chosen, now, ticket)]

    def _place_task(
        self,
        placer: placement.Placer,
        state: progress.Progress,
        task: model.Task,
        now: float,
    ) -> message.Start | None:
        tickets = self._get_tickets(state, task, now)
        allowed = None if tickets is None else frozenset(tickets)
        avoid = self.pool.failed_on.get(task, "")
        step = state.job.steps[task.step]
        chosen = placer.choose(task, step, avoid=avoid, allowed=allowed)
        if chosen is None:
            return None
        number = self.pool.next_run_number(task)
        ticket = tickets[chosen.id] if tickets else ""
        return self._start(state, task, number, chosen, now, ticket)

    def _get_tickets(
        self, state: progress.Progress, task: model.Task, now: float
    ) -> dict[str, str] | None:
        """Return the tickets of a task's step by VM, or None if it needs none."""
        if not self.pool.needs_ticket(state):
            return None
        step = advice.StepName(*task[:3])
        return self.pool.tickets.get(step, now, self.pool.vms)

    def _place_gang(
        self,
        placer: placement.Placer,
        state: progress.Progress,
        first: model.Task,
        now: float,
        starts: list[message.Start],
    ) -> None:
        """Start all members of a gang under one run number, or none."""
        step = state.job.steps[first.step]
        tasks = [first._replace(index=index) for index in range(step.count)]
        if not all(self._is_free(task) for task in tasks):
            return
        if not state.are_crashes_recorded:
            return
        if any(self.pool.suspects.must_be_given_up(task) for task in tasks):
            return
        if not self._admits(state, step.room.times(step.count)):
            self._request_quota(state, step.room.times(step.count))
            return
        tickets = self._get_tickets(state, first, now)
        allowed = None if tickets is None else frozenset(tickets)
        if any(task in state.assigned_vms for task in tasks):
            chosen = assignment.find_gang_vms(self.pool, placer, tasks, allowed, now)
        else:
            chosen = _choose_gang_vms(placer, tasks, step, allowed)
            if any(state.is_suspect(task) for task in tasks):
                for task, machine in zip(tasks, chosen, strict=False):
                    self.pool.suspects.assign(task, machine.id)
                return
        if not chosen:
            return
        number = self.pool.next_gang_run_number(tasks)
        for task, machine in zip(tasks, chosen, strict=True):
            ticket = tickets[machine.id] if tickets else ""
            starts.append(self._start(state, task, number, machine, now, ticket))

    def _start(
        self,
        state: progress.Progress,
        task: model.Task,
        number: int,
        chosen: vm.Vm,
        now: float,
        ticket: str,
    ) -> message.Start:
        step = state.job.steps[task.step]
        run = vm.Run(task, number, chosen, step, now)
        chosen.runs[task] = run
        self.pool.live[task] = run
        self.pool.quotas.add(state.job.team, run)
        checkpoint = state.get_checkpoint(task)
        run.shows_run_time = not checkpoint
        start = workers.Start(
            task, number, state.job.spec, 0.0, self.pool.fence, checkpoint, ticket
        )
        return message.Start(run, start)

    # -- questions

    def list_groups(self, wall_time: float) -> dict[str, int]:
        """Return the group in `priority` of each open job at a Unix time, by id."""
        return {
            id: priority.compute_sort_key(inputs, wall_time, mean_work=0.0).group
            for id, inputs in self._sort_inputs.items()
            if id in self.pool.jobs and self.pool.jobs[id].final is None
        }


def _choose_gang_vms(
    placer: placement.Placer,
    tasks: list[model.Task],
    step: model.Step,
    allowed: frozenset[str] | None,
) -> list[vm.Vm]:
    """Choose a VM for each of the tasks, or none; in one rack if the step requires."""
    for rack in placer.list_racks() if step.same_rack else [""]:
        if chosen := _choose_vms_in(rack, placer, tasks, step, allowed):
            return chosen
    return []


def _choose_vms_in(
    rack: str,
    placer: placement.Placer,
    tasks: list[model.Task],
    step: model.Step,
    allowed: frozenset[str] | None,
) -> list[vm.Vm]:
    """Choose a VM for each of the tasks, or release all room and return none."""
    chosen: list[vm.Vm] = []
    for task in tasks:
        machine = placer.choose(task, step, rack=rack, allowed=allowed)
        if machine is None:
            for taken, earlier in zip(chosen, tasks, strict=False):
                placer.release(taken, earlier, step)
            return []
        chosen.append(machine)
    return chosen
