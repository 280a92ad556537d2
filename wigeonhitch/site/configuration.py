"""Follows the operator's rows: the configuration and the wave orders."""

import enum
import math
import time
from collections.abc import Callable

from wigeonhitch import feed
from wigeonhitch.jobs import model
from wigeonhitch.platform import entries, http, rows, table
from wigeonhitch.telemetry import log, metric

__all__ = ["ConfigurationFollower", "Currency"]

MAX_FEED_WAIT_SECONDS = 3.0
"""Maximum time that a feed call waits for changes."""

MIN_FEED_WAIT_SECONDS = 0.25
"""Minimum time that a feed call waits, however long documents take."""

FEED_MARGIN_SECONDS = 0.4
"""Time beyond the wait after which a feed call without an answer counts as lost: a slow
store takes 0.25 s."""

RETRY_DELAY_SECONDS = 0.1
"""Delay before a failed call is retried."""

READ_TIMEOUT_SECONDS = 0.8
"""Timeout of reading all rows, until the answer begins."""

TRANSFER_SECONDS = 0.8
"""Time that a document of 1,600 routes, 450 KB in an answer, takes on a link of 5
Mbit/s, with some other traffic beside it."""

TRANSFER_MARGIN_RATIO = 1.2
"""Time that is left for the next document, as a multiple of that of the last one."""

FAILING_SECONDS = 1.0
"""Time since the last call without an answer for which the store counts as failing; a
call that fails takes at most 0.9 s with the delay before it."""

MAX_CLOCK_DRIFT = 0.02
"""Maximum difference between the rates of the store's clock and of this daemon's."""


