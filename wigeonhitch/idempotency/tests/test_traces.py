"""Recorded traces of requests and faults, replayed against stated outcomes."""

import pathlib

import pytest
import yaml

from wigeonhitch.idempotency.tests import history

FILES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.yaml"))


def replay(trace):
    run = history.History()
    for step in trace["steps"]:
        arguments = dict(step)
        getattr(run, arguments.pop("do"))(**arguments)
        run.runs_at_most_once()
    assert run.told == trace["told"]
    assert len(run.runs[history.KEYS[0]]) == trace["runs"]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_trace_ends_as_stated(file):
    replay(yaml.safe_load(file.read_text()))


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_trace_ends_otherwise_without_its_mechanism(file, monkeypatch):
    trace = yaml.safe_load(file.read_text())
    history.SWITCHES[trace["without"]](monkeypatch)
    with pytest.raises(AssertionError):
        replay(trace)
