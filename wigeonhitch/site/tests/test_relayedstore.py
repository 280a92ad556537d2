"""Store calls through peers: what is sent again, and what never is."""

import contextlib

import anyio
import pytest

from standins import rowstore
from wigeonhitch.platform import http, rows, table
from wigeonhitch.site import relayedstore, storepath
from wigeonhitch.telemetry import metric

pytestmark = pytest.mark.anyio

DONE, NOT_DONE = table.Outcome.DONE, table.Outcome.NOT_DONE
UNKNOWN = table.Outcome.UNKNOWN


class Link:
    """A way to a store, direct or through a peer; ``fault`` answers in its place.

    With the fault `SILENT` calls wait for their timeout, reads until abandoned.
    """

    def __init__(self, store, fault=None):
        self.store = store
        self.fault = fault
        self.calls = []
        self._abandoned = anyio.Event()

    def abandon_reads(self):
        self._abandoned.set()

    async def commit(self, change, *, timeout):
        self.calls.append("commit")
        if self.fault is SILENT:
            await anyio.sleep(timeout)
        if self.fault is not None:
            return rows.Change(*self.fault)
        return await self.store.commit(change, timeout=timeout)

    async def read(self, table, part, *, timeout, **bounds):
        self.calls.append("read")
        if self.fault is SILENT:
            with anyio.move_on_after(timeout):
                await self._abandoned.wait()
        if self.fault is not None:
            outcome, _, _, reason = self.fault
            return rows.Range(outcome, reason=reason)
        return await self.store.read(table, part, timeout=timeout, **bounds)

    async def follow(self, table, after, *, wait, timeout):
        self.calls.append("follow")
        answer = rows.Feed(UNKNOWN, reason="timeout")
        with anyio.move_on_after(timeout):
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_if_abandoned, group.cancel_scope)
                answer = await self.store.follow(
                    table, after, wait=wait, timeout=timeout
                )
                group.cancel_scope.cancel()
        return answer

    async def _cancel_if_abandoned(self, scope):
        await self._abandoned.wait()
        scope.cancel()


DOWN = (NOT_DONE, 0, (), "down")
TIMEOUT = (UNKNOWN, 0, (), "timeout")
SILENT = (UNKNOWN, 0, (), "timeout after silence")
GATEWAY_TIMEOUT = (UNKNOWN, 0, (), "status 504")
STORE_LOST = (NOT_DONE, 0, (), "peer: store lost")


@pytest.fixture
def store():
    return rowstore.RowStore()


@pytest.fixture
def direct(store):
    return Link(store)


@pytest.fixture
def peers(store):
    return {"b:1": Link(store), "c:1": Link(store)}


@pytest.fixture
def path():
    return storepath.StorePath("a", "dc")


@pytest.fixture
def relayed_store(path, direct, peers):
    known = [storepath.Peer(address[0], address, "dc") for address in peers]
    return relayedstore.RelayedStore(
        "a", path, direct, peers.__getitem__, lambda: known, metric.Instruments()
    )


def write(version, value=b"1"):
    place = ("t", "p", "k")
    condition = rows.Condition(*place, version)
    return rows.Transaction((condition,), (rows.Write(*place, value),))


async def lose_store(relayed_store, direct, fault=DOWN):
    """Let direct calls fail until the path is relayed."""
    direct.fault = fault
    for _ in range(2):
        await relayed_store.read("t", "p", timeout=0.5)
        await anyio.sleep(0.001)


def find_first_peer(path, peers):
    known = [storepath.Peer(address[0], address, "dc") for address in peers]
    return path.find_peer(known, http.read_clock()).address


async def test_refused_transaction_is_committed_once_through_a_peer(
    relayed_store, direct, peers, store
):
    """Guards against a leader that fails its commit though a peer could send it."""
    direct.fault = DOWN
    first = await relayed_store.commit(write(0), timeout=0.5)
    await anyio.sleep(0.001)
    second = await relayed_store.commit(write(0), timeout=0.5)

    assert (first.outcome, second.outcome) == (NOT_DONE, DONE)
    assert (len(direct.calls), store.version) == (2, 1)
    assert sum(len(peer.calls) for peer in peers.values()) == 1


@pytest.mark.parametrize("fault", [TIMEOUT, GATEWAY_TIMEOUT])
async def test_transaction_without_an_answer_is_not_sent_twice(
    relayed_store, direct, peers, path, fault
):
    """Guards against a second attempt of a transaction that may be applied yet."""
    direct.fault = TIMEOUT
    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is UNKNOWN
    assert not any(peer.calls for peer in peers.values())
    await lose_store(relayed_store, direct)
    first = peers[find_first_peer(path, peers)]
    first.fault = fault
    for peer in peers.values():
        peer.calls.clear()

    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is UNKNOWN
    assert sum(len(peer.calls) for peer in peers.values()) == 1
    # Its sender repeats it, through the next peer.
    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is DONE


