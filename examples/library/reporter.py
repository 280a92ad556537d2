"""Stand-alone program that embeds two coordination parts of wigeonhitch.

Several copies of a reporter run. The one that holds the duty ``reports``
dispatches reports. Each report is claimed first, so that it is sent at most once
even if a copy dies or is paused. The program uses no daemon, only
`wigeonhitch.membership.holder` (duty leases with fencing) and
`wigeonhitch.idempotency.store` (claims), on any `table.Table` and
`table.ObjectStore`. Run it as ``python examples/library/reporter.py``.
"""

import enum
import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import anyio

from standins import fake
from wigeonhitch.idempotency import decision, record, store
from wigeonhitch.membership import duty, holder, lease
from wigeonhitch.platform import table

__all__ = ["Outlet", "Reporter", "Sent", "demonstrate", "main"]

DUTY = "reports"
PROGRESS = "reports/progress"

# Shorter than the defaults of `duty.Limits`, which real programs keep, so that
# the example ends soon.
LIMITS = duty.Limits(lease=0.6, margin=0.1, rank_delay=0.02, min_renewal_interval=0.02)
CLAIM_TIMEOUT_SECONDS = 2.0
TICK_SECONDS = 0.01
DUTY_TIMEOUT_SECONDS = 10.0

NAMES = ("gas-17", "moisture-17", "gas-18")


class Outlet(Protocol):
    """Destination of reports, supplied by the program."""

    async def send(self, name: str) -> bytes | None:
        """Send a report and return its receipt; None if the outcome is unknown."""
        ...


class Sent(enum.Enum):
    """Result of one report in this round."""

    NOW = "sent"
    BEFORE = "was sent before"
    UNKNOWN = "may have been sent; nobody sends it again"
    NOT_SENT = "not sent; a later round may send it"


class Reporter:
    """Dispatches reports while it holds the duty.

    Parameters
    ----------
    leases : lease.Leases
        Duty leases of this process.
    claims : store.Claims
        Claims of this process; their task must be running.
    rows : table.Table
        Table that progress is written to.
    outlet : Outlet
        Destination of the reports.
    """

    def __init__(
        self,
        leases: lease.Leases,
        claims: store.Claims,
        rows: table.Table,
        outlet: Outlet,
    ) -> None:
        self._leases = leases
        self._claims = claims
        self._rows = rows
        self._outlet = outlet

    async def dispatch(self, names: Sequence[str]) -> dict[str, Sent] | None:
        """Dispatch reports that were not sent yet; None without the duty."""
        if self._leases.current(DUTY) is None:
            return None
        results = {name: await self._dispatch_one(name) for name in names}
        await self._claims.flush(CLAIM_TIMEOUT_SECONDS)
        return results

    async def _dispatch_one(self, name: str) -> Sent:
        fingerprint = record.compute_fingerprint("SEND", name, b"")
        acquired = await self._claims.acquire(
            DUTY, name, fingerprint, timeout=CLAIM_TIMEOUT_SECONDS
        )
        if acquired.kind is decision.Kind.REPLAYED:
            return Sent.BEFORE
        if acquired.claim is None:
            is_retriable = (
                acquired.caller_verdict is not None
                and acquired.caller_verdict.is_retriable
            )
            return Sent.NOT_SENT if is_retriable else Sent.UNKNOWN
        # Checked right before the irreversible step: the process may have been
        # paused since the claim.
        if self._leases.current(DUTY) is None or not self._claims.may_send(
            acquired.claim
        ):
            await self._claims.release(acquired.claim)
            return Sent.NOT_SENT
        receipt = await self._outlet.send(name)
        if receipt is None:
            await self._claims.doubt(acquired.claim)
            return Sent.UNKNOWN
        await self._claims.complete(acquired.claim, record.KeptAnswer(200, (), receipt))
        return Sent.NOW

    async def write_progress(
        self, held_lease: lease.Lease, count: int
    ) -> table.CommitResult:
        """Write progress, fenced by a lease.

        The write of a replaced holder fails at the lease's ``condition``, however
        long the holder was paused.
        """
        return await self._rows.commit(
            [held_lease.condition],
            [table.Write(PROGRESS, {"count": count})],
            purpose=DUTY,
        )


class Printer:
    """Outlet that prints reports and records those it sent."""

    def __init__(self) -> None:
        self.sent: list[str] = []

    async def send(self, name: str) -> bytes | None:
        """Print the report's name."""
        self.sent.append(name)
        print(f"report {name} goes out")
        return b"received"


class Demonstration(NamedTuple):
    """Results of the demonstration."""

    first: dict[str, Sent] | None
    second: dict[str, Sent] | None
    late_write: table.CommitResult
    sent: tuple[str, ...]


async def demonstrate() -> Demonstration:
    """Run one copy, cut it off and let another copy replace it."""
    platform = fake.Fake(suspends=True)
    outlet = Printer()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_run_clock, platform)
        first_copy, first_leases = await _start(tasks, platform, "copy-1", outlet)
        held_lease = await _wait_for_duty(first_leases)
        first = await first_copy.dispatch(NAMES[:2])
        platform.switch(cut=["copy-1"])
        second_copy, second_leases = await _start(tasks, platform, "copy-2", outlet)
        await _wait_for_duty(second_leases)
        second = await second_copy.dispatch(NAMES)
        platform.switch(cut=[])
        late_write = await first_copy.write_progress(held_lease, 99)
        tasks.cancel_scope.cancel()
    return Demonstration(first, second, late_write, tuple(outlet.sent))


async def _start(
    tasks: anyio.abc.TaskGroup, platform: fake.Fake, name: str, outlet: Outlet
) -> tuple[Reporter, holder.Holder]:
    rows = platform.build_client(name)

    def clock() -> float:
        return platform.now

    leases = holder.Holder(rows, name, clock=clock, limits=LIMITS)
    claims = store.Claims(rows, rows, name, rng=random.Random(1), clock=clock)
    leases.want(DUTY)
    await tasks.start(leases.run)
    await tasks.start(claims.run)
    return Reporter(leases, claims, rows, outlet), leases


async def _run_clock(platform: fake.Fake) -> None:
    while True:
        await anyio.sleep(TICK_SECONDS)
        platform.advance(TICK_SECONDS)


async def _wait_for_duty(leases: lease.Leases) -> lease.Lease:
    with anyio.fail_after(DUTY_TIMEOUT_SECONDS):
        while (held_lease := leases.current(DUTY)) is None:
            await anyio.sleep(TICK_SECONDS)
    return held_lease


def main() -> Demonstration:
    """Run the demonstration and print its results."""
    demonstration = anyio.run(demonstrate)
    for title, results in (
        ("copy-1", demonstration.first),
        ("copy-2", demonstration.second),
    ):
        for name, result in (results or {}).items():
            print(f"{title}: {name} {result.value}")
    print(f"late write of copy-1: {demonstration.late_write.outcome.value}")
    return demonstration


if __name__ == "__main__":
    main()
