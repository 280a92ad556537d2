"""Tasks under which VMs have crashed, and which of them are given up.

A task may crash each VM that starts it. A VM that crashes lists no ends, and the tasks
that merely ran beside the one at fault look the same. Therefore:

- Each task on a crashed VM is a suspect; one that was seen at work there is excused
  once. Both is recorded in the job's progress, a crash under the name of the VM's
  incarnation, so that each counts once, and for later leaders too.
- A VM that crashes between its closing and the order ends as planned. So a task that
  wasn't seen at work on a VM with a planned end is excused once and then counted.
- A suspect is assigned to a VM, and that is recorded before it is started there, so
  that a later leader knows which VM to ask for. So are tasks that an earlier leader may
  have started on a VM of which only the end is known; for these it is recorded that one
  crash may be missing from their count.
- Suspects are placed apart from each other.
- A task under which two VMs have crashed is tested: it is started only alone, on a VM
  that has just answered, and about half of the pool at most is used for that. While
  other tasks wait, VMs that tests have crashed count as part of that half.
- A task is given up, and its job has failed, at the second crash of a test, or when a
  further crash would exceed the platform's limit. The first is near proof; the second
  also counts crashes beside other tasks, of racks, and of VMs that may have been down
  before the start.
- A run that has worked for some seconds doesn't count if its VM was lost with a whole
  rack. A lasting task that has worked for longer is no suspect any more.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.jobs import model, progress
from wigeonhitch.pool import ledger, vm

__all__ = ["Assigned", "Suspects", "is_proven"]

CRASHES_BEFORE_TEST = 2
"""Crashes under a task after which it is started only alone. Most tasks on a crashed VM
have not caused the crash; testing each of them would hold up more work than a second
crash costs."""

MAX_TEST_CRASHES = 2
"""Crashes of VMs under tests after which a task is given up: one may be chance."""

MAX_CRASHES = 5
"""Most VMs that may crash under a task, by the platform's rules; one that no leader may
have seen is included."""

MAX_CONTACT_AGE_SECONDS = 0.25
"""Seconds since a VM's last answer within which a test is started there: a VM that is
already down would count against the task. A silent VM is noticed only after 0.7 s."""

TEST_LOSS_SECONDS = 4.0
"""Seconds from the last answer of a VM that crashed under a test for which the pool is
taken to lack it: the VM is back about 3.3 s after its crash."""

PROVEN_SECONDS = 2.0
"""Seconds that a run must have worked on its VM to be an unlikely cause of a later
crash: tasks that crash their VM mostly do so as they start. A test of a lasting task
takes as long, and lasting tasks must not be away for more than 6 s."""

JUST_STARTED_SECONDS = 0.1
"""Seconds after its start, by the worker's clock, from which a listed run counts as
seen at work: tasks that crash their VM mostly do so within 0.01 s."""

CLEARED_SECONDS = 5.0
"""Seconds of work after which the crashes under a lasting task are forgotten: it runs
for long, and meets crashes that it doesn't cause."""

MASS_LOSS_SECONDS = 2.0
"""Most seconds from the last answer of a VM to the last call that another one answers,
if both lose power together: an idle VM answers every 1.2 s."""

LOSS_RETENTION_SECONDS = 20.0
"""Seconds for which a lost VM is remembered: the loss of others at the same time may be
found only once their leases have lapsed."""


class Assigned(NamedTuple):
    """A task that waits for its start on a recorded VM, and the crashes under it."""

    task: model.Task
    vm: str
    step: model.Step
    crashes: int


class _Loss(NamedTuple):
    """A VM that crashed.

    ``had_suspects`` tells whether a suspect ran on it, ``had_test`` whether one was
    being tested there, and ``proven`` are the tasks that count although they had worked
    for some time.
    """

    vm: str
    last_contact: float
    alive_at: float
    rack: str
    had_suspects: bool
    had_test: bool
    proven: frozenset[model.Task]

    def is_with(self, machine: vm.Vm) -> bool:
        """Return whether a VM of the same rack was lost at the same time."""
        return machine.rack == self.rack and _is_lost_together(
            machine, self.last_contact, self.alive_at
        )


