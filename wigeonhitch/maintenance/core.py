"""What the leader of moves and upkeep believes.

It orders about a VM only when the pool's leader says that nothing runs there
and nothing will: the pool's leader keeps a closed worker closed, also over a
change of leaders, until the row that closes it is gone.
"""

from typing import NamedTuple

from wigeonhitch.jobs import model
from wigeonhitch.maintenance import record
from wigeonhitch.platform import entries, fleet
from wigeonhitch.pool import record as pool_record

__all__ = ["Close", "Fleet", "Maintain", "Move", "Moving", "Open", "Show"]


CLOSINGS_KEPT = 5.0
"""Seconds for which the row of an ended worker is kept at least, so that a
pool's leader that was just replaced has its successor find it."""


JOINS_WITHIN = 0.7
"""Seconds that a VM takes from its arrival in a pool until its tasks start and
the pool's board shows what is still unmet."""


class Close(NamedTuple):
    """Have a worker vacated."""

    closing: record.Closing


class Open(NamedTuple):
    """Let a worker have tasks again, or forget one that has ended."""

    worker: str


class Maintain(NamedTuple):
    """Order a VM's upkeep."""

    vm: str
    wave: int
    worker: str


class Move(NamedTuple):
    """Order a VM's move."""

    vm: str
    pool: str
    worker: str


class Moving(NamedTuple):
    """A VM on its way to a pool, and when that was ordered."""

    pool: str
    since: float


class Show(NamedTuple):
    """Show a wave's state to operators."""

    wave: int
    completed: bool


