import json

import pytest

from wigeonhitch.fleet import observer, routes
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
