"""Follows the operator's rows: the configuration and orders of waves."""

from collections.abc import Callable

from wigeonhitch import feed
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, rows, table
from wigeonhitch.telemetry import log

__all__ = ["Follower"]

WAIT_MOST = 3.0
"""Seconds that a feed waits at most."""

SLACK = 0.4
"""Seconds beyond the wait after which the call counts as lost."""

READING = 0.1
"""Seconds that it takes to read the rows anew."""

TIMEOUT = 1.9
"""Seconds for reading all rows."""

RETRY = 0.1
"""Seconds between tries of a call that failed."""


class Follower:
    """Knows the configuration in force; a version never goes back.

    Parameters
    ----------
    store : rows.RowStore
        The platform's store.
    on_change : callable
        Called after each new configuration.
    bound : float
        Seconds within which a configuration has to be in force, also where the feed's
        connection went silent before it came.
    """

    def __init__(
        self, store: rows.RowStore, on_change: Callable[[], None], bound: float = 2.0
    ) -> None:
        self._store = store
        self._wait = min(WAIT_MOST, bound - SLACK - READING)
        self._on_change = on_change
        self.catalogue: model.Catalogue | None = None
        self.waves: dict[int, entries.WaveOrder] = {}

    async def run(self) -> None:
        """Follow until cancelled."""
        times = feed.FollowTiming(self._wait, self._wait + SLACK, RETRY)
        await feed.follow(
            self._store, entries.OPERATOR_TABLE, self._read_all, self._take_all, times
        )

    async def _read_all(self) -> int:
        read = await self._store.read(entries.OPERATOR_TABLE, "", timeout=TIMEOUT)
        if read.outcome is not table.Outcome.DONE:
            return 0
        self._take_all(read.rows)
        return read.version

    def _take_all(self, found: tuple[rows.Row, ...]) -> None:
        for row in found:
            self._take(row)

    def _take(self, row: rows.Row) -> None:
        if row.value is None:
            return
        if row.key == entries.CATALOGUE_KEY:
            self._take_catalogue(row.value)
        elif row.key.startswith(entries.WAVE_PREFIX):
            wave = entries.read_wave(row.key, row.value)
            if isinstance(wave, entries.Bad):
                log.log_problem("wave left out", key=row.key, reason=wave.reason)
            else:
                self.waves[wave.number] = wave

    def _take_catalogue(self, value: bytes) -> None:
        read = entries.read_catalogue(value)
        if isinstance(read, entries.Bad):
            log.log_problem("configuration left out", reason=read.reason)
            return
        if self.catalogue is not None and read.version <= self.catalogue.version:
            return
        self.catalogue = read
        log.log_change(
            "configuration in force", version=read.version, queues=len(read.queues)
        )
        self._on_change()
