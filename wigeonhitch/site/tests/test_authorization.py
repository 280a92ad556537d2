"""Callers' keys: who is refused, by which reason, and by daemons that are cut off."""

import anyio
import orjson
import pytest

from standins import storelink, virtualtime
from wigeonhitch.jobs import credential, model
from wigeonhitch.leadership import record as leader_record
from wigeonhitch.maintenance import record as maintenance
from wigeonhitch.platform import entries, http
from wigeonhitch.pool import record as pool_record
from wigeonhitch.site import authorization, configuration, message
from wigeonhitch.site.tests import conftest
from wigeonhitch.telemetry import metric

KEYED = model.Queue("q", "h", "/q/", "p", is_anonymous=False)
OPEN = KEYED._replace(is_anonymous=True)
REVOCATION_SECONDS = 5.0

ALL_TABLES = (
    entries.OPERATOR_TABLE,
    entries.WORKER_TABLE,
    leader_record.MEMBER_TABLE,
    leader_record.OWNER_TABLE,
    maintenance.CLOSING_TABLE,
    pool_record.STATUS_TABLE,
    pool_record.get_job_table("p"),
)


@pytest.fixture
def anyio_backend():
    return "asyncio", {"loop_factory": virtualtime.VirtualTimeLoop}


@pytest.fixture
def virtual_clock(monkeypatch):
    monkeypatch.setattr(http, "read_clock", anyio.current_time)


def digest(*keys):
    return frozenset(credential.compute_digest(key) for key in keys)


class Door:
    """An authorizer whose configuration and its currency a test sets."""

    def __init__(self):
        self.currency = configuration.Currency.CONFIRMED
        self.configure(1, "old", "kept")
        self.authorizer = authorization.Authorizer(
            lambda: self.catalogue, lambda: self.currency, metric.Instruments()
        )

    def configure(self, version, *keys):
        team = model.Team("t", digest(*keys))
        self.catalogue = model.Catalogue(version, (KEYED, OPEN), (), teams=(team,))

    def ask(self, key, queue=KEYED):
        if isinstance(key, str):
            key = credential.compute_digest(key)
        answer = self.authorizer.authorize(queue, key)
        return answer.name if isinstance(answer, model.Team) else answer


@pytest.fixture
def door():
    return Door()


def test_key_of_a_team_names_it_and_others_are_refused_by_reason(door):
    """Guards against a request that runs with a key that no configuration held."""
    assert door.ask("old") == "t"
    door.configure(2, "kept", "new")

    assert door.ask("kept") == door.ask("new") == "t"
    for key, reason in (
        ("old", "key revoked"),
        ("never", "unknown key"),
        (credential.NO_KEY, "no key"),
    ):
        refusal = door.ask(key)
        assert refusal == message.Answer(message.Verdict.UNAUTHORIZED, reason=reason)


def test_anonymous_queue_serves_all_and_takes_the_team_of_a_valid_key(door):
    """Guards against anonymous callers who are refused, and teams that go uncounted."""
    assert door.ask("old", OPEN) == "t"
    assert door.ask("never", OPEN) == door.ask(credential.NO_KEY, OPEN) == ""
    door.currency = configuration.Currency.UNCONFIRMED_KEYS
    assert door.ask(credential.NO_KEY, OPEN) == ""


def test_no_verdict_on_a_key_while_the_configuration_is_not_confirmed(door):
    """Guards against a revoked key that is served by a daemon that is cut off."""
    door.currency = configuration.Currency.UNCONFIRMED_KEYS

    for key in ("old", "never"):
        assert door.ask(key).verdict is message.Verdict.NOT_RUN


def put_keys(store, version, *keys):
    route = {**conftest.CONFIGURATION["routes"][0], "allow_anonymous": False}
    open_route = {**route, "name": "open", "path_prefix": "/open/"}
    open_route["allow_anonymous"] = True
    document = conftest.CONFIGURATION | {
        "version": version,
        "routes": [route, open_route],
        "tenants": [{"name": "t", "api_keys": list(keys)}],
    }
    place = (entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY)
    store.put(*place, orjson.dumps(document))


def is_served(daemon, path="/q/j"):
    queue = daemon.handler.find_queue("h", path)
    if isinstance(queue, message.Answer):
        return False
    answer = daemon.handler.authorize(queue, credential.compute_digest("key"))
    return isinstance(answer, model.Team)


@pytest.mark.anyio
@pytest.mark.parametrize("phase", range(8))
@pytest.mark.parametrize("is_store_cut", [True, False])
async def test_cut_off_daemon_refuses_a_revoked_key_in_time(
    store, calls, virtual_clock, phase, is_store_cut
):
    """Guards against revoked keys served for as long as the store fails for a daemon.

    Either the whole store is silent for it, or only the operator's rows, so that it
    counts as connected. Anonymous callers are served as long as before.
    """
    link = storelink.LossyLink(store)
    put_keys(store, 2, "key")
    daemon = conftest.make_daemon("a", link, calls, revocation=REVOCATION_SECONDS)
    async with anyio.create_task_group() as group:
        group.start_soon(daemon.run)
        await anyio.sleep(10.0 + phase * 0.3)
        assert is_served(daemon)

        link.silence(*(ALL_TABLES if is_store_cut else [entries.OPERATOR_TABLE]))
        put_keys(store, 3)
        revoked_at = anyio.current_time()
        await anyio.sleep(REVOCATION_SECONDS - 1.5)
        assert is_served(daemon) != is_store_cut
        while anyio.current_time() < revoked_at + REVOCATION_SECONDS:
            await anyio.sleep(0.01)
        for _ in range(80):
            assert not is_served(daemon)
            assert not daemon.is_ready
            await anyio.sleep(0.01)
        assert is_served(daemon, "/open/j") != is_store_cut

        link.restore()
        await anyio.sleep(2.0)
        assert daemon.is_ready
        assert not is_served(daemon)
        group.cancel_scope.cancel()
