"""The command as a process against daemons and stand-ins."""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
from typing import NamedTuple

import pytest
import yaml

from standins.demo import process, site, siteclient
from wigeonhitch.command import report

pytestmark = pytest.mark.processes

Exit = report.Exit
EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "altiplano.yaml"
COMMAND_TIMEOUT_SECONDS = 60.0  # covers watching a whole wave


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    exit: int
    output: str
    errors: str


def write_small_fleet(folder, name, **changes):
    """Write the example with pools of two VMs, and other fields of a team."""
    small_fleet = yaml.safe_load(EXAMPLE.read_text(encoding="utf-8"))
    for pool in small_fleet["pools"]:
        pool.update(size=2, must_be_up={"number": 1})
    small_fleet["teams"][0].update(changes)
    path = folder / name
    path.write_text(yaml.safe_dump(small_fleet), encoding="utf-8")
    return path


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    """Return the file of a small fleet, whose waves take two rounds."""
    return write_small_fleet(tmp_path_factory.mktemp("fleet"), "fleet.yaml")


@pytest.fixture(scope="module")
def running(tmp_path_factory, fleet):
    """A site of two daemons without a document."""
    with contextlib.ExitStack() as stack:
        folder = tmp_path_factory.mktemp("command")
        options = site.Options(daemons=2, reboot_seconds=0.2, vm_lag=0.1)
        opened_site = site.open_site(stack, folder, process.Ports(), fleet, options)
        opened_site.wait_until_serving()
        yield opened_site


@pytest.fixture(scope="module")
def start(running):
    """Return a function that starts the command and returns its process."""
    urls = [
        f"http://127.0.0.1:{daemon.operators}" for daemon in running.daemons.values()
    ]

    def start(*arguments, who="ana", daemon=""):
        environment = {
            "WIGEONHITCH_DAEMON": daemon or ",".join(urls),
            "WIGEONHITCH_OPERATOR": who,
            "WIGEONHITCH_SECRET": siteclient.SECRET,
        }
        return subprocess.Popen(
            [sys.executable, "-m", "wigeonhitch.command.main", *arguments],
            env=os.environ | environment,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )

    return start


@pytest.fixture(scope="module")
def run(start):
    """Return a function that runs the command and returns its exit code and output."""

    def run(*arguments, **options):
        with start(*arguments, **options) as process:
            return finish(process)

    return run


