"""The leader's view of one VM and of the runs on it.

A worker's clock is known within bounds from its answers. All runs on a worker end
when its clock passes the highest deadline that it was given, so that a VM that
doesn't answer is known to be empty once that has certainly happened.
"""

import enum
import math
from collections.abc import Iterable

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, workers

__all__ = ["MAX_CLOCK_DRIFT", "Run", "RunState", "Vm", "VmEnd"]

MAX_CLOCK_DRIFT = 0.02
"""Fraction by which a worker's clock may be slow (platform's rules)."""

STALE_AFTER_SECONDS = 2.0
"""Seconds without an answer after which no task is started on a VM: a hold of an idle
VM waits 1.2 s, and its answer may be delayed."""

QUARANTINE_SECONDS = 4.0
"""Seconds of a VM's first quarantine: VMs stay degraded for 4 to 7 s."""

MAX_QUARANTINE_SECONDS = 30.0
"""Longest quarantine in seconds, reached by doubling."""

MAX_CONSECUTIVE_FAILURES = 2
"""Consecutive failed runs that a VM may have: 0.2 to 3 of 100 runs fail because of
their task, so three failures in a row are due to the VM."""


RATE_WINDOW_SECONDS = 0.7
"""Seconds over which a run's rate is measured, in percent per second: slightly longer
than a hold, so that a slow VM shows in the next measurement."""

MAX_DEGRADED_RUNS = 1
"""Runs that may be stuck or slow within `DEGRADED_WINDOW_SECONDS`: a degraded VM
affects all its runs, an unusual job only one."""

DEGRADED_WINDOW_SECONDS = 3.0

MAX_SLOW_JOBS = 1
"""Jobs whose runs may be slow on a VM within `DEGRADED_WINDOW_SECONDS` if no other VM
runs the same step: the estimates of two jobs are rarely both that far off."""


class RunState(enum.Enum):
    """Known state of a run."""

    STARTING = "starting"
    """Ordered; the answer is pending."""
    UNKNOWN = "unknown"
    """The answer was lost: it may be running, or may start until its deadline."""
    RUNNING = "running"
    STOPPING = "stopping"


class VmEnd(enum.Enum):
    """How the leader learned that an incarnation of a VM has ended."""

    ORDERED = "ended by a move or maintenance"
    LOST = "listed as down or with another incarnation"
    REPLACED = "another incarnation of the VM answered"
    EXPIRED = "entry removed and leases lapsed"


MAX_FIRST_CLOCK_SECONDS = 0.1
"""Most that a worker's clock may show as the worker starts."""

ACKNOWLEDGE_WITHIN_SECONDS = 1.0
"""Seconds after an answer within which a renewal may acknowledge ends: afterwards the
next incarnation of the worker may have ended a run by the time it receives it."""

MAX_ANSWER_AGE_SECONDS = 2.0
"""The same since the sending of the call, as the answer of a worker that has ended may
have waited: a renewal waits up to 1.2 s, and is answered within 0.5 s."""

CLOCK_ROUNDING_SECONDS = 0.01
"""Seconds by which the times in two answers of a worker may be off by rounding."""

MAX_CLOCK_LEAD_SECONDS = 1.0
"""Time by which a worker's clock may be ahead of the last one that was received."""


