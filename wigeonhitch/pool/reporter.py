"""Log lines and metrics of one pool's leader."""

from collections.abc import Iterable

from wigeonhitch.platform import rows, table
from wigeonhitch.pool import load, quota, record
from wigeonhitch.telemetry import log, metric

__all__ = ["COUNTED_EVENTS", "Reporter"]

MAX_REPORTED_TEAMS = 50
"""Teams with series of their own; each has eight a pool."""

COUNTED_EVENTS = frozenset(
    {
        "VM gone",
        "VM crashed under a task",
        "run ended with its VM",
        "run lapsed",
        "run no longer listed",
        "worker restarted",
        "answer of another incarnation",
        "run failed",
        "run preempted",
        "job failed",
        "task given up",
        "large progress",
    }
)
"""Log events that are also counted: some lines are left out in a burst."""


class Reporter:
    """Reports what a pool's leader does.

    Parameters
    ----------
    pool : str
        The pool.
    instruments : metric.Instruments
        The daemon's metrics.
    """

    def __init__(self, pool: str, instruments: metric.Instruments) -> None:
        self._pool = pool
        self._instruments = instruments

    def log_event(self, event: str, **fields: object) -> None:
        """Write a log line; count the events that have a counter."""
        log.log_change(event, pool=self._pool, **fields)
        if event in COUNTED_EVENTS:
            self._instruments.count(
                "pool_events_total",
                "Events of led pools by kind and reason.",
                event=event,
                reason=str(fields.get("reason", "")),
            )
        if event == "ends missing":
            self._instruments.count(
                "ends_missing_total",
                "Ends that workers forgot before the pool's leader processed them.",
                fields["count"],
            )

    def record_status_write(
        self, status: record.PoolStatus, change: rows.Change
    ) -> None:
        """Count an attempt to write the status; log it unless it was successful."""
        is_conflict = change.reason == "conflict"
        self._instruments.count(
            "status_writes_total",
            "Attempts to write the status of led pools, by outcome.",
            outcome=change.reason if is_conflict else change.outcome.value,
        )
        if change.outcome is not table.Outcome.DONE:
            self.log_event(
                "status not written",
                outcome=change.outcome.value,
                reason=change.reason,
                waiting=sum(status.waiting.values()),
            )

    def set_usage(self, usages: Iterable[quota.Usage]) -> None:
        """Set the gauges of the teams' usage, for a bounded number of teams."""
        for usage in list(usages)[:MAX_REPORTED_TEAMS]:
            for kind in ("running", "share", "waiting", "ceiling"):
                room = getattr(usage, kind)
                for resource, value in (("cpu", room.cpu), ("memory", room.memory)):
                    self._instruments.set(
                        "team_resources",
                        "Millicores and megabytes of a team in a led pool by kind.",
                        value,
                        team=usage.team,
                        pool=self._pool,
                        kind=kind,
                        resource=resource,
                    )

    def set_load(self, figures: load.PoolLoad) -> None:
        """Set the gauges of the pool's load."""
        for use, millicores in figures.list_uses().items():
            self._instruments.set(
                "pool_millicores",
                "Millicores of a led pool by use.",
                millicores,
                pool=self._pool,
                use=use,
            )
