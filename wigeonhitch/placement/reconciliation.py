"""Reconciliation of a job's record with what is known of its current attempt."""

import math

from wigeonhitch.placement import attempt, job, state

__all__ = ["reconcile", "reconcile_all", "record_result"]

# A job that failed on this many different workers outside quarantine is itself at
# fault, and would keep using starts that other teams need.
MAX_FAILED_WORKERS = 3
# Limit on all attempts, including those on lost workers: bounds the cost of a job.
MAX_ATTEMPTS = 20
# A job may name a pool that the holder's document doesn't contain yet, since
# documents reach the daemons up to 9 s apart.
POLICY_GRACE_SECONDS = 30.0
# A checkpointed job whose worker had no room for this long restarts elsewhere: from
# then on, losing its progress is better than missing its deadline.
MAX_PAUSE_SECONDS = 120.0
# Time for bulk jobs to end by themselves when their worker drains.
DRAIN_GRACE_SECONDS = 60.0
# Usage above this share of the reserved cores means that more cores may help; below
# 1, as usage reports lag.
SATURATED_SHARE = 0.95
BLOCKS_DRAIN_REASON = "its worker drains and waits for it, as it must not run again"
# Progress from which the usage of a running task is representative. Without samples
# of running tasks, a kind declared ten times too large would hold whole workers
# until its first jobs end.
MEMORY_SAMPLE_PROGRESS = 0.75
CORES_SAMPLE_PROGRESS = 0.1
MIN_RECLAIM_PROGRESS = 0.5
RECLAIM_MEMORY_MARGIN = 1.3
# Below this ratio of reserved to needed size, the gain is not worth a write.
MIN_RECLAIM_RATIO = 1.5
MEMORY_GROWTH_FACTOR = 2.0

S = job.JobState


def reconcile_all(shard: state.ShardState, now: float, limit: int) -> int:
    """Reconcile up to ``limit`` jobs for which there is new information.

    After thousands of ended or cancelled jobs, urgent work would wait for all of
    them; the rest is left for the next step.

    Returns
    -------
    int
        Number of jobs changed.
    """
    changed = 0
    considered = 0
    for name in sorted(shard.unreconciled):
        if changed >= limit or considered >= 10 * limit:
            break
        considered += 1
        shard.unreconciled.discard(name)
        entry = shard.jobs.get(name)
        if entry is None:
            continue
        new = reconcile(shard, entry, now)
        if new is not None and new != entry.job:
            shard.apply_change(entry, new)
            changed += 1
    return changed


def reconcile(
    shard: state.ShardState, entry: attempt.Attempt, now: float
) -> job.Job | None:
    """Return the job's next record, or None when nothing changes."""
    item = entry.job
    if item.state is S.QUEUED:
        return _reconcile_queued(shard, item, now)
    if item.state not in job.HOLDING:
        return None
    if entry.result is not None:
        return _end_attempt(shard, entry, entry.result, entry.listed.reason, now)
    if entry.has_lapsed(now):
        return _end_attempt(
            shard, entry, attempt.AttemptResult.LOST, "its lease lapsed", now
        )
    if item.state is S.STARTING:
        return _reconcile_starting(shard, entry, now)
    return _reconcile_running(shard, entry, now)


def _reconcile_queued(
    shard: state.ShardState, item: job.Job, now: float
) -> job.Job | None:
    if item.cancel:
        return _end_job(item, S.CANCELLED, "cancelled before it began", now)
    reason = find_obstacle(shard, item, now)
    return _end_job(item, S.REFUSED, reason, now) if reason else None


def find_obstacle(shard: state.ShardState, item: job.Job, now: float) -> str:
    """Return why a job can never run, or an empty string.

    A job that fits nowhere would be considered for ever and, at the head of its
    queue, hold capacity that others could use.
    """
    policy = shard.policy
    asked = item.asked
    if policy is None:
        return ""
    for label, name, known_names in (
        ("pool", asked.pool, policy.kinds),
        ("team", asked.team, policy.teams),
    ):
        if name not in known_names:
            within_grace = now - item.submitted < POLICY_GRACE_SECONDS
            return "" if within_grace else f"no {label} {name!r} in the fleet document"
    if shard.estimator.is_confident(asked.sizing_key):
        return ""
    kind, team = policy.kinds[asked.pool], policy.teams[asked.team]
    for amount, limit, unit, scope in (
        (asked.cores, kind.cores, "cores", f"a VM of pool {asked.pool}"),
        (asked.memory, kind.memory, "GB", f"a VM of pool {asked.pool}"),
        (asked.cores, team.cores, "cores", f"the whole quota of team {asked.team}"),
        (asked.memory, team.memory, "GB", f"the whole quota of team {asked.team}"),
    ):
        if amount > limit:
            return f"needs {amount:g} {unit}, {scope} has {limit:g}"
    return ""


