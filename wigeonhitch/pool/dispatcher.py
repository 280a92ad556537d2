"""Calls to the workers of one pool: orders and lease renewals."""

from collections.abc import Awaitable, Callable

import anyio

from wigeonhitch.platform import http, workers
from wigeonhitch.pool import core, dependencies, message, renewal, vm

__all__ = [
    "OUTAGE_LEASE_SECONDS",
    "START_DEADLINE_SECONDS",
    "WORKER_LEASE_SECONDS",
    "Dispatcher",
]

WORKER_LEASE_SECONDS = 3.8
"""Seconds for which a worker keeps its tasks without a renewal. It is longer than a
takeover (a lease of 2.2 s, a poll of 0.5 s, a hold of 0.6 s and the first calls),
so that work goes on when a leader dies. Tasks of a silent VM are restarted elsewhere
only after it."""

OUTAGE_LEASE_SECONDS = 6.5
"""Lease in seconds while the store doesn't answer this daemon. Outages last 3 to 9 s,
and a leader that can't renew its own lease soon can't renew those of its workers;
with the 2 s that its own lease still lasts, work survives 8.5 s. A longer lease
would delay recovery: a successor waits this long for VMs that it can't reach."""

STORE_OUTAGE_AFTER_SECONDS = 1.3
"""Seconds without a renewal of the leader's own lease after which workers get
`OUTAGE_LEASE_SECONDS`: two renewals have failed by then."""

HOLD_WAIT_SECONDS = 0.6
"""Seconds that a hold waits for a run to end, on a VM with tasks: six renewals per
lease, and load figures for pacing about twice a second."""

IDLE_WAIT_SECONDS = 1.2
"""Seconds that a hold waits on a VM without tasks: longer, as each call to a worker
has a cost."""

CALL_MARGIN_SECONDS = 0.5
"""Seconds beyond its wait after which a call counts as lost: a call takes a few
milliseconds, and up to 0.25 s if the daemon or the link is slow."""

START_TIMEOUT_SECONDS = 0.7
"""Seconds to wait for the answer to a start."""

START_DEADLINE_SECONDS = 1.2
"""Seconds after which a worker refuses a delayed start, so that the first answer
after this deadline tells whether an unanswered start took place."""

RETRY_DELAY_SECONDS = 0.1
"""Seconds before a failed call is retried."""


