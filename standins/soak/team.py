"""Teams of the soak's configuration: callers' keys, ceilings, and their changes."""

import itertools
import random
from typing import Any, NamedTuple

__all__ = [
    "APPLY_SECONDS",
    "REVOKE_SECONDS",
    "UNKNOWN_KEY",
    "Ceiling",
    "Team",
    "Teams",
    "find_owner",
]

REVOKE_SECONDS = 5.0
"""Time after which a revoked key is refused, as the settings of the run say."""

APPLY_SECONDS = 2.0 + 1.0
"""Time in which a lowered ceiling applies to starts: the default of the settings, and
a second for starts that are on their way to a worker."""

UNKNOWN_KEY = "key-of-no-team"


class Team(NamedTuple):
    """A team; ``ceiling`` and ``lowered_ceiling`` are millicores in all pools."""

    name: str
    weight: float
    ceiling: int
    lowered_ceiling: int

    @property
    def keys(self) -> tuple[str, str]:
        """All keys of the team; only the first one may be revoked."""
        return f"{self.name}-first-key", f"{self.name}-second-key"


TEAMS = (
    Team("batch", 1.0, 10_000, 6_000),
    Team("reports", 2.0, 8_000, 5_000),
    Team("serving", 1.0, 16_000, 16_000),
)
"""Ceilings are below what the pools can run (48,000 millicores) and above a task of
2,500, which a lower one would keep waiting for good."""

BURSTING, LASTING = TEAMS[0], TEAMS[-1]
"""The team that submits many times its usual, and the one whose tasks last. The ceiling
of the latter isn't lowered: a lasting task would be away as long as others run."""


def find_owner(key: str) -> Team | None:
    """Return the team that has or had a key."""
    return next((team for team in TEAMS if key in team.keys), None)


class Ceiling(NamedTuple):
    """A team's ceiling in millicores from the store's acknowledgement on."""

    time: float
    team: str
    millicores: int


class Teams:
    """The teams as the operator has written them, and the history of changes.

    Attributes
    ----------
    ceilings : list of Ceiling
        All ceilings that were written, in order.
    revoked : dict of str to float
        Times at which the store acknowledged the revocation of a key, by key.
    """

    def __init__(self) -> None:
        self.ceilings = [Ceiling(0.0, team.name, team.ceiling) for team in TEAMS]
        self.revoked: dict[str, float] = {}

    def revoke(self, rng: random.Random, now: float) -> str:
        """Revoke the first key of a team, and return the key."""
        key = rng.choice(TEAMS).keys[0]
        self.revoked.setdefault(key, now)
        return key

    def lower_ceiling(self, now: float) -> str:
        """Lower the ceiling of the team that submits too much, and return its name."""
        ceiling = Ceiling(now, BURSTING.name, BURSTING.lowered_ceiling)
        self.ceilings.append(ceiling)
        return ceiling.team

    def list_keys(self, team: Team) -> list[str]:
        """Return the keys of a team that aren't revoked."""
        return [key for key in team.keys if key not in self.revoked]

    def compute_ceiling(self, team: str, begin: float, end: float) -> int | None:
        """Return the largest ceiling in force in a time, None for an unknown team."""
        history = [ceiling for ceiling in self.ceilings if ceiling.team == team]
        in_force = [
            ceiling.millicores
            for ceiling, successor in itertools.zip_longest(history, history[1:])
            if ceiling.time <= end and (successor is None or successor.time > begin)
        ]
        return max(in_force, default=None)

    def write_tenants(self) -> list[dict[str, Any]]:
        """Return the teams as the operator's configuration has them."""
        current = {ceiling.team: ceiling.millicores for ceiling in self.ceilings}
        return [
            {
                "name": team.name,
                "api_keys": self.list_keys(team),
                "weight": team.weight,
                "ceiling": {"cpu": current[team.name]},
            }
            for team in TEAMS
        ]
