"""Histories of callers that leave before their submission is answered, and cancel.

Beside the jobs of `history`, each of some callers leaves its submission, cancels the
job at any daemon until that is acknowledged, and asks for its state. Attempts of the
submission are delivered after that too: by the daemon that repeats its write, by a
store that applies one late, and by a repeated request that was on its way. Half of the
callers submit and cancel the job a second time, about when its rows are removed.
"""

import random
from typing import Any

from wigeonhitch.jobs import model, record
from wigeonhitch.leadership.tests import simulation
from wigeonhitch.platform import rows
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import message
from wigeonhitch.site.tests import history

LEAVING_CALLERS = 12

PATIENCE_SECONDS = (0.02, 3.0)
"""Range of the time after which such a caller leaves."""

RETRY_SECONDS = (0.1, 0.6)
"""Range of the time between its attempts to cancel."""

MAX_STRAY_SECONDS = 4.0
"""Maximum time by which a repeated submission arrives after the caller has left."""

SECOND_SECONDS = (0.5 * history.RETENTION_SECONDS, 1.1 * history.RETENTION_SECONDS)
"""Range of the time between an acknowledged cancellation and the second submission."""

ACKNOWLEDGED = (message.Verdict.ACCEPTED, message.Verdict.MISSING)


class LeavingJob(history.Job):
    """A job whose caller leaves before it is answered."""

    told: message.Verdict | None = None
    """Answer that has acknowledged the last cancellation."""

    is_second: bool = False
    """Whether it was submitted a second time."""


class World(history.World):
    """Callers that wait for their answers, and others that leave and cancel."""

    def __init__(self, seed: int, disabled: str = "") -> None:
        super().__init__(seed, disabled=disabled)
        self.leaving = [LeavingJob(f"l{number}") for number in range(LEAVING_CALLERS)]
        self.jobs.update({job.id: job for job in self.leaving})
        self._leaving_rng = random.Random(seed)
        self._removed_ids: set[str] = set()

    def _start_caller(self, job: history.Job) -> Any:
        if not isinstance(job, LeavingJob):
            return super()._start_caller(job)

        def start_caller() -> None:
            rng = self._leaving_rng
            patience = rng.uniform(*PATIENCE_SECONDS)
            self._call(self._submit_once, job)
            self.call_later(patience, lambda: self._call(self._withdraw, job))
            if rng.random() < 0.5:
                delay = patience + rng.uniform(0.0, MAX_STRAY_SECONDS)
                self.call_later(delay, lambda: self._call(self._submit_once, job))

        return start_caller

    async def _submit_once(
        self, daemon: history.DaemonIncarnation, job: LeavingJob
    ) -> None:
        if (queue := find_queue(daemon)) is None:
            return
        job.attempts += 1
        submitted = model.Job(job.id, queue.name, "", history.STEPS)
        verdict = (await daemon.handler.submit(queue, submitted)).verdict
        job.verdicts.append(verdict)
        # A second submission may find the row of the first one, which is removed later.
        if verdict is message.Verdict.ACCEPTED and not job.is_second:
            job.is_accepted = True
        self._check_agreement(job)

    async def _withdraw(
        self, daemon: history.DaemonIncarnation, job: LeavingJob
    ) -> None:
        job.is_cancelled = True
        retry_in = self._leaving_rng.uniform(*RETRY_SECONDS)
        self.call_later(retry_in, lambda: self._repeat_unless_told(job))
        if (queue := find_queue(daemon)) is None:
            return
        verdict = (await daemon.handler.cancel(queue, job.id)).verdict
        if verdict not in ACKNOWLEDGED or job.told is not None:
            return
        job.told = verdict
        self._check_agreement(job)
        for row in self.store.rows.values():
            self._check_row(row)
        for _ in range(3):
            delay = self._leaving_rng.uniform(0.0, 10.0)
            self.call_later(delay, lambda: self._call(self._show_cancelled, job))
        if self._leaving_rng.random() < 0.5 and not job.is_second:
            delay = self._leaving_rng.uniform(*SECOND_SECONDS)
            self.call_later(delay, lambda: self._start_again(job))

    def _start_again(self, job: LeavingJob) -> None:
        if not self._has_faults:
            return
        job.is_second = True
        job.told, job.is_accepted = None, False
        patience = self._leaving_rng.uniform(*PATIENCE_SECONDS)
        self._call(self._submit_once, job)
        self.call_later(patience, lambda: self._call(self._withdraw, job))

    def _repeat_unless_told(self, job: LeavingJob) -> None:
        if job.told is None:
            self._call(self._withdraw, job)

    async def _show_cancelled(
        self, daemon: history.DaemonIncarnation, job: LeavingJob
    ) -> None:
        if (queue := find_queue(daemon)) is None:
            return
        answer = await daemon.handler.show(queue, job.id)
        if job.told is message.Verdict.MISSING and answer.state is not None:
            self._report(f"{job.id} is shown as {answer.state}, told to be missing")
        if answer.state in (model.JobState.QUEUED, model.JobState.RUNNING):
            self._report(f"{job.id} is shown as {answer.state} after its cancellation")

    # -- checks

    def on_commit(self, process: Any, call: simulation.Call) -> None:
        """Check the rows of jobs whose cancellation was acknowledged."""
        written = [
            row for row in self.store.changes if row.version == self.store.version
        ]
        for row in written:
            self._check_row(row)
            if row.table == pool_record.HOLDER_TABLE:
                self._take_holder(row)
        if not any(is_withdrawn(row) for row in written):
            super().on_commit(process, call)

    def _take_holder(self, row: rows.Row) -> None:
        """Forget the pools of a job whose rows were removed, once it is there again."""
        if row.value is None:
            self._removed_ids.add(row.key)
        elif row.key in self._removed_ids:
            self._removed_ids.discard(row.key)
            self.jobs[row.key].pools.clear()

    def _check_row(self, row: rows.Row) -> None:
        job = self.jobs.get(row.key)
        if not isinstance(job, LeavingJob) or job.told is None:
            return
        if row.value is None or not history.find_pool(row):
            return
        content = record.read_job(row.key, row.value)
        if content.job is not None and not content.cancelled:
            self._report(f"{job.id} is open after its cancellation was acknowledged")

    def _check_agreement(self, job: LeavingJob) -> None:
        if job.is_accepted and job.told is message.Verdict.MISSING:
            self._report(f"{job.id} was told to be accepted and to be missing")

    def _check_all_found(self) -> None:
        super()._check_all_found()
        if find_queue(self._daemons[0]) is None:
            return  # the newest configuration has dropped the queue
        for job in self.leaving:
            if job.told is None:
                self._report(f"{job.id}: its cancellation was never acknowledged")


def find_queue(daemon: history.DaemonIncarnation) -> model.Queue | None:
    """Return the queue as a daemon knows it, None if it was dropped."""
    queue = daemon.handler.find_queue("h", "/q/")
    return None if isinstance(queue, message.Answer) else queue


def is_withdrawn(row: rows.Row) -> bool:
    """Return whether a row is that of a withdrawn job."""
    if row.value is None:
        return False
    if history.find_pool(row):
        return record.read_job(row.key, row.value).is_withdrawn
    is_holder = row.table == pool_record.HOLDER_TABLE
    return is_holder and pool_record.read_holder(row.value).is_withdrawn
