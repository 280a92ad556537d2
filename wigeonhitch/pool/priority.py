"""Who goes first when a pool can't serve all at once.

The load: each queue in its turn asks five times its mean, more than its pool
holds, for some seconds. First come, first served then makes nearly all jobs
late. Going by least core-seconds for what a job is worth, and leaving out what
can't be in time any more, brought 0.14 of the worth in time against 0.04 for
first come, first served and 0.05 for earliest due first, with pools as given
(a paper model of a calm day; with pools that follow demand 0.62, 0.27, 0.31).
"""

from typing import NamedTuple

from wigeonhitch.jobs import model, progress

__all__ = [
    "SortInputs",
    "SortKey",
    "compute_due",
    "compute_sort_inputs",
    "compute_sort_key",
    "compute_value",
]

BASE_VALUE = 0.3
"""Part of a job's worth that doesn't depend on its size (users' rules)."""

MAX_LATENESS = 3.0
"""A job is worth nothing after this many times its objective (users' rules)."""

MAX_JOB_VALUE = 4.0
"""A job is worth at most this many times its kind's mean (users' rules)."""

LASTING, IN_TIME, LATE, EXPIRED = 0, 1, 2, 3


class SortKey(NamedTuple):
    """Sorts jobs: lasting ones, those that can be in time, late ones, others."""

    group: int
    priority: int
    cost: float
    """Core-seconds for one unit of worth."""
    accepted: float


class SortInputs(NamedTuple):
    """What the key of a job is made of.

    ``due`` and ``last`` are the times, since 1970, up to which it is in time
    and worth anything; work is in core-seconds, ``critical_path_left`` in seconds.
    """

    is_lasting: bool
    priority: int
    accepted: float
    due: float
    expiry: float
    work: float
    work_left: float
    critical_path_left: float


def compute_value(work: float, mean_work: float) -> float:
    """Return what a job is worth, in units of its kind's mean."""
    if mean_work <= 0:
        return 1.0
    share = work / mean_work
    return min(MAX_JOB_VALUE, BASE_VALUE + (1 - BASE_VALUE) * share)


def compute_due(
    job: model.Job, terms: model.Queue | model.Terms, accepted: float
) -> float:
    """Return when the job should be done, seconds since 1970."""
    return accepted + terms.stretch * job.compute_critical_path() + terms.objective


def compute_sort_inputs(
    state: progress.Progress, terms: model.Queue | model.Terms
) -> SortInputs:
    """Return what the key of a job is made of; it holds until the job changes."""
    job = state.job
    accepted = max(job.first_due, state.accepted) if job.times else state.accepted
    due = compute_due(job, terms, accepted)
    return SortInputs(
        job.is_lasting,
        terms.priority,
        accepted,
        due,
        accepted + MAX_LATENESS * (due - accepted),
        job.compute_work(),
        _compute_work_left(state),
        _compute_critical_path_left(state),
    )


def compute_sort_key(inputs: SortInputs, wall_time: float, mean_work: float) -> SortKey:
    """Return the sort key of a job at a time of day."""
    if inputs.is_lasting:
        return SortKey(LASTING, inputs.priority, 0.0, inputs.accepted)
    cost = inputs.work_left / compute_value(inputs.work, mean_work)
    end = wall_time + inputs.critical_path_left
    group = EXPIRED
    if end <= inputs.due:
        group = IN_TIME
    elif end <= inputs.expiry:
        group = LATE
    return SortKey(group, inputs.priority, cost, inputs.accepted)


def _compute_work_left(state: progress.Progress) -> float:
    left = 0.0
    for number, step in enumerate(state.job.steps):
        done = len(state.done.get((0, number), ()))
        left += (step.count - done) * step.estimate * step.room.cpu / 1000
    return left


def _compute_critical_path_left(state: progress.Progress) -> float:
    ends: list[float] = []
    for number, step in enumerate(state.job.steps):
        before = max((ends[one] for one in step.after), default=0.0)
        left = 0.0 if state.is_step_done(0, number) else step.estimate
        ends.append(before + left)
    return max(ends, default=0.0)
