"""Faults that restart workers under their ids: their plan, and its injection.

They are injected besides those of another plan: the store may be away, links cut and
leaders replaced meanwhile.
"""

import collections
import random
import re
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import orjson

from standins.soak import environment, fault, leaderfault, vmfleet
from wigeonhitch.platform import entries, fleet, http

__all__ = ["KINDS", "Injector", "plan"]

RESTART_KINDS = (
    "worker restarts",
    "worker restarts twice",
    "worker restarts after clock set back",
    "worker restarts after clock set ahead",
    "worker restarts at the same time of day",
    "worker restarts elsewhere",
    "worker restarts in store outage",
    "worker restarts beside slow store",
    "worker restarts in upkeep",
    "worker restarts after move",
    "worker restarts before late entry",
)
ENTRY_KINDS = (
    "entry without start",
    "entry with later start",
    "entry with earlier start",
    "entry with unreadable start",
)
KINDS = (*RESTART_KINDS, *ENTRY_KINDS)

FAULTS_PER_SECOND = 0.6

DURATION_SECONDS = ((0.2, 1.0), (0.2, 6.0))
"""Ranges of the time from a crash to the restart, drawn equally often: shorter than a
lease, so that only the worker itself shows its restart; and up to longer than every
lease and the store's retention of an entry."""

SECOND_CRASH_SECONDS = (0.05, 0.8)
"""Range of the time from a restart to the next crash."""

SECOND_RESTART_SECONDS = (0.2, 0.6)
"""Range of the times to the restart of a worker that crashes twice: both crashes are
within two seconds."""

CLOCK_STEP_SECONDS = (0.5, 10.0)
"""Range of the step of a VM's wall clock."""

STORE_LEAD_SECONDS = (0.0, 1.0)
"""Range of the time from the begin of a store's fault to the crash beside it, and of
that from the restart to the fault's end."""

UPKEEP_DELAY_SECONDS = (0.0, 1.5)
"""Range of the time from the order of a VM's upkeep to its worker's crash."""

MOVE_TIMEOUT_SECONDS = 4.0
"""Time for which a VM's return from a move is awaited."""

MOVE_DELAY_SECONDS = (0.0, 0.5)
"""Range of the time from a VM's return to its worker's crash."""

LATE_ENTRY_SECONDS = (0.05, 1.0)
"""Range of the time from a restart to the former incarnation's late entry."""

MAX_CRASHES = 2
"""Workers that may crash under one task before it is spared: a scheduler gives up a
task under which several have crashed, whatever the cause."""

POLL_SECONDS = 0.01
"""Interval of checks of the state of VMs and of the store."""


def plan(rng: random.Random, seconds: float, pattern: str = "") -> list[fault.Fault]:
    """Return the faults of a run, which may overlap; their kinds match ``pattern``."""
    kinds = [kind for kind in KINDS if re.search(pattern, kind)]
    return sorted(
        fault.Fault(
            rng.uniform(0.5, seconds),
            rng.choice(kinds),
            rng.random(),
            rng.uniform(*rng.choice(DURATION_SECONDS)),
        )
        for _ in range(max(1, round(seconds * FAULTS_PER_SECOND)))
    )


