"""Task that executes waves and moves while this daemon holds the duty ``fleet``.

The runner keeps no essential state: each round reads the table, decides, and
commits one transaction per step. If a runner dies at any point, another one
reads the same rows and continues. The only effect outside the table, the reboot,
is requested after its commit and by later rounds until the boot number
increases; the boot number makes the request idempotent.
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

# Time between rounds without a stop under way.
ROUND_INTERVAL_SECONDS = 2.0
# Time between rounds while a stop is under way. Each stop takes three rounds, so
# the interval adds to every roll-out. At 4 to 5 reads per round this costs ten
# reads per second on one daemon, only while a wave or move runs.
BUSY_ROUND_INTERVAL_SECONDS = 0.5
# Maximum age of an observation on which a change may be committed.
MAX_OBSERVATION_AGE_SECONDS = 15.0

FindDocument = Callable[[], document.Document | None]


class Runner:
    """Executes rounds of the fleet's decisions; see `run`.

    Parameters
    ----------
    fleet_observer : Observer
        Reads the fleet.
    leases : Leases
        Tells whether this daemon holds the duty.
    find_document : callable
        Returns the accepted document, or None if it is not known.

    Attributes
    ----------
    seen : Observer
        The observer that was passed.
    counters : Counter
        Rounds by result, commits by step and outcome, reboot requests by outcome.
    """

    def __init__(
        self,
        fleet_observer: observer.Observer,
        leases: lease.Leases,
        find_document: FindDocument,
    ) -> None:
        self.seen = fleet_observer
        self.leases = leases
        self.find_document = find_document
        self.counters: collections.Counter[str] = collections.Counter()
        self._requested_at: dict[tuple[str, int], float] = {}
        self._problem = ""

    @property
    def is_busy(self) -> bool:
        """Whether this daemon holds the duty and a stop is under way."""
        rows = self.seen.view.vms.values()
        under_way = any(
            row.state not in (state.VmState.UP, state.VmState.DOWN) for row in rows
        )
        return under_way and self.leases.current(DUTY) is not None

    async def step(self) -> str:
        """Run one round; return why it could not be run, or an empty string."""
        problem = await self._step()
        self.counters[f"round: {'run' if not problem else 'not run'}"] += 1
        if problem != self._problem:
            log.log_change("fleet rounds", state=problem or "run")
            self._problem = problem
        return problem

    async def _step(self) -> str:
        if self.leases.current(DUTY) is None:
            return "duty is held by another daemon"
        accepted = self.find_document()
        if accepted is None:
            return "no accepted document is known"
        if not await self.seen.refresh():
            return self.seen.problem
        snapshot = await self.seen.take_snapshot(accepted)
        return await self._execute(snapshot)

    async def _execute(self, snapshot: wave.Snapshot) -> str:
        """Commit every step that the snapshot allows, each on the latest view."""
        # A VM that is back and healthy is checked and returned in one round: a step
        # that waits for the next round leaves the pool's spare VM unused.
        while steps := wave.advance(snapshot)[0]:
            if not await self._commit_all(steps):
                return "a step was not committed"
        await self._request_reboots(snapshot)
        membership_changes = move.release(
            snapshot, self.seen.missing
        ) + move.assign_vms(snapshot)
        if not await self._commit_all(membership_changes):
            return "a step was not committed"
        for pick_changes in (move.pick_moves, batch.pick_stops):
            if not await self._commit_all(pick_changes(snapshot).changes):
                return "a step was not committed"
        for wave_spec in batch.list_finished(snapshot):
            if not await self._finish(snapshot, wave_spec):
                return "a step was not committed"
        return ""

    async def _commit_all(self, changes: Iterable[change.Change]) -> bool:
        for vm_change in changes:
            if not await self._commit(vm_change):
                return False
        return True

    async def _commit(self, vm_change: change.Change) -> bool:
        """Commit one change; return False to end the round without further changes."""
        held_lease = self.leases.current(DUTY)
        age = self.seen.platform.clock() - self.seen.refreshed_at
        if held_lease is None or age > MAX_OBSERVATION_AGE_SECONDS:
            return False
        transaction = change.build(vm_change, self.seen.view, held_lease.condition)
        if not await self._write(transaction, vm_change.step.value):
            return False
        if vm_change.step is change.Step.LOSE:
            log.log_warning("VM is down", vm=vm_change.row.vm, why=vm_change.why)
        if vm_change.step is change.Step.REBOOT:
            await self._request_reboot(self.seen.view.vms[vm_change.row.vm])
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

    async def _finish(self, snapshot: wave.Snapshot, wave_spec: document.Wave) -> bool:
        held_lease = self.leases.current(DUTY)
        if held_lease is None:
            return False
        row = snapshot.view.waves[wave_spec.name]._replace(
            status=state.WaveStatus.DONE, since=snapshot.observation.now
        )
        transaction = change.build_wave(row, "no VM is left", held_lease.condition)
        return await self._write(transaction, "finish")

    async def _request_reboots(self, snapshot: wave.Snapshot) -> None:
        now = self.seen.platform.clock()
        for row in wave.find_pending_reboots(snapshot):
            requested_at = self._requested_at.get((row.vm, row.boot))
            if (
                requested_at is None
                or now - requested_at >= snapshot.limits.reboot_retry
            ):
                await self._request_reboot(row)

    async def _request_reboot(self, row: state.VmRow) -> None:
        """Request the reboot if this daemon still holds the duty.

        A daemon that is paused between this check and the call sends the request
        late. By then the row can have left ``rebooting`` only with a higher boot
        number, in which case the platform refuses the request.
        """
        if self.leases.current(DUTY) is None:
            return
        self._requested_at = {
            key: at for key, at in self._requested_at.items() if key[0] != row.vm
        }
        self._requested_at[(row.vm, row.boot)] = self.seen.platform.clock()
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
    """Try to acquire the duty, and run rounds until cancelled.

    Parameters
    ----------
    runner : Runner
        The runner whose rounds are run.
    interval, busy_interval : float
        Seconds between rounds without and with a stop under way.
    """
    runner.leases.want(DUTY)
    task_status.started()
    while True:
        await runner.step()
        await anyio.sleep(busy_interval if runner.is_busy else interval)
