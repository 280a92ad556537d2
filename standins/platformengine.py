"""Request handling of the platform stand-in, without I/O.

`Engine.handle` takes one request and the time and returns the answer. The
process (`standins.platform`) serves it over HTTP, the fake (`standins.fake`)
calls it directly; both apply the same faults.
"""

import collections
from collections.abc import Callable
from typing import Any, NamedTuple

from standins import platformfaults, platformfleet, platformtable, platformtasks
from wigeonhitch.platform import table, tasks

__all__ = ["Answer", "Call", "Engine"]


TABLE_PATHS = ("/table/", "/objects/")
"""Calls under these paths don't depend on the state of VMs and tasks."""


class Call(NamedTuple):
    """Request; ``body`` is decoded JSON, or bytes for an object."""

    method: str
    path: str
    body: Any = None
    purpose: str = ""
    daemon: str = ""
    data_centre: str = ""


class Answer(NamedTuple):
    """Status and body; a body of bytes is sent unchanged."""

    status: int
    body: Any


class Engine:
    """State of the stand-in: table, objects, VMs, tasks, faults and counters."""

    def __init__(
        self,
        fleet: platformfleet.Fleet | None = None,
        *,
        usage_lag: float = 0.0,
    ) -> None:
        self.store = platformtable.Store()
        self.fleet = fleet or platformfleet.Fleet()
        self.tasks = platformtasks.Scheduler(lag=usage_lag)
        self.faults = platformfaults.Faults()
        self.counters: dict[str, collections.Counter[str]] = {
            "reads": collections.Counter(),
            "writes": collections.Counter(),
        }
        self._routes: dict[tuple[str, str], Callable[[Call, float], Answer]] = {
            ("POST", "/table/read"): self._read,
            ("POST", "/table/scan"): self._scan,
            ("POST", "/table/commit"): self._commit,
            ("GET", "/vms"): self._list_vms,
            ("POST", "/tasks"): self._start,
            ("POST", "/tasks/renew"): self._renew,
            ("POST", "/tasks/list"): self._list_tasks,
            ("GET", "/tasks/log"): lambda _, now: Answer(200, self.tasks.log()),
            ("GET", "/history"): self._show_history,
            ("GET", "/counters"): self._show_counters,
            ("POST", "/switch"): self._switch,
            ("POST", "/fleet"): self._change_fleet,
            ("GET", "/health"): lambda _, now: Answer(200, {"time": now}),
        }

    def handle(self, call: Call, now: float) -> Answer:
        """Answer one request; ``now`` in seconds since the Unix epoch."""
        if not call.path.startswith(TABLE_PATHS):
            self.advance(now)
        route = self._routes.get((call.method, call.path)) or self._match_prefix(call)
        if route is None:
            return Answer(404, {"error": f"no route {call.method} {call.path}"})
        try:
            return route(call, now)
        except (KeyError, TypeError, ValueError) as error:
            return Answer(400, {"error": f"{type(error).__name__}: {error}"})

    def advance(self, now: float) -> None:
        """Advance VMs and tasks to ``now``."""
        self.tasks.advance(now, self.fleet.live, self.fleet.failing)
        self.fleet.advance(now)

    def _match_prefix(self, call: Call) -> Callable[[Call, float], Answer] | None:
        if call.path.startswith("/objects/"):
            return {"PUT": self._put, "GET": self._get}.get(call.method)
        if call.method == "POST" and call.path.startswith("/vms/"):
            return self._reboot
        if call.method == "POST" and call.path.startswith("/tasks/"):
            return self._control
        return None

    def _count(self, kind: str, call: Call) -> None:
        self.counters[kind][call.purpose or "none"] += 1

    def _answer_rows(self, rows: list[table.Row], now: float) -> Answer:
        body = {"rows": rows, "time": now, "revision": self.store.revision}
        return Answer(200, body)

    def _read(self, call: Call, now: float) -> Answer:
        self._count("reads", call)
        return self._answer_rows(self.store.read(call.body["keys"]), now)

    def _scan(self, call: Call, now: float) -> Answer:
        self._count("reads", call)
        since = call.body.get("since", 0)
        return self._answer_rows(self.store.scan(call.body["prefix"], since), now)

    def _commit(self, call: Call, now: float) -> Answer:
        self._count("writes", call)
        conflicts = self.store.commit(
            [table.Condition(*item) for item in call.body["conditions"]],
            [table.Write(*item) for item in call.body["writes"]],
            call.body["token"],
            now,
            daemon=call.daemon,
            purpose=call.purpose,
        )
        body = {"time": now, "revision": self.store.revision}
        if conflicts:
            return Answer(409, body | {"conflicts": conflicts})
        return Answer(200, body)

    def _put(self, call: Call, now: float) -> Answer:
        self._count("writes", call)
        self.store.objects[call.path.removeprefix("/objects/")] = call.body or b""
        return Answer(200, {"time": now})

    def _get(self, call: Call, now: float) -> Answer:
        self._count("reads", call)
        data = self.store.objects.get(call.path.removeprefix("/objects/"))
        if data is None:
            return Answer(404, {"error": "no such object", "time": now})
        return Answer(200, data)

    def _list_vms(self, call: Call, now: float) -> Answer:
        self._count("reads", call)
        as_of, listed = self.fleet.list_vms(now)
        vms = [machine._asdict() | {"state": machine.state.value} for machine in listed]
        return Answer(200, {"as_of": as_of, "time": now, "vms": vms})

    def _reboot(self, call: Call, now: float) -> Answer:
        self._count("writes", call)
        vm = call.path.split("/")[2]
        if not self.fleet.reboot(vm, call.body["boot"], now):
            return Answer(409, {"reason": "vm", "time": now})
        self.tasks.advance(now, self.fleet.live, self.fleet.failing)
        return Answer(200, {"time": now})

    def _start(self, call: Call, now: float) -> Answer:
        self._count("writes", call)
        spec = tasks.TaskSpec(**call.body)
        return self._answer_order(self.tasks.start(spec, self.fleet.live, now), now)

    def _renew(self, call: Call, now: float) -> Answer:
        self._count("writes", call)
        body = call.body
        reason = self.tasks.renew(body["tasks"], body["fence"], body["lease"], now)
        return self._answer_order(reason, now)

    def _control(self, call: Call, now: float) -> Answer:
        self._count("writes", call)
        name = call.path.removeprefix("/tasks/").removesuffix("/control")
        body = call.body
        reason = self.tasks.control(name, body["action"], body["fence"], now)
        return self._answer_order(reason, now)

    def _list_tasks(self, call: Call, now: float) -> Answer:
        self._count("reads", call)
        listed = self.tasks.list_tasks(call.body["vms"], now)
        shown = [task._asdict() | {"state": task.state.value} for task in listed]
        return Answer(200, {"tasks": shown, "time": now})

    def _answer_order(self, reason: str, now: float) -> Answer:
        return Answer(409 if reason else 200, {"reason": reason, "time": now})

    def _show_history(self, call: Call, now: float) -> Answer:
        shown = [entry._asdict() for entry in self.store.history]
        return Answer(200, {"history": shown, "time": now})

    def _show_counters(self, call: Call, now: float) -> Answer:
        shown = {kind: dict(counts) for kind, counts in self.counters.items()}
        return Answer(200, shown | {"time": now})

    def _switch(self, call: Call, now: float) -> Answer:
        self.faults.switch(call.body)
        return Answer(200, {"time": now})

    def _change_fleet(self, call: Call, now: float) -> Answer:
        self.fleet.change(call.body, now)
        return Answer(200, {"time": now})