class Suspects:
    """Suspects among the tasks of one pool.

    Parameters
    ----------
    jobs, vms, live : mapping
        Those of the pool's view, which keeps them up to date.
    writer : ledger.Ledger
        Records changed progress.
    log_event : callable
        Writes a log line; takes the text and the fields.
    """

    def __init__(
        self,
        jobs: Mapping[str, progress.Progress],
        vms: Mapping[str, vm.Vm],
        live: Mapping[model.Task, vm.Run],
        writer: ledger.Ledger,
        log_event: Callable[..., None],
    ) -> None:
        self._jobs = jobs
        self._vms = vms
        self._live = live
        self._writer = writer
        self._log_event = log_event
        self._suspect_jobs: set[str] = set()
        self._doubtful: dict[str, set[model.Task]] = {}
        """Tasks by VMs that are counted as crashed and may yet answer."""
        self._excused_vms: dict[model.Task, str] = {}
        """VM for which this leader has excused each task, while it may yet answer."""
        self._inherited: set[model.Task] = set()
        """Tasks that an earlier leader may have started on their assigned VM."""
        self._tests: dict[model.Task, str] = {}
        """VM of the last test that this leader started, by task."""
        self._losses: list[_Loss] = []

    # -- events

    def on_progress_read(self, state: progress.Progress) -> None:
        """Take over what earlier leaders have recorded of a job."""
        for task, ids in state.crashed_vms.items():
            for id in ids:
                self._doubtful.setdefault(id, set()).add(task)
        if state.has_suspects:
            self._suspect_jobs.add(state.job.id)
        self._inherited.update(state.assigned_vms)

    def on_vm_answered(self, id: str) -> None:
        """Withdraw what was counted for a VM that answers: it has not crashed."""
        for task in self._take_excused(id):
            state = self._jobs.get(task.job)
            if state is not None and state.withdraw_excuse(task):
                self._writer.mark_dirty(task.job)
        for task in self._doubtful.pop(id, ()):
            self.withdraw_crash(task, id)

    def withdraw_crash(self, task: model.Task, id: str) -> None:
        """Withdraw the crash of a VM under a task that ran elsewhere."""
        state = self._jobs.get(task.job)
        if state is not None and state.withdraw_crash(task, id):
            self._writer.mark_dirty(task.job)
            self._log_event("crash withdrawn", vm=id, **describe_task(task))

    def on_vm_listed(self, id: str) -> None:
        """Record that a VM has listed all its runs to this leader."""
        self._inherited.difference_update(self._list_inherited_on(id))

    def on_unseen_ends(self, states: Iterable[progress.Progress], now: float) -> None:
        """Record which tasks may have crashed a VM that ended before this term.

        Parameters
        ----------
        states : iterable of progress.Progress
            The jobs that an earlier leader may have known.
        now : float
            Unix time.
        """
        for state in states:
            if not _is_open(state):
                continue
            # Ends that opened a later step may have been lost with their VM.
            tasks = [t for t in state.list_undone_tasks(now) if t not in self._live]
            if state.record_uncounted(tasks):
                self._suspect_jobs.add(state.job.id)
                self._writer.mark_dirty(state.job.id)

    def on_leases_lapsed(self, machine: vm.Vm, now: float) -> None:
        """Count a silent VM as crashed, until it answers."""
        tasks = (
            self._count_just_started(machine)
            if machine.may_leave_by(now)
            else self._count_all(machine)
        )
        self._doubtful.setdefault(machine.id, set()).update(tasks)

    def on_vm_ended(
        self, machine: vm.Vm, end: vm.VmEnd, now: float
    ) -> list[model.Task]:
        """Count the end of a VM; return the tasks that are to be given up."""
        if end is vm.VmEnd.ORDERED or machine.may_leave_by(now):
            tasks = self._count_just_started(machine)
        else:
            tasks = self._count_all(machine)
        if end is vm.VmEnd.EXPIRED:
            tasks |= self._doubtful.setdefault(machine.id, set())
            self._doubtful[machine.id] = set(tasks)
        else:
            tasks |= self._doubtful.pop(machine.id, set())
            self._take_excused(machine.id)
        self._release_vm(machine.id)
        return [
            task
            for task in tasks
            if self.must_be_given_up(task)
            and not self.has_doubtful_crash(task, ended_vm=machine.id)
        ]

    def on_missing_vm(self, task: model.Task, end: vm.VmEnd | None) -> bool:
        """Count a task's assigned VM, which was gone before this leader's term.

        Return whether the task is to be given up.
        """
        id = self._get_assigned_vm(task)
        if task in self._inherited and not (
            end is vm.VmEnd.ORDERED and self._excuse(task, id)
        ):
            self._count(task, id)
            self._doubtful.setdefault(id, set()).add(task)
        self.release(task)
        return self.must_be_given_up(task) and not self.has_doubtful_crash(task)

    def on_test_started(self, task: model.Task, id: str) -> None:
        """Record on which VM a task is being tested."""
        self._tests[task] = id

    def on_run_listed(self, run: vm.Run) -> None:
        """Clear a lasting task that has worked too long to be the cause of a crash."""
        state = self._jobs.get(run.task.job)
        if state is None or not state.is_suspect(run.task):
            return
        worked = run.listed_at - run.started_at
        if not run.step.lasting or worked < CLEARED_SECONDS or run.work < 100:
            return
        self.release(run.task)
        if state.clear_crashes(run.task):
            self._writer.mark_dirty(run.task.job)
            self._log_event("suspect cleared", **describe_task(run.task))

    def assign(self, task: model.Task, id: str) -> None:
        """Record the VM on which a suspect is to be started."""
        self._inherited.discard(task)
        self._suspect_jobs.add(task.job)
        self._jobs[task.job].assign_vm(task, id)
        self._writer.mark_dirty(task.job)
        crashes = self.count(task)
        self._log_event(
            "suspect assigned", vm=id, crashes=crashes, **describe_task(task)
        )

    def release(self, task: model.Task) -> None:
        """Withdraw the assignment of a task to a VM."""
        self._inherited.discard(task)
        state = self._jobs.get(task.job)
        if state is not None and state.release_vm(task):
            self._writer.mark_dirty(task.job)

    def forget_job(self, id: str) -> None:
        """Drop what is known of the tasks of a job."""
        self._suspect_jobs.discard(id)
        self._inherited = {task for task in self._inherited if task.job != id}
        self._tests = {task: vm for task, vm in self._tests.items() if task.job != id}
        self._excused_vms = {
            task: vm for task, vm in self._excused_vms.items() if task.job != id
        }
        for vm_id, tasks in list(self._doubtful.items()):
            tasks -= {task for task in tasks if task.job == id}
            if not tasks:
                del self._doubtful[vm_id]

    # -- questions

    def count(self, task: model.Task) -> int:
        """Return how many VMs have crashed under a task."""
        state = self._jobs.get(task.job)
        return state.count_crashes(task) if state is not None else 0

    def must_be_given_up(self, task: model.Task) -> bool:
        """Return whether a task has to be taken for the cause of its crashes."""
        state = self._jobs.get(task.job)
        if state is None or state.is_done(task):
            return False
        if task in state.given_up:
            return True
        if len(state.test_crashes.get(task, ())) >= MAX_TEST_CRASHES:
            return True
        maybe_uncounted = task in state.maybe_uncounted
        return state.count_crashes(task) + maybe_uncounted >= MAX_CRASHES

    def has_doubtful_crash(self, task: model.Task, *, ended_vm: str = "") -> bool:
        """Return whether a VM that counts as crashed under a task may yet answer.

        ``ended_vm`` is one that is known to have ended.
        """
        state = self._jobs[task.job]
        ids = state.crashed_vms.get(task, set()) - {ended_vm}
        return any(id in self._vms for id in ids)

    def list_given_up(self) -> list[model.Task]:
        """Return the tasks that are to be given up and don't run."""
        return [
            task
            for state in self._list_open_jobs()
            for task in state.crashed_vms
            if task not in self._live
            and task not in state.given_up
            and self.must_be_given_up(task)
        ]

    def must_be_tested(self, task: model.Task) -> bool:
        """Return whether a task may only be started alone.

        A gang isn't tested: its members run together, on as many VMs as they need.
        """
        state = self._jobs[task.job]
        is_gang = state.job.steps[task.step].gang
        return not is_gang and state.count_crashes(task) >= CRASHES_BEFORE_TEST

    def list_waiting_tests(self) -> list[model.Task]:
        """Return the tasks that may only be started alone and don't run.

        Those with the fewest crashes, the least likely ones to be at fault, come first.
        """
        waiting = [
            (state.count_crashes(task), state.accepted, task)
            for state in self._list_open_jobs()
            for task in state.crashed_vms
            if self.must_be_tested(task)
            and task not in self._live
            and not state.is_done(task)
            and not self.must_be_given_up(task)
        ]
        return [task for _, _, task in sorted(waiting)]

    def list_test_vms(self) -> set[str]:
        """Return the VMs that are kept for tests."""
        return {
            id
            for state in self._list_open_jobs()
            for task, id in state.assigned_vms.items()
            if self.must_be_tested(task)
            and not self._has_passed_test(task)
            and not state.is_done(task)
        }

    def count_test_losses(self, now: float) -> int:
        """Return how many VMs have crashed under tests and are hardly back yet."""
        return sum(
            loss.had_test and now - loss.last_contact < TEST_LOSS_SECONDS
            for loss in self._losses
        )

    def list_assigned(self) -> list[Assigned]:
        """Return the tasks that wait for their start on a VM, but for tests."""
        return [
            Assigned(task, id, state.job.steps[task.step], state.count_crashes(task))
            for state in self._list_open_jobs()
            for task, id in state.assigned_vms.items()
            if task not in self._live
            and not state.is_done(task)
            and not self.must_be_tested(task)
        ]

    def count_by_vm(self) -> dict[str, int]:
        """Return the number of suspects that run on each VM."""
        counts: dict[str, int] = {}
        for state in self._list_open_jobs():
            for task in state.crashed_vms:
                run = self._live.get(task)
                if run is not None and not is_proven(run):
                    counts[run.vm.id] = counts.get(run.vm.id, 0) + 1
        return counts

    # -- internals

    def _list_open_jobs(self) -> list[progress.Progress]:
        states = (self._jobs.get(id) for id in self._suspect_jobs)
        return [state for state in states if state is not None and _is_open(state)]

    def _has_passed_test(self, task: model.Task) -> bool:
        run = self._live.get(task)
        return run is not None and is_proven(run)

    def _get_assigned_vm(self, task: model.Task) -> str:
        state = self._jobs.get(task.job)
        return state.assigned_vms.get(task, "") if state is not None else ""

    def _list_inherited_on(self, id: str) -> list[model.Task]:
        return [task for task in self._inherited if self._get_assigned_vm(task) == id]

    def _release_vm(self, id: str) -> None:
        for state in self._list_open_jobs():
            for task in [t for t, held in state.assigned_vms.items() if held == id]:
                self.release(task)

    def _count_all(self, machine: vm.Vm) -> set[model.Task]:
        """Count a VM's crash for all tasks that it may have run; return these."""
        is_mass_loss = self._is_mass_loss(machine)
        if is_mass_loss:
            self._withdraw_proven(machine)
        suspected = self._list_suspected(machine, is_mass_loss)
        had_suspects = any(self.count(task) for task in suspected)
        counted = {
            task
            for task in suspected
            if self._count(
                task,
                machine.id,
                is_test=not is_mass_loss and self._was_test(task, machine),
            )
        }
        runs = machine.runs
        proven = frozenset(t for t in counted if t in runs and is_proven(runs[t]))
        lost_at = machine.last_contact
        loss = _Loss(
            machine.id,
            lost_at,
            _get_alive_at(machine),
            machine.rack,
            had_suspects,
            any(self._tests.get(task) == machine.id for task in runs),
            proven,
        )
        self._losses = [
            loss,
            *(
                earlier
                for earlier in self._losses
                if lost_at - earlier.last_contact <= LOSS_RETENTION_SECONDS
            ),
        ]
        return counted

    def _count_just_started(self, machine: vm.Vm) -> set[model.Task]:
        """Excuse or count the tasks that may have crashed a VM before its planned end.

        Return the tasks that are counted.
        """
        started = [
            run.task
            for run in machine.runs.values()
            if not _is_unsent(run) and not _was_seen_at_work(run)
        ]
        return {
            task
            for task in [*started, *self._list_inherited_on(machine.id)]
            if not self._excuse(task, machine.id) and self._count(task, machine.id)
        }

    def _was_test(self, task: model.Task, machine: vm.Vm) -> bool:
        """Return whether a VM crashed at the start of a test."""
        run = machine.runs.get(task)
        if run is None or self._tests.get(task) != machine.id:
            return False
        return not run.listed_clock

    def _withdraw_proven(self, machine: vm.Vm) -> None:
        """Withdraw what counted for VMs that were lost with the same rack before."""
        for loss in self._losses:
            if not loss.is_with(machine):
                continue
            for task in loss.proven:
                state = self._jobs.get(task.job)
                if state is not None and state.withdraw_crash(task, loss.vm):
                    self._writer.mark_dirty(task.job)

    def _list_suspected(self, machine: vm.Vm, is_mass_loss: bool) -> list[model.Task]:
        """Return the tasks that may have crashed a VM.

        Those that were seen at work there, or were on a VM that was to be emptied, are
        excused once.
        """
        suspected = []
        for run in machine.runs.values():
            if _is_unsent(run) or (is_proven(run) and is_mass_loss):
                continue
            is_unlikely = machine.closed or _was_seen_at_work(run)
            if not (is_unlikely and self._excuse(run.task, machine.id)):
                suspected.append(run.task)
        inherited = self._list_inherited_on(machine.id)
        return suspected + [
            task
            for task in inherited
            if not (machine.closed and self._excuse(task, machine.id))
        ]

    def _take_excused(self, id: str) -> list[model.Task]:
        """Return the tasks that were excused for a VM, and forget that."""
        tasks = [task for task, vm in self._excused_vms.items() if vm == id]
        for task in tasks:
            del self._excused_vms[task]
        return tasks

    def _excuse(self, task: model.Task, id: str) -> bool:
        """Leave a crash out of a task's count; return False if one was before."""
        state = self._jobs.get(task.job)
        if state is None or not _is_open(state) or not state.use_excuse(task):
            return False
        self._inherited.discard(task)
        self._suspect_jobs.add(task.job)
        self._excused_vms[task] = id
        self._writer.mark_dirty(task.job)
        return True

    def _count(self, task: model.Task, id: str, *, is_test: bool = False) -> bool:
        state = self._jobs.get(task.job)
        if state is None or not _is_open(state):
            return False
        if state.is_done(task) or not state.record_crash(task, id, is_test=is_test):
            return False
        self._suspect_jobs.add(task.job)
        self._writer.mark_dirty(task.job)
        self._log_event(
            "VM crashed under a task",
            vm=id,
            crashes=state.count_crashes(task),
            tests=len(state.test_crashes.get(task, ())),
            **describe_task(task),
        )
        return True

    def _is_mass_loss(self, machine: vm.Vm) -> bool:
        """Return whether other VMs of the rack were lost with it, and none is left."""
        lost_at = machine.last_contact
        peers = [
            other
            for other in self._vms.values()
            if other.rack == machine.rack
            and other is not machine
            and not other.is_placeholder
            and other.joined_at <= lost_at
        ]
        if any(not peer.is_silent for peer in peers):
            return False
        return any(
            _is_lost_together(machine, peer.last_contact, _get_alive_at(peer))
            for peer in peers
        ) or any(
            not loss.had_suspects and loss.is_with(machine) for loss in self._losses
        )


