"""Histories of leases, claims and renewals on simulated time.

Drives the real `task.LeaderElector` of three or four daemons, and through it the real
decisions of `core`, and a real `term.Term` for each leadership. Their timers, clocks
and calls to the store are replaced by one seeded schedule; no code of the elector is
copied. Calls are slow, lost or applied seconds late; daemons freeze, die and restart.
After each step the right to order is checked against the rows of the store.
"""

import contextlib
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple
from unittest import mock

from wigeonhitch import feed
from wigeonhitch.leadership import candidacy, core, record, task, term
from wigeonhitch.leadership.tests import simulation
from wigeonhitch.platform import http
from wigeonhitch.telemetry import log

POOLS = ["p0", "p1", core.FLEET]
CORES = (2.0, 2.0, 0.5, 0.5)
FAST_CALL_SECONDS = (0.001, 0.01)
"""Range of the time that a call takes each way without faults."""

MEMBER_RETENTION_SECONDS = 8.0
CLEANUP_INTERVAL_SECONDS = 2.0
"""Shorter than in `task`, so that member rows are removed within a history."""

MAX_UNLED_SECONDS = 6.5
"""Maximum time that a pool may have no leader after all faults have ended: a call that
was lost just before (2.4 s), a lease, a poll of members and three staggered claims."""

CALM_SECONDS = 24.0
STABLE_SECONDS = 8.0
"""Time to run after faults have ended, and the part of it at the end in which no owner
may change: a leader with few cores hands over at most once in 3 s."""

FAULT_WEIGHTS = {
    "slow": 6,
    "lossy": 3,
    "away": 3,
    "away for all": 1,
    "freeze": 3,
    "kill": 2,
    "leave": 1,
    "give up": 1,
    "drop history": 1,
}
"""Relative frequency of each kind of fault."""


CANDIDATE_FAULT_WEIGHTS = {"lose candidates": 1}
"""Additional faults of histories in which few of many daemons are candidates."""


class Mechanisms(NamedTuple):
    """Mechanisms that a test may switch off, to see that the check detects it."""

    member_row_condition: bool = True
    expiry_confirmation: bool = True
    lapse_ends_leadership: bool = True
    lease_check: bool = True
    lease_margin: bool = True
    term_end: bool = True


class DaemonProcess(simulation.Process):
    """One process of a daemon: its elector, terms and connection to the store."""

    def __init__(self, world: "World", name: str, number: int) -> None:
        rng, self.world, self.name, self.id = world.rng, world, name, f"life{number}"
        self.clock_offset = rng.uniform(0.0, 1000.0)
        self.disconnected_until = 0.0
        self.lossy_until = 0.0
        self.renewed_version = 0
        """Version of the renewal that ended this process's last lapse."""
        self.slow: dict[tuple[str, str], tuple[float, float]] = {}
        self.led_terms: dict[str, tuple[record.Owner, term.Term]] = {}
        self.ended_terms: list[tuple[record.Owner, term.Term]] = []
        """Terms that have ended, whose tasks may take one more step."""
        cores = CORES[int(name[1:]) % len(CORES)]
        leadership = core.Leadership(name, self.id, world.read_clock(self), cores)
        self.elector = task.LeaderElector(
            leadership,
            simulation.StoreClient(),
            lambda: POOLS,
            self.on_elected,
            self.on_lost,
            lambda _: 1.0,
        )

    def on_elected(self, owner: record.Owner) -> None:
        """Start a leadership as `site.daemon` and a pool's runner do."""
        self.on_lost(owner.pool)
        self.led_terms[owner.pool] = (owner, term.Term(self.elector.may_order))

    def on_lost(self, pool: str) -> None:
        """End a leadership; its tasks still take the step that was due."""
        if pool not in self.led_terms:
            return
        ended = self.led_terms.pop(pool)
        ended[1].end()
        self.ended_terms.append(ended)
        delay = self.world.rng.uniform(0.0, 0.005)
        self.world.call_later(delay, lambda: self.ended_terms.remove(ended), self)

    def list_active_owners(self) -> list[record.Owner]:
        """Return the owner rows under which this process may give orders now."""
        terms = [*self.led_terms.values(), *self.ended_terms]
        return [owner for owner, held in terms if held.may_order()]


