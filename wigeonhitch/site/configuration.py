"""Follows the operator's rows: the configuration and the wave orders."""

import time
from collections.abc import Callable

from wigeonhitch import feed
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, http, rows, table
from wigeonhitch.telemetry import log, metric

__all__ = ["ConfigurationFollower"]

MAX_FEED_WAIT_SECONDS = 3.0
"""Maximum time that a feed call waits for changes."""

FEED_MARGIN_SECONDS = 0.4
"""Time beyond the wait after which a feed call counts as failed."""

READ_ALL_SECONDS = 0.1
"""Time that it takes to read all rows again."""

READ_TIMEOUT_SECONDS = 1.9
"""Timeout of reading all rows."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before a failed call is retried."""


class ConfigurationFollower:
    """Keeps the configuration in force; its version never decreases.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    on_change : callable
        Called after each new configuration.
    max_delay : float
        Seconds within which a new configuration has to be in force, also if the feed's
        connection went silent before it arrived.
    instruments : metric.Instruments, optional
        Receives the version in force, when it was last confirmed, and the calls.
    """

    def __init__(
        self,
        store: rows.RowStore,
        on_change: Callable[[], None],
        max_delay: float = 2.0,
        instruments: metric.Instruments | None = None,
    ) -> None:
        self._store = store
        self._wait = min(
            MAX_FEED_WAIT_SECONDS, max_delay - FEED_MARGIN_SECONDS - READ_ALL_SECONDS
        )
        self._on_change = on_change
        self._instruments = instruments or metric.Instruments()
        self._outages = log.OutageLogger("configuration feed")
        self._confirmed_at = 0.0
        """When the store's last answer on the operator's rows was received."""
        self.catalogue: model.Catalogue | None = None
        self.wave_orders: dict[int, entries.WaveOrder] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        timing = feed.FollowTiming(
            self._wait, self._wait + FEED_MARGIN_SECONDS, RETRY_DELAY_SECONDS
        )
        await feed.follow(
            self._store,
            entries.OPERATOR_TABLE,
            self._read_snapshot,
            self._apply_rows,
            timing,
            on_answer=self._record_answer,
        )

    async def _read_snapshot(self) -> int:
        snapshot = await self._store.read(
            entries.OPERATOR_TABLE, "", timeout=READ_TIMEOUT_SECONDS
        )
        self._record_answer(snapshot)
        if snapshot.outcome is not table.Outcome.DONE:
            return 0
        self._apply_rows(snapshot.rows)
        return snapshot.version

    def _record_answer(self, answer: rows.Feed | rows.Range) -> None:
        """Count a call, and log the first of several that fail."""
        is_done = answer.outcome is table.Outcome.DONE
        is_expired = isinstance(answer, rows.Feed) and answer.expired
        self._instruments.count(
            "configuration_calls_total",
            "Reads of the operator's rows by outcome.",
            outcome="history lost" if is_expired else answer.reason or "done",
        )
        now = http.read_clock()
        unconfirmed = round(now - self._confirmed_at, 3) if self._confirmed_at else 0.0
        self._outages.record(is_done, answer.reason, unconfirmed_seconds=unconfirmed)
        if is_expired:
            log.log_change(
                "configuration history lost", unconfirmed_seconds=unconfirmed
            )
        elif is_done:
            self._record_documents(answer, unconfirmed)
            self._confirmed_at = now
            self._instruments.set(
                "configuration_confirmed_timestamp_seconds",
                "Unix time of the last answer on the operator's rows.",
                time.time(),
            )

    def _record_documents(
        self, answer: rows.Feed | rows.Range, unconfirmed: float
    ) -> None:
        """Log what an answer holds that changes the operator's rows."""
        if not answer.rows:
            return
        log.log_change(
            "operator's rows received",
            rows=len(answer.rows),
            bytes=sum(len(row.value or b"") for row in answer.rows),
            call_seconds=round(answer.received - answer.sent, 3),
            unconfirmed_seconds=unconfirmed,
        )

    def _apply_rows(self, changed_rows: tuple[rows.Row, ...]) -> None:
        for row in changed_rows:
            self._apply_row(row)

    def _apply_row(self, row: rows.Row) -> None:
        if row.value is None:
            return
        if row.key == entries.CATALOGUE_KEY:
            self._apply_catalogue(row.value)
        elif row.key.startswith(entries.WAVE_PREFIX):
            order = entries.read_wave(row.key, row.value)
            if isinstance(order, entries.InvalidEntry):
                log.log_warning(
                    "invalid wave order ignored", key=row.key, reason=order.reason
                )
            else:
                self.wave_orders[order.number] = order

    def _apply_catalogue(self, value: bytes) -> None:
        catalogue = entries.read_catalogue(value)
        if isinstance(catalogue, entries.InvalidEntry):
            log.log_warning("invalid configuration ignored", reason=catalogue.reason)
            return
        if self.catalogue is not None and catalogue.version <= self.catalogue.version:
            return
        replaced = self.catalogue.version if self.catalogue is not None else 0
        self.catalogue = catalogue
        log.log_change(
            "configuration in force",
            version=catalogue.version,
            replaced=replaced,
            queues=len(catalogue.queues),
        )
        self._instruments.set(
            "configuration_version", "Version in force.", catalogue.version
        )
        self._on_change()
