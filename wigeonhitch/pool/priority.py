"""Order of the jobs of a pool that can't run all of them at once.

Each queue has bursts of some seconds with five times its mean load, more than its
pool holds, in which first come, first served and earliest deadline first make nearly
all jobs late. Jobs are therefore ordered by core-seconds per unit of value, and those
that can't be on time any more come later.
"""

from collections.abc import Sequence
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
"""Part of a job's value that doesn't depend on its size (platform's rules)."""

MAX_LATENESS = 3.0
"""Multiple of its objective after which a job has no value (platform's rules)."""

MAX_JOB_VALUE = 4.0
"""Largest value of a job, as a multiple of its queue's mean (platform's rules)."""

LASTING, ON_TIME, LATE, EXPIRED = 0, 1, 2, 3


class SortKey(NamedTuple):
    """Sort key: lasting jobs first, then jobs on time, late jobs and expired jobs."""

    group: int
    priority: int
    bucket: int
    """Bucket of the job's finish tag among the teams; see `fairness`."""
    cost: float
    """Core-seconds per unit of value."""
    accepted: float


class SortInputs(NamedTuple):
    """Inputs of a job's sort key.

    ``due`` and ``expiry`` are the Unix times until which the job is on time and has
    any value. Work is in core-seconds, ``critical_path_left`` in seconds. All of them
    follow the run times that tasks of the job have shown; see `estimate`.
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
    """Return a job's value, relative to the mean of its queue."""
    if mean_work <= 0:
        return 1.0
    relative_work = work / mean_work
    return min(MAX_JOB_VALUE, BASE_VALUE + (1 - BASE_VALUE) * relative_work)


def compute_due(
    job: model.Job,
    terms: model.Queue | model.Terms,
    accepted: float,
    spans: Sequence[float],
) -> float:
    """Return the Unix time at which the job is due.

    The platform judges by the real run times of the longest tasks, also of those steps
    that are done. ``spans`` are the estimated seconds of each step.
    """
    critical_path = job.compute_critical_path(spans)
    return accepted + terms.stretch * critical_path + terms.objective


def compute_sort_inputs(
    state: progress.Progress,
    terms: model.Queue | model.Terms,
    estimates: Sequence[float],
    spans: Sequence[float] | None = None,
    remaining: Sequence[float] | None = None,
) -> SortInputs:
    """Return the inputs of a job's sort key.

    They hold until the job or the estimated run times of its steps change.

    Parameters
    ----------
    state : progress.Progress
        The job and its progress.
    terms : model.Queue or model.Terms
        Its queue, or the terms of its submission.
    estimates : sequence of float
        Run time of a task of each step, in seconds.
    spans : sequence of float, optional
        Run time of the longest task of each step, in seconds.
    remaining : sequence of float, optional
        Seconds until each step would be done if its other tasks were started now.
    """
    spans = estimates if spans is None else spans
    remaining = spans if remaining is None else remaining
    job = state.job
    accepted = max(job.first_due, state.accepted) if job.times else state.accepted
    due = compute_due(job, terms, accepted, spans)
    return SortInputs(
        job.is_lasting,
        terms.priority,
        accepted,
        due,
        accepted + MAX_LATENESS * (due - accepted),
        job.compute_work(estimates),
        _compute_work_left(state, estimates),
        _compute_critical_path_left(state, remaining),
    )


def compute_sort_key(inputs: SortInputs, wall_time: float, mean_work: float) -> SortKey:
    """Return the sort key of a job at a Unix time, in the first bucket."""
    if inputs.is_lasting:
        return SortKey(LASTING, inputs.priority, 0, 0.0, inputs.accepted)
    cost = inputs.work_left / compute_value(inputs.work, mean_work)
    end = wall_time + inputs.critical_path_left
    group = EXPIRED
    if end <= inputs.due:
        group = ON_TIME
    elif end <= inputs.expiry:
        group = LATE
    return SortKey(group, inputs.priority, 0, cost, inputs.accepted)


def _compute_work_left(state: progress.Progress, estimates: Sequence[float]) -> float:
    left = 0.0
    for number, step in enumerate(state.job.steps):
        done = len(state.done.get((0, number), ()))
        left += (step.count - done) * estimates[number] * step.room.cpu / 1000
    return left


def _compute_critical_path_left(
    state: progress.Progress, remaining: Sequence[float]
) -> float:
    ends: list[float] = []
    for number, step in enumerate(state.job.steps):
        start = max((ends[earlier] for earlier in step.after), default=0.0)
        left = 0.0 if state.is_step_done(0, number) else remaining[number]
        ends.append(start + left)
    return max(ends, default=0.0)
