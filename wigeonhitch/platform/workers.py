"""Client of the workers: start, stop and throttle runs, and renew their leases."""

import enum
from typing import Any, NamedTuple, Protocol

from wigeonhitch.jobs import model
from wigeonhitch.platform import field, http, table

__all__ = [
    "Ended",
    "HoldReply",
    "OrderReply",
    "Running",
    "Start",
    "Verdict",
    "WorkerCalls",
    "Workers",
]


class Verdict(enum.Enum):
    """Outcome of an order to a worker."""

    DONE = "done"
    UNKNOWN = "unknown"
    """The order may have been carried out or may still be."""
    NOT_DONE = "not done"
    """The order did not reach the worker."""
    FENCED = "fenced"
    """The worker has received a higher fencing token."""
    OLD = "old"
    """A run of the task with this or a higher number has stopped or ended there."""
    LATE = "late"
    """The deadline of the start has passed."""
    NO_ROOM = "no room"
    BAD_TICKET = "bad ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"
    GONE = "gone"
    """Another incarnation of the VM answered: the addressed one has ended."""


class Start(NamedTuple):
    """An order to start a run of a task.

    ``deadline`` is the latest start, in seconds on the worker's clock.
    """

    task: model.Task
    run: int
    spec: str
    deadline: float
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class Running(NamedTuple):
    """One run that a worker reports as running.

    ``work`` is the progress in percent, for a lasting task its availability. For a
    serving task ``load`` is the tail latency in milliseconds, for others the CPU
    usage in millicores.
    """

    task: model.Task
    run: int
    checkpoint: str
    work: float
    load: float


class Ended(NamedTuple):
    """The end of a run; numbers increase within an incarnation of a VM."""

    number: int
    task: model.Task
    run: int
    end: model.End
    checkpoint: str


class OrderReply(NamedTuple):
    """Answer to an order about a run; ``clock`` is the worker's, in seconds."""

    verdict: Verdict
    clock: float = 0.0
    sent: float = 0.0
    received: float = 0.0


class HoldReply(NamedTuple):
    """Answer to a renewal of a worker's leases.

    ``start_ms`` is the Unix time in milliseconds of the worker's start, 0 where workers
    don't report it.
    """

    verdict: Verdict
    clock: float = 0.0
    sent: float = 0.0
    received: float = 0.0
    running: tuple[Running, ...] = ()
    ended: tuple[Ended, ...] = ()
    start_ms: int = 0