class World(simulation.Schedule):
    """Simulated time, the store, the daemons, and the calls in flight."""

    def __init__(
        self,
        seed: int,
        mechanisms: Mechanisms | None = None,
        daemons: int = 3,
        candidates: int = 0,
    ) -> None:
        super().__init__(seed)
        self._candidates = candidates
        """Target number of candidates, 0 for the one of `candidacy`."""
        self.mechanisms = mechanisms or Mechanisms()
        self.violations: list[str] = []
        self.trace: list[tuple[float, str, str, dict[str, Any]]] = []
        self.faults_end_at = 0.0
        """Time at which the last of the injected faults ends."""
        self.unled: dict[str, float] = dict.fromkeys(POOLS, 0.0)
        """Longest time without a leader, counted after all faults have ended."""
        self.changed_at = 0.0
        self._are_faults_active = True
        self._all_disconnected_until = 0.0
        self._last_led_at: dict[str, float] = {}
        self._highest_fence: dict[str, int] = {}
        self._newest_owners: dict[str, record.Owner] = {}
        self._given_up_versions: dict[str, int] = {}
        """Version of each pool's owner row before it was last given up."""
        self._daemon_count = daemons
        self._processes: list[DaemonProcess] = []
        for number in range(daemons):
            self._start(f"d{number}")
        self.call_later(self.rng.uniform(5.0, 20.0), self._join)
        self.call_later(2.0, self._schedule_faults)

    def run(self, seconds: float) -> None:
        """Run a history, with faults."""
        with self._replace():
            self.run_until(self.now + seconds)

    def run_calm(self, seconds: float) -> None:
        """Let all faults end, kill one daemon for good, and run on from there."""
        self._are_faults_active = False
        with self._replace():
            self.run_until(max(self.now, self.faults_end_at) + 0.01)
            self._last_led_at = dict.fromkeys(POOLS, self.now)
            self._kill(self.rng.choice(self._processes), seconds + 1.0)
            self.call_later(0.0, self._record_unled_time)
            self.run_until(self.now + seconds)

    def run_without_candidates(self, seconds: float) -> None:
        """Kill all candidates at once for good, and run on from there."""
        with self._replace():
            self._last_led_at = dict.fromkeys(POOLS, self.now)
            self.unled = dict.fromkeys(POOLS, 0.0)
            for process in self.list_candidates():
                self._kill(process, seconds + 1.0)
            self.run_until(self.now + seconds)

    def list_candidates(self) -> list[DaemonProcess]:
        """Return the processes that hold a lease, or are about to."""
        return [
            process
            for process in self._processes
            if process.elector.leadership.is_candidate
        ]

    def count(self, text: str) -> int:
        """Return how often a text is in the trace."""
        return sum(1 for entry in self.trace if entry[2] == text)

    @contextlib.contextmanager
    def _replace(self) -> Iterator[None]:
        """Patch timers, clocks and logs, and switch mechanisms off."""
        off = {name for name, on in self.mechanisms._asdict().items() if not on}
        leadership_class = core.Leadership
        build = leadership_class.build_claim_conditions
        with contextlib.ExitStack() as stack:

            def put(target: Any, name: str, value: Any) -> None:
                stack.enter_context(mock.patch.object(target, name, value))

            put(task, "anyio", self)
            put(feed, "anyio", self)
            put(http, "read_clock", lambda: self.read_clock(self._current))
            put(log, "log_change", self._note)
            put(core, "MEMBER_RETENTION_SECONDS", MEMBER_RETENTION_SECONDS)
            put(task, "CLEANUP_INTERVAL_SECONDS", CLEANUP_INTERVAL_SECONDS)
            if self._candidates:
                put(candidacy, "compute_target_count", lambda _: self._candidates)
            if "expiry_confirmation" in off:
                put(leadership_class, "_is_lapse_confirmed", lambda *_: True)
            if "member_row_condition" in off:
                put(
                    leadership_class,
                    "build_claim_conditions",
                    lambda *args: build(*args)[:1],
                )
            if "lapse_ends_leadership" in off:
                put(leadership_class, "on_lapsed", lambda *_: None)
            if "lease_check" in off:
                put(
                    leadership_class,
                    "is_lease_valid",
                    lambda held, _: held.lease_until > 0,
                )
            if "lease_margin" in off:
                put(leadership_class, "is_lease_valid", _is_lease_valid_without_margin)
            if "term_end" in off:
                put(term.Term, "end", lambda _: None)
            yield

    def _note(self, text: str, **fields: Any) -> None:
        name = f"{self._current.name}/{self._current.id}" if self._current else ""
        self.trace.append((round(self.now, 4), name, text, fields))

    def take_step(self, process: DaemonProcess, action: Callable[[], None]) -> None:
        """Take one step of a process, and check which orders it may give then."""
        leadership = process.elector.leadership
        has_lapsed = (
            self.now + simulation.STORE_CLOCK_OFFSET_SECONDS > leadership.lease_until
        )
        action()
        if has_lapsed and process.elector.may_order():
            member = leadership.members.get(process.name)
            if member is None:
                self._report_violation(f"{process.name} may order without a lease")
            else:
                process.renewed_version = member.version
        self._check(process)

    def on_commit(self, process: DaemonProcess, call: simulation.Call) -> None:
        """Check a new owner row, and which orders all processes may give beside it."""
        if call.table != record.OWNER_TABLE:
            return
        row = self.store.changes[-1]
        owner = record.read_owner(row.part, row.value or b"", row.version)
        before = self._newest_owners.get(
            owner.pool, record.Owner(owner.pool, "", "", 0, 0)
        )
        self._newest_owners[owner.pool] = owner
        self.changed_at = self.now
        self._note("owner row", by=process.name, **owner._asdict())
        if owner.name and owner.epoch <= before.epoch:
            self._report_violation(
                f"{process.name} claims with an epoch that was used: {owner}"
            )
        if not owner.name:
            self._given_up_versions[owner.pool] = before.version
        if not owner.name and before[1:3] != (process.name, process.id):
            self._report_violation(
                f"{process.name} gives up what another leads: {before}"
            )
        for other in self._processes:
            self._check(other)

    # -- faults

    def draw_delivery(
        self, process: DaemonProcess, call: simulation.Call
    ) -> simulation.Delivery:
        """Draw the fault and the delays of a call."""
        probability = 0.2 if process.lossy_until > self.now else 0.01
        probability = probability if self._are_faults_active else 0.0
        faults = (
            ("", "lost", "unanswered", "late"),
            (1 - 3 * probability, probability, probability, probability),
        )
        fault = self.rng.choices(*faults)[0]
        if self.is_disconnected(process) and self.rng.random() < 0.5:
            fault = "refused"
        slow, until = process.slow.get((call.kind, call.table), (0.0, 0.0))
        slow = slow * call.timeout if self.now < until else 0.0
        share = self.rng.random()
        request_seconds, response_seconds = (
            self.rng.uniform(*FAST_CALL_SECONDS) + slow * p for p in (share, 1 - share)
        )
        if fault == "late":
            request_seconds = self.rng.uniform(1.0, 6.0)
            self._extend_faults(request_seconds)
        return simulation.Delivery(fault, request_seconds, response_seconds)

    def is_disconnected(self, process: DaemonProcess) -> bool:
        """Return whether a process can't reach the store."""
        return self.now < max(self._all_disconnected_until, process.disconnected_until)

    def _extend_faults(self, seconds: float) -> float:
        self.faults_end_at = max(self.faults_end_at, self.now + seconds)
        return self.now + seconds

    def _schedule_faults(self) -> None:
        if not self._are_faults_active:
            return
        weights = (
            {**FAULT_WEIGHTS, **CANDIDATE_FAULT_WEIGHTS}
            if self._candidates
            else FAULT_WEIGHTS
        )
        kind = self.rng.choices(list(weights), list(weights.values()))[0]
        if self._processes:
            self._inject_fault(kind, self.rng.choice(self._processes))
        self.call_later(self.rng.expovariate(1.5), self._schedule_faults)

    def _inject_fault(self, kind: str, process: DaemonProcess) -> None:
        length = self.rng.uniform(0.5, 5.0)
        self._note(kind, daemon=process.name, seconds=round(length, 2))
        if kind == "lose candidates":
            for candidate in self.list_candidates():
                self._kill(candidate, self.rng.uniform(0.3, 4.0))
        elif kind == "drop history":
            self.store.changes.clear()
            self.store.oldest = self.store.version
        elif kind == "slow":
            call = self.rng.choice(("commit", "read", "follow"))
            name = self.rng.choice((record.MEMBER_TABLE, record.OWNER_TABLE))
            until = self._extend_faults(length)
            process.slow[call, name] = (self.rng.uniform(0.1, 1.05), until)
        elif kind == "lossy":
            process.lossy_until = self._extend_faults(length)
        elif kind == "away":
            process.disconnected_until = self._extend_faults(length)
        elif kind == "away for all":
            self._all_disconnected_until = self._extend_faults(length)
        elif kind == "freeze":
            process.frozen_until = self._extend_faults(length)
        elif kind == "kill":
            self._kill(process, length)
        else:
            self.call_later(0.0, lambda: self._request(kind, process), process)

    def _request(self, kind: str, process: DaemonProcess) -> None:
        led_pools = [
            pool for pool in POOLS if process.elector.leadership.is_leader(pool)
        ]
        if process.elector.leadership.leaving:
            return
        if kind == "leave":
            self.start_soon(process.elector.leave)
            self._extend_faults(1.5)
            self.call_later(
                1.5, lambda: self._kill(process, self.rng.uniform(0.3, 3.0))
            )
        elif led_pools:
            self.start_soon(process.elector.give_up, self.rng.choice(led_pools))

    def _kill(self, process: DaemonProcess, downtime: float) -> None:
        if process.is_terminated:
            return
        process.is_terminated = True
        self._processes.remove(process)
        if (
            self._are_faults_active
            and self.rng.random() < 0.1
            and len(self._processes) > 1
        ):
            self._join()
            return
        self._extend_faults(downtime)
        self.call_later(downtime, lambda: self._start(process.name))

    def _join(self) -> None:
        if self._are_faults_active:
            self._daemon_count += 1
            self._start(f"d{self._daemon_count - 1}")

    def _start(self, name: str) -> None:
        process = DaemonProcess(self, name, self._count)
        self._processes.append(process)
        self.call_later(
            self.rng.uniform(0.0, 0.5),
            lambda: self.start_soon(process.elector.run),
            process,
        )

    # -- checks

    def _check(self, process: DaemonProcess) -> None:
        """Check each right to order against the newest owner row."""
        before, self._current = self._current, process
        for owner in process.list_active_owners():
            newest = self._newest_owners[owner.pool]
            given_up = 0 if newest.name else self._given_up_versions[owner.pool]
            if newest[:5] != owner[:5] and owner.version != given_up:
                self._report_violation(
                    f"{process.name} may order by {owner}, but {newest}"
                )
            if owner.version < self._highest_fence.get(owner.pool, 0):
                self._report_violation(
                    f"{process.name} orders under a lower fencing token: {owner}"
                )
            if owner.version < process.renewed_version:
                self._report_violation(
                    f"{process.name} leads on after a lapse by {owner}"
                )
            self._highest_fence[owner.pool] = owner.version
        self._current = before

    def _record_unled_time(self) -> None:
        """Record for how long each pool has had no leader."""
        for process in self._processes:
            self._current = process
            for owner in process.list_active_owners():
                self._last_led_at[owner.pool] = self.now
        self._current = None
        for pool in POOLS:
            elapsed = self.now - self._last_led_at[pool]
            self.unled[pool] = max(self.unled[pool], elapsed)
        self.call_later(0.05, self._record_unled_time)

    def _report_violation(self, text: str) -> None:
        self.violations.append(f"{self.now:.4f} {text}")
        self._note("VIOLATION", violation=text)


def _is_lease_valid_without_margin(leadership: core.Leadership, now: float) -> bool:
    return leadership.clock.compute_latest(now) < leadership.lease_until