class Dispatcher:
    """Sends a leader's orders to workers and renews their leases.

    Parameters
    ----------
    pool : core.Pool
        Receives the answers.
    deps : dependencies.Dependencies
        The calls, and whether this daemon's own lease is valid.
    plan_paces : callable
        Returns the changes of pace to order after a VM's answer.
    wake : callable
        Called after each change of the pool's state.
    wait_until_committed : callable
        Returns an awaitable that ends once a VM's ends are durable, or when the VM's
        next renewal is due.
    """

    def __init__(
        self,
        pool: core.Pool,
        deps: dependencies.Dependencies,
        plan_paces: Callable[[vm.Vm], list[message.Pace]],
        wake: Callable[[], None],
        wait_until_committed: Callable[[vm.Vm], Awaitable[None]],
    ) -> None:
        self._pool = pool
        self._deps = deps
        self._plan_paces = plan_paces
        self._wake = wake
        self._wait_until_committed = wait_until_committed
        self._log_event = pool.log_event
        self._last_outage_lease = 0.0
        self.renewing: set[str] = set()
        """Workers whose leases a task is renewing.

        All incarnations of a worker share its id. With calls for two of them at a time,
        one for the earlier would acknowledge ends of the later.
        """

    def compute_max_granted_lease(self) -> float:
        """Return the longest lease that a worker may still have.

        An earlier leader that handed over a moment ago may have granted a longer one
        than this leader.
        """
        now = http.read_clock()
        granted_recently = now - self._last_outage_lease < OUTAGE_LEASE_SECONDS
        granted = OUTAGE_LEASE_SECONDS if granted_recently else WORKER_LEASE_SECONDS
        return max(granted, self._pool.compute_remaining_earlier_lease(now))

    def _may_order(self) -> bool:
        """Return whether an order may be sent now."""
        # A worker may have reported a newer leader since the order was planned.
        return self._deps.may_order() and not self._pool.deposed

    async def send_start(self, start: message.Start) -> None:
        """Send a start, unless this leader's lease has expired by now."""
        run = start.run
        machine = run.vm
        now = http.read_clock()
        if machine.runs.get(run.task) is not run:
            return
        if not self._may_order():
            reply = workers.OrderReply(workers.Verdict.NOT_DONE)
        else:
            run.deadline = machine.compute_deadline(now, START_DEADLINE_SECONDS)
            machine.record_lease_deadline(run.deadline)
            order = start.order._replace(deadline=run.deadline)
            entry = machine.entry
            reply = await self._deps.workers.start(
                entry.address, entry.id, order, timeout=START_TIMEOUT_SECONDS
            )
        if reply.verdict is workers.Verdict.UNKNOWN:
            machine.is_silent = True
        self._deps.instruments.count(
            "starts_total", "Starts by verdict.", verdict=reply.verdict.value
        )
        self._pool.on_start(run, reply, http.read_clock())
        if reply.verdict is not workers.Verdict.DONE:
            self._wake()

    async def send_stop(self, order: message.Stop) -> None:
        """Send a stop."""
        if order.vm.is_suspended or not self._may_order():
            return
        entry = order.vm.entry
        reply = await self._deps.workers.stop(
            entry.address,
            entry.id,
            order.task,
            order.number,
            self._pool.fence,
            timeout=START_TIMEOUT_SECONDS,
        )
        self._log_event(
            "stop ordered",
            job=order.task.job,
            task=order.task[1:],
            run=order.number,
            vm=entry.id,
            verdict=reply.verdict.value,
        )
        if reply.verdict is workers.Verdict.FENCED:
            self._pool.deposed = True
        self._pool.on_stop(order.vm, order.task, order.number, reply)

    async def send_pace(self, order: message.Pace) -> None:
        """Send a change of pace."""
        run = order.run
        if run.vm.is_suspended or not self._may_order():
            return
        entry = run.vm.entry
        reply = await self._deps.workers.pace(
            entry.address,
            entry.id,
            run.task,
            run.number,
            order.percent,
            self._pool.fence,
            timeout=START_TIMEOUT_SECONDS,
        )
        if reply.verdict is workers.Verdict.DONE:
            run.pace = order.percent
        elif reply.verdict is workers.Verdict.FENCED:
            self._pool.deposed = True

    async def renew_until_gone(self, worker: str) -> None:
        """Renew a worker's leases and apply its answers while a VM of it is known."""
        select = self._pool.roster.select_for_renewal
        try:
            while (machine := select(worker)) and not self._pool.deposed:
                if self._may_order():
                    await self._renew_once(machine)
                else:
                    await anyio.sleep(RETRY_DELAY_SECONDS / 2)
        finally:
            self.renewing.discard(worker)

    async def _renew_once(self, machine: vm.Vm) -> None:
        now = http.read_clock()
        silence = now - self._deps.get_last_renewal()
        lease = WORKER_LEASE_SECONDS
        if silence > STORE_OUTAGE_AFTER_SECONDS:
            lease = OUTAGE_LEASE_SECONDS
            self._last_outage_lease = now
        # A silent VM gets no new deadline: it may receive calls whose answers are
        # lost, and its leases would never certainly expire.
        deadline = None
        may_be_replaced = machine.is_silent or machine.is_contested
        if machine.knows_clock and not may_be_replaced:
            deadline = machine.compute_deadline(now, lease)
            machine.record_lease_deadline(deadline)
        wait = HOLD_WAIT_SECONDS if machine.runs else IDLE_WAIT_SECONDS
        if may_be_replaced or not machine.answered:
            wait = 0.0
        entry = machine.entry
        acknowledged = machine.compute_acknowledged_end(now)
        machine.called_at = now
        sent = renewal.Renewal(machine.id, acknowledged, deadline)
        self._pool.renewals.record(entry.id, sent)
        reply = await self._deps.workers.hold(
            entry.address,
            entry.id,
            self._pool.fence,
            deadline,
            acknowledged,
            wait=wait,
            timeout=wait + CALL_MARGIN_SECONDS,
        )
        machine.is_silent = reply.verdict is not workers.Verdict.DONE
        processed = machine.processed_end
        if acknowledged and reply.verdict is workers.Verdict.UNKNOWN:
            self._pool.on_renewal_lost(machine, now)
        self._pool.on_hold(machine, reply, http.read_clock())
        self._wake()
        if machine.is_silent:
            await anyio.sleep(RETRY_DELAY_SECONDS)
            return
        for order in self._plan_paces(machine):
            await self.send_pace(order)
        await self._wait_until_committed(machine)
        is_unacknowledged = acknowledged < machine.committed_end
        is_repeated = is_unacknowledged and machine.processed_end == processed
        if entry.start_ms and is_repeated:
            # A worker that lists ends which aren't acknowledged answers at once.
            await anyio.sleep(RETRY_DELAY_SECONDS)
