"""The pools whose slots this daemon assigns, one `pool_owner.PoolOwner` each."""

import random
from collections.abc import Iterable, Mapping

from wigeonhitch.routing import event, peer, pool_owner, timer

__all__ = ["PoolOwners"]


class PoolOwners:
    """Pool owners by pool, created by the first daemon that reports to this one.

    Parameters
    ----------
    rng : random.Random
        Seeded.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._owners: dict[str, pool_owner.PoolOwner] = {}
        self._timers = timer.Timers()
        self._view: Mapping[str, tuple[event.Worker, ...]] = {}
        self._members: list[str] = []
        self._weights: Mapping[str, float] = {}
        self._stopping = False

    def receive(
        self, daemon: str, message: peer.Message, now: float
    ) -> pool_owner.Messages:
        """Pass a message to the owner of its pool; reply `peer.Leave` without one."""
        owner = self._owners.get(message.pool)
        is_join = isinstance(message, peer.Report) and message.join
        if owner is None and is_join and not self._stopping:
            owner = self._open(message.pool, now)
        if owner is not None:
            messages = owner.receive(daemon, message, now)
            self._update_timer(message.pool)
            return messages
        if is_join or isinstance(message, peer.Ask):
            return [(daemon, peer.Leave(message.pool))]
        return []

    def set_view(
        self, view: Mapping[str, tuple[event.Worker, ...]], now: float
    ) -> pool_owner.Messages:
        """Set the workers of all pools."""
        self._view = view
        messages: pool_owner.Messages = []
        for pool, owner in self._owners.items():
            messages += owner.set_workers(view.get(pool, ()), now)
            self._update_timer(pool)
        return messages

    def set_members(self, members: Iterable[str], now: float) -> pool_owner.Messages:
        """Set the daemons that are alive."""
        self._members = list(members)
        messages: pool_owner.Messages = []
        for pool, owner in self._owners.items():
            messages += owner.set_members(frozenset(self._members), now)
            self._update_timer(pool)
        return messages

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams."""
        self._weights = weights
        for owner in self._owners.values():
            owner.set_weights(weights)

    def stop(self) -> pool_owner.Messages:
        """Stop assigning slots; the other daemons fail over to the next in rank."""
        self._stopping = True
        messages: pool_owner.Messages = []
        for owner in self._owners.values():
            messages += owner.leave()
        self._owners.clear()
        return messages

    def run_due(self, now: float) -> pool_owner.Messages:
        """Run what is due; call at `next_time`."""
        messages: pool_owner.Messages = []
        for pool in self._timers.take_due(now):
            if pool in self._owners:
                messages += self._owners[pool].run_due(now)
                self._update_timer(pool)
        return messages

    def next_time(self) -> float | None:
        """Return when to call `run_due`, in seconds."""
        return self._timers.next()

    def _open(self, pool: str, now: float) -> pool_owner.PoolOwner:
        owner = pool_owner.PoolOwner(pool, now, self._members, self._rng)
        owner.set_weights(self._weights)
        owner.set_workers(self._view.get(pool, ()), now)
        self._owners[pool] = owner
        return owner

    def _update_timer(self, pool: str) -> None:
        when = self._owners[pool].next_time()
        if when is None:
            self._timers.discard(pool)
        else:
            self._timers.set(pool, when)
