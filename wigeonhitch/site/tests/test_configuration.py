"""When a changed configuration is in force, by the losses on the way to a daemon."""

import contextlib

import anyio
import orjson
import pytest

from standins import rowstore, storelink, virtualtime
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, http
from wigeonhitch.site import configuration, message
from wigeonhitch.site.tests import conftest

pytestmark = pytest.mark.anyio

PHASES = 40
"""Moments, spread over one call to the feed, at which a failure begins."""

NARROW_LINK_BYTES_PER_SECOND = 5e6 / 8
"""Rate of the slowest link of an entry VM."""

LONG_DOCUMENT_ROUTES = 1650
"""Routes of a document of some 300 KB."""

VERY_LONG_DOCUMENT_ROUTES = 4450
"""Routes of a document of some 0.9 MB."""

DROPPED_PATH = "/dropped/j"


@pytest.fixture
def anyio_backend():
    return "asyncio", {"loop_factory": virtualtime.VirtualTimeLoop}


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch):
    monkeypatch.setattr(http, "read_clock", anyio.current_time)


def make_document(version, routes=1):
    listed = [
        {
            "name": f"r-{number:07}",
            "host": f"host{number:06}.example",
            "path_prefix": f"/path{number:06}/",
            "service": "pool-of-the-route",
            "priority": 1,
            "max_attempts": 3,
            "stretch": 1.6,
            "slo_ms": 600.0,
            "timeout_ms": 3000,
        }
        for number in range(routes)
    ]
    return orjson.dumps({"version": version, "routes": listed, "services": []})


class FollowedSite:
    """A store, a daemon's link to it and its follower of the configuration."""

    def __init__(self, max_delay, bytes_per_second=1e9):
        self.store = rowstore.RowStore()
        self.link = storelink.LossyLink(self.store, bytes_per_second=bytes_per_second)
        self.follower = configuration.ConfigurationFollower(
            self.link, lambda: None, max_delay
        )
        self.put(1)

    def put(self, version, routes=1):
        document = make_document(version, routes)
        self.store.put(entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY, document)

    def has(self, version):
        catalogue = self.follower.catalogue
        return catalogue is not None and catalogue.version >= version

    async def measure_delay(self, version, limit=15.0):
        """Return the seconds until a version is in force, at most ``limit``."""
        began = anyio.current_time()
        while not self.has(version) and anyio.current_time() - began < limit:
            await anyio.sleep(0.01)
        return anyio.current_time() - began


async def measure_worst_delay(max_delay, bytes_per_second, fail, version=2):
    """Return the longest delay over failures that begin at different moments."""
    delays = []

    async def play(phase):
        site = FollowedSite(max_delay, bytes_per_second)
        async with anyio.create_task_group() as group:
            group.start_soon(site.follower.run)
            await site.measure_delay(1)
            await anyio.sleep(2 * max_delay + phase * max_delay / PHASES)
            await fail(site)
            delays.append(await site.measure_delay(version))
            group.cancel_scope.cancel()

    async with anyio.create_task_group() as plays:
        for phase in range(PHASES):
            plays.start_soon(play, phase)
    return max(delays)


@pytest.mark.parametrize("max_delay", [2.0, 3.0, 4.0])
async def test_long_document_after_a_lost_feed_call_is_in_force_in_time(max_delay):
    """Guards against requests handled by an older configuration than confirmed.

    The feed's call is lost as the store goes silent, and the changed document takes 0.6
    s on the daemon's narrow link.
    """

    async def lose_one_call(site):
        site.link.silence(entries.OPERATOR_TABLE)
        site.put(2, LONG_DOCUMENT_ROUTES)
        site.link.restore()

    delay = await measure_worst_delay(
        max_delay, NARROW_LINK_BYTES_PER_SECOND, lose_one_call
    )

    assert delay <= max_delay


@pytest.mark.parametrize("max_delay", [2.0, 3.0, 4.0])
async def test_long_document_after_lost_history_is_in_force_in_time(max_delay):
    """The same, where the store has dropped its history too and all rows are read."""

    async def lose_one_call_and_the_history(site):
        site.link.silence(entries.OPERATOR_TABLE)
        site.put(2, LONG_DOCUMENT_ROUTES)
        site.store.expire_history()
        site.link.restore()

    delay = await measure_worst_delay(
        max_delay, NARROW_LINK_BYTES_PER_SECOND, lose_one_call_and_the_history
    )

    assert delay <= max_delay


async def test_document_that_takes_longer_than_a_call_waits_comes_into_force():
    """Guards against a long document of which each transfer is given up and repeated.

    On a link of 0.5 Mbit/s it takes 6 s.
    """

    async def change(site):
        site.put(2, LONG_DOCUMENT_ROUTES)

    delay = await measure_worst_delay(3.0, NARROW_LINK_BYTES_PER_SECOND / 10, change)

    assert delay < 10.0


