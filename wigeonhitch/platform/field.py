"""Checked access to the fields of decoded JSON, which may come from anywhere."""

from collections.abc import Mapping
from typing import Any

__all__ = ["read_list", "read_number", "read_start", "read_text", "read_whole"]


def read_text(value: Any) -> str:
    """Return a text, or raise TypeError."""
    if not isinstance(value, str):
        raise TypeError(f"{value!r}; expected a text")
    return value


def read_number(value: Any) -> float:
    """Return a number, or raise TypeError; a Boolean is none."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise TypeError(f"{value!r}; expected a number")
    return value


def read_whole(value: Any) -> int:
    """Return a whole number, or raise TypeError; a Boolean is none."""
    if not isinstance(value, int) or isinstance(value, bool):
        raise TypeError(f"{value!r}; expected a whole number")
    return value


def read_list(value: Any) -> list[Any]:
    """Return a list, or raise TypeError."""
    if not isinstance(value, list):
        raise TypeError(f"{value!r}; expected a list")
    return value


def read_start(fields: Mapping[str, Any]) -> int:
    """Return when a worker started, in Unix milliseconds, or 0 if it isn't reported.

    Raises
    ------
    TypeError
        If it is no whole number.
    ValueError
        If it is negative.
    """
    start = read_whole(fields.get("born", 0))
    if start < 0:
        raise ValueError(f"born is {start}; expected 0 or more")
    return start
