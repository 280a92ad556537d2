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
    for one in members:
        one.update_members(peers, now)
    return members


def exchange(members, now, cut=frozenset()):
    """Deliver one period of heartbeats, except to or from the daemons cut off."""
    by_name = {one.me.daemon: one for one in members}
    sent = 0
    for one in members:
        for action in one.tick(now):
            if isinstance(action, core.SendHeartbeat):
                sent += 1
                receiver = by_name.get(action.peer.daemon)
                if receiver and not cut & {one.me.daemon, action.peer.daemon}:
                    receiver.receive_heartbeat(action.heartbeat, now)
    return sent


def test_lost_daemon_leaves_the_live_set_of_all_others_within_its_bound():
    members = make_members(9)
    for second in range(1, 5):
        exchange(members, float(second))
    for second in range(5, 10):
        exchange(members, float(second), cut={"d0"})
    assert all("d0" not in one.find_alive(9.0) for one in members[1:])
    assert members[0].find_alive(9.0) == {"d0"}


@pytest.mark.parametrize("count", [30, 220])
def test_large_system_keeps_all_alive_at_a_fixed_fan_out(count):
    members = make_members(count)
    for second in range(1, 40):
        sent = exchange(members, float(second))
        assert sent == count * core.Limits().large_fan_out
    assert all(len(one.find_alive(39.0)) == count for one in members)


def test_send_right_lapses_alone_and_stays_with_the_majority():
    members = make_members(9)
    for second in range(1, 5):
        exchange(members, float(second))
    for second in range(5, 30):
        exchange(members, float(second), cut={"d0"})
    assert not members[0].has_send_right(29.0)
    assert all(one.has_send_right(29.0) for one in members[1:])


def test_island_of_a_minority_loses_its_send_right():
    members = make_members(9)
    for second in range(1, 30):
        exchange(members[:4], float(second))
        exchange(members[4:], float(second))
    assert not any(one.has_send_right(29.0) for one in members[:4])
    assert all(one.has_send_right(29.0) for one in members[4:])


def test_heartbeats_kept_in_a_paused_daemons_socket_give_no_send_right():
    members = make_members(3)
    for second in range(1, 5):
        exchange(members, float(second))
    kept = [
        action.heartbeat
        for one in members[1:]
        for action in one.tick(5.0)
        if isinstance(action, core.SendHeartbeat) and action.peer.daemon == "d0"
    ]
    for beat in kept:
        members[0].receive_heartbeat(beat, 300.0)
    assert not members[0].has_send_right(300.0)


def test_beats_reach_a_daemon_through_a_third_when_one_link_is_cut():
    members = make_members(3)
    for second in range(1, 20):
        for one in members:
            for action in one.tick(float(second)):
                pair = {one.me.daemon, action.peer.daemon}
                if pair != {"d0", "d1"}:
                    receiver = next(m for m in members if m.me == action.peer)
                    receiver.receive_heartbeat(action.heartbeat, float(second))
    assert members[0].find_alive(19.0) == {"d0", "d1", "d2"}


def test_member_that_is_only_passed_on_waits_for_its_row():
    one, other = make_members(2)
    beat = message.Heartbeat("d1", 5, 0, members=(message.Member("d7", 3, 10),))
    one.receive_heartbeat(beat, 1.0)
    assert one.find_peer("d7") is None
    assert "d1" in one.find_alive(1.0)
