"""Fixtures that run daemons as processes on loopback, stopped by their process ids."""

import contextlib
import os
import pathlib

import pytest

from standins.demo import process, traffic
from standins.demo import site as sites

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"

# Short limits, so that their effects occur within a test. The relations
# between them are those of the defaults.
LONGEST_REQUEST_SECONDS = 8.0
SEND_RIGHT_SECONDS = 3.0
SETTINGS = {
    "daemon": {"stop_within": LONGEST_REQUEST_SECONDS + 2},
    "callers": {"limits": {"longest_request": LONGEST_REQUEST_SECONDS}},
    "peers": {"limits": {"send_right": SEND_RIGHT_SECONDS}},
    "drains": {
        "send_right": SEND_RIGHT_SECONDS,
        "longest_request": LONGEST_REQUEST_SECONDS,
        "margin": 1.0,
    },
}


@pytest.fixture(scope="module")
def open_site(tmp_path_factory):
    """Open sites with a document in force, closed at the end of the module."""
    with contextlib.ExitStack() as stack:

        def open_one(**options):
            opened_site = sites.open_site(
                stack,
                tmp_path_factory.mktemp("site"),
                process.Ports(),
                EXAMPLE,
                sites.Options(
                    **{"settings": SETTINGS, **options},
                    without=os.environ.get("WITHOUT", ""),
                ),
            )
            opened_site.activate_document()
            return opened_site

        yield open_one


@pytest.fixture
def open_traffic():
    """Open traffic to the daemons of a site, closed at the end of the test."""
    with contextlib.ExitStack() as stack:

        def open_one(site, seed):
            return stack.enter_context(
                traffic.open_traffic(
                    lambda: {
                        daemon.name: daemon.callers for daemon in site.daemons.values()
                    },
                    seed,
                )
            )

        yield open_one
