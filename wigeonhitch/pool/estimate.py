"""Run times of tasks, learned from the progress and the ends of runs.

Submitted estimates are off by up to nine tenths in some queues. Whether a job can be on
time and its place in the order therefore follow the run times that its tasks have
shown. They are kept in the memory of the pool's leader only; a successor learns them
again from the runs that it adopts.

All times of a run are those of its worker's clock, since this daemon or the link may
have been slow.
"""

import collections
import statistics
from collections.abc import Iterable, Sequence

from wigeonhitch.jobs import model
from wigeonhitch.pool import vm

__all__ = ["RunTimeEstimates", "compute_remaining"]

MIN_PROGRESS_PERCENT = 10
"""Progress from which a running task shows its run time: progress is listed in whole
percents, so that the error is below a tenth."""

MIN_AGE_SECONDS = 0.2
"""Age from which a running task shows its run time: the time of its start is known to
some milliseconds, on a slow link to some tens of them."""

MIN_OBSERVATIONS = 3
"""Observations below which the submitted estimate counts as one more."""

MAX_OBSERVATIONS = 25
"""Observed tasks that are kept for each step, the last ones: more don't change the
median much, and it is computed up to a hundred times a second."""

MAX_CORRECTION_FACTOR = 10.0
"""Bound of the correction in both directions: estimates are off by up to nine
tenths."""

MAX_SPREAD_FACTOR = 10.0
"""Bound of the longest run time of a step, as a multiple of its estimate. Most tasks of
one step differ by some 30%, a few take seven times as long; a run that stands still, or
a worker's clock that jumps, shows any time."""

MIN_STEPS = 5
"""Complete steps of a queue below which nothing is concluded from them for others."""

MAX_STEPS = 50
"""Complete steps of a queue, the last ones, from which is concluded."""


class _CompleteSteps:
    """What complete steps of one queue have shown."""

    def __init__(self) -> None:
        self.corrections: collections.deque[float] = collections.deque(maxlen=MAX_STEPS)
        """Median run time of each step's tasks, as a multiple of the submitted one."""
        self.spreads: collections.deque[float] = collections.deque(maxlen=MAX_STEPS)
        """Longest run time of each step's tasks, as a multiple of the median."""

    def compute_correction(self) -> float:
        """Return the factor by which submitted run times are off."""
        return _compute_median(self.corrections)

    def compute_spread(self) -> float:
        """Return the factor by which the longest task of a step exceeds the median."""
        return _compute_median(self.spreads)


