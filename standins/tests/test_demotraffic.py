"""Callers of the demo while daemons are added and removed."""

from standins.demo import traffic


def test_daemon_removed_after_its_choice_counts_as_unconnected():
    """Guards against a KeyError in a caller that ended the whole run.

    A caller reads the list of daemons twice, to choose one and to look up its port;
    a daemon that is killed in between is missing in the second list. Here every
    second list is empty.
    """
    lookups = []

    def find_ports():
        lookups.append(1)
        return {"entry-0-a": 1} if len(lookups) % 2 else {}

    with traffic.open_traffic(find_ports, 7) as callers:
        callers.start(1, traffic.Mix(("s",), keyed_share=0.0, max_pause=0.01))
        callers.wait_for(3, lambda outcome: outcome.ended == traffic.UNCONNECTED)
        outcomes = callers.stop()

    assert {outcome.ended for outcome in outcomes} == {traffic.UNCONNECTED}
