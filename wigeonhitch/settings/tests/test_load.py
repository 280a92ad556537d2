import pytest
import yaml

from wigeonhitch.settings import load


def edit_example(place, value):
    """Return the example's text with one value changed, or removed if None."""
    data = yaml.safe_load(load.EXAMPLE)
    *sections, key = place.split(".")
    section = data
    for name in sections:
        section = section.setdefault(name, {})
    if value is None:
        section.pop(key)
    else:
        section[key] = value
    return yaml.safe_dump(data)


def test_example_is_valid():
    assert load.check_settings(load.EXAMPLE).problems == ()


@pytest.mark.parametrize(
    ("place", "value"),
    [
        ("daemon.name", "Not A Name"),
        ("daemon.stop_within", 5),
        ("daemon.stop_within", -1),
        ("daemon.vm", None),
        ("callers.bind", "127.0.0.1"),
        ("callers.bind", "localhost:80"),
        ("callers.bind", "127.0.0.1:99999"),
        ("callers.unknown", 1),
        ("callers.limits.longest_request", "soon"),
        ("operators.credentials", [{"name": "a"}]),
        ("callers.limits.body", -1),
        ("callers.tls", {"certificate": "no", "key": "no", "authority": "no"}),
        ("workers.limits.connections", 0),
        ("traces.share", 7),
        ("peers.limits.send_right", 99),
        ("platform.url", "ftp://x"),
        ("traces.exporter", "paper"),
        ("log.level", "loud"),
    ],
)
def test_invalid_value_is_refused_with_its_place(place, value):
    loaded = load.check_settings(edit_example(place, value))
    assert loaded.settings is None
    (first_problem, *other_problems) = loaded.problems
    section = place.split(".")[0]
    assert first_problem.place.split(".")[0] in (section, "drains")
    assert first_problem.expected


def test_all_problems_are_reported():
    text = "daemon: {name: A}\nlog: {level: loud}\nextra: 1\n"
    places = {item.place for item in load.check_settings(text).problems}
    assert {"daemon.name", "daemon.vm", "log.level", "extra", "platform"} <= places


@pytest.mark.parametrize("text", ["", "[]", "a: [", "a: 1\na: 2", "a: &x [*x]"])
def test_text_without_settings_is_refused(text):
    assert load.check_settings(text).settings is None


def test_unreadable_file_is_a_problem(tmp_path):
    assert load.load(tmp_path / "absent.yaml").problems


def test_listeners_must_have_different_addresses():
    loaded = load.check_settings(edit_example("peers.bind", "127.0.0.1:8080"))
    assert "three different addresses" in loaded.problems[0].expected
