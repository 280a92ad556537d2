"""State machine of the duties that a daemon holds. No I/O, no clock.

A daemon shows that it is alive by renewing its own row. A duty row names the holder
and changes only when the holder changes. Two daemons must never act on the same
duty, and no duty may stay without a holder, although daemons pause or crash and
answers are lost at any time. It is sized for ten daemons and a hundred duties. Each
daemon makes one small write every third of the lease, reads each holder's row about
once per lease, and reads the rows of all daemons at an interval that grows with
their number.
"""

from collections.abc import Mapping
from typing import Any

from wigeonhitch.membership import action, lease, view
from wigeonhitch.platform import table

__all__ = ["Commit", "Duties", "HolderRead", "Limits", "FullRead", "Purpose", "Verb"]


Limits, DEFAULT_LIMITS = action.Limits, action.DEFAULT_LIMITS
Verb, Purpose = action.Verb, action.Purpose
Commit, FullRead, HolderRead = action.Commit, action.FullRead, action.HolderRead


class Duties:
    """The duties of one daemon.

    Parameters
    ----------
    daemon : str
        Name of the daemon, unique per start of its process.
    limits : Limits
        Times of leases, renewals and reads.
    """

    def __init__(self, daemon: str, limits: Limits = DEFAULT_LIMITS) -> None:
        self._daemon = daemon
        self._limits = limits
        self._view = view.View()
        self._wanted: set[str] = set()
        self._held: dict[str, int] = {}
        self._handed_over: dict[str, str] = {}
        self._releasing: set[str] = set()
        self._vacant_since: dict[str, float] = {}
        self._in_flight: set[Purpose] = set()
        self._not_before: dict[Purpose, float] = {}
        self._is_reading = False
        self._is_leaving = False
        self._next_read = float("-inf")
        self._next_full_read = float("-inf")
        self._next_renewal = float("-inf")
        self._last_renewal = float("-inf")
        self._next_handover = float("-inf")
        self._lapses_at = float("-inf")
        self._live_since = float("inf")
        self._row_version = 0

    def want(self, duty: str) -> None:
        """Start to compete for a duty."""
        self._wanted.add(duty)

    def unwant(self, duty: str) -> None:
        """Stop competing for a duty; the next `step` releases it."""
        self._wanted.discard(duty)
        self._held.pop(duty, None)

    def leave(self) -> None:
        """Release all duties, then delete the own daemon row."""
        self._is_leaving = True
        for duty in list(self._wanted):
            self.unwant(duty)

    def renew_soon(self, now: float) -> None:
        """Renew as soon as ``min_renewal_interval`` allows; the row has changed."""
        earliest = max(now, self._last_renewal + self._limits.min_renewal_interval)
        self._next_renewal = min(self._next_renewal, earliest)

    def is_live(self, now: float) -> bool:
        """Return whether the own row shows other daemons that this one is alive."""
        return now < self._lapses_at

    @property
    def has_left(self) -> bool:
        """Whether the own row is deleted and no commit is in flight."""
        return self._is_leaving and not self._row_version and not self._in_flight

    @property
    def daemons(self) -> Mapping[str, Mapping[str, Any]]:
        """Last known rows of all daemons, by name."""
        return {name: row.value or {} for name, row in self._view.daemons.items()}

    @property
    def live(self) -> Mapping[str, Mapping[str, Any]]:
        """Rows that had not expired when they were last read, by daemon name."""
        rows = self._view.daemons
        return {name: rows[name].value or {} for name in self._view.list_live()}

    @property
    def full_read_at(self) -> float:
        """When the last read of all rows was started; 0 before the first one."""
        return self._view.full_read_at

    def current(self, duty: str, now: float) -> lease.Lease | None:
        """Return the lease if it is held and has not lapsed, else None."""
        fence = self._held.get(duty)
        if fence is None or not self.is_live(now):
            return None
        return lease.Lease(duty, fence, self._lapses_at)

    def on_full_read(
        self, daemons: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Process the result of a `FullRead` that `step` returned at ``sent``."""
        self._is_reading = False
        done = table.Outcome.DONE
        if daemons.outcome is not done or duties.outcome is not done:
            self._next_full_read = sent
            return
        self._view.merge(daemons, duties, sent)
        self._update_held(sent)

    def on_holder_read(
        self, holders: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Process the result of a `HolderRead` that `step` returned at ``sent``."""
        self._is_reading = False
        done = table.Outcome.DONE
        if holders.outcome is not done or duties.outcome is not done:
            return
        self._view.merge_holders(holders, duties, sent)
        self._update_held(sent)

    def _update_held(self, sent: float) -> None:
        for duty in self._wanted:
            if self._view.get_holder(duty) != self._daemon:
                self._held.pop(duty, None)
                self._releasing.discard(duty)
            elif sent >= self._live_since and duty not in self._releasing:
                self._held[duty] = self._view.duties[duty].version

    def on_commit(
        self, purpose: Purpose, result: table.CommitResult, sent: float, now: float
    ) -> None:
        """Process the result of a `Commit` that `step` returned at ``sent``."""
        self._in_flight.discard(purpose)
        is_done = result.outcome is table.Outcome.DONE
        if purpose.verb is Verb.RENEW:
            self._on_renewal(result, sent, now)
        elif not is_done:
            # The view is stale: read first, or every event would repeat the commit.
            self._not_before[purpose] = now + 2 * self._limits.min_renewal_interval
            self._next_read = min(
                self._next_read, now + self._limits.min_renewal_interval
            )
            if purpose.verb is Verb.DELETE:
                self._next_full_read = self._next_read
        elif purpose.verb is Verb.TAKE_OVER:
            self._view.set_holder(purpose.name, self._daemon, result.revision)
            is_kept = purpose.name in self._wanted - self._releasing
            if is_kept and sent >= self._live_since:
                self._held[purpose.name] = result.revision
        elif purpose.verb is Verb.RELEASE:
            self._view.set_holder(purpose.name, "", result.revision)
            self._releasing.discard(purpose.name)
            self._vacant_since[purpose.name] = now + self._limits.lease
        else:
            self._view.daemons.pop(purpose.name, None)
        if purpose == Purpose(Verb.DELETE, self._daemon):
            self._row_version = result.conflicts[0].version if result.conflicts else 0

    def step(self, now: float) -> list[Commit | FullRead | HolderRead]:
        """Return the actions that are due."""
        if not self.is_live(now):
            # Duties may have been taken over; a read after a renewal shows it.
            self._held.clear()
        actions: list[Commit | FullRead | HolderRead] = []
        if not self._is_reading and now >= self._next_read:
            actions.append(self._plan_read(now))
        if not self._view.time:
            return actions
        waiting = self._not_before.items()
        self._not_before = {item: time for item, time in waiting if time > now}
        if self._is_leaving:
            return [*actions, *self._release(), *self._delete_own_row()]
        actions.extend(self._renew_row(now))
        if self.is_live(now):
            self._hand_over(now)
            actions.extend(
                [*self._release(), *self._take_over(now), *self._delete_expired()]
            )
        return actions

    def next_wake(self, now: float) -> float:
        """Return when to call `step` again if no event arrives before; seconds."""
        times = [now + self._limits.min_renewal_interval]
        if not self._is_reading:
            times.append(self._next_read)
        if Purpose(Verb.RENEW) not in self._in_flight and self._view.time:
            times.append(self._next_renewal)
        return max(now, min(times))

    def _plan_read(self, now: float) -> FullRead | HolderRead:
        """Return the read that is due.

        With hundreds of daemons all rows change between two reads, so reading all of
        them each time would cost too much. Only the holder's row decides a takeover,
        and a row that was read is valid until it expires. The first read after that
        fetches it again, so a lost holder is replaced as soon as in a small system.
        The rows of all daemons are needed only for the ranks that order takeovers; an
        outdated list costs `Limits.rank_delay` for each daemon in it that is gone.
        """
        self._is_reading = True
        read_interval = self._limits.lease / 3
        self._next_read = now + read_interval
        if now < self._next_full_read:
            holders = self._view.list_possibly_expired(self._wanted, now) - {
                self._daemon
            }
            return HolderRead(self._view.duties_revision, tuple(sorted(holders)))
        # Half a read interval less, so that the read nearest to the end of the period
        # is a full one even if it comes slightly early.
        period = max(
            read_interval,
            self._limits.read_interval_per_daemon * len(self._view.daemons),
        )
        self._next_full_read = now + period - read_interval / 2
        return FullRead(self._view.revision)

    def _on_renewal(self, result: table.CommitResult, sent: float, now: float) -> None:
        if result.outcome is not table.Outcome.DONE:
            self._next_renewal = now + self._limits.min_renewal_interval
            for row in result.conflicts:
                # Only this daemon writes the row, so an earlier renewal was applied.
                self._row_version = row.version
            return
        if not self.is_live(now):
            # The renewal may have been applied after a takeover.
            self._held.clear()
            self._live_since = now
            self._next_read = now
        self._row_version = result.revision
        self._lapses_at = sent + self._limits.lease - self._limits.margin

    def _renew_row(self, now: float) -> list[Commit]:
        if now < self._next_renewal:
            return []
        self._next_renewal = now + self._limits.lease / 3
        self._last_renewal = now
        time = self._view.estimate(now)
        own = table.Condition(view.DAEMON_PREFIX + self._daemon, self._row_version)
        value = {"beat": time, "expires": time + self._limits.lease}
        return self._commit(Purpose(Verb.RENEW), [own], value)

    def _take_over(self, now: float) -> list[Commit]:
        live = self._list_live_daemons()
        actions: list[Commit] = []
        for duty in sorted(self._wanted - self._held.keys()):
            conditions = self._view.find_vacancy(duty, self._daemon)
            if conditions is None:
                self._vacant_since.pop(duty, None)
                continue
            vacant_since = self._vacant_since.setdefault(duty, now)
            own_rank = view.rank(duty, self._daemon, live)
            if now >= vacant_since + own_rank * self._limits.rank_delay:
                value = {"holder": self._daemon}
                purpose = Purpose(Verb.TAKE_OVER, duty)
                actions.extend(self._commit(purpose, conditions, value))
        return actions

    def _hand_over(self, now: float) -> None:
        """Release one duty for which another live daemon ranks first.

        Without this, daemons that start late would stay without duties. At most one
        duty is handed over per lease, and each duty once to the same daemon, so that
        a daemon that does not want it cannot make it alternate between holders.
        """
        if now < self._next_handover:
            return
        live = self._list_live_daemons()
        for duty in sorted(self._held):
            successor = view.find_top_ranked(duty, live)
            if successor != self._daemon and self._handed_over.get(duty) != successor:
                self._handed_over[duty] = successor
                self._next_handover = now + self._limits.lease
                self._releasing.add(duty)
                del self._held[duty]
                return

    def _list_live_daemons(self) -> set[str]:
        """Return the daemons last seen alive, this one included."""
        return {self._daemon, *self._view.list_live()}

    def _release(self) -> list[Commit]:
        actions: list[Commit] = []
        for duty, row in self._view.duties.items():
            is_ending = duty in self._releasing or duty not in self._wanted
            if self._view.get_holder(duty) != self._daemon or not is_ending:
                continue
            # A release may be applied late: only a new row version rules it out.
            self._releasing.add(duty)
            own = table.Condition(row.key, row.version)
            purpose = Purpose(Verb.RELEASE, duty)
            actions.extend(self._commit(purpose, [own], {"holder": ""}))
        return actions

    def _delete_expired(self) -> list[Commit]:
        """Delete one long-expired row for which this daemon ranks first."""
        live = self._list_live_daemons()
        if len(live) * 2 < len(self._view.daemons):
            # The silent majority may be cut off from the table and still serve.
            return []
        for name, row in self._view.daemons.items():
            is_old = self._view.get_age(name) > self._limits.row_retention
            if is_old and view.rank(name, self._daemon, live) == 0:
                expired = table.Condition(row.key, row.version)
                return self._commit(Purpose(Verb.DELETE, name), [expired], None)
        return []

    def _delete_own_row(self) -> list[Commit]:
        if self._in_flight or not self._row_version:
            return []
        own = table.Condition(view.DAEMON_PREFIX + self._daemon, self._row_version)
        return self._commit(Purpose(Verb.DELETE, self._daemon), [own], None)

    def _commit(
        self,
        purpose: Purpose,
        conditions: list[table.Condition],
        value: Mapping[str, Any] | None,
    ) -> list[Commit]:
        """Return the commit of ``value`` to the first condition's row."""
        if purpose in self._in_flight or purpose in self._not_before:
            return []
        self._in_flight.add(purpose)
        write = table.Write(conditions[0].key, value)
        return [Commit(purpose, tuple(conditions), (write,))]
