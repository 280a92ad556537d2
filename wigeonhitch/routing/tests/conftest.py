import pytest

from benchmarks import routing_loop


@pytest.fixture
def loop():
    """Nine daemons and six workers of eight slots; the owner counts the slots."""
    return routing_loop.EventLoop()
