"""Faults of a run: a seeded plan, and its injection from outside the daemons."""

import random
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from standins.soak import environment, relay, vmfleet
from wigeonhitch.platform import http

__all__ = [
    "KINDS",
    "LATE_KIND",
    "PLANNED",
    "Fault",
    "Injector",
    "Span",
    "plan",
    "plan_team_changes",
]

CAPACITY_KIND = "worker shrinks"
LATE_KIND = "share of writes late"
TEAM_KINDS = ("key revoked", "ceiling lowered")
PLANNED = frozenset(
    {
        *("stop", "reload", "configuration", "wave", "worker leaves", CAPACITY_KIND),
        *TEAM_KINDS,
    }
)
"""Kinds that are planned operations; no guarantee is suspended for them."""

DAEMON_KINDS = ("kill", "stop", "pause", "reload", "kill all")
STORE_LINK_KINDS = ("store cut", "store cut out", "store cut back", "store slow link",
              "store reset", "store silent")  # fmt: skip
WORKER_KINDS = ("worker cut", "worker cut back", "worker reset", "worker silent",
          "worker late", "worker crash", "worker leaves")  # fmt: skip
STORE_KINDS = ("down", "slow", "answers lost", "late writes", "history dropped")
OPERATOR_KINDS = ("configuration", "wave")
KINDS = (*DAEMON_KINDS, *STORE_LINK_KINDS, *WORKER_KINDS, *STORE_KINDS, *OPERATOR_KINDS)

LINK_STATES = {
    "cut": relay.Link.CUT,
    "cut out": relay.Link.CUT_OUT,
    "cut back": relay.Link.CUT_BACK,
    "slow link": relay.Link.SLOW,
}

DURATION_SECONDS = (0.3, 5.0)
"""Range of a fault's duration: from shorter to longer than every lease."""

GAP_SECONDS = (0.2, 2.5)
"""Range of the time between two faults of a series."""

SERIES_PER_SECOND = 0.45
"""Series of faults that begin per second; they may overlap."""

CAPACITY_CHANGES_PER_SECOND = 0.2
"""Workers per second whose capacity shrinks for a time."""

TEAM_CHANGE_SHARES = (0.25, 0.5)
"""Part of a run in which the operator changes teams: with one team's burst."""

WAVE_SECONDS = 20.0
"""Time in which a wave of maintenance should complete."""

WRITE_RETRY_SECONDS = 0.05
"""Interval at which the operator repeats a write that the store refuses."""

SLOW_STORE_SECONDS = 0.24
"""Additional duration of each call to a slow store: 60 times the usual 4 ms."""


class Fault(NamedTuple):
    """One fault; ``pick`` in 0 to 1 selects its target."""

    at: float
    kind: str
    pick: float
    duration: float


class Span(NamedTuple):
    """A fault that was injected, and its target."""

    begin: float
    end: float
    kind: str
    target: str


def plan(rng: random.Random, seconds: float) -> list[Fault]:
    """Return the faults of a run, in series that may overlap."""
    faults = []
    for _ in range(max(1, round(seconds * SERIES_PER_SECOND))):
        at = rng.uniform(0.5, seconds)
        kind = rng.choice(KINDS)
        for _ in range(rng.choice((1, 1, 2, 3))):
            faults.append(Fault(at, kind, rng.random(), rng.uniform(*DURATION_SECONDS)))
            at += rng.uniform(*GAP_SECONDS)
    # Drawn last, so that the other faults of a seed stay the same.
    for _ in range(round(seconds * CAPACITY_CHANGES_PER_SECOND)):
        at = rng.uniform(0.5, seconds)
        duration = rng.uniform(*DURATION_SECONDS)
        faults.append(Fault(at, CAPACITY_KIND, rng.random(), duration))
    return sorted(fault for fault in faults if fault.at < seconds)


def plan_team_changes(rng: random.Random, seconds: float) -> list[Fault]:
    """Return the operator's changes of teams, in the middle of a run."""
    return [
        Fault(seconds * rng.uniform(*TEAM_CHANGE_SHARES), kind, 0.0, 0.0)
        for kind in TEAM_KINDS
    ]


