import pytest

from wigeonhitch.operators import credential, service

pytestmark = pytest.mark.anyio


async def test_handler_sees_operator_path_query_and_body(ask, seen):
    answer = await ask("POST", "/pools/match?dry=1", json={"size": 6})
    assert answer.status_code == 200
    assert answer.json() == {"path": {"pool": "match"}, "body": {"size": 6}}
    assert seen[0].operator == "ana"
    assert seen[0].roles == {"operations"}
    assert seen[0].query == {"dry": "1"}


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
async def test_no_change_without_right(ask, seen, method, path, arguments, status):
    answer = await ask(method, path, **arguments)
    assert answer.status_code == status
    assert answer.json()["reason"]
    assert seen == []


async def test_viewer_may_look(ask):
    assert (await ask("GET", "/pools/match", who="vic")).status_code == 200


async def test_fault_in_a_change_is_unknown(ask):
    assert (await ask("POST", "/pools/match?fail=1")).status_code == 504
    assert (await ask("GET", "/pools/match?fail=1")).status_code == 500


async def test_secret_is_hashed_once(ask, monkeypatch):
    calls = []
    hash_secret = credential.hash_secret

    def count(secret, salt):
        calls.append(secret)
        return hash_secret(secret, salt)

    monkeypatch.setattr(credential, "hash_secret", count)
    for _ in range(5):
        await ask("GET", "/pools/match")
    assert len(calls) == 1


async def test_wrong_secrets_are_limited_per_name(credentials, operators):
    right = "Bearer ana:correct horse battery"
    for _ in range(credential.WRONG_TRIES):
        found = credentials.verify("Bearer ana:wrong", 0.0)
        assert found is credential.Refusal.WRONG
    assert credentials.verify(right, 1.0) is credential.Refusal.TOO_MANY
    other = credentials.verify("Bearer vic:correct horse battery", 1.0)
    assert other == operators[1]
    assert credentials.verify(right, credential.WRONG_SPAN) == operators[0]
    later = credential.WRONG_SPAN + credential.LIFETIME
    assert credentials.recall(right, later) is None


def test_settings_entry_does_not_hold_the_secret(operators):
    assert "correct horse battery" not in repr(operators)
    assert operators[0].salt != operators[1].salt


def test_path_pattern_takes_one_segment():
    pattern = service.compile_path("/jobs/{team}/{job}/cancel")
    match = pattern.fullmatch("/jobs/a/b.c/cancel")
    assert match.groupdict() == {"team": "a", "job": "b.c"}
    assert pattern.fullmatch("/jobs/a/b/c/cancel") is None
