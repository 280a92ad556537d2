"""Commands of the group ``job``."""

import pathlib

import yaml

from wigeonhitch.command import client, fleet, options, report, text

__all__ = ["GROUP"]


async def submit(asking: client.Client, file: str) -> report.Report:
    """Submit a job.

    Parameters
    ----------
    file : str
        YAML or JSON file that describes the job, its team and name.
    """
    try:
        body = yaml.safe_load(pathlib.Path(file).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        raise options.UsageError(f"{file}: {error}") from error
    reply = await asking.post("/jobs", body, repeatable=True)
    again = "the same command; the same job is found, not made twice"
    return fleet.report_body(reply, again)


async def list_jobs(asking: client.Client, *, team: str = "") -> report.Report:
    """List jobs.

    Parameters
    ----------
    team : str
        Only this team's.
    """
    reply = await asking.get("/jobs", {"team": team} if team else None)
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    jobs, count = reply.body["jobs"], reply.body["count"]
    lines = text.format_body(jobs) if jobs else ["no job"]
    if count > len(jobs):
        lines.append(f"{len(jobs)} of {count} shown; name a team with --team")
    return report.report_reply(reply, lines)


async def show(asking: client.Client, team: str, job: str) -> report.Report:
    """Show a job: its state, why it waits and since when.

    Parameters
    ----------
    team : str
        Name of the team.
    job : str
        Name of the job.
    """
    return fleet.report_body(await asking.get(f"/jobs/{team}/{job}"))


async def cancel(asking: client.Client, team: str, job: str) -> report.Report:
    """Cancel a job.

    Parameters
    ----------
    team : str
        Name of the team.
    job : str
        Name of the job.
    """
    reply = await asking.post(f"/jobs/{team}/{job}/cancel", {}, repeatable=True)
    return fleet.report_body(reply, "the same command; twice does the same")


GROUP = {
    "submit": options.remote(submit),
    "list": options.remote(list_jobs),
    "show": options.remote(show),
    "cancel": options.remote(cancel),
}
