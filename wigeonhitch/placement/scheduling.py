"""Placement of queued jobs: urgent first, fair among teams, within quotas."""

from wigeonhitch.placement import attempt, job, reassignment, selection, state

__all__ = ["place_all"]

# First jobs of a team's queue that are considered in a round: enough to fill gaps
# with small jobs behind one that doesn't fit, few enough that 130 teams cost little.
MAX_LOOKAHEAD_JOBS = 16
# While urgent work waits, one start in four goes to bulk that would miss its
# deadline, so that a steady stream of urgent work does not starve it.
STARTS_PER_LATE_BULK = 4
# For a bulk job that has waited this long and needs more than this share of a
# worker, one worker is kept free of new bulk: small jobs would fill each gap before
# it is large enough. Earlier, or for small jobs, idle capacity costs more than the
# wait.
HOLD_DELAY_SECONDS = 60.0
MIN_HOLD_SHARE = 0.5
# Time allowed for the checkpoints that make room for one urgent job.
PREEMPTION_SECONDS = 3.0
# A pool in which nothing more could be placed is tried again after this time.
RETRY_DELAY_SECONDS = 1.0
# Limits on writing wait reasons to rows, so that they cost less than placement:
# writes in one step, time between two writes for one job, and time after submission.
MAX_REASONS_PER_STEP = 10
MIN_REASON_INTERVAL_SECONDS = 30.0
REASON_DELAY_SECONDS = 5.0


