"""Maintenance of a VM by whole daemons, from the operator's order to its end."""

import anyio
import orjson
import pytest

from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, fleet

pytestmark = pytest.mark.anyio

ORDER = {"wave": 1, "machines": ["vm1"], "duration_s": 20, "ceiling": 1}


async def test_a_vm_is_drained_reported_empty_and_maintained(site, monkeypatch):
    """The pool's leader learns of the closing and confirms it in the pool's status."""
    maintained = []
    up = fleet.VmState.UP
    room = model.Room(8000, 9000)

    async def list_vms(self, *, timeout):
        vms = [fleet.Vm(f"vm{n}", "p", up, "dc", (), room, f"w{n}") for n in (1, 2)]
        return fleet.Listing(tuple(vms))

    async def maintain(self, vm, wave, holder, fence, *, timeout):
        maintained.append(vm)
        return fleet.OrderOutcome.DONE

    async with site.run("ab") as daemons:
        calls_class = type(daemons[0]._fleet_calls)
        monkeypatch.setattr(calls_class, "list_vms", list_vms)
        monkeypatch.setattr(calls_class, "maintain", maintain, raising=False)
        wave_key = entries.WAVE_PREFIX + "1"
        site.store.put(entries.OPERATOR_TABLE, "", wave_key, orjson.dumps(ORDER))
        with anyio.move_on_after(12.0):
            await site.wait_for(lambda: maintained)

    assert maintained == ["vm1"]