async def test_peer_without_a_store_is_passed_over_in_the_same_attempt(
    relayed_store, direct, peers, path
):
    """Guards against a daemon that stays with a peer that has lost the store too."""
    await lose_store(relayed_store, direct)
    peers[find_first_peer(path, peers)].fault = STORE_LOST

    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is DONE


async def test_without_a_usable_peer_the_result_is_that_of_the_direct_call(
    relayed_store, direct, peers
):
    """Guards against other reasons, or no direct calls, while the store is down."""
    for peer in peers.values():
        peer.fault = STORE_LOST
    await lose_store(relayed_store, direct)
    calls = len(direct.calls)

    results = [await relayed_store.commit(write(0), timeout=0.5) for _ in range(3)]

    assert [(item.outcome, item.reason) for item in results] == [(NOT_DONE, "down")] * 3
    assert len(direct.calls) == calls + 3
    direct.fault = None
    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is DONE


async def test_feed_under_way_is_moved_to_a_peer(relayed_store, direct, store):
    """Guards against a follower that waits on a dead path until its timeout."""
    answers = []

    async def follow():
        answers.append(await relayed_store.follow("t", 0, wait=5.0, timeout=6.0))

    with anyio.fail_after(3):
        async with anyio.create_task_group() as group:
            group.start_soon(follow)
            await anyio.sleep(0.01)
            direct.store = rowstore.RowStore()  # the lost one
            await lose_store(relayed_store, direct)
            await anyio.sleep(0.01)
            store.put("t", "p", "k", b"1")

    assert [row.value for row in answers[0].rows] == [b"1"]


async def test_answer_of_a_moved_feed_counts_from_the_start_of_its_attempt(
    relayed_store, direct, peers, monkeypatch
):
    """Guards against a configuration that seems newer than it is known to be.

    The second call waits only for the rest of the time, and the age of the
    configuration is counted from the sending of the call and its whole wait.
    """
    times = []

    async def answer(table, after, *, wait, timeout):
        times.append((http.read_clock(), wait))
        return rows.Feed(DONE, sent=http.read_clock(), received=http.read_clock())

    for peer in peers.values():
        monkeypatch.setattr(peer, "follow", answer)
    answers = []

    async def follow():
        answers.append(await relayed_store.follow("t", 0, wait=1.0, timeout=1.4))

    started_at = http.read_clock()
    async with anyio.create_task_group() as group:
        group.start_soon(follow)
        await anyio.sleep(0.1)
        direct.store = rowstore.RowStore()
        await lose_store(relayed_store, direct)

    ((sent, wait),) = times
    assert answers[0].sent + 1.0 <= sent + wait
    assert answers[0].sent >= started_at


async def test_one_of_two_writers_with_one_condition_succeeds(
    relayed_store, direct, store
):
    """Guards against a path that lets a leader write without its condition."""
    await lose_store(relayed_store, direct)
    results = {}

    async def commit(name, way):
        results[name] = await way.commit(write(0, name), timeout=0.5)

    async with anyio.create_task_group() as group:
        group.start_soon(commit, b"relayed", relayed_store)
        group.start_soon(commit, b"direct", store)

    assert sorted(item.reason for item in results.values()) == ["", "conflict"]
    winner = next(name for name, item in results.items() if not item.reason)
    assert store.get("t", "p", "k") == winner


async def test_late_duplicate_of_a_relayed_transaction_changes_nothing(
    relayed_store, direct, store
):
    """Guards against a frozen peer that sends a call again after its sender has."""
    await lose_store(relayed_store, direct)
    store.deferred_commits = 1
    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is UNKNOWN
    assert (await relayed_store.commit(write(0), timeout=0.5)).outcome is DONE
    version = store.version

    (late,) = store.apply_deferred()

    assert (late.reason, store.version) == ("conflict", version)


async def test_probe_returns_to_the_store_and_peers_are_served_again(
    relayed_store, direct, path
):
    """Guards against a daemon that stays with its peers, or refuses others for ever."""
    async with contextlib.AsyncExitStack() as stack:
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(relayed_store.run)
        await lose_store(relayed_store, direct)
        assert relayed_store.begin_relay() == "store lost"
        direct.fault = None
        with anyio.fail_after(2):
            while path.is_relayed:
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()

    assert relayed_store.begin_relay() == ""


