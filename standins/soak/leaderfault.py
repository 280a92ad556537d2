"""Faults that target leaders: their plan, and its injection.

Each fault targets the daemon that last wrote as a pool's leader. Meanwhile some of
the pool's VMs accept no new connections, so that the leader reaches them and a
successor doesn't, and answers with changes of owners or members are delayed on
single connections.
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

START_SECONDS = (1.5, 3.0)
"""Range of the time until the first fault: by then every pool has a leader."""

DURATION_SECONDS = (1.3, 4.0)
"""Range of the maximum duration of a cut or pause: from shorter to longer than a
lease."""

GAP_SECONDS = (0.3, 1.2)
"""Range of the time between the end of a fault and the next one."""

MAX_RETURN_DELAY_SECONDS = 0.4
"""Maximum time from a successor's claim to the return of the former leader."""

OWNER_READS = f"table={record.OWNER_TABLE}&".encode()
MEMBER_READS = f"table={record.MEMBER_TABLE}&".encode()
OWNER_WRITES = f'"table":"{record.OWNER_TABLE}"'.encode()
"""Substrings of the calls whose answers are delayed: reads and leaders' writes."""

OWNER_READ_DELAY_SECONDS = (0.3, 1.4)
MEMBER_READ_DELAY_SECONDS = (1.2, 1.4)
"""Ranges of the delays of reads, which time out after 1.5 s or more."""

OWNER_WRITE_DELAY_SECONDS = (0.3, 0.9)
"""Range of the delay of answers to a leader's writes; meanwhile leases are renewed."""

RESUME_SECONDS = (0.03, 0.3)
"""Range of the time from the return of a paused leader's link to its resumption:
by then all changes have arrived."""

MEMBERS_LATE_SECONDS = 4.0
"""Time for which changes of members are delayed: about seven renewals."""

RETURN_SECONDS = 1.0
"""Time after a leader's return for which changes of owners still reach it late."""

POLL_SECONDS = 0.005
"""Interval of checks whether a pool was claimed."""


def plan(rng: random.Random, seconds: float) -> list[fault.Fault]:
    """Return the faults of a run, one after the other."""
    faults = []
    at = rng.uniform(*START_SECONDS)
    while at < seconds:
        kind = rng.choice(KINDS)
        duration = (
            MEMBERS_LATE_SECONDS
            if kind == "members late"
            else rng.uniform(*DURATION_SECONDS)
        )
        faults.append(fault.Fault(at, kind, rng.random(), duration))
        at += duration + RETURN_SECONDS + rng.uniform(*GAP_SECONDS)
    return faults


class Injector(fault.Injector):
    """Injects faults that target leaders, and all others."""

    async def _inject(self, planned: fault.Fault) -> None:
        if planned.kind not in KINDS:
            await super()._inject(planned)
            return
        begin = http.read_clock()
        pool = self._site.store.last_leader_pool or environment.QUEUES[0].pool
        leader = self._find_leader(pool)
        full_links = self._choose_links(pool, planned.pick)
        for link in full_links:
            link.switch(relay.Link.FULL)
        await self._inject_leader_fault(planned, pool, leader)
        for link in full_links:
            link.switch(relay.Link.OPEN)
        self.spans.append(
            fault.Span(begin, http.read_clock(), planned.kind, leader.name)
        )

    async def _inject_leader_fault(
        self, planned: fault.Fault, pool: str, leader: environment.Daemon
    ) -> None:
        leader.store.answer_delays = {
            OWNER_READS: self._rng.uniform(*OWNER_READ_DELAY_SECONDS),
            OWNER_WRITES: self._rng.uniform(*OWNER_WRITE_DELAY_SECONDS),
        }
        if planned.kind == "leader silent":
            leader.store.silence()
            await anyio.sleep(planned.duration)
        elif planned.kind == "leader paused":
            leader.signal(signal.SIGSTOP)
            await self._wait_for_claim(pool, planned.duration)
            leader.signal(signal.SIGCONT)
        elif planned.kind == "members late":
            await self._delay_member_reads(leader, planned.duration)
        else:
            leader.store.switch(relay.Link.CUT)
            await self._wait_for_claim(pool, planned.duration)
            await self._restore(leader, "paused" in planned.kind)
        await anyio.sleep(RETURN_SECONDS)
        leader.store.answer_delays = {}

    async def _restore(self, leader: environment.Daemon, is_paused: bool) -> None:
        """Open a leader's link; a leader paused meanwhile gets all changes at once."""
        if is_paused:
            leader.signal(signal.SIGSTOP)
        leader.store.switch(relay.Link.OPEN)
        if is_paused:
            await anyio.sleep(self._rng.uniform(*RESUME_SECONDS))
            leader.signal(signal.SIGCONT)

    async def _delay_member_reads(
        self, leader: environment.Daemon, duration: float
    ) -> None:
        """Delay changes of members for all daemons but the leader."""
        others = [daemon for daemon in self._site.daemons if daemon is not leader]
        for daemon in others:
            daemon.store.answer_delays = {
                MEMBER_READS: self._rng.uniform(*MEMBER_READ_DELAY_SECONDS)
            }
        await anyio.sleep(duration)
        for daemon in others:
            daemon.store.answer_delays = {}

    async def _wait_for_claim(self, pool: str, timeout: float) -> None:
        """Wait until shortly after a pool is claimed, or until the timeout."""
        owner = self._site.read_owner(pool)
        with anyio.move_on_after(timeout):
            while self._site.read_owner(pool) == owner:
                await anyio.sleep(POLL_SECONDS)
            await anyio.sleep(self._rng.uniform(0.0, MAX_RETURN_DELAY_SECONDS))

    def _find_leader(self, pool: str) -> environment.Daemon:
        owners = [
            daemon
            for daemon in self._site.daemons
            if daemon.name == self._site.read_owner(pool)
        ]
        return owners[0] if owners else self._site.daemons[0]

    def _choose_links(self, pool: str, pick: float) -> list[relay.Relay]:
        """Return the links to some, but not all, VMs of a pool."""
        vms = [vm for vm in self._site.vm_fleet.vms.values() if vm.pool == pool]
        first = int(pick * len(vms))
        count = len(vms) // 2 + int(pick * 10) % 2
        selected = (vms[first:] + vms[:first])[: min(count, len(vms) - 1)]
        return [self._site.links[vm.name] for vm in selected]
