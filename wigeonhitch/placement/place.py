"""Place queued jobs on workers: urgent first, fair among teams, within quotas."""

from wigeonhitch.placement import attempt, choose, job, state, stray

__all__ = ["place_all"]

# Jobs of one team that are looked at behind one that has no room: enough to
# fill gaps with small jobs, few enough that 130 teams cost little.
LOOKAHEAD = 16
# While urgent work waits, one start in four goes to bulk that would miss its
# deadline: a steady stream of urgent work must not hold the closing back.
LATE_TURN = 4
# A job that has waited so long and needs more than this share of a worker gets
# one kept free of new bulk: small jobs would take each gap before it has grown.
# Earlier, or for small jobs, keeping room idle costs more than the wait.
HOLD_AFTER = 60.0
HOLD_SHARE = 0.5
# Time for the checkpoints that make room for one urgent job.
CLAIM = 3.0
# A pool in which nothing could be placed is looked at again after this.
AGAIN = 1.0
# Reasons written to rows in one step, and the least time between two writes
# for one job: telling why must not cost more than placing.
REASONS = 10
REASON_EVERY = 30.0
REASON_AFTER = 5.0


class Round:
    """One look at one pool: room left, and what was found not to fit."""

    def __init__(self, shard: state.State, pool: str, now: float):
        self.shard = shard
        self.pool = pool
        self.now = now
        self.missed: list[tuple[float, float, bool]] = []
        self.closed: set[tuple[str, bool]] = set()
        self.tried: list[attempt.Attempt] = []
        self.aside = 0
        self.paused: list[attempt.Attempt] | None = None
        self.spots: dict[str, choose.Spot] = {}
        for vm in shard.pools.get(pool, ()):
            self._add_spot(vm)
        self.cores = sum(shard.vms[vm].cores for vm in self.spots) or 1.0
        self.memory = sum(shard.vms[vm].memory for vm in self.spots) or 1.0
        self.late = self._find_late()
        self._end_hold()

    def _end_hold(self) -> None:
        """Drop the hold once its job was placed or its worker can't be used."""
        name, vm = self.shard.holds.get(self.pool, ("", ""))
        entry = self.shard.jobs.get(name)
        queued = entry is not None and entry.job.state is job.JobState.QUEUED
        if not queued or vm not in self.spots:
            self.shard.holds.pop(self.pool, None)

    def _add_spot(self, vm: str) -> None:
        shard = self.shard
        if not shard.vms[vm].usable or shard.cooling.get(vm, 0.0) > self.now:
            return
        if shard.quarantine.is_aside(vm, self.now):
            self.aside += 1
            return
        spot = choose.Spot(vm, shard.domain(vm), *shard.room(vm))
        spot.trial = shard.quarantine.is_on_trial(vm)
        spot.busy = bool(shard.on_vm.get(vm))
        self.spots[vm] = spot

    def _find_late(self) -> list[str]:
        waiting = self.shard.backlog
        return [
            team
            for team in waiting.teams(self.pool, False)
            if waiting.slack(self.pool, team) <= self.now
        ]

    def place_one(self) -> bool:
        """Place or resume one job; false when nothing more fits."""
        backlog = self.shard.backlog
        first = (True, backlog.teams(self.pool, True))
        late = (False, self.late)
        order = [first, late, (False, backlog.teams(self.pool, False))]
        if self.shard.turns[self.pool] % LATE_TURN == LATE_TURN - 1:
            order = [late, first, order[2]]
        for urgent, teams in order:
            if self._place_from(teams, urgent):
                return True
            if urgent and self._is_claimed():
                return False
            if urgent and self._resume_one():
                return True
        return False

    def _is_claimed(self) -> bool:
        """Whether room is being made for an urgent job; bulk would take it."""
        backlog = self.shard.backlog
        claims = self.shard.claims
        return any(
            name in claims and self._has_claim(name)
            for team in backlog.teams(self.pool, True)
            for name in backlog.first(self.pool, True, team, LOOKAHEAD)
        )

    def _has_claim(self, name: str) -> bool:
        """Whether checkpoints for an urgent job are still on their way.

        Another urgent job may have taken the room; then it is made anew.
        """
        until, victims = self.shard.claims.get(name, (0.0, []))
        jobs = self.shard.jobs
        pausing = any(jobs[each].pausing for each in victims if each in jobs)
        return pausing and self.now < until

    def _place_from(self, teams: list[str], urgent: bool) -> bool:
        open_teams = [team for team in teams if (team, urgent) not in self.closed]
        for team in sorted(open_teams, key=self._share):
            names = self.shard.backlog.first(self.pool, urgent, team, LOOKAHEAD)
            for name in names:
                if self._try(self.shard.jobs[name], urgent):
                    self.shard.turns[self.pool] += 1
                    return True
            self.closed.add((team, urgent))
        return False

    def _share(self, team: str) -> float:
        """Return a team's larger share of the pool, over its weight."""
        used = self.shard.ledger.quota(team).items.get(self.pool, (0.0, 0.0))
        known = self.shard.policy.teams.get(team)
        weight = known.weight if known is not None else 1.0
        return max(used[0] / self.cores, used[1] / self.memory) / weight

    def _try(self, entry: attempt.Attempt, urgent: bool) -> bool:
        shard, item = self.shard, entry.job
        if item.asked.pool not in shard.policy.kinds:
            return False
        team = shard.policy.teams.get(item.asked.team)
        if team is None or item.cancel:
            return False
        need = shard.need(item)
        used = shard.ledger.quota(item.asked.team).total
        over_cores = used[0] + need[0] > team.cores + choose.EPSILON
        if over_cores or used[1] + need[1] > team.memory + choose.EPSILON:
            self._wait(entry, f"the quota of team {team.name} is used up")
            return False
        spot = self._find_spot(item, need, urgent)
        if spot is None:
            self._miss(entry, need, urgent)
            return False
        spot.take(*need)
        shard.change(entry, self.start(item, spot.vm, need))
        shard.claims.pop(item.name, None)
        return True

    def _find_spot(
        self, item: job.Job, need: tuple[float, float], urgent: bool
    ) -> choose.Spot | None:
        for cores, memory, kind in self.missed:
            if kind == urgent and need[0] >= cores and need[1] >= memory:
                return None
        held_for, held = self.shard.holds.get(self.pool, ("", ""))
        options = {
            "urgent": urgent,
            "rerun": item.asked.rerun,
            "crowd": self.shard.crowd(item) if item.asked.spread else {},
            "held": "" if held_for == item.name else held,
        }
        spots = self.spots.values()
        spot = choose.pick(spots, need, avoid=item.failed_on, **options)
        if spot is None and item.failed_on:
            rest = set(self.spots) - set(item.failed_on)
            if not rest:
                spot = choose.pick(spots, need, avoid=(), **options)
        if spot is None and not item.failed_on and held_for != item.name:
            self.missed.append((need[0], need[1], urgent))
        return spot

    def start(self, item: job.Job, vm: str, need: tuple[float, float]) -> job.Job:
        """Return the job as started on a worker."""
        return item._replace(
            state=job.JobState.STARTING,
            vm=vm,
            cores=need[0],
            memory=need[1],
            fence=self.shard.fence,
            reason="",
            since=self.now,
        )

    def _miss(
        self, entry: attempt.Attempt, need: tuple[float, float], urgent: bool
    ) -> None:
        aside = f", {self.aside} workers are set aside" if self.aside else ""
        self._wait(entry, f"no usable worker of the pool has room{aside}")
        if urgent:
            self._make_room(entry.job, need)
        elif self.now > entry.job.submitted + HOLD_AFTER:
            self._hold(entry.job, need)

    def _wait(self, entry: attempt.Attempt, reason: str) -> None:
        if entry.wait != reason:
            entry.wait = reason
            entry.wait_at = self.now
        self.tried.append(entry)

    def _hold(self, item: job.Job, need: tuple[float, float]) -> None:
        shard = self.shard
        if self.pool in shard.holds:
            return
        large = []
        for vm in self.spots:
            size = shard.vms[vm]
            share = max(need[0] / size.cores, need[1] / size.memory)
            if HOLD_SHARE < share <= 1.0 + choose.EPSILON:
                large.append(vm)
        if large:
            freest = min(large, key=lambda vm: shard.ledger.reservation(vm).total)
            shard.holds[self.pool] = (item.name, freest)

    def _make_room(self, item: job.Job, need: tuple[float, float]) -> None:
        """Checkpoint the fewest bulk jobs that let an urgent job start."""
        shard = self.shard
        if self._has_claim(item.name):
            return
        victims = {vm: self._find_victims(vm) for vm in self.spots}
        found = choose.pick_victims(self.spots.values(), victims, need, item.failed_on)
        if found is None:
            return
        shard.claims[item.name] = (self.now + CLAIM, found[1])
        for name in found[1]:
            shard.jobs[name].pausing = True
            shard.pending.add(name)
            shard.counters["checkpoints"] += 1

    def _find_victims(self, vm: str) -> list[choose.Victim]:
        found = []
        for name in self.shard.on_vm.get(vm, ()):
            entry = self.shard.jobs[name]
            item = entry.job
            running = item.state is job.JobState.RUNNING and not item.paused
            if item.is_urgent or not running or entry.pausing or entry.end:
                continue
            slack = choose.slack_of(entry, self.now)
            found.append(choose.Victim(name, vm, item.cores, item.memory, slack))
        return sorted(found)

    def _resume_one(self) -> bool:
        """Resume one paused job that has room again.

        Comes after urgent work and before any new bulk, which would take the
        room again and again until the paused job has to start anew.
        """
        if self.paused is None:
            self.paused = self._find_paused()
        while self.paused:
            entry = self.paused.pop()
            item = entry.job
            spot = self.spots[item.vm]
            fits = choose.fits(spot, item.cores, item.memory)
            if not fits or not self._has_quota(item):
                continue
            spot.take(item.cores, item.memory)
            entry.paused_at = 0.0
            self.shard.change(entry, item._replace(paused=False, since=self.now))
            return True
        return False

    def _find_paused(self) -> list[attempt.Attempt]:
        entries = [
            self.shard.jobs[name]
            for vm in self.spots
            for name in sorted(self.shard.on_vm.get(vm, ()))
        ]
        return [
            entry
            for entry in entries
            if entry.job.paused and not (entry.evict or entry.job.cancel or entry.end)
        ]

    def _has_quota(self, item: job.Job) -> bool:
        team = self.shard.policy.teams.get(item.asked.team)
        used = self.shard.ledger.quota(item.asked.team).total
        return (
            team is not None
            and used[0] + item.cores <= team.cores + choose.EPSILON
            and used[1] + item.memory <= team.memory + choose.EPSILON
        )


