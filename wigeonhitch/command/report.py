"""Output and exit codes of commands."""

import enum
import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any, NamedTuple

from wigeonhitch.command import client

__all__ = [
    "Exit",
    "Report",
    "format_table",
    "get_exit_code",
    "report_reply",
    "print_report",
]


class Exit(enum.IntEnum):
    """Exit codes, stable for scripts."""

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
        Text output.
    """

    exit: Exit
    body: Any
    lines: tuple[str, ...] = ()


EXITS_BY_HTTP_STATUS = {
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

# Statuses of document requests that determine the exit code in place of the
# HTTP status.
EXITS_BY_STATUS = {
    "WAITING": Exit.WAITING,
    "REJECTED": Exit.REFUSED,
    "REUSED": Exit.REFUSED,
}


def get_exit_code(reply: client.Reply | client.RequestFailure) -> Exit:
    """Return the exit code for a response or a request failure."""
    if reply is client.RequestFailure.NO_ANSWER:
        return Exit.UNKNOWN
    if isinstance(reply, client.RequestFailure):
        return Exit.UNREACHABLE
    return EXITS_BY_HTTP_STATUS.get(reply.status, Exit.FAILED)


def report_reply(
    reply: client.Reply | client.RequestFailure,
    lines: Iterable[str] = (),
    again: str = "",
) -> Report:
    """Return the report of a response or a request failure.

    Parameters
    ----------
    reply : Reply or RequestFailure
        The response or the failure.
    lines : iterable of str
        Text output if the request succeeded.
    again : str
        How to retry safely, shown when the outcome is unknown.
    """
    code = get_exit_code(reply)
    if isinstance(reply, client.RequestFailure):
        body: Any = {"status": code.name, "reason": reply.value}
    else:
        body = reply.body
    if code is Exit.DONE:
        return Report(code, body, tuple(lines))
    error_lines = list(format_error(body))
    if code is Exit.UNKNOWN and again:
        error_lines.append(f"To ask again safely: {again}")
    return Report(code, body, tuple(error_lines))


def format_error(body: Any) -> Iterable[str]:
    """Return the lines for the reason and the problems in an error body."""
    if not isinstance(body, Mapping):
        return [str(body)]
    reason = body.get("reason") or body.get("error") or body.get("status", "failed")
    lines = str(reason).splitlines()
    lines += [f"  {problem}" for problem in body.get("problems", ())]
    return lines


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> list[str]:
    """Return the lines of a table.

    Examples
    --------
    >>> format_table(("POOL", "UP"), [("match", 6)])
    ['POOL   UP', 'match  6']
    """
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    return ["  ".join(map(str.ljust, row, widths)).rstrip() for row in cells]


def print_report(report: Report, as_json: bool) -> None:
    """Print a report to standard output."""
    if as_json:
        print(json.dumps(report.body, indent=2))
        return
    for line in report.lines:
        print(line)
