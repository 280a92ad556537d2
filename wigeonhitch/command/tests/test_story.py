"""``explain`` finds the cause of a job's outcome in log lines, by the job's id."""

import json

import pytest

from wigeonhitch.command import main, report, story


def line(time, daemon, change, **fields):
    body = {"time": time, "level": "info", "daemon": daemon, "change": change}
    return json.dumps(body | fields)


LINES = [
    line("10:00:05", "d2", "leadership claimed", pool="p", fence=9),
    line("10:00:01", "d1", "job submitted", job="j1", pool="p", verdict="accepted"),
    line("10:00:02", "d1", "job submitted", job="j2", pool="p", verdict="not run"),
    line("10:00:03", "d2", "leases lapsed", pool="p", vm="w1", runs=2),
    line("10:00:03", "d2", "leases lapsed", pool="other", vm="w9", runs=2),
    line("10:00:09", "d2", "job failed", job="j1", pool="p", vm="w2"),
    "   1.2 d1 not a line of ours",
]


@pytest.fixture
def file(tmp_path):
    path = tmp_path / "all.log"
    path.write_text("\n".join(f"12.5 {text}" for text in LINES))
    return str(path)


def test_history_is_sorted_across_daemons_and_includes_pool_events(file, capsys):
    code = main.main(["explain", "j1", "--files", file])

    shown = capsys.readouterr().out.splitlines()
    assert code == report.Exit.DONE
    assert [text.split("  ")[2] for text in shown] == [
        "job submitted",
        "leases lapsed",
        "leadership claimed",
        "job failed",
    ]
    assert "vm=w1" in shown[1]


def test_history_of_a_refused_request_shows_its_verdict(file, capsys):
    main.main(["explain", "j2", "--json", "--files", file])

    (entry,) = json.loads(capsys.readouterr().out)
    assert entry["fields"]["verdict"] == "not run"


def test_an_unknown_id_is_not_found(file):
    assert main.main(["explain", "j3", "--files", file]) == report.Exit.NOT_FOUND


def test_a_missing_file_is_a_usage_error(capsys):
    assert main.main(["explain", "j1", "--files", "/no/such/file"]) == report.Exit.USAGE


def test_lines_without_json_are_ignored():
    assert list(story.read_lines(["{broken", "[]", "plain"])) == []


def test_node_file_of_the_platform_is_checked(tmp_path, capsys):
    path = tmp_path / "node.conf"
    path.write_text("node_name=n\nparameters.grace_s=soon\n")

    code = main.main(["settings", "check", str(path)])

    shown = capsys.readouterr().out
    assert code == report.Exit.REFUSED
    assert "platform.address is missing" in shown
    assert "'soon'" in shown


def test_history_includes_a_lapse_of_the_pool_leadership():
    lines = [*LINES, line("10:00:04", "d1", "leadership lapsed", pool="p", version=8)]

    history = story.find_story(story.read_lines(lines), "j1")

    assert "leadership lapsed" in [entry.change for entry in history]


HARD_LOAD_LINES = [
    *LINES,
    line("10:00:02", "d2", "pool load", pool="p", late=9000, waiting_on_time=700),
    line("10:00:02", "d2", "pool load", pool="other", late=1),
    line("10:00:04", "d2", "run preempted", job="j9", pool="p", reason="late"),
    line("10:00:05", "d2", "run preempted", job="j1", pool="p", reason="vacating"),
    line("10:00:06", "d1", "store path changed", path="relayed", peer="d3"),
    line("10:00:06", "d7", "store path changed", path="relayed", peer="d3"),
    line("10:00:20", "d2", "pool load", pool="p", late=8000),
    line("10:00:20", "d1", "store path changed", path="direct"),
]


def test_history_includes_load_preemptions_and_store_paths_of_its_time():
    """Lines of other pools, of daemons that wrote none of its lines, and later ones."""
    history = story.find_story(story.read_lines(HARD_LOAD_LINES), "j1")

    added = ("pool load", "run preempted", "store path changed")
    assert [
        (entry.time, entry.daemon, entry.change)
        for entry in history
        if entry.change in added
    ] == [
        ("10:00:02", "d2", "pool load"),
        ("10:00:04", "d2", "run preempted"),
        ("10:00:05", "d2", "run preempted"),
        ("10:00:06", "d1", "store path changed"),
    ]


RESTART_LINES = [
    line("10:00:01", "d2", "job started", job="j1", pool="p", vm="w1@1000"),
    line("10:00:02", "d2", "worker restarted", pool="p", vm="w1@1000", by="w1@9000"),
    line("10:00:02", "d2", "worker restarted", pool="p", vm="w7@1000", by="w7@9000"),
    line("10:00:03", "d5", "answer of another incarnation", pool="q", vm="w1@1000"),
    line("10:00:04", "d2", "ends missing", pool="p", vm="w1@9000", count=2),
    line("10:00:04", "d2", "ends missing", pool="p", vm="w12@9000", count=2),
    line("10:00:05", "d2", "run no longer listed", job="j9", pool="p", vm="w1@9000"),
    line("10:00:05", "d2", "run no longer listed", job="j9", pool="p", vm="w2"),
    line("10:00:06", "d2", "VM joined", pool="p", vm="w1@9000"),
    line("10:00:07", "d2", "job complete", job="j1", pool="p"),
    line("10:00:08", "d2", "ends missing", pool="p", vm="w1@9000", count=1),
]


def test_history_includes_restarts_and_lost_runs_of_the_vms_of_the_job():
    """Guards against a repeated task of which the story shows no cause.

    The lines may name another incarnation of the VM, and another pool. Those of other
    VMs, of workers whose ids begin alike, and later ones belong to other stories.
    """
    history = story.find_story(story.read_lines(RESTART_LINES), "j1")

    assert [(entry.time, entry.daemon, entry.change) for entry in history] == [
        ("10:00:01", "d2", "job started"),
        ("10:00:02", "d2", "worker restarted"),
        ("10:00:03", "d5", "answer of another incarnation"),
        ("10:00:04", "d2", "ends missing"),
        ("10:00:05", "d2", "run no longer listed"),
        ("10:00:07", "d2", "job complete"),
    ]
    assert all("w1@" in str(entry.fields.get("vm", "w1@")) for entry in history)


def test_vm_that_takes_over_a_run_belongs_to_the_story():
    """Guards against a story that ends with the first incarnation of a worker."""
    lines = [
        line("10:00:01", "d2", "run transferred", job="j1", vm="w1@1", to="w2@5"),
        line("10:00:02", "d2", "ends missing", pool="p", vm="w2@5", count=1),
        line("10:00:03", "d2", "job complete", job="j1", pool="p"),
    ]

    history = story.find_story(story.read_lines(lines), "j1")

    assert [entry.change for entry in history][1] == "ends missing"


def test_preempted_run_of_another_job_is_shown_with_that_job(tmp_path, capsys):
    """Guards against another job's stopped run being taken for this job's own."""
    path = tmp_path / "all.log"
    path.write_text("\n".join(HARD_LOAD_LINES))

    main.main(["explain", "j1", "--files", str(path)])

    other, own = (
        text for text in capsys.readouterr().out.splitlines() if "preempted" in text
    )
    assert "job=j9" in other
    assert "job=" not in own
