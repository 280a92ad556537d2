"""VMs and their workers: pools, entries in the store, moves and upkeep."""

import random
from typing import Any, NamedTuple

import anyio
import orjson

from standins import rowstore, siteworker
from standins.soak import store
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, fleet, http, workers

__all__ = ["CPU", "STANDBY", "Order", "Vm", "VmFleet"]

CPU = 8000
"""Thousandths of a core that each VM has."""

STANDBY = "standby"
"""Name of the pool whose VMs are off."""

STEP = 0.01
"""Seconds between two looks at what has ended."""

BEAT = 1.5
"""Seconds between two writings of a worker's entry, as the settings say."""

LAPSE = 3 * BEAT
"""Seconds of silence after which the store removes an entry."""

REJOIN = 1.5
"""Seconds after which a VM serves again, in whichever pool."""

LATE = (2.0, 6.0)
"""Seconds by which a late worker carries out its calls later."""

LEAVE = (2.5, 5.0)
"""Seconds for which a leaving worker goes on after its entry says so."""


class Order(NamedTuple):
    """A move or an upkeep that was carried out; ``wave`` is 0 for a move."""

    time: float
    vm: str
    wave: int
    holder: str
    fence: int


class _Late(NamedTuple):
    """A call that a worker carries out later, without an answer."""

    due: float
    life: "Worker"
    path: str
    body: Any


class Worker(siteworker.Worker):
    """A worker whose runs end as their ``spec`` says."""

    def draw_end(self, order: workers.Start) -> tuple[float, model.End]:
        """Return after how many seconds a run ends, and how."""
        asked = orjson.loads(order.spec)
        failed = self._rng.random() < asked.get("fail", 0.0)
        how = model.End.FAILED if failed else model.End.DONE
        return asked["seconds"], how


class Vm:
    """One VM at one address, with the present life of its worker."""

    def __init__(self, name: str, pool: str, port: int, address: str) -> None:
        self.name = name
        self.pool = pool
        self.port = port
        self.address = address
        self.state = fleet.VmState.UP
        self.life: Worker | None = None
        self.returns_at: float | None = None
        self.leaves_at: float | None = None
        self.fence = 0
        self.is_late = False
        self.runs_changed = anyio.Event()


