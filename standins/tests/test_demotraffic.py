"""What the demo's callers make of daemons that come and go."""

from standins.demo import traffic


def test_a_daemon_that_is_taken_out_after_its_choice_is_a_connection_refused():
    """What was seen: a whole run of failures ended with a KeyError of its callers.

    How: a killed daemon was taken out of the list while a caller that had chosen it
    hadn't looked its port up. Cause: the list was looked at twice. Proof: here each
    second look finds it empty.
    """
    looks = []

    def find_ports():
        looks.append(1)
        return {"entry-0-a": 1} if len(looks) % 2 else {}

    with traffic.open_traffic(find_ports, 7) as calls:
        calls.start(1, traffic.Mix(("s",), keyed_share=0.0, max_pause=0.01))
        calls.wait_for(3, lambda one: one.ended == traffic.UNCONNECTED)
        outcomes = calls.stop()

    assert {one.ended for one in outcomes} == {traffic.UNCONNECTED}
