"""In-process platform without sockets, for the tests of all packages.

`Fake` runs the same engine, faults and client as the platform stand-in, under
a clock that the test sets. By default its calls never suspend, so that a test
without an event loop can run them with `run`.

Examples
--------
>>> from wigeonhitch.platform import table
>>> fake = Fake()
>>> write = fake.table.commit(
...     [table.Condition("a", 0)], [table.Write("a", {"n": 1})], purpose="test")
>>> run(write).outcome
<Outcome.DONE: 'done'>
>>> fake.switch(down=True)
>>> run(fake.table.read(["a"], purpose="test")).reason
'down'
"""

import json
import random
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any, TypeVar

import anyio.lowlevel

from standins import platformengine, platformfaults, platformfleet
from wigeonhitch.platform import client, resolve, transport

__all__ = ["Fake", "run"]

T = TypeVar("T")


def run(call: Coroutine[Any, Any, T]) -> T:
    """Return the result of a call that never suspends.

    Raises
    ------
    RuntimeError
        If the call suspends.
    """
    try:
        call.send(None)
    except StopIteration as stop:
        return stop.value
    call.close()
    raise RuntimeError("the call suspended: run it in an event loop")


class Fake:
    """Engine with a settable clock, and clients for any number of daemons.

    Parameters
    ----------
    vms : iterable of mapping
        Fields of `machines.Machine` but ``state``.
    now : float
        Seconds since the Unix epoch at the start.
    vm_lag, usage_lag, reboot_seconds : float
        Seconds.
    suspends : bool
        Whether each attempt lets other tasks run first.
    seed : int
        Seed of the clients' jitter and tokens.
    """

    def __init__(
        self,
        vms: Iterable[Mapping[str, Any]] = (),
        *,
        now: float = 1_000_000.0,
        vm_lag: float = 0.0,
        usage_lag: float = 0.0,
        reboot_seconds: float = platformfleet.DEFAULT_REBOOT_SECONDS,
        suspends: bool = False,
        seed: int = 1,
    ) -> None:
        fleet = platformfleet.Fleet(
            vms, lag=vm_lag, reboot_seconds=reboot_seconds, now=now
        )
        self.now = now
        self.engine = platformengine.Engine(fleet, usage_lag=usage_lag)
        self.suspends = suspends
        self.late_calls: list[tuple[float, platformengine.Call]] = []
        self._rng = random.Random(seed)
        self.client = self.build_client("test")
        self.table = self.client
        self.objects = self.client
        self.machines = self.client
        self.tasks = self.client

    def build_client(self, daemon: str, data_centre: str = "") -> client.Client:
        """Return the client of one daemon; it implements all platform protocols."""
        fake_transport = _FakeTransport(self, daemon, data_centre)
        rng = random.Random(self._rng.random())
        return client.Client(
            fake_transport, rng=rng, clock=lambda: self.now, sleep=self._sleep
        )

    def switch(self, **switches: Any) -> None:
        """Set faults, see `platformfaults.Faults.switch`."""
        self.engine.faults.switch(switches)

    def change_fleet(self, **changes: Any) -> None:
        """Change VMs, see `platformfleet.Fleet.change`."""
        self.engine.fleet.change(changes, self.now)

    def advance(self, seconds: float) -> None:
        """Advance the clock; late writes that become due take effect in time order."""
        end = self.now + seconds
        due = sorted(
            (item for item in self.late_calls if item[0] <= end),
            key=lambda item: item[0],
        )
        for due_at, call in due:
            self.late_calls.remove((due_at, call))
            self.now = max(self.now, due_at)
            self.engine.handle(call, self.now)
        self.now = end
        self.engine.advance(self.now)

    def land(self) -> int:
        """Apply all late writes now; return their number."""
        late, self.late_calls = self.late_calls, []
        for _, call in late:
            self.engine.handle(call, self.now)
        return len(late)

    async def _sleep(self, seconds: float) -> None:
        if self.suspends:
            await anyio.lowlevel.checkpoint()


class _FakeTransport:
    """Transport that calls the engine of a `Fake`."""

    def __init__(self, fake: Fake, daemon: str, data_centre: str) -> None:
        self._fake = fake
        self._daemon = daemon
        self._data_centre = data_centre

    async def send(self, request: transport.Request, timeout: float) -> resolve.Reply:
        """Make one attempt, subject to the faults that are switched on."""
        fake = self._fake
        if fake.suspends:
            await anyio.lowlevel.checkpoint()
        body = request.body
        if not isinstance(body, bytes):
            body = json.loads(json.dumps(body))
        call = platformengine.Call(
            request.method,
            request.path,
            body,
            request.purpose,
            self._daemon,
            self._data_centre,
        )
        fault = fake.engine.faults.decide(call.path, self._daemon, self._data_centre)
        kind = platformfaults.Kind
        if fault.kind is kind.DOWN:
            return resolve.Reply(resolve.ReplyKind.REFUSED, 503)
        if fault.kind is kind.HANG:
            return resolve.Reply(resolve.ReplyKind.LOST)
        if fault.kind is kind.LATE or fault.delay >= timeout:
            fake.late_calls.append((fake.now + fault.delay, call))
            return resolve.Reply(resolve.ReplyKind.LOST)
        answer = fake.engine.handle(call, fake.now)
        if fault.kind is kind.LOSE or answer.status >= 500:
            return resolve.Reply(resolve.ReplyKind.LOST)
        body = answer.body
        if not isinstance(body, bytes):
            body = json.loads(json.dumps(body))
        return resolve.Reply(resolve.ReplyKind.ANSWERED, answer.status, body)
