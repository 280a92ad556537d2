"""What a command prints and the code it exits with."""

import enum
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from wigeonhitch.command import client

__all__ = ["Exit", "Report", "draw_table", "find_exit", "report_reply", "show"]


class Exit(enum.IntEnum):
    """Exit codes; stable, for programs."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    CONFLICT = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_FOUND = 7
    WAITING = 8


class Report(NamedTuple):
    """Result of a command.

    Parameters
    ----------
    exit : Exit
        Exit code.
    body : object
        What ``--json`` prints.
    lines : tuple of str
        What people see.
    """

    exit: Exit
    body: Any
    lines: tuple[str, ...] = ()


EXITS = {
    200: Exit.DONE,
    202: Exit.DONE,
    400: Exit.REFUSED,
    401: Exit.REFUSED,
    403: Exit.REFUSED,
    404: Exit.NOT_FOUND,
    405: Exit.REFUSED,
    409: Exit.CONFLICT,
    413: Exit.REFUSED,
    429: Exit.REFUSED,
    503: Exit.UNREACHABLE,
    504: Exit.UNKNOWN,
}

# Results of document requests whose code says more than the status code.
EXITS_BY_STATUS = {
    "WAITING": Exit.WAITING,
    "REJECTED": Exit.REFUSED,
    "REUSED": Exit.REFUSED,
}


def find_exit(reply: client.Reply | client.Lost) -> Exit:
    """Return the exit code that an answer, or its lack, stands for."""
    if reply is client.Lost.NO_ANSWER:
        return Exit.UNKNOWN
    if isinstance(reply, client.Lost):
        return Exit.UNREACHABLE
    return EXITS.get(reply.status, Exit.FAILED)


def report_reply(
    reply: client.Reply | client.Lost,
    lines: Iterable[str] = (),
    again: str = "",
) -> Report:
    """Return the report of an answer.

    Parameters
    ----------
    reply : Reply or Lost
        The answer.
    lines : iterable of str
        What people see when it was done.
    again : str
        How to ask again safely, shown when the outcome is unknown.
    """
    code = find_exit(reply)
    if isinstance(reply, client.Lost):
        body: Any = {"status": code.name, "reason": reply.value}
    else:
        body = reply.body
    if code is Exit.DONE:
        return Report(code, body, tuple(lines))
    explained = list(explain(body))
    if code is Exit.UNKNOWN and again:
        explained.append(f"To ask again safely: {again}")
    return Report(code, body, tuple(explained))


def explain(body: Any) -> Iterable[str]:
    """Return the reason and problems that an error body names."""
    if not isinstance(body, Mapping):
        return [str(body)]
    found = body.get("reason") or body.get("error") or body.get("status", "failed")
    lines = str(found).splitlines()
    lines += [f"  {problem}" for problem in body.get("problems", ())]
    return lines


def draw_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Return the lines of a table.

    Examples
    --------
    >>> draw_table(("POOL", "UP"), [("match", 6)])
    ['POOL   UP', 'match  6']
    """
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return ["  ".join(map(str.ljust, row, widths)).rstrip() for row in cells]


def show(report: Report, as_json: bool) -> None:
    """Print a report to standard output."""
    if as_json:
        print(json.dumps(report.body, indent=2))
        return
    for line in report.lines:
        print(line)
