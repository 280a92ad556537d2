"""Decide which duties this daemon holds and takes over. No I/O, no clock.

A daemon proves that it lives by renewing its one row; a duty row names its
holder and changes only when the holder changes. Made for some ten daemons and
a hundred duties today, with pauses, deaths and lost answers at any time. The
harm it prevents: two daemons that both act on one duty, and a duty that nobody
carries. The cost per daemon is one small write every third of the lease, a
reading of each holder's row about once a lease, and one of all daemons' rows in
a time that grows with their number.
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
        Times.
    """

    def __init__(self, daemon: str, limits: Limits = DEFAULT_LIMITS) -> None:
        self._daemon = daemon
        self._limits = limits
        self._view = view.View()
        self._wanted: set[str] = set()
        self._held: dict[str, int] = {}
        self._handed: dict[str, str] = {}
        self._releasing: set[str] = set()
        self._vacant_since: dict[str, float] = {}
        self._inflight: set[Purpose] = set()
        self._not_before: dict[Purpose, float] = {}
        self._is_looking = False
        self._is_leaving = False
        self._next_look = float("-inf")
        self._next_whole = float("-inf")
        self._next_renewal = float("-inf")
        self._last_renewal = float("-inf")
        self._next_handover = float("-inf")
        self._lapse = float("-inf")
        self._live_since = float("inf")
        self._version = 0

    def want(self, duty: str) -> None:
        """Begin to compete for a duty."""
        self._wanted.add(duty)

    def unwant(self, duty: str) -> None:
        """Stop competing for a duty; the next `step` releases it."""
        self._wanted.discard(duty)
        self._held.pop(duty, None)

    def leave(self) -> None:
        """Release everything, then delete the own row."""
        self._is_leaving = True
        for duty in list(self._wanted):
            self.unwant(duty)

    def renew_soon(self, now: float) -> None:
        """Renew as soon as the shortest gap allows: the row has news."""
        soon = max(now, self._last_renewal + self._limits.min_renewal_interval)
        self._next_renewal = min(self._next_renewal, soon)

    def is_live(self, now: float) -> bool:
        """Whether the own row proves to others that this daemon lives."""
        return now < self._lapse

    @property
    def has_left(self) -> bool:
        """Whether the own row is deleted and nothing is under way."""
        return self._is_leaving and not self._version and not self._inflight

    @property
    def daemons(self) -> Mapping[str, Mapping[str, Any]]:
        """Rows of all daemons as seen last, by name."""
        return {name: row.value or {} for name, row in self._view.daemons.items()}

    @property
    def live(self) -> Mapping[str, Mapping[str, Any]]:
        """Rows of the daemons that had not expired when last seen."""
        rows = self._view.daemons
        return {name: rows[name].value or {} for name in self._view.list_live()}

    @property
    def full_read_at(self) -> float:
        """When all rows were asked for last; 0 before the first look."""
        return self._view.listed

    def current(self, duty: str, now: float) -> lease.Lease | None:
        """Return the lease if it is held and has not lapsed, else None."""
        fence = self._held.get(duty)
        if fence is None or not self.is_live(now):
            return None
        return lease.Lease(duty, fence, self._lapse)

    def on_full_read(
        self, daemons: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Take the result of a `FullRead` that `step` gave at ``sent``."""
        self._is_looking = False
        done = table.Outcome.DONE
        if daemons.outcome is not done or duties.outcome is not done:
            self._next_whole = sent
            return
        self._view.merge(daemons, duties, sent)
        self._note_holders(sent)

    def on_holder_read(
        self, holders: table.ReadResult, duties: table.ReadResult, sent: float
    ) -> None:
        """Take the result of a `HolderRead` that `step` gave at ``sent``."""
        self._is_looking = False
        done = table.Outcome.DONE
        if holders.outcome is not done or duties.outcome is not done:
            return
        self._view.merge_holders(holders, duties, sent)
        self._note_holders(sent)

    def _note_holders(self, sent: float) -> None:
        for duty in self._wanted:
            if self._view.get_holder(duty) != self._daemon:
                self._held.pop(duty, None)
                self._releasing.discard(duty)
            elif sent >= self._live_since and duty not in self._releasing:
                self._held[duty] = self._view.duties[duty].version

    def on_commit(
        self, purpose: Purpose, result: table.CommitResult, sent: float, now: float
    ) -> None:
        """Take the result of a `Commit` that `step` gave at ``sent``."""
        self._inflight.discard(purpose)
        is_done = result.outcome is table.Outcome.DONE
        if purpose.verb is Verb.RENEW:
            self._on_renewal(result, sent, now)
        elif not is_done:
            # The view is stale: look first, or each event would try again.
            self._not_before[purpose] = now + 2 * self._limits.min_renewal_interval
            self._next_look = min(
                self._next_look, now + self._limits.min_renewal_interval
            )
            if purpose.verb is Verb.FORGET:
                self._next_whole = self._next_look
        elif purpose.verb is Verb.TAKE:
            self._view.note_holder(purpose.name, self._daemon, result.revision)
            is_kept = purpose.name in self._wanted - self._releasing
            if is_kept and sent >= self._live_since:
                self._held[purpose.name] = result.revision
        elif purpose.verb is Verb.RELEASE:
            self._view.note_holder(purpose.name, "", result.revision)
            self._releasing.discard(purpose.name)
            self._vacant_since[purpose.name] = now + self._limits.lease
        else:
            self._view.daemons.pop(purpose.name, None)
        if purpose == Purpose(Verb.FORGET, self._daemon):
            self._version = result.conflicts[0].version if result.conflicts else 0

    def step(self, now: float) -> list[Commit | FullRead | HolderRead]:
        """Return the actions that are due."""
        if not self.is_live(now):
            # Somebody may have taken over; a look after a renewal tells.
            self._held.clear()
        actions: list[Commit | FullRead | HolderRead] = []
        if not self._is_looking and now >= self._next_look:
            actions.append(self._look(now))
        if not self._view.time:
            return actions
        waiting = self._not_before.items()
        self._not_before = {item: time for item, time in waiting if time > now}
        if self._is_leaving:
            return [*actions, *self._release(), *self._delete_own()]
        actions.extend(self._renew(now))
        if self.is_live(now):
            self._hand_over(now)
            actions.extend([*self._release(), *self._take(now), *self._forget()])
        return actions

    def wake(self, now: float) -> float:
        """Return when to call `step` again without an event; seconds."""
        times = [now + self._limits.min_renewal_interval]
        if not self._is_looking:
            times.append(self._next_look)
        if Purpose(Verb.RENEW) not in self._inflight and self._view.time:
            times.append(self._next_renewal)
        return max(now, min(times))

    def _look(self, now: float) -> FullRead | HolderRead:
        """Return the reading that is due.

        Made for hundreds of daemons, whose rows all change within a look. Only
        a holder's row decides a takeover, and one that was read holds until its
        end: the first look after that reads it again, so a lost holder is
        replaced as soon as in a small system. The list of all is needed for
        ranks, which only order the takers: one that is late costs
        `Limits.rank_delay` for each daemon on it that is gone.
        """
        self._is_looking = True
        third = self._limits.lease / 3
        self._next_look = now + third
        if now < self._next_whole:
            holders = self._view.list_doubtful(self._wanted, now) - {self._daemon}
            return HolderRead(self._view.duties_revision, tuple(sorted(holders)))
        # Less half a look, so that the look nearest to the period is taken and
        # not the next one, when it comes a moment early.
        period = max(
            third, self._limits.read_interval_per_daemon * len(self._view.daemons)
        )
        self._next_whole = now + period - third / 2
        return FullRead(self._view.revision)

    def _on_renewal(self, result: table.CommitResult, sent: float, now: float) -> None:
        if result.outcome is not table.Outcome.DONE:
            self._next_renewal = now + self._limits.min_renewal_interval
            for row in result.conflicts:
                # Only this daemon writes the row: an earlier renewal landed.
                self._version = row.version
            return
        if not self.is_live(now):
            # The renewal may have landed after a takeover.
            self._held.clear()
            self._live_since = now
            self._next_look = now
        self._version = result.revision
        self._lapse = sent + self._limits.lease - self._limits.margin

    def _renew(self, now: float) -> list[Commit]:
        if now < self._next_renewal:
            return []
        self._next_renewal = now + self._limits.lease / 3
        self._last_renewal = now
        time = self._view.estimate(now)
        own = table.Condition(view.DAEMON + self._daemon, self._version)
        value = {"beat": time, "expires": time + self._limits.lease}
        return self._commit(Purpose(Verb.RENEW), [own], value)

    def _take(self, now: float) -> list[Commit]:
        live = self._list_live()
        actions: list[Commit] = []
        for duty in sorted(self._wanted - self._held.keys()):
            conditions = self._view.find_vacancy(duty, self._daemon)
            if conditions is None:
                self._vacant_since.pop(duty, None)
                continue
            since = self._vacant_since.setdefault(duty, now)
            place = view.rank(duty, self._daemon, live)
            if now >= since + place * self._limits.rank_delay:
                value = {"holder": self._daemon}
                purpose = Purpose(Verb.TAKE, duty)
                actions.extend(self._commit(purpose, conditions, value))
        return actions

    def _hand_over(self, now: float) -> None:
        """Give one duty to the daemon that ranks first for it, if it is new.

        Without this, daemons that start late would stay without duties. One
        duty per lease, and once per duty and daemon, so that a daemon that
        does not want it cannot make it go to and fro.
        """
        if now < self._next_handover:
            return
        live = self._list_live()
        for duty in sorted(self._held):
            first = view.find_first(duty, live)
            if first != self._daemon and self._handed.get(duty) != first:
                self._handed[duty] = first
                self._next_handover = now + self._limits.lease
                self._releasing.add(duty)
                del self._held[duty]
                return

    def _list_live(self) -> set[str]:
        """Return the daemons seen live, and this one."""
        return {self._daemon, *self._view.list_live()}

    def _release(self) -> list[Commit]:
        actions: list[Commit] = []
        for duty, row in self._view.duties.items():
            is_ending = duty in self._releasing or duty not in self._wanted
            if self._view.get_holder(duty) != self._daemon or not is_ending:
                continue
            # A release may land late: nothing ends it but another version.
            self._releasing.add(duty)
            own = table.Condition(row.key, row.version)
            purpose = Purpose(Verb.RELEASE, duty)
            actions.extend(self._commit(purpose, [own], {"holder": ""}))
        return actions

    def _forget(self) -> list[Commit]:
        """Delete one row that expired long ago, where this daemon ranks first."""
        live = self._list_live()
        if len(live) * 2 < len(self._view.daemons):
            # The silent majority may go on serving without the table.
            return []
        for name, row in self._view.daemons.items():
            is_old = self._view.get_age(name) > self._limits.row_retention
            if is_old and view.rank(name, self._daemon, live) == 0:
                old = table.Condition(row.key, row.version)
                return self._commit(Purpose(Verb.FORGET, name), [old], None)
        return []

    def _delete_own(self) -> list[Commit]:
        if self._inflight or not self._version:
            return []
        own = table.Condition(view.DAEMON + self._daemon, self._version)
        return self._commit(Purpose(Verb.FORGET, self._daemon), [own], None)

    def _commit(
        self,
        purpose: Purpose,
        conditions: list[table.Condition],
        value: Mapping[str, Any] | None,
    ) -> list[Commit]:
        """Return the commit of ``value`` to the first condition's row."""
        if purpose in self._inflight or purpose in self._not_before:
            return []
        self._inflight.add(purpose)
        write = table.Write(conditions[0].key, value)
        return [Commit(purpose, tuple(conditions), (write,))]
