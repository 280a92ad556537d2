import json

import pytest

from wigeonhitch.fleet import observer, routes, state
from wigeonhitch.operators import route

pytestmark = pytest.mark.anyio


@pytest.fixture
def ask(world):
    fleet_runner = world.build("r1")
    platform = fleet_runner.seen.platform
    fleet_routes = routes.build_routes(
        observer.Observer(platform), lambda: world.accepted
    )
    handlers = {(item.method, item.path): item.handler for item in fleet_routes}

    async def call(method, path, **names):
        request = route.Request("ana", frozenset(), names, {}, None)
        answer = await handlers[method, path](request)
        json.dumps(answer.body)
        return answer

    call.runner = fleet_runner
    return call


async def test_requests_that_change_a_wave(world, ask):
    await ask.runner.step()
    start, abort = "/waves/{wave}/start", "/waves/{wave}/abort"
    assert (await ask("POST", start, wave="nope")).status == 404
    assert (await ask("POST", "/waves/{wave}/resume", wave="w")).status == 409
    assert (await ask("POST", start, wave="w")).status == 200
    assert (await ask("POST", start, wave="w")).status == 200
    assert (await ask("POST", "/waves/{wave}/pause", wave="w")).status == 200
    assert (await ask("POST", abort, wave="w")).status == 200
    world.fake.switch(down=True)
    assert (await ask("POST", start, wave="w")).status == 503
    world.fake.switch(down=False)
    history = world.store.scan("history/fleet/", 0)
    statuses = [row.value["what"] for row in history if row.value.get("operator")]
    assert statuses == ["wave running", "wave paused", "wave aborted"]


async def test_one_of_two_concurrent_operator_requests_succeeds(world, ask):
    await ask.runner.step()

    async def abort_wave(_):
        world.start("w", "aborted")

    client = ask.runner.seen.platform.table
    # The handler's reads precede its commit, which is the call to interrupt.
    client.interrupt, client.trip = abort_wave, 4
    answer = await ask("POST", "/waves/{wave}/start", wave="w")
    assert answer.status == 409
    assert "changed meanwhile" in answer.body["reason"]


async def test_pool_and_wave_show_why_stops_wait(world, ask):
    await ask.runner.step()
    await ask("POST", "/waves/{wave}/start", wave="w")
    world.confirm("d1", drain=0)
    await ask.runner.step()
    body = (await ask("GET", "/pools/{pool}", pool="a")).body
    assert len(body["taken"]) == 1
    assert (body["required"], len(body["up"]), body["spare"]) == (3, 3, 0)
    reasons = " ".join(item["why"] for item in body["waiting"])
    assert "daemon d1 has not applied the drain" in reasons
    assert "budget of pool a: 3 up, 3 must be up" in reasons
    assert all(item["since"] > 0 for item in body["waiting"])
    wave = (await ask("GET", "/waves/{wave}", wave="w")).body
    assert (wave["status"], wave["done"], len(wave["active"])) == ("running", 0, 2)
    assert len((await ask("GET", "/pools")).body["pools"]) == 2
    plan = (await ask("GET", "/waves/{wave}/plan", wave="w")).body
    assert plan["measures"]["rollout"] >= plan["bounds"]["rollout"] > 0


@pytest.mark.parametrize("scans_before", range(len(state.PREFIXES) + 1))
async def test_wave_isnt_shown_as_done_with_a_vm_that_isnt(world, ask, scans_before):
    """Guards against a wave that is shown as done, and a VM of it as not returned.

    The last VM returns and the wave ends between two scans of the request.
    """
    world.start("x")
    for _ in range(100):
        if sum("x" in row.done for row in world.vms().values()) == 3:
            break
        world.fake.advance(0.5)
        for daemon in ("d1", "d2"):
            world.confirm(daemon)
        await ask.runner.step()
    await ask("GET", "/waves/{wave}", wave="x")

    async def complete_wave(_):
        for _ in range(100):
            world.fake.advance(0.5)
            for daemon in ("d1", "d2"):
                world.confirm(daemon)
            await other_runner.step()
            if world.store.read(["wave/x"])[0].value["status"] == "done":
                return

    other_runner = world.build("r2")
    world.write(state.SIGNAL, {})
    client = ask.runner.seen.platform.table
    client.interrupt, client.trip = complete_wave, scans_before
    body = (await ask("GET", "/waves/{wave}", wave="x")).body

    assert world.store.read(["wave/x"])[0].value["status"] == "done"
    assert (body["status"], body["done"]) != ("done", 3)
    body = (await ask("GET", "/waves/{wave}", wave="x")).body
    assert (body["status"], body["done"]) == ("done", 4)
