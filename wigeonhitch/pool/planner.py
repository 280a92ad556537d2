"""One scheduling round of a leader: which tasks to start, and the pace of runs.

A round follows each change, at most about a hundred times a second. Jobs are taken
in the order of `priority`, and `placement` chooses the VM of each task. `stopping`
plans which runs to stop; the round calls its steps in turn. A step whose next task
finds no room waits for the next round, so that a backlog costs one placement attempt
per step and not one per task.
"""

import collections
import math

from wigeonhitch.jobs import model, progress
from wigeonhitch.platform import advice, workers
from wigeonhitch.pool import (
    assignment,
    core,
    demand,
    message,
    pacing,
    placement,
    priority,
    status,
    stopping,
    vm,
)
from wigeonhitch.pool import record as pool_record

__all__ = ["Planner"]

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
        self._next_estimates = 0.0
        self._has_waiting = False
        """Whether a task waits that could run if there was room or a share."""
        self._missing_vms = 0
        """Further VMs that lasting tasks need because of their spread limit."""
        self._orphaned_tasks: frozenset[model.Task] = frozenset()
        """Tasks of which a VM lists an orphaned run."""
        self._stops = stopping.StopPlanner(pool, self._sort_inputs)

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
        orders: list[message.Start | message.Stop] = []
        orders.extend(self._stops.stop_orphans(now))
        suspects = self.pool.suspects
        placer = placement.Placer(
            self.pool.vms.values(),
            now,
            suspects.list_test_vms(),
            suspects.count_by_vm(),
            suspects.list_assigned(),
        )
        self._stops.reserve_for_vacated(placer)
        orders.extend(self._stops.plan_stops(placer, now))
        orphaned = self.pool.list_orphaned_tasks()
        self.pool.quotas.begin_round(is_certain=not (self.pool.unresolved or orphaned))
        orders.extend(self._plan_starts(placer, now, wall_time))
        self.pool.quotas.end_round()
        orders.extend(self._stops.plan_preemptions(placer, now))
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
            self._stops.forget_job(id)
            return
        if state.final is not None:
            return
        if self.pool.may_have_run(state):
            self.pool.changed_jobs.add(id)
            return
        state.final = model.JobState.CANCELLED
        self.pool.ledger.mark_dirty(id)

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
        self._stops.begin_starts({id: key for key, id in keyed})
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
        is_counted = self._stops.may_preempt(now)
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
                    if self._place_gang(placer, state, task, now, starts):
                        full_steps.add(group)
                        unplaced[task.step] += 1
                        unmet += step.reserved.cpu
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
            self._stops.record_waiting(state, startable, now)
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
            if task not in state.assigned_vms:
                self._extend_tickets(state, task, tickets, now)
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
            self._extend_tickets(state, task, tickets, now)
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
        return self.pool.tickets.get(
            advice.StepName(*task[:3]),
            now,
            self.pool.vms,
            queue=state.job.queue,
            room=state.job.steps[task.step].reserved,
        )

    def _extend_tickets(
        self,
        state: progress.Progress,
        task: model.Task,
        tickets: dict[str, str] | None,
        now: float,
    ) -> None:
        """Request more tickets for a task that finds no room with those it has."""
        if tickets:
            step = advice.StepName(*task[:3])
            room = state.job.steps[task.step].reserved
            self.pool.tickets.extend(step, state.job.queue, room, now, self.pool.vms)

    def _place_gang(
        self,
        placer: placement.Placer,
        state: progress.Progress,
        first: model.Task,
        now: float,
        starts: list[message.Start],
    ) -> bool:
        """Start all members of a gang under one run number, or none.

        Return whether the gang waits for room. What it could use is then kept for it,
        unless the pool is too small for it even without batch tasks.
        """
        step = state.job.steps[first.step]
        tasks = [first._replace(index=index) for index in range(step.count)]
        if not all(self._is_free(task) for task in tasks):
            return False
        if not state.are_crashes_recorded:
            return False
        if any(self.pool.suspects.must_be_given_up(task) for task in tasks):
            return False
        if not self._admits(state, step.room.times(step.count)):
            self._request_quota(state, step.room.times(step.count))
            return False
        tickets = self._get_tickets(state, first, now)
        allowed = None if tickets is None else frozenset(tickets)
        if any(task in state.assigned_vms for task in tasks):
            chosen = assignment.find_gang_vms(self.pool, placer, tasks, allowed, now)
        else:
            chosen = placer.choose_for_gang(tasks, step, allowed=allowed)
            if not chosen:
                self._extend_tickets(state, first, tickets, now)
                placer.reserve_for_gang(tasks, step, allowed=allowed)
                return True
            if any(state.is_suspect(task) for task in tasks):
                for task, machine in zip(tasks, chosen, strict=False):
                    self.pool.suspects.assign(task, machine.id)
                return False
        if not chosen:
            return False
        number = self.pool.next_gang_run_number(tasks)
        for task, machine in zip(tasks, chosen, strict=True):
            ticket = tickets[machine.id] if tickets else ""
            starts.append(self._start(state, task, number, machine, now, ticket))
        return False

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
