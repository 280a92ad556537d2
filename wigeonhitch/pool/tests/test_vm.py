"""What a leader reckons of a worker's clock."""

import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries
from wigeonhitch.pool import vm

READ_AT = 100.0
CLOCK = 5000.0
ROUNDING = 1e-6


@pytest.fixture
def one():
    """A VM known by its entry only."""
    room = model.Room(1000, 1000)
    entry = entries.WorkerEntry("w1", "p", "w1:1", "dc", False, room, (), CLOCK)
    return vm.Vm(entry, READ_AT)


@pytest.mark.parametrize("age", [0.0, 20.0, 200.0])
def test_no_lease_is_longer_than_what_a_successor_waits_for(one, age):
    """What could be seen: one task run twice at the same time, after a hand-over.

    How: a daemon led nothing for minutes, led again and renewed a VM's leases by an
    entry as old. It gave the pool up, and its successor, which couldn't reach the VM,
    waited for the 3.8 s that it was told; the run went on for 2 s more.

    Cause: the lease was counted from a clock that runs at full rate, and the worker's
    may be 2% slow. It is counted from what that clock has certainly reached.
    """
    slowest = CLOCK + age * (1 - vm.MAX_CLOCK_DRIFT)

    deadline = one.compute_deadline(READ_AT + age, 3.8)

    assert deadline - slowest <= 3.8 + ROUNDING
