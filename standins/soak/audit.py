"""Checks of a site's guarantees against the records of callers and workers."""

import collections
import itertools
import math
import time
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from standins import siteworker, taskhistory
from standins.soak import (
    caller,
    environment,
    fault,
    latewrite,
    restartaudit,
    team,
    vmfleet,
)
from wigeonhitch.jobs import model
from wigeonhitch.platform import http

__all__ = ["SETTLE_SECONDS", "Observations", "check", "compute_deadline"]

SETTLE_SECONDS = 14.0
"""Time after the last fault in which every accepted job becomes final; one whose own
task crashes VMs has it from the last VM that a task has crashed."""

RECOVERY_SECONDS = 3.0
"""Time after a fault until time limits are guaranteed again."""

CANCEL_SECONDS = 3.0
"""Time after the acknowledgement of a cancellation in which the job's tasks end."""

VISIBLE_SECONDS = 3.0
"""Time after which an accepted job is known to all daemons."""

EARLY_START_SECONDS = 0.25
"""Time by which a task may start early."""

NOTICE_SECONDS = 4.5
"""Time after which a lasting task counts as unavailable for any cause."""

MAX_UNAVAILABLE_SECONDS = 6.0
"""Maximum time for which a lasting task is unavailable without faults."""

SHRUNK_SECONDS = 3.0 + vmfleet.HEARTBEAT_SECONDS
"""Time after which nothing starts beyond a worker's capacity that has shrunk."""

MAX_CRASHED_VMS = 5
"""Most workers that one task may crash: three, and then fewer than three starts."""

DRAIN_SECONDS = 2.0
"""Time after which nothing starts on a worker that leaves."""


class Observations(NamedTuple):
    """Records of a run.

    No fault is injected and no job is submitted after ``settled_from``.
    ``queue_pools`` are the pools in which the jobs of a queue may be, and ``probes``
    the jobs that need each worker of a pool.
    """

    jobs: list[caller.SubmittedJob]
    calls: list[caller.Call]
    spans: list[fault.Span]
    vm_fleet: vmfleet.VmFleet
    queue_pools: Mapping[str, set[str]]
    settled_from: float
    ended: float
    teams: team.Teams | None = None
    probes: Sequence[restartaudit.Probe] = ()
    counts: Sequence[latewrite.Count] = ()
    unacknowledged: Sequence[caller.SubmittedJob] = ()

    def is_disturbed(self, begin: float, end: float, target: str = "") -> bool:
        """Whether a fault affected a time span; ``target`` restricts the daemons."""
        return any(
            span.begin < end and begin < span.end + RECOVERY_SECONDS
            for span in self.spans
            if span.kind not in fault.PLANNED
            and (not target or span.target in (target, "store") or "all" in span.kind)
        )


def check(observed: Observations) -> list[str]:
    """Return the violations, one line each."""
    jobs = {job.id: job for job in observed.jobs}

    def get_size(task: model.Task) -> int:
        return jobs[task.job].body["steps"][task.step]["cpu"]

    events = observed.vm_fleet.events
    unknown = {event.task.job for event in events} - set(jobs)
    if unknown:
        return [f"job that no caller submitted: {id}" for id in sorted(unknown)]
    return [
        *taskhistory.check_task_runs(events, get_size, vmfleet.VM_MILLICORES),
        *_check_shrunk_capacity(observed, get_size),
        *_check_crashes(observed, jobs),
        *_check_starts(observed, jobs),
        *_check_lasting_availability(observed, jobs),
        *_check_answers(observed, jobs),
        *_check_truncated_answers(observed),
        *_check_orders(observed),
        *_check_finals(observed),
        *_check_keys(observed),
        *_check_ceilings(observed, jobs, get_size),
        *restartaudit.check_forgotten(observed.vm_fleet.workers),
        *restartaudit.check_completed(observed.calls, events),
        *restartaudit.check_idle(observed.probes, observed.vm_fleet),
        *latewrite.check_counts(observed.counts, observed.jobs),
        *latewrite.check_missing(observed.calls, observed.jobs),
        *(f"not acknowledged: cancellation of {j.id}" for j in observed.unacknowledged),
    ]


