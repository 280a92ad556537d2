"""The example of a program that embeds the coordination parts, without a daemon."""

import importlib
import pathlib
import pkgutil
import runpy
import subprocess
import sys

import pytest

import wigeonhitch
from wigeonhitch.platform import table

ROOT = pathlib.Path(__file__).parents[2]
REPORTER = ROOT / "examples" / "library" / "reporter.py"

SUBPACKAGES = sorted(
    name
    for _, name, is_package in pkgutil.iter_modules(wigeonhitch.__path__)
    if is_package and name != "tests"
)


@pytest.fixture(scope="module")
def reporter():
    """Return the names that the example defines."""
    return runpy.run_path(str(REPORTER), run_name="reporter")


def test_reports_are_sent_once_and_a_replaced_holder_writes_nothing(reporter, capsys):
    sent = reporter["Sent"]
    reports = reporter["main"]()
    assert reports.first == {"gas-17": sent.NOW, "moisture-17": sent.NOW}
    assert reports.second == {
        "gas-17": sent.BEFORE,
        "moisture-17": sent.BEFORE,
        "gas-18": sent.NOW,
    }
    assert reports.sent == ("gas-17", "moisture-17", "gas-18")
    assert reports.late_write.outcome is table.Outcome.NOT_DONE
    assert reports.late_write.reason == "conflict"
    assert "gas-18 sent" in capsys.readouterr().out


@pytest.mark.parametrize("name", SUBPACKAGES)
def test_subpackage_names_its_public_modules(name):
    package = importlib.import_module(f"wigeonhitch.{name}")
    assert package.__doc__
    for public in package.__all__:
        importlib.import_module(f"wigeonhitch.{name}.{public}")


def test_coordination_parts_import_no_daemon():
    parts = "membership.holder, idempotency.store, configuration.store, fleet.planner"
    imports = "".join(f"import wigeonhitch.{part}\n" for part in parts.split(", "))
    check = (
        f"{imports}import sys\n"
        "heavy = {'wigeonhitch.daemon', 'wigeonhitch.settings', 'hypercorn'}\n"
        "sys.exit(str(sorted(heavy & set(sys.modules))) if heavy & set(sys.modules)"
        " else 0)"
    )
    process = subprocess.run(
        [sys.executable, "-c", check], cwd=ROOT, capture_output=True, text=True
    )
    assert process.returncode == 0, process.stderr
