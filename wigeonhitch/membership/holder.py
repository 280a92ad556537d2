"""The task that acquires and renews duty leases; implements `lease.Leases`."""

from collections.abc import Callable, Mapping
from typing import Any

import anyio
import anyio.abc

from wigeonhitch.membership import duty, lease, view
from wigeonhitch.platform import client, table
from wigeonhitch.telemetry import log

__all__ = ["Holder"]

CALL_TIMEOUT_SECONDS = 2.0
"""Timeout in seconds of a commit or a read; two fit between renewals."""


class Holder:
    """Renews the daemon's row, takes over duties and releases them.

    Parameters
    ----------
    store : table.Table
        Table of the daemon and duty rows.
    daemon : str
        Name of the daemon, unique per start of its process.
    fields : callable
        Returns additional fields of the daemon's row (address, ``drain``, ``busy``
        and so on); called right before each renewal is sent.
    clock : callable
        Returns seconds on the clock that includes time in suspension.
    limits : duty.Limits
        Times of leases, renewals and reads.
    """

    def __init__(
        self,
        store: table.Table,
        daemon: str,
        *,
        fields: Callable[[], Mapping[str, Any]] = dict,
        clock: Callable[[], float] = client.read_clock,
        limits: duty.Limits = duty.DEFAULT_LIMITS,
    ) -> None:
        self._store = store
        self._fields = fields
        self._clock = clock
        self._duties = duty.Duties(daemon, limits)
        self._changed = anyio.Event()
        self._was_live = False

    @property
    def daemons(self) -> Mapping[str, Mapping[str, Any]]:
        """Last known rows of all daemons, by name."""
        return self._duties.daemons

    @property
    def live(self) -> Mapping[str, Mapping[str, Any]]:
        """Rows that had not expired when they were last read, by daemon name."""
        return self._duties.live

    @property
    def full_read_at(self) -> float:
        """When the last read of all rows was started.

        The time is on the clock that includes time in suspension.
        """
        return self._duties.full_read_at

    @property
    def is_live(self) -> bool:
        """Whether this daemon's row shows other daemons that it is alive."""
        return self._duties.is_live(self._clock())

    def current(self, name: str) -> lease.Lease | None:
        """Return the lease if it is held and has not lapsed, else None."""
        return self._duties.current(name, self._clock())

    def want(self, name: str) -> None:
        """Start to compete for a duty."""
        self._duties.want(name)
        self._changed.set()

    def unwant(self, name: str) -> None:
        """Stop competing for a duty and release it."""
        self._duties.unwant(name)
        self._changed.set()

    def renew_soon(self) -> None:
        """Write the daemon's row soon, since its additional fields have changed."""
        self._duties.renew_soon(self._clock())
        self._changed.set()

    async def leave(self, timeout: float) -> bool:
        """Release all duties and delete the daemon's row.

        Returns
        -------
        bool
            Whether this was done within ``timeout`` seconds. If not, other daemons
            take over when the lease expires.
        """
        self._duties.leave()
        self._changed.set()
        with anyio.move_on_after(timeout):
            while not self._duties.has_left:
                await anyio.sleep(0.02)
        return self._duties.has_left

    async def run(
        self, *, task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED
    ) -> None:
        """Acquire and renew duties until cancelled."""
        async with anyio.create_task_group() as tasks:
            task_status.started()
            while True:
                self._changed = anyio.Event()
                now = self._clock()
                for action in self._duties.step(now):
                    tasks.start_soon(self._execute, action, now)
                self._log_liveness()
                pause = max(0.0, self._duties.next_wake(now) - self._clock())
                with anyio.move_on_after(pause):
                    await self._changed.wait()

    async def _execute(
        self, action: duty.Commit | duty.FullRead | duty.HolderRead, sent: float
    ) -> None:
        if isinstance(action, duty.FullRead):
            await self._read_all(action, sent)
        elif isinstance(action, duty.HolderRead):
            await self._read_holders(action, sent)
        else:
            await self._commit(action, sent)
        self._changed.set()

    async def _read_all(self, action: duty.FullRead, sent: float) -> None:
        options = {
            "purpose": "duty",
            "since": action.since,
            "timeout": CALL_TIMEOUT_SECONDS,
        }
        daemons = await self._store.scan("daemon/", **options)
        duties = await self._store.scan("duty/", **options)
        self._duties.on_full_read(daemons, duties, sent)

    async def _read_holders(self, action: duty.HolderRead, sent: float) -> None:
        options = {"purpose": "duty", "timeout": CALL_TIMEOUT_SECONDS}
        # Without holders nothing is read, and the result has no rows.
        holders = table.ReadResult(table.Outcome.DONE)
        if action.holders:
            keys = [view.DAEMON_PREFIX + name for name in action.holders]
            holders = await self._store.read(keys, **options)
        duties = await self._store.scan(view.DUTY_PREFIX, since=action.since, **options)
        self._duties.on_holder_read(holders, duties, sent)

    async def _commit(self, action: duty.Commit, sent: float) -> None:
        (write,) = action.writes
        if action.purpose.verb is duty.Verb.RENEW:
            write = write._replace(value={**self._fields(), **(write.value or {})})
        result = await self._store.commit(
            action.conditions, [write], purpose="duty", timeout=CALL_TIMEOUT_SECONDS
        )
        self._duties.on_commit(action.purpose, result, sent, self._clock())

    def _log_liveness(self) -> None:
        is_live = self._duties.is_live(self._clock())
        if is_live != self._was_live:
            self._was_live = is_live
            state = "live" if is_live else "lapsed"
            log.log_warning("own daemon row", state=state)
