"""Replay recorded traces of requests and faults, and check their outcomes."""

import pathlib

import pytest
import yaml

from wigeonhitch.idempotency.tests import history

FILES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.yaml"))


def replay(trace):
    machine = history.History()
    for step in trace["steps"]:
        arguments = dict(step)
        getattr(machine, arguments.pop("do"))(**arguments)
        machine.runs_at_most_once()
    assert machine.told == trace["told"]
    assert len(machine.runs[history.KEYS[0]]) == trace["runs"]


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_trace_ends_as_stated(file):
    replay(yaml.safe_load(file.read_text()))


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_a_trace_fails_without_its_mechanism(file, monkeypatch):
    trace = yaml.safe_load(file.read_text())
    history.SWITCHES[trace["without"]](monkeypatch)
    with pytest.raises(AssertionError):
        replay(trace)