class Injector:
    """Injects faults.

    Attributes
    ----------
    spans : list of Span
        Injected faults, for the checks.
    """

    def __init__(self, site: environment.Environment, rng: random.Random) -> None:
        self.spans: list[Span] = []
        self._site = site
        self._rng = rng
        self._version = 1
        self._waves = 0

    async def run(self, faults: list[Fault]) -> None:
        """Inject the faults of a plan; return when all of them are over."""
        began = http.read_clock()
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep(max(0.0, began + fault.at - http.read_clock()))
                group.start_soon(self._inject, fault)

    async def _inject(self, fault: Fault) -> None:
        begin = http.read_clock()
        kind = fault.kind
        if kind in DAEMON_KINDS:
            target = await self._inject_daemon_fault(fault)
        elif kind in STORE_KINDS:
            target = await self._inject_store_fault(fault)
        elif kind == LATE_KIND:
            await self._site.store.delay_writes(self._rng, fault.duration)
            target = "store"
        elif kind in TEAM_KINDS:
            target = await self._change_teams(kind)
        elif kind in OPERATOR_KINDS:
            target = self._run_operation(kind)
        else:
            target = await self._inject_link_fault(fault)
        self.spans.append(Span(begin, http.read_clock(), kind, target))

    async def _inject_daemon_fault(self, fault: Fault) -> str:
        daemon = _pick(self._site.daemons, fault.pick)
        if fault.kind == "kill all":
            for other in self._site.daemons:
                other.signal(signal.SIGKILL)
        elif fault.kind == "kill":
            daemon.signal(signal.SIGKILL)
        elif fault.kind == "stop":
            daemon.terminate()
            await anyio.sleep(environment.TERMINATION_GRACE_SECONDS)
        elif fault.kind == "reload":
            with daemon.settings.open("a") as settings:
                settings.write(f"unknown.key={fault.pick}\n")
            daemon.signal(signal.SIGHUP)
        else:
            daemon.signal(signal.SIGSTOP)
            await anyio.sleep(fault.duration)
            daemon.signal(signal.SIGCONT)
        return daemon.name

    async def _inject_store_fault(self, fault: Fault) -> str:
        store = self._site.store
        if fault.kind == "down":
            store.rows.is_down = True
            await anyio.sleep(fault.duration)
            store.rows.is_down = False
        elif fault.kind == "slow":
            store.delay = SLOW_STORE_SECONDS
            await anyio.sleep(fault.duration)
            store.delay = 0.0
        elif fault.kind == "answers lost":
            store.rows.lost_answers += 1 + int(fault.pick * 8)
        elif fault.kind == "late writes":
            store.rows.deferred_commits += 1 + int(fault.pick * 8)
            await anyio.sleep(1 + fault.duration)
            store.rows.deferred_commits = 0
            store.rows.apply_deferred()
        else:
            store.rows.expire_history()
        return "store"

    async def _change_teams(self, kind: str) -> str:
        """Write a configuration with changed teams as soon as the store accepts it."""
        while self._site.store.rows.is_down:
            await anyio.sleep(WRITE_RETRY_SECONDS)
        if kind == "key revoked":
            target = self._site.teams.revoke(self._rng, http.read_clock())
        else:
            target = self._site.teams.lower_ceiling(http.read_clock())
        self._version += 1
        self._site.write_catalogue(self._version)
        return target

    def _run_operation(self, kind: str) -> str:
        if kind == "configuration":
            self._version += self._rng.randint(1, 5)
            self._site.write_catalogue(self._version, self._rng.randrange(20))
            return str(self._version)
        names = [vm.name for vm in self._site.vm_fleet.vms.values()]
        vms = sorted(self._rng.sample(names, 3))
        self.order_wave(vms)
        return ",".join(vms)

    def order_wave(self, vms: list[str]) -> None:
        """Order maintenance of VMs, one at a time."""
        self._waves += 1
        self._site.order_wave(self._waves, vms, WAVE_SECONDS)

    async def _inject_link_fault(self, fault: Fault) -> str:
        place, _, effect = fault.kind.partition(" ")
        if place == "store":
            daemon = _pick(self._site.daemons, fault.pick)
            await _inject_relay_fault(daemon.store, effect, fault.duration)
            return daemon.name
        vm = _pick(list(self._site.vm_fleet.vms.values()), fault.pick)
        if effect == "crash":
            self._site.vm_fleet.crash(vm, fault.duration)
        elif effect == "leaves":
            self._site.vm_fleet.drain(vm)
        elif effect == "shrinks":
            self._site.vm_fleet.resize(vm, self._rng.uniform(*vmfleet.SHRUNK_SHARES))
            await anyio.sleep(fault.duration)
            self._site.vm_fleet.resize(vm, 1.0)
        elif effect == "late":
            vm.is_late = True
            await anyio.sleep(fault.duration)
            vm.is_late = False
        else:
            await _inject_relay_fault(self._site.links[vm.name], effect, fault.duration)
        return vm.name


async def _inject_relay_fault(link: relay.Relay, effect: str, duration: float) -> None:
    action: dict[str, Callable[[], None]] = {
        "reset": link.reset,
        "silent": link.silence,
    }
    if effect in action:
        action[effect]()
        return
    link.switch(LINK_STATES[effect])
    await anyio.sleep(duration)
    link.switch(relay.Link.OPEN)


def _pick(items: list[Any], pick: float) -> Any:
    return items[int(pick * len(items))]
