"""Simulated histories of several pools that share the ceiling of one team.

Each pool is a `history.World` with its own leaders, workers and faults. Their leaders
share the rows of ceilings, by calls that take time, are lost or are applied late. The
ceiling changes, and each leader learns of that after a delay.
"""

import random
from typing import Any, NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.platform import rows, table
from wigeonhitch.pool import quota
from wigeonhitch.pool.tests import history

TEAM = "team"
APPLY_SECONDS = 3.0
"""Seconds within which all leaders know a new configuration."""
FAULT_RATE = 1.0
"""Faults of leaders and workers, as a multiple of the usual rate."""

CHANGES_PER_SECOND = 0.3
"""Mean number of changes of the ceiling per second."""

CEILINGS = (9000, 15000, 24000, 0)
"""Millicores that the team may use in turn, at random; 0 is unlimited."""


class Configured(NamedTuple):
    """A configuration of the team, in force from a time on."""

    time: float
    version: int
    ceiling: model.Room


class Site:
    """The rows of ceilings, and the configurations so far."""

    def __init__(self, rng: Any, *, ceilings: tuple[int, ...] = CEILINGS[:3]) -> None:
        self.rng = rng
        self.store = history.Store()
        self.configured: list[Configured] = []
        self._ceilings = ceilings
        self.configure(100.0)

    def configure(self, now: float) -> None:
        """Change the ceiling."""
        version = 2 * len(self.configured) + 1
        ceiling = model.Room(self.rng.choice(self._ceilings), 0, 0)
        self.configured.append(Configured(now, version, ceiling))

    def find_known(self, now: float, delay: float) -> Configured:
        """Return the configuration that a leader with some delay knows."""
        known = [c for c in self.configured if c.time <= now - delay]
        return known[-1] if known else self.configured[0]

    def find_limit(self, now: float) -> int:
        """Return the highest ceiling that may be in force, 0 for no limit."""
        last = [c for c in self.configured if c.time <= now - APPLY_SECONDS][-1:]
        recent = [c for c in self.configured if now - APPLY_SECONDS < c.time <= now]
        ceilings = [c.ceiling.cpu for c in last + recent]
        return 0 if 0 in ceilings else max(ceilings)


class QuotaLink:
    """One leader's calls for its shares; replaces the task of `runner`."""

    def __init__(self, leader: Any, site: Site) -> None:
        self.leader = leader
        self.world = leader.world
        self.site = site
        self.delay = site.rng.uniform(0.0, APPLY_SECONDS - 0.1)
        self.quotas = quota.Quotas(self.world.name, self.world.epoch, lambda *a, **k: 0)
        leader.pool.quotas = self.quotas
        self._known_version = 0
        self._is_waiting = False
        self._learn()

    def act(self) -> None:
        """Apply a new configuration, and make the next call if none is under way."""
        self._learn()
        now = self.world.now
        if self._is_waiting:
            return
        transaction = self.quotas.collect(now)
        if transaction is not None:
            self._commit(transaction)
        elif self.quotas.must_read(now):
            self.quotas.on_read(now)
            listed = self.site.store.list_rows(quota.QUOTA_TABLE)
            read = [
                rows.Row(quota.QUOTA_TABLE, quota.QUOTA_PART, *row) for row in listed
            ]
            self._answer(0.01, lambda: self.quotas.on_rows(read))

    def _learn(self) -> None:
        known = self.site.find_known(self.world.now, self.delay)
        if known.version > self._known_version:
            self._known_version = known.version
            team = model.Team(TEAM, ceiling=known.ceiling)
            self.quotas.on_teams(known.version, [team])

    def _commit(self, transaction: rows.Transaction) -> None:
        rng, rate = self.world.rng, self.world.fault_rate
        is_late = rng.random() < 0.1 * rate
        is_lost = rng.random() < 0.1 * rate
        delay = rng.uniform(0.6, 5.0) if is_late else rng.uniform(0.002, 0.05)

        def deliver() -> None:
            change = self.site.store.commit(transaction)
            if not (is_late or is_lost):
                self._answer(0.005, lambda: self.quotas.on_result(change))

        self._is_waiting = True
        self.world.call_later(delay, deliver)
        if is_late or is_lost:
            unknown = rows.Change(table.Outcome.UNKNOWN)
            self._answer(0.5, lambda: self.quotas.on_result(unknown))

    def _answer(self, delay: float, apply: Any) -> None:
        self._is_waiting = True

        def give() -> None:
            self._is_waiting = False
            if self.leader.alive:
                apply()

        self.world.call_later(delay, give)


def simulate(
    seed: int,
    pools: int = 3,
    seconds: float = 20.0,
    *,
    ceilings: tuple[int, ...] = CEILINGS[:3],
) -> tuple[Site, list[Any]]:
    """Return a site and its pools' worlds after some seconds."""
    site = Site(random.Random(seed), ceilings=ceilings)
    worlds = [
        history.World(
            seed * pools + number,
            history.Mechanisms(),
            connect_quotas=lambda leader: QuotaLink(leader, site),
            name=f"pool{number}",
            team=TEAM,
            crashes=history.Crashes(rate=0.05),
            fault_rate=FAULT_RATE,
        )
        for number in range(pools)
    ]
    for _ in range(round(seconds / history.STEP)):
        for world in worlds:
            world.run(history.STEP)
        if site.rng.random() < history.STEP * CHANGES_PER_SECOND:
            site.configure(worlds[0].now)
    return site, worlds


def check(site: Site, worlds: list[Any]) -> list[str]:
    """Return the starts that exceeded the ceiling, one line each."""
    events = sorted(
        (
            (event.time, number, event)
            for number, world in enumerate(worlds)
            for event in world.events
        ),
        key=lambda item: item[0],
    )
    used = 0
    running = set()
    violations = []
    for now, number, event in events:
        run = (number, event.worker, event.task, event.run)
        size = history.STEP_CPU[event.task.step]
        if event.kind == "start":
            running.add(run)
            used += size
            limit = site.find_limit(now)
            if limit and used > limit:
                violations.append(
                    f"{used} of {limit} millicores: pool {number} {event}"
                )
        elif event.kind == "end" and run in running:
            running.discard(run)
            used -= size
    return violations
