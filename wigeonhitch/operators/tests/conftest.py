import httpx
import pytest

from wigeonhitch.operators import credential, route, service

SECRET = "correct horse battery"


@pytest.fixture(scope="session")
def operators():
    return (
        credential.make_operator("ana", ("operations",), SECRET),
        credential.make_operator("vic", ("viewer",), SECRET),
    )


@pytest.fixture
def credentials(operators):
    return credential.Credentials(operators)


@pytest.fixture
def handled_requests():
    """Requests received by a handler."""
    return []


@pytest.fixture
def app(credentials, handled_requests):
    async def handle(request):
        handled_requests.append(request)
        if request.query.get("fail"):
            raise ValueError("fault in a handler")
        return route.Answer(200, {"path": dict(request.path), "body": request.body})

    routes = (
        route.Route("GET", "/pools/{pool}", False, handle),
        route.Route("POST", "/pools/{pool}", True, handle),
    )
    return service.make_app(routes, credentials, clock=lambda: 0.0)


@pytest.fixture
def ask(app):
    async def ask(method, path, who="ana", secret=SECRET, **arguments):
        transport = httpx.ASGITransport(app)
        headers = {"Authorization": f"Bearer {who}:{secret}"} if who else {}
        async with httpx.AsyncClient(
            transport=transport, base_url="http://daemon/operator/v1"
        ) as http:
            return await http.request(method, path, headers=headers, **arguments)

    return ask