def _reconcile_starting(
    shard: state.ShardState, entry: attempt.Attempt, now: float
) -> job.Job | None:
    item = entry.job
    if entry.known_to_platform:
        return item._replace(state=S.RUNNING, fence=shard.fence, reason="", since=now)
    if not entry.was_never_sent(shard.fence):
        return None
    if item.cancel:
        return _end_job(item, S.CANCELLED, "cancelled before it began", now)
    if entry.refused:
        return _requeue(item, item.attempt, f"{item.vm} refused the start", now)
    vm = shard.vms.get(item.vm)
    if not entry.call_in_flight and (vm is None or not vm.usable):
        return _requeue(item, item.attempt, f"{item.vm} is leaving", now)
    return None


def _reconcile_running(
    shard: state.ShardState, entry: attempt.Attempt, now: float
) -> job.Job | None:
    item = entry.job
    if entry.paused_at and not item.paused and entry.pausing:
        entry.pausing = False
        return item._replace(paused=True, reason="made room", since=now)
    if entry.is_alive and (reduced := reclaim_unused(entry)) is not None:
        return reduced
    if entry.is_alive and entry.listed.vm != item.vm:
        entry.evict = item.asked.rerun
        shard.pending_calls.add(item.name)
    if item.asked.rerun and _should_restart(shard, entry, now):
        entry.evict = True
        shard.pending_calls.add(item.name)
    return _update_drain_reason(shard, item, now)


def _update_drain_reason(
    shard: state.ShardState, item: job.Job, now: float
) -> job.Job | None:
    """Return the job with or without the reason that it blocks a drain.

    A drain waits without limit for a job that must not run twice: stopping the
    job would end it as failed ("may have run"), while the drain can wait. The
    reason shows operators which job blocks the drain.
    """
    unusable_since = shard.unusable_since.get(item.vm)
    is_blocking = (
        unusable_since is not None and now >= unusable_since + DRAIN_GRACE_SECONDS
    )
    is_blocking = is_blocking and not item.asked.rerun
    if is_blocking == (item.reason == BLOCKS_DRAIN_REASON):
        return None
    return item._replace(reason=BLOCKS_DRAIN_REASON if is_blocking else "")


def reclaim_unused(entry: attempt.Attempt) -> job.Job | None:
    """Return the job with its reservation reduced to its usage, or None.

    Sizes declared ten times too large would leave workers fully reserved and
    idle. The platform's limit for the task stays as it was at the start; usage
    beyond the reservation is subtracted from the worker's free capacity, and
    bulk is checkpointed before memory runs out.
    """
    item = entry.job
    if not item.holds or entry.listed.progress < MIN_RECLAIM_PROGRESS:
        return None
    used_cores, used_memory = entry.peak
    if used_cores <= 0 or used_memory <= 0:
        return None
    cores, memory = item.cores, item.memory
    if memory > MIN_RECLAIM_RATIO * RECLAIM_MEMORY_MARGIN * used_memory:
        memory = round(RECLAIM_MEMORY_MARGIN * used_memory, 3)
    if cores > MIN_RECLAIM_RATIO * used_cores:
        cores = round(used_cores, 3)
    if (cores, memory) == (item.cores, item.memory):
        return None
    return item._replace(cores=cores, memory=memory)


def sample_usage(shard: state.ShardState, entry: attempt.Attempt, now: float) -> None:
    """Add a task's usage to the estimator: cores early, memory late in its run."""
    item = entry.job
    progress = entry.listed.progress
    cores, memory = entry.peak
    kind = item.asked.sizing_key
    if progress >= CORES_SAMPLE_PROGRESS and cores > 0 and not entry.sampled_cores:
        entry.sampled_cores = True
        if cores >= SATURATED_SHARE * item.cores:
            ratio = (now - item.since) / progress / item.asked.duration
            cores = shard.estimator.record_saturated(kind, item.cores, ratio)
        shard.estimator.add_cores(kind, cores)
    if progress >= MEMORY_SAMPLE_PROGRESS and memory > 0 and not entry.sampled_memory:
        entry.sampled_memory = True
        shard.estimator.add_memory(kind, memory)


