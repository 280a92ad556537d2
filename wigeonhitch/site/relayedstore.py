"""Sends store calls directly, or through peers while this daemon has lost the store.

A transaction is sent again within one attempt only after an answer that says that
nothing was done. One without an answer is ``UNKNOWN``, and its sender repeats it under
its own condition.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio

from wigeonhitch.leadership import record as leader_record
from wigeonhitch.platform import http, rows
from wigeonhitch.site import storepath
from wigeonhitch.telemetry import log, metric

__all__ = ["DirectStore", "RelayedStore"]

MIN_REMAINING_SECONDS = 0.02
"""Time left of an attempt below which no further call is made: a call usually takes
4 ms and has to pass two hops."""

CALLS_HELP = "Store calls through a peer."
PATH_HELP = "Whether this daemon's store calls go through a peer."


class DirectStore(rows.RowStore, Protocol):
    """The row store, with reads that can be ended early."""

    def abandon_reads(self) -> None:
        """End the reads and feed calls whose answers have not begun, as timed out."""
        ...


class RelayedStore:
    """Implements `rows.RowStore` over direct calls and peers, and `relay.Gate`.

    Parameters
    ----------
    name : str
        Name of this daemon, whose member row is read as a probe.
    path : storepath.StorePath
        Decides on the path of each call.
    direct : DirectStore
        The platform's store.
    open_peer : callable
        Returns the client of a peer's address.
    list_peers : callable
        Returns the known peers.
    instruments : metric.Instruments
        Counts the relayed calls.

    Attributes
    ----------
    on_relayed : list of callable
        Called when the path has become relayed.
    """

    def __init__(
        self,
        name: str,
        path: storepath.StorePath,
        direct: DirectStore,
        open_peer: Callable[[str], rows.RowStore],
        list_peers: Callable[[], list[storepath.Peer]],
        instruments: metric.Instruments,
    ) -> None:
        self.on_relayed: list[Callable[[], None]] = [direct.abandon_reads]
        self._name = name
        self._path = path
        self._direct = direct
        self._open_peer = open_peer
        self._list_peers = list_peers
        self._instruments = instruments
        self._clients: dict[str, rows.RowStore] = {}

    async def run(self) -> None:
        """Probe the path that isn't used, until cancelled.

        Both delays are at most as long as the interval between direct probes, so the
        first of these is sent in time when the path changes during a delay.
        """
        while True:
            now = http.read_clock()
            if self._path.is_relayed:
                await anyio.sleep(self._path.compute_probe_delay(now))
                await self._probe()
            else:
                await anyio.sleep(self._path.compute_indirect_probe_delay(now))
                await self._probe_indirectly()

    async def _probe(self) -> None:
        sent = http.read_clock()
        self._path.begin_probe(sent)
        timeout = storepath.PROBE_TIMEOUT_SECONDS
        table_name, name = leader_record.MEMBER_TABLE, self._name
        result = await self._direct.read(table_name, name, timeout=timeout)
        self._record_direct(rows.classify(result), result.reason, sent)

    async def _probe_indirectly(self) -> None:
        sent = http.read_clock()
        if self._path.is_relayed or self._path.compute_indirect_probe_delay(sent) > 0:
            return
        peers = self._list_peers()
        peer = self._path.begin_indirect_probe(peers, sent)
        if peer is None:
            return
        service = rows.Service.UNANSWERED
        timeout = storepath.INDIRECT_PROBE_TIMEOUT_SECONDS
        table_name, name = leader_record.MEMBER_TABLE, self._name
        with anyio.move_on_after(timeout):
            client = self._get_client(peer)
            result = await client.read(table_name, name, timeout=timeout)
            service = rows.classify(result)
        self._count("requester", service.value)
        now = http.read_clock()
        if service is rows.Service.SERVED:
            await self._read_own_row()
        if self._path.on_indirect_probe(peer.name, service, now):
            self._on_path_relayed("silent", peers, now)

    async def _read_own_row(self) -> None:
        """Read directly what a peer has read, in the same time.

        A transaction takes longer than a read: with a store that is slow for all, it
        may have no answer yet while reads are prompt on both paths.
        """
        sent = http.read_clock()
        timeout = storepath.INDIRECT_PROBE_TIMEOUT_SECONDS
        table_name, name = leader_record.MEMBER_TABLE, self._name
        with anyio.move_on_after(timeout):
            result = await self._direct.read(table_name, name, timeout=timeout)
            if rows.classify(result) is rows.Service.SERVED:
                self._record_direct(rows.Service.SERVED, "", sent)

    # -- calls of this daemon

    def on_answer(self, sent: float) -> None:
        """Record that the answer of a direct call begins."""
        self._path.on_answer(sent)

    async def commit(self, change: rows.Transaction, *, timeout: float) -> rows.Change:
        """Make one attempt; an ``UNKNOWN`` one may still be applied seconds later."""
        return await self._attempt(
            lambda store, left: store.commit(change, timeout=left),
            timeout,
            is_read=False,
        )

    async def read(
        self,
        table: str,
        part: str,
        *,
        first: str = "",
        last: str = "",
        limit: int = 0,
        timeout: float,
    ) -> rows.Range:
        """Read keys from ``first`` up to but excluding ``last``; all pages."""
        return await self._attempt(
            lambda store, left: store.read(
                table, part, first=first, last=last, limit=limit, timeout=left
            ),
            timeout,
        )

    async def follow(
        self, table: str, after: int, *, wait: float, timeout: float
    ) -> rows.Feed:
        """Wait up to ``wait`` seconds for changes after a version."""

        def call(store: rows.RowStore, left: float) -> Awaitable[rows.Feed]:
            wait_left = max(0.0, wait - (timeout - left))
            return store.follow(table, after, wait=wait_left, timeout=left)

        return await self._attempt(call, timeout, is_feed=True)

    async def list_parts(self, table: str, *, timeout: float) -> rows.Parts:
        """Return the parts of a table; all pages."""
        return await self._attempt(
            lambda store, left: store.list_parts(table, timeout=left), timeout
        )

    async def _attempt(
        self,
        call: Callable[[rows.RowStore, float], Awaitable[Any]],
        timeout: float,
        *,
        is_read: bool = True,
        is_feed: bool = False,
    ) -> Any:
        """Make one call, and again on another path as long as nothing was done."""
        started_at = http.read_clock()
        left, direct_result, result = timeout, None, None
        while True:
            peers = self._list_peers() if self._path.is_relayed else []
            peer = self._path.choose_peer(peers, http.read_clock())
            if peer is not None:
                result = await self._call_peer(peer, call, left)
            elif direct_result is None:
                result = direct_result = await self._call_direct(call, left, is_feed)
            else:
                return direct_result
            service = rows.classify(result)
            if service is rows.Service.SERVED:
                return _date_back(result, started_at)
            if service is rows.Service.UNANSWERED and not is_read:
                return result
            left = started_at + timeout - http.read_clock()
            if left < MIN_REMAINING_SECONDS:
                return direct_result or result

    async def _call_direct(
        self,
        call: Callable[[rows.RowStore, float], Awaitable[Any]],
        timeout: float,
        is_feed: bool,
    ) -> Any:
        sent = http.read_clock()
        # A feed call waits on purpose.
        number = None if is_feed else self._path.begin_direct_call(sent)
        try:
            result = await call(self._direct, timeout)
        finally:
            if number is not None:
                self._path.end_direct_call(number)
        self._record_direct(rows.classify(result), result.reason, sent)
        return result

    async def _call_peer(
        self,
        peer: storepath.Peer,
        call: Callable[[rows.RowStore, float], Awaitable[Any]],
        timeout: float,
    ) -> Any:
        sent = http.read_clock()
        result = await call(self._get_client(peer), timeout)
        service, now = rows.classify(result), http.read_clock()
        has_timed_out = (
            service is rows.Service.UNANSWERED
            and now - sent > timeout - MIN_REMAINING_SECONDS
        )
        if has_timed_out and timeout < storepath.MIN_PEER_TIMEOUT_SECONDS:
            self._path.on_short_call(peer.name)
        else:
            self._path.on_peer_call(peer.name, service, now)
        self._count("requester", service.value)
        return result

    def _get_client(self, peer: storepath.Peer) -> rows.RowStore:
        client = self._clients.get(peer.address)
        if client is None:
            client = self._clients[peer.address] = self._open_peer(peer.address)
        return client

    def _record_direct(self, service: rows.Service, reason: str, sent: float) -> None:
        now = http.read_clock()
        peers = [] if service is rows.Service.SERVED else self._list_peers()
        if not self._path.on_direct_call(service, sent, now, peers):
            return
        if self._path.is_relayed:
            self._on_path_relayed(reason, peers, now)
            return
        self._instruments.set("store_path_relayed", PATH_HELP, 0)
        log.log_change("store path changed", path="direct", reason="probe served")

    def _on_path_relayed(
        self, reason: str, peers: list[storepath.Peer], now: float
    ) -> None:
        self._instruments.set("store_path_relayed", PATH_HELP, 1)
        peer = self._path.find_peer(peers, now)
        log.log_change(
            "store path changed", path="relayed", reason=reason, peer=peer and peer.name
        )
        for notify in self.on_relayed:
            notify()

    # -- calls of peers

    def begin_relay(self) -> str:
        """Return why a call isn't relayed, or count it and return an empty text."""
        reason = self._path.begin_relay()
        if reason:
            self._count("peer", reason)
        return reason

    def end_relay(self, service: rows.Service, sent: float) -> None:
        """Record the end of a counted call that was sent to the store."""
        self._path.end_relay()
        self._count("peer", service.value)
        elapsed = http.read_clock() - sent
        is_short = elapsed < storepath.PROBE_TIMEOUT_SECONDS
        if service is rows.Service.UNANSWERED and is_short:
            # A slow store may answer later than the requester of a probe waits.
            return
        self._record_direct(service, "relayed call", sent)

    def cancel_relay(self) -> None:
        """Record the end of a counted call whose requester has gone."""
        self._path.end_relay()
        self._count("peer", "cancelled")

    def _count(self, side: str, outcome: str) -> None:
        self._instruments.count(
            "store_relayed_calls_total", CALLS_HELP, side=side, outcome=outcome
        )


def _date_back(result: Any, started_at: float) -> Any:
    """Return an answer as sent at the start of its attempt.

    A feed call that is sent again waits only for the rest of its time. Counted from
    the second call, the whole wait would end later than the store has answered, and
    the configuration would seem newer than it is known to be.
    """
    if isinstance(result, rows.Parts) or not result.sent:
        return result
    return result._replace(sent=min(result.sent, started_at))
