"""Formats response bodies of the daemons as text."""

import datetime
import math
from collections.abc import Mapping
from typing import Any

from wigeonhitch.command import report

__all__ = ["format_body", "format_duration", "format_time", "format_value"]

# Fields whose numbers are times of the table's clock, and durations in seconds.
TIME_FIELDS = frozenset({"since", "submitted", "accepted", "due", "window", "time"})
DURATION_FIELDS = frozenset({"rollout", "duration", "deadline"})

EMPTY = "-"


def format_body(value: Any, indent: str = "", name: str = "") -> list[str]:
    """Format a JSON body as lines, with lists of objects as tables.

    Parameters
    ----------
    value : object
        A decoded JSON value.
    indent : str
        Prefix of each line.
    name : str
        Name of the field that holds the value; distinguishes times from other
        numbers.

    Examples
    --------
    >>> format_body({"wave": "november", "since": 0.5, "pools": [{"name": "match"}]})
    ['wave: november', 'since: 1970-01-01T00:00:00Z', 'pools:', '  NAME', '  match']
    """
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        return [indent + line for line in _format_rows(value)]
    if not isinstance(value, Mapping):
        return [indent + format_value(value, name)]
    lines = []
    for key, item in value.items():
        is_nested = isinstance(item, dict) or (
            isinstance(item, list)
            and any(isinstance(element, dict) for element in item)
        )
        if is_nested and item:
            lines.append(f"{indent}{key}:")
            lines += format_body(item, indent + "  ", key)
        else:
            lines.append(f"{indent}{key}: {format_value(item, key)}")
    return lines


def _format_rows(rows: list[dict[str, Any]]) -> list[str]:
    keys = list(dict.fromkeys(key for row in rows for key in row))
    headers = [key.replace("_", " ").upper() for key in keys]
    cells = [[format_value(row.get(key), key) for key in keys] for row in rows]
    return report.format_table(headers, cells)


def format_value(value: Any, name: str = "") -> str:
    """Format a value for one table cell; an empty value or a time of 0 is a dash.

    Examples
    --------
    >>> format_value([0.0, 60.0], "window"), format_value(True)
    ('- to 1970-01-01T00:01:00Z', 'yes')
    >>> format_value(1800.0, "rollout")
    '30m'
    """
    if value is None or value in ("", [], {}):
        return EMPTY
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ", ".join(
            f"{key}={format_value(item, key)}" for key, item in value.items()
        )
    if isinstance(value, list):
        separator = " to " if name == "window" else ","
        return separator.join(format_value(item, name) for item in value)
    if name in TIME_FIELDS and isinstance(value, int | float):
        return format_time(value)
    if name in DURATION_FIELDS and isinstance(value, int | float):
        return format_duration(value)
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def format_time(seconds: float) -> str:
    """Format a time of the table's clock in UTC; 0 means never.

    Examples
    --------
    >>> format_time(1.0), format_time(0.0)
    ('1970-01-01T00:00:01Z', '-')
    """
    if not seconds or not math.isfinite(seconds):
        return EMPTY
    time = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ")


def format_duration(seconds: float) -> str:
    """Format a duration in hours, minutes and seconds.

    Examples
    --------
    >>> [format_duration(length) for length in (0.5, 90.0, 7200.0)]
    ['0.5s', '1m30s', '2h']
    """
    if not math.isfinite(seconds):
        return EMPTY
    if seconds < 60:
        return f"{seconds:g}s"
    minutes, rest = divmod(round(seconds), 60)
    hours, minutes = divmod(minutes, 60)
    parts = ((hours, "h"), (minutes, "m"), (rest, "s"))
    return "".join(f"{amount}{unit}" for amount, unit in parts if amount)