class WorkerCalls(Protocol):
    """Calls of a pool's leader to workers."""

    async def start(
        self, address: str, worker: str, order: Start, *, timeout: float
    ) -> OrderReply:
        """Start a run of a task."""
        ...

    async def stop(
        self,
        address: str,
        worker: str,
        task: model.Task,
        run: int,
        fence: int,
        *,
        timeout: float,
    ) -> OrderReply:
        """Stop a run; the worker refuses to start it later."""
        ...

    async def pace(
        self,
        address: str,
        worker: str,
        task: model.Task,
        run: int,
        percent: int,
        fence: int,
        *,
        timeout: float,
    ) -> OrderReply:
        """Throttle a run to a percentage of its speed."""
        ...

    async def hold(
        self,
        address: str,
        worker: str,
        fence: int,
        deadline: float | None,
        last_seen: int,
        *,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Renew the leases of a worker's runs and list its runs and ends."""
        ...


class Workers:
    """Implements `WorkerCalls` over HTTP."""

    def __init__(self, client: http.Client) -> None:
        self._client = client

    async def start(
        self, address: str, worker: str, order: Start, *, timeout: float
    ) -> OrderReply:
        """Start a run of a task."""
        body: dict[str, Any] = {
            "task": write_task(order.task),
            "run": order.run,
            "spec": order.spec,
            "deadline_ms": int(order.deadline * 1000),
            "fencing_token": order.fence,
        }
        if order.checkpoint:
            body["last_checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._order(address, worker, "/v1/run-start", body, timeout)

    async def stop(
        self,
        address: str,
        worker: str,
        task: model.Task,
        run: int,
        fence: int,
        *,
        timeout: float,
    ) -> OrderReply:
        """Stop a run; the worker refuses to start it later."""
        body = {"task": write_task(task), "run": run, "fencing_token": fence}
        return await self._order(address, worker, "/v1/run-stop", body, timeout)

    async def pace(
        self,
        address: str,
        worker: str,
        task: model.Task,
        run: int,
        percent: int,
        fence: int,
        *,
        timeout: float,
    ) -> OrderReply:
        """Throttle a run to a percentage of its speed."""
        body = {"task": write_task(task), "run": run, "percent": percent}
        body["fencing_token"] = fence
        return await self._order(address, worker, "/v1/pace", body, timeout)

    async def hold(
        self,
        address: str,
        worker: str,
        fence: int,
        deadline: float | None,
        last_seen: int,
        *,
        wait: float,
        timeout: float,
    ) -> HoldReply:
        """Renew the leases of a worker's runs and list its runs and ends."""
        body = {"fencing_token": fence, "last_seen": last_seen}
        body["wait_ms"] = int(wait * 1000)
        if deadline is not None:
            body["deadline_ms"] = int(deadline * 1000)
        reply = await self._call(address, worker, "/v1/hold", body, timeout)
        verdict = _classify_reply(reply)
        clock = _read_clock(reply)
        times = (clock, reply.sent, reply.received)
        if verdict is Verdict.DONE and not isinstance(reply.body, dict):
            # An unreadable body lists no runs. Read as an empty list, it would end
            # all runs of the worker.
            return HoldReply(Verdict.UNKNOWN, *times)
        if verdict is not Verdict.DONE:
            return HoldReply(verdict, *times)
        try:
            running = tuple(map(_read_running, reply.body.get("running", ())))
            ended = tuple(map(_read_ended, reply.body.get("finished", ())))
            start_ms = field.read_start(reply.body)
        except (ValueError, TypeError, AttributeError, LookupError):
            return HoldReply(Verdict.UNKNOWN, *times)
        return HoldReply(verdict, *times, running, ended, start_ms)

    async def _order(
        self, address: str, worker: str, path: str, body: Any, timeout: float
    ) -> OrderReply:
        reply = await self._call(address, worker, path, body, timeout)
        return OrderReply(
            _classify_reply(reply), _read_clock(reply), reply.sent, reply.received
        )

    async def _call(
        self, address: str, worker: str, path: str, body: Any, timeout: float
    ) -> http.Reply:
        headers = {"Target-Instance": worker}
        return await self._client.call(
            "POST", address, path, timeout=timeout, body=body, headers=headers
        )


VERDICTS_BY_REASON = {
    "fence": Verdict.FENCED,
    "old": Verdict.OLD,
    "late": Verdict.LATE,
    "room": Verdict.NO_ROOM,
    "ticket": Verdict.BAD_TICKET,
}


def write_task(task: model.Task) -> str:
    """Encode the name of a task for the wire."""
    return f"{task.job}.{task.occurrence}.{task.step}.{task.index}"


def read_task(text: str) -> model.Task:
    """Decode the name of a task.

    Raises
    ------
    ValueError
        If the name hasn't four parts, or the last three aren't numbers.
    """
    job, occurrence, step, index = text.split(".")
    return model.Task(job, int(occurrence), int(step), int(index))


def _classify_reply(reply: http.Reply) -> Verdict:
    if reply.outcome is table.Outcome.NOT_DONE:
        return Verdict.NOT_DONE
    if reply.outcome is table.Outcome.UNKNOWN:
        return Verdict.UNKNOWN
    if reply.status == 200:
        return Verdict.DONE
    if reply.status == 409:
        reason = reply.body.get("reason") if isinstance(reply.body, dict) else ""
        if not isinstance(reason, str | None):
            return Verdict.UNKNOWN
        return VERDICTS_BY_REASON.get(reason, Verdict.FENCED)
    if reply.status == 421:
        return Verdict.GONE
    if reply.status in (429, 503):
        return Verdict.UNHEALTHY
    if 400 <= reply.status < 500:
        return Verdict.INVALID
    return Verdict.UNKNOWN


def _read_clock(reply: http.Reply) -> float:
    clock = reply.body.get("clock_ms") if isinstance(reply.body, dict) else None
    if not isinstance(clock, int | float) or isinstance(clock, bool):
        return 0.0
    return clock / 1000


def _read_running(row: Any) -> Running:
    load = row[4] if len(row) > 4 else 0
    return Running(
        read_task(field.read_text(row[0])),
        field.read_whole(row[1]),
        field.read_text(row[2] or ""),
        field.read_number(row[3]),
        field.read_number(load or 0),
    )


def _read_ended(row: Any) -> Ended:
    return Ended(
        field.read_whole(row[0]),
        read_task(field.read_text(row[1])),
        field.read_whole(row[2]),
        model.End(row[3]),
        field.read_text(row[4] or ""),
    )
