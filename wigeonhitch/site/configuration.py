"""Follows the operator's rows: the configuration and the wave orders."""

from collections.abc import Callable

from wigeonhitch import feed
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, rows, table
from wigeonhitch.telemetry import log

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
    """

    def __init__(
        self,
        store: rows.RowStore,
        on_change: Callable[[], None],
        max_delay: float = 2.0,
    ) -> None:
        self._store = store
        self._wait = min(
            MAX_FEED_WAIT_SECONDS, max_delay - FEED_MARGIN_SECONDS - READ_ALL_SECONDS
        )
        self._on_change = on_change
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
        )

    async def _read_snapshot(self) -> int:
        snapshot = await self._store.read(
            entries.OPERATOR_TABLE, "", timeout=READ_TIMEOUT_SECONDS
        )
        if snapshot.outcome is not table.Outcome.DONE:
            return 0
        self._apply_rows(snapshot.rows)
        return snapshot.version

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
        self.catalogue = catalogue
        log.log_change(
            "configuration in force",
            version=catalogue.version,
            queues=len(catalogue.queues),
        )
        self._on_change()