async def test_silent_store_is_left_before_the_calls_time_out(
    relayed_store, direct, peers, path, store
):
    """Guards against callers that wait for timeouts, and a transaction sent twice."""
    direct.fault = SILENT
    results = {}

    async def commit():
        results["commit"] = await relayed_store.commit(write(0), timeout=1.0)

    async def read():
        started_at = http.read_clock()
        results["read"] = await relayed_store.read("t", "p", timeout=2.0)
        results["read seconds"] = http.read_clock() - started_at

    async with anyio.create_task_group() as runner:
        runner.start_soon(relayed_store.run)
        async with anyio.create_task_group() as group:
            group.start_soon(commit)
            group.start_soon(read)
        assert path.is_relayed
        runner.cancel_scope.cancel()

    assert results["read"].outcome is DONE
    assert 0.3 <= results["read seconds"] < 0.6
    assert results["commit"].outcome is UNKNOWN
    assert direct.calls.count("commit") == 1
    assert not any("commit" in peer.calls for peer in peers.values())
    assert store.version == 0


async def test_waiting_feed_call_asks_no_peer(relayed_store, peers):
    """Guards against a quiet daemon that takes the wait of its feeds for silence."""
    async with anyio.create_task_group() as group:
        group.start_soon(relayed_store.run)
        await relayed_store.follow("t", 0, wait=0.7, timeout=1.0)
        group.cancel_scope.cancel()

    assert not any(peer.calls for peer in peers.values())


async def test_short_calls_of_peers_do_not_move_the_path(relayed_store, path):
    """Guards against peers' probes that a slow store answers too late."""
    for _ in range(3):
        assert relayed_store.begin_relay() == ""
        relayed_store.end_relay(rows.Service.UNANSWERED, http.read_clock() - 0.15)
        await anyio.sleep(0.001)

    assert not path.is_relayed


async def test_short_remaining_time_is_no_failure_of_a_peer(
    relayed_store, direct, peers, path, monkeypatch
):
    """Guards against peers that are passed over since a call to them had no time."""
    await lose_store(relayed_store, direct)
    address = find_first_peer(path, peers)
    peer, follow = peers[address], peers[address].follow

    async def follow_late(table, after, *, wait, timeout):
        if timeout < 0.06:  # a busy peer in another data centre
            await anyio.sleep(timeout)
            return rows.Feed(UNKNOWN, reason="timeout")
        return await follow(table, after, wait=wait, timeout=timeout)

    monkeypatch.setattr(peer, "follow", follow_late)
    answer = await relayed_store.follow("t", 0, wait=0.0, timeout=0.05)

    assert answer.outcome is UNKNOWN
    assert find_first_peer(path, peers) == address


async def test_long_transfer_of_an_answer_does_not_move_the_path(store, peers):
    """Guards against a read of a long document that is taken for a silent store."""
    body = b'{"rows": [], "ver": 7, "now_ms": 5}'
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def answer(stream):
        async with stream:
            await stream.receive()
            for part in (head, body[:9], body[9:18], body[18:]):
                await stream.send(part)
                await anyio.sleep(0.25)

    async with contextlib.AsyncExitStack() as stack:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        group = await stack.enter_async_context(anyio.create_task_group())
        group.start_soon(listener.serve, answer)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        direct = rows.Rows(await http.open_client(stack), f"127.0.0.1:{port}")
        known = [storepath.Peer(address[0], address, "dc") for address in peers]
        path = storepath.StorePath("a", "dc")
        relayed_store = relayedstore.RelayedStore(
            "a", path, direct, peers.__getitem__, lambda: known, metric.Instruments()
        )
        direct.on_answer.append(relayed_store.on_answer)
        group.start_soon(relayed_store.run)
        result = await relayed_store.read("t", "p", timeout=1.0)
        group.cancel_scope.cancel()

    assert (result.outcome, result.version) == (DONE, 7)
    assert not path.is_relayed
    assert not any(peer.calls for peer in peers.values())


async def test_slow_transactions_do_not_move_the_path_of_prompt_reads(
    relayed_store, direct, peers, path, monkeypatch
):
    """Guards against a path that changes with each transaction of a slow store."""
    commit = direct.commit

    async def commit_slowly(change, *, timeout):
        await anyio.sleep(0.6)
        return await commit(change, timeout=timeout)

    monkeypatch.setattr(direct, "commit", commit_slowly)
    moves = []
    relayed_store.on_relayed.append(lambda: moves.append(1))
    async with anyio.create_task_group() as group:
        group.start_soon(relayed_store.run)
        for version in range(2):
            change = await relayed_store.commit(write(version), timeout=0.9)
            assert change.outcome is DONE
        group.cancel_scope.cancel()

    assert not moves