def compute_deadline(observed: Observations, job: caller.SubmittedJob) -> float:
    """Return the time by which an accepted job must be final.

    A job whose task crashes VMs is tested on several, each of which is down for some
    seconds, so its time is counted anew from the return of each VM of its pool that a
    task has crashed. Workers beyond `MAX_CRASHED_VMS` of one task are left out: it
    should have been given up by then.
    """
    deadline = observed.settled_from + SETTLE_SECONDS
    if not job.crashes_vms:
        return deadline
    pools = observed.queue_pools[job.queue.name]
    for outage in sorted(_list_allowed_outages(observed)):
        if outage.pool in pools and outage.begin < deadline:
            deadline = max(deadline, outage.end + SETTLE_SECONDS)
    return deadline


def _list_allowed_outages(observed: Observations) -> list[vmfleet.Outage]:
    """Return the outages by tasks that have crashed no more workers than they may."""
    crashing = {job.id for job in observed.jobs if job.crashes_vms}
    outages = {outage.worker: outage for outage in observed.vm_fleet.outages}
    counts: collections.Counter[model.Task] = collections.Counter()
    allowed = []
    for event in observed.vm_fleet.events:
        if event.kind != "start" or event.task.job not in crashing:
            continue
        counts[event.task] += 1
        if counts[event.task] <= MAX_CRASHED_VMS and event.worker in outages:
            allowed.append(outages[event.worker])
    return allowed


def _check_shrunk_capacity(
    observed: Observations, get_size: Callable[[model.Task], int]
) -> list[str]:
    """Check that no start exceeds all that its worker's capacity was of late."""
    violations = []
    used: dict[str, int] = {}
    changes: dict[str, list[vmfleet.Capacity]] = {}
    for change in observed.vm_fleet.capacities:
        changes.setdefault(change.worker, []).append(change)
    for event in observed.vm_fleet.events:
        size = get_size(event.task)
        if event.kind == "end":
            used[event.worker] -= size
        if event.kind != "start":
            continue
        used[event.worker] = used.get(event.worker, 0) + size
        allowed = _get_recent_capacity(changes.get(event.worker, []), event.time)
        if used[event.worker] > allowed and not observed.is_disturbed(
            event.time - SHRUNK_SECONDS, event.time
        ):
            violations.append(f"capacity {allowed} of the worker exceeded: {event}")
    return violations


def _get_recent_capacity(changes: list[vmfleet.Capacity], now: float) -> int:
    """Return the most millicores that a worker had within `SHRUNK_SECONDS`."""
    capacities = [
        change.millicores
        for change, successor in itertools.zip_longest(changes, changes[1:])
        if change.time <= now
        and (successor is None or successor.time > now - SHRUNK_SECONDS)
    ]
    return max(capacities, default=vmfleet.VM_MILLICORES)