class Run:
    """One start of a task on a VM.

    ``deadline`` is the worker's time after which it refuses the start, ``started_at``
    this daemon's time of the answer to the start, and ``last_progress_clock`` the
    worker's time of the last progress. ``work`` is the progress in percent;
    ``rate_start_clock`` and ``rate_start_work`` begin the current measurement of
    ``rate``.
    """

    __slots__ = (
        "adopted",
        "transferred_from",
        "confirmed_from",
        "deadline",
        "flight_ends_at",
        "is_confirmed",
        "is_degraded",
        "is_past_deadline",
        "last_progress_clock",
        "listed_at",
        "listed_clock",
        "load",
        "number",
        "pace",
        "rate",
        "rate_start_clock",
        "rate_start_work",
        "room",
        "shows_run_time",
        "started_at",
        "started_clock",
        "started_work",
        "state",
        "step",
        "stop_sent_at",
        "task",
        "team",
        "vm",
        "work",
    )

    def __init__(
        self, task: model.Task, number: int, vm: "Vm", step: model.Step, now: float
    ) -> None:
        self.task = task
        self.team = ""
        """Team whose ceiling counts it."""
        self.number = number
        self.vm = vm
        self.step = step
        self.room = step.reserved
        self.state = RunState.STARTING
        self.deadline = 0.0
        self.flight_ends_at = math.inf
        """This daemon's time from which no incarnation of the worker executes the start
        any more, infinite while the start is unanswered."""
        self.is_past_deadline = False
        """Whether a list after the deadline lacks it: only the next incarnation of the
        VM may execute the start."""
        self.started_at = now
        self.listed_at = now
        """This daemon's time of the last answer that lists it."""
        self.started_clock = 0.0
        """The worker's time of the answer that confirmed the start."""
        self.started_work = 0.0
        """Progress in percent at ``started_clock``."""
        self.shows_run_time = True
        """Whether its progress may show the run time of its step's tasks."""
        self.listed_clock = 0.0
        """The worker's time of the last answer that lists it, 0 if there is none."""
        self.last_progress_clock = 0.0
        self.work = 0.0
        self.load = 0.0
        self.pace = 100
        self.rate: float | None = None
        self.rate_start_clock = 0.0
        self.rate_start_work = 0.0
        self.stop_sent_at = 0.0
        self.adopted = False
        self.is_degraded = False
        self.confirmed_from = 0.0
        """This daemon's time from which a listing shows that the run isn't being
        stopped by an earlier leader."""
        self.is_confirmed = False
        """Whether this incarnation is known to have executed the start."""
        self.transferred_from = ""
        """Ended incarnation of the VM that the start was sent to, until this one lists
        the run; empty for other runs."""

    def record_work(self, work: float, clock: float) -> None:
        """Record the progress at a worker's time and update the rate."""
        if work != self.work:
            self.last_progress_clock = clock
        self.work = work
        passed = clock - self.rate_start_clock
        if passed >= RATE_WINDOW_SECONDS:
            self.rate = (work - self.rate_start_work) / passed
            self.rate_start_clock, self.rate_start_work = clock, work

    @property
    def may_reach_next_incarnation(self) -> bool:
        """Whether the next incarnation of the worker may execute the start."""
        is_sent = self.deadline > 0 or self.state is not RunState.STARTING
        return is_sent and not (self.is_confirmed or self.listed_clock)

    def transfer_to(self, successor: "Vm") -> None:
        """Move the run to the next incarnation of its worker, where it may be running.

        An answered start took place before now. One without an answer may take place
        later, as its deadline is far off on the new clock.
        """
        is_answered = self.state in (RunState.RUNNING, RunState.STOPPING)
        self.deadline = 0.0 if is_answered else math.inf
        self.is_past_deadline = False
        self.transferred_from = self.transferred_from or self.vm.id
        self.state = RunState.UNKNOWN
        self.vm.runs.pop(self.task, None)
        self.vm = successor
        successor.runs[self.task] = self

    @property
    def is_at_work(self) -> bool:
        """Whether a lasting task is known to be fully available."""
        is_running = self.state is RunState.RUNNING and not self.vm.is_silent
        is_confirmed = self.vm.last_answer >= self.confirmed_from
        return is_running and is_confirmed and self.work >= 100


