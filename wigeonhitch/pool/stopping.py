"""Choice of the runs to stop in a round, and of the room that this needs elsewhere.

Stopped are orphaned and unwanted runs, lasting runs on VMs that are closed or leaving,
runs on degraded VMs, batch runs that can be continued elsewhere than on a closed VM,
and runs that `preemption` chooses for tasks that found no room. `planner` calls these
steps, in the order of its round.
"""

import collections
from collections.abc import Mapping

from wigeonhitch.jobs import model, progress
from wigeonhitch.platform import advice
from wigeonhitch.pool import (
    core,
    health,
    message,
    placement,
    preemption,
    priority,
    view,
    vm,
)

__all__ = ["StopPlanner"]

STOP_RETRY_SECONDS = 1.2
"""Seconds after which a stop is sent again if the run is still listed; a stop takes
up to 0.9 s."""

SCAN_PERIOD_SECONDS = 0.1
"""Seconds between scans of all runs for those to be stopped, unless a job, a VM or a
closing has changed: a pool of 40 VMs has some 600 runs."""


class StopPlanner:
    """Plans the stops of the scheduling rounds of one pool.

    Parameters
    ----------
    pool : core.Pool
        State of the pool's leader.
    sort_inputs : mapping of str to priority.SortInputs
        Sort inputs of the open jobs, which the caller keeps up to date.
    """

    def __init__(
        self, pool: core.Pool, sort_inputs: Mapping[str, priority.SortInputs]
    ) -> None:
        self.pool = pool
        self._sort_inputs = sort_inputs
        self._next_scan = 0.0
        self._preemptor = preemption.Preemptor(pool.not_before)
        self._next_preemption = 0.0
        self._vacated: dict[model.Task, tuple[vm.Run, vm.Vm, float]] = {}
        """Runs that are being stopped to be continued elsewhere, with the VM on which
        room is reserved for them, and until when."""
        self._keys: Mapping[str, priority.SortKey] = {}
        """Sort keys of the open jobs, as of the latest starts."""
        self._waiting: list[preemption.WaitingTasks] = []
        """Tasks that found no room in the current round."""
        self._waiting_rooms: dict[str, model.Room] = {}
        """Resources of these tasks by team, for teams with a ceiling."""

    def begin_starts(self, keys: Mapping[str, priority.SortKey]) -> None:
        """Forget the waiting tasks of the last round, and take over the sort keys."""
        self._keys = keys
        self._waiting = []
        self._waiting_rooms = {}

    def may_preempt(self, now: float) -> bool:
        """Return whether this round may preempt runs for tasks that wait."""
        return now >= self._next_preemption

    def forget_job(self, id: str) -> None:
        """Drop what is known of a job's tasks."""
        self._preemptor.forget_job(id)

    def stop_orphans(self, now: float) -> list[message.Stop]:
        """Return the stops of the orphaned runs that VMs list.

        So are those of transferred runs, which may not have begun: a worker refuses the
        start of a run that it was told to stop.
        """
        stops = []
        for run in self.pool.transfers.runs.values():
            may_start = run.deadline > run.vm.compute_clock(now)
            is_due = now - run.stop_sent_at > STOP_RETRY_SECONDS
            if run.vm.reconciled and may_start and is_due:
                run.stop_sent_at = now
                stops.append(message.Stop(run.vm, run.task, run.number))
        for machine in self.pool.vms.values():
            for (task, number), sent in machine.orphans.items():
                if now - sent > STOP_RETRY_SECONDS:
                    machine.orphans[task, number] = now
                    stops.append(message.Stop(machine, task, number))
        return stops

    def reserve_for_vacated(self, placer: placement.Placer) -> None:
        """Reserve room for the runs that are being stopped to be continued elsewhere.

        Tasks that wait would otherwise take it within the half second of a stop.
        """
        for task, (run, machine, until) in list(self._vacated.items()):
            if self.pool.live.get(task) is not run or self.pool.latest_time > until:
                del self._vacated[task]
            elif placer.has_room(machine):
                placer.reserve(machine, task, run.step)

    def plan_stops(self, placer: placement.Placer, now: float) -> list[message.Stop]:
        """Stop the runs that are unwanted, or that must or may leave their VM."""
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

    def record_waiting(
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

        Unlike the starts of `planner`, it requests none.
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

    def plan_preemptions(
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

    def _is_preemptible(self, run: vm.Run) -> bool:
        state = self.pool.jobs.get(run.task.job)
        return (
            state is not None
            and not state.has_suspects  # each start of theirs is recorded before
            and not state.job.times  # the sort key is that of the first occurrence
            and self._preemptor.is_preemptible(run, self.pool.compute_remaining(run))
        )

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

    def _stop(self, run: vm.Run, now: float) -> message.Stop:
        run.state = vm.RunState.STOPPING
        run.stop_sent_at = now
        return message.Stop(run.vm, run.task, run.number)