class Fleet:
    """Belief of the leader of moves and upkeep.

    Parameters
    ----------
    now : float
        This daemon's time at the takeover.
    moves_at_once : int
        VMs that may be on their way to another pool at once.
    """

    def __init__(self, now: float, moves_at_once: int = 32) -> None:
        self.taken_over = now
        self.moves_at_once = moves_at_once
        self.vms: dict[str, fleet.Vm] = {}
        self.listed_at = 0.0
        self.pools: dict[str, model.Pool] = {}
        self.boards: dict[str, pool_record.PoolStatus] = {}
        self.closings: dict[str, record.Closing] = {}
        self.closed_since: dict[str, float] = {}
        self.closed_at: dict[str, int] = {}
        """Versions of the store from which on workers are closed."""
        self.waves: dict[int, entries.WaveOrder] = {}
        self.wave_began: dict[int, float] = {}
        self.progress: dict[int, record.WaveRecord] = {}
        self.shown: dict[int, bool] = {}
        self.moving: dict[str, Moving] = {}
        """VMs whose move was ordered."""
        self.arrived: dict[str, Moving] = {}
        """VMs that came to a pool just now: its board doesn't tell of them yet."""
        self.home: dict[str, int] = {}
        """VMs that each pool had when it was first seen, as operators gave it."""
        self.idle_since: dict[str, float] = {}
        """Since when a pool has had room for more than one VM's work."""
        self.ordered_at: dict[str, float] = {}
        """When a VM was last ordered about."""
        self.ordered_life: dict[str, str] = {}
        """The life that a VM had at its last order."""
        self._lives: dict[str, str] = {}
        """VM of each worker that was listed with it up, until it is told as ended."""
        self._barred: dict[str, float] = {}
        self._refused: set[tuple[str, str]] = set()

    def on_earlier_order(self, vm: str, until: float) -> None:
        """Take note that an earlier leader ordered a VM about.

        Two leaders may not follow each other about one VM within a lease's time, so it
        is left alone up to ``until``. All other VMs can be ordered about at once:
        waiting that long for all of them stopped moves for 3 s at each change of
        leader, most of a burst of 4 to 8 s.
        """
        self._barred[vm] = until

    def on_refused(self, vm: str, pool: str) -> None:
        """Take note that a VM can never move to a pool: it has VMs of other kinds."""
        self._refused.add((vm, pool))

    def is_refused(self, vm: str, pool: str) -> bool:
        """Whether a VM can't move to a pool."""
        return (vm, pool) in self._refused

    def on_not_ordered(self, vm: str) -> None:
        """Take note that a planned order was not given."""
        self.moving.pop(vm, None)

    def may_order(self, vm: str, now: float) -> bool:
        """Whether no earlier leader's order about a VM is too recent."""
        return now >= self._barred.get(vm, 0.0)

    def on_vms(self, vms: tuple[fleet.Vm, ...], now: float) -> None:
        """Take the list of VMs, as asked for at ``now``."""
        self.vms = {one.id: one for one in vms}
        for one in vms:
            if one.state is fleet.VmState.UP and one.worker:
                self._lives[one.worker] = one.id
        self.listed_at = now
        for id, moving in list(self.moving.items()):
            one = self.vms.get(id)
            arrived = one is not None and one.state is fleet.VmState.UP
            if one is None or (arrived and now > moving.since):
                del self.moving[id]
                self.arrived[id] = moving._replace(since=now)
        for id, moving in list(self.arrived.items()):
            if now - moving.since > JOINS_WITHIN:
                del self.arrived[id]

    def on_wave(self, wave: entries.WaveOrder, now: float) -> None:
        """Take an operator's order."""
        if wave.number not in self.waves:
            self.wave_began[wave.number] = now
        self.waves[wave.number] = wave
        self.progress.setdefault(wave.number, record.WaveRecord())

    def on_closing(self, closing: record.Closing, now: float, version: int = 0) -> None:
        """Take note that a worker is closed by a row of this version."""
        self.closings[closing.worker] = closing
        self.closed_at[closing.worker] = version
        if closing.ended or closing.worker not in self.closed_since:
            self.closed_since[closing.worker] = now
        if closing.ended:
            self._lives.pop(closing.worker, None)

    def on_opened(self, worker: str) -> None:
        """Take note that a worker is closed no more."""
        self.closings.pop(worker, None)
        self.closed_since.pop(worker, None)
        self.closed_at.pop(worker, None)

    def is_standby(self, pool: str) -> bool:
        """Whether the VMs of a pool are off."""
        known = self.pools.get(pool)
        return known is not None and known.standby

    def is_empty(self, one: fleet.Vm) -> bool:
        """Whether nothing runs on a VM and nothing will."""
        if self.is_standby(one.pool) or not one.worker:
            return True
        board = self.boards.get(one.pool)
        if board is None or one.worker not in self.closings:
            return False
        # Tasks may have come since a board that doesn't know of the closing.
        knows = board.closings >= self.closed_at[one.worker]
        return knows and one.worker in board.empty

    def list_lost(self) -> list[record.Closing]:
        """Return the workers whose lives have ended, as not yet told.

        A worker is one life of its VM. Once the VM is listed as down, as ordered about
        or with another life, that life never comes back. A VM that isn't listed shows
        nothing: pages of a list that changes meanwhile may leave one out.

        Until the pool's leader is told so, it waits for the leases of all that ran
        there, one that has just taken over for the longest that any leader grants.
        """
        known = {one.worker: one for one in self.closings.values()}
        for worker, vm in self._lives.items():
            known.setdefault(worker, record.Closing(worker, vm))
        return [
            one._replace(ended=True)
            for one in known.values()
            if not one.ended and self._has_ended(one)
        ]

    def _has_ended(self, closing: record.Closing) -> bool:
        """Whether the list of VMs shows that a worker's life is over."""
        one = self.vms.get(closing.vm)
        if one is None:
            return False
        if one.state is not fleet.VmState.UP:
            return True
        return one.worker not in ("", closing.worker)

    def is_closing(self, vm: str) -> bool:
        """Whether the worker of a VM is being vacated."""
        return any(one.vm == vm and not one.ended for one in self.closings.values())

    def count_closing(self, pool: str) -> int:
        """Return how many workers of a pool are being vacated or away."""
        closing = {one.vm for one in self.closings.values() if not one.ended}
        return sum(
            1
            for one in self.vms.values()
            if one.pool == pool
            and (one.id in closing or one.state is not fleet.VmState.UP)
        )

    def list_stale_closings(self, now: float) -> list[str]:
        """Return closed workers whose life has ended, some time ago."""
        alive = {one.worker for one in self.vms.values()}
        return [
            worker
            for worker, since in self.closed_since.items()
            if worker not in alive and now - since > CLOSINGS_KEPT
        ]
