"""Simulated VMs and their workers: pools, store entries, moves and maintenance."""

import random
from typing import Any, NamedTuple

import anyio
import orjson

from standins import rowstore, siteworker
from standins.soak import incarnation, store
from wigeonhitch.platform import entries, fleet, http, workers

__all__ = [
    "HEARTBEAT_SECONDS",
    "SHRUNK_SHARES",
    "STANDBY",
    "VM_MILLICORES",
    "Capacity",
    "Order",
    "Outage",
    "Vm",
    "VmFleet",
]

VM_MILLICORES = 8000

STANDBY = "standby"
"""Name of the pool whose VMs are off."""

STEP_SECONDS = 0.01
"""Interval at which VMs and runs advance."""

HEARTBEAT_SECONDS = 1.5
"""Interval at which a worker writes its entry: the default of the settings."""

ENTRY_TTL_SECONDS = 3 * HEARTBEAT_SECONDS
"""Time without a write after which the store removes an entry."""

SHRUNK_SHARES = (0.1, 0.6)
"""Range of the share of its capacity that a VM keeps when it shrinks."""

CRASH_SECONDS = (0.5, 4.0)
"""Range of the time after which a worker that a task has crashed is back."""

REJOIN_SECONDS = 1.5
"""Time after which a VM serves again after a move, maintenance or drain."""

CALL_DELAY_SECONDS = (2.0, 6.0)
"""Range of the delay with which a late worker carries out calls."""

DRAIN_SECONDS = (2.5, 5.0)
"""Range of the time for which a worker continues after it announced to leave."""


class Order(NamedTuple):
    """A move or maintenance that was carried out; ``wave`` is 0 for a move."""

    time: float
    vm: str
    wave: int
    holder: str
    fence: int


class Capacity(NamedTuple):
    """The millicores of a worker from a time on."""

    time: float
    worker: str
    millicores: int


class Outage(NamedTuple):
    """Time for which a VM is down because a task has crashed its worker."""

    begin: float
    end: float
    worker: str
    pool: str


class _DelayedCall(NamedTuple):
    """A call that a worker carries out later without answering it."""

    due: float
    worker: incarnation.Worker
    path: str
    body: Any


class Vm:
    """VM at one address, with the current incarnation of its worker."""

    def __init__(self, name: str, pool: str, port: int, address: str) -> None:
        self.name = name
        self.pool = pool
        self.port = port
        self.address = address
        self.state = fleet.VmState.UP
        self.worker: incarnation.Worker | None = None
        self.returns_at: float | None = None
        self.leaves_at: float | None = None
        self.fence = 0
        self.is_late = False
        self.millicores = VM_MILLICORES
        self.runs_changed = anyio.Event()


