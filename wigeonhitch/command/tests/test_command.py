import pathlib

import httpx
import pytest

from wigeonhitch.command import client, main, report

Exit = report.Exit
EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
ALTIPLANO = str(EXAMPLES / "altiplano.yaml")
DIELECTRA = str(EXAMPLES / "dielectra.yaml")


@pytest.fixture
def in_force(run):
    """Put Altiplano's document in force as version 1."""
    code, _ = run("document", "submit", ALTIPLANO, "--submission", "s1")
    assert code == Exit.WAITING
    code, _ = run("document", "approve", "s1", who="ben")
    assert code == Exit.DONE


def test_submit_approve_show_history(run):
    code, shown = run("document", "show")
    assert code == Exit.NOT_FOUND
    code, body = run("document", "submit", ALTIPLANO, as_json=True)
    assert code == Exit.WAITING
    submission = body["proposal"]["submission"]
    code, shown = run("document", "approve", submission)
    assert (code, "own change" in shown) == (Exit.REFUSED, True)
    code, shown = run("document", "approve", submission, who="vic")
    assert code == Exit.REFUSED
    code, shown = run("document", "approve", submission, who="ben")
    assert (code, shown) == (Exit.DONE, "accepted: version 1\n")
    code, body = run("document", "show", as_json=True)
    assert body["document"]["fleet"] == "altiplano"
    code, shown = run("document", "history")
    assert "ana" in shown and "ben" in shown


def test_conflict_and_diff_and_restore(run, in_force):
    code, shown = run("document", "submit", DIELECTRA)
    assert code == Exit.CONFLICT
    assert "rebase on version 1" in shown
    code, shown = run("document", "diff", DIELECTRA)
    assert code == Exit.DONE
    assert "pools moisture: added" in shown
    assert "needs approval: 1 of owner for approvals" in shown
    code, shown = run("document", "submit", "--restore", "1", "--base", "1")
    assert (code, shown) == (Exit.DONE, "already in force: version 1\n")


def test_reject_then_approve_is_refused(run, in_force):
    code, _ = run("document", "submit", DIELECTRA, "--base", "1", "--submission", "s2")
    assert code == Exit.WAITING
    code, _ = run("document", "reject", "s2", "wrong fleet", who="ben")
    assert code == Exit.DONE
    code, _ = run("document", "approve", "s2", who="ben")
    assert code == Exit.REFUSED
    code, shown = run("document", "proposals", "--state", "rejected")
    assert "s2" in shown and "s1" not in shown


def test_invalid_document_is_refused_before_it_is_sent(run, tmp_path, requests):
    file = tmp_path / "wrong.yaml"
    file.write_text("fleet: x\npools: 3\n")
    for command in ("check", "submit", "diff"):
        code, shown = run("document", command, str(file))
        assert code == Exit.REFUSED
        assert "pools: 3: expected" in shown
    assert requests == []


def test_unknown_outcome_says_how_to_retry(run, faults):
    faults["a"] = (None, httpx.ReadTimeout("lost"))
    code, shown = run("document", "submit", ALTIPLANO, "--submission", "s1")
    assert code == Exit.UNKNOWN
    assert "--submission s1" in shown
    faults.clear()
    code, body = run(
        "document", "submit", ALTIPLANO, "--submission", "s1", as_json=True
    )
    assert code == Exit.WAITING
    assert len(run("document", "proposals", as_json=True)[1]["proposals"]) == 1


def test_other_daemon_is_tried_only_when_that_is_safe(run, faults, requests):
    two_daemons = ("--daemon", "http://a:1,http://b:1")
    faults["a"] = (httpx.ConnectError("refused"), None)
    code, _ = run("wave", "start", "monthly", *two_daemons)
    assert (code, [host for host, _, _ in requests]) == (Exit.DONE, ["a", "b"])
    requests.clear()
    faults["a"] = (None, httpx.ReadError("lost"))
    code, shown = run("wave", "start", "monthly", *two_daemons)
    assert (code, [host for host, _, _ in requests]) == (Exit.UNKNOWN, ["a"])
    assert "wave show monthly" in shown
    requests.clear()
    code, _ = run("document", "submit", ALTIPLANO, *two_daemons)
    assert (code, [host for host, _, _ in requests]) == (Exit.WAITING, ["a", "b"])