class VmFleet:
    """All VMs of a site.

    Attributes
    ----------
    events : list of siteworker.Event
        What happened to tasks, on all workers.
    orders : list of Order
        Moves and upkeeps that were carried out.
    drained : dict of str to float
        When the store took the entry that says that a worker leaves.
    """

    def __init__(self, rows: rowstore.RowStore, rng: random.Random) -> None:
        self.rows = rows
        self.events: list[siteworker.Event] = []
        self.orders: list[Order] = []
        self.drained: dict[str, float] = {}
        self.vms: dict[str, Vm] = {}
        self._rng = rng
        self._late: list[_Late] = []
        self._lives = 0
        self._beats: dict[str, float] = {}
        self._expiries: dict[str, float] = {}

    def add(self, vm: Vm) -> None:
        """Add a VM; its worker begins at once unless it is off."""
        self.vms[vm.name] = vm
        if vm.pool != STANDBY:
            self._begin(vm)

    async def run(self) -> None:
        """Let time pass until cancelled."""
        while True:
            now = http.read_clock()
            for one in [one for one in self._late if one.due <= now]:
                self._late.remove(one)
                if one.life.alive:
                    self._carry_out(one.life, one.path, one.body)
            for vm in self.vms.values():
                self._advance(vm, now)
            for id, expiry in list(self._expiries.items()):
                if now >= expiry and not self.rows.is_down:
                    del self._expiries[id]
                    self.rows.put(entries.WORKER_TABLE, "", id, None)
            await anyio.sleep(STEP)

    def crash(self, vm: Vm, for_s: float) -> None:
        """End a worker without a word; another life begins later."""
        if vm.life is not None:
            self._end(vm, now := http.read_clock())
            vm.returns_at = now + for_s

    def drain(self, vm: Vm) -> None:
        """Let a worker announce that it leaves; another life begins later."""
        now = http.read_clock()
        if vm.life is not None and vm.leaves_at is None and not self.rows.is_down:
            vm.leaves_at = now + self._rng.uniform(*LEAVE)
            self.drained[vm.life.id] = now
            self._write(vm, now)

    async def answer(self, vm: Vm, path: str, target: str, body: Any) -> store.Answer:
        """Answer a call to the worker at a VM's address."""
        if vm.life is None or vm.life.id != target:
            return store.Answer(421)
        if vm.is_late and path != "/v1/hold":
            due = http.read_clock() + self._rng.uniform(*LATE)
            self._late.append(_Late(due, vm.life, path, body))
            return store.Answer(0)
        if path == "/v1/hold":
            return await self._hold(vm, vm.life, body)
        return self._carry_out(vm.life, path, body)

    def list_vms(self) -> store.Answer:
        """Answer with all VMs."""
        listed = [_write_vm(vm) for vm in self.vms.values()]
        return store.Answer(200, {"machines": listed})

    def order(self, path: str, holder: str, fence: int, body: Any) -> store.Answer:
        """Carry out a move or an upkeep."""
        vm = self.vms.get(body["machine"])
        wave = body.get("wave", 0)
        if vm is None:
            return store.Answer(400)
        if fence < vm.fence:
            return store.Answer(409, {"reason": "fence"})
        vm.fence = fence
        done = any(one.vm == vm.name and one.wave == wave for one in self.orders)
        if (wave and done) or (not wave and body["pool"] == vm.pool):
            return store.Answer(200)
        if vm.state is not fleet.VmState.UP or vm.leaves_at is not None:
            return store.Answer(409, {"reason": "busy"})
        now = http.read_clock()
        self.orders.append(Order(now, vm.name, wave, holder, fence))
        self._end(vm, now, how="ordered")
        vm.state = fleet.VmState.UPKEEP if wave else fleet.VmState.MOVING
        vm.pool = body.get("pool", vm.pool)
        vm.returns_at = now + REJOIN
        return store.Answer(200)

    # -- lives

    def _begin(self, vm: Vm) -> None:
        self._lives += 1
        drift = self._rng.choice((0.0, 0.02))
        id = f"life{self._lives:04d}"
        vm.life = Worker(id, self.events, self._rng, drift=drift)
        vm.state = fleet.VmState.UP
        vm.returns_at = vm.leaves_at = None
        self._write(vm, http.read_clock())

    def _end(self, vm: Vm, now: float, how: str = "") -> None:
        if vm.life is None:
            return
        if how:
            for run in vm.life.runs.values():
                self.events.append(
                    siteworker.Event(now, how, vm.life.id, run.task, run.number)
                )
        vm.life.crash(now)
        self._expiries[vm.life.id] = self._beats.get(vm.life.id, now) + LAPSE
        vm.life = vm.leaves_at = None
        vm.state = fleet.VmState.DOWN

    def _advance(self, vm: Vm, now: float) -> None:
        if vm.life is not None:
            before = len(vm.life.runs)
            vm.life.advance(now)
            if len(vm.life.runs) != before:
                vm.runs_changed.set()
                vm.runs_changed = anyio.Event()
            if now - self._beats.get(vm.life.id, 0.0) > BEAT:
                self._write(vm, now)
            if vm.leaves_at is not None and now >= vm.leaves_at:
                self._end(vm, now)
                vm.returns_at = now + REJOIN
        elif vm.returns_at is not None and now >= vm.returns_at:
            vm.state, vm.returns_at = fleet.VmState.UP, None
            if vm.pool != STANDBY:
                self._begin(vm)

    def _write(self, vm: Vm, now: float) -> None:
        if self.rows.is_down or vm.life is None:
            return
        self._beats[vm.life.id] = now
        fields = {
            "service": vm.pool,
            "address": vm.address,
            "zone": "dc",
            "state": "ready" if vm.leaves_at is None else "draining",
            "capacity": _write_room(),
            "labels": ["kind", "r1"],
            "clock_ms": int(vm.life.read_clock(now) * 1000),
        }
        if vm.leaves_at is not None:
            fields["remaining_ms"] = int(LEAVE[0] * 1000)
        self.rows.put(entries.WORKER_TABLE, "", vm.life.id, orjson.dumps(fields))

    # -- calls

    def _carry_out(self, life: Worker, path: str, body: Any) -> store.Answer:
        now = http.read_clock()
        task = workers.read_task(body["task"])
        run, fence = body["run"], body.get("fencing_token", 0)
        if path == "/v1/run-stop":
            stopped = life.runs.get(task)
            verdict = life.stop(task, run, fence, now)
            if stopped is not None and task not in life.runs:
                self.events.append(
                    siteworker.Event(now, "ordered", life.id, task, stopped.number)
                )
        elif path == "/v1/run-start":
            deadline = body["deadline_ms"] / 1000
            order = workers.Start(task, run, body["spec"], deadline, fence)
            verdict = life.start(order, now)
        else:
            verdict = workers.Verdict.DONE
        return self._judge(life, verdict)

    async def _hold(self, vm: Vm, life: Worker, body: Any) -> store.Answer:
        deadline = body.get("deadline_ms")
        fence, seen = body.get("fencing_token", 0), body["last_seen"]
        until = http.read_clock() + body.get("wait_ms", 0) / 1000
        renewed = None if deadline is None else deadline / 1000
        while True:
            now = http.read_clock()
            verdict, running, ended = life.hold(fence, renewed, seen, now)
            if ended or now >= until or verdict is not workers.Verdict.DONE:
                break
            with anyio.move_on_after(until - now):
                await vm.runs_changed.wait()
            if not life.alive:
                return store.Answer(0)
        answer = self._judge(life, verdict)
        if answer.status == 200:
            answer.body["running"] = [_write_running(one) for one in running]
            answer.body["finished"] = [_write_ended(one) for one in ended]
        return answer

    def _judge(self, life: Worker, verdict: workers.Verdict) -> store.Answer:
        body = {"clock_ms": int(life.read_clock(http.read_clock()) * 1000)}
        if verdict is workers.Verdict.DONE:
            return store.Answer(200, body)
        reasons = {one: text for text, one in workers.VERDICTS_BY_REASON.items()}
        return store.Answer(409, {**body, "reason": reasons[verdict]})


def _write_room() -> dict[str, int]:
    return {"cpu": CPU, "mem_mb": 65536, "gpus": 0}


def _write_vm(vm: Vm) -> dict[str, Any]:
    return {
        "machine": vm.name,
        "pool": vm.pool,
        "state": vm.state.value,
        "zone": "dc",
        "labels": ["kind", "r1"],
        "capacity": _write_room(),
        "id": vm.life.id if vm.life is not None else "",
    }


def _write_running(one: workers.Running) -> list[Any]:
    return [workers.write_task(one.task), one.run, one.checkpoint, one.work, one.load]


def _write_ended(one: workers.Ended) -> list[Any]:
    name = workers.write_task(one.task)
    return [one.number, name, one.run, one.end.value, one.checkpoint]