class Currency(enum.Enum):
    """How current the configuration in force is known to be."""

    CONFIRMED = "confirmed"
    UNCONFIRMED_KEYS = "unconfirmed keys"
    """Only keys may have been revoked for longer than allowed."""
    EXPIRED = "expired"
    """It may have been replaced for longer than allowed."""


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
    max_outage : float
        Seconds by which ``max_delay`` is extended while the store fails.
    max_key_age : float
        Seconds after which a revoked key has to be refused, whether the store fails or
        not; infinite for no such limit.
    instruments : metric.Instruments, optional
        Receives the version in force, when it was last confirmed, and the calls.
    """

    def __init__(
        self,
        store: rows.RowStore,
        on_change: Callable[[], None],
        max_delay: float = 2.0,
        max_outage: float = 5.0,
        instruments: metric.Instruments | None = None,
        max_key_age: float = math.inf,
    ) -> None:
        self._store = store
        self._max_key_age = max_key_age * (1 - MAX_CLOCK_DRIFT)
        self._max_delay = max_delay
        self._max_outage = max_outage
        self._on_change = on_change
        self._instruments = instruments or metric.Instruments()
        self._outages = log.OutageLogger("configuration feed")
        self._confirmed_at = 0.0
        """Earliest time at which the store can have formed its last answer on the
        operator's rows; older versions than that answer's have been replaced since."""
        self._confirmed_store_time = 0.0
        """The store's clock in that answer."""
        self._transfer_seconds = 0.0
        """Longest time that the transfer of the last document can have taken."""
        self._wait = 0.0
        """Time that the store waits for changes before it answers the current call."""
        self._last_unanswered_at = 0.0
        """When the last call ended to which the store gave no answer."""
        self.catalogue: model.Catalogue | None = None
        self.wave_orders: dict[int, entries.WaveOrder] = {}

    def compute_age(self, now: float) -> float:
        """Return for how long the configuration may have been replaced, in seconds."""
        return now - self._confirmed_at

    def get_currency(self) -> Currency:
        """Return how current the configuration in force is known to be.

        It may be older than allowed if it was confirmed too long ago. While the store
        fails, changes can hardly be accepted either, and refusing all requests would
        only add to the outage; so the limit is longer. An answer that is being received
        is no failure: it holds a newer version. The limit for keys is never extended,
        as the store may fail for this daemon only.
        """
        now = http.read_clock()
        age = self.compute_age(now)
        is_failing = now - self._last_unanswered_at <= FAILING_SECONDS
        limit = self._max_delay + (self._max_outage if is_failing else 0.0)
        if age > limit:
            return Currency.EXPIRED
        if age > self._max_key_age:
            return Currency.UNCONFIRMED_KEYS
        return Currency.CONFIRMED

    def is_usable(self) -> bool:
        """Return whether any request may be handled by the configuration in force."""
        return self.get_currency() is not Currency.EXPIRED

    async def run(self) -> None:
        """Follow until cancelled."""
        timing = feed.FollowTiming(
            MAX_FEED_WAIT_SECONDS, FEED_MARGIN_SECONDS, RETRY_DELAY_SECONDS
        )
        await feed.follow(
            self._store,
            entries.OPERATOR_TABLE,
            self._read_snapshot,
            self._apply_rows,
            timing,
            on_answer=self._record_answer,
            get_wait=self._choose_wait,
        )

    def _choose_wait(self) -> float:
        """Return how long the next feed call may wait, in seconds.

        If it is lost, the time that is left until a change has to be in force must
        suffice to notice that and to transfer the document. While the last
        confirmation is older than a call should take, as after a long transfer, the
        store is asked to answer at once.
        """
        transfer = max(TRANSFER_SECONDS, TRANSFER_MARGIN_RATIO * self._transfer_seconds)
        spare = self._max_delay - FEED_MARGIN_SECONDS - RETRY_DELAY_SECONDS - transfer
        wait = min(MAX_FEED_WAIT_SECONDS, max(MIN_FEED_WAIT_SECONDS, spare))
        is_late = self.compute_age(http.read_clock()) > wait + FEED_MARGIN_SECONDS
        self._wait = 0.0 if is_late else wait
        return self._wait

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
        age = round(self.compute_age(http.read_clock()), 3) if self._confirmed_at else 0
        self._outages.record(is_done, answer.reason, unconfirmed_seconds=age)
        if not is_done:
            self._wait = 0.0  # the call after a lost one doesn't wait
        if not is_done and answer.reason != http.TIMEOUT_IN_TRANSFER:
            self._last_unanswered_at = http.read_clock()
        if is_expired:
            log.log_change("configuration history lost", unconfirmed_seconds=age)
        elif is_done:
            self._record_confirmation(answer)
            self._record_documents(answer, age)

    def _record_confirmation(self, answer: rows.Feed | rows.Range) -> None:
        """Record that the store has answered with all changes so far."""
        earliest = answer.sent
        if isinstance(answer, rows.Feed) and not answer.rows:
            earliest += self._wait  # the store waited for changes as long as that
        if self._confirmed_store_time:
            passed = answer.store_time - self._confirmed_store_time
            by_store = self._confirmed_at + passed * (1 - MAX_CLOCK_DRIFT)
            earliest = max(earliest, by_store)
        self._confirmed_at = min(earliest, answer.received)
        self._confirmed_store_time = answer.store_time
        if any(row.key == entries.CATALOGUE_KEY for row in answer.rows):
            self._transfer_seconds = answer.received - self._confirmed_at
        self._instruments.set(
            "configuration_confirmed_timestamp_seconds",
            "Unix time of the last answer on the operator's rows.",
            time.time(),
        )

    def _record_documents(self, answer: rows.Feed | rows.Range, age: float) -> None:
        """Log what an answer holds that changes the operator's rows."""
        if not answer.rows:
            return
        log.log_change(
            "operator's rows received",
            rows=len(answer.rows),
            bytes=sum(len(row.value or b"") for row in answer.rows),
            call_seconds=round(answer.received - answer.sent, 3),
            transfer_seconds=round(self._transfer_seconds, 3),
            unconfirmed_seconds=age,
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
