"""Client of the platform: table, object store, VM list and worker tasks.

Every call has a deadline, a bounded number of tries with jittered backoff, and
an outcome of done, not done or unknown. `wigeonhitch.platform.resolve`
determines the outcome after a lost answer; a `transport.Transport` makes each
try.
"""

import collections
import contextlib
import random
import time
import uuid
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from wigeonhitch.platform import machines, resolve, table, tasks, transport

__all__ = ["Client", "open_client", "read_clock"]

CALL_TIMEOUT_SECONDS = 2.0
"""Default timeout of a call."""
OBJECT_TIMEOUT_SECONDS = 5.0
"""Timeout of a transfer of a whole object, at most some megabytes."""


def read_clock() -> float:
    """Return the seconds of a clock that includes time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Client:
    """Implements `Table`, `ObjectStore`, `Machines` and `Tasks`.

    Parameters
    ----------
    transport : transport.Transport
        Makes single tries.
    rng : random.Random
        Generator of jitter and commit tokens.
    clock : callable
        Returns seconds on the clock that includes time in suspension.
    sleep : callable
        Sleeps for the given seconds.

    Attributes
    ----------
    reads, writes, unknown : collections.Counter
        Numbers of read tries, write tries and calls of unknown outcome, by purpose.
    """

    def __init__(
        self,
        transport: transport.Transport,
        *,
        rng: random.Random,
        clock: Callable[[], float] = read_clock,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._transport = transport
        self._rng = rng
        self._clock = clock
        self._sleep = sleep
        self.reads: collections.Counter[str] = collections.Counter()
        self.writes: collections.Counter[str] = collections.Counter()
        self.unknown: collections.Counter[str] = collections.Counter()

    async def read(
        self,
        keys: Sequence[str],
        *,
        purpose: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> table.ReadResult:
        """Read rows by key; ``timeout`` in seconds covers all tries."""
        body = {"keys": list(keys)}
        request = transport.Request("POST", "/table/read", body, purpose)
        return _to_rows(await self._query(request, timeout))

    async def scan(
        self, prefix: str, *, purpose: str, since: int = 0, timeout: float = 5.0
    ) -> table.ReadResult:
        """Read rows under a prefix that changed after revision ``since``."""
        body = {"prefix": prefix, "since": since}
        request = transport.Request("POST", "/table/scan", body, purpose)
        return _to_rows(await self._query(request, timeout))

    async def commit(
        self,
        conditions: Sequence[table.Condition],
        writes: Sequence[table.Write],
        *,
        purpose: str,
        timeout: float = CALL_TIMEOUT_SECONDS,
    ) -> table.CommitResult:
        """Commit all writes if every condition holds.

        Raises
        ------
        ValueError
            If there is no condition, since a lost answer could not be resolved.
        """
        if not conditions:
            raise ValueError(f"commit of {len(writes)} writes: expected a condition")
        token = uuid.UUID(int=self._rng.getrandbits(128)).hex
        resolution = resolve.Resolution(conditions, writes, token)
        body = {"conditions": conditions, "writes": writes, "token": token}
        send = transport.Request("POST", "/table/commit", body, purpose)
        keys = {"keys": resolution.keys}
        read_back = transport.Request("POST", "/table/read", keys, purpose)
        deadline = self._clock() + timeout
        tries = 0
        while (step := resolution.next()) is not resolve.Step.FINISH:
            left = await self._back_off(tries, deadline)
            limit = resolve.compute_try_timeout(left)
            if not limit:
                break
            tries += 1
            if step is resolve.Step.SEND:
                resolution.on_commit(await self._send(send, limit, self.writes))
            else:
                resolution.on_read(await self._send(read_back, limit, self.reads))
        result = resolution.result()
        if result.outcome is table.Outcome.UNKNOWN:
            self.unknown[purpose] += 1
        return result

    async def put(self, name: str, data: bytes, *, purpose: str) -> table.Outcome:
        """Store ``data`` under ``name``."""
        request = transport.Request("PUT", f"/objects/{name}", data, purpose)
        return await self._act(request, OBJECT_TIMEOUT_SECONDS)

    async def get(self, name: str, *, purpose: str) -> bytes | None:
        """Return the object, or None when absent or unreachable."""
        request = transport.Request("GET", f"/objects/{name}", None, purpose)
        reply = await self._query(request, OBJECT_TIMEOUT_SECONDS)
        return reply.body if reply.status == 200 else None

    async def list_vms(self, *, purpose: str) -> machines.VmList:
        """Return the VMs that are live or leaving; the list lags by some seconds."""
        request = transport.Request("GET", "/vms", None, purpose)
        reply = await self._query(request, CALL_TIMEOUT_SECONDS)
        if reply.status != 200:
            return machines.VmList(
                table.Outcome.NOT_DONE, reason=_get_failure_reason(reply)
            )
        listed = tuple(_to_machine(fields) for fields in reply.body["vms"])
        return machines.VmList(table.Outcome.DONE, listed, reply.body["as_of"])

    async def reboot(self, vm: str, boot: int, *, purpose: str) -> table.Outcome:
        """Reboot a VM if its boot number is still ``boot`` (idempotent)."""
        body = {"boot": boot}
        request = transport.Request("POST", f"/vms/{vm}/reboot", body, purpose)
        return await self._act(request, CALL_TIMEOUT_SECONDS)

    async def start(self, spec: tasks.TaskSpec, *, purpose: str) -> table.Outcome:
        """Start a task; ``UNKNOWN`` when the answer was lost."""
        request = transport.Request("POST", "/tasks", spec._asdict(), purpose)
        return await self._act(request, CALL_TIMEOUT_SECONDS)

    async def renew(
        self, names: tuple[str, ...], fence: int, lease: float, *, purpose: str
    ) -> table.Outcome:
        """Extend the leases of running tasks by ``lease`` seconds from now."""
        body = {"tasks": names, "fence": fence, "lease": lease}
        request = transport.Request("POST", "/tasks/renew", body, purpose)
        return await self._act(request, CALL_TIMEOUT_SECONDS)

    async def control(
        self, task: str, action: str, fence: int, *, purpose: str
    ) -> table.Outcome:
        """Apply ``"checkpoint"``, ``"throttle"``, ``"resume"`` or ``"stop"``."""
        body = {"action": action, "fence": fence}
        request = transport.Request("POST", f"/tasks/{task}/control", body, purpose)
        return await self._act(request, CALL_TIMEOUT_SECONDS)

    async def list_tasks(self, vms: tuple[str, ...], *, purpose: str) -> tasks.TaskList:
        """Return the tasks of the given VMs (all VMs when empty)."""
        request = transport.Request("POST", "/tasks/list", {"vms": vms}, purpose)
        reply = await self._query(request, CALL_TIMEOUT_SECONDS)
        if reply.status != 200:
            return tasks.TaskList(
                table.Outcome.NOT_DONE, reason=_get_failure_reason(reply)
            )
        listed = tuple(_to_task(fields) for fields in reply.body["tasks"])
        return tasks.TaskList(table.Outcome.DONE, listed)

    async def _query(self, request: transport.Request, timeout: float) -> resolve.Reply:
        reply, _ = await self._call_with_retries(request, timeout, self.reads)
        return reply

    async def _act(self, request: transport.Request, timeout: float) -> table.Outcome:
        reply, lost = await self._call_with_retries(request, timeout, self.writes)
        outcome = resolve.classify_idempotent(reply, lost)
        if outcome is table.Outcome.UNKNOWN:
            self.unknown[request.purpose] += 1
        return outcome

    async def _call_with_retries(
        self,
        request: transport.Request,
        timeout: float,
        counter: collections.Counter[str],
    ) -> tuple[resolve.Reply, bool]:
        """Try until answered; return the last reply and whether any was lost."""
        deadline = self._clock() + timeout
        reply = resolve.Reply(resolve.ReplyKind.REFUSED)
        lost = False
        for tries in range(resolve.MAX_TRIES):
            limit = resolve.compute_try_timeout(await self._back_off(tries, deadline))
            if not limit:
                break
            reply = await self._send(request, limit, counter)
            if reply.kind is resolve.ReplyKind.ANSWERED:
                break
            lost = lost or reply.kind is resolve.ReplyKind.LOST
        return reply, lost

    async def _back_off(self, tries: int, deadline: float) -> float:
        """Pause before a repeat; return the seconds left afterwards."""
        left = deadline - self._clock()
        if not tries:
            return left
        await self._sleep(resolve.compute_backoff(tries, left, self._rng.random()))
        return deadline - self._clock()

    async def _send(
        self,
        request: transport.Request,
        timeout: float,
        counter: collections.Counter[str],
    ) -> resolve.Reply:
        counter[request.purpose] += 1
        return await self._transport.send(request, timeout)


async def open_client(
    stack: contextlib.AsyncExitStack,
    address: str,
    *,
    rng: random.Random,
    daemon: str = "",
    data_centre: str = "",
    verify: Any = True,
) -> Client:
    """Open a client whose connections ``stack`` closes.

    Parameters
    ----------
    stack : contextlib.AsyncExitStack
        Closes the connections.
    address : str
        Base address such as ``"http://127.0.0.1:8500"``.
    rng : random.Random
        Generator of jitter and tokens; seed it differently in each daemon.
    daemon, data_centre : str
        Sent with each call.
    verify : bool or ssl.SSLContext
        As for `httpx.AsyncClient`.
    """
    http_transport = await transport.open_transport(
        stack, address, daemon=daemon, data_centre=data_centre, verify=verify
    )
    return Client(http_transport, rng=rng)


def _to_rows(reply: resolve.Reply) -> table.ReadResult:
    if reply.status != 200:
        return table.ReadResult(
            table.Outcome.NOT_DONE, reason=_get_failure_reason(reply)
        )
    return table.ReadResult(
        table.Outcome.DONE,
        tuple(table.Row(*row) for row in reply.body["rows"]),
        reply.body["revision"],
        reply.body["time"],
    )


def _to_machine(fields: dict[str, Any]) -> machines.Machine:
    state = machines.MachineState(fields["state"])
    return machines.Machine(**(fields | {"state": state}))


def _to_task(fields: dict[str, Any]) -> tasks.Task:
    return tasks.Task(**(fields | {"state": tasks.TaskState(fields["state"])}))


def _get_failure_reason(reply: resolve.Reply) -> str:
    if reply.kind is resolve.ReplyKind.REFUSED:
        return "down"
    if reply.kind is resolve.ReplyKind.LOST:
        return "timeout"
    return f"status {reply.status}"