def finish(process):
    """Wait for a command; return its exit code and output."""
    try:
        output, errors = process.communicate(timeout=COMMAND_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        process.kill()
        raise
    assert "Traceback" not in errors, errors
    return CommandResult(process.returncode, output, errors)


@pytest.fixture(scope="module")
def in_force(running, run, fleet):
    """Put the example in force through the command only."""
    result = run("document", "submit", str(fleet), "--submission", "first")
    assert result.exit == Exit.WAITING
    assert "needs approval: 1 of owner for approvals" in result.output
    assert run("document", "approve", "first").exit == Exit.REFUSED
    assert run("document", "approve", "first", who="eva").exit == Exit.REFUSED
    result = run("document", "approve", "first", who="ben")
    assert result == (Exit.DONE, "accepted: version 1\n", "")
    for name in running.daemons:
        running.wait_until_ready(name)


def test_without_arguments_it_prints_usage(run):
    assert "usage: wigeonhitch" in run().output


def test_losing_operator_of_a_conflict_gets_the_version_in_force(
    run, in_force, tmp_path
):
    ours = str(write_small_fleet(tmp_path, "ours.yaml", cores=80))
    theirs = str(write_small_fleet(tmp_path, "theirs.yaml", cores=72))
    result = run("document", "diff", ours)
    assert (result.exit, "teams coffee" in result.output) == (Exit.DONE, True)
    for name, file in (("ours", ours), ("theirs", theirs)):
        result = run("document", "submit", file, "--base", "1", "--submission", name)
        assert result.exit == Exit.WAITING
    assert run("document", "approve", "ours", who="ben").exit == Exit.DONE
    result = run("document", "approve", "theirs", who="ben")
    assert (result.exit, "version 2" in result.output) == (Exit.CONFLICT, True)
    result = run("document", "history", "--json")
    assert [entry["version"] for entry in json.loads(result.output)["versions"]] == [
        2,
        1,
    ]
    result = run("document", "show", "--proposal", "theirs")
    assert (result.exit, "submitted: 20" in result.output) == (Exit.DONE, True)


def test_wave_is_planned_paused_resumed_watched_and_ends(run, start, in_force):
    result = run("wave", "plan", "monthly")
    assert (result.exit, "10m" in result.output) == (Exit.DONE, True)
    assert run("wave", "start", "monthly", who="eva").exit == Exit.REFUSED
    assert run("wave", "start", "no-such").exit == Exit.NOT_FOUND
    assert run("wave", "start", "monthly").exit == Exit.DONE
    assert run("wave", "pause", "monthly").exit == Exit.DONE
    result = run("wave", "show", "monthly")
    assert "status: paused" in result.output
    assert "wave monthly is paused" in result.output
    # A command that is started after the wave is resumed may miss the whole wave.
    with contextlib.ExitStack() as stack:
        watching = stack.enter_context(
            start("wave", "watch", "monthly", "--period", "0.2")
        )
        stack.callback(watching.kill)
        assert any("monthly: paused" in line for line in watching.stderr)
        assert run("wave", "resume", "monthly").exit == Exit.DONE
        result = finish(watching)
    assert (result.exit, "done: 10 of 10" in result.output) == (Exit.DONE, True)
    assert "of 10 done, active worker-" in result.errors
    result = run("wave", "abort", "monthly")
    assert (result.exit, "cannot abort" in result.output) == (Exit.CONFLICT, True)


def test_pools_and_status_are_readable(run, in_force):
    listed = run("pool", "list").output
    row = next(line for line in listed.splitlines() if "order-lookup" in line)
    assert row.split()[:4] == ["order-lookup", "worker", "2", "2"]
    shown = run("pool", "show", "order-lookup").output
    assert "since" not in listed and ".0" not in shown
    assert "T" in shown and "Z" in shown and "True" not in shown
    assert run("pool", "show", "no-such").exit == Exit.NOT_FOUND
    status = run("status").output
    assert "ready: yes" in status and "entry-1-a" in status
    assert json.loads(run("status", "--json").output)["ready"] is True


def test_job_is_submitted_shown_and_cancelled(run, in_force, tmp_path):
    file = tmp_path / "job.yaml"
    body = {"team": "coffee", "id": "j1", "pool": "batch-pairing"}
    file.write_text(yaml.safe_dump(body), encoding="utf-8")
    result = run("job", "submit", str(file))
    assert (result.exit, "cores: Field required" in result.output) == (3, True)
    body |= {"cores": 1000, "memory": 1, "duration": 5, "deadline": 600}
    file.write_text(yaml.safe_dump(body), encoding="utf-8")
    for _ in range(2):
        assert run("job", "submit", str(file)).exit == Exit.DONE
    body["cores"] = 1
    file.write_text(yaml.safe_dump(body), encoding="utf-8")
    assert run("job", "submit", str(file)).exit == Exit.CONFLICT
    listed = run("job", "list", "--team", "coffee").output
    assert "coffee" in listed and "SINCE" in listed
    shown = run("job", "show", "coffee", "j1").output
    assert "since: 20" in shown and "reason: -" not in shown
    assert run("job", "cancel", "coffee", "j1").exit == Exit.DONE
    assert run("job", "show", "coffee", "no-such").exit == Exit.NOT_FOUND


def test_unreachable_unknown_operator_and_store_down(running, run, in_force):
    unused_address = f"http://127.0.0.1:{running.ports.allocate()[0]}"
    result = run("status", daemon=unused_address)
    assert (result.exit, "nothing was done" in result.output) == (6, True)
    assert run("status", who="mallory").exit == Exit.REFUSED
    running.switch(down=True)
    try:
        assert run("pool", "list").exit == Exit.UNREACHABLE
        assert run("job", "list").exit == Exit.UNREACHABLE
        assert run("status").exit == Exit.DONE
    finally:
        running.switch(down=False)


def test_settings_are_checked_and_a_credential_is_made(running, run, tmp_path):
    example = tmp_path / "settings.yaml"
    example.write_text(run("settings", "example").output, encoding="utf-8")
    assert run("settings", "check", str(example)).exit == Exit.DONE
    for name in running.daemons:
        file = str(running.folder / f"{name}.yaml")
        assert run("settings", "check", file).exit == Exit.DONE
    example.write_text("daemon: {name: A, speed: 3}\n", encoding="utf-8")
    result = run("settings", "check", str(example))
    assert result.exit == Exit.REFUSED
    for place in ("daemon.name", "daemon.speed", "callers", "platform"):
        assert place in result.output
    entry = run("settings", "credential", "ana", "operations").output
    assert yaml.safe_load(entry)[0]["name"] == "ana"
    assert siteclient.SECRET not in entry