def test_lost_response_stays_unknown_when_the_next_daemon_is_down(run, faults):
    two_daemons = ("--daemon", "http://a:1,http://b:1")
    faults["a"] = (None, httpx.ReadError("lost"))
    faults["b"] = (httpx.ConnectError("refused"), None)
    code, _ = run("document", "submit", ALTIPLANO, *two_daemons)
    assert code == Exit.UNKNOWN


def test_no_further_daemon_is_tried_after_the_failover_limit(
    run, faults, requests, monkeypatch
):
    three_daemons = ("--daemon", "http://a:1,http://b:1,http://c:1")
    faults["a"] = (httpx.ConnectError("refused"), None)
    faults["b"] = (None, httpx.ReadTimeout("lost"))
    monkeypatch.setattr(client, "FAILOVER_LIMIT_SECONDS", -1.0)
    code, _ = run("document", "submit", ALTIPLANO, *three_daemons)
    assert (code, [host for host, _, _ in requests]) == (Exit.UNKNOWN, ["a", "b"])


def test_unreachable_and_store_down(run, faults, platform):
    platform.switch(down=True)
    assert run("document", "show")[0] == Exit.UNREACHABLE
    faults["a"] = (httpx.ConnectError("refused"), None)
    assert run("document", "show")[0] == Exit.UNREACHABLE


def test_lost_response_to_a_read_reports_no_change(run, faults):
    faults["a"] = (None, httpx.ReadError("lost"))
    code, shown = run("document", "show")
    assert (code, "nothing was changed" in shown) == (Exit.UNREACHABLE, True)


def test_untrusted_certificate_is_reported(run, faults):
    error = httpx.ConnectError("[SSL: CERTIFICATE_VERIFY_FAILED] self-signed")
    faults["a"] = (error, None)
    code, shown = run("wave", "start", "monthly")
    assert (code, "--cafile" in shown) == (Exit.UNREACHABLE, True)


def test_usage(run, monkeypatch):
    assert run("document", "show", "--cafile", "no-such.pem")[0] == Exit.USAGE
    assert run("document", "submit")[0] == Exit.USAGE
    assert run("document", "show", "--daemon", "a:1")[0] == Exit.USAGE
    with pytest.raises(SystemExit) as exit_info:
        main.main(["document", "no-such"])
    assert exit_info.value.code == Exit.USAGE


def test_group_alone_lists_its_commands(capsys):
    with pytest.raises(SystemExit) as exit_info:
        main.main(["wave"])
    assert exit_info.value.code == 0
    assert "Resume a paused wave." in capsys.readouterr().out


def test_watch_returns_when_the_wave_is_done(run, answers, capsys):
    answers[:] = [
        {"wave": "monthly", "status": "running", "done": 3},
        {"wave": "monthly", "status": "done", "done": 30},
    ]
    code, shown = run("wave", "watch", "monthly", "--period", "0")
    assert code == Exit.DONE
    assert "done: 30" in shown


def test_job_is_resubmitted_to_another_daemon_after_a_lost_response(
    run, faults, requests, tmp_path
):
    file = tmp_path / "job.yaml"
    file.write_text("{team: coffee, id: j1}")
    faults["a"] = (None, httpx.ReadError("lost"))
    code, shown = run("job", "submit", str(file), "--daemon", "http://a:1,http://b:1")
    assert (code, [host for host, _, _ in requests]) == (Exit.DONE, ["a", "b"])
    assert "id: j1" in shown
    faults.clear()
    file.write_text("team: coffee")
    code, shown = run("job", "submit", str(file))
    assert (code, shown) == (Exit.REFUSED, "id: Field required\n")


def test_credential_prints_a_hash(run):
    code, body = run("settings", "credential", "ana", "operations,owner", as_json=True)
    assert code == Exit.DONE
    assert body["roles"] == ["operations", "owner"]
    assert "correct horse" not in str(body)
