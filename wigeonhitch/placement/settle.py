"""What becomes of a job, given what is known of its present attempt."""

import math

from wigeonhitch.placement import attempt, job, state

__all__ = ["learn", "settle", "settle_all"]

# Failures on this many different workers that were not set aside are the job's
# own fault: it would go on costing every team a start elsewhere.
FAILURES = 3
# Attempts in all, also for lost workers: bounds what one job can ever cost.
ATTEMPTS = 20
# A job may name a pool that the holder's document doesn't have yet, since
# documents reach daemons some seconds apart (9 s at most).
POLICY_GRACE = 30.0
# A checkpointed job whose worker has had no room for so long starts anew
# elsewhere: later it would rather lose its progress than its deadline.
PAUSED_LIMIT = 120.0
# Bulk that can end by itself soon is left to end when its worker drains.
DRAIN_GRACE = 60.0
# Lagging usage that fills the reservation says that more cores may help.
FULL = 0.95
# Usage of a task that is this far has shown what it takes: a kind declared ten
# times too large would otherwise hold whole workers until its first jobs end.
MEMORY_AT = 0.75
CORES_AT = 0.1
RECLAIM_AT = 0.5
RECLAIM_MARGIN = 1.3
# Below this the room gained is not worth a write.
RECLAIM_SHARE = 1.5
MEMORY_GROWTH = 2.0

S = job.JobState


def settle_all(shard: state.State, now: float, limit: int) -> int:
    """Settle up to ``limit`` jobs that something was learned about.

    Load: a wave of thousands of endings or cancellations. Harm: urgent work
    would wait for the whole wave; the rest is left for the next step instead.

    Returns
    -------
    int
        Number of jobs changed.
    """
    changed = 0
    looked = 0
    for name in sorted(shard.unsettled):
        if changed >= limit or looked >= 10 * limit:
            break
        looked += 1
        shard.unsettled.discard(name)
        entry = shard.jobs.get(name)
        if entry is None:
            continue
        new = settle(shard, entry, now)
        if new is not None and new != entry.job:
            shard.change(entry, new)
            changed += 1
    return changed


def settle(shard: state.State, entry: attempt.Attempt, now: float) -> job.Job | None:
    """Return the job's next record, or None when nothing changes."""
    item = entry.job
    if item.state is S.QUEUED:
        return _settle_queued(shard, item, now)
    if item.state not in job.HOLDING:
        return None
    if entry.end is not None:
        return _end(shard, entry, entry.end, entry.seen.reason, now)
    if entry.has_lapsed(now):
        return _end(shard, entry, attempt.End.LOST, "its lease lapsed", now)
    if item.state is S.STARTING:
        return _settle_starting(shard, entry, now)
    return _settle_running(shard, entry, now)


def _settle_queued(shard: state.State, item: job.Job, now: float) -> job.Job | None:
    if item.cancel:
        return _close(item, S.CANCELLED, "cancelled before it began", now)
    reason = find_obstacle(shard, item, now)
    return _close(item, S.REFUSED, reason, now) if reason else None


def find_obstacle(shard: state.State, item: job.Job, now: float) -> str:
    """Return why a job can never run, or an empty text.

    Harm prevented: a job that fits nowhere would be looked at for ever, and
    as the head of its queue hold room that others could use.
    """
    policy = shard.policy
    asked = item.asked
    if policy is None:
        return ""
    for what, name, known in (
        ("pool", asked.pool, policy.kinds),
        ("team", asked.team, policy.teams),
    ):
        if name not in known:
            young = now - item.submitted < POLICY_GRACE
            return "" if young else f"no {what} {name!r} in the fleet document"
    if shard.learner.is_sure(asked.kind):
        return ""
    kind, team = policy.kinds[asked.pool], policy.teams[asked.team]
    for amount, most, unit, place in (
        (asked.cores, kind.cores, "cores", f"a VM of pool {asked.pool}"),
        (asked.memory, kind.memory, "GB", f"a VM of pool {asked.pool}"),
        (asked.cores, team.cores, "cores", f"the whole quota of team {asked.team}"),
        (asked.memory, team.memory, "GB", f"the whole quota of team {asked.team}"),
    ):
        if amount > most:
            return f"needs {amount:g} {unit}, {place} has {most:g}"
    return ""


def _settle_starting(
    shard: state.State, entry: attempt.Attempt, now: float
) -> job.Job | None:
    item = entry.job
    if entry.known:
        return item._replace(state=S.RUNNING, fence=shard.fence, reason="", since=now)
    if not entry.was_never_sent(shard.fence):
        return None
    if item.cancel:
        return _close(item, S.CANCELLED, "cancelled before it began", now)
    if entry.refused:
        return _requeue(item, item.attempt, f"{item.vm} refused the start", now)
    vm = shard.vms.get(item.vm)
    if not entry.flying and (vm is None or not vm.usable):
        return _requeue(item, item.attempt, f"{item.vm} is leaving", now)
    return None


def _settle_running(
    shard: state.State, entry: attempt.Attempt, now: float
) -> job.Job | None:
    item = entry.job
    if entry.paused_at and not item.paused and entry.pausing:
        entry.pausing = False
        return item._replace(paused=True, reason="made room", since=now)
    if entry.is_alive and (smaller := shrink(entry)) is not None:
        return smaller
    if entry.is_alive and entry.seen.vm != item.vm:
        entry.evict = item.asked.rerun
        shard.pending.add(item.name)
    if item.asked.rerun and _is_stranded(shard, entry, now):
        entry.evict = True
        shard.pending.add(item.name)
    return None


