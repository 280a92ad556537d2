"""Calls to the platform's task service, and the handling of their answers."""

from collections.abc import Collection, Sequence
from typing import NamedTuple

from wigeonhitch.placement import attempt, job, reconciliation, state
from wigeonhitch.platform import table, tasks

__all__ = [
    "Call",
    "record_answer",
    "record_renewal",
    "find_renewals",
    "next_calls",
    "record_tasks",
]

# A worker that refused a start gets no new job for this long: the fleet view lags
# behind the platform by some seconds.
REFUSAL_COOLDOWN_SECONDS = 5.0
# A stop is repeated if the task is still listed alive after this time.
STOP_RETRY_SECONDS = 10.0
# Above these shares of a worker's memory and cores, bulk jobs are checkpointed or
# throttled; below RESUME_CORES_SHARE the throttling ends. The memory share leaves
# room for growth between two usage reports.
MAX_MEMORY_SHARE = 0.92
MAX_CORES_SHARE = 1.0
RESUME_CORES_SHARE = 0.8

S = job.JobState
T = tasks.TaskState


class Call(NamedTuple):
    """One call to make for a job's attempt; ``spec`` for starts only."""

    action: str
    name: str
    attempt: int
    task: str
    spec: tasks.TaskSpec | None = None


def next_calls(shard: state.ShardState, now: float, limit: int) -> list[Call]:
    """Return up to ``limit`` calls; starts of urgent jobs come first."""
    due_calls: list[Call] = []
    for name in sorted(shard.pending_calls, key=lambda name: _rank_call(shard, name)):
        if len(due_calls) >= limit:
            break
        entry = shard.jobs.get(name)
        action = _find_action(shard, entry) if entry is not None else ""
        if not action:
            shard.pending_calls.discard(name)
            continue
        if entry.call_in_flight or entry.retry_at > now:
            continue
        entry.call_in_flight = True
        due_calls.append(_make_call(shard, entry, action))
    return due_calls


def _rank_call(shard: state.ShardState, name: str) -> tuple[bool, bool, str]:
    entry = shard.jobs.get(name)
    if entry is None:
        return True, True, name
    return entry.job.state is not S.STARTING, not entry.job.is_urgent, name


def _make_call(shard: state.ShardState, entry: attempt.Attempt, action: str) -> Call:
    item = entry.job
    if action != "start":
        return Call(action, item.name, item.attempt, item.task)
    entry.calls += 1
    spec = tasks.TaskSpec(
        task=item.task,
        vm=item.vm,
        cores=item.cores,
        memory=item.memory,
        work=dict(item.asked.work),
        fence=shard.fence,
        lease=attempt.TASK_LEASE_SECONDS,
    )
    return Call(action, item.name, item.attempt, item.task, spec)


def _find_action(shard: state.ShardState, entry: attempt.Attempt) -> str:
    item = entry.job
    if item.state is S.STARTING:
        vm = shard.vms.get(item.vm)
        is_usable = vm is not None and vm.usable
        must_resolve = entry.start_unconfirmed
        if entry.known_to_platform or entry.refused or not is_usable:
            return ""
        return "" if item.cancel and not must_resolve and entry.calls == 0 else "start"
    if item.state is not S.RUNNING or entry.result is not None:
        return ""
    return _find_running_action(entry)


def _find_running_action(entry: attempt.Attempt) -> str:
    item = entry.job
    if item.cancel or entry.evict:
        return "stop"
    task_state = entry.listed.state if entry.listed is not None else None
    if entry.pausing and not entry.paused_at:
        return "checkpoint"
    if item.paused or entry.pausing:
        return "checkpoint" if task_state in (T.RUNNING, T.THROTTLED) else ""
    if task_state is T.CHECKPOINTED:
        return "resume"
    if entry.throttle and task_state is T.RUNNING:
        return "throttle"
    return "resume" if task_state is T.THROTTLED and not entry.throttle else ""


def record_answer(
    shard: state.ShardState, call: Call, outcome: table.Outcome | None, now: float
) -> None:
    """Apply the outcome of a call; None when the call was not sent."""
    entry = shard.jobs.get(call.name)
    if entry is None or entry.job.attempt != call.attempt:
        return
    entry.call_in_flight = False
    shard.pending_calls.add(call.name)
    if outcome is None:
        entry.calls -= call.action == "start"
        entry.retry_at = now + attempt.RETRY_DELAY_SECONDS
        return
    entry.last_answer_at = max(entry.last_answer_at, now)
    shard.unreconciled.add(call.name)
    entry.is_fenced = entry.is_fenced or outcome is table.Outcome.DONE
    if call.action == "start":
        _record_start_answer(shard, entry, call, outcome, now)
        return
    done = outcome is table.Outcome.DONE
    entry.retry_at = now + attempt.RETRY_DELAY_SECONDS
    if not done:
        return
    entry.controlled_at = now
    if call.action == "stop":
        entry.retry_at = now + STOP_RETRY_SECONDS
        return
    if call.action == "checkpoint":
        entry.paused_at = now
    resulting_states = {
        "checkpoint": T.CHECKPOINTED,
        "throttle": T.THROTTLED,
        "resume": T.RUNNING,
    }
    if entry.is_alive:
        entry.listed = entry.listed._replace(state=resulting_states[call.action])