class Injector(leaderfault.Injector):
    """Injects restarts and foreign entries, and all other faults.

    Parameters
    ----------
    site : environment.Environment
    rng : random.Random
        Random numbers of the other faults.
    restarts_rng : random.Random
        Random numbers of the faults of this module.
    """

    def __init__(
        self,
        site: environment.Environment,
        rng: random.Random,
        restarts_rng: random.Random,
    ) -> None:
        super().__init__(site, rng)
        self._restarts_rng = restarts_rng
        self._handlers: dict[
            str, Callable[[vmfleet.Vm, fault.Fault], Awaitable[None]]
        ] = {
            "worker restarts twice": self._restart_twice,
            "worker restarts after clock set back": self._set_clock_back,
            "worker restarts after clock set ahead": self._set_clock_ahead,
            "worker restarts in store outage": self._restart_in_outage,
            "worker restarts beside slow store": self._restart_beside_slow_store,
            "worker restarts in upkeep": self._restart_in_upkeep,
            "worker restarts after move": self._restart_after_move,
            "worker restarts before late entry": self._write_late_entry,
        }

    async def _inject(self, planned: fault.Fault) -> None:
        if planned.kind not in KINDS:
            await super()._inject(planned)
            return
        begin = http.read_clock()
        vms = [
            vm for vm in self._site.vm_fleet.vms.values() if vm.pool != vmfleet.STANDBY
        ]
        vm = vms[int(planned.pick * len(vms))]
        if planned.kind in ENTRY_KINDS:
            await self._write_foreign_entry(vm, planned.kind)
        else:
            handle = self._handlers.get(planned.kind, self._restart)
            await handle(vm, planned)
        self.spans.append(fault.Span(begin, http.read_clock(), planned.kind, vm.name))

    async def _restart(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        """Crash a worker and wait for its restart."""
        if self._is_spared(vm):
            return
        self._site.vm_fleet.restart(
            vm,
            planned.duration,
            repeats_start="same time" in planned.kind,
            relocates="elsewhere" in planned.kind,
        )
        await anyio.sleep(planned.duration)
        await self._wait_for_worker(vm)

    def _is_spared(self, vm: vmfleet.Vm) -> bool:
        """Return whether a worker runs a task under which others have crashed."""
        crashes = collections.Counter(
            event.task
            for event in self._site.vm_fleet.events
            if event.kind == "end" and event.outcome == "crashed"
        )
        runs = vm.worker.runs if vm.worker is not None else ()
        return any(crashes[task] >= MAX_CRASHES for task in runs)

    async def _wait_for_worker(self, vm: vmfleet.Vm) -> None:
        """Wait until a VM has a worker, unless it is switched off."""
        while vm.worker is None and vm.pool != vmfleet.STANDBY:
            await anyio.sleep(POLL_SECONDS)

    async def _restart_twice(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        for _ in range(2):
            duration = self._restarts_rng.uniform(*SECOND_RESTART_SECONDS)
            await self._restart(vm, planned._replace(duration=duration))
            await anyio.sleep(self._restarts_rng.uniform(*SECOND_CRASH_SECONDS))

    async def _set_clock_back(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        self._step_clock(vm, -self._restarts_rng.uniform(*CLOCK_STEP_SECONDS))
        await self._restart(vm, planned)

    async def _set_clock_ahead(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        self._step_clock(vm, self._restarts_rng.uniform(*CLOCK_STEP_SECONDS))
        await self._restart(vm, planned)

    def _step_clock(self, vm: vmfleet.Vm, seconds: float) -> None:
        offsets = self._site.restarts.wall_offsets
        offsets[vm.name] = offsets.get(vm.name, 0.0) + seconds

    async def _restart_in_outage(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        rows = self._site.store.rows
        rows.is_down = True
        await anyio.sleep(self._restarts_rng.uniform(*STORE_LEAD_SECONDS))
        await self._restart(vm, planned)
        await anyio.sleep(self._restarts_rng.uniform(*STORE_LEAD_SECONDS))
        rows.is_down = False

    async def _restart_beside_slow_store(
        self, vm: vmfleet.Vm, planned: fault.Fault
    ) -> None:
        self._site.store.delay = fault.SLOW_STORE_SECONDS
        await anyio.sleep(self._restarts_rng.uniform(*STORE_LEAD_SECONDS))
        await self._restart(vm, planned)
        await anyio.sleep(self._restarts_rng.uniform(*STORE_LEAD_SECONDS))
        self._site.store.delay = 0.0

    async def _restart_in_upkeep(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        self.order_wave([vm.name])
        await anyio.sleep(self._restarts_rng.uniform(*UPKEEP_DELAY_SECONDS))
        await self._restart(vm, planned)

    async def _restart_after_move(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        """Restart a VM's worker that has just moved, or another one if none moves."""
        with anyio.move_on_after(MOVE_TIMEOUT_SECONDS):
            while not (moving := self._list_moving()):
                await anyio.sleep(POLL_SECONDS)
            vm = moving[0]
            await self._wait_for_worker(vm)
            await anyio.sleep(self._restarts_rng.uniform(*MOVE_DELAY_SECONDS))
        await self._restart(vm, planned)

    def _list_moving(self) -> list[vmfleet.Vm]:
        return [
            vm
            for vm in self._site.vm_fleet.vms.values()
            if vm.state is fleet.VmState.MOVING and vm.pool != vmfleet.STANDBY
        ]

    async def _write_late_entry(self, vm: vmfleet.Vm, planned: fault.Fault) -> None:
        """Restart a worker, and write its former incarnation's entry once more."""
        former = vm.worker and vm.worker.registered_id
        value = former and self._read_entry(former)
        await self._restart(vm, planned)
        await anyio.sleep(self._restarts_rng.uniform(*LATE_ENTRY_SECONDS))
        if value:
            await self._write_entry(former, value)

    async def _write_foreign_entry(self, vm: vmfleet.Vm, kind: str) -> None:
        """Overwrite a live worker's entry until its next heartbeat."""
        if vm.worker is None:
            return
        id, start_ms = vm.worker.registered_id, vm.worker.start_ms
        value = self._read_entry(id)
        if value is None:
            return
        step = int(self._restarts_rng.uniform(*CLOCK_STEP_SECONDS) * 1000)
        starts: dict[str, Any] = {
            "entry with later start": start_ms + step,
            "entry with earlier start": start_ms - step,
            "entry with unreadable start": str(start_ms),
        }
        fields = orjson.loads(value)
        fields.pop("born", None)
        if kind in starts:
            fields["born"] = starts[kind]
        await self._write_entry(id, orjson.dumps(fields))
        await anyio.sleep(vmfleet.HEARTBEAT_SECONDS)

    def _read_entry(self, id: str) -> bytes | None:
        return self._site.store.rows.get(entries.WORKER_TABLE, "", id)

    async def _write_entry(self, id: str, value: bytes) -> None:
        rows = self._site.store.rows
        while rows.is_down:
            await anyio.sleep(POLL_SECONDS)
        rows.put(entries.WORKER_TABLE, "", id, value)
