"""The pools that this daemon requests slots of, one `pool_client.PoolClient` each."""

import random
from collections.abc import Iterable, Mapping

from wigeonhitch.routing import (
    driver,
    event,
    link,
    peer,
    pool_client,
    rendezvous,
    timer,
)

__all__ = ["PoolClients"]


class PoolClients:
    """Pool clients by pool, created by the first request or message for a pool.

    Parameters
    ----------
    driver : driver.Driver
    rng : random.Random
        Seeded.
    policy : link.Policy
    """

    def __init__(
        self, driver: driver.Driver, rng: random.Random, policy: link.Policy
    ) -> None:
        self._driver = driver
        self._rng = rng
        self._policy = policy
        self._clients: dict[str, pool_client.PoolClient] = {}
        self._timers = timer.Timers()
        self._changed: set[str] = set()
        self._view: Mapping[str, tuple[event.Worker, ...]] = {}
        self._members: list[str] = []
        self._weights: Mapping[str, float] = {}

    def open(self, pool: str, now: float) -> pool_client.PoolClient:
        """Return the client of a pool, created if needed, and mark it as changed."""
        self._changed.add(pool)
        client = self._clients.get(pool)
        if client is None:
            client = pool_client.PoolClient(pool, self._driver, self._rng, self._policy)
            client.waiting.set_weights(self._weights)
            client.set_workers(self._view.get(pool, ()))
            ranked = rendezvous.rank(pool, self._members)
            client.set_members(ranked, len(self._members), now)
            self._clients[pool] = client
        return client

    def mark_changed(self, pool: str) -> None:
        """Have `update_timers` update the timer of a pool."""
        self._changed.add(pool)

    def find_request(self, pool: str, ask: int) -> int | None:
        """Return the request that a slot request of this daemon is for."""
        client = self._clients.get(pool)
        return client.find_request(ask) if client is not None else None

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each pool in use."""
        return {pool: len(client.waiting) for pool, client in self._clients.items()}

    def receive(self, daemon: str, message: peer.Message, now: float) -> None:
        """Pass an owner's message to the client of its pool."""
        self.open(message.pool, now).receive(daemon, message, now)

    def set_view(self, view: Mapping[str, tuple[event.Worker, ...]]) -> None:
        """Set the workers of all pools."""
        self._view = view
        for pool, client in self._clients.items():
            client.set_workers(view.get(pool, ()))
            self._changed.add(pool)

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Set the daemons that are alive."""
        self._members = list(members)
        for pool, client in self._clients.items():
            ranked = rendezvous.rank(pool, self._members)
            client.set_members(ranked, len(self._members), now)
            self._changed.add(pool)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams."""
        self._weights = weights
        for client in self._clients.values():
            client.waiting.set_weights(weights)

    def run_due(self, now: float, delay: float) -> None:
        """Run what is due; ``delay`` is the lateness after `next_time` in seconds."""
        for pool in self._timers.take_due(now):
            self.open(pool, now).run_due(now, delay)

    def update_timers(self, now: float) -> None:
        """Set the timers of the pools that changed since the last call."""
        for pool in self._changed:
            client = self._clients.get(pool)
            when = client.next_time(now) if client is not None else None
            if when is None:
                self._timers.discard(pool)
            else:
                self._timers.set(pool, when)
        self._changed.clear()

    def next_time(self) -> float | None:
        """Return when to call `run_due`, in seconds."""
        return self._timers.next()
