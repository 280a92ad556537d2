"""Real processes on loopback; stopped by their ids when a module is done."""

import contextlib
import os
import pathlib

import pytest

from standins.demo import process, traffic
from standins.demo import site as sites

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"

# Short times, so that what depends on them is seen within a test. They keep
# the relations that the defaults have.
LONGEST = 8.0
SEND_RIGHT = 3.0
SETTINGS = {
    "daemon": {"stop_within": LONGEST + 2},
    "callers": {"limits": {"longest_request": LONGEST}},
    "peers": {"limits": {"send_right": SEND_RIGHT}},
    "drains": {"send_right": SEND_RIGHT, "longest_request": LONGEST, "margin": 1.0},
}


@pytest.fixture(scope="module")
def open_site(tmp_path_factory):
    """Open sites with a document in force, ended with the module."""
    with contextlib.ExitStack() as stack:

        def open_one(**options):
            made = sites.open_site(
                stack,
                tmp_path_factory.mktemp("site"),
                process.Ports(),
                EXAMPLE,
                sites.Options(
                    **{"settings": SETTINGS, **options},
                    without=os.environ.get("WITHOUT", ""),
                ),
            )
            made.activate_document()
            return made

        yield open_one


@pytest.fixture
def open_traffic():
    """Open traffic over a site's daemons, ended with the test."""
    with contextlib.ExitStack() as stack:

        def open_one(site, seed):
            return stack.enter_context(
                traffic.open_traffic(
                    lambda: {one.name: one.callers for one in site.daemons.values()},
                    seed,
                )
            )

        yield open_one
