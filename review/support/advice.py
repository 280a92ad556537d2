"""Stand-in of the service that knows which workers may run a step of a queue.

It names a ticket for each of the asked workers whose machine its policy allows. The
policy doesn't change. Calls are handled one after the other, each takes its time, and
beyond 32 that wait it answers 429.
"""

import asyncio
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from aiohttp import web

__all__ = ["Advice", "Hint", "check_ticket"]

MAX_WAITING = 32


class Hint(NamedTuple):
    """Times of a queue's advice, as in the configuration."""

    decide_ms: int = 20
    each_ms: int = 5
    validity_ms: int = 3000


class Advice:
    """The service.

    Parameters
    ----------
    allowed : frozenset of str
        Machines whose workers may run the steps.
    find_worker : callable
        Returns the machine and the start of a worker by its id, None if it isn't up.

    Attributes
    ----------
    calls : list
        Time, step, number of workers asked about and number of them that may run it.
    """

    def __init__(
        self,
        allowed: frozenset[str],
        find_worker: Callable[[str], tuple[str, int] | None],
    ) -> None:
        self.hint = Hint()
        self.calls: list[tuple[float, str, int, int]] = []
        self._allowed = allowed
        self._find_worker = find_worker
        self._waiting = 0
        self._turn = asyncio.Lock()

    async def answer(self, request: web.Request) -> web.Response:
        """Answer one call."""
        if self._waiting >= MAX_WAITING:
            return web.json_response({}, status=429)
        body = await request.json()
        self._waiting += 1
        try:
            async with self._turn:
                each_ms = self.hint.each_ms * len(body["workers"])
                await asyncio.sleep((self.hint.decide_ms + each_ms) / 1000)
                good = self._list_good(body)
        finally:
            self._waiting -= 1
        self.calls.append((time.time(), body["step"], len(body["workers"]), len(good)))
        return web.json_response({"good": good, "validity_ms": self.hint.validity_ms})

    def _list_good(self, body: dict[str, Any]) -> list[list[str]]:
        expiry_ms = int(time.time() * 1000) + self.hint.validity_ms
        good = []
        for id in body["workers"]:
            found = self._find_worker(id)
            if found is not None and found[0] in self._allowed:
                good.append([id, f"{body['step']}/{id}/{found[1]}/{expiry_ms}"])
        return good


def check_ticket(ticket: str, step: str, id: str, born_ms: int) -> bool:
    """Return whether a ticket is valid for a step, in this life of a worker."""
    parts = ticket.split("/")
    if parts[:3] != [step, id, str(born_ms)]:
        return False
    return time.time() * 1000 < int(parts[3])
