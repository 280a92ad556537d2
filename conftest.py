"""Shared fixtures of all tests, and the fixed hypothesis profile."""

import pathlib
import signal

import hypothesis
import pytest

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, database=None, max_examples=100
)
hypothesis.settings.load_profile("fixed")

KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"


def pytest_configure():
    """Let SIGTERM end the run as Ctrl-C does, and what its fixtures started."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)


def pytest_collection_modifyitems(items):
    """Mark the tests that KNOWN-RED.txt lists: they run, are shown, may fail."""
    if not KNOWN_RED.exists():
        return
    red = {}
    for line in KNOWN_RED.read_text(encoding="utf-8").splitlines():
        if line.strip():
            red[line.split()[0]] = line
    for item in items:
        if item.nodeid in red:
            item.add_marker(pytest.mark.xfail(reason=red[item.nodeid], strict=False))


def pytest_terminal_summary(terminalreporter):
    """Print the known red tests, so that they are seen in every run."""
    if KNOWN_RED.exists() and KNOWN_RED.read_text(encoding="utf-8").strip():
        terminalreporter.section("KNOWN-RED.txt")
        terminalreporter.write(KNOWN_RED.read_text(encoding="utf-8"))


@pytest.fixture
def anyio_backend():
    """Run async tests on asyncio, which hypercorn serves on."""
    return "asyncio"
