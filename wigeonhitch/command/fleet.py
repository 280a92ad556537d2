"""Commands of the groups ``pool`` and ``wave``, and ``status``."""

import sys
from collections.abc import Mapping
from typing import Any

import anyio

from wigeonhitch.command import client, options, report, text

__all__ = ["POOLS", "STATUS", "WAVES"]

# Interval between polls of a running wave; a VM takes minutes.
WATCH_PERIOD_SECONDS = 2.0
FINAL_STATUSES = ("done", "aborted")

UNVERIFIED_NOTE = (
    "UP is what the table and the VM list say; `pool show` asks the workers too."
)


def report_body(
    reply: client.Reply | client.RequestFailure, again: str = ""
) -> report.Report:
    """Return the report of a response whose whole body is shown."""
    lines = (
        [] if isinstance(reply, client.RequestFailure) else text.format_body(reply.body)
    )
    return report.report_reply(reply, lines, again)


async def list_pools(asking: client.Client) -> report.Report:
    """List the pools with their budget and what is up now."""
    reply = await asking.get("/pools")
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    rows = [pool | {"up": len(pool["up"])} for pool in reply.body["pools"]]
    lines = [*text.format_body(rows), UNVERIFIED_NOTE]
    return report.report_reply(reply, lines)


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
    reply = await asking.get("/waves")
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    return report.report_reply(
        reply, text.format_body(reply.body["waves"]) or ["no wave"]
    )


async def show_wave(asking: client.Client, wave: str) -> report.Report:
    """Show one wave: progress, what it waits for and since when.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return report_wave(await asking.get(f"/waves/{wave}"))


async def plan_wave(asking: client.Client, wave: str) -> report.Report:
    """Print what a wave would do, with the three measures; changes nothing.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return report_body(await asking.get(f"/waves/{wave}/plan"))


async def change_wave(asking: client.Client, wave: str, action: str) -> report.Report:
    """Start, pause, resume or abort a wave."""
    reply = await asking.post(f"/waves/{wave}/{action}")
    again = f"wigeonhitch wave show {wave}; then, if it was not done, the same command"
    return report_body(reply, again)


async def start_wave(asking: client.Client, wave: str) -> report.Report:
    """Start a wave of the document in force.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return await change_wave(asking, wave, "start")


async def pause_wave(asking: client.Client, wave: str) -> report.Report:
    """Pause a wave: VMs under way finish, no other is stopped.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return await change_wave(asking, wave, "pause")


async def resume_wave(asking: client.Client, wave: str) -> report.Report:
    """Resume a paused wave.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return await change_wave(asking, wave, "resume")


async def abort_wave(asking: client.Client, wave: str) -> report.Report:
    """Abort a wave for good: VMs under way finish.

    Parameters
    ----------
    wave : str
        Name of the wave.
    """
    return await change_wave(asking, wave, "abort")


async def watch_wave(
    asking: client.Client, wave: str, *, period: float = WATCH_PERIOD_SECONDS
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
    last_line = ""
    while True:
        reply = await asking.get(f"/waves/{wave}")
        code = report.get_exit_code(reply)
        if code in (report.Exit.REFUSED, report.Exit.NOT_FOUND, report.Exit.FAILED):
            return report_body(reply)
        if code is report.Exit.DONE:
            line = format_progress(reply.body)
            if reply.body.get("status") in FINAL_STATUSES:
                return report_wave(reply)
        else:
            # The wave continues while no daemon answers, so polling continues too.
            line = f"{wave}: no answer, trying again"
        if line != last_line:
            print(line, file=sys.stderr, flush=True)
            last_line = line
        await anyio.sleep(period)


def report_wave(reply: client.Reply | client.RequestFailure) -> report.Report:
    """Return the report of a wave: what it waits for, then its VMs."""
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    body = dict(reply.body)
    vms = body.pop("vms", [])
    body["done"] = count_done(reply.body)
    lines = text.format_body(body)
    if vms:
        lines += ["vms:", *text.format_body(vms, "  ")]
    return report.report_reply(reply, lines)


def count_done(body: Mapping[str, Any]) -> str:
    """Return the number of completed VMs of a wave and the total, as text."""
    vms = body.get("vms", [])
    total = len(vms) if isinstance(vms, list) else vms
    done = body.get("done", 0)
    return f"{done} of {total}" if total else str(done)


def format_progress(body: Mapping[str, Any]) -> str:
    """Return a wave's state in one line.

    Examples
    --------
    >>> why = {"what": "vm w1", "why": "drain: busy", "since": 1.0}
    >>> format_progress({"wave": "may", "status": "running", "waiting": [why]})
    'may: running, 0 done; vm w1: drain: busy (since 1970-01-01T00:00:01Z)'
    """
    parts = [f"{body.get('wave')}: {body.get('status')}, {count_done(body)} done"]
    for key in ("active", "down"):
        if body.get(key):
            parts[0] += f", {key} {text.format_value(body[key])}"
    for item in body.get("waiting", ()):
        since = text.format_time(item["since"])
        parts.append(f"{item['what']}: {item['why']} (since {since})")
    return "; ".join(parts)


async def show_status(asking: client.Client) -> report.Report:
    """Show the daemons, the version in force and what is under way."""
    reply = await asking.get("/status")
    if report.get_exit_code(reply) is not report.Exit.DONE:
        return report.report_reply(reply)
    body = dict(reply.body)
    alive = set(body.pop("alive", ()))
    listed = body.pop("daemons", {})
    rows = [
        {"daemon": name, "alive": name in alive, **listed.get(name, {})}
        for name in sorted(alive | set(listed))
    ]
    lines = [*text.format_body(body), "daemons:", *text.format_body(rows, "  ")]
    return report.report_reply(reply, lines)


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
