"""Whole daemons of which one loses the store."""

import anyio
import pytest

from wigeonhitch.site import daemon
from wigeonhitch.site.tests import conftest
from wigeonhitch.telemetry import metric

pytestmark = pytest.mark.anyio


class Link:
    """A daemon's link to the store, with reads that can be abandoned."""

    def __init__(self, link):
        self.link = link

    def __getattr__(self, name):
        return getattr(self.link, name)

    def abandon_reads(self):
        """Do nothing: the link fails at once."""


async def test_leader_that_alone_loses_the_store_keeps_its_pool(site, store):
    """Guards against a pool without a leader, and callers refused, while other daemons
    reach the store."""

    def start(name):
        settings = conftest.make_settings(name)._replace(relay_address=f"{name}:1")
        site_daemon = daemon.Daemon(
            settings,
            f"life-{name}",
            Link(site.links[name]),
            site.reachability[name],
            None,
            conftest.EmptyFleet(),
            metric.Instruments(),
            lambda address: site.links[address[0]],
        )
        site.group.start_soon(site._run_daemon, site_daemon)
        return site_daemon

    site.start = start
    async with site.run(["a", "b", "c"]) as daemons:
        await anyio.sleep(1.5)  # all have renewed with their addresses
        leader = site.find_leader(daemons)
        epoch = store.get("owner", "p", "owner")
        site.links[leader.settings.name].is_cut = True
        await anyio.sleep(3.0)

        assert site.find_leader(daemons) is leader
        assert store.get("owner", "p", "owner") == epoch
        assert leader.is_ready
        await site.submit(leader, "job")
        await site.wait_until(leader, ["job"])
        assert leader.instruments.read("store_path_relayed", {}) == 1
        site.links[leader.settings.name].is_cut = False
        await site.wait_for(
            lambda: leader.instruments.read("store_path_relayed", {}) == 0
        )
