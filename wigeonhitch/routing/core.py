"""Entry point of routing that a daemon drives: events in, actions out.

One `Core` passes the events of one daemon to its requests (`pending`), to the
clients of the pools that it requests slots of (`pool_clients`) and to the owners
of the pools whose slots it assigns (`pool_owners`), and delivers the messages
between them and other daemons. It does no I/O and reads no clock.
"""

import collections
import random
from collections.abc import Iterable

from wigeonhitch import verdict
from wigeonhitch.routing import (
    action,
    event,
    link,
    peer,
    pending,
    pool_clients,
    pool_owner,
    pool_owners,
    rendezvous,
)

__all__ = ["Core"]


class Core:
    """Routing in one daemon.

    Parameters
    ----------
    own : str
        Id of this daemon, as in `event.MembersChanged`.
    seed : int
        Seed of all random draws; daemons should differ.
    policy : link.Policy
        How slots are counted.

    Examples
    --------
    >>> core = Core("a", seed=1, policy=link.Policy.LOCAL_COUNTS)
    >>> view = {"lookup": (event.Worker("vm1"),)}
    >>> core.handle(event.ViewChanged(1, view), 0.0)
    []
    >>> arrival = event.Arrived(7, "orders", "lookup", "urgent", "clerks", 2.0, True)
    >>> [send] = core.handle(arrival, 0.0)
    >>> send.vm
    'vm1'
    >>> end = event.AttemptEnded(7, send.attempt, verdict.ran(), 0.05)
    >>> [answer] = core.handle(end, 0.05)
    >>> answer.verdict.ran
    <Ran.YES: 'ran'>
    """

    def __init__(
        self,
        own: str,
        seed: int = 0,
        policy: link.Policy = link.Policy.OWNER,
    ) -> None:
        self._own = own
        self._revision = 0
        self._workers: dict[str, event.Worker] = {}
        self._members: list[str] = [own]
        self._last_number = 0
        self._now = 0.0
        rng = random.Random(f"{own}/{seed}")
        self._clients = pool_clients.PoolClients(self, rng, policy)
        self._clients.set_members([own], 0.0)
        self._owners = pool_owners.PoolOwners(rng)
        self._owners.set_members([own], 0.0)
        self._pending = pending.PendingRequests(
            self._clients, self.allocate_number, rng
        )
        self._inbox: collections.deque[peer.Message] = collections.deque()
        self._outbox: dict[str, list[peer.Message]] = {}
        self._handlers = {
            event.Arrived: self._admit,
            event.Cancelled: self._cancel,
            event.AttemptEnded: self._end_attempt,
            event.Received: self._receive,
            event.ViewChanged: self._change_view,
            event.MembersChanged: self._change_members,
            event.UrgenciesChanged: self._change_urgencies,
            event.TeamsChanged: self._change_teams,
            event.Stopping: self._stop,
            event.SendRightLapsed: self._suspend_sending,
            event.SendRightRestored: self._resume_sending,
        }

    def handle(self, new_event: event.Event, now: float) -> list[action.Action]:
        """Process an event and return the resulting actions, in order.

        Parameters
        ----------
        new_event : event.Event
        now : float
            Seconds; never less than in an earlier call.
        """
        due = self.next_timer()
        delay = max(0.0, now - due) if due is not None else 0.0
        self._now = now
        if due is not None and due <= now:
            self._run_timers(delay)
        handler = self._handlers.get(type(new_event))
        if handler is not None:
            handler(new_event)
        return self._flush()

    def next_timer(self) -> float | None:
        """Return when to call `handle` with a `event.Tick` at the latest."""
        times = [
            self._pending.next_time(),
            self._clients.next_time(),
            self._owners.next_time(),
        ]
        return min((time for time in times if time is not None), default=None)

    @property
    def revision(self) -> int:
        """The highest fleet revision applied; VMs that it drains get no new sends."""
        return self._revision

    @property
    def is_idle(self) -> bool:
        """Whether no request waits and no attempt is in flight."""
        return self._pending.is_idle

    def find_request(self, pool: str, ask: int) -> int | None:
        """Return the request that a slot request of this daemon is for."""
        return self._clients.find_request(pool, ask)

    def in_flight(self, vm: str) -> int:
        """Return how many attempts to a worker have not ended."""
        return self._pending.in_flight(vm)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each pool in use."""
        return self._clients.count_waiting()

    def compute_idle_limit(self, vm: str) -> int:
        """Return how many idle connections to a worker may be kept open.

        Over all daemons they are at most the worker's connections less its slots, so
        that a connection can always be opened for a granted slot.
        """
        worker = self._workers.get(vm)
        if worker is None:
            return 0
        spare = max(0, worker.connections - worker.slots)
        return rendezvous.compute_connection_limit(vm, self._own, self._members, spare)

    # The interface `driver.Driver`.

    def allocate_number(self) -> int:
        """Return a number that is unique in this daemon."""
        self._last_number += 1
        return self._last_number

    def send_message(self, daemon: str, message: peer.Message) -> None:
        """Send a message to a daemon; to itself within the same event."""
        if daemon == self._own:
            self._inbox.append(message)
        else:
            self._outbox.setdefault(daemon, []).append(message)

    def compute_connection_limits(self, vms: Iterable[str]) -> dict[str, int]:
        """Return how many connections this daemon may use by its local counts.

        With more daemons than connections, each daemon uses a stable subset of the
        workers, and at least one worker, so that every request can be sent.
        """
        limits = {
            vm: rendezvous.compute_connection_limit(
                vm, self._own, self._members, self._workers[vm].connections
            )
            for vm in vms
        }
        if limits and not any(limits.values()):
            limits[rendezvous.rank(self._own, limits)[0]] = 1
        return limits

    def start_attempt(self, request: int, slot_id: int, vm: str) -> None:
        """Send a waiting request to a worker."""
        self._pending.start(request, slot_id, vm, self._now)

    def refuse(self, request: int, reason: verdict.Reason, retry_after: float) -> None:
        """Give the final answer to a request that no longer waits."""
        self._pending.refuse(request, reason, retry_after)

    # Requests.

    def _admit(self, arrival: event.Arrived) -> None:
        self._pending.admit(arrival, self._now)

    def _cancel(self, cancelled: event.Cancelled) -> None:
        self._pending.cancel(cancelled.request, self._now)

    def _end_attempt(self, end: event.AttemptEnded) -> None:
        self._pending.end_attempt(end, self._now)

    # Peers.

    def _receive(self, received: event.Received) -> None:
        for message in received.messages:
            self._dispatch(received.daemon, message)

    def _dispatch(self, daemon: str, message: peer.Message) -> None:
        """Pass a message to the client or the owner of its pool."""
        self._clients.mark_changed(message.pool)
        if isinstance(
            message, peer.Grant | peer.Deny | peer.Welcome | peer.Pulse | peer.Leave
        ):
            self._clients.receive(daemon, message, self._now)
            return
        self._send_all(self._owners.receive(daemon, message, self._now))

    def _send_all(self, messages: pool_owner.Messages) -> None:
        for daemon, message in messages:
            self.send_message(daemon, message)

    # State of the fleet and of this daemon.

    def _change_view(self, view: event.ViewChanged) -> None:
        if view.revision < self._revision:
            return
        self._revision = view.revision
        self._workers = {
            worker.vm: worker for workers in view.pools.values() for worker in workers
        }
        self._clients.set_view(view.pools)
        self._send_all(self._owners.set_view(view.pools, self._now))

    def _change_members(self, change: event.MembersChanged) -> None:
        self._members = sorted(change.members | {self._own})
        self._clients.set_members(self._members, self._now)
        self._send_all(self._owners.set_members(self._members, self._now))

    def _change_urgencies(self, change: event.UrgenciesChanged) -> None:
        self._pending.set_urgencies(change.urgencies)

    def _change_teams(self, change: event.TeamsChanged) -> None:
        self._clients.set_weights(change.weights)
        self._owners.set_weights(change.weights)

    def _stop(self, stopping: event.Stopping) -> None:
        """Begin a planned stop: hand over the owned pools, finish accepted requests."""
        self._pending.stop()
        self._send_all(self._owners.stop())

    def _suspend_sending(self, lapsed: event.SendRightLapsed) -> None:
        self._pending.suspend_sending(self._now)

    def _resume_sending(self, restored: event.SendRightRestored) -> None:
        self._pending.resume_sending()

    # Time.

    def _run_timers(self, delay: float) -> None:
        self._pending.run_due(self._now)
        self._clients.run_due(self._now, delay)
        self._send_all(self._owners.run_due(self._now))

    def _flush(self) -> list[action.Action]:
        """Deliver messages to this daemon, update timers, return the actions."""
        while self._inbox:
            self._dispatch(self._own, self._inbox.popleft())
        self._clients.update_timers(self._now)
        actions = self._pending.take_actions()
        for daemon, messages in self._outbox.items():
            actions.append(action.SendMessages(daemon, tuple(messages)))
        self._outbox = {}
        return actions
