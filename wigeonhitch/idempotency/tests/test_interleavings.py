"""Search for a history in which a key runs twice or a "not run" verdict is false."""

import hypothesis
import pytest
from hypothesis import stateful

from wigeonhitch.idempotency.tests import history


def search(examples):
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=40,
        report_multiple_bugs=False,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(history.History, settings=settings)


def test_a_key_runs_at_most_once_in_every_history():
    search(400)


@pytest.mark.parametrize(
    "switch", ["ignore_conditions", "take_over_claims", "treat_unknown_as_free"]
)
def test_the_search_finds_a_violation_without_the_mechanism(monkeypatch, switch):
    history.SWITCHES[switch](monkeypatch)
    with pytest.raises(AssertionError):
        search(400)
