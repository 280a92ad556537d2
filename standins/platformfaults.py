"""Fault switches of the platform stand-in, without I/O.

The fault of a request is decided once; the process applies it to its sockets, the
in-process fake to the result that it returns.
"""

import enum
from collections.abc import Mapping
from typing import Any, NamedTuple

__all__ = ["Fault", "Faults", "Kind"]

EXEMPT_PATHS = ("/switch", "/counters", "/history", "/fleet", "/tasks/log", "/health")
"""Paths that checks and tests use; never subject to a fault."""


class Kind(enum.Enum):
    """What happens to a request."""

    NONE = "none"
    DOWN = "down"
    """Refused with 503, without effect."""
    HANG = "hang"
    """Never answered, without effect."""
    LOSE = "lose"
    """Takes effect, but the answer is lost."""
    LATE = "late"
    """The answer is lost, and the request takes effect later."""


class Fault(NamedTuple):
    """Fault of one request; ``delay`` in seconds."""

    kind: Kind
    delay: float = 0.0


class Faults:
    """State of the fault switches.

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
        self._match_counts = {"lose": 0, "late": 0}

    def switch(self, body: Mapping[str, Any]) -> None:
        """Set the switches that ``body`` names; the others stay unchanged.

        Raises
        ------
        ValueError
            If a switch doesn't exist.
        """
        for name, value in body.items():
            if name == "cut":
                self.cut = set(value)
            elif name in ("lose", "late"):
                self.rules[name] = dict(value or {"next": 0})
                self._match_counts[name] = 0
            elif name in ("down", "hang", "slow"):
                setattr(self, name, value)
            else:
                raise ValueError(
                    f"switch {name!r}: expected down, hang, slow, cut, lose or late"
                )

    def decide(self, path: str, daemon: str, data_centre: str) -> Fault:
        """Decide the fault of one request; decrements the ``next`` counts of rules."""
        if path.startswith(EXEMPT_PATHS):
            return Fault(Kind.NONE)
        if self.cut & {daemon, data_centre}:
            return Fault(Kind.HANG)
        if self.down:
            return Fault(Kind.DOWN)
        if self.hang:
            return Fault(Kind.HANG)
        if self._applies("late", path):
            return Fault(Kind.LATE, self.rules["late"].get("seconds", 1.0))
        if self._applies("lose", path):
            return Fault(Kind.LOSE)
        return Fault(Kind.NONE, self.slow)

    def _applies(self, name: str, path: str) -> bool:
        rule = self.rules.get(name)
        if rule is None or not path.startswith(rule.get("prefix", "/")):
            return False
        if rule.get("next", 0) > 0:
            rule["next"] -= 1
            return True
        self._match_counts[name] += 1
        every = rule.get("every", 0)
        return every > 0 and self._match_counts[name] % every == 0
