"""Histories of leases, claims and renewals on simulated time.

Drives the real `task.LeaderElector` of three or four daemons, and through it the real
decisions of `core`, and a real `term.Term` for each leadership. Their timers, clocks
and calls to the store are replaced by one seeded schedule; nothing of a keeper is
copied. Calls are slow, lost or done seconds late; daemons freeze, die and come back.
After each step the right to order is held against the rows of the store.
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
QUICK = (0.001, 0.01)
"""Seconds that a call takes each way without trouble."""

MEMBER_RETENTION_SECONDS = 8.0
CLEANUP_INTERVAL_SECONDS = 2.0
"""Shortened, so that rows of members are removed within a history."""

BOUND = 6.5
"""Seconds that a pool may be without a leader once all trouble has ended: a call
that was lost just before (2.4 s), a lease, news of members and three ranks."""

CALM = 24.0
STEADY = 8.0
"""Seconds to play once trouble has ended, and those of them at the end in which no
owner may change: a weak leader hands over once in 3 s at most."""

FAULTS = {
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
"""How often each kind of trouble comes, in relation to the others."""


MORE_FAULTS = {"lose candidates": 1}
"""Trouble that comes as well where few of many daemons are candidates."""


class Switches(NamedTuple):
    """Mechanisms that a test may switch off, to see that the check finds it."""

    member_row: bool = True
    heard_end: bool = True
    lapse_loses: bool = True
    holder_lease: bool = True
    holder_margin: bool = True
    term_ends: bool = True


class Life(simulation.Process):
    """One life of a daemon: its keeper, what it leads, and its way to the store."""

    def __init__(self, world: "World", name: str, number: int) -> None:
        rng, self.world, self.name, self.id = world.rng, world, name, f"life{number}"
        self.clock_offset = rng.uniform(0.0, 1000.0)
        self.away_until = 0.0
        self.lossy_until = 0.0
        self.revived = 0
        """Version of the renewal that ended this daemon's last lapse."""
        self.slow: dict[tuple[str, str], tuple[float, float]] = {}
        self.led: dict[str, tuple[record.Owner, term.Term]] = {}
        self.ending: list[tuple[record.Owner, term.Term]] = []
        """Leaderships that are over, whose tasks may take one more step."""
        cores = CORES[int(name[1:]) % len(CORES)]
        leadership = core.Leadership(name, self.id, world.read_clock(self), cores)
        self.keeper = task.LeaderElector(
            leadership,
            simulation.StoreClient(),
            lambda: POOLS,
            self.on_elected,
            self.on_lost,
            lambda _: 1.0,
        )

    def on_elected(self, owner: record.Owner) -> None:
        """Begin a leadership as `site.daemon` and a pool's runner do."""
        self.on_lost(owner.pool)
        self.led[owner.pool] = (owner, term.Term(self.keeper.may_order))

    def on_lost(self, pool: str) -> None:
        """End a leadership; its tasks take the step that was due."""
        if pool not in self.led:
            return
        over = self.led.pop(pool)
        over[1].end()
        self.ending.append(over)
        delay = self.world.rng.uniform(0.0, 0.005)
        self.world.call_later(delay, lambda: self.ending.remove(over), self)

    def list_ordering(self) -> list[record.Owner]:
        """Return the rows under which this daemon may order at this moment."""
        terms = [*self.led.values(), *self.ending]
        return [owner for owner, one in terms if one.may_order()]


