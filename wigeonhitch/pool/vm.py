"""What a leader believes of one VM and of the runs on it.

A worker's clock is known within bounds from its answers. All that runs on a
worker ends when its clock passes the highest deadline it was given, so a VM
that doesn't answer is known to be empty once that has certainly happened.
"""

import enum

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, workers

__all__ = ["MAX_CLOCK_DRIFT", "Run", "RunState", "Vm"]

MAX_CLOCK_DRIFT = 0.02
"""A worker's clock may be this much slower than true time (users' rules)."""

STALE_AFTER_SECONDS = 2.0
"""Seconds without an answer after which no task is started on a VM: a hold
of an idle VM waits 1.2 s, and its answer may be late."""

QUARANTINE_SECONDS = 4.0
"""Seconds that a VM is first set aside; bad spells seen last 4 to 7 s."""

MAX_QUARANTINE_SECONDS = 30.0
"""Longest time set aside, reached by doubling."""

MAX_CONSECUTIVE_FAILURES = 2
"""Failed ends in a row that a VM may show; a task fails by its own fault in
0.2 to 3 of 100 runs, so three in a row are the VM's doing."""


RATE_WINDOW_SECONDS = 0.7
"""Seconds over which a run's rate is taken, in percent a second: a hold and a
bit, so that a spell of a slow VM shows in the next figure."""

MAX_DEGRADED_RUNS = 1
"""Runs that may stand still or be slow within `DEGRADED_WINDOW_SECONDS`: where a
VM is sick all its runs are, where a job is odd one is."""

DEGRADED_WINDOW_SECONDS = 3.0

MAX_SLOW_JOBS = 1
"""Jobs whose runs may be slow on a VM within `DEGRADED_WINDOW_SECONDS`, where no
other VM runs the same step: estimates of two jobs are seldom as far off."""


class RunState(enum.Enum):
    """How far a run is known to be."""

    STARTING = "starting"
    """Ordered; an answer is awaited."""
    UNKNOWN = "unknown"
    """The answer was lost: it may run, or may start until its deadline."""
    RUNNING = "running"
    STOPPING = "stopping"


class Run:
    """One start of a task on a VM.

    ``deadline`` is the worker's time after which it refuses the start;
    ``since`` is this daemon's time of the start's answer, ``moved`` the worker's
    time of the last progress seen.
    """

    __slots__ = (
        "adopted",
        "deadline",
        "is_sick",
        "load",
        "moved",
        "number",
        "mark_at",
        "mark_work",
        "pace",
        "rate",
        "room",
        "since",
        "state",
        "sure_from",
        "step",
        "stop_sent",
        "task",
        "vm",
        "work",
    )

    def __init__(
        self, task: model.Task, number: int, vm: "Vm", step: model.Step, now: float
    ) -> None:
        self.task = task
        self.number = number
        self.vm = vm
        self.step = step
        self.room = step.reserved
        self.state = RunState.STARTING
        self.deadline = 0.0
        self.since = now
        self.moved = 0.0
        self.work = 0.0
        self.load = 0.0
        self.pace = 100
        self.rate: float | None = None
        self.mark_at = 0.0
        self.mark_work = 0.0
        self.stop_sent = 0.0
        self.adopted = False
        self.is_sick = False
        self.sure_from = 0.0
        """From when on its being listed says that nobody is stopping it."""

    def record_work(self, work: float, clock: float) -> None:
        """Take the progress listed at a worker's time, and the rate since the mark."""
        if work != self.work:
            self.moved = clock
        self.work = work
        passed = clock - self.mark_at
        if passed >= RATE_WINDOW_SECONDS:
            self.rate = (work - self.mark_work) / passed
            self.mark_at, self.mark_work = clock, work

    @property
    def is_at_work(self) -> bool:
        """Whether a lasting task is known to work in full."""
        known = self.state is RunState.RUNNING and not self.vm.is_silent
        sure = self.vm.last_answer >= self.sure_from
        return known and sure and self.work >= 100


