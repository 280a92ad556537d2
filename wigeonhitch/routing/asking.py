"""The pools whose slots this daemon asks for: one `borrower.Borrower` for each."""

import random
from collections.abc import Iterable, Mapping

from wigeonhitch.routing import borrower, event, link, peer, port, rendezvous, timer

__all__ = ["Asking"]


class Asking:
    """Borrowers by pool, opened by the first request or message for a pool.

    Parameters
    ----------
    driver : port.Port
    rng : random.Random
        Seeded.
    policy : link.Policy
    """

    def __init__(
        self, driver: port.Port, rng: random.Random, policy: link.Policy
    ) -> None:
        self._port = driver
        self._rng = rng
        self._policy = policy
        self._borrowers: dict[str, borrower.Borrower] = {}
        self._timers = timer.Timers()
        self._touched: set[str] = set()
        self._view: Mapping[str, tuple[event.Worker, ...]] = {}
        self._members: list[str] = []
        self._weights: Mapping[str, float] = {}

    def open(self, pool: str, now: float) -> borrower.Borrower:
        """Return the borrower of a pool, which is about to change."""
        self._touched.add(pool)
        found = self._borrowers.get(pool)
        if found is None:
            found = borrower.Borrower(pool, self._port, self._rng, self._policy)
            found.waiting.set_weights(self._weights)
            found.set_workers(self._view.get(pool, ()))
            ranked = rendezvous.rank(pool, self._members)
            found.set_members(ranked, len(self._members), now)
            self._borrowers[pool] = found
        return found

    def note_message(self, pool: str) -> None:
        """Let `renew` look at a pool for which any message came."""
        self._touched.add(pool)

    def find_request(self, pool: str, ask: int) -> int | None:
        """Return the request that an ask of this daemon is for."""
        known = self._borrowers.get(pool)
        return known.find_request(ask) if known is not None else None

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each pool in use."""
        return {pool: len(each.waiting) for pool, each in self._borrowers.items()}

    def receive(self, daemon: str, message: peer.Message, now: float) -> None:
        """Give an owner's message to the borrower of its pool."""
        self.open(message.pool, now).receive(daemon, message, now)

    def set_view(self, view: Mapping[str, tuple[event.Worker, ...]]) -> None:
        """Set the workers of all pools."""
        self._view = view
        for pool, each in self._borrowers.items():
            each.set_workers(view.get(pool, ()))
            self._touched.add(pool)

    def set_members(self, members: Iterable[str], now: float) -> None:
        """Set the daemons that are alive."""
        self._members = list(members)
        for pool, each in self._borrowers.items():
            ranked = rendezvous.rank(pool, self._members)
            each.set_members(ranked, len(self._members), now)
            self._touched.add(pool)

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of teams."""
        self._weights = weights
        for each in self._borrowers.values():
            each.waiting.set_weights(weights)

    def wake(self, now: float, late: float) -> None:
        """Do what is due; ``late`` is how much after `next_time` it is (s)."""
        for pool in self._timers.take_due(now):
            self.open(pool, now).wake(now, late)

    def renew(self, now: float) -> None:
        """Set the timers of what was changed since the last call."""
        for pool in self._touched:
            known = self._borrowers.get(pool)
            when = known.next_time(now) if known is not None else None
            if when is None:
                self._timers.discard(pool)
            else:
                self._timers.set(pool, when)
        self._touched.clear()

    def next_time(self) -> float | None:
        """Return when to call `wake`, in seconds."""
        return self._timers.next()
