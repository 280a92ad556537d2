import pytest

from wigeonhitch.operators import credential, service

pytestmark = pytest.mark.anyio


async def test_handler_receives_operator_path_query_and_body(ask, handled_requests):
    answer = await ask("POST", "/pools/match?dry=1", json={"size": 6})
    assert answer.status_code == 200
    assert answer.json() == {"path": {"pool": "match"}, "body": {"size": 6}}
    assert handled_requests[0].operator == "ana"
    assert handled_requests[0].roles == {"operations"}
    assert handled_requests[0].query == {"dry": "1"}


@pytest.mark.parametrize(
    ("method", "path", "arguments", "status"),
    [
        ("POST", "/pools/match", {"who": ""}, 401),
        ("POST", "/pools/match", {"who": "eve"}, 401),
        ("POST", "/pools/match", {"secret": "wrong"}, 401),
        ("POST", "/pools/match", {"who": "vic"}, 403),
        ("GET", "/nothing", {}, 404),
        ("DELETE", "/pools/match", {}, 405),
        ("POST", "/pools/match", {"content": b"{"}, 400),
        ("POST", "/pools/match", {"content": b" " * 1_000_001}, 413),
    ],
)
async def test_refused_request_does_not_reach_the_handler(
    ask, handled_requests, method, path, arguments, status
):
    answer = await ask(method, path, **arguments)
    assert answer.status_code == status
    assert answer.json()["reason"]
    assert handled_requests == []


async def test_viewer_may_read(ask):
    assert (await ask("GET", "/pools/match", who="vic")).status_code == 200


async def test_failed_change_is_reported_as_unknown(ask):
    assert (await ask("POST", "/pools/match?fail=1")).status_code == 504
    assert (await ask("GET", "/pools/match?fail=1")).status_code == 500


async def test_verified_secret_is_cached(ask, monkeypatch):
    hashed_secrets = []
    hash_secret = credential.hash_secret

    def record_hash(secret, salt):
        hashed_secrets.append(secret)
        return hash_secret(secret, salt)

    monkeypatch.setattr(credential, "hash_secret", record_hash)
    for _ in range(5):
        await ask("GET", "/pools/match")
    assert len(hashed_secrets) == 1


async def test_wrong_secrets_are_limited_per_name(credentials, operators):
    valid_header = "Bearer ana:correct horse battery"
    for _ in range(credential.MAX_WRONG_SECRETS):
        refusal = credentials.verify("Bearer ana:wrong", 0.0)
        assert refusal is credential.Refusal.WRONG
    assert credentials.verify(valid_header, 1.0) is credential.Refusal.RATE_LIMITED
    other_operator = credentials.verify("Bearer vic:correct horse battery", 1.0)
    assert other_operator == operators[1]
    assert (
        credentials.verify(valid_header, credential.WRONG_SECRETS_WINDOW_SECONDS)
        == operators[0]
    )
    expired_at = (
        credential.WRONG_SECRETS_WINDOW_SECONDS + credential.CACHE_LIFETIME_SECONDS
    )
    assert credentials.check_cached(valid_header, expired_at) is None


def test_settings_entry_does_not_contain_the_secret(operators):
    assert "correct horse battery" not in repr(operators)
    assert operators[0].salt != operators[1].salt


def test_path_parameter_matches_one_segment():
    pattern = service.compile_path("/jobs/{team}/{job}/cancel")
    match = pattern.fullmatch("/jobs/a/b.c/cancel")
    assert match.groupdict() == {"team": "a", "job": "b.c"}
    assert pattern.fullmatch("/jobs/a/b/c/cancel") is None