class Vm:
    """State of one incarnation of a VM, as known to the leader.

    Parameters
    ----------
    entry : entries.WorkerEntry
        The worker's registration.
    now : float
        This daemon's time at which the entry was read.
    """

    def __init__(self, entry: entries.WorkerEntry, now: float) -> None:
        self.entry = entry
        self.id = entry.incarnation
        """Name of this incarnation of the VM; several may share the worker's id."""
        self.follows_ms = 0
        """Start of the incarnation before, for a placeholder; see `transfer`."""
        self.expires_at = 0.0
        """This daemon's time at which a placeholder is dropped."""
        self.opens_at = 0.0
        """This daemon's time from which tasks may be started on it."""
        self.listed = True
        self.is_contested = False
        """Whether another incarnation of its worker is known; one of them has ended."""
        self.is_suspended = False
        """Whether its worker may be in another pool, so that it isn't called."""
        self.called_at = 0.0
        """This daemon's time of the last renewal that was sent to it."""
        self.is_assumed = False
        """Whether it is known from an answer and its entry hasn't been read yet."""
        self.closed = False
        """Whether it is closed and drained, for maintenance or a move."""
        self.answered = False
        """Whether it has answered under this leader's fencing token."""
        self.reconciled = False
        """Whether an answer has listed all its runs and all that have ended."""
        self.recorded = False
        """Whether its roster row is committed."""
        self.gone = False
        self.joined_at = now
        """This daemon's time at which it was first known."""
        self.last_contact = now
        """This daemon's time of the last list of runs, or of the first entry."""
        self.last_answer = 0.0
        self.alive_at = 0.0
        """This daemon's time from which on the last answer shows that it was alive."""
        self.reported_clock = 0.0
        """The worker's time of its last list of runs."""
        self.reported_at = 0.0
        """This daemon's time at which that list was received."""
        self.expected_clock: float | None = None
        """The time that its clock had certainly reached by that list, as known before
        it, for the log."""
        self.other_start_ms = 0
        """Start of the last other incarnation that has answered a call to this one."""
        self.is_silent = False
        """Whether the last call to it got no answer."""
        self.lease_deadline = 0.0
        self.processed_end = 0
        """Highest number of an end that was processed."""
        self.knows_next_end = False
        """Whether the next end must have the number after `processed_end`: the numbers
        before the first end that this leader lists may be an earlier leader's."""
        self.committed_end = 0
        """Highest number of an end that is durable."""
        self.foreign_end = 0
        """Lowest number of a listed end of a job that its pool doesn't know, 0 if there
        is none."""
        self.runs: dict[model.Task, Run] = {}
        self.orphans: dict[tuple[model.Task, int], float] = {}
        """Listed runs that aren't wanted, and when their stop was ordered. Their
        resources aren't known, so nothing is started beside them."""
        self.failures = 0
        self.quarantined_until = 0.0
        self._quarantine_seconds = QUARANTINE_SECONDS
        self.degraded_runs = 0
        self._degraded_at = 0.0
        self._slow_jobs: dict[str, float] = {}
        """Time at which runs of each job were last slow here."""
        self._clock = entry.clock or 0.0
        self._clock_received = now

    @property
    def rack(self) -> str:
        """Rack; workers list the label of their kind and then that of their rack."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def is_placeholder(self) -> bool:
        """Whether it stands for the next incarnation of a worker, which isn't known."""
        return self.follows_ms > 0

    def compute_acknowledged_end(self, now: float) -> int:
        """Return the number up to which a renewal that is sent now acknowledges ends.

        A worker that reports its starts may have been restarted since its last answer,
        and would forget ends of the new incarnation. So none is acknowledged after a
        call without an answer, long after an answer, or while the new incarnation may
        execute a start that was sent to this one. Nor is an end of another pool's job,
        which the leader of that pool has to record, or one after it.
        """
        if not self.entry.start_ms:
            return self.committed_end
        is_recent = (
            now - self.last_answer <= ACKNOWLEDGE_WITHIN_SECONDS
            and now - self.alive_at <= MAX_ANSWER_AGE_SECONDS
        )
        if self.is_silent or self.is_contested or not is_recent:
            return 0
        if any(run.may_reach_next_incarnation for run in self.runs.values()):
            return 0
        # A commit that was on its way may be about an incarnation with the same name.
        acknowledged = min(self.committed_end, self.processed_end)
        return (
            min(acknowledged, self.foreign_end - 1)
            if self.foreign_end
            else acknowledged
        )

    def is_unattributable(self, reply: workers.HoldReply) -> bool:
        """Return whether an answer doesn't tell which incarnation has given it."""
        is_answered = reply.verdict is workers.Verdict.DONE
        return is_answered and self.entry.start_ms > 0 and not reply.start_ms

    def is_of_other_incarnation(self, reply: workers.HoldReply) -> bool:
        """Return whether another incarnation of the worker has answered a renewal.

        It may report the same start. A clock that shows less than the known incarnation
        had certainly reached when the call was sent is that of a later one.
        """
        if reply.verdict is not workers.Verdict.DONE:
            return False
        if reply.start_ms != self.entry.start_ms:
            return True
        if not (self.entry.start_ms and self.answered):
            return False
        passed = max(0.0, reply.sent - self.reported_at) * (1 - MAX_CLOCK_DRIFT)
        return reply.clock < self.reported_clock + passed - CLOCK_ROUNDING_SECONDS

    @property
    def knows_clock(self) -> bool:
        """Whether the worker's clock is known."""
        return self._clock > 0

    def update_clock(self, clock: float, received: float) -> None:
        """Record a time that the worker's clock had reached when it was received.

        An earlier time than the one already known is ignored. An entry may have been
        written seconds before it is read; start deadlines counted from it would be
        refused as late, for all starts of a pool in the 0.3 s after a takeover.
        """
        clock_now = self.compute_clock(received) if self.knows_clock else 0.0
        if clock and clock >= clock_now and received >= self._clock_received:
            self._clock, self._clock_received = clock, received

    def reset_clock(self, clock: float, received: float) -> None:
        """Set the clock by a worker's first answer, whatever entries have said."""
        self._clock, self._clock_received = clock, received

    def is_own_clock(self, clock: float, received: float) -> bool:
        """Return whether a clock in an answer can't be that of a later incarnation.

        That one started after this one was last alive, and its clock runs from then on.
        """
        passed = received - self.alive_at
        return self.answered and clock > passed + MAX_FIRST_CLOCK_SECONDS

    def compute_clock(self, now: float) -> float:
        """Return a time that the worker's clock has certainly reached."""
        passed = max(0.0, now - self._clock_received)
        return self._clock + passed * (1 - MAX_CLOCK_DRIFT)

    def may_leave_by(self, now: float) -> bool:
        """Return whether the VM is leaving and may have ended by now as announced.

        Its entry tells the minimum time that is left. The worker's clock may be ahead
        of what is known of it.
        """
        entry = self.entry
        if not entry.leaving or entry.remaining is None or entry.clock is None:
            return entry.leaving
        clock = self.compute_clock(now) + MAX_CLOCK_LEAD_SECONDS
        return clock >= entry.clock + entry.remaining

    def compute_deadline(self, now: float, lease: float) -> float:
        """Return the worker's time at which a lease from now ends.

        It counts from the time that the clock has certainly reached, as a successor
        waits no longer than the lease.
        """
        return self.compute_clock(now) + lease

    def record_lease_deadline(self, deadline: float) -> None:
        """Record a lease deadline that is about to be sent."""
        self.lease_deadline = max(self.lease_deadline, deadline)

    def is_lapsed(self, now: float, grace: float) -> bool:
        """Return whether all runs have certainly ended; ``grace`` is the stop time."""
        return self.compute_clock(now) > self.lease_deadline + grace

    def remove_missed_runs(self) -> dict[model.Task, Run]:
        """Remove and return the runs that this incarnation certainly hasn't executed.

        They can't have crashed it.
        """
        missed = {task: run for task, run in self.runs.items() if run.is_past_deadline}
        for task in missed:
            del self.runs[task]
        return missed

    def compute_free_room(self) -> model.Room:
        """Return the free room; runs that are being stopped still count as running."""
        return self.compute_room_beside(self.runs.values())

    def compute_room_beside(self, runs: Iterable[Run]) -> model.Room:
        """Return the room that some of its runs leave; below 0 if it has shrunk."""
        cpu, memory, gpus = self.entry.room
        for run in runs:
            cpu -= run.room.cpu
            memory -= run.room.memory
            gpus -= run.room.gpus
        return model.Room(cpu, memory, gpus)

    def is_open(self, now: float) -> bool:
        """Return whether tasks may be started on it."""
        return (
            self.listed
            and self.reconciled
            and self.recorded
            and not (self.is_silent or self.is_contested or self.orphans)
            and not (self.gone or self.closed or self.entry.leaving)
            and now >= self.opens_at
            and now - self.last_answer < STALE_AFTER_SECONDS
        )

    def is_quarantined(self, now: float) -> bool:
        """Return whether it gets no tasks because of failed or degraded runs."""
        return now < self.quarantined_until

    def record_end(self, end: model.End, now: float) -> bool:
        """Count an ended run; return whether it caused a quarantine."""
        if end is model.End.DONE:
            self.failures = 0
            self._quarantine_seconds = QUARANTINE_SECONDS
        if end is not model.End.FAILED:
            return False
        self.failures += 1
        if self.failures <= MAX_CONSECUTIVE_FAILURES:
            return False
        self.quarantine(now)
        return True

    def record_slow_job(self, job: str, now: float) -> None:
        """Record that a run of a job is slow by its estimate."""
        self._slow_jobs[job] = now

    def is_slow(self, now: float) -> bool:
        """Return whether runs of several jobs are slow here; one alone may be long."""
        recent = (
            at for at in self._slow_jobs.values() if now - at < DEGRADED_WINDOW_SECONDS
        )
        return sum(1 for _ in recent) > MAX_SLOW_JOBS

    def record_degraded_run(self, now: float) -> bool:
        """Count a stuck or slow run; return whether it caused a quarantine."""
        if self.is_quarantined(now):
            return False
        self.degraded_runs = (
            self.degraded_runs + 1
            if now - self._degraded_at < DEGRADED_WINDOW_SECONDS
            else 1
        )
        self._degraded_at = now
        if self.degraded_runs <= MAX_DEGRADED_RUNS:
            return False
        self.quarantine(now)
        return True

    def quarantine(self, now: float) -> None:
        """Quarantine the VM, for twice as long each time."""
        self.quarantined_until = now + self._quarantine_seconds
        self._quarantine_seconds = min(
            MAX_QUARANTINE_SECONDS, self._quarantine_seconds * 2
        )
        self.failures = 0

    def adopt(self, listed: workers.Running, step: model.Step, now: float) -> Run:
        """Adopt a run that an earlier leader started."""
        run = Run(listed.task, listed.run, self, step, now)
        run.state = RunState.RUNNING
        run.last_progress_clock = run.rate_start_clock = self.reported_clock
        run.started_clock = run.listed_clock = self.reported_clock
        run.work = run.rate_start_work = run.started_work = listed.work
        run.adopted = True
        if step.fills and step.lasting:
            run.pace = int(listed.work)
        self.runs[listed.task] = run
        return run
