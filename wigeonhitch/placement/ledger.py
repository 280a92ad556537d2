"""Reservations and quota usage, kept consistent with the table's rows.

Changes are applied in memory first and then committed, with the version of every
affected row as a condition; a failed commit is undone from the batch.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wigeonhitch.placement import job
from wigeonhitch.platform import table

__all__ = [
    "DAY_SECONDS",
    "ENDED_PREFIX",
    "MARKER_PREFIX",
    "QUOTA_PREFIX",
    "RESERVATION_PREFIX",
    "Batch",
    "Ledger",
    "ended_key",
    "marker_key",
]

RESERVATION_PREFIX = "reservation/"
QUOTA_PREFIX = "quota/"
MARKER_PREFIX = "placing/"
ENDED_PREFIX = "ended/"
DAY_SECONDS = 86_400
ROUNDING_DIGITS = 6
ZERO = (0.0, 0.0)


class Batch(NamedTuple):
    """One commit: its conditions and writes, and the jobs as they were before."""

    conditions: tuple[table.Condition, ...]
    writes: tuple[table.Write, ...]
    before: Mapping[str, job.Job]


class LedgerRow:
    """One row: its version and the (cores, memory) held under each name."""

    __slots__ = ("items", "total", "version")

    def __init__(self):
        self.version = 0
        self.items: dict[str, tuple[float, float]] = {}
        self.total = ZERO

    def put(self, name: str, size: tuple[float, float]) -> None:
        """Set the size held under a name; a size of zero removes the name."""
        if size[0] <= 0 and size[1] <= 0:
            self.items.pop(name, None)
        else:
            self.items[name] = size
        self.total = _sum(self.items.values())

    def load(self, value: Mapping, version: int) -> None:
        """Replace the content by a row's value."""
        self.version = version
        self.items = {name: (size[0], size[1]) for name, size in value.items()}
        self.total = _sum(self.items.values())

    def dump(self) -> dict[str, list[float]]:
        """Return the row's value."""
        return {name: list(size) for name, size in sorted(self.items.items())}


def marker_key(shard: int, name: str) -> str:
    """Return the key of the row by which a job's shard finds it."""
    return f"{MARKER_PREFIX}{shard}/{name}"


def ended_key(shard: int, item: job.Job) -> str:
    """Return the key of the row by which an ended job is found for deletion."""
    return f"{ENDED_PREFIX}{shard}/{int(item.since // DAY_SECONDS)}/{item.name}"


class Ledger:
    """Reservations by worker, and quota usage by team and pool."""

    def __init__(self):
        self.vms: dict[str, LedgerRow] = {}
        self.teams: dict[str, LedgerRow] = {}

    def load(self, row: table.Row) -> None:
        """Load a reservation or quota row as read."""
        if row.key.startswith(RESERVATION_PREFIX):
            ledger_row = self.reservation(row.key.removeprefix(RESERVATION_PREFIX))
            field = "jobs"
        else:
            ledger_row = self.quota(row.key.removeprefix(QUOTA_PREFIX))
            field = "pools"
        if row.version >= ledger_row.version or row.version == 0:
            ledger_row.load((row.value or {}).get(field, {}), _version(row))

    def reservation(self, vm: str) -> LedgerRow:
        """Return the reservations on a worker."""
        return self.vms.setdefault(vm, LedgerRow())

    def quota(self, team: str) -> LedgerRow:
        """Return a team's usage by pool."""
        return self.teams.setdefault(team, LedgerRow())

    def apply_change(self, old: job.Job, new: job.Job) -> None:
        """Apply the change of one job to its reservation and quota."""
        if old.holds:
            self._add_usage(old, -1)
            self.reservation(old.vm).put(old.name, ZERO)
        if new.holds:
            self._add_usage(new, 1)
            self.reservation(new.vm).put(new.name, (new.cores, new.memory))

    def _add_usage(self, item: job.Job, sign: int) -> None:
        quota = self.quota(item.asked.team)
        cores, memory = quota.items.get(item.asked.pool, ZERO)
        cores = round(max(0.0, cores + sign * item.cores), ROUNDING_DIGITS)
        memory = round(max(0.0, memory + sign * item.memory), ROUNDING_DIGITS)
        quota.put(item.asked.pool, (cores, memory))

    def build(
        self, changes: Iterable[tuple[job.Job, job.Job, int]], shard: int
    ) -> Batch:
        """Return the commit of ``(old, new, version)`` changes already applied."""
        conditions: list[table.Condition] = []
        writes: list[table.Write] = []
        before: dict[str, job.Job] = {}
        vms: set[str] = set()
        teams: set[str] = set()
        for old, new, version in changes:
            before[old.name] = old
            conditions.append(table.Condition(old.key, version))
            writes.append(table.Write(old.key, job.encode(new)))
            if new.state in job.ENDED:
                writes.append(table.Write(marker_key(shard, new.name), None))
                writes.append(table.Write(ended_key(shard, new), {}))
            for item in (old, new):
                if item.holds:
                    vms.add(item.vm)
                    teams.add(item.asked.team)
        for vm in sorted(vms):
            _add_row(RESERVATION_PREFIX + vm, "jobs", self.vms[vm], conditions, writes)
        for team in sorted(teams):
            _add_row(QUOTA_PREFIX + team, "pools", self.teams[team], conditions, writes)
        return Batch(tuple(conditions), tuple(writes), before)

    def confirm(self, batch: Batch, revision: int) -> None:
        """Record the versions that a commit gave to its rows."""
        for write in batch.writes:
            version = revision if write.value is not None else 0
            if write.key.startswith(RESERVATION_PREFIX):
                self.reservation(
                    write.key.removeprefix(RESERVATION_PREFIX)
                ).version = version
            elif write.key.startswith(QUOTA_PREFIX):
                self.quota(write.key.removeprefix(QUOTA_PREFIX)).version = version


def _add_row(
    key: str,
    field: str,
    ledger_row: LedgerRow,
    conditions: list[table.Condition],
    writes: list[table.Write],
) -> None:
    conditions.append(table.Condition(key, ledger_row.version))
    value = {field: ledger_row.dump()} if ledger_row.items else None
    writes.append(table.Write(key, value))


def _sum(sizes: Iterable[tuple[float, float]]) -> tuple[float, float]:
    cores = memory = 0.0
    for size in sizes:
        cores += size[0]
        memory += size[1]
    return round(cores, ROUNDING_DIGITS), round(memory, ROUNDING_DIGITS)


def _version(row: table.Row) -> int:
    return 0 if row.value is None else row.version
