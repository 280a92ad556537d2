import pytest

from wigeonhitch.membership import core, message


def make_peer(number):
    return core.Peer(f"d{number}", f"127.0.0.1:{7000 + number}", f"e{number}", "dc1")


def make_members(count, limits=None, now=0.0):
    limits = limits or core.Limits()
    peers = [make_peer(number) for number in range(count)]
    members = [
        core.Members(peer, limits, index, now) for index, peer in enumerate(peers)
    ]
    for member in members:
        member.update_members(peers, now)
    return members


def exchange(members, now, cut=frozenset()):
    """Deliver one period of heartbeats, except to and from the daemons in ``cut``."""
    by_name = {member.me.daemon: member for member in members}
    sent = 0
    for member in members:
        for action in member.tick(now):
            if isinstance(action, core.SendHeartbeat):
                sent += 1
                receiver = by_name.get(action.peer.daemon)
                if receiver and not cut & {member.me.daemon, action.peer.daemon}:
                    receiver.receive_heartbeat(action.heartbeat, now)
    return sent


def test_lost_daemon_is_removed_from_all_live_sets_within_the_bound():
    members = make_members(9)
    for second in range(1, 5):
        exchange(members, float(second))
    for second in range(5, 10):
        exchange(members, float(second), cut={"d0"})
    assert all("d0" not in member.find_alive(9.0) for member in members[1:])
    assert members[0].find_alive(9.0) == {"d0"}


@pytest.mark.parametrize("count", [30, 220])
def test_large_system_keeps_all_alive_at_a_fixed_fan_out(count):
    members = make_members(count)
    for second in range(1, 40):
        sent = exchange(members, float(second))
        assert sent == count * core.Limits().large_fan_out
    assert all(len(member.find_alive(39.0)) == count for member in members)


def test_send_right_lapses_for_an_isolated_daemon_and_stays_with_the_majority():
    members = make_members(9)
    for second in range(1, 5):
        exchange(members, float(second))
    for second in range(5, 30):
        exchange(members, float(second), cut={"d0"})
    assert not members[0].has_send_right(29.0)
    assert all(member.has_send_right(29.0) for member in members[1:])


def test_minority_partition_loses_its_send_right():
    members = make_members(9)
    for second in range(1, 30):
        exchange(members[:4], float(second))
        exchange(members[4:], float(second))
    assert not any(member.has_send_right(29.0) for member in members[:4])
    assert all(member.has_send_right(29.0) for member in members[4:])


def test_stale_heartbeats_in_a_socket_give_no_send_right():
    members = make_members(3)
    for second in range(1, 5):
        exchange(members, float(second))
    stale_heartbeats = [
        action.heartbeat
        for member in members[1:]
        for action in member.tick(5.0)
        if isinstance(action, core.SendHeartbeat) and action.peer.daemon == "d0"
    ]
    for beat in stale_heartbeats:
        members[0].receive_heartbeat(beat, 300.0)
    assert not members[0].has_send_right(300.0)


def test_beats_are_forwarded_by_a_third_daemon_when_one_link_is_cut():
    members = make_members(3)
    for second in range(1, 20):
        for member in members:
            for action in member.tick(float(second)):
                pair = {member.me.daemon, action.peer.daemon}
                if pair != {"d0", "d1"}:
                    receiver = next(m for m in members if m.me == action.peer)
                    receiver.receive_heartbeat(action.heartbeat, float(second))
    assert members[0].find_alive(19.0) == {"d0", "d1", "d2"}


def test_forwarded_member_without_a_row_is_ignored():
    first, _ = make_members(2)
    beat = message.Heartbeat("d1", 5, 0, members=(message.Member("d7", 3, 10),))
    first.receive_heartbeat(beat, 1.0)
    assert first.find_peer("d7") is None
    assert "d1" in first.find_alive(1.0)