class VmFleet:
    """All VMs of a site.

    Attributes
    ----------
    events : list of siteworker.Event
        Task events on all workers.
    orders : list of Order
        Moves and maintenance that were carried out.
    drained : dict of str to float
        Times at which workers wrote that they leave, by worker.
    capacities : list of Capacity
        Changes of the capacity of workers.
    outages : list of Outage
        Outages that tasks have caused.
    restarts : incarnation.Restarts or None
        Restarts of workers under their ids; None if each incarnation has a new one.
    workers : list of incarnation.Worker
        All incarnations, in order.
    """

    def __init__(
        self,
        rows: rowstore.RowStore,
        rng: random.Random,
        restarts: incarnation.Restarts | None = None,
    ) -> None:
        self.rows = rows
        self.restarts = restarts
        self.workers: list[incarnation.Worker] = []
        self.events: list[siteworker.Event] = []
        self.orders: list[Order] = []
        self.drained: dict[str, float] = {}
        self.capacities: list[Capacity] = []
        self.outages: list[Outage] = []
        self.vms: dict[str, Vm] = {}
        self._rng = rng
        self._delayed_calls: list[_DelayedCall] = []
        self._last_heartbeats: dict[str, float] = {}
        self._expiries: dict[str, float] = {}

    def add(self, vm: Vm) -> None:
        """Add a VM; its worker starts immediately unless the VM is on standby."""
        self.vms[vm.name] = vm
        if vm.pool != STANDBY:
            self._start_worker(vm)

    async def run(self) -> None:
        """Advance VMs and runs until cancelled."""
        while True:
            now = http.read_clock()
            for call in [call for call in self._delayed_calls if call.due <= now]:
                self._delayed_calls.remove(call)
                if call.worker.alive:
                    self._carry_out(call.worker, call.path, call.body)
            for vm in self.vms.values():
                self._advance(vm, now)
            for id, expiry in list(self._expiries.items()):
                if now >= expiry and not self.rows.is_down:
                    del self._expiries[id]
                    self.rows.put(entries.WORKER_TABLE, "", id, None)
            await anyio.sleep(STEP_SECONDS)

    def crash(self, vm: Vm, duration: float) -> None:
        """Crash a worker; its next incarnation starts later."""
        if vm.worker is not None:
            self._stop_worker(vm, now := http.read_clock())
            vm.returns_at = now + duration

    def restart(self, vm: Vm, duration: float, **changes: bool) -> None:
        """Crash a worker, which is later restarted under its id.

        ``changes`` are those of `incarnation.Restarts.keep`.
        """
        if vm.worker is not None:
            self.restarts.keep(vm.name, **changes)
            self.crash(vm, duration)

    def resize(self, vm: Vm, share: float) -> None:
        """Change a VM's capacity to a share of its usual one, and write its entry."""
        vm.millicores = int(VM_MILLICORES * share)
        if vm.worker is not None:
            now = http.read_clock()
            self._record_capacity(vm, now)
            self._write_entry(vm, now)

    def _record_capacity(self, vm: Vm, now: float) -> None:
        self.capacities.append(Capacity(now, vm.worker.id, vm.millicores))

    def drain(self, vm: Vm) -> None:
        """Let a worker announce that it leaves; its next incarnation starts later."""
        now = http.read_clock()
        if vm.worker is not None and vm.leaves_at is None and not self.rows.is_down:
            vm.leaves_at = now + self._rng.uniform(*DRAIN_SECONDS)
            self.drained[vm.worker.id] = now
            self._write_entry(vm, now)

    async def answer(self, vm: Vm, path: str, target: str, body: Any) -> store.Answer:
        """Answer a call to the worker at a VM's address."""
        if vm.worker is None or vm.worker.registered_id != target:
            return store.Answer(421)
        if vm.is_late and path != "/v1/hold":
            due = http.read_clock() + self._rng.uniform(*CALL_DELAY_SECONDS)
            self._delayed_calls.append(_DelayedCall(due, vm.worker, path, body))
            return store.Answer(0)
        if path == "/v1/hold":
            return await self._hold(vm, vm.worker, body)
        return self._carry_out(vm.worker, path, body)

    def list_vms(self) -> store.Answer:
        """Answer with the list of all VMs."""
        vms = [self._encode_vm(vm) for vm in self.vms.values()]
        return store.Answer(200, {"machines": vms})

    def order(self, path: str, holder: str, fence: int, body: Any) -> store.Answer:
        """Carry out a move or maintenance."""
        vm = self.vms.get(body["machine"])
        wave = body.get("wave", 0)
        if vm is None:
            return store.Answer(400)
        if fence < vm.fence:
            return store.Answer(409, {"reason": "fence"})
        vm.fence = fence
        done = any(order.vm == vm.name and order.wave == wave for order in self.orders)
        if (wave and done) or (not wave and body["pool"] == vm.pool):
            return store.Answer(200)
        if vm.state is not fleet.VmState.UP or vm.leaves_at is not None:
            return store.Answer(409, {"reason": "busy"})
        now = http.read_clock()
        self.orders.append(Order(now, vm.name, wave, holder, fence))
        self._stop_worker(vm, now, kind="ordered")
        vm.state = fleet.VmState.UPKEEP if wave else fleet.VmState.MOVING
        vm.pool = body.get("pool", vm.pool)
        vm.returns_at = now + REJOIN_SECONDS
        return store.Answer(200)

    # -- worker incarnations

    def _start_worker(self, vm: Vm) -> None:
        drift = self._rng.choice((0.0, 0.02))
        id = f"life{len(self.workers) + 1:04d}"
        vm.worker = incarnation.Worker(id, self.events, self._rng, drift=drift)
        self.workers.append(vm.worker)
        if self.restarts is not None:
            vm.address = self.restarts.begin(vm.name, vm.worker, http.read_clock())
            self._last_heartbeats.pop(vm.worker.registered_id, None)
        vm.state = fleet.VmState.UP
        vm.returns_at = vm.leaves_at = None
        self._record_capacity(vm, http.read_clock())
        self._write_entry(vm, http.read_clock())

    def _stop_worker(self, vm: Vm, now: float, kind: str = "") -> None:
        if vm.worker is None:
            return
        if kind:
            for run in vm.worker.runs.values():
                self.events.append(
                    siteworker.Event(now, kind, vm.worker.id, run.task, run.number)
                )
        vm.worker.crash(now)
        id = vm.worker.registered_id
        self._expiries[id] = self._last_heartbeats.get(id, now) + ENTRY_TTL_SECONDS
        if self.restarts is not None:
            self.restarts.end(vm.name)
        vm.worker = vm.leaves_at = None
        vm.state = fleet.VmState.DOWN

    def _advance(self, vm: Vm, now: float) -> None:
        if vm.worker is not None and not vm.worker.alive:
            duration = self._rng.uniform(*CRASH_SECONDS)
            self.outages.append(Outage(now, now + duration, vm.worker.id, vm.pool))
            self.crash(vm, duration)
        if vm.worker is not None:
            run_count = len(vm.worker.runs)
            vm.worker.advance(now)
            if len(vm.worker.runs) != run_count:
                vm.runs_changed.set()
                vm.runs_changed = anyio.Event()
            last_heartbeat = self._last_heartbeats.get(vm.worker.registered_id, 0.0)
            if now - last_heartbeat > HEARTBEAT_SECONDS:
                self._write_entry(vm, now)
            if vm.leaves_at is not None and now >= vm.leaves_at:
                self._stop_worker(vm, now)
                vm.returns_at = now + REJOIN_SECONDS
        elif vm.returns_at is not None and now >= vm.returns_at:
            vm.state, vm.returns_at = fleet.VmState.UP, None
            if vm.pool != STANDBY:
                self._start_worker(vm)

    def _write_entry(self, vm: Vm, now: float) -> None:
        if self.rows.is_down or vm.worker is None:
            return
        id = vm.worker.registered_id
        self._last_heartbeats[id] = now
        self._expiries.pop(id, None)
        vm.worker.sequence += 1
        fields = {
            "service": vm.pool,
            "address": vm.address,
            "zone": "dc",
            "state": "ready" if vm.leaves_at is None else "draining",
            "capacity": _encode_capacity(vm),
            "labels": ["kind", "r1"],
            "clock_ms": int(vm.worker.read_clock(now) * 1000),
        }
        if vm.leaves_at is not None:
            fields["remaining_ms"] = int(DRAIN_SECONDS[0] * 1000)
        if self.restarts is not None:
            fields["sequence"] = vm.worker.sequence
        fields.update(vm.worker.describe_start())
        self.rows.put(entries.WORKER_TABLE, "", id, orjson.dumps(fields))

    # -- calls

    def _carry_out(
        self, worker: incarnation.Worker, path: str, body: Any
    ) -> store.Answer:
        now = http.read_clock()
        task = workers.read_task(body["task"])
        run, fence = body["run"], body.get("fencing_token", 0)
        if path == "/v1/run-stop":
            stopped = worker.runs.get(task)
            verdict = worker.stop(task, run, fence, now)
            if stopped is not None and task not in worker.runs:
                self.events.append(
                    siteworker.Event(now, "ordered", worker.id, task, stopped.number)
                )
        elif path == "/v1/run-start":
            deadline = body["deadline_ms"] / 1000
            order = workers.Start(task, run, body["spec"], deadline, fence)
            verdict = worker.start(order, now)
        else:
            verdict = workers.Verdict.DONE
        if not worker.alive:
            return store.Answer(0)
        return self._build_answer(worker, verdict)

    async def _hold(
        self, vm: Vm, worker: incarnation.Worker, body: Any
    ) -> store.Answer:
        deadline = body.get("deadline_ms")
        fence, last_seen = body.get("fencing_token", 0), body["last_seen"]
        wait_until = http.read_clock() + body.get("wait_ms", 0) / 1000
        renewed_deadline = None if deadline is None else deadline / 1000
        while True:
            now = http.read_clock()
            verdict, running, ended = worker.hold(
                fence, renewed_deadline, last_seen, now
            )
            if ended or now >= wait_until or verdict is not workers.Verdict.DONE:
                break
            with anyio.move_on_after(wait_until - now):
                await vm.runs_changed.wait()
            if not worker.alive:
                return store.Answer(0)
        answer = self._build_answer(worker, verdict)
        if answer.status == 200:
            answer.body["running"] = [incarnation.encode_run(run) for run in running]
            answer.body["finished"] = [incarnation.encode_end(end) for end in ended]
            answer.body.update(worker.describe_start())
        return answer

    def _build_answer(
        self, worker: incarnation.Worker, verdict: workers.Verdict
    ) -> store.Answer:
        body = {"clock_ms": int(worker.read_clock(http.read_clock()) * 1000)}
        if verdict is workers.Verdict.DONE:
            return store.Answer(200, body)
        reasons = {value: text for text, value in workers.VERDICTS_BY_REASON.items()}
        return store.Answer(409, {**body, "reason": reasons[verdict]})

    def _encode_vm(self, vm: Vm) -> dict[str, Any]:
        state, id = vm.state, ""
        if vm.worker is not None:
            id = vm.worker.registered_id
        elif self.restarts is not None and vm.state is fleet.VmState.DOWN:
            id = self.restarts.get_listed_id(vm.name)
            state = fleet.VmState.UP if id else state
        return {
            "machine": vm.name,
            "pool": vm.pool,
            "state": state.value,
            "zone": "dc",
            "labels": ["kind", "r1"],
            "capacity": _encode_capacity(vm),
            "id": id,
        }


def _encode_capacity(vm: Vm) -> dict[str, int]:
    return {"cpu": vm.millicores, "mem_mb": 65536, "gpus": 0}
