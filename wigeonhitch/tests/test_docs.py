"""Checks that the operators' pages list the settings, metrics and commands."""

import pathlib
import re
import typing

import pytest

from wigeonhitch.command import main, report
from wigeonhitch.settings import schema

ROOT = pathlib.Path(__file__).parents[2]
METRIC = re.compile(r"instruments\.(?:count|set|observe)\(\s*\"(\w+)\"")


@pytest.fixture(scope="module")
def operators_page():
    return (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")


@pytest.fixture(scope="module")
def command_page():
    return (ROOT / "docs" / "command.md").read_text(encoding="utf-8")


def list_settings(section, path=""):
    """Yield each key of the settings and its default."""
    hints = typing.get_type_hints(section)
    for field in section._fields:
        nested_types = [
            type_
            for type_ in (hints[field], *typing.get_args(hints[field]))
            if hasattr(type_, "_fields")
        ]
        if (
            nested_types
            and nested_types[0] is not schema.Tls
            and field not in ("credentials", "seeds")
        ):
            yield from list_settings(nested_types[0], f"{path}{field}.")
        else:
            yield f"{path}{field}", section._field_defaults.get(field, "required")


def write_default(default):
    if default in (None, ()):
        return {"none", "empty", "`peers.bind`"}
    if isinstance(default, float | int):
        return {f"{default:.10g}"}
    return {default, f"`{default}`"}


def test_every_setting_is_listed_on_the_page_with_its_default(operators_page):
    rows = re.findall(r"^\| `([a-z_.]+)` \| (.+?) \|", operators_page, re.MULTILINE)
    listed = dict(rows)
    known = dict(list_settings(schema.Settings))
    assert set(known) == {key for key in listed if "." in key}
    for key, default in known.items():
        assert listed[key] in write_default(default), key


def test_every_metric_is_listed_on_the_page(operators_page):
    section = operators_page.split("## What to watch")[1].split("\n## ")[0]
    listed = set(re.findall(r"`(\w+_\w+)`", section))
    files = [
        file for file in ROOT.glob("wigeonhitch/**/*.py") if "tests" not in file.parts
    ]
    text = "".join(file.read_text(encoding="utf-8") for file in files)
    used = set(METRIC.findall(text))
    assert used and used <= listed
    assert listed - used == set()


def test_exit_codes_and_commands_are_listed_on_the_page(command_page):
    codes = re.findall(r"^\| (\d) \|", command_page, re.MULTILINE)
    assert [int(code) for code in codes] == sorted(report.Exit)
    for group, commands in main.COMMANDS.items():
        row = next(
            line
            for line in command_page.splitlines()
            if line.startswith(f"| `{group}`")
        )
        for name in commands if isinstance(commands, dict) else ():
            assert re.search(rf"`{name}\b", row), name
