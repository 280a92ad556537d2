"""Which path store calls take, under the loads that the decision answers."""

import pytest

from wigeonhitch.platform import rows
from wigeonhitch.site import storepath

SERVED = rows.Service.SERVED
REFUSED = rows.Service.REFUSED
UNANSWERED = rows.Service.UNANSWERED

PEERS = [storepath.Peer(name, f"{name}:1", "dc") for name in ("b", "c", "d", "e")]


@pytest.fixture
def path():
    return storepath.StorePath("a", "dc")


@pytest.fixture
def relayed_path(path):
    """A path that became relayed at 10.1."""
    path.on_direct_call(REFUSED, 10.0, 10.002, PEERS)
    assert path.on_direct_call(REFUSED, 10.1, 10.1, PEERS)
    return path


def ask(path, now, service, peers=PEERS):
    """Ask the next peer, which answers at once; return its name."""
    peer = path.choose_peer(peers, now)
    if peer is None:
        return None
    path.on_peer_call(peer.name, service, now)
    return peer.name


def test_store_that_refuses_this_daemon_is_reached_through_a_peer(path):
    """Guards against a leader that waits for its lease to expire."""
    path.on_direct_call(SERVED, 9.0, 9.0, PEERS)
    assert not path.on_direct_call(REFUSED, 10.0, 10.002, PEERS)
    assert path.choose_peer(PEERS, 10.01) is None

    assert path.on_direct_call(REFUSED, 10.1, 10.102, PEERS)
    assert path.choose_peer(PEERS, 10.11) is not None


def test_single_refusals_between_served_calls_do_not_move_the_path(path):
    """Guards against a store at its rate limit that drives its callers to peers."""
    for start in range(100):
        # Two of a burst are refused at once, one that is sent later is served.
        for sent in (start, start + 0.001):
            assert not path.on_direct_call(REFUSED, sent, start + 0.01, PEERS)
        path.on_direct_call(SERVED, start + 0.02, start + 0.03, PEERS)

    assert not path.is_relayed


def test_silent_store_is_left_after_two_timeouts_that_overlap(path):
    """Guards against a lease that expires during timeouts one after the other."""
    path.on_direct_call(SERVED, 9.9, 9.9, PEERS)
    assert not path.on_direct_call(UNANSWERED, 10.0, 10.9, PEERS)

    assert path.on_direct_call(UNANSWERED, 10.05, 10.95, PEERS)


def test_timeout_of_an_older_call_does_not_count_against_a_served_one(path):
    """Guards against a lost call that moves the path of a store that serves."""
    path.on_direct_call(SERVED, 10.5, 10.51, PEERS)
    for sent in (10.0, 10.1):
        assert not path.on_direct_call(UNANSWERED, sent, sent + 0.9, PEERS)


def test_path_stays_direct_without_a_peer(path):
    """Guards against a change of behaviour where nobody could relay."""
    for sent in (10.0, 10.1, 10.2):
        assert not path.on_direct_call(REFUSED, sent, sent, [])


def test_store_down_for_all_costs_each_peer_once_then_two_calls_a_second(relayed_path):
    """Guards against refusals that grow with the number of peers during an outage."""
    first = [ask(relayed_path, 10.2, REFUSED) for _ in range(6)]
    later = []
    for step in range(1000):
        while name := ask(relayed_path, 11.3 + step * 0.01, REFUSED):
            later.append(name)

    assert sorted(first[:4]) == ["b", "c", "d", "e"]
    assert first[4:] == [None, None]
    assert len(later) <= 2 * 11
    assert set(later) == {"b", "c", "d", "e"}


def test_peer_that_serves_again_is_used_by_all_calls(relayed_path):
    """Guards against a daemon that stays with a store that refuses it."""
    for _ in PEERS:
        ask(relayed_path, 10.2, REFUSED)
    assert ask(relayed_path, 11.0, SERVED) is None

    name = ask(relayed_path, 11.3, SERVED)
    assert [ask(relayed_path, 11.3, SERVED) for _ in range(9)] == [name] * 9


def test_peer_that_is_gone_is_not_asked_for_the_backoff(relayed_path):
    """Guards against each call waiting for the same dead peer."""
    gone = ask(relayed_path, 10.2, UNANSWERED)
    others = {ask(relayed_path, 10.3 + step * 0.1, SERVED) for step in range(20)}

    assert gone not in others
    assert len(others) == 1


def test_live_peers_of_the_same_data_centre_go_first(relayed_path):
    """Guards against bytes between data centres, and timeouts of members long gone."""
    peers = [
        storepath.Peer("far", "far:1", "other"),
        storepath.Peer("dead", "dead:1", "dc", is_live=False),
        storepath.Peer("near", "near:1", "dc"),
    ]

    asked = [ask(relayed_path, 10.2, REFUSED, peers) for _ in peers]

    assert asked == ["near", "far", "dead"]


