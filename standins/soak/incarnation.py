"""Incarnations of workers, and their restarts under the ids that they had."""

import random
import time
from typing import Any, NamedTuple

import orjson

from standins import siteworker
from standins.soak import relay
from wigeonhitch.jobs import model
from wigeonhitch.platform import workers

__all__ = [
    "Forgotten",
    "Incarnation",
    "Restarts",
    "Worker",
    "encode_end",
    "encode_run",
]

KEEP_SHARE = 0.75
"""Share of the incarnations that have their VM's former id, whatever ended the former
one; all that a fault of `standins.soak.restartfault` restarts have it."""

LISTED_SHARE = 0.5
"""Share of these faults during which the list of VMs shows no change."""

SILENT_SHARE = 0.5
"""Share of the ends of workers after which their connections stay silent; the others
are reset."""


class Incarnation(NamedTuple):
    """The start of one incarnation; ``worker`` names it in the recorded events."""

    time: float
    worker: str
    registered_id: str
    start_ms: int
    vm: str
    address: str


class Forgotten(NamedTuple):
    """An end that a worker has forgotten, though none of its answers had listed it."""

    time: float
    worker: str
    task: model.Task
    run: int
    outcome: str


class Worker(siteworker.Worker):
    """A worker whose runs end as their ``spec`` specifies.

    Attributes
    ----------
    registered_id : str
        Id in the store and in calls. Several incarnations may have it one after the
        other; ``id`` tells them apart.
    start_ms : int or None
        Unix time in milliseconds of the start by the VM's wall clock; None if the
        worker doesn't report it.
    sequence : int
        Number of entries that the worker has written.
    forgotten : list of Forgotten
    """

    def __init__(
        self,
        id: str,
        events: list[siteworker.Event],
        rng: random.Random,
        *,
        drift: float = 0.0,
    ) -> None:
        super().__init__(id, events, rng, drift=drift)
        self.registered_id = id
        self.start_ms: int | None = None
        self.sequence = 0
        self.forgotten: list[Forgotten] = []
        self._listed_end = 0

    def reset_clock(self, now: float) -> None:
        """Let the worker's own clock begin at ``now``."""
        self._offset = -now * (1 - self._drift)

    def crashes_under(self, order: workers.Start) -> bool:
        """Return whether the run crashes the worker."""
        return orjson.loads(order.spec).get("crash", False)

    def draw_end(self, order: workers.Start) -> tuple[float, model.End]:
        """Return after how many seconds a run ends, and its outcome."""
        spec = orjson.loads(order.spec)
        failed = self._rng.random() < spec.get("fail", 0.0)
        outcome = model.End.FAILED if failed else model.End.DONE
        return spec["seconds"], outcome

    def hold(
        self, fence: int, deadline: float | None, last_seen: int, now: float
    ) -> tuple[workers.Verdict, tuple[workers.Running, ...], tuple[workers.Ended, ...]]:
        """Renew the lease; record ends that are forgotten before they are listed."""
        unlisted = [end for end in self._ended if end.number > self._listed_end]
        verdict, running, ended = super().hold(fence, deadline, last_seen, now)
        if verdict is workers.Verdict.DONE:
            self.forgotten.extend(
                Forgotten(now, self.id, end.task, end.run, end.end.value)
                for end in unlisted
                if end.number <= last_seen
            )
            numbers = [end.number for end in ended]
            self._listed_end = max(numbers, default=self._listed_end)
        return verdict, running, ended

    def describe_start(self) -> dict[str, Any]:
        """Return the field with which the worker reports its start, if it does."""
        return {} if self.start_ms is None else {"born": self.start_ms}


class Restarts:
    """Restarts of workers under the ids that they had.

    Parameters
    ----------
    rng : random.Random
        Random numbers of its own, so that those of a run without restarts stay.
    links : dict of str to relay.Relay
        Link to each VM's current address, by VM.

    Attributes
    ----------
    incarnations : list of Incarnation
        All starts, in order.
    spare_links : dict of str to relay.Relay
        Link to another address of each VM, by VM.
    wall_offsets : dict of str to float
        Seconds by which a VM's wall clock is ahead, by VM.
    """

    def __init__(self, rng: random.Random, links: dict[str, relay.Relay]) -> None:
        self.incarnations: list[Incarnation] = []
        self.spare_links: dict[str, relay.Relay] = {}
        self.wall_offsets: dict[str, float] = {}
        self._rng = rng
        self._links = links
        self._former: dict[str, Worker] = {}
        self._kept: set[str] = set()
        self._repeated: set[str] = set()
        self._relocated: set[str] = set()
        self._listed: set[str] = set()

    def keep(
        self, vm: str, *, repeats_start: bool = False, relocates: bool = False
    ) -> None:
        """Let a VM's next incarnation have the id of the current one.

        Parameters
        ----------
        vm : str
        repeats_start : bool
            The next one also reports the same time of its start.
        relocates : bool
            The next one listens at the VM's other address.
        """
        self._kept.add(vm)
        if repeats_start:
            self._repeated.add(vm)
        if relocates:
            self._relocated.add(vm)
        if self._rng.random() < LISTED_SHARE:
            self._listed.add(vm)

    def begin(self, vm: str, worker: Worker, now: float) -> str:
        """Register the start of an incarnation; return the address of its calls."""
        former = self._former.get(vm)
        keeps_id = self._rng.random() < KEEP_SHARE or vm in self._kept
        worker.start_ms = int((time.time() + self.wall_offsets.get(vm, 0.0)) * 1000)
        if former is not None and keeps_id:
            worker.registered_id = former.registered_id
            if vm in self._repeated:
                worker.start_ms = former.start_ms
        worker.reset_clock(now)
        if vm in self._relocated:
            links = self._links[vm], self.spare_links[vm]
            self.spare_links[vm], self._links[vm] = links
        link = self._links[vm]
        link.is_refusing = False
        for names in (self._kept, self._repeated, self._relocated, self._listed):
            names.discard(vm)
        self._former[vm] = worker
        self.incarnations.append(
            Incarnation(
                now, worker.id, worker.registered_id, worker.start_ms, vm, link.address
            )
        )
        return link.address

    def end(self, vm: str) -> None:
        """Close the connections to an incarnation that has ended, and refuse others."""
        link = self._links[vm]
        link.is_refusing = True
        if self._rng.random() < SILENT_SHARE:
            link.silence()
        else:
            link.reset()

    def get_listed_id(self, vm: str) -> str:
        """Return the id that the list of VMs still shows for an ended incarnation."""
        return self._former[vm].registered_id if vm in self._listed else ""


def encode_run(run: workers.Running) -> list[Any]:
    """Encode a run as a worker lists it."""
    return [workers.write_task(run.task), run.run, run.checkpoint, run.work, run.load]


def encode_end(end: workers.Ended) -> list[Any]:
    """Encode an end as a worker lists it."""
    name = workers.write_task(end.task)
    return [end.number, name, end.run, end.end.value, end.checkpoint]
