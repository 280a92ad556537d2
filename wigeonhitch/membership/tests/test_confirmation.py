import pytest

from wigeonhitch.membership import confirmation

LIMITS = confirmation.Limits(send_right=10, longest_request=60, margin=2)


def make_row(name, **fields):
    value = {"expires": 115.0, "drain": 7, "vm": f"vm-{name}", "registered": 3}
    return confirmation.read_row(f"daemon/{name}", {**value, **fields})


def find_blocking(rows, now=100.0, gone=(), drained_at=90.0):
    return confirmation.find_waiting(
        "w1", 7, rows, now=now, drained_at=drained_at, gone_vms=gone, limits=LIMITS
    )


def test_stop_waits_for_each_daemon_that_has_not_applied_the_drain():
    rows = [make_row("a"), make_row("b", drain=6), make_row("c", busy=["w1"])]
    assert find_blocking(rows) == (
        confirmation.BlockingDaemon("b", confirmation.WaitReason.NOT_APPLIED),
        confirmation.BlockingDaemon("c", confirmation.WaitReason.BUSY),
    )


@pytest.mark.parametrize(
    ("now", "fields", "waits"),
    [
        (100.0, {"drain": 6}, True),
        (176.0, {"drain": 6}, True),
        (178.0, {"drain": 6}, False),
        (176.0, {"drain": 7, "busy": ["w1"]}, True),
        (100.0, {"drain": 7}, False),
    ],
)
def test_stop_waits_for_requests_of_a_daemon_that_the_platform_ended(
    now, fields, waits
):
    """The daemon's row expires at 115; the longest request takes 60 s."""
    rows = [make_row("a", expires=1000.0), make_row("b", **fields)]
    assert (find_blocking(rows, now=now, gone={"vm-b"}) != ()) is waits


def test_stop_waits_for_a_daemon_without_row_while_peers_hear_it():
    relay = make_row("a", relayed={"b": [6, []]})
    assert [blocking.daemon for blocking in find_blocking([relay])] == ["b"]
    relay = make_row("a", relayed={"b": [7, []]})
    assert find_blocking([relay]) == ()


def test_confirmation_of_a_daemon_cut_off_from_the_store_is_relayed():
    cut = make_row("b", drain=6, expires=95.0)
    relay = make_row("a", relayed={"b": [7, []]})
    assert find_blocking([relay, cut]) == ()
    relay = make_row("a", relayed={"b": [7, ["w1"]]})
    assert len(find_blocking([relay, cut])) == 1


@pytest.mark.parametrize(
    ("now", "silent", "released"),
    [(160.0, 1, False), (173.0, 1, True), (1000.0, 2, False)],
)
def test_silent_daemon_lapses_after_the_bound_unless_a_majority_is_silent(
    now, silent, released
):
    rows = [
        make_row(
            name,
            expires=100.0 if index < silent else now + 15,
            drain=6 if index < silent else 7,
        )
        for index, name in enumerate("abc")
    ]
    assert (find_blocking(rows, now=now, drained_at=90.0) == ()) is released
