"""Daemon of a site with one mechanism disabled.

``python -m standins.soak.without NAME`` shows that the soak can fail: each entry of
`MECHANISMS` disables one mechanism of the daemon, and some seed of the soak must
then find a violation.
"""

import sys
from collections.abc import Callable
from typing import Any

from wigeonhitch.leadership import core as leadership
from wigeonhitch.leadership import record, term
from wigeonhitch.platform import entries, field, rows, table
from wigeonhitch.pool import core, ledger, publication, quota, suspect, vm
from wigeonhitch.site import acceptance, main, message, withdrawal

__all__ = ["MECHANISMS", "run"]


def note_uncommitted_ends() -> None:
    """Acknowledge ends to workers before they are committed."""
    vm.Vm.committed_end = property(
        lambda self: self.processed_end, lambda self, number: None
    )


def skip_lapses() -> None:
    """Restart the tasks of silent workers before their lease has expired."""
    vm.Vm.is_lapsed = lambda self, now, grace: True


def skip_takeover_wait() -> None:
    """Lead immediately, without waiting for the workers of an earlier leader."""
    core.Pool.on_roster = lambda self, *arguments: None


def ignore_leaving() -> None:
    """Use workers that have announced to leave like any other."""
    original = entries.read_worker

    def read_worker(key: str, value: bytes) -> Any:
        entry = original(key, value)
        if isinstance(entry, entries.InvalidEntry):
            return entry
        return entry._replace(leaving=False)

    entries.read_worker = read_worker


def refuse_lost_submissions() -> None:
    """Answer "not run" for a job whose write had an unknown outcome."""
    original = acceptance.Acceptance.accept

    async def accept(self: Any, *arguments: Any) -> message.Answer:
        answer = await original(self, *arguments)
        if answer.verdict is message.Verdict.UNKNOWN:
            return answer._replace(verdict=message.Verdict.NOT_RUN, retry_after=1)
        return answer

    acceptance.Acceptance.accept = accept


def stand_still_at_gone_rows() -> None:
    """Keep expecting rows whose removal was hidden by a lost answer."""
    ledger.Ledger._drop_removed_rows = lambda self, dropped: None
    ledger.rows.list_missing = lambda conditions, conflicts: ()


def keep_what_was_led() -> None:
    """Continue to lead pools after the lease has lapsed."""
    leadership.Leadership.on_lapsed = lambda self, version: None


def claim_by_owner_alone() -> None:
    """Claim a pool even if its owner's lease was renewed meanwhile."""

    def build_claim_conditions(self: Any, pool: str) -> tuple[Any, ...]:
        owner = self.owners.get(pool)
        return (record.expect_owner(pool, owner.version if owner else 0),)

    leadership.Leadership.build_claim_conditions = build_claim_conditions


def order_after_the_end() -> None:
    """Allow orders of an ended leadership while the daemon's lease is valid."""
    term.Term.end = lambda self: None


def accept_without_condition() -> None:
    """Accept a job regardless of whether a pool holds it."""
    original = acceptance._build_transaction

    def build_transaction(*arguments: Any) -> Any:
        return original(*arguments)._replace(conditions=())

    acceptance._build_transaction = build_transaction


def replace_any_status() -> None:
    """Write the status of a pool on whatever version of its row."""
    original = publication.Publication.build_transaction

    def build_transaction(self: Any, *arguments: Any) -> Any:
        transaction = original(self, *arguments)
        if transaction is None:
            return None
        return transaction._replace(conditions=transaction.conditions[:1])

    publication.Publication.build_transaction = build_transaction


def withdraw_nothing() -> None:
    """Tell callers from a read that there is no job."""

    async def withdraw(self: Any, *arguments: Any) -> rows.Change:
        return rows.Change(table.Outcome.DONE)

    withdrawal.Withdrawals.withdraw = withdraw


def keep_crashing_tasks() -> None:
    """Never give up a task that crashes its VMs."""
    suspect.MAX_TEST_CRASHES = suspect.MAX_CRASHES = sys.maxsize


def ignore_ceilings() -> None:
    """Start tasks regardless of their team's ceiling."""
    quota.Quotas.admits = lambda self, team, room: True


def ignore_starts() -> None:
    """Take all incarnations of a worker that have one id for the same one."""
    field.read_start = lambda fields: 0


MECHANISMS: dict[str, Callable[[], None]] = {
    mechanism.__name__: mechanism
    for mechanism in (
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
        replace_any_status,
        withdraw_nothing,
        keep_crashing_tasks,
        ignore_ceilings,
        ignore_starts,
    )
}


def run() -> None:
    """Disable the named mechanism and run the daemon."""
    MECHANISMS[sys.argv[1]]()
    main.run()


if __name__ == "__main__":
    run()
