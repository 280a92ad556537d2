import contextlib
import json
import pathlib

import httpx
import pytest

from standins import fake
from wigeonhitch.command import client, main
from wigeonhitch.configuration import routes, store
from wigeonhitch.operators import credential, route, service

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
SECRET = "correct horse battery"
DAEMON = "http://a:1"


@pytest.fixture(scope="session")
def operators():
    roles = {
        "ana": ("operations",),
        "ben": ("operations", "owner"),
        "vic": ("viewer",),
    }
    return tuple(
        credential.make_operator(name, role_names, SECRET)
        for name, role_names in roles.items()
    )


@pytest.fixture
def platform():
    return fake.Fake(suspends=True)


@pytest.fixture
def answers():
    """Successive responses for a wave; the last one repeats."""
    return [{"wave": "monthly", "status": "running", "done": 0}]


@pytest.fixture
def requests():
    """Requests sent to the daemons: host, method, path."""
    return []


@pytest.fixture
def faults():
    """By host: an exception raised before or after the daemon handles a request."""
    return {}


@pytest.fixture
def run(platform, operators, answers, requests, faults, monkeypatch, capsys):
    """Return a function that runs a command and returns its exit code and output."""
    documents = store.Store(platform.table, platform.objects)

    async def show_wave(request):
        return route.Answer(200, answers.pop(0) if len(answers) > 1 else answers[0])

    async def submit_job(request):
        if request.body == {"team": "coffee"}:
            return route.Answer(400, {"error": "id: Field required"})
        return route.Answer(202, request.body)

    all_routes = (
        route.Route("POST", "/jobs", True, submit_job),
        *routes.make_routes(documents),
        route.Route("GET", "/waves/{wave}", False, show_wave),
        route.Route("POST", "/waves/{wave}/start", True, show_wave),
    )
    app = service.make_app(all_routes, credential.Credentials(operators))
    asgi_transport = httpx.ASGITransport(app)

    async def forward_request(request):
        requests.append((request.url.host, request.method, request.url.path))
        before, after = faults.get(request.url.host, (None, None))
        if before is not None:
            raise before
        answer = await asgi_transport.handle_async_request(request)
        body = await answer.aread()
        if after is not None:
            raise after
        return httpx.Response(answer.status_code, content=body)

    @contextlib.asynccontextmanager
    async def open_client(connection):
        headers = {"Authorization": f"Bearer {connection.operator}:{connection.secret}"}
        transport = httpx.MockTransport(forward_request)
        async with httpx.AsyncClient(transport=transport, headers=headers) as http:
            yield client.Client(connection.daemons, http)

    monkeypatch.setattr(client, "open_client", open_client)
    monkeypatch.setattr(store, "RETRY_PAUSE_SECONDS", 0.0)
    monkeypatch.setenv("WIGEONHITCH_SECRET", SECRET)
    monkeypatch.setenv("WIGEONHITCH_DAEMON", DAEMON)

    def run(*arguments, who="ana", as_json=False):
        monkeypatch.setenv("WIGEONHITCH_OPERATOR", who)
        code = main.main([*arguments, "--json"] if as_json else list(arguments))
        printed = capsys.readouterr().out
        return code, json.loads(printed) if as_json else printed

    return run
