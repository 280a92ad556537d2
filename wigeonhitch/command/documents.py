"""Commands of the group ``document``."""

import json
import pathlib
import uuid
from typing import Any

from wigeonhitch.command import client, options, report, text
from wigeonhitch.configuration import (
    approval,
    canonical,
    check,
    difference,
    document,
    problem,
    schema,
)

__all__ = ["GROUP"]


def read_file(file: str) -> check.Checked:
    """Read a document from a file and validate it."""
    try:
        text = pathlib.Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise options.UsageError(f"{file}: {error}") from error
    return check.check_text(text)


def report_problems(checked: check.Checked) -> report.Report:
    """Return the report of an invalid document."""
    lines = [problem.format_problem(invalid) for invalid in checked.problems]
    body = {"status": "INVALID", "problems": lines}
    return report.Report(report.Exit.REFUSED, body, tuple(lines))


async def print_schema() -> report.Report:
    """Print the JSON Schema of the fleet document."""
    body = schema.build_schema()
    lines = json.dumps(body, indent=2).splitlines()
    return report.Report(report.Exit.DONE, body, tuple(lines))


async def check_file(file: str) -> report.Report:
    """Check a document without a daemon; every problem is printed.

    Parameters
    ----------
    file : str
        YAML or JSON file.
    """
    checked = read_file(file)
    if checked.intended is None:
        return report_problems(checked)
    content = canonical.hash_bytes(canonical.encode(checked.intended))
    body = {"status": "VALID", "hash": content}
    return report.Report(report.Exit.DONE, body, (f"valid, hash {content}",))


async def diff(asking: client.Client, file: str) -> report.Report:
    """Show what a document would change and the approvals that it needs.

    Parameters
    ----------
    file : str
        YAML or JSON file.
    """
    checked = read_file(file)
    if checked.intended is None:
        return report_problems(checked)
    reply = await asking.get("/document")
    code = report.get_exit_code(reply)
    before: document.Document | None = None
    version = 0
    if code is report.Exit.DONE:
        before = check.check_plain(reply.body["document"]).intended
        version = reply.body["version"]
    elif code is not report.Exit.NOT_FOUND:
        return report.report_reply(reply)
    changes = difference.compare(before, checked.intended)
    needs = approval.find_needs(before, checked.intended)
    lines = [difference.format_change(change) for change in changes]
    needed = [f"{n.approvals} of {' or '.join(n.roles)} for {n.change}" for n in needs]
    output = [f"against version {version}:", *(lines or ["no change"])]
    output += [f"needs approval: {need}" for need in needed]
    body = {"base": version, "changes": lines, "needs": needed}
    return report.Report(report.Exit.DONE, body, tuple(output))


async def submit(
    asking: client.Client,
    file: str = "",
    *,
    base: int = 0,
    restore: int = 0,
    note: str = "",
    submission: str = "",
) -> report.Report:
    """Submit a document, or an earlier version again.

    Parameters
    ----------
    file : str
        YAML or JSON file; leave it out with --restore.
    base : int
        Version in force that the document was written against; 0 when there
        is none yet.
    restore : int
        Earlier version to put in force again, as a new version.
    note : str
        Why, for the history.
    submission : str
        Submission id; give the same one again to learn what became of it.
    """
    if bool(file) == bool(restore):
        raise options.UsageError("give either a file or --restore VERSION")
    body: dict[str, Any] = {"base": base, "note": note}
    body["submission"] = submission or str(uuid.uuid4())
    if restore:
        body["restore"] = restore
    else:
        checked = read_file(file)
        if checked.intended is None:
            return report_problems(checked)
        body["document"] = canonical.to_plain(checked.intended)
    reply = await asking.post("/proposals", body, repeatable=True)
    again = f"the same command with --submission {body['submission']}"
    return report_result(reply, body["submission"], again)


def report_result(
    reply: client.Reply | client.RequestFailure, submission: str, again: str
) -> report.Report:
    """Return the report of the response to a request about a proposal."""
    if isinstance(reply, client.RequestFailure):
        return report.report_reply(reply, again=again)
    status = reply.body.get("status")
    reply_report = report.report_reply(reply, again=again)
    code = report.EXITS_BY_STATUS.get(status, reply_report.exit)
    if status == "REJECTED" and reply_report.exit is report.Exit.DONE:
        code = report.Exit.DONE
    lines = list(reply_report.lines)
    if status in ("ACCEPTED", "UNCHANGED"):
        lines = [f"{reply.body['reason']}: version {reply.body['version']}"]
    elif status in ("WAITING", "REJECTED"):
        lines = [reply.body["reason"], f"submission {submission}"]
        proposal = reply.body.get("proposal") or {}
        lines.append(f"hash {proposal.get('hash', '')}")
        if status == "WAITING":
            lines += [f"needs approval: {need}" for need in proposal.get("missing", ())]
    return report.Report(code, reply.body, tuple(lines))


