"""Sort inputs of the open jobs: their work, remaining time and queues' mean work.

They follow the estimated run times and the progress of live runs. The key that is
computed from them is in `priority`. No I/O and no clock.
"""

from collections.abc import Mapping

from wigeonhitch.jobs import model, progress
from wigeonhitch.pool import estimate, priority, vm

__all__ = ["JobUrgency"]


class JobUrgency:
    """Sort inputs of a pool's open jobs, and the mean work of its queues.

    Parameters
    ----------
    live : mapping
        The live run of each task; its owner keeps it up to date.
    queues : mapping
        The queues of the configuration in force, by name; likewise.
    estimates : estimate.RunTimeEstimates
        Run times of the steps of the open jobs.
    """

    def __init__(
        self,
        live: Mapping[model.Task, vm.Run],
        queues: Mapping[str, model.Queue],
        estimates: estimate.RunTimeEstimates,
    ) -> None:
        self._live = live
        self._queues = queues
        self._estimates = estimates
        self._mean_work: dict[str, tuple[float, int]] = {}
        self._counted_work: dict[str, float] = {}
        """Core-seconds of each open job as counted in the mean of its queue."""
        self._spans: dict[str, tuple[float, ...]] = {}
        """Estimated seconds of each step of the open jobs, as last computed."""

    def add_job(self, job: model.Job) -> None:
        """Count the work of a new job, as submitted, in the mean of its queue."""
        self._count_work(job, job.compute_work())

    def forget_job(self, job: model.Job) -> None:
        """Drop a job; its work stays in the mean of its queue, as last estimated."""
        estimates = self._estimates.compute_estimates(job)
        self._count_work(job, job.compute_work(estimates))
        del self._counted_work[job.id]
        self._spans.pop(job.id, None)

    def get_mean_work(self, queue: str) -> float:
        """Return the mean core-seconds of the queue's jobs seen so far.

        It follows the estimates, as the work of each job does. Otherwise a queue whose
        estimates are all a tenth of the run times would count each job that has shown
        its run time as ten times its mean, thus up to four times too valuable.
        """
        total, count = self._mean_work.get(queue, (0.0, 0))
        return total / count if count else 0.0

    def get_sort_inputs(
        self, state: progress.Progress, now: float
    ) -> priority.SortInputs:
        """Return the inputs of a job's sort key.

        If its queue was removed, the terms of its submission are used.
        """
        queue = self._queues.get(state.job.queue)
        estimates = self._estimates.compute_estimates(state.job)
        spans = self._estimates.compute_spans(state.job, estimates)
        self._spans[state.job.id] = spans
        inputs = priority.compute_sort_inputs(
            state,
            queue or state.job.terms,
            estimates,
            spans,
            [
                self._compute_step_remaining(state, number, span, now)
                for number, span in enumerate(spans)
            ],
        )
        self._count_work(state.job, inputs.work)
        return inputs

    def compute_remaining(self, run: vm.Run, now: float) -> float:
        """Return the seconds until a run of a batch task ends by itself."""
        spans = self._spans.get(run.task.job)
        span = spans[run.task.step] if spans else run.step.estimate
        return estimate.compute_remaining(run, span, now)

    def _compute_step_remaining(
        self, state: progress.Progress, number: int, span: float, now: float
    ) -> float:
        """Return the seconds until a step is done if all its tasks run by now."""
        step = state.job.steps[number]
        if step.lasting or state.job.times or not state.is_step_ready(0, number):
            return span
        done = state.done.get((0, number), ())
        remaining = 0.0
        for index in range(step.count):
            if index in done:
                continue
            run = self._live.get(model.Task(state.job.id, 0, number, index))
            if run is None:
                return span
            remaining = max(remaining, self.compute_remaining(run, now))
        return remaining

    def _count_work(self, job: model.Job, work: float) -> None:
        """Count a job's work in the mean of its queue, instead of its earlier work."""
        total, count = self._mean_work.get(job.queue, (0.0, 0))
        earlier = self._counted_work.get(job.id)
        if earlier == work:
            return
        self._counted_work[job.id] = work
        self._mean_work[job.queue] = (
            total + work - (earlier or 0.0),
            count + (earlier is None),
        )