def _check_crashes(
    observed: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check how many workers each task has crashed."""
    starts = collections.Counter(
        event.task for event in observed.vm_fleet.events if event.kind == "start"
    )
    return [
        f"task crashed {count} workers: {task}"
        for task, count in starts.items()
        if jobs[task.job].crashes_vms and count > MAX_CRASHED_VMS
    ]


def _check_starts(
    observed: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check order, times, attempts, refusals, cancellations and leaving workers."""
    violations = []
    done: set[model.Task] = set()
    failed: dict[model.Task, int] = {}
    wall_offset = time.time() - http.read_clock()
    for event in observed.vm_fleet.events:
        job = jobs[event.task.job]
        if event.kind == "noted" and event.outcome == "failed":
            failed[event.task] = failed.get(event.task, 0) + 1
        if event.kind == "end" and event.outcome == "done":
            done.add(event.task)
        if event.kind != "start":
            continue
        if job.was_refused:
            violations.append(f"refused job started: {event}")
        if not _is_ready(job, event.task, done):
            violations.append(f"started before an earlier step was done: {event}")
        if failed.get(event.task, 0) >= environment.MAX_ATTEMPTS and not job.is_lasting:
            violations.append(f"started after its last attempt: {event}")
        start = job.body.get("start_at_ms", 0) / 1000
        due = start + event.task.occurrence * job.body.get("interval_ms", 0) / 1000
        if event.time + wall_offset < due - EARLY_START_SECONDS:
            violations.append(
                f"started {due - event.time - wall_offset:.2f} s early: {event}"
            )
        violations.extend(_check_late_start(observed, job, event))
    return violations


def _check_late_start(
    observed: Observations, job: caller.SubmittedJob, event: siteworker.Event
) -> list[str]:
    violations = []
    is_undisturbed = not observed.is_disturbed(
        event.time - RECOVERY_SECONDS, event.time
    )
    if job.cancelled and event.time > job.cancelled + CANCEL_SECONDS and is_undisturbed:
        violations.append(
            f"started {event.time - job.cancelled:.1f} s after cancel: {event}"
        )
    drained = observed.vm_fleet.drained.get(event.worker)
    if drained and event.time > drained + DRAIN_SECONDS and is_undisturbed:
        violations.append(f"started on a leaving worker: {event}")
    return violations


def _is_ready(
    job: caller.SubmittedJob, task: model.Task, done: set[model.Task]
) -> bool:
    return all(
        task._replace(step=step, index=index) in done
        for step in job.body["steps"][task.step].get("after", ())
        for index in range(job.body["steps"][step]["count"])
    )


def _check_lasting_availability(
    observed: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check that orders leave enough tasks of a lasting step running."""
    violations = []
    unavailable: dict[model.Task, tuple[float, str]] = {}
    for event in observed.vm_fleet.events:
        job = jobs[event.task.job]
        if not job.is_lasting:
            continue
        if event.kind == "start":
            unavailable.pop(event.task, None)
        elif (
            event.kind == "end"
            and unavailable.get(event.task, ("", ""))[1] != "ordered"
        ):
            unavailable[event.task] = (event.time, event.outcome)
        if event.kind != "ordered" or job.cancel_sent or _is_leaving(observed, event):
            continue
        unavailable[event.task] = (event.time, "ordered")
        other_count = sum(
            1
            for task, (since, cause) in unavailable.items()
            if task.job == job.id and task != event.task
            and (cause == "ordered" or event.time - since > NOTICE_SECONDS)
        )  # fmt: skip
        if other_count >= job.body["steps"][event.task.step]["may_miss"]:
            violations.append(f"ended with {other_count} others away: {event}")
    return violations


def _is_leaving(observed: Observations, event: siteworker.Event) -> bool:
    drained = observed.vm_fleet.drained.get(event.worker)
    return drained is not None and drained <= event.time


def _check_answers(
    observed: Observations, jobs: dict[str, caller.SubmittedJob]
) -> list[str]:
    """Check that accepted jobs stay known, and that refusals have a Retry-After."""
    violations = []
    for call in observed.calls:
        job = jobs[call.job]
        if call.status in (429, 503) and not call.has_retry_after:
            violations.append(f"refused without Retry-After: {call}")
        if call.method != "GET" or call.status != 410 or not job.accepted:
            continue
        is_undisturbed = not observed.is_disturbed(
            call.sent - RECOVERY_SECONDS, call.ended, call.daemon
        )
        if (
            call.sent > job.accepted + VISIBLE_SECONDS
            and not job.cancel_sent
            and is_undisturbed
        ):
            violations.append(f"accepted job isn't known: {call}")
    return violations


def _check_truncated_answers(observed: Observations) -> list[str]:
    """Check that an answer is only truncated by a fault of its daemon."""
    return [
        f"answer truncated: {call}"
        for call in observed.calls
        if call.error_name
        and call.error_name != "ReadTimeout"
        and not observed.is_disturbed(
            call.sent - RECOVERY_SECONDS, call.ended, call.daemon
        )
        and not _is_past_grace(observed, call)
    ]


def _is_past_grace(observed: Observations, call: caller.Call) -> bool:
    """Whether the daemon's process was killed after its termination grace."""
    return any(
        span.kind == "stop"
        and span.target == call.daemon
        and call.ended > span.begin + environment.TERMINATION_GRACE_SECONDS - 0.1
        and call.sent < span.begin + environment.TERMINATION_GRACE_SECONDS + 1
        for span in observed.spans
    )


def _check_orders(observed: Observations) -> list[str]:
    """Check the ceilings of waves, and that no fencing token has two holders."""
    violations = []
    holders: dict[tuple[str, int], str] = {}
    maintenance: list[vmfleet.Order] = []
    for order in observed.vm_fleet.orders:
        holder = holders.setdefault((order.vm, order.fence), order.holder)
        if holder != order.holder:
            violations.append(f"two holders of one fencing token: {order}, {holder}")
        if not order.wave:
            continue
        concurrent = [
            earlier
            for earlier in maintenance
            if earlier.wave == order.wave
            and order.time - earlier.time < vmfleet.REJOIN_SECONDS
        ]
        maintenance.append(order)
        if concurrent:
            violations.append(f"upkeep above the ceiling: {order} beside {concurrent}")
    return violations


def _check_finals(observed: Observations) -> list[str]:
    """Check the final state of every accepted job after all faults."""
    violations = []
    ends: dict[str, set[model.Task]] = {}
    failures: dict[model.Task, int] = {}
    for event in observed.vm_fleet.events:
        if event.kind == "end" and event.outcome == "done":
            ends.setdefault(event.task.job, set()).add(event.task)
        elif event.kind == "end" and event.outcome == "failed":
            failures[event.task] = failures.get(event.task, 0) + 1
    exhausted_jobs = {
        task.job
        for task, count in failures.items()
        if count >= environment.MAX_ATTEMPTS
    }
    for job in observed.jobs:
        if not job.accepted and not job.cancelled:
            continue
        name = f"{job.id} of {job.queue.name}"
        if job.cancelled:
            violations.extend(_check_cancelled(observed, job, name))
            continue
        if job.is_lasting:
            violations.extend(_check_lasting_running(observed, job, name))
        elif not job.final and observed.ended >= compute_deadline(observed, job):
            violations.append(f"accepted job never became final: {name}")
        if job.final == "completed" and len(ends.get(job.id, ())) < _count_tasks(job):
            violations.append(f"completed without all ends: {name}")
        has_cause = job.crashes_vms or job.id in exhausted_jobs
        if job.final == "failed" and not has_cause:
            violations.append(f"failed without a cause: {name}")
        if job.final == "cancelled" and not job.cancel_sent:
            violations.append(f"cancelled without being asked: {name}")
    return violations


def _count_tasks(job: caller.SubmittedJob) -> int:
    tasks = sum(step["count"] for step in job.body["steps"])
    return tasks * max(1, job.body.get("times", 0))


def _list_running(observed: Observations, job: caller.SubmittedJob) -> list[model.Task]:
    return [
        task
        for vm in observed.vm_fleet.vms.values()
        if vm.worker is not None
        for task in vm.worker.runs
        if task.job == job.id
    ]


def _check_cancelled(
    observed: Observations, job: caller.SubmittedJob, name: str
) -> list[str]:
    running = _list_running(observed, job)
    if running and observed.ended > (job.cancelled or 0.0) + CANCEL_SECONDS:
        return [f"cancelled job still runs: {name}: {running}"]
    return []


def _check_lasting_running(
    observed: Observations, job: caller.SubmittedJob, name: str
) -> list[str]:
    """Check that no task of a lasting job is unavailable for long at the end.

    A wave that is still in progress moves tasks, so that one may be unavailable
    briefly.
    """
    running = _list_running(observed, job)
    last_events = {
        event.task: event.time
        for event in observed.vm_fleet.events
        if event.task.job == job.id
    }
    return [
        f"lasting task {index} is away for {observed.ended - since:.1f} s: {name}"
        for index in range(job.body["steps"][0]["count"])
        if (task := model.Task(job.id, 0, 0, index)) not in running
        and (since := last_events.get(task, 0.0))
        < observed.ended - MAX_UNAVAILABLE_SECONDS
    ]


def _check_keys(observed: Observations) -> list[str]:
    """Check that keys are refused once they are revoked, and valid ones aren't."""
    if observed.teams is None:
        return []
    violations = []
    for call in observed.calls:
        revoked = observed.teams.revoked.get(call.key, math.inf)
        is_refused = call.status in (0, 401, 503)
        if team.find_owner(call.key) is None:
            if not is_refused:
                violations.append(f"key that never was valid not refused: {call}")
        elif call.sent > revoked + team.REVOKE_SECONDS and not is_refused:
            violations.append(
                f"key not refused {call.sent - revoked:.1f} s after revocation: {call}"
            )
        elif call.status == 401 and call.ended < revoked:
            violations.append(f"valid key refused: {call}")
    return violations


def _check_ceilings(
    observed: Observations,
    jobs: dict[str, caller.SubmittedJob],
    get_size: Callable[[model.Task], int],
) -> list[str]:
    """Check that no start exceeds all that its team's ceiling was of late.

    Runs that were started before a ceiling was lowered may go on above it.
    """
    if observed.teams is None:
        return []
    violations = []
    used: collections.Counter[str] = collections.Counter()
    for event in observed.vm_fleet.events:
        owner, size = jobs[event.task.job].team, get_size(event.task)
        if event.kind == "end":
            used[owner] -= size
        if event.kind != "start":
            continue
        used[owner] += size
        ceiling = observed.teams.compute_ceiling(
            owner, event.time - team.APPLY_SECONDS, event.time
        )
        if ceiling is not None and used[owner] > ceiling:
            violations.append(
                f"{owner} runs {used[owner]} above its ceiling {ceiling}: {event}"
            )
    return violations