def place_all(shard: state.State, now: float, limit: int) -> int:
    """Place up to ``limit`` jobs, one pool after the other in turn.

    Returns
    -------
    int
        Number of jobs changed.
    """
    if shard.policy is None:
        return 0
    pools = sorted(set(shard.backlog.pools()) | set(shard.pools) & shard.dirty)
    rounds = []
    for pool in pools:
        if pool in shard.dirty or shard.retry_at.get(pool, 0.0) <= now:
            rounds.append(Round(shard, pool, now))
    changed = sum(stray.rehome(each) for each in rounds)
    going = list(rounds)
    while going and changed < limit:
        ahead = []
        for each in going:
            if changed < limit and each.place_one():
                changed += 1
                ahead.append(each)
            elif changed < limit:
                shard.dirty.discard(each.pool)
                shard.retry_at[each.pool] = now + AGAIN
        going = ahead
    _write_reasons(shard, rounds, now)
    return changed


def _write_reasons(shard: state.State, rounds: list[Round], now: float) -> None:
    written = 0
    for each in rounds:
        for entry in each.tried:
            item = entry.job
            queued = item.state is job.JobState.QUEUED
            if not queued or item.reason == entry.wait or written >= REASONS:
                continue
            first = item.submitted + REASON_AFTER
            if now < max(first, entry.told_at + REASON_EVERY):
                continue
            entry.told_at = now
            dirty = item.asked.pool in shard.dirty
            shard.change(entry, item._replace(reason=entry.wait, since=entry.wait_at))
            written += 1
            if not dirty:
                shard.dirty.discard(item.asked.pool)
