"""The pools whose slots this daemon counts: one `slot.Owner` for each."""

import random
from collections.abc import Iterable, Mapping

from wigeonhitch.routing import event, peer, slot, timer

__all__ = ["Counting"]


class Counting:
    """Owners by pool, opened by the first daemon that reports to this one.

    Parameters
    ----------
    rng : random.Random
        Seeded.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._owners: dict[str, slot.Owner] = {}
        self._timers = timer.Timers()
        self._view: Mapping[str, tuple[event.Worker, ...]] = {}
        self._members: list[str] = []
        self._weights: Mapping[str, float] = {}
        self._stopping = False

    def receive(self, daemon: str, message: peer.Message, now: float) -> slot.Messages:
        """Give a message to the owner of its pool; `peer.Leave` if there is none."""
        owner = self._owners.get(message.pool)
        joins = isinstance(message, peer.Report) and message.join
        if owner is None and joins and not self._stopping:
            owner = self._open(message.pool, now)
        if owner is not None:
            out = owner.receive(daemon, message, now)
            self._renew(message.pool)
            return out
        if joins or isinstance(message, peer.Ask):
            return [(daemon, peer.Leave(message.pool))]
        return []

    def set_view(
        self, view: Mapping[str, tuple[event.Worker, ...]], now: float
    ) -> slot.Messages:
        """Set the workers of all pools."""
        self._view = view
        out: slot.Messages = []
        for pool, owner in self._owners.items():
            out += owner.set_workers(view.get(pool, ()), now)
            self._renew(pool)
        return out

    def set_members(self, members: Iterable[str], now: float) -> slot.Messages:
        """Set the daemons that are alive."""
        self._members = list(members)
        out: slot.Messages = []
        for pool, owner in self._owners.items():
            out += owner.set_members(frozenset(self._members), now)
            self._renew(pool)
        return out

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams."""
        self._weights = weights
        for owner in self._owners.values():
            owner.set_weights(weights)

    def stop(self) -> slot.Messages:
        """Stop counting; the daemons that ask go on to the next in rank."""
        self._stopping = True
        out: slot.Messages = []
        for owner in self._owners.values():
            out += owner.leave()
        self._owners.clear()
        return out

    def wake(self, now: float) -> slot.Messages:
        """Do what is due; call at `next_time`."""
        out: slot.Messages = []
        for pool in self._timers.take_due(now):
            if pool in self._owners:
                out += self._owners[pool].wake(now)
                self._renew(pool)
        return out

    def next_time(self) -> float | None:
        """Return when to call `wake`, in seconds."""
        return self._timers.next()

    def _open(self, pool: str, now: float) -> slot.Owner:
        owner = slot.Owner(pool, now, self._members, self._rng)
        owner.set_weights(self._weights)
        owner.set_workers(self._view.get(pool, ()), now)
        self._owners[pool] = owner
        return owner

    def _renew(self, pool: str) -> None:
        when = self._owners[pool].next_time()
        if when is None:
            self._timers.discard(pool)
        else:
            self._timers.set(pool, when)