class PoolRound:
    """One placement round of one pool: free capacity, and sizes that don't fit.

    Attributes
    ----------
    unplaceable_sizes : list of tuple
        Cores, memory and urgency of jobs for which no worker was found; larger
        ones of the same urgency are not tried.
    exhausted_teams : set of tuple
        Teams, by urgency, of which no further job can be placed.
    waiting : list of attempt.Attempt
        Jobs that were considered and not placed.
    quarantined : int
        Number of quarantined workers of the pool.
    """

    def __init__(self, shard: state.ShardState, pool: str, now: float):
        self.shard = shard
        self.pool = pool
        self.now = now
        self.unplaceable_sizes: list[tuple[float, float, bool]] = []
        self.exhausted_teams: set[tuple[str, bool]] = set()
        self.waiting: list[attempt.Attempt] = []
        self.quarantined = 0
        self.paused_jobs: list[attempt.Attempt] | None = None
        self.candidates: dict[str, selection.Candidate] = {}
        for vm in shard.pools.get(pool, ()):
            self._add_candidate(vm)
        self.cores = sum(shard.vms[vm].cores for vm in self.candidates) or 1.0
        self.memory = sum(shard.vms[vm].memory for vm in self.candidates) or 1.0
        self.late_teams = self._find_late_teams()
        self._release_hold()

    def _release_hold(self) -> None:
        """Release the held worker if its job was placed or it can't be used."""
        name, vm = self.shard.held_workers.get(self.pool, ("", ""))
        entry = self.shard.jobs.get(name)
        queued = entry is not None and entry.job.state is job.JobState.QUEUED
        if not queued or vm not in self.candidates:
            self.shard.held_workers.pop(self.pool, None)

    def _add_candidate(self, vm: str) -> None:
        shard = self.shard
        if not shard.vms[vm].usable or shard.cooldown_until.get(vm, 0.0) > self.now:
            return
        if shard.quarantine.is_quarantined(vm, self.now):
            self.quarantined += 1
            return
        candidate = selection.Candidate(
            vm, shard.failure_domain(vm), *shard.free_capacity(vm)
        )
        candidate.trial = shard.quarantine.is_on_trial(vm)
        candidate.busy = bool(shard.on_vm.get(vm))
        self.candidates[vm] = candidate

    def _find_late_teams(self) -> list[str]:
        backlog = self.shard.backlog
        return [
            team
            for team in backlog.teams(self.pool, False)
            if backlog.earliest_latest_start(self.pool, team) <= self.now
        ]

    def place_one(self) -> bool:
        """Place or resume one job; return False when nothing more fits."""
        backlog = self.shard.backlog
        first = (True, backlog.teams(self.pool, True))
        late = (False, self.late_teams)
        order = [first, late, (False, backlog.teams(self.pool, False))]
        if (
            self.shard.start_counts[self.pool] % STARTS_PER_LATE_BULK
            == STARTS_PER_LATE_BULK - 1
        ):
            order = [late, first, order[2]]
        for urgent, teams in order:
            if self._place_from(teams, urgent):
                return True
            if urgent and self._is_preempting():
                return False
            if urgent and self._resume_one():
                return True
        return False

    def _is_preempting(self) -> bool:
        """Return whether room is being made for an urgent job.

        Bulk placed now would take that room.
        """
        backlog = self.shard.backlog
        preemptions = self.shard.preemptions
        return any(
            name in preemptions and self._awaits_preemption(name)
            for team in backlog.teams(self.pool, True)
            for name in backlog.peek(self.pool, True, team, MAX_LOOKAHEAD_JOBS)
        )

    def _awaits_preemption(self, name: str) -> bool:
        """Return whether checkpoints for an urgent job are still in progress.

        If they are done and another urgent job took the room, room is made again.
        """
        until, victims = self.shard.preemptions.get(name, (0.0, []))
        jobs = self.shard.jobs
        pausing = any(jobs[victim].pausing for victim in victims if victim in jobs)
        return pausing and self.now < until

    def _place_from(self, teams: list[str], urgent: bool) -> bool:
        open_teams = [
            team for team in teams if (team, urgent) not in self.exhausted_teams
        ]
        for team in sorted(open_teams, key=self._weighted_share):
            names = self.shard.backlog.peek(self.pool, urgent, team, MAX_LOOKAHEAD_JOBS)
            for name in names:
                if self._try_place(self.shard.jobs[name], urgent):
                    self.shard.start_counts[self.pool] += 1
                    return True
            self.exhausted_teams.add((team, urgent))
        return False

    def _weighted_share(self, team: str) -> float:
        """Return a team's dominant share of the pool, divided by its weight."""
        used = self.shard.ledger.quota(team).items.get(self.pool, (0.0, 0.0))
        team_policy = self.shard.policy.teams.get(team)
        weight = team_policy.weight if team_policy is not None else 1.0
        return max(used[0] / self.cores, used[1] / self.memory) / weight

    def _try_place(self, entry: attempt.Attempt, urgent: bool) -> bool:
        shard, item = self.shard, entry.job
        if item.asked.pool not in shard.policy.kinds:
            return False
        team = shard.policy.teams.get(item.asked.team)
        if team is None or item.cancel:
            return False
        need = shard.required_size(item)
        used = shard.ledger.quota(item.asked.team).total
        over_cores = used[0] + need[0] > team.cores + selection.EPSILON
        if over_cores or used[1] + need[1] > team.memory + selection.EPSILON:
            self._record_wait(entry, f"the quota of team {team.name} is used up")
            return False
        candidate = self._select_worker(item, need, urgent)
        if candidate is None:
            self._record_no_room(entry, need, urgent)
            return False
        candidate.allocate(*need)
        shard.apply_change(entry, self.start(item, candidate.vm, need))
        shard.preemptions.pop(item.name, None)
        return True

    def _select_worker(
        self, item: job.Job, need: tuple[float, float], urgent: bool
    ) -> selection.Candidate | None:
        for cores, memory, is_urgent in self.unplaceable_sizes:
            if is_urgent == urgent and need[0] >= cores and need[1] >= memory:
                return None
        held_for, held = self.shard.held_workers.get(self.pool, ("", ""))
        options = {
            "urgent": urgent,
            "rerun": item.asked.rerun,
            "crowd": self.shard.count_by_domain(item) if item.asked.spread else {},
            "held": "" if held_for == item.name else held,
        }
        candidates = self.candidates.values()
        candidate = selection.select_worker(
            candidates, need, avoid=item.failed_on, **options
        )
        if candidate is None and item.failed_on:
            untried = set(self.candidates) - set(item.failed_on)
            if not untried:
                candidate = selection.select_worker(
                    candidates, need, avoid=(), **options
                )
        if candidate is None and not item.failed_on and held_for != item.name:
            self.unplaceable_sizes.append((need[0], need[1], urgent))
        return candidate

    def start(self, item: job.Job, vm: str, need: tuple[float, float]) -> job.Job:
        """Return the job with its start on a worker."""
        return item._replace(
            state=job.JobState.STARTING,
            vm=vm,
            cores=need[0],
            memory=need[1],
            fence=self.shard.fence,
            reason="",
            since=self.now,
        )

    def _record_no_room(
        self, entry: attempt.Attempt, need: tuple[float, float], urgent: bool
    ) -> None:
        quarantine_note = (
            f", {self.quarantined} workers are set aside" if self.quarantined else ""
        )
        self._record_wait(
            entry, f"no usable worker of the pool has room{quarantine_note}"
        )
        if urgent:
            self._preempt_bulk(entry.job, need)
        elif self.now > entry.job.submitted + HOLD_DELAY_SECONDS:
            self._hold_worker(entry.job, need)

    def _record_wait(self, entry: attempt.Attempt, reason: str) -> None:
        if entry.wait_reason != reason:
            entry.wait_reason = reason
            entry.wait_since = self.now
        self.waiting.append(entry)

    def _hold_worker(self, item: job.Job, need: tuple[float, float]) -> None:
        shard = self.shard
        if self.pool in shard.held_workers:
            return
        large = []
        for vm in self.candidates:
            size = shard.vms[vm]
            share = max(need[0] / size.cores, need[1] / size.memory)
            if MIN_HOLD_SHARE < share <= 1.0 + selection.EPSILON:
                large.append(vm)
        if large:
            least_reserved = min(
                large, key=lambda vm: shard.ledger.reservation(vm).total
            )
            shard.held_workers[self.pool] = (item.name, least_reserved)

    def _preempt_bulk(self, item: job.Job, need: tuple[float, float]) -> None:
        """Checkpoint the fewest bulk jobs that make room for an urgent job."""
        shard = self.shard
        if self._awaits_preemption(item.name):
            return
        victims = {vm: self._find_victims(vm) for vm in self.candidates}
        selected = selection.select_victims(
            self.candidates.values(), victims, need, item.failed_on
        )
        if selected is None:
            return
        shard.preemptions[item.name] = (self.now + PREEMPTION_SECONDS, selected[1])
        for name in selected[1]:
            shard.jobs[name].pausing = True
            shard.pending_calls.add(name)
            shard.counters["checkpoints"] += 1

    def _find_victims(self, vm: str) -> list[selection.Victim]:
        victims = []
        for name in self.shard.on_vm.get(vm, ()):
            entry = self.shard.jobs[name]
            item = entry.job
            running = item.state is job.JobState.RUNNING and not item.paused
            if item.is_urgent or not running or entry.pausing or entry.result:
                continue
            slack = selection.find_slack(entry, self.now)
            victims.append(selection.Victim(name, vm, item.cores, item.memory, slack))
        return sorted(victims)

    def _resume_one(self) -> bool:
        """Resume one paused job that has room again.

        Runs after urgent work and before new bulk, which would otherwise take
        the room each time until the paused job has to restart.
        """
        if self.paused_jobs is None:
            self.paused_jobs = self._find_paused()
        while self.paused_jobs:
            entry = self.paused_jobs.pop()
            item = entry.job
            candidate = self.candidates[item.vm]
            fits = selection.fits(candidate, item.cores, item.memory)
            if not fits or not self._has_quota(item):
                continue
            candidate.allocate(item.cores, item.memory)
            entry.paused_at = 0.0
            self.shard.apply_change(entry, item._replace(paused=False, since=self.now))
            return True
        return False

    def _find_paused(self) -> list[attempt.Attempt]:
        entries = [
            self.shard.jobs[name]
            for vm in self.candidates
            for name in sorted(self.shard.on_vm.get(vm, ()))
        ]
        return [
            entry
            for entry in entries
            if entry.job.paused
            and not (entry.evict or entry.job.cancel or entry.result)
        ]

    def _has_quota(self, item: job.Job) -> bool:
        team = self.shard.policy.teams.get(item.asked.team)
        used = self.shard.ledger.quota(item.asked.team).total
        return (
            team is not None
            and used[0] + item.cores <= team.cores + selection.EPSILON
            and used[1] + item.memory <= team.memory + selection.EPSILON
        )


