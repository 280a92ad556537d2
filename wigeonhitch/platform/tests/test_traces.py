"""Replays recorded traces of calls and faults and checks their outcomes."""

import pathlib

import pytest
import yaml

from standins import fake
from wigeonhitch.platform import resolve, table

FILES = sorted((pathlib.Path(__file__).parent / "traces").glob("*.yaml"))


def commit(platform, step):
    conditions = [table.Condition(*item) for item in step["commit"].items()]
    writes = [table.Write(*item) for item in step["write"].items()]
    result = fake.run(platform.table.commit(conditions, writes, purpose="trace"))
    assert result.outcome.value == step["outcome"], step
    assert result.reason == step.get("reason", result.reason), step


def read(platform, step):
    result = fake.run(platform.table.read([step["read"]], purpose="trace"))
    assert result.rows[0].value == step["value"], step


def replay(steps):
    platform = fake.Fake()
    for step in steps:
        if "switch" in step:
            platform.switch(**step["switch"])
        elif "advance" in step:
            platform.advance(step["advance"])
        elif "commit" in step:
            commit(platform, step)
        else:
            read(platform, step)


@pytest.mark.parametrize("file", FILES, ids=lambda file: file.stem)
def test_trace_has_the_stated_outcomes(file):
    replay(yaml.safe_load(file.read_text()))


def test_lost_answer_is_not_resolved_without_tokens(monkeypatch):
    monkeypatch.setattr(resolve.Resolution, "_finish_if_applied", lambda *_: False)
    (file,) = (file for file in FILES if file.stem == "lost-answer")
    with pytest.raises(AssertionError):
        replay(yaml.safe_load(file.read_text()))


def test_reads_and_writes_are_counted_by_purpose():
    platform = fake.Fake()
    condition, write = table.Condition("a", 0), table.Write("a", {})
    fake.run(platform.table.commit([condition], [write], purpose="claim"))
    fake.run(platform.table.read(["a"], purpose="duty"))
    assert platform.client.writes == {"claim": 1}
    assert platform.client.reads == {"duty": 1}
    assert platform.engine.counters == {"reads": {"duty": 1}, "writes": {"claim": 1}}


def test_commit_without_condition_is_refused():
    with pytest.raises(ValueError, match="expected a condition"):
        fake.run(fake.Fake().table.commit([], [], purpose="trace"))