class RunTimeEstimates:
    """Estimated run times of the tasks of each step of the open jobs."""

    def __init__(self) -> None:
        self._complete: dict[str, _CompleteSteps] = {}
        """Complete steps by queue."""
        self._counted: set[tuple[str, int]] = set()
        """Steps of open jobs, by job and number, that are counted as complete."""
        self._observed: dict[str, dict[int, dict[model.Task, float]]] = {}
        """Observed seconds of tasks by job and step, the last observation last."""
        self._progressed: set[str] = set()

    def on_run_listed(self, run: vm.Run, now: float) -> None:
        """Record the progress of a running task that its worker has listed.

        Parameters
        ----------
        run : vm.Run
            A run of an open job, with the listed progress.
        now : float
            This daemon's time.
        """
        if not self._is_observable(run, now):
            self.on_run_removed(run)
            return
        if run.state is not vm.RunState.RUNNING:
            return
        seconds = _project(run, run.work)
        if seconds is not None:
            self._record(run.task, seconds)

    def on_run_done(self, run: vm.Run, now: float) -> None:
        """Record the run time of a task whose end was listed, at this daemon's time."""
        if not self._is_observable(run, now):
            return
        seconds = run.vm.reported_clock - run.started_clock
        if run.started_work > 0:
            projected = _project(run, 100.0)
            if projected is None:
                return
            seconds = projected
        if run.started_clock > 0 and seconds > 0:
            self._record(run.task, seconds)

    def on_step_done(self, job: model.Job, number: int) -> None:
        """Conclude from a step whose tasks are all done for others of its queue."""
        step = job.steps[number]
        observed = self._observed.get(job.id, {}).get(number, {})
        if (
            len(observed) < MIN_OBSERVATIONS
            or step.estimate <= 0
            or (job.id, number) in self._counted
        ):
            return
        self._counted.add((job.id, number))
        median = statistics.median(observed.values())
        complete = self._complete.setdefault(job.queue, _CompleteSteps())
        complete.corrections.append(_limit(median / step.estimate))
        spread = max(observed.values()) / median
        complete.spreads.append(min(MAX_SPREAD_FACTOR, spread))

    def on_run_removed(self, run: vm.Run) -> None:
        """Drop what a run has shown while it was running."""
        steps = self._observed.get(run.task.job)
        if steps is None or run.task not in steps.get(run.task.step, ()):
            return
        del steps[run.task.step][run.task]
        self._progressed.add(run.task.job)

    def compute_estimates(self, job: model.Job) -> tuple[float, ...]:
        """Return the estimated run time in seconds of a task of each step of a job."""
        steps = self._observed.get(job.id, {})
        learned = {
            number: _compute_estimate(job.steps[number].estimate, observed.values())
            for number, observed in steps.items()
            if observed and job.steps[number].estimate > 0
        }
        complete = self._complete.get(job.queue)
        if learned:
            ratio = statistics.fmean(
                seconds / job.steps[number].estimate
                for number, seconds in learned.items()
            )
        elif complete is not None:
            ratio = complete.compute_correction()
        else:
            return job.estimates
        return tuple(
            step.estimate
            if step.lasting
            else learned.get(number, step.estimate * ratio)
            for number, step in enumerate(job.steps)
        )

    def compute_spans(
        self, job: model.Job, estimates: Sequence[float] | None = None
    ) -> tuple[float, ...]:
        """Return the estimated seconds of each step if its tasks run in parallel.

        A step takes as long as its longest task. With eight tasks that differ by 30%,
        that is some 1.4 times the median. ``estimates`` are those of
        `compute_estimates`, if they are known.
        """
        if estimates is None:
            estimates = self.compute_estimates(job)
        complete = self._complete.get(job.queue)
        spread = complete.compute_spread() if complete is not None else 1.0
        steps = self._observed.get(job.id, {})
        return tuple(
            self._compute_span(step, seconds, steps.get(number, {}).values(), spread)
            for number, (step, seconds) in enumerate(
                zip(job.steps, estimates, strict=True)
            )
        )

    def _compute_span(
        self,
        step: model.Step,
        seconds: float,
        observed: Iterable[float],
        spread: float,
    ) -> float:
        if step.lasting or step.count == 1:
            return seconds
        values = list(observed)
        longest = max(values, default=0.0)
        if seconds > 0:
            longest = min(longest, seconds * MAX_SPREAD_FACTOR)
        if len(values) >= step.count:
            return longest
        return max(longest, seconds * spread)

    def pop_progressed_jobs(self) -> set[str]:
        """Return the jobs whose observations have changed since the last call."""
        progressed, self._progressed = self._progressed, set()
        return progressed

    def forget_job(self, id: str) -> None:
        """Drop the observations of a job."""
        steps = self._observed.pop(id, {})
        self._progressed.discard(id)
        self._counted.difference_update((id, number) for number in steps)

    def _is_observable(self, run: vm.Run, now: float) -> bool:
        """Return whether a run shows the run time of its step's tasks.

        A run that was slowed down at one time doesn't show it afterwards either.
        """
        step = run.step
        if step.lasting or step.fills or step.gang:
            return False
        if run.pace < 100 or run.vm.is_quarantined(now):
            run.shows_run_time = False
        return run.shows_run_time

    def _record(self, task: model.Task, seconds: float) -> None:
        steps = self._observed.setdefault(task.job, {})
        observed = steps.setdefault(task.step, {})
        observed.pop(task, None)
        if len(observed) >= MAX_OBSERVATIONS:
            del observed[next(iter(observed))]
        observed[task] = seconds
        self._progressed.add(task.job)


def compute_remaining(run: vm.Run, span: float, now: float) -> float:
    """Return the seconds until a run ends, by its progress.

    Parameters
    ----------
    run : vm.Run
        A run of a batch task.
    span : float
        Estimated seconds of the longest task of its step.
    now : float
        This daemon's time.
    """
    since_list = max(0.0, now - run.listed_at)
    return max(0.0, span * (1 - run.work / 100) - since_list)


def _project(run: vm.Run, work: float) -> float | None:
    """Return the seconds of a whole run, or None if too little of it was seen."""
    progress = work - run.started_work
    age = run.vm.reported_clock - run.started_clock
    if progress < MIN_PROGRESS_PERCENT or age < MIN_AGE_SECONDS:
        return None
    return 100 * age / progress


def _compute_estimate(submitted: float, observed: Iterable[float]) -> float:
    values = list(observed)
    if len(values) < MIN_OBSERVATIONS:
        values.append(submitted)
    return submitted * _limit(statistics.median(values) / submitted)


def _compute_median(ratios: collections.deque[float]) -> float:
    return statistics.median(ratios) if len(ratios) >= MIN_STEPS else 1.0


def _limit(ratio: float) -> float:
    return min(MAX_CORRECTION_FACTOR, max(1 / MAX_CORRECTION_FACTOR, ratio))