def _should_restart(
    shard: state.ShardState, entry: attempt.Attempt, now: float
) -> bool:
    """Return whether the job should be stopped and restarted elsewhere."""
    item = entry.job
    unusable_since = shard.unusable_since.get(item.vm)
    if unusable_since is not None and now >= unusable_since + DRAIN_GRACE_SECONDS:
        return True
    return item.paused and (
        unusable_since is not None or now >= item.since + MAX_PAUSE_SECONDS
    )


def _end_attempt(
    shard: state.ShardState,
    entry: attempt.Attempt,
    result: attempt.AttemptResult,
    reason: str,
    now: float,
) -> job.Job:
    item = entry.job._replace(
        peak_cores=max(entry.job.peak_cores, entry.peak[0]),
        peak_memory=max(entry.job.peak_memory, entry.peak[1]),
    )
    reason = reason or result.value
    if result is attempt.AttemptResult.FINISHED:
        return _end_job(item, S.FINISHED, "", now)
    if item.cancel:
        return _end_job(item, S.CANCELLED, "stopped after it began", now)
    if not item.asked.rerun:
        return _end_job(item, S.FAILED, f"may have run: {reason}", now)
    if item.attempt >= MAX_ATTEMPTS:
        return _end_job(item, S.FAILED, f"gave up after {MAX_ATTEMPTS} attempts", now)
    if result is attempt.AttemptResult.MEMORY:
        memory = max(item.memory, item.peak_memory)
        return _end_out_of_memory(shard, item._replace(memory=memory), reason, now)
    if result is attempt.AttemptResult.FAILED:
        return _end_failed_attempt(shard, item, reason, now)
    return _requeue(item, item.attempt + 1, f"attempt {item.attempt}: {reason}", now)


def _end_out_of_memory(
    shard: state.ShardState, item: job.Job, reason: str, now: float
) -> job.Job:
    limit = math.inf if shard.policy is None else shard.max_size(item)[1]
    if item.memory >= limit:
        text = f"used more than {item.memory:g} GB, the most it can have"
        return _end_job(item, S.REFUSED, text, now)
    floor = min(limit, MEMORY_GROWTH_FACTOR * item.memory)
    item = item._replace(floor=floor)
    return _requeue(item, item.attempt + 1, f"attempt {item.attempt}: {reason}", now)


def _end_failed_attempt(
    shard: state.ShardState, item: job.Job, reason: str, now: float
) -> job.Job:
    item = item._replace(failed_on=(*item.failed_on, item.vm))
    healthy = {vm for vm in item.failed_on if not shard.quarantine.is_on_trial(vm)}
    limit = min(MAX_FAILED_WORKERS, max(1, len(shard.pools.get(item.asked.pool, ()))))
    if len(healthy) >= limit:
        text = f"failed on {len(healthy)} healthy workers, last: {reason}"
        return _end_job(item, S.REFUSED, text, now)
    return _requeue(item, item.attempt + 1, f"attempt {item.attempt}: {reason}", now)


def record_result(shard: state.ShardState, entry: attempt.Attempt, now: float) -> None:
    """Update estimator, quarantine and counters for an attempt listed as ended."""
    item = entry.job
    result = entry.result
    if result is attempt.AttemptResult.MEMORY:
        shard.counters["memory_kills"] += 1
        min_memory = max(entry.peak[1], MEMORY_GROWTH_FACTOR * item.memory)
        shard.estimator.add_memory(item.asked.sizing_key, min_memory)
    elif result is attempt.AttemptResult.FINISHED:
        shard.quarantine.record_success(item.vm)
        sample_usage(shard, entry, now)
    elif result is attempt.AttemptResult.FAILED:
        shard.counters["failures"] += 1
        pool = shard.pools.get(item.asked.pool, [])
        if shard.quarantine.record_failure(item.vm, item.name, pool, now):
            shard.counters["set_aside"] += 1
        others = [vm for vm in item.failed_on if vm != item.vm]
        if others:
            shard.quarantine.dismiss_failures(item.name, [*others, item.vm])


def _requeue(item: job.Job, attempt_number: int, reason: str, now: float) -> job.Job:
    return item._replace(
        state=S.QUEUED,
        attempt=attempt_number,
        vm="",
        cores=0.0,
        memory=0.0,
        fence=0,
        paused=False,
        reason=reason,
        since=now,
    )


def _end_job(
    item: job.Job, end_state: job.JobState, reason: str, now: float
) -> job.Job:
    """Return the ended job; ``vm``, ``cores`` and ``memory`` keep their values."""
    return item._replace(state=end_state, reason=reason, paused=False, since=now)