class World(simulation.Schedule):
    """Time, the store, the daemons, and what is on the way between them."""

    def __init__(
        self,
        seed: int,
        switches: Switches | None = None,
        daemons: int = 3,
        candidates: int = 0,
    ) -> None:
        super().__init__(seed)
        self._candidates = candidates
        """Candidates that are wanted, 0: as many as `candidacy` says."""
        self.switches = switches or Switches()
        self.faults: list[str] = []
        self.trace: list[tuple[float, str, str, dict[str, Any]]] = []
        self.trouble_ends = 0.0
        """When the last of the faults so far is over."""
        self.unled: dict[str, float] = dict.fromkeys(POOLS, 0.0)
        """Longest time without a leader, counted once all trouble has ended."""
        self.changed_at = 0.0
        self._has_trouble = True
        self._away_until = 0.0
        self._led_at: dict[str, float] = {}
        self._highest: dict[str, int] = {}
        self._owners: dict[str, record.Owner] = {}
        self._given_up: dict[str, int] = {}
        """Version of each pool's owner row before it was last given up."""
        self._names = daemons
        self._lives: list[Life] = []
        for number in range(daemons):
            self._start(f"d{number}")
        self.call_later(self.rng.uniform(5.0, 20.0), self._join)
        self.call_later(2.0, self._disturb)

    def run(self, seconds: float) -> None:
        """Play a history, with trouble."""
        with self._replace():
            self.run_until(self.now + seconds)

    def calm(self, seconds: float) -> None:
        """Let all trouble end, kill one daemon for good, and play on from there."""
        self._has_trouble = False
        with self._replace():
            self.run_until(max(self.now, self.trouble_ends) + 0.01)
            self._led_at = dict.fromkeys(POOLS, self.now)
            self._kill(self.rng.choice(self._lives), seconds + 1.0)
            self.call_later(0.0, self._look)
            self.run_until(self.now + seconds)

    def lose_candidates(self, seconds: float) -> None:
        """Kill all candidates at once for good, and play on from there."""
        with self._replace():
            self._led_at = dict.fromkeys(POOLS, self.now)
            self.unled = dict.fromkeys(POOLS, 0.0)
            for life in self.list_candidates():
                self._kill(life, seconds + 1.0)
            self.run_until(self.now + seconds)

    def list_candidates(self) -> list[Life]:
        """Return the daemons that hold a lease, or are about to."""
        return [one for one in self._lives if one.keeper.leadership.is_candidate]

    def count(self, text: str) -> int:
        """Return how often something was noted."""
        return sum(1 for one in self.trace if one[2] == text)

    @contextlib.contextmanager
    def _replace(self) -> Iterator[None]:
        """Put the schedule in place of timers, clocks and lines, and switch off."""
        off = {name for name, on in self.switches._asdict().items() if not on}
        lead = core.Leadership
        expect = lead.build_claim_conditions
        with contextlib.ExitStack() as stack:

            def put(where: Any, name: str, value: Any) -> None:
                stack.enter_context(mock.patch.object(where, name, value))

            put(task, "anyio", self)
            put(feed, "anyio", self)
            put(http, "read_clock", lambda: self.read_clock(self._current))
            put(log, "log_change", self._note)
            put(core, "MEMBER_RETENTION_SECONDS", MEMBER_RETENTION_SECONDS)
            put(task, "CLEANUP_INTERVAL_SECONDS", CLEANUP_INTERVAL_SECONDS)
            if self._candidates:
                put(candidacy, "compute_target_count", lambda _: self._candidates)
            if "heard_end" in off:
                put(lead, "_is_lapse_confirmed", lambda *_: True)
            if "member_row" in off:
                put(lead, "build_claim_conditions", lambda *args: expect(*args)[:1])
            if "lapse_loses" in off:
                put(lead, "on_lapsed", lambda *_: None)
            if "holder_lease" in off:
                put(lead, "is_lease_valid", lambda one, _: one.lease_until > 0)
            if "holder_margin" in off:
                put(lead, "is_lease_valid", _is_valid_to_the_end)
            if "term_ends" in off:
                put(term.Term, "end", lambda _: None)
            yield

    def _note(self, text: str, **fields: Any) -> None:
        name = f"{self._current.name}/{self._current.id}" if self._current else ""
        self.trace.append((round(self.now, 4), name, text, fields))

    def take_step(self, life: Life, action: Callable[[], None]) -> None:
        """Take one step of a daemon, and check what it may do then."""
        leadership = life.keeper.leadership
        has_lapsed = self.now + simulation.STORE_OFFSET > leadership.lease_until
        action()
        if has_lapsed and life.keeper.may_order():
            member = leadership.members.get(life.name)
            if member is None:
                self._tell(f"{life.name} may order without a lease")
            else:
                life.revived = member.version
        self._check(life)

    def on_commit(self, life: Life, call: simulation.Call) -> None:
        """Check a new owner row, and what all daemons may do beside it."""
        if call.table != record.OWNER_TABLE:
            return
        row = self.store.changes[-1]
        owner = record.read_owner(row.part, row.value or b"", row.version)
        before = self._owners.get(owner.pool, record.Owner(owner.pool, "", "", 0, 0))
        self._owners[owner.pool] = owner
        self.changed_at = self.now
        self._note("owner row", by=life.name, **owner._asdict())
        if owner.name and owner.epoch <= before.epoch:
            self._tell(f"{life.name} claims with an epoch that was used: {owner}")
        if not owner.name:
            self._given_up[owner.pool] = before.version
        if not owner.name and before[1:3] != (life.name, life.id):
            self._tell(f"{life.name} gives up what another leads: {before}")
        for one in self._lives:
            self._check(one)

    # -- trouble

    def draw_delivery(self, life: Life, call: simulation.Call) -> simulation.Delivery:
        """Return what becomes of a call."""
        odds = 0.2 if life.lossy_until > self.now else 0.01
        odds = odds if self._has_trouble else 0.0
        fates = (("", "lost", "unanswered", "late"), (1 - 3 * odds, odds, odds, odds))
        fate = self.rng.choices(*fates)[0]
        if self.is_disconnected(life) and self.rng.random() < 0.5:
            fate = "refused"
        slow, until = life.slow.get((call.kind, call.table), (0.0, 0.0))
        slow = slow * call.timeout if self.now < until else 0.0
        share = self.rng.random()
        out, back = (self.rng.uniform(*QUICK) + slow * p for p in (share, 1 - share))
        if fate == "late":
            out = self.rng.uniform(1.0, 6.0)
            self._extend_trouble(out)
        return simulation.Delivery(fate, out, back)

    def is_disconnected(self, life: Life) -> bool:
        """Whether a daemon can't reach the store."""
        return self.now < max(self._away_until, life.away_until)

    def _extend_trouble(self, seconds: float) -> float:
        self.trouble_ends = max(self.trouble_ends, self.now + seconds)
        return self.now + seconds

    def _disturb(self) -> None:
        if not self._has_trouble:
            return
        faults = {**FAULTS, **MORE_FAULTS} if self._candidates else FAULTS
        kind = self.rng.choices(list(faults), list(faults.values()))[0]
        if self._lives:
            self._bring(kind, self.rng.choice(self._lives))
        self.call_later(self.rng.expovariate(1.5), self._disturb)

    def _bring(self, kind: str, life: Life) -> None:
        length = self.rng.uniform(0.5, 5.0)
        self._note(kind, daemon=life.name, seconds=round(length, 2))
        if kind == "lose candidates":
            for one in self.list_candidates():
                self._kill(one, self.rng.uniform(0.3, 4.0))
        elif kind == "drop history":
            self.store.changes.clear()
            self.store.oldest = self.store.version
        elif kind == "slow":
            call = self.rng.choice(("commit", "read", "follow"))
            name = self.rng.choice((record.MEMBER_TABLE, record.OWNER_TABLE))
            until = self._extend_trouble(length)
            life.slow[call, name] = (self.rng.uniform(0.1, 1.05), until)
        elif kind == "lossy":
            life.lossy_until = self._extend_trouble(length)
        elif kind == "away":
            life.away_until = self._extend_trouble(length)
        elif kind == "away for all":
            self._away_until = self._extend_trouble(length)
        elif kind == "freeze":
            life.frozen_until = self._extend_trouble(length)
        elif kind == "kill":
            self._kill(life, length)
        else:
            self.call_later(0.0, lambda: self._ask(kind, life), life)

    def _ask(self, kind: str, life: Life) -> None:
        mine = [one for one in POOLS if life.keeper.leadership.is_leader(one)]
        if life.keeper.leadership.leaving:
            return
        if kind == "leave":
            self.start_soon(life.keeper.leave)
            self._extend_trouble(1.5)
            self.call_later(1.5, lambda: self._kill(life, self.rng.uniform(0.3, 3.0)))
        elif mine:
            self.start_soon(life.keeper.give_up, self.rng.choice(mine))

    def _kill(self, life: Life, away: float) -> None:
        if life.is_terminated:
            return
        life.is_terminated = True
        self._lives.remove(life)
        if self._has_trouble and self.rng.random() < 0.1 and len(self._lives) > 1:
            self._join()
            return
        self._extend_trouble(away)
        self.call_later(away, lambda: self._start(life.name))

    def _join(self) -> None:
        if self._has_trouble:
            self._names += 1
            self._start(f"d{self._names - 1}")

    def _start(self, name: str) -> None:
        life = Life(self, name, self._count)
        self._lives.append(life)
        self.call_later(
            self.rng.uniform(0.0, 0.5), lambda: self.start_soon(life.keeper.run), life
        )

    # -- what is checked

    def _check(self, life: Life) -> None:
        """Hold each right to order against the newest owner row."""
        before, self._current = self._current, life
        for owner in life.list_ordering():
            newest = self._owners[owner.pool]
            given_up = 0 if newest.name else self._given_up[owner.pool]
            if newest[:5] != owner[:5] and owner.version != given_up:
                self._tell(f"{life.name} may order by {owner}, but {newest}")
            if owner.version < self._highest.get(owner.pool, 0):
                self._tell(f"{life.name} orders under a token that fell: {owner}")
            if owner.version < life.revived:
                self._tell(f"{life.name} leads on after a lapse by {owner}")
            self._highest[owner.pool] = owner.version
        self._current = before

    def _look(self) -> None:
        """Note for how long each pool has had no leader."""
        for life in self._lives:
            self._current = life
            for owner in life.list_ordering():
                self._led_at[owner.pool] = self.now
        self._current = None
        for pool in POOLS:
            away = self.now - self._led_at[pool]
            self.unled[pool] = max(self.unled[pool], away)
        self.call_later(0.05, self._look)

    def _tell(self, text: str) -> None:
        self.faults.append(f"{self.now:.4f} {text}")
        self._note("FAULT", what=text)


def _is_valid_to_the_end(one: core.Leadership, now: float) -> bool:
    return one.clock.compute_latest(now) < one.lease_until
