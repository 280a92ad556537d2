"""Faults that strike leaders: a plan of their own, and carrying it out.

Each strikes the daemon that last wrote as a pool's leader. Meanwhile some of the
pool's VMs take no new connection, so that the leader reaches them and a successor
doesn't, and single connections bring the news of owners or members late.
"""

import random
import signal

import anyio

from standins.soak import environment, fault, relay
from wigeonhitch.leadership import record
from wigeonhitch.platform import http

__all__ = ["KINDS", "Injector", "plan"]

KINDS = ("leader cut", "leader cut and paused", "leader paused", "leader silent",
         "members late")  # fmt: skip

FIRST = (1.5, 3.0)
"""Seconds until the first fault: by then every pool is led."""

LENGTHS = (1.3, 4.0)
"""Seconds that a cut or a pause lasts at most: shorter and longer than a lease."""

GAPS = (0.3, 1.2)
"""Seconds between the end of a fault and the next one."""

AFTER_CLAIM = 0.4
"""Seconds after a successor's claim within which a struck leader is back."""

OWNERS = f"table={record.OWNER_TABLE}&".encode()
MEMBERS = f"table={record.MEMBER_TABLE}&".encode()
COMMITS = f'"table":"{record.OWNER_TABLE}"'.encode()
"""Parts of the calls whose answers are late: readings, and a leader's writes."""

OWNERS_LATE = (0.3, 1.4)
MEMBERS_LATE = (1.2, 1.4)
"""Seconds that late news takes; calls for it are given up after 1.5 s and more."""

COMMITS_LATE = (0.3, 0.9)
"""Seconds that the answer to a leader's write takes; renewals pass meanwhile."""

WAKE = (0.03, 0.3)
"""Seconds until a paused leader whose link is back goes on: all news is there."""

LATE_FOR = 4.0
"""Seconds for which news of members is late: some seven renewals."""

BACK = 1.0
"""Seconds after a leader's return for which its news of owners is still late."""

LOOK = 0.005
"""Seconds between two looks at whether a pool was claimed."""


def plan(rng: random.Random, seconds: float) -> list[fault.Fault]:
    """Return the faults of a run, one after the other."""
    found = []
    at = rng.uniform(*FIRST)
    while at < seconds:
        kind = rng.choice(KINDS)
        for_s = LATE_FOR if kind == "members late" else rng.uniform(*LENGTHS)
        found.append(fault.Fault(at, kind, rng.random(), for_s))
        at += for_s + BACK + rng.uniform(*GAPS)
    return found


class Injector(fault.Injector):
    """Brings faults about that strike leaders, beside all others."""

    async def _bring(self, one: fault.Fault) -> None:
        if one.kind not in KINDS:
            await super()._bring(one)
            return
        begin = http.read_clock()
        pool = self._site.store.led or environment.QUEUES[0].pool
        leader = self._find_leader(pool)
        closed = self._choose_links(pool, one.pick)
        for link in closed:
            link.switch(relay.Link.FULL)
        await self._strike_leader(one, pool, leader)
        for link in closed:
            link.switch(relay.Link.OPEN)
        self.spans.append(fault.Span(begin, http.read_clock(), one.kind, leader.name))

    async def _strike_leader(
        self, one: fault.Fault, pool: str, leader: environment.Daemon
    ) -> None:
        leader.store.late = {
            OWNERS: self._rng.uniform(*OWNERS_LATE),
            COMMITS: self._rng.uniform(*COMMITS_LATE),
        }
        if one.kind == "leader silent":
            leader.store.silence()
            await anyio.sleep(one.for_s)
        elif one.kind == "leader paused":
            leader.signal(signal.SIGSTOP)
            await self._await_claim(pool, one.for_s)
            leader.signal(signal.SIGCONT)
        elif one.kind == "members late":
            await self._delay_members(leader, one.for_s)
        else:
            leader.store.switch(relay.Link.CUT)
            await self._await_claim(pool, one.for_s)
            await self._bring_back(leader, "paused" in one.kind)
        await anyio.sleep(BACK)
        leader.store.late = {}

    async def _bring_back(self, leader: environment.Daemon, is_paused: bool) -> None:
        """Open a leader's link; paused meanwhile, it takes all news at once."""
        if is_paused:
            leader.signal(signal.SIGSTOP)
        leader.store.switch(relay.Link.OPEN)
        if is_paused:
            await anyio.sleep(self._rng.uniform(*WAKE))
            leader.signal(signal.SIGCONT)

    async def _delay_members(self, leader: environment.Daemon, for_s: float) -> None:
        """Bring news of members late to all daemons but the leader."""
        others = [one for one in self._site.daemons if one is not leader]
        for one in others:
            one.store.late = {MEMBERS: self._rng.uniform(*MEMBERS_LATE)}
        await anyio.sleep(for_s)
        for one in others:
            one.store.late = {}

    async def _await_claim(self, pool: str, most: float) -> None:
        """Wait until a pool is claimed and a moment more, or for a time at most."""
        claimed = self._site.read_owner(pool)
        with anyio.move_on_after(most):
            while self._site.read_owner(pool) == claimed:
                await anyio.sleep(LOOK)
            await anyio.sleep(self._rng.uniform(0.0, AFTER_CLAIM))

    def _find_leader(self, pool: str) -> environment.Daemon:
        named = [
            one for one in self._site.daemons if one.name == self._site.read_owner(pool)
        ]
        return named[0] if named else self._site.daemons[0]

    def _choose_links(self, pool: str, pick: float) -> list[relay.Relay]:
        """Return the links to some of a pool's VMs, but not to all."""
        vms = [one for one in self._site.vm_fleet.vms.values() if one.pool == pool]
        first = int(pick * len(vms))
        count = len(vms) // 2 + int(pick * 10) % 2
        chosen = (vms[first:] + vms[:first])[: min(count, len(vms) - 1)]
        return [self._site.links[one.name] for one in chosen]
