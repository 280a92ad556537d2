"""Marks of ended workers, checked over seeded histories of restarts under their ids.

Starts go back and ahead, entries are written late and by foreign writers, VMs are
listed while entries are read, and leaders of the fleet take over.
"""

import random
from typing import NamedTuple

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.maintenance import core, record
from wigeonhitch.platform import entries, fleet

STEP_SECONDS = 0.1
HEARTBEAT_SECONDS = 1.5
ROOM = model.Room(32000, 65536)
SEEDS = range(20)


class Write(NamedTuple):
    """A write of a worker's entry that reaches the store at ``due``.

    ``start_ms`` is None if the entry is removed, or can't be read.
    """

    due: float
    worker: str
    start_ms: int | None


class Listing(NamedTuple):
    """An answered list of VMs that hasn't reached the leader yet."""

    due: float
    requested_at: float
    vms: tuple[fleet.Vm, ...]
    known_starts: dict[str, int]


class World:
    """VMs whose workers keep their ids, the store, and leaders of the fleet."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now = 0.0
        self.faults = True
        self.live = {f"w{n}": self._draw_start() for n in range(4)}
        """Start of each worker that is up."""
        self.down_until = {}
        self.heartbeat_at = dict.fromkeys(self.live, 0.0)
        self.writes = []
        self.entries = {}
        self.rows = {}
        self.listing = None
        self.marks = 0
        self.wrong_marks = []
        self.take_over()

    def _draw_start(self):
        """Return the time of day, which may have been set back or ahead."""
        return 10**9 + round(self.now * 1000) + self.random.randrange(-30_000, 30_000)

    def take_over(self):
        """Replace the leader; rows and entries are read in any order."""
        self.state = core.FleetState(self.now)
        self.listing = None
        for closing in self.random.sample(list(self.rows.values()), len(self.rows)):
            self.state.on_closing(closing, self.now)
        for worker in self.random.sample(list(self.entries), len(self.entries)):
            self._read_entry(worker)

    def _read_entry(self, worker):
        start_ms = self.entries[worker]
        self.state.on_worker(
            entries.WorkerEntry(
                worker, "a", "", "dc", False, ROOM, (), start_ms=start_ms
            )
        )

    def run(self, seconds):
        """Go on for some seconds."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_SECONDS
            if self.faults:
                self._disturb()
            self._restart_workers()
            self._write_entries()
            self._lead()

    def _disturb(self):
        for worker in list(self.live):
            if self.random.random() < 0.015:
                start_ms = self.live.pop(worker)
                self.down_until[worker] = self.now + self.random.uniform(0.0, 4.0)
                if self.random.random() < 0.2:
                    self.writes.append(Write(self.down_until[worker], worker, None))
                if self.random.random() < 0.5:
                    late = self.now + self.random.uniform(0.0, 6.0)
                    self.writes.append(Write(late, worker, start_ms))
        if self.random.random() < 0.02:
            foreign = self.random.choice((None, 0, 1, self._draw_start(), 10**15))
            worker = self.random.choice(sorted(self.heartbeat_at))
            self.writes.append(Write(self.now, worker, foreign))
        if self.random.random() < 0.01:
            for _ in range(self.random.choice((1, 2))):
                self.take_over()

    def _restart_workers(self):
        for worker, until in list(self.down_until.items()):
            if self.now >= until:
                del self.down_until[worker]
                self.live[worker] = self._draw_start()
                self.heartbeat_at[worker] = self.now

    def _write_entries(self):
        for worker, start_ms in self.live.items():
            if self.now >= self.heartbeat_at[worker]:
                self.heartbeat_at[worker] = self.now + HEARTBEAT_SECONDS
                self.writes.append(Write(self.now, worker, start_ms))
        for write in [write for write in self.writes if write.due <= self.now]:
            self.writes.remove(write)
            if write.start_ms is None:
                self.entries.pop(write.worker, None)
                self.state.on_worker_removed(write.worker)
            else:
                self.entries[write.worker] = write.start_ms
                self._read_entry(write.worker)

    def _list_vms(self):
        return tuple(
            fleet.Vm(
                f"vm-{worker}",
                "a",
                fleet.VmState.UP if worker in self.live else fleet.VmState.DOWN,
                "dc",
                (),
                ROOM,
                worker if worker in self.live or self.random.random() < 0.5 else "",
            )
            for worker in self.heartbeat_at
        )

    def _lead(self):
        """Request and receive lists, mark ended workers, and close and open others."""
        if self.listing is None:
            due = self.now + self.random.uniform(0.0, 0.5)
            known_starts = dict(self.state.worker_starts)
            self.listing = Listing(due, self.now, self._list_vms(), known_starts)
        if self.now < self.listing.due:
            return
        _, requested_at, vms, known_starts = self.listing
        self.listing = None
        self.state.on_vms(vms, requested_at, known_starts)
        for closing in self.state.list_ended_workers():
            self._write_closing(closing)
            self.marks += 1
        for worker in self.state.list_expired_closings(self.now):
            self._open(worker)
        for vm in self.state.vms.values():
            if vm.state is not fleet.VmState.UP or self.random.random() > 0.05:
                continue
            if self.state.is_closing(vm.id):
                self._open(vm.worker)
            elif self.faults and self.state.is_identified(vm.worker):
                self._write_closing(record.Closing(vm.worker, vm.id, 1))

    def _write_closing(self, closing):
        self.rows[closing.worker] = closing
        self.state.on_closing(closing, self.now)
        if closing.ended and closing.worker in self.list_live_names():
            self.wrong_marks.append(closing)

    def _open(self, worker):
        self.rows.pop(worker, None)
        self.state.on_reopened(worker)

    def list_live_names(self):
        """Return the names of the incarnations that are up."""
        return {entries.name_incarnation(*worker) for worker in self.live.items()}


def simulate(seed):
    """Return a world after 60 s with faults and 15 s without."""
    world = World(seed)
    world.run(60)
    world.faults = False
    world.run(15)
    return world


@pytest.mark.parametrize("seed", SEEDS)
def test_no_live_worker_is_marked_and_ended_ones_are_forgotten(seed):
    """Guards against tasks that start twice, and workers ignored for all their life."""
    world = simulate(seed)

    assert world.wrong_marks == []
    assert world.marks > 5
    assert not world.rows.keys() - world.list_live_names()
    assert {vm.worker for vm in world.state.vms.values()} == world.list_live_names()


def keep_highest_start(state, entry):
    """Take the incarnation with the highest start for the last one."""
    known = state.worker_starts.get(entry.id, 0)
    state.worker_starts[entry.id] = max(known, entry.start_ms)


def compare_starts(name, former):
    """Take the incarnation with the higher start for the later one."""
    return int(name.partition("@")[2] or 0) > int(former.partition("@")[2] or 0)


def test_histories_find_marks_of_live_workers_by_their_starts(monkeypatch):
    """Guards against histories in which no late or foreign entry matters."""
    monkeypatch.setattr(entries, "has_replaced", compare_starts)

    assert any(simulate(seed).wrong_marks for seed in range(3))


def test_histories_find_workers_named_by_their_highest_start(monkeypatch):
    """Guards against histories in which no clock goes back."""
    monkeypatch.setattr(core.FleetState, "on_worker", keep_highest_start)

    world = simulate(0)
    assert {vm.worker for vm in world.state.vms.values()} != world.list_live_names()
