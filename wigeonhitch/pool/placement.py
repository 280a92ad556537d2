"""Where a task goes: rooms, labels, racks, and at most so many on one VM.

Batch tasks go where they leave the least room, so that large ones still find
a place. Lasting tasks go apart from others of their step, to where most room is, and to
VMs that hold lasting tasks already: the others can go to another pool.
"""

from collections.abc import Iterable

from wigeonhitch.jobs import model
from wigeonhitch.pool import vm

__all__ = ["Placer"]


class Placer:
    """Free room of the open VMs while one round of placement is made."""

    def __init__(self, vms: Iterable[vm.Vm], now: float) -> None:
        opened = [one for one in vms if one.is_open(now)]
        good = [one for one in opened if not one.is_quarantined(now)]
        # Never set aside more than half of a pool: what fails on most VMs is
        # the work's own fault, and an empty pool serves nobody.
        self.vms = good if 2 * len(good) >= len(opened) else opened
        self.free = {one.id: one.compute_free_room() for one in self.vms}
        self.max_free_cpu = max((room.cpu for room in self.free.values()), default=-1)
        """At least the most free processors on any VM."""
        self.step_counts: dict[tuple[str, str, int, int], int] = {}
        for one in self.vms:
            for task in one.runs:
                self._add_to_count(one, task, 1)

    def choose(
        self,
        task: model.Task,
        step: model.Step,
        *,
        avoid: str = "",
        rack: str = "",
        allowed: frozenset[str] | None = None,
    ) -> vm.Vm | None:
        """Choose a VM for one task and take its room; None if there is none.

        Parameters
        ----------
        avoid : str
            VM on which the task failed before: taken only if no other fits.
        rack : str
            Rack that the task must be in; empty: any.
        allowed : frozenset of str, optional
            VMs that the queue's policy allows.
        """
        fitting = [
            one
            for one in self.vms
            if self._fits(one, task, step)
            and (not rack or one.rack == rack)
            and (allowed is None or one.id in allowed)
        ]
        if not fitting:
            self.max_free_cpu = max(
                (room.cpu for room in self.free.values()), default=-1
            )
            return None
        chosen = min(fitting, key=lambda one: self._score(one, task, step, avoid))
        self.reserve(chosen, task, step)
        return chosen

    def reserve(self, one: vm.Vm, task: model.Task, step: model.Step) -> None:
        """Take a task's room from a VM."""
        self._change(one, task, step, 1)

    def release(self, one: vm.Vm, task: model.Task, step: model.Step) -> None:
        """Give a task's room back."""
        self._change(one, task, step, -1)

    def list_racks(self) -> list[str]:
        """Return the racks, the one with most free processors first."""
        sums: dict[str, int] = {}
        for one in self.vms:
            sums[one.rack] = sums.get(one.rack, 0) + self.free[one.id].cpu
        return sorted(sums, key=lambda rack: -sums[rack])

    def _fits(self, one: vm.Vm, task: model.Task, step: model.Step) -> bool:
        if step.label and step.label not in one.entry.labels:
            return False
        if not step.reserved.fits_in(self.free[one.id]):
            return False
        if step.spread and self._get_count(one, task) >= step.spread:
            return False
        return task not in one.runs

    def _score(
        self, one: vm.Vm, task: model.Task, step: model.Step, avoid: str
    ) -> tuple[float, ...]:
        far = bool(step.data_rack) and step.data_rack not in one.entry.labels
        free = self.free[one.id].cpu
        if step.lasting:
            light = not any(run.step.lasting for run in one.runs.values())
            return (one.id == avoid, far, self._get_count(one, task), light, -free)
        return (one.id == avoid, far, free)

    def _change(
        self, one: vm.Vm, task: model.Task, step: model.Step, sign: int
    ) -> None:
        cpu, memory, gpus = self.free[one.id]
        room = step.reserved
        self.free[one.id] = model.Room(
            cpu - sign * room.cpu,
            memory - sign * room.memory,
            gpus - sign * room.gpus,
        )
        self._add_to_count(one, task, sign)

    def _add_to_count(self, one: vm.Vm, task: model.Task, sign: int) -> None:
        key = (one.id, task.job, task.occurrence, task.step)
        self.step_counts[key] = self.step_counts.get(key, 0) + sign

    def _get_count(self, one: vm.Vm, task: model.Task) -> int:
        return self.step_counts.get((one.id, task.job, task.occurrence, task.step), 0)
