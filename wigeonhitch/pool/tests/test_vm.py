"""Lease deadlines counted by a worker's clock."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries
from wigeonhitch.pool import vm

READ_AT = 100.0
CLOCK = 5000.0
ROUNDING = 1e-6


@pytest.fixture
def machine():
    """Make a VM that is known only by its entry."""
    room = model.Room(1000, 1000)
    entry = entries.WorkerEntry("w1", "p", "w1:1", "dc", False, room, (), CLOCK)
    return vm.Vm(entry, READ_AT)


@pytest.mark.parametrize("age", [0.0, 20.0, 200.0])
def test_lease_is_no_longer_than_a_successor_waits(machine, age):
    """Guards against two concurrent runs of a task after a hand-over.

    A leader renewed a VM's leases based on an entry that was minutes old, and gave the
    pool up. Its successor waited the reported 3.8 s for the unreachable VM, but the
    run went on for 2 s more, as the worker's clock may be 2% slow. The lease must count
    from the time that the worker's clock has certainly reached.
    """
    slowest = CLOCK + age * (1 - vm.MAX_CLOCK_DRIFT)

    deadline = machine.compute_deadline(READ_AT + age, 3.8)

    assert deadline - slowest <= 3.8 + ROUNDING