async def approve(
    asking: client.Client, proposal: str, *, hash: str = ""
) -> report.Report:
    """Approve a proposal; the author's own approval is refused.

    Parameters
    ----------
    proposal : str
        Submission id of the proposal.
    hash : str
        Content hash that you approve, as ``document check`` prints it; when
        left out, the content that the daemon shows now.
    """
    content = hash
    if not content:
        current = await asking.get(f"/proposals/{proposal}")
        if report.get_exit_code(current) is not report.Exit.DONE:
            return report.report_reply(current)
        content = current.body["hash"]
    path = f"/proposals/{proposal}/approve"
    reply = await asking.post(path, {"hash": content}, repeatable=True)
    again = "the same command; an operator counts once"
    return report_result(reply, proposal, again)


async def reject(asking: client.Client, proposal: str, reason: str) -> report.Report:
    """Reject a proposal, or withdraw your own.

    Parameters
    ----------
    proposal : str
        Submission id of the proposal.
    reason : str
        Why, for the author.
    """
    path = f"/proposals/{proposal}/reject"
    reply = await asking.post(path, {"reason": reason}, repeatable=True)
    return report_result(reply, proposal, "the same command; twice does the same")


async def show(
    asking: client.Client, *, version: int = 0, proposal: str = ""
) -> report.Report:
    """Show the document in force, an earlier version or a proposal.

    Parameters
    ----------
    version : int
        An accepted version; the one in force when left out.
    proposal : str
        Submission id; shows the proposal and what it changes.
    """
    if proposal:
        reply = await asking.get(f"/proposals/{proposal}")
    else:
        query = {"version": str(version)} if version else None
        reply = await asking.get("/document", query)
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    body = reply.body
    if proposal:
        lines = text.format_body({key: body[key] for key in body if key != "document"})
        return report.Report(report.Exit.DONE, body, tuple(lines))
    lines = [f"version {body['version']}", f"hash {body['hash']}"]
    lines += json.dumps(body["document"], indent=2).splitlines()
    return report.Report(report.Exit.DONE, body, tuple(lines))


async def history(asking: client.Client, *, limit: int = 20) -> report.Report:
    """List the accepted versions, newest first.

    Parameters
    ----------
    limit : int
        How many at most.
    """
    reply = await asking.get("/history", {"limit": str(limit)})
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    rows = [
        (
            row["version"],
            row["base"],
            row["hash"][:12],
            row["author"],
            ",".join(entry["operator"] for entry in row["given"]) or "-",
            text.format_time(row["accepted"]),
            row["note"],
        )
        for row in reply.body["versions"]
    ]
    headers = ("VERSION", "BASE", "HASH", "AUTHOR", "APPROVED BY", "ACCEPTED", "NOTE")
    return report.report_reply(reply, report.format_table(headers, rows))


async def list_proposals(asking: client.Client, *, state: str = "") -> report.Report:
    """List proposals, newest first.

    Parameters
    ----------
    state : str
        Only those waiting, lapsed, accepted or rejected.
    """
    reply = await asking.get("/proposals", {"state": state} if state else None)
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    headers = ("SUBMISSION", "STATE", "BASE", "HASH", "AUTHOR", "SUBMITTED", "MISSING")
    rows = [
        (
            proposal["submission"],
            proposal["state"],
            proposal["base"],
            proposal["hash"][:12],
            proposal["author"],
            text.format_time(proposal["submitted"]),
            "; ".join(proposal["missing"]) if proposal["state"] == "waiting" else "-",
        )
        for proposal in reply.body["proposals"]
    ]
    return report.report_reply(reply, report.format_table(headers, rows))


GROUP = {
    "schema": options.local(print_schema),
    "check": options.local(check_file),
    "diff": options.remote(diff),
    "submit": options.remote(submit),
    "approve": options.remote(approve),
    "reject": options.remote(reject),
    "proposals": options.remote(list_proposals),
    "show": options.remote(show),
    "history": options.remote(history),
}
