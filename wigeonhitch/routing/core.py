"""The object that a daemon drives: events in, actions out.

One `Core` takes the events of one daemon, gives them to its requests
(`pending`), to the pools that it asks for slots (`asking`) and to those whose
slots it counts (`counting`), and passes on what they say to each other and to
other daemons. It does no input or output and reads no clock.
"""

import collections
import random
from collections.abc import Iterable

from wigeonhitch import verdict
from wigeonhitch.routing import (
    action,
    asking,
    counting,
    event,
    link,
    peer,
    pending,
    rendezvous,
    slot,
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
        Who counts the slots.

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
        self._numbers = 0
        self._now = 0.0
        rng = random.Random(f"{own}/{seed}")
        self._asking = asking.Asking(self, rng, policy)
        self._asking.set_members([own], 0.0)
        self._counting = counting.Counting(rng)
        self._counting.set_members([own], 0.0)
        self._pending = pending.Pending(self._asking, self.number, rng)
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
            event.SendRightLapsed: self._lapse,
            event.SendRightRestored: self._restore,
        }

    def handle(self, what: event.Event, now: float) -> list[action.Action]:
        """Take an event and return what to do, in order.

        Parameters
        ----------
        what : event.Event
        now : float
            Seconds; never less than in an earlier call.
        """
        due = self.next_timer()
        late = max(0.0, now - due) if due is not None else 0.0
        self._now = now
        if due is not None and due <= now:
            self._run_timers(late)
        handler = self._handlers.get(type(what))
        if handler is not None:
            handler(what)
        return self._settle()

    def next_timer(self) -> float | None:
        """Return when to call `handle` with a `event.Tick` at the latest."""
        times = [
            self._pending.next_time(),
            self._asking.next_time(),
            self._counting.next_time(),
        ]
        return min((time for time in times if time is not None), default=None)

    @property
    def revision(self) -> int:
        """The highest fleet revision applied: no send starts to what it drains."""
        return self._revision

    @property
    def is_idle(self) -> bool:
        """Whether no request waits and no attempt is in flight."""
        return self._pending.is_idle

    def find_request(self, pool: str, ask: int) -> int | None:
        """Return the request that an ask of this daemon is for."""
        return self._asking.find_request(pool, ask)

    def in_flight(self, vm: str) -> int:
        """Return how many attempts to a worker have not ended."""
        return self._pending.in_flight(vm)

    def count_waiting(self) -> dict[str, int]:
        """Return the number of waiting requests of each pool in use."""
        return self._asking.count_waiting()

    def keep_connections(self, vm: str) -> int:
        """Return how many idle connections to a worker may be kept open.

        Over all daemons they are at most the worker's connections less its
        slots, so that one can always be opened for a granted slot.
        """
        worker = self._workers.get(vm)
        if worker is None:
            return 0
        spare = max(0, worker.connections - worker.slots)
        return rendezvous.compute_connection_limit(vm, self._own, self._members, spare)

    # What borrowers need (`borrower.Port`).

    def number(self) -> int:
        """Return a number that is unique in this daemon."""
        self._numbers += 1
        return self._numbers

    def tell(self, daemon: str, message: peer.Message) -> None:
        """Send a message to a daemon; to itself within the same event."""
        if daemon == self._own:
            self._inbox.append(message)
        else:
            self._outbox.setdefault(daemon, []).append(message)

    def limit(self, vms: Iterable[str]) -> dict[str, int]:
        """Return how many connections this daemon may use by its own counts.

        With more daemons than connections each daemon has a stable subset of
        the workers; one of them at least, since no request may be stranded.
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

    def start(self, number: int, hold: int, vm: str) -> None:
        """Send a waiting request to a worker."""
        self._pending.start(number, hold, vm, self._now)

    def refuse(self, number: int, reason: verdict.Reason, retry: float) -> None:
        """Give the final answer to a request that no longer waits."""
        self._pending.refuse(number, reason, retry)

    # Requests.

    def _admit(self, arrival: event.Arrived) -> None:
        self._pending.admit(arrival, self._now)

    def _cancel(self, what: event.Cancelled) -> None:
        self._pending.cancel(what.request, self._now)

    def _end_attempt(self, end: event.AttemptEnded) -> None:
        self._pending.end_attempt(end, self._now)

    # Peers.

    def _receive(self, what: event.Received) -> None:
        for message in what.messages:
            self._dispatch(what.daemon, message)

    def _dispatch(self, daemon: str, message: peer.Message) -> None:
        """Give a message to the owner's or the asking side of its pool."""
        self._asking.note_message(message.pool)
        if isinstance(
            message, peer.Grant | peer.Deny | peer.Welcome | peer.Pulse | peer.Leave
        ):
            self._asking.receive(daemon, message, self._now)
            return
        self._tell_all(self._counting.receive(daemon, message, self._now))

    def _tell_all(self, messages: slot.Messages) -> None:
        for daemon, message in messages:
            self.tell(daemon, message)

    # State of the fleet and of this daemon.

    def _change_view(self, what: event.ViewChanged) -> None:
        if what.revision < self._revision:
            return
        self._revision = what.revision
        self._workers = {
            worker.vm: worker for each in what.pools.values() for worker in each
        }
        self._asking.set_view(what.pools)
        self._tell_all(self._counting.set_view(what.pools, self._now))

    def _change_members(self, what: event.MembersChanged) -> None:
        self._members = sorted(what.members | {self._own})
        self._asking.set_members(self._members, self._now)
        self._tell_all(self._counting.set_members(self._members, self._now))

    def _change_urgencies(self, what: event.UrgenciesChanged) -> None:
        self._pending.set_urgencies(what.urgencies)

    def _change_teams(self, what: event.TeamsChanged) -> None:
        self._asking.set_weights(what.weights)
        self._counting.set_weights(what.weights)

    def _stop(self, what: event.Stopping) -> None:
        """Begin a planned stop: pass on what is counted here, finish the rest."""
        self._pending.stop()
        self._tell_all(self._counting.stop())

    def _lapse(self, what: event.SendRightLapsed) -> None:
        self._pending.lapse(self._now)

    def _restore(self, what: event.SendRightRestored) -> None:
        self._pending.restore()

    # Time.

    def _run_timers(self, late: float) -> None:
        self._pending.wake(self._now)
        self._asking.wake(self._now, late)
        self._tell_all(self._counting.wake(self._now))

    def _settle(self) -> list[action.Action]:
        """Deliver messages to itself, renew timers, return what to do."""
        while self._inbox:
            self._dispatch(self._own, self._inbox.popleft())
        self._asking.renew(self._now)
        actions = self._pending.take_actions()
        for daemon, messages in self._outbox.items():
            actions.append(action.SendMessages(daemon, tuple(messages)))
        self._outbox = {}
        return actions