def shrink(entry: attempt.Attempt) -> job.Job | None:
    """Return the job with what it doesn't use given back, or None.

    Load: sizes declared ten times too large. Harm: workers that are reserved in
    full and idle. The platform's limit for the task stays as it was at the
    start; what the job uses beyond its reservation is counted against the
    worker's room, and bulk is checkpointed before memory runs out.
    """
    item = entry.job
    if not item.holds or entry.seen.progress < RECLAIM_AT:
        return None
    used_cores, used_memory = entry.peak
    if used_cores <= 0 or used_memory <= 0:
        return None
    cores, memory = item.cores, item.memory
    if memory > RECLAIM_SHARE * RECLAIM_MARGIN * used_memory:
        memory = round(RECLAIM_MARGIN * used_memory, 3)
    if cores > RECLAIM_SHARE * used_cores:
        cores = round(used_cores, 3)
    if (cores, memory) == (item.cores, item.memory):
        return None
    return item._replace(cores=cores, memory=memory)


def sample(shard: state.State, entry: attempt.Attempt, now: float) -> None:
    """Learn from a task that is still running: its cores early, memory late."""
    item = entry.job
    done = entry.seen.progress
    cores, memory = entry.peak
    kind = item.asked.kind
    if done >= CORES_AT and cores > 0 and not entry.sampled_cores:
        entry.sampled_cores = True
        if cores >= FULL * item.cores:
            ratio = (now - item.since) / done / item.asked.duration
            cores = shard.learner.note_full(kind, item.cores, ratio)
        shard.learner.add_cores(kind, cores)
    if done >= MEMORY_AT and memory > 0 and not entry.sampled_memory:
        entry.sampled_memory = True
        shard.learner.add_memory(kind, memory)


def _is_stranded(shard: state.State, entry: attempt.Attempt, now: float) -> bool:
    """Whether the job had better start anew elsewhere."""
    item = entry.job
    left = shard.left_at.get(item.vm)
    if left is not None and now >= left + DRAIN_GRACE:
        return True
    return item.paused and (left is not None or now >= item.since + PAUSED_LIMIT)


def _end(
    shard: state.State,
    entry: attempt.Attempt,
    end: attempt.End,
    reason: str,
    now: float,
) -> job.Job:
    item = entry.job._replace(
        peak_cores=max(entry.job.peak_cores, entry.peak[0]),
        peak_memory=max(entry.job.peak_memory, entry.peak[1]),
    )
    reason = reason or end.value
    if end is attempt.End.FINISHED:
        return _close(item, S.FINISHED, "", now)
    if item.cancel:
        return _close(item, S.CANCELLED, "stopped after it began", now)
    if not item.asked.rerun:
        return _close(item, S.FAILED, f"may have run: {reason}", now)
    if item.attempt >= ATTEMPTS:
        return _close(item, S.FAILED, f"gave up after {ATTEMPTS} attempts", now)
    if end is attempt.End.MEMORY:
        most = max(item.memory, item.peak_memory)
        return _end_for_memory(shard, item._replace(memory=most), reason, now)
    if end is attempt.End.FAILED:
        return _end_failed(shard, item, reason, now)
    return _requeue(item, item.attempt + 1, f"attempt {item.attempt}: {reason}", now)


def _end_for_memory(
    shard: state.State, item: job.Job, reason: str, now: float
) -> job.Job:
    most = math.inf if shard.policy is None else shard.limits(item)[1]
    if item.memory >= most:
        text = f"used more than {item.memory:g} GB, the most it can have"
        return _close(item, S.REFUSED, text, now)
    floor = min(most, MEMORY_GROWTH * item.memory)
    item = item._replace(floor=floor)
    return _requeue(item, item.attempt + 1, f"attempt {item.attempt}: {reason}", now)


def _end_failed(shard: state.State, item: job.Job, reason: str, now: float) -> job.Job:
    item = item._replace(failed_on=(*item.failed_on, item.vm))
    healthy = {vm for vm in item.failed_on if not shard.quarantine.is_on_trial(vm)}
    limit = min(FAILURES, max(1, len(shard.pools.get(item.asked.pool, ()))))
    if len(healthy) >= limit:
        text = f"failed on {len(healthy)} healthy workers, last: {reason}"
        return _close(item, S.REFUSED, text, now)
    return _requeue(item, item.attempt + 1, f"attempt {item.attempt}: {reason}", now)


def learn(shard: state.State, entry: attempt.Attempt, now: float) -> None:
    """Draw the lessons of an attempt that was just listed as ended."""
    item = entry.job
    end = entry.end
    if end is attempt.End.MEMORY:
        shard.counters["memory_kills"] += 1
        least = max(entry.peak[1], MEMORY_GROWTH * item.memory)
        shard.learner.add_memory(item.asked.kind, least)
    elif end is attempt.End.FINISHED:
        shard.quarantine.succeed(item.vm)
        sample(shard, entry, now)
    elif end is attempt.End.FAILED:
        shard.counters["failures"] += 1
        pool = shard.pools.get(item.asked.pool, [])
        if shard.quarantine.fail(item.vm, item.name, pool, now):
            shard.counters["set_aside"] += 1
        others = [vm for vm in item.failed_on if vm != item.vm]
        if others:
            shard.quarantine.forgive(item.name, [*others, item.vm])


def _requeue(item: job.Job, number: int, reason: str, now: float) -> job.Job:
    return item._replace(
        state=S.QUEUED,
        attempt=number,
        vm="",
        cores=0.0,
        memory=0.0,
        fence=0,
        paused=False,
        reason=reason,
        since=now,
    )


def _close(item: job.Job, end: job.JobState, reason: str, now: float) -> job.Job:
    """Return the ended job; ``vm``, ``cores`` and ``memory`` stay readable."""
    return item._replace(state=end, reason=reason, paused=False, since=now)