def _record_start_answer(
    shard: state.ShardState,
    entry: attempt.Attempt,
    call: Call,
    outcome: table.Outcome,
    now: float,
) -> None:
    if outcome is table.Outcome.DONE:
        entry.known_to_platform = True
        return
    entry.retry_at = now + attempt.RETRY_DELAY_SECONDS
    if outcome is table.Outcome.UNKNOWN:
        entry.start_unconfirmed = True
        return
    entry.refused = True
    shard.dirty_pools.add(entry.job.asked.pool)
    shard.cooldown_until[call.spec.vm] = now + REFUSAL_COOLDOWN_SECONDS
    shard.counters["refused_starts"] += 1


def record_tasks(
    shard: state.ShardState,
    listed: Sequence[tasks.Task],
    vms: Collection[str],
    at: float,
) -> None:
    """Apply a list of the tasks of ``vms`` that was requested at time ``at``."""
    present = set()
    for task in listed:
        name, number = job.split_task(task.task)
        entry = shard.jobs.get(name)
        if entry is None or entry.job.attempt != number:
            continue
        present.add(name)
        if at >= entry.listed_at:
            _record_task(shard, entry, task, at)
    for vm in vms:
        for name in shard.on_vm.get(vm, ()):
            entry = shard.jobs[name]
            if name not in present and at >= entry.listed_at and entry.result is None:
                entry.listed = None
                entry.unlisted = True
                shard.unreconciled.add(name)
    shard.update_overrun(vms)
    for vm in vms:
        _relieve_worker(shard, vm)


def _record_task(
    shard: state.ShardState, entry: attempt.Attempt, task: tasks.Task, at: float
) -> None:
    ended = attempt.classify(task) is not None
    if entry.result is not None or (not ended and at < entry.controlled_at):
        return
    name = entry.job.name
    entry.listed = task
    entry.listed_at = at
    entry.unlisted = False
    entry.known_to_platform = True
    entry.peak = (
        max(entry.peak[0], task.used_cores),
        max(entry.peak[1], task.used_memory),
    )
    misplaced = task.vm != entry.job.vm
    if ended or misplaced or entry.job.state is S.STARTING or entry.job.paused:
        shard.unreconciled.add(name)
    if ended:
        reconciliation.record_result(shard, entry, at)
        return
    reconciliation.sample_usage(shard, entry, at)
    if reconciliation.reclaim_unused(entry) is not None:
        shard.unreconciled.add(name)
    if _find_action(shard, entry):
        shard.pending_calls.add(name)


def _relieve_worker(shard: state.ShardState, vm: str) -> None:
    """Checkpoint or throttle bulk jobs before they harm urgent work on the worker.

    A bulk job may use several times its declared size. The worker would then run
    out of memory and kill any task, or starve urgent work of cores. Each usage
    report checkpoints or throttles the job furthest above its reservation.
    """
    worker = shard.vms.get(vm)
    entries = [shard.jobs[name] for name in sorted(shard.on_vm.get(vm, ()))]
    alive = [entry for entry in entries if entry.is_alive and entry.job.holds]
    bulk = [entry for entry in alive if not entry.job.is_urgent and not entry.pausing]
    if worker is None or not bulk:
        return
    memory = sum(entry.listed.used_memory for entry in alive)
    if memory > MAX_MEMORY_SHARE * worker.memory and len(alive) > 1:
        worst = max(bulk, key=lambda e: e.listed.used_memory - e.job.memory)
        if worst.listed.used_memory > worst.job.memory:
            worst.pausing = True
            shard.counters["checkpoints"] += 1
            shard.pending_calls.add(worst.job.name)
    cores = sum(entry.listed.used_cores for entry in alive)
    if cores > MAX_CORES_SHARE * worker.cores and len(bulk) < len(alive):
        worst = max(bulk, key=lambda e: e.listed.used_cores - e.job.cores)
        worst.throttle = True
        shard.counters["throttles"] += 1
        shard.pending_calls.add(worst.job.name)
    elif cores < RESUME_CORES_SHARE * worker.cores:
        for entry in bulk:
            if entry.throttle:
                entry.throttle = False
                shard.pending_calls.add(entry.job.name)


def find_renewals(shard: state.ShardState) -> list[str]:
    """Return the tasks to renew: those listed alive, or not listed for yet.

    A task that a list did not contain is not renewed, so that its lease lapses
    with certainty. A task that is to be stopped is not renewed either.
    """
    renewable = []
    for entry in shard.jobs.values():
        item = entry.job
        if item.state is not S.RUNNING or entry.evict or item.cancel:
            continue
        if entry.is_alive or (entry.result is None and not entry.unlisted):
            renewable.append(item.task)
    return renewable


def record_renewal(
    shard: state.ShardState, renewed: Sequence[str], outcome: table.Outcome, now: float
) -> None:
    """Apply the outcome of a renewal of tasks."""
    for task in renewed:
        name, number = job.split_task(task)
        entry = shard.jobs.get(name)
        if entry is not None and entry.job.attempt == number:
            entry.last_answer_at = max(entry.last_answer_at, now)
            entry.is_fenced = entry.is_fenced or outcome is table.Outcome.DONE
            shard.unreconciled.add(name)
