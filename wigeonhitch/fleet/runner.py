"""The task that carries out waves and moves while it holds the duty ``fleet``.

Nothing that matters is kept here: each round reads the table, decides, and
commits one transaction per step. A runner that dies at any moment is followed
by one that reads the same rows and goes on. The only effect outside the table,
the reboot, is asked for after its commit, again by every later round until
the boot number moves, and is idempotent by that number.
"""

import collections
from collections.abc import Callable, Iterable

import anyio

from wigeonhitch.configuration import document
from wigeonhitch.fleet import batch, change, move, observer, state, wave
from wigeonhitch.membership import lease
from wigeonhitch.platform import table
from wigeonhitch.telemetry import log

__all__ = ["DUTY", "Runner", "run"]

DUTY = "fleet"

# Seconds between rounds.
ROUND_INTERVAL_SECONDS = 2.0
# Seconds between rounds while a stop is under way. Each stop takes four rounds,
# so the pause between rounds is part of every roll-out; at 4 to 5 reads a round
# this costs ten reads a second on one daemon, only while a wave or move runs.
BUSY_ROUND_INTERVAL_SECONDS = 0.5
# Seconds after which an observation is too old to take VMs out of service on.
MAX_OBSERVATION_AGE_SECONDS = 15.0

Source = Callable[[], document.Document | None]


class Runner:
    """Runs one round after the other; see `run`.

    Parameters
    ----------
    seen : Observer
        Reads the fleet.
    leases : Leases
        Says whether this daemon holds the duty.
    source : callable
        Returns the accepted document, or None when it is not known.

    Attributes
    ----------
    counters : Counter
        Rounds by result, commits by step and outcome, reboots asked for.
    """

    def __init__(
        self, seen: observer.Observer, leases: lease.Leases, source: Source
    ) -> None:
        self.seen = seen
        self.leases = leases
        self.source = source
        self.counters: collections.Counter[str] = collections.Counter()
        self._asked: dict[tuple[str, int], float] = {}
        self._problem = ""

    @property
    def is_busy(self) -> bool:
        """Whether a stop is under way on this daemon's duty."""
        rows = self.seen.view.vms.values()
        under_way = any(
            row.state not in (state.VmState.UP, state.VmState.DOWN) for row in rows
        )
        return under_way and self.leases.current(DUTY) is not None

    async def step(self) -> str:
        """Run one round; return why it could not be run, else an empty text."""
        problem = await self._step()
        self.counters[f"round: {'run' if not problem else 'not run'}"] += 1
        if problem != self._problem:
            log.log_change("fleet rounds", state=problem or "run")
            self._problem = problem
        return problem

    async def _step(self) -> str:
        if self.leases.current(DUTY) is None:
            return "duty is held by another daemon"
        accepted = self.source()
        if accepted is None:
            return "no accepted document is known"
        if not await self.seen.refresh():
            return self.seen.problem
        snapshot = await self.seen.take_snapshot(accepted)
        return await self._carry_out(snapshot)

    async def _carry_out(self, snapshot: wave.Snapshot) -> str:
        """Commit every step that the snapshot allows, each on the newest view."""
        steps = wave.advance(snapshot)[0]
        if not await self._commit_all(steps):
            return "a step was not committed"
        await self._request_reboots(snapshot)
        others = move.release(snapshot, self.seen.missing) + move.assign_vms(snapshot)
        if not await self._commit_all(others):
            return "a step was not committed"
        for pick in (move.pick_moves, batch.pick_stops):
            if not await self._commit_all(pick(snapshot).changes):
                return "a step was not committed"
        for item in batch.list_finished(snapshot):
            if not await self._finish(snapshot, item):
                return "a step was not committed"
        return ""

    async def _commit_all(self, changes: Iterable[change.Change]) -> bool:
        for item in changes:
            if not await self._commit(item):
                return False
        return True

    async def _commit(self, item: change.Change) -> bool:
        """Commit one change; False ends the round, the next one reads anew."""
        held = self.leases.current(DUTY)
        age = self.seen.platform.clock() - self.seen.refreshed_at
        if held is None or age > MAX_OBSERVATION_AGE_SECONDS:
            return False
        transaction = change.build(item, self.seen.view, held.condition)
        if not await self._write(transaction, item.step.value):
            return False
        if item.step is change.Step.LOSE:
            log.log_problem("VM is down", vm=item.row.vm, why=item.why)
        if item.step is change.Step.REBOOT:
            await self._request_reboot(self.seen.view.vms[item.row.vm])
        return True

    async def _write(self, transaction: change.Transaction, name: str) -> bool:
        result = await self.seen.platform.table.commit(
            transaction.conditions, transaction.writes, purpose="fleet"
        )
        self.counters[f"{name}: {result.outcome.value}"] += 1
        if result.outcome is not table.Outcome.DONE:
            return False
        rows = [
            table.Row(write.key, write.value, result.revision)
            for write in transaction.writes
        ]
        self.seen.view.apply_rows(rows)
        return True

    async def _finish(self, snapshot: wave.Snapshot, item: document.Wave) -> bool:
        held = self.leases.current(DUTY)
        if held is None:
            return False
        row = snapshot.view.waves[item.name]._replace(
            status=state.WaveStatus.DONE, since=snapshot.observation.now
        )
        transaction = change.build_wave(row, "no VM is left", held.condition)
        return await self._write(transaction, "finish")

    async def _request_reboots(self, snapshot: wave.Snapshot) -> None:
        now = self.seen.platform.clock()
        for row in wave.find_pending_reboots(snapshot):
            asked = self._asked.get((row.vm, row.boot))
            if asked is None or now - asked >= snapshot.limits.reboot_retry:
                await self._request_reboot(row)

    async def _request_reboot(self, row: state.VmRow) -> None:
        """Ask for the reboot, if the duty is still held.

        A daemon that is paused between this check and the call sends it late.
        The row cannot have left ``rebooting`` by then without a higher boot
        number, which makes the platform refuse the late call.
        """
        if self.leases.current(DUTY) is None:
            return
        self._asked = {key: at for key, at in self._asked.items() if key[0] != row.vm}
        self._asked[(row.vm, row.boot)] = self.seen.platform.clock()
        outcome = await self.seen.platform.machines.reboot(
            row.vm, row.boot, purpose="fleet"
        )
        self.counters[f"ask reboot: {outcome.value}"] += 1


async def run(
    runner: Runner,
    *,
    interval: float = ROUND_INTERVAL_SECONDS,
    busy_interval: float = BUSY_ROUND_INTERVAL_SECONDS,
    task_status: anyio.abc.TaskStatus = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Compete for the duty and run rounds until cancelled.

    Parameters
    ----------
    runner : Runner
        What to run.
    interval, busy_interval : float
        Seconds between rounds, without and with a stop under way.
    """
    runner.leases.want(DUTY)
    task_status.started()
    while True:
        await runner.step()
        await anyio.sleep(busy_interval if runner.is_busy else interval)
