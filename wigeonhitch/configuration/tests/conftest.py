import pathlib

import pytest
import yaml

from standins import fake
from wigeonhitch.configuration import check, store

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.fixture
def plain():
    """Altiplano's fleet as decoded data that a test may change."""
    return yaml.safe_load((EXAMPLES / "altiplano.yaml").read_text())


@pytest.fixture
def altiplano(plain):
    return check.check_plain(plain).intended


@pytest.fixture
def platform():
    return fake.Fake(suspends=True)


@pytest.fixture
def documents(platform, monkeypatch):
    monkeypatch.setattr(store, "RETRY_PAUSE_SECONDS", 0.0)
    return store.Store(platform.table, platform.objects)