def _is_lost_together(machine: vm.Vm, last_contact: float, alive_at: float) -> bool:
    """Return whether a VM was lost at the same time as another one of its rack.

    ``last_contact`` and ``alive_at`` are those of the other one. They weren't lost
    together if one has answered a call that was sent long after the other's last
    answer.
    """
    outlived = max(
        alive_at - machine.last_contact, _get_alive_at(machine) - last_contact
    )
    return outlived <= MASS_LOSS_SECONDS


def _get_alive_at(machine: vm.Vm) -> float:
    """Return the last time at which a VM was alive, or at which it was first known."""
    return machine.alive_at or machine.last_contact


def _is_unsent(run: vm.Run) -> bool:
    return run.state is vm.RunState.STARTING and not run.deadline


def _was_seen_at_work(run: vm.Run) -> bool:
    return run.listed_clock - run.started_clock >= JUST_STARTED_SECONDS


def is_proven(run: vm.Run) -> bool:
    """Return whether a run was listed long enough after its start."""
    return run.listed_at - run.started_at >= PROVEN_SECONDS


def describe_task(task: model.Task) -> dict[str, object]:
    """Return the log fields that identify a task."""
    return {"job": task.job, "task": task[1:]}


def _is_open(state: progress.Progress) -> bool:
    return state.final is None and not state.cancelled
