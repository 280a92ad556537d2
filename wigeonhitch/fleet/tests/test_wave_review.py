"""The loops over the steps of stops end, whatever the rows and the list say."""

import random

import pytest

from wigeonhitch.fleet import observer, state, wave
from wigeonhitch.fleet.tests import test_decisions as decisions
from wigeonhitch.platform import machines

MAX_PASSES = 4


def build_random_snapshot(draw):
    rows = decisions.build_rows({"a": 5, "b": 5})
    for index, row in enumerate(rows):
        rows[index] = row._replace(
            state=draw.choice(list(state.VmState)),
            boot=draw.choice([state.NO_BOOT, 0, 1]),
            wave=draw.choice(["", "w", "unknown"]),
            target=draw.choice(["", "", "a", "b", "unknown"]),
            since=draw.choice([0.0, 99.0, 101.0]),
        )
    pools = [
        decisions.build_pool(name, 5, draw.randrange(6), "data_centre") for name in "ab"
    ]
    snapshot = decisions.build_snapshot(
        pools,
        rows,
        waves=(decisions.build_wave("a", "b"),),
        sick=[row.vm for row in rows if draw.random() < 0.3],
        limits=wave.Limits(return_within=draw.choice([10.0, 900.0])),
    )
    listed = snapshot.observation.machines
    for row in rows:
        fields = {"boot": draw.randrange(3)}
        fields["state"] = draw.choice(list(machines.MachineState))
        listed[row.vm] = listed[row.vm]._replace(**fields)
    for row in rows:
        if draw.random() < 0.1:
            del listed[row.vm]
    return snapshot


@pytest.mark.parametrize("seed", range(20))
def test_steps_of_any_snapshot_come_to_an_end(seed):
    """Guards against a round that repeats steps for ever."""
    draw = random.Random(seed)
    for _ in range(200):
        snapshot = build_random_snapshot(draw)
        before = dict(snapshot.view.vms)
        passes = 0
        assumed = snapshot._replace(view=snapshot.view.copy())
        while steps := wave.advance(assumed)[0]:
            assumed.view.vms.update((step.row.vm, step.row) for step in steps)
            passes += 1
            assert passes <= MAX_PASSES
        observer.list_vms_to_check(snapshot)
        assert snapshot.view.vms == before


def test_no_vm_reboots_in_the_round_that_gives_others_back():
    """Guards against a reboot in a pool that was below its budget in this round.

    A drain is given back as the pool has lost VMs; after that the pool has just its
    required VMs, and the next pass of the same round may reboot another draining VM.
    """
    rows = decisions.build_rows({"a": 4})
    for index in (0, 1):
        rows[index] = rows[index]._replace(state=state.VmState.DRAINING, wave="w")
    snapshot = decisions.build_snapshot(
        [decisions.build_pool("a", 4, 3)], rows, waves=(decisions.build_wave("a"),)
    )
    steps = [step.step.value for step in wave.advance(snapshot)[0]]
    assumed = observer.assume_steps(snapshot)
    up = [r for r in assumed.view.vms.values() if r.state is state.VmState.UP]
    assert steps == ["give back", "reboot"], steps
    assert len(up) >= 3