async def test_version_that_follows_a_long_one_at_once_is_in_force_in_time():
    """Guards against a daemon that stays with an old version as two changes queue up.

    A document of 0.9 MB takes 1.9 s on a narrow link. The second version is written
    before the first one is received. Where that transfer was given up, the store
    answered with both, and no call lasted long enough.
    """

    async def change_twice(site):
        site.put(2, VERY_LONG_DOCUMENT_ROUTES)
        await anyio.sleep(1.0)
        site.put(3, VERY_LONG_DOCUMENT_ROUTES)

    delay = await measure_worst_delay(
        3.0, NARROW_LINK_BYTES_PER_SECOND, change_twice, version=3
    )

    assert delay <= 3.0


async def test_short_row_after_a_long_document_leaves_time_for_the_next_one():
    """Guards against a change that is late after a lost call, as a wave came between.

    The wait of the feed's calls went by the transfer of the wave's order.
    """

    pauses = iter([3.0 + phase * 3.0 / PHASES for phase in range(PHASES)])

    async def lose_one_call_after_a_wave(site):
        site.put(2, VERY_LONG_DOCUMENT_ROUTES)
        await anyio.sleep(6.0)
        order = {"wave": 1, "machines": [], "duration_s": 9, "ceiling": 1}
        key = entries.get_wave_key(1)
        site.store.put(entries.OPERATOR_TABLE, "", key, orjson.dumps(order))
        await anyio.sleep(next(pauses))
        site.link.silence(entries.OPERATOR_TABLE)
        site.put(3, VERY_LONG_DOCUMENT_ROUTES)
        site.link.restore()

    delay = await measure_worst_delay(
        3.0, NARROW_LINK_BYTES_PER_SECOND, lose_one_call_after_a_wave, version=3
    )

    assert delay <= 3.0


class RunningDaemon:
    """A daemon whose configuration drops a route.

    Attributes
    ----------
    daemon : daemon.Daemon
        The daemon.
    """

    def __init__(self, store, calls, bytes_per_second=1e9):
        self.store = store
        self.link = storelink.LossyLink(store, bytes_per_second=bytes_per_second)
        self._put(5, path_prefix="/dropped/")
        self.daemon = conftest.make_daemon("a", self.link, calls)

    def drop_route(self, more_routes=0):
        self._put(6, more_routes)

    def _put(self, version, more_routes=0, **fields):
        route = {**conftest.CONFIGURATION["routes"][0], **fields}
        more = orjson.loads(make_document(version, more_routes))["routes"]
        document = conftest.CONFIGURATION | {
            "version": version,
            "routes": [route, *more],
        }
        place = (entries.OPERATOR_TABLE, "", entries.CATALOGUE_KEY)
        self.store.put(*place, orjson.dumps(document))

    def find_dropped(self):
        return self.daemon.handler.find_queue("h", DROPPED_PATH)

    @contextlib.asynccontextmanager
    async def run(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.daemon.run)
            await anyio.sleep(10.0)
            assert isinstance(self.find_dropped(), model.Queue)
            yield
            group.cancel_scope.cancel()


async def test_request_is_refused_while_the_configuration_may_be_older_than_allowed(
    store, calls
):
    """Guards against requests served by a dropped route for as long as a part is away.

    The store doesn't answer for the operator's rows, and does for all others: so the
    daemon counts as connected. Until the limit of a failing store it goes on, since
    the operators' changes can hardly be confirmed either.
    """
    site = RunningDaemon(store, calls)
    bounds = site.daemon.settings.bounds
    async with site.run():
        site.link.silence(entries.OPERATOR_TABLE)
        site.drop_route()
        await anyio.sleep(bounds.configuration_deadline + 1.0)
        assert isinstance(site.find_dropped(), model.Queue)
        await anyio.sleep(bounds.configuration_outage - 1.0)

        for _ in range(50):
            await anyio.sleep(0.1)
            assert not isinstance(site.find_dropped(), model.Queue)
        assert not site.daemon.is_ready

        site.link.restore()
        await anyio.sleep(1.0)
        assert site.daemon.is_ready
        assert site.find_dropped() == message.Answer(message.Verdict.NO_QUEUE)


async def test_request_is_refused_while_a_newer_configuration_is_being_received(
    store, calls
):
    """Guards against requests served by a dropped route during a long transfer.

    The store doesn't fail, so its changes may be confirmed at any time. The document
    takes 7 s on a link of 0.5 Mbit/s.
    """
    site = RunningDaemon(store, calls, NARROW_LINK_BYTES_PER_SECOND / 10)
    async with site.run():
        site.drop_route(LONG_DOCUMENT_ROUTES)
        await anyio.sleep(site.daemon.settings.bounds.configuration_deadline)

        for _ in range(100):
            await anyio.sleep(0.1)
            assert not isinstance(site.find_dropped(), model.Queue)
        assert site.daemon.is_ready
        assert site.find_dropped() == message.Answer(message.Verdict.NO_QUEUE)
