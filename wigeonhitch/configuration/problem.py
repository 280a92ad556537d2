"""A problem found in a document or a settings file, with its location."""

from collections.abc import Sequence
from typing import Any, NamedTuple

__all__ = ["Problem", "format_place", "format_problem"]

# Maximum length of an invalid value that a message repeats, in characters.
MAX_VALUE_CHARACTERS = 80

UNITS = {
    "cores": "cores",
    "memory": "GB",
    "slots": "requests at once",
    "connections": "connections",
    "accelerators": "accelerators",
    "deadline": "seconds",
    "start_within": "seconds",
    "start": "seconds since the Unix epoch, UTC",
    "end": "seconds since the Unix epoch, UTC",
    "share": "share between 0 and 1",
    "number": "VMs",
    "size": "VMs",
    "approvals": "operators",
}


class Problem(NamedTuple):
    """One problem of a document.

    Parameters
    ----------
    place : str
        Location such as ``pools[2].must_be_up.share``; empty for the whole
        document.
    value : object
        The invalid value; None when it is missing.
    expected : str
        Description of a valid value.
    unit : str
        Unit of the value; empty when it has none.
    """

    place: str
    value: Any
    expected: str
    unit: str = ""


def format_place(parts: Sequence[str | int]) -> str:
    """Return the location of a value as text.

    Examples
    --------
    >>> format_place(["pools", 2, "must_be_up", "share"])
    'pools[2].must_be_up.share'
    """
    place = ""
    for part in parts:
        if isinstance(part, int):
            place += f"[{part}]"
        elif place:
            place += f".{part}"
        else:
            place = part
    return place


def find_unit(parts: Sequence[str | int]) -> str:
    """Return the unit of the value at a location; empty when it has none."""
    if not parts or len(parts) == 1 or isinstance(parts[-1], int):
        return ""
    return UNITS.get(str(parts[-1]), "")


def format_problem(problem: Problem) -> str:
    """Return a problem as one human-readable line."""
    value = repr(problem.value)
    if len(value) > MAX_VALUE_CHARACTERS:
        value = value[:MAX_VALUE_CHARACTERS] + "..."
    unit = f" ({problem.unit})" if problem.unit else ""
    place = problem.place or "document"
    return f"{place}: {value}: expected {problem.expected}{unit}"
