"""Commands of the groups ``pool`` and ``wave``, and ``status``."""

import sys
import uuid
from collections.abc import Mapping
from typing import Any

import anyio

from wigeonhitch.command import client, options, report

__all__ = ["POOLS", "STATUS", "WAVES"]

# Seconds between two looks at a running wave; a VM takes minutes.
WATCH_PERIOD = 2.0
FINISHED = ("done", "aborted")


def draw(value: Any, indent: str = "") -> list[str]:
    """Return any JSON body as lines: lists of objects as tables.

    Examples
    --------
    >>> draw({"wave": "november", "pools": [{"name": "match", "up": 6}]})
    ['wave: november', 'pools:', '  NAME   UP', '  match  6']
    """
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        keys = list(dict.fromkeys(key for item in value for key in item))
        headers = [key.replace("_", " ").upper() for key in keys]
        rows = [[shorten(item.get(key, "-")) for key in keys] for item in value]
        return [indent + line for line in report.draw_table(headers, rows)]
    if isinstance(value, list):
        return [f"{indent}{shorten(item)}" for item in value]
    if not isinstance(value, Mapping):
        return [f"{indent}{value}"]
    lines = []
    for key, item in value.items():
        if isinstance(item, list | dict) and item:
            lines.append(f"{indent}{key}:")
            lines += draw(item, indent + "  ")
        else:
            lines.append(f"{indent}{key}: {shorten(item)}")
    return lines


def shorten(value: Any) -> str:
    """Return a value for one cell."""
    if value is None or value == [] or value == {}:
        return "-"
    if isinstance(value, dict):
        return ", ".join(f"{key}={item}" for key, item in value.items())
    if isinstance(value, list):
        return ",".join(map(str, value))
    return str(value)


def report_body(reply: client.Reply | client.Lost, again: str = "") -> report.Report:
    """Return the report of an answer whose body is shown whole."""
    lines = [] if isinstance(reply, client.Lost) else draw(reply.body)
    return report.report_reply(reply, lines, again)


async def list_pools(asking: client.Client) -> report.Report:
    """List the pools with their budget and what is up now."""
    return report_body(await asking.get("/pools"))


async def show_pool(asking: client.Client, pool: str) -> report.Report:
    """Show one pool: its VMs, budget and what it waits for.

    Parameters
    ----------
    pool : str
        Name of the pool.
    """
    return report_body(await asking.get(f"/pools/{pool}"))


async def list_waves(asking: client.Client) -> report.Report:
    """List the waves."""
    return report_body(await asking.get("/waves"))


async def show_wave(asking: client.Client, wave: str) -> report.Report:
    """Show one wave: progress, what it waits for and since when.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return report_body(await asking.get(f"/waves/{wave}"))


async def plan_wave(asking: client.Client, wave: str) -> report.Report:
    """Print what a wave would do, with the three measures; changes nothing.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return report_body(await asking.get(f"/waves/{wave}/plan"))


async def change_wave(
    asking: client.Client, wave: str, action: str, submission: str
) -> report.Report:
    """Start, pause, resume or abort a wave."""
    used = submission or str(uuid.uuid4())
    path = f"/waves/{wave}/{action}"
    reply = await asking.post(path, {"submission": used})
    again = (
        f"wigeonhitch wave show {wave}; then, if it was not done, "
        f"the same command with --submission {used}"
    )
    return report_body(reply, again)


async def start_wave(
    asking: client.Client, wave: str, *, submission: str = ""
) -> report.Report:
    """Start a wave of the document in force.

    Parameters
    ----------
    wave : str
        Name of the wave.
    submission : str
        Id of an earlier try whose answer was lost.
    """
    return await change_wave(asking, wave, "start", submission)


async def pause_wave(
    asking: client.Client, wave: str, *, submission: str = ""
) -> report.Report:
    """Pause a wave: VMs under way finish, no other is stopped.

    Parameters
    ----------
    wave : str
        Name of the wave.
    submission : str
        Id of an earlier try whose answer was lost.
    """
    return await change_wave(asking, wave, "pause", submission)


async def resume_wave(
    asking: client.Client, wave: str, *, submission: str = ""
) -> report.Report:
    """Resume a paused wave.

    Parameters
    ----------
    wave : str
        Name of the wave.
    submission : str
        Id of an earlier try whose answer was lost.
    """
    return await change_wave(asking, wave, "resume", submission)


async def abort_wave(
    asking: client.Client, wave: str, *, submission: str = ""
) -> report.Report:
    """Abort a wave for good: VMs under way finish.

    Parameters
    ----------
    wave : str
        Name of the wave.
    submission : str
        Id of an earlier try whose answer was lost.
    """
    return await change_wave(asking, wave, "abort", submission)


async def watch_wave(
    asking: client.Client, wave: str, *, period: float = WATCH_PERIOD
) -> report.Report:
    """Show a wave's progress until it is done or aborted.

    Progress goes to standard error; the last state is the command's result.

    Parameters
    ----------
    wave : str
        Name of the wave.
    period : float
        Seconds between two looks.
    """
    shown = ""
    while True:
        reply = await asking.get(f"/waves/{wave}")
        code = report.find_exit(reply)
        if code in (report.Exit.REFUSED, report.Exit.NOT_FOUND, report.Exit.FAILED):
            return report_body(reply)
        if code is report.Exit.DONE:
            line = format_progress(reply.body)
            if reply.body.get("status") in FINISHED:
                return report_body(reply)
        else:
            # A wave goes on without its watcher; an outage is waited out.
            line = f"{wave}: no answer, trying again"
        if line != shown:
            print(line, file=sys.stderr, flush=True)
            shown = line
        await anyio.sleep(period)


def format_progress(body: Mapping[str, Any]) -> str:
    """Return a wave's state in one line."""
    parts = [f"{key} {shorten(body[key])}" for key in body if key != "vms"]
    return ", ".join(parts)


async def show_status(asking: client.Client) -> report.Report:
    """Show the daemons, the version in force and what is under way."""
    return report_body(await asking.get("/status"))


POOLS = {"list": options.remote(list_pools), "show": options.remote(show_pool)}
WAVES = {
    "list": options.remote(list_waves),
    "plan": options.remote(plan_wave),
    "start": options.remote(start_wave),
    "pause": options.remote(pause_wave),
    "resume": options.remote(resume_wave),
    "abort": options.remote(abort_wave),
    "watch": options.remote(watch_wave),
    "show": options.remote(show_wave),
}
STATUS = options.remote(show_status)