class Vm:
    """Belief about one life of a VM.

    Parameters
    ----------
    entry : entries.WorkerEntry
        What the worker registered.
    now : float
        This daemon's time at which the entry was read.
    """

    def __init__(self, entry: entries.WorkerEntry, now: float) -> None:
        self.entry = entry
        self.listed = True
        self.closed = False
        """Whether it is to be vacated, for upkeep or a move."""
        self.answered = False
        """Whether it answered under this leader's token."""
        self.reconciled = False
        """Whether an answer told all that runs there and all that has ended."""
        self.recorded = False
        """Whether the roster row that names it is committed."""
        self.gone = False
        self.last_answer = 0.0
        self.reported_clock = 0.0
        """The worker's time at which it last listed its runs."""
        self.is_silent = False
        """Whether the last call to it got no answer."""
        self.lease_deadline = 0.0
        self.processed_end = 0
        """Highest number of an end taken into account."""
        self.committed_end = 0
        """Highest number of an end that is durable."""
        self.runs: dict[model.Task, Run] = {}
        self.orphans: dict[tuple[model.Task, int], float] = {}
        """Listed runs that nobody wants, and when their stop was ordered. What
        they take isn't known, so nothing is started beside them."""
        self.failures = 0
        self.quarantined_until = 0.0
        self._quarantine_seconds = QUARANTINE_SECONDS
        self.degraded_runs = 0
        self._degraded_at = 0.0
        self._slow_jobs: dict[str, float] = {}
        """When runs of a job were last slow here."""
        self._clock = entry.clock or 0.0
        self._clock_received = now

    @property
    def id(self) -> str:
        """Name of this life of the VM."""
        return self.entry.id

    @property
    def rack(self) -> str:
        """Rack, by its label; workers name their kind and then their rack."""
        return self.entry.labels[-1] if self.entry.labels else ""

    @property
    def knows_clock(self) -> bool:
        """Whether the worker's clock is known."""
        return self._clock > 0

    def update_clock(self, clock: float, received: float) -> None:
        """Take a time that the worker's clock had reached when it was received.

        One that says less than what is known is left: an entry may have been
        written seconds before it is read, and starts would count from it and be
        refused as late, all of a pool's for 0.3 s after a takeover.
        """
        known = self.compute_clock(received) if self.knows_clock else 0.0
        if clock and clock >= known and received >= self._clock_received:
            self._clock, self._clock_received = clock, received

    def compute_clock(self, now: float) -> float:
        """Return a time that the worker's clock has certainly reached."""
        passed = max(0.0, now - self._clock_received)
        return self._clock + passed * (1 - MAX_CLOCK_DRIFT)

    def compute_deadline(self, now: float, lease: float) -> float:
        """Return the worker's time at which a lease from now ends.

        Counted from what its clock has certainly reached: a successor waits for no
        more than the lease.
        """
        return self.compute_clock(now) + lease

    def record_lease_deadline(self, deadline: float) -> None:
        """Take note that a deadline is being sent."""
        self.lease_deadline = max(self.lease_deadline, deadline)

    def is_lapsed(self, now: float, grace: float) -> bool:
        """Whether all that ran on it has certainly ended; ``grace`` to stop."""
        return self.compute_clock(now) > self.lease_deadline + grace

    def compute_free_room(self) -> model.Room:
        """Return the room that is left; what is being stopped still counts."""
        room = self.entry.room
        cpu, memory, gpus = room
        for run in self.runs.values():
            cpu -= run.room.cpu
            memory -= run.room.memory
            gpus -= run.room.gpus
        return model.Room(cpu, memory, gpus)

    def is_open(self, now: float) -> bool:
        """Whether tasks may be started on it."""
        return (
            self.listed
            and self.reconciled
            and self.recorded
            and not (self.is_silent or self.orphans)
            and not (self.gone or self.closed or self.entry.leaving)
            and now - self.last_answer < STALE_AFTER_SECONDS
        )

    def is_quarantined(self, now: float) -> bool:
        """Whether it is kept from work for what was seen of it."""
        return now < self.quarantined_until

    def record_end(self, end: model.End, now: float) -> bool:
        """Count an end; return whether the VM was set aside by it."""
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
        """Take note that a run of a job is slow by its estimate."""
        self._slow_jobs[job] = now

    def is_slow(self, now: float) -> bool:
        """Whether runs of several jobs are slow here: one may be long by itself."""
        recent = (
            at for at in self._slow_jobs.values() if now - at < DEGRADED_WINDOW_SECONDS
        )
        return sum(1 for _ in recent) > MAX_SLOW_JOBS

    def record_degraded_run(self, now: float) -> bool:
        """Count a run that stood still or was slow; whether it is set aside now."""
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
        """Keep the VM from work, longer each time."""
        self.quarantined_until = now + self._quarantine_seconds
        self._quarantine_seconds = min(
            MAX_QUARANTINE_SECONDS, self._quarantine_seconds * 2
        )
        self.failures = 0

    def adopt(self, one: workers.Running, step: model.Step, now: float) -> Run:
        """Take over a run that an earlier leader started."""
        run = Run(one.task, one.run, self, step, now)
        run.state = RunState.RUNNING
        run.moved = run.mark_at = self.reported_clock
        run.work = run.mark_work = one.work
        run.adopted = True
        if step.fills and step.lasting:
            run.pace = int(one.work)
        self.runs[one.task] = run
        return run
