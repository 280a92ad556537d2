"""Rows of a pool for its leader: read at the takeover, then followed."""

import time
from collections.abc import Callable

import anyio

from wigeonhitch import feed
from wigeonhitch.jobs import record
from wigeonhitch.leadership import core as leadership
from wigeonhitch.maintenance import record as maintenance
from wigeonhitch.platform import http, rows, table
from wigeonhitch.pool import compaction, core, vm
from wigeonhitch.pool import record as pool_record
from wigeonhitch.telemetry import log

__all__ = ["Source"]

FEED_WAIT_SECONDS = 1.0
"""Seconds that a call to the feed waits for changes; a dead connection is detected
after it."""

READ_TIMEOUT_SECONDS = 1.5
"""Time limit in seconds for reading a range of rows."""

FEED_MARGIN_SECONDS = 0.5
"""Seconds beyond `FEED_WAIT_SECONDS` after which a call to the feed counts as lost."""

RETRY_DELAY_SECONDS = 0.1
"""Seconds before a failed call is retried."""

MAX_PARALLEL_READS = http.MAX_CONNECTIONS_PER_ADDRESS - 2
"""Parts of a pool that are read at a time; the other connections are left to renewals
of the lease."""

MIN_PARALLEL_READS = 4
"""The same while the store doesn't answer in time."""


class Source:
    """Reads and follows the rows of one pool.

    Parameters
    ----------
    pool : core.Pool
        Receives the rows.
    store : rows.RowStore
        The platform's store.
    wake : callable
        Called after new rows.

    Attributes
    ----------
    status_version : int
        Version of the row of the pool's status at the takeover, 0 if there was none.
    """

    def __init__(
        self, pool: core.Pool, store: rows.RowStore, wake: Callable[[], None]
    ) -> None:
        self._pool = pool
        self._store = store
        self._wake = wake
        self.status_version = 0
        self._log_event = pool.log_event
        self._job_table = pool_record.get_job_table(pool.name)
        self._reads = anyio.CapacityLimiter(MAX_PARALLEL_READS)
        self._unreadable: set[str] = set()
        """Jobs whose rows can't be read; their progress rows are left alone."""
        self._job_parts = frozenset(pool_record.list_job_parts())

    def take_closings(self, closed: list[maintenance.Closing], version: int) -> None:
        """Set the workers that are closed or have ended.

        Parameters
        ----------
        closed : list of record.Closing
            All of them; other workers are open.
        version : int
            The store's version at which the list was known.
        """
        self._pool.set_closed(
            frozenset(closing.worker for closing in closed),
            {
                closing.worker: (
                    vm.VmEnd.ORDERED if closing.is_ordered else vm.VmEnd.LOST
                )
                for closing in closed
                if closing.ended
            },
            version,
        )
        self._wake()

    async def load(self) -> int:
        """Read the pool's rows; return the version from which to follow the jobs."""
        part = self._pool.name
        async with anyio.create_task_group() as group:
            group.start_soon(self._load_status)
            version = await self._load_jobs()
        progress = await self._read_all(pool_record.PROGRESS_TABLE, part)
        for row in progress.rows:
            if row.key in self._unreadable:
                continue
            self._pool.on_progress(row.key, row.value or b"{}", row.version)
        roster = await self._read_all(pool_record.ROSTER_TABLE, part)
        now = http.read_clock()
        for row in roster.rows:
            address, start_ms = pool_record.read_roster(row.value or b"")
            self._pool.on_roster(row.key, address, row.version, now, start_ms=start_ms)
        closings = await self._read_all(maintenance.CLOSING_TABLE, leadership.FLEET)
        self.take_closings(
            [maintenance.read_closing(r.key, r.value or b"") for r in closings.rows],
            closings.version,
        )
        self._log_event("pool loaded", jobs=len(self._pool.jobs), vms=len(roster.rows))
        return version

    async def _load_status(self) -> None:
        """Read the former leader's status: its version, and the lag of teams."""
        status = await self._read_all(pool_record.STATUS_TABLE, self._pool.name)
        value = None
        for row in status.rows:
            if row.key == pool_record.STATUS_TABLE:
                value, self.status_version = row.value, row.version
        lag, is_readable = pool_record.read_lag(value, time.time())
        if not is_readable:
            self._log_event("lag of teams not readable", teams=len(lag))
        self._pool.fair_queue.restore_lag(lag)

    async def _load_jobs(self) -> int:
        """Read all parts of the jobs, many in parallel; return the oldest version."""
        versions: list[int] = []

        async def load(part: str) -> None:
            part_rows = await self._read_all(self._job_table, part)
            versions.append(part_rows.version)
            for row in part_rows.rows:
                self._take_job(row)

        async with anyio.create_task_group() as group:
            for part in self._job_parts:
                group.start_soon(load, part)
        return min(versions)

    async def _read_all(self, table_name: str, part: str) -> rows.Range:
        """Read a part until that succeeds, with fewer others at a time after failures.

        A store that can't answer all reads in time would answer none: they time out
        together and are all repeated.
        """
        while True:
            async with self._reads:
                read_range = await self._store.read(
                    table_name, part, timeout=READ_TIMEOUT_SECONDS
                )
            limit = self._reads.total_tokens
            if read_range.outcome is table.Outcome.DONE:
                self._reads.total_tokens = min(MAX_PARALLEL_READS, limit + 1)
                return read_range
            self._reads.total_tokens = max(MIN_PARALLEL_READS, limit // 2)
            self._log_event(
                "rows could not be read", table=table_name, reason=read_range.reason
            )
            await anyio.sleep(RETRY_DELAY_SECONDS)

    def _take_job(self, row: rows.Row) -> None:
        if row.value is None or row.part not in self._job_parts:
            return
        try:
            job_record = record.read_job(row.key, row.value)
        except (ValueError, KeyError, TypeError) as error:
            log.log_warning("job row not readable", job=row.key, reason=str(error))
            self._unreadable.add(row.key)
            return
        if job_record.pool != self._pool.name:
            return  # the table also holds jobs of other pools
        if row.key not in self._pool.jobs and job_record.job is not None:
            self._log_event("job taken over", job=row.key, version=row.version)
        location = compaction.RowLocation(row.table, row.part)
        self._pool.on_job(row.key, job_record, row.version, location)

    async def follow(self, after: int) -> None:
        """Follow the jobs after a version, until cancelled."""
        timing = feed.FollowTiming(
            FEED_WAIT_SECONDS, FEED_MARGIN_SECONDS, RETRY_DELAY_SECONDS
        )
        await feed.follow(
            self._store,
            self._job_table,
            self._read_again,
            self._apply_job_rows,
            timing,
            after=after,
        )

    async def _read_again(self) -> int:
        """Read all jobs, as the feed no longer has the latest changes."""
        self._log_event("job feed expired; rows read again")
        version = await self._load_jobs()
        self._wake()
        return version

    def _apply_job_rows(self, changed: tuple[rows.Row, ...]) -> None:
        for row in changed:
            self._take_job(row)
        if changed:
            self._wake()
