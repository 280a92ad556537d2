import json

import pytest

from wigeonhitch.fleet import observer, routes
from wigeonhitch.operators import route

pytestmark = pytest.mark.anyio


@pytest.fixture
def ask(world):
    made = world.build("r1")
    platform = made.seen.platform
    desk = routes.build_routes(observer.Observer(platform), lambda: world.accepted)
    handlers = {(item.method, item.path): item.handler for item in desk}

    async def call(method, path, **names):
        request = route.Request("ana", frozenset(), names, {}, None)
        answer = await handlers[method, path](request)
        json.dumps(answer.body)
        return answer

    call.runner = made
    return call


async def test_requests_on_a_wave(world, ask):
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
    told = [row.value["what"] for row in history if row.value.get("operator")]
    assert told == ["wave running", "wave paused", "wave aborted"]


async def test_racing_operators_get_one_winner(world, ask):
    await ask.runner.step()

    async def race(_):
        world.start("w", "aborted")

    client = ask.runner.seen.platform.table
    # The handler's own reads come first: list, then the commit.
    client.interrupt, client.trip = race, 4
    answer = await ask("POST", "/waves/{wave}/start", wave="w")
    assert answer.status == 409
    assert "changed meanwhile" in answer.body["reason"]


async def test_operators_see_what_waits_and_why(world, ask):
    await ask.runner.step()
    await ask("POST", "/waves/{wave}/start", wave="w")
    world.confirm("d1", drain=0)
    await ask.runner.step()
    body = (await ask("GET", "/pools/{pool}", pool="a")).body
    assert len(body["taken"]) == 1
    assert (body["required"], len(body["up"]), body["spare"]) == (3, 3, 0)
    whys = " ".join(item["why"] for item in body["waiting"])
    assert "daemon d1 has not applied the drain" in whys
    assert "budget of pool a: 3 up, 3 must be up" in whys
    assert all(item["since"] > 0 for item in body["waiting"])
    wave = (await ask("GET", "/waves/{wave}", wave="w")).body
    assert (wave["status"], wave["done"], len(wave["active"])) == ("running", 0, 2)
    assert len((await ask("GET", "/pools")).body["pools"]) == 2
    plan = (await ask("GET", "/waves/{wave}/plan", wave="w")).body
    assert plan["measures"]["rollout"] >= plan["bounds"]["rollout"] > 0
