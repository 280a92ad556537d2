"""How bodies of the daemons' answers are written for people."""

import datetime
import math
from collections.abc import Mapping
from typing import Any

from wigeonhitch.command import report

__all__ = ["draw", "format_duration", "format_time", "shorten"]

# Fields whose numbers are times of the table's clock, and lengths in seconds.
TIMES = frozenset({"since", "submitted", "accepted", "due", "window", "time"})
DURATIONS = frozenset({"rollout", "duration", "deadline"})

NOTHING = "-"


def draw(value: Any, indent: str = "", name: str = "") -> list[str]:
    """Return any JSON body as lines: lists of objects as tables.

    Parameters
    ----------
    value : object
        A decoded JSON value.
    indent : str
        Put before each line.
    name : str
        Name of the field that holds the value; tells times from other numbers.

    Examples
    --------
    >>> draw({"wave": "november", "since": 0.5, "pools": [{"name": "match"}]})
    ['wave: november', 'since: 1970-01-01T00:00:00Z', 'pools:', '  NAME', '  match']
    """
    if isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        return [indent + line for line in _draw_rows(value)]
    if not isinstance(value, Mapping):
        return [indent + shorten(value, name)]
    lines = []
    for key, item in value.items():
        is_nested = isinstance(item, dict) or (
            isinstance(item, list) and any(isinstance(one, dict) for one in item)
        )
        if is_nested and item:
            lines.append(f"{indent}{key}:")
            lines += draw(item, indent + "  ", key)
        else:
            lines.append(f"{indent}{key}: {shorten(item, key)}")
    return lines


def _draw_rows(rows: list[dict[str, Any]]) -> list[str]:
    keys = list(dict.fromkeys(key for row in rows for key in row))
    headers = [key.replace("_", " ").upper() for key in keys]
    cells = [[shorten(row.get(key), key) for key in keys] for row in rows]
    return report.draw_table(headers, cells)


def shorten(value: Any, name: str = "") -> str:
    """Return a value for one cell; what is empty or never was is a dash.

    Examples
    --------
    >>> shorten([0.0, 60.0], "window"), shorten(True), shorten(1800.0, "rollout")
    ('- to 1970-01-01T00:01:00Z', 'yes', '30m')
    """
    if value is None or value in ("", [], {}):
        return NOTHING
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, dict):
        return ", ".join(f"{key}={shorten(item, key)}" for key, item in value.items())
    if isinstance(value, list):
        between = " to " if name == "window" else ","
        return between.join(shorten(item, name) for item in value)
    if name in TIMES and isinstance(value, int | float):
        return format_time(value)
    if name in DURATIONS and isinstance(value, int | float):
        return format_duration(value)
    return f"{value:.3g}" if isinstance(value, float) else str(value)


def format_time(seconds: float) -> str:
    """Return a time of the table's clock in UTC; 0 stands for never.

    Examples
    --------
    >>> format_time(1.0), format_time(0.0)
    ('1970-01-01T00:00:01Z', '-')
    """
    if not seconds or not math.isfinite(seconds):
        return NOTHING
    when = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return when.strftime("%Y-%m-%dT%H:%M:%SZ")


def format_duration(seconds: float) -> str:
    """Return a length of time in hours, minutes and seconds.

    Examples
    --------
    >>> [format_duration(length) for length in (0.5, 90.0, 7200.0)]
    ['0.5s', '1m30s', '2h']
    """
    if not math.isfinite(seconds):
        return NOTHING
    if seconds < 60:
        return f"{seconds:g}s"
    minutes, rest = divmod(round(seconds), 60)
    hours, minutes = divmod(minutes, 60)
    parts = ((hours, "h"), (minutes, "m"), (rest, "s"))
    return "".join(f"{amount}{unit}" for amount, unit in parts if amount)