def place_all(shard: state.ShardState, now: float, limit: int) -> int:
    """Place up to ``limit`` jobs, taking the pools in turn, one job at a time.

    Returns
    -------
    int
        Number of jobs changed.
    """
    if shard.policy is None:
        return 0
    pools = sorted(set(shard.backlog.pools()) | set(shard.pools) & shard.dirty_pools)
    rounds = []
    for pool in pools:
        if pool in shard.dirty_pools or shard.pool_retry_at.get(pool, 0.0) <= now:
            rounds.append(PoolRound(shard, pool, now))
    changed = sum(reassignment.reassign_starts(pool_round) for pool_round in rounds)
    active = list(rounds)
    while active and changed < limit:
        next_active = []
        for pool_round in active:
            if changed < limit and pool_round.place_one():
                changed += 1
                next_active.append(pool_round)
            elif changed < limit:
                shard.dirty_pools.discard(pool_round.pool)
                shard.pool_retry_at[pool_round.pool] = now + RETRY_DELAY_SECONDS
        active = next_active
    _write_reasons(shard, rounds, now)
    return changed


def _write_reasons(
    shard: state.ShardState, rounds: list[PoolRound], now: float
) -> None:
    written = 0
    for pool_round in rounds:
        for entry in pool_round.waiting:
            item = entry.job
            queued = item.state is job.JobState.QUEUED
            if (
                not queued
                or item.reason == entry.wait_reason
                or written >= MAX_REASONS_PER_STEP
            ):
                continue
            earliest = item.submitted + REASON_DELAY_SECONDS
            if now < max(
                earliest, entry.reason_written_at + MIN_REASON_INTERVAL_SECONDS
            ):
                continue
            entry.reason_written_at = now
            dirty = item.asked.pool in shard.dirty_pools
            shard.apply_change(
                entry, item._replace(reason=entry.wait_reason, since=entry.wait_since)
            )
            written += 1
            if not dirty:
                shard.dirty_pools.discard(item.asked.pool)
