"""Faults of a run: a seeded plan, and carrying it out from outside."""

import random
import signal
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio

from standins.soak import environment, relay
from wigeonhitch.platform import http

__all__ = ["KINDS", "PLANNED", "Fault", "Injector", "Span", "plan"]

PLANNED = frozenset({"stop", "reload", "configuration", "wave", "worker leaves"})
"""Kinds that are planned work and no disturbance."""

DAEMON = ("kill", "stop", "pause", "reload", "kill all")
STORE_LINK = ("store cut", "store cut out", "store cut back", "store slow link",
              "store reset", "store silent")  # fmt: skip
WORKER = ("worker cut", "worker cut back", "worker reset", "worker silent",
          "worker late", "worker crash", "worker leaves")  # fmt: skip
STORE = ("down", "slow", "answers lost", "late writes", "history dropped")
OPERATOR = ("configuration", "wave")
KINDS = (*DAEMON, *STORE_LINK, *WORKER, *STORE, *OPERATOR)

LINKS = {
    "cut": relay.Link.CUT,
    "cut out": relay.Link.CUT_OUT,
    "cut back": relay.Link.CUT_BACK,
    "slow link": relay.Link.SLOW,
}

LENGTHS = (0.3, 5.0)
"""Seconds that a fault lasts: shorter and longer than every lease."""

GAPS = (0.2, 2.5)
"""Seconds between two faults of a series."""

SERIES_A_SECOND = 0.45
"""Series of faults that begin in a second; they overlap."""

SLOW = 0.24
"""Seconds that each call to a slow store takes longer, 60 times the usual 4 ms."""


class Fault(NamedTuple):
    """One fault; ``pick`` in 0 to 1 chooses what it strikes."""

    at: float
    kind: str
    pick: float
    for_s: float


class Span(NamedTuple):
    """A fault that was brought about, and what it struck."""

    begin: float
    end: float
    kind: str
    target: str


def plan(rng: random.Random, seconds: float) -> list[Fault]:
    """Return the faults of a run, in series that may overlap."""
    found = []
    for _ in range(max(1, round(seconds * SERIES_A_SECOND))):
        at = rng.uniform(0.5, seconds)
        kind = rng.choice(KINDS)
        for _ in range(rng.choice((1, 1, 2, 3))):
            found.append(Fault(at, kind, rng.random(), rng.uniform(*LENGTHS)))
            at += rng.uniform(*GAPS)
    return sorted(one for one in found if one.at < seconds)


class Injector:
    """Brings faults about.

    Attributes
    ----------
    spans : list of Span
        What was done, for the checks.
    """

    def __init__(self, site: environment.Environment, rng: random.Random) -> None:
        self.spans: list[Span] = []
        self._site = site
        self._rng = rng
        self._version = 1
        self._waves = 0

    async def run(self, faults: list[Fault]) -> None:
        """Carry out a plan; return when all of it is over."""
        began = http.read_clock()
        async with anyio.create_task_group() as group:
            for fault in faults:
                await anyio.sleep(max(0.0, began + fault.at - http.read_clock()))
                group.start_soon(self._bring, fault)

    async def _bring(self, fault: Fault) -> None:
        begin = http.read_clock()
        kind = fault.kind
        if kind in DAEMON:
            target = await self._strike_daemon(fault)
        elif kind in STORE:
            target = await self._strike_store(fault)
        elif kind in OPERATOR:
            target = self._operate(kind)
        else:
            target = await self._strike_link(fault)
        self.spans.append(Span(begin, http.read_clock(), kind, target))

    async def _strike_daemon(self, fault: Fault) -> str:
        daemon = _pick(self._site.daemons, fault.pick)
        if fault.kind == "kill all":
            for one in self._site.daemons:
                one.signal(signal.SIGKILL)
        elif fault.kind == "kill":
            daemon.signal(signal.SIGKILL)
        elif fault.kind == "stop":
            daemon.terminate()
            await anyio.sleep(environment.GRACE)
        elif fault.kind == "reload":
            with daemon.settings.open("a") as settings:
                settings.write(f"unknown.key={fault.pick}\n")
            daemon.signal(signal.SIGHUP)
        else:
            daemon.signal(signal.SIGSTOP)
            await anyio.sleep(fault.for_s)
            daemon.signal(signal.SIGCONT)
        return daemon.name

    async def _strike_store(self, fault: Fault) -> str:
        store = self._site.store
        if fault.kind == "down":
            store.rows.is_down = True
            await anyio.sleep(fault.for_s)
            store.rows.is_down = False
        elif fault.kind == "slow":
            store.delay = SLOW
            await anyio.sleep(fault.for_s)
            store.delay = 0.0
        elif fault.kind == "answers lost":
            store.rows.lost_answers += 1 + int(fault.pick * 8)
        elif fault.kind == "late writes":
            store.rows.deferred_commits += 1 + int(fault.pick * 8)
            await anyio.sleep(1 + fault.for_s)
            store.rows.deferred_commits = 0
            store.rows.apply_deferred()
        else:
            store.rows.expire_history()
        return "store"

    def _operate(self, kind: str) -> str:
        if kind == "configuration":
            self._version += self._rng.randint(1, 5)
            self._site.write_catalogue(self._version, self._rng.randrange(20))
            return str(self._version)
        names = [one.name for one in self._site.vm_fleet.vms.values()]
        self._waves += 1
        chosen = sorted(self._rng.sample(names, 3))
        self._site.order_wave(self._waves, chosen, 20.0)
        return ",".join(chosen)

    async def _strike_link(self, fault: Fault) -> str:
        where, _, what = fault.kind.partition(" ")
        if where == "store":
            daemon = _pick(self._site.daemons, fault.pick)
            await _strike(daemon.store, what, fault.for_s)
            return daemon.name
        vm = _pick(list(self._site.vm_fleet.vms.values()), fault.pick)
        if what == "crash":
            self._site.vm_fleet.crash(vm, fault.for_s)
        elif what == "leaves":
            self._site.vm_fleet.drain(vm)
        elif what == "late":
            vm.is_late = True
            await anyio.sleep(fault.for_s)
            vm.is_late = False
        else:
            await _strike(self._site.links[vm.name], what, fault.for_s)
        return vm.name


async def _strike(link: relay.Relay, what: str, for_s: float) -> None:
    action: dict[str, Callable[[], None]] = {
        "reset": link.reset,
        "silent": link.silence,
    }
    if what in action:
        action[what]()
        return
    link.switch(LINKS[what])
    await anyio.sleep(for_s)
    link.switch(relay.Link.OPEN)


def _pick(items: list[Any], pick: float) -> Any:
    return items[int(pick * len(items))]
