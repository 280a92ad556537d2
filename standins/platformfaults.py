"""Switches that make the platform stand-in fail, without I/O.

A fault is decided once per request; the process and the in-process fake both
carry it out: the process with sockets, the fake by what it returns.
"""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

__all__ = ["Fault", "Faults", "Kind"]

OPEN_PATHS = ("/switch", "/counters", "/history", "/fleet", "/tasks/log", "/health")
"""Paths of checkers and tests; never struck by a fault."""


class Kind(enum.Enum):
    """What happens to a request."""

    NONE = "none"
    DOWN = "down"
    """Refused with 503 before any effect."""
    HANG = "hang"
    """Never answered, without effect."""
    LOSE = "lose"
    """Takes effect; the answer is lost."""
    LATE = "late"
    """The answer is lost and the effect comes later."""


class Fault(NamedTuple):
    """The fault of one request; ``delay`` in seconds."""

    kind: Kind
    delay: float = 0.0


class Faults:
    """State of the switches.

    Examples
    --------
    >>> faults = Faults()
    >>> faults.switch({"lose": {"prefix": "/table/commit", "next": 1}})
    >>> faults.decide("/table/commit", "d1", "a").kind
    <Kind.LOSE: 'lose'>
    >>> faults.decide("/table/commit", "d1", "a").kind
    <Kind.NONE: 'none'>
    """

    def __init__(self) -> None:
        self.down = False
        self.hang = False
        self.slow = 0.0
        self.cut: set[str] = set()
        self.rules: dict[str, dict[str, Any]] = {}
        self._seen = {"lose": 0, "late": 0}

    def switch(self, body: Mapping[str, Any]) -> None:
        """Change the switches that ``body`` names, leave the others.

        Raises
        ------
        ValueError
            For a switch that does not exist.
        """
        for name, value in body.items():
            if name == "cut":
                self.cut = set(value)
            elif name in ("lose", "late"):
                self.rules[name] = dict(value or {"next": 0})
                self._seen[name] = 0
            elif name in ("down", "hang", "slow"):
                setattr(self, name, value)
            else:
                raise ValueError(
                    f"switch {name!r}: expected down, hang, slow, cut, lose or late"
                )

    def decide(self, path: str, daemon: str, data_centre: str) -> Fault:
        """Decide what happens to one request; uses up ``next`` rules."""
        if path.startswith(OPEN_PATHS):
            return Fault(Kind.NONE)
        if self.cut & {daemon, data_centre}:
            return Fault(Kind.HANG)
        if self.down:
            return Fault(Kind.DOWN)
        if self.hang:
            return Fault(Kind.HANG)
        if self._strikes("late", path):
            return Fault(Kind.LATE, self.rules["late"].get("seconds", 1.0))
        if self._strikes("lose", path):
            return Fault(Kind.LOSE)
        return Fault(Kind.NONE, self.slow)

    def _strikes(self, name: str, path: str) -> bool:
        rule = self.rules.get(name)
        if rule is None or not path.startswith(rule.get("prefix", "/")):
            return False
        if rule.get("next", 0) > 0:
            rule["next"] -= 1
            return True
        self._seen[name] += 1
        every = rule.get("every", 0)
        return every > 0 and self._seen[name] % every == 0
