"""The command ``explain``: the history of one job from the logs of daemons."""

import json
import pathlib
import sys
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from wigeonhitch.command import options, report

__all__ = ["COMMAND", "Line", "find_story", "read_lines"]

POOL_CHANGES = (
    "claim answered",
    "leadership claimed",
    "leadership lost",
    "leadership lapsed",
    "leadership given up",
    "pool loaded",
    "leases lapsed",
    "VM waited out",
    "commit of ends lost",
    "commit of ends back",
    "commit of ends conflicts",
    "pool load",
    "run preempted",
)
"""Log texts of pool events that affect every job in the pool at the time."""

DAEMON_CHANGES = ("store path changed",)
"""Log texts of events that affect every job that a daemon handles at the time."""

VM_CHANGES = (
    "worker restarted",
    "answer of another incarnation",
    "ends missing",
    "run no longer listed",
)
"""Log texts of events of a VM that tell why runs on it were lost, or repeated.

A leader of another pool may have written them: it may acknowledge ends of a worker that
has left its pool.
"""

HIDDEN_FIELDS = {"time", "level", "change", "daemon"}


class Line(NamedTuple):
    """One log line; ``time`` is the logged text, whose order is chronological."""

    time: str
    daemon: str
    change: str
    fields: dict[str, Any]


async def explain(id: str, files: Sequence[str] = ()) -> report.Report:
    """Print what all daemons logged about one job, in order.

    Lines on the job's pool stand between the first and the last of the job's
    own: who led it, what was lost meanwhile, what ran and waited. So do lines on the
    way to the store of the daemons that wrote the job's lines, and those on restarts
    and lost runs of the VMs that the job's lines name.

    Parameters
    ----------
    id : str
        The job's id, as its caller chose it.
    files : list[str]
        Files with log lines of daemons; standard input when there are none.
    """
    try:
        lines = list(read_lines(_read_texts(files)))
    except OSError as error:
        raise options.UsageError(str(error)) from error
    story = find_story(lines, id)
    if not story:
        body = {"status": "NOT_FOUND", "reason": f"no line names the job {id!r}"}
        return report.Report(report.Exit.NOT_FOUND, body, (body["reason"],))
    shown = [line._asdict() for line in story]
    text = tuple(_format_line(line, id) for line in story)
    return report.Report(report.Exit.DONE, shown, text)


def read_lines(texts: Iterable[str]) -> Iterator[Line]:
    """Parse log lines; any text before the JSON object is ignored.

    Examples
    --------
    >>> [line.change for line in read_lines(['x {"time": "1", "change": "start"}'])]
    ['start']
    """
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and "change" in fields:
            daemon = str(fields.get("daemon", ""))
            yield Line(str(fields.get("time", "")), daemon, fields["change"], fields)


def find_story(lines: Iterable[Line], id: str) -> list[Line]:
    """Return the lines about a job, its pool, daemons and VMs meanwhile, by time."""
    ordered = sorted(lines, key=lambda line: line.time)
    own = [line for line in ordered if line.fields.get("job") == id]
    if not own:
        return []
    pools = {line.fields["pool"] for line in own if "pool" in line.fields}
    daemons = {line.daemon for line in own}
    workers = set().union(*map(_list_workers, own))
    first, last = own[0].time, own[-1].time
    return [
        line
        for line in ordered
        if line.fields.get("job") == id
        or (
            first <= line.time <= last
            and (
                (line.change in POOL_CHANGES and line.fields.get("pool") in pools)
                or (line.change in DAEMON_CHANGES and line.daemon in daemons)
                or (line.change in VM_CHANGES and workers & _list_workers(line))
            )
        )
    ]


def _list_workers(line: Line) -> set[str]:
    """Return the ids of the workers of the VMs that a line names.

    A VM whose worker reports its start is named by the worker's id and that time.
    """
    names = [line.fields.get(field) for field in ("vm", "by", "to")]
    return {str(name).partition("@")[0] for name in names if name}


def _read_texts(files: Sequence[str]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        yield from pathlib.Path(file).read_text(encoding="utf-8").splitlines()


def _format_line(line: Line, id: str) -> str:
    """Return the text of a line; a job is only named if it is another one."""
    rest = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in HIDDEN_FIELDS
        and value not in ("", None)
        and (name, value) != ("job", id)
    )
    return f"{line.time}  {line.daemon}  {line.change}  {rest}".rstrip()


COMMAND = options.local(explain)
