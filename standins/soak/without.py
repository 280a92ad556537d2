"""A site's daemon with one mechanism off: ``python -m standins.soak.without NAME``.

A soak that can't fail proves nothing. Each entry of `MECHANISMS` takes one
mechanism out of the daemon; some seed of the soak must then break a promise.
"""

import sys
from collections.abc import Callable
from typing import Any

from wigeonhitch.leadership import core as leadership
from wigeonhitch.leadership import record, term
from wigeonhitch.platform import entries
from wigeonhitch.pool import core, ledger, vm
from wigeonhitch.site import acceptance, main, message

__all__ = ["MECHANISMS", "run"]


def note_uncommitted_ends() -> None:
    """Tell workers that an end is noted before it is durable."""
    vm.Vm.committed_end = property(
        lambda self: self.processed_end, lambda self, number: None
    )


def skip_lapses() -> None:
    """Start the tasks of silent workers again without waiting."""
    vm.Vm.is_lapsed = lambda self, now, grace: True


def skip_takeover_wait() -> None:
    """Lead at once, without waiting for the workers of an earlier leader."""
    core.Pool.on_roster = lambda self, *given: None


def ignore_leaving() -> None:
    """Use workers that say that they leave like any other."""
    original = entries.read_worker

    def read_worker(key: str, value: bytes) -> Any:
        entry = original(key, value)
        if isinstance(entry, entries.InvalidEntry):
            return entry
        return entry._replace(leaving=False)

    entries.read_worker = read_worker


def refuse_lost_submissions() -> None:
    """Say of a job whose write had no answer that it never runs."""
    original = acceptance.Acceptance.accept

    async def accept(self: Any, *given: Any) -> message.Answer:
        answer = await original(self, *given)
        if answer.verdict is message.Verdict.UNKNOWN:
            return answer._replace(verdict=message.Verdict.NOT_RUN, retry_after=1)
        return answer

    acceptance.Acceptance.accept = accept


def stand_still_at_gone_rows() -> None:
    """Expect rows that a lost answer hid the removal of, for ever."""
    ledger.Ledger._drop_removed_rows = lambda self, dropped: None
    ledger.rows.list_missing = lambda conditions, conflicts: ()


def keep_what_was_led() -> None:
    """After a lapse of the lease go on leading what was led."""
    leadership.Leadership.on_lapsed = lambda self, version: None


def claim_by_owner_alone() -> None:
    """Claim a pool also beside a lease that was renewed meanwhile."""

    def build_claim_conditions(self: Any, pool: str) -> tuple[Any, ...]:
        owner = self.owners.get(pool)
        return (record.expect_owner(pool, owner.version if owner else 0),)

    leadership.Leadership.build_claim_conditions = build_claim_conditions


def order_after_the_end() -> None:
    """Let a leadership that is over give orders while the daemon's lease lasts."""
    term.Term.end = lambda self: None


def accept_without_condition() -> None:
    """Accept a job whether or not a pool holds it."""
    original = acceptance._build_transaction

    def plan_rows(*given: Any) -> Any:
        return original(*given)._replace(conditions=())

    acceptance._build_transaction = plan_rows


MECHANISMS: dict[str, Callable[[], None]] = {
    one.__name__: one
    for one in (
        note_uncommitted_ends,
        skip_lapses,
        skip_takeover_wait,
        ignore_leaving,
        refuse_lost_submissions,
        stand_still_at_gone_rows,
        keep_what_was_led,
        claim_by_owner_alone,
        order_after_the_end,
        accept_without_condition,
    )
}


def run() -> None:
    """Take the named mechanism out and run the daemon."""
    MECHANISMS[sys.argv[1]]()
    main.run()


if __name__ == "__main__":
    run()