def test_store_that_returns_is_found_by_a_probe_sent_after_the_loss(relayed_path):
    """Guards against an old feed call whose late answer looks like a probe's."""
    assert not relayed_path.on_direct_call(SERVED, 9.9, 10.3, PEERS)
    assert relayed_path.compute_probe_delay(10.2) == pytest.approx(0.2)
    relayed_path.begin_probe(10.4)
    assert relayed_path.compute_probe_delay(10.5) == pytest.approx(0.2)

    assert relayed_path.on_direct_call(SERVED, 10.4, 10.41, PEERS)
    assert relayed_path.choose_peer(PEERS, 10.5) is None


def test_calls_of_peers_are_limited_and_refused_while_relayed(path):
    """Guards against one daemon that carries all others, and against chains of them."""
    reasons = [path.begin_relay() for _ in range(storepath.MAX_RELAYED_CALLS + 1)]
    path.end_relay()

    assert set(reasons[:-1]) == {""}
    assert reasons[-1] == "busy"
    assert path.begin_relay() == ""
    for sent in (10.0, 10.1):
        path.on_direct_call(REFUSED, sent, sent, PEERS)
    assert path.begin_relay() == "store lost"


@pytest.fixture
def silent_path(path):
    """A path with a transaction that has had no answer since 10.0."""
    path.on_direct_call(SERVED, 9.9, 9.904, PEERS)
    path.begin_direct_call(10.0)
    return path


def probe_indirectly(path, start, end, service=SERVED, peers=PEERS):
    """Read through a peer; return whether the path has changed, None without a read."""
    peer = path.begin_indirect_probe(peers, start)
    if peer is None:
        return None
    return path.on_indirect_probe(peer.name, service, end)


def test_silent_path_is_left_once_a_peer_answers_promptly(silent_path):
    """Guards against callers that wait for the timeout of their calls."""
    assert silent_path.compute_indirect_probe_delay(10.1) == pytest.approx(0.2)
    assert probe_indirectly(silent_path, 10.29, 10.3) is None

    assert probe_indirectly(silent_path, 10.31, 10.32)
    assert silent_path.choose_peer(PEERS, 10.33) is not None


@pytest.mark.parametrize(
    ("service", "end"), [(UNANSWERED, 10.46), (SERVED, 10.55), (REFUSED, 10.32)]
)
def test_late_or_refused_answer_of_a_peer_does_not_move_the_path(
    silent_path, service, end
):
    """Guards against relayed calls while the store is slow, or down, for all."""
    assert probe_indirectly(silent_path, 10.31, end, service) is False
    assert not silent_path.is_relayed
    assert silent_path.find_peer(PEERS, end) is not None


def test_served_call_that_was_sent_later_clears_the_path(silent_path):
    """Guards against a lost or long call that moves the path of a store that serves."""
    silent_path.on_direct_call(SERVED, 10.01, 10.014, PEERS)

    assert probe_indirectly(silent_path, 10.31, 10.32) is None


def test_direct_answer_during_the_read_through_a_peer_keeps_the_path(silent_path):
    """Guards against a daemon that takes its own pause for a silent store."""
    peer = silent_path.begin_indirect_probe(PEERS, 10.31)
    silent_path.on_direct_call(SERVED, 10.0, 10.311, PEERS)

    assert not silent_path.on_indirect_probe(peer.name, SERVED, 10.32)


def test_ended_calls_are_not_unanswered(path):
    """Guards against reads through peers for calls that have failed or been served."""
    path.end_direct_call(path.begin_direct_call(10.0))

    assert probe_indirectly(path, 10.5, 10.51) is None


def test_no_read_through_a_peer_without_a_peer_or_while_relayed(silent_path):
    """Guards against additional calls that can't change the path."""
    assert probe_indirectly(silent_path, 10.31, 10.32, peers=[]) is None
    assert silent_path.compute_indirect_probe_delay(10.31) > 0.2
    for sent in (10.4, 10.5):
        silent_path.on_direct_call(REFUSED, sent, sent, PEERS)
    assert silent_path.is_relayed
    assert probe_indirectly(silent_path, 10.9, 10.91) is None


def test_reads_through_peers_are_limited_and_go_to_one_peer_after_the_other(
    silent_path,
):
    """Guards against load on a slow store, and against a peer that is silent itself."""
    asked = []
    for step in range(120):
        now = 10.0 + step * 0.01
        if peer := silent_path.begin_indirect_probe(PEERS, now):
            asked.append(peer.name)
            silent_path.on_indirect_probe(peer.name, UNANSWERED, now + 0.15)

    assert 2 <= len(asked) <= 3
    assert len(set(asked)) == len(asked)
