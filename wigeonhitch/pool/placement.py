"""Choice of the VMs for a task or gang by free room, label, rack and spread limit.

Batch tasks go where they leave the least room, so that large tasks still fit
elsewhere. Lasting tasks go to VMs with the fewest tasks of their step, then to VMs
that already run lasting tasks, so that the others can move to another pool, and then
to the most free room.
"""

from collections.abc import Collection, Iterable, Mapping, Sequence

from wigeonhitch.jobs import model
from wigeonhitch.pool import suspect, vm

__all__ = ["Placer", "count_fitting"]


class Placer:
    """Free room of the open VMs during one placement round.

    Parameters
    ----------
    vms : iterable of vm.Vm
        The pool's VMs.
    now : float
        This daemon's time.
    kept : collection of str
        VMs that are kept free of other tasks for tests of suspects.
    suspects : mapping of str to int, optional
        Number of suspects that run on each VM.
    assigned : iterable of suspect.Assigned
        Tasks that wait for their start, and whose room is reserved.
    """

    def __init__(
        self,
        vms: Iterable[vm.Vm],
        now: float,
        kept: Collection[str] = (),
        suspects: Mapping[str, int] | None = None,
        assigned: Iterable[suspect.Assigned] = (),
    ) -> None:
        open_vms = [machine for machine in vms if machine.is_open(now)]
        self.open_count = len(open_vms)
        self.kept = {machine.id for machine in open_vms if machine.id in kept}
        """Open VMs that are kept for tests."""
        self.suspects = dict(suspects or {})
        """Number of suspects by VM, for VMs with at least one."""
        open_vms = [machine for machine in open_vms if machine.id not in self.kept]
        healthy = [machine for machine in open_vms if not machine.is_quarantined(now)]
        # Never exclude more than half of a pool: failures on most VMs are caused by
        # the tasks themselves, and an empty pool would serve nobody.
        self.vms = healthy if 2 * len(healthy) >= len(open_vms) else open_vms
        self.free = {machine.id: machine.compute_free_room() for machine in self.vms}
        self._free_at_start = dict(self.free)
        self.max_free_cpu = max((room.cpu for room in self.free.values()), default=-1)
        """Upper bound of the free millicores on any VM.

        A search without a result lowers it, and released room raises it again.
        """
        self.step_counts: dict[tuple[str, str, int, int], int] = {}
        for machine in self.vms:
            for task in machine.runs:
                self._add_to_count(machine, task, 1)
        by_id = {machine.id: machine for machine in self.vms}
        for item in assigned:
            if item.vm in by_id and item.crashes:
                self._reserve_for_suspect(by_id[item.vm], item.task, item.step)
            elif item.vm in by_id:
                self.reserve(by_id[item.vm], item.task, item.step)

    def choose(
        self,
        task: model.Task,
        step: model.Step,
        *,
        avoid: str = "",
        rack: str = "",
        allowed: frozenset[str] | None = None,
        is_suspect: bool = False,
    ) -> vm.Vm | None:
        """Choose a VM for a task and reserve its room; return None if none fits.

        Parameters
        ----------
        avoid : str
            VM on which the task failed before: chosen only if no other fits.
        rack : str
            Rack that the VM must be in; empty: any.
        allowed : frozenset of str, optional
            VMs that the queue's policy allows.
        is_suspect : bool
            Whether a VM has crashed under the task: it is placed where the fewest
            other suspects are.
        """
        candidates = [
            machine
            for machine in self.vms
            if self._fits(machine, task, step)
            and (not rack or machine.rack == rack)
            and (allowed is None or machine.id in allowed)
        ]
        if not candidates:
            self.max_free_cpu = max(
                (room.cpu for room in self.free.values()), default=-1
            )
            return None
        if is_suspect:
            fewest = min(self.suspects.get(machine.id, 0) for machine in candidates)
            candidates = [
                machine
                for machine in candidates
                if self.suspects.get(machine.id, 0) == fewest
            ]
        chosen = min(
            candidates, key=lambda machine: self._score(machine, task, step, avoid)
        )
        if is_suspect:
            self._reserve_for_suspect(chosen, task, step)
        else:
            self.reserve(chosen, task, step)
        return chosen

    def choose_for_gang(
        self,
        tasks: Sequence[model.Task],
        step: model.Step,
        *,
        allowed: frozenset[str] | None = None,
    ) -> list[vm.Vm]:
        """Choose a VM for each of the tasks, or none; in one rack if required.

        Parameters
        ----------
        tasks : sequence of model.Task
            Tasks of one gang.
        step : model.Step
            Their step, which may require one rack.
        allowed : frozenset of str, optional
            VMs that the queue's policy allows.
        """
        for rack in self.list_racks() if step.same_rack else [""]:
            if chosen := self._choose_in(rack, tasks, step, allowed):
                return chosen
        return []

    def reserve_for_gang(
        self,
        tasks: Sequence[model.Task],
        step: model.Step,
        *,
        allowed: frozenset[str] | None = None,
    ) -> None:
        """Reserve room that a gang can take once batch runs have ended.

        Less urgent tasks would otherwise take each piece that becomes free, and the
        gang would never start. Nothing is reserved if the gang can't fit on the VMs
        that may be used, however few tasks they run.
        """
        for rack in self.list_racks() if step.same_rack else [""]:
            if self._reserve_in(rack, tasks, step, allowed):
                return

    def _reserve_in(
        self,
        rack: str,
        tasks: Sequence[model.Task],
        step: model.Step,
        allowed: frozenset[str] | None,
    ) -> bool:
        """Reserve room on the VMs with most free room; return whether all tasks fit."""
        needed = len(tasks)
        counts: list[tuple[vm.Vm, int]] = []
        for machine in sorted(self.vms, key=lambda item: -self.free[item.id].cpu):
            if (
                (rack and machine.rack != rack)
                or (allowed is not None and machine.id not in allowed)
                or not self.is_eligible(machine, tasks[0], step)
            ):
                continue
            room = self._compute_room_without_batch(machine)
            count = min(needed, count_fitting(step, room))
            if step.spread:
                count = min(count, step.spread - self._get_count(machine, tasks[0]))
            if count > 0:
                counts.append((machine, count))
                needed -= count
        if needed:
            return False
        remaining = iter(tasks)
        for machine, count in counts:
            for _ in range(count):
                self.reserve(machine, next(remaining), step)
        return True

    def _compute_room_without_batch(self, machine: vm.Vm) -> model.Room:
        """Return a VM's room but for lasting runs and what this round has reserved."""
        lasting = (run for run in machine.runs.values() if run.step.lasting)
        return model.Room(
            *(
                room - (before - now)
                for room, before, now in zip(
                    machine.compute_room_beside(lasting),
                    self._free_at_start[machine.id],
                    self.free[machine.id],
                    strict=True,
                )
            )
        )

    def _choose_in(
        self,
        rack: str,
        tasks: Sequence[model.Task],
        step: model.Step,
        allowed: frozenset[str] | None,
    ) -> list[vm.Vm]:
        """Choose a VM for each of the tasks, or release all room and return none."""
        chosen: list[vm.Vm] = []
        for task in tasks:
            machine = self.choose(task, step, rack=rack, allowed=allowed)
            if machine is None:
                for taken, earlier in zip(chosen, tasks, strict=False):
                    self.release(taken, earlier, step)
                return []
            chosen.append(machine)
        return chosen

    def keep(self, machine: vm.Vm) -> None:
        """Keep a VM free of further tasks for the rest of the round."""
        self.vms.remove(machine)
        self.kept.add(machine.id)

    def has_room(self, machine: vm.Vm) -> bool:
        """Return whether a VM may be used and has the room for all reservations."""
        free = self.free.get(machine.id)
        return free is not None and model.Room().fits_in(free)

    def _reserve_for_suspect(
        self, machine: vm.Vm, task: model.Task, step: model.Step
    ) -> None:
        self.reserve(machine, task, step)
        self.suspects[machine.id] = self.suspects.get(machine.id, 0) + 1

    def reserve(self, machine: vm.Vm, task: model.Task, step: model.Step) -> None:
        """Reserve a task's room on a VM."""
        self._change(machine, task, step, 1)

    def release(self, machine: vm.Vm, task: model.Task, step: model.Step) -> None:
        """Release a task's room on a VM."""
        self._change(machine, task, step, -1)

    def list_racks(self) -> list[str]:
        """Return the racks, those with most free processors first."""
        free_by_rack: dict[str, int] = {}
        for machine in self.vms:
            free_by_rack[machine.rack] = (
                free_by_rack.get(machine.rack, 0) + self.free[machine.id].cpu
            )
        return sorted(free_by_rack, key=lambda rack: -free_by_rack[rack])

    def _fits(self, machine: vm.Vm, task: model.Task, step: model.Step) -> bool:
        return self.is_eligible(machine, task, step) and step.reserved.fits_in(
            self.free[machine.id]
        )

    def is_eligible(self, machine: vm.Vm, task: model.Task, step: model.Step) -> bool:
        """Return whether a VM may run a task as soon as it has the room."""
        if step.label and step.label not in machine.entry.labels:
            return False
        if step.spread and self._get_count(machine, task) >= step.spread:
            return False
        return task not in machine.runs

    def _score(
        self, machine: vm.Vm, task: model.Task, step: model.Step, avoid: str
    ) -> tuple[float, ...]:
        is_far_from_data = (
            bool(step.data_rack) and step.data_rack not in machine.entry.labels
        )
        free = self.free[machine.id].cpu
        if step.lasting:
            has_no_lasting = not any(run.step.lasting for run in machine.runs.values())
            return (
                machine.id == avoid,
                is_far_from_data,
                self._get_count(machine, task),
                has_no_lasting,
                -free,
            )
        return (machine.id == avoid, is_far_from_data, free)

    def _change(
        self, machine: vm.Vm, task: model.Task, step: model.Step, sign: int
    ) -> None:
        cpu, memory, gpus = self.free[machine.id]
        room = step.reserved
        self.free[machine.id] = model.Room(
            cpu - sign * room.cpu,
            memory - sign * room.memory,
            gpus - sign * room.gpus,
        )
        self.max_free_cpu = max(self.max_free_cpu, self.free[machine.id].cpu)
        self._add_to_count(machine, task, sign)

    def _add_to_count(self, machine: vm.Vm, task: model.Task, sign: int) -> None:
        key = (machine.id, task.job, task.occurrence, task.step)
        self.step_counts[key] = self.step_counts.get(key, 0) + sign

    def _get_count(self, machine: vm.Vm, task: model.Task) -> int:
        return self.step_counts.get(
            (machine.id, task.job, task.occurrence, task.step), 0
        )


def count_fitting(step: model.Step, free: model.Room) -> int:
    """Return how many of a step's tasks fit in a VM's free room."""
    if not step.reserved.fits_in(free):
        return 0
    counts = [
        available // needed
        for available, needed in zip(free, step.reserved, strict=True)
        if needed
    ]
    return min([step.count, *counts, *([step.spread] if step.spread else [])])
